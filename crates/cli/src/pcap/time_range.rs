//! A time range of a capture.

use clap::Args;
use std::time::{Duration, TryFromFloatSecsError};

// A time range of a capture, as given in options. No doc comment: it would become a help text.
#[derive(Args, Clone, Copy, Debug)]
pub(super) struct TimeRange {
    /// Seconds after the first packet
    #[arg(long, default_value_t = 0.0)]
    pub(super) from: f64,
    /// Seconds after the first packet; to its end if not said
    #[arg(long)]
    pub(super) to: Option<f64>,
}

/// A valid [`TimeRange`], as durations.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeBounds {
    /// Inclusive start.
    pub(super) from: Duration,
    /// Exclusive end; `None` is the capture's end.
    pub(super) to: Option<Duration>,
}

/// Why a time range is invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum TimeRangeError {
    #[error("--{option} {seconds}: {error}")]
    InvalidSeconds {
        option: &'static str,
        seconds: f64,
        error: TryFromFloatSecsError,
    },
    #[error("--to {to:?} is not after --from {from:?}")]
    Empty { from: Duration, to: Duration },
}

impl TimeRange {
    /// Converts the range to durations.
    ///
    /// # Errors
    /// If a bound is negative or too large, or the range is empty.
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
    Duration::try_from_secs_f64(seconds).map_err(|error| TimeRangeError::InvalidSeconds {
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
