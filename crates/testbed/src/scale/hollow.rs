//! Members of a group by the hundred in one process: the code that decides and the frames that it sends, on a
//! virtual clock, without sockets and disks. What is counted is the same on every run.
//!
//! Left out, and so not in any figure from here: sockets, the runtime, the disk's thread, flushes. How far
//! the counts are from those of real processes is shown by [`super::groups`].

use super::fit::Growth;
use super::measure::own_cpu;
use super::{limits, Effort, Paths, Quantity, Row, Sizes};
use nanorand::{Rng, WyRand};
use prost::Message as _;
use rainstand_raft::Timeouts;
use rainstand_replicated_state::frames::{Frame, FrameBody};
use rainstand_replicated_state::member::{
    Effects, GroupMember, MemberConfig, OutgoingFrame, RecoveredState, WriteBatch,
    DEFAULT_COMPACTION_ENTRIES,
};
use rainstand_replicated_state::placement::MemberPlacement;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::time::Duration;

/// Shards of a group whose configuration says nothing else.
pub const SHARDS: u16 = 16;
/// Replicas of a shard of such a group.
pub const REPLICAS_PER_SHARD: usize = 3;
/// Between two heartbeats of such a group.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// The shortest and the longest election timeout of such a group.
pub const ELECTION_TIMEOUTS: [Duration; 2] =
    [Duration::from_millis(300), Duration::from_millis(600)];
/// A frame on its way.
const TRANSIT_TIME: Duration = Duration::from_micros(200);
/// A write on its way to the disk.
const FLUSH_TIME: Duration = Duration::from_millis(1);
/// The shortest and the longest sleep of a member, as on sockets.
const MIN_SLEEP: Duration = Duration::from_micros(200);
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// For each shard to have a leader, in virtual time.
const ELECTION_DEADLINE: Duration = Duration::from_mins(1);
/// After that, for whoever leads to be who should.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Of a frame's length, before the frame.
const LENGTH_BYTES: usize = 4;
/// What each tenant is charged with, in microseconds.
const CHARGE_US: u64 = 40_000;

/// A group to be measured.
#[derive(Clone, Copy, Debug)]
pub struct GroupSpec {
    /// Members of the group.
    pub members: usize,
    /// Shards of the group.
    pub shards: u16,
    /// Tenants that each member has charged, and gossips of.
    pub charged: usize,
    /// For how long the group is measured at rest.
    pub window: Duration,
    /// Of identities and election timeouts.
    pub seed: u64,
}

impl GroupSpec {
    /// A group whose configuration says nothing else.
    pub fn of(members: usize, window: Duration) -> Self {
        Self {
            members,
            shards: SHARDS,
            charged: 0,
            window,
            seed: 1,
        }
    }
}

/// What a whole group sent and wrote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Frames of all kinds.
    pub frames: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Greetings among them.
    pub greetings: u64,
    /// Gossip among them.
    pub gossip: u64,
    /// Bytes of the gossip.
    pub gossip_bytes: u64,
    /// Batches of writes.
    pub writes: u64,
}

impl Counts {
    fn since(&self, before: &Self) -> Self {
        Self {
            frames: self.frames - before.frames,
            bytes: self.bytes - before.bytes,
            greetings: self.greetings - before.greetings,
            gossip: self.gossip - before.gossip,
            gossip_bytes: self.gossip_bytes - before.gossip_bytes,
            writes: self.writes - before.writes,
        }
    }
}

/// What gossip a member retains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetainedGossip {
    /// Reports of nodes.
    pub reports: usize,
    /// Tenants of the largest of them.
    pub tenants: usize,
}

/// A group from its first start on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Measurements {
    /// Until each shard had a leader.
    pub start: Counts,
    /// How long that took.
    pub formed: Duration,
    /// In the window, at rest.
    pub rest: Counts,
    /// Of the code that decides, encodes and decodes, in the window: the one thing here that is not counted.
    pub cpu: Duration,
    /// The most gossip that a member retains.
    pub retained: RetainedGossip,
}

