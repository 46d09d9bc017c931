//! Published versions by table: what each command of the log makes of them, on a copy and on one that was restored.

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

/// Tenants of a share that tells versions apart.
fn with(tenants: u32, share: u32) -> Configuration {
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

/// A version is made from the newest one or refused, and whoever asks twice is told the same.
#[test]
fn each_command_makes_the_next_version_or_is_told_why_not() {
    let states: Vec<ConfigState> = (0..4)
        .map(|k| ConfigState::from_configuration(&with(3, k)).unwrap())
        .collect();
    let made =
        |from: u64, head: &ConfigState, share| Publish::of(head, from, &with(3, share)).unwrap();
    let first = made(0, &ConfigState::default(), 0);
    let second = made(1, &states[0], 1);
    let other = made(1, &states[0], 2);
    let later = made(7, &states[1], 3);
    let wrong_digest = {
        let mut delta = states[1].delta_to(2, 3, &with(3, 3)).unwrap();
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
        whole: Bytes::from_static(&[0xff; 9]),
        ..Publish::default()
    };
    let skips = {
        let delta = states[1].delta_to(2, 4, &with(3, 3)).unwrap();
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
    // The command, the newest version after it, and what is told.
    let table: Vec<(&str, Publish, u64, &str)> = vec![
        (
            "made from something before anything was",
            made(1, &states[0], 1),
            0,
            "conflict",
        ),
        ("the first", first.clone(), 1, "noted"),
        (
            "the first again, as no answer was heard",
            first.clone(),
            1,
            "noted",
        ),
        ("the second", second.clone(), 2, "noted"),
        ("another second, of who did not know", other, 2, "conflict"),
        (
            "the second again, taken at another time",
            Publish {
                at_ms: 77,
                ..second
            },
            2,
            "noted",
        ),
        (
            "made from a version that is not there yet",
            later,
            2,
            "conflict",
        ),
        ("what leads to another digest", wrong_digest, 2, "refused"),
        ("bytes that are no change", unreadable, 2, "refused"),
        ("bytes that are no whole", no_snapshot, 2, "refused"),
        ("a number left out", skips, 2, "conflict"),
        ("too large", large, 2, "refused"),
        ("the third", third, 3, "noted"),
        ("the first, very late", first, 3, "noted"),
    ];
    let mut copy = IdempotencyTable::new(10, 50);
    let mut newest = ConfigState::default();
    for (what, publish, version, wanted) in table {
        let mut again = restored(&copy);
        let command = command(publish);
        let told = copy.apply(1, &command);
        let word = match &told {
            ClaimOutcome::Recorded => "noted",
            ClaimOutcome::Conflict(_) => "conflict",
            ClaimOutcome::Rejected(_) => "refused",
            _ => "another",
        };
        assert_eq!(
            (word, copy.versions().version()),
            (wanted, version),
            "{what}: {told:?}"
        );
        assert_eq!(
            (again.apply(1, &command), again.snapshot()),
            (told, copy.snapshot()),
            "{what}"
        );
        if word == "noted" {
            newest = copy.versions().state().clone();
        }
        // What was not taken changed nothing.
        assert_eq!(copy.versions().state(), &newest, "{what}");
    }
    assert_eq!(newest.configuration().unwrap(), with(3, 3));
    let numbers: Vec<u64> = copy
        .versions()
        .since(1)
        .unwrap()
        .map(|change| change.delta.to)
        .collect();
    assert_eq!(numbers, [2, 3]);
}

/// A first version of this size goes packed, a change of it as a change.
#[test]
fn a_large_version_goes_packed_and_a_change_of_it_does_not() {
    let mut copy = IdempotencyTable::new(10, 50);
    let mut wanted = with(20_000, 0);
    let whole = Publish::of(&ConfigState::default(), 0, &wanted).unwrap();
    assert!(
        whole.delta.is_empty() && whole.whole.len() <= MAX_CHANGE_BYTES,
        "{}",
        whole.whole.len()
    );
    assert_eq!(copy.apply(1, &command(whole)), ClaimOutcome::Recorded);
    wanted.tenants[7].share = 9;
    let change = Publish::of(copy.versions().state(), 1, &wanted).unwrap();
    assert!(
        change.whole.is_empty() && change.delta.len() < 200,
        "{}",
        change.delta.len()
    );
    assert_eq!(copy.apply(1, &command(change)), ClaimOutcome::Recorded);
    assert_eq!(
        restored(&copy).versions().state().configuration().unwrap(),
        wanted
    );
}

/// The oldest changes are folded into the base: what is kept is bounded, and what it says stays right.
#[test]
fn the_history_is_bounded_and_leads_from_its_base_to_the_newest() {
    let mut copy = IdempotencyTable::new(10, 50);
    for k in 0..4_200 {
        let publish = Publish::of(copy.versions().state(), u64::from(k), &with(2, k)).unwrap();
        assert_eq!(copy.apply(1, &command(publish)), ClaimOutcome::Recorded);
    }
    for copy in [&copy, &restored(&copy)] {
        let all = copy.versions();
        let (base, state) = all.base();
        assert_eq!((all.version(), base), (4_200, 4_200 - 4_096));
        assert!(all.since(base - 1).is_none() && all.since(4_201).is_none());
        let mut state = state.clone();
        assert_eq!(state.configuration().unwrap(), with(2, base as u32 - 1));
        all.since(base)
            .unwrap()
            .for_each(|change| state.apply(&change.delta).unwrap());
        assert_eq!(&state, all.state());
        assert_eq!(all.since(4_200).unwrap().count(), 0);
    }
}
