//! A subscriber's own side of its attachment: one link at a time to a control machine, and versions put into force.
//!
//! Which machine, when, and what is accepted are decisions of `rainstand-config-distribution`; this module has the
//! sockets and the time. Without any machine the process goes on with the version that it has.

use crate::framing::{subscriber_frame, FrameBuffer, OPEN_TIMEOUT, WRITE_TIMEOUT};
use prost::Message as _;
use rainstand_config::schema;
use rainstand_config_distribution::attachment::{AttachmentPolicy, NodeIdentity, RetryTarget};
use rainstand_config_distribution::subscriber::{Counters, Effect, Event, Subscriber};
use rainstand_replicated_state::frames::{Frame, FrameBody};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at};

/// The longest frame of a control machine: a delta or a chunk of a snapshot, with room to spare.
const MAX_SERVER_FRAME_BYTES: usize = 128 << 10;
/// Between two looks at a link on which nothing comes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes that are read with one call.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// The state of an attachment, for whoever reports it.
#[derive(Clone, Debug, Default)]
pub struct AttachmentStatus {
    /// The version in force; 0 if none came from a control machine.
    pub version: u64,
    /// Digest of the version in force.
    pub digest: u64,
    /// The control machine that this process is attached to.
    pub machine: Option<String>,
    /// When the version in force was last known to be the newest; none if it never was.
    pub known_newest_at: Option<Instant>,
    /// The last version that was rejected here; none once a later one is in force.
    pub rejected: Option<RejectedVersion>,
    /// Counters of the subscriber.
    pub counters: Counters,
    /// Attempts to connect to a control machine.
    pub connection_attempts: u64,
    /// Links on which this process was attached.
    pub attachments: u64,
    /// Attachments that ended.
    pub lost_attachments: u64,
}

/// A version that could not be put into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedVersion {
    /// The version.
    pub version: u64,
    /// Why it could not.
    pub reason: String,
}

/// What operators should hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttachmentEvent {
    /// Attached to a control machine.
    Attached {
        /// The machine's name.
        machine: String,
    },
    /// The attachment ended.
    Lost {
        /// The machine's name.
        machine: String,
        /// Why it ended.
        reason: DisconnectReason,
    },
    /// An event of the subscriber.
    Version(Event),
}

/// Why a link to a control machine ended. The texts stand in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DisconnectReason {
    /// The machine's configured address is none.
    #[error("no address")]
    InvalidAddress,
    /// It could not be connected to in time.
    #[error("no connection")]
    ConnectFailed,
    /// The machine closed the link, or it broke.
    #[error("the link ended")]
    Closed,
    /// The machine did not read in time.
    #[error("it takes nothing")]
    WriteTimedOut,
    /// What came is no frame.
    #[error("no frame")]
    MalformedFrame,
    /// What came is no frame of a control machine.
    #[error("no frame of a control machine")]
    UnexpectedFrame,
    /// The machine is silent, or not in touch with a majority.
    #[error("silent, or out of touch with the others")]
    ServerLost,
    /// The machine rejected the attachment for now.
    #[error("told to come back")]
    RetryAfter,
    /// A preferred machine is tried again.
    #[error("a nearer one is tried")]
    Failback,
}

/// Whether an attachment goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttachmentPhase {
    /// The link is open.
    Linked,
    /// An attachment has just ended.
    Lost,
}

/// Why a version cannot be put into force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct ApplyError {
    /// For operators.
    pub reason: String,
}

impl ApplyError {
    /// With the text of another error.
    pub fn new(error: impl std::fmt::Display) -> Self {
        Self {
            reason: error.to_string(),
        }
    }
}

/// Puts the subscriber's pending version into force, or returns why it cannot be.
pub type ApplyCallback = Box<dyn FnMut(&Subscriber) -> Result<(), ApplyError>>;
/// Receives events: the program's log.
pub type EventCallback = Box<dyn Fn(&AttachmentEvent, &Subscriber)>;
/// Called at least every 500 ms while a link is open, and when an attachment is lost: for whoever stores the version in
/// force.
pub type StatusCallback = Box<dyn FnMut(&Subscriber, AttachmentPhase)>;

/// What an attachment needs.
pub struct AttachmentOptions {
    /// This process.
    pub identity: NodeIdentity,
    /// The control machines.
    pub machines: Vec<schema::ControlMember>,
    /// With the version that is in force already, as read from a disk, or a new one.
    pub subscriber: Subscriber,
    /// For the waits that are drawn.
    pub seed: u64,
    /// Puts versions into force.
    pub apply: ApplyCallback,
    /// Receives events.
    pub on_event: EventCallback,
    /// Called regularly.
    pub on_status: StatusCallback,
    /// Kept up to date by the attachment.
    pub status: Rc<RefCell<AttachmentStatus>>,
}

