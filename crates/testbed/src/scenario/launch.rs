//! Starts agents, callers and nodes as child processes, and points the links at them.

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

/// Attempts to start a node: another process may bind the free port first.
const PORT_ATTEMPTS: usize = 5;

/// Command for this program as a child process that prints its first line to its parent.
fn testbed_command(programs: Option<&Path>) -> io::Result<Command> {
    let mut command = Command::new(program("rainstand-testbed", programs)?);
    command.stdin(Stdio::null()).stdout(Stdio::piped());
    Ok(command)
}

/// Starts a test agent; returns the address on which it listens.
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
        .map_err(|_| io::Error::other(format!("{name} printed {line:?}, not its address")))?;
    Ok((process, address))
}

impl Scenario {
    /// Starts the agent of each node, and points the node's link at it.
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

    /// Starts a caller, which waits for the command `begin`.
    pub(super) async fn start_caller(&self, index: usize) -> io::Result<Process> {
        let name = format!("caller-{}", index + 1);
        let link = |node| {
            self.links[&Link::Caller {
                caller: index,
                node,
            }]
                .addr
        };
        let options = caller::Options {
            name: name.clone(),
            seed: self.seed ^ (index as u64 + 1) << 40,
            nodes: self
                .nodes
                .iter()
                .enumerate()
                .map(|(node_index, node)| (node.name.clone(), link(node_index)))
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
            .ok_or_else(|| io::Error::other("child has no pipe to its standard input"))?;
        self.callers.lock().await.push(stdin);
        Ok(process)
    }

    /// Starts a node and points its links at it.
    pub(super) async fn start_node(&self, index: usize) -> io::Result<()> {
        let node = &self.nodes[index];
        let mut last_error = io::Error::other("no attempt to start the node");
        for _ in 0..PORT_ATTEMPTS {
            let (front, peer) = (free_port()?, free_port()?);
            let command = self.node_command(index, front, peer)?;
            let log = node.folder.join("node.log");
            let starts = count_starts(&log);
            let mut process = Process::start(&node.name, command, &log)?;
            match process.wait_until_up(&log, starts).await {
                Ok(()) => {
                    self.attach_links(index, front, peer);
                    *node.process.borrow_mut() = Some(process);
                    return Ok(());
                }
                // Another process may have bound the port first.
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Writes a node's configuration files; returns the command that starts the node with them.
    fn node_command(
        &self,
        index: usize,
        front: SocketAddr,
        peer: SocketAddr,
    ) -> io::Result<Command> {
        let node = &self.nodes[index];
        let settings = node.folder.join("node.json");
        fs::write(&settings, self.node_settings(index, front).to_string())?;
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
            fs::write(
                &group,
                schema::to_text(&self.group_configuration(index, peer)),
            )?;
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

    /// Points the links of callers and peers at a node that is up.
    fn attach_links(&self, index: usize, front: SocketAddr, peer: SocketAddr) {
        for (link, proxy) in &self.links {
            match link {
                Link::Caller { node, .. } if *node == index => proxy.set_target(Some(front)),
                Link::Peer { to, .. } if *to == index => proxy.set_target(Some(peer)),
                _ => {}
            }
        }
        self.nodes[index].peer.set(Some(peer));
    }

    /// Makes the links refuse callers and peers: the node's process has exited or is exiting.
    pub(super) fn detach_links(&self, index: usize) {
        self.nodes[index].peer.set(None);
        for (link, proxy) in &self.links {
            if matches!(link, Link::Caller { node, .. } if *node == index)
                || matches!(link, Link::Peer { to, .. } if *to == index)
            {
                proxy.set_target(None);
            }
        }
    }
}

/// Reads the first line of a child's output, which stays open.
pub(crate) async fn first_line(process: &mut Process) -> io::Result<String> {
    let name = process.name.clone();
    let out = process.child().stdout.take();
    let out = out.ok_or_else(|| io::Error::other("child has no pipe from its standard output"))?;
    let mut lines = BufReader::new(out).lines();
    let Ok(line) = timeout(START_TIMEOUT, lines.next_line()).await else {
        let reason = format!("{name} printed no line in time");
        return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
    };
    // Keep reading, so that the child's output pipe is never closed or full.
    spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
    line?.ok_or_else(|| io::Error::other(format!("{name} closed its output without a line")))
}
