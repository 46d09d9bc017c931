//! The next membership change of a shard, case by case.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_raft::{Member, Membership, MembershipChange, ReplicaId};
use rainstand_replicated_state::reconfiguration::{next_step, NextStep, WantedMember};

fn config(members: &[(ReplicaId, &str, bool)]) -> Membership {
    let members = members.iter().map(|(id, name, votes)| Member {
        id: *id,
        name: (*name).into(),
        is_voter: *votes,
    });
    Membership {
        members: members.collect(),
    }
}

fn wanted(names: &[(&str, ReplicaId)]) -> Vec<WantedMember> {
    names
        .iter()
        .map(|(name, disk)| WantedMember {
            name: (*name).to_owned(),
            disk: (*disk > 0).then_some(*disk),
        })
        .collect()
}

#[test]
fn each_step_is_the_next_safe_membership_change() {
    let complete = [(1, "a", true), (2, "b", true), (3, "c", true)];
    let names = wanted(&[("a", 1), ("b", 2), ("c", 3)]);
    let next =
        |members: &[(ReplicaId, &str, bool)], wanted: &[WantedMember], is_caught_up: bool| {
            next_step(&config(members), wanted, 1, |_| is_caught_up)
        };
    assert_eq!(next(&complete, &names, true), NextStep::Settled);
    // `c` returned with another disk.
    let replaced_disk = wanted(&[("a", 1), ("b", 2), ("c", 9)]);
    let add = Member {
        id: 9,
        name: "c".into(),
        is_voter: false,
    };
    assert_eq!(
        next(&complete, &replaced_disk, true),
        NextStep::Change(MembershipChange::AddLearner(add))
    );
    let with_learner = [
        (1, "a", true),
        (2, "b", true),
        (3, "c", true),
        (9, "c", false),
    ];
    assert_eq!(next(&with_learner, &replaced_disk, false), NextStep::Wait);
    assert_eq!(
        next(&with_learner, &replaced_disk, true),
        NextStep::Change(MembershipChange::Promote(9))
    );
    let both_disks = [
        (1, "a", true),
        (2, "b", true),
        (3, "c", true),
        (9, "c", true),
    ];
    assert_eq!(
        next(&both_disks, &replaced_disk, true),
        NextStep::Change(MembershipChange::Remove(3))
    );
    assert_eq!(
        next(
            &[(1, "a", true), (2, "b", true), (9, "c", true)],
            &replaced_disk,
            true
        ),
        NextStep::Settled
    );
    // It returned with a third disk while it was a learner.
    let replaced_again = wanted(&[("a", 1), ("b", 2), ("c", 11)]);
    assert_eq!(
        next(&with_learner, &replaced_again, true),
        NextStep::Change(MembershipChange::Remove(9))
    );
    // `c` is not connected: its disk stays.
    assert_eq!(
        next(&complete, &wanted(&[("a", 1), ("b", 2), ("c", 0)]), true),
        NextStep::Settled
    );
    // The shard moves from the leader to `d`.
    let moved = wanted(&[("b", 2), ("c", 3), ("d", 4)]);
    let four = [
        (1, "a", true),
        (2, "b", true),
        (3, "c", true),
        (4, "d", true),
    ];
    assert_eq!(next(&four, &moved, true), NextStep::TransferLeadership(2));
    // Nobody is removed before a replacement is there.
    assert_eq!(
        next(&complete, &wanted(&[("d", 0), ("e", 0), ("f", 0)]), true),
        NextStep::Wait
    );
}
