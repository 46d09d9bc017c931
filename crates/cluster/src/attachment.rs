//! The subscriber's side of an attachment: maintains one link at a time to a config server, and applies versions.
//!
//! `rainstand-config-distribution` decides which server is connected to, when, and which versions are accepted; this
//! module provides the sockets and the clock. While no server can be reached, the process keeps its current version. A
//! version that is being stored delays neither pings nor the search for a server.

use crate::framing::{subscriber_frame, FrameBuffer, OPEN_TIMEOUT, WRITE_TIMEOUT};
use prost::Message as _;
use rainstand_config::schema;
use rainstand_config_distribution::attachment::{AttachmentPolicy, NodeIdentity, RetryTarget};
use rainstand_config_distribution::subscriber::{Counters, Effect, Event, Subscriber};
use rainstand_replicated_state::frames::{Frame, FrameBody};
use std::cell::RefCell;
use std::future::{pending, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at};

/// The longest frame of a config server: a delta or a chunk of a snapshot, with a margin.
const MAX_SERVER_FRAME_BYTES: usize = 128 << 10;
/// The longest wait for bytes before the state of an idle link is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The size of the read buffer.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// The state of an attachment, for status reports.
#[derive(Clone, Debug, Default)]
pub struct AttachmentStatus {
    /// The version in force; 0 if none was received from a config server.
    pub version: u64,
    /// Digest of the version in force.
    pub digest: u64,
    /// The config server that this process is attached to.
    pub machine: Option<String>,
    /// When the version in force was last known to be the newest; `None` if it never was.
    pub known_newest_at: Option<Instant>,
    /// The last version that this process rejected; `None` after a version was applied.
    pub rejected: Option<RejectedVersion>,
    /// Counters of the subscriber.
    pub counters: Counters,
    /// Attempts to connect to a config server.
    pub connection_attempts: u64,
    /// Number of times that this process was attached.
    pub attachments: u64,
    /// Number of attachments that ended.
    pub lost_attachments: u64,
}

/// A version that could not be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedVersion {
    /// The version.
    pub version: u64,
    /// Why it could not be applied.
    pub reason: String,
}

/// An event to be logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttachmentEvent {
    /// Attached to a config server.
    Attached {
        /// The server's name.
        machine: String,
    },
    /// The attachment ended.
    Lost {
        /// The server's name.
        machine: String,
        /// Why it ended.
        reason: DisconnectReason,
    },
    /// An event of the subscriber.
    Version(Event),
}

/// Why a link to a config server ended. The texts are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DisconnectReason {
    /// The server's configured address is invalid.
    #[error("invalid server address")]
    InvalidAddress,
    /// Connecting to the server failed or timed out.
    #[error("connecting to the server failed")]
    ConnectFailed,
    /// The server closed the link, or the link failed.
    #[error("connection closed")]
    Closed,
    /// A write failed or timed out.
    #[error("writing to the server failed")]
    WriteTimedOut,
    /// The received bytes are not a frame.
    #[error("malformed frame")]
    MalformedFrame,
    /// The received frame is not a config server's frame.
    #[error("unexpected frame")]
    UnexpectedFrame,
    /// The server is silent, or not connected to a majority of its group.
    #[error("server is silent or not connected to a majority of its group")]
    ServerLost,
    /// The server rejected the attachment with a retry-after.
    #[error("rejected with a retry-after")]
    RetryAfter,
    /// The link is closed in order to retry a preferred server.
    #[error("retrying a nearer server")]
    Failback,
}

/// Whether an attachment continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttachmentPhase {
    /// The link is open.
    Linked,
    /// An attachment has just ended.
    Lost,
}

/// Why a version cannot be stored or applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct ApplyError {
    /// The reason, shown to operators.
    pub reason: String,
}

impl ApplyError {
    /// Creates an error with the text of another error.
    pub fn new(error: impl std::fmt::Display) -> Self {
        Self {
            reason: error.to_string(),
        }
    }
}

