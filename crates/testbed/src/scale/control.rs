//! A configuration on its way to the whole fleet: hollow subscribers and control machines, the code that
//! decides and the frames that it sends, on a virtual clock, without sockets. Times and bytes are the same on
//! every run.
//!
//! Assumed, and so no figure from here: how long a frame is under way ([`NEAR`], [`FAR`]), how long a change
//! takes to be known to a machine once it is committed (the same, once), how long a process takes to put a
//! version into force ([`TAKES`]). Left out: sockets, headers below the frames, the group's log. Each machine
//! is one of six places in two regions, each process in one of the six.

use super::decisions::compiled;
use super::fit::Grows;
use super::measure::own_cpu;
use super::{limits, Effort, Named, Place, Row, Sizes};
use bytes::Bytes;
use rainstand_config::schema::Configuration;
use rainstand_config_distribution::attachment::{AttachmentPolicy, NodeIdentity};
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::frames::Delta;
use rainstand_config_distribution::publisher::{self, Publisher, PublisherLimits};
use rainstand_config_distribution::subscriber::{Effect, Subscriber};
use rainstand_config_distribution::{snapshot, UpdateError};
use rainstand_test_servers::size::Limited;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io;
use std::time::{Duration, Instant};

/// Set aside for control.
pub const MACHINES: usize = 6;
/// A frame on its way within a region, and between regions.
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(40);
/// A process takes so long to put a change into force.
const TAKES: Duration = Duration::from_millis(50);
/// A dial that nobody answers.
const DIALS: Duration = Duration::from_secs(1);
/// Before a frame: its length, and which kind of frame of the group's links it is.
const HEAD: u64 = 8;
/// Until all are attached, at the start.
const GATHERS: Duration = Duration::from_secs(15);
/// After the last change.
const SETTLES: Duration = Duration::from_secs(30);
/// Changes a minute, in a burst.
const BURST: u32 = 100;
const MINUTE: Duration = Duration::from_secs(60);

/// What happens while changes are published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// One machine is killed in the middle, and stays away.
    OneKilled,
    /// All are killed in the middle, and come back after so long.
    AllKilled(Duration),
    /// One region hears nothing of the other from the first change to the last.
    Parted,
}

/// A fleet to be watched.
#[derive(Clone, Debug)]
pub struct Spec {
    pub nodes: usize,
    pub changes: usize,
    pub every: Duration,
    pub trouble: Trouble,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// From commit to each process's confirmation, in seconds, in order; of a parted region from its return.
    pub confirmed: Vec<f32>,
    /// Bytes a second of one process, both ways, from when all were attached; the mean and the most.
    pub bytes: f64,
    pub most_bytes: f64,
    /// Attachments of the busiest machine in its busiest second, and those turned away.
    pub most_attached: usize,
    pub turned_away: u64,
    /// Processor time of all machines and of all processes, and the virtual time that they were for.
    pub machines_cpu: Duration,
    pub nodes_cpu: Duration,
    pub lasted: Duration,
    /// Snapshots that were needed after the start.
    pub snapshots: u64,
}

