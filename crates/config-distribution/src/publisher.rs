//! A control machine: the newest committed version, a bounded history, and what each of its subscribers
//! holds.
//!
//! Each subscriber has one change on its way at a time: a delta, or pieces of a snapshot up to a window. What
//! is committed meanwhile is skipped: from what it then holds it gets one delta to the newest. So a slow one
//! costs a bounded amount and holds up nobody.
//!
//! | what a subscriber holds | what it gets |
//! | --- | --- |
//! | the newest | a ping now and then |
//! | a version of the history, with its digest | one delta to the newest, if that is not too large |
//! | a version of the history with another digest | an event, and the snapshot |
//! | an older one, or nothing | the packed snapshot, and from there a delta |
//! | a newer one | nothing, until this machine has it too: nobody is led back |
//! | the version before one that it refused | nothing, until there is a newer one |
//!
//! The packed snapshot is made where the history no longer reaches back to it, or on each [`PACK_EVERY`]th
//! version, so that all machines have the same one as a rule, and one machine's pieces go on where another's
//! were cut.
//!
//! Invariants: the history is without gaps and ends at the newest version; each subscriber has at most one
//! change on its way; a name is attached once.

use crate::attachment::NodeIdentity;
use crate::delta::ConfigState;
use crate::delta::DeltaMerger;
use crate::frames::{
    Ack, Attach, Attached, ClientMessage, Delta, Nack, Ping, ResyncReason, ResyncRequest,
    RetryAfter, ServerMessage, SnapshotChunk, SnapshotProgress,
};
use crate::planted_bugs::{is_planted, PlantedBug};
use crate::{snapshot, UpdateError};
use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use nanorand::{Rng, WyRand};
use rainstand_config::schema;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// To each subscriber.
pub const PING: Duration = Duration::from_secs(2);
/// A subscriber of which nothing was heard for so long is gone: three pings without an answer.
pub const SILENT: Duration = Duration::from_secs(7);
/// What was not confirmed in so long is sent again.
pub const AGAIN: Duration = Duration::from_secs(5);
/// Between two looks at all subscribers.
const SWEEP: Duration = Duration::from_millis(500);
/// A version by whose number this divides is packed when it is committed.
pub const PACK_EVERY: u64 = 256;
/// Between two packings that a subscriber needs at once.
const PACK_WAIT: Duration = Duration::from_secs(5);
/// Packed snapshots that are kept: those who are at the older one go on with it.
const PACKED: usize = 2;
/// A subscriber that finds that what it got differs is helped again after so long; it doubles.
const HELP_LEAST: Duration = Duration::from_secs(1);
const HELP_MOST: Duration = Duration::from_secs(64);
/// Those turned away are told to come back within so long.
const QUEUE_MOST: Duration = Duration::from_secs(8);
/// A name of a process, zone or region.
const MOST_NAME: usize = 256;
/// Encoded deltas to the newest that are kept, by where they begin.
const MOST_ENCODED: usize = 64;

/// A link, as its driver numbers them; a number is not used again.
pub type Link = u64;

/// What a machine takes on. The defaults are those of `docs/design/control.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublisherLimits {
    pub subscribers: usize,
    /// Attachments in a second, and at once.
    pub attach_a_second: u32,
    pub attach_at_once: u32,
    /// Deltas that are kept, and their bytes.
    pub history: usize,
    pub history_bytes: usize,
    /// A larger delta is not sent, the snapshot is.
    pub delta_bytes: usize,
    pub piece: usize,
    /// Pieces on their way to one subscriber.
    pub window: usize,
}

impl Default for PublisherLimits {
    fn default() -> Self {
        Self {
            // 630 and some room: one machine must do where five are gone.
            subscribers: 1024,
            // The whole fleet in 6.3 s: of the 17 s of a change, 5 go to hearing of the loss, 2 to the
            // spread.
            attach_a_second: 100,
            attach_at_once: 20,
            // A day and a half of changes.
            history: 4096,
            history_bytes: 4 << 20,
            delta_bytes: 64 << 10,
            piece: 8 << 10,
            window: 4,
        }
    }
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        link: Link,
        frame: Bytes,
    },
    /// Close, after what was sent on it.
    Close(Link),
    Event(Event),
}

