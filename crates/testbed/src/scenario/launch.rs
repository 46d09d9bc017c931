//! Agents, callers and nodes as child processes, and the links that lead to them.

use super::Stage;
use crate::fault_schedule::Link;
use crate::peers::{agent, caller};
use crate::process::{free_port, program, starts, Process, COMES_UP};
use rainstand_config::schema;
use std::net::SocketAddr;
use std::process::Stdio;
use std::{fs, io};
use tokio::io::{AsyncBufReadExt, BufReader as Lines};
use tokio::process::Command;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Tries at a port that another process took meanwhile.
const PORTS: usize = 5;

impl Stage {
    fn me(&self) -> io::Result<Command> {
        let mut command = Command::new(program(
            "rainstand-testbed",
            self.place.programs.as_deref(),
        )?);
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        Ok(command)
    }

    pub(super) async fn start_agent(&self, n: usize) -> io::Result<(Process, SocketAddr)> {
        let name = format!("agent-n{}", n + 1);
        let options = agent::Options {
            name: name.clone(),
            seed: self.seed ^ (n as u64 + 1) << 32,
            run_least_ns: self.rig.run_least_ns,
            run_most_ns: self.rig.run_most_ns,
            history: self.place.folder.join(format!("{name}.part")),
        };
        let mut command = self.me()?;
        command.arg("agent").arg(serde_json::to_string(&options)?);
        let mut process = Process::start(
            &name,
            command,
            &self.place.folder.join(format!("{name}.log")),
        )?;
        let said = first_line(&mut process).await?;
        let addr = said
            .parse()
            .map_err(|_| io::Error::other(format!("{name} said {said:?}")))?;
        Ok((process, addr))
    }

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
            history: self.place.folder.join(format!("{name}.part")),
        };
        let mut command = self.me()?;
        command
            .arg("caller")
            .arg(serde_json::to_string(&options)?)
            .stdin(Stdio::piped());
        let mut process = Process::start(
            &name,
            command,
            &self.place.folder.join(format!("{name}.log")),
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
        let mut last = io::Error::other("no try");
        for _ in 0..PORTS {
            let (front, peer) = (free_port()?, free_port()?);
            fs::write(
                node.folder.join("node.json"),
                self.settings(n, front).to_string(),
            )?;
            let mut command =
                Command::new(program("rainstand-node", self.place.programs.as_deref())?);
            let log = node.folder.join("node.log");
            command
                .env("ROUTER_CONFIG", node.folder.join("node.json"))
                .stdin(Stdio::null());
            command.stdout(
                fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(&log)?,
            );
            if self.rig.shards > 0 {
                let group = node.folder.join("group.txtpb");
                fs::write(&group, schema::to_text(&self.group(n, peer)))?;
                command.env("RAINSTAND_SETTINGS", group);
                command.env("RAINSTAND_TESTING", node.folder.join("testing"));
                if let Some(bug) = &self.place.bug {
                    command.env("RAINSTAND_PLANT", bug);
                }
                let clock = node.clock.borrow().clone().unwrap_or_default();
                fs::write(node.folder.join("testing"), clock)?;
            }
            let before = starts(&log);
            let mut process = Process::start(&node.name, command, &log)?;
            match process.is_up(&log, before).await {
                Ok(()) => {
                    for (link, proxy) in &self.links {
                        match link {
                            Link::Caller { node, .. } if *node == n => proxy.lead(Some(front)),
                            Link::Peer { to, .. } if *to == n => proxy.lead(Some(peer)),
                            _ => {}
                        }
                    }
                    node.peer.set(Some(peer));
                    *node.process.borrow_mut() = Some(process);
                    return Ok(());
                }
                // Another process took the port meanwhile.
                Err(why) => last = why,
            }
        }
        Err(last)
    }

    /// Where callers and peers find nobody: its process is gone or going.
    pub(super) fn out_of_reach(&self, n: usize) {
        self.nodes[n].peer.set(None);
        for (link, proxy) in &self.links {
            if matches!(link, Link::Caller { node, .. } if *node == n)
                || matches!(link, Link::Peer { to, .. } if *to == n)
            {
                proxy.lead(None);
            }
        }
    }
}

/// What a child says first; its output stays open.
pub(crate) async fn first_line(process: &mut Process) -> io::Result<String> {
    let name = process.name.clone();
    let out = process
        .child()
        .stdout
        .take()
        .ok_or_else(|| io::Error::other("no output"))?;
    let mut lines = Lines::new(out).lines();
    let line = timeout(COMES_UP, lines.next_line()).await;
    let line =
        line.map_err(|_| io::Error::new(io::ErrorKind::TimedOut, format!("{name} says nothing")))??;
    // Kept open and unread: nothing more is said there.
    spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
    line.ok_or_else(|| io::Error::other(format!("{name} said nothing")))
}
