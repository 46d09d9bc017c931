//! One restarted process, and how it is observed until it is ready.

use super::client::{Answer, ClientConnection, RequestTemplate};
use super::registry::Registry;
use super::report::StartupTimes;
use super::{DRAIN_TIMEOUT, POLL_INTERVAL};
use crate::process::{program, Process};
use serde::Serialize;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{sleep, timeout_at, Instant};

/// A process that is not ready within this time counts as never ready.
pub(super) const READY_TIMEOUT: Duration = Duration::from_mins(1);

/// Kind of a process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A node without replicas.
    Node,
    /// A node in the group.
    Member,
    /// A forwarder.
    Forwarder,
}

/// A process of the fleet, with what is needed to restart it.
pub(super) struct FleetProcess {
    pub(super) kind: Kind,
    pub(super) name: String,
    /// Address on which the process listens for callers.
    pub(super) address: SocketAddr,
    pub(super) request: RequestTemplate,
    /// A node's settings, or a forwarder's configuration.
    pub(super) file: PathBuf,
    /// A forwarder's number, which is also its seed.
    pub(super) number: usize,
    /// Configuration of a member's group.
    pub(super) group: Option<PathBuf>,
    pub(super) process: RefCell<Option<Process>>,
}

impl FleetProcess {
    pub(super) fn start(&self, programs: Option<&Path>, folder: &Path) -> io::Result<()> {
        let mut command = if self.kind == Kind::Forwarder {
            self.forwarder_command(programs)?
        } else {
            self.node_command(programs)?
        };
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let log = folder.join(format!("{}.log", self.name));
        let process = Process::start(&self.name, command, &log)?;
        *self.process.borrow_mut() = Some(process);
        Ok(())
    }

    fn forwarder_command(&self, programs: Option<&Path>) -> io::Result<Command> {
        let number = self.number.to_string();
        let mut command = Command::new(program("rainstand", programs)?);
        command
            .arg("forward")
            .arg("--config")
            .arg(&self.file)
            .args(["--listen", &self.address.to_string()])
            .args(["--number", &number, "--seed", &number])
            .args(["--stop-ms", &DRAIN_TIMEOUT.as_millis().to_string()]);
        Ok(command)
    }

    fn node_command(&self, programs: Option<&Path>) -> io::Result<Command> {
        let mut command = Command::new(program("rainstand-node", programs)?);
        command.env("ROUTER_CONFIG", &self.file);
        if let Some(group) = &self.group {
            command.env("RAINSTAND_SETTINGS", group);
        }
        Ok(command)
    }

    /// Description of the exit, if the process exited by itself.
    pub(super) fn ended(&self) -> Option<String> {
        let status = self.process.borrow_mut().as_mut()?.ended()?;
        Some(format!("{} exited by itself: {status}", self.name))
    }

    /// Observes the process from its start until it is ready, has exited or has timed out.
    pub(super) async fn watch(
        &self,
        started: Instant,
        request: &RequestTemplate,
        registry: &Registry,
        must_register: bool,
    ) -> StartupTimes {
        let times = RefCell::new(StartupTimes::default());
        let until_ready = async {
            // A process that exited by itself never registers.
            if self.wait_until_served(started, request, &times).await && must_register {
                let at = registry.wait_until_registered(&self.name).await;
                times.borrow_mut().registered = Some(at.saturating_duration_since(started));
            }
        };
        let _ = timeout_at(started + READY_TIMEOUT, until_ready).await;
        times.into_inner()
    }

    /// Waits until the process serves a request; returns false if it exited by itself.
    async fn wait_until_served(
        &self,
        started: Instant,
        request: &RequestTemplate,
        times: &RefCell<StartupTimes>,
    ) -> bool {
        while self.ended().is_none() {
            if let Ok(mut connection) = ClientConnection::open(self.address).await {
                times.borrow_mut().listens.get_or_insert(started.elapsed());
                // After a broken connection, check again whether the process has exited, then reconnect.
                while let Ok(answer) = connection.request(request).await {
                    let Answer::Unserved {
                        retry_after,
                        exception,
                    } = answer
                    else {
                        times.borrow_mut().answered = Some(started.elapsed());
                        return true;
                    };
                    times.borrow_mut().record_unserved(exception);
                    sleep(retry_after).await;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }
}
