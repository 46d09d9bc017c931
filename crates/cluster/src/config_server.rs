//! The config server's side of attachments: sends the group's committed versions to processes that are not members.
//!
//! [`Publisher`] decides what is sent to which subscriber, and when; this module provides the sockets and the clock. A
//! process opens one link to the member's address; the first frame identifies it as a subscriber. Limits: those of the
//! publisher on subscribers and attachments per second, [`MAX_EXTRA_LINKS`] further links, and [`MAX_QUEUED_BYTES`]
//! queued bytes per link.

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

/// The longest frame of a subscriber: a name, a zone, a region and a reason, with a margin.
const MAX_SUBSCRIBER_FRAME_BYTES: usize = 4 << 10;
/// Bytes that may be queued for one link: a window of chunks and a delta, with a margin. The link of a subscriber that
/// reads more slowly is closed; the subscriber attaches again.
const MAX_QUEUED_BYTES: usize = 256 << 10;
/// Links in addition to the maximum of subscribers: those rejected with a retry-after, until they are closed.
const MAX_EXTRA_LINKS: usize = 256;
/// Time between two ticks of the publisher.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of versions listed in an answer to an operator.
pub const MAX_LISTED_VERSIONS: usize = 256;

/// Receives the publisher's events, to log them.
pub type EventCallback = Box<dyn Fn(&Event)>;

/// The link of one subscriber.
struct SubscriberLink {
    outbox: Outbox,
    /// Whether the link is to be closed once all queued frames are written.
    closing: Cell<bool>,
}

/// Counters of the links that the server closed, since the start.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Rejected because there were too many links.
    pub full: Cell<u64>,
    /// Rejected because this member holds no replica of the published versions.
    pub no_replica: Cell<u64>,
    /// Closed because too many bytes were queued.
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
    /// Starts to serve. `synchronize` is called at each tick and has to call [`ConfigServer::synchronize`] with the
    /// member's published versions.
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
        let ticker = server.clone();
        spawn_local(async move {
            loop {
                synchronize(&ticker);
                ticker.publisher.borrow_mut().tick(ticker.now());
                ticker.carry_out_effects();
                sleep(TICK_INTERVAL).await;
            }
        });
        server
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Passes the versions committed since the last call to the publisher.
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
                // The change was applied to the member's replica before, so it also applies here.
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

    /// The rollout progress of the newest versions, the newest first; at most [`MAX_LISTED_VERSIONS`].
    pub fn progress(&self, max_versions: usize) -> Vec<RolloutProgress> {
        self.publisher
            .borrow()
            .progress(max_versions.min(MAX_LISTED_VERSIONS))
    }

    /// The statuses of all attached subscribers.
    pub fn subscribers(&self) -> Vec<SubscriberStatus> {
        self.publisher.borrow().subscriber_statuses()
    }

    /// Reads the publisher's state.
    pub fn inspect<T>(&self, read: impl FnOnce(&Publisher) -> T) -> T {
        read(&self.publisher.borrow())
    }

    /// Counters of the links that the server closed.
    pub fn counters(&self) -> &ServerCounters {
        &self.counters
    }

    /// Counts a subscriber that cannot attach because this member holds no replica of the published versions.
    pub(crate) fn reject_without_replica(&self) {
        increment(&self.counters.no_replica);
    }

    /// Registers a new link; `None` if there are too many.
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

/// Serves one subscriber from its first frame to the end of its link. `received` holds the bytes read after that frame.
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

/// Reads frames until the link ends or a frame is invalid. The publisher closes the links of silent subscribers.
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
                // Meanwhile `read_frames` keeps reading: closing with unread bytes would discard the last frames sent.
                let deadline = Instant::now() + OPEN_TIMEOUT;
                let _ = timeout(OPEN_TIMEOUT, write.shutdown()).await;
                wait_until_acknowledged(write.as_ref(), deadline).await;
                return;
            }
            None => subscriber.outbox.notified().await,
        }
    }
}