/// What operators are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Attached {
        name: String,
        version: u64,
    },
    Disconnected {
        name: String,
    },
    AttachRejected {
        name: String,
    },
    Rejected {
        name: String,
        version: u64,
        reason: String,
    },
    /// It holds something else than this version says.
    Diverged {
        name: String,
        version: u64,
    },
    /// It holds a newer version than this machine.
    SubscriberAhead {
        name: String,
        version: u64,
    },
    Malformed {
        link: Link,
    },
}

/// How far one version is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    pub version: u64,
    pub committed: Duration,
    /// Things put in and taken out.
    pub things: usize,
    pub confirmed: usize,
    pub refused: usize,
    pub behind: usize,
    /// Of those behind, the one that holds the oldest version, and which.
    pub slowest: Option<(String, u64)>,
}

/// One subscriber, as it is listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    pub who: NodeIdentity,
    pub link: Link,
    pub version: u64,
    pub refused: Option<(u64, String)>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub committed: u64,
    pub attached: u64,
    pub rejected_attachments: u64,
    pub acks: u64,
    pub nacks: u64,
    pub divergences: u64,
    pub gaps: u64,
    pub snapshots: u64,
    pub deltas: u64,
    pub retransmissions: u64,
    pub packed: u64,
    pub malformed: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

#[derive(Debug)]
struct HistoryEntry {
    delta: Delta,
    bytes: usize,
    at: Duration,
}

#[derive(Clone, Debug)]
struct Packed {
    version: u64,
    digest: u64,
    bytes: Bytes,
}

/// What is on its way to a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InFlight {
    Nothing,
    Delta {
        from: u64,
        to: u64,
        at: Duration,
    },
    Pieces {
        version: u64,
        digest: u64,
        got: usize,
        next: usize,
        at: Duration,
    },
}

#[derive(Debug)]
struct Subscriber {
    who: NodeIdentity,
    version: u64,
    digest: u64,
    sent: InFlight,
    refused: Option<(u64, String)>,
    /// It found, or we did, that only a snapshot helps.
    differs: bool,
    /// It holds a newer version; said once.
    ahead: bool,
    /// How often it had to be helped since it last confirmed, and when the next time is.
    helped: u32,
    help_at: Duration,
    partial: Option<SnapshotProgress>,
    heard: Duration,
    pinged: Duration,
}

pub struct Publisher {
    bounds: PublisherLimits,
    version: u64,
    state: ConfigState,
    history: VecDeque<HistoryEntry>,
    history_bytes: usize,
    /// The newest last.
    packed: VecDeque<Packed>,
    packed_at: Option<Duration>,
    subscribers: BTreeMap<Link, Subscriber>,
    links: HashMap<String, Link>,
    /// Deltas to the newest, encoded, by where they begin; nothing: too large.
    encoded: HashMap<u64, Option<Bytes>>,
    current: Duration,
    /// When the next attachment would be on time, at an even pace.
    pace: Duration,
    /// When the last of those turned away is told to come back.
    queue: Duration,
    sweep: Duration,
    chance: WyRand,
    orders: Vec<Effect>,
    counters: Counters,
}

