//! Stand-ins for the cases of the second review: an execution agent, a dispatcher's connection, processes of the
//! project, and the record of what was sent, answered and run. Standard library only.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn sleep_until(at: Instant) {
    let left = at.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        thread::sleep(left);
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// The record of a case: one line an event, with milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A run that had its effect.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub node: String,
    pub process: u64,
    pub trace: String,
    pub body: String,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
            started: Instant::now(),
            runs: Arc::default(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_micros();
        let line = format!("{:>8}.{:03} ms  {}\n", at / 1000, at % 1000, text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    fn run(&self, run: Run) {
        self.line(format!(
            "agent of {} (process {}): EFFECT, req={} body={}",
            run.node, run.process, run.trace, run.body
        ));
        self.runs.lock().unwrap().push(run);
    }

    /// All effects of a body.
    pub fn runs_of(&self, body: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.body == body).cloned().collect()
    }

    pub fn all_runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

/// What a case is started with.
pub struct Case {
    /// The root of the checkout.
    pub root: PathBuf,
    /// The folder of the case.
    pub folder: PathBuf,
    /// A temporary folder.
    pub temp: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
    pub record: Record,
}

/// Runs a case: `program ROOT FOLDER TEMP`.
pub fn run_case(play: impl FnOnce(&Case) -> Result<i32, String> + Send + 'static) {
    let mut arguments = std::env::args().skip(1);
    let mut next = || PathBuf::from(arguments.next().expect("ROOT FOLDER TEMP"));
    let (root, folder, temp) = (next(), next(), next());
    let trouble = std::env::var("TROUBLE").map_or(true, |word| word != "0");
    let record = Record::create(&folder).expect("record.txt cannot be written");
    let case = Case {
        root,
        folder,
        temp,
        trouble,
        record: record.clone(),
    };
    record.line(format!("begin, TROUBLE={}", u8::from(trouble)));
    let (done, over) = channel();
    thread::spawn(move || {
        let code = match std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&case))) {
            Ok(Ok(code)) => code,
            Ok(Err(error)) => {
                case.record.line(format!("could not run: {error}"));
                NOT_RUN
            }
            Err(_) => NOT_RUN,
        };
        let _ = done.send(code);
    });
    let code = over.recv_timeout(Duration::from_secs(110)).unwrap_or(NOT_RUN);
    end_processes();
    let word = ["the rule held", "THE RULE WAS BROKEN", "the case could not run"];
    record.line(format!("end: {}", word[code as usize]));
    std::process::exit(code);
}

static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

