//! Published versions, case by case: the outcome of each command of the log, on a table and on a restored one.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use bytes::Bytes;
use prost::Message as _;
use rainstand_config::schema::{Configuration, Tenant};
use rainstand_config_distribution::delta::ConfigState;
use rainstand_replicated_state::idempotency::{
    Claim, ClaimOutcome, Command, IdempotencyTable, Operation,
};
use rainstand_replicated_state::versions::{Publish, MAX_CHANGE_BYTES};

/// A configuration whose tenants' shares tell versions apart.
fn configuration(tenants: u32, share: u32) -> Configuration {
    let tenant = |k| Tenant {
        name: format!("tenant-{k}"),
        share: u64::from(share + k),
        ..Tenant::default()
    };
    let tenants = (0..tenants).map(tenant).collect();
    let mut made = Configuration {
        version: 1,
        tenants,
        ..Configuration::default()
    };
    made.put_in_order();
    made
}

fn command(publish: Publish) -> Command {
    let claim = Claim {
        holder: 1,
        trace: Bytes::from_static(&[0; 16]),
    };
    Command {
        key: Bytes::from_static(b"configuration"),
        claim,
        operation: Some(Operation::Publish(publish)),
    }
}

fn restored(table: &IdempotencyTable) -> IdempotencyTable {
    let mut again = IdempotencyTable::new(10, 50);
    again.restore(table.snapshot()).unwrap();
    assert_eq!(again.versions(), table.versions());
    assert_eq!(again.snapshot(), table.snapshot());
    again
}

/// A version is made from the newest one or not accepted, and a repeated command has the same outcome.
#[test]
fn each_command_makes_the_next_version_or_is_rejected_with_a_reason() {
    let states: Vec<ConfigState> = (0..4)
        .map(|k| ConfigState::from_configuration(&configuration(3, k)).unwrap())
        .collect();
    let made = |from: u64, head: &ConfigState, share| {
        Publish::from_configuration(head, from, &configuration(3, share)).unwrap()
    };
    let first = made(0, &ConfigState::default(), 0);
    let second = made(1, &states[0], 1);
    let other = made(1, &states[0], 2);
    let later = made(7, &states[1], 3);
    let wrong_digest = {
        let mut delta = states[1].delta_to(2, 3, &configuration(3, 3)).unwrap();
        delta.digest += 1;
        Publish {
            from: 2,
            delta: delta.encode_to_vec().into(),
            ..Publish::default()
        }
    };
    let unreadable = Publish {
        from: 2,
        delta: Bytes::from_static(&[0xff; 9]),
        ..Publish::default()
    };
    let no_snapshot = Publish {
        from: 2,
        snapshot: Bytes::from_static(&[0xff; 9]),
        ..Publish::default()
    };
    let skips = {
        let delta = states[1].delta_to(2, 4, &configuration(3, 3)).unwrap();
        Publish {
            from: 2,
            delta: delta.encode_to_vec().into(),
            ..Publish::default()
        }
    };
    let large = Publish {
        from: 2,
        delta: vec![0; MAX_CHANGE_BYTES + 1].into(),
        ..Publish::default()
    };
    let third = made(2, &states[1], 3);
    // The command, the newest version after it, and the outcome.
    let table: Vec<(&str, Publish, u64, &str)> = vec![
        (
            "made from version 1 before anything was published",
            made(1, &states[0], 1),
            0,
            "conflict",
        ),
        ("the first", first.clone(), 1, "recorded"),
        (
            "the first again, as no response was received",
            first.clone(),
            1,
            "recorded",
        ),
        ("the second", second.clone(), 2, "recorded"),
        (
            "another second, by an author who did not know the second",
            other,
            2,
            "conflict",
        ),
        (
            "the second again, received at another time",
            Publish {
                published_at_ms: 77,
                ..second
            },
            2,
            "recorded",
        ),
        (
            "made from a version that is not there yet",
            later,
            2,
            "conflict",
        ),
        ("a delta with a wrong digest", wrong_digest, 2, "rejected"),
        ("bytes that are no change", unreadable, 2, "rejected"),
        ("bytes that are no snapshot", no_snapshot, 2, "rejected"),
        ("a number left out", skips, 2, "conflict"),
        ("too large", large, 2, "rejected"),
        ("the third", third, 3, "recorded"),
        ("the first, very late", first, 3, "recorded"),
    ];
    let mut copy = IdempotencyTable::new(10, 50);
    let mut newest = ConfigState::default();
    for (what, publish, version, wanted) in table {
        let mut restored_copy = restored(&copy);
        let command = command(publish);
        let outcome = copy.apply(1, &command);
        let class = match &outcome {
            ClaimOutcome::Recorded => "recorded",
            ClaimOutcome::Conflict(_) => "conflict",
            ClaimOutcome::Rejected(_) => "rejected",
            _ => "another",
        };
        assert_eq!(
            (class, copy.versions().version()),
            (wanted, version),
            "{what}: {outcome:?}"
        );
        assert_eq!(
            (restored_copy.apply(1, &command), restored_copy.snapshot()),
            (outcome, copy.snapshot()),
            "{what}"
        );
        if class == "recorded" {
            newest = copy.versions().state().clone();
        }
        // A command that was not recorded changed nothing.
        assert_eq!(copy.versions().state(), &newest, "{what}");
    }
    assert_eq!(newest.configuration().unwrap(), configuration(3, 3));
    let numbers: Vec<u64> = copy
        .versions()
        .changes_since(1)
        .unwrap()
        .map(|change| change.delta.to)
        .collect();
    assert_eq!(numbers, [2, 3]);
}

