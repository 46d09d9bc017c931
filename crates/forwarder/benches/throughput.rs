//! Throughput of a forwarder on one core, and the latency that it adds. `cargo bench -p rainstand-forwarder`
//!
//! Three test servers answer without delay. Each server, the forwarder and each caller have their own thread. Bodies
//! have 200 bytes. For comparison, the same callers also send to one server directly.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use hdrhistogram::Histogram;
use rainstand_config::{load, source::Memory};
use rainstand_forwarder::{run, ForwarderContext};
use rainstand_protocol::thrift;
use rainstand_test_servers::server::TestServerOptions;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

const SERVERS: usize = 3;
const CALLERS: usize = 3;
/// Calls in flight on the connection of each caller.
const PIPELINED_CALLS: usize = 24;
/// Duration of a throughput measurement.
const DURATION: Duration = Duration::from_secs(5);

/// Runs a future on its own thread until the process exits.
fn spawn_on_thread<F: std::future::Future<Output = ()>>(make: impl FnOnce() -> F + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, make());
    });
}

/// Starts servers that answer without delay and do not record runs.
fn start_servers() -> Vec<SocketAddr> {
    (0..SERVERS)
        .map(|_| {
            TestServerOptions {
                forget_runs: true,
                ..TestServerOptions::default()
            }
            .start()
            .addr
        })
        .collect()
}

/// Starts a forwarder in front of `servers` and returns its address. With COUNTS set, it prints its counters.
fn start_forwarder(servers: &[SocketAddr]) -> SocketAddr {
    let members: String = servers
        .iter()
        .enumerate()
        .map(|(index, address)| format!("member n{index} {{ address: \"{address}\" }}\n"))
        .collect();
    let text = format!(
        "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
tenant acme {{ share: 50 % }}
attempts any {{ tries: 2; proof: none }}
health h {{ keep: 50 % }}
pool p {{ health: h\n{members} }}
route r {{ to: p; attempts: any }}"
    );
    let configuration = load(&Memory::new([("a.rain", text)]), "a.rain")
        .configuration
        .unwrap();
    let (address_sender, address) = channel();
    spawn_on_thread(move || async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        address_sender.send(listener.local_addr().unwrap()).unwrap();
        let context = ForwarderContext::new(configuration, "", 1).unwrap();
        if std::env::var_os("COUNTS").is_some() {
            let observed_context = context.clone();
            spawn_local(async move {
                loop {
                    tokio::time::sleep(Duration::from_secs(3)).await;
                    println!("{}", observed_context.counters_line());
                }
            });
        }
        run(context, listener, DURATION, std::future::pending()).await;
    });
    address.recv().unwrap()
}

fn call(sequence_number: i32) -> Vec<u8> {
    let fields = [
        ("route", "check"),
        ("trace", "9b1f03aa5c7e2d41"),
        ("born", "1764576000123"),
        ("client", "4"),
        ("customer", "acme"),
        ("size", "24.5"),
        ("order", "0.6250"),
    ];
    thrift::process(sequence_number, &fields, &[7; 200])
}

/// Reads the next answer; returns its sequence number and whether it is a result.
fn read_answer(stream: &mut impl Read) -> (i32, bool) {
    let mut head = [0; 4];
    stream.read_exact(&mut head).unwrap();
    let mut frame = vec![0; u32::from_be_bytes(head) as usize];
    stream.read_exact(&mut frame).unwrap();
    let answer = thrift::answered(&frame).unwrap();
    (
        answer.seq,
        matches!(answer.what, thrift::What::Answer { .. }),
    )
}

/// Served calls per second, with [`PIPELINED_CALLS`] calls in flight for each caller.
fn measure_throughput(target: SocketAddr) -> f64 {
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(target).unwrap();
                stream.set_nodelay(true).unwrap();
                let mut reader =
                    std::io::BufReader::with_capacity(64 << 10, stream.try_clone().unwrap());
                let (mut sequence_number, mut served, start) = (0, 0u64, Instant::now());
                let mut batch = Vec::new();
                for _ in 0..PIPELINED_CALLS {
                    sequence_number += 1;
                    batch.extend(call(sequence_number));
                }
                stream.write_all(&batch).unwrap();
                while start.elapsed() < DURATION {
                    // Answers that arrived together are followed by the same number of calls in one write.
                    batch.clear();
                    loop {
                        served += u64::from(read_answer(&mut reader).1);
                        sequence_number += 1;
                        batch.extend(call(sequence_number));
                        if reader.buffer().len() < 64 {
                            break;
                        }
                    }
                    stream.write_all(&batch).unwrap();
                }
                served
            })
        })
        .collect();
    callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum::<u64>() as f64
        / DURATION.as_secs_f64()
}

/// Latencies in nanoseconds of calls sent one after another, 1 ms apart.
fn measure_latencies(target: SocketAddr) -> Histogram<u64> {
    let mut latencies = Histogram::<u64>::new(3).unwrap();
    let mut stream = TcpStream::connect(target).unwrap();
    stream.set_nodelay(true).unwrap();
    for sequence_number in 1..=4_000 {
        let start = Instant::now();
        stream.write_all(&call(sequence_number)).unwrap();
        assert_eq!(read_answer(&mut stream), (sequence_number, true));
        latencies.record(start.elapsed().as_nanos() as u64).unwrap();
        std::thread::sleep(Duration::from_millis(1));
    }
    latencies
}

fn main() {
    let servers = start_servers();
    let forwarder = start_forwarder(&servers);
    for (name, target) in [("direct", servers[0]), ("forwarder", forwarder)] {
        let latencies = measure_latencies(target);
        let us = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{name}: p50 {:.0} us, p99 {:.0} us; {:.0} tickets a second",
            us(0.5),
            us(0.99),
            measure_throughput(target)
        );
    }
}
