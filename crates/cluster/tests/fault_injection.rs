//! Clocks and disks that fail on purpose.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_cluster::fault_injection::{fault_hook, Clock, SkewedClock, STEP_DELAY};
use std::time::{Duration, Instant};

#[test]
fn a_skewed_clock_never_goes_back_and_runs_at_its_rate() {
    let start = Instant::now();
    let fast = SkewedClock::new(1_500, Duration::from_secs(3_600));
    let mut before = Duration::ZERO;
    while start.elapsed() < STEP_DELAY + Duration::from_millis(20) {
        let now = fast.now();
        assert!(now >= before);
        before = now;
    }
    assert!(before > Duration::from_secs(3_600));
    assert_eq!(
        fast.real(Duration::from_millis(150)),
        Duration::from_millis(100)
    );
}

#[test]
fn a_disk_fails_as_the_file_asks_at_that_moment() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("testing");
    let fault = fault_hook(path.clone());
    assert!(fault().is_ok());
    std::fs::write(&path, "clock 1500 0\nflush-fails\n").unwrap();
    assert!(fault().is_err());
    std::fs::write(&path, "").unwrap();
    assert!(fault().is_ok());
}