/// A first version of this size is sent packed, a small change of it as a delta.
#[test]
fn large_version_is_sent_as_a_packed_snapshot_and_its_change_as_a_delta() {
    let mut copy = IdempotencyTable::new(10, 50);
    let mut wanted = configuration(20_000, 0);
    let first = Publish::from_configuration(&ConfigState::default(), 0, &wanted).unwrap();
    assert!(
        first.delta.is_empty() && first.snapshot.len() <= MAX_CHANGE_BYTES,
        "{}",
        first.snapshot.len()
    );
    assert_eq!(copy.apply(1, &command(first)), ClaimOutcome::Recorded);
    wanted.tenants[7].share = 9;
    let change = Publish::from_configuration(copy.versions().state(), 1, &wanted).unwrap();
    assert!(
        change.snapshot.is_empty() && change.delta.len() < 200,
        "{}",
        change.delta.len()
    );
    assert_eq!(copy.apply(1, &command(change)), ClaimOutcome::Recorded);
    assert_eq!(
        restored(&copy).versions().state().configuration().unwrap(),
        wanted
    );
}

/// The oldest changes are applied to the base: the history is bounded, and still leads to the newest version.
#[test]
fn history_is_bounded_and_leads_from_its_base_to_the_newest_version() {
    let mut copy = IdempotencyTable::new(10, 50);
    for k in 0..4_200 {
        let publish = Publish::from_configuration(
            copy.versions().state(),
            u64::from(k),
            &configuration(2, k),
        )
        .unwrap();
        assert_eq!(copy.apply(1, &command(publish)), ClaimOutcome::Recorded);
    }
    for copy in [&copy, &restored(&copy)] {
        let all = copy.versions();
        let base = all.base().version;
        assert_eq!((all.version(), base), (4_200, 4_200 - 4_096));
        assert!(all.changes_since(base - 1).is_none() && all.changes_since(4_201).is_none());
        let mut state = all.base().state.clone();
        assert_eq!(
            state.configuration().unwrap(),
            configuration(2, base as u32 - 1)
        );
        all.changes_since(base)
            .unwrap()
            .for_each(|change| state.apply(&change.delta).unwrap());
        assert_eq!(&state, all.state());
        assert_eq!(all.changes_since(4_200).unwrap().count(), 0);
    }
}
