//! Descriptors: how many connections there may be in front, and who goes where one is wanted and none is left.
//!
//! Strangers, who never asked anything, go in the order in which they came; of the others who rested since the hand passed
//! last (the clock, or second chance, algorithm: each step costs the same, however many rest). Nobody who is owed an
//! answer goes.

use crate::listener::{Conn, MOST_CONNECTIONS};
use crate::{count, Hub};
use rustix::process::{getrlimit, Resource};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::sleep;

/// Descriptors put by for standard streams, the runtime, signals, listeners, operators and the file at SIGHUP, and links.
const OWN: usize = 32;
/// Those put by for links to members even while few are open.
const LINKS_LEAST: usize = 16;
/// Between tries to have one: a connection that is closed for it is gone within a turn.
pub const AGAIN: Duration = Duration::from_millis(5);
/// Tries in a row: half a second, as long as an opening takes.
const TRIES: usize = 100;
/// `EMFILE` and `ENFILE`: the process, or the machine, has no descriptor left.
const NONE_LEFT: [i32; 2] = [24, 23];
/// From its opening on a stranger's first words may be on their way.
const FRESH: Duration = Duration::from_millis(100);
/// Connections that are looked at for one that is wanted: where so many are busy, most are.
const LOOKS: usize = 4_096;
/// Beside the connections that stand, so many that ended may wait in line to be forgotten.
const ENDED: usize = 64;

/// How many connections may stand in front beside so many links, of all descriptors.
///
/// ```
/// use rainstand_forwarder::connection_limits::most;
/// assert_eq!([most(128, 0), most(128, 60), most(1 << 20, 60)], [80, 64, 12_000]);
/// ```
pub fn most(descriptors: usize, links: usize) -> usize {
    let left = descriptors.saturating_sub(OWN + links.max(LINKS_LEAST));
    left.max(descriptors / 2).min(MOST_CONNECTIONS)
}

/// Whether this failed for want of descriptors.
pub fn none_left(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| NONE_LEFT.contains(&code))
}

/// Connections in front by their numbers, in the order in which they are asked to go.
pub struct Room {
    descriptors: usize,
    strangers: RefCell<VecDeque<u64>>,
    others: RefCell<VecDeque<u64>>,
    /// Those told to go that still stand.
    told: Cell<usize>,
}

impl Default for Room {
    fn default() -> Self {
        let given = getrlimit(Resource::Nofile)
            .current
            .and_then(|n| usize::try_from(n).ok());
        Self {
            descriptors: given.unwrap_or(usize::MAX),
            strangers: RefCell::default(),
            others: RefCell::default(),
            told: Cell::new(0),
        }
    }
}

impl Room {
    pub fn came(&self, number: u64) {
        self.strangers.borrow_mut().push_back(number);
    }

    /// One told to go has gone, or turned out to be of use.
    pub fn went(&self, conn: &Conn) {
        if conn.told_to_go.take() {
            self.told.set(self.told.get() - 1);
        }
    }
}

/// Whether another connection may stand in front; whoever rests makes room for it.
pub fn for_one_more(hub: &Hub) -> bool {
    let stand = hub.conns.borrow().len() - hub.room.told.get();
    stand < most(hub.room.descriptors, hub.backs.links()) || give_way(hub)
}

/// Asks the connection that rests longest to go, at once; false if all are in use.
pub fn give_way(hub: &Hub) -> bool {
    let (conns, room) = (hub.conns.borrow(), &hub.room);
    let (mut strangers, mut others) = (room.strangers.borrow_mut(), room.others.borrow_mut());
    for line in [&mut *strangers, &mut *others] {
        if line.len() > 2 * conns.len() + ENDED {
            line.retain(|number| conns.contains_key(number));
        }
    }
    let told = |conn: &Conn| {
        room.told.set(room.told.get() + 1);
        count(&hub.counts.made_room);
        conn.go();
        true
    };
    // Who has asked is a stranger no more; who is fresh, and all behind it, are left for when nobody else rests.
    let mut fresh = None;
    for _ in 0..strangers.len().min(LOOKS) {
        let Some(number) = strangers.pop_front() else {
            break;
        };
        let Some(conn) = conns.get(&number) else {
            continue;
        };
        if conn.used() {
            others.push_back(number);
        } else if conn.came.elapsed() < FRESH {
            strangers.push_front(number);
            fresh = Some(conn).filter(|conn| conn.rests());
            break;
        } else {
            // It may yet turn out to be of use, and is met again then.
            others.push_back(number);
            if conn.rests() {
                return told(conn);
            }
        }
    }
    for _ in 0..(2 * others.len()).min(LOOKS) {
        let Some(number) = others.pop_front() else {
            break;
        };
        let Some(conn) = conns.get(&number) else {
            continue;
        };
        others.push_back(number);
        if conn.rests() && !conn.asked.take() {
            return told(conn);
        }
    }
    fresh.is_some_and(|conn| told(conn))
}

/// Does what takes a descriptor, again while there is none and resting connections can make room for it.
///
/// # Errors
/// Those of `attempt`, for want of descriptors only after [`TRIES`].
pub async fn have<T, F>(hub: &Hub, attempt: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let mut tries = 0;
    loop {
        let done = attempt().await;
        tries += 1;
        match &done {
            Err(error) if tries < TRIES && none_left(error) => after(hub, error).await,
            _ => return done,
        };
    }
}

/// After something failed: if for want of a descriptor, whether somebody makes room for it, and a moment for that.
pub async fn after(hub: &Hub, error: &io::Error) -> bool {
    if !none_left(error) {
        return false;
    }
    count(&hub.counts.descriptors_out);
    let room = give_way(hub);
    sleep(AGAIN).await;
    room
}
