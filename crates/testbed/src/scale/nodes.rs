//! Measures `rainstand-node` as a process, by tenants, connections and requests; also idle connections of a forwarder.

use super::fit::Growth;
use super::measure::MeasuredProcess;
use super::{limits, settings, Effort, Paths, Quantity, Row, Sizes};
use crate::process::{free_port, program};
use rainstand_protocol::thrift::{self, What};
use rainstand_test_servers::server::TestServerOptions;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Timeout of a request, and of opening a connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between requests to a node that does not serve any yet.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// Descriptors that this process reserves for uses other than idle connections.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Limits of descriptors in a node's settings: where idle connections are measured, and elsewhere.
const MANY_SOCKETS: usize = 20_000;
const SOCKETS: usize = 1_024;
/// Repetitions of a run of requests; the cheapest is used.
const REPETITIONS: usize = 3;
/// Attempts to start a node: another process may take its port before the node binds it.
const PORT_ATTEMPTS: usize = 5;
/// Longest response that is read.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Starts a fake agent on its own thread, which completes each launch immediately and echoes the payload. Returns its
/// address.
///
/// # Errors
/// If it cannot listen.
pub fn serve_agent() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                // Errors are ignored: the node reconnects after a broken link.
                let _ = serve_link(stream);
            });
        }
    });
    Ok(address)
}

fn serve_link(mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let lines = BufReader::new(stream.try_clone()?).lines();
    let mut offset = 0;
    for line in lines {
        let command: Value = serde_json::from_str(&line?)?;
        let reply = match command["cmd"].as_str() {
            Some("subscribe") => {
                json!({"cmd": "greeting", "result": "running", "elapsed_ms": 60_000})
            }
            Some("sample") => {
                json!({"cmd": "sampled", "token": command["token"], "load": [0.1, 0, 0.1, 1]})
            }
            Some("launch") => {
                offset += 1;
                json!({"cmd": "outcome", "offset": offset, "req": command["req"], "result": "fine",
                    "elapsed_ms": 1, "payload": command["payload"]})
            }
            _ => continue,
        };
        stream.write_all(format!("{reply}\n").as_bytes())?;
    }
    Ok(())
}

/// A running node, with the path of its settings.
struct Node {
    process: MeasuredProcess,
    address: SocketAddr,
    path: PathBuf,
    agent: SocketAddr,
}

