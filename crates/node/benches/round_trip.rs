//! Records traffic, replays it on a new node and compares; measures the cost of recording.
//! `cargo build --release && cargo bench -p rainstand-node --bench round_trip`
//!
//! A fake agent finishes every launch immediately and echoes the body. Requests are sent at a fixed rate on four
//! connections to a node that records and to one that does not, and their CPU times are printed. The recording is
//! replayed on a new node, and `rainstand pcap replay` prints how late its sends were and which answers differ.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_protocol::thrift;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Requests per second.
const RATE: u64 = 1_000;
/// Duration of a round in seconds.
const SECONDS: u64 = 10;
const CONNECTIONS: usize = 4;
/// Rounds, each with and without recording.
const ROUNDS: u32 = 4;

fn start_agent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}

fn serve(mut stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    let lines = BufReader::new(stream.try_clone().unwrap()).lines();
    let mut offset = 0;
    for line in lines.map_while(Result::ok) {
        let command: Value = serde_json::from_str(&line).unwrap();
        let reply = match command["cmd"].as_str().unwrap() {
            "subscribe" => json!({"cmd": "greeting", "result": "running", "elapsed_ms": 60_000}),
            "sample" => {
                json!({"cmd": "sampled", "token": command["token"], "load": [0.1, 0, 0.1, 1]})
            }
            "launch" => {
                offset += 1;
                let (req, payload) = (&command["req"], &command["payload"]);
                json!({"cmd": "outcome", "offset": offset, "req": req, "result": "fine", "elapsed_ms": 1, "payload": payload})
            }
            _ => continue,
        };
        if stream.write_all(format!("{reply}\n").as_bytes()).is_err() {
            return;
        }
    }
}

struct Node {
    child: Child,
    addr: SocketAddr,
}

fn start_node(folder: &Path, agent: SocketAddr, settings: Option<&Path>) -> Node {
    let addr = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let mut config: Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
    (config["listen"], config["agent"]) = (json!(addr.to_string()), json!(agent.to_string()));
    (config["db"], config["announce"]) = (Value::Null, Value::Null);
    let path = folder.join(format!("{}.json", addr.port()));
    std::fs::write(&path, config.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_rainstand-node"));
    command
        .env("ROUTER_CONFIG", &path)
        .stderr(std::process::Stdio::null());
    if let Some(settings) = settings {
        command.env("RAINSTAND_SETTINGS", settings);
    }
    let child = command.spawn().unwrap();
    while TcpStream::connect(addr).is_err() {
        std::thread::sleep(Duration::from_millis(10));
    }
    // The agent greets within this time.
    std::thread::sleep(Duration::from_millis(300));
    Node { child, addr }
}

impl Node {
    /// CPU time of the process so far.
    fn cpu_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
        Duration::from_millis(ticks * 10)
    }

    /// The line of the peak resident memory.
    fn peak_memory(&self) -> String {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        status
            .lines()
            .find(|line| line.starts_with("VmHWM"))
            .unwrap_or_default()
            .to_owned()
    }

    fn stop(mut self) {
        let _ = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status();
        self.child.wait().unwrap();
    }
}

/// Sends requests at a fixed rate on one connection; returns how many were answered.
fn send_requests(addr: SocketAddr, connection: usize) -> usize {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut incoming = stream.try_clone().unwrap();
    let requests = (RATE * SECONDS) as usize / CONNECTIONS;
    let reader = std::thread::spawn(move || {
        for answered in 0..requests {
            let mut head = [0; 4];
            if incoming.read_exact(&mut head).is_err() {
                return answered;
            }
            let mut frame = vec![0; u32::from_be_bytes(head) as usize];
            incoming.read_exact(&mut frame).unwrap();
        }
        requests
    });
    let start = Instant::now();
    let interval = Duration::from_secs(SECONDS) / requests as u32;
    for n in 0..requests {
        let due = start + interval * n as u32 + interval / CONNECTIONS as u32 * connection as u32;
        while let Some(left) = due
            .checked_duration_since(Instant::now())
            .filter(|left| !left.is_zero())
        {
            std::thread::sleep(
                left.saturating_sub(Duration::from_micros(200))
                    .max(Duration::from_micros(20)),
            );
        }
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis()
            .to_string();
        let trace = format!("{:016x}", (connection << 32) + n);
        let fields = [
            ("route", "check"),
            ("trace", &trace),
            ("born", &born),
            ("client", "1"),
            ("customer", ["acme", "globex"][n % 2]),
            ("size", "20"),
            ("order", "0.5"),
        ];
        stream
            .write_all(&thrift::process(n as i32 + 1, &fields, trace.as_bytes()))
            .unwrap();
    }
    reader.join().unwrap()
}

/// Runs one round on a node; returns the CPU time that it used.
fn run_load(node: &Node) -> Duration {
    let before = node.cpu_time();
    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|connection| {
            let addr = node.addr;
            std::thread::spawn(move || send_requests(addr, connection))
        })
        .collect();
    let answered: usize = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    assert_eq!(answered, (RATE * SECONDS) as usize);
    node.cpu_time() - before
}

fn main() {
    let tool = PathBuf::from(env!("CARGO_BIN_EXE_rainstand-node")).with_file_name("rainstand");
    assert!(tool.exists(), "build it first: cargo build --release");
    let folder = tempfile::tempdir().unwrap();
    let records = folder.path().join("records");
    std::fs::create_dir(&records).unwrap();
    let settings = folder.path().join("settings.txtpb");
    let records_path = records.to_str().unwrap();
    std::fs::write(
        &settings,
        format!("version: 1 recordings {{ folder: \"{records_path}\" file_bytes: 1000000000 files: 2 }}"),
    )
    .unwrap();
    let agent = start_agent();
    let requests = RATE * SECONDS;
    for round in 0..ROUNDS {
        let (plain, recording) = (
            start_node(folder.path(), agent, None),
            start_node(folder.path(), agent, Some(&settings)),
        );
        // The order alternates, since the second run benefits from a machine that has warmed up.
        let (without, with) = if round % 2 == 0 {
            let without = run_load(&plain);
            (without, run_load(&recording))
        } else {
            let with = run_load(&recording);
            (run_load(&plain), with)
        };
        println!(
            "round {round}: CPU per request {:.1} us without, {:.1} us with recording; {} and {}",
            without.as_secs_f64() * 1e6 / requests as f64,
            with.as_secs_f64() * 1e6 / requests as f64,
            plain.peak_memory(),
            recording.peak_memory()
        );
        plain.stop();
        recording.stop();
    }
    let mut files: Vec<_> = std::fs::read_dir(&records)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    let fresh = start_node(folder.path(), agent, None);
    let (file, to) = (
        files[files.len() - 1].to_str().unwrap(),
        fresh.addr.to_string(),
    );
    let replayed = Command::new(&tool)
        .args(["pcap", "replay", file, "--to", &to, "--compare"])
        .output()
        .unwrap();
    println!(
        "{}{}",
        String::from_utf8_lossy(&replayed.stdout),
        String::from_utf8_lossy(&replayed.stderr)
    );
    println!("replay exits {:?}", replayed.status.code());
    fresh.stop();
}
