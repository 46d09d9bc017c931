//! Members on loopback, each with its own thread, runtime and disk: an outcome recorded at one member is known at the
//! others, across restarts, lost disks and the loss of a majority.

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
use world::{completed, start_operation, test_cluster, HANG_TIMEOUT};

#[test]
fn outcome_recorded_at_one_member_is_known_at_the_others_and_after_restarts() {
    let cluster = test_cluster(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| cluster.start_member(name));
    cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
    assert_eq!(
        n1.execute_until_outcome(1, "a", &start_operation()),
        ClaimOutcome::Granted
    );
    assert_eq!(
        n2.execute_until_outcome(2, "a", &start_operation()),
        ClaimOutcome::InProgress
    );
    assert_eq!(
        n1.execute_until_outcome(1, "a", &Operation::Done("R".into())),
        ClaimOutcome::Recorded
    );
    assert_eq!(
        n3.execute_until_outcome(3, "a", &start_operation()),
        completed("R")
    );
    // One member stops and restarts with its disk; meanwhile the others continue without it.
    drop(n2);
    assert_eq!(
        n3.execute_until_outcome(4, "b", &start_operation()),
        ClaimOutcome::Granted
    );
    let n2 = cluster.start_member("n2");
    assert_eq!(
        n2.execute_until_outcome(5, "b", &start_operation()),
        ClaimOutcome::InProgress
    );
    assert_eq!(
        n3.execute_until_outcome(4, "b", &Operation::Failed(true)),
        ClaimOutcome::Recorded
    );
    assert_eq!(
        n2.execute_until_outcome(5, "b", &start_operation()),
        ClaimOutcome::Indeterminate
    );
    // All members stop and restart.
    drop((n1, n2, n3));
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| cluster.start_member(name));
    cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
    assert_eq!(
        n2.execute_until_outcome(6, "a", &start_operation()),
        completed("R")
    );
}

#[test]
fn request_at_a_minority_times_out_and_its_start_does_not_block_the_key() {
    let cluster = test_cluster(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| cluster.start_member(name));
    cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
    drop((n2, n3));
    assert_eq!(
        n1.execute(1, "a", start_operation(), Duration::from_millis(300)),
        None
    );
    let [n2, n3] = ["n2", "n3"].map(|name| cluster.start_member(name));
    cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
    // The start that timed out is withdrawn, whether or not it was written meanwhile.
    let started_at = Instant::now();
    while n2.execute_until_outcome(2, "a", &start_operation()) != ClaimOutcome::Granted {
        assert!(
            started_at.elapsed() < HANG_TIMEOUT,
            "the key is still blocked"
        );
    }
    assert_eq!(
        n1.execute_until_outcome(1, "a", &start_operation()),
        ClaimOutcome::InProgress
    );
}

#[test]
fn member_with_an_emptied_disk_joins_as_a_voter_and_gets_all_entries() {
    let cluster = test_cluster(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| cluster.start_member(name));
    cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
    for n in 0..20 {
        assert_eq!(
            n1.execute_until_outcome(n, &format!("k{n}"), &start_operation()),
            ClaimOutcome::Granted
        );
        assert_eq!(
            n1.execute_until_outcome(n, &format!("k{n}"), &Operation::Done("R".into())),
            ClaimOutcome::Recorded
        );
    }
    drop(n3);
    std::fs::remove_dir_all(cluster.folder(2)).unwrap();
    let n3 = cluster.start_member("n3");
    let started_at = Instant::now();
    let votes_in_all_shards = |group: &ClusterMember| {
        group.inspect(|member| {
            let own = member.disk();
            let has_all_members = |config: &rainstand_raft::Membership| {
                config.is_voter(own) && config.members.len() == 3
            };
            member.shards().count() == 2
                && member.shards().all(|view| {
                    view.replica.is_membership_committed()
                        && has_all_members(view.replica.membership())
                })
        })
    };
    while !n3.inspect(move |group| votes_in_all_shards(group)) {
        assert!(
            started_at.elapsed() < HANG_TIMEOUT,
            "n3 did not become a voter"
        );
    }
    // n3 votes: with n3 and one other member all results are available.
    drop(n1);
    for n in 0..20 {
        assert_eq!(
            n3.execute_until_outcome(100 + n, &format!("k{n}"), &start_operation()),
            completed("R")
        );
    }
    drop(n2);
}

