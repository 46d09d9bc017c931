//! The nodes and forwarders of a plan, on loopback. The nodes are test servers that simulate the plan's faults; the
//! forwarders are the real ones.

use rainstand_config::schema::Configuration;
use rainstand_fleet_model::plan::{NodeKind, Plan, Trouble, TypePlan, Work};
use rainstand_fleet_model::world::{configuration, meets};
use rainstand_forwarder::{run as serve, ForwarderContext};
use rainstand_routing::subset::in_rounds;
use rainstand_test_servers::script::{Script, ScriptError};
use rainstand_test_servers::server::{TestServer, TestServerOptions};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Upper limit of nodes, since each has its own thread.
const MAX_NODES: u32 = 64;
/// How long a forwarder drains before it ends.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a plan's fleet cannot be started on loopback.
#[derive(Debug, thiserror::Error)]
pub(super) enum FleetError {
    #[error("{0} nodes; at most {MAX_NODES} can be started on loopback")]
    TooManyNodes(u32),
    #[error(
        "only plain nodes can be started as test servers; start other nodes yourself and pass --to"
    )]
    NotPlain,
    #[error("fault {0:?} is not supported on sockets (supported: die, hang, fail-fast, lie)")]
    UnsupportedFault(Trouble),
    #[error(transparent)]
    Script(#[from] ScriptError),
    #[error("a forwarder did not start")]
    ForwarderNotStarted,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A running fleet. Its forwarders end with the program.
pub(super) struct LoopbackFleet {
    pub(super) nodes: Vec<TestServer>,
    /// Where to send requests: the forwarders, or the nodes if there are no forwarders.
    pub(super) entry_points: Vec<SocketAddr>,
}

impl LoopbackFleet {
    /// Starts nothing; requests go to a forwarder or node that is already running.
    pub(super) fn at(entry_point: SocketAddr) -> Self {
        Self {
            nodes: Vec::new(),
            entry_points: vec![entry_point],
        }
    }

    /// Starts the nodes and forwarders of a plan.
    ///
    /// # Errors
    /// If there are too many nodes, a test server cannot act as one of them, or a forwarder does not start.
    pub(super) fn start(plan: &Plan) -> Result<Self, FleetError> {
        let nodes: Vec<TestServer> = node_scripts(plan)?
            .into_iter()
            .enumerate()
            .map(|(number, script)| test_server(number, script).start())
            .collect();
        let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.addr).collect();
        let entry_points = if plan.fronts.count == 0 {
            addresses
        } else {
            (0..plan.fronts.count)
                .map(|number| start_forwarder(plan, number, &addresses))
                .collect::<Result<_, _>>()?
        };
        Ok(Self {
            nodes,
            entry_points,
        })
    }
}

/// The options of the test server for the node with this number.
pub(super) fn test_server(number: usize, script: Script) -> TestServerOptions {
    TestServerOptions {
        script,
        seed: number as u64,
        forget_runs: true,
        ..TestServerOptions::default()
    }
}

/// The test server script of each node: how long it processes requests, and its faults.
///
/// # Errors
/// If there are too many nodes, or a test server cannot act as one of them.
pub(super) fn node_scripts(plan: &Plan) -> Result<Vec<Script>, FleetError> {
    if plan.nodes.count > MAX_NODES {
        return Err(FleetError::TooManyNodes(plan.nodes.count));
    }
    let NodeKind::Plain { at_once, .. } = plan.nodes.kind else {
        return Err(FleetError::NotPlain);
    };
    let mut healthy = format!("cores {at_once}\n");
    for class in &plan.types {
        healthy.push_str(&route_line(class));
    }
    let mut scripts = vec![healthy; plan.nodes.count as usize];
    for (fault, affected) in plan.faults.iter().zip(meets(plan)) {
        let (from, to) = (fault.from.as_millis(), fault.to.as_millis());
        let behaviour = fault_words(fault.trouble)?;
        for node in affected {
            let _ = writeln!(
                scripts[node as usize],
                "from {from}ms to {to}ms {behaviour}"
            );
        }
    }
    scripts
        .iter()
        .map(|script| Ok(Script::read(script)?))
        .collect()
}

/// The script line for how a healthy node processes the requests of a class.
fn route_line(class: &TypePlan) -> String {
    let run_time = match class.work {
        Work::Fixed(time) => format!("{}us", time.as_micros()),
        Work::Between(min, max) => format!("{}us..{}us", min.as_micros(), max.as_micros()),
        Work::About(mean) => format!("about {}us", mean.as_micros()),
    };
    format!("route {} honour after {run_time}\n", class.name)
}

/// The script words for a fault.
fn fault_words(fault: Trouble) -> Result<String, FleetError> {
    Ok(match fault {
        Trouble::Die => "refuse".into(),
        Trouble::Hang => "silent".into(),
        Trouble::FailFast(after) => format!("fail after {}us", after.as_micros()),
        Trouble::Lie(pause) => format!("dismiss pause {}ms", pause.as_millis()),
        other => return Err(FleetError::UnsupportedFault(other)),
    })
}

/// Starts a forwarder on its own thread, and returns its address.
fn start_forwarder(
    plan: &Plan,
    number: u32,
    nodes: &[SocketAddr],
) -> Result<SocketAddr, FleetError> {
    let known_count = plan.fronts.know as usize;
    let members: Vec<u32> = in_rounds(nodes.len(), known_count, number as usize, plan.seed)
        .into_iter()
        .map(|node| node as u32)
        .collect();
    let configuration = configuration(plan, &members, |node| nodes[node as usize].to_string());
    let (address, started) = channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let Ok(runtime) = runtime else { return };
        let forwarder = run_forwarder(configuration, u64::from(number), &address);
        LocalSet::new().block_on(&runtime, forwarder);
    });
    let address = started
        .recv()
        .map_err(|_| FleetError::ForwarderNotStarted)??;
    Ok(address)
}

/// Runs a forwarder until the program ends. Sends its address, or nothing if it does not start.
async fn run_forwarder(
    configuration: Configuration,
    seed: u64,
    address: &Sender<io::Result<SocketAddr>>,
) {
    let context = ForwarderContext::new(configuration, "", seed);
    let listener = TcpListener::bind("127.0.0.1:0").await;
    if let (Ok(context), Ok(listener)) = (context, listener) {
        // Sending fails only if the receiver is gone because the program ends.
        let _ = address.send(listener.local_addr());
        serve(context, listener, DRAIN_TIMEOUT, std::future::pending()).await;
    }
}
