//! A fake node whose answer to a call depends on the first byte of the body, with configurable faults; and generated
//! captures of conversations with it.

#![allow(dead_code)] // each test target uses a part of this module

use rainstand_capture::packet::End;
use rainstand_capture::write::{self, Conversation};
use rainstand_protocol::thrift;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Faults of a fake node.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeFaults {
    /// Closes a connection at its n-th call, without answering that call.
    pub closes_at_call: Option<usize>,
    /// Sends `shutdown` on a connection after its n-th call.
    pub shutdown_after: Option<usize>,
    /// Calls with this value in a field are served with another result.
    pub wrong_for: Option<&'static str>,
}

/// A call that a fake node received.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub connection: usize,
}

/// A running fake node.
#[derive(Clone)]
pub struct FakeNode {
    pub addr: SocketAddr,
    /// Calls in the order of arrival.
    pub received: Arc<Mutex<Vec<ReceivedCall>>>,
    /// Sequence numbers of the calls that callers gave up.
    pub abandoned: Arc<Mutex<Vec<i32>>>,
}

/// The answer to a call with this body; none for a call that is never answered.
pub fn answer(seq: i32, body: &[u8]) -> Option<Vec<u8>> {
    match body.first() {
        Some(b'd') => Some(thrift::backoff(seq, &[("pause", "100")])),
        Some(b'l') => Some(thrift::lost(seq)),
        Some(b'x') => Some(thrift::exception(b"process", seq, 6, "no")),
        Some(b'n') => None,
        _ => Some(thrift::answer(b"process", seq, body, true)),
    }
}

/// Starts a fake node; its threads end with the process.
pub fn start_node(faults: NodeFaults) -> FakeNode {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = FakeNode {
        addr: listener.local_addr().unwrap(),
        received: Arc::default(),
        abandoned: Arc::default(),
    };
    let shared = node.clone();
    std::thread::spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let shared = shared.clone();
            std::thread::spawn(move || serve(stream, connection, &shared, faults));
        }
    });
    node
}

fn serve(mut stream: TcpStream, connection: usize, node: &FakeNode, faults: NodeFaults) {
    let mut calls = 0;
    loop {
        let mut length = [0; 4];
        if stream.read_exact(&mut length).is_err() {
            return;
        }
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        if stream.read_exact(&mut frame).is_err() {
            return;
        }
        let message = thrift::message(&frame).expect("a message");
        if message.name == b"giveUp" {
            node.abandoned
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
            .map(|(key, value)| (text(key), text(value)))
            .collect();
        let body = body.unwrap().to_vec();
        let is_wrong = faults
            .wrong_for
            .is_some_and(|wrong| fields.iter().any(|(_, value)| value == wrong));
        node.received.lock().unwrap().push(ReceivedCall {
            fields,
            body: body.clone(),
            connection,
        });
        calls += 1;
        if faults.closes_at_call.is_some_and(|after| calls >= after) {
            return;
        }
        let reply = if is_wrong {
            Some(thrift::answer(b"process", message.seq, b"other", true))
        } else {
            answer(message.seq, &body)
        };
        if reply.is_some_and(|reply| stream.write_all(&reply).is_err()) {
            return;
        }
        if faults.shutdown_after == Some(calls) {
            let _ = stream.write_all(&thrift::shutdown());
        }
    }
}

/// A capture of `calls` (time in ms, connection, body, entity), each with the answer of a fake node 1 ms later. A call
/// that it never answers is abandoned by its caller 5 ms later.
pub fn capture(calls: &[(u64, usize, &str, &str)]) -> Vec<u8> {
    let start_ns = 1_764_576_000_000_000_000u64;
    let connections = calls.iter().map(|call| call.1).max().unwrap_or(0) + 1;
    let endpoint = |port: u16| End::new([127, 0, 0, 1].into(), port);
    let mut conversations: Vec<_> = (0..connections)
        .map(|n| Conversation::new(endpoint(50_000 + n as u16), endpoint(5050), [7, 9]))
        .collect();
    let mut seqs = vec![0; connections];
    let mut packets: Vec<(u64, Vec<u8>)> = Vec::new();
    for conversation in &mut conversations {
        packets.extend(
            conversation
                .open()
                .into_iter()
                .map(|packet| (start_ns, packet)),
        );
    }
    // Sorted by time below, since the TCP sequence numbers of a side increase with time.
    let mut frames: Vec<(u64, usize, usize, Vec<u8>)> = Vec::new();
    for (number, (ms, connection, body, entity)) in calls.iter().enumerate() {
        seqs[*connection] += 1;
        let (trace, seq) = (format!("{number:016x}"), seqs[*connection]);
        let fields = [
            ("route", "check"),
            ("trace", &trace),
            ("born", "1"),
            ("customer", "acme"),
            ("entity", entity),
            ("redo", "1"),
        ];
        let at_ns = start_ns + ms * 1_000_000;
        frames.push((
            at_ns,
            *connection,
            0,
            thrift::process(seq, &fields, body.as_bytes()),
        ));
        match answer(seq, body.as_bytes()) {
            Some(reply) => frames.push((at_ns + 1_000_000, *connection, 1, reply)),
            None => frames.push((at_ns + 5_000_000, *connection, 0, thrift::give_up(seq))),
        }
    }
    frames.sort_by_key(|(at_ns, ..)| *at_ns);
    for (at_ns, connection, side, frame) in &frames {
        packets.extend(
            conversations[*connection]
                .data(*side, frame)
                .map(|packet| (*at_ns, packet)),
        );
    }
    let end_ns = frames
        .last()
        .map_or(start_ns, |(at_ns, ..)| *at_ns + 1_000_000);
    for conversation in &mut conversations {
        packets.extend([0, 1].map(|side| (end_ns, conversation.finish(side))));
    }
    let mut file = write::head("stand-in");
    packets
        .iter()
        .for_each(|(at_ns, packet)| write::packet(&mut file, *at_ns, packet, packet.len()));
    file
}
