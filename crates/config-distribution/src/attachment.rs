//! Which config server a process attaches to, and when.
//!
//! Servers are preferred by proximity (same zone, then same region) and, among equally near ones, by rendezvous hash of
//! the two names, so that load spreads evenly. A process has one attachment at a time and moves on to the next server
//! when it loses one.
//!
//! All delays are jittered, so that the loss of a server, of a zone or of all servers causes no thundering herd:
//! reconnections spread over [`ATTACH_JITTER`], and back off to [`MAX_RETRY_DELAY`] while no server answers.

use crate::planted_bugs::{is_planted, PlantedBug};
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::time::Duration;
use twox_hash::XxHash3_64;

/// Range of the random delay before a process that lost its server connects to the next one; it doubles with each
/// failed attempt. A change must arrive within 17 s: detecting a silent server takes 5 s, and one, two or three failed
/// servers then take at most 2, 6 or 14 s.
pub const ATTACH_JITTER: Duration = Duration::from_secs(2);
/// Upper bound of the delay between two attempts. With 630 processes this is some 160 attempts a second over all six
/// servers while none answers.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// Range of the random delay before the first attempt after a start.
pub const STARTUP_JITTER: Duration = Duration::from_millis(250);
/// Initial delay before a process that is attached to a less preferred server tries the preferred one again; it doubles
/// with each attempt.
pub const FAILBACK_MIN: Duration = Duration::from_mins(1);
/// Upper bound of the delay that begins at [`FAILBACK_MIN`].
pub const FAILBACK_MAX: Duration = Duration::from_mins(16);
/// An attachment that lasted this long was stable: the count of failures before it is reset.
const STABLE_AFTER: Duration = Duration::from_secs(10);
/// Largest exponent of an exponential backoff; each is capped by its own maximum well before.
const MAX_BACKOFF_EXPONENT: u32 = 8;

/// Name and location of a process or a config server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Unique in the fleet.
    pub name: String,
    /// Region that it runs in.
    pub region: String,
    /// Availability zone within the region.
    pub zone: String,
}

/// Whether a process that got a retry-after should retry on the same server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryTarget {
    /// The server is only pacing attachments.
    SameServer,
    /// The server is full, or does not support the subscriber's schema version.
    OtherServer,
}

/// How far a server is from a process, nearest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Proximity {
    SameZone,
    SameRegion,
    Remote,
}

fn proximity(node: &NodeIdentity, server: &NodeIdentity) -> Proximity {
    if server.region != node.region {
        Proximity::Remote
    } else if server.zone != node.zone {
        Proximity::SameRegion
    } else {
        Proximity::SameZone
    }
}

