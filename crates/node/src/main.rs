//! `rainstand-node`: one node, told by `ROUTER_CONFIG` where its configuration lies.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

use rainstand_node::config::Config;
use rainstand_node::log::LogLayer;
use rainstand_node::settings::Settings;
use rainstand_node::{idempotency, log_event, recording, reload, run, NodeContext};
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

const HELP: &str = "\
rainstand-node: one node between dispatchers and a render farm agent

It takes no arguments: ROUTER_CONFIG is the path of its JSON file.
  ROUTER_CONFIG=examples/config.json rainstand-node
RAINSTAND_SETTINGS, if set, is the path of a compiled configuration: what it says of log, recording and group holds.

Signals: TERM and INT drain, HUP reads the addresses anew, USR1 prints the counters.
Options: --help, --version";

fn main() -> ExitCode {
    // Whatever else is written behind the name is left alone: a deployment may pass what it likes.
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
        Err(why) => {
            eprintln!("rainstand-node: {why}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    // Before all else: until then a signal ends the process, and a file that is replaced once it was read, with a
    // signal that says so, would never be taken.
    let signals = {
        let _within = runtime.enter();
        let [usr1, hup] = [SignalKind::user_defined1(), SignalKind::hangup()];
        let signals = [SignalKind::terminate(), SignalKind::interrupt(), usr1, hup];
        signals.map(|kind| signal(kind).map_err(|e| format!("signals: {e}")))
    };
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG: not set")?;
    let bytes = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let config = Config::read(&bytes).map_err(|e| format!("{path}: {e}"))?;
    let settings = match std::env::var("RAINSTAND_SETTINGS") {
        Err(_) => Settings::default(),
        Ok(path) => {
            let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
            Settings::read(&text).map_err(|e| format!("{path}: {e}"))?
        }
    };
    LogLayer::new(settings.form).install()?;
    for key in &config.unknown {
        log_event!(
            "config_key",
            "config",
            key = key,
            what = "is not known and does nothing"
        );
    }
    let context = NodeContext::new(config)?;
    if let Some(recording) = &settings.recording {
        recording::start(&context, recording)?;
    }
    LocalSet::new().block_on(&runtime, async move {
        let listen = context.config.listen;
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| format!("listen {listen}: {e}"))?;
        let [term, int, usr1, hup] = signals;
        let (mut term, mut int, mut usr1) = (term?, int?, usr1?);
        // Before the line that says the node is up: it has all its addresses then.
        if let Some(group) = settings.group {
            idempotency::join(&context, group).await?;
        }
        let (name, agent) = (&context.config.name, context.config.peers.agent);
        log_event!(
            "start",
            "start",
            name = name,
            listen = listen,
            agent = agent
        );
        spawn_local(reload::keep_reloading(context.clone(), path.into(), hup?));
        let asked = context.clone();
        spawn_local(async move {
            while usr1.recv().await.is_some() {
                asked.print_counts();
            }
        });
        let leave = async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        };
        run(context, listener, leave).await;
        Ok(())
    })
}