impl Seen {
    /// The time in which such a part was confirmed.
    pub fn within(&self, part: f64) -> Option<f64> {
        let last = self.confirmed.len().checked_sub(1)?;
        let at = (part * last as f64).ceil() as usize;
        self.confirmed
            .get(at.min(last))
            .map(|time| f64::from(*time))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Commit,
    Feed(usize, usize),
    Tick(usize),
    Dial(usize),
    Opened(usize, usize),
    Failed(usize),
    Down(usize, Bytes),
    Up(usize, Bytes),
    Ended(usize),
    Look(usize),
    Taken(usize, u64),
    Kill,
    Restart,
    Heal,
}

struct Node {
    subscriber: Subscriber,
    chooser: AttachmentPolicy,
    link: Option<usize>,
    attached: bool,
    /// The newest version that it confirmed.
    confirmed: u64,
    bytes: u64,
}

struct Link {
    node: usize,
    machine: usize,
    open: bool,
    /// What was sent is under way in order.
    last: [Duration; 2],
}

struct World {
    now: Duration,
    seq: u64,
    due: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    machines: Vec<Option<Publisher>>,
    nodes: Vec<Node>,
    links: Vec<Link>,
    /// Machines of which each link's number goes to.
    attached: Vec<VecDeque<Duration>>,
    configuration: Configuration,
    state: ConfigState,
    log: Vec<Delta>,
    /// The first version, packed.
    first: Bytes,
    committed: Vec<Duration>,
    parted: bool,
    healed: Option<Duration>,
    trouble: Trouble,
    seen: Seen,
}

fn who(name: &str, k: usize) -> NodeIdentity {
    NodeIdentity {
        name: format!("{name}-{k}"),
        region: format!("region-{}", k % 2),
        zone: format!("zone-{}", k % MACHINES),
    }
}

fn refused(why: UpdateError) -> io::Error {
    io::Error::other(why.to_string())
}

impl World {
    fn new(spec: &Spec, configuration: Configuration) -> io::Result<Self> {
        let machines: Vec<NodeIdentity> = (0..MACHINES).map(|k| who("control", k)).collect();
        let mut world = Self {
            now: Duration::ZERO,
            seq: 0,
            due: BinaryHeap::new(),
            machines: Vec::new(),
            nodes: Vec::new(),
            links: Vec::new(),
            attached: vec![VecDeque::new(); MACHINES],
            configuration,
            state: ConfigState::default(),
            log: Vec::new(),
            first: Bytes::new(),
            committed: Vec::new(),
            parted: false,
            healed: None,
            trouble: spec.trouble,
            seen: Seen::default(),
        };
        world.publish()?;
        world.first = Bytes::from(snapshot::encode(1, &world.state).map_err(refused)?);
        for k in 0..MACHINES {
            let mut source = Publisher::new(world.now, PublisherLimits::default(), k as u64);
            source
                .restore(world.now, world.first.clone())
                .map_err(refused)?;
            world.machines.push(Some(source));
            world.after(Duration::ZERO, Event::Tick(k));
        }
        for k in 0..spec.nodes {
            let place = who("node", k);
            let chooser = AttachmentPolicy::new(world.now, &place, &machines, k as u64);
            // As from its disk: what is sent at a start with nothing in hand has a row of its own.
            let subscriber = Subscriber::with_version(world.now, place, 1, world.state.clone());
            world.nodes.push(Node {
                subscriber,
                chooser,
                link: None,
                attached: false,
                confirmed: 1,
                bytes: 0,
            });
            world.dial_when_due(k);
            world.after(Duration::ZERO, Event::Look(k));
        }
        Ok(world)
    }

    fn after(&mut self, wait: Duration, what: Event) {
        self.seq += 1;
        self.due.push(Reverse((self.now + wait, self.seq, what)));
    }

    fn way(a: usize, b: usize) -> Duration {
        if a % 2 == b % 2 {
            NEAR
        } else {
            FAR
        }
    }

    fn apart(&self, node: usize, machine: usize) -> bool {
        self.parted && node % 2 != machine % 2
    }

    fn in_touch(&self, machine: usize) -> bool {
        !(self.parted && machine % 2 == 1)
    }

    /// One change: a tenant's share, now and then a member's weight.
    fn publish(&mut self) -> io::Result<()> {
        let to = self.log.len() as u64 + 1;
        let at = to as usize * 7919;
        let tenants = self.configuration.tenants.len().max(1);
        let pools = self.configuration.pools.len().max(1);
        match self
            .configuration
            .pools
            .get_mut(at % pools)
            .filter(|_| to.is_multiple_of(4))
        {
            Some(pool) => pool
                .members
                .iter_mut()
                .take(1)
                .for_each(|member| member.weight = 1_000_000 + to),
            None => {
                if let Some(tenant) = self.configuration.tenants.get_mut(at % tenants) {
                    tenant.share = 1 + to;
                }
            }
        }
        let delta = self
            .state
            .delta_to(to - 1, to, &self.configuration)
            .map_err(refused)?;
        self.state.apply(&delta).map_err(refused)?;
        self.log.push(delta);
        self.committed.push(self.now);
        Ok(())
    }

