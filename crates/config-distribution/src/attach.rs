//! Which control machine a process attaches to, and when: near first (zone, then region), evenly among those
//! alike near (rendezvous hash of the two names), one at a time, to the next when one is lost.
//!
//! All waits are drawn, so that the loss of a machine, of a zone or of all makes no stampede: the fleet comes
//! spread over [`SPREAD`], and in rounds that grow to [`WAIT_MOST`] while nobody answers.

use nanorand::{Rng, WyRand};
use std::time::Duration;
use twox_hash::XxHash3_64;

/// Those that lost a machine come to the next ones over so long; it doubles with each try in vain. Of the 17
/// s for a change, silence takes 5 s, and then one, two or three machines that are gone take 2, 6 or 14 s at
/// most.
pub const ATTACH_JITTER: Duration = Duration::from_secs(2);
/// Between two tries while nobody answers: 630 processes make some 160 tries a second at the six together.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// At a start.
pub const STARTUP_JITTER: Duration = Duration::from_millis(250);
/// On a machine that is not the first choice, the first choice is tried again after so long; it doubles.
pub const FAILBACK_MIN: Duration = Duration::from_secs(60);
pub const FAILBACK_MAX: Duration = Duration::from_secs(960);
/// An attachment that lasted so long was a good one: failures before it are forgotten.
const GOOD: Duration = Duration::from_secs(10);

/// A name and where it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeIdentity {
    pub name: String,
    pub region: String,
    pub zone: String,
}

/// Machines in the order in which `who` tries them.
pub fn preference_order(who: &NodeIdentity, machines: &[NodeIdentity]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..machines.len()).collect();
    order.sort_by_key(|at| {
        let machine = &machines[*at];
        let same_region = machine.region == who.region;
        let far = match (same_region, same_region && machine.zone == who.zone) {
            (_, true) => 0,
            (true, _) => 1,
            _ => 2,
        };
        let hash = XxHash3_64::oneshot_with_seed(
            XxHash3_64::oneshot(who.name.as_bytes()),
            machine.name.as_bytes(),
        );
        (far, std::cmp::Reverse(hash), *at)
    });
    order
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttachmentState {
    Waits(Duration),
    Dials,
    On {
        since: Duration,
        home: Option<Duration>,
    },
}

/// Where one process is with its attachment. Its driver asks [`Self::next`] when [`Self::due`] has come,
/// dials, and says how it went.
pub struct AttachmentPolicy {
    order: Vec<usize>,
    /// Place in `order`.
    place: usize,
    at: AttachmentState,
    failures: u32,
    homeward: u32,
    chance: WyRand,
}

impl AttachmentPolicy {
    pub fn new(now: Duration, who: &NodeIdentity, machines: &[NodeIdentity], seed: u64) -> Self {
        let mut chance = WyRand::new_seed(seed);
        let at = AttachmentState::Waits(now + drawn(&mut chance, STARTUP_JITTER));
        Self {
            order: preference_order(who, machines),
            place: 0,
            at,
            failures: 0,
            homeward: 0,
            chance,
        }
    }

    /// When something is to be done: a machine dialled, or the present one left for the first choice.
    pub fn next_deadline(&self) -> Option<Duration> {
        match self.at {
            AttachmentState::Waits(until) => Some(until),
            AttachmentState::Dials => None,
            AttachmentState::On { home, .. } => home,
        }
    }

    /// The machine to dial now, of those given at the start. The link that there was, if any, is closed.
    pub fn next_server(&mut self, now: Duration) -> Option<usize> {
        if self.next_deadline().is_none_or(|due| now < due) {
            return None;
        }
        if matches!(self.at, AttachmentState::On { .. }) {
            self.homeward += 1;
            self.place = 0;
        }
        let machine = *self.order.get(self.place)?;
        self.at = AttachmentState::Dials;
        Some(machine)
    }

    /// The machine said so.
    pub fn on_attached(&mut self, now: Duration) {
        if self.place == 0 {
            self.homeward = 0;
        }
        let home = (self.place > 0).then(|| {
            let wait = FAILBACK_MIN
                .saturating_mul(1 << self.homeward.min(8))
                .min(FAILBACK_MAX);
            now + wait + drawn(&mut self.chance, wait)
        });
        self.at = AttachmentState::On { since: now, home };
    }

    /// The link ended, or went silent, or the machine is not in touch with the others; or it could not be
    /// dialled.
    pub fn on_disconnected(&mut self, now: Duration) {
        match self.at {
            AttachmentState::Waits(_) => return,
            AttachmentState::On { since, .. } if now.saturating_sub(since) >= GOOD => {
                self.failures = 0
            }
            _ => {}
        }
        let wait = ATTACH_JITTER
            .saturating_mul(1 << self.failures.min(8))
            .min(MAX_RETRY_DELAY);
        self.failures = self.failures.saturating_add(1);
        self.place = (self.place + 1) % self.order.len().max(1);
        let wait = drawn(&mut self.chance, wait);
        self.at = AttachmentState::Waits(if crate::plant::planted("no-spread") {
            now
        } else {
            now + wait
        });
    }

    /// The machine said when to come back. The link is closed.
    pub fn on_retry_after(&mut self, now: Duration, after: Duration, elsewhere: bool) {
        if elsewhere {
            return self.on_disconnected(now);
        }
        self.at = AttachmentState::Waits(now + after.min(MAX_RETRY_DELAY));
    }
}

/// Evenly from none to so long.
fn drawn(chance: &mut WyRand, most: Duration) -> Duration {
    let nanos = u64::try_from(most.as_nanos()).unwrap_or(u64::MAX);
    Duration::from_nanos(chance.generate_range(0..=nanos))
}
