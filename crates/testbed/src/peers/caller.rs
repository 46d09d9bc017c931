//! A caller: asks nodes for tickets at a steady pace, repeats keyed ones at other nodes, and writes down what it asked
//! and what it heard.
//!
//! What it never hears of stands in the history as asked and without an end, which the checker tells. It leaves a
//! ticket (`gone`) only where its link broke, or where the rig told it that this node or link was being disturbed while
//! the ticket was open.

use super::{hash, now, Book};
use crate::history::Line;
use foldhash::HashMap;
use nanorand::{Rng, WyRand};
use rainstand_protocol::thrift::{self, What};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Tickets open on one connection, by the protocol less some room for those left.
const OPEN: usize = 24;
/// Keys that may be repeated: those of the last second or two.
const KEYS: usize = 64;
/// Between tries to connect.
const AGAIN: Duration = Duration::from_millis(20);
/// One repeat in so many goes to several nodes at once.
const AT_ONCE: u32 = 4;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    pub name: String,
    pub seed: u64,
    /// Nodes by name, and where this caller finds each.
    pub nodes: Vec<(String, SocketAddr)>,
    pub every_ns: u64,
    /// Shares in millionths.
    pub keyed: u64,
    pub repeats: u64,
    pub moves: bool,
    pub within_ns: u64,
    pub slack_ns: u64,
    pub lasts_ns: u64,
    pub history: PathBuf,
}

struct Open {
    ticket: String,
    asked: u64,
}

struct Node {
    name: String,
    addr: SocketAddr,
    write: RefCell<Option<OwnedWriteHalf>>,
    /// By connection and number on it: what a broken connection left open stays until it is due.
    open: RefCell<HashMap<(u32, i32), Open>>,
    conn: Cell<u32>,
    seq: Cell<i32>,
    /// Disturbances that go on, and when the last one ended.
    disturbed: Cell<u32>,
    calm_since: Cell<u64>,
}

impl Node {
    /// Whether the rig told of a disturbance that went on at this time or later.
    fn disturbed_since(&self, at: u64) -> bool {
        self.disturbed.get() > 0 || self.calm_since.get() >= at
    }
}

struct Caller {
    options: Options,
    book: RefCell<Book>,
    nodes: Vec<Rc<Node>>,
    tickets: Cell<u64>,
    /// Keys asked, with their bodies and the node.
    keys: RefCell<VecDeque<(String, String, usize)>>,
}

/// Says `ready`, waits for `begin` on standard input, and asks until the run's end and the last ticket's.
///
/// # Errors
/// If it cannot write its history.
pub async fn call(options: Options) -> io::Result<()> {
    let book = RefCell::new(Book::open(&options.history, &options.name)?);
    let nodes = options.nodes.iter().map(|(name, addr)| {
        Rc::new(Node {
            name: name.clone(),
            addr: *addr,
            write: RefCell::default(),
            open: RefCell::default(),
            conn: Cell::new(0),
            seq: Cell::new(0),
            disturbed: Cell::new(0),
            calm_since: Cell::new(0),
        })
    });
    let nodes: Vec<Rc<Node>> = nodes.collect();
    let caller = Rc::new(Caller {
        book,
        nodes,
        tickets: Cell::new(0),
        keys: RefCell::default(),
        options,
    });
    for node in &caller.nodes {
        spawn_local(keep(caller.clone(), node.clone()));
    }
    let mut said = BufReader::new(tokio::io::stdin()).lines();
    println!("ready");
    io::stdout().flush()?;
    while said.next_line().await?.is_some_and(|line| line != "begin") {}
    let told = caller.clone();
    spawn_local(async move {
        while let Ok(Some(line)) = said.next_line().await {
            told.told(&line);
        }
    });
    let begun = now();
    let mut chance = WyRand::new_seed(caller.options.seed);
    let every = Duration::from_nanos(caller.options.every_ns);
    while now() < begun + caller.options.lasts_ns {
        caller.next(&mut chance);
        sleep(every.mul_f64(chance.generate_range(50..150u32) as f64 / 100.0)).await;
    }
    let last = Duration::from_nanos(caller.options.within_ns + caller.options.slack_ns);
    let done = async {
        while caller
            .nodes
            .iter()
            .any(|node| !node.open.borrow().is_empty())
        {
            sleep(AGAIN).await;
        }
    };
    let _ = timeout(last + AGAIN, done).await;
    Ok(())
}