impl Node {
    fn start(tenants: usize, sockets: usize, agent: SocketAddr, paths: &Paths) -> io::Result<Self> {
        let mut last_error = io::Error::other("no attempt was made");
        for _ in 0..PORT_ATTEMPTS {
            let address = free_port()?;
            let path = paths.folder.join("node.json");
            let file = settings::node("n1", address, agent, tenants, sockets, limits::REQUESTS);
            fs::write(&path, file.to_string())?;
            let mut command = Command::new(program("rainstand-node", paths.programs.as_deref())?);
            command
                .env("ROUTER_CONFIG", &path)
                .env_remove("RAINSTAND_SETTINGS");
            let mut process = MeasuredProcess::start(command, &paths.folder.join("node.log"))?;
            match process.wait_for_output("start name=", 1) {
                Ok(()) => {
                    return Ok(Self {
                        process,
                        address,
                        path,
                        agent,
                    })
                }
                // Another process may have taken the port meanwhile.
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Waits until a request is served: requests are rejected until the agent has sent its greeting.
    fn wait_until_served(&self) -> io::Result<()> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut stream = connect(self.address)?;
        let mut sequence = 0;
        loop {
            sequence += 1;
            if send_request(&mut stream, sequence)? {
                return Ok(());
            }
            if Instant::now() > deadline {
                let reason = "the node served no request in time";
                return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
            }
            std::thread::sleep(RETRY_DELAY);
        }
    }

    /// Processor time of the cheapest of `reloads` reloads, each of which changes the rate.
    fn cheapest_reload(&mut self, tenants: usize, reloads: usize) -> io::Result<Duration> {
        let mut cheapest = Duration::MAX;
        for reload in 1..=reloads {
            let rate = limits::REQUESTS + (reload % 2) as f64;
            let file = settings::node("n1", self.address, self.agent, tenants, SOCKETS, rate);
            fs::write(&self.path, file.to_string())?;
            let before = self.process.cpu()?;
            self.process.signal(Signal::HUP);
            // The second of the two lines that a reload logs.
            self.process.wait_for_output("reload agent=", reload)?;
            cheapest = cheapest.min(self.process.cpu()?.saturating_sub(before));
        }
        Ok(cheapest)
    }
}

/// Sends a request on a connection and waits for the response; returns whether it was served.
fn send_request(stream: &mut TcpStream, sequence: i32) -> io::Result<bool> {
    let trace = format!("{sequence:016x}");
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let born = unix.as_millis().to_string();
    let fields = [
        ("route", "check"),
        ("trace", trace.as_str()),
        ("born", born.as_str()),
        ("client", "1"),
        ("customer", "t0"),
        ("size", "20"),
        ("order", "0.5"),
    ];
    stream.write_all(&thrift::process(sequence, &fields, &[7; 200]))?;
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes(head) as usize;
    let mut frame = vec![0; length.min(MAX_ANSWER_BYTES)];
    stream.read_exact(&mut frame)?;
    let answered = thrift::answered(&frame);
    Ok(answered.is_ok_and(|answered| matches!(answered.what, What::Answer { .. })))
}

fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, REQUEST_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    Ok(stream)
}

/// All rows of nodes.
///
/// # Errors
/// If a process cannot be started, or a request fails.
pub fn rows(sizes: &Sizes, effort: &Effort, paths: &Paths) -> io::Result<Vec<Row>> {
    let agent = serve_agent()?;
    let in_part = |part: &'static str| {
        move |error: io::Error| io::Error::new(error.kind(), format!("{part}: {error}"))
    };
    let mut rows = rows_by_tenants(sizes, effort, paths, agent)?;
    let idle = idle_rows(sizes, effort, paths, agent);
    rows.extend(idle.map_err(in_part("idle connections"))?);
    let requests = rows_by_requests(sizes, effort, paths, agent);
    rows.extend(requests.map_err(in_part("requests"))?);
    Ok(rows)
}

fn rows_by_tenants(
    sizes: &Sizes,
    effort: &Effort,
    paths: &Paths,
    agent: SocketAddr,
) -> io::Result<Vec<Row>> {
    let base = Node::start(1, SOCKETS, agent, paths)?.process.rss()?;
    let (mut start_rss, mut reloaded_rss) = (vec![], vec![]);
    let (mut start_cpu, mut reload_cpu, mut file_bytes) = (vec![], vec![], vec![]);
    for part in &effort.parts {
        let tenants = ((sizes.tenants as f64 * part) as usize).max(1);
        let size = tenants as f64;
        let mut node = Node::start(tenants, SOCKETS, agent, paths)?;
        start_rss.push((size, node.process.rss()? - base));
        start_cpu.push((size, node.process.cpu()?.as_secs_f64()));
        file_bytes.push((size, fs::metadata(&node.path)?.len() as f64));
        let cheapest = node.cheapest_reload(tenants, effort.reloads)?;
        reload_cpu.push((size, cheapest.as_secs_f64()));
        reloaded_rss.push((size, node.process.rss()? - base));
    }
    let of_node = |what, unit| {
        Quantity::new("node", what, unit, "tenants")
            .note("crates/node/src/reload.rs, crates/settings")
    };
    let row = |quantity: Quantity<'_>, points: &[(f64, f64)], times: f64| {
        let size = sizes.tenants as f64;
        Row::fitted(&quantity, points, size, Growth::Linear, times)
    };
    let percent_of_day = sizes.changes as f64 / limits::DAY_S * 100.0;
    let memory = |what| of_node(what, "MB").limit(limits::CONTROL_MB);
    let reload = of_node("each change read as a whole: processor time", "% of a core")
        .limit(limits::CONTROL_CPU);
    let mut file = row(of_node("its file", "MB"), &file_bytes, 1e-6);
    // Marked as a count only after the fit, so the fit uses the tolerance for times.
    file.counted = true;
    Ok(vec![
        row(
            memory("memory after its start above one tenant"),
            &start_rss,
            1e-6,
        ),
        row(
            memory("memory after reloads above one tenant"),
            &reloaded_rss,
            1e-6,
        ),
        row(reload, &reload_cpu, percent_of_day),
        row(of_node("processor time of a start", "ms"), &start_cpu, 1e3),
        file,
    ])
}

