//! Fakes of everything that a node communicates with, implemented from the protocol: agent, downstream tier, service
//! registry and caller. The toy example uses them; the loopback tests drive them step by step.
#![allow(dead_code)] // neither the example nor the tests use all of it

use base64::prelude::{Engine, BASE64_STANDARD};
use rainstand_node::thrift::{self, MAP, ONEWAY};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Encodes bytes as in the agent protocol (Base64).
pub fn encode_base64(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// The agent's end of a connection. It answers `sample` commands automatically, with the gauges of an idle machine.
pub struct Agent {
    commands: mpsc::UnboundedReceiver<Value>,
    write: Writer,
}

impl Agent {
    pub async fn accept(listener: &TcpListener) -> Self {
        let (read, write) = listener
            .accept()
            .await
            .expect("a connection to the agent")
            .0
            .into_split();
        let (sender, commands) = mpsc::unbounded_channel();
        let write = Rc::new(RefCell::new(Some(write)));
        let sample_writer = write.clone();
        spawn_local(async move {
            let mut lines = BufReader::new(read).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let command: Value = serde_json::from_str(&line).expect("a command is JSON");
                if command["cmd"] == "sample" {
                    let token = &command["token"];
                    send(
                        &sample_writer,
                        json!({"cmd": "sampled", "token": token, "load": [0.1, 0, 0.1, 1]}),
                    );
                } else if sender.send(command).is_err() {
                    return;
                }
            }
        });
        Self { commands, write }
    }

    /// Receives `subscribe` and answers with `greeting`; returns the offset that the node had read up to.
    pub async fn greet(&mut self) -> Value {
        let subscribe = self.command().await.expect("the command subscribe");
        assert_eq!(subscribe["cmd"], "subscribe");
        self.send(json!({"cmd": "greeting", "result": "running", "elapsed_ms": 1000}))
            .await;
        subscribe["offset"].clone()
    }

    /// The next command except `sample`; `None` after the connection has ended.
    pub async fn command(&mut self) -> Option<Value> {
        self.commands.recv().await
    }

    /// The next command, if one has been received.
    pub fn try_command(&mut self) -> Option<Value> {
        self.commands.try_recv().ok()
    }

    pub async fn send(&mut self, message: Value) {
        send(&self.write, message);
    }

    pub async fn raw(&mut self, bytes: &[u8]) {
        write(&self.write, bytes);
    }

    /// Closes the connection.
    pub fn disconnect(self) {
        self.write.take();
    }

    pub async fn outcome(&mut self, offset: u64, req: &Value, end: &str, result: &[u8]) {
        let payload = encode_base64(result);
        let message = json!({"cmd": "outcome", "offset": offset, "req": req, "result": end,
            "elapsed_ms": 5, "payload": payload});
        self.send(message).await;
    }

    pub async fn request_call(&mut self, offset: u64, req: &Value, body: &[u8]) {
        let message =
            json!({"cmd": "request", "offset": offset, "req": req, "payload": encode_base64(body)});
        self.send(message).await;
    }
}

type Writer = Rc<RefCell<Option<OwnedWriteHalf>>>;

fn send(writer: &Writer, message: Value) {
    write(writer, format!("{message}\n").as_bytes());
}

/// Writes without waiting: the messages here are far smaller than a socket's send buffer.
fn write(writer: &Writer, bytes: &[u8]) {
    if let Some(half) = writer.borrow().as_ref() {
        let _ = half.try_write(bytes);
    }
}

/// The server's end of one HTTP/1.1 connection.
pub struct Http(BufReader<TcpStream>);

impl Http {
    pub async fn accept(listener: &TcpListener) -> Self {
        Self(BufReader::new(
            listener.accept().await.expect("an HTTP connection").0,
        ))
    }

    /// The head and the body of the next request; `None` after the connection has ended.
    pub async fn request(&mut self) -> Option<(String, Vec<u8>)> {
        let (mut head, mut len) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).await.unwrap_or(0) == 0 {
                return None;
            }
            if line == "\r\n" {
                break;
            }
            if let Some(value) = line.strip_prefix("Content-Length: ") {
                len = value.trim().parse().expect("Content-Length is a number");
            }
            head += &line;
        }
        let mut body = vec![0; len];
        self.0.read_exact(&mut body).await.ok()?;
        Some((head, body))
    }

    pub async fn raw(&mut self, bytes: &[u8]) {
        let _ = self.0.write_all(bytes).await;
    }

    /// Sends a reply; `status` may contain further headers after the status line.
    pub async fn reply(&mut self, status: &str, body: &[u8]) {
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let _ = self.0.write_all(&[head.as_bytes(), body].concat()).await;
    }
}

/// A message of a node: sequence number, kind, and the body or the texts.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply(pub i32, pub &'static str, pub String);

/// A caller's connection to a node.
pub struct Caller {
    pub stream: TcpStream,
    seq: i32,
}

impl Caller {
    pub async fn connect(addr: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(addr)
                .await
                .expect("a connection to the node"),
            seq: 0,
        }
    }

    /// Uses an open connection.
    pub fn from_stream(stream: TcpStream) -> Self {
        Self { stream, seq: 0 }
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// Encodes a request without sending it.
    pub fn encode_request(&mut self, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
        self.seq += 1;
        thrift::process(self.seq, fields, body)
    }

    pub async fn ask(&mut self, fields: &[(&str, &str)], body: &[u8]) -> i32 {
        let frame = self.encode_request(fields, body);
        self.send(&frame).await;
        self.seq
    }

    pub async fn give_up(&mut self, seq: i32) {
        self.send(&thrift::give_up(seq)).await;
    }

    pub async fn probe(&mut self) -> i32 {
        self.seq += 1;
        self.send(&thrift::probe(self.seq, true)).await;
        self.seq
    }

    /// The next message of the node; `None` after the connection has ended.
    pub async fn next(&mut self) -> Option<Reply> {
        let len = self.stream.read_u32().await.ok()?;
        let mut frame = vec![0; len as usize];
        self.stream.read_exact(&mut frame).await.ok()?;
        let (kind, name_len) = (frame[3], frame[7] as usize);
        let rest = &frame[8 + name_len..];
        let (seq, args) = (
            i32::from_be_bytes(rest[..4].try_into().unwrap()),
            &rest[4..],
        );
        // A reply is a struct with one field, which is a struct whose first field is enough here.
        let text = |at: usize| {
            let len = u32::from_be_bytes(args[at..at + 4].try_into().unwrap()) as usize;
            String::from_utf8_lossy(&args[at + 4..at + 4 + len]).into_owned()
        };
        Some(match (kind, args[0], args.get(2)) {
            (ONEWAY, ..) => Reply(seq, "shutdown", String::new()),
            (3, ..) => Reply(seq, "exception", text(3)),
            (_, _, Some(0)) if &frame[8..8 + name_len] == b"probe" => Reply(
                seq,
                "probe",
                if args[args.len() - 3] == 1 {
                    "good"
                } else {
                    "bad"
                }
                .into(),
            ),
            (_, _, Some(0)) => Reply(seq, "honoured", text(6)),
            (_, _, Some(1)) => {
                let (mut at, mut texts, n) = (12, Vec::new(), args[11]);
                assert_eq!(args[3], MAP);
                for _ in 0..n * 2 {
                    texts.push(text(at));
                    at += 4 + texts.last().map_or(0, String::len);
                }
                Reply(seq, "dismissed", texts.join(" "))
            }
            _ => Reply(seq, "given up", String::new()),
        })
    }
}
