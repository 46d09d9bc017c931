//! Processes that are restarted all at once, and how long each takes until it is ready.
//!
//! Ready is who listens, is in the list of the announce service, and answered its first ticket, with the work done by
//! an agent. Forwarders report to nobody; where the announce service does not answer, nobody is in its list, and
//! ready is who listens and answers: such nodes must get into the list once it is back. Agents and the announce
//! service are stand-ins and keep running: what is restarted are nodes and forwarders.

mod client;
mod fleet;
mod options;
mod process;
mod registry;
mod report;
mod setup;

use fleet::Fleet;
pub use options::{Discovery, End, Form, Options};
pub use process::Kind;
pub use report::{write_report, OfKind, Report, Times};
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Nine in ten must be ready by then.
pub const WITHIN: Duration = Duration::from_secs(10);

/// Between looks whether a process listens: a time told is so much too long at the most.
const LOOK: Duration = Duration::from_millis(20);

/// From the notice to leave to the kill, as nodes and forwarders are told.
const STOP: Duration = Duration::from_secs(3);

/// Starts all, restarts them at once, and tells how long each took.
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
        spawn_local(fleet.list.clone().serve(listener));
    }
    fleet.list.mode.set(options.discovery);
    report.first = fleet.start(1, &mut report.fell).await?;
    report.keys = fleet.fill().await?;
    fleet.stop(options.end, &mut report.fell).await;
    fleet.list.empty(fleet.announce).await;
    report.restarted = fleet.start(2, &mut report.fell).await?;
    (report.keys_asked, report.keys_kept) = fleet.ask_again().await;
    if options.discovery != Discovery::Up {
        let times = fleet.come_back().await?;
        report.back_in_list = times.iter().flatten().count();
        report.back = Some(Times::of(times));
    }
    report.told_before_listening = fleet.list.told_before_listening.get();
    fleet.stop(End::Term, &mut report.fell).await;
    Ok(report)
}