/// Applies the subscriber's pending version, or returns why it cannot be applied.
pub type ApplyCallback = Box<dyn FnMut(&Subscriber) -> Result<(), ApplyError>>;
/// The completion of a write: without an error once the version is durable.
pub type StoreFuture = Pin<Box<dyn Future<Output = Result<(), ApplyError>>>>;
/// Begins to store the subscriber's pending version durably.
pub type StoreCallback = Box<dyn FnMut(&Subscriber) -> StoreFuture>;
/// Receives events, to log them.
pub type EventCallback = Box<dyn Fn(&AttachmentEvent, &Subscriber)>;
/// Called at least every 500 ms while a link is open, and when an attachment is lost: for example to make a checkpoint
/// of the version in force.
pub type StatusCallback = Box<dyn FnMut(&Subscriber, AttachmentPhase)>;

/// The options of an attachment.
pub struct AttachmentOptions {
    /// The identity of this process.
    pub identity: NodeIdentity,
    /// The config servers.
    pub machines: Vec<schema::ControlMember>,
    /// A subscriber with the version that is in force already, as read from a disk, or a new subscriber.
    pub subscriber: Subscriber,
    /// Seed of the random delays.
    pub seed: u64,
    /// Stores versions before they are applied; called only for a subscriber with durable storage.
    pub store: StoreCallback,
    /// Applies versions.
    pub apply: ApplyCallback,
    /// Receives events.
    pub on_event: EventCallback,
    /// Receives the status regularly.
    pub on_status: StatusCallback,
    /// The status, updated by the attachment.
    pub status: Rc<RefCell<AttachmentStatus>>,
}

/// Why a link ended.
enum LinkEnd {
    Lost(DisconnectReason),
    RetryAfter {
        after: Duration,
        target: RetryTarget,
    },
    /// The link is closed in order to retry a preferred server.
    Failback,
}

/// A version that is being stored.
struct PendingWrite {
    version: u64,
    done: StoreFuture,
}

/// The end of a write.
struct FinishedWrite {
    version: u64,
    result: Result<(), ApplyError>,
}

struct Attachment {
    subscriber: Subscriber,
    policy: AttachmentPolicy,
    servers: Vec<schema::ControlMember>,
    started: Instant,
    store: StoreCallback,
    write: Option<PendingWrite>,
    apply: ApplyCallback,
    on_event: EventCallback,
    on_status: StatusCallback,
    status: Rc<RefCell<AttachmentStatus>>,
}

/// Maintains one attachment; returns only if there are no config servers.
pub async fn run_attachment(options: AttachmentOptions) {
    let mut attachment = Attachment::new(options);
    while let Some(deadline) = attachment.policy.next_deadline() {
        attachment.wait_until(deadline).await;
        let now = attachment.now();
        if let Some(server) = attachment.policy.next_server(now) {
            attachment.run_link(server).await;
        }
    }
}

