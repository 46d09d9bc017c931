//! A repeat reaches a group of nodes just before its window ends, and the node that leads its shard is killed.
mod common;
use common::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The window of `payout-post`.
const WINDOW: Duration = Duration::from_millis(22_161);
/// The repeats are sent so long before the end of the window.
const BEFORE_END: Duration = Duration::from_millis(60);
const RUN_MS: u64 = 170;
const TICKETS: usize = 5;

fn main() {
    run_case(|case| {
        let peers: Vec<u16> = (0..3).map(|_| free_port()).collect();
        let members: String = (1..=3)
            .map(|k| {
                let folder = case.temp.join(format!("disk-{k}"));
                std::fs::create_dir_all(&folder).unwrap();
                format!(
                    "  member n{k} {{ site: s{k}; address: \"127.0.0.1:{}\"; folder: \"{}\" }}\n",
                    peers[k - 1],
                    folder.display()
                )
            })
            .collect();
        let rules = case.temp.join("group.rain");
        let text = format!("rain 1\n\ngroup main {{\n  shards: 1\n  copies: 3\n{members}}}\n");
        std::fs::write(&rules, text).map_err(|error| error.to_string())?;
        let compiled = case.temp.join("group.txtpb");
        let line = format!("exec target/release/rainstand config build {} --out {}", rules.display(), compiled.display());
        let (code, text) = command(case, &line);
        if code != 0 {
            return Err(text);
        }
        let announce = announce_service();
        let machines: Result<Vec<Machine>, String> = (1..=3)
            .map(|k| {
                let options = NodeOptions {
                    name: format!("n{k}"),
                    listen: free_port(),
                    agent: free_port(),
                    announce,
                    stop_ms: 3_000,
                    classes: vec![
                        Class { name: "split-preview", effect: "free", aim_s: 3.0, deadline_s: 9.8, window_s: 5.0 },
                        Class { name: "payout-post", effect: "guarded", aim_s: 3.0, deadline_s: 7.4, window_s: 22.161 },
                    ],
                    halt: "pause",
                    passes_deadline: true,
                };
                Machine::start(case, options, Arc::new(|_| ms(RUN_MS)), Some(compiled.display().to_string()))
            })
            .collect();
        let machines = machines?;
        machines.iter().try_for_each(|machine| machine.ready(ms(10_000)))?;
        let leads = |k: usize| {
            let line = format!("exec target/release/rainstand replica status --at 127.0.0.1:{}", peers[k]);
            let (code, text) = command(case, &line);
            (code, text)
        };
        let leader = || (0..3).find(|k| leads(*k).1.contains(" leads 1,"));
        if !wait_until(ms(15_000), || leads(0).0 == 0 && leader().is_some()) {
            return Err(format!("the group has no leader\n{}", leads(0).1));
        }
        let first_leader = leader().ok_or("no leader")?;
        let at = (first_leader + 1) % 3;
        case.record.line(format!("n{} leads, the tickets go to n{}", first_leader + 1, at + 1));
        let mut dispatcher = Client::connect(case, "dispatcher", machines[at].options.listen)?;
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
        let began = sent[0].2;
        sleep_until(began + WINDOW - ms(2_000));
        let leading = leader().ok_or("no leader")?;
        if leading == at {
            return Err("the leader changed".into());
        }
        sleep_until(began + WINDOW - BEFORE_END - ms(20));
        if case.trouble {
            machines[leading].kill();
        }
        sleep_until(began + WINDOW - BEFORE_END);
        let mut repeats = Vec::new();
        for (_, ticket, first) in &sent {
            repeats.push((dispatcher.send(&ticket.clone().again())?, ticket.clone(), first.elapsed()));
        }
        let mut twice = 0;
        for (call, ticket, apart) in repeats {
            let answer = dispatcher.answer(call, ms(8_000));
            let runs = case.record.runs_of(&ticket.body);
            let by: Vec<String> = runs.iter().map(|run| run.node.clone()).collect();
            case.record.line(format!(
                "{}: the repeat came {} ms after the first try and got {answer:?}; effects at {by:?}",
                ticket.body,
                apart.as_millis()
            ));
            twice += usize::from(runs.len() > 1 && apart < WINDOW);
        }
        case.record.line(format!("{twice} tickets ran twice within their window of {} ms", WINDOW.as_millis()));
        Ok(if twice > 0 { BROKEN } else { HELD })
    });
}
