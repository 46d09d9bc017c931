//! Twenty forwarders on sockets before one member that starts anew and counts what comes: with N what its settings
//! allow in a second of its life, at most 2√N + 2 more may be chance. The decisions have their own table
//! (`crates/routing/tests/warm_up.rs`); here the links tell them what they know of the member.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::schema::Configuration;
use rainstand_config::{load, source::Memory};
use rainstand_forwarder::{run, ForwarderContext};
use rainstand_test_servers::caller::{Call, Caller, Reply};
use rainstand_test_servers::server::{test_server, TestServer, TestServerOptions};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

const FORWARDERS: u64 = 20;
/// Callers of each.
const CALLERS: u64 = 6;
/// Calls a second that the member bears when warm; the time it needs; and the part it bears at first.
const RATE: f64 = 200.0;
const WARM_UP: f64 = 3.0;
const START: f64 = 0.05;
/// Only what hangs is caught by this; nothing is timed.
const HANGS: Duration = Duration::from_secs(120);

fn configuration(cold: SocketAddr, others: &[SocketAddr]) -> Configuration {
    let others: String = others
        .iter()
        .enumerate()
        .map(|(k, addr)| format!("member n{k} {{ address: \"{addr}\"; weight: 1000 }}\n"))
        .collect();
    let text = format!(
        "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 20 s }}
tenant acme {{ share: 50 % }}
attempts any {{ tries: 3; budget: 100 %; wait: 1 ms .. 5 ms; proof: none }}
health h {{ keep: 30 %; out-after: 100000 tickets; out-share: 100 % }}
pool p {{ health: h; warm-rate: 200 tickets/s; senders: {FORWARDERS}
member cold {{ address: \"{cold}\"; warm-up: 3 s }}
{others} }}
route r {{ to: p; attempts: any }}"
    );
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    outcome
        .configuration
        .unwrap_or_else(|| panic!("{:?}", outcome.findings))
}

/// Calls that may come in the second that begins at this age, s.
fn allowed(age: f64) -> f64 {
    let sum = |age: f64| {
        let flat = age.min(START * WARM_UP);
        let (from, to) = (START * WARM_UP, age.clamp(START * WARM_UP, WARM_UP));
        START * flat + (to * to - from * from) / (2.0 * WARM_UP)
    };
    RATE * (sum(age + 1.0) - sum(age))
}

/// What one life of the member was sent, held against its rule in each second that begins with a call.
fn holds(life: &str, times: &[Duration]) {
    for (k, first) in times.iter().enumerate() {
        let age = first.as_secs_f64();
        if age + 1.0 > WARM_UP {
            return;
        }
        let came = times[k..]
            .iter()
            .take_while(|at| **at < *first + Duration::from_secs(1))
            .count() as f64;
        let n = allowed(age);
        assert!(
            came <= n + 2.0 * n.sqrt() + 2.0,
            "{life}: {came} calls in the second from the age of {age:.2} s, {n:.1} allowed"
        );
    }
}

fn cold(at: Option<SocketAddr>) -> TestServer {
    TestServerOptions {
        address: at,
        record_times: true,
        ..TestServerOptions::default()
    }
    .start()
}

struct World {
    context: Rc<ForwarderContext>,
    leave: Rc<Notify>,
}

/// A forwarder with its callers, who ask again some milliseconds after each answer, for as long as it is there.
async fn forwarder(configuration: &Configuration, seed: u64, counts: &Rc<Counts>) -> World {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (addr, context) = (
        listener.local_addr().unwrap(),
        ForwarderContext::new(configuration.clone(), "", seed).unwrap(),
    );
    let leave = Rc::new(Notify::new());
    let left = leave.clone();
    spawn_local(run(
        context.clone(),
        listener,
        Duration::from_secs(5),
        async move { left.notified().await },
    ));
    for k in 0..CALLERS {
        let counts = counts.clone();
        spawn_local(async move {
            let Ok(mut caller) = Caller::new(addr).await else {
                return;
            };
            while !caller.got_shutdown_notice {
                let Ok(asked) = caller.send(&Call::default()).await else {
                    return;
                };
                let Ok((seq, told)) = caller.next_reply().await else {
                    return;
                };
                assert_eq!(seq, asked);
                match told {
                    Reply::Served(_) => counts.honoured.set(counts.honoured.get() + 1),
                    Reply::Rejected { retry_after, .. } => {
                        assert!(
                            !retry_after.is_zero(),
                            "dismissed without a time to come back"
                        );
                        counts.dismissed.set(counts.dismissed.get() + 1);
                    }
                    other => assert_eq!(
                        other,
                        Reply::Failed,
                        "a broken connection is all that may be"
                    ),
                }
                sleep(Duration::from_millis(60 + 7 * k)).await;
            }
        });
    }
    World { context, leave }
}

#[derive(Default)]
struct Counts {
    honoured: Cell<u64>,
    dismissed: Cell<u64>,
}

/// The member starts, warms up, dies and is there again at once; half of the forwarders start anew in its second life.
fn play(others: &[SocketAddr]) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let test = async {
        let first = cold(None);
        let made = configuration(first.addr, others);
        let counts = Rc::new(Counts::default());
        let mut all = Vec::new();
        for seed in 1..=FORWARDERS {
            all.push(forwarder(&made, seed, &counts).await);
        }
        sleep(Duration::from_millis(5_700)).await;
        first.kill();
        // Its address is free once it is gone.
        while std::net::TcpStream::connect(first.addr).is_ok() {
            sleep(Duration::from_millis(1)).await;
        }
        let second = cold(Some(first.addr));
        sleep(Duration::from_millis(1_000)).await;
        for (seed, one) in (FORWARDERS + 1..).zip(&mut all[..FORWARDERS as usize / 2]) {
            one.leave.notify_one();
            *one = forwarder(&made, seed, &counts).await;
        }
        // A version that changes nothing makes no member younger or older.
        for one in &all {
            one.context.install_configuration(made.clone()).unwrap();
        }
        sleep(Duration::from_millis(2_000)).await;
        let (first, second) = (
            first.observations().arrival_times.clone(),
            second.observations().arrival_times.clone(),
        );
        holds("first life", &first);
        holds("second life", &second);
        // It does get something, or nothing was shown; how much of what it may is the decisions' table to tell.
        assert!(
            !first.is_empty() && second.len() > 4,
            "{} and {}",
            first.len(),
            second.len()
        );
        assert!(counts.honoured.get() > 0 && counts.dismissed.get() > 0);
        println!(
            "{} and {} calls, {} honoured, {} dismissed",
            first.len(),
            second.len(),
            counts.honoured.get(),
            counts.dismissed.get()
        );
    };
    let done =
        LocalSet::new().block_on(&runtime, async { tokio::time::timeout(HANGS, test).await });
    done.expect("a test that ends");
}

#[test]
fn twenty_forwarders_and_the_others_full() {
    let others: Vec<TestServer> = (0..2).map(|_| test_server("dismiss pause 300ms")).collect();
    play(&others.iter().map(|node| node.addr).collect::<Vec<_>>());
}

#[test]
fn twenty_forwarders_and_the_others_out() {
    // Held, and never listened on: who connects is refused.
    let held: Vec<_> = (0..2).map(|_| TcpSocket::new_v4().unwrap()).collect();
    held.iter()
        .for_each(|one| one.bind("127.0.0.1:0".parse().unwrap()).unwrap());
    let others: Vec<SocketAddr> = held.iter().map(|one| one.local_addr().unwrap()).collect();
    play(&others);
}
