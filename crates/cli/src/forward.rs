//! `rainstand forward`: a forwarder by a configuration, until it is told to leave.

use crate::attach;
use crate::config_file::read;
use crate::error::{CommandError, CommandResult};
use crate::output::ExitStatus;
use crate::signals::Signals;
use clap::Args;
use rainstand_config::schema::{self, Configuration};
use rainstand_forwarder::{run as serve, ForwarderContext};
use rainstand_routing::subset::reduce;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot::{self, error::RecvError};
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
    attach: attach::Options,
}

/// A configuration's bytes, or the exit code of what was found in it.
type ReadOutcome = Result<Vec<u8>, ReadError>;

/// Why a configuration cannot be read. Sent between threads, so it holds no other error.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    /// The findings are printed already.
    #[error("the configuration has errors")]
    Findings(ExitStatus),
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<CommandError> for ReadError {
    fn from(error: CommandError) -> Self {
        match error {
            CommandError::Io(error) => Self::Io(error),
            error => Self::Findings(error.print()),
        }
    }
}

/// Reads a configuration on a thread of its own: 154,000 lines take a third of a second, for which tickets would
/// wait, and many times the memory of what they say, all of which goes back when nothing of that thread is left.
/// So what is read comes over as bytes.
fn read_apart(path: &str, number: usize) -> io::Result<oneshot::Receiver<ReadOutcome>> {
    let (done, told) = oneshot::channel();
    let path = path.to_owned();
    std::thread::Builder::new()
        .name("read".into())
        .spawn(move || {
            let made = read(&path, false).map(|loaded| {
                let mut configuration = loaded.configuration;
                reduce(&mut configuration, number);
                schema::to_binary(&configuration)
            });
            let made = made.map_err(ReadError::from);
            // Nobody waits for it if the program leaves.
            let _ = done.send(made);
        })?;
    Ok(told)
}

/// # Errors
/// Findings went to standard error; what else there is to say is told.
fn made(read: Result<ReadOutcome, RecvError>) -> Result<Configuration, String> {
    let bytes = read
        .map_err(|_| "reading it broke off".to_owned())?
        .map_err(|e| e.to_string())?;
    schema::from_own_binary(&bytes).map_err(|e| e.to_string())
}

#[expect(clippy::too_many_lines, reason = "to be split by concern")]
pub(crate) fn run(options: &Options) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let signals = Signals::install(&runtime)?;
    let read = read_apart(&options.config, options.number)?.blocking_recv();
    if let Ok(Err(ReadError::Findings(status))) = read {
        return Ok(status);
    }
    let mut configuration = match made(read) {
        Ok(configuration) => configuration,
        Err(why) => return Err(CommandError::unusable(&options.config, why)),
    };
    // Who reads our lines may go away: that is no reason to end, nor to complain where nobody reads.
    let lines = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .log_internal_errors(false);
    lines.with_target(false).with_ansi(false).init();
    // The standard library's maps are keyed by what the system draws.
    let drawn = || RandomState::new().build_hasher().finish();
    let seed = options.seed.unwrap_or_else(drawn);
    let block = configuration.controls.first();
    let plan = match options
        .attach
        .plan(block, &options.zone, options.number, seed)
    {
        Ok(plan) => plan,
        Err(why) => return Err(CommandError::unusable(&options.config, why)),
    };
    let mut last = None;
    if let Some(stored) = plan
        .as_ref()
        .and_then(attach::AttachmentPlan::stored_version)
    {
        tracing::info!(
            event = "version_restored",
            version = stored.snapshot.version
        );
        (last, configuration) = (Some(stored.snapshot), stored.configuration);
        reduce(&mut configuration, options.number);
    }
    let context = match ForwarderContext::new(configuration, &options.zone, seed) {
        Ok(context) => context,
        Err(why) => return Err(CommandError::unusable(&options.config, why)),
    };
    LocalSet::new().block_on(&runtime, async {
        let listener = match TcpListener::bind(options.listen).await {
            Ok(listener) => listener,
            Err(error) => return Err(CommandError::unusable(options.listen, error)),
        };
        if let Some(admin) = options.admin {
            match TcpListener::bind(admin).await {
                Ok(listener) => {
                    tracing::info!(event = "admin", admin = %listener.local_addr()?);
                    spawn_local(rainstand_forwarder::admin::serve(context.clone(), listener));
                }
                Err(error) => return Err(CommandError::unusable(admin, error)),
            }
        }
        let Signals {
            mut terminate,
            mut interrupt,
            mut hangup,
            mut print_counts,
        } = signals;
        tracing::info!(event = "start", listen = %listener.local_addr()?, config = %options.config);
        let attached = plan.is_some();
        if let Some(plan) = plan {
            plan.start(&context, last);
        }
        let (reloaded, path, number) = (context.clone(), options.config.clone(), options.number);
        spawn_local(async move {
            while hangup.recv().await.is_some() {
                // A bad one changes nothing.
                if attached {
                    tracing::warn!(
                        event = "version_rejected",
                        why = "control machines tell the versions"
                    );
                    continue;
                }
                let taken = match read_apart(&path, number) {
                    Ok(read) => made(read.await).and_then(|configuration| {
                        reloaded
                            .install_configuration(configuration)
                            .map_err(|error| error.to_string())
                    }),
                    Err(error) => Err(error.to_string()),
                };
                match taken {
                    Ok(version) => tracing::info!(event = "version", version = version),
                    Err(why) => tracing::warn!(event = "version_rejected", why = %why),
                }
            }
        });
        let counted = context.clone();
        spawn_local(async move {
            while print_counts.recv().await.is_some() {
                tracing::info!(event = "counts", what = %counted.counters_line());
            }
        });
        let leave = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        serve(
            context,
            listener,
            Duration::from_millis(options.stop_ms),
            leave,
        )
        .await;
        Ok(ExitStatus::Success)
    })
}