fn end_processes() {
    for child in CHILDREN.lock().unwrap().drain(..) {
        let mut child = child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A process of the project.
#[derive(Clone)]
pub struct Process {
    pub name: String,
    child: Arc<Mutex<Child>>,
    record: Record,
}

impl Process {
    /// Starts a command line by `/bin/sh -c` from the root of the checkout.
    pub fn start(case: &Case, name: &str, line: &str, env: &[(&str, &str)]) -> Result<Self, String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(case.temp.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(line).current_dir(&case.root);
        command.stdin(Stdio::null());
        command.stdout(log.try_clone().map_err(|error| error.to_string())?);
        command.stderr(log);
        command.envs(env.iter().copied());
        // No process outlives the case, also if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.spawn().map_err(|error| error.to_string())?;
        case.record.line(format!("start {name}"));
        let child = Arc::new(Mutex::new(child));
        CHILDREN.lock().unwrap().push(child.clone());
        Ok(Self {
            name: name.to_owned(),
            child,
            record: case.record.clone(),
        })
    }

    pub fn signal(&self, signal: i32) {
        let word = match signal {
            SIGHUP => "HUP",
            SIGKILL => "KILL",
            SIGTERM => "TERM",
            SIGCONT => "CONT",
            SIGSTOP => "STOP",
            _ => "?",
        };
        self.record.line(format!("signal {word} to {}", self.name));
        let mut child = self.child.lock().unwrap();
        if let Ok(None) = child.try_wait() {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// The exit code, if the process has ended; -1 after a signal.
    pub fn ended(&self) -> Option<i32> {
        let status = self.child.lock().unwrap().try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }

    pub fn wait(&self, limit: Duration) -> Option<i32> {
        let until = Instant::now() + limit;
        loop {
            if let Some(code) = self.ended() {
                self.record.line(format!("{} ended with {code}", self.name));
                return Some(code);
            }
            if Instant::now() > until {
                return None;
            }
            thread::sleep(ms(5));
        }
    }

    pub fn kill(&self) {
        self.signal(SIGKILL);
        let _ = self.wait(ms(5_000));
    }
}

/// Runs a command line of the project to its end; its exit code and output.
pub fn command(case: &Case, line: &str) -> (i32, String) {
    let output = Command::new("/bin/sh")
        .arg("-c")
        .arg(line)
        .current_dir(&case.root)
        .stdin(Stdio::null())
        .output();
    match output {
        Ok(output) => {
            let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
            text.push_str(&String::from_utf8_lossy(&output.stderr));
            (output.status.code().unwrap_or(-1), text)
        }
        Err(error) => (-1, error.to_string()),
    }
}

static PORTS: Mutex<Option<HashSet<u16>>> = Mutex::new(None);

/// A port of 127.0.0.1 that was free just now, below those that the system gives to connections.
pub fn free_port() -> u16 {
    let mut used = PORTS.lock().unwrap();
    let used = used.get_or_insert_with(HashSet::new);
    let mut draw = u64::from(std::process::id()) << 32 ^ unix_ms();
    loop {
        draw = draw.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        let port = 12_000 + ((draw >> 33) % 18_000) as u16;
        if used.insert(port) && TcpListener::bind(loopback(port)).is_ok() {
            return port;
        }
    }
}

pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

// ---------------------------------------------------------------------------------------------------------------
// The execution agent

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for k in 0..4 {
            if k <= chunk.len() {
                text.push(BASE64[(word >> (18 - 6 * k)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut word, mut bits, mut bytes) = (0u32, 0, Vec::new());
    for c in text.bytes().filter(|c| *c != b'=') {
        let Some(value) = BASE64.iter().position(|known| *known == c) else {
            continue;
        };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

/// A field of a flat JSON object, without escapes.
pub fn json_field<'l>(line: &'l str, key: &str) -> Option<&'l str> {
    let start = line.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = line[start..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next();
    }
    rest.split(|c| c == ',' || c == '}').next().map(str::trim)
}

/// How long a run takes, by its body.
pub type RunTime = Arc<dyn Fn(&str) -> Duration + Send + Sync>;

struct AgentState {
    node: String,
    process: u64,
    record: Record,
    run_time: RunTime,
    started: Instant,
    /// Numbered notices of this start, without the brackets.
    notices: Vec<String>,
    running: HashMap<String, String>,
    launched: HashSet<String>,
    link: Option<TcpStream>,
    over: bool,
}

impl AgentState {
    fn send(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            if link.write_all(line.as_bytes()).is_err() {
                self.link = None;
            }
        }
    }

    fn notice(&mut self, rest: String) {
        let offset = self.notices.len() + 1;
        let line = format!("{{\"cmd\":\"outcome\",\"offset\":{offset},{rest}}}\n");
        self.notices.push(line.clone());
        self.send(&line);
    }
}

/// An execution agent, as the protocol page describes it. It ends with its node.
pub struct Agent {
    pub port: u16,
    state: Arc<Mutex<AgentState>>,
    stop: Arc<AtomicBool>,
}

impl Agent {
    pub fn start(case: &Case, node: &str, process: u64, port: u16, run_time: RunTime) -> Result<Self, String> {
        let listener = TcpListener::bind(loopback(port)).map_err(|error| format!("agent: {error}"))?;
        listener.set_nonblocking(true).map_err(|error| error.to_string())?;
        let state = Arc::new(Mutex::new(AgentState {
            node: node.to_owned(),
            process,
            record: case.record.clone(),
            run_time,
            started: Instant::now(),
            notices: Vec::new(),
            running: HashMap::new(),
            launched: HashSet::new(),
            link: None,
            over: false,
        }));
        let stop = Arc::new(AtomicBool::new(false));
        let (accepting, stopping) = (state.clone(), stop.clone());
        thread::spawn(move || {
            while !stopping.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let state = accepting.clone();
                        thread::spawn(move || serve_link(&state, stream));
                    }
                    Err(_) => thread::sleep(ms(2)),
                }
            }
        });
        Ok(Self { port, state, stop })
    }

    /// The machine dies: nothing more runs or is told.
    pub fn kill(&self) {
        self.stop.store(true, Ordering::Relaxed);
        let mut state = self.state.lock().unwrap();
        state.over = true;
        state.running.clear();
        if let Some(link) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        drop(state);
        thread::sleep(ms(10));
    }

    /// How many runs are going on.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }
}

fn serve_link(state: &Arc<Mutex<AgentState>>, stream: TcpStream) {
    let Ok(write) = stream.try_clone() else { return };
    let mut write = Some(write);
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { return };
        let mut agent = state.lock().unwrap();
        if agent.over {
            return;
        }
        let text = |key| json_field(&line, key).unwrap_or_default().to_owned();
        match json_field(&line, "cmd").unwrap_or_default() {
            "subscribe" => {
                let after: usize = text("offset").parse().unwrap_or(0);
                agent.link = write.take();
                let up = agent.started.elapsed().as_millis();
                agent.send(&format!("{{\"cmd\":\"greeting\",\"result\":\"running\",\"elapsed_ms\":{up}}}\n"));
                let replay: Vec<String> = agent.notices.iter().skip(after).cloned().collect();
                replay.iter().for_each(|line| agent.send(line));
            }
            "sample" => {
                let token = text("token");
                let share = (agent.running.len() as f64 / 6.0).min(1.0);
                let count = agent.running.len();
                agent.send(&format!(
                    "{{\"cmd\":\"sampled\",\"token\":\"{token}\",\"load\":[{share},{count},0.1,2]}}\n"
                ));
            }
            "exercise" => {
                let token = text("token");
                agent.send(&format!("{{\"cmd\":\"exercised\",\"token\":\"{token}\",\"result\":\"fine\"}}\n"));
            }
            "launch" => launch(state, &mut agent, text("req"), &text("payload")),
            "freeze" => {
                let req = text("req");
                if agent.running.remove(&req).is_some() {
                    let record = agent.record.clone();
                    record.line(format!("agent of {}: run stopped, req={req}", agent.node));
                    agent.notice(format!("\"req\":\"{req}\",\"result\":\"broken_off\",\"elapsed_ms\":1"));
                }
            }
            _ => {}
        }
    }
}

fn launch(state: &Arc<Mutex<AgentState>>, agent: &mut AgentState, req: String, payload: &str) {
    if agent.running.contains_key(&req) {
        return;
    }
    if !agent.launched.insert(req.clone()) {
        agent.notice(format!("\"req\":\"{req}\",\"result\":\"late\",\"elapsed_ms\":0"));
        return;
    }
    let body = String::from_utf8_lossy(&from_base64(payload)).into_owned();
    agent.record.line(format!(
        "agent of {} (process {}): run begins, req={req} body={body}",
        agent.node, agent.process
    ));
    agent.running.insert(req.clone(), body.clone());
    let time = (agent.run_time)(&body);
    let state = state.clone();
    thread::spawn(move || {
        // The effect comes in the middle of the run: a run that ends before has none.
        thread::sleep(time / 2);
        let agent = state.lock().unwrap();
        if agent.over || !agent.running.contains_key(&req) {
            return;
        }
        agent.record.run(Run {
            at: Instant::now(),
            node: agent.node.clone(),
            process: agent.process,
            trace: req.clone(),
            body: body.clone(),
        });
        drop(agent);
        thread::sleep(time - time / 2);
        let mut agent = state.lock().unwrap();
        if agent.over || agent.running.remove(&req).is_none() {
            return;
        }
        let result = base64(format!("result of {body} by {}.{}", agent.node, agent.process).as_bytes());
        let elapsed = time.as_millis();
        agent.notice(format!(
            "\"req\":\"{req}\",\"result\":\"fine\",\"elapsed_ms\":{elapsed},\"payload\":\"{result}\""
        ));
    });
}

/// An announce service that answers each report.
pub fn announce_service() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let port = listener.local_addr().expect("no address").port();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_reports(stream));
        }
    });
    port
}

