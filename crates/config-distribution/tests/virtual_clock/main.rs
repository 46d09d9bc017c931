//! Up to six config servers and some hundred subscribers on a virtual clock, with frame loss, delay, duplication, frames
//! of an earlier link, restarts of both sides, partitioned regions, and the failure of all servers. `SEEDS` is the number
//! of seeds that are run, `FIRST` the first of them.
//!
//! Invariants that hold at each step: no version goes back, also at a restart of a process with a disk; none is applied in
//! part; none is acknowledged before it is in force and stored; and the bytes in flight to one subscriber and the
//! attachments to one server stay within their limits. After
//! the faults, all processes hold the newest version with its digest within a bounded time.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod world;

use world::{run_seed, Summary};

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn seeds() -> u64 {
    number("SEEDS").unwrap_or(60)
}

#[test]
fn all_processes_converge_after_faults() {
    let mut all = Summary::default();
    let first = number("FIRST").unwrap_or(0);
    for seed in first..first + seeds() {
        let summary = run_seed(seed);
        all.applied += summary.applied;
        all.divergences += summary.divergences;
        all.gaps += summary.gaps;
        all.rejections += summary.rejections;
        all.failed_writes += summary.failed_writes;
        all.resumed_transfers += summary.resumed_transfers;
        all.max_excess_bytes = all.max_excess_bytes.max(summary.max_excess_bytes);
        all.max_dials = all.max_dials.max(summary.max_dials);
        all.settled = all.settled.max(summary.settled);
    }
    println!("{} seeds: {all:?}", seeds());
    // Each kind of fault occurred.
    assert!(
        all.applied > 0
            && all.divergences > 0
            && all.gaps > 0
            && all.rejections > 0
            && all.failed_writes > 0
            && all.resumed_transfers > 0,
        "{all:?}"
    );
}

/// Each planted bug is found by the check that is meant to find it.
#[cfg(feature = "planted")]
#[test]
fn planted_bugs_are_found() {
    use rainstand_config_distribution::planted_bugs::{plant, PlantedBug};
    let expected_failure = |bug: PlantedBug| match bug {
        PlantedBug::DeltaOverGap | PlantedBug::HistoryOffByOne => "something differed",
        PlantedBug::DigestIgnored => "in force in part",
        PlantedBug::EarlyAck => "confirmed before it was in force",
        PlantedBug::NoJitter => "came to one server",
        PlantedBug::UnstoredAck => "confirmed before it was stored",
    };
    for bug in PlantedBug::ALL {
        let mut found = None;
        for seed in 0..seeds() {
            plant(Some(bug));
            let played = std::panic::catch_unwind(|| run_seed(seed));
            plant(None);
            if let Err(panic) = played {
                let words = panic.downcast_ref::<String>().cloned();
                found = words.or_else(|| {
                    panic
                        .downcast_ref::<&str>()
                        .map(|words| (*words).to_owned())
                });
                println!("{bug:?}: seed {seed}: {found:?}");
                break;
            }
        }
        let found = found.unwrap_or_else(|| panic!("{bug:?} was not found in {} seeds", seeds()));
        assert!(
            found.contains(expected_failure(bug)),
            "{bug:?} was found by another check: {found}"
        );
    }
}