    fn dial_when_due(&mut self, k: usize) {
        if let Some(due) = self.nodes[k].chooser.next_deadline() {
            self.after(due.saturating_sub(self.now), Event::Dial(k));
        }
    }

    fn close(&mut self, k: usize) {
        let Some(link) = self.nodes[k].link.take() else {
            return;
        };
        self.nodes[k].subscriber.on_link_closed();
        self.nodes[k].attached = false;
        let machine = self.links[link].machine;
        if !std::mem::replace(&mut self.links[link].open, false) || self.apart(k, machine) {
            return;
        }
        if let Some(source) = &mut self.machines[machine] {
            source.on_disconnected(link as u64);
        }
        self.obey_source(machine);
    }

    fn lost(&mut self, k: usize) {
        self.close(k);
        self.nodes[k].chooser.on_disconnected(self.now);
        self.dial_when_due(k);
    }

    fn obey_source(&mut self, k: usize) {
        let Some(source) = &mut self.machines[k] else {
            return;
        };
        for order in source.take_effects().collect::<Vec<_>>() {
            match order {
                publisher::Effect::Send { link, frame } => {
                    let number = link as usize;
                    let node = self.links[number].node;
                    let wait = self.under_way(number, 0);
                    if !self.apart(node, k) {
                        self.after(wait, Event::Down(number, frame));
                    }
                }
                publisher::Effect::Close(link) => {
                    let wait = self.under_way(link as usize, 0);
                    self.after(wait, Event::Ended(link as usize));
                }
                publisher::Effect::Event(publisher::Event::Attached { .. }) => {
                    let now = self.now;
                    let came = &mut self.attached[k];
                    came.retain(|at| now - *at < Duration::from_secs(1));
                    came.push_back(now);
                    self.seen.most_attached = self.seen.most_attached.max(came.len());
                }
                publisher::Effect::Event(_) => {}
            }
        }
    }

    fn under_way(&mut self, link: usize, side: usize) -> Duration {
        let way = Self::way(self.links[link].node, self.links[link].machine);
        let at = (self.now + way).max(self.links[link].last[side]);
        self.links[link].last[side] = at;
        at - self.now
    }

    fn obey_subscriber(&mut self, k: usize) {
        for order in self.nodes[k].subscriber.take_effects().collect::<Vec<_>>() {
            match order {
                Effect::Send(frame) => {
                    self.nodes[k].bytes += frame.len() as u64 + HEAD;
                    let Some(link) = self.nodes[k].link else {
                        continue;
                    };
                    let wait = self.under_way(link, 1);
                    if !self.apart(k, self.links[link].machine) {
                        self.after(wait, Event::Up(link, frame));
                    }
                }
                Effect::Apply(version) => self.after(TAKES, Event::Taken(k, version)),
                Effect::RetryAfter { after, target } => {
                    self.close(k);
                    self.nodes[k]
                        .chooser
                        .on_retry_after(self.now, after, target);
                    self.dial_when_due(k);
                }
                Effect::Close => self.lost(k),
                Effect::Event(_) => {}
            }
        }
    }

    /// What this source does, its processor time counted.
    fn source(&mut self, k: usize, does: impl FnOnce(&mut Publisher, Duration)) {
        let now = self.now;
        if let Some(source) = &mut self.machines[k] {
            let before = own_cpu();
            does(source, now);
            self.seen.machines_cpu += own_cpu().saturating_sub(before);
        }
        self.obey_source(k);
    }

    fn subscriber(&mut self, k: usize, does: impl FnOnce(&mut Subscriber, Duration)) {
        let before = own_cpu();
        does(&mut self.nodes[k].subscriber, self.now);
        self.seen.nodes_cpu += own_cpu().saturating_sub(before);
        self.obey_subscriber(k);
    }