fn answer_reports(mut stream: TcpStream) {
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(n) = stream.read(&mut chunk) {
        if n == 0 {
            return;
        }
        bytes.extend_from_slice(&chunk[..n]);
        while let Some(head) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
            let length = text.split("content-length:").nth(1);
            let length = length.and_then(|rest| rest.trim_start().split("\r\n").next()?.trim().parse::<usize>().ok());
            let end = head + 4 + length.unwrap_or(0);
            if bytes.len() < end {
                break;
            }
            bytes.drain(..end);
            if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------
// A dispatcher's connection

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served(String),
    Refused,
    Failed,
    Exception(String),
    /// The connection ended without an answer.
    Ended,
}

fn put_u32(bytes: &mut Vec<u8>, n: u32) {
    bytes.extend_from_slice(&n.to_be_bytes());
}

fn put_string(bytes: &mut Vec<u8>, text: &[u8]) {
    put_u32(bytes, text.len() as u32);
    bytes.extend_from_slice(text);
}

fn frame(message: Vec<u8>) -> Vec<u8> {
    let mut frame = Vec::with_capacity(message.len() + 4);
    put_u32(&mut frame, message.len() as u32);
    frame.extend(message);
    frame
}

fn head(kind: u8, name: &str, seq: i32) -> Vec<u8> {
    let mut bytes = Vec::new();
    put_u32(&mut bytes, 0x8001_0000 | u32::from(kind));
    put_string(&mut bytes, name.as_bytes());
    put_u32(&mut bytes, seq as u32);
    bytes
}

pub fn process_frame(seq: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = head(1, "process", seq);
    bytes.extend_from_slice(&[13, 0, 1, 11, 11]);
    put_u32(&mut bytes, fields.len() as u32);
    for (key, value) in fields {
        put_string(&mut bytes, key.as_bytes());
        put_string(&mut bytes, value.as_bytes());
    }
    bytes.extend_from_slice(&[11, 0, 2]);
    put_string(&mut bytes, body);
    bytes.push(0);
    frame(bytes)
}

pub fn give_up_frame(seq: i32) -> Vec<u8> {
    let mut bytes = head(4, "giveUp", 0);
    bytes.extend_from_slice(&[8, 0, 1]);
    put_u32(&mut bytes, seq as u32);
    bytes.push(0);
    frame(bytes)
}

pub fn probe_frame(seq: i32) -> Vec<u8> {
    let mut bytes = head(1, "probe", seq);
    bytes.extend_from_slice(&[2, 0, 1, 0, 0]);
    frame(bytes)
}

struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (first, rest) = (self.0.get(..n)?, self.0.get(n..)?);
        self.0 = rest;
        Some(first)
    }
    fn u8(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }
    fn u16(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.take(2)?.try_into().ok()?))
    }
    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }
    fn string(&mut self) -> Option<&'a [u8]> {
        let n = self.u32()? as usize;
        self.take(n)
    }
    fn skip(&mut self, kind: u8) -> Option<()> {
        match kind {
            2 | 3 => drop(self.take(1)?),
            6 => drop(self.take(2)?),
            8 => drop(self.take(4)?),
            4 | 10 => drop(self.take(8)?),
            11 => drop(self.string()?),
            12 => loop {
                let kind = self.u8()?;
                if kind == 0 {
                    break;
                }
                self.u16()?;
                self.skip(kind)?;
            },
            13 => {
                let (keys, values, n) = (self.u8()?, self.u8()?, self.u32()?);
                for _ in 0..n {
                    self.skip(keys)?;
                    self.skip(values)?;
                }
            }
            _ => return None,
        }
        Some(())
    }
}

