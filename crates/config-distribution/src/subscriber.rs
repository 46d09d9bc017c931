//! A process that holds one version: what it takes, confirms and refuses.
//!
//! | what comes | rule |
//! | --- | --- |
//! | a delta from the version in force | checked, then handed to the driver; confirmed when it is in force |
//! | one to the version in force or an older one (stale, twice) | confirmed anew, changes nothing |
//! | one that begins elsewhere (gap, out of order) | asked for what begins at the version in force |
//! | one that leads to another digest, or cannot be applied | an event, and a snapshot is asked for |
//! | pieces of a snapshot | kept across links, asked for from where they end; an older version: stale |
//! | anything while the driver is at work | left: the machine sends again what is not confirmed |
//! | the driver cannot take a version | refused with its reason; the last good one stays in force |
//!
//! Invariants: `version` never goes down; what is in force is what was last confirmed by the driver; a
//! confirmation names only a version that is in force.

use crate::attachment::{NodeIdentity, RetryTarget};
use crate::delta::ConfigState;
use crate::frames::{
    Ack, Attach, ClientMessage, Delta, Nack, ResyncReason, ResyncRequest, ServerMessage,
    SnapshotChunk, SnapshotProgress,
};
use crate::planted_bugs::{is_planted, PlantedBug};
use crate::{snapshot, UpdateError};
use bytes::Bytes;
use rainstand_config::schema;
use std::time::Duration;

/// A machine of which nothing was heard for so long is left: two and a half pings.
pub const SILENT: Duration = Duration::from_secs(5);
/// A machine that did not know for so long whether others have a newer version is left for one that may.
pub const STALE: Duration = Duration::from_secs(8);
/// A reason is cut to so many bytes.
pub const MOST_REASON: usize = 256;

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send(Bytes),
    /// Take [`Subscriber::pending`], which is this version, and say how it went.
    Apply(u64),
    /// Close the link and tell the chooser.
    RetryAfter {
        after: Duration,
        target: RetryTarget,
    },
    /// Close the link and tell the chooser that it was lost: what came was no frame.
    Close,
    Event(Event),
}

/// What operators are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Applied {
        version: u64,
    },
    Rejected {
        version: u64,
        reason: String,
    },
    /// What came led to another digest, or could not be applied: a snapshot was asked for.
    Diverged {
        version: u64,
        why: UpdateError,
    },
    Gap {
        holds: u64,
        from: u64,
    },
    Malformed,
}

/// A version that the driver is at work on.
#[derive(Debug)]
pub enum PendingUpdate {
    Delta(Delta),
    Snapshot { version: u64, state: ConfigState },
}

impl PendingUpdate {
    pub fn version(&self) -> u64 {
        match self {
            Self::Delta(delta) => delta.to,
            Self::Snapshot { version, .. } => *version,
        }
    }
}

/// A packed snapshot of which the first bytes are in hand.
#[derive(Debug, Default)]
struct Partial {
    version: u64,
    digest: u64,
    length: usize,
    bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub in_force: u64,
    pub nacks: u64,
    pub stale: u64,
    pub gaps: u64,
    pub divergences: u64,
    pub busy: u64,
    pub chunks: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub malformed: u64,
}

pub struct Subscriber {
    who: NodeIdentity,
    version: u64,
    state: ConfigState,
    pending: Option<PendingUpdate>,
    partial: Option<Partial>,
    /// There is a link; without one nothing is sent.
    linked: bool,
    /// Its machine said that it is attached.
    attached: bool,
    heard: Duration,
    /// When its machine was attached to.
    since: Duration,
    /// The newest version by its machine, and when that machine last knew that there is no newer one.
    told: (u64, Duration),
    /// When the version in force was last known to be the newest.
    newest: Duration,
    orders: Vec<Effect>,
    counters: Counters,
}

impl Subscriber {
    /// With nothing in hand: version 0, which is empty.
    pub fn new(now: Duration, who: NodeIdentity) -> Self {
        Self::with_version(now, who, 0, ConfigState::default())
    }

