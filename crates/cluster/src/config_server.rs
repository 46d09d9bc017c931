//! A control machine's side of attachments: what the group committed goes to processes that are no members.
//!
//! Who gets what, and when, is decided by [`Source`]; here are sockets, time and the log of the group. A process opens
//! one link to the group's own address; its first frame says that it attaches. Bounds: the source's on subscribers and
//! on attachments in a second, [`STRANGERS`] links beside them, [`WAITS`] bytes that wait for one link.

use crate::driver::ClusterMember;
use crate::transport::{with_length_prefix, Outbox, OPENS, TAKES};
use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use prost::Message as _;
use rainstand_config_distribution::publisher::{
    Effect, Event, Link, Publisher, PublisherLimits, RolloutProgress, SubscriberStatus,
};
use rainstand_config_distribution::snapshot;
use rainstand_protocol::thrift::frame_within;
use rainstand_replicated_state::frames::{Frame, FrameBody};
use rainstand_replicated_state::member::GroupMember;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A subscriber's frame: a name, a zone, a region and a reason, with room.
const UP: usize = 4 << 10;
/// For one link: a window of pieces and a delta, with room. Whoever takes less is ended, and comes back.
const WAITS: usize = 256 << 10;
/// Links beyond the subscribers: those that are told to come back, on their way out.
const STRANGERS: usize = 256;
/// Between looks at all subscribers.
const LOOK: Duration = Duration::from_millis(250);
/// Versions that an answer lists at most.
pub const LISTED: usize = 256;

/// Where events go: the program's log.
pub type EventCallback = Box<dyn Fn(&Event)>;

/// What goes to one subscriber.
struct Line {
    out: Outbox,
    over: Cell<bool>,
}

/// Counters, since the start.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Turned away: too many links, or no copy of what is published here.
    pub full: Cell<u64>,
    pub not_here: Cell<u64>,
    /// Ended, as what waited for them was too much.
    pub slow: Cell<u64>,
}

pub struct ConfigServer {
    source: RefCell<Publisher>,
    bounds: PublisherLimits,
    started: Instant,
    lines: RefCell<HashMap<Link, Rc<Line>>>,
    next: Cell<Link>,
    tell: EventCallback,
    pub counts: ServerCounters,
}

fn count(what: &Cell<u64>) {
    what.set(what.get() + 1);
}

