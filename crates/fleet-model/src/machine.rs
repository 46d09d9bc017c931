//! A machine whose cores are shared evenly by its runs (processor sharing).
//!
//! With `n` runs on `c` cores each run gets `min(1, c / n)` of a core, less the crowding penalty: cache misses and
//! context switches once there are more runs than cores. All runs progress at the same pace, so one number, the work
//! done per run since the start, determines which run ends next; a change costs O(log n).
//!
//! Invariant: `work_per_run` only grows; a run ends when it reaches its value at the run's start plus the run's demand.

use foldhash::{HashMap, HashMapExt};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A non-negative, non-NaN float that is ordered by its bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Work(u64);

impl Work {
    fn new(work: f64) -> Self {
        Self(work.max(0.0).to_bits())
    }

    fn get(self) -> f64 {
        f64::from_bits(self.0)
    }
}

/// A machine with shared cores. Times are in ns, work is in ns of core time.
#[derive(Clone, Debug)]
pub struct Machine {
    cores: f64,
    /// Speed of a core relative to a normal one; 0: stalled.
    speed: f64,
    /// Added slowdown per excess run per core.
    crowding: f64,
    /// Cores that a neighbour uses.
    neighbour_cores: f64,
    work_per_run: f64,
    updated_at: u64,
    running: usize,
    /// For each run: `work_per_run` at its end, its id, and the start number.
    ends: BinaryHeap<Reverse<(Work, u32, u32)>>,
    /// Start number of each active run, by run id.
    active: HashMap<u32, u32>,
    starts: u32,
    /// Core time used until `updated_at`, ns.
    used: f64,
}

impl Machine {
    pub fn new(cores: u32, crowding: f64) -> Self {
        Self {
            cores: f64::from(cores.max(1)),
            speed: 1.0,
            crowding,
            neighbour_cores: 0.0,
            work_per_run: 0.0,
            updated_at: 0,
            running: 0,
            ends: BinaryHeap::new(),
            active: HashMap::new(),
            starts: 0,
            used: 0.0,
        }
    }

    fn pace(&self) -> f64 {
        if self.running == 0 {
            return 0.0;
        }
        let cores = (self.cores - self.neighbour_cores).max(0.05);
        let runs_per_core = self.running as f64 / cores;
        self.speed * runs_per_core.recip().min(1.0)
            / (1.0 + self.crowding * (runs_per_core - 1.0).max(0.0))
    }

    /// Accounts for the work done up to a time.
    fn advance_to(&mut self, now: u64) {
        let pace = self.pace();
        let span = now.saturating_sub(self.updated_at) as f64;
        self.work_per_run += span * pace;
        self.used += span * pace * self.running as f64;
        self.updated_at = self.updated_at.max(now);
    }

    /// Sets the speed of the cores relative to normal ones.
    pub fn set_speed(&mut self, now: u64, speed: f64) {
        self.advance_to(now);
        self.speed = speed.max(0.0);
    }

    /// Sets the number of cores that a neighbour uses.
    pub fn set_neighbour_cores(&mut self, now: u64, cores: f64) {
        self.advance_to(now);
        self.neighbour_cores = cores.max(0.0);
    }

    /// Starts a run that needs `work` ns of core time; the caller chooses its id.
    pub fn start(&mut self, now: u64, run: u32, work: u64) {
        self.advance_to(now);
        self.running += 1;
        self.starts = self.starts.wrapping_add(1);
        self.active.insert(run, self.starts);
        self.ends.push(Reverse((
            Work::new(self.work_per_run + work as f64),
            run,
            self.starts,
        )));
    }

    /// Stops a run; false if it is not active.
    pub fn stop(&mut self, now: u64, run: u32) -> bool {
        let active = self.active.remove(&run).is_some();
        if active {
            self.advance_to(now);
            self.running -= 1;
        }
        active
    }

    /// Removes all runs.
    pub fn clear(&mut self, now: u64) {
        self.advance_to(now);
        self.running = 0;
        self.ends.clear();
        self.active.clear();
    }

