//! `rainstand-node` as a process: by tenants, by connections, by requests.

use super::fit::Grows;
use super::measure::Counted;
use super::{limits, settings, Effort, Named, Place, Row, Sizes};
use crate::process::{free_port, program};
use rainstand_protocol::thrift;
use rainstand_test_servers::server::TestServerOptions;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Of one request, and of a connection's opening.
const PATIENCE: Duration = Duration::from_secs(10);
/// Descriptors that this process may have open for idle connections, at most.
const SPARE: u64 = 200;
/// Runs of requests, of which the cheapest counts.
const TURNS: usize = 3;
/// Tries at a port that another process took meanwhile.
const PORTS: usize = 5;

/// An agent on a thread of its own that finishes each launch at once with its own body.
///
/// # Errors
/// If it cannot listen.
pub fn agent() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                // A link that breaks is the node's to open again.
                let _ = serve(stream);
            });
        }
    });
    Ok(addr)
}

fn serve(mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let lines = BufReader::new(stream.try_clone()?).lines();
    let mut offset = 0;
    for line in lines {
        let command: Value = serde_json::from_str(&line?)?;
        let told = match command["cmd"].as_str() {
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
        stream.write_all(format!("{told}\n").as_bytes())?;
    }
    Ok(())
}

/// A running node and its file.
struct Node {
    process: Counted,
    addr: SocketAddr,
    path: PathBuf,
    agent: SocketAddr,
}

fn start(tenants: usize, sockets: usize, agent: SocketAddr, place: &Place) -> io::Result<Node> {
    let mut last = io::Error::other("no try");
    for _ in 0..PORTS {
        let addr = free_port()?;
        let path = place.folder.join("node.json");
        fs::write(
            &path,
            settings::node("n1", addr, agent, tenants, sockets, limits::REQUESTS).to_string(),
        )?;
        let mut command = Command::new(program("rainstand-node", place.programs.as_deref())?);
        command
            .env("ROUTER_CONFIG", &path)
            .env_remove("RAINSTAND_SETTINGS");
        let mut process = Counted::start(command, &place.folder.join("node.log"))?;
        match process.says("start name=", 1) {
            Ok(()) => {
                return Ok(Node {
                    process,
                    addr,
                    path,
                    agent,
                })
            }
            // Another process took the port meanwhile.
            Err(why) => last = why,
        }
    }
    Err(last)
}

/// Asks on a connection and waits for the answer; whether it was honoured.
fn send_request(stream: &mut TcpStream, seq: i32) -> io::Result<bool> {
    let trace = format!("{seq:016x}");
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
        .to_string();
    let fields = [
        ("route", "check"),
        ("trace", trace.as_str()),
        ("born", born.as_str()),
        ("client", "1"),
        ("customer", "t0"),
        ("size", "20"),
        ("order", "0.5"),
    ];
    stream.write_all(&thrift::process(seq, &fields, &[7; 200]))?;
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut frame = vec![0; (u32::from_be_bytes(head) as usize).min(1 << 20)];
    stream.read_exact(&mut frame)?;
    Ok(
        matches!(thrift::answered(&frame), Ok(told) if matches!(told.what, thrift::What::Answer { .. })),
    )
}

fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, PATIENCE)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

/// Until the agent has greeted, tickets are turned away.
fn warm(to: SocketAddr) -> io::Result<()> {
    let (until, mut stream, mut seq) = (Instant::now() + PATIENCE, connect(to)?, 0);
    loop {
        seq += 1;
        if send_request(&mut stream, seq)? {
            return Ok(());
        }
        if Instant::now() > until {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "a node honours nothing",
            ));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// # Errors
/// What could not be started or asked.
pub fn rows(sizes: &Sizes, effort: &Effort, place: &Place) -> io::Result<Vec<Row>> {
    let agent = agent()?;
    let mut rows = by_tenants(sizes, effort, place, agent)?;
    let at = |part: &'static str| {
        move |why: io::Error| io::Error::new(why.kind(), format!("{part}: {why}"))
    };
    rows.extend(idle(sizes, effort, place, agent).map_err(at("connections at rest"))?);
    rows.extend(by_requests(sizes, effort, place, agent).map_err(at("requests"))?);
    Ok(rows)
}