impl Publisher {
    /// With nothing committed yet: version 0, which is empty.
    pub fn new(now: Duration, bounds: PublisherLimits, seed: u64) -> Self {
        Self {
            bounds,
            version: 0,
            state: ConfigState::default(),
            history: VecDeque::new(),
            history_bytes: 0,
            packed: VecDeque::new(),
            packed_at: None,
            subscribers: BTreeMap::new(),
            links: HashMap::new(),
            encoded: HashMap::new(),
            current: now,
            pace: now,
            queue: now,
            sweep: now + SWEEP,
            chance: WyRand::new_seed(seed),
            orders: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// The packed newest version, for the log's own snapshot and for a disk.
    ///
    /// # Errors
    /// Too large.
    pub fn packed_snapshot(&mut self) -> Result<Bytes, UpdateError> {
        if let Some(packed) = self
            .packed
            .iter()
            .find(|packed| packed.version == self.version)
        {
            return Ok(packed.bytes.clone());
        }
        let bytes = Bytes::from(snapshot::encode(self.version, &self.state)?);
        self.counters.packed += 1;
        self.keep(bytes.clone());
        Ok(bytes)
    }

    /// Keeps the newest version packed.
    fn keep(&mut self, bytes: Bytes) {
        let digest = self.state.digest();
        self.packed.push_back(Packed {
            version: self.version,
            digest,
            bytes,
        });
        while self.packed.len() > PACKED {
            self.packed.pop_front();
        }
    }

    /// Begins anew from such a snapshot; one that is not newer is left.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn restore(&mut self, now: Duration, packed: Bytes) -> Result<(), UpdateError> {
        let snapshot::DecodedSnapshot { version, state } = snapshot::decode(&packed)?;
        if version <= self.version {
            return Ok(());
        }
        (self.version, self.state) = (version, state);
        self.history.clear();
        self.history_bytes = 0;
        self.encoded.clear();
        self.keep(packed);
        self.offer_all(now);
        Ok(())
    }

    /// The next committed change, in the order of the log: alike on each machine.
    ///
    /// # Errors
    /// It is made from another version than the newest, or cannot be applied; nothing has changed then.
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
        self.encoded.clear();
        let bytes = prost::Message::encoded_len(&delta);
        self.history_bytes += bytes;
        self.history.push_back(HistoryEntry {
            delta,
            bytes,
            at: now,
        });
        while self.history.len() > self.bounds.history
            || self.history_bytes > self.bounds.history_bytes
        {
            let Some(gone) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= gone.bytes;
        }
        if self.version.is_multiple_of(PACK_EVERY) {
            // Too large: said to whoever publishes it, and here to those who need it.
            let _ = self.packed_snapshot();
        }
        self.offer_all(now);
        Ok(())
    }

    /// The machine knew at this time that no other has a newer version: it heard from the group's leader.
    pub fn mark_current(&mut self, now: Duration) {
        self.current = self.current.max(now);
    }

    fn age_ms(&self, now: Duration) -> u64 {
        u64::try_from(now.saturating_sub(self.current).as_millis()).unwrap_or(u64::MAX)
    }

    fn send(&mut self, link: Link, frame: Bytes) {
        self.counters.bytes_out += frame.len() as u64;
        self.orders.push(Effect::Send { link, frame });
    }

    /// A frame of a link. The first frame is its attachment; links that say nothing are for the driver to
    /// bound.
    pub fn on_frame(&mut self, now: Duration, link: Link, frame: Bytes) {
        self.counters.bytes_in += frame.len() as u64;
        let up = ClientMessage::from_frame(frame);
        let known = self
            .subscribers
            .get_mut(&link)
            .map(|subscriber| subscriber.heard = now)
            .is_some();
        match up {
            Ok(ClientMessage::Attach(attach)) if !known => self.attach(now, link, attach),
            Ok(ClientMessage::Ack(confirm)) if known => self.confirm(now, link, confirm),
            Ok(ClientMessage::Nack(refuse)) if known => self.refuse(now, link, refuse),
            Ok(ClientMessage::ResyncRequest(ask)) if known => self.ask(now, link, ask),
            Ok(ClientMessage::SnapshotProgress(got)) if known => self.got(now, link, got),
            _ => {
                self.counters.malformed += 1;
                self.orders.push(Effect::Event(Event::Malformed { link }));
                self.end(link);
            }
        }
    }

