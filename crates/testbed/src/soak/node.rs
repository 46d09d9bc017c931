//! One node under a soak: clients go on until the kill, which comes at the protocol's earliest moment.

use super::client::{end_clients, start_client, start_slow_client, ClientLog};
use super::verdict::{drain_until_kill, Used};
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

/// The node's deadline of a request, and how much later an answer is in time on a shared machine.
pub(super) const WITHIN: Duration = Duration::from_secs(1);
pub(super) const SLACK: Duration = Duration::from_millis(500);
/// The longest run.
pub(super) const LONGEST_RUN: Duration = Duration::from_millis(20);
/// Both where requests are open until the kill: a deadline and runs past [`DRAIN_TIMEOUT`].
const LONG_WITHIN: Duration = Duration::from_secs(6);
const LONG_LONGEST_RUN: Duration = Duration::from_secs(8);
/// Between two rounds of reloads and crowds: the node's log has capacity for the lines of all of them.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Descriptors that a node may have where a crowd comes, and connections of that crowd.
const CROWD_SOCKETS: u64 = 160;
const CROWD_SIZE: usize = 240;
const CROWD_SPAN: Duration = Duration::from_millis(600);
/// For descriptors to come back to where they were, and for the last settings to be in force.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Open requests of each client.
const DEPTHS: [usize; 5] = [1, 1, 1, 4, 8];
/// Clients that read slowly beside them.
pub(super) const SLOW_CLIENTS: usize = 2;
/// Memory that a node may have, in kilobytes, as its file says.
const MEMORY_KB: u64 = 192 << 10;

/// Signals to reload before the node is ready.
const EARLY_SIGNALS: u64 = 3;

/// How long requests of a seed may take.
struct Spans {
    within: Duration,
    longest_run: Duration,
}

impl Spans {
    /// In one seed of three requests are open until the kill.
    fn of(seed: u64) -> Self {
        if seed % 3 == 2 {
            return Self {
                within: LONG_WITHIN,
                longest_run: LONG_LONGEST_RUN,
            };
        }
        Self {
            within: WITHIN,
            longest_run: LONGEST_RUN,
        }
    }
}

/// A node that is being soaked.
struct Soaked<'a> {
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

