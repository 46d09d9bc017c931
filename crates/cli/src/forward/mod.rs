//! `rainstand forward`: runs a forwarder until a signal stops it.

mod attachment;
mod background_read;

use crate::error::{CommandError, CommandResult};
use crate::log;
use crate::output::ExitStatus;
use crate::signals::Signals;
use attachment::{AttachmentPlan, StoredVersion};
use background_read::{BackgroundRead, ReadError};
use clap::Args;
use rainstand_config::schema::Configuration;
use rainstand_config_distribution::snapshot::DecodedSnapshot;
use rainstand_forwarder::{admin, ForwarderContext};
use rainstand_routing::subset::reduce;
use rainstand_routing::ConfigurationError;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::task::{spawn_local, LocalSet};

#[derive(Args)]
#[command(after_help = "\
Example:
  rainstand forward --config examples/config/main.rain --listen 127.0.0.1:5050 --zone sal-ulven
  rainstand forward --config main.txtpb --listen 0.0.0.0:5050 --admin 127.0.0.1:6050

  rainstand forward --config main.rain --listen 10.0.0.9:5050 --name f9 --control 10.0.0.1:7001,10.0.0.2:7001

Signals: TERM and INT drain, HUP takes the configuration anew (not where control machines tell the versions),
USR1 prints the counters.")]
pub(crate) struct Options {
    /// A `.rain` file, or a compiled one
    #[arg(long)]
    config: String,
    /// Where dispatchers connect
    #[arg(long)]
    listen: SocketAddr,
    /// Where operators ask for metrics, members and the last decisions over HTTP
    #[arg(long)]
    admin: Option<SocketAddr>,
    /// The zone that this forwarder stands in; members in it come first
    #[arg(long, default_value = "")]
    zone: String,
    /// Which of the forwarders this is, from 0: where pools say `know`, it settles the members that it knows
    #[arg(long, default_value_t = 0)]
    number: usize,
    /// For all chance; drawn if it is not given, so that forwarders do not all draw alike
    #[arg(long)]
    seed: Option<u64>,
    /// Milliseconds from the notice to leave until what is still owed is given up
    #[arg(long, default_value_t = 5_000)]
    stop_ms: u64,
    #[command(flatten)]
    attachment: attachment::Options,
}

/// Why the configuration file was not applied after SIGHUP.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error(transparent)]
    Rejected(#[from] ConfigurationError),
}

/// The forwarder's state before it serves.
struct InitialState {
    context: Rc<ForwarderContext>,
    attachment: Option<AttachmentPlan>,
    /// The version in force, if it was read from disk.
    stored: Option<DecodedSnapshot>,
}

/// Runs a forwarder until SIGTERM or SIGINT.
///
/// # Errors
/// If its configuration or an address cannot be used.
pub(crate) fn run(options: &Options) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let signals = Signals::install(&runtime)?;
    let configuration = read_configuration(options)?;
    log::init();
    let state = initial_state(options, configuration)?;
    LocalSet::new().block_on(&runtime, serve(options, state, signals))
}

fn read_configuration(options: &Options) -> Result<Configuration, CommandError> {
    let read = BackgroundRead::start(&options.config, options.number)?;
    read.finish_blocking().map_err(|error| match error {
        ReadError::Reported(status) => CommandError::Reported(status),
        error => CommandError::unusable(&options.config, error),
    })
}

/// Creates the forwarder with the version stored on disk, or else with the file's configuration.
fn initial_state(
    options: &Options,
    configuration: Configuration,
) -> Result<InitialState, CommandError> {
    let seed = options.seed.unwrap_or_else(random_seed);
    let block = configuration.controls.first();
    let attachment = options
        .attachment
        .plan(block, &options.zone, options.number, seed)
        .map_err(|error| CommandError::unusable(&options.config, error))?;
    let stored_versions = attachment
        .as_ref()
        .map_or_else(Vec::new, AttachmentPlan::stored_versions);
    for stored in stored_versions {
        let StoredVersion {
            snapshot,
            mut configuration,
        } = stored;
        let version = snapshot.version;
        reduce(&mut configuration, options.number);
        match ForwarderContext::new(configuration, &options.zone, seed) {
            Ok(context) => {
                tracing::info!(event = "version_restored", version);
                return Ok(InitialState {
                    context,
                    attachment,
                    stored: Some(snapshot),
                });
            }
            Err(error) => tracing::warn!(event = "version_rejected", version, why = %error),
        }
    }
    let context = ForwarderContext::new(configuration, &options.zone, seed)
        .map_err(|error| CommandError::unusable(&options.config, error))?;
    Ok(InitialState {
        context,
        attachment,
        stored: None,
    })
}

/// A different seed at each start: [`RandomState`] takes its keys from the operating system's random numbers.
fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

async fn serve(options: &Options, state: InitialState, mut signals: Signals) -> CommandResult {
    let context = state.context;
    let listener = bind(options.listen).await?;
    if let Some(address) = options.admin {
        let admin_listener = bind(address).await?;
        tracing::info!(event = "admin", admin = %admin_listener.local_addr()?);
        spawn_local(admin::serve(context.clone(), admin_listener));
    }
    tracing::info!(event = "start", listen = %listener.local_addr()?, config = %options.config);
    let is_attached = state.attachment.is_some();
    if let Some(attachment) = state.attachment {
        attachment.start(&context, state.stored)?;
    }
    let reload = Reload {
        context: context.clone(),
        path: options.config.clone(),
        forwarder_number: options.number,
        is_attached,
    };
    spawn_local(reload.run(signals.hangup));
    spawn_local(print_counters(context.clone(), signals.print_counts));
    let shutdown = async move {
        tokio::select! {
            _ = signals.terminate.recv() => {}
            _ = signals.interrupt.recv() => {}
        }
    };
    let drain_timeout = Duration::from_millis(options.stop_ms);
    rainstand_forwarder::run(context, listener, drain_timeout, shutdown).await;
    Ok(ExitStatus::Success)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, CommandError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| CommandError::unusable(address, error))
}

/// Prints the counters at each SIGUSR1.
async fn print_counters(context: Rc<ForwarderContext>, mut signal: Signal) {
    while signal.recv().await.is_some() {
        tracing::info!(event = "counts", what = %context.counters_line());
    }
}

/// Applies the configuration file at each SIGHUP. A file that cannot be used changes nothing.
struct Reload {
    context: Rc<ForwarderContext>,
    path: String,
    forwarder_number: usize,
    /// Config servers provide the versions, and the file is not read again.
    is_attached: bool,
}

impl Reload {
    async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            if self.is_attached {
                let why = "config servers provide the versions";
                tracing::warn!(event = "version_rejected", why);
                continue;
            }
            match self.reload().await {
                Ok(version) => tracing::info!(event = "version", version = version),
                Err(error) => tracing::warn!(event = "version_rejected", why = %error),
            }
        }
    }

    /// Returns the number of the new version in this forwarder.
    async fn reload(&self) -> Result<u64, ReloadError> {
        let read = BackgroundRead::start(&self.path, self.forwarder_number);
        let configuration = read.map_err(ReadError::from)?.finish().await?;
        Ok(self.context.install_configuration(configuration)?)
    }
}
