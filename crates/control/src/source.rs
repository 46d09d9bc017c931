//! A control machine: the newest committed version, a bounded history, and what each of its subscribers holds.
//!
//! Each subscriber has one change on its way at a time: a delta, or pieces of a snapshot up to a window. What is
//! committed meanwhile is skipped: from what it then holds it gets one delta to the newest. So a slow one costs
//! a bounded amount and holds up nobody.

use crate::attach::Who;
use crate::delta::State;
use crate::frames::Delta;
use crate::Refused;
use bytes::Bytes;
use std::time::Duration;

/// A link, as its driver numbers them; a number is not used again.
pub type Link = u64;

/// What a machine takes on. The defaults are those of `docs/design/control.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
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

impl Default for Bounds {
    fn default() -> Self {
        Self {
            // 630 and some room: one machine must do where five are gone.
            subscribers: 1024,
            // The whole fleet in 6.3 s: of the 17 s of a change, 5 go to hearing of the loss, 2 to the spread.
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
pub enum Order {
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
    Gone {
        name: String,
    },
    TurnedAway {
        name: String,
    },
    Refused {
        name: String,
        version: u64,
        reason: String,
    },
    /// It holds something else than this version says.
    Differs {
        name: String,
        version: u64,
    },
    /// It holds a newer version than this machine.
    Ahead {
        name: String,
        version: u64,
    },
    Unreadable {
        link: Link,
    },
}

/// How far one version is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
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
pub struct Standing {
    pub who: Who,
    pub link: Link,
    pub version: u64,
    pub refused: Option<(u64, String)>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub committed: u64,
    pub attached: u64,
    pub turned_away: u64,
    pub confirmed: u64,
    pub refused: u64,
    pub differs: u64,
    pub gaps: u64,
    pub snapshots: u64,
    pub deltas: u64,
    pub sent_again: u64,
    pub packed: u64,
    pub unreadable: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

pub struct Source {
    bounds: Bounds,
    version: u64,
    state: State,
    orders: Vec<Order>,
    counters: Counters,
}

impl Source {
    /// With nothing committed yet: version 0, which is empty.
    pub fn new(now: Duration, bounds: Bounds, seed: u64) -> Self {
        let _ = (now, seed);
        Self {
            bounds,
            version: 0,
            state: State::default(),
            orders: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// The packed newest version, for the log's own snapshot and for a disk.
    ///
    /// # Errors
    /// Too large.
    pub fn packed(&mut self) -> Result<Bytes, Refused> {
        todo!()
    }

    /// Begins anew from such a snapshot; one that is not newer is left.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn restored(&mut self, now: Duration, packed: Bytes) -> Result<(), Refused> {
        let _ = (now, packed);
        todo!()
    }

    /// The next committed change, in the order of the log: alike on each machine.
    ///
    /// # Errors
    /// It is made from another version than the newest, or cannot be applied; nothing has changed then.
    pub fn committed(&mut self, now: Duration, delta: Delta) -> Result<(), Refused> {
        let _ = (now, delta);
        todo!()
    }

    /// The machine knew at this time that no other has a newer version: it heard from the group's leader.
    pub fn current(&mut self, now: Duration) {
        let _ = now;
        todo!()
    }

    /// A frame of a link. The first frame is its attachment.
    pub fn heard(&mut self, now: Duration, link: Link, frame: Bytes) {
        let _ = (now, link, frame);
        todo!()
    }

    /// The link is over.
    pub fn gone(&mut self, now: Duration, link: Link) {
        let _ = (now, link);
        todo!()
    }

    /// When [`Self::tick`] is due.
    pub fn due(&self) -> Option<Duration> {
        todo!()
    }

    pub fn tick(&mut self, now: Duration) {
        let _ = now;
        todo!()
    }

    /// What there is to do, in order.
    pub fn orders(&mut self) -> std::vec::Drain<'_, Order> {
        self.orders.drain(..)
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    pub fn standing(&self) -> Vec<Standing> {
        todo!()
    }

    /// The versions of the history, the newest first, `most` of them.
    pub fn progress(&self, most: usize) -> Vec<Progress> {
        let _ = most;
        todo!()
    }
}
