//! A control machine's side of attachments: what the group committed is sent to processes that are no members.
//!
//! Which subscriber gets what, and when, is decided by [`Publisher`]; this module has the sockets and the time. A process
//! opens one link to the member's own address; its first frame says that it attaches. Bounds: the publisher's on
//! subscribers and attachments a second, [`MAX_EXTRA_LINKS`] links beside them, [`MAX_QUEUED_BYTES`] bytes that wait for
//! one link.

use crate::framing::{FrameBuffer, OPEN_TIMEOUT, WRITE_TIMEOUT};
use crate::outbox::Outbox;
use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use prost::Message as _;
use rainstand_config_distribution::publisher::{
    Effect, Event, Link, Publisher, PublisherLimits, RolloutProgress, SubscriberStatus,
};
use rainstand_config_distribution::snapshot;
use rainstand_lingering_close::wait_until_acknowledged;
use rainstand_replicated_state::frames::{Frame, FrameBody};
use rainstand_replicated_state::member::PublishedVersions;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A subscriber's frame: a name, a zone, a region and a reason, with room to spare.
const MAX_SUBSCRIBER_FRAME_BYTES: usize = 4 << 10;
/// For one link: a window of chunks and a delta, with room to spare. A subscriber that reads more slowly is closed, and
/// attaches again.
const MAX_QUEUED_BYTES: usize = 256 << 10;
/// Links beyond the subscribers: those that get a retry-after, until they are closed.
const MAX_EXTRA_LINKS: usize = 256;
/// Between two ticks of the publisher.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Versions that an answer to operators lists at most.
pub const MAX_LISTED_VERSIONS: usize = 256;

/// Receives the publisher's events: the program's log.
pub type EventCallback = Box<dyn Fn(&Event)>;

/// One subscriber's link.
struct SubscriberLink {
    outbox: Outbox,
    /// The link ends once everything queued is written.
    closing: Cell<bool>,
}

/// Links that were closed by the server, since the start.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Rejected, as there were too many links.
    pub full: Cell<u64>,
    /// Rejected, as this member holds no replica of the published versions.
    pub no_replica: Cell<u64>,
    /// Closed, as too much waited for them.
    pub slow: Cell<u64>,
}

/// Serves the published versions of a configuration to subscribers.
pub struct ConfigServer {
    publisher: RefCell<Publisher>,
    limits: PublisherLimits,
    started: Instant,
    links: RefCell<HashMap<Link, Rc<SubscriberLink>>>,
    last_link: Cell<Link>,
    on_event: EventCallback,
    counters: ServerCounters,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl ConfigServer {
    /// Starts to serve. `synchronize` is called at each tick and has to call [`ConfigServer::synchronize`] with what the
    /// member has.
    pub(crate) fn start(
        limits: PublisherLimits,
        seed: u64,
        on_event: EventCallback,
        synchronize: impl Fn(&Self) + 'static,
    ) -> Rc<Self> {
        let server = Rc::new(Self {
            publisher: RefCell::new(Publisher::new(Duration::ZERO, limits, seed)),
            limits,
            started: Instant::now(),
            links: RefCell::new(HashMap::new()),
            last_link: Cell::new(0),
            on_event,
            counters: ServerCounters::default(),
        });
        let ticking = server.clone();
        spawn_local(async move {
            loop {
                synchronize(&ticking);
                ticking.publisher.borrow_mut().tick(ticking.now());
                ticking.carry_out_effects();
                sleep(TICK_INTERVAL).await;
            }
        });
        server
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Takes over what was committed since the last call.
    pub(crate) fn synchronize(&self, published: &PublishedVersions) {
        let versions = published.versions;
        let now = self.now();
        {
            let mut publisher = self.publisher.borrow_mut();
            let base = versions.base();
            if publisher.version() < base.version {
                if let Ok(packed) = snapshot::encode(base.version, &base.state) {
                    let _ = publisher.restore(now, packed.into());
                }
            }
            let changes = versions.changes_since(publisher.version());
            for change in changes.into_iter().flatten() {
                // It was applied to the log's own replica before, so it applies here too.
                let _ = publisher.apply_committed(now, change.delta.clone());
            }
            if published.is_current && publisher.version() == versions.version() {
                publisher.mark_current(now);
            }
        }
        self.carry_out_effects();
    }

    fn carry_out_effects(&self) {
        loop {
            let effects: Vec<Effect> = self.publisher.borrow_mut().take_effects().collect();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Send { link, frame } => self.send(link, frame),
                    Effect::Close(link) => self.close(link),
                    Effect::Event(event) => (self.on_event)(&event),
                }
            }
        }
    }

