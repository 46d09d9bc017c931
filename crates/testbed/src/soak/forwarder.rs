//! A forwarder before one node under a soak: reloads in series, a crowd, and clients that go on until its kill.

use super::client::{end_clients, start_client, start_slow_client, ClientLog};
use super::node::{start_agent, LONGEST_RUN, SLACK, SLOW_CLIENTS, WITHIN};
use super::verdict::{drain_until_kill, Used};
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
/// For a forwarder to start, and for its descriptors to come back to where they were.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Between two rounds, while clients ask.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Plays a forwarder from its start to its kill.
///
/// # Errors
/// If a process cannot be started.
pub async fn play(options: &SoakOptions, report: &mut SoakReport) -> io::Result<()> {
    let folder = options.folder.join("forwarder");
    fs::create_dir_all(&folder)?;
    let behind = SoakOptions {
        folder: folder.clone(),
        ..options.clone()
    };
    let (_agent, agent) = start_agent(&behind, LONGEST_RUN).await?;
    let (_node, node) = start_node(&behind, agent).await?;
    let address = free_port()?;
    let path = folder.join("forwarder.rain");
    fs::write(&path, configuration(node, 1))?;
    let log_path = folder.join("forwarder.log");
    let mut process = start_forwarder(&behind, address, &path, &log_path)?;
    wait_for_start(&mut process, &log_path).await?;
    let log = Rc::new(ClientLog::default());
    let start = |depth| start_client(address, depth, WITHIN + SLACK, &log);
    let mut clients: Vec<_> = DEPTHS.map(start).into();
    clients.extend((0..SLOW_CLIENTS).map(|_| start_slow_client(address, &log)));
    let mut random = WyRand::new_seed(options.seed ^ 0xf0);
    sleep(ROUND_PAUSE).await;
    let settled = signals::descriptors(&process);
    for round in 1..=ROUNDS {
        let reloaded = reload_in_series(&process, &mut random, &path, node, round).await?;
        report.signals += reloaded;
        if options.seed.is_multiple_of(3) {
            report.crowd = report
                .crowd
                .max(crowd::hold(address, CROWD_SIZE, CROWD_SPAN).await);
        }
        settle(&process, settled, report).await;
        sleep(ROUND_PAUSE).await;
    }
    let drain = drain_until_kill(&mut process, &mut random, DRAIN_TIMEOUT).await;
    end_clients(&log, clients).await;
    let used = Used {
        name: "forwarder",
        log: &log,
        drain,
        read: answered_requests(&log_path),
        cut_off: counter(&log_path, "cut_off=").unwrap_or(0),
        agent_history: &folder.join("agent.part"),
    };
    used.judge(report)
}

async fn start_node(options: &SoakOptions, agent: SocketAddr) -> io::Result<(Process, SocketAddr)> {
    let address = free_port()?;
    let file = node_configuration("n1", address, agent, options.seed, WITHIN);
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
                "the forwarder does not start: {text}"
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

/// Good, bad and half-written files, each with a signal, and a good one at last; the number of signals.
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
        signals += signals::series(process, random, &kinds, count).await;
    }
    fs::write(path, good)?;
    process.signal(Signal::HUP);
    Ok(signals + 1)
}

async fn settle(process: &Process, settled: usize, report: &mut SoakReport) {
    let started = Instant::now();
    while signals::descriptors(process) > settled {
        if started.elapsed() > SETTLE_TIMEOUT {
            let now = signals::descriptors(process);
            let detail = format!("forwarder: {now}, {settled} at first");
            return report.violate("descriptors-grow", detail);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Requests that the forwarder answered, by the counters that it printed at its end.
fn answered_requests(log_path: &Path) -> Option<u64> {
    // What comes while it leaves is dismissed as past its bounds.
    let names = ["honoured=", "dismissed=", "given_up=", "full="];
    names.iter().map(|name| counter(log_path, name)).sum()
}

/// A counter of the last line of them; `name` with its equals sign.
fn counter(log_path: &Path, name: &str) -> Option<u64> {
    let text = fs::read_to_string(log_path).ok()?;
    let counts = text
        .lines()
        .rev()
        .find(|line| line.contains("event=\"counts\""))?;
    let word = counts.split(' ').find_map(|word| word.strip_prefix(name))?;
    word.parse().ok()
}
