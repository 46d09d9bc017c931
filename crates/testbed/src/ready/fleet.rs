//! All processes of a run: started, filled with keys, stopped and restarted.

use super::client::{ClientConnection, RequestTemplate};
use super::options::{Discovery, Options, StopMode};
use super::process::{FleetProcess, Kind, READY_TIMEOUT};
use super::registry::Registry;
use super::report::{KindReport, StartupTimes};
use super::DRAIN_TIMEOUT;
use crate::process::{Process, START_TIMEOUT};
use rustix::process::Signal;
use socket2::Socket;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{timeout, timeout_at, Instant};

/// Time limit for the group to serve a request with a key, including all attempts.
const KEY_TIMEOUT: Duration = Duration::from_mins(1);
/// Concurrent callers that store keys through one member.
const CALLERS_PER_MEMBER: usize = 8;

/// All processes of a run.
pub(super) struct Fleet<'o> {
    pub(super) options: &'o Options,
    pub(super) folder: PathBuf,
    pub(super) processes: Vec<Rc<FleetProcess>>,
    pub(super) registry: Rc<Registry>,
    /// Address on which the registry listens.
    pub(super) announce: SocketAddr,
    /// Reserved ports of the registry and all processes.
    pub(super) _reserved_ports: Vec<Socket>,
    pub(super) _agents: Vec<Process>,
    /// Results of the stored keys, by key.
    pub(super) results: RefCell<BTreeMap<String, Vec<u8>>>,
}

/// Result of requesting stored keys again after the restart.
pub(super) struct KeyCheck {
    pub(super) checked: usize,
    /// Number of keys with the same result as before.
    pub(super) preserved: usize,
}

