//! Clocks and disks that go wrong on purpose, for tests that start the whole program.
//!
//! `RAINSTAND_TESTING` names a file. Its lines are read at the start (`clock RATE STEP`: thousandths, and milliseconds
//! by which it jumps half a second later) and before each flush (`flush-fails`, `disk-full`, `disk-slow MS`). Where the
//! configuration does not say `testing`, a program that is told of such a file does not start.

use rainstand_storage::disk::FaultHook;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The variable that names the file.
pub const VARIABLE: &str = "RAINSTAND_TESTING";
/// A stepped clock jumps this long after its start.
const STEPS_AFTER: Duration = Duration::from_millis(500);

/// The only clock of a member.
pub trait Clock {
    /// Since any fixed start; never goes back.
    fn now(&self) -> Duration;
    /// How long that span of this clock takes by the machine's.
    fn real(&self, span: Duration) -> Duration;
}

/// The machine's.
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

/// One that runs at another pace, and jumps.
pub struct SkewedClock {
    start: Instant,
    rate: u32,
    step: Duration,
}

impl Clock for SkewedClock {
    fn now(&self) -> Duration {
        let passed = self.start.elapsed();
        let step = if passed > STEPS_AFTER {
            self.step
        } else {
            Duration::ZERO
        };
        passed * self.rate / 1_000 + step
    }

    fn real(&self, span: Duration) -> Duration {
        span * 1_000 / self.rate.max(1)
    }
}

/// The file that is named, if any.
///
/// # Errors
/// If one is named and the configuration does not allow it.
pub fn file(testing: bool) -> Result<Option<PathBuf>, String> {
    match std::env::var_os(VARIABLE) {
        None => Ok(None),
        Some(_) if !testing => Err(format!(
            "{VARIABLE} is set, and the group does not say `testing: yes`"
        )),
        Some(path) => Ok(Some(path.into())),
    }
}

/// The clock that the file asks for.
pub fn clock(file: Option<&Path>) -> Box<dyn Clock> {
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
            let rate = u32::try_from(rate).unwrap_or(1_000).clamp(1, 100_000);
            Box::new(SkewedClock {
                start: Instant::now(),
                rate,
                step: Duration::from_millis(step),
            })
        }
        _ => Box::new(SystemClock::default()),
    }
}

/// What the disk does, as the file says at that moment.
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
                    std::thread::sleep(Duration::from_millis(ms.parse().unwrap_or(0).min(10_000)));
                }
                _ => {}
            }
        }
        Ok(())
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wrong_clock_never_goes_back_and_runs_at_its_pace() {
        let fast = SkewedClock {
            start: Instant::now(),
            rate: 1_500,
            step: Duration::from_secs(3_600),
        };
        let mut before = Duration::ZERO;
        while fast.start.elapsed() < STEPS_AFTER + Duration::from_millis(20) {
            let now = fast.now();
            assert!(now >= before);
            before = now;
        }
        assert!(before > Duration::from_secs(3_600));
        assert_eq!(
            fast.real(Duration::from_millis(150)),
            Duration::from_millis(100)
        );
    }

    #[test]
    fn a_disk_fails_as_the_file_says_just_then() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("testing");
        let trouble = fault_hook(path.clone());
        assert!(trouble().is_ok());
        std::fs::write(&path, "clock 1500 0\nflush-fails\n").unwrap();
        assert!(trouble().is_err());
        std::fs::write(&path, "").unwrap();
        assert!(trouble().is_ok());
    }
}
