//! A repeat that reaches a node just before its window ends, while the process stands still.
mod common;
use common::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The window of `payout-post`.
const WINDOW: Duration = Duration::from_millis(22_161);
/// The repeat is sent so long before the end of the window.
const BEFORE_END: Duration = Duration::from_millis(60);
/// The process stands still for so long; the pages name 100 to 310 ms.
const STANDS_STILL: Duration = Duration::from_millis(300);
const ROUNDS: usize = 4;

fn main() {
    run_case(|case| {
        let options = NodeOptions {
            name: "n1".into(),
            listen: free_port(),
            agent: free_port(),
            announce: announce_service(),
            stop_ms: 3_000,
            classes: vec![
                Class { name: "split-preview", effect: "free", aim_s: 3.0, deadline_s: 9.8, window_s: 5.0 },
                Class { name: "payout-post", effect: "guarded", aim_s: 3.0, deadline_s: 7.4, window_s: 22.161 },
            ],
            halt: "pause",
            passes_deadline: true,
        };
        let machine = Machine::start(case, options, Arc::new(|_| ms(240)), None)?;
        machine.ready(ms(10_000))?;
        let mut dispatcher = Client::connect(case, "dispatcher", machine.options.listen)?;
        let warm = dispatcher.send(&Ticket::new("split-preview", "acme", "warm-up"))?;
        if !matches!(dispatcher.answer(warm, ms(3_000)), Some(Answer::Served(_))) {
            return Err("the node does not serve".into());
        }
        // One ticket a second; each comes again just before its window ends.
        let mut tickets = Vec::new();
        let began = Instant::now();
        for round in 1..=ROUNDS {
            sleep_until(began + ms(1_000) * round as u32);
            let ticket = Ticket::new("payout-post", "acme", &format!("payout {round}")).with_nonce(&format!("K-{round}"));
            let ticket = Ticket { patience: Some(7_400), ..ticket };
            let first = dispatcher.send(&ticket)?;
            let sent = Instant::now();
            if !matches!(dispatcher.answer(first, ms(3_000)), Some(Answer::Served(_))) {
                return Err("a first try is not served".into());
            }
            tickets.push((ticket, sent));
        }
        let mut twice = 0;
        for (ticket, sent) in tickets {
            let repeat_at = sent + WINDOW - BEFORE_END;
            sleep_until(repeat_at - ms(60));
            let stopped = Instant::now();
            if case.trouble {
                machine.node.signal(SIGSTOP);
            }
            sleep_until(repeat_at);
            let second = dispatcher.send(&ticket.clone().again())?;
            let apart = sent.elapsed();
            case.record.line(format!("the repeat was written {} ms after the first try", apart.as_millis()));
            if case.trouble {
                sleep_until(stopped + STANDS_STILL);
                machine.node.signal(SIGCONT);
            }
            let answer = dispatcher.answer(second, ms(4_000));
            if apart >= WINDOW {
                case.record.line("too late to count");
                continue;
            }
            let runs = case.record.runs_of(&ticket.body).len();
            case.record.line(format!("{}: {runs} effects, the repeat got {answer:?}", ticket.body));
            twice += usize::from(runs > 1);
        }
        case.record.line(format!("{twice} of {ROUNDS} tickets ran twice on one process within their window"));
        Ok(if twice > 0 { BROKEN } else { HELD })
    });
}
