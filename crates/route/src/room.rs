//! A pool's room parted among tenants while it is scarce.
//!
//! While there is room anybody may have it. Once more than [`SCARCE`] of it is in use, a tenant goes on only while
//! it has less in the pool than its part: its share against the shares of all that asked lately. So a tenant that is
//! alone may fill the pool, and one that floods it cannot keep the others out. Nobody is kept waiting.
//!
//! Names that the configuration does not know are strangers. All together they have one part; within it each has
//! an even part by a hash of its name, in a fixed number of cells: a hundred thousand made-up names cost no more
//! memory than one, and take nothing from those that are known.
//!
//! Invariants: `open` of all is the sum over tenants and cells; `weights` is the sum of those that are active.

use rainstand_config::units::ONE;
use std::time::Duration;

/// In use from which on room is scarce: what is left is for those below their part.
pub const SCARCE: f64 = 0.8;
/// Who asked within this time counts when parts are made.
const ACTIVE: Duration = Duration::from_secs(2);
/// Cells for strangers, 8 bytes each.
pub const CELLS: usize = 1_024;
/// What all strangers have together at least, whatever was promised to others: one of the new customers may be real.
const STRANGERS: f64 = 0.05;

/// Whose ticket it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Known(u16),
    /// A cell by the hash of its name.
    Stranger(u16),
}

impl Who {
    /// `mark`: a hash of the name ([`crate::split::mark`]), used where the tenant is not known.
    pub fn new(tenant: Option<u16>, mark: u64) -> Self {
        tenant.map_or(Who::Stranger((mark % CELLS as u64) as u16), Who::Known)
    }
}

#[derive(Clone, Debug)]
struct One {
    weight: f64,
    open: u32,
    asked: Option<Duration>,
}

/// See the module's head.
#[derive(Clone, Debug)]
pub struct Room {
    /// Tenants, and behind them the strangers as one.
    all: Vec<One>,
    cells: Vec<(u32, Option<Duration>)>,
    active_cells: u32,
    weights: f64,
    open: u32,
}

impl Room {
    /// `shares`: each tenant's, in millionths; 0 for one that was promised nothing: it has an even part of what the
    /// others leave.
    pub fn new(shares: impl Iterator<Item = u64> + Clone) -> Self {
        let promised: u64 = shares.clone().sum();
        let without = shares.clone().filter(|share| *share == 0).count();
        let left = (1.0 - promised as f64 / ONE as f64).max(STRANGERS);
        let even = left / (without + 1) as f64;
        let weights = shares.map(|share| if share == 0 { even } else { share as f64 / ONE as f64 });
        let one = |weight| One { weight, open: 0, asked: None };
        let all = weights.chain(std::iter::once(even)).map(one).collect();
        Self { all, cells: vec![(0, None); CELLS], active_cells: 0, weights: 0.0, open: 0 }
    }

    fn place(&self, who: Who) -> usize {
        match who {
            Who::Known(tenant) => usize::from(tenant).min(self.all.len() - 1),
            Who::Stranger(_) => self.all.len() - 1,
        }
    }

    /// Of this many places, the part of a tenant, as if it had asked; for a stranger that of all strangers. None if
    /// nobody else asks.
    fn part(&self, at: usize, room: f64) -> Option<f64> {
        let one = &self.all[at];
        let others = self.weights - if one.asked.is_some() { one.weight } else { 0.0 };
        // Sums of fractions come out a little beside nothing.
        (others > 1e-9).then(|| (room * one.weight / (others + one.weight)).max(1.0))
    }

    /// Whether a ticket may go now, of `room` places in all. If not: how far its tenant is over its part, at least
    /// 1, for a time to come back.
    ///
    /// # Errors
    /// As told above.
    pub fn may(&self, who: Who, room: u32) -> Result<(), f64> {
        let room = f64::from(room);
        if f64::from(self.open) < room * SCARCE {
            return Ok(());
        }
        let at = self.place(who);
        // Alone it may have all there is; whether there is any is not decided here.
        let Some(part) = self.part(at, room) else { return Ok(()) };
        let all = f64::from(self.all[at].open);
        let (held, part) = match who {
            Who::Known(_) => (all, part),
            // They have one part together, however many they say they are.
            Who::Stranger(_) if all >= part => return Err((all / part).max(1.0)),
            Who::Stranger(cell) => {
                let (held, asked) = self.cells[usize::from(cell)];
                let cells = self.active_cells + u32::from(asked.is_none());
                (f64::from(held), (part / f64::from(cells)).max(1.0))
            }
        };
        if held < part {
            Ok(())
        } else {
            Err((held / part).max(1.0))
        }
    }

    /// Somebody asked, whatever came of it: from now on its part is kept for it.
    pub fn asked(&mut self, who: Who, now: Duration) {
        let at = self.place(who);
        let one = &mut self.all[at];
        if one.asked.replace(now).is_none() {
            self.weights += one.weight;
        }
        if let Who::Stranger(cell) = who {
            if self.cells[usize::from(cell)].1.replace(now).is_none() {
                self.active_cells += 1;
            }
        }
    }

    pub fn enter(&mut self, who: Who) {
        let at = self.place(who);
        self.all[at].open += 1;
        self.open += 1;
        if let Who::Stranger(cell) = who {
            self.cells[usize::from(cell)].0 += 1;
        }
    }

