//! A caller: sends requests to nodes at a steady rate, repeats requests with an idempotency key at other nodes, and
//! records each request and its outcome.
//!
//! A request that never gets an answer has no end in the history, which the checker reports. The caller abandons a
//! request (`gone`) only if its connection broke or the testbed reported a disturbance of this node or link while the
//! request was open.

use super::{hash, now, HistoryWriter};
use crate::history::{HistoryLine, RequestEnd};
use foldhash::HashMap;
use nanorand::{Rng, WyRand};
use rainstand_protocol::thrift::{self, What};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader, Lines, Stdin};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Open requests per connection: below the protocol's limit, which leaves capacity for abandoned requests.
const MAX_OPEN_REQUESTS: usize = 24;
/// Recent keys that may be repeated, about the last one or two seconds.
const MAX_REPEATED_KEYS: usize = 64;
/// Pause between two connection attempts.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Time limit for a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// One in this many repeats is sent to several nodes concurrently.
const CONCURRENT_REPEAT_ODDS: u32 = 4;
/// Nodes that get a concurrent repeat.
const MAX_CONCURRENT_REPEATS: usize = 3;
/// Size of the read buffer.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Start options of a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// Observer name in the history.
    pub name: String,
    /// Seed of the caller's random choices.
    pub seed: u64,
    /// Names of the nodes and the addresses at which this caller reaches them.
    pub nodes: Vec<(String, SocketAddr)>,
    /// Mean interval between two requests in nanoseconds; the actual interval varies by ±50 %.
    pub every_ns: u64,
    /// Share of requests with an idempotency key, in millionths.
    pub keyed: u64,
    /// Share of the requests with a key that repeat an earlier key, in millionths.
    pub repeats: u64,
    /// Whether repeats may go to any node, not only to the first request's node.
    pub moves: bool,
    /// The nodes' deadline of a request in nanoseconds after it is sent.
    pub within_ns: u64,
    /// Tolerance added to the deadline, in nanoseconds.
    pub slack_ns: u64,
    /// Duration in nanoseconds for which requests are sent.
    pub lasts_ns: u64,
    /// File for this caller's part of the history.
    pub history: PathBuf,
}

struct OpenRequest {
    name: String,
    sent_at: u64,
}

/// Identifies a request on the wire by its connection and its sequence number there.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct WireId {
    connection: u32,
    sequence: i32,
}

struct Node {
    name: String,
    address: SocketAddr,
    write: RefCell<Option<OwnedWriteHalf>>,
    /// Open requests; those of a broken connection stay until their deadline.
    open: RefCell<HashMap<WireId, OpenRequest>>,
    connection: Cell<u32>,
    sequence: Cell<i32>,
    /// Number of ongoing disturbances.
    disturbances: Cell<u32>,
    /// End of the last disturbance, in nanoseconds.
    last_disturbed_at: Cell<u64>,
}

impl Node {
    fn new(name: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            address,
            write: RefCell::default(),
            open: RefCell::default(),
            connection: Cell::new(0),
            sequence: Cell::new(0),
            disturbances: Cell::new(0),
            last_disturbed_at: Cell::new(0),
        }
    }

    /// Whether the testbed reported a disturbance that was ongoing at this time or later.
    fn is_disturbed_since(&self, at: u64) -> bool {
        self.disturbances.get() > 0 || self.last_disturbed_at.get() >= at
    }

    /// Number of open requests on the current connection.
    fn open_requests(&self) -> usize {
        let open = self.open.borrow();
        open.keys()
            .filter(|id| id.connection == self.connection.get())
            .count()
    }
}

/// A key that may be repeated.
#[derive(Clone)]
struct UsedKey {
    key: String,
    body: String,
    /// Index of the node that got the first request.
    node: usize,
}

struct Caller {
    options: Options,
    history: RefCell<HistoryWriter>,
    nodes: Vec<Rc<Node>>,
    requests: Cell<u64>,
    used_keys: RefCell<VecDeque<UsedKey>>,
}

