//! One run: agents, nodes, the links between them and callers, each a process or a proxy of its own; the schedule is
//! played, the history gathered and checked.

use crate::check::{check, Verdict};
use crate::history;
use crate::peers::{agent, caller};
use crate::plan::{Act, Disk, Link, Step, Trouble, AFTER};
use crate::process::{free_port, program, starts, Process, COMES_UP};
use crate::proxy::Proxy;
use rainstand_cluster::framing::with_length_prefix;
use rainstand_cluster::status;
use rainstand_config::schema::{self, Configuration, Rig};
use rustix::process::Signal;
use serde::Serialize;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader as Lines};
use tokio::net::TcpStream;
use tokio::process::{ChildStdin, Command};
use tokio::sync::Mutex;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// From the notice to leave to the kill, as the nodes are told.
pub(crate) const STOP: Duration = Duration::from_millis(3_000);
/// For a node to tell how it stands: one that is stopped does not.
const TELLS: Duration = Duration::from_millis(300);
/// Tries at a port that another process took meanwhile.
const PORTS: usize = 5;

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

/// What a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub seed: u64,
    pub broken: Vec<crate::check::Break>,
    /// What went wrong with the processes themselves.
    pub fell: Vec<String>,
    pub tally: crate::check::Tally,
    pub kills: u64,
    /// Kills of whoever led most shards.
    pub chased: u64,
    /// Times that a node set its files aside, as they told at the end.
    pub set_asides: u64,
    pub faults: usize,
    pub resets: u64,
    /// By kind of fault: tickets asked meanwhile, and the share of them that was answered.
    pub during: BTreeMap<&'static str, (usize, f64)>,
    /// Of all tickets.
    pub answered: f64,
    /// Largest time between two answers of keyed tickets, ms.
    pub longest_gap_ms: u64,
}

