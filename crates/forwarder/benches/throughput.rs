//! Tickets a second through a forwarder on one core, and the time it adds. `cargo bench -p rainstand-forwarder`
//!
//! Three stand-in nodes answer at once, each on a thread of its own; the forwarder has one, the callers have one each.
//! Bodies are 200 bytes. The same callers go to a node directly for comparison.

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

const NODES: usize = 3;
const CALLERS: usize = 3;
/// Calls that a caller has open on its connection.
const OPEN: usize = 24;
const FOR: Duration = Duration::from_secs(5);

/// Runs a future on a thread of its own until the process ends.
fn thread<F: std::future::Future<Output = ()>>(make: impl FnOnce() -> F + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, make());
    });
}

/// Nodes that answer at once and write nothing down.
fn nodes() -> Vec<SocketAddr> {
    (0..NODES)
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

fn forwarder(nodes: &[SocketAddr]) -> SocketAddr {
    let members: String = nodes
        .iter()
        .enumerate()
        .map(|(k, a)| format!("member n{k} {{ address: \"{a}\" }}\n"))
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
    let made = load(&Memory::new([("a.rain", text)]), "a.rain")
        .configuration
        .unwrap();
    let (told, address) = channel();
    thread(move || async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        told.send(listener.local_addr().unwrap()).unwrap();
        let context = ForwarderContext::new(made, "", 1).unwrap();
        if std::env::var_os("COUNTS").is_some() {
            let counted = context.clone();
            spawn_local(async move {
                loop {
                    tokio::time::sleep(Duration::from_secs(3)).await;
                    println!("{}", counted.counters_line());
                }
            });
        }
        run(context, listener, FOR, std::future::pending()).await;
    });
    address.recv().unwrap()
}

fn call(seq: i32) -> Vec<u8> {
    let fields = [
        ("route", "check"),
        ("trace", "9b1f03aa5c7e2d41"),
        ("born", "1764576000123"),
        ("client", "4"),
        ("customer", "acme"),
        ("size", "24.5"),
        ("order", "0.6250"),
    ];
    thrift::process(seq, &fields, &[7; 200])
}

/// The next whole answer's number, and whether it is a result.
fn answer(stream: &mut impl Read) -> (i32, bool) {
    let mut head = [0; 4];
    stream.read_exact(&mut head).unwrap();
    let mut frame = vec![0; u32::from_be_bytes(head) as usize];
    stream.read_exact(&mut frame).unwrap();
    let told = thrift::answered(&frame).unwrap();
    (told.seq, matches!(told.what, thrift::What::Answer { .. }))
}

/// As many calls as go through with `OPEN` of them under way; honoured ones a second.
fn flood(to: SocketAddr) -> f64 {
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(to).unwrap();
                stream.set_nodelay(true).unwrap();
                let mut back =
                    std::io::BufReader::with_capacity(64 << 10, stream.try_clone().unwrap());
                let (mut seq, mut good, start) = (0, 0u64, Instant::now());
                let mut batch = Vec::new();
                for _ in 0..OPEN {
                    seq += 1;
                    batch.extend(call(seq));
                }
                stream.write_all(&batch).unwrap();
                while start.elapsed() < FOR {
                    // Answers that came together are followed by as many calls in one write.
                    batch.clear();
                    loop {
                        good += u64::from(answer(&mut back).1);
                        seq += 1;
                        batch.extend(call(seq));
                        if back.buffer().len() < 64 {
                            break;
                        }
                    }
                    stream.write_all(&batch).unwrap();
                }
                good
            })
        })
        .collect();
    callers
        .into_iter()
        .map(|one| one.join().unwrap())
        .sum::<u64>() as f64
        / FOR.as_secs_f64()
}

/// One call after another, 1 ms apart.
fn times(to: SocketAddr) -> Histogram<u64> {
    let mut all = Histogram::<u64>::new(3).unwrap();
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_nodelay(true).unwrap();
    for seq in 1..=4_000 {
        let start = Instant::now();
        stream.write_all(&call(seq)).unwrap();
        assert_eq!(answer(&mut stream), (seq, true));
        all.record(start.elapsed().as_nanos() as u64).unwrap();
        std::thread::sleep(Duration::from_millis(1));
    }
    all
}

fn main() {
    let nodes = nodes();
    let forwarder = forwarder(&nodes);
    for (name, to) in [("direct", nodes[0]), ("forwarder", forwarder)] {
        let all = times(to);
        let us = |quantile| all.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{name}: p50 {:.0} us, p99 {:.0} us; {:.0} tickets a second",
            us(0.5),
            us(0.99),
            flood(to)
        );
    }
}
