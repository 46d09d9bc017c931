//! Fault scenarios with a forwarder, and with callers that send directly to the servers in turn (round robin).
//! `cargo bench -p rainstand-forwarder --bench days`
//!
//! Five test servers with eight cores each, runs of 5 to 20 ms, 1,000 requests per second for ten seconds, one in five
//! exclusive; scripts, seeds and requests are the same for both. The round robin has no health checks and no retries. A
//! request without an answer after the latency objective has failed. With the forwarder, the invariants are checked.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use hdrhistogram::Histogram;
use rainstand_config::{load, source::Memory};
use rainstand_forwarder::{run, ForwarderContext};
use rainstand_invariants::Kind;
use rainstand_test_servers::caller::{Call, Caller, Reply};
use rainstand_test_servers::recorder::InvariantRecorder;
use rainstand_test_servers::script::Script;
use rainstand_test_servers::server::{ServerRecorder, TestServer, TestServerOptions};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout};

const REQUESTS_PER_SECOND: u64 = 1_000;
const DURATION_SECONDS: u64 = 10;
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);
/// Start of the script of each server.
const BASE_SCRIPT: &str = "cores 8\nhonour after 5ms..20ms\n";

/// Names of the scenarios, and what each adds to the scripts of the first servers.
const SCENARIOS: &[(&str, &[&str])] = &[
    ("calm", &[]),
    ("one fails in 1 ms", &["from 2s to 8s fail after 1ms"]),
    ("one hangs", &["from 2s to 8s silent"]),
    (
        "one is ten times slower",
        &["from 2s to 8s honour after 50ms..200ms"],
    ),
    ("one dies and comes back", &["from 2s to 6s refuse"]),
    (
        "connections reset, one in fifty",
        &["share 2% reset", "share 2% reset", "share 2% reset"],
    ),
    (
        "each restarts in turn",
        &[
            "from 2s to 3s refuse",
            "from 4s to 5s refuse",
            "from 6s to 7s refuse",
        ],
    ),
    (
        "all fail for two seconds",
        &["from 4s to 6s fail after 1ms"; 5],
    ),
    (
        "one lies: full while idle",
        &["from 2s to 8s dismiss pause 1s"],
    ),
];

#[derive(Default)]
struct Outcomes {
    served: u64,
    rejected: u64,
    failed: u64,
    sent: u64,
}

struct Measurement {
    outcomes: RefCell<Outcomes>,
    /// Latencies of served requests, in microseconds.
    latencies: RefCell<Histogram<u64>>,
}

impl Measurement {
    fn new() -> Rc<Self> {
        let latencies = Histogram::new(3).expect("valid precision").into();
        Rc::new(Self {
            outcomes: RefCell::default(),
            latencies,
        })
    }

    fn record(&self, reply: Option<&Reply>, elapsed: Duration) {
        let mut outcomes = self.outcomes.borrow_mut();
        match reply {
            Some(Reply::Served(_)) => {
                outcomes.served += 1;
                let _ = self
                    .latencies
                    .borrow_mut()
                    .record(elapsed.as_micros() as u64);
            }
            Some(Reply::Rejected { .. }) => outcomes.rejected += 1,
            _ => outcomes.failed += 1,
        }
    }

    fn print(&self, scenario: &str, client: &str) {
        let (outcomes, latencies) = (self.outcomes.borrow(), self.latencies.borrow());
        let percent = |count: u64| count as f64 * 100.0 / outcomes.sent.max(1) as f64;
        let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{scenario:<32} {client:<10} honoured {:6.2} %  dismissed {:6.2} %  given up {:6.2} %  p50 {:5.1} ms  p99 {:6.1} ms",
            percent(outcomes.served),
            percent(outcomes.rejected),
            percent(outcomes.failed),
            ms(0.5),
            ms(0.99)
        );
    }
}

fn start_servers(scripts: &[&str], recorder: Option<&InvariantRecorder>) -> Vec<TestServer> {
    (0..5)
        .map(|index| {
            let text = format!("{BASE_SCRIPT}{}", scripts.get(index).unwrap_or(&""));
            let script = Script::read(&text).expect("invalid script");
            let recorder = recorder.map(|recorder| ServerRecorder {
                recorder: recorder.clone(),
                server: index as u32,
            });
            TestServerOptions {
                script,
                recorder,
                seed: index as u64,
                forget_runs: true,
                ..TestServerOptions::default()
            }
            .start()
        })
        .collect()
}

fn call(number: u64) -> Call<'static> {
    let exclusive = number.is_multiple_of(5);
    let (request_class, kind) = if exclusive {
        ("register", Kind::Exclusive)
    } else {
        ("check", Kind::Rerunnable)
    };
    Call {
        request_class,
        kind,
        body: &[7; 200],
        timeout: LATENCY_OBJECTIVE + Duration::from_millis(500),
        ..Call::default()
    }
}

