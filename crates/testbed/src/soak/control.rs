//! Soak of a config server group: changes are published one after the other while servers get signals in series, stop,
//! continue, drain and restart, two of them at the same time.
//!
//! Each publish is a change, as no two files are equal. So "nothing changes" is always wrong, a reported committed
//! version is newer than all earlier ones, and at the end each server has the last version.

use super::{signals, SoakOptions, SoakReport};
use crate::process::{free_port, program, Process};
use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::time::{sleep, timeout, Instant};

const SERVERS: usize = 3;
const PUBLISHES: u64 = 10;
/// Time limit for a server to exit after a drain signal: the time to hand over its leadership, plus a second.
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for the group to commit changes again, at the start and at the end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle connections opened to a server by one fault.
const IDLE_CONNECTIONS: usize = 10;

/// Reported outcome of a publish.
#[derive(Debug, PartialEq, Eq)]
enum PublishOutcome {
    Committed(u64),
    Unchanged(u64),
    Conflict,
    Unknown,
    Other(String),
}

struct ConfigServers<'a> {
    options: &'a SoakOptions,
    report: &'a mut SoakReport,
    random: WyRand,
    addresses: Vec<SocketAddr>,
    processes: Vec<Process>,
    idle: Vec<TcpStream>,
    published: u64,
    newest: u64,
    /// Whether a change with an unknown outcome may still be committed.
    may_conflict: bool,
}

/// Runs a group of config servers from start to shutdown.
///
/// # Errors
/// If a process cannot be started.
pub async fn run(options: &SoakOptions, report: &mut SoakReport) -> io::Result<()> {
    let addresses: io::Result<Vec<SocketAddr>> = (0..SERVERS).map(|_| free_port()).collect();
    let mut servers = ConfigServers {
        options,
        report,
        random: WyRand::new_seed(options.seed ^ 0xc0),
        addresses: addresses?,
        processes: Vec::new(),
        idle: Vec::new(),
        published: 0,
        newest: 0,
        may_conflict: false,
    };
    servers.write_group()?;
    for server in 0..SERVERS {
        let process = servers.start(server)?;
        servers.processes.push(process);
    }
    servers.publish_until_committed().await?;
    for _ in 0..PUBLISHES {
        servers.inject_fault().await?;
        let server = servers.random.generate_range(0..SERVERS);
        servers.publish(server).await?;
    }
    servers.publish_until_committed().await?;
    servers.read_back().await?;
    servers.drain_all().await;
    Ok(())
}