/// Prints `ready`, waits for `begin` on standard input, and sends requests until the run and all requests have ended.
///
/// # Errors
/// If the caller cannot write its history.
pub async fn call(options: Options) -> io::Result<()> {
    let history = RefCell::new(HistoryWriter::open(&options.history, &options.name)?);
    let nodes = options.nodes.iter();
    let nodes = nodes.map(|(name, address)| Rc::new(Node::new(name, *address)));
    let caller = Rc::new(Caller {
        history,
        nodes: nodes.collect(),
        requests: Cell::new(0),
        used_keys: RefCell::default(),
        options,
    });
    for node in &caller.nodes {
        spawn_local(run_connection(caller.clone(), node.clone()));
    }
    let mut input = BufReader::new(tokio::io::stdin()).lines();
    println!("ready");
    io::stdout().flush()?;
    while input.next_line().await?.is_some_and(|line| line != "begin") {}
    spawn_local(read_disturbances(caller.clone(), input));
    caller.send_requests().await;
    caller.wait_for_open_requests().await;
    Ok(())
}

async fn read_disturbances(caller: Rc<Caller>, mut input: Lines<BufReader<Stdin>>) {
    while let Ok(Some(line)) = input.next_line().await {
        caller.on_disturbance(&line);
    }
}

impl Caller {
    async fn send_requests(self: &Rc<Self>) {
        let started = now();
        let mut random = WyRand::new_seed(self.options.seed);
        let interval = Duration::from_nanos(self.options.every_ns);
        while now() < started + self.options.lasts_ns {
            self.send_next(&mut random);
            let percent = random.generate_range(50..150u32);
            sleep(interval.mul_f64(f64::from(percent) / 100.0)).await;
        }
    }

    async fn wait_for_open_requests(&self) {
        let longest = Duration::from_nanos(self.options.within_ns + self.options.slack_ns);
        let has_open = |node: &Rc<Node>| !node.open.borrow().is_empty();
        let all_ended = async {
            while self.nodes.iter().any(has_open) {
                sleep(RECONNECT_DELAY).await;
            }
        };
        let _ = timeout(longest + RECONNECT_DELAY, all_ended).await;
    }

    /// Handles a line such as `disturb n2` or `calm n2`.
    fn on_disturbance(&self, line: &str) {
        let Some((event, name)) = line.split_once(' ') else {
            return;
        };
        for node in self.nodes.iter().filter(|node| node.name == name) {
            match event {
                "disturb" => node.disturbances.set(node.disturbances.get() + 1),
                "calm" => {
                    let remaining = node.disturbances.get().saturating_sub(1);
                    node.disturbances.set(remaining);
                    node.last_disturbed_at.set(now());
                }
                _ => {}
            }
        }
    }

    /// Sends one request, or several concurrent ones with the same key.
    fn send_next(self: &Rc<Self>, random: &mut WyRand) {
        let nodes = self.nodes.len() as u64;
        let mut draw = |share: u64| random.generate_range(0..1_000_000u64) < share;
        let has_key = draw(self.options.keyed);
        let is_repeat = draw(self.options.repeats);
        let node = random.generate_range(0..nodes) as usize;
        if !has_key {
            self.send(node, None, "v=0");
        } else if is_repeat && !self.used_keys.borrow().is_empty() {
            self.repeat(node, random);
        } else {
            self.send_new_key(node);
        }
    }

    /// Repeats an earlier key at the random node, or at the node of its first request.
    fn repeat(self: &Rc<Self>, random_node: usize, random: &mut WyRand) {
        let count = self.used_keys.borrow().len() as u64;
        let index = random.generate_range(0..count) as usize;
        let used = self.used_keys.borrow()[index].clone();
        let at_several = random.generate_range(0..CONCURRENT_REPEAT_ODDS) == 0;
        let nodes = self.nodes.len();
        let moves = self.options.moves;
        let first = if moves { random_node } else { used.node };
        let copies = if at_several && moves {
            nodes.min(MAX_CONCURRENT_REPEATS)
        } else {
            1
        };
        for offset in 0..copies {
            self.send((first + offset) % nodes, Some(&used.key), &used.body);
        }
    }

