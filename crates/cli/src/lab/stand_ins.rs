//! `rainstand lab stand-ins`: runs the nodes of an experiment as test servers on loopback until the program is ended.

use super::loopback_fleet::{node_scripts, test_server};
use super::selection::SelectedExperiment;
use crate::error::{CommandError, CommandResult};
use crate::output::{line, ExitStatus};
use clap::Args;
use rainstand_test_servers::server::{TestServer, TestServerOptions};
use std::io;
use std::net::{SocketAddr, TcpListener};
use tokio::signal::unix::{signal, SignalKind};

/// The seed of the plan whose nodes are started.
const PLAN_SEED: u64 = 1;

#[derive(Args)]
pub(crate) struct Options {
    file: String,
    #[arg(long)]
    experiment: Option<String>,
    #[arg(long)]
    variant: Option<String>,
    /// Of the first one, the others follow; 0 for any that are free
    #[arg(long, default_value_t = 0)]
    port: u16,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let selected = SelectedExperiment::read(&options.file, options.experiment.as_deref())?;
    let plan = selected.plan(options.variant.as_deref(), PLAN_SEED)?;
    let scripts =
        node_scripts(&plan).map_err(|error| CommandError::unusable(&options.file, error))?;
    let mut nodes = Vec::new();
    for (number, script) in scripts.into_iter().enumerate() {
        let address = address(options.port, number)?;
        // Checked first, since a test server panics if it cannot bind its address.
        if let Err(error) = TcpListener::bind(address) {
            return Err(CommandError::unusable(address, error));
        }
        let node = TestServerOptions {
            address: Some(address),
            ..test_server(number, script)
        }
        .start();
        line(&node.addr.to_string())?;
        nodes.push(node);
    }
    wait_for_end()?;
    nodes.iter().for_each(TestServer::kill);
    Ok(ExitStatus::Success)
}

/// The address of a node: port `first_port + number`, or any free port if `first_port` is 0.
fn address(first_port: u16, number: usize) -> Result<SocketAddr, CommandError> {
    let port = if first_port == 0 {
        Some(0)
    } else {
        first_port.checked_add(number as u16)
    };
    match port {
        Some(port) => Ok(SocketAddr::from(([127, 0, 0, 1], port))),
        None => Err(CommandError::unusable(
            "--port",
            "the port numbers would exceed 65535",
        )),
    }
}

/// Waits for SIGTERM or an interrupt.
fn wait_for_end() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        Ok(())
    })
}