    fn confirmed(&mut self, k: usize) {
        let node = &mut self.nodes[k];
        let version = node.subscriber.version();
        // The answer is as long under way as the change was.
        let way = node.link.map_or(Duration::ZERO, |link| {
            Self::way(k, self.links[link].machine)
        });
        for passed in node.confirmed + 1..=version {
            let from = self.committed[passed as usize - 1];
            let from = self
                .healed
                .filter(|_| k % 2 == 1)
                .map_or(from, |healed| healed.max(from));
            self.seen
                .confirmed
                .push((self.now + way - from).as_secs_f32());
        }
        node.confirmed = version;
    }

    fn step(&mut self, what: Event) -> io::Result<()> {
        match what {
            Event::Commit => {
                self.publish()?;
                for k in (0..MACHINES)
                    .filter(|k| self.in_touch(*k))
                    .collect::<Vec<_>>()
                {
                    self.after(Self::way(0, k), Event::Feed(k, self.log.len()));
                }
            }
            Event::Feed(k, upto) => {
                let at = self.machines[k]
                    .as_ref()
                    .map_or(0, |source| source.version() as usize);
                for delta in self.log.get(at..upto).unwrap_or_default().to_vec() {
                    let mut came = Ok(());
                    self.source(k, |source, now| came = source.apply_committed(now, delta));
                    came.map_err(refused)?;
                }
            }
            Event::Tick(k) => {
                let in_touch = self.in_touch(k);
                self.source(k, |source, now| {
                    if in_touch {
                        source.mark_current(now);
                    }
                    source.tick(now);
                });
                self.after(Duration::from_millis(500), Event::Tick(k));
            }
            Event::Dial(k) => {
                let Some(machine) = self.nodes[k].chooser.next_server(self.now) else {
                    return Ok(());
                };
                self.close(k);
                if self.apart(k, machine) {
                    self.after(DIALS, Event::Failed(k));
                } else {
                    self.after(Self::way(k, machine) * 2, Event::Opened(k, machine));
                }
            }
            Event::Failed(k) => self.lost(k),
            Event::Opened(k, machine) => {
                if self.machines[machine].is_none() || self.apart(k, machine) {
                    self.lost(k);
                    return Ok(());
                }
                self.links.push(Link {
                    node: k,
                    machine,
                    open: true,
                    last: [self.now; 2],
                });
                self.nodes[k].link = Some(self.links.len() - 1);
                self.subscriber(k, |subscriber, now| subscriber.on_connected(now));
            }
            Event::Down(link, frame) => {
                let k = self.links[link].node;
                if self.nodes[k].link != Some(link) {
                    return Ok(());
                }
                self.nodes[k].bytes += frame.len() as u64 + HEAD;
                self.subscriber(k, |subscriber, now| subscriber.on_frame(now, frame));
                if self.nodes[k].subscriber.is_attached() && !self.nodes[k].attached {
                    self.nodes[k].attached = true;
                    self.nodes[k].chooser.on_attached(self.now);
                    self.dial_when_due(k);
                }
            }
            Event::Up(link, frame) => {
                if self.links[link].open {
                    self.source(self.links[link].machine, |source, now| {
                        source.on_frame(now, link as u64, frame)
                    });
                }
            }
            Event::Ended(link) => {
                let k = self.links[link].node;
                if self.nodes[k].link == Some(link) {
                    self.lost(k);
                }
            }
            Event::Look(k) => {
                if self.nodes[k].subscriber.is_server_lost(self.now) {
                    self.lost(k);
                }
                self.after(Duration::from_millis(500), Event::Look(k));
            }
            Event::Taken(k, version) => {
                self.subscriber(k, |subscriber, _| subscriber.on_applied(version));
                self.confirmed(k);
            }
            Event::Kill => {
                let gone = if self.trouble == Trouble::OneKilled {
                    0..1
                } else {
                    0..MACHINES
                };
                for machine in gone {
                    if let Some(source) = self.machines[machine].take() {
                        self.seen.turned_away += source.counters().rejected_attachments;
                    }
                    for link in 0..self.links.len() {
                        if self.links[link].machine == machine && self.links[link].open {
                            let wait = self.under_way(link, 0);
                            self.after(wait, Event::Ended(link));
                        }
                    }
                }
            }
            Event::Restart => {
                // From the snapshot on its disk, and the log behind it, which is its history again.
                for k in 0..MACHINES {
                    let mut source =
                        Publisher::new(self.now, PublisherLimits::default(), 100 + k as u64);
                    source
                        .restore(self.now, self.first.clone())
                        .map_err(refused)?;
                    for delta in self.log.iter().skip(1) {
                        source
                            .apply_committed(self.now, delta.clone())
                            .map_err(refused)?;
                    }
                    self.machines[k] = Some(source);
                }
            }
            Event::Heal => {
                (self.parted, self.healed) = (false, Some(self.now));
                for k in 0..MACHINES {
                    self.after(FAR, Event::Feed(k, self.log.len()));
                }
            }
        }
        Ok(())
    }

