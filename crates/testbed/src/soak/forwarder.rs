//! Soak of a forwarder in front of one node: reloads in series, a crowd of bad connections, and clients that send until
//! the forwarder is killed.

use super::client::{end_clients, start_client, start_slow_client, ClientLog};
use super::node::{start_agent, DEADLINE_SLACK, MAX_RUN_TIME, REQUEST_DEADLINE, SLOW_CLIENTS};
use super::verdict::{drain_until_kill, DrainedServer};
use super::{crowd, signals, SoakOptions, SoakReport};
use crate::process::{count_starts, free_port, program, Process};
use crate::scenario::{node_configuration, DRAIN_TIMEOUT};
use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{sleep, Instant};

/// Open requests of each client.
const DEPTHS: [usize; 4] = [1, 1, 4, 8];
const ROUNDS: u64 = 3;
const CROWD_SIZE: usize = 120;
const CROWD_SPAN: Duration = Duration::from_millis(400);
/// Time limit for a forwarder to start, and for its number of open descriptors to return to the initial value.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between two rounds, while clients send requests.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Runs a forwarder from its start to its kill.
///
/// # Errors
/// If a process cannot be started.
pub async fn run(options: &SoakOptions, report: &mut SoakReport) -> io::Result<()> {
    let folder = options.folder.join("forwarder");
    fs::create_dir_all(&folder)?;
    let backend_options = SoakOptions {
        folder: folder.clone(),
        ..options.clone()
    };
    let (_agent, agent) = start_agent(&backend_options, MAX_RUN_TIME).await?;
    let (_node, node) = start_node(&backend_options, agent).await?;
    let address = free_port()?;
    let path = folder.join("forwarder.rain");
    fs::write(&path, configuration(node, 1))?;
    let log_path = folder.join("forwarder.log");
    let mut process = start_forwarder(&backend_options, address, &path, &log_path)?;
    wait_for_start(&mut process, &log_path).await?;
    let log = Rc::new(ClientLog::default());
    let start = |depth| start_client(address, depth, REQUEST_DEADLINE + DEADLINE_SLACK, &log);
    let mut clients: Vec<_> = DEPTHS.map(start).into();
    clients.extend((0..SLOW_CLIENTS).map(|_| start_slow_client(address, &log)));
    let mut random = WyRand::new_seed(options.seed ^ 0xf0);
    sleep(ROUND_PAUSE).await;
    let initial_descriptors = signals::open_descriptors(&process);
    for round in 1..=ROUNDS {
        let reload_signals = reload_in_series(&process, &mut random, &path, node, round).await?;
        report.signals += reload_signals;
        if options.seed.is_multiple_of(3) {
            report.crowd = report
                .crowd
                .max(crowd::hold_connections(address, CROWD_SIZE, CROWD_SPAN).await);
        }
        wait_for_descriptors(&process, initial_descriptors, report).await;
        sleep(ROUND_PAUSE).await;
    }
    let drain = drain_until_kill(&mut process, &mut random, DRAIN_TIMEOUT).await;
    end_clients(&log, clients).await;
    let server = DrainedServer {
        name: "forwarder",
        log: &log,
        drain,
        requests_read: answered_requests(&log_path),
        cut_off: counter(&log_path, "cut_off=").unwrap_or(0),
        agent_history: &folder.join("agent.part"),
    };
    server.verify(report)
}

