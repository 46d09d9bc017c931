//! The render farm agent of one node, from the protocol's page: runs take a drawn time, have their effect at their
//! end, go on while there is no link, and are told again after a break.

use super::{field, hash, now, Book};
use crate::history::Line;
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

/// Notices that are kept, by the protocol.
const KEPT: usize = 4_000;

/// What it is told at its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    pub name: String,
    pub seed: u64,
    pub run_least_ns: u64,
    pub run_most_ns: u64,
    pub history: PathBuf,
}

struct Agent {
    options: Options,
    book: Book,
    chance: WyRand,
    /// Notices without their numbers, the newest last, and how many were dropped before them.
    notices: VecDeque<Value>,
    dropped: u64,
    /// Requests that came; a second launch of one does nothing.
    reqs: HashSet<String>,
    link: Option<(u64, OwnedWriteHalf)>,
    links: u64,
    runs: u64,
}

/// Serves until the process is ended; says its port on standard output first.
///
/// # Errors
/// If it cannot listen or write its history.
pub async fn serve(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("{}", listener.local_addr()?);
    io::stdout().flush()?;
    let book = Book::open(&options.history, &options.name)?;
    let agent = Rc::new(RefCell::new(Agent {
        chance: WyRand::new_seed(options.seed),
        options,
        book,
        notices: VecDeque::new(),
        dropped: 0,
        reqs: HashSet::new(),
        link: None,
        links: 0,
        runs: 0,
    }));
    loop {
        let (stream, _) = listener.accept().await?;
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let number = {
            let mut all = agent.borrow_mut();
            all.links += 1;
            // A new link replaces the one before.
            all.link = Some((all.links, write));
            all.links
        };
        spawn_local(link(agent.clone(), number, read));
    }
}

async fn link(agent: Rc<RefCell<Agent>>, number: u64, read: OwnedReadHalf) {
    let mut lines = BufReader::new(read).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let current = agent
            .borrow()
            .link
            .as_ref()
            .is_some_and(|link| link.0 == number);
        let Some(command) = serde_json::from_str::<Value>(&line)
            .ok()
            .filter(|_| current)
        else {
            break;
        };
        take(&agent, &command);
    }
    let mut all = agent.borrow_mut();
    if all.link.as_ref().is_some_and(|link| link.0 == number) {
        all.link = None;
    }
}

fn take(agent: &Rc<RefCell<Agent>>, command: &Value) {
    let mut all = agent.borrow_mut();
    match command["cmd"].as_str() {
        Some("subscribe") => {
            all.tell(&json!({"cmd": "greeting", "result": "running", "elapsed_ms": 60_000}));
            let offset = command["offset"].as_u64().unwrap_or(0);
            if offset == 0 {
                // A node that has read nothing: its notices count from 1 again, with all that is kept.
                all.dropped = 0;
            }
            let skip = offset.saturating_sub(all.dropped) as usize;
            for at in skip..all.notices.len() {
                all.tell_kept(at);
            }
        }
        Some("sample") => {
            let token = command["token"].clone();
            all.tell(&json!({"cmd": "sampled", "token": token, "load": [0.1, 0.0, 0.1, 1.0]}));
        }
        Some("launch") => {
            let req = command["req"].as_str().unwrap_or_default().to_owned();
            if !all.reqs.insert(req.clone()) {
                return;
            }
            let (least, most) = (all.options.run_least_ns, all.options.run_most_ns);
            let takes = Duration::from_nanos(all.chance.generate_range(least..=most.max(least)));
            let payload = command["payload"].as_str().unwrap_or_default();
            let body = BASE64_STANDARD.decode(payload).unwrap_or_default();
            drop(all);
            let agent = agent.clone();
            spawn_local(async move {
                sleep(takes).await;
                agent.borrow_mut().ran(&req, &body);
            });
        }
        _ => {}
    }
}

impl Agent {
    /// The effect of a run, in the history before anybody hears of it.
    fn ran(&mut self, req: &str, body: &[u8]) {
        self.runs += 1;
        let result = format!("{}-{}", self.options.name, self.runs);
        let text = String::from_utf8_lossy(body);
        if let Some(key) = field(&text, "key") {
            let line = Line {
                at: now(),
                key: Some(key.to_owned()),
                body: Some(hash(body)),
                result: Some(result.clone()),
                ..Line::default()
            };
            self.book.write("ran", line);
        }
        let payload = BASE64_STANDARD.encode(result);
        self.notices.push_back(
            json!({"cmd": "outcome", "req": req, "result": "fine", "elapsed_ms": 1,
            "payload": payload}),
        );
        self.tell_kept(self.notices.len() - 1);
        if self.notices.len() > KEPT {
            self.notices.pop_front();
            self.dropped += 1;
        }
    }

    fn tell_kept(&mut self, at: usize) {
        let number = self.dropped + at as u64 + 1;
        let mut notice = self.notices[at].clone();
        notice["offset"] = number.into();
        self.tell(&notice);
    }

    /// What the socket does not take at once ends the link: the node opens it again and asks for the rest.
    fn tell(&mut self, message: &Value) {
        let Some((_, write)) = &self.link else { return };
        let text = format!("{message}\n");
        match write.try_write(text.as_bytes()) {
            Ok(n) if n == text.len() => {}
            _ => self.link = None,
        }
    }
}
