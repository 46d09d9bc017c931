//! A data centre is lost and comes back cold while a forwarder with little traffic has no connection open.
mod common;
mod forwarder;
use common::*;
use std::time::{Duration, Instant};

/// The forwarder has closed its connections by then: it keeps an unused one for 8 s.
const LOST_AT: Duration = Duration::from_millis(9_300);
/// The data centre is lost for so long; the page names 11 to 24 s.
const LOST_FOR: Duration = Duration::from_millis(11_000);
const REPEATS_AT: Duration = Duration::from_millis(20_900);
const WINDOW: Duration = Duration::from_millis(22_161);
/// Two in each of the two data centres.
const NODES: usize = 4;
const TICKETS: usize = 12;

fn main() {
    run_case(|case| {
        let classes = forwarder::mvd_reparti();
        let mut machines = forwarder::machines(case, &classes, NODES, 240)?;
        let rules = forwarder::rules(&classes, "nodes") + &forwarder::pool("nodes", &machines);
        let (_process, port) = forwarder::forwarder(case, &rules)?;
        let mut dispatcher = Client::connect(case, "dispatcher", port)?;
        let began = Instant::now();
        let mut sent = Vec::new();
        for k in 1..=TICKETS {
            let ticket = Ticket::new("payout-post", "acme", &format!("payout {k}")).with_nonce(&format!("K-{k}"));
            let ticket = Ticket { patience: Some(7_400), ..ticket };
            sent.push((dispatcher.send(&ticket)?, ticket, Instant::now()));
        }
        for (call, _, _) in &sent {
            if !matches!(dispatcher.answer(*call, ms(4_000)), Some(Answer::Served(_))) {
                return Err("a first try is not served".into());
            }
        }
        // No traffic from here on.
        sleep_until(began + LOST_AT);
        if case.trouble {
            let lost: Vec<Machine> = machines.drain(..NODES / 2).collect();
            lost.iter().for_each(Machine::kill);
            sleep_until(began + LOST_AT + LOST_FOR);
            for machine in lost {
                machines.push(machine.restart(case)?);
            }
            machines.iter().try_for_each(|machine| machine.ready(ms(5_000)))?;
        }
        sleep_until(began + REPEATS_AT);
        let mut repeats = Vec::new();
        for (_, ticket, first) in &sent {
            repeats.push((dispatcher.send(&ticket.clone().again())?, ticket, first.elapsed()));
        }
        let mut twice = 0;
        for (call, ticket, apart) in repeats {
            let answer = dispatcher.answer(call, ms(6_000));
            let runs = case.record.runs_of(&ticket.body);
            let by: Vec<String> = runs.iter().map(|run| format!("{}.{}", run.node, run.process)).collect();
            case.record.line(format!(
                "{}: effects at {by:?}, the repeat came after {} ms and got {answer:?}",
                ticket.body,
                apart.as_millis()
            ));
            twice += usize::from(runs.len() > 1 && apart < WINDOW);
        }
        case.record.line(format!("{twice} of {TICKETS} tickets ran twice within their window of 22,161 ms"));
        Ok(if twice > 0 { BROKEN } else { HELD })
    });
}
