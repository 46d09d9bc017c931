//! Signals in series, and what the system reports about a process.

use crate::process::Process;
use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use std::fs;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const POLL_INTERVAL: Duration = Duration::from_micros(200);
/// Time limit for a process to install its signal handlers after its start.
const HANDLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends `count` random signals one after the other, about half of them with a pause of up to 3 ms; returns `count`.
pub async fn send_series(
    process: &Process,
    random: &mut WyRand,
    signals: &[Signal],
    count: u64,
) -> u64 {
    for _ in 0..count {
        let index = random.generate_range(0..signals.len());
        process.signal(signals[index]);
        if random.generate_range(0..2u32) == 0 {
            sleep(Duration::from_micros(random.generate_range(0..3_000))).await;
        }
    }
    count
}

/// Waits until the process handles SIGHUP, which kills it before that; returns false if it does not in time.
pub async fn wait_for_handlers(process: &mut Process) -> bool {
    let started = Instant::now();
    while started.elapsed() < HANDLER_TIMEOUT {
        if handles_hangup(process) {
            return true;
        }
        if process.ended().is_some() {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

fn handles_hangup(process: &Process) -> bool {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let mask = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    // SIGHUP is signal 1, the lowest bit.
    mask.is_some_and(|mask| mask & 1 == 1)
}

/// Number of open descriptors of a process.
pub fn open_descriptors(process: &Process) -> usize {
    fs::read_dir(format!("/proc/{}/fd", process.id())).map_or(0, Iterator::count)
}

/// Peak resident memory of a process in kilobytes.
pub fn peak_memory_kb(process: &Process) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|text| text.trim().strip_suffix(" kB")?.trim().parse().ok());
    peak.unwrap_or(0)
}
