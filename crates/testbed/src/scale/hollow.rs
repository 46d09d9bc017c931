//! Members of a group by the hundred in one process: the code that decides and the frames that it sends, on a
//! virtual clock, without sockets and disks. What is counted is the same on every run.
//!
//! Left out, and so not in any figure from here: sockets, the runtime, the disk's thread, flushes. How far
//! the counts are from those of real processes is told by [`super::groups`].

use super::fit::Grows;
use super::measure::own_cpu;
use super::{limits, Effort, Named, Place, Row, Sizes};
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
use std::collections::BinaryHeap;
use std::io;
use std::time::Duration;

/// What the language takes if a group says nothing else.
pub const SHARDS: u16 = 16;
pub const COPIES: usize = 3;
pub const HEARTBEAT: Duration = Duration::from_millis(50);
pub const ELECTION: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(600)];
/// On the way, and to the disk.
const TRAVELS: Duration = Duration::from_micros(200);
const FLUSH: Duration = Duration::from_millis(1);
/// As a member on sockets sleeps.
const SLEEPS: [Duration; 2] = [Duration::from_millis(500), Duration::from_micros(200)];
/// For each shard to have a leader, in virtual time.
const FORMS: Duration = Duration::from_secs(60);
/// After that, for whoever leads to be who should.
const SETTLES: Duration = Duration::from_secs(5);
/// Before a frame's message.
const LENGTH: usize = 4;

/// A group to be watched.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    pub members: usize,
    pub shards: u16,
    /// That each member has charged, and tells the others of.
    pub charged: usize,
    pub window: Duration,
    pub seed: u64,
}

impl Spec {
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

/// What was seen, of the whole group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub frames: u64,
    pub bytes: u64,
    pub greetings: u64,
    pub soft: u64,
    pub soft_bytes: u64,
    pub writes: u64,
}

impl Counts {
    fn since(&self, before: &Self) -> Self {
        Self {
            frames: self.frames - before.frames,
            bytes: self.bytes - before.bytes,
            greetings: self.greetings - before.greetings,
            soft: self.soft - before.soft,
            soft_bytes: self.soft_bytes - before.soft_bytes,
            writes: self.writes - before.writes,
        }
    }
}

/// A group from its first start on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Until each shard had a leader, and how long that took.
    pub start: Counts,
    pub formed: Duration,
    /// In the window, at rest.
    pub rest: Counts,
    /// Of the code that decides, encodes and decodes, in the window: the one thing here that is not counted.
    pub cpu: Duration,
    /// Most of a node's reports that a member keeps, and of tenants in one.
    pub kept: (usize, usize),
}

enum Event {
    Wake(usize),
    Arrive {
        from: usize,
        to: usize,
        frame: Vec<u8>,
    },
    Written {
        member: usize,
        number: u64,
    },
}

struct World {
    members: Vec<GroupMember>,
    wakes: Vec<Duration>,
    /// By time and order; what happens stands in `what`.
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    what: std::collections::HashMap<u64, Event>,
    order: u64,
    now: Duration,
    counts: Counts,
    led: usize,
}

pub fn name(member: usize) -> String {
    format!("n{}", member + 1)
}

fn number(name: &str) -> usize {
    name[1..].parse::<usize>().map_or(0, |n| n - 1)
}

impl World {
    fn new(spec: &Spec) -> Self {
        let members: Vec<MemberPlacement> = (0..spec.members)
            .map(|k| MemberPlacement {
                name: name(k),
                site: String::new(),
            })
            .collect();
        let one = |k: usize| {
            let options = MemberConfig {
                group: "scale".into(),
                name: name(k),
                members: members.clone(),
                shards: spec.shards,
                replicas_per_shard: COPIES,
                timeouts: Timeouts {
                    heartbeat_interval: HEARTBEAT,
                    min_election_timeout: ELECTION[0],
                    max_election_timeout: ELECTION[1],
                },
                max_concurrent_learners: 2,
                max_keys_per_shard: 1_000_000,
                compaction_entries: DEFAULT_COMPACTION_ENTRIES,
                seed: spec.seed.wrapping_add(k as u64),
            };
            // As wide as those that a disk draws: numbers on the wire are as long as they are large.
            let mut chance = WyRand::new_seed(spec.seed << 20 | k as u64);
            let (disk, nonce) = (chance.generate::<u64>().max(1), chance.generate());
            let found = RecoveredState {
                disk,
                incarnation: 1,
                nonce,
                ..RecoveredState::default()
            };
            let mut member = GroupMember::new(options, found, Duration::ZERO);
            for tenant in 0..spec.charged {
                member.add_charge(&format!("t{tenant}"), 40_000);
            }
            member
        };
        let mut world = Self {
            members: (0..spec.members).map(one).collect(),
            wakes: vec![Duration::MAX; spec.members],
            heap: BinaryHeap::new(),
            what: std::collections::HashMap::new(),
            order: 0,
            now: Duration::ZERO,
            counts: Counts::default(),
            led: 0,
        };
        for k in 0..spec.members {
            for other in (0..spec.members).filter(|other| *other != k) {
                world.with(k, |member, now| member.on_connected(now, &name(other)));
            }
        }
        world
    }

