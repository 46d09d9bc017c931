//! Members on loopback, each with a thread, a runtime and a disk of its own: what is asked at one is known at the others,
//! over restarts, lost disks and the loss of a majority.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod world;

use rainstand_cluster::recovery::{self, RecoveryMode};
use rainstand_cluster::ClusterMember;
use rainstand_replicated_state::idempotency::{ClaimOutcome, Operation};
use rainstand_replicated_state::member::ReadOutcome;
use rainstand_replicated_state::placement::{holders, MemberPlacement};
use std::time::{Duration, Instant};
use world::{known, start, world, HANGS};

#[test]
fn what_is_asked_at_one_is_known_at_the_others_and_after_restarts() {
    let w = world(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    assert_eq!(n1.ask_until_told(1, "a", &start()), ClaimOutcome::Granted);
    assert_eq!(
        n2.ask_until_told(2, "a", &start()),
        ClaimOutcome::InProgress
    );
    assert_eq!(
        n1.ask_until_told(1, "a", &Operation::Done("R".into())),
        ClaimOutcome::Recorded
    );
    assert_eq!(n3.ask_until_told(3, "a", &start()), known("R"));
    // One is gone, and comes back with its disk; the others go on without it.
    drop(n2);
    assert_eq!(n3.ask_until_told(4, "b", &start()), ClaimOutcome::Granted);
    let n2 = w.up("n2");
    assert_eq!(
        n2.ask_until_told(5, "b", &start()),
        ClaimOutcome::InProgress
    );
    assert_eq!(
        n3.ask_until_told(4, "b", &Operation::Failed(true)),
        ClaimOutcome::Recorded
    );
    assert_eq!(
        n2.ask_until_told(5, "b", &start()),
        ClaimOutcome::Indeterminate
    );
    // All at once.
    drop((n1, n2, n3));
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    assert_eq!(n2.ask_until_told(6, "a", &start()), known("R"));
}

#[test]
fn a_minority_is_told_that_its_time_is_over_and_a_start_of_it_does_not_block_its_key() {
    let w = world(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    drop((n2, n3));
    assert_eq!(n1.ask(1, "a", start(), Duration::from_millis(300)), None);
    let [n2, n3] = ["n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    // What timed out is taken back, whether or not it was written meanwhile.
    let begun = Instant::now();
    while n2.ask_until_told(2, "a", &start()) != ClaimOutcome::Granted {
        assert!(begun.elapsed() < HANGS, "the key is blocked");
    }
    assert_eq!(
        n1.ask_until_told(1, "a", &start()),
        ClaimOutcome::InProgress
    );
}

#[test]
fn an_emptied_disk_is_a_new_member_and_learns_everything() {
    let w = world(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    for n in 0..20 {
        assert_eq!(
            n1.ask_until_told(n, &format!("k{n}"), &start()),
            ClaimOutcome::Granted
        );
        assert_eq!(
            n1.ask_until_told(n, &format!("k{n}"), &Operation::Done("R".into())),
            ClaimOutcome::Recorded
        );
    }
    drop(n3);
    std::fs::remove_dir_all(w.folder(2)).unwrap();
    let n3 = w.up("n3");
    let begun = Instant::now();
    let votes = |group: &ClusterMember| {
        group.inspect(|member| {
            let own = member.disk();
            let in_all = |config: &rainstand_raft::Membership| {
                config.is_voter(own) && config.members.len() == 3
            };
            member.shards().count() == 2
                && member.shards().all(|view| {
                    view.replica.is_membership_committed() && in_all(view.replica.membership())
                })
        })
    };
    while !n3.tell(move |group| votes(group)) {
        assert!(begun.elapsed() < HANGS, "it does not vote");
    }
    // It votes: with it and one other everything is known.
    drop(n1);
    for n in 0..20 {
        assert_eq!(
            n3.ask_until_told(100 + n, &format!("k{n}"), &start()),
            known("R")
        );
    }
    drop(n2);
}

#[test]
fn after_the_loss_of_a_majority_an_operator_brings_back_what_is_left() {
    let w = world(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    assert_eq!(n2.ask_until_told(1, "a", &start()), ClaimOutcome::Granted);
    assert_eq!(
        n2.ask_until_told(1, "a", &Operation::Done("R".into())),
        ClaimOutcome::Recorded
    );
    assert_eq!(n2.ask_until_told(2, "b", &start()), ClaimOutcome::Granted);
    // n1 must have it all before it is the only one.
    let begun = Instant::now();
    let has = |group: &ClusterMember, key: &str, word: &str| {
        group.inspect(|member| {
            member
                .key_state(key.as_bytes())
                .state
                .is_some_and(|row| row.state_name() == word)
        })
    };
    while !n1.tell(move |group| has(group, "a", "known") && has(group, "b", "started")) {
        assert!(begun.elapsed() < HANGS, "n1 lags");
    }
    drop((n1, n2, n3));
    std::fs::remove_dir_all(w.folder(1)).unwrap();
    let alone = w.up("n1");
    assert_eq!(alone.ask(3, "c", start(), Duration::from_millis(300)), None);
    drop(alone);
    let told = recovery::recover(&w.folder(0), "n1", RecoveryMode::Report).unwrap();
    assert!(
        told.missing.is_empty() && told.shards.iter().any(|shard| shard.started == ["b"]),
        "{told:?}"
    );
    recovery::recover(&w.folder(0), "n1", RecoveryMode::AcceptLoss).unwrap();
    let n1 = w.up("n1");
    assert_eq!(n1.ask_until_told(4, "a", &start()), known("R"));
    assert_eq!(
        n1.ask_until_told(4, "b", &start()),
        ClaimOutcome::InProgress
    );
    // n2 comes with an empty disk, n3 with its old one, which is set aside: both learn anew.
    let [n2, n3] = ["n2", "n3"].map(|name| w.up(name));
    assert_eq!(n2.ask_until_told(5, "a", &start()), known("R"));
    assert_eq!(n3.ask_until_told(6, "a", &start()), known("R"));
    let asides = n3.tell(|group| group.quarantines());
    assert_eq!(asides, 1);
}

#[test]
fn a_new_member_of_a_running_group_takes_its_part_of_the_shards() {
    let mut w = world(4);
    w.group.shards = 4;
    let all = w.group.clone();
    w.group.members.truncate(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    for n in 0..20 {
        assert_eq!(
            n1.ask_until_told(n, &format!("k{n}"), &start()),
            ClaimOutcome::Granted
        );
        assert_eq!(
            n1.ask_until_told(n, &format!("k{n}"), &Operation::Done("R".into())),
            ClaimOutcome::Recorded
        );
    }
    w.group = all.clone();
    let n4 = w.up("n4");
    for one in [&n1, &n2, &n3] {
        let (all, mut other) = (all.clone(), all.clone());
        other.name = "another".into();
        one.on(move |group, answer| {
            assert!(group.set_members(&other).is_err());
            assert!(answer.send(group.set_members(&all)).is_ok());
        })
        .recv_timeout(HANGS)
        .unwrap()
        .unwrap();
    }
    let wanted: usize = {
        let names: Vec<MemberPlacement> = all
            .members
            .iter()
            .map(|m| MemberPlacement {
                name: m.name.clone(),
                site: m.site.clone(),
            })
            .collect();
        (0..4)
            .filter(|s| {
                holders(&names, *s, 3)
                    .iter()
                    .any(|k| names[*k].name == "n4")
            })
            .count()
    };
    let begun = Instant::now();
    let votes = |group: &ClusterMember| {
        group.inspect(|member| {
            let own = member.disk();
            member
                .shards()
                .filter(|one| {
                    one.replica.is_membership_committed() && one.replica.membership().is_voter(own)
                })
                .count()
        })
    };
    while n4.tell(move |group| votes(group)) < wanted {
        assert!(begun.elapsed() < HANGS, "it does not get its shards");
    }
    assert!(wanted > 0);
    for n in 0..20 {
        assert_eq!(
            n4.ask_until_told(100 + n, &format!("k{n}"), &start()),
            known("R")
        );
    }
}

#[test]
fn another_member_s_disk_is_set_aside_and_both_go_on() {
    let w = world(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    assert_eq!(n1.ask_until_told(1, "a", &start()), ClaimOutcome::Granted);
    assert_eq!(
        n1.ask_until_told(1, "a", &Operation::Done("R".into())),
        ClaimOutcome::Recorded
    );
    drop((n2, n3));
    for file in std::fs::read_dir(w.folder(2)).unwrap() {
        std::fs::remove_file(file.unwrap().path()).unwrap();
    }
    for file in std::fs::read_dir(w.folder(1)).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), w.folder(2).join(file.file_name())).unwrap();
    }
    let [n2, n3] = ["n2", "n3"].map(|name| w.up(name));
    assert_eq!(n3.ask_until_told(2, "a", &start()), known("R"));
    assert_eq!(n2.ask_until_told(3, "a", &start()), known("R"));
    let disks =
        [&n2, &n3].map(|one| one.tell(|group| (group.inspect(|m| m.disk()), group.quarantines())));
    assert!(
        disks[0].0 != disks[1].0 && disks[0].1 == 0 && disks[1].1 == 1,
        "{disks:?}"
    );
}

/// How a read of a key's shard at a member ended, and whether its replica has the key's result after it.
fn confirmed_read(member: &world::Running, key: &str) -> (ReadOutcome, bool) {
    let key = key.to_owned();
    let told = member.on(move |group, answer| {
        tokio::task::spawn_local(async move {
            let shard = group.inspect(|member| member.key_state(key.as_bytes()).shard);
            let outcome = group.confirm_read(shard, Duration::from_secs(2)).await;
            let is_completed = group.inspect(|member| {
                let state = member.key_state(key.as_bytes()).state;
                state.is_some_and(|state| state.state_name() == "known")
            });
            answer.send((outcome, is_completed)).unwrap();
        });
    });
    told.recv_timeout(HANGS).expect("an outcome")
}

#[test]
fn a_confirmed_read_sees_what_was_recorded_before_it_at_any_member() {
    let w = world(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    let members = [&n1, &n2, &n3];
    for n in 0..60 {
        let key = format!("k{n}");
        assert_eq!(n1.ask_until_told(1, &key, &start()), ClaimOutcome::Granted);
        assert_eq!(
            n1.ask_until_told(1, &key, &Operation::Done("R".into())),
            ClaimOutcome::Recorded
        );
        // At a member that follows the replica is behind until the read has waited for it.
        assert_eq!(
            confirmed_read(members[n % 3], &key),
            (ReadOutcome::Confirmed, true),
            "{key}"
        );
    }
    // Alone, a member that has it all cannot know that.
    drop((n1, n2));
    let (outcome, _) = confirmed_read(&n3, "k0");
    assert_eq!(outcome, ReadOutcome::Unconfirmed);
}
