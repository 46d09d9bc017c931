//! A process's own side of its attachment: one link at a time to a control machine, and versions put into force.
//!
//! Which machine, when, and what is taken are decisions of `rainstand-config-distribution`; here are sockets and time. Without any
//! machine the process runs on with the version that it has.

use crate::config_server::up;
use crate::transport::{OPENS, TAKES};
use prost::Message as _;
use rainstand_config::schema;
use rainstand_config_distribution::attachment::{AttachmentPolicy, NodeIdentity, RetryTarget};
use rainstand_config_distribution::subscriber::{Counters, Effect, Event, Subscriber};
use rainstand_protocol::thrift::frame_within;
use rainstand_replicated_state::frames::{Frame, FrameBody};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at};

/// A machine's frame: a delta or a piece of a snapshot, with room.
const DOWN: usize = 128 << 10;
/// Between looks at a link on which nothing comes.
const LOOK: Duration = Duration::from_millis(500);

/// What is told of an attachment, whoever asks.
#[derive(Clone, Debug, Default)]
pub struct AttachmentStatus {
    /// The version in force; 0: none that a machine told.
    pub version: u64,
    pub digest: u64,
    /// The machine it is attached to.
    pub machine: Option<String>,
    /// When the version in force was last known to be the newest; none: never yet.
    pub newest: Option<Instant>,
    /// The last version that was refused here, and why; none once a later one is in force.
    pub refused: Option<(u64, String)>,
    pub counters: Counters,
    /// Links that were tried, that attached, and that ended.
    pub dials: u64,
    pub attachments: u64,
    pub lost: u64,
}

/// What people should hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttachmentEvent {
    Attached { machine: String },
    Lost { machine: String, why: &'static str },
    Version(Event),
}

/// Puts the subscriber's pending version into force, or says why it cannot be.
pub type ApplyCallback = Box<dyn FnMut(&Subscriber) -> Result<(), String>>;

/// Where news go: the program's log.
pub type Tell = Box<dyn Fn(&AttachmentEvent, &Subscriber)>;
/// Called now and then while attached, and, with true, when an attachment is lost: for who keeps the version in force.
pub type StatusCallback = Box<dyn FnMut(&Subscriber, bool)>;

/// What an attachment needs.
pub struct AttachmentOptions {
    pub who: NodeIdentity,
    pub machines: Vec<schema::ControlMember>,
    /// What is in force already, as read from a disk: none for [`Subscriber::new`].
    pub subscriber: Subscriber,
    pub seed: u64,
    pub take: ApplyCallback,
    pub tell: Tell,
    pub look: StatusCallback,
    pub seen: Rc<RefCell<AttachmentStatus>>,
}

/// Why a link is over.
enum Over {
    RecoveryReport(&'static str),
    ComeBack {
        after: Duration,
        target: RetryTarget,
    },
    /// A nearer machine is tried again.
    Home,
}

struct Attachment {
    subscriber: Subscriber,
    chooser: AttachmentPolicy,
    machines: Vec<schema::ControlMember>,
    started: Instant,
    take: ApplyCallback,
    tell: Tell,
    look: StatusCallback,
    seen: Rc<RefCell<AttachmentStatus>>,
}

/// Keeps one attachment, for ever.
pub async fn run_attachment(setup: AttachmentOptions) {
    let AttachmentOptions {
        who,
        machines,
        subscriber,
        seed,
        take,
        tell,
        look,
        seen,
    } = setup;
    let places: Vec<NodeIdentity> = machines
        .iter()
        .map(|one| NodeIdentity {
            name: one.name.clone(),
            region: one.region.clone(),
            zone: one.zone.clone(),
        })
        .collect();
    let chooser = AttachmentPolicy::new(Duration::ZERO, &who, &places, seed);
    let started = Instant::now();
    let mut one = Attachment {
        subscriber,
        chooser,
        machines,
        started,
        take,
        tell,
        look,
        seen,
    };
    loop {
        let now = one.now();
        let Some(due) = one.chooser.next_deadline() else {
            return;
        };
        if now < due {
            sleep(due - now).await;
        }
        let now = one.now();
        let Some(machine) = one.chooser.next_server(now) else {
            continue;
        };
        one.link(machine).await;
    }
}

impl Attachment {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// One link, from its opening to its end.
    async fn link(&mut self, machine: usize) {
        let name = self.machines[machine].name.clone();
        self.seen.borrow_mut().dials += 1;
        let over = match self.machines[machine]
            .address
            .parse::<std::net::SocketAddr>()
        {
            Ok(to) => match timeout(OPENS, TcpStream::connect(to)).await {
                Ok(Ok(stream)) => self.talk(stream, &name).await,
                _ => Over::RecoveryReport("no connection"),
            },
            Err(_) => Over::RecoveryReport("no address"),
        };
        self.subscriber.on_link_closed();
        let now = self.now();
        let was = self.seen.borrow_mut().machine.take();
        let why = match over {
            Over::RecoveryReport(why) => {
                self.chooser.on_disconnected(now);
                why
            }
            Over::ComeBack { after, target } => {
                self.chooser.on_retry_after(now, after, target);
                "told to come back"
            }
            // The chooser says which one when it is asked next.
            Over::Home => "a nearer one is tried",
        };
        if was.is_some() {
            self.seen.borrow_mut().lost += 1;
            (self.look)(&self.subscriber, true);
            (self.tell)(
                &AttachmentEvent::Lost { machine: name, why },
                &self.subscriber,
            );
        }
    }