impl ConfigServers<'_> {
    fn folder(&self) -> &Path {
        &self.options.folder
    }

    fn write_group(&self) -> io::Result<()> {
        let mut members = String::new();
        for (index, address) in self.addresses.iter().enumerate() {
            let name = format!("c{}", index + 1);
            // Writing to a string cannot fail.
            let _ = writeln!(
                members,
                "  member {name} {{ site: s{index}; address: \"{address}\"; folder: \"{name}\" }}"
            );
        }
        let text = format!("rain 1\ngroup fleet {{\n  shards: 1\n{members}}}\n");
        fs::write(self.folder().join("control.rain"), text)
    }

    fn start(&self, server: usize) -> io::Result<Process> {
        let name = format!("c{}", server + 1);
        let mut command = Command::new(program("rainstand", self.options.programs.as_deref())?);
        command
            .args(["control", "--config", "control.rain", "--name", &name])
            .current_dir(self.folder())
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        if let Some(bug) = &self.options.bug {
            command.env("RAINSTAND_PLANT", bug);
        }
        Process::start(&name, command, &self.folder().join(format!("{name}.log")))
    }

    /// Publishes a file that differs from all earlier ones.
    async fn publish(&mut self, server: usize) -> io::Result<PublishOutcome> {
        self.published += 1;
        let share = self.published;
        let text = format!(
            "rain 1\ntype check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}\n\
             tenant acme {{ share: {share} % }}\n"
        );
        fs::write(self.folder().join("next.rain"), text)?;
        let outcome = self.run_publish(server).await?;
        let number = self.published;
        match &outcome {
            PublishOutcome::Committed(version) if *version > self.newest => {
                self.newest = *version;
                self.report.committed += 1;
            }
            PublishOutcome::Committed(version) => {
                let detail = format!("publish {number}: {version} after {}", self.newest);
                self.report.add_violation("version-not-newer", detail);
            }
            PublishOutcome::Unchanged(version) => {
                let detail = format!("publish {number} at c{}: version {version}", server + 1);
                self.report.add_violation("false-nothing-changes", detail);
            }
            PublishOutcome::Conflict if self.may_conflict => {}
            PublishOutcome::Conflict => {
                let detail = format!("publish {number} at c{}", server + 1);
                self.report.add_violation("false-conflict", detail);
            }
            PublishOutcome::Unknown => {
                self.report.unknown += 1;
                self.may_conflict = true;
            }
            PublishOutcome::Other(output) => self.report.add_violation("publish", output.clone()),
        }
        Ok(outcome)
    }

    async fn run_publish(&self, server: usize) -> io::Result<PublishOutcome> {
        let mut command = Command::new(program("rainstand", self.options.programs.as_deref())?);
        let address = self.addresses[server].to_string();
        command
            .args(["config", "publish", "next.rain", "--json", "--at", &address])
            .current_dir(self.folder())
            .stdin(Stdio::null());
        if let Some(bug) = &self.options.bug {
            command.env("RAINSTAND_PLANT", bug);
        }
        let output = command.output().await?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let last = text.lines().last().unwrap_or_default().to_owned();
        let reply: serde_json::Value = serde_json::from_str(&last).unwrap_or_default();
        let version = |key: &str| reply[key].as_u64();
        Ok(match output.status.code() {
            Some(0) => match (version("committed"), version("unchanged")) {
                (Some(version), _) => PublishOutcome::Committed(version),
                (_, Some(version)) => PublishOutcome::Unchanged(version),
                _ => PublishOutcome::Other(last),
            },
            Some(1) if reply["conflict"].is_string() => PublishOutcome::Conflict,
            // The server does not answer, or does not know the outcome.
            Some(2 | 3) => PublishOutcome::Unknown,
            _ => PublishOutcome::Other(format!("{:?} {last}", output.status)),
        })
    }

    async fn publish_until_committed(&mut self) -> io::Result<()> {
        let started = Instant::now();
        let mut server = 0;
        while !matches!(self.publish(server).await?, PublishOutcome::Committed(_)) {
            server = (server + 1) % SERVERS;
            if started.elapsed() > SETTLE_TIMEOUT {
                let detail = format!("no publish committed within {SETTLE_TIMEOUT:?}");
                self.report.add_violation("group-does-not-settle", detail);
                break;
            }
        }
        Ok(())
    }

    async fn inject_fault(&mut self) -> io::Result<()> {
        let server = self.random.generate_range(0..SERVERS);
        match self.random.generate_range(0..6u32) {
            // A signal that arrives before the process has installed its handlers kills it.
            0 if signals::wait_for_handlers(&mut self.processes[server]).await => {
                let kinds = [Signal::HUP];
                self.report.signals +=
                    signals::send_series(&self.processes[server], &mut self.random, &kinds, 4)
                        .await;
            }
            1 => {
                let process = &self.processes[server];
                process.signal(Signal::STOP);
                sleep(Duration::from_millis(self.random.generate_range(50..900))).await;
                process.signal(Signal::CONT);
                self.report.signals += 2;
            }
            2 => {
                self.drain(server).await;
                self.processes[server] = self.start(server)?;
            }
            3 => {
                // Two servers drain concurrently.
                let other = (server + 1) % SERVERS;
                self.processes[other].signal(Signal::TERM);
                self.drain(server).await;
                self.drain(other).await;
                for restarted in [server, other] {
                    self.processes[restarted] = self.start(restarted)?;
                }
            }
            4 => {
                for _ in 0..IDLE_CONNECTIONS {
                    let address = self.addresses[server];
                    if let Ok(Ok(idle)) = timeout(END_TIMEOUT, TcpStream::connect(address)).await {
                        self.idle.push(idle);
                    }
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Sends drain signals in series. A server that does not exit by itself is killed and reported as a violation.
    async fn drain(&mut self, server: usize) {
        let kinds = [Signal::TERM, Signal::INT, Signal::HUP];
        let process = &mut self.processes[server];
        let started = Instant::now();
        process.signal(Signal::TERM);
        // More signals while it drains; they kill a process that has not installed its handlers yet.
        sleep(Duration::from_millis(5)).await;
        self.report.signals += 1 + signals::send_series(process, &mut self.random, &kinds, 3).await;
        let left = END_TIMEOUT.saturating_sub(started.elapsed());
        match process.wait(left).await {
            // Killed by a signal that arrived before the handlers were installed.
            Ok(status) if status.success() || status.code().is_none() => {}
            Ok(status) => {
                let detail = format!("c{}: {status}", server + 1);
                self.report.add_violation("control-exit", detail);
            }
            Err(error) => {
                process.signal(Signal::KILL);
                let _ = process.wait(END_TIMEOUT).await;
                self.report
                    .add_violation("control-not-ended", error.to_string());
            }
        }
    }

    /// Checks that each server reports the last change as current.
    async fn read_back(&mut self) -> io::Result<()> {
        for server in 0..SERVERS {
            let started = Instant::now();
            loop {
                match self.run_publish(server).await? {
                    PublishOutcome::Unchanged(version) if version >= self.newest => break,
                    PublishOutcome::Unknown if started.elapsed() < SETTLE_TIMEOUT => {}
                    other => {
                        let detail =
                            format!("c{}: {other:?} for version {}", server + 1, self.newest);
                        self.report.add_violation("committed-not-read", detail);
                        break;
                    }
                }
            }
        }
        Ok(())
    }

    async fn drain_all(&mut self) {
        for server in 0..SERVERS {
            self.drain(server).await;
        }
    }
}
