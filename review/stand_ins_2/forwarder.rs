//! What the cases with forwarders share: two machines behind one forwarder. Included by them.
use crate::common::*;
use std::sync::Arc;

pub fn classes() -> Vec<Class> {
    vec![
        Class { name: "split-preview", effect: "free", aim_s: 3.0, deadline_s: 9.8, window_s: 5.0 },
        Class { name: "payout-post", effect: "guarded", aim_s: 3.0, deadline_s: 7.4, window_s: 22.161 },
    ]
}

pub fn rules(machines: &[Machine]) -> String {
    let members: String = machines
        .iter()
        .map(|machine| {
            let options = &machine.options;
            format!("  member {} {{ address: \"127.0.0.1:{}\" }}\n", options.name, options.listen)
        })
        .collect();
    format!(
        "rain 1

type split-preview {{
  repeat: rerunnable
  goal: 3 s
  outer-limit: 9.8 s
}}

type payout-post {{
  repeat: ticketed 22161 ms
  goal: 3 s
  outer-limit: 7.4 s
  benefit: 3
}}

tenant acme {{
  share: 60 %
}}

tenant globex {{
  share: 40 %
}}

attempts payouts {{
  tries: 5
  wait: 300 ms .. 600 ms
  proof: mark
}}

attempts previews {{
  tries: 3
  proof: none
}}

pool nodes {{
  keys: own
{members}}}

route payouts {{
  match {{
    type: payout-post
  }}
  to: nodes
  attempts: payouts
}}

route rest {{
  to: nodes
  attempts: previews
}}
"
    )
}

pub fn machines(case: &Case, count: usize, run_ms: u64) -> Result<Vec<Machine>, String> {
    let announce = announce_service();
    let machines: Result<Vec<Machine>, String> = (1..=count)
        .map(|k| {
            let options = NodeOptions {
                name: format!("n{k}"),
                listen: free_port(),
                agent: free_port(),
                announce,
                stop_ms: 3_000,
                classes: classes(),
                halt: "pause",
                passes_deadline: true,
            };
            Machine::start(case, options, Arc::new(move |_| ms(run_ms)), None)
        })
        .collect();
    let machines = machines?;
    machines.iter().try_for_each(|machine| machine.ready(ms(10_000)))?;
    Ok(machines)
}

pub fn forwarder(case: &Case, rules: &str) -> Result<(Process, u16), String> {
    let path = case.temp.join("main.rain");
    std::fs::write(&path, rules).map_err(|error| error.to_string())?;
    let port = free_port();
    let line = format!(
        "exec target/release/rainstand forward --config {} --listen 127.0.0.1:{port} --seed 7",
        path.display()
    );
    let process = Process::start(case, "forwarder", &line, &[])?;
    if !wait_until(ms(10_000), || answers_probe(port)) {
        return Err("the forwarder is not ready".into());
    }
    Ok((process, port))
}