/// Indices into `servers` in the order in which `node` tries them.
#[must_use]
pub fn preference_order(node: &NodeIdentity, servers: &[NodeIdentity]) -> Vec<usize> {
    let node_hash = XxHash3_64::oneshot(node.name.as_bytes());
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.sort_by_key(|index| {
        let server = &servers[*index];
        let weight = XxHash3_64::oneshot_with_seed(node_hash, server.name.as_bytes());
        (proximity(node, server), Reverse(weight), *index)
    });
    order
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttachmentState {
    Waiting {
        until: Duration,
    },
    Connecting,
    Attached {
        since: Duration,
        /// When the preferred server is tried again; `None` if this is the preferred one.
        failback_at: Option<Duration>,
    },
}

/// The attachment of one process. Its driver calls [`Self::next_server`] once [`Self::next_deadline`] has passed,
/// connects, and reports the outcome.
///
/// Times are measured on one monotonic clock whose origin is the driver's choice.
pub struct AttachmentPolicy {
    order: Vec<usize>,
    /// Index into `order` of the current or next server.
    position: usize,
    state: AttachmentState,
    /// Failures since the last stable attachment.
    failures: u32,
    /// Attempts to return to the preferred server since it last accepted.
    failback_attempts: u32,
    rng: WyRand,
}

impl AttachmentPolicy {
    /// A process that starts at `now`. `seed` determines all random delays.
    #[must_use]
    pub fn new(now: Duration, node: &NodeIdentity, servers: &[NodeIdentity], seed: u64) -> Self {
        let mut rng = WyRand::new_seed(seed);
        let until = now + random_delay(&mut rng, STARTUP_JITTER);
        Self {
            order: preference_order(node, servers),
            position: 0,
            state: AttachmentState::Waiting { until },
            failures: 0,
            failback_attempts: 0,
            rng,
        }
    }

    /// When [`Self::next_server`] is due: to connect, or to leave the current server for the preferred one. `None` if
    /// only an event can change the state.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        match self.state {
            AttachmentState::Waiting { until } => Some(until),
            AttachmentState::Connecting => None,
            AttachmentState::Attached { failback_at, .. } => failback_at,
        }
    }

    /// The server to connect to now, as an index into the servers given at creation; `None` before the deadline. The
    /// driver closes the current link first, if there is one.
    pub fn next_server(&mut self, now: Duration) -> Option<usize> {
        if self.next_deadline().is_none_or(|deadline| now < deadline) {
            return None;
        }
        if matches!(self.state, AttachmentState::Attached { .. }) {
            self.failback_attempts += 1;
            self.position = 0;
        }
        let server = *self.order.get(self.position)?;
        self.state = AttachmentState::Connecting;
        Some(server)
    }

    /// The server accepted the attachment.
    pub fn on_attached(&mut self, now: Duration) {
        if self.position == 0 {
            self.failback_attempts = 0;
        }
        let failback_at = (self.position > 0).then(|| {
            let delay = exponential_backoff(FAILBACK_MIN, self.failback_attempts, FAILBACK_MAX);
            now + delay + random_delay(&mut self.rng, delay)
        });
        self.state = AttachmentState::Attached {
            since: now,
            failback_at,
        };
    }

    /// The link ended, the server could not be reached, or [`crate::subscriber::Subscriber::is_server_lost`] holds.
    pub fn on_disconnected(&mut self, now: Duration) {
        match self.state {
            AttachmentState::Waiting { .. } => return,
            AttachmentState::Attached { since, .. }
                if now.saturating_sub(since) >= STABLE_AFTER =>
            {
                self.failures = 0;
            }
            _ => {}
        }
        let range = exponential_backoff(ATTACH_JITTER, self.failures, MAX_RETRY_DELAY);
        self.failures = self.failures.saturating_add(1);
        self.position = (self.position + 1) % self.order.len().max(1);
        let delay = random_delay(&mut self.rng, range);
        let until = if is_planted(PlantedBug::NoJitter) {
            now
        } else {
            now + delay
        };
        self.state = AttachmentState::Waiting { until };
    }

    /// The server rejected the attachment and said when to retry. The driver closes the link. Delays above
    /// [`MAX_RETRY_DELAY`] are reduced to it.
    pub fn on_retry_after(&mut self, now: Duration, delay: Duration, target: RetryTarget) {
        match target {
            RetryTarget::OtherServer => self.on_disconnected(now),
            RetryTarget::SameServer => {
                let until = now + delay.min(MAX_RETRY_DELAY);
                self.state = AttachmentState::Waiting { until };
            }
        }
    }
}

/// `initial` doubled `attempts` times, at most `max`.
fn exponential_backoff(initial: Duration, attempts: u32, max: Duration) -> Duration {
    initial
        .saturating_mul(1 << attempts.min(MAX_BACKOFF_EXPONENT))
        .min(max)
}

/// Uniformly distributed from zero to `max`, both included.
fn random_delay(rng: &mut WyRand, max: Duration) -> Duration {
    let max_nanos = u64::try_from(max.as_nanos()).unwrap_or(u64::MAX);
    Duration::from_nanos(rng.generate_range(0..=max_nanos))
}
