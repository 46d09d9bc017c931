//! Processes that are restarted all at once, and how long each takes until it is ready.
//!
//! Ready is who listens, is in the list of the announce service, and answered its first ticket, with the work done by
//! an agent. Forwarders report to nobody; where the announce service does not answer, nobody is in its list, and
//! ready is who listens and answers: such nodes must get into the list once it is back. Agents and the announce
//! service are stand-ins and keep running: what is restarted are nodes and forwarders.

use crate::peers::agent;
use crate::process::{program, Process, COMES_UP};
use crate::stage::{first_line, group_of, node_file};
use clap::{Args, ValueEnum};
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, GroupMember};
use rainstand_config::source::Memory;
use rainstand_protocol::thrift::{self, What};
use rainstand_test_servers::size::{Limited, Size};
use rustix::process::Signal;
use serde::Serialize;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Nine in ten must be ready by then.
pub const WITHIN: Duration = Duration::from_secs(10);
/// Who is not ready by then never is.
const MOST: Duration = Duration::from_secs(60);
/// Between looks whether a process listens: a time told is so much too long at the most.
const LOOK: Duration = Duration::from_millis(20);
/// After an answer that was none, if it named no pause.
const AGAIN: Duration = Duration::from_millis(20);
/// For one key to be kept in the group before the restart, with all tries.
const KEY_WITHIN: Duration = Duration::from_secs(60);
/// Callers that fill one member's disk side by side.
const FILLERS: usize = 8;
/// From the notice to leave to the kill, as nodes and forwarders are told.
const STOP: Duration = Duration::from_secs(3);
/// The longest request taken by the announce service, bytes.
const REQUEST_MOST: usize = 8 << 10;
/// Children of one run at most.
const CHILDREN_MOST: usize = 280;
const KEYS_MOST: usize = 100_000;
/// Tenants, routes: what the language has room for.
const TENANTS_MOST: usize = 60_000;
const ROUTES_MOST: usize = 20_000;

/// What the announce service does during the restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Discovery {
    /// Answers each report.
    Up,
    /// Nobody listens there.
    Down,
    /// Takes connections and reports, and never answers.
    Silent,
}

/// How the old processes end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum End {
    Kill,
    Term,
}

/// In which form forwarders read their configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    Rain,
    Text,
    Binary,
}

#[derive(Clone, Debug, Args, Serialize)]
pub struct Options {
    /// Those in the group among them
    #[arg(long, default_value_t = 30)]
    pub nodes: usize,
    #[arg(long, default_value_t = 30)]
    pub forwarders: usize,
    #[arg(long, default_value_t = 23_000)]
    pub tenants: usize,
    #[arg(long, default_value_t = 5_400)]
    pub routes: usize,
    /// Limits `per: tenant` on each route, not only on tenants
    #[arg(long)]
    pub limits_on_routes: bool,
    #[arg(long, value_enum, default_value = "up")]
    pub discovery: Discovery,
    /// So many of the nodes form a group, with disks: 0, or 3 and more
    #[arg(long, default_value_t = 0)]
    pub group: usize,
    /// Keys on the group's disks before the restart
    #[arg(long, default_value_t = 4_000)]
    pub keys: usize,
    /// How the old processes end
    #[arg(long, value_enum, default_value = "kill")]
    pub end: End,
    /// In which form forwarders read their configuration
    #[arg(long, value_enum, default_value = "rain")]
    pub form: Form,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where the programs lie, if not beside this one
    #[arg(long)]
    #[serde(skip)]
    pub programs: Option<PathBuf>,
}

impl Options {
    /// # Errors
    /// What there is too many or too few of.
    fn check(&self) -> io::Result<()> {
        let refused = |why: String| Err(io::Error::new(io::ErrorKind::InvalidInput, why));
        if self.nodes == 0 || self.nodes * 2 + self.forwarders > CHILDREN_MOST {
            return refused(format!(
                "each node has an agent: 1 to {CHILDREN_MOST} processes"
            ));
        }
        if !(1..=TENANTS_MOST).contains(&self.tenants) || !(1..=ROUTES_MOST).contains(&self.routes)
        {
            return refused(format!(
                "1 to {TENANTS_MOST} tenants and 1 to {ROUTES_MOST} routes"
            ));
        }
        if matches!(self.group, 1 | 2) || self.group > self.nodes.min(64) {
            return refused("a group has 3 members or more, at most all nodes and 64".into());
        }
        if self.keys > KEYS_MOST {
            return refused(format!("at most {KEYS_MOST} keys"));
        }
        Ok(())
    }

