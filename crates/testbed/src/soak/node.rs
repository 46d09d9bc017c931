//! Soak of one node: clients send requests until the node is killed, at the earliest time that the protocol allows.

use super::client::{end_clients, start_client, start_slow_client, ClientLog};
use super::verdict::{drain_until_kill, DrainedServer};
use super::{crowd, signals, SoakOptions, SoakReport};
use crate::peers::agent;
use crate::process::{count_starts, free_port, program, Process};
use crate::scenario::{self, node_configuration, DRAIN_TIMEOUT};
use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use serde_json::Value;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{sleep, Instant};

/// The node's deadline for a request, and the tolerance that a shared machine needs for an answer to count as in time.
pub(super) const REQUEST_DEADLINE: Duration = Duration::from_secs(1);
pub(super) const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Longest run of the agent.
pub(super) const MAX_RUN_TIME: Duration = Duration::from_millis(20);
/// Deadline and longest run for requests that are open until the kill: both exceed [`DRAIN_TIMEOUT`].
const LONG_REQUEST_DEADLINE: Duration = Duration::from_secs(6);
const LONG_MAX_RUN_TIME: Duration = Duration::from_secs(8);
/// Pause between two rounds of reloads and crowds: the node's log has capacity for the lines of all rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Descriptor limit of a node that gets a crowd, and number of connections in that crowd.
const CROWD_SOCKETS: u64 = 160;
const CROWD_SIZE: usize = 240;
const CROWD_SPAN: Duration = Duration::from_millis(600);
/// Time limit for the number of open descriptors to return to the initial value, and for new settings to be applied.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Open requests of each client.
const DEPTHS: [usize; 5] = [1, 1, 1, 4, 8];
/// Number of additional clients that read slowly.
pub(super) const SLOW_CLIENTS: usize = 2;
/// Memory limit of a node in kilobytes, as in its configuration file.
const MEMORY_KB: u64 = 192 << 10;

/// Reload signals sent before the node is ready.
const EARLY_SIGNALS: u64 = 3;

/// Time limits for the requests of one seed.
struct TimeLimits {
    deadline: Duration,
    max_run_time: Duration,
}

impl TimeLimits {
    /// In every third seed, requests are open until the kill.
    fn for_seed(seed: u64) -> Self {
        if seed % 3 == 2 {
            return Self {
                deadline: LONG_REQUEST_DEADLINE,
                max_run_time: LONG_MAX_RUN_TIME,
            };
        }
        Self {
            deadline: REQUEST_DEADLINE,
            max_run_time: MAX_RUN_TIME,
        }
    }
}

/// A running soak of a node.
struct NodeSoak<'a> {
    options: &'a SoakOptions,
    report: &'a mut SoakReport,
    random: WyRand,
    process: Process,
    address: SocketAddr,
    file: Value,
    path: PathBuf,
    log_path: PathBuf,
    has_crowd: bool,
}

/// Runs a node from its start to its kill.
///
/// # Errors
/// If a process cannot be started.
pub async fn run(options: &SoakOptions, report: &mut SoakReport) -> io::Result<()> {
    let folder = &options.folder;
    let limits = TimeLimits::for_seed(options.seed);
    let (_agent, agent_address) = start_agent(options, limits.max_run_time).await?;
    let address = free_port()?;
    let has_crowd = options.seed.is_multiple_of(3);
    let mut file = node_configuration("n1", address, agent_address, options.seed, limits.deadline);
    if has_crowd {
        file["limits"]["sockets"] = CROWD_SOCKETS.into();
    }
    if options.seed.is_multiple_of(2) {
        // No process listens on this address.
        file["announce"] = free_port()?.to_string().into();
    }
    let (path, log_path) = (folder.join("node.json"), folder.join("node.log"));
    fs::write(&path, file.to_string())?;
    let process = start_node(options, &path, &log_path, report).await?;
    let log = Rc::new(ClientLog::default());
    let start = |depth| start_client(address, depth, limits.deadline + DEADLINE_SLACK, &log);
    let mut clients: Vec<_> = DEPTHS.map(start).into();
    clients.extend((0..SLOW_CLIENTS).map(|_| start_slow_client(address, &log)));
    let mut soak = NodeSoak {
        options,
        report,
        random: WyRand::new_seed(options.seed),
        process,
        address,
        file,
        path,
        log_path,
        has_crowd,
    };
    soak.serve(&log).await?;
    let NodeSoak {
        report,
        mut random,
        mut process,
        log_path,
        ..
    } = soak;
    let drain = drain_until_kill(&mut process, &mut random, DRAIN_TIMEOUT).await;
    end_clients(&log, clients).await;
    let server = DrainedServer {
        name: "node",
        log: &log,
        drain,
        requests_read: read_requests(&log_path),
        cut_off: 0,
        agent_history: &options.folder.join("agent.part"),
    };
    server.verify(report)
}

