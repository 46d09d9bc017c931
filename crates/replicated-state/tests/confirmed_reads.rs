//! A thousand versions published one after the other under a virtual clock, each at a member that is drawn, while frames
//! are late, members stop and continue, and one is cut off: no read that is confirmed is behind what was committed
//! before it, and no version that was said to be committed is lost.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod group;

use group::{member, name};
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{Configuration, Tenant, VERSION};
use rainstand_replicated_state::frames::Frame;
use rainstand_replicated_state::idempotency::{ClaimOutcome, Command, Operation};
use rainstand_replicated_state::member::{GroupMember, ReadOutcome};
use rainstand_replicated_state::versions::Publish;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const MEMBERS: usize = 3;
const STEP: Duration = Duration::from_millis(2);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

struct FrameInFlight {
    arrives: Duration,
    frame: Frame,
}

struct World {
    members: Vec<GroupMember>,
    now: Duration,
    chance: WyRand,
    /// By sender and receiver, in order.
    links: BTreeMap<(usize, usize), VecDeque<FrameInFlight>>,
    /// Until when a member does nothing.
    stopped_until: [Duration; MEMBERS],
    /// A member that is cut off from the others, and until when.
    cut_off: Option<(usize, Duration)>,
    reads: BTreeMap<u64, ReadOutcome>,
    outcomes: BTreeMap<u64, Option<ClaimOutcome>>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            members: (0..MEMBERS).map(|at| member(at, 1)).collect(),
            now: Duration::ZERO,
            chance: WyRand::new_seed(seed),
            links: BTreeMap::new(),
            stopped_until: [Duration::ZERO; MEMBERS],
            cut_off: None,
            reads: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        };
        for at in 0..MEMBERS {
            for other in (0..MEMBERS).filter(|other| *other != at) {
                world.members[at].on_connected(world.now, &name(other));
            }
            world.carry_out(at);
        }
        world
    }

    fn is_stopped(&self, at: usize) -> bool {
        self.now < self.stopped_until[at]
    }

    fn carry_out(&mut self, at: usize) {
        loop {
            let effects = self.members[at].take_effects();
            for read in effects.reads {
                self.reads.insert(read.id, read.outcome);
            }
            for outcome in effects.outcomes {
                self.outcomes.insert(outcome.id, Some(outcome.outcome));
            }
            for id in effects.timed_out {
                self.outcomes.insert(id, None);
            }
            for outgoing in effects.frames {
                let to = (0..MEMBERS).find(|to| name(*to) == outgoing.to).unwrap();
                let is_cut = self
                    .cut_off
                    .is_some_and(|(cut, until)| self.now < until && (cut == at || cut == to));
                if is_cut {
                    continue;
                }
                let delay = Duration::from_millis(self.chance.generate_range(0..20));
                let link = self.links.entry((at, to)).or_default();
                let last = link.back().map_or(Duration::ZERO, |last| last.arrives);
                link.push_back(FrameInFlight {
                    arrives: last.max(self.now + delay),
                    frame: outgoing.frame,
                });
            }
            let Some(batch) = effects.write else { return };
            self.members[at].on_persisted(self.now, batch.number);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let mut order: Vec<usize> = (0..MEMBERS).collect();
        self.chance.shuffle(&mut order);
        for at in order {
            if self.is_stopped(at) {
                continue;
            }
            // After a stop the clock or what lies in the sockets may come first.
            if self.chance.generate_range(0..2u32) == 0 {
                self.members[at].tick(self.now);
                self.carry_out(at);
            }
            for from in (0..MEMBERS).filter(|from| *from != at) {
                while let Some(frame) = self.arrived(from, at) {
                    self.members[at].on_frame(self.now, &name(from), frame);
                    self.carry_out(at);
                }
            }
            self.members[at].tick(self.now);
            self.carry_out(at);
        }
    }

    fn arrived(&mut self, from: usize, at: usize) -> Option<Frame> {
        let link = self.links.get_mut(&(from, at))?;
        link.pop_front_if(|first| first.arrives <= self.now)
            .map(|first| first.frame)
    }

    fn disturb(&mut self) {
        let at = self.chance.generate_range(0..MEMBERS);
        let span = Duration::from_millis(self.chance.generate_range(50..1_500));
        match self.chance.generate_range(0..8u32) {
            0 => self.stopped_until[at] = self.now + span,
            1 => self.cut_off = Some((at, self.now + span)),
            _ => {}
        }
    }

    /// How a read at a member ended. One that is stopped begins it when it continues.
    fn read(&mut self, at: usize) -> ReadOutcome {
        while self.is_stopped(at) {
            self.step();
        }
        let id = self.members[at].confirm_read(self.now, 0, self.now + READ_TIMEOUT);
        self.carry_out(at);
        let Some(id) = id else {
            return ReadOutcome::Unconfirmed;
        };
        loop {
            if let Some(outcome) = self.reads.remove(&id) {
                return outcome;
            }
            self.step();
        }
    }

    fn publish(&mut self, at: usize, publish: Publish) -> Option<ClaimOutcome> {
        let claim = self.members[at].claim(&[]);
        let command = Command {
            key: "configuration".into(),
            claim,
            operation: Some(Operation::Publish(publish)),
        };
        let deadline = self.now + COMMIT_TIMEOUT;
        let id = self.members[at].request(self.now, command, deadline)?;
        self.carry_out(at);
        loop {
            if let Some(outcome) = self.outcomes.remove(&id) {
                return outcome;
            }
            self.step();
        }
    }

    fn newest(&self, at: usize) -> u64 {
        let published = self.members[at].published(self.now);
        published.map_or(0, |published| published.versions.version())
    }
}