impl Caller {
    /// `disturb n2` and `calm n2`.
    fn told(&self, line: &str) {
        let Some((what, name)) = line.split_once(' ') else {
            return;
        };
        for node in self.nodes.iter().filter(|node| node.name == name) {
            match what {
                "disturb" => node.disturbed.set(node.disturbed.get() + 1),
                "calm" => {
                    node.disturbed.set(node.disturbed.get().saturating_sub(1));
                    node.calm_since.set(now());
                }
                _ => {}
            }
        }
    }

    /// One more ticket, or a few under one key.
    fn next(self: &Rc<Self>, chance: &mut WyRand) {
        let n = self.nodes.len();
        let mut share = |of: u64| chance.generate_range(0..1_000_000u64) < of;
        let (keyed, repeat) = (share(self.options.keyed), share(self.options.repeats));
        let node = chance.generate_range(0..n as u64) as usize;
        if !keyed {
            self.ask(node, None, "v=0");
            return;
        }
        let known = self.keys.borrow().len() as u64;
        if repeat && known > 0 {
            let (key, body, first) =
                self.keys.borrow()[chance.generate_range(0..known) as usize].clone();
            let several = chance.generate_range(0..AT_ONCE) == 0;
            let to = if self.options.moves { node } else { first };
            for k in 0..if several && self.options.moves {
                n.min(3)
            } else {
                1
            } {
                self.ask((to + k) % n, Some(&key), &body);
            }
            return;
        }
        let key = format!("{}-{}", self.options.name, self.tickets.get());
        let body = format!("key={key};v=1");
        if self.ask(node, Some(&key), &body) {
            let mut keys = self.keys.borrow_mut();
            keys.push_back((key, body, node));
            if keys.len() > KEYS {
                keys.pop_front();
            }
        }
    }

    /// False if nothing was asked: the node is out of reach, or enough is open there.
    fn ask(self: &Rc<Self>, node: usize, key: Option<&str>, body: &str) -> bool {
        let node = &self.nodes[node];
        let write = node.write.borrow();
        let conn = node.conn.get();
        let open = node
            .open
            .borrow()
            .keys()
            .filter(|(on, _)| *on == conn)
            .count();
        let Some(write) = write.as_ref().filter(|_| open < OPEN) else {
            return false;
        };
        let count = self.tickets.get();
        self.tickets.set(count + 1);
        node.seq.set(node.seq.get() + 1);
        let (ticket, seq, at) = (format!("t{count}"), node.seq.get(), now());
        let route = if key.is_some() { "register" } else { "check" };
        let trace = &hash(format!("{}/{count}", self.options.name).as_bytes());
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let born = unix.as_millis().to_string();
        let mut fields = vec![
            ("route", route),
            ("trace", trace),
            ("born", &born),
            ("customer", "acme"),
        ];
        fields.extend([("size", "4"), ("client", "1"), ("order", "0.5")]);
        fields.extend(key.map(|key| ("entity", key)));
        let due = at + self.options.within_ns + self.options.slack_ns;
        let asked = Line {
            at,
            ticket: Some(ticket.clone()),
            traffic: Some(route.to_owned()),
            key: key.map(str::to_owned),
            body: Some(hash(body.as_bytes())),
            node: Some(node.name.clone()),
            due: Some(due),
            ..Line::default()
        };
        self.book.borrow_mut().write("ask", asked);
        node.open
            .borrow_mut()
            .insert((conn, seq), Open { ticket, asked: at });
        let frame = thrift::process(seq, &fields, body.as_bytes());
        if !write.try_write(&frame).is_ok_and(|n| n == frame.len()) {
            // Part of a frame may be on its way: the connection is of no use, and nothing is known.
            let _ = socket2::SockRef::from(AsRef::<TcpStream>::as_ref(write))
                .shutdown(std::net::Shutdown::Both);
        }
        let (caller, node) = (self.clone(), node.clone());
        spawn_local(async move {
            sleep(Duration::from_nanos(due.saturating_sub(now()))).await;
            caller.overdue(&node, (conn, seq));
        });
        true
    }

