//! Hollow groups: up to hundreds of group members simulated in one process. The members run the real protocol code and
//! encode real frames, on a virtual clock, without sockets and disks. All counts are the same on every run.
//!
//! Not included in any figure: sockets, the runtime, the disk thread, flushes. [`super::groups`] compares the counts
//! with those of real processes.

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

/// Default number of shards of a group.
pub const SHARDS: u16 = 16;
/// Default number of replicas of a shard.
pub const REPLICAS_PER_SHARD: usize = 3;
/// Default interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Default shortest and longest election timeout.
pub const ELECTION_TIMEOUTS: [Duration; 2] =
    [Duration::from_millis(300), Duration::from_millis(600)];
/// Delay of a frame between two members.
const TRANSIT_TIME: Duration = Duration::from_micros(200);
/// Time until a write is flushed to disk.
const FLUSH_TIME: Duration = Duration::from_millis(1);
/// Shortest and longest sleep of a member, the same as in a real process.
const MIN_SLEEP: Duration = Duration::from_micros(200);
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Virtual time for each shard to elect a leader.
const ELECTION_DEADLINE: Duration = Duration::from_mins(1);
/// Virtual time after that for leaders to move to the preferred members.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;
/// Time charged to each tenant, in microseconds.
const CHARGE_US: u64 = 40_000;

/// A group to be measured.
#[derive(Clone, Copy, Debug)]
pub struct GroupSpec {
    /// Members of the group.
    pub members: usize,
    /// Shards of the group.
    pub shards: u16,
    /// Tenants that each member has charged, and includes in its gossip.
    pub charged_tenants: usize,
    /// How long the idle group is measured, in virtual time.
    pub window: Duration,
    /// Seed of identities and election timeouts.
    pub seed: u64,
}

impl GroupSpec {
    /// A group with default settings.
    pub fn of(members: usize, window: Duration) -> Self {
        Self {
            members,
            shards: SHARDS,
            charged_tenants: 0,
            window,
            seed: 1,
        }
    }
}

/// Frames and writes of all members of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Frames of all kinds.
    pub frames: u64,
    /// Bytes of these frames, with length prefixes.
    pub bytes: u64,
    /// Hello frames.
    pub hellos: u64,
    /// Gossip frames.
    pub gossip: u64,
    /// Bytes of the gossip frames.
    pub gossip_bytes: u64,
    /// Batches of writes.
    pub writes: u64,
}

impl Counts {
    fn since(&self, before: &Self) -> Self {
        Self {
            frames: self.frames - before.frames,
            bytes: self.bytes - before.bytes,
            hellos: self.hellos - before.hellos,
            gossip: self.gossip - before.gossip,
            gossip_bytes: self.gossip_bytes - before.gossip_bytes,
            writes: self.writes - before.writes,
        }
    }
}

/// Size of the gossip that a member retains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetainedGossip {
    /// Reports of other nodes.
    pub reports: usize,
    /// Tenants in the largest report.
    pub tenants: usize,
}

/// Measurements of a group from its first start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Measurements {
    /// Counts until each shard had a leader.
    pub start: Counts,
    /// Virtual time until each shard had a leader.
    pub election_time: Duration,
    /// Counts within the window, while idle.
    pub idle: Counts,
    /// Processor time of protocol code, encoding and decoding within the window; only this value differs between runs.
    pub cpu: Duration,
    /// The largest gossip that any member retains.
    pub retained: RetainedGossip,
}

enum Event {
    /// A member's timer fires, unless it was rescheduled.
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

/// A simulated group.
struct HollowGroup {
    members: Vec<GroupMember>,
    /// Next wake-up time of each member.
    wakes: Vec<Duration>,
    /// Times and numbers of pending events.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Events by their number.
    events: HashMap<u64, Event>,
    /// Number of events scheduled so far.
    scheduled: u64,
    now: Duration,
    counts: Counts,
    /// Number of shards that have a leader.
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

    /// Calls a member and applies the effects of the call.
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
            Some(FrameBody::Hello(_)) => self.counts.hellos += 1,
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

