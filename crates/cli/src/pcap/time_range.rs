//! A part of a capture, by time.

use clap::Args;
use std::time::{Duration, TryFromFloatSecsError};

// A part of a capture, in seconds after its first packet.
#[derive(Args, Clone, Copy, Debug)]
pub(super) struct TimeRange {
    /// Seconds after the first packet
    #[arg(long, default_value_t = 0.0)]
    pub(super) from: f64,
    /// Seconds after the first packet; to its end if not said
    #[arg(long)]
    pub(super) to: Option<f64>,
}

/// The same as times after the first packet.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeBounds {
    /// The first that belongs to it.
    pub(super) from: Duration,
    /// The first that does not; none: to the capture's end.
    pub(super) to: Option<Duration>,
}

/// Why a range cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum TimeRangeError {
    #[error("--{option} {seconds}: {error}")]
    NoTime {
        option: &'static str,
        seconds: f64,
        error: TryFromFloatSecsError,
    },
    #[error("--to {to:?} does not lie after --from {from:?}")]
    Empty { from: Duration, to: Duration },
}

impl TimeRange {
    /// The bounds in full.
    ///
    /// # Errors
    /// If a bound is negative or too large, or nothing lies between them.
    pub(super) fn bounds(&self) -> Result<TimeBounds, TimeRangeError> {
        let from = parse("from", self.from)?;
        let to = self.to.map(|to| parse("to", to)).transpose()?;
        match to {
            Some(to) if to <= from => Err(TimeRangeError::Empty { from, to }),
            to => Ok(TimeBounds { from, to }),
        }
    }
}

fn parse(option: &'static str, seconds: f64) -> Result<Duration, TimeRangeError> {
    Duration::try_from_secs_f64(seconds).map_err(|error| TimeRangeError::NoTime {
        option,
        seconds,
        error,
    })
}

impl TimeBounds {
    pub(super) fn contains(&self, at: Duration) -> bool {
        at >= self.from && self.to.is_none_or(|to| at < to)
    }
}