    /// Its due time is here. One that was disturbed is left; any other stays open, and an answer that comes yet is
    /// written with its time, which breaks the rule.
    fn overdue(&self, node: &Node, of: (u32, i32)) {
        let mut all_open = node.open.borrow_mut();
        let asked = all_open.get(&of).map(|open| open.asked);
        let is_left = asked.is_some_and(|asked| node.disturbed_since(asked));
        let left = is_left.then(|| all_open.remove(&of)).flatten();
        drop(all_open);
        if let Some(open) = left {
            self.end("gone", open.ticket, None, self.due(open.asked));
            if let Some(write) = node
                .write
                .borrow()
                .as_ref()
                .filter(|_| node.conn.get() == of.0)
            {
                let _ = write.try_write(&thrift::give_up(of.1));
            }
        }
    }

    fn due(&self, asked: u64) -> u64 {
        asked + self.options.within_ns + self.options.slack_ns
    }

    fn end(&self, op: &str, ticket: String, result: Option<String>, at: u64) {
        self.book.borrow_mut().write(
            op,
            Line {
                at,
                ticket: Some(ticket),
                result,
                ..Line::default()
            },
        );
    }

    /// Takes whole frames off the front of what was read.
    fn read(&self, node: &Node, back: &mut Vec<u8>) -> Result<(), thrift::ReasonCode> {
        while let Some(length) = thrift::frame(back)? {
            let frame: Vec<u8> = back.drain(..4 + length).skip(4).collect();
            if thrift::kind(&frame) == Some(thrift::ONEWAY) {
                continue;
            }
            let answered = thrift::answered(&frame)?;
            let of = (node.conn.get(), answered.seq);
            let Some(open) = node.open.borrow_mut().remove(&of) else {
                continue;
            };
            let (at, due) = (now(), self.due(open.asked));
            if is_left_when_due(at, due, node.disturbed_since(open.asked)) {
                self.end("gone", open.ticket, None, due);
                continue;
            }
            let (op, result) = match answered.what {
                What::Answer { body, .. } => {
                    ("answer", Some(String::from_utf8_lossy(body).into_owned()))
                }
                What::Backoff(_) => ("dismissed", None),
                What::Lost | What::Exception { .. } => ("given-up", None),
            };
            self.end(op, open.ticket, result, at);
        }
        Ok(())
    }
}

/// Whether a ticket whose answer was read counts as left by its caller all the same: a caller leaves one that was
/// disturbed when it is due. Its timer may fire after an answer is read that the disturbance held back until then.
pub fn is_left_when_due(read_at: u64, due: u64, was_disturbed: bool) -> bool {
    was_disturbed && read_at > due
}

/// Keeps a connection to one node.
async fn keep(caller: Rc<Caller>, node: Rc<Node>) {
    loop {
        if let Ok(Ok(stream)) = timeout(Duration::from_secs(1), TcpStream::connect(node.addr)).await
        {
            let _ = stream.set_nodelay(true);
            let (read, write) = stream.into_split();
            *node.write.borrow_mut() = Some(write);
            node.seq.set(0);
            node.conn.set(node.conn.get() + 1);
            heard(&caller, &node, read).await;
            node.write.borrow_mut().take();
        }
        sleep(AGAIN).await;
    }
}

async fn heard(caller: &Caller, node: &Node, mut read: OwnedReadHalf) {
    let (mut back, mut chunk) = (Vec::new(), vec![0; 16 << 10]);
    loop {
        match read.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(n) => back.extend_from_slice(&chunk[..n]),
        }
        if caller.read(node, &mut back).is_err() {
            return;
        }
    }
}