fn configuration(number: u64) -> Configuration {
    let tenant = Tenant {
        name: format!("t{number}"),
        ..Tenant::default()
    };
    Configuration {
        version: VERSION,
        tenants: vec![tenant],
        ..Configuration::default()
    }
}

#[derive(Default)]
struct Tally {
    committed: u64,
    unconfirmed: u64,
    unknown: u64,
    conflicts: u64,
}

/// Publishes at drawn members and holds each answer against what was committed; the versions with their numbers.
fn publish_many(world: &mut World, count: u64) -> Tally {
    let mut tally = Tally::default();
    let mut committed: BTreeMap<u64, u64> = BTreeMap::new();
    for number in 1..=count {
        world.disturb();
        let at = world.chance.generate_range(0..MEMBERS);
        let newest_said = committed.keys().next_back().copied().unwrap_or(0);
        if world.read(at) == ReadOutcome::Unconfirmed {
            tally.unconfirmed += 1;
            continue;
        }
        let from = world.newest(at);
        assert!(
            from >= newest_said,
            "publish {number}: a confirmed read at {at} says {from} after {newest_said}"
        );
        let published = world.members[at].published(world.now).unwrap();
        let state = published.versions.state().clone();
        let publish = Publish::from_configuration(&state, from, &configuration(number)).unwrap();
        match world.publish(at, publish) {
            Some(ClaimOutcome::Recorded) => {
                assert!(from + 1 > newest_said, "publish {number}");
                committed.insert(from + 1, number);
                tally.committed += 1;
            }
            // An earlier one without an answer was committed meanwhile.
            Some(ClaimOutcome::Conflict(_)) if tally.unknown > 0 => tally.conflicts += 1,
            None => tally.unknown += 1,
            other => panic!("publish {number}: {other:?}"),
        }
    }
    world.stopped_until = [Duration::ZERO; MEMBERS];
    world.cut_off = None;
    for at in 0..MEMBERS {
        while world.read(at) == ReadOutcome::Unconfirmed {}
        let published = world.members[at].published(world.now).unwrap();
        let base = published.versions.base().version;
        for (version, number) in &committed {
            let mut changes = published.versions.changes_since(version - 1).unwrap();
            let change = changes.next().unwrap();
            assert_eq!(change.delta.to, *version, "after base {base}");
            // What the version says is what its publish said.
            let text = format!("{:?}", change.delta);
            assert!(
                text.contains(&format!("t{number}")),
                "version {version} at {at}"
            );
        }
    }
    tally
}

#[test]
fn a_thousand_publishes_under_faults_lose_nothing_and_no_confirmed_read_is_stale() {
    let mut tally = Tally::default();
    for seed in 0..5 {
        let mut world = World::new(seed);
        let one = publish_many(&mut world, 200);
        tally.committed += one.committed;
        tally.unconfirmed += one.unconfirmed;
        tally.unknown += one.unknown;
        tally.conflicts += one.conflicts;
    }
    // Most go through, and the faults are felt.
    assert!(tally.committed > 500, "{}", tally.committed);
    assert!(tally.unconfirmed + tally.unknown > 0);
}
