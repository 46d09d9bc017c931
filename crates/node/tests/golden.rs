//! What a node writes to its agent, to the tier below, to the announce service and to its callers, byte for byte
//! as an earlier version wrote it.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod world;

use rainstand_golden_files::{assert_text, read_bytes};
use serde_json::{json, Value};
use stand_ins::{packed, Caller};
use std::fmt::Write as _;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpListener;
use world::{play, stand_ins, World};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/conversation.txt");

/// The agent's end of a link that keeps every line as it came.
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

    /// The next line that asks for no gauges. The first question for them is kept as well; all are answered.
    async fn next(&mut self, log: &mut String) -> Value {
        loop {
            let line = self
                .lines
                .next_line()
                .await
                .unwrap()
                .expect("a link that lives");
            let message: Value = serde_json::from_str(&line).unwrap();
            let sample = message["cmd"] == "sample";
            if !sample || self.samples == 0 {
                writeln!(log, "agent < {line}").unwrap();
            }
            if !sample {
                return message;
            }
            self.samples += 1;
            let token = &message["token"];
            self.send(json!({"cmd": "sampled", "token": token, "load": [0.1, 0, 0.1, 1]}))
                .await;
        }
    }

    async fn next_is(&mut self, cmd: &str, log: &mut String) -> Value {
        let message = self.next(log).await;
        assert_eq!(message["cmd"], cmd, "{message}");
        message["req"].clone()
    }
}

/// One HTTP request as it came, with ports, and the time that was left, taken out.
async fn request(listener: &TcpListener, reply: &str, who: &str, log: &mut String) {
    let mut stream = listener.accept().await.unwrap().0;
    let mut bytes = Vec::new();
    let end = loop {
        let mut chunk = [0; 512];
        let read = stream.read(&mut chunk).await.unwrap();
        assert!(read > 0, "a whole request");
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
    let lines = end.replace(&port, "PORT").replace("\r\n", "\\r\\n\n");
    for line in lines.lines() {
        let line = match line.split_once("Statement-Timeout-Ms: ") {
            Some((head, rest)) => {
                let left: u64 = rest.trim_end_matches("\\r\\n").parse().unwrap();
                assert!((1..=7_800).contains(&left), "{left}");
                format!("{head}Statement-Timeout-Ms: LEFT\\r\\n")
            }
            None => line.to_owned(),
        };
        writeln!(log, "{who} < {line}").unwrap();
    }
    stream.write_all(reply.as_bytes()).await.unwrap();
}

/// The next frame to a caller as hexadecimal digits.
async fn frame(caller: &mut Caller, log: &mut String) {
    let length = caller.stream.read_u32().await.unwrap();
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.resize(4 + length as usize, 0);
    caller.stream.read_exact(&mut bytes[4..]).await.unwrap();
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(log, "caller < {digits}").unwrap();
}

async fn converse(w: World) {
    let mut log = String::new();
    let mut agent = Agent::accept(&w.agents).await;
    agent.next_is("subscribe", &mut log).await;
    agent
        .send(json!({"cmd": "greeting", "result": "running", "elapsed_ms": 1000}))
        .await;
    let no_content = "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
    request(&w.announce, no_content, "announce", &mut log).await;
    while w.context.core.borrow().controller.is_none() {
        tokio::task::yield_now().await;
    }
    let mut caller = Caller::connect(w.addr).await;

    // A run that calls the tier below and brings a result.
    w.ask(&mut caller, "check", b"\0body").await;
    let req = agent.next_is("launch", &mut log).await;
    agent
        .send(json!({"cmd": "request", "offset": 1, "req": req, "payload": packed(b"call")}))
        .await;
    request(
        &w.below,
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nrow",
        "below",
        &mut log,
    )
    .await;
    agent.next_is("deliver", &mut log).await;
    let fine = json!({"cmd": "outcome", "offset": 2, "req": req, "result": "fine", "elapsed_ms": 5,
        "payload": packed(b"result")});
    agent.send(fine).await;
    frame(&mut caller, &mut log).await;

    // One that fails, and one that its caller leaves.
    w.ask(&mut caller, "register", b"b").await;
    let req = agent.next_is("launch", &mut log).await;
    agent
        .send(
            json!({"cmd": "outcome", "offset": 3, "req": req, "result": "failed", "elapsed_ms": 5}),
        )
        .await;
    frame(&mut caller, &mut log).await;
    let seq = w.ask(&mut caller, "check", b"b").await;
    let req = agent.next_is("launch", &mut log).await;
    caller.give_up(seq).await;
    agent.next_is("freeze", &mut log).await;
    agent
        .send(json!({"cmd": "outcome", "offset": 4, "req": req, "result": "broken_off", "elapsed_ms": 5}))
        .await;

    caller.probe().await;
    frame(&mut caller, &mut log).await;

    // A field that is missing, and the end of the node.
    caller.ask(&[("route", "check")], b"b").await;
    frame(&mut caller, &mut log).await;
    w.leave.notify_one();
    frame(&mut caller, &mut log).await;
    assert_text(FILE, &log);
}

#[test]
fn recorded_conversation_is_unchanged() {
    play(|_| {}, converse);
}

#[test]
fn answers_match_the_protocol_definition() {
    let frames = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../protocol/tests/golden/thrift.hex"
    );
    let shutdown = read_bytes(frames)
        .into_iter()
        .find(|one| one.name == "shutdown")
        .unwrap();
    let digits: String = shutdown
        .bytes
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let conversation = std::fs::read_to_string(FILE).unwrap();
    assert!(conversation
        .lines()
        .any(|line| line == format!("caller < {digits}")));
}
