//! A test execution agent for one node, following the agent protocol: runs take a random time, take effect when they
//! finish, continue while the node is disconnected, and are reported again after a reconnect.

use super::{body_field, hash, now, HistoryWriter};
use crate::history::HistoryLine;
use base64::prelude::{Engine, BASE64_STANDARD};
use foldhash::{HashSet, HashSetExt};
use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Outcomes that the protocol retains for a node that reconnects.
const MAX_RETAINED_OUTCOMES: usize = 4_000;

/// Upper limit for padding a result to the size that its request specifies; the result must fit into a protocol answer.
const MAX_RESULT_BYTES: usize = 7_900;

/// Start options of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// Observer name in the history.
    pub name: String,
    /// Seed of the random run times.
    pub seed: u64,
    /// Shortest run time in nanoseconds.
    pub run_least_ns: u64,
    /// Longest run time in nanoseconds.
    pub run_most_ns: u64,
    /// File for this agent's part of the history.
    pub history: PathBuf,
}

/// The node's connection; a new connection replaces the previous one.
struct Link {
    number: u64,
    write: OwnedWriteHalf,
}

struct Agent {
    options: Options,
    history: HistoryWriter,
    random: WyRand,
    /// Retained outcomes without their offsets, newest last.
    outcomes: VecDeque<Value>,
    /// Number of outcomes dropped before the retained ones.
    dropped: u64,
    /// Names of launched requests; a second launch of the same request does nothing.
    launched: HashSet<String>,
    link: Option<Link>,
    links_accepted: u64,
    runs: u64,
}

/// Serves until the process is killed; prints its address as the first line of standard output.
///
/// # Errors
/// If the agent cannot listen or cannot write its history.
pub async fn serve(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("{}", listener.local_addr()?);
    io::stdout().flush()?;
    let history = HistoryWriter::open(&options.history, &options.name)?;
    let agent = Rc::new(RefCell::new(Agent {
        random: WyRand::new_seed(options.seed),
        options,
        history,
        outcomes: VecDeque::new(),
        dropped: 0,
        launched: HashSet::new(),
        link: None,
        links_accepted: 0,
        runs: 0,
    }));
    loop {
        let (stream, _) = listener.accept().await?;
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let number = agent.borrow_mut().replace_link(write);
        spawn_local(serve_link(agent.clone(), number, read));
    }
}

/// Reads commands until the connection ends or is replaced.
async fn serve_link(agent: Rc<RefCell<Agent>>, number: u64, read: OwnedReadHalf) {
    let mut lines = BufReader::new(read).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if !agent.borrow().is_current(number) {
            break;
        }
        let Ok(command) = serde_json::from_str::<Value>(&line) else {
            break;
        };
        on_command(&agent, &command);
    }
    let mut agent = agent.borrow_mut();
    if agent.is_current(number) {
        agent.link = None;
    }
}

fn on_command(agent: &Rc<RefCell<Agent>>, command: &Value) {
    match command["cmd"].as_str() {
        Some("subscribe") => {
            let offset = command["offset"].as_u64().unwrap_or(0);
            agent.borrow_mut().on_subscribe(offset);
        }
        Some("sample") => {
            let token = &command["token"];
            let reply = json!({"cmd": "sampled", "token": token, "load": [0.1, 0.0, 0.1, 1.0]});
            agent.borrow_mut().send(&reply);
        }
        Some("launch") => on_launch(agent, command),
        _ => {}
    }
}

/// Starts a run that finishes after a random time.
fn on_launch(agent: &Rc<RefCell<Agent>>, command: &Value) {
    let request = command["req"].as_str().unwrap_or_default().to_owned();
    if !agent.borrow_mut().launched.insert(request.clone()) {
        return;
    }
    let run_time = agent.borrow_mut().draw_run_time();
    let payload = command["payload"].as_str().unwrap_or_default();
    let body = BASE64_STANDARD.decode(payload).unwrap_or_default();
    let agent = agent.clone();
    spawn_local(async move {
        sleep(run_time).await;
        agent.borrow_mut().on_run_finished(&request, &body);
    });
}

impl Agent {
    fn replace_link(&mut self, write: OwnedWriteHalf) -> u64 {
        self.links_accepted += 1;
        let number = self.links_accepted;
        self.link = Some(Link { number, write });
        number
    }

    fn is_current(&self, number: u64) -> bool {
        self.link.as_ref().is_some_and(|link| link.number == number)
    }

    fn draw_run_time(&mut self) -> Duration {
        let (min, max) = (self.options.run_least_ns, self.options.run_most_ns);
        Duration::from_nanos(self.random.generate_range(min..=max.max(min)))
    }

    /// Sends all outcomes after the node's offset.
    fn on_subscribe(&mut self, offset: u64) {
        self.send(&json!({"cmd": "greeting", "result": "running", "elapsed_ms": 60_000}));
        if offset == 0 {
            // The node has read nothing: number all retained outcomes from 1 again.
            self.dropped = 0;
        }
        let skip = offset.saturating_sub(self.dropped) as usize;
        for index in skip..self.outcomes.len() {
            self.send_outcome(index);
        }
    }

    /// Writes the effect of a run to the history before reporting its outcome.
    fn on_run_finished(&mut self, request: &str, body: &[u8]) {
        self.runs += 1;
        let text = String::from_utf8_lossy(body);
        let mut result = format!("{}-{}", self.options.name, self.runs);
        if let Some(bytes) = body_field(&text, "result-bytes").and_then(|text| text.parse().ok()) {
            let padding = MAX_RESULT_BYTES.min(bytes).saturating_sub(result.len());
            result.extend(std::iter::repeat_n('.', padding));
        }
        if let Some(key) = body_field(&text, "key") {
            let line = HistoryLine {
                at: now(),
                key: Some(key.to_owned()),
                body: Some(hash(body)),
                result: Some(result.clone()),
                ..HistoryLine::default()
            };
            self.history.write("ran", line);
        }
        let payload = BASE64_STANDARD.encode(result);
        self.outcomes.push_back(
            json!({"cmd": "outcome", "req": request, "result": "fine", "elapsed_ms": 1,
            "payload": payload}),
        );
        self.send_outcome(self.outcomes.len() - 1);
        if self.outcomes.len() > MAX_RETAINED_OUTCOMES {
            self.outcomes.pop_front();
            self.dropped += 1;
        }
    }

    fn send_outcome(&mut self, index: usize) {
        let offset = self.dropped + index as u64 + 1;
        let mut outcome = self.outcomes[index].clone();
        outcome["offset"] = offset.into();
        self.send(&outcome);
    }

    /// Drops the connection if the socket does not accept the complete message immediately: the node reconnects and
    /// subscribes to the remaining outcomes.
    fn send(&mut self, message: &Value) {
        let Some(link) = &self.link else { return };
        let text = format!("{message}\n");
        match link.write.try_write(text.as_bytes()) {
            Ok(length) if length == text.len() => {}
            _ => self.link = None,
        }
    }
}