/// An answer to `process`, with its sequence number; `None` for another message.
fn read_answer(message: &[u8]) -> Option<(i32, Answer)> {
    let mut cursor = Cursor(message);
    let kind = cursor.u32()? as u8;
    let name = cursor.string()?;
    let seq = cursor.u32()? as i32;
    if kind == 3 {
        let mut why = String::new();
        loop {
            let kind = cursor.u8()?;
            if kind == 0 {
                break;
            }
            let id = cursor.u16()?;
            if (kind, id) == (11, 1) {
                why = String::from_utf8_lossy(cursor.string()?).into_owned();
            } else {
                cursor.skip(kind)?;
            }
        }
        return Some((seq, Answer::Exception(why)));
    }
    if kind != 2 {
        let _ = name;
        return None;
    }
    let (kind, id) = (cursor.u8()?, cursor.u16()?);
    if kind != 12 {
        return None;
    }
    match id {
        0 => {
            let mut body = String::new();
            loop {
                let kind = cursor.u8()?;
                if kind == 0 {
                    break;
                }
                let id = cursor.u16()?;
                if (kind, id) == (11, 1) {
                    body = String::from_utf8_lossy(cursor.string()?).into_owned();
                } else {
                    cursor.skip(kind)?;
                }
            }
            Some((seq, Answer::Served(body)))
        }
        1 => Some((seq, Answer::Refused)),
        _ => Some((seq, Answer::Failed)),
    }
}