    fn attach(&mut self, now: Duration, link: Link, attach: Attach) {
        let Attach {
            name,
            region,
            zone,
            version,
            digest,
            schema_version,
            partial,
        } = attach;
        if [&name, &region, &zone]
            .iter()
            .any(|text| text.len() > MOST_NAME)
            || name.is_empty()
        {
            self.counters.malformed += 1;
            self.orders.push(Effect::Event(Event::Malformed { link }));
            return self.end(link);
        }
        let again = self.links.contains_key(&name);
        let full = !again && self.subscribers.len() >= self.bounds.subscribers
            || schema_version < schema::VERSION;
        let every = Duration::from_secs(1) / self.bounds.attach_a_second.max(1);
        let at_once = every * self.bounds.attach_at_once;
        if full || self.pace > now + at_once {
            // Each is told a place of its own, at the pace at which attachments are taken.
            self.queue = self.queue.max(now).min(now + QUEUE_MOST) + every;
            let spread =
                Duration::from_nanos(self.chance.generate_range(0..=every.as_nanos() as u64));
            let after = self.queue + spread - now;
            let after_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            self.counters.rejected_attachments += 1;
            self.orders
                .push(Effect::Event(Event::AttachRejected { name }));
            self.send(
                link,
                ServerMessage::RetryAfter(RetryAfter {
                    after_ms,
                    elsewhere: full,
                })
                .into_frame(),
            );
            self.orders.push(Effect::Close(link));
            return;
        }
        self.pace = self.pace.max(now) + every;
        if let Some(old) = self.links.insert(name.clone(), link) {
            // The process opened a new link: what is left of the old one is nobody's.
            self.subscribers.remove(&old);
            self.orders.push(Effect::Close(old));
        }
        self.counters.attached += 1;
        self.orders.push(Effect::Event(Event::Attached {
            name: name.clone(),
            version,
        }));
        let who = NodeIdentity { name, region, zone };
        let subscriber = Subscriber {
            who,
            version,
            digest,
            sent: InFlight::Nothing,
            refused: None,
            differs: false,
            ahead: false,
            helped: 0,
            help_at: now,
            partial,
            heard: now,
            pinged: now,
        };
        self.subscribers.insert(link, subscriber);
        let age_ms = self.age_ms(now);
        self.send(
            link,
            ServerMessage::Attached(Attached {
                version: self.version,
                age_ms,
            })
            .into_frame(),
        );
        self.offer(now, link);
    }

    fn confirm(&mut self, now: Duration, link: Link, confirm: Ack) {
        let ours = self.digest_at(confirm.version);
        let Some(subscriber) = self.subscribers.get_mut(&link) else {
            return;
        };
        if confirm.version < subscriber.version {
            // Late: it said more since.
            return;
        }
        if confirm.version > subscriber.version {
            self.counters.acks += 1;
            (subscriber.helped, subscriber.help_at) = (0, now);
        }
        // What was found to differ is mended by what came since; where it is not, that is found anew.
        let sent = matches!(subscriber.sent, InFlight::Pieces { version, digest, .. }
            if (version, digest) == (confirm.version, confirm.digest));
        if confirm.version > subscriber.version || ours == Some(confirm.digest) || sent {
            subscriber.differs = false;
        }
        (subscriber.version, subscriber.digest) = (confirm.version, confirm.digest);
        let over = match subscriber.sent {
            InFlight::Nothing => false,
            // Taken, or of no more use: something else led it on meanwhile.
            InFlight::Delta { from, .. } => from != confirm.version,
            InFlight::Pieces { version, .. } => version <= confirm.version && !subscriber.differs,
        };
        if over {
            subscriber.sent = InFlight::Nothing;
        }
        self.offer(now, link);
    }

    fn refuse(&mut self, now: Duration, link: Link, refuse: Nack) {
        let Some(subscriber) = self.subscribers.get_mut(&link) else {
            return;
        };
        let Nack {
            version,
            mut reason,
            ..
        } = refuse;
        reason.truncate(
            (0..=MOST_NAME)
                .rev()
                .find(|end| reason.is_char_boundary(*end))
                .unwrap_or(0),
        );
        let over = match subscriber.sent {
            InFlight::Nothing => false,
            InFlight::Delta { to, .. } => to <= version,
            InFlight::Pieces { version: sent, .. } => sent <= version,
        };
        if over {
            subscriber.sent = InFlight::Nothing;
        }
        if subscriber
            .refused
            .as_ref()
            .is_none_or(|(before, _)| version >= *before)
        {
            subscriber.refused = Some((version, reason.clone()));
        }
        self.counters.nacks += 1;
        let name = subscriber.who.name.clone();
        self.orders.push(Effect::Event(Event::Rejected {
            name,
            version,
            reason,
        }));
        self.offer(now, link);
    }

