//! Case: a repeat that reached the node within the window is run again, as it was read after the window.

use crate::agent::{Ran, Step};
use crate::dispatcher::{Answer, Dispatcher, Request, Try};
use crate::node::{Class, Deployment};
use crate::programs::{Scratch, SIGCONT, SIGSTOP};
use crate::tools::{ms, part, Chance, Record};
use crate::{has_trouble, seed, Verdict};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The window for repeats of the guarded class.
pub const WINDOW: Duration = Duration::from_millis(5_000);
/// A repeat counts if it was written this long before the end of the window: the 50 ms of the sockets and 10 ms more.
pub const WINDOW_MARGIN: Duration = Duration::from_millis(60);
/// How long a client waits in all.
pub const OUTER_LIMIT: Duration = Duration::from_millis(7_700);
/// For how long one of the nodes stands still, and how often.
pub const STANDSTILL: Duration = Duration::from_millis(300);
pub const STANDSTILL_EVERY: Duration = Duration::from_millis(3_000);

pub fn short_run(_: &str, chance: &mut Chance) -> VecDeque<Step> {
    VecDeque::from([Step::Work(ms(chance.between(200, 350)))])
}

pub fn late_repeat(record: &Record) -> io::Result<Verdict> {
    let class = |name, effect, value| Class {
        name,
        aim_s: 2.2,
        deadline_s: OUTER_LIMIT.as_secs_f64(),
        effect,
        window_s: WINDOW.as_secs_f64(),
        value,
        calls: false,
        skip_worth: 0.0,
    };
    let deployment = Deployment {
        classes: vec![
            class("status", "free", 1.0),
            class("handover", "guarded", 5.0),
        ],
        below: "off",
        call_share: 0.0,
        cores: 6,
        passes_deadline: true,
        hangup_seen: true,
        marks_retry: false,
        nodes: 3,
    };
    let scratch = Scratch::new()?;
    let seed = seed();
    let nodes = [
        deployment.start_node("n1", short_run, seed, &scratch, record)?,
        deployment.start_node("n2", short_run, seed + 1, &scratch, record)?,
        deployment.start_node("n3", short_run, seed + 2, &scratch, record)?,
    ];
    // Each node has a dispatcher, which sends first tries for 55 s.
    let sending = ms(55_000);
    let started = Instant::now();
    let mut dispatchers = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let (listen, record) = (node.listen, record.clone());
        dispatchers.push(thread::spawn(move || {
            dispatch_with_repeats(number, listen, started, sending, seed, &record)
        }));
    }
    // One of the three nodes stands still every few seconds.
    while started.elapsed() < sending + WINDOW {
        sleep(STANDSTILL_EVERY.saturating_sub(STANDSTILL));
        if has_trouble() {
            record.line("n1 stands still");
            nodes[0].program.signal(SIGSTOP);
            sleep(STANDSTILL);
            nodes[0].program.signal(SIGCONT);
            record.line("n1 goes on");
        } else {
            sleep(STANDSTILL);
        }
    }
    let mut tries: Vec<Vec<Try>> = Vec::new();
    for dispatcher in dispatchers {
        tries.push(
            dispatcher
                .join()
                .map_err(|_| io::Error::other("a dispatcher failed"))??,
        );
    }
    let (mut broken, mut repeats, mut served_repeats) = (0, 0, 0);
    for (node, tries) in nodes.iter().zip(&tries) {
        let mut by_ticket: BTreeMap<&str, Vec<&Try>> = BTreeMap::new();
        for one in tries {
            by_ticket.entry(&one.ticket).or_default().push(one);
        }
        let ran = node.agent.ran();
        for (ticket, mut tries) in by_ticket {
            tries.sort_by_key(|one| one.begun);
            let runs: Vec<&Ran> = ran
                .iter()
                .filter(|ran| part(&ran.body, "ticket").as_deref() == Some(ticket))
                .collect();
            let (Some(first_run), [first, second]) = (runs.first(), tries.as_slice()) else {
                continue;
            };
            // The window is counted from the arrival of the try that ran.
            let in_window = second.sent + WINDOW_MARGIN <= first.begun + WINDOW;
            if first_run.trace != first.trace || !in_window {
                continue;
            }
            repeats += 1;
            served_repeats += u64::from(matches!(&second.answer, Some((_, Answer::Served(_)))));
            if runs.len() > 1 {
                broken += 1;
                let number =
                    |one: &Try| one.answer.as_ref().map(|(_, answer)| format!("{answer:?}"));
                record.line(&format!(
                    "BROKEN {ticket}: tries written at {:.1} and {:.1} ms ({:.1} ms apart, window {} ms), runs at {}; answers {:?} and {:?}",
                    record.ms(first.begun),
                    record.ms(second.sent),
                    (second.sent - first.begun).as_secs_f64() * 1e3,
                    WINDOW.as_millis(),
                    runs.iter().map(|ran| format!("{:.1}", record.ms(ran.started))).collect::<Vec<_>>().join(" and "),
                    number(first),
                    number(second)
                ));
            }
        }
    }
    Ok(Verdict {
        broken,
        told: repeats > 500,
        text: format!(
            "late-repeat: {repeats} repeats reached their node within the window of a try that ran there, \
             {served_repeats} were served, {broken} tickets were run twice"
        ),
    })
}

/// Sends first tries, and one further try of each ticket near the end of its window. The dispatcher waits for a try for
/// less time than the run takes; its client then tries again by itself.
pub fn dispatch_with_repeats(
    number: usize,
    listen: SocketAddr,
    started: Instant,
    sending: Duration,
    seed: u64,
    record: &Record,
) -> io::Result<Vec<Try>> {
    let mut chance = Chance(seed ^ (number as u64 + 1) << 32);
    let mut dispatchers = [
        Dispatcher::new(listen, format!("d{number}-first"), record),
        Dispatcher::new(listen, format!("d{number}-again"), record),
    ];
    let mut due: Vec<(Instant, String, Instant)> = Vec::new();
    let mut next_first = started;
    let mut tickets = 0;
    let end = started + sending + WINDOW + ms(200);
    while Instant::now() < end {
        let now = Instant::now();
        if now >= next_first && now < started + sending {
            tickets += 1;
            next_first += ms(chance.between(40, 80));
            let ticket = format!("t{number}-{tickets}");
            dispatchers[0].send(&delivering(&ticket, OUTER_LIMIT, false), &mut chance)?;
            let before_end = ms(chance.between(70, 330));
            due.push((now + WINDOW - before_end, ticket, now));
        }
        let (ready, waiting): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, ..)| *at <= now);
        due = waiting;
        for (_, ticket, first) in ready {
            let left = OUTER_LIMIT.saturating_sub(first.elapsed());
            dispatchers[1].send(&delivering(&ticket, left, true), &mut chance)?;
        }
        sleep(ms(1));
    }
    sleep(ms(1_500));
    Ok(dispatchers.iter().flat_map(Dispatcher::tried).collect())
}

pub fn delivering(ticket: &str, patience: Duration, again: bool) -> Request {
    Request {
        ticket: ticket.to_owned(),
        class: "handover",
        tenant: "east",
        nonce: Some(format!("nonce-{ticket}")),
        patience: Some(patience),
        again,
        marked: false,
        body: format!("ticket={ticket};order=1"),
    }
}