    async fn talk(&mut self, stream: TcpStream, name: &str) -> Over {
        let _ = stream.set_nodelay(true);
        let (mut read, mut write) = stream.into_split();
        let (mut back, mut chunk) = (Vec::new(), vec![0; 8 << 10]);
        let now = self.now();
        self.subscriber.on_connected(now);
        loop {
            let mut bytes = Vec::new();
            let over = self.follow(&mut bytes);
            if !bytes.is_empty()
                && !timeout(TAKES, write.write_all(&bytes))
                    .await
                    .is_ok_and(|sent| sent.is_ok())
            {
                return Over::RecoveryReport("it takes nothing");
            }
            if let Some(over) = over {
                return over;
            }
            self.look(name);
            let now = self.now();
            if self.subscriber.is_server_lost(now) {
                return Over::RecoveryReport("silent, or out of touch with the others");
            }
            if self.chooser.next_deadline().is_some_and(|due| due <= now) {
                return Over::Home;
            }
            let until = tokio::time::Instant::now() + LOOK;
            match timeout_at(until, read.read(&mut chunk)).await {
                Err(_) => continue,
                Ok(Ok(0) | Err(_)) => return Over::RecoveryReport("the link ended"),
                Ok(Ok(n)) => back.extend_from_slice(&chunk[..n]),
            }
            let mut at = 0;
            loop {
                let Ok(length) = frame_within(&back[at..], DOWN) else {
                    return Over::RecoveryReport("no frame");
                };
                let Some(length) = length else { break };
                let frame = Frame::decode(&back[at + 4..at + 4 + length]);
                at += 4 + length;
                let Ok(Frame {
                    body: Some(FrameBody::ToSubscriber(frame)),
                }) = frame
                else {
                    return Over::RecoveryReport("no frame of a control machine");
                };
                let now = self.now();
                self.subscriber.on_frame(now, frame);
            }
            back.drain(..at);
        }
    }

    /// Carries out what the subscriber wants done; bytes for the link, and whether it is over.
    fn follow(&mut self, bytes: &mut Vec<u8>) -> Option<Over> {
        let mut over = None;
        loop {
            let orders: Vec<Effect> = self.subscriber.take_effects().collect();
            if orders.is_empty() {
                return over;
            }
            for order in orders {
                match order {
                    Effect::Send(frame) => bytes.extend(up(frame)),
                    Effect::Apply(version) => match (self.take)(&self.subscriber) {
                        Ok(()) => self.subscriber.on_applied(version),
                        Err(why) => self.subscriber.on_rejected(version, &why),
                    },
                    Effect::RetryAfter { after, target } => {
                        over = Some(Over::ComeBack { after, target })
                    }
                    Effect::Close => {
                        over = Some(Over::RecoveryReport("no frame of a control machine"))
                    }
                    Effect::Event(event) => {
                        match &event {
                            Event::Rejected { version, reason } => {
                                self.seen.borrow_mut().refused = Some((*version, reason.clone()));
                            }
                            Event::Applied { .. } => self.seen.borrow_mut().refused = None,
                            _ => {}
                        }
                        (self.tell)(&AttachmentEvent::Version(event), &self.subscriber);
                    }
                }
            }
        }
    }

    /// Brings what is told up to date, and the chooser.
    fn look(&mut self, name: &str) {
        (self.look)(&self.subscriber, false);
        let now = self.now();
        let attached = self.subscriber.is_attached();
        let mut seen = self.seen.borrow_mut();
        seen.version = self.subscriber.version();
        seen.digest = self.subscriber.state().digest();
        seen.counters = self.subscriber.counters();
        if attached {
            seen.newest = Instant::now().checked_sub(self.subscriber.staleness(now));
        }
        if attached && seen.machine.is_none() {
            seen.machine = Some(name.to_owned());
            seen.attachments += 1;
            drop(seen);
            self.chooser.on_attached(now);
            (self.tell)(
                &AttachmentEvent::Attached {
                    machine: name.to_owned(),
                },
                &self.subscriber,
            );
        }
    }
}
