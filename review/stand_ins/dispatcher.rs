//! Dispatchers: Thrift frames, connections and what was sent and answered on them.

use crate::programs::reset;
use crate::tools::{unix_ms, Chance, Record};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn put_string(bytes: &mut Vec<u8>, text: &[u8]) {
    bytes.extend_from_slice(&(text.len() as u32).to_be_bytes());
    bytes.extend_from_slice(text);
}

/// A Thrift message in strict binary form without its arguments.
pub fn message_head(kind: u8, name: &str, seq: i32) -> Vec<u8> {
    let mut bytes = vec![0x80, 0x01, 0, kind];
    put_string(&mut bytes, name.as_bytes());
    bytes.extend_from_slice(&seq.to_be_bytes());
    bytes
}

pub fn framed(bytes: Vec<u8>) -> Vec<u8> {
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend(bytes);
    frame
}

pub fn process_frame(seq: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = message_head(1, "process", seq);
    bytes.extend_from_slice(&[13, 0, 1, 11, 11]);
    bytes.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_string(&mut bytes, name.as_bytes());
        put_string(&mut bytes, value.as_bytes());
    }
    bytes.extend_from_slice(&[11, 0, 2]);
    put_string(&mut bytes, body);
    bytes.push(0);
    framed(bytes)
}

pub fn probe_frame(seq: i32) -> Vec<u8> {
    let mut bytes = message_head(1, "probe", seq);
    bytes.extend_from_slice(&[2, 0, 1, 0, 0]);
    framed(bytes)
}

/// A final answer, as a dispatcher reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Refused,
    Failed,
}

/// An answer's sequence number and meaning; `None` for a oneway message or an answer that cannot be read.
pub fn read_answer(frame: &[u8]) -> Option<(i32, Answer)> {
    let kind = *frame.get(3)?;
    let name_length = u32::from_be_bytes(frame.get(4..8)?.try_into().ok()?) as usize;
    let rest = frame.get(8 + name_length..)?;
    let seq = i32::from_be_bytes(rest.get(..4)?.try_into().ok()?);
    let arguments = &rest[4..];
    match (kind, arguments.first(), arguments.get(1..3)) {
        (4, ..) => None,
        (3, ..) => Some((seq, Answer::Failed)),
        (2, Some(12), Some([0, 0])) => {
            let length = u32::from_be_bytes(arguments.get(6..10)?.try_into().ok()?) as usize;
            let body = arguments.get(10..10 + length)?;
            Some((
                seq,
                Answer::Served(String::from_utf8_lossy(body).into_owned()),
            ))
        }
        (2, Some(12), Some([0, 1])) => Some((seq, Answer::Refused)),
        (2, Some(12), Some([0, 2])) => Some((seq, Answer::Failed)),
        _ => None,
    }
}

/// One request on a connection, and what came of it.
#[derive(Clone, Debug)]
pub struct Try {
    pub ticket: String,
    pub trace: String,
    /// Before its first byte was written.
    pub begun: Instant,
    /// After its last byte was written.
    pub sent: Instant,
    pub answer: Option<(Instant, Answer)>,
}

/// A dispatcher's connection. A thread reads its answers.
#[derive(Clone)]
pub struct Connection {
    /// The connection is reset as the answer to one of these sequence numbers arrives; that answer is lost.
    pub resets: Arc<Mutex<Vec<i32>>>,
    /// `None` once it was reset.
    pub stream: Arc<Mutex<Option<TcpStream>>>,
    pub seq: Arc<Mutex<i32>>,
    pub tries: Arc<Mutex<HashMap<i32, Try>>>,
    pub ended: Arc<AtomicBool>,
    pub name: String,
    pub record: Record,
}

