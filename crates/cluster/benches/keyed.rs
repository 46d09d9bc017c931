//! Measures keyed requests per second through three members on loopback, each with its own disk, at several numbers of
//! concurrent requests. The start and the result of each request are committed. Then measures how long a member with an
//! emptied disk takes to receive all results. The figures are recorded in `docs/design/copies.md`.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

#[path = "../tests/world/mod.rs"]
mod world;

use rainstand_cluster::ClusterMember;
use rainstand_replicated_state::idempotency::{ClaimOutcome, Command, Operation};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};
use world::{start_operation, test_cluster, RunningMember};

/// The state of one run.
struct Run {
    group: Rc<ClusterMember>,
    unsent: Cell<u64>,
    in_flight: Cell<u64>,
    prefix: u64,
    times: RefCell<Vec<Duration>>,
    finished: Sender<Vec<Duration>>,
}

fn start_next(run: &Rc<Run>) {
    if run.unsent.get() == 0 {
        if run.in_flight.get() == 0 {
            let _ = run.finished.send(run.times.take());
        }
        return;
    }
    run.unsent.set(run.unsent.get() - 1);
    run.in_flight.set(run.in_flight.get() + 1);
    let number = run.prefix << 32 | run.unsent.get();
    execute(run, number, start_operation(), Instant::now());
}

fn execute(run: &Rc<Run>, number: u64, operation: Operation, sent_at: Instant) {
    let claim = run
        .group
        .inspect(|member| member.claim(&u128::from(number).to_be_bytes()));
    let command = Command {
        key: number.to_be_bytes().to_vec().into(),
        claim,
        operation: Some(operation),
    };
    let reply_run = run.clone();
    let reply = move |outcome: Option<ClaimOutcome>| match outcome {
        Some(ClaimOutcome::Granted) => execute(
            &reply_run,
            number,
            Operation::Done(vec![7; 100].into()),
            sent_at,
        ),
        _ => {
            reply_run.times.borrow_mut().push(sent_at.elapsed());
            reply_run.in_flight.set(reply_run.in_flight.get() - 1);
            start_next(&reply_run);
        }
    };
    assert!(
        run.group
            .request(command, Duration::from_secs(20), Rc::new(reply))
            .is_some(),
        "the member rejected the request"
    );
}

/// Returns requests per second, and the median and 99th percentile of the times from start to recorded result.
fn measure(
    member: &RunningMember,
    prefix: u64,
    count: u64,
    concurrency: u64,
) -> (f64, Duration, Duration) {
    let started_at = Instant::now();
    let times = member.run_job(move |group, finished| {
        let run = Rc::new(Run {
            group,
            unsent: Cell::new(count),
            in_flight: Cell::new(0),
            prefix,
            times: RefCell::default(),
            finished,
        });
        (0..concurrency).for_each(|_| start_next(&run));
    });
    let mut times = times
        .recv_timeout(Duration::from_secs(300))
        .expect("the run did not end");
    times.sort_unstable();
    let rate = count as f64 / started_at.elapsed().as_secs_f64();
    (rate, times[times.len() / 2], times[times.len() * 99 / 100])
}

fn main() {
    println!(
        "{:>8} {:>8} {:>12} {:>10} {:>10}",
        "wait", "at once", "tickets/s", "median", "p99"
    );
    for (commit_wait_ms, concurrency, count) in [
        (0, 1, 1_000),
        (0, 64, 20_000),
        (1, 64, 20_000),
        (1, 512, 60_000),
    ] {
        let mut cluster = test_cluster(3);
        cluster.group.commit_wait_ns = commit_wait_ms * 1_000_000;
        cluster.group.keys = 1_000_000;
        let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| cluster.start_member(name));
        cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
        let (rate, median, p99) = measure(&n1, 1, count, concurrency);
        println!(
            "{commit_wait_ms:>5} ms {concurrency:>8} {rate:>12.0} {median:>10.1?} {p99:>10.1?}"
        );
    }
    let mut cluster = test_cluster(3);
    cluster.group.keys = 1_000_000;
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| cluster.start_member(name));
    cluster.wait_until_all_shards_led(&[&n1, &n2, &n3]);
    let count = 300_000;
    let (rate, ..) = measure(&n1, 2, count, 512);
    drop(n3);
    std::fs::remove_dir_all(cluster.folder(2)).expect("cannot remove the folder of n3");
    let started_at = Instant::now();
    let n3 = cluster.start_member("n3");
    let key_count = |group: &ClusterMember| {
        group.inspect(|member| {
            member
                .shards()
                .map(|view| view.table.len() as u64)
                .sum::<u64>()
        })
    };
    while n3.inspect(move |group| key_count(group)) < count {
        assert!(
            started_at.elapsed() < Duration::from_secs(120),
            "n3 did not catch up"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    println!(
        "{count} results recorded at {rate:.0}/s; a member with an emptied disk had them after {:.1?}",
        started_at.elapsed()
    );
    drop((n1, n2));
}
