//! Members of a group as processes at rest, and hollow ones of the same number beside them.

use super::fit::Growth;
use super::hollow::{
    self, name, GroupSpec, ELECTION_TIMEOUTS, HEARTBEAT_INTERVAL, REPLICAS_PER_SHARD, SHARDS,
};
use super::measure::MeasuredProcess;
use super::nodes::serve_agent;
use super::{limits, settings, table, Effort, Paths, Quantity, Row, Sizes};
use crate::process::{free_port, program};
use crate::proxy::Proxy;
use rainstand_cluster::framing::with_length_prefix;
use rainstand_cluster::status;
use rainstand_config::schema::{self, Configuration};
use rainstand_config::source::Memory;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, Instant};

/// For each shard to have a leader.
const ELECTION_DEADLINE: Duration = Duration::from_secs(30);
/// Between two looks whether each has one.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// After that, for whoever leads to be who should.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// For a member to answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest answer that is read.
const MAX_STATUS_BYTES: usize = 16 << 20;
/// Attempts at ports: other processes may have taken them meanwhile.
const PORT_ATTEMPTS: usize = 3;
/// Descriptors that a member may have, by its file.
const SOCKETS: usize = 1_024;

/// What a group of processes came to, in a second at rest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measurements {
    /// Complete frames on the links of all members together.
    pub frames: f64,
    /// Bytes that all members together sent.
    pub bytes: f64,
    /// Seconds from when all had started until each shard had a leader.
    pub formed: f64,
    /// Processor time of all members together, of one core.
    pub cpu: f64,
    /// The most of one member.
    pub worst_cpu: f64,
    /// Bytes of memory that are a member's own, the most of any.
    pub own: f64,
    /// Descriptors of a member, the most of any.
    pub descriptors: f64,
}

/// Where a member listens.
struct Ports {
    front: SocketAddr,
    peers: SocketAddr,
}

/// A group of processes.
struct Members {
    processes: Vec<MeasuredProcess>,
    ports: Vec<Ports>,
    /// The links, each through a proxy that counts, if they are to be counted.
    proxies: BTreeMap<(usize, usize), Rc<Proxy>>,
    folder: PathBuf,
}

impl Members {
    /// Starts all members, and waits until each is up.
    async fn start(
        count: usize,
        counts_frames: bool,
        agent: SocketAddr,
        paths: &Paths,
    ) -> io::Result<Self> {
        let folder = paths.folder.join(format!("group-{count}-{counts_frames}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder)?;
        let ports = || -> io::Result<Ports> {
            Ok(Ports {
                front: free_port()?,
                peers: free_port()?,
            })
        };
        let mut members = Self {
            processes: Vec::new(),
            ports: (0..count).map(|_| ports()).collect::<io::Result<_>>()?,
            proxies: BTreeMap::new(),
            folder,
        };
        if counts_frames {
            members.open_proxies().await?;
        }
        for n in 0..count {
            let process = members.start_member(n, agent, paths)?;
            members.processes.push(process);
        }
        for process in &mut members.processes {
            process.wait_for_output("start name=", 1)?;
        }
        Ok(members)
    }

    async fn open_proxies(&mut self) -> io::Result<()> {
        let count = self.ports.len();
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let proxy = Proxy::open(1).await?;
                proxy.set_target(Some(self.ports[to].peers));
                self.proxies.insert((from, to), proxy);
            }
        }
        Ok(())
    }

    fn start_member(
        &self,
        n: usize,
        agent: SocketAddr,
        paths: &Paths,
    ) -> io::Result<MeasuredProcess> {
        let group = self.folder.join(format!("{n}.txtpb"));
        fs::write(&group, schema::to_text(&self.configuration(n)))?;
        let node = self.folder.join(format!("{n}.json"));
        let front = self.ports[n].front;
        let settings = settings::node(&name(n), front, agent, 1, SOCKETS, limits::REQUESTS);
        fs::write(&node, settings.to_string())?;
        let mut command = Command::new(program("rainstand-node", paths.programs.as_deref())?);
        command
            .env("ROUTER_CONFIG", &node)
            .env("RAINSTAND_SETTINGS", &group);
        MeasuredProcess::start(command, &self.folder.join(format!("{n}.log")))
    }

