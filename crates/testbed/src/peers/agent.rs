//! The execution agent of one node, from the protocol's page: runs take a drawn time, have their effect at their end, go
//! on while there is no link, and are reported again after a break.

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

/// Outcomes that are retained for a node that comes back, by the protocol.
const MAX_RETAINED_OUTCOMES: usize = 4_000;

/// A result is padded to as many bytes as its request asks for, so that it fits into an answer of the protocol.
const MAX_RESULT_BYTES: usize = 7_900;

/// What an agent is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// Its name in the history.
    pub name: String,
    /// Of the times that runs take.
    pub seed: u64,
    /// The shortest run.
    pub run_least_ns: u64,
    /// The longest run.
    pub run_most_ns: u64,
    /// Where its part of the history is written.
    pub history: PathBuf,
}

/// The node's connection; a new one replaces the one before.
struct Link {
    number: u64,
    write: OwnedWriteHalf,
}

struct Agent {
    options: Options,
    history: HistoryWriter,
    random: WyRand,
    /// Outcomes without their offsets, the newest last.
    outcomes: VecDeque<Value>,
    /// How many outcomes were dropped before the retained ones.
    dropped: u64,
    /// Requests that were launched; a second launch of one does nothing.
    launched: HashSet<String>,
    link: Option<Link>,
    links: u64,
    runs: u64,
}

/// Serves until the process is ended; its address is the first line of its standard output.
///
/// # Errors
/// If it cannot listen or write its history.
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
        links: 0,
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

/// Reads commands until the link ends or is replaced.
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

/// Starts a run that ends by itself after a drawn time.
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
        self.links += 1;
        let number = self.links;
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

    /// Sends all outcomes that the node has not read yet.
    fn on_subscribe(&mut self, offset: u64) {
        self.send(&json!({"cmd": "greeting", "result": "running", "elapsed_ms": 60_000}));
        if offset == 0 {
            // A node that has read nothing: its outcomes count from 1 again, with all that are retained.
            self.dropped = 0;
        }
        let skip = offset.saturating_sub(self.dropped) as usize;
        for index in skip..self.outcomes.len() {
            self.send_outcome(index);
        }
    }

    /// The effect of a run, in the history before anybody hears of it.
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

    /// What the socket does not take at once ends the link: the node opens it again and subscribes to the rest.
    fn send(&mut self, message: &Value) {
        let Some(link) = &self.link else { return };
        let text = format!("{message}\n");
        match link.write.try_write(text.as_bytes()) {
            Ok(length) if length == text.len() => {}
            _ => self.link = None,
        }
    }
}
