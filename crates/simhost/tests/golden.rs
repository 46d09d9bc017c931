//! Compares the replies to a sequence of events with a recorded file, line by line.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_golden_files::assert_text;
use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Stdio};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/conversation.txt");

fn facts() -> Value {
    let config: Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
    config["settings"].clone()
}

fn ask(req: u64, kind: &str, prior: u64) -> Value {
    json!({"msg": "ask", "nodeId": "n1", "req": req, "type": kind, "billing": "acme", "layS": 0.01,
        "patienceLeftS": 2.5, "prior": prior, "sizeHintS": 0.2, "heldKb": 1.0, "againByClient": false})
}

/// Batches of events; each ends with `go`.
fn batches() -> Vec<Vec<Value>> {
    let of = |msg: &str, req: u64| json!({"msg": msg, "nodeId": "n1", "req": req});
    let end = |msg: &str, req: u64, reason: &str| json!({"msg": msg, "nodeId": "n1", "req": req, "reason": reason});
    let gauge = json!({"core_use": 0.9, "on_cores": 3.0, "heap_share": 0.4, "links": 2.0});
    let reminder = json!({"msg": "reminder", "nodeId": "n1", "gauge": gauge, "handle": 0});
    let born = json!({"msg": "born", "nodeId": "n1", "entropy": 17, "facts": facts()});
    let mut burst: Vec<Value> = (100..700).map(|req| ask(req, "register", 0)).collect();
    burst.push(reminder.clone());
    vec![
        vec![born],
        vec![
            ask(1, "check", 0),
            ask(2, "register", 0),
            ask(3, "check", 1),
        ],
        vec![reminder.clone(), of("stalledOnCall", 2)],
        vec![end("callEnded", 2, "done"), end("completed", 1, "done")],
        vec![of("clientLeft", 3), end("completed", 2, "err")],
        burst,
        (0..8).map(|_| reminder.clone()).collect(),
        vec![json!({"msg": "quiesce", "nodeId": "n1", "patienceLeftS": 1.5})],
        vec![
            end("completed", 100, "etimedout"),
            end("completed", 101, "ecanceled"),
        ],
        vec![json!({"msg": "halt", "nodeId": "n1"})],
    ]
}

#[test]
fn replies_match_the_recorded_conversation() {
    let mut input = String::new();
    for (index, batch) in batches().iter().enumerate() {
        input += &format!(
            "{}\n",
            json!({"msg": "clock", "atTimeS": 1.0 + index as f64 * 0.5})
        );
        batch
            .iter()
            .for_each(|message| input += &format!("{message}\n"));
        input += "{\"msg\":\"go\"}\n";
    }
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
    let output = String::from_utf8(ended.stdout).unwrap();
    for msg in [
        "process", "pushBack", "abort", "call", "takeOff", "schedule", "done",
    ] {
        assert!(
            output.contains(&format!("\"msg\":\"{msg}\"")),
            "no {msg} in the conversation"
        );
    }
    assert_text(FILE, &output);
}