static TRACES: AtomicU64 = AtomicU64::new(1);

pub fn new_trace() -> String {
    let number = TRACES.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", 0x9b1f_0000_0000_0000u64 + (number << 20) + u64::from(std::process::id()) % 4096)
}

/// A ticket that a dispatcher sends.
#[derive(Clone, Debug)]
pub struct Ticket {
    pub class: String,
    pub tenant: String,
    pub nonce: Option<String>,
    pub entity: Option<String>,
    pub redo: bool,
    /// How long its caller waits, in ms, if it is told.
    pub patience: Option<u64>,
    pub body: String,
}

impl Ticket {
    pub fn new(class: &str, tenant: &str, body: &str) -> Self {
        Self {
            class: class.to_owned(),
            tenant: tenant.to_owned(),
            nonce: None,
            entity: None,
            redo: false,
            patience: None,
            body: body.to_owned(),
        }
    }

    pub fn with_nonce(mut self, nonce: &str) -> Self {
        self.nonce = Some(nonce.to_owned());
        self
    }

    pub fn again(mut self) -> Self {
        self.redo = true;
        self
    }

    pub fn fields(&self, trace: &str) -> Vec<(&'static str, String)> {
        let mut fields = vec![
            ("route", self.class.clone()),
            ("trace", trace.to_owned()),
            ("born", unix_ms().to_string()),
            ("client", "4".to_owned()),
            ("customer", self.tenant.clone()),
            ("size", "24.5".to_owned()),
            ("order", "0.6250".to_owned()),
        ];
        fields.extend(self.redo.then(|| ("redo", "1".to_owned())));
        fields.extend(self.nonce.clone().map(|nonce| ("nonce", nonce)));
        fields.extend(self.entity.clone().map(|entity| ("entity", entity)));
        fields.extend(self.patience.map(|patience| ("patience", patience.to_string())));
        fields
    }
}

/// A connection of a dispatcher to a node or a forwarder.
pub struct Client {
    name: String,
    stream: TcpStream,
    answers: Receiver<(i32, Answer, Instant)>,
    early: HashMap<i32, (Answer, Instant)>,
    next: i32,
    record: Record,
    pub shut_down: Arc<AtomicBool>,
    pub ended: Arc<AtomicBool>,
}

