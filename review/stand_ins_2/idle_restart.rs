//! A rolling deploy replaces nodes while a forwarder with little traffic has no connection open.
mod common;
mod forwarder;
use common::*;
use std::time::{Duration, Instant};

/// One node of six is replaced at a time, so that the whole deploy takes 24 s; the pages name 23 to 38 s.
const STEP: Duration = Duration::from_millis(4_000);
const NODES: usize = 6;
const TICKETS: usize = 24;

fn main() {
    run_case(|case| {
        let mut machines = forwarder::machines(case, NODES, 240)?;
        let (_process, port) = forwarder::forwarder(case, &forwarder::rules(&machines))?;
        let mut dispatcher = Client::connect(case, "dispatcher", port)?;
        let mut sent = Vec::new();
        let began = Instant::now();
        for k in 1..=TICKETS {
            let body = format!("payout {k}");
            let ticket = Ticket::new("payout-post", "acme", &body).with_nonce(&format!("K-{k}"));
            let ticket = Ticket { patience: Some(7_400), ..ticket };
            let call = dispatcher.send(&ticket)?;
            sent.push((call, ticket, Instant::now()));
        }
        for (call, _, _) in &sent {
            if !matches!(dispatcher.answer(*call, ms(4_000)), Some(Answer::Served(_))) {
                return Err("a first try is not served".into());
            }
        }
        // No further traffic: the forwarder closes its connections to the nodes after 8 s.
        for k in 0..3 {
            sleep_until(began + ms(9_000) + STEP * k as u32);
            if case.trouble {
                let machine = machines.remove(k);
                machine.node.signal(SIGTERM);
                if machine.node.wait(ms(machine.options.stop_ms)) != Some(0) {
                    return Err("a node did not drain".into());
                }
                machine.agent.kill();
                let machine = machine.restart(case)?;
                machine.ready(ms(5_000))?;
                machines.insert(k, machine);
            }
        }
        sleep_until(began + ms(20_800));
        let mut twice = 0;
        for (_, ticket, first) in &sent {
            let call = dispatcher.send(&ticket.clone().again())?;
            let apart = first.elapsed();
            let answer = dispatcher.answer(call, ms(4_000));
            let runs = case.record.runs_of(&ticket.body);
            let by: Vec<String> = runs.iter().map(|run| format!("{}.{}", run.node, run.process)).collect();
            case.record.line(format!(
                "{}: effects at {by:?}, the repeat came after {} ms and got {answer:?}",
                ticket.body,
                apart.as_millis()
            ));
            twice += usize::from(runs.len() > 1 && apart < ms(22_161));
            if twice >= 3 {
                break;
            }
        }
        case.record.line(format!("{twice} tickets ran twice within their window of 22,161 ms"));
        Ok(if twice > 0 { BROKEN } else { HELD })
    });
}
