//! Gossip reports merge as a join, and a reader counts each charge once.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_replicated_state::gossip::{GossipReader, GossipReport, GossipReports};
use std::time::Duration;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

fn any_report() -> impl Strategy<Value = GossipReport> {
    let charged_us = proptest::collection::btree_map("[abc]", 0u64..20, 0..3);
    (0u64..3, 0u64..4, charged_us, 0u64..5).prop_map(
        |(epoch, sequence, charged_us, spare_capacity)| GossipReport {
            epoch,
            sequence,
            charged_us,
            spare_capacity,
            disk: 1,
        },
    )
}

fn merged(reports: &[&GossipReport]) -> GossipReport {
    let mut all = reports[0].clone();
    reports[1..].iter().for_each(|report| all.merge(report));
    all
}

#[test]
fn merge_is_commutative_associative_and_idempotent() {
    proptest!(config(), |(a in any_report(), b in any_report(), c in any_report())| {
        prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
        prop_assert_eq!(merged(&[&merged(&[&a, &b]), &c]), merged(&[&a, &merged(&[&b, &c])]));
        prop_assert_eq!(merged(&[&a, &a]), a.clone());
        prop_assert_eq!(merged(&[&a, &b, &a, &b]), merged(&[&a, &b]));
    });
}

fn report(disk: u64, epoch: u64, sequence: u64, charged_us: u64) -> GossipReport {
    GossipReport {
        epoch,
        sequence,
        charged_us: [("t".to_owned(), charged_us)].into(),
        spare_capacity: 0,
        disk,
    }
}

#[test]
fn reader_counts_each_charge_once_across_restarts_and_gaps() {
    let (mut reader, mut reports) = (GossipReader::default(), GossipReports::default());
    let stale = Duration::from_secs(3);
    // Seconds, the report of node 2, what that adds.
    let steps = [
        (0, report(2, 1, 1, 100), 0),
        (1, report(2, 1, 2, 150), 50),
        (1, report(2, 1, 2, 150), 0),
        (2, report(2, 1, 1, 100), 0),
        (3, report(2, 2, 1, 7), 7),
        (4, report(2, 1, 9, 900), 0),
        (5, report(2, 2, 2, 9), 2),
        (60, report(2, 2, 3, 500), 0),
        (61, report(2, 2, 4, 501), 1),
    ];
    for (at, received, wanted) in steps {
        reports.merge(&received);
        reports.merge(&report(1, 1, at, at));
        let added = reader.charges_since_last_read(Duration::from_secs(at), 1, &reports, stale);
        assert_eq!(added.get("t").copied().unwrap_or(0), wanted, "at {at} s");
    }
}