    fn send(&self, link: Link, frame: Bytes) {
        let subscriber = self.links.borrow().get(&link).cloned();
        let Some(subscriber) = subscriber else { return };
        let dropped = subscriber.outbox.dropped_frames();
        let frame = Frame::from_body(FrameBody::ToSubscriber(frame));
        subscriber.outbox.send(&frame);
        if subscriber.outbox.dropped_frames() > dropped {
            increment(&self.counters.slow);
            self.close(link);
            self.publisher.borrow_mut().on_disconnected(link);
        }
    }

    fn close(&self, link: Link) {
        if let Some(subscriber) = self.links.borrow_mut().remove(&link) {
            subscriber.closing.set(true);
            subscriber.outbox.notify();
        }
    }

    fn on_frame(&self, link: Link, frame: Bytes) {
        self.publisher
            .borrow_mut()
            .on_frame(self.now(), link, frame);
        self.carry_out_effects();
    }

    /// How far the newest versions are rolled out, the newest first; at most [`MAX_LISTED_VERSIONS`].
    pub fn progress(&self, max_versions: usize) -> Vec<RolloutProgress> {
        self.publisher
            .borrow()
            .progress(max_versions.min(MAX_LISTED_VERSIONS))
    }

    /// All attached subscribers.
    pub fn subscribers(&self) -> Vec<SubscriberStatus> {
        self.publisher.borrow().subscriber_statuses()
    }

    /// Reads the publisher's state.
    pub fn inspect<T>(&self, read: impl FnOnce(&Publisher) -> T) -> T {
        read(&self.publisher.borrow())
    }

    /// Links that were closed by the server.
    pub fn counters(&self) -> &ServerCounters {
        &self.counters
    }

    /// Counts a process that cannot attach, as this member holds no replica of the published versions.
    pub(crate) fn reject_without_replica(&self) {
        increment(&self.counters.no_replica);
    }

    /// A new link, unless there are too many.
    fn open_link(&self) -> Option<(Link, Rc<SubscriberLink>)> {
        if self.links.borrow().len() >= self.limits.max_subscribers + MAX_EXTRA_LINKS {
            increment(&self.counters.full);
            return None;
        }
        let link = self.last_link.get() + 1;
        self.last_link.set(link);
        let subscriber = Rc::new(SubscriberLink {
            outbox: Outbox::with_capacity(MAX_QUEUED_BYTES),
            closing: Cell::new(false),
        });
        subscriber.outbox.open();
        self.links.borrow_mut().insert(link, subscriber.clone());
        Some((link, subscriber))
    }
}

/// Serves one attached process from its first frame to its link's end. `received` is what was read behind that frame.
pub(crate) async fn serve_subscriber(
    server: &ConfigServer,
    stream: TcpStream,
    received: Vec<u8>,
    first: Bytes,
) {
    let Some((link, subscriber)) = server.open_link() else {
        return;
    };
    server.on_frame(link, first);
    let (read, write) = stream.into_split();
    tokio::select! {
        () = read_frames(server, link, read, received) => {}
        () = write_frames(&subscriber, write) => {}
    }
    server.close(link);
    server.publisher.borrow_mut().on_disconnected(link);
    server.carry_out_effects();
}

/// Reads until the link ends or carries something else than a subscriber's frames. Silent subscribers are closed by the
/// publisher.
async fn read_frames(
    server: &ConfigServer,
    link: Link,
    mut read: OwnedReadHalf,
    received: Vec<u8>,
) {
    let mut frames = FrameBuffer::with_received(received, MAX_SUBSCRIBER_FRAME_BYTES);
    let mut chunk = [0; 1 << 10];
    loop {
        loop {
            let frame = match frames.next_frame() {
                Ok(Some(frame)) => Frame::decode(frame),
                Ok(None) => break,
                Err(_) => return,
            };
            let Ok(Frame {
                body: Some(FrameBody::FromSubscriber(frame)),
            }) = frame
            else {
                return;
            };
            server.on_frame(link, frame);
        }
        match read.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(n) => frames.extend(&chunk[..n]),
        }
    }
}

async fn write_frames(subscriber: &SubscriberLink, mut write: OwnedWriteHalf) {
    loop {
        match subscriber.outbox.next() {
            Some(bytes) => {
                let written = timeout(WRITE_TIMEOUT, write.write_all(&bytes)).await;
                if !written.is_ok_and(|written| written.is_ok()) {
                    return;
                }
                subscriber.outbox.add_sent(bytes.len());
            }
            None if subscriber.closing.get() => {
                // What the subscriber still sends is read meanwhile: a close with bytes unread would discard the last frames.
                let deadline = Instant::now() + OPEN_TIMEOUT;
                let _ = timeout(OPEN_TIMEOUT, write.shutdown()).await;
                wait_until_acknowledged(write.as_ref(), deadline).await;
                return;
            }
            None => subscriber.outbox.notified().await,
        }
    }
}
