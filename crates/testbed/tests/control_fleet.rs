//! A small fleet that takes versions of its configuration, on a virtual clock: what is asked of the large
//! one, as counts and virtual times, the same on every run.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_test_servers::size::Limited;
use rainstand_testbed::scale::control::{watch, FleetSpec, Outage, MACHINES};
use rainstand_testbed::scale::{decisions, Sizes};
use std::time::Duration;

const EVERY: Duration = Duration::from_millis(600);

#[test]
fn a_change_is_everywhere_in_time_whatever_is_gone() {
    let configuration =
        decisions::compiled(&Sizes::default().configuration(0.005, Limited::Tenants)).unwrap();
    let (nodes, changes) = (60, 30);
    let away = Duration::from_secs(10);
    // Seconds for the last confirmation. With a machine gone: it is found out at once, since its links end,
    // and the next one is attached to within 2 s. With all gone for 10 s: waits have grown to 8 s when they
    // are back.
    let cases = [
        (Outage::None, 0.3),
        (Outage::OneKilled, 3.0),
        (Outage::AllKilled(away), 10.0 + 8.0 + 1.0),
        // The region's return: whoever hops between its own machines is attached again within 8 s.
        (Outage::Partitioned, 12.0),
    ];
    for (outage, most) in cases {
        let seen = watch(
            &FleetSpec {
                nodes,
                changes,
                every: EVERY,
                outage,
            },
            &configuration,
        )
        .unwrap();
        let worst = seen.within(1.0).unwrap();
        println!("{outage:?}: worst {worst} s, {} B/s, {seen:?}", seen.bytes);
        assert_eq!(seen.confirmed.len(), nodes * changes, "{outage:?}");
        assert!(
            worst <= most,
            "{outage:?}: the last confirmation after {worst} s"
        );
        assert_eq!(
            seen.snapshots, 0,
            "{outage:?}: a delta does for all of them"
        );
        assert!(seen.most_attached <= nodes, "{outage:?}");
        // A change of one thing, confirmed, a ping in 2 s: far from the whole, which is some kilobytes even
        // here.
        assert!(
            seen.most_bytes < 400.0,
            "{outage:?}: {} B/s",
            seen.most_bytes
        );
    }
    assert_eq!(MACHINES, 6);
}