/// Plays a node from its start to its kill.
///
/// # Errors
/// If a process cannot be started.
pub async fn play(options: &SoakOptions, report: &mut SoakReport) -> io::Result<()> {
    let folder = &options.folder;
    let spans = Spans::of(options.seed);
    let (_agent, agent_address) = start_agent(options, spans.longest_run).await?;
    let address = free_port()?;
    let has_crowd = options.seed.is_multiple_of(3);
    let mut file = node_configuration("n1", address, agent_address, options.seed, spans.within);
    if has_crowd {
        file["limits"]["sockets"] = CROWD_SOCKETS.into();
    }
    if options.seed.is_multiple_of(2) {
        // Nobody listens there.
        file["announce"] = free_port()?.to_string().into();
    }
    let (path, log_path) = (folder.join("node.json"), folder.join("node.log"));
    fs::write(&path, file.to_string())?;
    let process = start_node(options, &path, &log_path, report).await?;
    let log = Rc::new(ClientLog::default());
    let start = |depth| start_client(address, depth, spans.within + SLACK, &log);
    let mut clients: Vec<_> = DEPTHS.map(start).into();
    clients.extend((0..SLOW_CLIENTS).map(|_| start_slow_client(address, &log)));
    let mut soaked = Soaked {
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
    soaked.serve(&log).await?;
    let Soaked {
        report,
        mut random,
        mut process,
        log_path,
        ..
    } = soaked;
    let drain = drain_until_kill(&mut process, &mut random, DRAIN_TIMEOUT).await;
    end_clients(&log, clients).await;
    let used = Used {
        name: "node",
        log: &log,
        drain,
        read: read_requests(&log_path),
        cut_off: 0,
        agent_history: &options.folder.join("agent.part"),
    };
    used.judge(report)
}

/// Starts the node and waits until it is up; in one seed of four it gets signals before that.
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

/// The agent of the node, whose runs take up to this time.
pub(super) async fn start_agent(
    options: &SoakOptions,
    longest_run: Duration,
) -> io::Result<(Process, SocketAddr)> {
    let agent = agent::Options {
        name: "agent-n1".to_owned(),
        seed: options.seed,
        run_least_ns: 1_000_000,
        run_most_ns: longest_run.as_nanos() as u64,
        history: options.folder.join("agent.part"),
    };
    let log = options.folder.join("agent.log");
    scenario::start_agent(&agent, options.programs.as_deref(), &log).await
}

impl Soaked<'_> {
    /// Serves while files are reloaded in series and a crowd comes and goes.
    async fn serve(&mut self, log: &ClientLog) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(self.options.seconds);
        sleep(Duration::from_millis(200)).await;
        let settled = signals::descriptors(&self.process);
        let mut round = 0;
        while round == 0 || Instant::now() < until {
            round += 1;
            self.reload_in_series(round).await?;
            if self.random.generate_range(0..3u32) == 0 {
                self.pause().await;
            }
            if self.has_crowd {
                let finals = log.finals.get();
                let open = crowd::hold(self.address, CROWD_SIZE, CROWD_SPAN).await;
                self.report.crowd = self.report.crowd.max(open);
                // Where runs are long an answer need not come in that time.
                if log.finals.get() == finals && self.options.seed % 3 != 2 {
                    let detail = format!("no answer in {CROWD_SPAN:?} beside {open} connections");
                    self.report.violate("crowd-starves-clients", detail);
                }
            }
            self.settle(settled, round).await;
            sleep(ROUND_PAUSE).await;
        }
        let peak = signals::peak_memory_kb(&self.process);
        if peak > MEMORY_KB {
            self.report.violate("memory", format!("{peak} kB"));
        }
        Ok(())
    }

    /// Good, bad and half-written files, each with a signal; the last one is good, and has to be in force.
    async fn reload_in_series(&mut self, round: u64) -> io::Result<()> {
        let steps = self.random.generate_range(2..6u64);
        for _ in 0..steps {
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
                signals::series(&self.process, &mut self.random, &kinds, count).await;
        }
        let longest_ms = 1_000 + round;
        self.file["settings"]["permissions"]["maxRetryAfterS"] = (longest_ms as f64 / 1e3).into();
        fs::write(&self.path, self.file.to_string())?;
        self.process.signal(Signal::HUP);
        self.report.signals += 1;
        let wanted = format!("longest_ms={longest_ms}");
        let started = Instant::now();
        while !self.last_settings().contains(&wanted) {
            if started.elapsed() > SETTLE_TIMEOUT {
                let detail = format!("round {round}: not {wanted}, but {}", self.last_settings());
                self.report.violate("reload-lost", detail);
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// The last line of the log that tells of settings in force.
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

    /// Waits until the node has no more descriptors than before.
    async fn settle(&mut self, settled: usize, round: u64) {
        let started = Instant::now();
        loop {
            let now = signals::descriptors(&self.process);
            if now <= settled {
                return;
            }
            if started.elapsed() > SETTLE_TIMEOUT {
                let detail = format!("{now} in round {round}, {settled} at first");
                return self.report.violate("descriptors-grow", detail);
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Requests that the node read, by the counters that it printed at its end.
fn read_requests(log_path: &PathBuf) -> Option<u64> {
    let text = fs::read_to_string(log_path).ok()?;
    let (_, after) = text.rsplit_once("drain ends")?;
    let counts = after.lines().find(|line| line.starts_with("counts "))?;
    let read = counts
        .split(' ')
        .find_map(|word| word.strip_prefix("tickets="))?;
    read.parse().ok()
}