    /// When the next run ends if nothing changes; none if nothing runs or the machine is stalled.
    pub fn next_end(&mut self) -> Option<u64> {
        loop {
            let Reverse((work, run, start)) = *self.ends.peek()?;
            if self.active.get(&run) != Some(&start) {
                // Stopped, or an earlier run with this id.
                self.ends.pop();
                continue;
            }
            let pace = self.pace();
            if pace <= 0.0 {
                return None;
            }
            let span = ((work.get() - self.work_per_run) / pace).max(0.0).ceil();
            return Some(self.updated_at.saturating_add(span as u64));
        }
    }

    /// Removes and returns the next run that has ended by now.
    pub fn pop_ended(&mut self, now: u64) -> Option<u32> {
        self.advance_to(now);
        loop {
            let Reverse((work, run, start)) = *self.ends.peek()?;
            let active = self.active.get(&run) == Some(&start);
            // Floating-point sums are not exact to a nanosecond of core time.
            if active && work.get() > self.work_per_run + 1.0 {
                return None;
            }
            self.ends.pop();
            if active {
                self.active.remove(&run);
                self.running -= 1;
                return Some(run);
            }
        }
    }

    pub fn running(&self) -> usize {
        self.running
    }

    /// Share of the cores that is busy now, including the neighbour's.
    pub fn busy(&self) -> f64 {
        ((self.running as f64).min(self.cores - self.neighbour_cores) + self.neighbour_cores)
            .clamp(0.0, self.cores)
            / self.cores
    }

    /// Core time used up to a time, ns.
    pub fn used(&mut self, now: u64) -> f64 {
        self.advance_to(now);
        self.used
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: u64 = 1_000_000;

    /// Executes runs given as (start, work) in ms on a machine; returns when each ends, ms.
    fn execute(mut machine: Machine, runs: &[(u64, u64)]) -> Vec<u64> {
        let (mut ends, mut next) = (vec![0; runs.len()], 0);
        loop {
            let now;
            let start = runs.get(next).map(|(at, _)| at * MS);
            let end = machine.next_end();
            match (start, end) {
                (Some(start), end) if end.is_none_or(|end| start <= end) => {
                    now = start;
                    machine.start(now, next as u32, runs[next].1 * MS);
                    next += 1;
                }
                (_, Some(end)) => now = end,
                (None, None) => return ends,
                (Some(_), None) => unreachable!("handled by the first arm"),
            }
            while let Some(run) = machine.pop_ended(now) {
                ends[run as usize] = (now + MS / 2) / MS;
            }
        }
    }

    #[test]
    fn cores_are_shared_evenly() {
        // One run has full speed; two on one core have half; the remaining one speeds up.
        assert_eq!(execute(Machine::new(1, 0.0), &[(0, 10)]), [10]);
        assert_eq!(execute(Machine::new(1, 0.0), &[(0, 10), (0, 20)]), [20, 30]);
        assert_eq!(
            execute(Machine::new(2, 0.0), &[(0, 10), (0, 20), (5, 10)]),
            [13, 23, 18]
        );
        // With a crowding of 0.5 two runs on one core each get a third of it.
        assert_eq!(execute(Machine::new(1, 0.5), &[(0, 10), (0, 10)]), [30, 30]);
    }

    #[test]
    fn stopped_run_never_ends_and_stalled_or_slow_run_ends_later() {
        let mut machine = Machine::new(1, 0.0);
        machine.start(0, 0, 10 * MS);
        machine.start(0, 1, 10 * MS);
        assert!(machine.stop(4 * MS, 0) && !machine.stop(4 * MS, 0));
        assert_eq!(machine.next_end(), Some(12 * MS));
        machine.set_speed(6 * MS, 0.0);
        assert_eq!((machine.next_end(), machine.running()), (None, 1));
        machine.set_speed(100 * MS, 0.5);
        assert_eq!(machine.next_end(), Some(112 * MS));
        assert_eq!(machine.pop_ended(112 * MS), Some(1));
        // Core time used counts work done, at the speed of the time.
        assert!((machine.used(200 * MS) - 12.0 * MS as f64).abs() < 2.0);
        machine.set_neighbour_cores(200 * MS, 0.5);
        machine.start(200 * MS, 0, 10 * MS);
        // Half of the core at half speed.
        assert_eq!(machine.next_end(), Some(240 * MS));
        machine.clear(205 * MS);
        assert_eq!(
            (machine.next_end(), machine.pop_ended(900 * MS)),
            (None, None)
        );
    }
}