    /// The group as member `n` sees it: the others through its own links to them.
    fn configuration(&self, n: usize) -> Configuration {
        let member = |k: usize| {
            let proxy = self.proxies.get(&(n, k));
            let address = proxy.map_or(self.ports[k].peers, |proxy| proxy.addr);
            schema::GroupMember {
                name: name(k),
                site: String::new(),
                address: address.to_string(),
                folder: disk_of(&self.folder, k),
            }
        };
        let group = schema::Group {
            name: "scale".into(),
            shards: SHARDS.into(),
            copies: REPLICAS_PER_SHARD as u64,
            heartbeat_ns: HEARTBEAT_INTERVAL.as_nanos() as u64,
            election_least_ns: ELECTION_TIMEOUTS[0].as_nanos() as u64,
            election_most_ns: ELECTION_TIMEOUTS[1].as_nanos() as u64,
            commit_wait_ns: 0,
            keys: 1_000_000,
            moves: 2,
            testing: false,
            members: (0..self.ports.len()).map(member).collect(),
            start_within_ns: 1_000_000_000,
            come_back_ns: 500_000_000,
        };
        Configuration {
            version: schema::VERSION,
            groups: vec![group],
            ..Configuration::default()
        }
    }

    /// What a member reports of this subject.
    async fn status(&self, n: usize, subject: &str) -> io::Result<serde_json::Value> {
        let request = async {
            let mut stream = TcpStream::connect(self.ports[n].peers).await?;
            let request = with_length_prefix(&status::encode_question(subject));
            stream.write_all(&request).await?;
            let mut head = [0; 4];
            stream.read_exact(&mut head).await?;
            let length = u32::from_be_bytes(head) as usize;
            let mut body = vec![0; length.min(MAX_STATUS_BYTES)];
            stream.read_exact(&mut body).await?;
            io::Result::Ok(serde_json::from_slice(&body)?)
        };
        timeout(STATUS_TIMEOUT, request).await?
    }

