//! Injected clock and disk faults, for tests that start the complete program.
//!
//! `RAINSTAND_TESTING` names a file. It is read at the start (`clock RATE STEP`: the rate in thousandths, and the
//! milliseconds by which the clock jumps half a second later) and before each flush (`flush-fails`, `disk-full`,
//! `disk-slow MS`). If the variable is set and the group's configuration does not enable `testing`, the program does
//! not start.

use crate::error::ClusterError;
use rainstand_storage::disk::FaultHook;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The environment variable that names the file.
pub const VARIABLE: &str = "RAINSTAND_TESTING";
/// Time between the start of a skewed clock and its jump.
pub const STEP_DELAY: Duration = Duration::from_millis(500);

/// The longest delay before a flush that a file can set, in milliseconds.
const MAX_FLUSH_DELAY_MS: u64 = 10_000;
/// The slowest and the fastest rate of a skewed clock, in thousandths.
const MIN_RATE: u32 = 1;
const MAX_RATE: u32 = 100_000;
/// The rate of the system's clock, in thousandths.
const UNIT_RATE: u32 = 1_000;

/// The clock of a member: all its times are read from it.
pub trait Clock {
    /// Time since an arbitrary fixed start; never decreases.
    fn now(&self) -> Duration;
    /// Converts a duration on this clock to the duration on the system's clock.
    fn to_real_time(&self, duration: Duration) -> Duration;
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

    fn to_real_time(&self, duration: Duration) -> Duration {
        duration
    }
}

/// A clock that runs at another rate, and jumps forward once, [`STEP_DELAY`] after its start.
pub struct SkewedClock {
    start: Instant,
    rate: u32,
    step: Duration,
}

impl SkewedClock {
    /// Creates a clock that starts now. `rate` is in thousandths of the system clock's rate.
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
        let elapsed = self.start.elapsed();
        let step = if elapsed > STEP_DELAY {
            self.step
        } else {
            Duration::ZERO
        };
        elapsed * self.rate / UNIT_RATE + step
    }

    fn to_real_time(&self, duration: Duration) -> Duration {
        duration * UNIT_RATE / self.rate
    }
}

/// The fault injection file that the environment names, if any.
///
/// # Errors
/// If a file is named and the configuration does not allow fault injection.
pub(crate) fn configured_file(is_allowed: bool) -> Result<Option<PathBuf>, ClusterError> {
    match std::env::var_os(VARIABLE) {
        None => Ok(None),
        Some(_) if !is_allowed => Err(ClusterError::FaultInjectionForbidden { variable: VARIABLE }),
        Some(path) => Ok(Some(path.into())),
    }
}

/// Creates the clock that the file specifies; without one, the system's clock.
pub(crate) fn create_clock(file: Option<&Path>) -> Box<dyn Clock> {
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

/// A hook that injects the faults that the file specifies at the time of each flush.
pub fn fault_hook(file: PathBuf) -> FaultHook {
    Arc::new(move || {
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        for line in text.lines() {
            match line.split_once(' ').unwrap_or((line, "")) {
                ("flush-fails", _) => return Err(io::Error::other("injected flush failure")),
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