async fn start_node(options: &SoakOptions, agent: SocketAddr) -> io::Result<(Process, SocketAddr)> {
    let address = free_port()?;
    let file = node_configuration("n1", address, agent, options.seed, REQUEST_DEADLINE);
    let (path, log_path) = (
        options.folder.join("node.json"),
        options.folder.join("node.log"),
    );
    fs::write(&path, file.to_string())?;
    let mut command = Command::new(program("rainstand-node", options.programs.as_deref())?);
    command
        .env("ROUTER_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null());
    let before = count_starts(&log_path);
    let mut process = Process::start("n1", command, &log_path)?;
    process.wait_until_up(&log_path, before).await?;
    Ok((process, address))
}

fn start_forwarder(
    options: &SoakOptions,
    address: SocketAddr,
    path: &Path,
    log_path: &Path,
) -> io::Result<Process> {
    let mut command = Command::new(program("rainstand", options.programs.as_deref())?);
    command
        .args(["forward", "--name", "f1", "--listen", &address.to_string()])
        .args([
            "--stop-ms",
            &DRAIN_TIMEOUT.as_millis().to_string(),
            "--config",
        ])
        .arg(path)
        .stdin(Stdio::null())
        .stdout(Stdio::null());
    Process::start("f1", command, log_path)
}

async fn wait_for_start(process: &mut Process, log_path: &Path) -> io::Result<()> {
    let started = Instant::now();
    loop {
        let text = fs::read_to_string(log_path).unwrap_or_default();
        if text.contains("event=\"start\"") {
            return Ok(());
        }
        if process.ended().is_some() || started.elapsed() > SETTLE_TIMEOUT {
            return Err(io::Error::other(format!(
                "the forwarder did not start: {text}"
            )));
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn configuration(node: SocketAddr, share: u64) -> String {
    format!(
        "rain 1\ntype check {{ repeat: rerunnable; goal: 900 ms; outer-limit: 1 s }}\n\
         type register {{ repeat: ticketed 120 s; goal: 900 ms; outer-limit: 1 s }}\n\
         tenant acme {{ share: {share} % }}\n\
         pool hall {{ member n1 {{ address: \"{node}\" }} }}\nroute r {{ to: hall }}\n"
    )
}

/// Writes valid, invalid and truncated files, each followed by signals, then a valid one; returns the signals sent.
async fn reload_in_series(
    process: &Process,
    random: &mut WyRand,
    path: &Path,
    node: SocketAddr,
    round: u64,
) -> io::Result<u64> {
    let mut signals = 0;
    let good = configuration(node, round + 1);
    for _ in 0..random.generate_range(2..6u64) {
        let text = match random.generate_range(0..3u32) {
            0 => good.clone(),
            1 => "rain 1\nroute r { to: nowhere }\n".to_owned(),
            _ => good[..good.len() / 2].to_owned(),
        };
        fs::write(path, text)?;
        let kinds = [Signal::HUP, Signal::HUP, Signal::USR1];
        let count = random.generate_range(1..4);
        signals += signals::send_series(process, random, &kinds, count).await;
    }
    fs::write(path, good)?;
    process.signal(Signal::HUP);
    Ok(signals + 1)
}

async fn wait_for_descriptors(
    process: &Process,
    initial_descriptors: usize,
    report: &mut SoakReport,
) {
    let started = Instant::now();
    while signals::open_descriptors(process) > initial_descriptors {
        if started.elapsed() > SETTLE_TIMEOUT {
            let now = signals::open_descriptors(process);
            let detail = format!("forwarder: {now}, {initial_descriptors} initially");
            return report.add_violation("descriptors-grow", detail);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Requests that the forwarder answered, from the counters in its log after the drain.
fn answered_requests(log_path: &Path) -> Option<u64> {
    // A request that arrives during the drain is rejected and counted as over a limit.
    let names = ["honoured=", "dismissed=", "given_up=", "full="];
    names.iter().map(|name| counter(log_path, name)).sum()
}

/// Value of a counter in the last line of counters; `name` includes the equals sign.
fn counter(log_path: &Path, name: &str) -> Option<u64> {
    let text = fs::read_to_string(log_path).ok()?;
    let counts = text
        .lines()
        .rev()
        .find(|line| line.contains("event=\"counts\""))?;
    let field = counts
        .split(' ')
        .find_map(|field| field.strip_prefix(name))?;
    field.parse().ok()
}