impl Client {
    pub fn connect(case: &Case, name: &str, port: u16) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&loopback(port), ms(2_000)).map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let mut reading = stream.try_clone().map_err(|error| error.to_string())?;
        let (send, answers) = channel();
        let shut_down = Arc::new(AtomicBool::new(false));
        let ended = Arc::new(AtomicBool::new(false));
        let (told, end) = (shut_down.clone(), ended.clone());
        thread::spawn(move || {
            let (mut bytes, mut chunk) = (Vec::new(), [0; 16384]);
            loop {
                match reading.read(&mut chunk) {
                    Ok(0) | Err(_) => break,
                    Ok(n) => bytes.extend_from_slice(&chunk[..n]),
                }
                while bytes.len() >= 4 {
                    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
                    if bytes.len() < 4 + length {
                        break;
                    }
                    match read_answer(&bytes[4..4 + length]) {
                        Some((seq, answer)) => drop(send.send((seq, answer, Instant::now()))),
                        None => told.store(true, Ordering::Relaxed),
                    }
                    bytes.drain(..4 + length);
                }
            }
            end.store(true, Ordering::Relaxed);
        });
        Ok(Self {
            name: name.to_owned(),
            stream,
            answers,
            early: HashMap::new(),
            next: 1,
            record: case.record.clone(),
            shut_down,
            ended,
        })
    }

    /// Sends a ticket; its sequence number.
    pub fn send(&mut self, ticket: &Ticket) -> Result<i32, String> {
        let trace = new_trace();
        let seq = self.next;
        self.next += 1;
        let bytes = process_frame(seq, &ticket.fields(&trace), ticket.body.as_bytes());
        self.stream.write_all(&bytes).map_err(|error| error.to_string())?;
        let mut marks = String::new();
        if let Some(nonce) = &ticket.nonce {
            let _ = write!(marks, " nonce={nonce}");
        }
        if ticket.redo {
            marks.push_str(" redo=1");
        }
        self.record.line(format!(
            "{} sends #{seq}: type={} trace={trace}{marks} body={}",
            self.name, ticket.class, ticket.body
        ));
        Ok(seq)
    }

    pub fn give_up(&mut self, seq: i32) {
        let _ = self.stream.write_all(&give_up_frame(seq));
        self.record.line(format!("{} gives up #{seq}", self.name));
    }

    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The next sequence number, for a frame that is written by hand.
    pub fn take_seq(&mut self) -> i32 {
        self.next += 1;
        self.next - 1
    }

    /// Waits for the answer to a call.
    pub fn answer(&mut self, seq: i32, limit: Duration) -> Option<Answer> {
        self.timed_answer(seq, limit).map(|(answer, _)| answer)
    }

    pub fn timed_answer(&mut self, seq: i32, limit: Duration) -> Option<(Answer, Instant)> {
        let until = Instant::now() + limit;
        loop {
            if let Some(found) = self.early.remove(&seq) {
                self.record.line(format!("{}: #{seq} is answered: {:?}", self.name, found.0));
                return Some(found);
            }
            match self.answers.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok((other, answer, at)) => drop(self.early.insert(other, (answer, at))),
                Err(RecvTimeoutError::Timeout) => {
                    self.record.line(format!("{}: #{seq} has no answer", self.name));
                    return None;
                }
                Err(RecvTimeoutError::Disconnected) => {
                    self.record.line(format!("{}: the connection ended before #{seq} was answered", self.name));
                    return Some((Answer::Ended, Instant::now()));
                }
            }
        }
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Whether a node or forwarder answers a health check now.
pub fn answers_probe(port: u16) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&loopback(port), ms(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ms(500)));
    stream.write_all(&probe_frame(1)).is_ok() && matches!(stream.read(&mut [0; 256]), Ok(n) if n > 0)
}

pub fn wait_until(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if check() {
            return true;
        }
        thread::sleep(ms(20));
    }
    check()
}

// ---------------------------------------------------------------------------------------------------------------
// Nodes

/// A class in the settings of a node.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    /// `free`, `guarded` or `single_shot`.
    pub effect: &'static str,
    pub aim_s: f64,
    pub deadline_s: f64,
    pub window_s: f64,
}

/// What a node is started with.
#[derive(Clone)]
pub struct NodeOptions {
    pub name: String,
    pub listen: u16,
    pub agent: u16,
    pub announce: u16,
    pub stop_ms: u64,
    pub classes: Vec<Class>,
    pub halt: &'static str,
    pub passes_deadline: bool,
}