    /// Handles events up to the time `until`, or until `is_done` returns true.
    fn run_until(&mut self, until: Duration, is_done: impl Fn(&Self) -> bool) -> io::Result<()> {
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
                // Otherwise it was replaced by an earlier wake-up.
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
    // Drawn from the full 64 bits, as a real disk does: the encoded length of a number depends on its value.
    let mut random = WyRand::new_seed(spec.seed << 20 | index as u64);
    let (disk, nonce) = (random.generate::<u64>().max(1), random.generate());
    let recovered = RecoveredState {
        disk,
        incarnation: 1,
        nonce,
        ..RecoveredState::default()
    };
    let mut member = GroupMember::new(config, recovered, Duration::ZERO);
    for tenant in 0..spec.charged_tenants {
        member.add_charge(&format!("t{tenant}"), CHARGE_US);
    }
    member
}

/// Simulates a group from its start until it is idle, and then for the window.
///
/// # Errors
/// If a shard does not elect a leader in time.
pub fn simulate(spec: &GroupSpec) -> io::Result<Measurements> {
    let mut group = HollowGroup::new(spec);
    let shards = usize::from(spec.shards);
    group.run_until(ELECTION_DEADLINE, |group| group.led >= shards)?;
    if group.led < shards {
        return Err(io::Error::other(format!(
            "{} of {shards} shards have a leader after {ELECTION_DEADLINE:?}",
            group.led
        )));
    }
    let (start, election_time) = (group.counts, group.now);
    group.run_until(group.now + SETTLE_TIME, |_| false)?;
    let (counts, cpu) = (group.counts, own_cpu());
    group.run_until(group.now + spec.window, |_| false)?;
    let retained = group.retained_gossip();
    Ok(Measurements {
        start,
        election_time,
        idle: group.counts.since(&counts),
        cpu: own_cpu().saturating_sub(cpu),
        retained,
    })
}

/// Rows of groups that are larger than the groups of real processes.
///
/// # Errors
/// If a shard of a group does not elect a leader in time.
pub fn rows(sizes: &Sizes, effort: &Effort, _: &Paths) -> io::Result<Vec<Row>> {
    let seconds = effort.hollow_window.as_secs_f64();
    let nodes = sizes.nodes as f64;
    let (mut idle, mut cpu, mut start) = (Vec::new(), Vec::new(), Vec::new());
    for members in effort.hollow.iter().copied() {
        let measured = simulate(&GroupSpec::of(members, effort.hollow_window))?;
        let count = members as f64;
        let bytes = measured.idle.bytes as f64 / seconds / count;
        let percent = measured.cpu.as_secs_f64() / seconds / count * 100.0;
        // A member's share of the heartbeats shrinks as members are added, so the group's totals are fitted.
        idle.push((count, bytes * count));
        cpu.push((count, percent * count));
        start.push((count, measured.start.hellos as f64 / count));
    }
    let hellos = of_node(
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
        Row::fitted(&hellos, &start, nodes, Growth::Linear, 1.0),
        Row::fitted(&time, &cpu, nodes, Growth::Linear, 1.0 / nodes),
        Row::fitted(&bytes, &idle, nodes, Growth::Linear, 1.0),
        gossip_row(sizes, effort)?,
        dropped_gossip_row(sizes, effort)?,
        shards_row(sizes, effort)?,
    ])
}

fn of_node<'a>(what: &'a str, unit: &'a str, by: &'a str) -> Quantity<'a> {
    Quantity::new("node", what, unit, by)
}

/// Row of gossip bytes, by peers times charged tenants.
fn gossip_row(sizes: &Sizes, effort: &Effort) -> io::Result<Row> {
    let seconds = effort.hollow_window.as_secs_f64();
    let mut points = Vec::new();
    for (members, tenants) in [(5, 100), (5, 250), (9, 200), (9, 450), (13, 400)] {
        let spec = GroupSpec {
            charged_tenants: tenants,
            ..GroupSpec::of(members, effort.hollow_window)
        };
        let measured = simulate(&spec)?;
        let size = ((members - 1) * tenants) as f64;
        let bytes = measured.idle.gossip_bytes as f64;
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

/// Row of the number of tenants that receivers drop from a report.
fn dropped_gossip_row(sizes: &Sizes, effort: &Effort) -> io::Result<Row> {
    let window = Duration::from_millis(1_500).min(effort.hollow_window);
    let measured = simulate(&GroupSpec {
        charged_tenants: sizes.tenants,
        ..GroupSpec::of(3, window)
    })?;
    let dropped = sizes.tenants.saturating_sub(measured.retained.tenants);
    let quantity = of_node(
        "tenants' charged time: tenants of a report that the others do not keep",
        "tenants",
        "tenants",
    )
    .note("hollow; a report of more than 4,096 tenants is dropped whole, crates/replicated-state/src/gossip.rs")
    .counted();
    let tenants = sizes.tenants as f64;
    let mut row = Row::plain(&quantity, tenants, tenants, Some(dropped as f64));
    // There is no ratio to a limit of zero.
    row.limit = Some(0.0);
    row.holds = Some(dropped == 0);
    Ok(row)
}

/// Row of frames (heartbeats) of an idle group, by shards.
fn shards_row(sizes: &Sizes, effort: &Effort) -> io::Result<Row> {
    let seconds = effort.hollow_window.as_secs_f64();
    let mut points = Vec::new();
    for shards in [4u16, 11, 16, 27] {
        let measured = simulate(&GroupSpec {
            shards,
            ..GroupSpec::of(9, effort.hollow_window)
        })?;
        points.push((f64::from(shards), measured.idle.frames as f64 / seconds));
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
