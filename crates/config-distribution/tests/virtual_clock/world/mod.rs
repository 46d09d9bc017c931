//! A fleet on a virtual clock: config servers, processes and the links between them, under faults.

mod changes;
mod network;
mod operations;
mod processes;
mod servers;

use bytes::Bytes;
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Configuration};
use rainstand_config_distribution::attachment::{AttachmentPolicy, NodeIdentity};
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::frames::{ClientMessage, Delta, ServerMessage};
use rainstand_config_distribution::publisher::{self, Publisher, PublisherLimits};
use rainstand_config_distribution::snapshot::{self, DecodedSnapshot};
use rainstand_config_distribution::subscriber::{Effect, Event, PendingUpdate, Subscriber};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet, VecDeque};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// End of the faults.
const FAULTS_END: Duration = Duration::from_secs(60);
/// All processes must hold the newest version this long after the faults: a silent server is left after 5 s, retry delays
/// grow to 8 s, lost updates are sent again after 5 s, a snapshot that was requested in vain is requested again, and each
/// of these can occur once.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(40);
/// Window in which the number of reconnections to one server is bounded.
const DIAL_WINDOW: Duration = ms(100);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Operation {
    Commit,
    /// The log up to `log_end` reaches a server.
    ApplyLog {
        publisher: usize,
        incarnation: u32,
        log_end: usize,
    },
    Tick(usize, u32),
    Connect(usize, u32),
    /// The connection attempt failed.
    ConnectFailed(usize, u32),
    Connected {
        process: usize,
        incarnation: u32,
        server: usize,
    },
    ToSubscriber {
        link: usize,
        frame: Bytes,
        on: usize,
    },
    ToPublisher {
        link: usize,
        frame: Bytes,
    },
    /// Both ends notice that the link ended.
    LinkEnded(usize),
    CheckServer(usize, u32),
    /// The write of a version ended.
    Written {
        process: usize,
        incarnation: u32,
        version: u64,
    },
    CheckWrites(usize, u32),
    Applied {
        process: usize,
        incarnation: u32,
        version: u64,
    },
    StopServer(usize),
    StartServer(usize),
    RestartProcess(usize),
    Disconnect(usize),
    Blackhole(usize),
    Partition,
    Heal,
}