    fn send_new_key(self: &Rc<Self>, node: usize) {
        let key = format!("{}-{}", self.options.name, self.requests.get());
        let body = format!("key={key};v=1");
        if !self.send(node, Some(&key), &body) {
            return;
        }
        let mut keys = self.used_keys.borrow_mut();
        keys.push_back(UsedKey { key, body, node });
        if keys.len() > MAX_REPEATED_KEYS {
            keys.pop_front();
        }
    }

    /// Returns false if nothing was sent: the node is unreachable or has [`MAX_OPEN_REQUESTS`] open.
    fn send(self: &Rc<Self>, node: usize, key: Option<&str>, body: &str) -> bool {
        let node = &self.nodes[node];
        let write = node.write.borrow();
        let has_capacity = node.open_requests() < MAX_OPEN_REQUESTS;
        let Some(write) = write.as_ref().filter(|_| has_capacity) else {
            return false;
        };
        let number = self.requests.get();
        self.requests.set(number + 1);
        node.sequence.set(node.sequence.get() + 1);
        let id = WireId {
            connection: node.connection.get(),
            sequence: node.sequence.get(),
        };
        let sent_at = now();
        let deadline = self.deadline(sent_at);
        let class = if key.is_some() { "register" } else { "check" };
        let line = HistoryLine {
            at: sent_at,
            request: Some(format!("t{number}")),
            request_class: Some(class.to_owned()),
            key: key.map(str::to_owned),
            body: Some(hash(body.as_bytes())),
            node: Some(node.name.clone()),
            deadline: Some(deadline),
            ..HistoryLine::default()
        };
        self.history.borrow_mut().write("ask", line);
        let name = format!("t{number}");
        let mut open = node.open.borrow_mut();
        open.insert(id, OpenRequest { name, sent_at });
        drop(open);
        write_frame(write, &self.frame(number, id.sequence, class, key, body));
        let (caller, node) = (self.clone(), node.clone());
        spawn_local(async move {
            sleep(Duration::from_nanos(deadline.saturating_sub(now()))).await;
            caller.on_deadline(&node, id);
        });
        true
    }

    fn frame(
        &self,
        number: u64,
        sequence: i32,
        class: &str,
        key: Option<&str>,
        body: &str,
    ) -> Vec<u8> {
        let trace = hash(format!("{}/{number}", self.options.name).as_bytes());
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let created_ms = since_epoch.as_millis().to_string();
        let mut fields = vec![
            ("route", class),
            ("trace", &trace),
            ("born", &created_ms),
            ("customer", "acme"),
        ];
        fields.extend([("size", "4"), ("client", "1"), ("order", "0.5")]);
        fields.extend(key.map(|key| ("entity", key)));
        thrift::process(sequence, &fields, body.as_bytes())
    }

    /// Abandons a disturbed request at its deadline. Any other request stays open, and a later answer is recorded with
    /// its time, which violates the deadline invariant.
    fn on_deadline(&self, node: &Node, id: WireId) {
        let mut all_open = node.open.borrow_mut();
        let sent_at = all_open.get(&id).map(|open| open.sent_at);
        let is_abandoned = sent_at.is_some_and(|at| node.is_disturbed_since(at));
        let abandoned = is_abandoned.then(|| all_open.remove(&id)).flatten();
        drop(all_open);
        let Some(open) = abandoned else { return };
        let deadline = self.deadline(open.sent_at);
        self.record_end(RequestEnd::Abandoned, open.name, None, deadline);
        let write = node.write.borrow();
        if let Some(write) = write
            .as_ref()
            .filter(|_| node.connection.get() == id.connection)
        {
            let _ = write.try_write(&thrift::give_up(id.sequence));
        }
    }