impl Report {
    pub fn good(&self) -> bool {
        self.broken.is_empty() && self.fell.is_empty()
    }
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

/// All parts of the history, as one file too.
fn gather(folder: &Path) -> io::Result<Vec<history::Seen>> {
    let mut parts: Vec<PathBuf> = fs::read_dir(folder)?
        .filter_map(|e| Some(e.ok()?.path()))
        .collect();
    parts.retain(|path| path.extension().is_some_and(|end| end == "part"));
    parts.sort();
    let whole = folder.join("history.jsonl");
    let mut out = fs::File::create(&whole)?;
    for part in parts {
        out.write_all(&fs::read(part)?)?;
    }
    let read = history::read(BufReader::new(fs::File::open(&whole)?));
    read.map(|(seen, _)| seen).map_err(io::Error::other)
}

/// How much was answered, in all and while each kind of fault went on.
fn service(seen: &[history::Seen], steps: &[Step], report: &mut Report) {
    use history::{End, Event};
    let mut answered = std::collections::HashSet::new();
    let mut times = Vec::new();
    for one in seen {
        if let Event::End {
            ticket,
            end: End::Answer,
            ..
        } = &one.event
        {
            answered.insert((one.by.as_str(), ticket.as_str()));
        }
    }
    let asked: Vec<(u64, bool, bool)> = seen
        .iter()
        .filter_map(|one| match &one.event {
            Event::Ask { ticket, key, .. } => Some((
                one.at,
                key.is_some(),
                answered.contains(&(one.by.as_str(), ticket.as_str())),
            )),
            _ => None,
        })
        .collect();
    let share = |of: &[&(u64, bool, bool)]| {
        of.iter().filter(|one| one.2).count() as f64 / of.len().max(1) as f64
    };
    report.answered = share(&asked.iter().collect::<Vec<_>>());
    let begun = asked.iter().map(|one| one.0).min().unwrap_or(0);
    for step in steps {
        let (from, until) = (
            begun + step.from.as_nanos() as u64,
            begun + step.until.as_nanos() as u64,
        );
        let during: Vec<_> = asked
            .iter()
            .filter(|one| one.1 && (from..until).contains(&one.0))
            .collect();
        if !during.is_empty() {
            let entry = report.during.entry(kind(&step.act)).or_insert((0, 0.0));
            let before = entry.1 * entry.0 as f64;
            entry.0 += during.len();
            entry.1 = (before + share(&during) * during.len() as f64) / entry.0 as f64;
        }
    }
    let keyed: std::collections::HashSet<_> = seen
        .iter()
        .filter_map(|one| match &one.event {
            Event::Ask {
                ticket,
                key: Some(_),
                ..
            } => Some((one.by.as_str(), ticket.as_str())),
            _ => None,
        })
        .collect();
    for one in seen {
        if let Event::End {
            ticket,
            end: End::Answer,
            ..
        } = &one.event
        {
            if keyed.contains(&(one.by.as_str(), ticket.as_str())) {
                times.push(one.at);
            }
        }
    }
    times.sort_unstable();
    let gap = times
        .windows(2)
        .map(|two| two[1] - two[0])
        .max()
        .unwrap_or(0);
    report.longest_gap_ms = gap / 1_000_000;
}

/// A fault's name in reports.
pub fn kind(act: &Act) -> &'static str {
    match act {
        Act::Link {
            trouble:
                Trouble::Cut {
                    forth: true,
                    back: true,
                },
            ..
        } => "cut",
        Act::Link {
            trouble: Trouble::Cut { .. },
            ..
        } => "cut one way",
        Act::Link {
            trouble: Trouble::HalfOpen,
            ..
        } => "half open",
        Act::Link {
            trouble: Trouble::Delay(_),
            ..
        } => "delay",
        Act::Link {
            trouble: Trouble::Throttle(_),
            ..
        } => "throttle",
        Act::Link {
            trouble: Trouble::Stall,
            ..
        } => "stall",
        Act::Reset { .. } => "reset",
        Act::Twice { .. } => "twice",
        Act::Kill {
            disk: Disk::Same, ..
        } => "kill",
        Act::Kill {
            disk: Disk::Empty, ..
        } => "kill, empty disk",
        Act::Kill {
            disk: Disk::Old, ..
        } => "kill, old disk",
        Act::Kill {
            disk: Disk::Another { .. },
            ..
        } => "kill, another's disk",
        Act::Chase { .. } => "leader killed",
        Act::Stop { .. } => "stop",
        Act::Roll { .. } => "roll",
        Act::FlushFails { .. } => "flush fails",
        Act::DiskFull { .. } => "disk full",
        Act::DiskSlow { .. } => "disk slow",
        Act::Torn { .. } => "torn",
        Act::Clock { .. } => "clock",
    }
}

