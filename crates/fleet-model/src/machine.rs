//! A machine whose cores are shared evenly by what runs on them.
//!
//! With `n` runs on `c` cores each goes on at `min(1, c / n)` of a core, and slower still by crowding: caches and
//! switches take their part once there are more runs than cores. All runs go at one pace, so one number, the work that
//! each has been given since the start, tells who ends next; a change costs the logarithm of what runs.
//!
//! Invariant: `given` only grows; a run ends when `given` reaches what it was at its start and its own demand.

use foldhash::{HashMap, HashMapExt};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A number that sorts as a float that is no NaN and not below 0 does.
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

/// See the module's head. Times are ns, work is ns of a core.
#[derive(Clone, Debug)]
pub struct Machine {
    cores: f64,
    /// What a core does against a usual one; 0: it stands still.
    speed: f64,
    crowding: f64,
    /// Cores that a neighbour takes.
    taken: f64,
    given: f64,
    since: u64,
    running: usize,
    /// When each ends in work given, its number, and which start of that number it was.
    ends: BinaryHeap<Reverse<(Work, u32, u32)>>,
    /// By number of the run: the start that is there.
    there: HashMap<u32, u32>,
    starts: u32,
    /// Core time used so far, ns.
    used: f64,
}

impl Machine {
    pub fn new(cores: u32, crowding: f64) -> Self {
        Self {
            cores: f64::from(cores.max(1)),
            speed: 1.0,
            crowding,
            taken: 0.0,
            given: 0.0,
            since: 0,
            running: 0,
            ends: BinaryHeap::new(),
            there: HashMap::new(),
            starts: 0,
            used: 0.0,
        }
    }

    fn pace(&self) -> f64 {
        if self.running == 0 {
            return 0.0;
        }
        let cores = (self.cores - self.taken).max(0.05);
        let crowd = self.running as f64 / cores;
        self.speed * crowd.recip().min(1.0) / (1.0 + self.crowding * (crowd - 1.0).max(0.0))
    }

    /// Brings the books up to a time.
    fn upto(&mut self, now: u64) {
        let pace = self.pace();
        let span = now.saturating_sub(self.since) as f64;
        self.given += span * pace;
        self.used += span * pace * self.running as f64;
        self.since = self.since.max(now);
    }

    /// What its cores do against usual ones from now on.
    pub fn set_speed(&mut self, now: u64, speed: f64) {
        self.upto(now);
        self.speed = speed.max(0.0);
    }

    /// Cores that somebody else takes from now on.
    pub fn set_taken(&mut self, now: u64, cores: f64) {
        self.upto(now);
        self.taken = cores.max(0.0);
    }

    /// A run begins, with this much work to do; its number is the caller's.
    pub fn start(&mut self, now: u64, run: u32, work: u64) {
        self.upto(now);
        self.running += 1;
        self.starts = self.starts.wrapping_add(1);
        self.there.insert(run, self.starts);
        self.ends.push(Reverse((
            Work::new(self.given + work as f64),
            run,
            self.starts,
        )));
    }

    /// A run is taken off; false if it is not there.
    pub fn stop(&mut self, now: u64, run: u32) -> bool {
        let there = self.there.remove(&run).is_some();
        if there {
            self.upto(now);
            self.running -= 1;
        }
        there
    }

    /// Everything on it is gone.
    pub fn clear(&mut self, now: u64) {
        self.upto(now);
        self.running = 0;
        self.ends.clear();
        self.there.clear();
    }

    /// When the next run ends if nothing changes; none if nothing runs, or it stands still.
    pub fn next_end(&mut self) -> Option<u64> {
        loop {
            let Reverse((work, run, start)) = *self.ends.peek()?;
            if self.there.get(&run) != Some(&start) {
                // Taken off, or an earlier run of this number.
                self.ends.pop();
                continue;
            }
            let pace = self.pace();
            if pace <= 0.0 {
                return None;
            }
            let span = ((work.get() - self.given) / pace).max(0.0).ceil();
            return Some(self.since.saturating_add(span as u64));
        }
    }

    /// The next run that has ended by now.
    pub fn ended(&mut self, now: u64) -> Option<u32> {
        self.upto(now);
        loop {
            let Reverse((work, run, start)) = *self.ends.peek()?;
            let there = self.there.get(&run) == Some(&start);
            // A nanosecond of a core is below what sums of floats can tell.
            if there && work.get() > self.given + 1.0 {
                return None;
            }
            self.ends.pop();
            if there {
                self.there.remove(&run);
                self.running -= 1;
                return Some(run);
            }
        }
    }

    pub fn running(&self) -> usize {
        self.running
    }

    /// Share of its cores that is busy now, a neighbour's part included.
    pub fn busy(&self) -> f64 {
        ((self.running as f64).min(self.cores - self.taken) + self.taken).clamp(0.0, self.cores)
            / self.cores
    }

    /// Core time used up to a time, ns.
    pub fn used(&mut self, now: u64) -> f64 {
        self.upto(now);
        self.used
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: u64 = 1_000_000;

    /// Plays runs (start, work) in ms on a machine; when each ends, ms.
    fn play(mut machine: Machine, runs: &[(u64, u64)]) -> Vec<u64> {
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
                (Some(_), None) => unreachable!("taken above"),
            }
            while let Some(run) = machine.ended(now) {
                ends[run as usize] = (now + MS / 2) / MS;
            }
        }
    }

    #[test]
    fn cores_are_shared_evenly() {
        // Alone at full pace; two on one core at half; the one that is left speeds up.
        assert_eq!(play(Machine::new(1, 0.0), &[(0, 10)]), [10]);
        assert_eq!(play(Machine::new(1, 0.0), &[(0, 10), (0, 20)]), [20, 30]);
        assert_eq!(
            play(Machine::new(2, 0.0), &[(0, 10), (0, 20), (5, 10)]),
            [13, 23, 18]
        );
        // Crowding by a half: two on one core do a third each less.
        assert_eq!(play(Machine::new(1, 0.5), &[(0, 10), (0, 10)]), [30, 30]);
    }

    #[test]
    fn what_is_taken_off_or_stands_still_ends_later_or_never() {
        let mut machine = Machine::new(1, 0.0);
        machine.start(0, 0, 10 * MS);
        machine.start(0, 1, 10 * MS);
        assert!(machine.stop(4 * MS, 0) && !machine.stop(4 * MS, 0));
        assert_eq!(machine.next_end(), Some(12 * MS));
        machine.set_speed(6 * MS, 0.0);
        assert_eq!((machine.next_end(), machine.running()), (None, 1));
        machine.set_speed(100 * MS, 0.5);
        assert_eq!(machine.next_end(), Some(112 * MS));
        assert_eq!(machine.ended(112 * MS), Some(1));
        // Cores used: all of it, at the pace it had.
        assert!((machine.used(200 * MS) - 12.0 * MS as f64).abs() < 2.0);
        machine.set_taken(200 * MS, 0.5);
        machine.start(200 * MS, 0, 10 * MS);
        // Half of the core, at half its speed.
        assert_eq!(machine.next_end(), Some(240 * MS));
        machine.clear(205 * MS);
        assert_eq!((machine.next_end(), machine.ended(900 * MS)), (None, None));
    }
}
