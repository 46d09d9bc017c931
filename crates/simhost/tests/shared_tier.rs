//! When a node makes its first call to a downstream tier that all nodes share: immediately on a warm machine, where it
//! has no predecessor, and on a cold machine only when its age leaves budget besides its predecessor's calls.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Stdio};

/// Time between two reminders, in seconds.
const TICK_S: f64 = 0.02;

fn conversation(is_cold: bool, ticks: usize) -> String {
    let config: Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
    let mut facts = config["settings"].clone();
    facts["familyInfo"]["below"] = "shared".into();
    facts["familyInfo"]["callShare"] = 0.3.into();
    facts["familyInfo"]["cold"] = is_cold.into();
    let gauge = json!({"core_use": 0.1, "on_cores": 1.0, "heap_share": 0.1, "links": 2.0});
    let reminder = json!({"msg": "reminder", "nodeId": "n1", "gauge": gauge, "handle": 0});
    let ask = json!({"msg": "ask", "nodeId": "n1", "req": 1, "type": "register", "billing": "acme", "layS": 0.01,
        "patienceLeftS": 3.5, "prior": 0, "sizeHintS": 0.2, "heldKb": 1.0, "againByClient": false});
    let mut batches = vec![
        vec![json!({"msg": "born", "nodeId": "n1", "entropy": 17, "facts": facts})],
        vec![ask, reminder.clone()],
        vec![json!({"msg": "stalledOnCall", "nodeId": "n1", "req": 1})],
    ];
    batches.extend((0..ticks).map(|_| vec![reminder.clone()]));
    let mut input = String::new();
    for (index, batch) in batches.iter().enumerate() {
        let clock = json!({"msg": "clock", "atTimeS": 1.0 + index as f64 * TICK_S});
        input += &format!("{clock}\n");
        for message in batch {
            input += &format!("{message}\n");
        }
        input += "{\"msg\":\"go\"}\n";
    }
    input
}

/// The index of the batch whose reply contains the first call.
fn first_call(is_cold: bool) -> Option<usize> {
    let input = conversation(is_cold, 100);
    let mut child = Command::new(env!("CARGO_BIN_EXE_rainstand-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let writer = std::thread::spawn(move || stdin.write_all(input.as_bytes()).unwrap());
    let ended = child.wait_with_output().unwrap();
    writer.join().unwrap();
    assert!(ended.status.success());
    let text = String::from_utf8(ended.stdout).unwrap();
    let replies = text.split("{\"msg\":\"done\"}\n");
    replies
        .map(|reply| reply.contains("\"msg\":\"call\""))
        .position(|has_call| has_call)
}

#[test]
fn the_first_node_on_a_warm_machine_calls_without_delay() {
    // Batches: the node starts, a request arrives, its run needs the call.
    assert_eq!(first_call(false), Some(2));
}

#[test]
fn a_node_on_a_cold_machine_waits_for_its_budget() {
    let batch = first_call(true);
    assert!(batch > Some(3), "{batch:?}");
}