    async fn wait_for_leaders(&self) -> io::Result<()> {
        let deadline = Instant::now() + ELECTION_DEADLINE;
        loop {
            let mut led = 0;
            for n in 0..self.ports.len() {
                let status = self.status(n, "status").await.unwrap_or_default();
                led += status["leads"].as_u64().unwrap_or(0);
            }
            if led >= SHARDS.into() {
                return Ok(());
            }
            if Instant::now() > deadline {
                let reason = format!("{led} of {SHARDS} shards are led");
                return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Bytes that all members sent on their links so far, by their own count.
    async fn sent(&self) -> io::Result<u64> {
        let mut sum = 0;
        for n in 0..self.ports.len() {
            let status = self.status(n, "members").await?;
            let peers = status["peers"].as_array().cloned().unwrap_or_default();
            let sent = peers.iter().filter_map(|peer| peer["sent_bytes"].as_u64());
            sum += sent.sum::<u64>();
        }
        Ok(sum)
    }

    fn frames(&self) -> u64 {
        let proxies = self.proxies.values();
        proxies.map(|proxy| proxy.whole_frames.get()).sum()
    }

    fn cpu(&self) -> io::Result<Vec<Duration>> {
        self.processes.iter().map(MeasuredProcess::cpu).collect()
    }

    /// The most of any member.
    fn most(&self, of: impl Fn(&MeasuredProcess) -> io::Result<f64>) -> io::Result<f64> {
        let mut most = 0.0;
        for process in &self.processes {
            most = f64::max(most, of(process)?);
        }
        Ok(most)
    }

    /// Watches the members for a while, which rest.
    async fn measure(&self, formed: f64, window: Duration) -> io::Result<Measurements> {
        let (sent, frames, cpu) = (self.sent().await?, self.frames(), self.cpu()?);
        let started = Instant::now();
        sleep(window).await;
        let seconds = started.elapsed().as_secs_f64();
        let (frames_now, cpu_now) = (self.frames(), self.cpu()?);
        let used = cpu_now.iter().zip(&cpu);
        let used: Vec<f64> = used
            .map(|(now, then)| now.saturating_sub(*then).as_secs_f64() / seconds)
            .collect();
        let sent_now = self.sent().await?;
        Ok(Measurements {
            frames: (frames_now - frames) as f64 / seconds,
            bytes: (sent_now - sent) as f64 / started.elapsed().as_secs_f64(),
            formed,
            cpu: used.iter().sum(),
            worst_cpu: used.into_iter().fold(0.0, f64::max),
            own: self.most(MeasuredProcess::private_memory)?,
            descriptors: self.most(|process| Ok(process.descriptors()? as f64))?,
        })
    }
}

fn disk_of(folder: &Path, member: usize) -> String {
    let disk = folder.join(format!("disk-{member}"));
    disk.display().to_string()
}

/// Starts members, waits until they rest, and watches them for a while.
async fn measure_at_rest(
    members: usize,
    counts_frames: bool,
    window: Duration,
    agent: SocketAddr,
    paths: &Paths,
) -> io::Result<Measurements> {
    let mut group = Err(io::Error::other("no try"));
    for _ in 0..PORT_ATTEMPTS {
        group = Members::start(members, counts_frames, agent, paths).await;
        if group.is_ok() {
            break;
        }
    }
    let group = group?;
    let started = Instant::now();
    group.wait_for_leaders().await?;
    let formed = started.elapsed().as_secs_f64();
    sleep(SETTLE_TIME).await;
    group.measure(formed, window).await
}

fn block_on<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, future)
}

/// A hollow group beside as many processes, each at rest, of all members together.
#[derive(Clone, Copy, Debug)]
pub struct Comparison {
    /// What the hollow group came to.
    pub hollow: hollow::Measurements,
    /// For how long each of them was watched.
    pub window: Duration,
    /// What the processes came to.
    pub real: Measurements,
}

/// One quantity of both.
#[derive(Clone, Copy, Debug)]
pub struct ComparedQuantity {
    /// What it is.
    pub what: &'static str,
    /// Of the hollow group.
    pub hollow: f64,
    /// Of the processes.
    pub real: f64,
}

impl Comparison {
    /// All quantities that are compared.
    pub fn quantities(&self) -> [ComparedQuantity; 4] {
        let seconds = self.window.as_secs_f64();
        let (hollow, real) = (&self.hollow, &self.real);
        let quantity = |what, hollow, real| ComparedQuantity { what, hollow, real };
        [
            quantity(
                "frames a second",
                hollow.rest.frames as f64 / seconds,
                real.frames,
            ),
            quantity(
                "bytes a second",
                hollow.rest.bytes as f64 / seconds,
                real.bytes,
            ),
            quantity(
                "processor time, without sockets against with",
                hollow.cpu.as_secs_f64() / seconds,
                real.cpu,
            ),
            quantity(
                "time until each shard is led",
                hollow.formed.as_secs_f64(),
                real.formed,
            ),
        ]
    }
}

/// How far a hollow group is from as many processes.
///
/// # Errors
/// What could not be started.
pub fn compare(members: usize, window: Duration, paths: &Paths) -> io::Result<Comparison> {
    let agent = serve_agent()?;
    let real = block_on(measure_at_rest(members, true, window, agent, paths))?;
    Ok(Comparison {
        hollow: hollow::watch(&GroupSpec::of(members, window))?,
        window,
        real,
    })
}

/// All rows of groups.
///
/// # Errors
/// What could not be started.
pub fn rows(sizes: &Sizes, effort: &Effort, paths: &Paths) -> io::Result<Vec<Row>> {
    let agent = serve_agent()?;
    let mut groups = Vec::new();
    for members in effort.members.iter().copied() {
        let group = measure_at_rest(members, false, effort.window, agent, paths);
        groups.push((members as f64, block_on(group)?));
    }
    let mut rows = rows_at_rest(sizes, &groups);
    rows.push(largest_group_row(sizes));
    let members = effort.members.get(1).copied().unwrap_or(5);
    rows.extend(comparison_rows(members, effort, paths)?);
    Ok(rows)
}

/// Rows of groups by their number of members.
fn rows_at_rest(sizes: &Sizes, groups: &[(f64, Measurements)]) -> Vec<Row> {
    let nodes = sizes.nodes as f64;
    let points = |of: &dyn Fn(&Measurements) -> f64| -> Vec<(f64, f64)> {
        groups.iter().map(|(n, group)| (*n, of(group))).collect()
    };
    let of_node = |what, unit| Quantity::new("node", what, unit, "members");
    let row = |quantity: &Quantity<'_>, points: &[(f64, f64)], times: f64| {
        Row::fitted(quantity, points, nodes, Growth::Linear, times)
    };
    let smallest = groups.first().map_or(0.0, |(_, group)| group.own);
    let links = "crates/cluster/src/transport.rs, each linked to each";
    let time = of_node(
        "group at rest, 16 shards: processor time a member",
        "% of a core",
    )
    .limit(limits::CONTROL_CPU)
    .note(links);
    let bytes = of_node(
        "group at rest, 16 shards: bytes a second that a member sends",
        "B/s",
    )
    .limit(limits::CONTROL_BYTES)
    .note(links);
    let memory = of_node("group: memory of a member above three", "MB")
        .limit(limits::CONTROL_MB)
        .note(links);
    let descriptors = of_node("group: descriptors of a member", "descriptors")
        .limit(SOCKETS as f64)
        .note("links there and back; limits.sockets of examples/config.json");
    vec![
        row(&time, &points(&|group| group.cpu), 100.0 / nodes),
        row(&bytes, &points(&|group| group.bytes), 1.0 / nodes),
        row(&memory, &points(&|group| group.own - smallest), 1e-6),
        row(&descriptors, &points(&|group| group.descriptors), 1.0),
    ]
}

