//! Throughput and peak memory of reading a generated file.
//! `cargo bench -p rainstand-capture` writes 1 GB to the directory for temporary files; `MB=100` writes less.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_capture::packet::End;
use rainstand_capture::read;
use rainstand_capture::write::{self, Conversation};
use rainstand_protocol::thrift;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::time::Instant;

const CONNECTIONS: usize = 200;

/// Writes interleaved calls and answers of 200 connections, with bodies of up to 2 KiB; one packet in fifty
/// is reordered. Returns the number of calls.
fn generate(path: &Path, bytes: u64) -> u64 {
    let mut rng = WyRand::new_seed(8);
    let mut file = BufWriter::with_capacity(1 << 20, File::create(path).unwrap());
    let mut written = write::head("bench");
    let end = |n: usize, port: u16| End::new([10, 0, (n >> 8) as u8, n as u8].into(), port);
    let mut conversations: Vec<_> = (0..CONNECTIONS)
        .map(|n| Conversation::new(end(n, 40_000), end(999, 5050), [7, 9]))
        .collect();
    let mut at = 1_764_576_000_000_000_000;
    for conversation in &mut conversations {
        conversation
            .open()
            .iter()
            .for_each(|packet| write::packet(&mut written, at, packet, packet.len()));
    }
    let (mut total, mut calls, mut seq) = (0u64, 0, 0);
    let body = [9u8; 2_048];
    let mut delayed: Option<(u64, Vec<u8>)> = None;
    while total < bytes {
        seq += 1;
        for conversation in &mut conversations {
            at += 20_000;
            calls += 1;
            let trace = format!("{calls:016x}");
            let size = rng.generate_range(100..2_048usize);
            let call = thrift::process(
                seq,
                &[("route", "check"), ("trace", &trace), ("customer", "acme")],
                &body[..size],
            );
            let answer = thrift::answer(b"process", seq, &body[..size], true);
            let packets: Vec<_> = conversation.data(0, &call).collect();
            let answers: Vec<_> = conversation.data(1, &answer).collect();
            for packet in packets.into_iter().chain(answers) {
                if delayed.is_none() && rng.generate_range(0..50u8) == 0 {
                    delayed = Some((at, packet));
                    continue;
                }
                write::packet(&mut written, at, &packet, packet.len());
            }
            if let Some((delayed_at, packet)) = delayed.take() {
                write::packet(&mut written, delayed_at, &packet, packet.len());
            }
        }
        total += written.len() as u64;
        file.write_all(&written).unwrap();
        written.clear();
    }
    file.flush().unwrap();
    calls
}

/// Peak resident memory of this process, in KiB.
fn peak_memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap_or_default()
        .to_owned();
    line.split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .unwrap_or(0)
}

fn main() {
    let mb: u64 = std::env::var("MB")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1_000);
    let path = std::env::temp_dir().join(format!("rainstand-bench-{}.pcapng", std::process::id()));
    let calls = generate(&path, mb * 1_000_000);
    let size = std::fs::metadata(&path).unwrap().len();
    let peak_before = peak_memory_kib();
    for _ in 0..3 {
        let start = Instant::now();
        let summary = read(File::open(&path).unwrap(), |_| {});
        let took = start.elapsed();
        assert_eq!(
            (summary.tickets.honoured, summary.streams.holes),
            (calls, 0)
        );
        println!(
            "{} MB, {} packets, {} requests in {:.2} s: {:.0} MB/s, {:.2} million packets a second; peak {} MiB (generating: {} MiB)",
            size / 1_000_000,
            summary.file.packets,
            calls,
            took.as_secs_f64(),
            size as f64 / took.as_secs_f64() / 1e6,
            summary.file.packets as f64 / took.as_secs_f64() / 1e6,
            peak_memory_kib() >> 10,
            peak_before >> 10
        );
    }
    std::fs::remove_file(&path).unwrap();
}
