//! Members of a group as processes at rest, and hollow ones of the same number beside them.

use super::fit::Grows;
use super::hollow::{self, name, Spec, COPIES, ELECTION, HEARTBEAT, SHARDS};
use super::measure::Counted;
use super::nodes::agent;
use super::{limits, settings, Effort, Named, Place, Row, Sizes};
use crate::process::{free_port, program};
use crate::proxy::Proxy;
use rainstand_cluster::framing::with_length_prefix;
use rainstand_cluster::status;
use rainstand_config::schema::{self, Configuration};
use rainstand_config::source::Memory;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, Instant};

/// For each shard to have a leader.
const FORMS: Duration = Duration::from_secs(30);
/// After that, for whoever leads to be who should.
const SETTLES: Duration = Duration::from_secs(2);
const TELLS: Duration = Duration::from_secs(1);
/// Tries at ports that other processes took meanwhile.
const PORTS: usize = 3;

/// What a group of processes came to, in a second at rest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Of all members together, whole frames on their links.
    pub frames: f64,
    pub bytes: f64,
    /// Seconds from when all had started until each shard had a leader.
    pub formed: f64,
    /// Of one core, of all members together.
    pub cpu: f64,
    /// The most of one member.
    pub worst_cpu: f64,
    /// Bytes of memory that are a member's own, and its descriptors, the most of any.
    pub own: f64,
    pub descriptors: f64,
}

struct Members {
    processes: Vec<Counted>,
    peers: Vec<SocketAddr>,
    /// The links, each through a proxy that counts, if they are to be counted.
    proxies: BTreeMap<(usize, usize), Rc<Proxy>>,
}