    fn run_to(&mut self, end: Duration) -> io::Result<()> {
        while self.due.peek().is_some_and(|due| due.0 .0 <= end) {
            if let Some(Reverse((at, _, what))) = self.due.pop() {
                self.now = at;
                self.step(what)?;
            }
        }
        self.now = end;
        Ok(())
    }
}

/// One fleet, from its gathering to when all hold the newest version.
///
/// # Errors
/// If any does not.
pub fn watch(spec: &Spec, configuration: &Configuration) -> io::Result<Seen> {
    let mut world = World::new(spec, configuration.clone())?;
    world.run_to(GATHERS)?;
    if let Some(lone) = world.nodes.iter().position(|node| !node.attached) {
        return Err(io::Error::other(format!(
            "process {lone} is not attached after {GATHERS:?}"
        )));
    }
    let before: Vec<u64> = world.nodes.iter().map(|node| node.bytes).collect();
    let snapshots = |world: &World| -> u64 {
        world
            .machines
            .iter()
            .flatten()
            .map(|source| source.counters().snapshots)
            .sum()
    };
    let had = snapshots(&world);
    (world.seen.machines_cpu, world.seen.nodes_cpu) = (Duration::ZERO, Duration::ZERO);
    world.seen.most_attached = 0;
    let start = world.now;
    let lasts = spec.every * u32::try_from(spec.changes).unwrap_or(u32::MAX).max(1);
    for k in 0..spec.changes {
        world.after(
            spec.every * u32::try_from(k).unwrap_or(u32::MAX),
            Event::Commit,
        );
    }
    match spec.trouble {
        Trouble::None => {}
        Trouble::OneKilled => world.after(lasts / 2, Event::Kill),
        Trouble::AllKilled(away) => {
            world.after(lasts / 2, Event::Kill);
            world.after(lasts / 2 + away, Event::Restart);
        }
        Trouble::Parted => {
            world.parted = true;
            for link in 0..world.links.len() {
                // Nothing is heard across; whoever was attached over there finds it silent.
                world.links[link].open &=
                    !world.apart(world.links[link].node, world.links[link].machine);
            }
            world.after(lasts, Event::Heal);
        }
    }
    world.run_to(start + lasts)?;
    let took: Vec<u64> = world
        .nodes
        .iter()
        .zip(&before)
        .map(|(node, before)| node.bytes - before)
        .collect();
    // From when all is well again: machines may come back after the last change.
    let well = match spec.trouble {
        Trouble::AllKilled(away) => lasts.max(lasts / 2 + away),
        _ => lasts,
    };
    world.run_to(start + well + SETTLES)?;
    let newest = world.log.len() as u64;
    if let Some(behind) = world
        .nodes
        .iter()
        .position(|node| node.subscriber.version() != newest)
    {
        let holds = world.nodes[behind].subscriber.version();
        return Err(io::Error::other(format!(
            "process {behind} holds version {holds} of {newest}"
        )));
    }
    let seconds = lasts.as_secs_f64();
    let mut seen = std::mem::take(&mut world.seen);
    seen.bytes = took.iter().sum::<u64>() as f64 / took.len().max(1) as f64 / seconds;
    seen.most_bytes = took.iter().max().copied().unwrap_or(0) as f64 / seconds;
    seen.lasted = well + SETTLES;
    seen.snapshots = snapshots(&world).saturating_sub(had);
    seen.turned_away += world
        .machines
        .iter()
        .flatten()
        .map(|source| source.counters().rejected_attachments)
        .sum::<u64>();
    seen.confirmed.sort_by(f32::total_cmp);
    Ok(seen)
}

fn node(
    what: &'static str,
    unit: &'static str,
    by: &'static str,
    limit: Option<f64>,
    note: &'static str,
) -> Named<'static> {
    Named {
        role: "node",
        what,
        unit,
        by,
        limit,
        note,
        counted: true,
    }
}

