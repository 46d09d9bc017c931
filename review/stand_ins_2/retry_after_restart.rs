//! A node is killed with its agent while it runs a ticketed ticket, and starts again under its name and address.
mod common;
mod forwarder;
use common::*;
use std::time::{Duration, Instant};

/// The node starts again so long after its end.
const AWAY: Duration = Duration::from_millis(600);
const ROUNDS: usize = 5;

fn main() {
    run_case(|case| {
        let classes = forwarder::mvd_reparti();
        let mut machines = forwarder::machines(case, &classes, 2, 240)?;
        let rules = forwarder::rules(&classes, "nodes") + &forwarder::pool("nodes", &machines);
        let (_process, port) = forwarder::forwarder(case, &rules)?;
        let mut dispatcher = Client::connect(case, "dispatcher", port)?;
        let warm = dispatcher.send(&Ticket::new("split-preview", "acme", "warm-up"))?;
        if !matches!(dispatcher.answer(warm, ms(4_000)), Some(Answer::Served(_))) {
            return Err("the forwarder does not serve".into());
        }
        let mut twice = 0;
        for round in 1..=ROUNDS {
            let body = format!("payout {round}");
            let key = format!("K-{round}");
            let ticket = Ticket::new("payout-post", "acme", &body).with_nonce(&key);
            let ticket = Ticket { patience: Some(7_400), ..ticket };
            let call = dispatcher.send(&ticket)?;
            let begun = wait_until(ms(2_000), || !case.record.runs_of(&body).is_empty());
            if !begun {
                case.record.line("it did not run; the key may be held after the restart before");
                dispatcher.answer(call, ms(8_000));
                continue;
            }
            let run = case.record.runs_of(&body)[0].clone();
            if case.trouble {
                let index = machines.iter().position(|machine| machine.options.name == run.node).ok_or("node")?;
                let machine = machines.remove(index);
                machine.kill();
                let killed = Instant::now();
                sleep_until(killed + AWAY);
                machines.insert(index, machine.restart(case)?);
            }
            let answer = dispatcher.answer(call, ms(8_000));
            std::thread::sleep(ms(500));
            let runs = case.record.runs_of(&body);
            let by: Vec<String> = runs.iter().map(|run| format!("{}.{}", run.node, run.process)).collect();
            case.record.line(format!("round {round}: sent once, effects at {by:?}, answer {answer:?}"));
            twice += usize::from(runs.len() > 1);
            if twice > 0 {
                break;
            }
        }
        case.record.line(format!("{twice} tickets that were sent once ran twice"));
        Ok(if twice > 0 { BROKEN } else { HELD })
    });
}