impl NodeOptions {
    pub fn json(&self) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    "{{\"name\":\"{}\",\"aimS\":{},\"deadlineS\":{},\"effect\":\"{}\",\"lateWorth\":0.0,\"value\":1.0,\"windowS\":{}}}",
                    class.name, class.aim_s, class.deadline_s, class.effect, class.window_s
                )
            })
            .collect();
        let flags = vec!["false"; self.classes.len()].join(",");
        let zeros = vec!["0.0"; self.classes.len()].join(",");
        format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:{listen}","agent":"127.0.0.1:{agent}","announce":"127.0.0.1:{announce}",
"seed":"8c1f30d27a5be964","stop_ms":{stop},"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"clients":{{"marksRetry":true}},"countedBy":"request",
"familyInfo":{{"below":"off","callShare":0.0,"callers":2,"callsOverS":5.0,"lingersS":0.2,"classCalls":[{flags}],
"classSkipWorth":[{zeros}],"cold":false,"cores":6,"entryKb":10.0,"freshS":0.0,
"gauges":["core_use","on_cores","heap_share","links"],"halt":"{halt}","hangupSeen":true,"idleS":30.0,
"passesDeadline":{passes},"ramKb":40000.0,"readiness":false,"realChecks":false,"runMemFactor":16.0,"saidForS":1.0,"say":"off"}},
"groupSize":3,
"obligations":{{"answerSlackS":0.08,"coldShare":0.22,"drainGraceS":2.0,"fallS":3.0,"overloadFactor":6.0,"rampTimeS":18.0}},
"parties":[{{"name":"acme","portion":0.6,"quotaRps":30.0}},{{"name":"globex","portion":0.4,"quotaRps":20.0}}],
"permissions":{{"cpuUsPerRequest":0.0,"cpuUsPerS":60000,"maxRetryAfterS":1.0,"retryAfter":true}},
"requestClasses":[{classes}]}}}}
"#,
            name = self.name,
            listen = self.listen,
            agent = self.agent,
            announce = self.announce,
            stop = self.stop_ms,
            halt = self.halt,
            passes = self.passes_deadline,
            classes = classes.join(","),
        )
    }
}

/// A node with its agent: a machine.
pub struct Machine {
    pub options: NodeOptions,
    pub node: Process,
    pub agent: Agent,
    pub process: u64,
    run_time: RunTime,
    settings: Option<String>,
}

impl Machine {
    pub fn start(case: &Case, options: NodeOptions, run_time: RunTime, settings: Option<String>) -> Result<Self, String> {
        Self::start_as(case, options, run_time, settings, 1)
    }

    fn start_as(
        case: &Case,
        options: NodeOptions,
        run_time: RunTime,
        settings: Option<String>,
        process: u64,
    ) -> Result<Self, String> {
        let agent = Agent::start(case, &options.name, process, options.agent, run_time.clone())?;
        let path = case.temp.join(format!("{}.json", options.name));
        std::fs::write(&path, options.json()).map_err(|error| error.to_string())?;
        let path = path.to_string_lossy().into_owned();
        let mut env = vec![("ROUTER_CONFIG", path.as_str())];
        if let Some(settings) = &settings {
            env.push(("RAINSTAND_SETTINGS", settings.as_str()));
        }
        let node = Process::start(case, &options.name, "exec target/release/rainstand-node", &env)?;
        Ok(Self {
            options,
            node,
            agent,
            process,
            run_time,
            settings,
        })
    }

    pub fn ready(&self, limit: Duration) -> Result<(), String> {
        let port = self.options.listen;
        wait_until(limit, || answers_probe(port))
            .then_some(())
            .ok_or(format!("{} is not ready", self.options.name))?;
        // The greeting of the agent comes at once; requests before it are refused.
        thread::sleep(ms(100));
        Ok(())
    }

    /// Killed outright, together with its agent.
    pub fn kill(&self) {
        self.node.kill();
        self.agent.kill();
    }

    /// Starts again from nothing under its name and addresses.
    pub fn restart(self, case: &Case) -> Result<Self, String> {
        Self::start_as(case, self.options, self.run_time, self.settings, self.process + 1)
    }
}
