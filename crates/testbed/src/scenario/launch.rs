//! Agents, callers and nodes as child processes, and the links that lead to them.

use super::Scenario;
use crate::fault_schedule::Link;
use crate::peers::{agent, caller};
use crate::process::{count_starts, free_port, program, Process, START_TIMEOUT};
use rainstand_config::schema;
use std::fs::{self, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Command;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Attempts at a port: another process may have taken it meanwhile.
const PORT_ATTEMPTS: usize = 5;

/// This program as a child that says its first line to its parent.
fn testbed_command(programs: Option<&Path>) -> io::Result<Command> {
    let mut command = Command::new(program("rainstand-testbed", programs)?);
    command.stdin(Stdio::null()).stdout(Stdio::piped());
    Ok(command)
}

/// Starts a stand-in agent; returns where it listens.
pub(crate) async fn start_agent(
    options: &agent::Options,
    programs: Option<&Path>,
    log: &Path,
) -> io::Result<(Process, SocketAddr)> {
    let name = &options.name;
    let mut command = testbed_command(programs)?;
    command.arg("agent").arg(serde_json::to_string(options)?);
    let mut process = Process::start(name, command, log)?;
    let line = first_line(&mut process).await?;
    let address = line
        .parse()
        .map_err(|_| io::Error::other(format!("{name} said {line:?}")))?;
    Ok((process, address))
}

impl Scenario {
    /// Starts the agent of each node, and leads the node's link to it.
    pub(super) async fn start_agents(&self) -> io::Result<Vec<Process>> {
        let mut agents = Vec::new();
        for node in 0..self.nodes.len() {
            let name = format!("agent-n{}", node + 1);
            let options = agent::Options {
                seed: self.seed ^ (node as u64 + 1) << 32,
                run_least_ns: self.rig.run_least_ns,
                run_most_ns: self.rig.run_most_ns,
                history: self.options.folder.join(format!("{name}.part")),
                name,
            };
            let log = self.options.folder.join(format!("{}.log", options.name));
            let programs = self.options.programs.as_deref();
            let (process, address) = start_agent(&options, programs, &log).await?;
            self.links[&Link::Agent { node }].set_target(Some(address));
            agents.push(process);
        }
        Ok(agents)
    }

    /// Starts a caller, which waits until it is told to begin.
    pub(super) async fn start_caller(&self, n: usize) -> io::Result<Process> {
        let name = format!("caller-{}", n + 1);
        let link = |node| self.links[&Link::Caller { caller: n, node }].addr;
        let options = caller::Options {
            name: name.clone(),
            seed: self.seed ^ (n as u64 + 1) << 40,
            nodes: self
                .nodes
                .iter()
                .enumerate()
                .map(|(k, node)| (node.name.clone(), link(k)))
                .collect(),
            every_ns: self.rig.every_ns,
            keyed: self.rig.keyed,
            repeats: self.rig.repeats,
            moves: self.rig.r#move,
            within_ns: self.rig.within_ns,
            slack_ns: self.rig.slack_ns,
            lasts_ns: self.rig.lasts_ns,
            history: self.options.folder.join(format!("{name}.part")),
        };
        let mut command = testbed_command(self.options.programs.as_deref())?;
        command
            .arg("caller")
            .arg(serde_json::to_string(&options)?)
            .stdin(Stdio::piped());
        let mut process = Process::start(
            &name,
            command,
            &self.options.folder.join(format!("{name}.log")),
        )?;
        if first_line(&mut process).await? != "ready" {
            return Err(io::Error::other(format!("{name} is not ready")));
        }
        let stdin = process
            .child()
            .stdin
            .take()
            .ok_or_else(|| io::Error::other("no standard input"))?;
        self.callers.lock().await.push(stdin);
        Ok(process)
    }

    /// Starts a node and leads its links to it.
    pub(super) async fn start_node(&self, n: usize) -> io::Result<()> {
        let node = &self.nodes[n];
        let mut last_error = io::Error::other("no try");
        for _ in 0..PORT_ATTEMPTS {
            let (front, peer) = (free_port()?, free_port()?);
            let command = self.node_command(n, front, peer)?;
            let log = node.folder.join("node.log");
            let starts = count_starts(&log);
            let mut process = Process::start(&node.name, command, &log)?;
            match process.wait_until_up(&log, starts).await {
                Ok(()) => {
                    self.attach_links(n, front, peer);
                    *node.process.borrow_mut() = Some(process);
                    return Ok(());
                }
                // Another process took the port meanwhile.
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Writes a node's files; the command that starts it with them.
    fn node_command(&self, n: usize, front: SocketAddr, peer: SocketAddr) -> io::Result<Command> {
        let node = &self.nodes[n];
        let settings = node.folder.join("node.json");
        fs::write(&settings, self.node_settings(n, front).to_string())?;
        let mut command =
            Command::new(program("rainstand-node", self.options.programs.as_deref())?);
        let mut log = OpenOptions::new();
        log.create(true).append(true);
        command
            .env("ROUTER_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.open(node.folder.join("node.log"))?);
        if self.rig.shards > 0 {
            let group = node.folder.join("group.txtpb");
            fs::write(&group, schema::to_text(&self.group_configuration(n, peer)))?;
            command
                .env("RAINSTAND_SETTINGS", group)
                .env("RAINSTAND_TESTING", node.testing_file());
            if let Some(bug) = &self.options.bug {
                command.env("RAINSTAND_PLANT", bug);
            }
            let clock = node.clock.borrow().clone().unwrap_or_default();
            fs::write(node.testing_file(), clock)?;
        }
        Ok(command)
    }

    /// Leads the links of callers and peers to a node that is up.
    fn attach_links(&self, n: usize, front: SocketAddr, peer: SocketAddr) {
        for (link, proxy) in &self.links {
            match link {
                Link::Caller { node, .. } if *node == n => proxy.set_target(Some(front)),
                Link::Peer { to, .. } if *to == n => proxy.set_target(Some(peer)),
                _ => {}
            }
        }
        self.nodes[n].peer.set(Some(peer));
    }

    /// Callers and peers are refused: the node's process is gone or going.
    pub(super) fn detach_links(&self, n: usize) {
        self.nodes[n].peer.set(None);
        for (link, proxy) in &self.links {
            if matches!(link, Link::Caller { node, .. } if *node == n)
                || matches!(link, Link::Peer { to, .. } if *to == n)
            {
                proxy.set_target(None);
            }
        }
    }
}

/// The first line of a child's output, which stays open.
pub(crate) async fn first_line(process: &mut Process) -> io::Result<String> {
    let name = process.name.clone();
    let out = process.child().stdout.take();
    let out = out.ok_or_else(|| io::Error::other("no output"))?;
    let mut lines = BufReader::new(out).lines();
    let Ok(line) = timeout(START_TIMEOUT, lines.next_line()).await else {
        let reason = format!("{name} says nothing");
        return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
    };
    // Read on, so that the child never finds its output closed or full.
    spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
    line?.ok_or_else(|| io::Error::other(format!("{name} said nothing")))
}
