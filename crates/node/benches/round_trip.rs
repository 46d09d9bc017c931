//! Record, replay on a fresh node, compare; and what recording costs.
//! `cargo build --release && cargo bench -p rainstand-node --bench round_trip`
//!
//! A stand-in agent finishes every launch at once with its own body. Calls go out paced on four
//! connections to a node that records and to one that does not; their CPU times are told. The recording is
//! replayed against a fresh node, and `rainstand pcap replay` tells how late its sends were and what differs.

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

/// Calls a second, and for how long.
const RATE: u64 = 1_000;
const SECONDS: u64 = 10;
const CONNECTIONS: usize = 4;
/// With and without recording.
const ROUNDS: u32 = 4;

fn agent() -> SocketAddr {
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
        let told = match command["cmd"].as_str().unwrap() {
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
        if stream.write_all(format!("{told}\n").as_bytes()).is_err() {
            return;
        }
    }
}

struct Node {
    child: Child,
    addr: SocketAddr,
}

fn node(folder: &Path, agent: SocketAddr, settings: Option<&Path>) -> Node {
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
    // The agent greets within this.
    std::thread::sleep(Duration::from_millis(300));
    Node { child, addr }
}

impl Node {
    /// CPU time of the process so far.
    fn cpu(&self) -> Duration {
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

    fn peak(&self) -> String {
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

/// Paced calls on one connection; how many were answered.
fn call(addr: SocketAddr, which: usize) -> usize {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut back = stream.try_clone().unwrap();
    let calls = (RATE * SECONDS) as usize / CONNECTIONS;
    let reader = std::thread::spawn(move || {
        for answered in 0..calls {
            let mut head = [0; 4];
            if back.read_exact(&mut head).is_err() {
                return answered;
            }
            let mut frame = vec![0; u32::from_be_bytes(head) as usize];
            back.read_exact(&mut frame).unwrap();
        }
        calls
    });
    let start = Instant::now();
    let each = Duration::from_secs(SECONDS) / calls as u32;
    for n in 0..calls {
        let due = start + each * n as u32 + each / CONNECTIONS as u32 * which as u32;
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
        let trace = format!("{:016x}", (which << 32) + n);
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

fn load(node: &Node) -> Duration {
    let before = node.cpu();
    let calls: Vec<_> = (0..CONNECTIONS)
        .map(|which| {
            let addr = node.addr;
            std::thread::spawn(move || call(addr, which))
        })
        .collect();
    let answered: usize = calls.into_iter().map(|one| one.join().unwrap()).sum();
    assert_eq!(answered, (RATE * SECONDS) as usize);
    node.cpu() - before
}

fn main() {
    let tool = PathBuf::from(env!("CARGO_BIN_EXE_rainstand-node")).with_file_name("rainstand");
    assert!(tool.exists(), "build it first: cargo build --release");
    let folder = tempfile::tempdir().unwrap();
    let records = folder.path().join("records");
    std::fs::create_dir(&records).unwrap();
    let settings = folder.path().join("settings.txtpb");
    let place = records.to_str().unwrap();
    std::fs::write(
        &settings,
        format!("version: 1 recordings {{ folder: \"{place}\" file_bytes: 1000000000 files: 2 }}"),
    )
    .unwrap();
    let agent = agent();
    let tickets = RATE * SECONDS;
    for round in 0..ROUNDS {
        let (plain, recording) = (
            node(folder.path(), agent, None),
            node(folder.path(), agent, Some(&settings)),
        );
        // In turn first and second, since a machine that warms up favours one of them.
        let (without, with) = if round % 2 == 0 {
            let without = load(&plain);
            (without, load(&recording))
        } else {
            let with = load(&recording);
            (load(&plain), with)
        };
        println!(
            "round {round}: CPU a ticket {:.1} us without, {:.1} us with recording; {} and {}",
            without.as_secs_f64() * 1e6 / tickets as f64,
            with.as_secs_f64() * 1e6 / tickets as f64,
            plain.peak(),
            recording.peak()
        );
        plain.stop();
        recording.stop();
    }
    let mut files: Vec<_> = std::fs::read_dir(&records)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    let fresh = node(folder.path(), agent, None);
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