/// Descriptors that this process may open for connections.
fn available_descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let limit = limit.current.unwrap_or(1 << 20);
    limit.saturating_sub(RESERVED_DESCRIPTORS) as usize
}

/// Rows of idle connections at a node and at a forwarder; each connection has carried one request.
fn idle_rows(
    sizes: &Sizes,
    effort: &Effort,
    paths: &Paths,
    agent: SocketAddr,
) -> io::Result<Vec<Row>> {
    let node = Node::start(1, MANY_SOCKETS, agent, paths)?;
    node.wait_until_served()?;
    let server = Server {
        role: "node",
        process: node.process,
        address: node.address,
        note: "crates/node/src/connections.rs",
    };
    let at_node = idle_row(sizes, effort, server)?;
    let member = TestServerOptions {
        forget_runs: true,
        ..TestServerOptions::default()
    }
    .start();
    let at_forwarder = idle_row(sizes, effort, start_forwarder(member.addr, paths)?)?;
    member.kill();
    Ok(vec![at_node, at_forwarder])
}

/// A process that callers connect to.
struct Server {
    role: &'static str,
    process: MeasuredProcess,
    address: SocketAddr,
    note: &'static str,
}

fn idle_row(sizes: &Sizes, effort: &Effort, server: Server) -> io::Result<Row> {
    let Server {
        role,
        process,
        address,
        note,
    } = server;
    let (mut points, mut open) = (Vec::new(), Vec::new());
    for idle in &effort.idle {
        while open.len() < (*idle).min(available_descriptors()) {
            let mut stream = connect(address)?;
            let number = open.len();
            send_request(&mut stream, number as i32 + 1_000).map_err(|error| {
                let reason = format!("{role}, connection {number}: {error}");
                io::Error::new(error.kind(), reason)
            })?;
            open.push(stream);
        }
        points.push((open.len() as f64, process.rss()?));
    }
    let are_held = process.descriptors()? >= open.len();
    let what = "memory, a connection at rest from each caller";
    let quantity = Quantity::new(role, what, "MB", "callers").note(note);
    let callers = sizes.callers as f64;
    let mut row = Row::fitted(&quantity, &points, callers, Growth::Linear, 1e-6);
    if !are_held {
        row.bends = Some("connections were closed while more were opened".into());
        row.at_size = None;
    }
    Ok(row)
}

/// Starts a forwarder with one member.
fn start_forwarder(member: SocketAddr, paths: &Paths) -> io::Result<Server> {
    let text = format!(
        "rain 1\ntype check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}\n\
         tenant t0 {{ share: 50 % }}\n\
         pool p {{ member m {{ address: \"{member}\" }} }}\nroute r {{ to: p }}\n"
    );
    let path = paths.folder.join("front.rain");
    fs::write(&path, text)?;
    let mut command = Command::new(program("rainstand", paths.programs.as_deref())?);
    command
        .args(["forward", "--listen", "127.0.0.1:0", "--config"])
        .arg(&path);
    let mut process = MeasuredProcess::start(command, &paths.folder.join("front.log"))?;
    process.wait_for_output("event=\"start\"", 1)?;
    let output = process.output();
    let after = output.split("listen=").nth(1);
    let address = after.and_then(|after| after.split_whitespace().next());
    let address = address.and_then(|address| address.trim_matches('"').parse().ok());
    Ok(Server {
        role: "forwarder",
        process,
        address: address
            .ok_or_else(|| io::Error::other("the forwarder printed no listen address"))?,
        note: "crates/forwarder/src/listener.rs",
    })
}

/// Measurements of one run of requests.
struct RequestRun {
    cpu: Duration,
    /// Time until the response, 99th percentile.
    latency: Duration,
}