    fn later(&mut self, at: Duration, what: Event) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order)));
        self.what.insert(self.order, what);
    }

    fn with(&mut self, k: usize, call: impl FnOnce(&mut GroupMember, Duration)) {
        let before = self.members[k].led_shard_count();
        call(&mut self.members[k], self.now);
        let Effects { frames, write, .. } = self.members[k].take_effects();
        self.led = self.led + self.members[k].led_shard_count() - before;
        if let Some(WriteBatch { number, .. }) = write {
            self.counts.writes += 1;
            self.later(self.now + FLUSH, Event::Written { member: k, number });
        }
        for OutgoingFrame { to, frame } in frames {
            let bytes = frame.encode_to_vec();
            self.counts.frames += 1;
            self.counts.bytes += (LENGTH + bytes.len()) as u64;
            match &frame.body {
                Some(FrameBody::Hello(_)) => self.counts.greetings += 1,
                Some(FrameBody::Gossip(_)) => {
                    self.counts.soft += 1;
                    self.counts.soft_bytes += (LENGTH + bytes.len()) as u64;
                }
                _ => {}
            }
            self.later(
                self.now + TRAVELS,
                Event::Arrive {
                    from: k,
                    to: number(&to),
                    frame: bytes,
                },
            );
        }
        let wake = self.members[k]
            .next_deadline()
            .min(self.now + SLEEPS[0])
            .max(self.now + SLEEPS[1]);
        if wake < self.wakes[k] || self.wakes[k] <= self.now {
            self.wakes[k] = wake;
            self.later(wake, Event::Wake(k));
        }
    }

    /// Plays until the time, or until `done`.
    fn play(&mut self, until: Duration, done: impl Fn(&Self) -> bool) -> io::Result<()> {
        while let Some(Reverse((at, order))) = self.heap.pop() {
            if at > until {
                self.heap.push(Reverse((at, order)));
                self.now = until;
                break;
            }
            self.now = at;
            match self.what.remove(&order) {
                Some(Event::Wake(k)) if self.wakes[k] == at => self.with(k, GroupMember::tick),
                // Put off by an earlier one.
                Some(Event::Wake(_)) | None => {}
                Some(Event::Written { member, number }) => {
                    self.with(member, |member, now| member.on_persisted(now, number));
                }
                Some(Event::Arrive { from, to, frame }) => {
                    let frame = Frame::decode(&frame[..]).map_err(io::Error::other)?;
                    self.with(to, |member, now| member.on_frame(now, &name(from), frame));
                }
            }
            if done(self) {
                break;
            }
        }
        Ok(())
    }
}

/// Plays a group from its start until it rests, and for a window then.
///
/// # Errors
/// If it does not form.
pub fn watch(spec: &Spec) -> io::Result<Seen> {
    let mut world = World::new(spec);
    let shards = usize::from(spec.shards);
    world.play(FORMS, |world| world.led >= shards)?;
    if world.led < shards {
        return Err(io::Error::other(format!(
            "{} of {shards} shards are led after {FORMS:?}",
            world.led
        )));
    }
    let (start, formed) = (world.counts, world.now);
    world.play(world.now + SETTLES, |_| false)?;
    let (before, cpu) = (world.counts, own_cpu());
    world.play(world.now + spec.window, |_| false)?;
    let kept = |member: &GroupMember| {
        let most = member
            .gossip_reports()
            .iter()
            .map(|report| report.charged_us.len())
            .max()
            .unwrap_or(0);
        (member.gossip_reports().iter().count(), most)
    };
    let kept = world.members.iter().map(kept).max().unwrap_or_default();
    Ok(Seen {
        start,
        formed,
        rest: world.counts.since(&before),
        cpu: own_cpu().saturating_sub(cpu),
        kept,
    })
}

