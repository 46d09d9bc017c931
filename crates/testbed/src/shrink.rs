//! A smaller schedule that still fails: fewer faults, then shorter ones.
//!
//! Real scheduling is not the seed's: a schedule that failed once may pass the next time. A smaller one is only taken
//! if it failed itself, and each is given a stated number of plays to do so.

use crate::fault_schedule::Step;

/// Tries halves, quarters and so on of the faults, then each fault alone; the smallest that failed.
///
/// `fails` plays a schedule and says whether it broke something.
///
/// ```
/// use rainstand_testbed::fault_schedule::{Act, Disk, Step};
/// use rainstand_testbed::shrink::shrink;
/// use std::time::Duration;
/// let kill = |fault| Step {
///     from: Duration::from_millis(fault as u64), until: Duration::from_secs(1), fault,
///     act: Act::Kill { node: 0, disk: Disk::Same },
/// };
/// let all: Vec<Step> = (0..16).map(kill).collect();
/// // Faults 3 and 11 together do it.
/// let both = |steps: &[Step]| [3, 11].iter().all(|n| steps.iter().any(|step| step.fault == *n));
/// let least = shrink(&all, 100, |steps| both(steps));
/// assert_eq!(least.iter().map(|step| step.fault).collect::<Vec<_>>(), [3, 11]);
/// ```
pub fn shrink(steps: &[Step], most: usize, mut fails: impl FnMut(&[Step]) -> bool) -> Vec<Step> {
    let mut left = steps.to_vec();
    let mut plays = 0;
    let mut parts = 2;
    loop {
        let mut faults: Vec<usize> = left.iter().map(|step| step.fault).collect();
        faults.sort_unstable();
        faults.dedup();
        if faults.is_empty() {
            break;
        }
        let size = faults.len().div_ceil(parts);
        let mut smaller = false;
        for gone in faults.chunks(size) {
            if plays >= most {
                return left;
            }
            plays += 1;
            let without: Vec<Step> = left
                .iter()
                .filter(|step| !gone.contains(&step.fault))
                .copied()
                .collect();
            if fails(&without) {
                left = without;
                smaller = true;
                break;
            }
        }
        if !smaller {
            if size == 1 {
                break;
            }
            parts = (parts * 2).min(faults.len());
        } else {
            parts = 2;
        }
    }
    // Each fault half as long, while that still fails.
    for k in 0..left.len() {
        while plays < most && left[k].until > left[k].from * 2 {
            plays += 1;
            let mut shorter = left.clone();
            let whole = shorter[k].until.saturating_sub(shorter[k].from);
            shorter[k].until = shorter[k].from + whole / 2;
            if whole.as_millis() < 20 || !fails(&shorter) {
                break;
            }
            left = shorter;
        }
    }
    left
}
