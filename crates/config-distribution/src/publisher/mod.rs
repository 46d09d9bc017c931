//! A config server: the newest committed version, a bounded history, and what each of its subscribers holds.
//!
//! Each subscriber has at most one update in flight: a delta, or a window of snapshot chunks. Versions that are
//! committed meanwhile are skipped: from what the subscriber then holds, it gets one delta to the newest version. A slow
//! subscriber therefore has a bounded cost and delays no other.
//!
//! | the subscriber holds | it gets |
//! | --- | --- |
//! | the newest version | periodic pings |
//! | a version of the history, with its digest | one delta to the newest version, unless that is too large |
//! | a version of the history, with another digest | the snapshot; the divergence is reported |
//! | an older version, or none | a compressed snapshot, and a delta from there |
//! | a newer version | nothing until this server has it too: no subscriber is rolled back |
//! | any, and it rejected the newest version | nothing until there is a newer one |
//!
//! A snapshot is compressed when the history no longer reaches back to the last one, and at every
//! [`SNAPSHOT_INTERVAL`]th version, so that all servers usually have the same one and a transfer can be resumed from
//! another server.
//!
//! Invariants: the history has no gaps and ends at the newest version; each subscriber has at most one update in flight;
//! a name is attached at most once.

mod delivery;
mod history;
mod limits;
mod pacer;
mod report;
mod requests;
mod session;
mod snapshots;
mod status;

pub use limits::PublisherLimits;
pub use report::{
    Counters, Effect, Event, RejectedVersion, RolloutProgress, SubscriberStatus, SubscriberVersion,
};

use crate::delta::ConfigState;
use crate::frames::{Delta, Ping, ServerMessage};
use crate::snapshot::{self, DecodedSnapshot};
use crate::UpdateError;
use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use history::History;
use pacer::AttachmentPacer;
use session::{DeliveryAction, SubscriberSession};
use snapshots::{CompressedSnapshot, SnapshotCache};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval of pings to each subscriber.
pub const PING_INTERVAL: Duration = Duration::from_secs(2);
/// A subscriber is disconnected when no frame of it arrived for this long: three unanswered pings.
pub const SUBSCRIBER_TIMEOUT: Duration = Duration::from_secs(7);
/// An update that was not acknowledged for this long is sent again.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// A snapshot is compressed at the commit of every version that is a multiple of this.
pub const SNAPSHOT_INTERVAL: u64 = 256;
/// Interval of checks of all subscribers for timeouts and pings.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of a link, assigned by the driver and never reused.
pub type Link = u64;

/// The decisions of one config server. All times are measured on one monotonic clock whose origin is the driver's
/// choice.
pub struct Publisher {
    limits: PublisherLimits,
    version: u64,
    state: ConfigState,
    history: History,
    snapshots: SnapshotCache,
    /// When a snapshot was last compressed because a subscriber needed one.
    compressed_at: Option<Duration>,
    sessions: BTreeMap<Link, SubscriberSession>,
    /// Links by the name of the subscriber.
    links: HashMap<String, Link>,
    /// Encoded deltas to the newest version, by the version that they begin at; `None` if it cannot be sent.
    delta_frames: HashMap<u64, Option<Bytes>>,
    /// When this server last knew that no other has a newer version.
    current_at: Duration,
    pacer: AttachmentPacer,
    next_sweep: Duration,
    effects: Vec<Effect>,
    counters: Counters,
}