impl ConfigServer {
    /// Begins to serve what a group publishes.
    pub fn begin(
        group: &Rc<ClusterMember>,
        bounds: PublisherLimits,
        seed: u64,
        tell: EventCallback,
    ) -> Rc<Self> {
        let serving = Rc::new(Self {
            source: RefCell::new(Publisher::new(Duration::ZERO, bounds, seed)),
            bounds,
            started: Instant::now(),
            lines: RefCell::new(HashMap::new()),
            next: Cell::new(0),
            tell,
            counts: ServerCounters::default(),
        });
        let (looking, of) = (serving.clone(), group.clone());
        spawn_local(async move {
            loop {
                of.inspect(|member| looking.sync(member));
                looking.source.borrow_mut().tick(looking.now());
                looking.follow();
                sleep(LOOK).await;
            }
        });
        serving
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Takes over what was committed since the last time.
    pub fn sync(&self, member: &GroupMember) {
        let Some(published) = member.published() else {
            return;
        };
        let versions = published.versions;
        let now = self.now();
        {
            let mut source = self.source.borrow_mut();
            let base = versions.base();
            if source.version() < base.version {
                if let Ok(packed) = snapshot::encode(base.version, &base.state) {
                    let _ = source.restore(now, packed.into());
                }
            }
            for change in versions
                .changes_since(source.version())
                .into_iter()
                .flatten()
            {
                // Applied here as it was in the log's own copy.
                let _ = source.apply_committed(now, change.delta.clone());
            }
            if published.is_current && source.version() == versions.version() {
                source.mark_current(now);
            }
        }
        self.follow();
    }

    /// Carries out what the source wants done.
    fn follow(&self) {
        loop {
            let orders: Vec<Effect> = self.source.borrow_mut().take_effects().collect();
            if orders.is_empty() {
                return;
            }
            for order in orders {
                match order {
                    Effect::Send { link, frame } => self.send(link, frame),
                    Effect::Close(link) => self.close(link),
                    Effect::Event(event) => (self.tell)(&event),
                }
            }
        }
    }

    fn send(&self, link: Link, frame: Bytes) {
        let line = self.lines.borrow().get(&link).cloned();
        let Some(line) = line else { return };
        let lost = line.out.lost.get();
        line.out
            .send(&Frame::from_body(FrameBody::ToSubscriber(frame)));
        if line.out.lost.get() > lost {
            count(&self.counts.slow);
            self.close(link);
            self.source.borrow_mut().on_disconnected(link);
        }
    }

    fn close(&self, link: Link) {
        if let Some(line) = self.lines.borrow_mut().remove(&link) {
            line.over.set(true);
            line.out.stir.notify_one();
        }
    }

    fn heard(&self, link: Link, frame: Bytes) {
        self.source.borrow_mut().on_frame(self.now(), link, frame);
        self.follow();
    }

    /// How far the newest versions are, the newest first.
    pub fn progress(&self, most: usize) -> Vec<RolloutProgress> {
        self.source.borrow().progress(most.min(LISTED))
    }

    pub fn standing(&self) -> Vec<SubscriberStatus> {
        self.source.borrow().subscriber_statuses()
    }

    /// A look at the source.
    pub fn inspect<T>(&self, look: impl FnOnce(&Publisher) -> T) -> T {
        look(&self.source.borrow())
    }
}

/// One attached process, from its first frame to its link's end. `back` is what was read behind that frame.
pub async fn attached(
    group: &Rc<ClusterMember>,
    stream: TcpStream,
    mut back: Vec<u8>,
    first: Bytes,
) {
    let Some(serving) = group.serving() else {
        return;
    };
    if group.inspect(|member| member.published().is_none()) {
        count(&serving.counts.not_here);
        return;
    }
    if serving.lines.borrow().len() >= serving.bounds.max_subscribers + STRANGERS {
        count(&serving.counts.full);
        return;
    }
    let link = serving.next.get() + 1;
    serving.next.set(link);
    let line = Rc::new(Line {
        out: Outbox::bounded(WAITS),
        over: Cell::new(false),
    });
    line.out.open.set(true);
    serving.lines.borrow_mut().insert(link, line.clone());
    serving.heard(link, first);
    let (mut read, mut write) = stream.into_split();
    let reading = async {
        let mut chunk = [0; 1 << 10];
        loop {
            let mut at = 0;
            while let Ok(Some(length)) = frame_within(&back[at..], UP) {
                let frame = Frame::decode(&back[at + 4..at + 4 + length]);
                at += 4 + length;
                let Ok(Frame {
                    body: Some(FrameBody::FromSubscriber(frame)),
                }) = frame
                else {
                    return;
                };
                serving.heard(link, frame);
            }
            back.drain(..at);
            if frame_within(&back, UP).is_err() {
                return;
            }
            // Who says nothing is ended by the source.
            match read.read(&mut chunk).await {
                Ok(0) | Err(_) => return,
                Ok(n) => back.extend_from_slice(&chunk[..n]),
            }
        }
    };
    let writing = async {
        loop {
            match line.out.next() {
                Some(bytes) => {
                    if !timeout(TAKES, write.write_all(&bytes))
                        .await
                        .is_ok_and(|written| written.is_ok())
                    {
                        return;
                    }
                    line.out.sent.set(line.out.sent.get() + bytes.len() as u64);
                }
                None if line.over.get() => {
                    // The end is told after the last word; whoever keeps its own side open is not waited for.
                    let _ = timeout(OPENS, write.shutdown()).await;
                    return;
                }
                None => line.out.stir.notified().await,
            }
        }
    };
    tokio::select! {
        () = reading => {}
        () = writing => {}
    }
    serving.close(link);
    serving.source.borrow_mut().on_disconnected(link);
    serving.follow();
}

/// A frame of an attached process, as it goes on a link.
pub fn up(frame: Bytes) -> Vec<u8> {
    with_length_prefix(&Frame::from_body(FrameBody::FromSubscriber(frame)).encode_to_vec())
}