impl Fleet<'_> {
    /// Starts all processes concurrently; returns when each is ready, has exited or has timed out.
    pub(super) async fn start(
        &self,
        round: usize,
        process_faults: &mut Vec<String>,
    ) -> io::Result<Vec<KindReport>> {
        let mut watches = JoinSet::new();
        for (index, process) in self.processes.iter().cloned().enumerate() {
            let started = Instant::now();
            process.start(self.options.programs.as_deref(), &self.folder)?;
            let registry = self.registry.clone();
            let must_register = self.must_register(process.kind);
            let mut request = process.request.clone();
            if process.kind == Kind::Member {
                // A new key: the result of an earlier key would come from the replicas, without a run.
                request.entity = format!("start-{round}-{index}");
            }
            watches.spawn_local(async move {
                let times = process.watch(started, &request, &registry, must_register);
                (index, times.await)
            });
        }
        let mut times = vec![StartupTimes::default(); self.processes.len()];
        while let Some(done) = watches.join_next().await {
            let (index, process_times) = done.map_err(io::Error::other)?;
            times[index] = process_times;
        }
        self.record_exits(process_faults);
        for (process, times) in self.processes.iter().zip(&times) {
            if let Some(exception) = &times.exception {
                process_faults.push(format!("{}: an exception: {exception}", process.name));
            }
        }
        let kinds = [Kind::Node, Kind::Member, Kind::Forwarder];
        let reports = kinds.map(|kind| self.report_of(kind, &times));
        Ok(reports.into_iter().flatten().collect())
    }

    /// Records processes that exited by themselves.
    fn record_exits(&self, process_faults: &mut Vec<String>) {
        let exits = self.processes.iter().filter_map(|process| process.ended());
        process_faults.extend(exits);
    }

    /// Whether a process must be registered to be ready.
    fn must_register(&self, kind: Kind) -> bool {
        kind != Kind::Forwarder && self.registry.mode.get() == Discovery::Up
    }

    /// Report for one kind of process; none if there is no process of this kind.
    fn report_of(&self, kind: Kind, times: &[StartupTimes]) -> Option<KindReport> {
        let times: Vec<&StartupTimes> = self
            .processes
            .iter()
            .zip(times)
            .filter(|(process, _)| process.kind == kind)
            .map(|(_, times)| times)
            .collect();
        (!times.is_empty()).then(|| KindReport::new(kind, &times, self.must_register(kind)))
    }

    /// Signals all processes, then waits until all have exited.
    pub(super) async fn stop(&self, mode: StopMode, process_faults: &mut Vec<String>) {
        self.record_exits(process_faults);
        let signal = match mode {
            StopMode::Kill => Signal::KILL,
            StopMode::Term => Signal::TERM,
        };
        let mut stopping = Vec::new();
        for process in &self.processes {
            if let Some(process) = process.process.borrow_mut().take() {
                process.signal(signal);
                stopping.push(process);
            }
        }
        for mut process in stopping {
            match process.wait(DRAIN_TIMEOUT + START_TIMEOUT).await {
                Ok(status) if status.success() || mode == StopMode::Kill => {}
                other => process_faults.push(format!("{} at its exit: {other:?}", process.name)),
            }
        }
    }

    fn members(&self) -> impl Iterator<Item = &Rc<FleetProcess>> {
        let processes = self.processes.iter();
        processes.filter(|process| process.kind == Kind::Member)
    }

    /// Stores keys on the disks of the group by sending requests through all members; returns the number of stored keys.
    pub(super) async fn store_keys(&self) -> io::Result<usize> {
        let members: Vec<Rc<FleetProcess>> = self.members().cloned().collect();
        if members.is_empty() {
            return Ok(0);
        }
        let callers = members.len() * CALLERS_PER_MEMBER;
        let mut storing = JoinSet::new();
        for caller in 0..callers {
            let member = members[caller % members.len()].clone();
            let keys = (caller..self.options.keys).step_by(callers);
            storing.spawn_local(async move {
                let mut connection = ClientConnection::open(member.address).await?;
                let mut results = Vec::new();
                for key in keys {
                    let key = format!("key-{key}");
                    let result = request_key(&mut connection, &member, &key).await?;
                    results.push((key, result));
                }
                Ok::<_, io::Error>(results)
            });
        }
        while let Some(done) = storing.join_next().await {
            let results = done.map_err(io::Error::other)??;
            self.results.borrow_mut().extend(results);
        }
        Ok(self.results.borrow().len())
    }

    /// Requests one of the stored keys at each member: the result must be the same as before the restart.
    pub(super) async fn check_keys(&self) -> KeyCheck {
        let mut check = KeyCheck {
            checked: 0,
            preserved: 0,
        };
        for (n, member) in self.members().enumerate() {
            // A key is bound to its body and tenant, which differ by member.
            let key = format!("key-{n}");
            let Some(expected) = self.results.borrow().get(&key).cloned() else {
                continue;
            };
            check.checked += 1;
            let repeated = async {
                let mut connection = ClientConnection::open(member.address).await?;
                request_key(&mut connection, member, &key).await
            };
            let repeated = timeout(KEY_TIMEOUT, repeated).await;
            let is_preserved = matches!(repeated, Ok(Ok(result)) if result == expected);
            check.preserved += usize::from(is_preserved);
        }
        check
    }

    /// Makes the registry answer again; returns the time until each node registered.
    pub(super) async fn wait_for_registration(&self) -> io::Result<Vec<Option<Duration>>> {
        let started = Instant::now();
        if self.registry.mode.replace(Discovery::Up) == Discovery::Down {
            let listener = TcpListener::bind(self.announce).await?;
            spawn_local(self.registry.clone().serve(listener));
        }
        let mut times = Vec::new();
        for process in &self.processes {
            if process.kind == Kind::Forwarder {
                continue;
            }
            let registered = self.registry.wait_until_registered(&process.name);
            let registered_at = timeout_at(started + READY_TIMEOUT, registered).await;
            times.push(
                registered_at
                    .ok()
                    .map(|at| at.saturating_duration_since(started)),
            );
        }
        Ok(times)
    }
}

/// Sends a member's request with this key until it is served.
async fn request_key(
    connection: &mut ClientConnection,
    member: &FleetProcess,
    key: &str,
) -> io::Result<Vec<u8>> {
    let request = RequestTemplate {
        entity: key.to_owned(),
        ..member.request.clone()
    };
    let result = timeout(KEY_TIMEOUT, connection.request_until_served(&request)).await;
    result.map_err(|_| io::ErrorKind::TimedOut)?
}
