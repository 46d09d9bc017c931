//! Memory and CPU of `rainstand forward` as a process: with 8,000 connections that each had a ticket, and under load.
//! `cargo bench -p rainstand-cli --bench connections`; `CONNECTIONS=10000` where descriptors allow it.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_protocol::thrift;
use rainstand_test_servers::server::TestServerOptions;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

fn status(child: &Child, key: &str) -> String {
    let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(key));
    line.map_or("unknown".into(), |line| {
        line[key.len() + 1..].trim().to_owned()
    })
}

/// CPU used so far, in ticks of 10 ms.
fn cpu(child: &Child) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    [11, 12]
        .iter()
        .filter_map(|k| fields.get(*k)?.parse::<u64>().ok())
        .sum()
}

fn call(stream: &mut TcpStream, seq: i32) -> bool {
    let fields = [
        ("route", "check"),
        ("customer", "acme"),
        ("trace", "9b1f03aa5c7e2d41"),
    ];
    if stream
        .write_all(&thrift::process(seq, &fields, &[7; 200]))
        .is_err()
    {
        return false;
    }
    let mut head = [0; 4];
    if stream.read_exact(&mut head).is_err() {
        return false;
    }
    let mut frame = vec![0; u32::from_be_bytes(head) as usize];
    stream.read_exact(&mut frame).is_ok()
        && matches!(thrift::answered(&frame), Ok(told) if matches!(told.what, thrift::What::Answer { .. }))
}

fn main() {
    let many: usize = std::env::var("CONNECTIONS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(8_000);
    let nodes: Vec<_> = (0..3)
        .map(|_| {
            TestServerOptions {
                forget_runs: true,
                ..TestServerOptions::default()
            }
            .start()
        })
        .collect();
    let members: String = nodes
        .iter()
        .enumerate()
        .map(|(k, node)| format!("member n{k} {{ address: \"{}\" }}\n", node.addr))
        .collect();
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("main.rain");
    let text = format!(
        "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
tenant acme {{ share: 50 % }}
health h {{ keep: 50 % }}
pool p {{ health: h\n{members} }}
route r {{ to: p }}"
    );
    std::fs::write(&path, text).expect("a file");
    let mut child = Command::new(env!("CARGO_BIN_EXE_rainstand"))
        .args(["forward", "--listen", "127.0.0.1:0", "--config"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program");
    let lines = BufReader::new(child.stderr.take().expect("its lines")).lines();
    let start = lines
        .map_while(Result::ok)
        .find(|line| line.contains("listen="))
        .expect("a line at its start");
    let at = start
        .split("listen=")
        .nth(1)
        .and_then(|rest| rest.split_whitespace().next())
        .expect("an address");
    let at: SocketAddr = at.trim_matches('"').parse().expect("an address");
    println!("at the start: {}", status(&child, "VmRSS:"));
    let mut all = Vec::new();
    let mut good = 0;
    for _ in 0..many {
        let Ok(mut stream) = TcpStream::connect(at) else {
            break;
        };
        let _ = stream.set_nodelay(true);
        good += usize::from(call(&mut stream, 1));
        all.push(stream);
    }
    println!(
        "{} connections, {good} honoured: {}",
        all.len(),
        status(&child, "VmRSS:")
    );
    drop(all);
    let (before, began, mut asked) = (cpu(&child), Instant::now(), 0u32);
    let mut lanes: Vec<_> = (0..8)
        .map(|_| TcpStream::connect(at).expect("a connection"))
        .collect();
    lanes.iter().for_each(|lane| drop(lane.set_nodelay(true)));
    // One at a time on each of eight connections: no tickets that come together.
    while began.elapsed() < Duration::from_secs(5) {
        for lane in &mut lanes {
            asked += 1;
            call(lane, asked as i32);
        }
    }
    let used = (cpu(&child) - before) as f64 * 10_000.0;
    println!(
        "{asked} tickets one at a time: {:.0} us of CPU a ticket",
        used / f64::from(asked)
    );
    println!("after it: {}", status(&child, "VmRSS:"));
    let _ = child.kill();
    let _ = child.wait();
}
