//! Nodes and forwarders of a plan, on loopback: test servers that play the plan's faults, and the project's own
//! forwarders before them.

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

/// Nodes that are started here, each with a thread of its own.
const MAX_NODES: u32 = 64;
/// How long a forwarder that is told to end drains.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a plan's fleet cannot be started on loopback.
#[derive(Debug, thiserror::Error)]
pub(super) enum FleetError {
    #[error("{0} nodes; at most {MAX_NODES} are started here")]
    TooManyNodes(u32),
    #[error("stand-ins are plain nodes; start the project's own and say --to")]
    NotPlain,
    #[error("{0:?} is not played on sockets (die, hang, fail-fast and lie are)")]
    UnsupportedFault(Trouble),
    #[error(transparent)]
    Script(#[from] ScriptError),
    #[error("a forwarder that does not start")]
    ForwarderNotStarted,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A fleet that runs. Its forwarders end with the program.
pub(super) struct LoopbackFleet {
    pub(super) nodes: Vec<TestServer>,
    /// Where to send requests: the forwarders, or the nodes where there are none.
    pub(super) entry_points: Vec<SocketAddr>,
}

impl LoopbackFleet {
    /// Nothing of its own, before something that runs already.
    pub(super) fn at(entry_point: SocketAddr) -> Self {
        Self {
            nodes: Vec::new(),
            entry_points: vec![entry_point],
        }
    }

    /// Starts the nodes and forwarders of a plan.
    ///
    /// # Errors
    /// If there are too many nodes, one of them cannot be played by a test server, or a forwarder does not start.
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

/// A test server for the node of this number.
pub(super) fn test_server(number: usize, script: Script) -> TestServerOptions {
    TestServerOptions {
        script,
        seed: number as u64,
        forget_runs: true,
        ..TestServerOptions::default()
    }
}

/// The script of each node: how it runs requests, and its faults.
///
/// # Errors
/// If there are too many nodes, or a test server cannot play one.
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

/// How a healthy node runs the requests of a class, as a line of a script.
fn route_line(class: &TypePlan) -> String {
    let run_time = match class.work {
        Work::Fixed(time) => format!("{}us", time.as_micros()),
        Work::Between(min, max) => format!("{}us..{}us", min.as_micros(), max.as_micros()),
        Work::About(mean) => format!("about {}us", mean.as_micros()),
    };
    format!("route {} honour after {run_time}\n", class.name)
}

/// A fault in the words of a script.
fn fault_words(fault: Trouble) -> Result<String, FleetError> {
    Ok(match fault {
        Trouble::Die => "refuse".into(),
        Trouble::Hang => "silent".into(),
        Trouble::FailFast(after) => format!("fail after {}us", after.as_micros()),
        Trouble::Lie(pause) => format!("dismiss pause {}ms", pause.as_millis()),
        other => return Err(FleetError::UnsupportedFault(other)),
    })
}

/// Starts a forwarder on a thread of its own; its address.
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

/// Runs a forwarder for ever, and sends its address; sends none if it does not start.
async fn run_forwarder(
    configuration: Configuration,
    seed: u64,
    address: &Sender<io::Result<SocketAddr>>,
) {
    let context = ForwarderContext::new(configuration, "", seed);
    let listener = TcpListener::bind("127.0.0.1:0").await;
    if let (Ok(context), Ok(listener)) = (context, listener) {
        // Nobody waits for it if the program ends.
        let _ = address.send(listener.local_addr());
        serve(context, listener, DRAIN_TIMEOUT, std::future::pending()).await;
    }
}