/// A folder with its files, in place of what was there.
fn copy(from: &Path, to: &Path) -> io::Result<()> {
    let _ = fs::remove_dir_all(to);
    fs::create_dir_all(to)?;
    let Ok(entries) = fs::read_dir(from) else {
        return Ok(());
    };
    for entry in entries {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
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

    fn me(&self) -> io::Result<Command> {
        let mut command = Command::new(program(
            "rainstand-testbed",
            self.place.programs.as_deref(),
        )?);
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        Ok(command)
    }

    async fn start_agent(&self, n: usize) -> io::Result<(Process, SocketAddr)> {
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

    async fn start_caller(&self, n: usize) -> io::Result<Process> {
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
    async fn start_node(&self, n: usize) -> io::Result<()> {
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
    fn out_of_reach(&self, n: usize) {
        self.nodes[n].peer.set(None);
        for (link, proxy) in &self.links {
            if matches!(link, Link::Caller { node, .. } if *node == n)
                || matches!(link, Link::Peer { to, .. } if *to == n)
            {
                proxy.lead(None);
            }
        }
    }

    fn settings(&self, n: usize, front: SocketAddr) -> serde_json::Value {
        let agent = self.links[&Link::Agent { node: n }].addr;
        let (name, within) = (
            &self.nodes[n].name,
            Duration::from_nanos(self.rig.within_ns),
        );
        let mut file = node_file(name, front, agent, self.seed ^ n as u64, within);
        file["settings"]["familyInfo"]["callers"] = self.rig.callers.into();
        file["settings"]["groupSize"] = self.rig.nodes.into();
        file
    }

    /// The group as this node sees it: the others through its own links to them.
    fn group(&self, n: usize, own: SocketAddr) -> Configuration {
        let member = |(k, node): (usize, &Node)| schema::GroupMember {
            name: node.name.clone(),
            site: format!("s{}", k % self.rig.sites.max(1) as usize),
            address: if k == n {
                own
            } else {
                self.links[&Link::Peer { from: n, to: k }].addr
            }
            .to_string(),
            folder: self.nodes[k].folder.join("disk").display().to_string(),
        };
        let members = self.nodes.iter().enumerate().map(member).collect();
        let within = Duration::from_nanos(self.rig.within_ns);
        let mut all = group_of(self.rig.shards, self.rig.copies, within, members);
        for group in &mut all.groups {
            (group.heartbeat_ns, group.testing) = (30_000_000, true);
            (group.election_least_ns, group.election_most_ns) = (150_000_000, 300_000_000);
            group.commit_wait_ns = 500_000;
            group.come_back_ns = 100_000_000;
        }
        all
    }

    /// What a node tells of its copies; none if it does not answer at once.
    async fn status(&self, n: usize) -> Option<serde_json::Value> {
        let peer = self.nodes[n].peer.get()?;
        let asked = async {
            let mut stream = TcpStream::connect(peer).await.ok()?;
            stream
                .write_all(&with_length_prefix(&status::encode_question("status")))
                .await
                .ok()?;
            let mut head = [0; 4];
            stream.read_exact(&mut head).await.ok()?;
            let mut body = vec![0; (u32::from_be_bytes(head) as usize).min(16 << 20)];
            stream.read_exact(&mut body).await.ok()?;
            serde_json::from_slice(&body).ok()
        };
        timeout(TELLS, asked).await.ok()?
    }

    /// Until every shard has a leader, if there is a group.
    async fn whole(&self) -> io::Result<()> {
        let until = Instant::now() + COMES_UP;
        if self.rig.shards == 0 {
            return Ok(());
        }
        loop {
            let mut led = 0;
            for n in 0..self.nodes.len() {
                led += self
                    .status(n)
                    .await
                    .and_then(|status| status["leads"].as_u64())
                    .unwrap_or(0);
            }
            if led >= self.rig.shards {
                return Ok(());
            }
            if Instant::now() > until {
                let why = format!("{led} of {} shards have a leader", self.rig.shards);
                return Err(io::Error::new(io::ErrorKind::TimedOut, why));
            }
            sleep(Duration::from_millis(10)).await;
        }
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

    async fn step(self: &Rc<Self>, step: Step) {
        if self.over.get() {
            return;
        }
        let mut act = step.act;
        if let Act::Chase { disk } = act {
            act = Act::Kill {
                node: self.leader().await,
                disk,
            };
            self.report.borrow_mut().chased += 1;
        }
        let disturbed = act.disturbs();
        self.tell("disturb", &disturbed).await;
        let lasts = step.until.saturating_sub(step.from);
        if let Err(why) = self.act(act, lasts).await {
            self.fell(format!("{act:?}: {why}"));
        }
        sleep(AFTER).await;
        self.tell("calm", &disturbed).await;
    }

    /// Who leads most shards; the first node where nobody tells.
    async fn leader(&self) -> usize {
        let mut most = (0, 0);
        for n in 0..self.nodes.len() {
            let leads = self
                .status(n)
                .await
                .and_then(|status| status["leads"].as_u64())
                .unwrap_or(0);
            if leads > most.0 {
                most = (leads, n);
            }
        }
        most.1
    }

    async fn act(&self, act: Act, lasts: Duration) -> io::Result<()> {
        match act {
            Act::Link { link, trouble } => {
                if let Some(proxy) = self.links.get(&link) {
                    proxy.begin(trouble);
                    sleep(lasts).await;
                    proxy.heal(trouble);
                }
            }
            Act::Reset { link } => {
                if let Some(proxy) = self.links.get(&link) {
                    proxy.reset_next();
                }
            }
            Act::Twice { link } => {
                if let Some(proxy) = self.links.get(&link) {
                    proxy.again().await;
                }
            }
            Act::Kill { node, disk } => return self.kill(node, disk, lasts, false).await,
            Act::Torn { node } => {
                return self
                    .kill(node, Disk::Same, Duration::from_millis(50), true)
                    .await
            }
            Act::Chase { .. } => {}
            Act::Stop { node } => {
                self.signal(node, Signal::STOP);
                sleep(lasts).await;
                self.signal(node, Signal::CONT);
            }
            Act::Roll { node } => return self.roll(node).await,
            Act::FlushFails { node } => return self.ill(node, "flush-fails", lasts).await,
            Act::DiskFull { node } => return self.ill(node, "disk-full", lasts).await,
            Act::DiskSlow { node, by } => {
                return self
                    .ill(node, &format!("disk-slow {}", by.as_millis()), lasts)
                    .await;
            }
            Act::Clock { node, rate, step } => {
                let said = format!("clock {rate} {}", step.as_millis());
                *self.nodes[node].clock.borrow_mut() = Some(said);
                let done = self.kill(node, Disk::Same, Duration::ZERO, false).await;
                sleep(lasts).await;
                self.nodes[node].clock.borrow_mut().take();
                done?;
                return self.kill(node, Disk::Same, Duration::ZERO, false).await;
            }
        }
        Ok(())
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(process) = &*self.nodes[n].process.borrow() {
            process.signal(signal);
        }
    }

    async fn kill(&self, n: usize, disk: Disk, lasts: Duration, torn: bool) -> io::Result<()> {
        let node = &self.nodes[n];
        let process = node.process.borrow_mut().take();
        node.down.set(node.down.get() + 1);
        self.out_of_reach(n);
        if let Some(process) = process {
            self.report.borrow_mut().kills += 1;
            process.kill().await?;
        }
        let folder = node.folder.join("disk");
        match disk {
            Disk::Same => {}
            Disk::Empty => copy(Path::new(""), &folder)?,
            Disk::Old => copy(&node.folder.join("old"), &folder)?,
            Disk::Another { of } => copy(&self.nodes[of].folder.join("old"), &folder)?,
        }
        if torn {
            tear(&folder)?;
        }
        sleep(lasts).await;
        self.up_again(n).await
    }

    /// Starts a node again once nothing keeps it down any more.
    async fn up_again(&self, n: usize) -> io::Result<()> {
        let node = &self.nodes[n];
        node.down.set(node.down.get() - 1);
        if node.down.get() == 0 && node.process.borrow().is_none() && !self.over.get() {
            node.down.set(1);
            let started = self.start_node(n).await;
            node.down.set(node.down.get() - 1);
            return started;
        }
        Ok(())
    }

    /// Drained, waited for, and started again.
    async fn roll(&self, n: usize) -> io::Result<()> {
        let node = &self.nodes[n];
        let Some(mut process) = node.process.borrow_mut().take() else {
            return Ok(());
        };
        node.down.set(node.down.get() + 1);
        process.signal(Signal::TERM);
        let status = process.gone(STOP + COMES_UP).await?;
        if !status.success() {
            self.fell(format!("{} drained with {status}", node.name));
        }
        self.out_of_reach(n);
        self.up_again(n).await
    }

    /// What the node's disk does from now on, by the file that a testing node looks at.
    async fn ill(&self, n: usize, what: &str, lasts: Duration) -> io::Result<()> {
        let file = self.nodes[n].folder.join("testing");
        fs::write(&file, what)?;
        sleep(lasts).await;
        fs::write(&file, "")?;
        // A node whose disk failed stays without a vote until it is started anew.
        if what == "flush-fails" || what == "disk-full" {
            self.tell("disturb", &[n]).await;
            let done = self.kill(n, Disk::Same, Duration::ZERO, false).await;
            sleep(AFTER).await;
            self.tell("calm", &[n]).await;
            return done;
        }
        Ok(())
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

/// Half a record behind the newest segment, as if the crash had come in the middle of a write.
fn tear(folder: &Path) -> io::Result<()> {
    let Ok(entries) = fs::read_dir(folder) else {
        return Ok(());
    };
    let logs = entries.filter_map(|entry| Some(entry.ok()?.path()));
    let newest = logs
        .filter(|path| {
            path.file_name()
                .is_some_and(|name| name.as_encoded_bytes().starts_with(b"log-"))
        })
        .max();
    if let Some(path) = newest {
        fs::OpenOptions::new()
            .append(true)
            .open(path)?
            .write_all(&[200, 0, 0, 0, 1, 2, 3])?;
    }
    Ok(())
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

/// A node's configuration file: two traffic types, one of them ticketed, and one tenant.
pub(crate) fn node_file(
    name: &str,
    listen: SocketAddr,
    agent: SocketAddr,
    seed: u64,
    within: Duration,
) -> serde_json::Value {
    let within = within.as_secs_f64();
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimS": within * 0.9, "deadlineS": within, "effect": effect,
            "lateWorth": 0.5, "value": 1.0, "windowS": 120.0})
    };
    json!({
        "name": name,
        "listen": listen.to_string(),
        "agent": agent.to_string(),
        "seed": format!("{seed:016x}"),
        "stop_ms": STOP.as_millis() as u64,
        "limits": {"cores": 4.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "clients": {"marksRetry": true},
            "countedBy": "request",
            "familyInfo": {
                "below": "none", "callShare": 0.0, "callers": 1, "callsOverS": 5.0,
                "lingersS": 0.2, "classCalls": [false, false], "classSkipWorth": [0.0, 0.0],
                "cold": false, "cores": 64, "entryKb": 0.1, "freshS": 0.0,
                "gauges": ["core_use", "on_cores", "heap_share", "links"],
                "halt": "off", "hangupSeen": true, "idleS": 15.0, "passesDeadline": false,
                "ramKb": 4_000_000.0, "readiness": false, "realChecks": false, "runMemFactor": 1.0,
                "saidForS": 1.0, "say": "off"
            },
            "groupSize": 1,
            "obligations": {
                "answerSlackS": 0.05, "coldShare": 1.0, "drainGraceS": 1.0, "fallS": 3.0,
                "overloadFactor": 6.0, "rampTimeS": 1.0
            },
            "parties": [{"name": "acme", "portion": 1.0, "quotaRps": 100_000.0}],
            "permissions": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfterS": 1.0,
                "retryAfter": true},
            "requestClasses": [class("check", "free"), class("register", "guarded")]
        }
    })
}

/// A configuration of one group, with the times of the page for operators.
pub(crate) fn group_of(
    shards: u64,
    copies: u64,
    within: Duration,
    members: Vec<schema::GroupMember>,
) -> Configuration {
    let group = schema::Group {
        name: "rig".to_owned(),
        shards,
        copies,
        heartbeat_ns: 50_000_000,
        election_least_ns: 300_000_000,
        election_most_ns: 600_000_000,
        commit_wait_ns: 0,
        keys: 100_000,
        moves: 2,
        testing: false,
        members,
        start_within_ns: within.as_nanos() as u64 / 2,
        come_back_ns: 500_000_000,
    };
    Configuration {
        version: schema::VERSION,
        groups: vec![group],
        ..Configuration::default()
    }
}