    fn ask(&mut self, now: Duration, link: Link, ask: ResyncRequest) {
        let Some(subscriber) = self.subscribers.get_mut(&link) else {
            return;
        };
        // What it says is what it holds, whatever was said before.
        (subscriber.version, subscriber.digest) = (ask.version, ask.digest);
        let gap = ask.reason == ResyncReason::Gap as i32;
        if gap && matches!(subscriber.sent, InFlight::Delta { from, .. } if from == ask.version) {
            // What it asks for is on its way.
            self.counters.gaps += 1;
            return;
        }
        subscriber.sent = InFlight::Nothing;
        subscriber.partial = None;
        subscriber.help_at = now
            + HELP_LEAST
                .saturating_mul(1 << subscriber.helped.min(16))
                .min(HELP_MOST);
        if subscriber.helped == 0 {
            subscriber.help_at = now;
        }
        subscriber.helped = subscriber.helped.saturating_add(1);
        if gap {
            self.counters.gaps += 1;
        } else {
            self.differs(link);
        }
        self.offer(now, link);
    }

    fn differs(&mut self, link: Link) {
        let Some(subscriber) = self.subscribers.get_mut(&link) else {
            return;
        };
        subscriber.differs = true;
        self.counters.divergences += 1;
        let name = subscriber.who.name.clone();
        self.orders.push(Effect::Event(Event::Diverged {
            name,
            version: subscriber.version,
        }));
    }

    fn got(&mut self, now: Duration, link: Link, got: SnapshotProgress) {
        let Some(subscriber) = self.subscribers.get_mut(&link) else {
            return;
        };
        if let InFlight::Pieces {
            version,
            digest,
            got: before,
            next,
            at,
        } = &mut subscriber.sent
        {
            if (got.version, got.digest) != (*version, *digest) {
                return;
            }
            let offset = usize::try_from(got.offset).unwrap_or(usize::MAX);
            if offset < *before {
                // It dropped what it had: on from what it has. Further ones that say so change nothing.
                (*before, *next, *at) = (offset, offset, now);
            } else if offset > *before {
                // It may have more than was sent on this link.
                (*before, *next, *at) = (offset, offset.max(*next), now);
            }
            self.pieces(now, link);
        }
    }

    /// The link is over.
    pub fn on_disconnected(&mut self, _now: Duration, link: Link) {
        if let Some(subscriber) = self.subscribers.remove(&link) {
            self.links.remove(&subscriber.who.name);
            self.orders.push(Effect::Event(Event::Disconnected {
                name: subscriber.who.name,
            }));
        }
    }

    fn end(&mut self, link: Link) {
        self.orders.push(Effect::Close(link));
        self.on_disconnected(Duration::ZERO, link);
    }

    /// When [`Self::tick`] is due.
    pub fn next_deadline(&self) -> Option<Duration> {
        (!self.subscribers.is_empty()).then_some(self.sweep)
    }

    /// Pings, what is to be sent again, and who is gone.
    pub fn tick(&mut self, now: Duration) {
        if now < self.sweep {
            return;
        }
        self.sweep = now + SWEEP;
        let links: Vec<Link> = self.subscribers.keys().copied().collect();
        let age_ms = self.age_ms(now);
        let ping = ServerMessage::Ping(Ping {
            version: self.version,
            age_ms,
        })
        .into_frame();
        for link in links {
            let Some(subscriber) = self.subscribers.get_mut(&link) else {
                continue;
            };
            if now.saturating_sub(subscriber.heard) >= SILENT {
                self.end(link);
                continue;
            }
            let late = |at: Duration| now.saturating_sub(at) >= AGAIN;
            match &mut subscriber.sent {
                InFlight::Nothing => self.offer(now, link),
                InFlight::Delta { at, .. } if late(*at) => {
                    subscriber.sent = InFlight::Nothing;
                    self.counters.retransmissions += 1;
                    self.offer(now, link);
                }
                InFlight::Pieces { got, next, at, .. }
                    if now.saturating_sub(*at) >= AGAIN * 4 && *got == *next =>
                {
                    // It has all of it and says nothing of it: from the beginning.
                    (subscriber.sent, subscriber.partial) = (InFlight::Nothing, None);
                    self.counters.retransmissions += 1;
                    self.offer(now, link);
                }
                InFlight::Pieces { got, next, at, .. } if late(*at) && *got < *next => {
                    (*next, *at) = (*got, now);
                    self.counters.retransmissions += 1;
                    self.pieces(now, link);
                }
                _ => {}
            }
            // Whatever else was sent: it says that there is nothing newer, which a delta does not.
            if let Some(subscriber) = self.subscribers.get_mut(&link) {
                if now.saturating_sub(subscriber.pinged) >= PING {
                    subscriber.pinged = now;
                    self.send(link, ping.clone());
                }
            }
        }
    }

