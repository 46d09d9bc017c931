//! Runs one scenario: agents, nodes and callers are processes, and each link between them is a proxy. Executes the
//! fault schedule, then collects the history and checks it.

mod configuration;
mod fault_injection;
mod launch;
mod status;
mod summary;

pub(crate) use configuration::{group_of, node_configuration};
pub(crate) use launch::start_agent;
pub use summary::{fault_name, FaultService, Report};

use crate::check::{check, Verdict};
use crate::fault_schedule::{FaultStep, Link};
use crate::process::{Process, START_TIMEOUT};
use crate::proxy::Proxy;
use fault_injection::replace_folder;
use rainstand_config::schema::Rig;
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::{fs, io};
use summary::{read_parts, summarize};
use tokio::io::AsyncWriteExt;
use tokio::process::ChildStdin;
use tokio::sync::Mutex;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Time from the drain signal until the node is killed, as nodes are configured.
pub(crate) const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between checks for nodes that exited unexpectedly.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Where the programs are, where a run writes its files, and which bug is planted in its nodes.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// Folder of the programs; without it, the folder of this program.
    pub programs: Option<PathBuf>,
    /// Folder of this run: configurations, logs, histories.
    pub folder: PathBuf,
    /// A bug planted in every node, by name.
    pub bug: Option<String>,
}

/// One node and its process.
struct Node {
    name: String,
    folder: PathBuf,
    process: RefCell<Option<Process>>,
    /// Number of faults that keep it down: it is restarted after the last of them ends.
    down: Cell<u32>,
    /// Address for the other members of its group, while it runs.
    peer: Cell<Option<SocketAddr>>,
    /// Clock fault, in the format of the fault file.
    clock: RefCell<Option<String>>,
}

impl Node {
    fn create(number: usize, folder: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(folder.join("disk"))?;
        Ok(Self {
            name: format!("n{number}"),
            folder,
            process: RefCell::new(None),
            down: Cell::new(0),
            peer: Cell::new(None),
            clock: RefCell::new(None),
        })
    }

    fn disk(&self) -> PathBuf {
        self.folder.join("disk")
    }

    /// Copy of its disk from before the callers began.
    fn old_disk(&self) -> PathBuf {
        self.folder.join("old")
    }

    /// Fault file that a node in test mode reads.
    fn testing_file(&self) -> PathBuf {
        self.folder.join("testing")
    }
}

/// A run in progress.
struct Scenario {
    rig: Rig,
    seed: u64,
    options: RunOptions,
    nodes: Vec<Node>,
    links: BTreeMap<Link, Rc<Proxy>>,
    callers: Mutex<Vec<ChildStdin>>,
    report: RefCell<Report>,
    /// Once set, no fault begins and no node is restarted.
    finished: Cell<bool>,
}

/// Executes one run. Its files stay in the folder given by the options.
///
/// # Errors
/// If the run could not be set up; later failures are in the report.
pub async fn play(
    rig: &Rig,
    seed: u64,
    steps: &[FaultStep],
    options: &RunOptions,
) -> io::Result<Report> {
    let scenario = Rc::new(Scenario::set_up(rig, seed, options).await?);
    let agents = scenario.start_agents().await?;
    for node in 0..scenario.nodes.len() {
        scenario.start_node(node).await?;
    }
    scenario.wait_for_leaders().await?;
    let mut callers = Vec::new();
    for caller in 0..rig.callers as usize {
        callers.push(scenario.start_caller(caller).await?);
    }
    for node in &scenario.nodes {
        replace_folder(&node.old_disk(), &node.disk())?;
    }
    scenario.run(steps, &mut callers).await;
    scenario.count_quarantines().await;
    scenario.drain_all().await;
    for process in agents {
        let _ = process.kill().await;
    }
    scenario.finish_report(steps)
}

/// Records each node that exits unexpectedly as a fault of the run.
async fn watch_for_exits(scenario: Rc<Scenario>) {
    loop {
        sleep(EXIT_POLL_INTERVAL).await;
        for node in &scenario.nodes {
            let mut process = node.process.borrow_mut();
            if let Some(status) = process.as_mut().and_then(Process::ended) {
                process.take();
                scenario.record_fault(format!("{} exited unexpectedly: {status}", node.name));
            }
        }
    }
}

impl Scenario {
    async fn set_up(rig: &Rig, seed: u64, options: &RunOptions) -> io::Result<Self> {
        fs::create_dir_all(&options.folder)?;
        let links = open_links(rig, seed).await?;
        let nodes = (1..=rig.nodes as usize)
            .map(|number| Node::create(number, options.folder.join(format!("n{number}"))));
        Ok(Self {
            rig: rig.clone(),
            seed,
            options: options.clone(),
            nodes: nodes.collect::<io::Result<_>>()?,
            links,
            callers: Mutex::default(),
            report: RefCell::default(),
            finished: Cell::new(false),
        })
    }