    /// With a version that is in force already, as read from a disk.
    pub fn with_version(
        now: Duration,
        who: NodeIdentity,
        version: u64,
        state: ConfigState,
    ) -> Self {
        Self {
            who,
            version,
            state,
            pending: None,
            partial: None,
            linked: false,
            attached: false,
            heard: now,
            since: now,
            told: (0, now),
            newest: now,
            orders: Vec::new(),
            counters: Counters::default(),
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    pub fn is_attached(&self) -> bool {
        self.attached
    }

    /// What the driver is to take: the change, or all of it.
    pub fn pending(&self) -> Option<&PendingUpdate> {
        self.pending.as_ref()
    }

    /// How long ago this was last known to be the newest version.
    pub fn staleness(&self, now: Duration) -> Duration {
        now.saturating_sub(self.newest)
    }

    /// What there is to do, in order.
    pub fn take_effects(&mut self) -> std::vec::Drain<'_, Effect> {
        self.orders.drain(..)
    }

    /// The machine is to be left: nothing was heard of it for too long, or it is out of touch with the
    /// others.
    pub fn is_server_lost(&self, now: Duration) -> bool {
        let long = |at: Duration, most| now.saturating_sub(at) >= most;
        let stale = self.attached && long(self.since, STALE) && long(self.told.1, STALE);
        self.linked && (long(self.heard, SILENT) || stale)
    }

    /// A link is open: the attachment is sent on it.
    pub fn on_connected(&mut self, now: Duration) {
        self.linked = true;
        self.attached = false;
        self.heard = now;
        let partial = self.partial.as_ref().map(|partial| SnapshotProgress {
            version: partial.version,
            digest: partial.digest,
            offset: partial.bytes.len() as u64,
        });
        let NodeIdentity { name, region, zone } = self.who.clone();
        let (version, digest) = (self.version, self.state.digest());
        self.send(ClientMessage::Attach(Attach {
            name,
            region,
            zone,
            version,
            digest,
            schema_version: schema::VERSION,
            partial,
        }));
    }

    /// The link is over. What is pending stays so: the driver is at work on it.
    pub fn on_link_closed(&mut self) {
        self.linked = false;
        self.attached = false;
        self.orders
            .retain(|order| !matches!(order, Effect::Send(_)));
    }

    /// A frame of the link.
    pub fn on_frame(&mut self, now: Duration, frame: Bytes) {
        self.heard = now;
        self.counters.bytes_in += frame.len() as u64;
        match ServerMessage::from_frame(frame) {
            Ok(ServerMessage::Attached(said)) => {
                (self.attached, self.since) = (true, now);
                self.told(now, said.version, said.age_ms);
            }
            Ok(ServerMessage::Ping(said)) => {
                self.told(now, said.version, said.age_ms);
                self.confirm();
            }
            Ok(ServerMessage::RetryAfter(said)) => {
                let after = Duration::from_millis(said.after_ms);
                self.orders.push(Effect::RetryAfter {
                    after,
                    target: if said.elsewhere {
                        RetryTarget::OtherServer
                    } else {
                        RetryTarget::SameServer
                    },
                });
            }
            Ok(ServerMessage::Delta(delta)) => self.delta(delta),
            Ok(ServerMessage::SnapshotChunk(piece)) => self.piece(piece),
            Err(_) => {
                self.counters.malformed += 1;
                self.orders.push(Effect::Event(Event::Malformed));
                self.orders.push(Effect::Close);
            }
        }
    }

    fn told(&mut self, now: Duration, version: u64, age_ms: u64) {
        self.told = (version, now.saturating_sub(Duration::from_millis(age_ms)));
        self.is_newest();
    }

    fn is_newest(&mut self) {
        if self.told.0 <= self.version {
            self.newest = self.newest.max(self.told.1);
        }
    }

    fn delta(&mut self, delta: Delta) {
        if self.pending.is_some() {
            self.counters.busy += 1;
        } else if delta.to <= self.version {
            self.counters.stale += 1;
            self.confirm();
        } else if delta.from != self.version && !is_planted(PlantedBug::DeltaOverGap) {
            self.counters.gaps += 1;
            self.orders.push(Effect::Event(Event::Gap {
                holds: self.version,
                from: delta.from,
            }));
            self.ask(ResyncReason::Gap);
        } else if let Err(why) = self.state.validate(&delta) {
            self.differs(delta.to, why);
        } else {
            self.take(PendingUpdate::Delta(delta));
        }
    }

    fn piece(&mut self, piece: SnapshotChunk) {
        if self.pending.is_some() {
            self.counters.busy += 1;
            return;
        }
        // One of the version in force helps where that was found to differ; else it is stale.
        if (piece.version, piece.digest) == (self.version, self.state.digest())
            || piece.version < self.version
        {
            self.counters.stale += 1;
            self.confirm();
            return;
        }
        let length = usize::try_from(piece.length).unwrap_or(usize::MAX);
        if length > snapshot::MAX_COMPRESSED_BYTES {
            self.differs(
                piece.version,
                UpdateError::TooLarge("the snapshot is larger than is taken"),
            );
            return;
        }
        self.counters.chunks += 1;
        let same = |kept: &Partial| {
            (kept.version, kept.digest, kept.length) == (piece.version, piece.digest, length)
        };
        let mut partial = match self.partial.take() {
            Some(kept) if same(&kept) => kept,
            kept if piece.offset > 0 => {
                // Of another one than the one in hand, not from its beginning: it is asked for from there.
                self.partial = kept;
                self.counters.stale += 1;
                return self.send(ClientMessage::SnapshotProgress(SnapshotProgress {
                    version: piece.version,
                    digest: piece.digest,
                    offset: 0,
                }));
            }
            _ => Partial {
                version: piece.version,
                digest: piece.digest,
                length,
                bytes: Vec::new(),
            },
        };
        let next = piece.offset == partial.bytes.len() as u64;
        if next && partial.bytes.len() + piece.bytes.len() <= length {
            partial.bytes.extend_from_slice(&piece.bytes);
        } else {
            self.counters.stale += 1;
        }
        let offset = partial.bytes.len() as u64;
        let got = SnapshotProgress {
            version: partial.version,
            digest: partial.digest,
            offset,
        };
        if partial.bytes.len() < partial.length {
            self.partial = Some(partial);
            self.send(ClientMessage::SnapshotProgress(got));
            return;
        }
        match snapshot::decode(&partial.bytes) {
            Ok(snapshot::DecodedSnapshot { version, state })
                if (version, state.digest()) == (partial.version, partial.digest) =>
            {
                self.send(ClientMessage::SnapshotProgress(got));
                self.take(PendingUpdate::Snapshot { version, state });
            }
            Ok(_) => self.differs(partial.version, UpdateError::DigestMismatch),
            Err(why) => self.differs(partial.version, why),
        }
    }

    fn differs(&mut self, version: u64, why: UpdateError) {
        self.counters.divergences += 1;
        self.orders
            .push(Effect::Event(Event::Diverged { version, why }));
        self.ask(ResyncReason::Diverged);
    }

    fn ask(&mut self, lack: ResyncReason) {
        let digest = self.state.digest();
        self.send(ClientMessage::ResyncRequest(ResyncRequest {
            reason: lack as i32,
            version: self.version,
            digest,
        }));
    }

    fn take(&mut self, pending: PendingUpdate) {
        let version = pending.version();
        self.orders.push(Effect::Apply(version));
        if is_planted(PlantedBug::EarlyAck) {
            let digest = match &pending {
                PendingUpdate::Delta(delta) => delta.digest,
                PendingUpdate::Snapshot { state, .. } => state.digest(),
            };
            self.send(ClientMessage::Ack(Ack { version, digest }));
        }
        self.pending = Some(pending);
    }

    /// The driver has put the pending version into force: all that comes in from now on is decided by it.
    pub fn on_applied(&mut self, version: u64) {
        let Some(pending) = self.pending.take_if(|pending| pending.version() == version) else {
            return;
        };
        match pending {
            PendingUpdate::Delta(delta) => {
                // Checked when it came, and the state is the same since; were it not, a snapshot mends it.
                if let Err(why) = self.state.apply(&delta) {
                    return self.differs(version, why);
                }
            }
            PendingUpdate::Snapshot { state, .. } => self.state = state,
        }
        self.version = version;
        self.partial.take_if(|partial| partial.version <= version);
        self.is_newest();
        self.counters.in_force += 1;
        self.orders.push(Effect::Event(Event::Applied { version }));
        self.confirm();
    }

    /// The driver cannot take the pending version; the one before it is in force.
    pub fn refused(&mut self, version: u64, reason: &str) {
        if self
            .pending
            .take_if(|pending| pending.version() == version)
            .is_none()
        {
            return;
        }
        self.counters.nacks += 1;
        let end = (0..=MOST_REASON.min(reason.len()))
            .rev()
            .find(|end| reason.is_char_boundary(*end));
        let reason = reason[..end.unwrap_or(0)].to_owned();
        self.orders.push(Effect::Event(Event::Rejected {
            version,
            reason: reason.clone(),
        }));
        self.send(ClientMessage::Nack(Nack {
            version,
            reason,
            current_version: self.version,
        }));
    }

    fn send(&mut self, up: ClientMessage) {
        if !self.linked {
            return;
        }
        let frame = up.into_frame();
        self.counters.bytes_out += frame.len() as u64;
        self.orders.push(Effect::Send(frame));
    }

    fn confirm(&mut self) {
        let digest = self.state.digest();
        self.send(ClientMessage::Ack(Ack {
            version: self.version,
            digest,
        }));
    }
}