/// Rows of groups past what real processes are started for.
pub fn rows(sizes: &Sizes, effort: &Effort, _: &Place) -> io::Result<Vec<Row>> {
    let seconds = effort.hollow_window.as_secs_f64();
    let nodes = sizes.nodes as f64;
    let (mut rest, mut cpu, mut start) = (Vec::new(), Vec::new(), Vec::new());
    for members in effort.hollow.iter().copied() {
        let seen = watch(&Spec::of(members, effort.hollow_window))?;
        let n = members as f64;
        rest.push((n, seen.rest.bytes as f64 / seconds / n));
        cpu.push((n, seen.cpu.as_secs_f64() / seconds / n * 100.0));
        start.push((n, seen.start.greetings as f64 / n));
    }
    // Heartbeats are shared out among more members: what grows with them is what all tell all.
    let shared: Vec<(f64, f64)> = rest.iter().map(|p| (p.0, p.1 * p.0)).collect();
    let named = |what, unit, by, limit, note| Named {
        role: "node",
        what,
        unit,
        by,
        limit,
        note,
        counted: true,
    };
    let mut rows = vec![
        Row::fitted(
            &named(
                "group: greetings that a member sends until each shard is led, all started at once",
                "greetings",
                "members",
                None,
                "hollow; of each to each, and again at each change, crates/replicated-state/src/member.rs",
            ),
            &start,
            nodes,
            Grows::Line,
            1.0,
        ),
        Row::fitted(
            &Named {
                counted: false,
                ..named(
                    "group at rest, 16 shards: time of the deciding code alone, a member",
                    "% of a core",
                    "members",
                    Some(limits::CONTROL_CPU),
                    "hollow: without sockets; crates/replicated-state/src/member.rs",
                )
            },
            &cpu.iter().map(|p| (p.0, p.1 * p.0)).collect::<Vec<_>>(),
            nodes,
            Grows::Line,
            1.0 / nodes,
        ),
    ];
    let all = Row::fitted(
        &named(
            "group at rest, 16 shards: bytes a second of all members together",
            "B/s",
            "members",
            None,
            "hollow; heartbeats of shards, crates/raft/src/replica.rs",
        ),
        &shared,
        nodes,
        Grows::Line,
        1.0,
    );
    rows.push(all);
    rows.push(soft(sizes, effort)?);
    rows.push(kept(sizes, effort)?);
    rows.push(shards_row(sizes, effort)?);
    Ok(rows)
}

/// Soft sums, by peers times charged tenants.
fn soft(sizes: &Sizes, effort: &Effort) -> io::Result<Row> {
    let seconds = effort.hollow_window.as_secs_f64();
    let mut points = Vec::new();
    for (members, tenants) in [(5, 100), (5, 250), (9, 200), (9, 450), (13, 400)] {
        let spec = Spec {
            charged: tenants,
            ..Spec::of(members, effort.hollow_window)
        };
        let seen = watch(&spec)?;
        points.push((
            ((members - 1) * tenants) as f64,
            seen.rest.soft_bytes as f64 / seconds / members as f64,
        ));
    }
    let size = ((sizes.nodes - 1) * sizes.tenants) as f64;
    Ok(Row::fitted(
        &Named {
            role: "node",
            what: "tenants' charged time: bytes a second that a member tells, all tenants charged at it",
            unit: "B/s",
            by: "peers x tenants",
            limit: Some(limits::CONTROL_BYTES),
            note: "hollow; all to each, twice a second; no program feeds it today; crates/replicated-state/src/gossip.rs",
            counted: true,
        },
        &points,
        size,
        Grows::Line,
        1.0,
    ))
}

/// How many tenants of a report are kept, of all.
fn kept(sizes: &Sizes, effort: &Effort) -> io::Result<Row> {
    let seen = watch(&Spec {
        charged: sizes.tenants,
        ..Spec::of(3, Duration::from_millis(1_500).min(effort.hollow_window))
    })?;
    let lost = sizes.tenants.saturating_sub(seen.kept.1);
    let mut row = Row::plain(
        &Named {
            role: "node",
            what: "tenants' charged time: tenants of a report that the others do not keep",
            unit: "tenants",
            by: "tenants",
            limit: None,
            note: "hollow; a report of more than 4,096 tenants is dropped whole, crates/replicated-state/src/gossip.rs",
            counted: true,
        },
        sizes.tenants as f64,
        sizes.tenants as f64,
        Some(lost as f64),
    );
    (row.limit, row.holds) = (Some(0.0), Some(lost == 0));
    Ok(row)
}

/// Heartbeats by shards.
fn shards_row(sizes: &Sizes, effort: &Effort) -> io::Result<Row> {
    let seconds = effort.hollow_window.as_secs_f64();
    let mut points = Vec::new();
    for shards in [4u16, 11, 16, 27] {
        let seen = watch(&Spec {
            shards,
            ..Spec::of(9, effort.hollow_window)
        })?;
        points.push((f64::from(shards), seen.rest.frames as f64 / seconds));
    }
    Ok(Row::fitted(
        &Named {
            role: "node",
            what: "group at rest, 9 members: frames a second of all together, one shard a node",
            unit: "frames/s",
            by: "shards",
            limit: None,
            note: "hollow; heartbeat 50 ms, 3 copies, crates/raft/src/replica.rs",
            counted: true,
        },
        &points,
        sizes.nodes as f64,
        Grows::Line,
        1.0,
    ))
}
