//! What the cases with forwarders share: classes of the sites, machines and a forwarder before them.
#![allow(dead_code)]
use crate::common::*;
use std::sync::Arc;

/// The classes of mvd-reparti that the cases use.
pub fn mvd_reparti() -> Vec<Class> {
    vec![
        Class { name: "split-preview", effect: "free", aim_s: 3.0, deadline_s: 9.8, window_s: 22.161 },
        Class { name: "payout-post", effect: "guarded", aim_s: 3.0, deadline_s: 7.4, window_s: 22.161 },
    ]
}

/// The classes of itajai-exchange.
pub fn itajai_exchange() -> Vec<Class> {
    vec![
        Class { name: "trail", effect: "free", aim_s: 2.7, deadline_s: 8.8, window_s: 19.911 },
        Class { name: "last-fix", effect: "free", aim_s: 1.3, deadline_s: 3.3, window_s: 19.911 },
        Class { name: "handover", effect: "guarded", aim_s: 2.7, deadline_s: 6.6, window_s: 19.911 },
    ]
}

/// The classes of oslo-konfig.
pub fn oslo_konfig() -> Vec<Class> {
    vec![
        Class { name: "sjekk-konfig", effect: "free", aim_s: 3.1, deadline_s: 7.8, window_s: 5.0 },
        Class { name: "registrer-dekl", effect: "single_shot", aim_s: 2.3, deadline_s: 6.2, window_s: 5.0 },
    ]
}

/// Blocks of types, tenants and attempts, and a route for each type to a pool, which is not written here.
pub fn rules(classes: &[Class], pool: &str) -> String {
    let mut text = "rain 1\n\n".to_owned();
    for class in classes {
        let (name, aim, limit) = (class.name, class.aim_s, class.deadline_s);
        let repeat = match class.effect {
            "free" => "rerunnable".to_owned(),
            "guarded" => format!("ticketed {} ms", (class.window_s * 1e3).round()),
            _ => "exclusive".to_owned(),
        };
        text += &format!("type {name} {{\n  repeat: {repeat}\n  goal: {aim} s\n  outer-limit: {limit} s\n}}\n\n");
        let (proof, tries, wait) = match class.effect {
            "free" => ("none", 3, "10 ms .. 100 ms"),
            "guarded" => ("mark", 5, "300 ms .. 600 ms"),
            _ => ("not-run", 3, "10 ms .. 100 ms"),
        };
        text += &format!(
            "attempts of-{name} {{\n  tries: {tries}\n  wait: {wait}\n  proof: {proof}\n}}\n\n\
             route {name} {{\n  match {{\n    type: {name}\n  }}\n  to: {pool}\n  attempts: of-{name}\n}}\n\n"
        );
    }
    text + "tenant acme {\n  share: 60 %\n}\n\ntenant globex {\n  share: 40 %\n}\n\n"
}

/// A pool of machines that know their own keys only.
pub fn pool(name: &str, machines: &[Machine]) -> String {
    let members: String = machines
        .iter()
        .map(|machine| {
            let options = &machine.options;
            format!("  member {} {{ address: \"127.0.0.1:{}\" }}\n", options.name, options.listen)
        })
        .collect();
    format!("pool {name} {{\n  keys: own\n{members}}}\n\n")
}

pub fn machines(case: &Case, classes: &[Class], count: usize, run_ms: u64) -> Result<Vec<Machine>, String> {
    let announce = announce_service();
    let machines: Result<Vec<Machine>, String> = (1..=count)
        .map(|k| {
            let options = NodeOptions {
                name: format!("n{k}"),
                listen: free_port(),
                agent: free_port(),
                announce,
                stop_ms: 3_000,
                classes: classes.to_vec(),
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
