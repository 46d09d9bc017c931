//! `rainstand control`: a config server. `rainstand config publish` and `config versions`: its clients.

mod client;
mod events;
mod publish;
mod versions;

pub(crate) use publish::{publish, Publishing};
pub(crate) use versions::{versions, Versions};

use crate::config_file::read;
use crate::output::Code;
use crate::pcap::trouble;
use crate::signals::Signals;
use clap::Args;
use rainstand_cluster::{ClusterMember, MemberOptions};
use rainstand_config_distribution::publisher::PublisherLimits;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::task::{spawn_local, LocalSet};

/// How long a server that was told to end tries to hand over the leadership of its shards.
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

/// Runs a config server until SIGTERM or SIGINT.
pub(crate) fn run(options: &Options) -> io::Result<Code> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let signals = Signals::install(&runtime)?;
    let configuration = match read(&options.config, false)? {
        Ok((configuration, ..)) => configuration,
        Err(code) => return Ok(code),
    };
    let Some(group) = configuration.groups.into_iter().next() else {
        return Ok(trouble(
            &options.config,
            "no `group` block names the control machines",
        ));
    };
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .log_internal_errors(false)
        .with_target(false)
        .with_ansi(false)
        .init();
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
) -> io::Result<Code> {
    let member = match rainstand_cluster::start(member_options).await {
        Ok(member) => member,
        Err(error) => return Ok(trouble(&options.config, error)),
    };
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
    Ok(Code::Good)
}

/// Takes over the members from the configuration file at each SIGHUP.
async fn reload_on_hangup(member: Rc<ClusterMember>, path: String, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match reload_members(&member, &path) {
            Ok(()) => tracing::info!(event = "group_members_applied"),
            Err(error) => tracing::warn!(event = "group_members_rejected", why = %error),
        }
    }
}

fn reload_members(member: &Rc<ClusterMember>, path: &str) -> Result<(), String> {
    let read = read(path, false).map_err(|error| error.to_string())?;
    let (configuration, ..) = read.map_err(|_| "the configuration has errors".to_owned())?;
    match configuration.groups.first() {
        Some(group) => member.set_members(group).map_err(|error| error.to_string()),
        None => Err("no `group` block".to_owned()),
    }
}
