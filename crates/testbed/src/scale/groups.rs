//! Measures idle groups of real processes, and compares them with hollow groups of the same number of members.

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

/// Time for each shard to elect a leader.
const ELECTION_DEADLINE: Duration = Duration::from_secs(30);
/// Interval between checks for leaders.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after that for leaders to move to the preferred members.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Timeout of a status request to a member.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest status response that is read.
const MAX_STATUS_BYTES: usize = 16 << 20;
/// Attempts to start a group: other processes may take its ports before the members bind them.
const PORT_ATTEMPTS: usize = 3;
/// Limit of descriptors in a member's settings.
const SOCKETS: usize = 1_024;

/// Measurements of an idle group of processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measurements {
    /// Complete frames per second on the links of all members.
    pub frames: f64,
    /// Bytes per second sent by all members.
    pub bytes: f64,
    /// Seconds from when all had started until each shard had a leader.
    pub election_seconds: f64,
    /// Processor time of all members, as a fraction of one core.
    pub cpu: f64,
    /// The largest processor time of any member, as a fraction of one core.
    pub max_member_cpu: f64,
    /// The largest private memory of any member, in bytes.
    pub private_memory: f64,
    /// The largest number of open descriptors of any member.
    pub descriptors: f64,
}

/// Addresses that a member listens on: for callers, and for other members.
struct Ports {
    listen: SocketAddr,
    peers: SocketAddr,
}

/// A group of processes.
struct Members {
    processes: Vec<MeasuredProcess>,
    ports: Vec<Ports>,
    /// Proxies that count frames, one for each link; empty if frames are not counted.
    proxies: BTreeMap<(usize, usize), Rc<Proxy>>,
    folder: PathBuf,
}

impl Members {
    /// Starts all members and waits until each has started.
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
                listen: free_port()?,
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
        let listen = self.ports[n].listen;
        let settings = settings::node(&name(n), listen, agent, 1, SOCKETS, limits::REQUESTS);
        fs::write(&node, settings.to_string())?;
        let mut command = Command::new(program("rainstand-node", paths.programs.as_deref())?);
        command
            .env("ROUTER_CONFIG", &node)
            .env("RAINSTAND_SETTINGS", &group);
        MeasuredProcess::start(command, &self.folder.join(format!("{n}.log")))
    }

    /// The configuration for member `n`, which reaches the other members through its own proxies.
    fn configuration(&self, n: usize) -> Configuration {
        let member = |k: usize| {
            let proxy = self.proxies.get(&(n, k));
            let address = proxy.map_or(self.ports[k].peers, |proxy| proxy.addr);
            schema::GroupMember {
                name: name(k),
                site: String::new(),
                address: address.to_string(),
                folder: disk_folder(&self.folder, k),
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

    /// Requests a member's status report on `subject`.
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
                let reason = format!("{led} of {SHARDS} shards have a leader");
                return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Bytes sent by all members on their links so far, by their own counters.
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

    /// The largest value of any member.
    fn max_of(&self, of: impl Fn(&MeasuredProcess) -> io::Result<f64>) -> io::Result<f64> {
        let mut largest = 0.0;
        for process in &self.processes {
            largest = f64::max(largest, of(process)?);
        }
        Ok(largest)
    }

    /// Measures the idle members for `window`.
    async fn measure(&self, election_seconds: f64, window: Duration) -> io::Result<Measurements> {
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
            election_seconds,
            cpu: used.iter().sum(),
            max_member_cpu: used.into_iter().fold(0.0, f64::max),
            private_memory: self.max_of(MeasuredProcess::private_memory)?,
            descriptors: self.max_of(|process| Ok(process.descriptors()? as f64))?,
        })
    }
}

fn disk_folder(folder: &Path, member: usize) -> String {
    let disk = folder.join(format!("disk-{member}"));
    disk.display().to_string()
}

/// Starts a group, waits until it is idle, and measures it for `window`.
async fn measure_at_rest(
    members: usize,
    counts_frames: bool,
    window: Duration,
    agent: SocketAddr,
    paths: &Paths,
) -> io::Result<Measurements> {
    let mut group = Err(io::Error::other("no attempt was made"));
    for _ in 0..PORT_ATTEMPTS {
        group = Members::start(members, counts_frames, agent, paths).await;
        if group.is_ok() {
            break;
        }
    }
    let group = group?;
    let started = Instant::now();
    group.wait_for_leaders().await?;
    let election_seconds = started.elapsed().as_secs_f64();
    sleep(SETTLE_TIME).await;
    group.measure(election_seconds, window).await
}

fn block_on<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, future)
}

/// Totals of an idle hollow group and of an idle group of as many processes.
#[derive(Clone, Copy, Debug)]
pub struct Comparison {
    /// Measurements of the hollow group.
    pub hollow: hollow::Measurements,
    /// How long each group was measured.
    pub window: Duration,
    /// Measurements of the processes.
    pub real: Measurements,
}

/// One quantity of both groups.
#[derive(Clone, Copy, Debug)]
pub struct ComparedQuantity {
    /// Name of the quantity.
    pub what: &'static str,
    /// Value of the hollow group.
    pub hollow: f64,
    /// Value of the processes.
    pub real: f64,
}

impl Comparison {
    /// All compared quantities.
    pub fn quantities(&self) -> [ComparedQuantity; 4] {
        let seconds = self.window.as_secs_f64();
        let (hollow, real) = (&self.hollow, &self.real);
        let quantity = |what, hollow, real| ComparedQuantity { what, hollow, real };
        [
            quantity(
                "frames a second",
                hollow.idle.frames as f64 / seconds,
                real.frames,
            ),
            quantity(
                "bytes a second",
                hollow.idle.bytes as f64 / seconds,
                real.bytes,
            ),
            quantity(
                "processor time, without sockets against with",
                hollow.cpu.as_secs_f64() / seconds,
                real.cpu,
            ),
            quantity(
                "time until each shard is led",
                hollow.election_time.as_secs_f64(),
                real.election_seconds,
            ),
        ]
    }
}

/// Measures a hollow group and a group of as many processes.
///
/// # Errors
/// If a group cannot be started.
pub fn compare(members: usize, window: Duration, paths: &Paths) -> io::Result<Comparison> {
    let agent = serve_agent()?;
    let real = block_on(measure_at_rest(members, true, window, agent, paths))?;
    Ok(Comparison {
        hollow: hollow::simulate(&GroupSpec::of(members, window))?,
        window,
        real,
    })
}

/// All rows of groups.
///
/// # Errors
/// If a group cannot be started.
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

/// Rows of idle groups by number of members.
fn rows_at_rest(sizes: &Sizes, groups: &[(f64, Measurements)]) -> Vec<Row> {
    let nodes = sizes.nodes as f64;
    let points = |of: &dyn Fn(&Measurements) -> f64| -> Vec<(f64, f64)> {
        groups.iter().map(|(n, group)| (*n, of(group))).collect()
    };
    let of_node = |what, unit| Quantity::new("node", what, unit, "members");
    let row = |quantity: &Quantity<'_>, points: &[(f64, f64)], times: f64| {
        Row::fitted(quantity, points, nodes, Growth::Linear, times)
    };
    let smallest = groups
        .first()
        .map_or(0.0, |(_, group)| group.private_memory);
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
        row(
            &memory,
            &points(&|group| group.private_memory - smallest),
            1e-6,
        ),
        row(&descriptors, &points(&|group| group.descriptors), 1.0),
    ]
}

/// Rows that compare a hollow group with as many processes.
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

/// Whether the configuration checker accepts a group with this number of members.
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

/// The largest group that the configuration checker accepts, found by bisection.
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
