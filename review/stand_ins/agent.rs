//! The render farm agent, by the protocol page.

use crate::tools::{base64, flat_json, from_base64, part, Chance, Record};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// How often the agent reads commands, advances its runs and writes notices.
pub const AGENT_TICK: Duration = Duration::from_millis(4);

/// One stretch of a run.
#[derive(Clone)]
pub enum Step {
    Work(Duration),
    /// A call below, with its number within the run.
    Call(usize),
}

pub struct Run {
    pub body: String,
    pub steps: VecDeque<Step>,
    pub due: Instant,
    /// The call that it waits for.
    pub waits: Option<usize>,
    pub replies: Vec<String>,
    pub started: Instant,
}

/// One run, as the agent saw it.
#[derive(Clone)]
pub struct Ran {
    pub trace: String,
    pub body: String,
    pub started: Instant,
    pub result: Option<String>,
    /// Replies that reached the run, by the call for which it waited.
    pub replies: Vec<String>,
}

#[derive(Default)]
pub struct AgentState {
    pub ran: Vec<Ran>,
    /// Set to break the link at the next tick.
    pub break_link: bool,
    pub breaks: u64,
}

#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    pub state: Arc<Mutex<AgentState>>,
}

/// What a run does: its steps, from its body.
pub type Plan = fn(&str, &mut Chance) -> VecDeque<Step>;

pub struct AgentLoop {
    pub name: String,
    pub listener: TcpListener,
    pub link: Option<TcpStream>,
    pub incoming: Vec<u8>,
    pub outgoing: Vec<u8>,
    /// All numbered notices, without their numbers.
    pub notices: Vec<String>,
    pub runs: BTreeMap<String, Run>,
    /// Requests whose run has ended.
    pub over: HashSet<String>,
    pub numbers: u64,
    pub plan: Plan,
    pub chance: Chance,
    pub record: Record,
    pub started: Instant,
    pub state: Arc<Mutex<AgentState>>,
}

impl Agent {
    pub fn start(name: &str, plan: Plan, seed: u64, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(AgentState::default()));
        let mut agent = AgentLoop {
            name: name.to_owned(),
            listener,
            link: None,
            incoming: Vec::new(),
            outgoing: Vec::new(),
            notices: Vec::new(),
            runs: BTreeMap::new(),
            over: HashSet::new(),
            numbers: 0,
            plan,
            chance: Chance(seed),
            record: record.clone(),
            started: Instant::now(),
            state: state.clone(),
        };
        thread::spawn(move || loop {
            let next = Instant::now() + AGENT_TICK;
            agent.tick();
            sleep(next.saturating_duration_since(Instant::now()));
        });
        Ok(Self { address, state })
    }

    pub fn break_link(&self) {
        self.state.lock().unwrap().break_link = true;
    }

    pub fn ran(&self) -> Vec<Ran> {
        self.state.lock().unwrap().ran.clone()
    }
}

impl AgentLoop {
    pub fn tick(&mut self) {
        if let Ok((link, _)) = self.listener.accept() {
            let _ = link.set_nonblocking(true);
            let _ = link.set_nodelay(true);
            self.link = Some(link);
            self.incoming.clear();
            self.outgoing.clear();
        }
        self.read();
        self.advance();
        self.write();
        let broken = std::mem::take(&mut self.state.lock().unwrap().break_link);
        if broken && self.link.take().is_some() {
            self.state.lock().unwrap().breaks += 1;
            self.record.line(&format!("{} the link breaks", self.name));
        }
    }

    pub fn read(&mut self) {
        let mut ended = false;
        if let Some(link) = &mut self.link {
            let mut chunk = [0; 16 << 10];
            loop {
                match link.read(&mut chunk) {
                    Ok(0) => {
                        ended = true;
                        break;
                    }
                    Ok(length) => self.incoming.extend_from_slice(&chunk[..length]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => {
                        ended = true;
                        break;
                    }
                }
            }
        }
        while let Some(end) = self.incoming.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.incoming.drain(..=end).collect();
            self.on_command(&String::from_utf8_lossy(&line));
        }
        if ended {
            self.link = None;
        }
    }

    pub fn send(&mut self, text: &str) {
        if self.link.is_some() {
            self.outgoing.extend_from_slice(text.as_bytes());
            self.outgoing.push(b'\n');
        }
    }

    pub fn notice(&mut self, text: String) {
        self.notices.push(text);
        self.send_notice(self.notices.len());
    }

    pub fn send_notice(&mut self, offset: usize) {
        let text = format!("{{\"offset\":{offset},{}}}", self.notices[offset - 1]);
        self.send(&text);
    }

