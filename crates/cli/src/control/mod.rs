//! `rainstand control`: a config server. `rainstand config publish` and `config versions`: its clients.

mod client;
mod events;
mod publish;
mod versions;

pub(crate) use publish::{publish, Publishing};
pub(crate) use versions::{versions, Versions};

use crate::config_file::read;
use crate::error::{CommandError, CommandResult};
use crate::log;
use crate::output::ExitStatus;
use crate::signals::Signals;
use clap::Args;
use rainstand_cluster::{ClusterError, ClusterMember, MemberOptions};
use rainstand_config_distribution::publisher::PublisherLimits;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::task::{spawn_local, LocalSet};

/// Time limit for handing over the leadership of its shards when a server shuts down.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Args)]
#[command(after_help = "\
Example:
  rainstand control --config control.rain --name c1

The file's `group` block names the machines. They take no tickets; forwarders attach to the same addresses.
Signals: TERM and INT hand over and end, HUP takes the members anew.")]
pub(crate) struct Options {
    /// A `.rain` file, or a compiled one, with a `group` block
    #[arg(long)]
    config: String,
    /// Which of its members this is
    #[arg(long)]
    name: String,
}

/// Why the members of a configuration file are not in force after SIGHUP.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error("the configuration has errors")]
    Findings,
    #[error("no `group` block")]
    NoGroup,
    #[error(transparent)]
    Rejected(#[from] ClusterError),
    #[error(transparent)]
    Io(io::Error),
}

/// Runs a config server until SIGTERM or SIGINT.
///
/// # Errors
/// If its configuration, folder or address cannot be used.
pub(crate) fn run(options: &Options) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let signals = Signals::install(&runtime)?;
    let configuration = read(&options.config, false)?.configuration;
    let group = configuration.groups.into_iter().next().ok_or_else(|| {
        CommandError::unusable(&options.config, "no `group` block names the config servers")
    })?;
    log::init();
    let member_options = MemberOptions {
        name: options.name.clone(),
        group,
        log: Box::new(events::log_group_event),
    };
    LocalSet::new().block_on(&runtime, serve(options, member_options, signals))
}

async fn serve(
    options: &Options,
    member_options: MemberOptions,
    mut signals: Signals,
) -> CommandResult {
    let member = rainstand_cluster::start(member_options)
        .await
        .map_err(|error| CommandError::unusable(&options.config, error))?;
    member.serve_configuration(
        PublisherLimits::default(),
        Box::new(events::log_publisher_event),
    );
    let listen = member
        .address(&options.name)
        .map(|address| address.to_string())
        .unwrap_or_default();
    tracing::info!(event = "start", name = %options.name, listen = %listen, config = %options.config);
    spawn_local(reload_on_hangup(
        member.clone(),
        options.config.clone(),
        signals.hangup,
    ));
    tokio::select! {
        _ = signals.terminate.recv() => {}
        _ = signals.interrupt.recv() => {}
    }
    member.leave(SHUTDOWN_TIMEOUT).await;
    tracing::info!(event = "end");
    Ok(ExitStatus::Success)
}

/// Applies the members in the configuration file at each SIGHUP.
async fn reload_on_hangup(member: Rc<ClusterMember>, path: String, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match reload_members(&member, &path) {
            Ok(()) => tracing::info!(event = "group_members_applied"),
            Err(error) => tracing::warn!(event = "group_members_rejected", why = %error),
        }
    }
}

fn reload_members(member: &Rc<ClusterMember>, path: &str) -> Result<(), ReloadError> {
    let loaded = read(path, false).map_err(|error| match error {
        CommandError::Io(error) => ReloadError::Io(error),
        error => {
            error.print();
            ReloadError::Findings
        }
    })?;
    let group = loaded.configuration.groups.first();
    member.set_members(group.ok_or(ReloadError::NoGroup)?)?;
    Ok(())
}
