//! One run of a scenario: agents, nodes, the links between them and callers, each a process or a proxy of its own. The
//! schedule of faults is played, then the history is gathered and checked.

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

/// From the signal to drain to the kill, as nodes are configured.
pub(crate) const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Between two looks for nodes that ended by themselves.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Where the programs lie, where a run leaves what it makes, and what is planted in its nodes.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// Folder of the programs; beside this one if not named.
    pub programs: Option<PathBuf>,
    /// Folder of this run: configurations, logs, histories.
    pub folder: PathBuf,
    /// A bug planted in every node, by name.
    pub bug: Option<String>,
}

/// One node's process and what belongs to it.
struct Node {
    name: String,
    folder: PathBuf,
    process: RefCell<Option<Process>>,
    /// Faults that keep it down: it is not started again before all of them are over.
    down: Cell<u32>,
    /// Its address for the others of its group, while it runs.
    peer: Cell<Option<SocketAddr>>,
    /// The fault of its clock, as a node in testing reads it.
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

    /// The copy of its disk that was made before the callers began.
    fn old_disk(&self) -> PathBuf {
        self.folder.join("old")
    }

    /// The file in which a node in testing reads its faults.
    fn testing_file(&self) -> PathBuf {
        self.folder.join("testing")
    }
}

/// A run that is going on.
struct Scenario {
    rig: Rig,
    seed: u64,
    options: RunOptions,
    nodes: Vec<Node>,
    links: BTreeMap<Link, Rc<Proxy>>,
    callers: Mutex<Vec<ChildStdin>>,
    report: RefCell<Report>,
    /// No fault begins any more, and no node is started again.
    finished: Cell<bool>,
}

/// Plays one run. The folder keeps all it made.
///
/// # Errors
/// If the run could not be set up; what goes wrong later is in the report.
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

/// Nodes that end by themselves are faults of the run.
async fn watch_for_exits(scenario: Rc<Scenario>) {
    loop {
        sleep(EXIT_POLL_INTERVAL).await;
        for node in &scenario.nodes {
            let mut process = node.process.borrow_mut();
            if let Some(status) = process.as_mut().and_then(Process::ended) {
                process.take();
                scenario.record_fault(format!("{} ended by itself: {status}", node.name));
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

    /// From the callers' first request until their last has ended, with the faults of the schedule meanwhile.
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
        // A schedule that was written by hand may last longer than the run.
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

    /// Something went wrong with the processes themselves.
    fn record_fault(&self, reason: String) {
        self.report.borrow_mut().process_faults.push(reason);
    }

    /// To all callers: whether these nodes may now leave them without an answer.
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
        // The lock keeps the order: what is written during a wait is written after it.
        let mut callers = self.callers.lock().await;
        for stdin in &mut *callers {
            // A caller that is gone is found out by its end.
            let _ = stdin.write_all(lines.as_bytes()).await;
        }
    }

    /// All nodes drain at once; each must end well.
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
                other => self.record_fault(format!("{} at the end: {other:?}", process.name)),
            }
        }
    }
}

/// Whether callers may be left without an answer from now on.
#[derive(Clone, Copy)]
enum Disturbance {
    Begins,
    Ends,
}

/// A proxy for each link of a run.
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
