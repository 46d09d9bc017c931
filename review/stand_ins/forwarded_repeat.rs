//! Case: a repeat that a forwarder was sent within the window is run again, by another node.

use crate::agent::Ran;
use crate::dispatcher::{Answer, Connection, Dispatcher, Request, Try};
use crate::late_repeat::{short_run, WINDOW_MARGIN};
use crate::node::{Class, Deployment};
use crate::programs::{free_address, Program, Scratch};
use crate::tools::{ms, part, Chance, Record};
use crate::{has_trouble, seed, Verdict};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The window for repeats; the share of tickets whose answer is lost, in percent.
pub const FORWARDED_WINDOW: Duration = Duration::from_millis(19_911);
pub const LOST_ANSWERS: u64 = 5;

pub fn forwarded_repeat(record: &Record) -> io::Result<Verdict> {
    let class = |name, effect, value| Class {
        name,
        aim_s: 2.7,
        deadline_s: 6.6,
        effect,
        window_s: FORWARDED_WINDOW.as_secs_f64(),
        value,
        calls: false,
        skip_worth: 0.0,
    };
    let deployment = Deployment {
        classes: vec![
            class("last-fix", "free", 2.0),
            class("handover", "guarded", 3.0),
        ],
        below: "off",
        call_share: 0.0,
        cores: 2,
        passes_deadline: true,
        hangup_seen: true,
        marks_retry: true,
        nodes: 3,
    };
    let scratch = Scratch::new()?;
    let seed = seed();
    let mut nodes = Vec::new();
    for number in 1..=3 {
        nodes.push(deployment.start_node(
            &format!("n{number}"),
            short_run,
            seed + number,
            &scratch,
            record,
        )?);
    }
    let members: String = nodes
        .iter()
        .zip(1..)
        .map(|(node, number)| format!("  member n{number} {{ address: \"{}\" }}\n", node.listen))
        .collect();
    let config = format!(
        "rain 1\n\n\
         type last-fix {{ repeat: rerunnable; goal: 2.7 s; outer-limit: 6.6 s }}\n\
         type handover {{ repeat: ticketed 19911 ms; goal: 2.7 s; outer-limit: 6.6 s }}\n\
         tenant east {{ share: 50 % }}\n\
         tenant west {{ share: 50 % }}\n\
         pool hall {{\n{members}}}\n\
         route rest {{ to: hall }}\n"
    );
    let path = scratch.0.join("forwarder.rain");
    std::fs::write(&path, config)?;
    let listen = free_address()?;
    let command = format!(
        "exec target/release/rainstand forward --config {} --listen {listen}",
        path.display()
    );
    let mut forwarder = Program::start(&command, &[], &scratch.0.join("forwarder.log"))?;
    sleep(ms(1_000));
    if forwarder.has_ended() {
        return Err(io::Error::other("the forwarder ended at its start"));
    }
    let sending = ms(50_000);
    let tries = dispatch_with_lost_answers(listen, sending, seed, record)?;
    drop(forwarder);
    let mut by_ticket: BTreeMap<&str, Vec<&Try>> = BTreeMap::new();
    for one in &tries {
        by_ticket.entry(&one.ticket).or_default().push(one);
    }
    let ran: Vec<Ran> = nodes.iter().flat_map(|node| node.agent.ran()).collect();
    let (mut repeated, mut broken) = (0, 0);
    for (ticket, mut tries) in by_ticket {
        tries.sort_by_key(|one| one.begun);
        let [first, second] = tries.as_slice() else {
            continue;
        };
        if second.sent + WINDOW_MARGIN > first.begun + FORWARDED_WINDOW {
            continue;
        }
        repeated += 1;
        // Runs that came to their end, each with its own number.
        let results: Vec<&String> = ran
            .iter()
            .filter(|ran| part(&ran.body, "ticket").as_deref() == Some(ticket))
            .filter_map(|ran| ran.result.as_ref())
            .collect();
        if results.len() > 1 {
            broken += 1;
            record.line(&format!(
                "BROKEN {ticket}: tries {:.1} ms apart, window {} ms; results {results:?}; answer to the further try {:?}",
                (second.sent - first.begun).as_secs_f64() * 1e3,
                FORWARDED_WINDOW.as_millis(),
                second.answer.as_ref().map(|(_, answer)| answer)
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
            "forwarded-repeat: {} tries sent, {served} served; {repeated} tickets were sent again within the window, \
             {broken} of them were run twice",
            tries.len()
        ),
    })
}

/// Sends tickets over a few connections. Of some, the connection is reset as the answer arrives; their client tries
/// again, with the same mark, on another connection.
pub fn dispatch_with_lost_answers(
    to: SocketAddr,
    sending: Duration,
    seed: u64,
    record: &Record,
) -> io::Result<Vec<Try>> {
    let mut chance = Chance(seed ^ 0xf0);
    let mut usual = Dispatcher::new(to, "d1".to_owned(), record);
    let mut resets = Vec::new();
    let mut due: Vec<(Instant, String, Instant)> = Vec::new();
    let (started, mut next, mut tickets) = (Instant::now(), Instant::now(), 0);
    while started.elapsed() < sending + ms(3_000) {
        let now = Instant::now();
        if now >= next && started.elapsed() < sending {
            next += ms(chance.between(40, 80));
            tickets += 1;
            let ticket = format!("t{tickets}");
            let request = handing_over(&ticket, ms(6_600), false);
            if has_trouble() && chance.between(1, 100) <= LOST_ANSWERS {
                // A connection of its own, so that no other answer is lost with it.
                let connection = Connection::open(to, "d1-reset", record)?;
                // Sequence numbers start at 1.
                connection.resets.lock().unwrap().push(1);
                connection.send(&request, &mut chance)?;
                due.push((now + ms(chance.between(800, 2_000)), ticket, now));
                resets.push(connection);
            } else {
                usual.send(&request, &mut chance)?;
            }
        }
        let (ready, waiting): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, ..)| *at <= now);
        due = waiting;
        for (_, ticket, first) in ready {
            let left = ms(6_600).saturating_sub(first.elapsed());
            usual.send(&handing_over(&ticket, left, true), &mut chance)?;
        }
        sleep(ms(1));
    }
    let mut tries = usual.tried();
    tries.extend(resets.iter().flat_map(Connection::tried));
    Ok(tries)
}

pub fn handing_over(ticket: &str, patience: Duration, again: bool) -> Request {
    Request {
        ticket: ticket.to_owned(),
        class: "handover",
        tenant: "east",
        nonce: Some(format!("nonce-{ticket}")),
        patience: Some(patience),
        again,
        marked: true,
        body: format!("ticket={ticket};handover=1"),
    }
}