    /// The shape of two years with the routes and tenants asked for. No pool has two members at one node.
    fn size(&self) -> Size {
        let whole = Size::two_years();
        let part = |of: usize| (of * self.routes / whole.routes).clamp(1, of);
        let (services, pools) = (part(whole.services), part(whole.pools));
        let members = whole.members.min(pools * self.nodes);
        let limits = if self.limits_on_routes {
            Limited::PerTenantOnRoutes
        } else {
            Limited::Tenants
        };
        Size {
            services,
            pools,
            members,
            limits,
            routes: self.routes,
            tenants: self.tenants,
            ..whole
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Node,
    /// A node in the group.
    Member,
    Forwarder,
}

/// When what was seen of a process, from its start; none if not before [`MOST`].
#[derive(Clone, Debug, Default)]
struct Seen {
    listens: Option<Duration>,
    listed: Option<Duration>,
    answered: Option<Duration>,
    /// Tickets without an answer from an agent before the first with one.
    turned_away: u64,
    /// Why the last of them was an exception.
    exception: Option<String>,
}

impl Seen {
    /// `in_list`: it has to be in the list, too.
    fn ready(&self, in_list: bool) -> Option<Duration> {
        let listed = if in_list {
            self.listed?
        } else {
            Duration::ZERO
        };
        Some(self.listens?.max(self.answered?).max(listed))
    }
}

/// Times of all processes of a kind, milliseconds; none where that one never came to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    pub ninth_decile_ms: Option<u64>,
    pub worst_ms: Option<u64>,
}

impl Times {
    /// The ninth decile is the smallest time that nine in ten do not exceed.
    pub fn of(times: impl IntoIterator<Item = Option<Duration>>) -> Self {
        let mut all: Vec<u128> = times
            .into_iter()
            .map(|time| time.map_or(u128::MAX, |time| time.as_millis()))
            .collect();
        all.sort_unstable();
        let told = |at: usize| all.get(at).and_then(|ms| u64::try_from(*ms).ok());
        Self {
            ninth_decile_ms: told((all.len() * 9).div_ceil(10).saturating_sub(1)),
            worst_ms: told(all.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for Times {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |of: Option<u64>| of.map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms"));
        write!(
            out,
            "ninth decile {}, worst {}",
            ms(self.ninth_decile_ms),
            ms(self.worst_ms)
        )
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct OfKind {
    pub kind: Kind,
    pub processes: usize,
    /// Before the run gave up on them, and within the ten seconds.
    pub ready: usize,
    pub in_time: usize,
    pub times: Times,
    pub listens: Times,
    /// None where there is no list to be in.
    pub listed: Option<Times>,
    pub answered: Times,
    pub turned_away: u64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub restarted: Vec<OfKind>,
    /// The same of the very first start, with empty disks.
    pub first: Vec<OfKind>,
    /// Reports of nodes that nobody could connect to yet.
    pub told_before_listening: u64,
    /// Processes that ended by themselves, or not when they were told.
    pub fell: Vec<String>,
    /// Where the announce service was down or silent: nodes in the list once it was back, and how long that took.
    pub back_in_list: usize,
    pub back: Option<Times>,
    /// Keys on the disks before the restart; those asked for again after it, and those whose result was the same.
    pub keys: usize,
    pub keys_asked: usize,
    pub keys_kept: usize,
    /// Nodes, members among them.
    pub nodes: usize,
}

impl Report {
    /// All but the times: the same on any machine.
    pub fn whole(&self) -> bool {
        self.fell.is_empty()
            && self.told_before_listening == 0
            && self
                .restarted
                .iter()
                .all(|kind| kind.ready == kind.processes)
            && (self.back.is_none() || self.back_in_list == self.nodes)
            && self.keys_kept == self.keys_asked
    }

    /// Nine in ten of each kind in time, and all else as it should be.
    pub fn good(&self) -> bool {
        self.whole()
            && self
                .restarted
                .iter()
                .all(|kind| kind.in_time * 10 >= kind.processes * 9)
    }
}

/// The announce service, and what it heard since the processes were started.
struct List {
    mode: Cell<Discovery>,
    /// Where each node is said to listen.
    fronts: BTreeMap<String, SocketAddr>,
    heard: RefCell<BTreeMap<String, Instant>>,
    listed: RefCell<BTreeMap<String, Instant>>,
    told_before_listening: Cell<u64>,
    /// Whose connection was taken last, and how many there are.
    last: Cell<Option<SocketAddr>>,
    open: Cell<usize>,
    changed: Notify,
}

impl List {
    /// Nobody is in it any more. All that reported are gone: what they said last is heard before, or it would count as
    /// said by those who come.
    async fn empty(&self, announce: SocketAddr) {
        if self.mode.get() != Discovery::Down {
            if let Ok(last) = TcpStream::connect(announce).await {
                // Taken in their order: whoever came before this one is taken by then.
                let own = last.local_addr().ok();
                let taken = async {
                    while self.last.get() != own {
                        sleep(LOOK).await;
                    }
                    drop(last);
                    while self.open.get() > 0 {
                        sleep(LOOK).await;
                    }
                };
                let _ = timeout(COMES_UP, taken).await;
            }
        }
        self.heard.borrow_mut().clear();
        self.listed.borrow_mut().clear();
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            self.last.set(Some(peer));
            // A node has one connection, and one that it has just left.
            if self.open.get() < self.fronts.len() * 4 {
                self.open.set(self.open.get() + 1);
                let list = self.clone();
                spawn_local(async move {
                    let _ = list.talk(stream).await;
                    list.open.set(list.open.get() - 1);
                });
            }
        }
    }

    async fn talk(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut back = Vec::new();
        loop {
            while let Some((name, length)) = request(&back) {
                back.drain(..length);
                self.report(&name).await;
                if self.mode.get() == Discovery::Up {
                    self.listed
                        .borrow_mut()
                        .entry(name)
                        .or_insert_with(Instant::now);
                    self.changed.notify_waiters();
                    stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await?;
                }
            }
            if back.len() > REQUEST_MOST || stream.read_buf(&mut back).await? == 0 {
                return Ok(());
            }
        }
    }

    /// The first report of a process says that callers may come: it must listen by then.
    async fn report(&self, name: &str) {
        let Some(front) = self.fronts.get(name) else {
            return;
        };
        if self
            .heard
            .borrow_mut()
            .insert(name.to_owned(), Instant::now())
            .is_none()
            && TcpStream::connect(front).await.is_err()
        {
            self.told_before_listening
                .set(self.told_before_listening.get() + 1);
        }
    }

    async fn listed(&self, name: &str) -> Instant {
        loop {
            if let Some(at) = self.listed.borrow().get(name) {
                return *at;
            }
            self.changed.notified().await;
        }
    }
}

/// The node named by a whole report at the front of the bytes, and the report's length.
fn request(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let name = head.strip_prefix("PUT /announce/")?.split(' ').next()?;
    let body = head
        .split("\r\n")
        .find_map(|line| line.strip_prefix("Content-Length: "))?;
    let length = end + 4 + body.trim().parse::<usize>().ok()?;
    (bytes.len() >= length).then(|| (name.to_owned(), length))
}

/// A port that stays ours while whoever listens there is restarted: bound here without listening, which hinders
/// nobody who binds it to be used again, and everybody who looks for a free one.
fn hold() -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
    let addr = socket.local_addr()?.as_socket();
    addr.map(|addr| (socket, addr))
        .ok_or_else(|| io::Error::other("no address"))
}

/// What is asked of a process.
#[derive(Clone, Debug, Default)]
struct Question {
    traffic: &'static str,
    customer: String,
    entity: String,
}

enum Reply {
    Honoured(Vec<u8>),
    Else {
        pause: Duration,
        exception: Option<String>,
    },
}

thread_local! {
    /// Tickets of this run have different traces.
    static TICKETS: Cell<u64> = const { Cell::new(1) };
}

/// A caller's connection.
struct Line {
    stream: TcpStream,
    back: Vec<u8>,
    seq: i32,
}

impl Line {
    async fn open(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            back: Vec::new(),
            seq: 0,
        })
    }

    async fn ask(&mut self, question: &Question) -> io::Result<Reply> {
        self.seq += 1;
        let ticket = TICKETS.with(|tickets| tickets.replace(tickets.get() + 1));
        let trace = format!("{ticket:016x}");
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let born = unix.as_millis().to_string();
        let mut fields = vec![
            ("route", question.traffic),
            ("trace", &trace),
            ("born", &born),
        ];
        fields.push(("customer", &question.customer));
        fields
            .extend((!question.entity.is_empty()).then_some(("entity", question.entity.as_str())));
        fields.extend([("size", "4"), ("client", "1"), ("order", "0.5")]);
        self.stream
            .write_all(&thrift::process(self.seq, &fields, b"ready"))
            .await?;
        loop {
            if let Some(length) = thrift::frame(&self.back).map_err(io::Error::other)? {
                let frame: Vec<u8> = self.back.drain(..4 + length).skip(4).collect();
                // The notice to leave, or an answer to what was asked before.
                if thrift::kind(&frame) == Some(thrift::ONEWAY) {
                    continue;
                }
                let answered = thrift::answered(&frame).map_err(io::Error::other)?;
                let (mut pause, mut exception) = (AGAIN, None);
                match answered.what {
                    What::Answer { body, .. } => return Ok(Reply::Honoured(body.to_vec())),
                    What::Backoff(texts) => {
                        let told = texts
                            .iter()
                            .find(|(name, _)| *name == b"pause")
                            .map(|(_, ms)| *ms);
                        let ms = told.and_then(|ms| std::str::from_utf8(ms).ok()?.parse().ok());
                        pause = ms.map_or(AGAIN, Duration::from_millis).max(AGAIN);
                    }
                    What::Exception { why, .. } => {
                        exception = Some(String::from_utf8_lossy(why).into_owned());
                    }
                    What::Lost => {}
                }
                return Ok(Reply::Else { pause, exception });
            }
            if self.stream.read_buf(&mut self.back).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// One process that is restarted.
struct One {
    kind: Kind,
    name: String,
    front: SocketAddr,
    question: Question,
    /// A node's file, or a forwarder's configuration and number.
    file: PathBuf,
    number: usize,
    group: Option<PathBuf>,
    process: RefCell<Option<Process>>,
}

impl One {
    fn start(&self, programs: Option<&Path>, folder: &Path) -> io::Result<()> {
        let mut command;
        if self.kind == Kind::Forwarder {
            command = Command::new(program("rainstand", programs)?);
            command
                .arg("forward")
                .arg("--config")
                .arg(&self.file)
                .arg("--listen")
                .arg(self.front.to_string());
            command
                .arg("--number")
                .arg(self.number.to_string())
                .arg("--seed")
                .arg(self.number.to_string());
            command.arg("--stop-ms").arg(STOP.as_millis().to_string());
        } else {
            command = Command::new(program("rainstand-node", programs)?);
            command.env("ROUTER_CONFIG", &self.file);
            if let Some(group) = &self.group {
                command.env("RAINSTAND_SETTINGS", group);
            }
        }
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let log = folder.join(format!("{}.log", self.name));
        *self.process.borrow_mut() = Some(Process::start(&self.name, command, &log)?);
        Ok(())
    }

    /// Why it is not there, if it ended by itself.
    fn ended(&self) -> Option<String> {
        let status = self.process.borrow_mut().as_mut()?.ended()?;
        Some(format!("{} ended by itself: {status}", self.name))
    }

    /// From its start on, until it is ready or gone.
    async fn watch(&self, begun: Instant, question: &Question, list: &List, in_list: bool) -> Seen {
        let seen = RefCell::new(Seen::default());
        let answers = async {
            while self.ended().is_none() {
                if let Ok(mut line) = Line::open(self.front).await {
                    seen.borrow_mut().listens.get_or_insert(begun.elapsed());
                    // A connection that breaks is opened anew: its process may be gone.
                    while let Ok(told) = line.ask(question).await {
                        let Reply::Else { pause, exception } = told else {
                            seen.borrow_mut().answered = Some(begun.elapsed());
                            return true;
                        };
                        seen.borrow_mut().turned_away += 1;
                        seen.borrow_mut().exception = exception;
                        sleep(pause).await;
                    }
                }
                sleep(LOOK).await;
            }
            false
        };
        let both = async {
            // Who ended by itself gets into no list.
            if answers.await && in_list {
                let at = list.listed(&self.name).await;
                seen.borrow_mut().listed = Some(at.saturating_duration_since(begun));
            }
        };
        let _ = timeout_at(begun + MOST, both).await;
        seen.into_inner()
    }
}

/// All processes of a run.
struct Fleet<'o> {
    options: &'o Options,
    folder: PathBuf,
    all: Vec<Rc<One>>,
    list: Rc<List>,
    /// The announce service's port, and those of all who are restarted.
    announce: SocketAddr,
    _held: Vec<Socket>,
    _agents: Vec<Process>,
    results: RefCell<BTreeMap<String, Vec<u8>>>,
}

/// Starts all, restarts them at once, and tells how long each took.
///
/// # Errors
/// If the run could not be set up.
pub async fn play(options: &Options, folder: &Path) -> io::Result<Report> {
    options.check()?;
    let fleet = Fleet::set_up(options, folder).await?;
    let mut report = Report {
        nodes: options.nodes,
        ..Report::default()
    };
    if options.discovery != Discovery::Down {
        let listener = TcpListener::bind(fleet.announce).await?;
        spawn_local(fleet.list.clone().serve(listener));
    }
    fleet.list.mode.set(options.discovery);
    report.first = fleet.start(1, &mut report.fell).await?;
    report.keys = fleet.fill().await?;
    fleet.stop(options.end, &mut report.fell).await;
    fleet.list.empty(fleet.announce).await;
    report.restarted = fleet.start(2, &mut report.fell).await?;
    (report.keys_asked, report.keys_kept) = fleet.ask_again().await;
    if options.discovery != Discovery::Up {
        let times = fleet.come_back().await?;
        report.back_in_list = times.iter().flatten().count();
        report.back = Some(Times::of(times));
    }
    report.told_before_listening = fleet.list.told_before_listening.get();
    fleet.stop(End::Term, &mut report.fell).await;
    Ok(report)
}

impl<'o> Fleet<'o> {
    async fn set_up(options: &'o Options, folder: &Path) -> io::Result<Self> {
        let folder = folder.to_owned();
        let mut held = Vec::new();
        let mut port = || {
            let (socket, addr) = hold()?;
            held.push(socket);
            Ok::<_, io::Error>(addr)
        };
        let announce = port()?;
        let fronts = (0..options.nodes)
            .map(|_| port())
            .collect::<io::Result<Vec<_>>>()?;
        let size = options.size();
        let members: Vec<GroupMember> = (0..options.group)
            .map(|n| {
                let disk = folder.join(format!("disk-n{n}"));
                fs::create_dir_all(&disk)?;
                Ok(GroupMember {
                    name: format!("n{n}"),
                    site: String::new(),
                    address: port()?.to_string(),
                    folder: disk.display().to_string(),
                })
            })
            .collect::<io::Result<_>>()?;
        let group = folder.join("group.txtpb");
        fs::write(
            &group,
            schema::to_text(&group_of(16, 3, Duration::from_secs(2), members)),
        )?;
        let mut chance = WyRand::new_seed(options.seed);
        let mut draw = |of: usize| chance.generate_range(0..of);
        let (mut all, mut agents) = (Vec::new(), Vec::new());
        for (n, front) in fronts.iter().enumerate() {
            let (agent, at) = start_agent(n, options, &folder).await?;
            agents.push(agent);
            let (name, file) = (format!("n{n}"), folder.join(format!("n{n}.json")));
            let mut node = node_file(
                &name,
                *front,
                at,
                options.seed ^ n as u64,
                Duration::from_secs(4),
            );
            node["stop_ms"] = (STOP.as_millis() as u64).into();
            node["announce"] = announce.to_string().into();
            node["settings"]["groupSize"] = options.nodes.into();
            node["settings"]["parties"] = parties(options.tenants);
            fs::write(&file, node.to_string())?;
            let in_group = n < options.group;
            let (kind, traffic) = if in_group {
                (Kind::Member, "register")
            } else {
                (Kind::Node, "check")
            };
            all.push(Rc::new(One {
                kind,
                name,
                front: *front,
                question: Question {
                    traffic,
                    customer: format!("t{}", draw(options.tenants)),
                    entity: String::new(),
                },
                file,
                number: n,
                group: in_group.then(|| group.clone()),
                process: RefCell::default(),
            }));
        }
        let file = folder.join(match options.form {
            Form::Rain => "fleet.rain",
            Form::Text => "fleet.txtpb",
            Form::Binary => "fleet.pb",
        });
        // A pool's members are at different nodes: they come in steps of the number of pools.
        let node = |member: usize| (member % size.pools * 7 + member / size.pools) % options.nodes;
        fs::write(
            &file,
            written(
                &size.rain_to(|member| fronts[node(member)].to_string()),
                options.form,
            )?,
        )?;
        for f in 0..options.forwarders {
            // No route that names tenants.
            let mut route = draw(options.routes);
            route += usize::from(route % 8 == 0 && options.routes > 1);
            let question = Question {
                traffic: "check",
                customer: format!("t{}", draw(options.tenants)),
                entity: size.entity(route % options.routes),
            };
            all.push(Rc::new(One {
                kind: Kind::Forwarder,
                name: format!("f{f}"),
                front: port()?,
                question,
                file: file.clone(),
                number: f,
                group: None,
                process: RefCell::default(),
            }));
        }
        let list = List {
            mode: Cell::new(options.discovery),
            fronts: (0..).map(|n| format!("n{n}")).zip(fronts).collect(),
            heard: RefCell::default(),
            listed: RefCell::default(),
            told_before_listening: Cell::new(0),
            last: Cell::new(None),
            open: Cell::new(0),
            changed: Notify::new(),
        };
        let list = Rc::new(list);
        let results = RefCell::default();
        Ok(Self {
            options,
            folder,
            all,
            list,
            announce,
            _held: held,
            _agents: agents,
            results,
        })
    }

    /// Starts all at once; returns when each is ready, gone, or given up on.
    async fn start(&self, round: usize, fell: &mut Vec<String>) -> io::Result<Vec<OfKind>> {
        let mut watches = JoinSet::new();
        for (k, one) in self.all.iter().cloned().enumerate() {
            let begun = Instant::now();
            one.start(self.options.programs.as_deref(), &self.folder)?;
            let (list, in_list) = (self.list.clone(), self.in_list(one.kind));
            let mut question = one.question.clone();
            if one.kind == Kind::Member {
                // A key of its own: the result of an earlier one would come from the copies, without any run.
                question.entity = format!("start-{round}-{k}");
            }
            watches
                .spawn_local(async move { (k, one.watch(begun, &question, &list, in_list).await) });
        }
        let mut seen = vec![Seen::default(); self.all.len()];
        while let Some(done) = watches.join_next().await {
            let (k, one) = done.map_err(io::Error::other)?;
            seen[k] = one;
        }
        fell.extend(self.all.iter().filter_map(|one| one.ended()));
        for (one, seen) in self.all.iter().zip(&seen) {
            fell.extend(
                seen.exception
                    .as_ref()
                    .map(|why| format!("{}: an exception: {why}", one.name)),
            );
        }
        let kinds = [Kind::Node, Kind::Member, Kind::Forwarder];
        Ok(kinds
            .into_iter()
            .filter_map(|kind| self.of_kind(kind, &seen))
            .collect())
    }

    fn in_list(&self, kind: Kind) -> bool {
        kind != Kind::Forwarder && self.list.mode.get() == Discovery::Up
    }

    fn of_kind(&self, kind: Kind, seen: &[Seen]) -> Option<OfKind> {
        let in_list = self.in_list(kind);
        let of: Vec<&Seen> = self
            .all
            .iter()
            .zip(seen)
            .filter(|(one, _)| one.kind == kind)
            .map(|(_, seen)| seen)
            .collect();
        let ready: Vec<Option<Duration>> = of.iter().map(|seen| seen.ready(in_list)).collect();
        (!of.is_empty()).then(|| OfKind {
            kind,
            processes: of.len(),
            ready: ready.iter().flatten().count(),
            in_time: ready
                .iter()
                .flatten()
                .filter(|time| **time <= WITHIN)
                .count(),
            times: Times::of(ready),
            listens: Times::of(of.iter().map(|seen| seen.listens)),
            listed: in_list.then(|| Times::of(of.iter().map(|seen| seen.listed))),
            answered: Times::of(of.iter().map(|seen| seen.answered)),
            turned_away: of.iter().map(|seen| seen.turned_away).sum(),
        })
    }

    /// Tells all at once, and waits until all are gone.
    async fn stop(&self, end: End, fell: &mut Vec<String>) {
        fell.extend(self.all.iter().filter_map(|one| one.ended()));
        let signal = if end == End::Kill {
            Signal::KILL
        } else {
            Signal::TERM
        };
        let mut going = Vec::new();
        for one in &self.all {
            if let Some(process) = one.process.borrow_mut().take() {
                process.signal(signal);
                going.push(process);
            }
        }
        for mut process in going {
            match process.gone(STOP + COMES_UP).await {
                Ok(status) if status.success() || end == End::Kill => {}
                other => fell.push(format!("{} at its end: {other:?}", process.name)),
            }
        }
    }

    fn members(&self) -> impl Iterator<Item = &Rc<One>> {
        self.all.iter().filter(|one| one.kind == Kind::Member)
    }

    /// Keyed tickets through all members, so that the keys lie on the disks of the group; how many were answered.
    async fn fill(&self) -> io::Result<usize> {
        let members: Vec<Rc<One>> = self.members().cloned().collect();
        if members.is_empty() {
            return Ok(0);
        }
        let (keys, at_once) = (self.options.keys, members.len() * FILLERS);
        let mut filling = JoinSet::new();
        for first in 0..at_once {
            let one = members[first % members.len()].clone();
            filling.spawn_local(async move {
                let mut kept = Vec::new();
                let mut line = Line::open(one.front).await?;
                for key in (first..keys).step_by(at_once) {
                    let question = Question {
                        entity: format!("key-{key}"),
                        ..one.question.clone()
                    };
                    let result = timeout(KEY_WITHIN, honoured(&mut line, &question)).await;
                    kept.push((
                        question.entity,
                        result.map_err(|_| io::ErrorKind::TimedOut)??,
                    ));
                }
                Ok::<_, io::Error>(kept)
            });
        }
        while let Some(done) = filling.join_next().await {
            self.results
                .borrow_mut()
                .extend(done.map_err(io::Error::other)??);
        }
        Ok(self.results.borrow().len())
    }

    /// A key of those filled in at each member: the result must be that of before the restart.
    async fn ask_again(&self) -> (usize, usize) {
        let (mut asked, mut kept) = (0, 0);
        for (one, n) in self.members().zip(0..) {
            // Keys are bound to their body and tenant, and members ask for different ones.
            let key = format!("key-{n}");
            let before = self.results.borrow().get(&key).cloned();
            let Some(before) = before else { continue };
            asked += 1;
            let question = Question {
                entity: key,
                ..one.question.clone()
            };
            let again = async { honoured(&mut Line::open(one.front).await?, &question).await };
            let again = timeout(KEY_WITHIN, again).await;
            kept += usize::from(matches!(again, Ok(Ok(result)) if result == before));
        }
        (asked, kept)
    }

    /// The announce service answers again: when each node was in the list, from then on.
    async fn come_back(&self) -> io::Result<Vec<Option<Duration>>> {
        let begun = Instant::now();
        if self.list.mode.replace(Discovery::Up) == Discovery::Down {
            let listener = TcpListener::bind(self.announce).await?;
            spawn_local(self.list.clone().serve(listener));
        }
        let mut times = Vec::new();
        for one in self.all.iter().filter(|one| one.kind != Kind::Forwarder) {
            let at = timeout_at(begun + MOST, self.list.listed(&one.name)).await;
            times.push(at.ok().map(|at| at.saturating_duration_since(begun)));
        }
        Ok(times)
    }
}

/// Asks until the answer is a result.
async fn honoured(line: &mut Line, question: &Question) -> io::Result<Vec<u8>> {
    loop {
        match line.ask(question).await? {
            Reply::Honoured(result) => return Ok(result),
            Reply::Else { pause, .. } => sleep(pause).await,
        }
    }
}

fn parties(tenants: usize) -> Value {
    let portion = 1.0 / tenants as f64;
    let one = |k| json!({"name": format!("t{k}"), "portion": portion, "quotaRps": 100_000.0});
    (0..tenants).map(one).collect()
}

/// A configuration in the form in which forwarders read it.
fn written(text: &str, form: Form) -> io::Result<Vec<u8>> {
    if form == Form::Rain {
        return Ok(text.into());
    }
    let outcome = rainstand_config::load(&Memory::new([("fleet.rain", text)]), "fleet.rain");
    let configuration = outcome
        .configuration
        .ok_or_else(|| io::Error::other("the configuration is refused"))?;
    Ok(match form {
        Form::Binary => schema::to_binary(&configuration),
        _ => schema::to_text(&configuration).into(),
    })
}

async fn start_agent(
    n: usize,
    options: &Options,
    folder: &Path,
) -> io::Result<(Process, SocketAddr)> {
    let name = format!("agent-n{n}");
    let told = agent::Options {
        name: name.clone(),
        seed: options.seed ^ (n as u64 + 1) << 32,
        run_least_ns: 1_000_000,
        run_most_ns: 2_000_000,
        history: folder.join(format!("{name}.part")),
    };
    let mut command = Command::new(program("rainstand-testbed", options.programs.as_deref())?);
    command.stdin(Stdio::null()).stdout(Stdio::piped());
    command.arg("agent").arg(serde_json::to_string(&told)?);
    let mut process = Process::start(&name, command, &folder.join(format!("{name}.log")))?;
    let said = first_line(&mut process).await?;
    let addr = said
        .parse()
        .map_err(|_| io::Error::other(format!("{name} said {said:?}")))?;
    Ok((process, addr))
}

/// Writes a report for people or as one JSON object.
///
/// # Errors
/// If it cannot be written.
pub fn tell(
    out: &mut impl Write,
    options: &Options,
    report: &Report,
    as_json: bool,
) -> io::Result<()> {
    if as_json {
        let all = json!({"good": report.good(), "whole": report.whole(), "asked": options, "report": report});
        return writeln!(out, "{all}");
    }
    for (when, kinds) in [
        ("first start", &report.first),
        ("restarted", &report.restarted),
    ] {
        for kind in kinds {
            let name = format!("{:?}", kind.kind).to_lowercase();
            writeln!(
                out,
                "{when}: {} of {} {name}s ready, {} within {} s; {}; {} tickets turned away before",
                kind.ready,
                kind.processes,
                kind.in_time,
                WITHIN.as_secs(),
                kind.times,
                kind.turned_away
            )?;
            writeln!(out, "  listens: {}", kind.listens)?;
            if let Some(listed) = kind.listed {
                writeln!(out, "  in the list: {listed}")?;
            }
            writeln!(out, "  answered: {}", kind.answered)?;
        }
    }
    if let Some(back) = report.back {
        let (back_in, nodes) = (report.back_in_list, report.nodes);
        writeln!(
            out,
            "announce service back: {back_in} of {nodes} nodes in the list; {back}"
        )?;
    }
    if report.keys > 0 {
        let (kept, asked) = (report.keys_kept, report.keys_asked);
        writeln!(
            out,
            "{} keys on the disks; {kept} of {asked} asked for again had their result",
            report.keys
        )?;
    }
    if report.told_before_listening > 0 {
        writeln!(
            out,
            "broken: {} reports before listening",
            report.told_before_listening
        )?;
    }
    for fell in &report.fell {
        writeln!(out, "fell over: {fell}")?;
    }
    let verdict = if report.good() {
        "nine in ten in time"
    } else {
        "not as it should be"
    };
    writeln!(out, "{verdict}")
}
