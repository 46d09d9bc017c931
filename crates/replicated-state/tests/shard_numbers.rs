//! A shard's number that is none, in a frame of another member.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod group;

use group::name;
use rainstand_replicated_state::frames::{CommandRequest, Frame, FrameBody};
use rainstand_replicated_state::idempotency::{Command, Operation, Start};
use rainstand_replicated_state::member::GroupMember;
use std::time::Duration;

const SHARDS: u16 = 2;

/// Three members whose disks confirm at once and whose links are open.
struct Group {
    members: Vec<GroupMember>,
    now: Duration,
}

impl Group {
    fn new() -> Self {
        let mut group = Self {
            members: (0..3)
                .map(|position| group::member(position, SHARDS))
                .collect(),
            now: Duration::ZERO,
        };
        for at in 0..3 {
            for other in (0..3).filter(|other| *other != at) {
                group.members[at].on_connected(group.now, &name(other));
            }
        }
        group
    }

    /// Carries out all effects of the next `span`.
    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += Duration::from_millis(5);
            for at in 0..3 {
                self.members[at].tick(self.now);
            }
            while (0..3).map(|at| self.carry_out(at)).sum::<usize>() > 0 {}
        }
    }

    /// The number of effects that a member had.
    fn carry_out(&mut self, at: usize) -> usize {
        let effects = self.members[at].take_effects();
        let count = effects.frames.len() + usize::from(effects.write.is_some());
        if let Some(batch) = effects.write {
            self.members[at].on_persisted(self.now, batch.number);
        }
        for frame in effects.frames {
            let to = (0..3).find(|to| name(*to) == frame.to).unwrap();
            self.members[to].on_frame(self.now, &name(at), frame.frame);
        }
        count
    }
}

/// The member that leads a shard, and how long its log is there.
fn leader(group: &Group, shard: u32) -> (usize, u64) {
    let view = |at: usize| {
        let mut shards = group.members[at].shards();
        shards.find(|view| u32::from(view.shard) == shard && view.replica.is_leader())
    };
    let leading = |at| Some((at, view(at)?.replica.log().last_index()));
    (0..3).find_map(leading).expect("a leader")
}

/// What happened: a request for shard 65,536 + k was proposed to shard k, and a raft message of it stepped its replica.
/// Why: the number, 32 bits in a frame, was cut to 16. Seen in the code where a frame is read; no program sends one.
#[test]
fn a_request_for_a_shard_past_all_numbers_is_not_taken_for_one_of_its_lower_bits() {
    let mut group = Group::new();
    group.pass(Duration::from_secs(2));
    for shard in 0..u32::from(SHARDS) {
        for past in [(1 << 16) + shard, shard] {
            let (at, before) = leader(&group, shard);
            let from = name((at + 1) % 3);
            let command = Command {
                key: "k".into(),
                claim: group.members[0].claim(&past.to_be_bytes()),
                operation: Some(Operation::Start(Start {
                    fingerprint: 1,
                    window_ns: 1_000_000_000,
                })),
            };
            let request = CommandRequest {
                id: 1,
                shard: past,
                command,
            };
            let frame = Frame::from_body(FrameBody::Request(request));
            group.members[at].on_frame(group.now, &from, frame);
            group.pass(Duration::from_millis(100));
            let (_, after) = leader(&group, shard);
            assert_eq!(after > before, past == shard, "shard {past}");
        }
    }
}
