//! Twenty forwarders together keep to the warm-up limit of a member that restarts: where its settings allow N calls in
//! a second, it may get at most 2√N + 2 more, by chance. `crates/routing/tests/warm_up.rs` tests the decisions alone;
//! here they learn about the member from the connections to it.

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
/// Callers of each forwarder.
const CALLERS_PER_FORWARDER: u64 = 6;
/// Calls per second that the warm member can take.
const WARM_RATE: f64 = 200.0;
/// Time until the member is warm.
const WARM_UP_SECONDS: f64 = 3.0;
/// Fraction of the warm rate that the member can take at first.
const INITIAL_FRACTION: f64 = 0.05;
/// Time limit of a test; only catches hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

fn configuration(cold: SocketAddr, others: &[SocketAddr]) -> Configuration {
    let others: String = others
        .iter()
        .enumerate()
        .map(|(index, addr)| format!("member n{index} {{ address: \"{addr}\"; weight: 1000 }}\n"))
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

/// Calls that the member may get in the second that begins `age` seconds after its start.
fn allowed_calls(age: f64) -> f64 {
    // Integral of the allowed fraction of the warm rate, which is constant at first and then grows linearly.
    let integral = |age: f64| {
        let constant = age.min(INITIAL_FRACTION * WARM_UP_SECONDS);
        let (from, to) = (
            INITIAL_FRACTION * WARM_UP_SECONDS,
            age.clamp(INITIAL_FRACTION * WARM_UP_SECONDS, WARM_UP_SECONDS),
        );
        INITIAL_FRACTION * constant + (to * to - from * from) / (2.0 * WARM_UP_SECONDS)
    };
    WARM_RATE * (integral(age + 1.0) - integral(age))
}

/// Checks the calls of one incarnation of the member against the limit, in each second that begins with a call.
fn assert_warm_up_limit_holds(incarnation: &str, arrival_times: &[Duration]) {
    for (index, first) in arrival_times.iter().enumerate() {
        let age = first.as_secs_f64();
        if age + 1.0 > WARM_UP_SECONDS {
            return;
        }
        let calls = arrival_times[index..]
            .iter()
            .take_while(|time| **time < *first + Duration::from_secs(1))
            .count() as f64;
        let allowed = allowed_calls(age);
        assert!(
            calls <= allowed + 2.0 * allowed.sqrt() + 2.0,
            "{incarnation}: {calls} calls in the second from the age of {age:.2} s, {allowed:.1} allowed"
        );
    }
}

fn start_cold_member(address: Option<SocketAddr>) -> TestServer {
    TestServerOptions {
        address,
        record_arrival_times: true,
        ..TestServerOptions::default()
    }
    .start()
}

struct Forwarder {
    context: Rc<ForwarderContext>,
    shutdown: Rc<Notify>,
}

/// Starts a forwarder and its callers, which send a request some milliseconds after each reply until it shuts down.
async fn start_forwarder(
    configuration: &Configuration,
    seed: u64,
    counts: &Rc<Counts>,
) -> Forwarder {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, context) = (
        listener.local_addr().unwrap(),
        ForwarderContext::new(configuration.clone(), "", seed).unwrap(),
    );
    let shutdown = Rc::new(Notify::new());
    let shutdown_signal = shutdown.clone();
    spawn_local(run(
        context.clone(),
        listener,
        Duration::from_secs(5),
        async move { shutdown_signal.notified().await },
    ));
    for caller_index in 0..CALLERS_PER_FORWARDER {
        let counts = counts.clone();
        spawn_local(async move {
            let Ok(mut caller) = Caller::new(address).await else {
                return;
            };
            while !caller.got_shutdown_notice {
                let Ok(sent) = caller.send(&Call::default()).await else {
                    return;
                };
                let Ok((sequence_number, reply)) = caller.next_reply().await else {
                    return;
                };
                assert_eq!(sequence_number, sent);
                match reply {
                    Reply::Served(_) => counts.served.set(counts.served.get() + 1),
                    Reply::Rejected { retry_after, .. } => {
                        assert!(!retry_after.is_zero(), "rejected without a retry-after");
                        counts.rejected.set(counts.rejected.get() + 1);
                    }
                    other => assert_eq!(
                        other,
                        Reply::Failed,
                        "only a broken connection may fail a request"
                    ),
                }
                sleep(Duration::from_millis(60 + 7 * caller_index)).await;
            }
        });
    }
    Forwarder { context, shutdown }
}

#[derive(Default)]
struct Counts {
    served: Cell<u64>,
    rejected: Cell<u64>,
}

/// The member starts, warms up, is killed and restarts immediately; half of the forwarders restart during its second
/// incarnation.
fn run_member_restart(others: &[SocketAddr]) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let test = async {
        let first = start_cold_member(None);
        let configuration = configuration(first.addr, others);
        let counts = Rc::new(Counts::default());
        let mut forwarders = Vec::new();
        for seed in 1..=FORWARDERS {
            forwarders.push(start_forwarder(&configuration, seed, &counts).await);
        }
        sleep(Duration::from_millis(5_700)).await;
        first.kill();
        // The address is free once the server has stopped.
        while std::net::TcpStream::connect(first.addr).is_ok() {
            sleep(Duration::from_millis(1)).await;
        }
        let second = start_cold_member(Some(first.addr));
        sleep(Duration::from_millis(1_000)).await;
        for (seed, forwarder) in (FORWARDERS + 1..).zip(&mut forwarders[..FORWARDERS as usize / 2])
        {
            forwarder.shutdown.notify_one();
            *forwarder = start_forwarder(&configuration, seed, &counts).await;
        }
        // A version without changes must not affect the age of a member.
        for forwarder in &forwarders {
            forwarder
                .context
                .install_configuration(configuration.clone())
                .unwrap();
        }
        sleep(Duration::from_millis(2_000)).await;
        let (first, second) = (
            first.observations().arrival_times.clone(),
            second.observations().arrival_times.clone(),
        );
        assert_warm_up_limit_holds("first incarnation", &first);
        assert_warm_up_limit_holds("second incarnation", &second);
        // Without calls the limit would hold trivially. How much of the limit is used is tested in `warm_up.rs`.
        assert!(
            !first.is_empty() && second.len() > 4,
            "{} and {}",
            first.len(),
            second.len()
        );
        assert!(counts.served.get() > 0 && counts.rejected.get() > 0);
        println!(
            "{} and {} calls, {} served, {} rejected",
            first.len(),
            second.len(),
            counts.served.get(),
            counts.rejected.get()
        );
    };
    let result = LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test).await
    });
    result.expect("the test timed out");
}

#[test]
fn warm_up_limit_holds_across_forwarders_while_other_members_reject() {
    let others: Vec<TestServer> = (0..2).map(|_| test_server("dismiss pause 300ms")).collect();
    run_member_restart(&others.iter().map(|node| node.addr).collect::<Vec<_>>());
}

#[test]
fn warm_up_limit_holds_across_forwarders_while_other_members_are_unreachable() {
    // Bound but not listening: connections are refused.
    let sockets: Vec<_> = (0..2).map(|_| TcpSocket::new_v4().unwrap()).collect();
    sockets
        .iter()
        .for_each(|socket| socket.bind("127.0.0.1:0".parse().unwrap()).unwrap());
    let others: Vec<SocketAddr> = sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect();
    run_member_restart(&others);
}
