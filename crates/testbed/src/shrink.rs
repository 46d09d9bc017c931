//! Shrinks a schedule that fails: to fewer faults, then to shorter ones.
//!
//! The seed does not determine how the operating system schedules processes: a schedule that failed once may pass the
//! next time. A smaller schedule is accepted only if it failed itself, within the number of runs that `fails` makes.

use crate::fault_schedule::FaultStep;
use std::time::Duration;

/// Steps shorter than this are not shortened further.
const MIN_DURATION: Duration = Duration::from_millis(20);

/// Removes halves, quarters and so on of the faults, down to single ones; returns the smallest schedule that failed.
///
/// `fails` runs a schedule and returns whether it violated an invariant; it is called at most `max_runs` times.
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
/// // The failure needs faults 3 and 11.
/// let both = |steps: &[FaultStep]| [3, 11].iter().all(|n| steps.iter().any(|step| step.fault == *n));
/// let smallest = shrink(&all, 100, |steps| both(steps));
/// assert_eq!(smallest.iter().map(|step| step.fault).collect::<Vec<_>>(), [3, 11]);
/// ```
pub fn shrink(
    steps: &[FaultStep],
    max_runs: usize,
    fails: impl FnMut(&[FaultStep]) -> bool,
) -> Vec<FaultStep> {
    let mut search = Search {
        steps: steps.to_vec(),
        runs_left: max_runs,
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
    runs_left: usize,
    fails: F,
}

impl<F: FnMut(&[FaultStep]) -> bool> Search<F> {
    /// Runs a smaller schedule, and keeps it if it failed.
    fn keep_if_fails(&mut self, smaller: Vec<FaultStep>) -> bool {
        self.runs_left -= 1;
        let failed = (self.fails)(&smaller);
        if failed {
            self.steps = smaller;
        }
        failed
    }

    /// Removes halves, quarters and so on of the faults. Returns false if no runs are left.
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
                if self.runs_left == 0 {
                    return false;
                }
                let mut rest = self.steps.clone();
                rest.retain(|step| !removed.contains(&step.fault));
                is_smaller = self.keep_if_fails(rest);
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

    /// Halves the duration of each step, as long as the schedule still fails.
    fn shorten(&mut self) {
        for index in 0..self.steps.len() {
            while self.runs_left > 0 && self.steps[index].until > self.steps[index].from * 2 {
                let mut shorter = self.steps.clone();
                let duration = shorter[index].until.saturating_sub(shorter[index].from);
                shorter[index].until = shorter[index].from + duration / 2;
                if duration < MIN_DURATION {
                    self.runs_left -= 1;
                    break;
                }
                if !self.keep_if_fails(shorter) {
                    break;
                }
            }
        }
    }
}