#[test]
fn recovery_after_the_loss_of_a_majority_keeps_the_remaining_entries() {
    let cluster = test_cluster(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| cluster.start_member(name));
    cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
    assert_eq!(
        n2.execute_until_outcome(1, "a", &start_operation()),
        ClaimOutcome::Granted
    );
    assert_eq!(
        n2.execute_until_outcome(1, "a", &Operation::Done("R".into())),
        ClaimOutcome::Recorded
    );
    assert_eq!(
        n2.execute_until_outcome(2, "b", &start_operation()),
        ClaimOutcome::Granted
    );
    // n1 must hold all entries before it is the only remaining member.
    let started_at = Instant::now();
    let has_state = |group: &ClusterMember, key: &str, state_name: &str| {
        group.inspect(|member| {
            member
                .key_state(key.as_bytes())
                .state
                .is_some_and(|state| state.state_name() == state_name)
        })
    };
    while !n1
        .inspect(move |group| has_state(group, "a", "known") && has_state(group, "b", "started"))
    {
        assert!(started_at.elapsed() < HANG_TIMEOUT, "n1 is still behind");
    }
    drop((n1, n2, n3));
    std::fs::remove_dir_all(cluster.folder(1)).unwrap();
    let alone = cluster.start_member("n1");
    assert_eq!(
        alone.execute(3, "c", start_operation(), Duration::from_millis(300)),
        None
    );
    drop(alone);
    let report = recovery::recover(&cluster.folder(0), "n1", RecoveryMode::Report).unwrap();
    assert!(
        report.missing.is_empty() && report.shards.iter().any(|shard| shard.started == ["b"]),
        "{report:?}"
    );
    recovery::recover(&cluster.folder(0), "n1", RecoveryMode::AcceptLoss).unwrap();
    let n1 = cluster.start_member("n1");
    assert_eq!(
        n1.execute_until_outcome(4, "a", &start_operation()),
        completed("R")
    );
    assert_eq!(
        n1.execute_until_outcome(4, "b", &start_operation()),
        ClaimOutcome::InProgress
    );
    // n2 starts with an empty disk, n3 with its old one, which is quarantined: both get all entries again.
    let [n2, n3] = ["n2", "n3"].map(|name| cluster.start_member(name));
    assert_eq!(
        n2.execute_until_outcome(5, "a", &start_operation()),
        completed("R")
    );
    assert_eq!(
        n3.execute_until_outcome(6, "a", &start_operation()),
        completed("R")
    );
    let quarantines = n3.inspect(|group| group.quarantines());
    assert_eq!(quarantines, 1);
}

#[test]
fn member_added_to_a_running_group_becomes_a_voter_of_its_shards() {
    let mut cluster = test_cluster(4);
    cluster.group.shards = 4;
    let all = cluster.group.clone();
    cluster.group.members.truncate(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| cluster.start_member(name));
    cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
    for n in 0..20 {
        assert_eq!(
            n1.execute_until_outcome(n, &format!("k{n}"), &start_operation()),
            ClaimOutcome::Granted
        );
        assert_eq!(
            n1.execute_until_outcome(n, &format!("k{n}"), &Operation::Done("R".into())),
            ClaimOutcome::Recorded
        );
    }
    cluster.group = all.clone();
    let n4 = cluster.start_member("n4");
    for member in [&n1, &n2, &n3] {
        let (all, mut other) = (all.clone(), all.clone());
        other.name = "another".into();
        member
            .run_job(move |group, sender| {
                assert!(group.set_members(&other).is_err());
                assert!(sender.send(group.set_members(&all)).is_ok());
            })
            .recv_timeout(HANG_TIMEOUT)
            .unwrap()
            .unwrap();
    }
    let expected_shards: usize = {
        let names: Vec<MemberPlacement> = all
            .members
            .iter()
            .map(|member| MemberPlacement {
                name: member.name.clone(),
                site: member.site.clone(),
            })
            .collect();
        (0..4)
            .filter(|shard| {
                holders(&names, *shard, 3)
                    .iter()
                    .any(|index| names[*index].name == "n4")
            })
            .count()
    };
    let started_at = Instant::now();
    let voter_shards = |group: &ClusterMember| {
        group.inspect(|member| {
            let own = member.disk();
            member
                .shards()
                .filter(|view| {
                    view.replica.is_membership_committed()
                        && view.replica.membership().is_voter(own)
                })
                .count()
        })
    };
    while n4.inspect(move |group| voter_shards(group)) < expected_shards {
        assert!(
            started_at.elapsed() < HANG_TIMEOUT,
            "n4 did not get its shards"
        );
    }
    assert!(expected_shards > 0);
    for n in 0..20 {
        assert_eq!(
            n4.execute_until_outcome(100 + n, &format!("k{n}"), &start_operation()),
            completed("R")
        );
    }
}