/// Sends lane `lane` of `lanes` of the requests at fixed times, each on its own connection, to `targets` in turn.
async fn send_requests(
    targets: Vec<SocketAddr>,
    lane: u64,
    lanes: u64,
    measurement: Rc<Measurement>,
    recorder: Option<InvariantRecorder>,
) {
    let start = tokio::time::Instant::now();
    let count = REQUESTS_PER_SECOND * DURATION_SECONDS / lanes;
    for index in 0..count {
        let number = index * lanes + lane;
        sleep_until(start + Duration::from_nanos(number * 1_000_000_000 / REQUESTS_PER_SECOND))
            .await;
        let (target, measurement, recorder) = (
            targets[number as usize % targets.len()],
            measurement.clone(),
            recorder.clone(),
        );
        spawn_local(async move {
            measurement.outcomes.borrow_mut().sent += 1;
            let sent_at = Instant::now();
            let reply = timeout(LATENCY_OBJECTIVE, async {
                let mut caller = Caller::new(target).await.ok()?;
                if let Some(recorder) = &recorder {
                    caller = caller.recorded_by(recorder, number + 1);
                }
                caller.send(&call(number)).await.ok()?;
                let reply = caller.next_reply().await.ok();
                if reply.is_none() {
                    caller.disconnect();
                }
                reply
            });
            let reply = reply.await.ok().flatten();
            measurement.record(reply.as_ref().map(|(_, reply)| reply), sent_at.elapsed());
        });
    }
    sleep(LATENCY_OBJECTIVE * 2).await;
}

fn configuration(servers: &[TestServer]) -> rainstand_config::schema::Configuration {
    let members: String = servers
        .iter()
        .enumerate()
        .map(|(index, server)| format!("member n{index} {{ address: \"{}\" }}\n", server.addr))
        .collect();
    let text = format!(
        "rain 1
type check {{ repeat: rerunnable; goal: 900 ms; outer-limit: 1 s }}
type register {{ repeat: exclusive; goal: 900 ms; outer-limit: 1 s }}
tenant acme {{ share: 50 % }}
attempts any {{ tries: 3; budget: 20 %; wait: 1 ms .. 10 ms; proof: none }}
attempts proved {{ tries: 3; budget: 20 %; wait: 1 ms .. 10 ms }}
health h {{ keep: 50 %; silent: 500 ms; back-after: 1 s .. 8 s }}
pool p {{ health: h\n{members} }}
route x {{ match {{ type: register }}; to: p; attempts: proved }}
route r {{ to: p; attempts: any }}"
    );
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    outcome
        .configuration
        .unwrap_or_else(|| panic!("{:?}", outcome.findings))
}

async fn run_through_forwarder(scripts: &[&str]) -> Rc<Measurement> {
    let recorder = InvariantRecorder::default();
    let servers = start_servers(scripts, Some(&recorder));
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("cannot bind the forwarder");
    let address = listener.local_addr().expect("listener has no address");
    let context =
        ForwarderContext::new(configuration(&servers), "", 1).expect("invalid configuration");
    spawn_local(run(
        context.clone(),
        listener,
        LATENCY_OBJECTIVE,
        std::future::pending(),
    ));
    let measurement = Measurement::new();
    send_requests(
        vec![address],
        0,
        1,
        measurement.clone(),
        Some(recorder.clone()),
    )
    .await;
    let counts = context.fleet.borrow().counts();
    let now = recorder.now();
    let _ =
        recorder
            .checker()
            .check_retry_budget(now, counts.first_attempts, counts.retries, 0.2, 10);
    if let Err(violation) = recorder.finish() {
        println!("BROKEN: {violation}");
    }
    servers.iter().for_each(TestServer::kill);
    measurement
}

async fn run_round_robin(scripts: &[&str]) -> Rc<Measurement> {
    let servers = start_servers(scripts, None);
    let measurement = Measurement::new();
    send_requests(
        servers.iter().map(|server| server.addr).collect(),
        0,
        1,
        measurement.clone(),
        None,
    )
    .await;
    servers.iter().for_each(TestServer::kill);
    measurement
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("cannot create the runtime");
    LocalSet::new().block_on(&runtime, async {
        let filter = std::env::var("DAY").unwrap_or_default();
        for (name, scripts) in SCENARIOS.iter().filter(|(name, _)| name.contains(&filter)) {
            run_through_forwarder(scripts)
                .await
                .print(name, "forwarder");
            run_round_robin(scripts).await.print(name, "in turn");
        }
    });
}