enum Event {
    /// A member wakes, unless it was put off.
    Wake(usize),
    /// A frame reaches a member.
    Arrive {
        from: usize,
        to: usize,
        frame: Vec<u8>,
    },
    /// A member's disk has flushed all writes up to this number.
    Flushed { member: usize, number: u64 },
}

/// A group that is played.
struct HollowGroup {
    members: Vec<GroupMember>,
    /// When each member wakes next.
    wakes: Vec<Duration>,
    /// Times and numbers of events.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Events by their number.
    events: HashMap<u64, Event>,
    /// Events that were scheduled so far.
    scheduled: u64,
    now: Duration,
    counts: Counts,
    /// Shards that have a leader.
    led: usize,
}

/// Name of a member by its index.
pub fn name(member: usize) -> String {
    format!("n{}", member + 1)
}

fn index_of(name: &str) -> usize {
    name[1..].parse::<usize>().map_or(0, |n| n - 1)
}

impl HollowGroup {
    fn new(spec: &GroupSpec) -> Self {
        let placements: Vec<MemberPlacement> = (0..spec.members)
            .map(|index| MemberPlacement {
                name: name(index),
                site: String::new(),
            })
            .collect();
        let member = |index| new_member(spec, index, placements.clone());
        let mut group = Self {
            members: (0..spec.members).map(member).collect(),
            wakes: vec![Duration::MAX; spec.members],
            queue: BinaryHeap::new(),
            events: HashMap::default(),
            scheduled: 0,
            now: Duration::ZERO,
            counts: Counts::default(),
            led: 0,
        };
        for index in 0..spec.members {
            for other in (0..spec.members).filter(|other| *other != index) {
                group.call_member(index, |member, now| {
                    member.on_connected(now, &name(other));
                });
            }
        }
        group
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    /// Calls into a member, and does what follows from it.
    fn call_member(&mut self, index: usize, call: impl FnOnce(&mut GroupMember, Duration)) {
        let member = &mut self.members[index];
        let led_before = member.led_shard_count();
        call(member, self.now);
        let Effects { frames, write, .. } = member.take_effects();
        self.led = self.led + member.led_shard_count() - led_before;
        if let Some(WriteBatch { number, .. }) = write {
            self.counts.writes += 1;
            let flushed = Event::Flushed {
                member: index,
                number,
            };
            self.schedule(self.now + FLUSH_TIME, flushed);
        }
        for frame in frames {
            self.send(index, &frame);
        }
        self.schedule_wake(index);
    }

    fn send(&mut self, from: usize, outgoing: &OutgoingFrame) {
        let frame = outgoing.frame.encode_to_vec();
        let bytes = (LENGTH_BYTES + frame.len()) as u64;
        self.counts.frames += 1;
        self.counts.bytes += bytes;
        match &outgoing.frame.body {
            Some(FrameBody::Hello(_)) => self.counts.greetings += 1,
            Some(FrameBody::Gossip(_)) => {
                self.counts.gossip += 1;
                self.counts.gossip_bytes += bytes;
            }
            _ => {}
        }
        let to = index_of(&outgoing.to);
        self.schedule(self.now + TRANSIT_TIME, Event::Arrive { from, to, frame });
    }

    fn schedule_wake(&mut self, index: usize) {
        let wake = self.members[index]
            .next_deadline()
            .min(self.now + MAX_SLEEP)
            .max(self.now + MIN_SLEEP);
        if wake < self.wakes[index] || self.wakes[index] <= self.now {
            self.wakes[index] = wake;
            self.schedule(wake, Event::Wake(index));
        }
    }

    /// Plays until the time, or until `is_done`.
    fn play(&mut self, until: Duration, is_done: impl Fn(&Self) -> bool) -> io::Result<()> {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > until {
                self.queue.push(Reverse((at, number)));
                self.now = until;
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event)?;
            }
            if is_done(self) {
                break;
            }
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Wake(index) => {
                // Else it was put off by an earlier one.
                if self.wakes[index] == self.now {
                    self.call_member(index, GroupMember::tick);
                }
            }
            Event::Flushed { member, number } => {
                self.call_member(member, |member, now| member.on_persisted(now, number));
            }
            Event::Arrive { from, to, frame } => {
                let frame = Frame::decode(&frame[..]).map_err(io::Error::other)?;
                self.call_member(to, |member, now| member.on_frame(now, &name(from), frame));
            }
        }
        Ok(())
    }

    fn retained_gossip(&self) -> RetainedGossip {
        let of_member = |member: &GroupMember| {
            let reports = member.gossip_reports();
            let tenants = reports.iter().map(|report| report.charged_us.len());
            RetainedGossip {
                reports: reports.iter().count(),
                tenants: tenants.max().unwrap_or(0),
            }
        };
        let members = self.members.iter().map(of_member);
        members.max().unwrap_or_default()
    }
}