/// # Errors
/// If a fleet does not come to hold one version.
pub fn rows(sizes: &Sizes, effort: &Effort, _: &Place) -> io::Result<Vec<Row>> {
    let small = compiled(&sizes.configuration(effort.parts[0].min(0.02), Limited::Tenants))?;
    let nodes = if effort.counts_only {
        sizes.nodes.min(60)
    } else {
        sizes.nodes
    };
    let changes = match () {
        () if effort.counts_only => 20,
        () if effort.hollow.len() < 5 => 100,
        () => sizes.changes,
    };
    let (up_to, size) = (nodes as f64, sizes.nodes as f64);
    let every = MINUTE / BURST;
    let run = |changes, every, trouble| {
        watch(
            &Spec {
                nodes,
                changes,
                every,
                trouble,
            },
            &small,
        )
    };
    let mut rows = Vec::new();

    // At rest: one change in half a minute, as 2,800 a day are.
    let day = Duration::from_secs_f64(limits::DAY_S / sizes.changes.max(1) as f64);
    let rest = run((changes / 20).max(4), day, Trouble::None)?;
    let burst = run(changes, every, Trouble::None)?;
    let killed = run(changes.min(400), every, Trouble::OneKilled)?;
    let gone = run(
        changes.min(100),
        every,
        Trouble::AllKilled(Duration::from_secs(30)),
    )?;
    let parted = run((changes / 24).max(4), day, Trouble::Parted)?;
    let note =
        "hollow, virtual clock; crates/config-distribution/src/publisher/mod.rs, subscriber.rs";
    let attach = "hollow, virtual clock; crates/config-distribution/src/attachment.rs";
    let times = [
        (
            "a change, one in half a minute: commit to the last confirmation, 99th of 100",
            0.99,
            &rest,
            note,
        ),
        (
            "a change, one in half a minute: commit to the last confirmation, worst",
            1.0,
            &rest,
            note,
        ),
        (
            "a change in a burst of 100 a minute: commit to confirmation, 99th of 100",
            0.99,
            &burst,
            note,
        ),
        (
            "a change in a burst of 100 a minute: commit to confirmation, worst",
            1.0,
            &burst,
            note,
        ),
        (
            "one control machine killed in a burst: commit to confirmation, 99th of 100",
            0.99,
            &killed,
            attach,
        ),
        (
            "one control machine killed in a burst: commit to confirmation, worst",
            1.0,
            &killed,
            attach,
        ),
        (
            "a parted region is back: return to confirmation of all that it missed, worst",
            1.0,
            &parted,
            attach,
        ),
        (
            "all control machines gone for 30 s: commit to confirmation, worst",
            1.0,
            &gone,
            attach,
        ),
    ];
    for (what, part, seen, note) in times {
        let limit = (!what.starts_with("all control")).then_some(limits::IN_FORCE_S);
        rows.push(Row::plain(
            &node(what, "s", "nodes", limit, note),
            size,
            up_to,
            seen.within(part),
        ));
    }
    let bytes = Some(limits::CONTROL_BYTES);
    let rates = [
        (
            "control frames at 2,800 changes a day, the busiest process",
            rest.most_bytes,
        ),
        (
            "control frames in a burst of 100 changes a minute, the busiest process",
            burst.most_bytes,
        ),
        (
            "control frames while a region is parted, the busiest process",
            parted.most_bytes,
        ),
    ];
    for (what, rate) in rates {
        rows.push(Row::plain(
            &node(what, "B/s", "nodes", bytes, note),
            size,
            up_to,
            Some(rate),
        ));
    }
    let machine = |what, unit, note| Named {
        role: "control machine",
        ..node(what, unit, "nodes", None, note)
    };
    for (what, seen) in [
        (
            "attachments in the busiest second, one machine killed",
            &killed,
        ),
        (
            "attachments in the busiest second, all machines gone and back",
            &gone,
        ),
    ] {
        let named = Named {
            limit: Some(120.0),
            ..machine(what, "a second", attach)
        };
        rows.push(Row::plain(
            &named,
            size,
            up_to,
            Some(seen.most_attached as f64),
        ));
    }
    let named = machine(
        "snapshots sent in a burst to those who were not behind",
        "snapshots",
        note,
    );
    rows.push(Row::plain(
        &named,
        size,
        up_to,
        Some(burst.snapshots as f64),
    ));

    measure_snapshots(sizes, effort, &mut rows)?;
    if !effort.counts_only {
        by_nodes(sizes, &small, changes, &mut rows)?;
        costs(sizes, effort, &mut rows)?;
    }
    Ok(rows)
}