    fn offer_all(&mut self, now: Duration) {
        let links: Vec<Link> = self.subscribers.keys().copied().collect();
        for link in links {
            self.offer(now, link);
        }
    }

    /// The digest of this version, if it is the newest or in the history.
    fn digest_at(&self, version: u64) -> Option<u64> {
        if version == self.version {
            return Some(self.state.digest());
        }
        let after = self.history.partition_point(|step| step.delta.to < version);
        let step = self.history.get(after)?;
        (step.delta.to == version).then_some(step.delta.digest)
    }

    /// Where in the history the way on from this version begins.
    fn way_from(&self, version: u64) -> Option<usize> {
        let first = self
            .history
            .partition_point(|step| step.delta.from < version);
        let step = self.history.get(first)?;
        if is_planted(PlantedBug::HistoryOffByOne) && first == 0 && step.delta.from == version + 1 {
            return Some(first);
        }
        (step.delta.from == version).then_some(first)
    }

    /// Sends what this subscriber lacks, if nothing is on its way to it.
    fn offer(&mut self, now: Duration, link: Link) {
        let newest = self.version;
        let Some(subscriber) = self.subscribers.get(&link) else {
            return;
        };
        if subscriber.sent != InFlight::Nothing || now < subscriber.help_at {
            return;
        }
        let (holds, digest) = (subscriber.version, subscriber.digest);
        if holds > newest {
            if !subscriber.ahead {
                let name = subscriber.who.name.clone();
                self.orders.push(Effect::Event(Event::SubscriberAhead {
                    name,
                    version: holds,
                }));
            }
            if let Some(subscriber) = self.subscribers.get_mut(&link) {
                subscriber.ahead = true;
            }
            return;
        }
        if !subscriber.differs
            && holds > 0
            && self.digest_at(holds).is_some_and(|ours| ours != digest)
        {
            self.differs(link);
        }
        let Some(subscriber) = self.subscribers.get(&link) else {
            return;
        };
        let refused = subscriber.refused.as_ref().map(|(version, _)| *version);
        if refused == Some(newest) || holds == newest && !subscriber.differs {
            return;
        }
        if !subscriber.differs {
            if let Some(frame) = self.delta_from(holds) {
                self.counters.deltas += 1;
                self.send(link, frame);
                if let Some(subscriber) = self.subscribers.get_mut(&link) {
                    subscriber.sent = InFlight::Delta {
                        from: holds,
                        to: newest,
                        at: now,
                    };
                }
                return;
            }
        }
        self.snapshot(now, link, holds, refused);
    }

    /// One delta from there to the newest, encoded once for all who need it.
    fn delta_from(&mut self, holds: u64) -> Option<Bytes> {
        if let Some(known) = self.encoded.get(&holds) {
            return known.clone();
        }
        let frame = self.way_from(holds).and_then(|first| {
            // Work before a large one is found to be too large is bounded too.
            let bytes: usize = self.history.range(first..).map(|step| step.bytes).sum();
            if bytes > self.bounds.delta_bytes * 4 {
                return None;
            }
            let mut steps = self.history.range(first..).map(|step| &step.delta);
            let mut all = DeltaMerger::new(steps.next()?).ok()?;
            for step in steps {
                all.push(step).ok()?;
            }
            let delta = Delta {
                from: holds,
                ..all.finish()
            };
            let frame = ServerMessage::Delta(delta).into_frame();
            (frame.len() <= self.bounds.delta_bytes).then_some(frame)
        });
        if self.encoded.len() < MOST_ENCODED {
            self.encoded.insert(holds, frame.clone());
        }
        frame
    }

