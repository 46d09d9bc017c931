//! One run: agents, nodes, the links between them and callers, each a process or a proxy of its own; the schedule is
//! played, the history gathered and checked.

mod configuration;
mod fault_injection;
mod launch;
mod status;
mod summary;

use crate::check::{check, Verdict};
use crate::fault_schedule::{Link, Step};
use crate::process::{Process, COMES_UP};
use crate::proxy::Proxy;
pub(crate) use configuration::{group_of, node_file};
use fault_injection::copy;
pub(crate) use launch::first_line;
use rainstand_config::schema::Rig;
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::{fs, io};
use summary::{gather, service};
pub use summary::{kind, Report};
use tokio::io::AsyncWriteExt;
use tokio::process::ChildStdin;
use tokio::sync::Mutex;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// From the notice to leave to the kill, as the nodes are told.
pub(crate) const STOP: Duration = Duration::from_millis(3_000);

/// Where the programs lie and where a run leaves what it makes.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// Of the programs; beside this one if not named.
    pub programs: Option<PathBuf>,
    /// Of this run: configurations, logs, histories.
    pub folder: PathBuf,
    /// A bug planted in every node, by name.
    pub bug: Option<String>,
}

/// One node's process and what belongs to it.
struct Node {
    name: String,
    folder: PathBuf,
    process: RefCell<Option<Process>>,
    /// Bits of what is being done to it: it is not started again before all of it is over.
    down: Cell<u32>,
    /// Its address for the others of its group, while it runs.
    peer: Cell<Option<SocketAddr>>,
    clock: RefCell<Option<String>>,
}

struct Stage {
    rig: Rig,
    seed: u64,
    place: Place,
    nodes: Vec<Node>,
    links: BTreeMap<Link, Rc<Proxy>>,
    callers: Mutex<Vec<ChildStdin>>,
    report: RefCell<Report>,
    over: Cell<bool>,
}

/// Plays one run. The folder keeps all it made.
///
/// # Errors
/// If the run could not be set up; what goes wrong later is in the report.
pub async fn play(rig: &Rig, seed: u64, steps: &[Step], place: &Place) -> io::Result<Report> {
    let stage = Stage::set_up(rig, seed, place).await?;
    let stage = Rc::new(stage);
    let mut agents = Vec::new();
    for n in 0..stage.nodes.len() {
        let (process, addr) = stage.start_agent(n).await?;
        stage.links[&Link::Agent { node: n }].lead(Some(addr));
        agents.push(process);
    }
    for n in 0..stage.nodes.len() {
        stage.start_node(n).await?;
    }
    stage.whole().await?;
    let mut callers = Vec::new();
    for n in 0..rig.callers as usize {
        callers.push(stage.start_caller(n).await?);
    }
    for node in &stage.nodes {
        copy(&node.folder.join("disk"), &node.folder.join("old"))?;
    }
    let begun = Instant::now();
    stage.say("begin\n").await;
    let mut playing = JoinSet::new();
    for step in steps.iter().copied() {
        let stage = stage.clone();
        playing.spawn_local(async move {
            sleep_until(begun + step.from).await;
            stage.step(step).await;
        });
    }
    let watching = spawn_local(watch(stage.clone()));
    let lasts = Duration::from_nanos(rig.lasts_ns + rig.within_ns + rig.slack_ns);
    for process in &mut callers {
        let left = lasts.saturating_sub(begun.elapsed()) + COMES_UP;
        let ended = process.gone(left).await;
        if !ended.as_ref().is_ok_and(|status| status.success()) {
            stage.fell(format!("{}: {ended:?}", process.name));
        }
    }
    // A schedule that was written by hand may last longer than the run.
    let _ = timeout(COMES_UP, async {
        while playing.join_next().await.is_some() {}
    })
    .await;
    stage.over.set(true);
    watching.abort();
    for n in 0..stage.nodes.len() {
        let status = stage.status(n).await.unwrap_or_default();
        stage.report.borrow_mut().set_asides += status["set_asides"].as_u64().unwrap_or(0);
    }
    stage.end().await;
    for process in agents {
        let _ = process.kill().await;
    }
    let mut report = stage.report.take();
    report.seed = seed;
    report.faults = steps.iter().map(|step| step.fault + 1).max().unwrap_or(0);
    report.resets = stage.links.values().map(|link| link.resets.get()).sum();
    let seen = gather(&place.folder)?;
    let Verdict { tally, broken } = check(&seen);
    (report.tally, report.broken) = (tally, broken);
    service(&seen, steps, &mut report);
    Ok(report)
}

/// Nodes that end by themselves have fallen over.
async fn watch(stage: Rc<Stage>) {
    loop {
        sleep(Duration::from_millis(20)).await;
        for n in 0..stage.nodes.len() {
            let ended = stage.nodes[n]
                .process
                .borrow_mut()
                .as_mut()
                .and_then(Process::ended);
            if let Some(status) = ended {
                stage.nodes[n].process.borrow_mut().take();
                stage.fell(format!("{} ended by itself: {status}", stage.nodes[n].name));
            }
        }
    }
}

impl Stage {
    async fn set_up(rig: &Rig, seed: u64, place: &Place) -> io::Result<Self> {
        fs::create_dir_all(&place.folder)?;
        let (nodes, callers) = (rig.nodes as usize, rig.callers as usize);
        let mut links = BTreeMap::new();
        for node in 0..nodes {
            let from = (0..nodes).filter(|from| *from != node && rig.shards > 0);
            let all = (0..callers)
                .map(|caller| Link::Caller { caller, node })
                .chain([Link::Agent { node }])
                .chain(from.map(|from| Link::Peer { from, to: node }));
            for link in all {
                links.insert(link, Proxy::open(seed ^ links.len() as u64).await?);
            }
        }
        let nodes = (0..nodes).map(|n| {
            let folder = place.folder.join(format!("n{}", n + 1));
            fs::create_dir_all(folder.join("disk"))?;
            Ok(Node {
                name: format!("n{}", n + 1),
                folder,
                process: RefCell::new(None),
                down: Cell::new(0),
                peer: Cell::new(None),
                clock: RefCell::new(None),
            })
        });
        Ok(Self {
            rig: rig.clone(),
            seed,
            place: place.clone(),
            nodes: nodes.collect::<io::Result<_>>()?,
            links,
            callers: Mutex::default(),
            report: RefCell::default(),
            over: Cell::new(false),
        })
    }

    fn fell(&self, why: String) {
        self.report.borrow_mut().fell.push(why);
    }

    /// To all callers: whether these nodes may now leave them without an answer.
    async fn tell(&self, what: &str, nodes: &[usize]) {
        let lines = nodes
            .iter()
            .map(|node| format!("{what} {}\n", self.nodes[*node].name));
        self.say(&lines.collect::<String>()).await;
    }

    async fn say(&self, lines: &str) {
        // One at a time: what is said during a wait is said after it.
        let mut callers = self.callers.lock().await;
        for stdin in &mut *callers {
            // A caller that is gone is found out by its end.
            let _ = stdin.write_all(lines.as_bytes()).await;
        }
    }

    /// All nodes drain at once; each must end well.
    async fn end(&self) {
        let mut going = Vec::new();
        for node in &self.nodes {
            if let Some(process) = node.process.borrow_mut().take() {
                process.signal(Signal::CONT);
                process.signal(Signal::TERM);
                going.push(process);
            }
        }
        for mut process in going {
            match process.gone(STOP + COMES_UP).await {
                Ok(status) if status.success() => {}
                other => self.fell(format!("{} at the end: {other:?}", process.name)),
            }
        }
    }
}