/// How far a hollow group is from as many processes.
fn comparison_rows(members: usize, effort: &Effort, paths: &Paths) -> io::Result<Vec<Row>> {
    let comparison = compare(members, effort.window, paths)?;
    let row = |compared: ComparedQuantity| {
        let ComparedQuantity { what, hollow, real } = compared;
        let what = format!("hollow group against as many processes: {what}");
        let note = format!(
            "hollow {}, processes {}; their frames are counted by crates/testbed/src/proxy.rs",
            table::figure(hollow),
            table::figure(real)
        );
        let quantity = Quantity::new("check", &what, "times", "members").note(&note);
        let size = members as f64;
        Row::plain(&quantity, size, size, Some(hollow / real))
    };
    Ok(comparison.quantities().map(row).into())
}

/// Whether the checker accepts a group of so many members.
fn is_accepted(members: usize) -> bool {
    let mut text = "rain 1\ngroup g {\n".to_owned();
    for k in 0..members {
        let (high, low) = (k / 250, k % 250 + 1);
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "  member n{k} {{ address: \"10.0.{high}.{low}:5050\"; folder: \"/d\" }}"
        );
    }
    text.push_str("}\n");
    let outcome = rainstand_config::load(&Memory::new([("a.rain", text)]), "a.rain");
    outcome.configuration.is_some()
}

/// The most members that the checker accepts, found by halving.
fn largest_group_row(sizes: &Sizes) -> Row {
    let (mut accepted, mut refused) = (3, sizes.nodes.max(4));
    if is_accepted(refused) {
        accepted = refused;
    }
    while refused - accepted > 1 {
        let middle = accepted.midpoint(refused);
        if is_accepted(middle) {
            accepted = middle;
        } else {
            refused = middle;
        }
    }
    let nodes = sizes.nodes as f64;
    let quantity = Quantity::new(
        "node",
        "one group of all nodes: members",
        "members",
        "members",
    )
    .limit(accepted as f64)
    .note("what `config check` takes, found by trying; crates/config/src/resolve/group.rs")
    .counted();
    Row::plain(&quantity, nodes, nodes, Some(nodes))
}
