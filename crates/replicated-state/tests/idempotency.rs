//! Outcomes of commands on idempotency keys and registers, case by case.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use bytes::Bytes;
use rainstand_replicated_state::idempotency::{
    Claim, ClaimOutcome, Command, IdempotencyTable, Operation, Register, Start,
};

fn claim(n: u64) -> Claim {
    Claim {
        holder: n,
        trace: Bytes::from(vec![n as u8; 16]),
    }
}

fn command(by: u64, operation: Operation) -> Command {
    Command {
        key: Bytes::from_static(b"K"),
        claim: claim(by),
        operation: Some(operation),
    }
}

fn start(by: u64, fingerprint: u64) -> Command {
    command(
        by,
        Operation::Start(Start {
            fingerprint,
            window_ns: 100,
        }),
    )
}

fn done(by: u64) -> Command {
    command(by, Operation::Done(Bytes::from_static(b"R")))
}

fn completed() -> ClaimOutcome {
    ClaimOutcome::Completed(Bytes::from_static(b"R"))
}

#[test]
fn each_command_on_a_key_has_the_outcome_of_the_state_table() {
    let withdraw = |by| command(by, Operation::Withdraw(true));
    let failed = |by| command(by, Operation::Failed(true));
    type Case = (&'static str, Vec<(u64, Command, ClaimOutcome)>);
    let table: Vec<Case> = vec![
        (
            "a run and a repeat",
            vec![
                (0, start(1, 5), ClaimOutcome::Granted),
                (1, start(1, 5), ClaimOutcome::Granted),
                (2, start(2, 5), ClaimOutcome::InProgress),
                (3, done(1), ClaimOutcome::Recorded),
                (4, done(1), ClaimOutcome::Recorded),
                (5, start(2, 5), completed()),
                (6, start(1, 5), completed()),
            ],
        ),
        (
            "another fingerprint, in each state",
            vec![
                (0, start(1, 5), ClaimOutcome::Granted),
                (1, start(2, 6), ClaimOutcome::KeyMismatch),
                (2, done(1), ClaimOutcome::Recorded),
                (3, start(2, 6), ClaimOutcome::KeyMismatch),
            ],
        ),
        (
            "a start that is withdrawn, and its delayed repetition",
            vec![
                (0, start(1, 5), ClaimOutcome::Granted),
                (1, withdraw(1), ClaimOutcome::Recorded),
                (2, start(1, 5), ClaimOutcome::Withdrawn),
                (3, start(2, 5), ClaimOutcome::Granted),
                (4, start(1, 5), ClaimOutcome::InProgress),
                (5, withdraw(2), ClaimOutcome::Recorded),
                (6, start(2, 5), ClaimOutcome::Withdrawn),
                (7, start(1, 5), ClaimOutcome::Withdrawn),
                (8, start(3, 6), ClaimOutcome::Granted),
            ],
        ),
        (
            "withdrawn before it arrived",
            vec![
                (0, withdraw(1), ClaimOutcome::Recorded),
                (1, start(1, 5), ClaimOutcome::Withdrawn),
                (2, start(2, 5), ClaimOutcome::Granted),
            ],
        ),
        (
            "a withdrawal does not affect the run of another claim",
            vec![
                (0, start(1, 5), ClaimOutcome::Granted),
                (1, withdraw(2), ClaimOutcome::Recorded),
                (2, start(2, 5), ClaimOutcome::InProgress),
                (3, done(1), ClaimOutcome::Recorded),
                (4, withdraw(1), ClaimOutcome::Recorded),
                (5, start(2, 5), completed()),
            ],
        ),
        (
            "an end without a result, and a result after all",
            vec![
                (0, start(1, 5), ClaimOutcome::Granted),
                (1, failed(2), ClaimOutcome::NotHeld),
                (2, failed(1), ClaimOutcome::Recorded),
                (3, start(2, 5), ClaimOutcome::Indeterminate),
                (4, done(1), ClaimOutcome::Recorded),
                (5, start(2, 5), completed()),
                (6, failed(1), ClaimOutcome::NotHeld),
            ],
        ),
        (
            "expired, then held by another claim",
            vec![
                (0, start(1, 5), ClaimOutcome::Granted),
                (99, start(2, 5), ClaimOutcome::InProgress),
                (100, start(2, 6), ClaimOutcome::Granted),
                (101, done(1), ClaimOutcome::NotHeld),
                (102, done(2), ClaimOutcome::Recorded),
                (201, start(3, 6), completed()),
                (202, start(3, 7), ClaimOutcome::Granted),
            ],
        ),
        (
            "a result after its start expired",
            vec![
                (0, start(1, 5), ClaimOutcome::Granted),
                (150, done(1), ClaimOutcome::NotHeld),
                (151, done(2), ClaimOutcome::NotHeld),
            ],
        ),
    ];
    for (name, steps) in table {
        let mut table = IdempotencyTable::new(10, 50);
        for (k, (stamp, command, wanted)) in steps.into_iter().enumerate() {
            assert_eq!(table.apply(stamp, &command), wanted, "{name}, step {k}");
            let mut again = IdempotencyTable::new(10, 50);
            again.restore(table.snapshot()).unwrap();
            assert_eq!(again.snapshot(), table.snapshot(), "{name}, step {k}");
            assert_eq!(
                table.scheduled_expiry_count(),
                table.len(),
                "{name}, step {k}"
            );
        }
    }
}

#[test]
fn table_stays_within_its_capacity_and_keys_expire() {
    let mut table = IdempotencyTable::new(100, 50);
    let key = |n: u64| Command {
        key: Bytes::from(n.to_be_bytes().to_vec()),
        ..start(n, 5)
    };
    let outcomes: Vec<ClaimOutcome> = (0..300).map(|n| table.apply(n / 3, &key(n))).collect();
    assert_eq!(
        outcomes
            .iter()
            .filter(|outcome| **outcome == ClaimOutcome::Granted)
            .count(),
        100
    );
    assert!(
        outcomes[100..]
            .iter()
            .all(|outcome| *outcome == ClaimOutcome::CapacityExceeded)
            && table.len() == 100
    );
    assert_eq!(table.apply(1_000, &key(999)), ClaimOutcome::Granted);
    (1_000..1_040).for_each(|n| drop(table.apply(n, &key(999))));
    assert!(
        table.len() < 5 && table.expired_count() > 95,
        "{} {}",
        table.len(),
        table.expired_count()
    );
}

#[test]
fn register_is_only_replaced_by_a_later_version() {
    let mut table = IdempotencyTable::new(10, 50);
    let set = |version, data: &'static [u8]| {
        command(
            1,
            Operation::Set(Register {
                version,
                data: Bytes::from_static(data),
            }),
        )
    };
    let steps = [
        (3, &b"c"[..], ClaimOutcome::Recorded),
        (3, b"c", ClaimOutcome::Recorded),
        (3, b"d", ClaimOutcome::NotHeld),
        (2, b"b", ClaimOutcome::NotHeld),
    ];
    for (version, data, wanted) in steps {
        assert_eq!(
            table.apply(0, &set(version, data)),
            wanted,
            "{version} {data:?}"
        );
    }
    assert_eq!(
        table.register(b"K").map(|register| register.version),
        Some(3)
    );
}