/// A member that starts with an empty disk.
fn new_member(spec: &GroupSpec, index: usize, members: Vec<MemberPlacement>) -> GroupMember {
    let config = MemberConfig {
        group: "scale".into(),
        name: name(index),
        members,
        shards: spec.shards,
        replicas_per_shard: REPLICAS_PER_SHARD,
        timeouts: Timeouts {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            min_election_timeout: ELECTION_TIMEOUTS[0],
            max_election_timeout: ELECTION_TIMEOUTS[1],
        },
        max_concurrent_learners: 2,
        max_keys_per_shard: 1_000_000,
        compaction_entries: DEFAULT_COMPACTION_ENTRIES,
        seed: spec.seed.wrapping_add(index as u64),
    };
    // As wide as those that a disk draws: numbers on the wire are as long as they are large.
    let mut random = WyRand::new_seed(spec.seed << 20 | index as u64);
    let (disk, nonce) = (random.generate::<u64>().max(1), random.generate());
    let recovered = RecoveredState {
        disk,
        incarnation: 1,
        nonce,
        ..RecoveredState::default()
    };
    let mut member = GroupMember::new(config, recovered, Duration::ZERO);
    for tenant in 0..spec.charged {
        member.add_charge(&format!("t{tenant}"), CHARGE_US);
    }
    member
}

/// Plays a group from its start until it rests, and for a window then.
///
/// # Errors
/// If a shard is not led in time.
pub fn watch(spec: &GroupSpec) -> io::Result<Measurements> {
    let mut group = HollowGroup::new(spec);
    let shards = usize::from(spec.shards);
    group.play(ELECTION_DEADLINE, |group| group.led >= shards)?;
    if group.led < shards {
        return Err(io::Error::other(format!(
            "{} of {shards} shards are led after {ELECTION_DEADLINE:?}",
            group.led
        )));
    }
    let (start, formed) = (group.counts, group.now);
    group.play(group.now + SETTLE_TIME, |_| false)?;
    let (counts, cpu) = (group.counts, own_cpu());
    group.play(group.now + spec.window, |_| false)?;
    let retained = group.retained_gossip();
    Ok(Measurements {
        start,
        formed,
        rest: group.counts.since(&counts),
        cpu: own_cpu().saturating_sub(cpu),
        retained,
    })
}

/// Rows of groups past what real processes are started for.
///
/// # Errors
/// If a group does not form.
pub fn rows(sizes: &Sizes, effort: &Effort, _: &Paths) -> io::Result<Vec<Row>> {
    let seconds = effort.hollow_window.as_secs_f64();
    let nodes = sizes.nodes as f64;
    let (mut rest, mut cpu, mut start) = (Vec::new(), Vec::new(), Vec::new());
    for members in effort.hollow.iter().copied() {
        let seen = watch(&GroupSpec::of(members, effort.hollow_window))?;
        let count = members as f64;
        let bytes = seen.rest.bytes as f64 / seconds / count;
        let percent = seen.cpu.as_secs_f64() / seconds / count * 100.0;
        // Heartbeats are shared out among more members: what grows with them is what all send to all.
        rest.push((count, bytes * count));
        cpu.push((count, percent * count));
        start.push((count, seen.start.greetings as f64 / count));
    }
    let greetings = of_node(
        "group: greetings that a member sends until each shard is led, all started at once",
        "greetings",
        "members",
    )
    .note(
        "hollow; of each to each, and again at each change, crates/replicated-state/src/member.rs",
    )
    .counted();
    let time = of_node(
        "group at rest, 16 shards: time of the deciding code alone, a member",
        "% of a core",
        "members",
    )
    .limit(limits::CONTROL_CPU)
    .note("hollow: without sockets; crates/replicated-state/src/member.rs");
    let bytes = of_node(
        "group at rest, 16 shards: bytes a second of all members together",
        "B/s",
        "members",
    )
    .note("hollow; heartbeats of shards, crates/raft/src/replica.rs")
    .counted();
    Ok(vec![
        Row::fitted(&greetings, &start, nodes, Growth::Linear, 1.0),
        Row::fitted(&time, &cpu, nodes, Growth::Linear, 1.0 / nodes),
        Row::fitted(&bytes, &rest, nodes, Growth::Linear, 1.0),
        gossip_row(sizes, effort)?,
        dropped_gossip_row(sizes, effort)?,
        shards_row(sizes, effort)?,
    ])
}

