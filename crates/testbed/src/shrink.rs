//! A smaller schedule that still fails: fewer faults, then shorter ones.
//!
//! Real scheduling is not the seed's: a schedule that failed once may pass the next time. A smaller one is only taken
//! if it failed itself, and each is given a stated number of plays to do so.

use crate::fault_schedule::FaultStep;
use std::time::Duration;

/// Steps that are shorter are not made shorter.
const MIN_DURATION: Duration = Duration::from_millis(20);

/// Tries halves, quarters and so on of the faults, then each fault alone; the smallest that failed.
///
/// `fails` plays a schedule and says whether it broke something.
///
/// ```
/// use rainstand_testbed::fault_schedule::{FaultAction, FaultStep, RestartDisk};
/// use rainstand_testbed::shrink::shrink;
/// use std::time::Duration;
/// let kill = |fault| FaultStep {
///     from: Duration::from_millis(fault as u64), until: Duration::from_secs(1), fault,
///     action: FaultAction::Kill { node: 0, disk: RestartDisk::Same },
/// };
/// let all: Vec<FaultStep> = (0..16).map(kill).collect();
/// // Faults 3 and 11 together do it.
/// let both = |steps: &[FaultStep]| [3, 11].iter().all(|n| steps.iter().any(|step| step.fault == *n));
/// let least = shrink(&all, 100, |steps| both(steps));
/// assert_eq!(least.iter().map(|step| step.fault).collect::<Vec<_>>(), [3, 11]);
/// ```
pub fn shrink(
    steps: &[FaultStep],
    max_plays: usize,
    fails: impl FnMut(&[FaultStep]) -> bool,
) -> Vec<FaultStep> {
    let mut search = Search {
        steps: steps.to_vec(),
        plays_left: max_plays,
        fails,
    };
    if search.remove_faults() {
        search.shorten();
    }
    search.steps
}

/// The smallest schedule that failed so far.
struct Search<F> {
    steps: Vec<FaultStep>,
    plays_left: usize,
    fails: F,
}

impl<F: FnMut(&[FaultStep]) -> bool> Search<F> {
    /// Plays a smaller schedule, and takes it if it failed.
    fn take_if_fails(&mut self, smaller: Vec<FaultStep>) -> bool {
        self.plays_left -= 1;
        let failed = (self.fails)(&smaller);
        if failed {
            self.steps = smaller;
        }
        failed
    }

    /// Leaves out halves, quarters and so on of the faults. False if no play is left.
    fn remove_faults(&mut self) -> bool {
        let mut parts = 2;
        loop {
            let mut faults: Vec<usize> = self.steps.iter().map(|step| step.fault).collect();
            faults.sort_unstable();
            faults.dedup();
            if faults.is_empty() {
                return true;
            }
            let size = faults.len().div_ceil(parts);
            let mut is_smaller = false;
            for removed in faults.chunks(size) {
                if self.plays_left == 0 {
                    return false;
                }
                let mut rest = self.steps.clone();
                rest.retain(|step| !removed.contains(&step.fault));
                is_smaller = self.take_if_fails(rest);
                if is_smaller {
                    break;
                }
            }
            if is_smaller {
                parts = 2;
            } else if size == 1 {
                return true;
            } else {
                parts = (parts * 2).min(faults.len());
            }
        }
    }

    /// Makes each step half as long, while that still fails.
    fn shorten(&mut self) {
        for k in 0..self.steps.len() {
            while self.plays_left > 0 && self.steps[k].until > self.steps[k].from * 2 {
                let mut shorter = self.steps.clone();
                let duration = shorter[k].until.saturating_sub(shorter[k].from);
                shorter[k].until = shorter[k].from + duration / 2;
                if duration < MIN_DURATION {
                    self.plays_left -= 1;
                    break;
                }
                if !self.take_if_fails(shorter) {
                    break;
                }
            }
        }
    }
}
