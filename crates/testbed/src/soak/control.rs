//! Control machines under a soak: changes are published one after the other while machines get signals in series, stop,
//! continue, drain and start again, two of them in the same moment.
//!
//! Each publish is a change, as no two files are alike. So "nothing changes" is never true, a version that is said to be
//! committed is newer than all that were said before, and in the end each machine has the last one.

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

const MACHINES: usize = 3;
const PUBLISHES: u64 = 10;
/// For a machine to end after a signal to drain: what it takes for its leadership, and a second.
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// For the group to take changes again at the end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Connections that do nothing, held open at each machine.
const IDLE_CONNECTIONS: usize = 10;

/// What a publish said.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Committed(u64),
    Unchanged(u64),
    Conflict,
    Unknown,
    Other(String),
}

struct Machines<'a> {
    options: &'a SoakOptions,
    report: &'a mut SoakReport,
    random: WyRand,
    addresses: Vec<SocketAddr>,
    processes: Vec<Process>,
    idle: Vec<TcpStream>,
    published: u64,
    newest: u64,
    /// Whether a change whose outcome is not known may still be committed.
    may_conflict: bool,
}

/// Plays a group of control machines from its start to its end.
///
/// # Errors
/// If a process cannot be started.
pub async fn play(options: &SoakOptions, report: &mut SoakReport) -> io::Result<()> {
    let addresses: io::Result<Vec<SocketAddr>> = (0..MACHINES).map(|_| free_port()).collect();
    let mut machines = Machines {
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
    machines.write_group()?;
    for machine in 0..MACHINES {
        let process = machines.start(machine)?;
        machines.processes.push(process);
    }
    machines.publish_until_committed().await?;
    for _ in 0..PUBLISHES {
        machines.disturb().await?;
        let at = machines.random.generate_range(0..MACHINES);
        machines.publish(at).await?;
    }
    machines.publish_until_committed().await?;
    machines.read_back().await?;
    machines.end().await;
    Ok(())
}

impl Machines<'_> {
    fn folder(&self) -> &Path {
        &self.options.folder
    }

    fn write_group(&self) -> io::Result<()> {
        let mut members = String::new();
        for (at, address) in self.addresses.iter().enumerate() {
            let name = format!("c{}", at + 1);
            // Writing to a string cannot fail.
            let _ = writeln!(
                members,
                "  member {name} {{ site: s{at}; address: \"{address}\"; folder: \"{name}\" }}"
            );
        }
        let text = format!("rain 1\ngroup fleet {{\n  shards: 1\n{members}}}\n");
        fs::write(self.folder().join("control.rain"), text)
    }

    fn start(&self, machine: usize) -> io::Result<Process> {
        let name = format!("c{}", machine + 1);
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

    /// Publishes a file that no other was like.
    async fn publish(&mut self, at: usize) -> io::Result<Outcome> {
        self.published += 1;
        let share = self.published;
        let text = format!(
            "rain 1\ntype check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}\n\
             tenant acme {{ share: {share} % }}\n"
        );
        fs::write(self.folder().join("next.rain"), text)?;
        let outcome = self.run_publish(at).await?;
        let number = self.published;
        match &outcome {
            Outcome::Committed(version) if *version > self.newest => {
                self.newest = *version;
                self.report.committed += 1;
            }
            Outcome::Committed(version) => {
                let detail = format!("publish {number}: {version} after {}", self.newest);
                self.report.violate("version-not-newer", detail);
            }
            Outcome::Unchanged(version) => {
                let detail = format!("publish {number} at c{}: version {version}", at + 1);
                self.report.violate("false-nothing-changes", detail);
            }
            Outcome::Conflict if self.may_conflict => {}
            Outcome::Conflict => {
                let detail = format!("publish {number} at c{}", at + 1);
                self.report.violate("false-conflict", detail);
            }
            Outcome::Unknown => {
                self.report.unknown += 1;
                self.may_conflict = true;
            }
            Outcome::Other(told) => self.report.violate("publish", told.clone()),
        }
        Ok(outcome)
    }

    async fn run_publish(&self, at: usize) -> io::Result<Outcome> {
        let mut command = Command::new(program("rainstand", self.options.programs.as_deref())?);
        let address = self.addresses[at].to_string();
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
        let said: serde_json::Value = serde_json::from_str(&last).unwrap_or_default();
        let version = |key: &str| said[key].as_u64();
        Ok(match output.status.code() {
            Some(0) => match (version("committed"), version("unchanged")) {
                (Some(version), _) => Outcome::Committed(version),
                (_, Some(version)) => Outcome::Unchanged(version),
                _ => Outcome::Other(last),
            },
            Some(1) if said["conflict"].is_string() => Outcome::Conflict,
            // Nobody answers there, or it does not know.
            Some(2 | 3) => Outcome::Unknown,
            _ => Outcome::Other(format!("{:?} {last}", output.status)),
        })
    }

    async fn publish_until_committed(&mut self) -> io::Result<()> {
        let started = Instant::now();
        let mut at = 0;
        while !matches!(self.publish(at).await?, Outcome::Committed(_)) {
            at = (at + 1) % MACHINES;
            if started.elapsed() > SETTLE_TIMEOUT {
                let detail = format!("nothing is committed in {SETTLE_TIMEOUT:?}");
                self.report.violate("group-does-not-settle", detail);
                break;
            }
        }
        Ok(())
    }

    async fn disturb(&mut self) -> io::Result<()> {
        let machine = self.random.generate_range(0..MACHINES);
        match self.random.generate_range(0..6u32) {
            // The system ends a process by a signal that it does not handle yet, however early it begins to.
            0 if signals::wait_for_handlers(&mut self.processes[machine]).await => {
                let kinds = [Signal::HUP];
                self.report.signals +=
                    signals::series(&self.processes[machine], &mut self.random, &kinds, 4).await;
            }
            1 => {
                let process = &self.processes[machine];
                process.signal(Signal::STOP);
                sleep(Duration::from_millis(self.random.generate_range(50..900))).await;
                process.signal(Signal::CONT);
                self.report.signals += 2;
            }
            2 => {
                self.drain(machine).await;
                self.processes[machine] = self.start(machine)?;
            }
            3 => {
                // Two drains in the same moment.
                let other = (machine + 1) % MACHINES;
                self.processes[other].signal(Signal::TERM);
                self.drain(machine).await;
                self.drain(other).await;
                for restarted in [machine, other] {
                    self.processes[restarted] = self.start(restarted)?;
                }
            }
            4 => {
                for _ in 0..IDLE_CONNECTIONS {
                    let address = self.addresses[machine];
                    if let Ok(Ok(idle)) = timeout(END_TIMEOUT, TcpStream::connect(address)).await {
                        self.idle.push(idle);
                    }
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Signals to end, in series; a machine that does not end by itself is killed, and that is told.
    async fn drain(&mut self, machine: usize) {
        let kinds = [Signal::TERM, Signal::INT, Signal::HUP];
        let process = &mut self.processes[machine];
        let started = Instant::now();
        process.signal(Signal::TERM);
        // A second signal while it drains; the system ends a process that has not begun to handle them.
        sleep(Duration::from_millis(5)).await;
        self.report.signals += 1 + signals::series(process, &mut self.random, &kinds, 3).await;
        let left = END_TIMEOUT.saturating_sub(started.elapsed());
        match process.wait(left).await {
            // A signal that came before its handlers were there ends it, too.
            Ok(status) if status.success() || status.code().is_none() => {}
            Ok(status) => {
                let detail = format!("c{}: {status}", machine + 1);
                self.report.violate("control-exit", detail);
            }
            Err(error) => {
                process.signal(Signal::KILL);
                let _ = process.wait(END_TIMEOUT).await;
                self.report.violate("control-not-ended", error.to_string());
            }
        }
    }

    /// Each machine says the same of the last change.
    async fn read_back(&mut self) -> io::Result<()> {
        for at in 0..MACHINES {
            let started = Instant::now();
            loop {
                match self.run_publish(at).await? {
                    Outcome::Unchanged(version) if version >= self.newest => break,
                    Outcome::Unknown if started.elapsed() < SETTLE_TIMEOUT => {}
                    other => {
                        let detail = format!("c{}: {other:?} for version {}", at + 1, self.newest);
                        self.report.violate("committed-not-read", detail);
                        break;
                    }
                }
            }
        }
        Ok(())
    }

    async fn end(&mut self) {
        for machine in 0..MACHINES {
            self.drain(machine).await;
        }
    }
}
