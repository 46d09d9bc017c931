//! Case: after the link to the agent broke, the reply to one call is delivered as the reply to the next.

use crate::agent::Step;
use crate::dispatcher::{Answer, Dispatcher, Request, Try};
use crate::node::{Class, Deployment};
use crate::programs::Scratch;
use crate::services::db_reply;
use crate::tools::{ms, part, Chance, Record};
use crate::{has_trouble, seed, Verdict};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// How often the link to an agent breaks.
pub const BREAK_EVERY: Duration = Duration::from_millis(3_000);
/// The smallest fleet of the site.
pub const NODES: u32 = 14;

/// Work, a call, work, a call, work.
pub fn two_calls(_: &str, chance: &mut Chance) -> VecDeque<Step> {
    let mut work = || Step::Work(ms(chance.between(60, 110)));
    VecDeque::from([work(), Step::Call(1), work(), Step::Call(2), work()])
}

pub fn delivered_twice(record: &Record) -> io::Result<Verdict> {
    let class = |name, deadline_s, effect, value, skip_worth| Class {
        name,
        aim_s: 3.0,
        deadline_s,
        effect,
        window_s: 22.161,
        value,
        calls: true,
        skip_worth,
    };
    let deployment = Deployment {
        classes: vec![
            class("split-preview", 9.8, "free", 1.0, 0.6),
            class("shift-recalc", 9.8, "free", 1.0, 0.6),
            class("payout-post", 7.4, "guarded", 3.0, 0.0),
        ],
        below: "shared",
        call_share: 8.0,
        cores: 2,
        passes_deadline: true,
        hangup_seen: false,
        marks_retry: true,
        nodes: NODES,
    };
    let scratch = Scratch::new()?;
    let seed = seed();
    let mut nodes = Vec::new();
    for number in 1..=u64::from(NODES) {
        nodes.push(deployment.start_node(
            &format!("n{number}"),
            two_calls,
            seed + number,
            &scratch,
            record,
        )?);
    }
    let sending = ms(80_000);
    let started = Instant::now();
    let mut dispatchers = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let (listen, record) = (node.listen, record.clone());
        dispatchers.push(thread::spawn(move || {
            dispatch_once(number, listen, started, sending, seed, &record)
        }));
    }
    let mut turn = 0;
    while started.elapsed() < sending {
        sleep(BREAK_EVERY / NODES);
        if has_trouble() {
            nodes[turn % nodes.len()].agent.break_link();
        }
        turn += 1;
    }
    let mut tries = Vec::new();
    for dispatcher in dispatchers {
        tries.extend(
            dispatcher
                .join()
                .map_err(|_| io::Error::other("a dispatcher failed"))??,
        );
    }
    let (mut broken, mut runs, mut seen, mut breaks) = (0, 0, 0, 0);
    for node in &nodes {
        breaks += node.agent.state.lock().unwrap().breaks;
        for ran in node.agent.ran() {
            let ticket = part(&ran.body, "ticket").unwrap_or_default();
            runs += 1;
            let foreign = ran.replies.iter().zip(1..).find(|(reply, call)| {
                let expected = db_reply(&format!("ticket={ticket};call={call}"));
                **reply != expected && *reply != "forgone"
            });
            let Some((reply, call)) = foreign else {
                continue;
            };
            broken += 1;
            let answer = tries
                .iter()
                .find(|one: &&Try| one.ticket == ticket)
                .and_then(|one| one.answer.clone());
            seen += u64::from(matches!(&answer, Some((_, Answer::Served(_)))));
            record.line(&format!(
                "BROKEN {ticket} ({}): its call {call} got {reply}; answer to the dispatcher: {:?}",
                ran.trace,
                answer.map(|(_, answer)| answer)
            ));
        }
    }
    let served = tries
        .iter()
        .filter(|one| matches!(&one.answer, Some((_, Answer::Served(_)))))
        .count();
    Ok(Verdict {
        broken,
        told: served > 500,
        text: format!(
            "delivered-twice: {} tickets sent, {runs} runs, {served} served, {breaks} broken links; \
             {broken} runs got the reply of another call, {seen} of them were answered 'served' with it",
            tries.len()
        ),
    })
}

/// Sends each ticket once.
pub fn dispatch_once(
    number: usize,
    listen: SocketAddr,
    started: Instant,
    sending: Duration,
    seed: u64,
    record: &Record,
) -> io::Result<Vec<Try>> {
    let mut chance = Chance(seed ^ (number as u64 + 1) << 32);
    let mut dispatcher = Dispatcher::new(listen, format!("d{number}"), record);
    let mut tickets = 0;
    let mut next = started;
    while started.elapsed() < sending {
        tickets += 1;
        let ticket = format!("t{number}-{tickets}");
        let (class, limit) = match chance.between(1, 100) {
            1..=45 => ("split-preview", 9_800),
            46..=86 => ("shift-recalc", 9_800),
            _ => ("payout-post", 7_400),
        };
        let request = Request {
            ticket: ticket.clone(),
            class,
            tenant: "east",
            nonce: (class == "payout-post").then(|| format!("nonce-{ticket}")),
            patience: Some(ms(limit)),
            again: false,
            marked: true,
            body: format!("ticket={ticket};bill=1"),
        };
        dispatcher.send(&request, &mut chance)?;
        next += ms(chance.between(100, 240));
        sleep(next.saturating_duration_since(Instant::now()));
    }
    sleep(ms(2_500));
    Ok(dispatcher.tried())
}