impl Connection {
    pub fn open(to: SocketAddr, name: &str, record: &Record) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        let mut reading = stream.try_clone()?;
        let connection = Self {
            resets: Arc::default(),
            stream: Arc::new(Mutex::new(Some(stream))),
            seq: Arc::default(),
            tries: Arc::default(),
            ended: Arc::default(),
            name: name.to_owned(),
            record: record.clone(),
        };
        let reader = connection.clone();
        thread::spawn(move || {
            loop {
                let mut length = [0; 4];
                if reading.read_exact(&mut length).is_err() {
                    break;
                }
                let mut frame = vec![0; u32::from_be_bytes(length) as usize];
                if reading.read_exact(&mut frame).is_err() {
                    break;
                }
                match read_answer(&frame) {
                    Some((seq, _)) if reader.resets.lock().unwrap().contains(&seq) => {
                        reader.record.line(&format!(
                            "{} the connection is reset as an answer arrives",
                            reader.name
                        ));
                        reset(&reading);
                        // Both ends of the descriptor have to go for the system to close it.
                        reader.stream.lock().unwrap().take();
                        break;
                    }
                    Some((seq, answer)) => reader.on_answer(seq, answer),
                    // The node's `shutdown`: nothing new is sent on this connection.
                    None => reader.ended.store(true, Ordering::Relaxed),
                }
            }
            reader.ended.store(true, Ordering::Relaxed);
        });
        Ok(connection)
    }

    pub fn on_answer(&self, seq: i32, answer: Answer) {
        if let Some(one) = self.tries.lock().unwrap().get_mut(&seq) {
            self.record.line(&format!(
                "{} answer to {} ({}): {answer:?}",
                self.name, one.ticket, one.trace
            ));
            one.answer.get_or_insert((Instant::now(), answer));
        }
    }

    pub fn next_seq(&self) -> i32 {
        let mut seq = self.seq.lock().unwrap();
        *seq += 1;
        *seq
    }

    pub fn probe(&self) -> io::Result<()> {
        let frame = probe_frame(self.next_seq());
        self.write(&frame)
    }

    pub fn write(&self, frame: &[u8]) -> io::Result<()> {
        match &mut *self.stream.lock().unwrap() {
            Some(stream) => stream.write_all(frame),
            None => Err(ErrorKind::NotConnected.into()),
        }
    }

    /// Sends one try of a ticket; returns its sequence number.
    pub fn send(&self, request: &Request, chance: &mut Chance) -> io::Result<i32> {
        let trace = format!("{:016x}", chance.next());
        let begun = Instant::now();
        let mut fields = vec![
            ("route", request.class.to_owned()),
            ("trace", trace.clone()),
            ("born", unix_ms().to_string()),
            ("client", "1".to_owned()),
            ("customer", request.tenant.to_owned()),
            ("size", "24.5".to_owned()),
            ("order", "0.6250".to_owned()),
        ];
        fields.extend(
            request
                .patience
                .map(|patience| ("patience", patience.as_millis().to_string())),
        );
        fields.extend(request.nonce.as_ref().map(|nonce| ("nonce", nonce.clone())));
        fields.extend((request.again && request.marked).then(|| ("redo", "1".to_owned())));
        let seq = self.next_seq();
        let frame = process_frame(seq, &fields, request.body.as_bytes());
        // Entered before it is written, as the answer may come at once.
        let one = Try {
            ticket: request.ticket.clone(),
            trace: trace.clone(),
            begun,
            sent: begun,
            answer: None,
        };
        self.tries.lock().unwrap().insert(seq, one);
        self.write(&frame)?;
        let sent = Instant::now();
        if let Some(one) = self.tries.lock().unwrap().get_mut(&seq) {
            one.sent = sent;
        }
        let kind = if request.again {
            "further try"
        } else {
            "first try"
        };
        self.record.line(&format!(
            "{} sends {kind} of {} ({trace})",
            self.name, request.ticket
        ));
        Ok(seq)
    }

    pub fn tried(&self) -> Vec<Try> {
        self.tries.lock().unwrap().values().cloned().collect()
    }
}

/// A dispatcher: opens connections to one node as it needs them.
pub struct Dispatcher {
    pub to: SocketAddr,
    pub name: String,
    pub record: Record,
    pub connections: Vec<Connection>,
}

impl Dispatcher {
    pub fn new(to: SocketAddr, name: String, record: &Record) -> Self {
        Self {
            to,
            name,
            record: record.clone(),
            connections: Vec::new(),
        }
    }

    /// Sends one try on the newest connection, or on a new one if that has ended.
    pub fn send(&mut self, request: &Request, chance: &mut Chance) -> io::Result<i32> {
        if self
            .connections
            .last()
            .is_none_or(|last| last.ended.load(Ordering::Relaxed))
        {
            self.connections
                .push(Connection::open(self.to, &self.name, &self.record)?);
        }
        self.connections[self.connections.len() - 1].send(request, chance)
    }

    pub fn tried(&self) -> Vec<Try> {
        self.connections
            .iter()
            .flat_map(Connection::tried)
            .collect()
    }
}

/// One try of a ticket.
pub struct Request {
    pub ticket: String,
    pub class: &'static str,
    pub tenant: &'static str,
    pub nonce: Option<String>,
    pub patience: Option<Duration>,
    pub again: bool,
    /// Whether further tries are marked.
    pub marked: bool,
    pub body: String,
}