fn of_node<'a>(what: &'a str, unit: &'a str, by: &'a str) -> Quantity<'a> {
    Quantity::new("node", what, unit, by)
}

/// Gossip, by peers times charged tenants.
fn gossip_row(sizes: &Sizes, effort: &Effort) -> io::Result<Row> {
    let seconds = effort.hollow_window.as_secs_f64();
    let mut points = Vec::new();
    for (members, tenants) in [(5, 100), (5, 250), (9, 200), (9, 450), (13, 400)] {
        let spec = GroupSpec {
            charged: tenants,
            ..GroupSpec::of(members, effort.hollow_window)
        };
        let seen = watch(&spec)?;
        let size = ((members - 1) * tenants) as f64;
        let bytes = seen.rest.gossip_bytes as f64;
        points.push((size, bytes / seconds / members as f64));
    }
    let size = ((sizes.nodes - 1) * sizes.tenants) as f64;
    let quantity = of_node(
        "tenants' charged time: bytes a second that a member tells, all tenants charged at it",
        "B/s",
        "peers x tenants",
    )
    .limit(limits::CONTROL_BYTES)
    .note("hollow; all to each, twice a second; no program feeds it today; crates/replicated-state/src/gossip.rs")
    .counted();
    Ok(Row::fitted(&quantity, &points, size, Growth::Linear, 1.0))
}

/// How many tenants of a report are dropped, of all.
fn dropped_gossip_row(sizes: &Sizes, effort: &Effort) -> io::Result<Row> {
    let window = Duration::from_millis(1_500).min(effort.hollow_window);
    let seen = watch(&GroupSpec {
        charged: sizes.tenants,
        ..GroupSpec::of(3, window)
    })?;
    let dropped = sizes.tenants.saturating_sub(seen.retained.tenants);
    let quantity = of_node(
        "tenants' charged time: tenants of a report that the others do not keep",
        "tenants",
        "tenants",
    )
    .note("hollow; a report of more than 4,096 tenants is dropped whole, crates/replicated-state/src/gossip.rs")
    .counted();
    let tenants = sizes.tenants as f64;
    let mut row = Row::plain(&quantity, tenants, tenants, Some(dropped as f64));
    // No ratio to a limit of none.
    row.limit = Some(0.0);
    row.holds = Some(dropped == 0);
    Ok(row)
}

/// Heartbeats, by shards.
fn shards_row(sizes: &Sizes, effort: &Effort) -> io::Result<Row> {
    let seconds = effort.hollow_window.as_secs_f64();
    let mut points = Vec::new();
    for shards in [4u16, 11, 16, 27] {
        let seen = watch(&GroupSpec {
            shards,
            ..GroupSpec::of(9, effort.hollow_window)
        })?;
        points.push((f64::from(shards), seen.rest.frames as f64 / seconds));
    }
    let quantity = of_node(
        "group at rest, 9 members: frames a second of all together, one shard a node",
        "frames/s",
        "shards",
    )
    .note("hollow; heartbeat 50 ms, 3 copies, crates/raft/src/replica.rs")
    .counted();
    let size = sizes.nodes as f64;
    Ok(Row::fitted(&quantity, &points, size, Growth::Linear, 1.0))
}
