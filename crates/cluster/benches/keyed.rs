//! Keyed tickets a second through three members on loopback, each with a disk of its own: start and result of each agreed
//! on, so many at once; then how long a member with an emptied disk takes to know all of them. Figures stand in
//! `docs/design/copies.md`.

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
use world::{start, world, Running};

/// All that is asked by one run.
struct Run {
    group: Rc<ClusterMember>,
    left: Cell<u64>,
    open: Cell<u64>,
    prefix: u64,
    times: RefCell<Vec<Duration>>,
    done: Sender<Vec<Duration>>,
}

fn next(run: &Rc<Run>) {
    if run.left.get() == 0 {
        if run.open.get() == 0 {
            let _ = run.done.send(run.times.take());
        }
        return;
    }
    run.left.set(run.left.get() - 1);
    run.open.set(run.open.get() + 1);
    let number = run.prefix << 32 | run.left.get();
    ask(run, number, start(), Instant::now());
}

fn ask(run: &Rc<Run>, number: u64, what: Operation, since: Instant) {
    let claim = run
        .group
        .inspect(|member| member.claim(&u128::from(number).to_be_bytes()));
    let command = Command {
        key: number.to_be_bytes().to_vec().into(),
        claim,
        operation: Some(what),
    };
    let again = run.clone();
    let tell = move |told: Option<ClaimOutcome>| match told {
        Some(ClaimOutcome::Granted) => {
            ask(&again, number, Operation::Done(vec![7; 100].into()), since)
        }
        _ => {
            again.times.borrow_mut().push(since.elapsed());
            again.open.set(again.open.get() - 1);
            next(&again);
        }
    };
    assert!(
        run.group
            .request(command, Duration::from_secs(20), Rc::new(tell))
            .is_some(),
        "room for a question"
    );
}

fn play(member: &Running, prefix: u64, count: u64, at_once: u64) -> (f64, Duration, Duration) {
    let begun = Instant::now();
    let times = member.on(move |group, done| {
        let run = Rc::new(Run {
            group,
            left: Cell::new(count),
            open: Cell::new(0),
            prefix,
            times: RefCell::default(),
            done,
        });
        (0..at_once).for_each(|_| next(&run));
    });
    let mut times = times
        .recv_timeout(Duration::from_secs(300))
        .expect("an end");
    times.sort_unstable();
    let rate = count as f64 / begun.elapsed().as_secs_f64();
    (rate, times[times.len() / 2], times[times.len() * 99 / 100])
}

fn main() {
    println!(
        "{:>8} {:>8} {:>12} {:>10} {:>10}",
        "wait", "at once", "tickets/s", "median", "p99"
    );
    for (wait, at_once, count) in [
        (0, 1, 1_000),
        (0, 64, 20_000),
        (1, 64, 20_000),
        (1, 512, 60_000),
    ] {
        let mut w = world(3);
        w.group.commit_wait_ns = wait * 1_000_000;
        w.group.keys = 1_000_000;
        let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
        w.all_led(&[&n1, &n2, &n3]);
        let (rate, median, p99) = play(&n1, 1, count, at_once);
        println!("{wait:>5} ms {at_once:>8} {rate:>12.0} {median:>10.1?} {p99:>10.1?}");
    }
    let mut w = world(3);
    w.group.keys = 1_000_000;
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    let count = 300_000;
    let (rate, ..) = play(&n1, 2, count, 512);
    drop(n3);
    std::fs::remove_dir_all(w.folder(2)).expect("its disk");
    let begun = Instant::now();
    let n3 = w.up("n3");
    let known = |group: &ClusterMember| {
        group.inspect(|member| {
            member
                .shards()
                .map(|view| view.table.len() as u64)
                .sum::<u64>()
        })
    };
    while n3.tell(move |group| known(group)) < count {
        assert!(
            begun.elapsed() < Duration::from_secs(120),
            "it does not catch up"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    println!(
        "{count} results made at {rate:.0}/s; an emptied disk knows them after {:.1?}",
        begun.elapsed()
    );
    drop((n1, n2));
}
