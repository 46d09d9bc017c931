//! Injected clock and disk faults.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_cluster::fault_injection::{fault_hook, Clock, SkewedClock, STEP_DELAY};
use std::time::{Duration, Instant};

#[test]
fn skewed_clock_is_monotonic_and_runs_at_its_configured_rate() {
    let start = Instant::now();
    let fast_clock = SkewedClock::new(1_500, Duration::from_secs(3_600));
    let mut previous = Duration::ZERO;
    while start.elapsed() < STEP_DELAY + Duration::from_millis(20) {
        let now = fast_clock.now();
        assert!(now >= previous);
        previous = now;
    }
    assert!(previous > Duration::from_secs(3_600));
    assert_eq!(
        fast_clock.to_real_time(Duration::from_millis(150)),
        Duration::from_millis(100)
    );
}

#[test]
fn flush_fails_only_while_the_file_specifies_a_fault() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("testing");
    let fault = fault_hook(path.clone());
    assert!(fault().is_ok());
    std::fs::write(&path, "clock 1500 0\nflush-fails\n").unwrap();
    assert!(fault().is_err());
    std::fs::write(&path, "").unwrap();
    assert!(fault().is_ok());
}
