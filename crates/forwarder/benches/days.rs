//! Days of faults through a forwarder, and through callers that go to the nodes in turn and know nothing.
//! `cargo bench -p rainstand-forwarder --bench days`
//!
//! Five stand-in nodes with eight cores each, runs of 5 to 20 ms, 1,000 tickets a second for ten seconds, one in
//! five exclusive; the same scripts, seeds and tickets for both. In turn: one connection a node, no further try, given
//! up after the goal time. The rules are checked on each day of the forwarder.

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

const RATE: u64 = 1_000;
const SECONDS: u64 = 10;
const GOAL: Duration = Duration::from_secs(1);
const USUAL: &str = "cores 8\nhonour after 5ms..20ms\n";

/// Name, and what is added to the scripts of the first nodes.
const DAYS: &[(&str, &[&str])] = &[
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
struct Came {
    honoured: u64,
    dismissed: u64,
    given_up: u64,
    asked: u64,
}

struct Day {
    came: RefCell<Came>,
    times: RefCell<Histogram<u64>>,
}

impl Day {
    fn new() -> Rc<Self> {
        let times = Histogram::new(3).expect("a histogram").into();
        Rc::new(Self {
            came: RefCell::default(),
            times,
        })
    }

    fn told(&self, told: Option<&Reply>, took: Duration) {
        let mut came = self.came.borrow_mut();
        match told {
            Some(Reply::Served(_)) => {
                came.honoured += 1;
                let _ = self.times.borrow_mut().record(took.as_micros() as u64);
            }
            Some(Reply::Rejected { .. }) => came.dismissed += 1,
            _ => came.given_up += 1,
        }
    }

    fn line(&self, name: &str, how: &str) {
        let (came, times) = (self.came.borrow(), self.times.borrow());
        let part = |n: u64| n as f64 * 100.0 / came.asked.max(1) as f64;
        let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{name:<32} {how:<10} honoured {:6.2} %  dismissed {:6.2} %  given up {:6.2} %  p50 {:5.1} ms  p99 {:6.1} ms",
            part(came.honoured),
            part(came.dismissed),
            part(came.given_up),
            ms(0.5),
            ms(0.99)
        );
    }
}

fn nodes(scripts: &[&str], watch: Option<&InvariantRecorder>) -> Vec<TestServer> {
    (0..5)
        .map(|k| {
            let text = format!("{USUAL}{}", scripts.get(k).unwrap_or(&""));
            let script = Script::read(&text).expect("a script");
            let recorder = watch.map(|watch| ServerRecorder {
                recorder: watch.clone(),
                server: k as u32,
            });
            TestServerOptions {
                script,
                recorder,
                seed: k as u64,
                forget_runs: true,
                ..TestServerOptions::default()
            }
            .start()
        })
        .collect()
}

fn ask(n: u64) -> Call<'static> {
    let exclusive = n.is_multiple_of(5);
    let (route, kind) = if exclusive {
        ("register", Kind::Exclusive)
    } else {
        ("check", Kind::Rerunnable)
    };
    Call {
        request_class: route,
        kind,
        body: &[7; 200],
        timeout: GOAL + Duration::from_millis(500),
        ..Call::default()
    }
}

/// Asks on connections of its own, so many tickets as one connection may hold, and goes on after a break.
async fn lane(
    to: Vec<SocketAddr>,
    k: u64,
    lanes: u64,
    day: Rc<Day>,
    watch: Option<InvariantRecorder>,
) {
    let start = tokio::time::Instant::now();
    let all = RATE * SECONDS / lanes;
    for n in 0..all {
        let number = n * lanes + k;
        sleep_until(start + Duration::from_nanos(number * 1_000_000_000 / RATE)).await;
        let (to, day, watch) = (to[number as usize % to.len()], day.clone(), watch.clone());
        spawn_local(async move {
            day.came.borrow_mut().asked += 1;
            let asked = Instant::now();
            let told = timeout(GOAL, async {
                let mut caller = Caller::new(to).await.ok()?;
                if let Some(watch) = &watch {
                    caller = caller.recorded_by(watch, number + 1);
                }
                caller.send(&ask(number)).await.ok()?;
                let told = caller.next_reply().await.ok();
                if told.is_none() {
                    caller.disconnect();
                }
                told
            });
            let told = told.await.ok().flatten();
            day.told(told.as_ref().map(|(_, told)| told), asked.elapsed());
        });
    }
    sleep(GOAL * 2).await;
}

fn configuration(nodes: &[TestServer]) -> rainstand_config::schema::Configuration {
    let members: String = nodes
        .iter()
        .enumerate()
        .map(|(k, node)| format!("member n{k} {{ address: \"{}\" }}\n", node.addr))
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

async fn through_a_forwarder(scripts: &[&str]) -> Rc<Day> {
    let watch = InvariantRecorder::default();
    let nodes = nodes(scripts, Some(&watch));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let to = listener.local_addr().expect("it");
    let context = ForwarderContext::new(configuration(&nodes), "", 1).expect("good");
    spawn_local(run(context.clone(), listener, GOAL, std::future::pending()));
    let day = Day::new();
    lane(vec![to], 0, 1, day.clone(), Some(watch.clone())).await;
    let counts = context.fleet.borrow().counts();
    let now = watch.now();
    let _ = watch
        .checker()
        .check_retry_budget(now, counts.first_attempts, counts.retries, 0.2, 10);
    if let Err(broken) = watch.finish() {
        println!("BROKEN: {broken}");
    }
    nodes.iter().for_each(TestServer::kill);
    day
}

async fn in_turn(scripts: &[&str]) -> Rc<Day> {
    let nodes = nodes(scripts, None);
    let day = Day::new();
    lane(
        nodes.iter().map(|node| node.addr).collect(),
        0,
        1,
        day.clone(),
        None,
    )
    .await;
    nodes.iter().for_each(TestServer::kill);
    day
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let only = std::env::var("DAY").unwrap_or_default();
        for (name, scripts) in DAYS.iter().filter(|(name, _)| name.contains(&only)) {
            through_a_forwarder(scripts).await.line(name, "forwarder");
            in_turn(scripts).await.line(name, "in turn");
        }
    });
}