/// The whole at each change, to compare with: packed bytes by size.
fn measure_snapshots(sizes: &Sizes, effort: &Effort, rows: &mut Vec<Row>) -> io::Result<()> {
    let mut points = Vec::new();
    for part in effort.parts.iter().copied() {
        let state = ConfigState::from_configuration(&compiled(
            &sizes.configuration(part, Limited::PerTenantOnRoutes),
        )?)
        .map_err(refused)?;
        points.push((
            part * sizes.tenants as f64,
            snapshot::encode(1, &state).map_err(refused)?.len() as f64,
        ));
    }
    let size = sizes.tenants as f64;
    let note = "crates/config-distribution/src/snapshot.rs";
    let packed = node(
        "a start with nothing in hand: the packed snapshot",
        "B",
        "tenants",
        None,
        note,
    );
    rows.push(Row::fitted(&packed, &points, size, Grows::Line, 1.0));
    let note = "not built: to compare with deltas";
    // A comparison: nothing is held against it.
    let limit = None;
    let sent = node(
        "the whole, packed, at each of 2,800 changes a day",
        "B/s",
        "tenants",
        limit,
        note,
    );
    let rate = sizes.changes as f64 / limits::DAY_S;
    rows.push(Row::fitted(&sent, &points, size, Grows::Line, rate));
    let sent = node(
        "the whole, packed, at each change of a burst",
        "B/s",
        "tenants",
        limit,
        note,
    );
    rows.push(Row::fitted(
        &sent,
        &points,
        size,
        Grows::Line,
        f64::from(BURST) / 60.0,
    ));
    Ok(())
}