#[derive(Clone, PartialEq, Eq)]
struct Scheduled {
    at: Duration,
    seq: u64,
    operation: Operation,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Server {
    publisher: Option<Publisher>,
    incarnation: u32,
    applied_entries: usize,
    disk: Option<Bytes>,
    recent_dials: VecDeque<Duration>,
    recent_attachments: VecDeque<Duration>,
    max_dials: usize,
}

struct Process {
    identity: NodeIdentity,
    subscriber: Subscriber,
    policy: AttachmentPolicy,
    incarnation: u32,
    /// Whether it connected before in this incarnation.
    dialled: bool,
    link: Option<usize>,
    attached: bool,
    /// The last update that arrived on a link.
    previous_update: Option<Bytes>,
    /// The version on its disk, which a restart begins with.
    disk: Option<Vec<u8>>,
    disk_version: u64,
    /// The version on its disk before, which a rejection of the newest brings back.
    previous_disk: Option<Vec<u8>>,
    has_disk: bool,
    slow: bool,
}

struct Link {
    process: usize,
    server: usize,
    incarnation: u32,
    open: [bool; 2],
    silent: bool,
    /// When the last frame of each direction arrives: a link preserves the order of frames.
    last: [Duration; 2],
    down: usize,
}

/// What happened in one or more runs.
#[derive(Default, Debug)]
pub struct Summary {
    pub applied: u64,
    pub divergences: u64,
    pub gaps: u64,
    pub rejections: u64,
    pub failed_writes: u64,
    pub resumed_transfers: u64,
    pub max_excess_bytes: usize,
    pub max_dials: usize,
    pub settled: Duration,
}

struct World {
    now: Duration,
    seq: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    rng: WyRand,
    limits: PublisherLimits,
    servers: Vec<Server>,
    processes: Vec<Process>,
    links: Vec<Link>,
    names: Vec<NodeIdentity>,
    /// The committed deltas; `digests` holds the digest of each version.
    log: Vec<Delta>,
    state: ConfigState,
    configuration: Configuration,
    digests: Vec<u64>,
    /// Versions that some processes reject.
    rejected_versions: HashSet<u64>,
    partitioned: bool,
    faults_over: bool,
    /// Whether bodies are corrupted in transit and on disks.
    corruption_enabled: bool,
    summary: Summary,
}

fn identity(name: String, place: usize) -> NodeIdentity {
    NodeIdentity {
        name,
        region: format!("r{}", place % 2),
        zone: format!("z{}", place % 6),
    }
}

/// A subscriber with a version that is in force already; one with a disk stores each version there.
fn new_subscriber(
    now: Duration,
    identity: &NodeIdentity,
    in_force: DecodedSnapshot,
    has_disk: bool,
) -> Subscriber {
    let DecodedSnapshot { version, state } = in_force;
    let subscriber = Subscriber::with_version(now, identity.clone(), version, state);
    if has_disk {
        subscriber.with_durable_storage()
    } else {
        subscriber
    }
}

fn first_configuration() -> Configuration {
    let tenant = |k: u64| schema::Tenant {
        name: format!("t{k}"),
        share: k + 1,
        ..Default::default()
    };
    let pool = |k: u64| schema::Pool {
        name: format!("p{k}"),
        members: (0..3)
            .map(|m| schema::Member {
                name: format!("m{m}"),
                ..Default::default()
            })
            .collect(),
        ..Default::default()
    };
    let route = |k: u64| schema::Route {
        name: format!("r{k}"),
        ..Default::default()
    };
    let mut configuration = Configuration {
        version: schema::VERSION,
        ..Default::default()
    };
    configuration.tenants = (0..12).map(tenant).collect();
    configuration.pools = (0..3).map(pool).collect();
    configuration.routes = (0..6).map(route).collect();
    configuration.put_in_order();
    configuration
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = WyRand::new_seed(seed);
        let servers = rng.generate_range(1..=6usize);
        let processes = if seed.is_multiple_of(16) {
            240
        } else {
            rng.generate_range(10..=90usize)
        };
        let limits = PublisherLimits {
            max_history_entries: rng.generate_range(3..=40usize),
            max_history_bytes: rng.generate_range(300..=6000usize),
            max_delta_bytes: rng.generate_range(150..=2000usize),
            chunk_bytes: rng.generate_range(40..=400usize),
            window_chunks: rng.generate_range(1..=4usize),
            ..PublisherLimits::default()
        };
        let names: Vec<NodeIdentity> = (0..servers)
            .map(|k| identity(format!("control-{k}"), k))
            .collect();
        let mut world = Self {
            now: Duration::ZERO,
            seq: 0,
            queue: BinaryHeap::new(),
            rng,
            limits,
            servers: Vec::new(),
            processes: Vec::new(),
            links: Vec::new(),
            names,
            log: Vec::new(),
            state: ConfigState::default(),
            configuration: first_configuration(),
            digests: vec![0],
            rejected_versions: HashSet::new(),
            partitioned: false,
            faults_over: false,
            corruption_enabled: seed % 4 == 3,
            summary: Summary::default(),
        };
        for k in 0..servers {
            world.servers.push(Server {
                publisher: None,
                incarnation: 0,
                applied_entries: 0,
                disk: None,
                recent_dials: VecDeque::new(),
                recent_attachments: VecDeque::new(),
                max_dials: 0,
            });
            world.start_server(k);
        }
        for k in 0..processes {
            let identity = identity(format!("node-{k}"), k);
            let policy =
                AttachmentPolicy::new(world.now, &identity, &world.names, seed ^ (k as u64) << 20);
            let has_disk = k % 3 > 0;
            world.processes.push(Process {
                subscriber: new_subscriber(
                    world.now,
                    &identity,
                    DecodedSnapshot::default(),
                    has_disk,
                ),
                identity,
                policy,
                incarnation: 0,
                dialled: false,
                link: None,
                attached: false,
                previous_update: None,
                disk: None,
                disk_version: 0,
                previous_disk: None,
                has_disk,
                slow: k % 13 == 5,
            });
            world.schedule(ms(0), Operation::CheckServer(k, 0));
            world.schedule(ms(0), Operation::CheckWrites(k, 0));
            world.dial_when_due(k);
        }
        world.plan();
        world
    }

