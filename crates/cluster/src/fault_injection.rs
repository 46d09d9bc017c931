//! Clocks and disks that fail on purpose, for tests that start the whole program.
//!
//! `RAINSTAND_TESTING` names a file. Its lines are read at the start (`clock RATE STEP`: rate in thousandths, and
//! milliseconds by which the clock jumps half a second later) and before each flush (`flush-fails`, `disk-full`,
//! `disk-slow MS`). Where the group's configuration does not say `testing`, a program for which the variable is set does
//! not start.

use crate::error::ClusterError;
use rainstand_storage::disk::FaultHook;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The environment variable that names the file.
pub const VARIABLE: &str = "RAINSTAND_TESTING";
/// A skewed clock jumps so long after its start.
pub const STEP_DELAY: Duration = Duration::from_millis(500);

/// The longest delay that a file can ask for before a flush, in milliseconds.
const MAX_FLUSH_DELAY_MS: u64 = 10_000;
/// Slowest and fastest rate of a skewed clock, in thousandths.
const MIN_RATE: u32 = 1;
const MAX_RATE: u32 = 100_000;
/// The rate of the system's clock, in thousandths.
const UNIT_RATE: u32 = 1_000;

/// The only clock of a member.
pub trait Clock {
    /// Time since any fixed start; never decreases.
    fn now(&self) -> Duration;
    /// How long a span of this clock takes by the system's clock.
    fn real(&self, span: Duration) -> Duration;
}

/// The system's monotonic clock.
pub struct SystemClock(Instant);

impl Default for SystemClock {
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.0.elapsed()
    }

    fn real(&self, span: Duration) -> Duration {
        span
    }
}

/// A clock that runs at another rate, and jumps forward once, [`STEP_DELAY`] after its start.
pub struct SkewedClock {
    start: Instant,
    rate: u32,
    step: Duration,
}

impl SkewedClock {
    /// Starts now. `rate` is in thousandths of the system's clock.
    pub fn new(rate: u32, step: Duration) -> Self {
        Self {
            start: Instant::now(),
            rate: rate.clamp(MIN_RATE, MAX_RATE),
            step,
        }
    }
}

impl Clock for SkewedClock {
    fn now(&self) -> Duration {
        let passed = self.start.elapsed();
        let step = if passed > STEP_DELAY {
            self.step
        } else {
            Duration::ZERO
        };
        passed * self.rate / UNIT_RATE + step
    }

    fn real(&self, span: Duration) -> Duration {
        span * UNIT_RATE / self.rate
    }
}

/// The file that the environment names, if any.
///
/// # Errors
/// If one is named and the configuration does not allow it.
pub(crate) fn file(is_allowed: bool) -> Result<Option<PathBuf>, ClusterError> {
    match std::env::var_os(VARIABLE) {
        None => Ok(None),
        Some(_) if !is_allowed => Err(ClusterError::FaultInjectionForbidden { variable: VARIABLE }),
        Some(path) => Ok(Some(path.into())),
    }
}

/// The clock that the file asks for.
pub(crate) fn clock(file: Option<&Path>) -> Box<dyn Clock> {
    let text = file
        .and_then(|file| std::fs::read_to_string(file).ok())
        .unwrap_or_default();
    let words = text.lines().find_map(|line| line.strip_prefix("clock "));
    let mut numbers = words
        .unwrap_or("")
        .split(' ')
        .filter_map(|word| word.parse::<u64>().ok());
    match (numbers.next(), numbers.next()) {
        (Some(rate), Some(step)) => {
            let rate = u32::try_from(rate).unwrap_or(UNIT_RATE);
            Box::new(SkewedClock::new(rate, Duration::from_millis(step)))
        }
        _ => Box::new(SystemClock::default()),
    }
}

/// Faults as the file asks for them at the moment of each flush.
pub fn fault_hook(file: PathBuf) -> FaultHook {
    Arc::new(move || {
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        for line in text.lines() {
            match line.split_once(' ').unwrap_or((line, "")) {
                ("flush-fails", _) => {
                    return Err(io::Error::other("the flush failed, as it was told to"))
                }
                ("disk-full", _) => return Err(io::ErrorKind::StorageFull.into()),
                ("disk-slow", ms) => {
                    std::thread::sleep(Duration::from_millis(
                        ms.parse().unwrap_or(0).min(MAX_FLUSH_DELAY_MS),
                    ));
                }
                _ => {}
            }
        }
        Ok(())
    })
}