impl Attachment {
    fn new(options: AttachmentOptions) -> Self {
        let identities: Vec<NodeIdentity> = options
            .machines
            .iter()
            .map(|server| NodeIdentity {
                name: server.name.clone(),
                region: server.region.clone(),
                zone: server.zone.clone(),
            })
            .collect();
        let policy =
            AttachmentPolicy::new(Duration::ZERO, &options.identity, &identities, options.seed);
        Self {
            subscriber: options.subscriber,
            policy,
            servers: options.machines,
            started: Instant::now(),
            store: options.store,
            write: None,
            apply: options.apply,
            on_event: options.on_event,
            on_status: options.on_status,
            status: options.status,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Waits without a link. Versions that were received before are stored and applied meanwhile.
    async fn wait_until(&mut self, deadline: Duration) {
        loop {
            let now = self.now();
            if now >= deadline {
                return;
            }
            let retry_at = self.subscriber.store_retry_at();
            let wake_at = retry_at.map_or(deadline, |retry_at| retry_at.min(deadline));
            tokio::select! {
                () = sleep(wake_at.saturating_sub(now)) => {}
                finished = finished_write(&mut self.write) => self.on_write_finished(finished),
            }
            let now = self.now();
            self.subscriber.on_tick(now);
            // Without a link there are no frames to send.
            let _ = self.carry_out_effects(&mut Vec::new());
            self.copy_status();
        }
    }

    fn on_write_finished(&mut self, finished: FinishedWrite) {
        let FinishedWrite { version, result } = finished;
        match result {
            Ok(()) => self.subscriber.on_stored(version),
            Err(error) => {
                let now = self.now();
                self.subscriber.on_store_failed(now, version, &error.reason);
            }
        }
    }

    /// Opens a link, serves it until it ends, and reports its end.
    async fn run_link(&mut self, server: usize) {
        let name = self.servers[server].name.clone();
        self.status.borrow_mut().connection_attempts += 1;
        let end = match connect(&self.servers[server].address).await {
            Ok(stream) => self.exchange_frames(stream, &name).await,
            Err(reason) => LinkEnd::Lost(reason),
        };
        self.subscriber.on_link_closed();
        let now = self.now();
        let was_attached = self.status.borrow_mut().machine.take().is_some();
        let reason = match end {
            LinkEnd::Lost(reason) => {
                self.policy.on_disconnected(now);
                reason
            }
            LinkEnd::RetryAfter { after, target } => {
                self.policy.on_retry_after(now, after, target);
                DisconnectReason::RetryAfter
            }
            // The policy returns the preferred server at the next call of `next_server`.
            LinkEnd::Failback => DisconnectReason::Failback,
        };
        if was_attached {
            self.status.borrow_mut().lost_attachments += 1;
            (self.on_status)(&self.subscriber, AttachmentPhase::Lost);
            let event = AttachmentEvent::Lost {
                machine: name,
                reason,
            };
            (self.on_event)(&event, &self.subscriber);
        }
    }

    async fn exchange_frames(&mut self, stream: TcpStream, server: &str) -> LinkEnd {
        let _ = stream.set_nodelay(true);
        let (mut read, mut write) = stream.into_split();
        let mut frames = FrameBuffer::new(MAX_SERVER_FRAME_BYTES);
        self.subscriber.on_connected(self.started.elapsed());
        loop {
            let now = self.now();
            self.subscriber.on_tick(now);
            if let Err(end) = self.send_effects(&mut write).await {
                return end;
            }
            self.update_status(server);
            let now = self.now();
            if self.subscriber.is_server_lost(now) {
                return LinkEnd::Lost(DisconnectReason::ServerLost);
            }
            let deadline = self.policy.next_deadline();
            if deadline.is_some_and(|deadline| deadline <= now) {
                return LinkEnd::Failback;
            }
            tokio::select! {
                read = read_some(&mut read, &mut frames) => {
                    if let Err(reason) = read {
                        return LinkEnd::Lost(reason);
                    }
                }
                finished = finished_write(&mut self.write) => self.on_write_finished(finished),
            }
            if let Err(reason) = self.handle_frames(&mut frames) {
                return LinkEnd::Lost(reason);
            }
        }
    }

    /// Carries out the subscriber's effects and writes its frames.
    async fn send_effects(&mut self, write: &mut OwnedWriteHalf) -> Result<(), LinkEnd> {
        let mut bytes = Vec::new();
        let end = self.carry_out_effects(&mut bytes);
        if !bytes.is_empty() {
            let written = timeout(WRITE_TIMEOUT, write.write_all(&bytes)).await;
            if !written.is_ok_and(|written| written.is_ok()) {
                return Err(LinkEnd::Lost(DisconnectReason::WriteTimedOut));
            }
        }
        end.map_or(Ok(()), Err)
    }

    fn handle_frames(&mut self, frames: &mut FrameBuffer) -> Result<(), DisconnectReason> {
        let malformed = |_| DisconnectReason::MalformedFrame;
        while let Some(frame) = frames.next_frame().map_err(malformed)? {
            let Ok(Frame {
                body: Some(FrameBody::ToSubscriber(frame)),
            }) = Frame::decode(frame)
            else {
                return Err(DisconnectReason::UnexpectedFrame);
            };
            self.subscriber.on_frame(self.started.elapsed(), frame);
        }
        Ok(())
    }

    /// Appends frames to be sent to `bytes`; returns why the link has to end, if it has to.
    fn carry_out_effects(&mut self, bytes: &mut Vec<u8>) -> Option<LinkEnd> {
        let mut end = None;
        loop {
            let effects: Vec<Effect> = self.subscriber.take_effects().collect();
            if effects.is_empty() {
                return end;
            }
            for effect in effects {
                match effect {
                    Effect::Send(frame) => bytes.extend(subscriber_frame(frame)),
                    Effect::Store(version) => {
                        let done = (self.store)(&self.subscriber);
                        self.write = Some(PendingWrite { version, done });
                    }
                    Effect::Apply(version) => match (self.apply)(&self.subscriber) {
                        Ok(()) => self.subscriber.on_applied(version),
                        Err(error) => self.subscriber.on_rejected(version, &error.reason),
                    },
                    Effect::RetryAfter { after, target } => {
                        end = Some(LinkEnd::RetryAfter { after, target });
                    }
                    Effect::Close => end = Some(LinkEnd::Lost(DisconnectReason::UnexpectedFrame)),
                    Effect::Event(event) => self.report(event),
                }
            }
        }
    }

    fn report(&self, event: Event) {
        match &event {
            Event::Rejected { version, reason } | Event::StoreFailed { version, reason } => {
                self.status.borrow_mut().rejected = Some(RejectedVersion {
                    version: *version,
                    reason: reason.clone(),
                });
            }
            Event::Applied { .. } => self.status.borrow_mut().rejected = None,
            _ => {}
        }
        (self.on_event)(&AttachmentEvent::Version(event), &self.subscriber);
    }

    /// Copies what the subscriber holds to the status.
    fn copy_status(&self) {
        let mut status = self.status.borrow_mut();
        status.version = self.subscriber.version();
        status.digest = self.subscriber.state().digest();
        status.counters = self.subscriber.counters();
    }

    /// Updates the status; reports when this process becomes attached.
    fn update_status(&mut self, server: &str) {
        (self.on_status)(&self.subscriber, AttachmentPhase::Linked);
        let now = self.now();
        let is_attached = self.subscriber.is_attached();
        self.copy_status();
        let is_newly_attached = {
            let mut status = self.status.borrow_mut();
            if is_attached {
                let staleness = self.subscriber.staleness(now);
                status.known_newest_at = Instant::now().checked_sub(staleness);
            }
            is_attached && status.machine.is_none()
        };
        if is_newly_attached {
            self.on_attached(now, server);
        }
    }

    fn on_attached(&mut self, now: Duration, server: &str) {
        {
            let mut status = self.status.borrow_mut();
            status.machine = Some(server.to_owned());
            status.attachments += 1;
        }
        self.policy.on_attached(now);
        let event = AttachmentEvent::Attached {
            machine: server.to_owned(),
        };
        (self.on_event)(&event, &self.subscriber);
    }
}

/// Waits for the end of a write; forever if there is none.
async fn finished_write(write: &mut Option<PendingWrite>) -> FinishedWrite {
    let Some(PendingWrite { version, done }) = write else {
        return pending().await;
    };
    let version = *version;
    let result = done.await;
    *write = None;
    FinishedWrite { version, result }
}

async fn connect(address: &str) -> Result<TcpStream, DisconnectReason> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| DisconnectReason::InvalidAddress)?;
    match timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        _ => Err(DisconnectReason::ConnectFailed),
    }
}

/// Waits for bytes, at most for [`POLL_INTERVAL`].
async fn read_some(
    read: &mut OwnedReadHalf,
    frames: &mut FrameBuffer,
) -> Result<(), DisconnectReason> {
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    let until = tokio::time::Instant::now() + POLL_INTERVAL;
    match timeout_at(until, read.read(&mut chunk)).await {
        Err(_) => Ok(()),
        Ok(Ok(n)) if n > 0 => {
            frames.extend(&chunk[..n]);
            Ok(())
        }
        Ok(_) => Err(DisconnectReason::Closed),
    }
}