async fn start(
    members: usize,
    counted: bool,
    agent: SocketAddr,
    place: &Place,
) -> io::Result<Members> {
    let folder = place.folder.join(format!("group-{members}-{counted}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder)?;
    let ports = (0..members)
        .map(|_| Ok([free_port()?, free_port()?]))
        .collect::<io::Result<Vec<_>>>()?;
    let mut all = Members {
        processes: Vec::new(),
        peers: ports.iter().map(|p| p[1]).collect(),
        proxies: BTreeMap::new(),
    };
    if counted {
        for (from, to) in (0..members)
            .flat_map(|a| (0..members).map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
        {
            let proxy = Proxy::open(1).await?;
            proxy.set_target(Some(ports[to][1]));
            all.proxies.insert((from, to), proxy);
        }
    }
    for n in 0..members {
        let seen_from_n = |k: usize| match all.proxies.get(&(n, k)) {
            Some(proxy) => proxy.addr,
            None => ports[k][1],
        };
        let member = |k: usize| schema::GroupMember {
            name: name(k),
            site: String::new(),
            address: seen_from_n(k).to_string(),
            folder: folder.join(format!("disk-{k}")).display().to_string(),
        };
        let group = schema::Group {
            name: "scale".into(),
            shards: SHARDS.into(),
            copies: COPIES as u64,
            heartbeat_ns: HEARTBEAT.as_nanos() as u64,
            election_least_ns: ELECTION[0].as_nanos() as u64,
            election_most_ns: ELECTION[1].as_nanos() as u64,
            commit_wait_ns: 0,
            keys: 1_000_000,
            moves: 2,
            testing: false,
            members: (0..members).map(member).collect(),
            start_within_ns: 1_000_000_000,
            come_back_ns: 500_000_000,
        };
        let configuration = Configuration {
            version: schema::VERSION,
            groups: vec![group],
            ..Configuration::default()
        };
        let (node, group) = (
            folder.join(format!("{n}.json")),
            folder.join(format!("{n}.txtpb")),
        );
        fs::write(&group, schema::to_text(&configuration))?;
        fs::write(
            &node,
            settings::node(&name(n), ports[n][0], agent, 1, 1_024, limits::REQUESTS).to_string(),
        )?;
        let mut command = Command::new(program("rainstand-node", place.programs.as_deref())?);
        command
            .env("ROUTER_CONFIG", &node)
            .env("RAINSTAND_SETTINGS", &group);
        all.processes
            .push(Counted::start(command, &folder.join(format!("{n}.log")))?);
    }
    for process in &mut all.processes {
        process.says("start name=", 1)?;
    }
    Ok(all)
}

impl Members {
    async fn ask(&self, n: usize, question: &str) -> io::Result<serde_json::Value> {
        let asked = async {
            let mut stream = TcpStream::connect(self.peers[n]).await?;
            stream
                .write_all(&with_length_prefix(&status::encode_question(question)))
                .await?;
            let mut head = [0; 4];
            stream.read_exact(&mut head).await?;
            let mut body = vec![0; (u32::from_be_bytes(head) as usize).min(16 << 20)];
            stream.read_exact(&mut body).await?;
            io::Result::Ok(serde_json::from_slice(&body)?)
        };
        timeout(TELLS, asked).await?
    }

    async fn forms(&self) -> io::Result<()> {
        let until = Instant::now() + FORMS;
        loop {
            let mut led = 0;
            for n in 0..self.peers.len() {
                led += self
                    .ask(n, "status")
                    .await
                    .map_or(0, |told| told["leads"].as_u64().unwrap_or(0));
            }
            if led >= SHARDS.into() {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("{led} of {SHARDS} shards are led"),
                ));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Bytes that all members sent on their links so far, by their own count.
    async fn sent(&self) -> io::Result<u64> {
        let mut sum = 0;
        for n in 0..self.peers.len() {
            let told = self.ask(n, "members").await?;
            let peers = told["peers"].as_array().cloned().unwrap_or_default();
            sum += peers
                .iter()
                .filter_map(|peer| peer["sent_bytes"].as_u64())
                .sum::<u64>();
        }
        Ok(sum)
    }

    fn frames(&self) -> u64 {
        self.proxies
            .values()
            .map(|proxy| proxy.whole_frames.get())
            .sum()
    }

    fn cpu(&self) -> io::Result<Vec<Duration>> {
        self.processes.iter().map(Counted::cpu).collect()
    }
}

/// Starts members, waits until they rest, and watches them for a while.
async fn at_rest(
    members: usize,
    counted: bool,
    window: Duration,
    agent: SocketAddr,
    place: &Place,
) -> io::Result<Seen> {
    let mut started = Err(io::Error::other("no try"));
    for _ in 0..PORTS {
        started = start(members, counted, agent, place).await;
        if started.is_ok() {
            break;
        }
    }
    let all = started?;
    let began = Instant::now();
    all.forms().await?;
    let formed = began.elapsed().as_secs_f64();
    sleep(SETTLES).await;
    let (sent, frames, cpu, began) = (all.sent().await?, all.frames(), all.cpu()?, Instant::now());
    sleep(window).await;
    let seconds = began.elapsed().as_secs_f64();
    let (frames_now, cpu_now) = (all.frames(), all.cpu()?);
    let used: Vec<f64> = cpu_now
        .iter()
        .zip(&cpu)
        .map(|(now, then)| now.saturating_sub(*then).as_secs_f64() / seconds)
        .collect();
    let sent_now = all.sent().await?;
    let most = |all: Vec<f64>| all.into_iter().fold(0.0, f64::max);
    let own = all
        .processes
        .iter()
        .map(Counted::own)
        .collect::<io::Result<Vec<_>>>()?;
    let fds = all
        .processes
        .iter()
        .map(|p| Ok(p.descriptors()? as f64))
        .collect::<io::Result<Vec<_>>>()?;
    Ok(Seen {
        frames: (frames_now - frames) as f64 / seconds,
        bytes: (sent_now - sent) as f64 / began.elapsed().as_secs_f64(),
        formed,
        cpu: used.iter().sum(),
        worst_cpu: most(used),
        own: most(own),
        descriptors: most(fds),
    })
}

fn wait<T>(what: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, what)
}

/// A hollow group beside as many processes, each at rest, of all members together.
#[derive(Clone, Copy, Debug)]
pub struct Compared {
    pub hollow: hollow::Seen,
    pub window: Duration,
    pub real: Seen,
}

impl Compared {
    /// What is compared, of the hollow group and of the processes.
    pub fn all(&self) -> [(&'static str, f64, f64); 4] {
        let seconds = self.window.as_secs_f64();
        [
            (
                "frames a second",
                self.hollow.rest.frames as f64 / seconds,
                self.real.frames,
            ),
            (
                "bytes a second",
                self.hollow.rest.bytes as f64 / seconds,
                self.real.bytes,
            ),
            (
                "processor time, without sockets against with",
                self.hollow.cpu.as_secs_f64() / seconds,
                self.real.cpu,
            ),
            (
                "time until each shard is led",
                self.hollow.formed.as_secs_f64(),
                self.real.formed,
            ),
        ]
    }
}

/// How far a hollow group is from as many processes.
///
/// # Errors
/// What could not be started.
pub fn compare(members: usize, window: Duration, place: &Place) -> io::Result<Compared> {
    let agent = agent()?;
    let real = wait(at_rest(members, true, window, agent, place))?;
    Ok(Compared {
        hollow: hollow::watch(&Spec::of(members, window))?,
        window,
        real,
    })
}

/// # Errors
/// What could not be started.
pub fn rows(sizes: &Sizes, effort: &Effort, place: &Place) -> io::Result<Vec<Row>> {
    let agent = agent()?;
    let mut seen = Vec::new();
    for members in &effort.members {
        seen.push((
            *members as f64,
            wait(at_rest(*members, false, effort.window, agent, place))?,
        ));
    }
    let nodes = sizes.nodes as f64;
    let points = |of: fn(&Seen) -> f64| {
        seen.iter()
            .map(|(n, seen)| (*n, of(seen)))
            .collect::<Vec<_>>()
    };
    let named = |what, unit, limit, note| Named {
        role: "node",
        what,
        unit,
        by: "members",
        limit,
        note,
        counted: false,
    };
    let first = seen.first().map_or(0.0, |(_, seen)| seen.own);
    let own: Vec<(f64, f64)> = seen
        .iter()
        .map(|(n, seen)| (*n, seen.own - first))
        .collect();
    let links = "crates/cluster/src/transport.rs, each linked to each";
    let mut rows = vec![
        Row::fitted(
            &named(
                "group at rest, 16 shards: processor time a member",
                "% of a core",
                Some(limits::CONTROL_CPU),
                links,
            ),
            &points(|s| s.cpu),
            nodes,
            Grows::Line,
            100.0 / nodes,
        ),
        Row::fitted(
            &named(
                "group at rest, 16 shards: bytes a second that a member sends",
                "B/s",
                Some(limits::CONTROL_BYTES),
                links,
            ),
            &points(|s| s.bytes),
            nodes,
            Grows::Line,
            1.0 / nodes,
        ),
        Row::fitted(
            &named(
                "group: memory of a member above three",
                "MB",
                Some(limits::CONTROL_MB),
                links,
            ),
            &own,
            nodes,
            Grows::Line,
            1e-6,
        ),
        Row::fitted(
            &named(
                "group: descriptors of a member",
                "descriptors",
                Some(1_024.0),
                "links there and back; limits.sockets of examples/config.json",
            ),
            &points(|s| s.descriptors),
            nodes,
            Grows::Line,
            1.0,
        ),
    ];
    rows.push(most_members(sizes));
    let members = effort.members.get(1).copied().unwrap_or(5);
    for (what, hollow, real) in compare(members, effort.window, place)?.all() {
        let what = format!("hollow group against as many processes: {what}");
        let note = format!(
            "hollow {}, processes {}; their frames are counted by crates/testbed/src/proxy.rs",
            super::table::figure(hollow),
            super::table::figure(real)
        );
        let named = Named {
            role: "check",
            what: &what,
            unit: "times",
            by: "members",
            limit: None,
            note: &note,
            counted: false,
        };
        rows.push(Row::plain(
            &named,
            members as f64,
            members as f64,
            Some(hollow / real),
        ));
    }
    Ok(rows)
}

/// The most members that the checker takes, by trying.
fn most_members(sizes: &Sizes) -> Row {
    let takes = |members: usize| {
        let mut text = "rain 1\ngroup g {\n".to_owned();
        for k in 0..members {
            text.push_str(&format!(
                "  member n{k} {{ address: \"10.0.{}.{}:5050\"; folder: \"/d\" }}\n",
                k / 250,
                k % 250 + 1
            ));
        }
        text.push_str("}\n");
        rainstand_config::load(&Memory::new([("a.rain", text)]), "a.rain")
            .configuration
            .is_some()
    };
    // The most that is taken lies between one that is and one that is not.
    let (mut least, mut most) = (3, sizes.nodes.max(4));
    if takes(most) {
        least = most;
    }
    while most - least > 1 {
        let middle = least.midpoint(most);
        if takes(middle) {
            least = middle;
        } else {
            most = middle;
        }
    }
    Row::plain(
        &Named {
            role: "node",
            what: "one group of all nodes: members",
            unit: "members",
            by: "members",
            limit: Some(least as f64),
            note: "what `config check` takes, found by trying; crates/config/src/resolve/group.rs",
            counted: true,
        },
        sizes.nodes as f64,
        sizes.nodes as f64,
        Some(sizes.nodes as f64),
    )
}
