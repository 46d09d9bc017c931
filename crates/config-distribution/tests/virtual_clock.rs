//! Up to six sources and some hundred subscribers on a virtual clock, with loss, delay, repeats, frames of an
//! older link, restarts of both sides, parted regions, and every source lost. `SEEDS` says how many seeds are
//! played.
//!
//! Asked at each step: no version goes back, none is in force in part, none is confirmed before it is in
//! force, what is on its way to one subscriber and what attaches to one source stay within their bounds.
//! After the faults: all hold the newest version with its digest, within a bounded time.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

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

/// Faults end here.
const CALM: Duration = Duration::from_secs(60);
/// After it all must hold the newest: a machine that went silent is left after 5 s, waits grow to 8 s, what
/// was lost is sent again after 5 s, a snapshot that is looked for in vain is asked for again, and each may
/// come once.
const SETTLED: Duration = Duration::from_secs(40);
/// Of the fleet, those who lost their machine may come to one machine in a tenth of a second.
const BUNCH: Duration = ms(100);

#[derive(Clone, Debug, PartialEq, Eq)]
enum What {
    Commit,
    /// The log up to here is in a source's hands.
    Feed {
        source: usize,
        life: u32,
        upto: usize,
    },
    Tick(usize, u32),
    Dial(usize, u32),
    /// Nobody answered.
    Failed(usize, u32),
    Opened {
        process: usize,
        life: u32,
        machine: usize,
    },
    ToSubscriber {
        link: usize,
        frame: Bytes,
        on: usize,
    },
    ToSource {
        link: usize,
        frame: Bytes,
    },
    /// The other side hears that the link is over.
    Ended(usize),
    Look(usize, u32),
    Applied {
        process: usize,
        life: u32,
        version: u64,
    },
    Kill(usize),
    Start(usize),
    Restart(usize),
    Cut(usize),
    Silence(usize),
    Part,
    Heal,
}

