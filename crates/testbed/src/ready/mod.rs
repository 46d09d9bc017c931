//! Concurrent restart of many processes, and the time that each takes until it is ready.
//!
//! A process is ready once it listens, is registered in the service registry, and has served its first request with the
//! help of an agent. Forwarders do not register. If the registry does not answer, no node is registered, and a node is
//! ready once it listens and serves; it must register once the registry is back. Agents and the registry are test
//! servers and keep running: only nodes and forwarders are restarted.

mod client;
mod fleet;
mod options;
mod process;
mod registry;
mod report;
mod setup;

pub use options::{ConfigFormat, Discovery, Options, StopMode};
pub use process::Kind;
pub use report::{write_report, KindReport, ReadyTimes, Report};

use fleet::Fleet;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Nine in ten processes must be ready within this time.
pub const READY_TARGET: Duration = Duration::from_secs(10);
/// Interval between two checks whether a process listens; also the largest error of a measured time.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Configured time from the drain signal to the kill of a node or forwarder.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts all processes, restarts them concurrently, and reports how long each took.
///
/// # Errors
/// If the run cannot be set up.
pub async fn run(options: &Options, folder: &Path) -> io::Result<Report> {
    options.check()?;
    let fleet = Fleet::set_up(options, folder).await?;
    let mut report = Report {
        nodes: options.nodes,
        ..Report::default()
    };
    if options.discovery != Discovery::Down {
        let listener = TcpListener::bind(fleet.announce).await?;
        spawn_local(fleet.registry.clone().serve(listener));
    }
    fleet.registry.mode.set(options.discovery);
    report.first = fleet.start(1, &mut report.process_faults).await?;
    report.keys = fleet.store_keys().await?;
    fleet.stop(options.end, &mut report.process_faults).await;
    fleet.registry.clear(fleet.announce).await;
    report.restarted = fleet.start(2, &mut report.process_faults).await?;
    let keys = fleet.check_keys().await;
    (report.keys_checked, report.keys_preserved) = (keys.checked, keys.preserved);
    if options.discovery != Discovery::Up {
        let times = fleet.wait_for_registration().await?;
        report.reregistered_nodes = times.iter().flatten().count();
        report.reregistration_times = Some(ReadyTimes::from_durations(times));
    }
    report.early_reports = fleet.registry.early_reports();
    fleet.stop(StopMode::Term, &mut report.process_faults).await;
    Ok(report)
}