/// Starts the node and waits until it is up; in every fourth seed it gets signals before that.
async fn start_node(
    options: &SoakOptions,
    path: &Path,
    log_path: &Path,
    report: &mut SoakReport,
) -> io::Result<Process> {
    let mut command = Command::new(program("rainstand-node", options.programs.as_deref())?);
    command
        .env("ROUTER_CONFIG", path)
        .stdin(Stdio::null())
        .stdout(Stdio::null());
    if let Some(bug) = &options.bug {
        command.env("RAINSTAND_PLANT", bug);
    }
    let starts = count_starts(log_path);
    let mut process = Process::start("n1", command, log_path)?;
    if options.seed % 4 == 1 && signals::wait_for_handlers(&mut process).await {
        for _ in 0..EARLY_SIGNALS {
            process.signal(Signal::HUP);
        }
        report.signals += EARLY_SIGNALS;
    }
    process.wait_until_up(log_path, starts).await?;
    Ok(process)
}

/// Starts the node's agent, whose runs take at most `max_run_time`.
pub(super) async fn start_agent(
    options: &SoakOptions,
    max_run_time: Duration,
) -> io::Result<(Process, SocketAddr)> {
    let agent = agent::Options {
        name: "agent-n1".to_owned(),
        seed: options.seed,
        run_least_ns: 1_000_000,
        run_most_ns: max_run_time.as_nanos() as u64,
        history: options.folder.join("agent.part"),
    };
    let log = options.folder.join("agent.log");
    scenario::start_agent(&agent, options.programs.as_deref(), &log).await
}

impl NodeSoak<'_> {
    /// Lets the node serve while files are reloaded in series and a crowd connects and disconnects.
    async fn serve(&mut self, log: &ClientLog) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(self.options.seconds);
        sleep(Duration::from_millis(200)).await;
        let initial_descriptors = signals::open_descriptors(&self.process);
        let mut round = 0;
        while round == 0 || Instant::now() < until {
            round += 1;
            self.reload_in_series(round).await?;
            if self.random.generate_range(0..3u32) == 0 {
                self.pause().await;
            }
            if self.has_crowd {
                let answers = log.answers.get();
                let open = crowd::hold_connections(self.address, CROWD_SIZE, CROWD_SPAN).await;
                self.report.crowd = self.report.crowd.max(open);
                // With long runs, an answer is not required within that time.
                if log.answers.get() == answers && self.options.seed % 3 != 2 {
                    let detail = format!(
                        "no answer within {CROWD_SPAN:?} with {open} other connections open"
                    );
                    self.report.add_violation("crowd-starves-clients", detail);
                }
            }
            self.wait_for_descriptors(initial_descriptors, round).await;
            sleep(ROUND_PAUSE).await;
        }
        let peak = signals::peak_memory_kb(&self.process);
        if peak > MEMORY_KB {
            self.report.add_violation("memory", format!("{peak} kB"));
        }
        Ok(())
    }

    /// Writes valid, invalid and truncated files, each followed by signals; the last one is valid and must be applied.
    async fn reload_in_series(&mut self, round: u64) -> io::Result<()> {
        let reloads = self.random.generate_range(2..6u64);
        for _ in 0..reloads {
            let good = self.file.to_string();
            let text = match self.random.generate_range(0..3u32) {
                0 => good,
                1 => "{\"name\": 7}".to_owned(),
                _ => good[..good.len() / 2].to_owned(),
            };
            fs::write(&self.path, text)?;
            let kinds = [Signal::HUP, Signal::HUP, Signal::USR1];
            let count = self.random.generate_range(1..4);
            self.report.signals +=
                signals::send_series(&self.process, &mut self.random, &kinds, count).await;
        }
        let longest_ms = 1_000 + round;
        self.file["settings"]["permissions"]["maxRetryAfterS"] = (longest_ms as f64 / 1e3).into();
        fs::write(&self.path, self.file.to_string())?;
        self.process.signal(Signal::HUP);
        self.report.signals += 1;
        let expected = format!("longest_ms={longest_ms}");
        let started = Instant::now();
        while !self.last_settings().contains(&expected) {
            if started.elapsed() > SETTLE_TIMEOUT {
                let detail = format!(
                    "round {round}: expected {expected}, found {}",
                    self.last_settings()
                );
                self.report.add_violation("reload-lost", detail);
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// The last log line about applied settings.
    fn last_settings(&self) -> String {
        let text = fs::read_to_string(&self.log_path).unwrap_or_default();
        let mut newest_first = text.lines().rev();
        let last = newest_first.find(|line| line.starts_with("settings applied"));
        last.unwrap_or("none").to_owned()
    }

    async fn pause(&mut self) {
        self.process.signal(Signal::STOP);
        sleep(Duration::from_millis(self.random.generate_range(20..150))).await;
        self.process.signal(Signal::CONT);
        self.report.signals += 2;
    }

    /// Waits until the node has no more open descriptors than initially.
    async fn wait_for_descriptors(&mut self, initial_descriptors: usize, round: u64) {
        let started = Instant::now();
        loop {
            let now = signals::open_descriptors(&self.process);
            if now <= initial_descriptors {
                return;
            }
            if started.elapsed() > SETTLE_TIMEOUT {
                let detail = format!("{now} in round {round}, {initial_descriptors} initially");
                return self.report.add_violation("descriptors-grow", detail);
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Requests that the node read, from the counters that it printed after its drain.
fn read_requests(log_path: &PathBuf) -> Option<u64> {
    let text = fs::read_to_string(log_path).ok()?;
    let (_, after) = text.rsplit_once("drain ends")?;
    let counts = after.lines().find(|line| line.starts_with("counts "))?;
    let requests_read = counts
        .split(' ')
        .find_map(|word| word.strip_prefix("tickets="))?;
    requests_read.parse().ok()
}