    /// Starts the callers' requests, injects the faults of the schedule, and waits until the callers have exited.
    async fn run(self: &Rc<Self>, steps: &[FaultStep], callers: &mut [Process]) {
        let started = Instant::now();
        self.write_to_callers("begin\n").await;
        let mut faults = JoinSet::new();
        for step in steps.iter().copied() {
            let scenario = self.clone();
            faults.spawn_local(async move {
                sleep_until(started + step.from).await;
                scenario.inject(step).await;
            });
        }
        let watch = spawn_local(watch_for_exits(self.clone()));
        self.wait_for_callers(started, callers).await;
        // A hand-written schedule may last longer than the run.
        let _ = timeout(START_TIMEOUT, async {
            while faults.join_next().await.is_some() {}
        })
        .await;
        self.finished.set(true);
        watch.abort();
    }

    async fn wait_for_callers(&self, started: Instant, callers: &mut [Process]) {
        let rig = &self.rig;
        let duration = Duration::from_nanos(rig.lasts_ns + rig.within_ns + rig.slack_ns);
        for process in callers {
            let left = duration.saturating_sub(started.elapsed()) + START_TIMEOUT;
            let ended = process.wait(left).await;
            if !ended.as_ref().is_ok_and(std::process::ExitStatus::success) {
                self.record_fault(format!("{}: {ended:?}", process.name));
            }
        }
    }

    async fn count_quarantines(&self) {
        for node in 0..self.nodes.len() {
            let status = self.status(node).await.unwrap_or_default();
            let quarantines = status["set_asides"].as_u64().unwrap_or(0);
            self.report.borrow_mut().quarantines += quarantines;
        }
    }

    fn finish_report(&self, steps: &[FaultStep]) -> io::Result<Report> {
        let mut report = self.report.take();
        report.seed = self.seed;
        report.faults = steps.iter().map(|step| step.fault + 1).max().unwrap_or(0);
        report.resets = self.links.values().map(|link| link.resets.get()).sum();
        let history = read_parts(&self.options.folder)?;
        let Verdict { tally, violations } = check(&history);
        (report.tally, report.violations) = (tally, violations);
        summarize(&history, steps, &mut report);
        Ok(report)
    }

    /// Records a failure of a process or of a fault's injection.
    fn record_fault(&self, reason: String) {
        self.report.borrow_mut().process_faults.push(reason);
    }

    /// Notifies all callers whether these nodes may now leave requests without an answer.
    async fn notify_callers(&self, event: Disturbance, nodes: &[usize]) {
        let word = match event {
            Disturbance::Begins => "disturb",
            Disturbance::Ends => "calm",
        };
        let lines = nodes
            .iter()
            .map(|node| format!("{word} {}\n", self.nodes[*node].name));
        self.write_to_callers(&lines.collect::<String>()).await;
    }

    async fn write_to_callers(&self, lines: &str) {
        // The lock keeps concurrent messages in order while a write waits.
        let mut callers = self.callers.lock().await;
        for stdin in &mut *callers {
            // A caller that has exited is reported by `wait_for_callers`.
            let _ = stdin.write_all(lines.as_bytes()).await;
        }
    }

    /// Drains all nodes concurrently; each must exit with success.
    async fn drain_all(&self) {
        let mut draining = Vec::new();
        for node in &self.nodes {
            if let Some(process) = node.process.borrow_mut().take() {
                process.signal(Signal::CONT);
                process.signal(Signal::TERM);
                draining.push(process);
            }
        }
        for mut process in draining {
            match process.wait(DRAIN_TIMEOUT + START_TIMEOUT).await {
                Ok(status) if status.success() => {}
                other => self.record_fault(format!(
                    "{} did not drain cleanly at the end of the run: {other:?}",
                    process.name
                )),
            }
        }
    }
}

/// Start or end of a period in which callers may be left without an answer.
#[derive(Clone, Copy)]
enum Disturbance {
    Begins,
    Ends,
}

/// Opens a proxy for each link of a run.
async fn open_links(rig: &Rig, seed: u64) -> io::Result<BTreeMap<Link, Rc<Proxy>>> {
    let (nodes, callers) = (rig.nodes as usize, rig.callers as usize);
    let mut links = BTreeMap::new();
    for node in 0..nodes {
        let peers = (0..nodes).filter(|from| *from != node && rig.shards > 0);
        let to_node = (0..callers)
            .map(|caller| Link::Caller { caller, node })
            .chain([Link::Agent { node }])
            .chain(peers.map(|from| Link::Peer { from, to: node }));
        for link in to_node {
            links.insert(link, Proxy::open(seed ^ links.len() as u64).await?);
        }
    }
    Ok(links)
}
