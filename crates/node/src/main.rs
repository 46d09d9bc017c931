//! `rainstand-node` runs one node; `ROUTER_CONFIG` is the path of its configuration.

use rainstand_cluster::planted;
use rainstand_cluster::ClusterError;
use rainstand_node::config::{Config, ConfigError};
use rainstand_node::log::{InstallError, LogLayer};
use rainstand_node::recording::RecordingError;
use rainstand_node::settings::{Settings, SettingsError};
use rainstand_node::{group_membership, log_event, recording, reload, run, NodeContext};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

const HELP: &str = "\
rainstand-node: one node between dispatchers and a render farm agent

It takes no arguments: ROUTER_CONFIG is the path of its JSON file.
  ROUTER_CONFIG=examples/config.json rainstand-node
RAINSTAND_SETTINGS, if set, is the path of a compiled configuration: what it says of log, recording and group holds.

Signals: TERM and INT drain, HUP reads the addresses anew, USR1 prints the counters.
Options: --help, --version";

/// Why the node did not start, in one line.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("runtime: {0}")]
    Runtime(io::Error),
    #[error("signals: {0}")]
    Signals(io::Error),
    #[error("ROUTER_CONFIG: not set")]
    NoConfig,
    #[error("{path}: {cause}")]
    Read { path: String, cause: io::Error },
    #[error("{path}: {cause}")]
    Config { path: String, cause: ConfigError },
    #[error("{path}: {cause}")]
    Settings { path: String, cause: SettingsError },
    #[error(transparent)]
    Log(#[from] InstallError),
    #[error(transparent)]
    Context(#[from] ConfigError),
    #[error(transparent)]
    Recording(#[from] RecordingError),
    #[error("listen {address}: {cause}")]
    Listen {
        address: SocketAddr,
        cause: io::Error,
    },
    #[error(transparent)]
    Join(#[from] ClusterError),
}

/// The signals that the node handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    print_counts: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs handlers for the signals.
    fn install(runtime: &Runtime) -> Result<Self, StartError> {
        let _guard = runtime.enter();
        let handle = |kind| signal(kind).map_err(StartError::Signals);
        Ok(Self {
            terminate: handle(SignalKind::terminate())?,
            interrupt: handle(SignalKind::interrupt())?,
            print_counts: handle(SignalKind::user_defined1())?,
            reload: handle(SignalKind::hangup())?,
        })
    }
}

fn main() -> ExitCode {
    // Other arguments are ignored: deployments may pass some.
    match std::env::args().nth(1).as_deref() {
        Some("--help" | "-h") => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Some("--version" | "-V") => {
            println!("rainstand-node {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        _ => {}
    }
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rainstand-node: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the configuration and serves until the drain has ended.
fn start() -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    // Before everything else: an unhandled signal would end the process, and a reload signal for a file that was
    // replaced just after it was read would be lost.
    let signals = Signals::install(&runtime);
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| StartError::NoConfig)?;
    let config = read_config(&path)?;
    let settings = read_settings()?;
    LogLayer::new(settings.log_format).install()?;
    config.log_unknown_keys();
    let context = NodeContext::new(config)?;
    if let Some(recording) = &settings.recording {
        recording::start(&context, recording)?;
    }
    LocalSet::new().block_on(&runtime, serve(context, settings, path, signals))
}

fn read_config(path: &str) -> Result<Config, StartError> {
    let bytes = std::fs::read(path).map_err(|cause| StartError::Read {
        path: path.to_owned(),
        cause,
    })?;
    Config::read(&bytes).map_err(|cause| StartError::Config {
        path: path.to_owned(),
        cause,
    })
}

/// The settings of the compiled configuration at `RAINSTAND_SETTINGS`, or the default.
fn read_settings() -> Result<Settings, StartError> {
    let Ok(path) = std::env::var("RAINSTAND_SETTINGS") else {
        return Ok(Settings::default());
    };
    match std::fs::read_to_string(&path) {
        Ok(text) => Settings::read(&text).map_err(|cause| StartError::Settings { path, cause }),
        Err(cause) => Err(StartError::Read { path, cause }),
    }
}

/// Listens, joins the group if there is one, and serves until a signal arrives and the drain has ended.
async fn serve(
    context: Rc<NodeContext>,
    settings: Settings,
    path: String,
    signals: Result<Signals, StartError>,
) -> Result<(), StartError> {
    let address = context.config.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|cause| StartError::Listen { address, cause })?;
    let mut signals = signals?;
    // Before the line that reports the start, so that all addresses are bound when it is written.
    if let Some(group) = settings.group {
        group_membership::join(&context, group).await?;
    }
    log_event!(
        "start",
        "start",
        name = context.config.name,
        listen = address,
        agent = context.config.peers.agent
    );
    let reloading = reload::keep_reloading(context.clone(), path.into(), signals.reload);
    spawn_local(reloading);
    let counts_context = context.clone();
    spawn_local(async move {
        while signals.print_counts.recv().await.is_some() {
            counts_context.print_counts();
        }
    });
    let shutdown = async move {
        tokio::select! {
            _ = signals.terminate.recv() => {}
            _ = signals.interrupt.recv() => {}
        }
        if planted("second-signal-cuts-drain") {
            spawn_local(async move {
                signals.terminate.recv().await;
                std::process::exit(0);
            });
        }
    };
    run(context, listener, shutdown).await;
    Ok(())
}