    pub fn on_command(&mut self, line: &str) {
        let command = flat_json(line);
        let value = |name: &str| command.get(name).cloned().unwrap_or_default();
        let request = value("req");
        match value("cmd").as_str() {
            "subscribe" => {
                let up = self.started.elapsed().as_millis();
                self.send(&format!(
                    "{{\"cmd\":\"greeting\",\"result\":\"running\",\"elapsed_ms\":{up}}}"
                ));
                let read: usize = value("offset").parse().unwrap_or(0);
                for offset in read + 1..=self.notices.len() {
                    self.send_notice(offset);
                }
            }
            "sample" => {
                let token = value("token");
                let running = self.runs.values().filter(|run| run.waits.is_none()).count();
                let busy = (running as f64 / 6.0).min(0.7);
                self.send(&format!(
                    "{{\"cmd\":\"sampled\",\"token\":\"{token}\",\"load\":[{busy:.2},{running},0.1,8]}}"
                ));
            }
            "exercise" => {
                let token = value("token");
                self.send(&format!(
                    "{{\"cmd\":\"exercised\",\"token\":\"{token}\",\"result\":\"fine\"}}"
                ));
            }
            "launch" => self.launch(request, &from_base64(&value("payload"))),
            "freeze" => self.stop(&request),
            "deliver" => self.deliver(&request, &from_base64(&value("payload"))),
            "forgo" => self.deliver(&request, b"forgone"),
            _ => {}
        }
    }

    pub fn launch(&mut self, request: String, body: &[u8]) {
        if self.runs.contains_key(&request) {
            return;
        }
        if self.over.contains(&request) {
            self.notice(format!(
                "\"cmd\":\"outcome\",\"req\":\"{request}\",\"result\":\"late\",\"elapsed_ms\":0,\"payload\":\"\""
            ));
            return;
        }
        let body = String::from_utf8_lossy(body).into_owned();
        self.record
            .line(&format!("{} run {request} starts: {body}", self.name));
        let now = Instant::now();
        self.state.lock().unwrap().ran.push(Ran {
            trace: request.clone(),
            body: body.clone(),
            started: now,
            result: None,
            replies: Vec::new(),
        });
        let steps = (self.plan)(&body, &mut self.chance);
        let run = Run {
            body,
            steps,
            due: now,
            waits: None,
            replies: Vec::new(),
            started: now,
        };
        self.runs.insert(request, run);
    }

    /// The reply to the call that the run waits for; ignored if it waits for none.
    pub fn deliver(&mut self, request: &str, payload: &[u8]) {
        let Some(run) = self.runs.get_mut(request) else {
            return;
        };
        let Some(call) = run.waits.take() else { return };
        let reply = String::from_utf8_lossy(payload).into_owned();
        self.record.line(&format!(
            "{} run {request} gets for its call {call}: {reply}",
            self.name
        ));
        run.replies.push(reply);
        run.due = Instant::now();
    }

    pub fn stop(&mut self, request: &str) {
        if self.runs.contains_key(request) {
            self.end(request, "broken_off", "");
        }
    }

    pub fn end(&mut self, request: &str, end: &str, result: &str) {
        let Some(run) = self.runs.remove(request) else {
            return;
        };
        self.over.insert(request.to_owned());
        let elapsed = run.started.elapsed().as_millis();
        let payload = base64(result.as_bytes());
        self.record
            .line(&format!("{} run {request} ends {end}: {result}", self.name));
        if let Some(ran) = self
            .state
            .lock()
            .unwrap()
            .ran
            .iter_mut()
            .find(|ran| ran.trace == request)
        {
            ran.replies = run.replies.clone();
            ran.result = (end == "fine").then(|| result.to_owned());
        }
        self.notice(format!(
            "\"cmd\":\"outcome\",\"req\":\"{request}\",\"result\":\"{end}\",\"elapsed_ms\":{elapsed},\"payload\":\"{payload}\""
        ));
    }

    pub fn advance(&mut self) {
        let now = Instant::now();
        let due = |run: &Run| run.waits.is_none() && run.due <= now;
        let requests: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, run)| due(run))
            .map(|(request, _)| request.clone())
            .collect();
        for request in requests {
            let Some(run) = self.runs.get_mut(&request) else {
                continue;
            };
            match run.steps.pop_front() {
                Some(Step::Work(time)) => run.due = now + time,
                Some(Step::Call(number)) => {
                    run.waits = Some(number);
                    let body = format!("{};call={number}", run.body);
                    self.record.line(&format!(
                        "{} run {request} stands at its call {number}",
                        self.name
                    ));
                    let payload = base64(body.as_bytes());
                    self.notice(format!(
                        "\"cmd\":\"request\",\"req\":\"{request}\",\"payload\":\"{payload}\""
                    ));
                }
                None => {
                    self.numbers += 1;
                    let ticket = part(&run.body, "ticket").unwrap_or_default();
                    let replies = run.replies.join("|");
                    let result = format!(
                        "number={}-{};ticket={ticket};replies={replies}",
                        self.name, self.numbers
                    );
                    self.end(&request, "fine", &result);
                }
            }
        }
    }

    pub fn write(&mut self) {
        if let Some(link) = &mut self.link {
            while !self.outgoing.is_empty() {
                match link.write(&self.outgoing) {
                    Ok(length) => drop(self.outgoing.drain(..length)),
                    Err(_) => break,
                }
            }
        }
    }
}