/// Processor time of the deciding code by the fleet's size.
fn by_nodes(
    sizes: &Sizes,
    small: &Configuration,
    changes: usize,
    rows: &mut Vec<Row>,
) -> io::Result<()> {
    let (mut machines, mut nodes) = (Vec::new(), Vec::new());
    for part in [0.15, 0.35, 0.6, 1.0] {
        let count = ((sizes.nodes as f64 * part) as usize).max(MACHINES);
        let spec = Spec {
            nodes: count,
            changes: changes.min(200),
            every: MINUTE / BURST,
            trouble: Trouble::None,
        };
        let seen = watch(&spec, small)?;
        let seconds = seen.lasted.as_secs_f64();
        let percent = |cpu: Duration, of: usize| cpu.as_secs_f64() / seconds / of as f64 * 100.0;
        machines.push((count as f64, percent(seen.machines_cpu, MACHINES)));
        nodes.push((count as f64, percent(seen.nodes_cpu, count)));
    }
    let size = sizes.nodes as f64;
    let note =
        "hollow: the deciding code and its frames, without sockets; crates/config-distribution/src/publisher/mod.rs";
    let what = "a burst of 100 changes a minute: time of the deciding code, a machine of six";
    let named = Named {
        role: "control machine",
        counted: false,
        ..node(what, "% of a core", "nodes", None, note)
    };
    rows.push(Row::fitted(&named, &machines, size, Grows::Line, 1.0));
    let note =
        "hollow, without putting it into force; crates/config-distribution/src/subscriber/mod.rs";
    let what = "a burst of 100 changes a minute: time of the deciding code, a process";
    let named = Named {
        counted: false,
        ..node(
            what,
            "% of a core",
            "nodes",
            Some(limits::CONTROL_CPU),
            note,
        )
    };
    rows.push(Row::fitted(&named, &nodes, size, Grows::Still, 1.0));
    Ok(())
}

/// What a subscriber and a source hold, and what a change, a pack and an unpack cost, by the size of the
/// What a change, a pack and an unpack cost, by the size of the whole.
fn costs(sizes: &Sizes, effort: &Effort, rows: &mut Vec<Row>) -> io::Result<()> {
    let (mut change, mut pack, mut unpack) = (Vec::new(), Vec::new(), Vec::new());
    for part in effort.parts.iter().copied() {
        let size = part * sizes.tenants as f64;
        let configuration = compiled(&sizes.configuration(part, Limited::PerTenantOnRoutes))?;
        let state = ConfigState::from_configuration(&configuration).map_err(refused)?;
        let begun = Instant::now();
        let packed = snapshot::encode(1, &state).map_err(refused)?;
        pack.push((size, begun.elapsed().as_secs_f64() * 1e3));
        let begun = Instant::now();
        let read = snapshot::decode(&packed).map_err(refused)?;
        unpack.push((size, begun.elapsed().as_secs_f64() * 1e3));
        drop(read);
        let mut changed = configuration.clone();
        let mut one = Subscriber::with_version(Duration::ZERO, who("node", 0), 1, state.clone());
        let mut next = state;
        let mut took = Duration::ZERO;
        const CHANGES: u64 = 40;
        for k in 2..2 + CHANGES {
            let at = k as usize * 7919 % changed.tenants.len().max(1);
            if let Some(tenant) = changed.tenants.get_mut(at) {
                tenant.share = k;
            }
            let delta = next.delta_to(k - 1, k, &changed).map_err(refused)?;
            next.apply(&delta).map_err(refused)?;
            let frame =
                rainstand_config_distribution::frames::ServerMessage::Delta(delta).into_frame();
            let begun = own_cpu();
            one.on_frame(Duration::ZERO, frame);
            one.on_applied(k);
            took += own_cpu().saturating_sub(begun);
            drop(one.take_effects());
        }
        change.push((size, took.as_secs_f64() / CHANGES as f64 * 1e6));
    }
    let size = sizes.tenants as f64;
    let state = "crates/config-distribution/src/delta/mod.rs";
    let named = |what, unit, note| Named {
        counted: false,
        ..node(what, unit, "tenants", None, note)
    };
    let cost = named(
        "a change of one thing: checked and put in, the deciding code",
        "us",
        state,
    );
    rows.push(Row::fitted(&cost, &change, size, Grows::Still, 1.0));
    let note = "crates/config-distribution/src/snapshot.rs";
    let machine = |what| Named {
        role: "control machine",
        ..named(what, "ms", note)
    };
    rows.push(Row::fitted(
        &machine("the whole packed, once in 256 versions"),
        &pack,
        size,
        Grows::Line,
        1.0,
    ));
    let read = named(
        "a start with nothing in hand: the snapshot unpacked and checked",
        "ms",
        note,
    );
    rows.push(Row::fitted(&read, &unpack, size, Grows::Line, 1.0));
    Ok(())
}
