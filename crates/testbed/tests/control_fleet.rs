//! Configuration distribution to a small hollow fleet on a virtual clock, checked against the requirements of the large
//! fleet. Counts and virtual times are the same on every run.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_test_servers::size::Limited;
use rainstand_testbed::scale::control::{simulate, FleetSpec, Outage, CONFIG_SERVERS};
use rainstand_testbed::scale::{decisions, Sizes};
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(600);

#[test]
fn change_is_confirmed_by_all_nodes_in_time_during_each_outage() {
    let configuration =
        decisions::compiled(&Sizes::default().configuration(0.005, Limited::Tenants)).unwrap();
    let (nodes, changes) = (60, 30);
    let downtime = Duration::from_secs(10);
    // Limits of the last confirmation, in seconds. One config server killed: nodes notice immediately, because their
    // links end, and attach to the next one within 2 s. All killed for 10 s: retry delays have grown to 8 s when they
    // restart.
    let cases = [
        (Outage::None, 0.3),
        (Outage::OneKilled, 3.0),
        (Outage::AllKilled(downtime), 10.0 + 8.0 + 1.0),
        // From the end of the partition: nodes that cycle through their own region's servers re-attach within 8 s.
        (Outage::Partitioned, 12.0),
    ];
    for (outage, max_seconds) in cases {
        let measured = simulate(
            &FleetSpec {
                nodes,
                changes,
                interval: INTERVAL,
                outage,
            },
            &configuration,
        )
        .unwrap();
        let worst = measured.confirmation_time(1.0).unwrap();
        println!(
            "{outage:?}: worst {worst} s, {} B/s, {measured:?}",
            measured.mean_bytes_per_second
        );
        assert_eq!(measured.confirmed.len(), nodes * changes, "{outage:?}");
        assert!(
            worst <= max_seconds,
            "{outage:?}: the last confirmation after {worst} s"
        );
        assert_eq!(
            measured.snapshots, 0,
            "{outage:?}: deltas must be enough for all nodes"
        );
        assert!(measured.max_attachments_per_second <= nodes, "{outage:?}");
        // A small delta, its confirmation, and a ping every 2 s: far less than the complete configuration, which is
        // some kilobytes even here.
        assert!(
            measured.max_bytes_per_second < 400.0,
            "{outage:?}: {} B/s",
            measured.max_bytes_per_second
        );
    }
    assert_eq!(CONFIG_SERVERS, 6);
}
