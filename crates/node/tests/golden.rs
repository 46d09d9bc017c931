//! The bytes that a node writes to its agent, the downstream server, the announce service and its callers match a
//! recording of an earlier version.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod world;

use rainstand_golden_files::{assert_text, read_bytes};
use serde_json::{json, Value};
use stand_ins::{encode_base64, Caller};
use std::fmt::Write as _;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpListener;
use world::{run_with_node, stand_ins, World};

const GOLDEN_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/conversation.txt");

/// A fake agent that logs every line as received.
struct Agent {
    lines: Lines<BufReader<OwnedReadHalf>>,
    write: OwnedWriteHalf,
    samples: u64,
}

impl Agent {
    async fn accept(listener: &TcpListener) -> Self {
        let (read, write) = listener.accept().await.unwrap().0.into_split();
        Self {
            lines: BufReader::new(read).lines(),
            write,
            samples: 0,
        }
    }

    async fn send(&mut self, message: Value) {
        self.write
            .write_all(format!("{message}\n").as_bytes())
            .await
            .unwrap();
    }

    /// The next command except `sample`. Answers all `sample` commands, and logs only the first of them.
    async fn next(&mut self, log: &mut String) -> Value {
        loop {
            let line = self
                .lines
                .next_line()
                .await
                .unwrap()
                .expect("the node closed the link");
            let message: Value = serde_json::from_str(&line).unwrap();
            let is_sample = message["cmd"] == "sample";
            if !is_sample || self.samples == 0 {
                writeln!(log, "agent < {line}").unwrap();
            }
            if !is_sample {
                return message;
            }
            self.samples += 1;
            let token = &message["token"];
            self.send(json!({"cmd": "sampled", "token": token, "load": [0.1, 0, 0.1, 1]}))
                .await;
        }
    }

    async fn expect_command(&mut self, cmd: &str, log: &mut String) -> Value {
        let message = self.next(log).await;
        assert_eq!(message["cmd"], cmd, "{message}");
        message["req"].clone()
    }
}

/// Answers one HTTP request and logs it as received, but with placeholders for the port and the remaining time.
async fn serve_request(listener: &TcpListener, reply: &str, log_label: &str, log: &mut String) {
    let mut stream = listener.accept().await.unwrap().0;
    let mut bytes = Vec::new();
    let request_text = loop {
        let mut chunk = [0; 512];
        let read = stream.read(&mut chunk).await.unwrap();
        assert!(read > 0, "the connection ended within a request");
        bytes.extend_from_slice(&chunk[..read]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("Content-Length: "))
            .unwrap();
        if body.len() >= length.parse::<usize>().unwrap() {
            break text;
        }
    };
    let port = listener.local_addr().unwrap().port().to_string();
    let lines = request_text
        .replace(&port, "PORT")
        .replace("\r\n", "\\r\\n\n");
    for line in lines.lines() {
        let line = match line.split_once("Statement-Timeout-Ms: ") {
            Some((head, rest)) => {
                let timeout_ms: u64 = rest.trim_end_matches("\\r\\n").parse().unwrap();
                assert!((1..=7_800).contains(&timeout_ms), "{timeout_ms}");
                format!("{head}Statement-Timeout-Ms: LEFT\\r\\n")
            }
            None => line.to_owned(),
        };
        writeln!(log, "{log_label} < {line}").unwrap();
    }
    stream.write_all(reply.as_bytes()).await.unwrap();
}

/// Logs the next frame to a caller as hexadecimal digits.
async fn log_next_frame(caller: &mut Caller, log: &mut String) {
    let length = caller.stream.read_u32().await.unwrap();
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.resize(4 + length as usize, 0);
    caller.stream.read_exact(&mut bytes[4..]).await.unwrap();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(log, "caller < {hex}").unwrap();
}

async fn record_conversation(world: World) {
    let mut log = String::new();
    let mut agent = Agent::accept(&world.agents).await;
    agent.expect_command("subscribe", &mut log).await;
    agent
        .send(json!({"cmd": "greeting", "result": "running", "elapsed_ms": 1000}))
        .await;
    let no_content = "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
    serve_request(&world.announce, no_content, "announce", &mut log).await;
    while world.context.core.borrow().controller.is_none() {
        tokio::task::yield_now().await;
    }
    let mut caller = Caller::connect(world.addr).await;

    // A run that makes a downstream call and succeeds.
    world.send_request(&mut caller, "check", b"\0body").await;
    let req = agent.expect_command("launch", &mut log).await;
    agent
        .send(json!({"cmd": "request", "offset": 1, "req": req, "payload": encode_base64(b"call")}))
        .await;
    serve_request(
        &world.downstream,
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nrow",
        "below",
        &mut log,
    )
    .await;
    agent.expect_command("deliver", &mut log).await;
    let succeeded = json!({"cmd": "outcome", "offset": 2, "req": req, "result": "fine", "elapsed_ms": 5,
        "payload": encode_base64(b"result")});
    agent.send(succeeded).await;
    log_next_frame(&mut caller, &mut log).await;

    // A run that fails, and one whose caller cancels.
    world.send_request(&mut caller, "register", b"b").await;
    let req = agent.expect_command("launch", &mut log).await;
    agent
        .send(
            json!({"cmd": "outcome", "offset": 3, "req": req, "result": "failed", "elapsed_ms": 5}),
        )
        .await;
    log_next_frame(&mut caller, &mut log).await;
    let seq = world.send_request(&mut caller, "check", b"b").await;
    let req = agent.expect_command("launch", &mut log).await;
    caller.give_up(seq).await;
    agent.expect_command("freeze", &mut log).await;
    agent
        .send(json!({"cmd": "outcome", "offset": 4, "req": req, "result": "broken_off", "elapsed_ms": 5}))
        .await;

    caller.probe().await;
    log_next_frame(&mut caller, &mut log).await;

    // A request with missing fields, and the shutdown of the node.
    caller.ask(&[("route", "check")], b"b").await;
    log_next_frame(&mut caller, &mut log).await;
    world.send_shutdown_notice.notify_one();
    log_next_frame(&mut caller, &mut log).await;
    assert_text(GOLDEN_FILE, &log);
}

#[test]
fn recorded_conversation_is_unchanged() {
    run_with_node(|_| {}, record_conversation);
}

#[test]
fn answers_match_the_protocol_definition() {
    let frames_path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../protocol/tests/golden/thrift.hex"
    );
    let shutdown = read_bytes(frames_path)
        .into_iter()
        .find(|frame| frame.name == "shutdown")
        .unwrap();
    let hex: String = shutdown
        .bytes
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let conversation = std::fs::read_to_string(GOLDEN_FILE).unwrap();
    assert!(conversation
        .lines()
        .any(|line| line == format!("caller < {hex}")));
}