fn by_tenants(
    sizes: &Sizes,
    effort: &Effort,
    place: &Place,
    agent: SocketAddr,
) -> io::Result<Vec<Row>> {
    let base = start(1, 1_024, agent, place)?.process.rss()?;
    let (mut rss, mut after, mut cpu, mut begins, mut files) =
        (vec![], vec![], vec![], vec![], vec![]);
    for part in &effort.parts {
        let tenants = ((sizes.tenants as f64 * part) as usize).max(1);
        let x = tenants as f64;
        let mut node = start(tenants, 1_024, agent, place)?;
        rss.push((x, node.process.rss()? - base));
        begins.push((x, node.process.cpu()?.as_secs_f64()));
        files.push((x, fs::metadata(&node.path)?.len() as f64));
        let mut least = Duration::MAX;
        for k in 1..=effort.reloads {
            let rate = limits::REQUESTS + (k % 2) as f64;
            let text =
                settings::node("n1", node.addr, node.agent, tenants, 1_024, rate).to_string();
            fs::write(&node.path, text)?;
            let before = node.process.cpu()?;
            node.process.signal(Signal::HUP);
            // It says both, and this one last.
            node.process.says("reload agent=", k)?;
            least = least.min(node.process.cpu()?.saturating_sub(before));
        }
        cpu.push((x, least.as_secs_f64()));
        after.push((x, node.process.rss()? - base));
    }
    let note = "crates/node/src/reload.rs, crates/settings";
    let named = |what, unit, limit| Named {
        role: "node",
        what,
        unit,
        by: "tenants",
        limit,
        note,
        counted: false,
    };
    let share = sizes.changes as f64 / limits::DAY_S * 100.0;
    let tenants = sizes.tenants as f64;
    let line = |named: Named<'_>, points: &[(f64, f64)], times: f64| {
        Row::fitted(&named, points, tenants, Grows::Line, times)
    };
    let mb = Some(limits::CONTROL_MB);
    let core = Some(limits::CONTROL_CPU);
    Ok(vec![
        line(
            named("memory after its start above one tenant", "MB", mb),
            &rss,
            1e-6,
        ),
        line(
            named("memory after reloads above one tenant", "MB", mb),
            &after,
            1e-6,
        ),
        line(
            named(
                "each change read as a whole: processor time",
                "% of a core",
                core,
            ),
            &cpu,
            share,
        ),
        line(named("processor time of a start", "ms", None), &begins, 1e3),
        Row {
            counted: true,
            ..line(named("its file", "MB", None), &files, 1e-6)
        },
    ])
}

/// Descriptors that may be opened here.
fn descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.unwrap_or(1 << 20).saturating_sub(SPARE) as usize
}

/// Idle connections that each had a request, at a node and at a forwarder.
fn idle(sizes: &Sizes, effort: &Effort, place: &Place, agent: SocketAddr) -> io::Result<Vec<Row>> {
    let mut rows = Vec::new();
    let behind = TestServerOptions {
        forget_runs: true,
        ..TestServerOptions::default()
    }
    .start();
    for role in ["node", "forwarder"] {
        let (mut points, mut open) = (Vec::new(), Vec::new());
        let (process, addr) = if role == "node" {
            let node = start(1, 20_000, agent, place)?;
            warm(node.addr)?;
            (node.process, node.addr)
        } else {
            forwarder(behind.addr, place)?
        };
        for idle in &effort.idle {
            while open.len() < (*idle).min(descriptors()) {
                let mut stream = connect(addr)?;
                let asked = send_request(&mut stream, open.len() as i32 + 1_000);
                asked.map_err(|why| {
                    io::Error::new(
                        why.kind(),
                        format!("{role}, connection {}: {why}", open.len()),
                    )
                })?;
                open.push(stream);
            }
            points.push((open.len() as f64, process.rss()?));
        }
        let held = process.descriptors()? >= open.len();
        let mut row = Row::fitted(
            &Named {
                role,
                what: "memory, a connection at rest from each caller",
                unit: "MB",
                by: "callers",
                limit: None,
                note: if role == "node" {
                    "crates/node/src/connections.rs"
                } else {
                    "crates/forwarder/src/listener.rs"
                },
                counted: false,
            },
            &points,
            sizes.callers as f64,
            Grows::Line,
            1e-6,
        );
        if !held {
            row.bends = Some("connections were closed while more were opened".into());
            row.at_size = None;
        }
        rows.push(row);
    }
    behind.kill();
    Ok(rows)
}

