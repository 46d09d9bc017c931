//! Memory and CPU time of a `rainstand forward` process, with 8,000 connections after one request each, and under load.
//! `cargo bench -p rainstand-cli --bench connections`; `CONNECTIONS=10000` if the descriptor limit allows it.

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

/// A value in the process's `/proc/PID/status`.
fn status(child: &Child, key: &str) -> String {
    let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(key));
    line.map_or("unknown".into(), |line| {
        line[key.len() + 1..].trim().to_owned()
    })
}

/// User and system CPU time so far, in ticks of 10 ms.
fn cpu_ticks(child: &Child) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    [11, 12]
        .iter()
        .filter_map(|index| fields.get(*index)?.parse::<u64>().ok())
        .sum()
}

/// Sends a request and reads its response; returns whether it was served.
fn call(stream: &mut TcpStream, sequence_number: i32) -> bool {
    let fields = [
        ("route", "check"),
        ("customer", "acme"),
        ("trace", "9b1f03aa5c7e2d41"),
    ];
    if stream
        .write_all(&thrift::process(sequence_number, &fields, &[7; 200]))
        .is_err()
    {
        return false;
    }
    let mut length_prefix = [0; 4];
    if stream.read_exact(&mut length_prefix).is_err() {
        return false;
    }
    let mut frame = vec![0; u32::from_be_bytes(length_prefix) as usize];
    stream.read_exact(&mut frame).is_ok()
        && matches!(thrift::answered(&frame), Ok(response) if matches!(response.what, thrift::What::Answer { .. }))
}

fn main() {
    let connection_count: usize = std::env::var("CONNECTIONS")
        .ok()
        .and_then(|count| count.parse().ok())
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
        .map(|(index, node)| format!("member n{index} {{ address: \"{}\" }}\n", node.addr))
        .collect();
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let path = folder.path().join("main.rain");
    let text = format!(
        "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
tenant acme {{ share: 50 % }}
health h {{ keep: 50 % }}
pool p {{ health: h\n{members} }}
route r {{ to: p }}"
    );
    std::fs::write(&path, text).expect("write the configuration");
    let mut child = Command::new(env!("CARGO_BIN_EXE_rainstand"))
        .args(["forward", "--listen", "127.0.0.1:0", "--config"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the forwarder");
    let lines = BufReader::new(child.stderr.take().expect("standard error is piped")).lines();
    let start = lines
        .map_while(Result::ok)
        .find(|line| line.contains("listen="))
        .expect("the forwarder logs its start");
    let address = start
        .split("listen=")
        .nth(1)
        .and_then(|rest| rest.split_whitespace().next())
        .expect("the start event has an address");
    let address: SocketAddr = address
        .trim_matches('"')
        .parse()
        .expect("the start event has an address");
    println!("at the start: {}", status(&child, "VmRSS:"));
    let mut connections = Vec::new();
    let mut served = 0;
    for _ in 0..connection_count {
        let Ok(mut stream) = TcpStream::connect(address) else {
            break;
        };
        let _ = stream.set_nodelay(true);
        served += usize::from(call(&mut stream, 1));
        connections.push(stream);
    }
    println!(
        "{} connections, {served} served: {}",
        connections.len(),
        status(&child, "VmRSS:")
    );
    drop(connections);
    let (ticks_before, started, mut sent) = (cpu_ticks(&child), Instant::now(), 0u32);
    let mut connections: Vec<_> = (0..8)
        .map(|_| TcpStream::connect(address).expect("connect to the forwarder"))
        .collect();
    connections
        .iter()
        .for_each(|connection| drop(connection.set_nodelay(true)));
    // One request at a time over eight connections: no two requests are concurrent.
    while started.elapsed() < Duration::from_secs(5) {
        for connection in &mut connections {
            sent += 1;
            call(connection, sent as i32);
        }
    }
    let used_us = (cpu_ticks(&child) - ticks_before) as f64 * 10_000.0;
    println!(
        "{sent} requests one at a time: {:.0} us of CPU time per request",
        used_us / f64::from(sent)
    );
    println!("after the load: {}", status(&child, "VmRSS:"));
    let _ = child.kill();
    let _ = child.wait();
}