#[derive(Clone, PartialEq, Eq)]
struct Due {
    at: Duration,
    seq: u64,
    what: What,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Machine {
    source: Option<Publisher>,
    life: u32,
    fed: usize,
    disk: Option<Bytes>,
    came: VecDeque<Duration>,
    taken: VecDeque<Duration>,
    most_came: usize,
}

struct Process {
    who: NodeIdentity,
    subscriber: Subscriber,
    chooser: AttachmentPolicy,
    life: u32,
    /// Dialled before in this life.
    dialled: bool,
    link: Option<usize>,
    attached: bool,
    /// The last change that came on a link.
    older: Option<Bytes>,
    disk: Option<Vec<u8>>,
    has_disk: bool,
    slow: bool,
}

struct Link {
    process: usize,
    machine: usize,
    life: u32,
    open: [bool; 2],
    silent: bool,
    /// When the last frame of each direction arrives: a link keeps their order.
    last: [Duration; 2],
    down: usize,
}

#[derive(Default, Debug)]
struct Seen {
    in_force: u64,
    differs: u64,
    gaps: u64,
    refused: u64,
    resumed: u64,
    most_down: usize,
    most_came: usize,
    settled: Duration,
}

struct World {
    now: Duration,
    seq: u64,
    due: BinaryHeap<Reverse<Due>>,
    chance: WyRand,
    bounds: PublisherLimits,
    machines: Vec<Machine>,
    processes: Vec<Process>,
    links: Vec<Link>,
    names: Vec<NodeIdentity>,
    /// The log, and the digest of each version.
    log: Vec<Delta>,
    state: ConfigState,
    configuration: Configuration,
    digests: Vec<u64>,
    /// Versions that some processes refuse.
    poison: HashSet<u64>,
    parted: bool,
    calm: bool,
    /// Some bodies are changed on their way, and on disks.
    corrupting: bool,
    seen: Seen,
}

fn who(name: String, place: usize) -> NodeIdentity {
    NodeIdentity {
        name,
        region: format!("r{}", place % 2),
        zone: format!("z{}", place % 6),
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
        let mut chance = WyRand::new_seed(seed);
        let machines = chance.generate_range(1..=6usize);
        let processes = if seed.is_multiple_of(16) {
            240
        } else {
            chance.generate_range(10..=90usize)
        };
        let bounds = PublisherLimits {
            max_history_entries: chance.generate_range(3..=40usize),
            max_history_bytes: chance.generate_range(300..=6000usize),
            max_delta_bytes: chance.generate_range(150..=2000usize),
            chunk_bytes: chance.generate_range(40..=400usize),
            window_chunks: chance.generate_range(1..=4usize),
            ..PublisherLimits::default()
        };
        let names: Vec<NodeIdentity> = (0..machines)
            .map(|k| who(format!("control-{k}"), k))
            .collect();
        let mut world = Self {
            now: Duration::ZERO,
            seq: 0,
            due: BinaryHeap::new(),
            chance,
            bounds,
            machines: Vec::new(),
            processes: Vec::new(),
            links: Vec::new(),
            names,
            log: Vec::new(),
            state: ConfigState::default(),
            configuration: first_configuration(),
            digests: vec![0],
            poison: HashSet::new(),
            parted: false,
            calm: false,
            corrupting: seed % 4 == 3,
            seen: Seen::default(),
        };
        for k in 0..machines {
            world.machines.push(Machine {
                source: None,
                life: 0,
                fed: 0,
                disk: None,
                came: VecDeque::new(),
                taken: VecDeque::new(),
                most_came: 0,
            });
            world.start(k);
        }
        for k in 0..processes {
            let who = who(format!("node-{k}"), k);
            let chooser =
                AttachmentPolicy::new(world.now, &who, &world.names, seed ^ (k as u64) << 20);
            world.processes.push(Process {
                subscriber: Subscriber::new(world.now, who.clone()),
                who,
                chooser,
                life: 0,
                dialled: false,
                link: None,
                attached: false,
                older: None,
                disk: None,
                has_disk: k % 3 > 0,
                slow: k % 13 == 5,
            });
            world.after(ms(0), What::Look(k, 0));
            world.dial_when_due(k);
        }
        world.plan();
        world
    }

    /// Draws the faults and the changes.
    fn plan(&mut self) {
        let (machines, processes) = (self.machines.len(), self.processes.len());
        let fault = |world: &mut Self| {
            ms(world
                .chance
                .generate_range(3_000..CALM.as_millis() as u64 - 8_000))
        };
        self.after(ms(10), What::Commit);
        for _ in 0..self.chance.generate_range(8..30) {
            let at = fault(self);
            self.after(at, What::Commit);
        }
        if self.chance.generate_range(0..3) == 0 {
            let at = fault(self);
            for k in 0..30 {
                self.after(at + ms(k * 100), What::Commit);
            }
        }
        for _ in 0..self.chance.generate_range(0..4) {
            let (at, machine) = (fault(self), self.chance.generate_range(0..machines));
            self.after(at, What::Kill(machine));
            let down = self.chance.generate_range(500..15_000);
            self.after(at + ms(down), What::Start(machine));
        }
        if self.chance.generate_range(0..4) == 0 {
            let at = fault(self);
            for machine in 0..machines {
                self.after(at, What::Kill(machine));
                let down = self.chance.generate_range(3_000..20_000);
                self.after(at + ms(down), What::Start(machine));
            }
        }
        if self.chance.generate_range(0..3) == 0 {
            let at = fault(self);
            self.after(at, What::Part);
            let long = self.chance.generate_range(4_000..30_000);
            self.after(at + ms(long), What::Heal);
        }
        for _ in 0..self.chance.generate_range(0..processes) {
            let (at, process) = (fault(self), self.chance.generate_range(0..processes));
            let what = match self.chance.generate_range(0..3) {
                0 => What::Restart(process),
                1 => What::Cut(process),
                _ => What::Silence(process),
            };
            self.after(at, what);
        }
    }

    fn after(&mut self, wait: Duration, what: What) {
        self.seq += 1;
        self.due.push(Reverse(Due {
            at: self.now + wait,
            seq: self.seq,
            what,
        }));
    }

    fn happens(&mut self, one_in: u32) -> bool {
        !self.calm && self.chance.generate_range(0..one_in) == 0
    }

    fn delay(&mut self) -> Duration {
        let most = if self.happens(50) { 3_000_000 } else { 20_000 };
        Duration::from_micros(self.chance.generate_range(50..most))
    }

    fn in_touch(&self, machine: usize) -> bool {
        !(self.parted && machine % 2 == 1)
    }

    fn apart(&self, process: usize, machine: usize) -> bool {
        self.parted && process % 2 != machine % 2
    }

    /// A source begins with what its disk has, and gets the rest of the log.
    fn start(&mut self, k: usize) {
        if self.machines[k].source.is_some() {
            return;
        }
        let (bounds, now, seed) = (self.bounds, self.now, self.chance.generate());
        let machine = &mut self.machines[k];
        machine.life += 1;
        let mut source = Publisher::new(now, bounds, seed);
        if let Some(disk) = machine.disk.clone() {
            source.restore(now, disk).expect("its own snapshot");
        }
        machine.fed = source.version() as usize;
        machine.source = Some(source);
        let life = machine.life;
        let upto = self.log.len();
        if self.in_touch(k) {
            self.after(
                ms(300),
                What::Feed {
                    source: k,
                    life,
                    upto,
                },
            );
        }
        self.after(ms(0), What::Tick(k, life));
    }

    fn commit(&mut self) {
        let touched =
            (0..self.machines.len()).any(|k| self.machines[k].source.is_some() && self.in_touch(k));
        if !touched {
            return;
        }
        let to = self.log.len() as u64 + 1;
        if to > 1 {
            self.change();
        }
        let delta = self
            .state
            .delta_to(to - 1, to, &self.configuration)
            .expect("names are told apart");
        self.state.apply(&delta).expect("made from it");
        assert!(self.state.verify_digest());
        self.digests.push(self.state.digest());
        self.log.push(delta);
        if self.happens(12) && to > 1 {
            self.poison.insert(to);
        }
        for k in (0..self.machines.len())
            .filter(|k| self.in_touch(*k))
            .collect::<Vec<_>>()
        {
            let late = if self.happens(8) { 2_000 } else { 30 };
            let (late, life) = (
                ms(self.chance.generate_range(0..late)),
                self.machines[k].life,
            );
            self.after(
                late,
                What::Feed {
                    source: k,
                    life,
                    upto: to as usize,
                },
            );
        }
    }

    /// One to three things of the configuration change.
    fn change(&mut self) {
        for _ in 0..self.chance.generate_range(1..=3) {
            let fresh = self.chance.generate_range(0..1_000_000u64);
            let configuration = &mut self.configuration;
            let chance = &mut self.chance;
            let mut pick = |most: usize| chance.generate_range(0..most.max(1));
            match pick(8) {
                0 => {
                    let tenant = schema::Tenant {
                        name: format!("t{fresh}"),
                        share: 3,
                        ..Default::default()
                    };
                    if configuration
                        .tenants
                        .iter()
                        .all(|other| other.name != tenant.name)
                    {
                        configuration.tenants.push(tenant);
                    }
                }
                1 if configuration.tenants.len() > 3 => {
                    let at = pick(configuration.tenants.len());
                    configuration.tenants.remove(at);
                }
                2 if configuration.pools.len() > 1 => {
                    let at = pick(configuration.pools.len());
                    configuration.pools.remove(at);
                }
                3 => {
                    let members = vec![schema::Member {
                        name: "m".into(),
                        weight: fresh,
                        ..Default::default()
                    }];
                    let pool = schema::Pool {
                        name: format!("p{fresh}"),
                        members,
                        ..Default::default()
                    };
                    if configuration
                        .pools
                        .iter()
                        .all(|other| other.name != pool.name)
                    {
                        configuration.pools.push(pool);
                    }
                }
                4 => {
                    let at = pick(configuration.pools.len());
                    let members = &mut configuration.pools[at].members;
                    if let Some(member) = members.first_mut() {
                        member.weight = fresh;
                    }
                }
                5 => {
                    let (from, to) = (
                        pick(configuration.routes.len()),
                        pick(configuration.routes.len()),
                    );
                    let route = configuration.routes.remove(from);
                    configuration.routes.insert(to, route);
                }
                6 => {
                    let at = pick(configuration.routes.len());
                    let route = schema::Route {
                        name: format!("r{fresh}"),
                        ..Default::default()
                    };
                    if configuration
                        .routes
                        .iter()
                        .all(|other| other.name != route.name)
                    {
                        configuration.routes.insert(at, route);
                    }
                }
                _ => {
                    let at = pick(configuration.tenants.len());
                    configuration.tenants[at].share = fresh;
                }
            }
        }
        self.configuration.put_in_order();
    }

    fn dial_when_due(&mut self, k: usize) {
        if let Some(due) = self.processes[k].chooser.next_deadline() {
            let life = self.processes[k].life;
            self.after(due.saturating_sub(self.now), What::Dial(k, life));
        }
    }

    fn dial(&mut self, k: usize) {
        let Some(machine) = self.processes[k].chooser.next_server(self.now) else {
            return;
        };
        self.close(k, false);
        let process = &mut self.processes[k];
        let life = process.life;
        if std::mem::replace(&mut process.dialled, true) {
            let now = self.now;
            let machine = &mut self.machines[machine];
            machine.came.retain(|at| now.saturating_sub(*at) < BUNCH);
            machine.came.push_back(now);
            let most = self.processes.len() / 6 + 8;
            let came = machine.came.len();
            assert!(
                came <= most,
                "{came} processes came to one machine within {BUNCH:?}; {most} may"
            );
            machine.most_came = machine.most_came.max(came);
        }
        if self.apart(k, machine) {
            self.after(ms(1_000), What::Failed(k, life));
        } else if self.machines[machine].source.is_none() {
            self.after(ms(1), What::Failed(k, life));
        } else {
            let wait = self.delay();
            self.after(
                wait,
                What::Opened {
                    process: k,
                    life,
                    machine,
                },
            );
        }
    }

    fn opened(&mut self, k: usize, machine: usize) {
        if self.machines[machine].source.is_none() || self.apart(k, machine) {
            self.processes[k].chooser.on_disconnected(self.now);
            return self.dial_when_due(k);
        }
        let life = self.machines[machine].life;
        let link = Link {
            process: k,
            machine,
            life,
            open: [true; 2],
            silent: false,
            last: [self.now; 2],
            down: 0,
        };
        self.links.push(link);
        self.processes[k].link = Some(self.links.len() - 1);
        self.processes[k].attached = false;
        self.processes[k].subscriber.on_connected(self.now);
        self.obey_subscriber(k);
    }

    /// The process is done with its link. What is under way on it may still come out of order.
    fn close(&mut self, k: usize, quietly: bool) {
        let Some(link) = self.processes[k].link.take() else {
            return;
        };
        self.processes[k].subscriber.on_link_closed();
        self.processes[k].attached = false;
        self.links[link].open[0] = false;
        if !quietly && !self.links[link].silent {
            let wait = self.delay();
            self.after(wait, What::Ended(link));
        }
    }

    fn lost(&mut self, k: usize) {
        self.close(k, false);
        self.processes[k].chooser.on_disconnected(self.now);
        self.dial_when_due(k);
    }

    fn carry(&mut self, link: usize, frame: Bytes, down: bool) {
        let side = usize::from(down);
        let times = match () {
            () if self.links[link].silent || self.happens(400) => 0,
            () if self.happens(200) => 2,
            () => 1,
        };
        for _ in 0..times {
            let arrives = (self.now + self.delay()).max(self.links[link].last[side]);
            self.links[link].last[side] = arrives;
            let wait = arrives - self.now;
            if down {
                let frame = self.corrupted(frame.clone());
                self.links[link].down += frame.len();
                let most = self.bounds.max_delta_bytes
                    + self.bounds.window_chunks * (self.bounds.chunk_bytes + 64)
                    + 256;
                let over = self.links[link].down.saturating_sub(most * times);
                self.seen.most_down = self.seen.most_down.max(over);
                self.after(
                    wait,
                    What::ToSubscriber {
                        link,
                        frame,
                        on: link,
                    },
                );
            } else {
                self.after(
                    wait,
                    What::ToSource {
                        link,
                        frame: frame.clone(),
                    },
                );
            }
        }
    }

    /// Now and then, where the seed says so, a body that can be read but says something else.
    fn corrupted(&mut self, frame: Bytes) -> Bytes {
        if !self.corrupting || !self.happens(60) {
            return frame;
        }
        let Ok(ServerMessage::Delta(mut delta)) = ServerMessage::from_frame(frame.clone()) else {
            return frame;
        };
        for thing in &mut delta.upserts {
            if let Ok(mut tenant) =
                prost::Message::decode(thing.body.clone()).map(|t: schema::Tenant| t)
            {
                tenant.share ^= 1;
                thing.body = prost::Message::encode_to_vec(&tenant).into();
                break;
            }
        }
        ServerMessage::Delta(delta).into_frame()
    }

    fn obey_source(&mut self, k: usize) {
        let Some(source) = &mut self.machines[k].source else {
            return;
        };
        for order in source.take_effects().collect::<Vec<_>>() {
            match order {
                publisher::Effect::Send { link, frame } => {
                    if let Ok(ServerMessage::SnapshotChunk(piece)) =
                        ServerMessage::from_frame(frame.clone())
                    {
                        self.seen.resumed += u64::from(piece.offset > 0);
                    }
                    self.carry(link as usize, frame, true);
                }
                publisher::Effect::Close(link) => {
                    let number = link as usize;
                    let link = &mut self.links[number];
                    if std::mem::replace(&mut link.open[1], false) && link.open[0] && !link.silent {
                        let wait = link.last[1].saturating_sub(self.now);
                        self.after(wait, What::Ended(number));
                    }
                }
                publisher::Effect::Event(event) => match event {
                    publisher::Event::Attached { .. } => {
                        let now = self.now;
                        let machine = &mut self.machines[k];
                        machine
                            .taken
                            .retain(|at| now.saturating_sub(*at) < Duration::from_secs(1));
                        machine.taken.push_back(now);
                        let most =
                            self.bounds.attachments_per_second + self.bounds.attachment_burst + 1;
                        assert!(
                            machine.taken.len() <= most as usize,
                            "too many attachments in a second"
                        );
                    }
                    publisher::Event::Diverged { .. } => self.seen.differs += 1,
                    publisher::Event::Malformed { .. } => {
                        panic!("a frame that was sent could not be read")
                    }
                    _ => {}
                },
            }
        }
    }

    fn obey_subscriber(&mut self, k: usize) {
        for order in self.processes[k]
            .subscriber
            .take_effects()
            .collect::<Vec<_>>()
        {
            match order {
                Effect::Send(frame) => {
                    let holds = self.processes[k].subscriber.version();
                    if let Ok(ClientMessage::Ack(confirm)) =
                        ClientMessage::from_frame(frame.clone())
                    {
                        assert_eq!(confirm.version, holds, "confirmed before it was in force");
                    }
                    if let Some(link) = self.processes[k].link {
                        self.carry(link, frame, false);
                    }
                }
                Effect::Apply(version) => {
                    let slow = self.processes[k].slow && !self.calm;
                    let wait = ms(self.chance.generate_range(1..if slow { 8_000 } else { 40 }));
                    let life = self.processes[k].life;
                    self.after(
                        wait,
                        What::Applied {
                            process: k,
                            life,
                            version,
                        },
                    );
                }
                Effect::RetryAfter { after, target } => {
                    self.close(k, false);
                    self.processes[k]
                        .chooser
                        .on_retry_after(self.now, after, target);
                    self.dial_when_due(k);
                }
                Effect::Close => self.lost(k),
                Effect::Event(event) => match event {
                    Event::Diverged { .. } => self.seen.differs += 1,
                    Event::Gap { .. } => self.seen.gaps += 1,
                    Event::Rejected { .. } => self.seen.refused += 1,
                    Event::Malformed => panic!("a frame that was sent could not be read"),
                    Event::Applied { .. } => {}
                },
            }
        }
    }

    /// The driver has put a version into force, or cannot.
    fn applied(&mut self, k: usize, version: u64) {
        let process = &mut self.processes[k];
        if process.subscriber.pending().map(PendingUpdate::version) != Some(version) {
            return;
        }
        let before = process.subscriber.version();
        if self.poison.contains(&version) && k.is_multiple_of(3) {
            process.subscriber.on_rejected(version, "not here");
            assert_eq!(process.subscriber.version(), before);
        } else {
            process.subscriber.on_applied(version);
            let (now_in_force, state) = (process.subscriber.version(), process.subscriber.state());
            assert!(now_in_force >= before, "a version went back");
            self.seen.in_force += 1;
            assert_eq!(
                state.digest(),
                self.digests[now_in_force as usize],
                "in force in part: version {version}"
            );
            if self.chance.generate_range(0..4) == 0 {
                assert!(state.verify_digest(), "in force in part: version {version}");
            }
            if process.has_disk {
                process.disk = Some(snapshot::encode(now_in_force, state).expect("small"));
            }
        }
        self.obey_subscriber(k);
    }

    fn restart(&mut self, k: usize) {
        self.close(k, false);
        let now = self.now;
        let corrupt = self.corrupting && self.chance.generate_range(0..3) == 0;
        let seed = self.chance.generate();
        let process = &mut self.processes[k];
        process.life += 1;
        process.dialled = false;
        process.chooser = AttachmentPolicy::new(now, &process.who, &self.names, seed);
        process.subscriber = match &process.disk {
            Some(disk) => {
                let DecodedSnapshot { version, state } = snapshot::decode(disk).expect("its own");
                let state = if corrupt { rotten(&state) } else { state };
                Subscriber::with_version(now, process.who.clone(), version, state)
            }
            None => Subscriber::new(now, process.who.clone()),
        };
        let life = process.life;
        self.after(ms(0), What::Look(k, life));
        self.dial_when_due(k);
    }

    fn kill(&mut self, k: usize) {
        if self.machines[k].source.take().is_none() {
            return;
        }
        for link in 0..self.links.len() {
            let of = &mut self.links[link];
            if of.machine == k && of.open[0] && !of.silent {
                of.open[1] = false;
                let wait = self.delay();
                self.after(wait, What::Ended(link));
            }
        }
    }

    fn step(&mut self, what: What) {
        match what {
            What::Commit => self.commit(),
            What::Feed {
                source: k,
                life,
                upto,
            } => {
                if self.machines[k].life != life || !self.in_touch(k) {
                    return;
                }
                let keeps = self.chance.generate_range(0..6) == 0;
                let now = self.now;
                let machine = &mut self.machines[k];
                let Some(source) = &mut machine.source else {
                    return;
                };
                for delta in self.log.get(machine.fed..upto).unwrap_or_default() {
                    source
                        .apply_committed(now, delta.clone())
                        .expect("in order");
                }
                machine.fed = machine.fed.max(upto);
                assert_eq!(source.state().digest(), self.digests[machine.fed]);
                source.mark_current(now);
                if keeps {
                    machine.disk = Some(source.compressed_snapshot().expect("small"));
                }
                self.obey_source(k);
            }
            What::Tick(k, life) => {
                let in_touch = self.in_touch(k);
                let machine = &mut self.machines[k];
                let Some(source) = machine.source.as_mut().filter(|_| machine.life == life) else {
                    return;
                };
                if in_touch {
                    source.mark_current(self.now);
                }
                source.tick(self.now);
                self.obey_source(k);
                self.after(ms(500), What::Tick(k, life));
            }
            What::Dial(k, life) if self.processes[k].life == life => self.dial(k),
            What::Failed(k, life) if self.processes[k].life == life => {
                self.processes[k].chooser.on_disconnected(self.now);
                self.dial_when_due(k);
            }
            What::Opened {
                process,
                life,
                machine,
            } if self.processes[process].life == life => {
                self.opened(process, machine);
            }
            What::ToSubscriber { link, frame, on } => {
                if link == on {
                    self.links[link].down -= frame.len();
                }
                let k = self.links[link].process;
                if self.processes[k].link == Some(link) {
                    if matches!(
                        ServerMessage::from_frame(frame.clone()),
                        Ok(ServerMessage::Delta(_) | ServerMessage::SnapshotChunk(_))
                    ) {
                        self.processes[k].older = Some(frame.clone());
                    }
                    self.processes[k].subscriber.on_frame(self.now, frame);
                    if self.processes[k].subscriber.is_attached() && !self.processes[k].attached {
                        self.processes[k].attached = true;
                        self.processes[k].chooser.on_attached(self.now);
                        self.dial_when_due(k);
                        if let Some(frame) =
                            self.processes[k].older.take().filter(|_| self.happens(3))
                        {
                            // One of an older link, perhaps of before a restart: no link does so, and
                            // nothing may come of it.
                            self.after(
                                ms(0),
                                What::ToSubscriber {
                                    link,
                                    frame,
                                    on: usize::MAX,
                                },
                            );
                        }
                    }
                    self.obey_subscriber(k);
                }
            }
            What::ToSource { link, frame } => {
                let of = &self.links[link];
                let k = of.machine;
                if of.open[1] && self.machines[k].life == of.life {
                    let now = self.now;
                    // A process is attached once: a repeat of the first frame is no frame of a link.
                    let again = matches!(
                        ClientMessage::from_frame(frame.clone()),
                        Ok(ClientMessage::Attach(_))
                    );
                    if let Some(source) = &mut self.machines[k].source {
                        let known = source
                            .subscriber_statuses()
                            .iter()
                            .any(|standing| standing.link == link as u64);
                        if known != again {
                            source.on_frame(now, link as u64, frame);
                        }
                    }
                    self.obey_source(k);
                }
            }
            What::Ended(link) => {
                let (k, machine, life) = {
                    let link = &self.links[link];
                    (link.process, link.machine, link.life)
                };
                if std::mem::replace(&mut self.links[link].open[1], false)
                    && self.machines[machine].life == life
                {
                    if let Some(source) = &mut self.machines[machine].source {
                        source.on_disconnected(link as u64);
                    }
                    self.obey_source(machine);
                }
                if std::mem::replace(&mut self.links[link].open[0], false)
                    && self.processes[k].link == Some(link)
                {
                    self.close(k, true);
                    self.processes[k].chooser.on_disconnected(self.now);
                    self.dial_when_due(k);
                }
            }
            What::Look(k, life) if self.processes[k].life == life => {
                if self.processes[k].subscriber.is_server_lost(self.now) {
                    self.lost(k);
                }
                self.after(ms(1_000), What::Look(k, life));
            }
            What::Applied {
                process,
                life,
                version,
            } if self.processes[process].life == life => {
                self.applied(process, version);
            }
            What::Kill(k) => self.kill(k),
            What::Start(k) => self.start(k),
            What::Restart(k) => self.restart(k),
            What::Cut(k) => {
                if let Some(link) = self.processes[k].link {
                    self.step(What::Ended(link));
                }
            }
            What::Silence(k) => {
                if let Some(link) = self.processes[k].link {
                    self.links[link].silent = true;
                }
            }
            What::Part => {
                self.parted = true;
                for link in 0..self.links.len() {
                    let (process, machine) = (self.links[link].process, self.links[link].machine);
                    self.links[link].silent |= self.apart(process, machine);
                }
            }
            What::Heal => {
                self.parted = false;
                for k in 0..self.machines.len() {
                    let (life, upto) = (self.machines[k].life, self.log.len());
                    self.after(
                        ms(50),
                        What::Feed {
                            source: k,
                            life,
                            upto,
                        },
                    );
                }
            }
            _ => {}
        }
    }

    fn run_to(&mut self, end: Duration, until: impl Fn(&Self) -> bool) -> bool {
        while !until(self) {
            match self.due.pop() {
                Some(Reverse(due)) if due.at <= end => {
                    self.now = due.at;
                    self.step(due.what);
                }
                Some(due) => {
                    self.due.push(due);
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

/// The same version with one thing changed, and a digest that goes with it: a disk that says something else.
fn rotten(state: &ConfigState) -> ConfigState {
    let mut configuration = state.configuration().expect("what was applied can be read");
    if let Some(tenant) = configuration.tenants.first_mut() {
        tenant.share ^= 1;
    }
    ConfigState::from_configuration(&configuration).expect("names are told apart")
}

fn play(seed: u64) -> Seen {
    let mut world = World::new(seed);
    world.run_to(CALM, |_| false);
    world.calm = true;
    world.step(What::Heal);
    for k in 0..world.machines.len() {
        world.start(k);
    }
    // The last change is one that all can take.
    world.run_to(CALM + ms(400), |_| false);
    world.commit();
    let newest = world.log.len();
    let settled = world.run_to(CALM + SETTLED, move |world| {
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
                &process.who.name,
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
    if !world.corrupting {
        assert_eq!(
            world.seen.differs, 0,
            "seed {seed}: something differed though nothing was changed on its way"
        );
    }
    assert_eq!(
        world.seen.most_down, 0,
        "seed {seed}: more on its way to one subscriber than is allowed"
    );
    world.seen.most_came = world
        .machines
        .iter()
        .map(|machine| machine.most_came)
        .max()
        .unwrap_or(0);
    world.seen.settled = world.now - CALM;
    world.seen
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn seeds() -> u64 {
    number("SEEDS").unwrap_or(60)
}

#[test]
fn after_the_faults_all_hold_the_same_version() {
    let mut all = Seen::default();
    let first = number("FIRST").unwrap_or(0);
    for seed in first..first + seeds() {
        let seen = play(seed);
        all.in_force += seen.in_force;
        all.differs += seen.differs;
        all.gaps += seen.gaps;
        all.refused += seen.refused;
        all.resumed += seen.resumed;
        all.most_down = all.most_down.max(seen.most_down);
        all.most_came = all.most_came.max(seen.most_came);
        all.settled = all.settled.max(seen.settled);
    }
    println!("{} seeds: {all:?}", seeds());
    // The faults did come about.
    assert!(
        all.in_force > 0 && all.differs > 0 && all.gaps > 0 && all.refused > 0 && all.resumed > 0,
        "{all:?}"
    );
}

/// Each planted bug is found, and by the check that is there for it.
#[cfg(feature = "planted")]
#[test]
fn planted_bugs_are_found() {
    use rainstand_config_distribution::planted_bugs::{plant, PlantedBug};
    let expected_failure = |bug: PlantedBug| match bug {
        PlantedBug::DeltaOverGap | PlantedBug::HistoryOffByOne => "something differed",
        PlantedBug::DigestIgnored => "in force in part",
        PlantedBug::EarlyAck => "confirmed before it was in force",
        PlantedBug::NoJitter => "came to one machine",
    };
    for bug in PlantedBug::ALL {
        let mut found = None;
        for seed in 0..seeds() {
            plant(Some(bug));
            let played = std::panic::catch_unwind(|| play(seed));
            plant(None);
            if let Err(panic) = played {
                let words = panic.downcast_ref::<String>().cloned();
                found = words.or_else(|| {
                    panic
                        .downcast_ref::<&str>()
                        .map(|words| (*words).to_owned())
                });
                println!("{bug:?}: seed {seed}: {found:?}");
                break;
            }
        }
        let found = found.unwrap_or_else(|| panic!("{bug:?} was not found in {} seeds", seeds()));
        assert!(
            found.contains(expected_failure(bug)),
            "{bug:?} was found by another check: {found}"
        );
    }
}