/// A forwarder before one member.
fn forwarder(member: SocketAddr, place: &Place) -> io::Result<(Counted, SocketAddr)> {
    let text = format!(
        "rain 1\ntype check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}\n\
         tenant t0 {{ share: 50 % }}\n\
         pool p {{ member m {{ address: \"{member}\" }} }}\nroute r {{ to: p }}\n"
    );
    let path = place.folder.join("front.rain");
    fs::write(&path, text)?;
    let mut command = Command::new(program("rainstand", place.programs.as_deref())?);
    command
        .args(["forward", "--listen", "127.0.0.1:0", "--config"])
        .arg(&path);
    let mut process = Counted::start(command, &place.folder.join("front.log"))?;
    process.says("event=\"start\"", 1)?;
    let said = process.said();
    let at = said
        .split("listen=")
        .nth(1)
        .and_then(|rest| rest.split_whitespace().next());
    let at = at.and_then(|at| at.trim_matches('"').parse().ok());
    Ok((
        process,
        at.ok_or_else(|| io::Error::other("a forwarder says no address"))?,
    ))
}

/// What one run of requests came to.
struct Asked {
    cpu: Duration,
    /// Until the answer, of 99 in 100.
    late: Duration,
}

/// One request after the other: all on one connection, or each on its own.
fn requests(node: &Node, many: usize, each_its_own: bool) -> io::Result<Asked> {
    let mut kept = connect(node.addr)?;
    send_request(&mut kept, 1)?;
    let before = node.process.cpu()?;
    let mut times = Vec::with_capacity(many);
    for k in 0..many {
        let began = Instant::now();
        let honoured = if each_its_own {
            send_request(&mut connect(node.addr)?, k as i32 + 2)?
        } else {
            send_request(&mut kept, k as i32 + 2)?
        };
        times.push(began.elapsed());
        if !honoured {
            return Err(io::Error::other("a request was not honoured"));
        }
    }
    times.sort_unstable();
    let late = times.get(many * 99 / 100).copied().unwrap_or_default();
    Ok(Asked {
        cpu: node.process.cpu()?.saturating_sub(before),
        late,
    })
}

/// A handshake for each request against none: processor time at the node, and time added.
fn by_requests(
    sizes: &Sizes,
    effort: &Effort,
    place: &Place,
    agent: SocketAddr,
) -> io::Result<Vec<Row>> {
    let node = start(1, 1_024, agent, place)?;
    warm(node.addr)?;
    let (mut on_one, mut each, mut added) = (Vec::new(), Vec::new(), Vec::new());
    for many in effort.requests.iter().copied() {
        let (mut least_one, mut least_own) = (f64::INFINITY, f64::INFINITY);
        for _ in 0..TURNS {
            let (one, own) = (requests(&node, many, false)?, requests(&node, many, true)?);
            least_one = least_one.min(one.cpu.as_secs_f64());
            least_own = least_own.min(own.cpu.as_secs_f64());
            added.push((
                many as f64,
                own.late.saturating_sub(one.late).as_secs_f64() * 1e3,
            ));
        }
        on_one.push((many as f64, least_one));
        each.push((many as f64, least_own));
    }
    // Of a second, at this node's part of the fleet's requests.
    let rate = limits::REQUESTS / sizes.nodes as f64;
    let named = |what, unit, limit, note| Named {
        role: "node",
        what,
        unit,
        by: "requests",
        limit,
        note,
        counted: false,
    };
    let core = |points: &[(f64, f64)], what| {
        let note =
            "the line's slope times the requests of a second; crates/node/src/connections.rs";
        let mut row = Row::fitted(
            &named(what, "% of a core", None, note),
            points,
            rate,
            Grows::Line,
            100.0,
        );
        // Of the requests of a second alone, without what a run of them costs once.
        row.at_size = row
            .slope
            .filter(|_| row.bends.is_none())
            .map(|slope| slope * rate);
        row
    };
    let mut lates: Vec<f64> = added.iter().map(|p| p.1).collect();
    lates.sort_unstable_by(f64::total_cmp);
    let middle = lates.get(lates.len() / 2).copied();
    let up_to = added.iter().map(|p| p.0).fold(0.0, f64::max);
    let mut late = Row::plain(
        &named(
            "time added by a handshake for each request, 99 in 100",
            "ms",
            Some(limits::ADDED_MS),
            "on loopback: add the network's way there and back; the median of all runs",
        ),
        up_to,
        up_to,
        middle,
    );
    late.points = added;
    Ok(vec![
        core(
            &on_one,
            "its part of the requests, connections kept: processor time",
        ),
        core(
            &each,
            "its part of the requests, a handshake for each: processor time",
        ),
        late,
    ])
}