    pub fn leave(&mut self, who: Who) {
        let at = self.place(who);
        debug_assert!(self.all[at].open > 0, "more left than came in");
        self.all[at].open = self.all[at].open.saturating_sub(1);
        self.open = self.open.saturating_sub(1);
        if let Who::Stranger(cell) = who {
            let cell = &mut self.cells[usize::from(cell)].0;
            *cell = cell.saturating_sub(1);
        }
    }

    /// Time passes: who asked nothing lately has no part. Some times a second.
    pub fn look(&mut self, now: Duration) {
        let old = |asked: &Option<Duration>| asked.is_some_and(|at| now.saturating_sub(at) > ACTIVE);
        for one in &mut self.all {
            if old(&one.asked) && one.open == 0 {
                one.asked = None;
            }
        }
        for cell in &mut self.cells {
            if old(&cell.1) && cell.0 == 0 {
                cell.1 = None;
            }
        }
        // Summed anew: sums of fractions drift.
        self.weights = self.all.iter().filter(|one| one.asked.is_some()).map(|one| one.weight).sum();
        self.active_cells = self.cells.iter().filter(|cell| cell.1.is_some()).count() as u32;
    }

    pub fn open(&self) -> u32 {
        self.open
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    fn asks(room: &mut Room, who: Who, now: Duration, of: u32) -> Result<(), f64> {
        room.asked(who, now);
        room.may(who, of)
    }

    /// Enters as many as may, up to `wanted`.
    fn fill(room: &mut Room, who: Who, wanted: u32, of: u32) -> u32 {
        let mut entered = 0;
        for _ in 0..wanted {
            if asks(room, who, MS(1), of).is_ok() {
                room.enter(who);
                entered += 1;
            }
        }
        entered
    }

    #[test]
    fn alone_it_may_have_all_and_beside_others_its_part() {
        let mut room = Room::new([500_000, 300_000].into_iter());
        assert_eq!(fill(&mut room, Who::Known(1), 100, 100), 100);
        // The other one still has its way in, past what the first took while it was alone.
        let its = fill(&mut room, Who::Known(0), 1_000, 100);
        assert_eq!(its, 63, "five eighths of a hundred, rounded up");
        // The first gets nothing more before it is below its part.
        assert!(asks(&mut room, Who::Known(1), MS(2), 100).unwrap_err() > 2.0);
        (0..70).for_each(|_| room.leave(Who::Known(1)));
        assert_eq!(fill(&mut room, Who::Known(1), 100, 100), 8);
    }

    #[test]
    fn a_flood_of_made_up_names_takes_nothing_from_known_ones() {
        let mut room = Room::new([300_000, 600_000].into_iter());
        let mut got = 0;
        for n in 0..100_000u64 {
            let who = Who::new(None, crate::split::mark(&format!("made up {n}")));
            room.asked(Who::Known(0), MS(n / 100));
            if asks(&mut room, who, MS(n / 100), 200).is_ok() {
                room.enter(who);
                got += 1;
            }
        }
        // What nobody else uses they may have, but not what is kept.
        assert_eq!(got, 160);
        assert_eq!(fill(&mut room, Who::Known(0), 60, 200), 60, "its share of 200, all of it");
        assert_eq!(fill(&mut room, Who::Known(1), 120, 200), 120);
        assert_eq!(room.cells.len(), CELLS);
        assert_eq!(room.open(), got + 180);
    }

    #[test]
    fn who_asks_no_more_frees_its_part() {
        let mut room = Room::new([500_000, 500_000].into_iter());
        room.asked(Who::Known(1), MS(0));
        assert_eq!(
            fill(&mut room, Who::Known(0), 20, 10),
            8,
            "eight while there is room, and half is its part"
        );
        room.look(MS(2_500));
        assert!(asks(&mut room, Who::Known(0), MS(2_500), 10).is_ok());
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

        /// Whoever holds less than its share of all tenants' shares is let in, whatever others do; and counts agree.
        #[test]
        fn below_its_share_nobody_is_turned_away(
            shares in proptest::collection::vec(1u64..300_000, 1..5),
            steps in proptest::collection::vec((0u16..6, any::<bool>(), 0u64..900, any::<u64>()), 1..400),
            of in 1u32..120,
        ) {
            let mut room = Room::new(shares.iter().copied());
            let (mut now, mut open): (u64, Vec<Who>) = (0, Vec::new());
            let all: f64 = room.all.iter().map(|one| one.weight).sum();
            for (tenant, leaves, gap, mark) in steps {
                now += gap;
                if leaves && !open.is_empty() {
                    let one = open.swap_remove(mark as usize % open.len());
                    room.leave(one);
                    continue;
                }
                let known = (usize::from(tenant) < shares.len()).then_some(tenant);
                let who = Who::new(known, mark);
                room.look(MS(now));
                let held = room.all[room.place(who)].open;
                let verdict = asks(&mut room, who, MS(now), of);
                if let Some(tenant) = known {
                    let share = room.all[usize::from(tenant)].weight / all;
                    if f64::from(held) < share * f64::from(of) {
                        prop_assert!(verdict.is_ok(), "held {held} of {of} at a share of {share}");
                    }
                }
                match verdict {
                    Ok(()) => {
                        room.enter(who);
                        open.push(who);
                    }
                    Err(over) => prop_assert!(over >= 1.0),
                }
                prop_assert_eq!(room.open() as usize, open.len());
                let sum: f64 = room.all.iter().filter(|one| one.asked.is_some()).map(|one| one.weight).sum();
                prop_assert!((room.weights - sum).abs() < 1e-9);
            }
        }
    }
}