/// How connections are assigned to requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Connections {
    /// One connection for all requests.
    Shared,
    /// A new connection for each request.
    PerRequest,
}

/// Sends `count` requests, one after the other.
fn run_requests(node: &Node, count: usize, connections: Connections) -> io::Result<RequestRun> {
    let mut shared = connect(node.address)?;
    send_request(&mut shared, 1)?;
    let before = node.process.cpu()?;
    let mut times = Vec::with_capacity(count);
    for k in 0..count {
        let sequence = k as i32 + 2;
        let started = Instant::now();
        let is_served = match connections {
            Connections::Shared => send_request(&mut shared, sequence)?,
            Connections::PerRequest => send_request(&mut connect(node.address)?, sequence)?,
        };
        times.push(started.elapsed());
        if !is_served {
            return Err(io::Error::other("a request was not served"));
        }
    }
    times.sort_unstable();
    Ok(RequestRun {
        cpu: node.process.cpu()?.saturating_sub(before),
        latency: times.get(count * 99 / 100).copied().unwrap_or_default(),
    })
}

/// Rows that compare a handshake per request with a shared connection: processor time of the node, and added latency.
fn rows_by_requests(
    sizes: &Sizes,
    effort: &Effort,
    paths: &Paths,
    agent: SocketAddr,
) -> io::Result<Vec<Row>> {
    let node = Node::start(1, SOCKETS, agent, paths)?;
    node.wait_until_served()?;
    let (mut shared_cpu, mut per_request_cpu, mut added) = (Vec::new(), Vec::new(), Vec::new());
    for count in effort.requests.iter().copied() {
        let size = count as f64;
        let (mut cheapest_shared, mut cheapest_per_request) = (f64::INFINITY, f64::INFINITY);
        for _ in 0..REPETITIONS {
            let shared = run_requests(&node, count, Connections::Shared)?;
            let per_request = run_requests(&node, count, Connections::PerRequest)?;
            cheapest_shared = cheapest_shared.min(shared.cpu.as_secs_f64());
            cheapest_per_request = cheapest_per_request.min(per_request.cpu.as_secs_f64());
            let added_latency = per_request.latency.saturating_sub(shared.latency);
            added.push((size, added_latency.as_secs_f64() * 1e3));
        }
        shared_cpu.push((size, cheapest_shared));
        per_request_cpu.push((size, cheapest_per_request));
    }
    Ok(vec![
        cpu_row(
            sizes,
            "its part of the requests, connections kept: processor time",
            &shared_cpu,
        ),
        cpu_row(
            sizes,
            "its part of the requests, a handshake for each: processor time",
            &per_request_cpu,
        ),
        added_latency_row(added),
    ])
}

/// Row of the processor time that one node's share of the fleet's requests takes.
fn cpu_row(sizes: &Sizes, what: &str, points: &[(f64, f64)]) -> Row {
    let rate = limits::REQUESTS / sizes.nodes as f64;
    let quantity = Quantity::new("node", what, "% of a core", "requests")
        .note("the line's slope times the requests of a second; crates/node/src/connections.rs");
    let mut row = Row::fitted(&quantity, points, rate, Growth::Linear, 100.0);
    // Only the cost of the requests of one second, without the fixed cost of a run.
    let slope = row.slope.filter(|_| row.bends.is_none());
    row.at_size = slope.map(|slope| slope * rate);
    row
}

fn added_latency_row(added: Vec<(f64, f64)>) -> Row {
    let mut times: Vec<f64> = added.iter().map(|point| point.1).collect();
    times.sort_unstable_by(f64::total_cmp);
    let median = times.get(times.len() / 2).copied();
    let up_to = added.iter().map(|point| point.0).fold(0.0, f64::max);
    let what = "time added by a handshake for each request, 99 in 100";
    let quantity = Quantity::new("node", what, "ms", "requests")
        .limit(limits::ADDED_MS)
        .note("on loopback: add the network's way there and back; the median of all runs");
    let mut row = Row::plain(&quantity, up_to, up_to, median);
    row.points = added;
    row
}