#[test]
fn copied_disk_of_another_member_is_quarantined_and_both_members_continue() {
    let cluster = test_cluster(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| cluster.start_member(name));
    cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
    assert_eq!(
        n1.execute_until_outcome(1, "a", &start_operation()),
        ClaimOutcome::Granted
    );
    assert_eq!(
        n1.execute_until_outcome(1, "a", &Operation::Done("R".into())),
        ClaimOutcome::Recorded
    );
    drop((n2, n3));
    for file in std::fs::read_dir(cluster.folder(2)).unwrap() {
        std::fs::remove_file(file.unwrap().path()).unwrap();
    }
    for file in std::fs::read_dir(cluster.folder(1)).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), cluster.folder(2).join(file.file_name())).unwrap();
    }
    let [n2, n3] = ["n2", "n3"].map(|name| cluster.start_member(name));
    assert_eq!(
        n3.execute_until_outcome(2, "a", &start_operation()),
        completed("R")
    );
    assert_eq!(
        n2.execute_until_outcome(3, "a", &start_operation()),
        completed("R")
    );
    let disks = [&n2, &n3].map(|member| {
        member.inspect(|group| (group.inspect(|member| member.disk()), group.quarantines()))
    });
    assert!(
        disks[0].0 != disks[1].0 && disks[0].1 == 0 && disks[1].1 == 1,
        "{disks:?}"
    );
}

/// The outcome of a read of a key's shard at a member, and whether its replica holds the key's result afterwards.
fn confirmed_read(member: &world::RunningMember, key: &str) -> (ReadOutcome, bool) {
    let key = key.to_owned();
    let outcomes = member.run_job(move |group, sender| {
        tokio::task::spawn_local(async move {
            let shard = group.inspect(|member| member.key_state(key.as_bytes()).shard);
            let outcome = group.confirm_read(shard, Duration::from_secs(2)).await;
            let is_completed = group.inspect(|member| {
                let state = member.key_state(key.as_bytes()).state;
                state.is_some_and(|state| state.state_name() == "known")
            });
            sender.send((outcome, is_completed)).unwrap();
        });
    });
    outcomes
        .recv_timeout(HANG_TIMEOUT)
        .expect("the read did not end")
}

#[test]
fn confirmed_read_at_any_member_returns_earlier_results() {
    let cluster = test_cluster(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| cluster.start_member(name));
    cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
    let members = [&n1, &n2, &n3];
    for n in 0..60 {
        let key = format!("k{n}");
        assert_eq!(
            n1.execute_until_outcome(1, &key, &start_operation()),
            ClaimOutcome::Granted
        );
        assert_eq!(
            n1.execute_until_outcome(1, &key, &Operation::Done("R".into())),
            ClaimOutcome::Recorded
        );
        // A follower's replica may be behind until the read has waited for it.
        assert_eq!(
            confirmed_read(members[n % 3], &key),
            (ReadOutcome::Confirmed, true),
            "{key}"
        );
    }
    // A member without a majority cannot confirm a read, even if it holds all entries.
    drop((n1, n2));
    let (outcome, _) = confirmed_read(&n3, "k0");
    assert_eq!(outcome, ReadOutcome::Unconfirmed);
}