    /// Schedules random faults and changes.
    fn plan(&mut self) {
        let (servers, processes) = (self.servers.len(), self.processes.len());
        let fault = |world: &mut Self| {
            ms(world
                .rng
                .generate_range(3_000..FAULTS_END.as_millis() as u64 - 8_000))
        };
        self.schedule(ms(10), Operation::Commit);
        for _ in 0..self.rng.generate_range(8..30) {
            let at = fault(self);
            self.schedule(at, Operation::Commit);
        }
        if self.rng.generate_range(0..3) == 0 {
            let at = fault(self);
            for k in 0..30 {
                self.schedule(at + ms(k * 100), Operation::Commit);
            }
        }
        for _ in 0..self.rng.generate_range(0..4) {
            let (at, server) = (fault(self), self.rng.generate_range(0..servers));
            self.schedule(at, Operation::StopServer(server));
            let down = self.rng.generate_range(500..15_000);
            self.schedule(at + ms(down), Operation::StartServer(server));
        }
        if self.rng.generate_range(0..4) == 0 {
            let at = fault(self);
            for server in 0..servers {
                self.schedule(at, Operation::StopServer(server));
                let down = self.rng.generate_range(3_000..20_000);
                self.schedule(at + ms(down), Operation::StartServer(server));
            }
        }
        if self.rng.generate_range(0..3) == 0 {
            let at = fault(self);
            self.schedule(at, Operation::Partition);
            let long = self.rng.generate_range(4_000..30_000);
            self.schedule(at + ms(long), Operation::Heal);
        }
        for _ in 0..self.rng.generate_range(0..processes) {
            let (at, process) = (fault(self), self.rng.generate_range(0..processes));
            let operation = match self.rng.generate_range(0..3) {
                0 => Operation::RestartProcess(process),
                1 => Operation::Disconnect(process),
                _ => Operation::Blackhole(process),
            };
            self.schedule(at, operation);
        }
    }

    fn schedule(&mut self, wait: Duration, operation: Operation) {
        self.seq += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now + wait,
            seq: self.seq,
            operation,
        }));
    }

    fn occurs_one_in(&mut self, odds: u32) -> bool {
        !self.faults_over && self.rng.generate_range(0..odds) == 0
    }

    fn delay(&mut self) -> Duration {
        let most = if self.occurs_one_in(50) {
            3_000_000
        } else {
            20_000
        };
        Duration::from_micros(self.rng.generate_range(50..most))
    }

    fn reaches_leader(&self, server: usize) -> bool {
        !(self.partitioned && server % 2 == 1)
    }

    fn is_partitioned(&self, process: usize, server: usize) -> bool {
        self.partitioned && process % 2 != server % 2
    }

    fn run_to(&mut self, end: Duration, until: impl Fn(&Self) -> bool) -> bool {
        while !until(self) {
            match self.queue.pop() {
                Some(Reverse(due)) if due.at <= end => {
                    self.now = due.at;
                    self.step(due.operation);
                }
                Some(due) => {
                    self.queue.push(due);
                    self.now = end;
                    return until(self);
                }
                None => return until(self),
            }
        }
        true
    }

    fn all_hold_the_newest(&self) -> bool {
        let newest = self.log.len() as u64;
        self.processes.iter().all(|process| {
            let subscriber = &process.subscriber;
            subscriber.version() == newest
                && subscriber.state().digest() == self.digests[newest as usize]
        })
    }
}

/// Runs one seed: faults until [`FAULTS_END`], then convergence to a last version. Panics where an invariant is violated.
pub fn run_seed(seed: u64) -> Summary {
    let mut world = World::new(seed);
    world.run_to(FAULTS_END, |_| false);
    world.faults_over = true;
    world.step(Operation::Heal);
    for k in 0..world.servers.len() {
        world.start_server(k);
    }
    // The last version is one that no process rejects.
    world.run_to(FAULTS_END + ms(400), |_| false);
    world.commit();
    let newest = world.log.len();
    let settled = world.run_to(FAULTS_END + CONVERGENCE_TIMEOUT, move |world| {
        world.log.len() == newest && world.all_hold_the_newest()
    });
    let behind: Vec<_> = world
        .processes
        .iter()
        .filter(|process| process.subscriber.version() != newest as u64)
        .map(|process| {
            let subscriber = &process.subscriber;
            let pending = subscriber.pending().map(PendingUpdate::version);
            (
                &process.identity.name,
                subscriber.version(),
                process.attached,
                pending,
                subscriber.counters(),
            )
        })
        .collect();
    assert!(
        settled,
        "seed {seed}: version {newest} is not everywhere: {behind:?}"
    );
    for process in &world.processes {
        let state = process.subscriber.state();
        assert!(state.verify_digest(), "seed {seed}");
        assert_eq!(
            state.configuration().expect("read"),
            world.configuration,
            "seed {seed}"
        );
    }
    if !world.corruption_enabled {
        assert_eq!(
            world.summary.divergences, 0,
            "seed {seed}: something differed though nothing was changed on its way"
        );
    }
    assert_eq!(
        world.summary.max_excess_bytes, 0,
        "seed {seed}: more on its way to one subscriber than is allowed"
    );
    world.summary.max_dials = world
        .servers
        .iter()
        .map(|server| server.max_dials)
        .max()
        .unwrap_or(0);
    world.summary.settled = world.now - FAULTS_END;
    world.summary
}