    /// Begins to send a snapshot that helps: newer than what it holds and than any it refused,
    /// and with a way on.
    fn snapshot(&mut self, now: Duration, link: Link, holds: u64, refused: Option<u64>) {
        let Some(subscriber) = self.subscribers.get(&link) else {
            return;
        };
        let least = if subscriber.differs { holds } else { holds + 1 };
        let helps = |packed: &&Packed| {
            packed.version >= least
                && refused.is_none_or(|refused| packed.version > refused)
                && (packed.version == self.version || self.way_from(packed.version).is_some())
        };
        let partial = subscriber.partial;
        let begun = |packed: &&Packed| {
            partial.is_some_and(|got| (got.version, got.digest) == (packed.version, packed.digest))
        };
        let found = self
            .packed
            .iter()
            .filter(helps)
            .find(begun)
            .or_else(|| self.packed.iter().rev().find(helps));
        let found = match found.cloned() {
            Some(found) => found,
            None if self.packed_at.is_some_and(|at| now < at + PACK_WAIT) => return,
            None => {
                self.packed_at = Some(now);
                if self.packed_snapshot().is_err() {
                    return;
                }
                let Some(newest) = self.packed.back().cloned() else {
                    return;
                };
                newest
            }
        };
        let offset = partial
            .filter(|_| begun(&&found))
            .and_then(|got| usize::try_from(got.offset).ok());
        let offset = offset
            .filter(|offset| *offset < found.bytes.len())
            .unwrap_or(0);
        let Packed {
            version, digest, ..
        } = found;
        self.counters.snapshots += 1;
        if let Some(subscriber) = self.subscribers.get_mut(&link) {
            subscriber.sent = InFlight::Pieces {
                version,
                digest,
                got: offset,
                next: offset,
                at: now,
            };
        }
        self.pieces(now, link);
    }

    /// Sends pieces as far as the window goes.
    fn pieces(&mut self, now: Duration, link: Link) {
        let Some(subscriber) = self.subscribers.get_mut(&link) else {
            return;
        };
        let InFlight::Pieces {
            version,
            digest,
            got,
            mut next,
            at,
        } = subscriber.sent
        else {
            return;
        };
        let kept = self
            .packed
            .iter()
            .find(|packed| (packed.version, packed.digest) == (version, digest));
        let Some(kept) = kept.cloned() else {
            // Dropped while it was on its way: a newer one instead.
            subscriber.sent = InFlight::Nothing;
            subscriber.partial = None;
            return self.offer(now, link);
        };
        let length = kept.bytes.len();
        while next < length && next < got + self.bounds.window * self.bounds.piece {
            let end = length.min(next + self.bounds.piece);
            let piece = SnapshotChunk {
                version,
                digest,
                offset: next as u64,
                length: length as u64,
                bytes: kept.bytes.slice(next..end),
            };
            next = end;
            self.send(link, ServerMessage::SnapshotChunk(piece).into_frame());
        }
        if let Some(subscriber) = self.subscribers.get_mut(&link) {
            subscriber.sent = InFlight::Pieces {
                version,
                digest,
                got,
                next,
                at,
            };
        }
    }

    /// What there is to do, in order.
    pub fn take_effects(&mut self) -> std::vec::Drain<'_, Effect> {
        self.orders.drain(..)
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

    pub fn subscriber_statuses(&self) -> Vec<SubscriberStatus> {
        let list = self
            .subscribers
            .iter()
            .map(|(link, subscriber)| SubscriberStatus {
                who: subscriber.who.clone(),
                link: *link,
                version: subscriber.version,
                refused: subscriber.refused.clone(),
            });
        list.collect()
    }

    /// The versions of the history, the newest first, `most` of them.
    pub fn progress(&self, most: usize) -> Vec<RolloutProgress> {
        let steps = self.history.iter().rev().take(most);
        steps.map(|step| self.progress_of(step)).collect()
    }

    fn progress_of(&self, step: &HistoryEntry) -> RolloutProgress {
        let version = step.delta.to;
        let mut progress = RolloutProgress {
            version,
            committed: step.at,
            things: step.delta.upserts.len() + step.delta.removals.len(),
            confirmed: 0,
            refused: 0,
            behind: 0,
            slowest: None,
        };
        for subscriber in self.subscribers.values() {
            if subscriber.version >= version {
                progress.confirmed += 1;
                continue;
            }
            match subscriber
                .refused
                .as_ref()
                .is_some_and(|(refused, _)| *refused == version)
            {
                true => progress.refused += 1,
                false => progress.behind += 1,
            }
            if progress
                .slowest
                .as_ref()
                .is_none_or(|(_, least)| subscriber.version < *least)
            {
                progress.slowest = Some((subscriber.who.name.clone(), subscriber.version));
            }
        }
        progress
    }
}
