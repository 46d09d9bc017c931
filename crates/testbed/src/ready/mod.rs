//! Processes that are restarted all at once, and how long each takes until it is ready.
//!
//! A process is ready once it listens, is in the list of the service registry, and has served its first request, with
//! the work done by an agent. Forwarders report to nobody; where the registry does not answer, nobody is in its list,
//! and a node is ready once it listens and answers: it must get into the list once the registry is back. Agents and the
//! registry are stand-ins and keep running: what is restarted are nodes and forwarders.

mod client;
mod fleet;
mod options;
mod process;
mod registry;
mod report;
mod setup;

pub use options::{ConfigFormat, Discovery, Options, StopMode};
pub use process::Kind;
pub use report::{write_report, KindReport, Report, Times};

use fleet::Fleet;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Nine in ten processes must be ready by then.
pub const READY_TARGET: Duration = Duration::from_secs(10);
/// Between two looks whether a process listens: a measured time is so much too long at the most.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// From the signal to drain to the kill, as nodes and forwarders are configured.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts all, restarts them at once, and reports how long each took.
///
/// # Errors
/// If the run could not be set up.
pub async fn play(options: &Options, folder: &Path) -> io::Result<Report> {
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
        report.back_in_list = times.iter().flatten().count();
        report.back = Some(Times::of(times));
    }
    report.early_reports = fleet.registry.early_reports();
    fleet.stop(StopMode::Term, &mut report.process_faults).await;
    Ok(report)
}