/// Why a link ended.
enum LinkEnd {
    Lost(DisconnectReason),
    RetryAfter {
        after: Duration,
        target: RetryTarget,
    },
    /// A preferred machine is tried again.
    Failback,
}

struct Attachment {
    subscriber: Subscriber,
    policy: AttachmentPolicy,
    machines: Vec<schema::ControlMember>,
    started: Instant,
    apply: ApplyCallback,
    on_event: EventCallback,
    on_status: StatusCallback,
    status: Rc<RefCell<AttachmentStatus>>,
}

/// Keeps one attachment, for ever; returns only if there are no machines.
pub async fn run_attachment(options: AttachmentOptions) {
    let mut attachment = Attachment::new(options);
    while let Some(deadline) = attachment.policy.next_deadline() {
        sleep(deadline.saturating_sub(attachment.now())).await;
        let now = attachment.now();
        if let Some(machine) = attachment.policy.next_server(now) {
            attachment.run_link(machine).await;
        }
    }
}

impl Attachment {
    fn new(options: AttachmentOptions) -> Self {
        let identities: Vec<NodeIdentity> = options
            .machines
            .iter()
            .map(|machine| NodeIdentity {
                name: machine.name.clone(),
                region: machine.region.clone(),
                zone: machine.zone.clone(),
            })
            .collect();
        let policy =
            AttachmentPolicy::new(Duration::ZERO, &options.identity, &identities, options.seed);
        Self {
            subscriber: options.subscriber,
            policy,
            machines: options.machines,
            started: Instant::now(),
            apply: options.apply,
            on_event: options.on_event,
            on_status: options.on_status,
            status: options.status,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// One link, from its opening to its end.
    async fn run_link(&mut self, machine: usize) {
        let name = self.machines[machine].name.clone();
        self.status.borrow_mut().connection_attempts += 1;
        let end = match connect(&self.machines[machine].address).await {
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
            // The policy names the machine when it is asked next.
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

    async fn exchange_frames(&mut self, stream: TcpStream, machine: &str) -> LinkEnd {
        let _ = stream.set_nodelay(true);
        let (mut read, mut write) = stream.into_split();
        let mut frames = FrameBuffer::new(MAX_SERVER_FRAME_BYTES);
        self.subscriber.on_connected(self.started.elapsed());
        loop {
            if let Err(end) = self.send_effects(&mut write).await {
                return end;
            }
            self.update_status(machine);
            let now = self.now();
            if self.subscriber.is_server_lost(now) {
                return LinkEnd::Lost(DisconnectReason::ServerLost);
            }
            let deadline = self.policy.next_deadline();
            if deadline.is_some_and(|deadline| deadline <= now) {
                return LinkEnd::Failback;
            }
            if let Err(reason) = read_some(&mut read, &mut frames).await {
                return LinkEnd::Lost(reason);
            }
            if let Err(reason) = self.handle_frames(&mut frames) {
                return LinkEnd::Lost(reason);
            }
        }
    }

    /// Carries out what the subscriber wants done, and writes its frames.
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

    /// Frames are appended to `bytes`; the result is why the link has to end, if it has to.
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
            Event::Rejected { version, reason } => {
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

    /// Brings the status up to date; notices when this process is attached.
    fn update_status(&mut self, machine: &str) {
        (self.on_status)(&self.subscriber, AttachmentPhase::Linked);
        let now = self.now();
        let is_attached = self.subscriber.is_attached();
        let is_new = {
            let mut status = self.status.borrow_mut();
            status.version = self.subscriber.version();
            status.digest = self.subscriber.state().digest();
            status.counters = self.subscriber.counters();
            if is_attached {
                let staleness = self.subscriber.staleness(now);
                status.known_newest_at = Instant::now().checked_sub(staleness);
            }
            is_attached && status.machine.is_none()
        };
        if is_new {
            self.on_attached(now, machine);
        }
    }

    fn on_attached(&mut self, now: Duration, machine: &str) {
        {
            let mut status = self.status.borrow_mut();
            status.machine = Some(machine.to_owned());
            status.attachments += 1;
        }
        self.policy.on_attached(now);
        let event = AttachmentEvent::Attached {
            machine: machine.to_owned(),
        };
        (self.on_event)(&event, &self.subscriber);
    }
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