    /// Time by which a request sent at `sent_at` must have ended, in nanoseconds.
    fn deadline(&self, sent_at: u64) -> u64 {
        sent_at + self.options.within_ns + self.options.slack_ns
    }

    fn record_end(&self, end: RequestEnd, request: String, result: Option<String>, at: u64) {
        let line = HistoryLine {
            at,
            request: Some(request),
            result,
            ..HistoryLine::default()
        };
        self.history.borrow_mut().write(end.operation(), line);
    }

    /// Removes complete frames from the front of the received bytes and handles them.
    fn on_received(&self, node: &Node, received: &mut Vec<u8>) -> Result<(), thrift::ReasonCode> {
        while let Some(length) = thrift::frame(received)? {
            let frame: Vec<u8> = received.drain(..4 + length).skip(4).collect();
            if thrift::kind(&frame) == Some(thrift::ONEWAY) {
                continue;
            }
            self.on_answer(node, &thrift::answered(&frame)?);
        }
        Ok(())
    }

    fn on_answer(&self, node: &Node, answer: &thrift::Answered<'_>) {
        let id = WireId {
            connection: node.connection.get(),
            sequence: answer.seq,
        };
        let Some(open) = node.open.borrow_mut().remove(&id) else {
            return;
        };
        let (read_at, deadline) = (now(), self.deadline(open.sent_at));
        let was_disturbed = node.is_disturbed_since(open.sent_at);
        if is_abandoned_at_deadline(read_at, deadline, was_disturbed) {
            self.record_end(RequestEnd::Abandoned, open.name, None, deadline);
            return;
        }
        let (end, result) = match &answer.what {
            What::Answer { body, .. } => {
                let body = String::from_utf8_lossy(body).into_owned();
                (RequestEnd::Served, Some(body))
            }
            What::Backoff(_) => (RequestEnd::Rejected, None),
            What::Lost | What::Exception { .. } => (RequestEnd::Failed, None),
        };
        self.record_end(end, open.name, result, read_at);
    }
}

/// Whether a request counts as abandoned although its answer was read: a caller abandons a disturbed request at its
/// deadline, but the timer may fire only after the caller has read an answer that the disturbance delayed.
pub fn is_abandoned_at_deadline(read_at: u64, deadline: u64, was_disturbed: bool) -> bool {
    was_disturbed && read_at > deadline
}

/// Writes a complete frame without waiting, or shuts the connection down: a partial frame may have been sent.
fn write_frame(write: &OwnedWriteHalf, frame: &[u8]) {
    let is_written = write
        .try_write(frame)
        .is_ok_and(|length| length == frame.len());
    if !is_written {
        let stream: &TcpStream = write.as_ref();
        let _ = socket2::SockRef::from(stream).shutdown(Shutdown::Both);
    }
}

/// Maintains a connection to one node.
async fn run_connection(caller: Rc<Caller>, node: Rc<Node>) {
    loop {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(node.address)).await;
        if let Ok(Ok(stream)) = connected {
            let _ = stream.set_nodelay(true);
            let (read, write) = stream.into_split();
            *node.write.borrow_mut() = Some(write);
            node.sequence.set(0);
            node.connection.set(node.connection.get() + 1);
            read_answers(&caller, &node, read).await;
            node.write.borrow_mut().take();
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Reads until the connection ends.
async fn read_answers(caller: &Caller, node: &Node, mut read: OwnedReadHalf) {
    let (mut received, mut chunk) = (Vec::new(), vec![0; READ_CHUNK_BYTES]);
    loop {
        match read.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(length) => received.extend_from_slice(&chunk[..length]),
        }
        if caller.on_received(node, &mut received).is_err() {
            return;
        }
    }
}