impl Publisher {
    /// A server without any committed version: version 0, which is empty. `seed` determines all random delays.
    #[must_use]
    pub fn new(now: Duration, limits: PublisherLimits, seed: u64) -> Self {
        Self {
            limits,
            version: 0,
            state: ConfigState::default(),
            history: History::default(),
            snapshots: SnapshotCache::default(),
            compressed_at: None,
            sessions: BTreeMap::new(),
            links: HashMap::new(),
            delta_frames: HashMap::new(),
            current_at: now,
            pacer: AttachmentPacer::new(now, &limits, seed),
            next_sweep: now + SWEEP_INTERVAL,
            effects: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// The newest version; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The newest version's state.
    #[must_use]
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// The newest version as a compressed snapshot, for the log's own snapshot and for a disk.
    ///
    /// # Errors
    /// [`UpdateError::TooLarge`] if it exceeds the limits of [`crate::snapshot`].
    pub fn compressed_snapshot(&mut self) -> Result<Bytes, UpdateError> {
        if let Some(cached) = self.snapshots.of_version(self.version) {
            return Ok(cached.bytes.clone());
        }
        let bytes = Bytes::from(snapshot::encode(self.version, &self.state)?);
        self.counters.compressed_snapshots += 1;
        self.cache_snapshot(bytes.clone());
        Ok(bytes)
    }

    /// Caches the compressed snapshot of the newest version.
    fn cache_snapshot(&mut self, bytes: Bytes) {
        self.snapshots.insert(CompressedSnapshot {
            version: self.version,
            digest: self.state.digest(),
            bytes,
        });
    }

    /// Replaces the state by a compressed snapshot. The history is empty then. An older or equal version is ignored.
    ///
    /// # Errors
    /// Those of [`snapshot::decode`]; nothing is changed then.
    pub fn restore(&mut self, now: Duration, compressed: Bytes) -> Result<(), UpdateError> {
        let DecodedSnapshot { version, state } = snapshot::decode(&compressed)?;
        if version <= self.version {
            return Ok(());
        }
        (self.version, self.state) = (version, state);
        self.history.clear();
        self.delta_frames.clear();
        self.cache_snapshot(compressed);
        self.offer_all(now);
        Ok(())
    }

    /// Applies the next committed delta, in the order of the log, and offers the new version to all subscribers.
    ///
    /// # Errors
    /// [`UpdateError::VersionMismatch`] or [`UpdateError::NotNewer`] for a delta that is not from the newest version to
    /// a later one, and those of [`ConfigState::apply`]; nothing is changed then.
    pub fn apply_committed(&mut self, now: Duration, delta: Delta) -> Result<(), UpdateError> {
        if delta.from != self.version {
            return Err(UpdateError::VersionMismatch {
                base: delta.from,
                current: self.version,
            });
        }
        if delta.to <= delta.from {
            return Err(UpdateError::NotNewer);
        }
        self.state.apply(&delta)?;
        self.version = delta.to;
        self.counters.committed += 1;
        self.delta_frames.clear();
        self.history.push(now, delta, &self.limits);
        if self.version.is_multiple_of(SNAPSHOT_INTERVAL) {
            // A state that is too large was reported to its publisher, and no snapshot of it can be sent.
            let _ = self.compressed_snapshot();
        }
        self.offer_all(now);
        Ok(())
    }

    /// At `now` this server knew that no other has a newer version, by a message of the cluster's leader.
    pub fn mark_current(&mut self, now: Duration) {
        self.current_at = self.current_at.max(now);
    }

    fn age_ms(&self, now: Duration) -> u64 {
        let age = now.saturating_sub(self.current_at);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// Digest of a version, if it is the newest one or in the history.
    fn digest_at(&self, version: u64) -> Option<u64> {
        if version == self.version {
            return Some(self.state.digest());
        }
        self.history.digest_at(version)
    }

    /// The link ended. Does nothing if no subscriber is attached on it.
    pub fn on_disconnected(&mut self, link: Link) {
        if let Some(session) = self.sessions.remove(&link) {
            let name = session.identity.name;
            self.links.remove(&name);
            self.effects
                .push(Effect::Event(Event::Disconnected { name }));
        }
    }

    fn close(&mut self, link: Link) {
        self.effects.push(Effect::Close(link));
        self.on_disconnected(link);
    }

    /// When [`Self::tick`] is due; `None` without subscribers.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        (!self.sessions.is_empty()).then_some(self.next_sweep)
    }

    /// Checks all subscribers: sends pings, sends again what timed out, and disconnects silent subscribers. Does nothing
    /// before [`Self::next_deadline`].
    pub fn tick(&mut self, now: Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let ping = ServerMessage::Ping(Ping {
            version: self.version,
            age_ms: self.age_ms(now),
        })
        .into_frame();
        let links: Vec<Link> = self.sessions.keys().copied().collect();
        for link in links {
            self.check_session(now, link);
            self.send_ping_if_due(now, link, &ping);
        }
    }

    fn check_session(&mut self, now: Duration, link: Link) {
        let Some(session) = self.sessions.get_mut(&link) else {
            return;
        };
        if session.is_timed_out(now) {
            self.close(link);
            return;
        }
        match session.check_delivery(now) {
            DeliveryAction::Wait => {}
            DeliveryAction::Offer => self.offer(now, link),
            DeliveryAction::OfferAgain => {
                self.counters.retransmissions += 1;
                self.offer(now, link);
            }
            DeliveryAction::ResendChunks => {
                self.counters.retransmissions += 1;
                self.send_chunks(now, link);
            }
        }
    }

    /// A ping is sent whatever else is: it is the only frame that says when the server last knew that it is current.
    fn send_ping_if_due(&mut self, now: Duration, link: Link, ping: &Bytes) {
        let Some(session) = self.sessions.get_mut(&link) else {
            return;
        };
        if now.saturating_sub(session.last_ping_at) >= PING_INTERVAL {
            session.last_ping_at = now;
            self.send(link, ping.clone());
        }
    }

    fn send(&mut self, link: Link, frame: Bytes) {
        self.counters.bytes_out += frame.len() as u64;
        self.effects.push(Effect::Send { link, frame });
    }

    /// Removes and returns the effects, in order.
    pub fn take_effects(&mut self) -> std::vec::Drain<'_, Effect> {
        self.effects.drain(..)
    }
}
