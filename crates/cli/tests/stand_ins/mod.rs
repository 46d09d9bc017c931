//! A stand-in node that answers by what a body begins with, and misbehaves as told; and captures of
//! conversations with it, made without one.

#![allow(dead_code)] // each file of tests uses what it needs

use rainstand_capture::packet::End;
use rainstand_capture::write::{self, Conversation};
use rainstand_protocol::thrift;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// What a stand-in does wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Manners {
    /// Connections end after so many calls, the last one unanswered.
    pub breaks_after: Option<usize>,
    /// `shutdown` is told after so many calls of a connection.
    pub shuts_after: Option<usize>,
    /// Calls about this are honoured with another result.
    pub wrong_about: Option<&'static str>,
}

/// One call as the stand-in got it.
#[derive(Clone, Debug)]
pub struct Got {
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub connection: usize,
}

#[derive(Clone)]
pub struct Node {
    pub addr: SocketAddr,
    pub got: Arc<Mutex<Vec<Got>>>,
    pub left: Arc<Mutex<Vec<i32>>>,
}

/// The answer to a body; none for one that is never answered.
pub fn answer(seq: i32, body: &[u8]) -> Option<Vec<u8>> {
    match body.first() {
        Some(b'd') => Some(thrift::backoff(seq, &[("pause", "100")])),
        Some(b'l') => Some(thrift::lost(seq)),
        Some(b'x') => Some(thrift::exception(b"process", seq, 6, "no")),
        Some(b'n') => None,
        _ => Some(thrift::answer(b"process", seq, body, true)),
    }
}

pub fn node(manners: Manners) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node {
        addr: listener.local_addr().unwrap(),
        got: Arc::default(),
        left: Arc::default(),
    };
    let shared = node.clone();
    std::thread::spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let shared = shared.clone();
            std::thread::spawn(move || serve(stream, connection, &shared, manners));
        }
    });
    node
}

fn serve(mut stream: TcpStream, connection: usize, node: &Node, manners: Manners) {
    let mut calls = 0;
    loop {
        let mut head = [0; 4];
        if stream.read_exact(&mut head).is_err() {
            return;
        }
        let mut frame = vec![0; u32::from_be_bytes(head) as usize];
        if stream.read_exact(&mut frame).is_err() {
            return;
        }
        let message = thrift::message(&frame).expect("a message");
        if message.name == b"giveUp" {
            node.left
                .lock()
                .unwrap()
                .extend(thrift::give_up_args(message.args).unwrap());
            continue;
        }
        let thrift::ProcessArgs { fields, body } = thrift::process_args(message.args).unwrap();
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
        let fields: Vec<_> = fields
            .unwrap()
            .into_iter()
            .map(|(k, v)| (text(k), text(v)))
            .collect();
        let body = body.unwrap().to_vec();
        let wrong = manners
            .wrong_about
            .is_some_and(|about| fields.iter().any(|(_, value)| value == about));
        node.got.lock().unwrap().push(Got {
            fields,
            body: body.clone(),
            connection,
        });
        calls += 1;
        if manners.breaks_after.is_some_and(|after| calls >= after) {
            return;
        }
        let told = if wrong {
            Some(thrift::answer(b"process", message.seq, b"other", true))
        } else {
            answer(message.seq, &body)
        };
        if told.is_some_and(|told| stream.write_all(&told).is_err()) {
            return;
        }
        if manners.shuts_after == Some(calls) {
            let _ = stream.write_all(&thrift::shutdown());
        }
    }
}

/// A capture of `calls` (milliseconds, connection, body, entity) with the answers that a stand-in gives
/// 1 ms later; what it never answers is left 5 ms later.
pub fn capture(calls: &[(u64, usize, &str, &str)]) -> Vec<u8> {
    let start = 1_764_576_000_000_000_000u64;
    let connections = calls.iter().map(|call| call.1).max().unwrap_or(0) + 1;
    let end = |port: u16| End::new([127, 0, 0, 1].into(), port);
    let mut talks: Vec<_> = (0..connections)
        .map(|n| Conversation::new(end(50_000 + n as u16), end(5050), [7, 9]))
        .collect();
    let mut seqs = vec![0; connections];
    let mut packets: Vec<(u64, Vec<u8>)> = Vec::new();
    for talk in &mut talks {
        packets.extend(talk.open().into_iter().map(|packet| (start, packet)));
    }
    // By time, since sequence numbers of a side follow it.
    let mut said: Vec<(u64, usize, usize, Vec<u8>)> = Vec::new();
    for (n, (ms, on, body, entity)) in calls.iter().enumerate() {
        seqs[*on] += 1;
        let (trace, seq) = (format!("{n:016x}"), seqs[*on]);
        let fields = [
            ("route", "check"),
            ("trace", &trace),
            ("born", "1"),
            ("customer", "acme"),
            ("entity", entity),
            ("redo", "1"),
        ];
        let at = start + ms * 1_000_000;
        said.push((at, *on, 0, thrift::process(seq, &fields, body.as_bytes())));
        match answer(seq, body.as_bytes()) {
            Some(told) => said.push((at + 1_000_000, *on, 1, told)),
            None => said.push((at + 5_000_000, *on, 0, thrift::give_up(seq))),
        }
    }
    said.sort_by_key(|(at, ..)| *at);
    for (at, on, side, frame) in &said {
        packets.extend(talks[*on].data(*side, frame).map(|packet| (*at, packet)));
    }
    let last = said.last().map_or(start, |(at, ..)| *at + 1_000_000);
    for talk in &mut talks {
        packets.extend([0, 1].map(|side| (last, talk.finish(side))));
    }
    let mut file = write::head("stand-in");
    packets
        .iter()
        .for_each(|(at, packet)| write::packet(&mut file, *at, packet, packet.len()));
    file
}
