//! A forwarder process with a low limit of file descriptors runs out of them: it closes idle client connections to get
//! the descriptors that it needs itself, and answers every request.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_test_servers::caller::{Call, Caller, Reply};
use rainstand_test_servers::server::{test_server, TestServer};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::future::Future;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;
use tokio::task::LocalSet;

/// Descriptor limit of the forwarder.
const DESCRIPTOR_LIMIT: u64 = 128;
/// More descriptors than the forwarder itself uses with few links.
const OWN_DESCRIPTORS: u64 = 16;
/// More idle callers than the limit allows.
const IDLE_CALLERS: usize = 300;
/// Limit after which a wait counts as hung; nothing is timed.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

fn run_with_timeout(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let done = LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(HANG_TIMEOUT, test).await
    });
    done.expect("the test should end in time");
}

/// A forwarder with two pools of one member each. Links to the second pool are opened by requests of type `register`.
struct LimitedForwarder {
    process: Child,
    log: Receiver<String>,
    listen: SocketAddr,
    admin: SocketAddr,
    nodes: [TestServer; 2],
    idle: Vec<Caller>,
    _folder: tempfile::TempDir,
}

impl Drop for LimitedForwarder {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl LimitedForwarder {
    fn start() -> Self {
        let nodes = [test_server("honour"), test_server("honour")];
        let text = format!(
            "rain 1
type check {{ repeat: rerunnable; goal: 10 s; outer-limit: 20 s }}
type register {{ repeat: exclusive; goal: 10 s; outer-limit: 20 s }}
tenant acme {{ share: 50 % }}
health h {{ keep: 50 % }}
pool p {{ health: h\nmember n0 {{ address: \"{}\" }} }}
pool q {{ health: h\nmember n1 {{ address: \"{}\" }} }}
route x {{ match {{ type: register }}; to: q }}
route r {{ to: p }}",
            nodes[0].addr, nodes[1].addr
        );
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("a.rain");
        std::fs::write(&path, text).unwrap();
        let mut process = Command::new("sh")
            .args([
                "-c",
                &format!("ulimit -n {DESCRIPTOR_LIMIT}; exec \"$0\" \"$@\""),
            ])
            .args([
                env!("CARGO_BIN_EXE_rainstand"),
                "forward",
                "--listen",
                "127.0.0.1:0",
            ])
            .args(["--admin", "127.0.0.1:0", "--config"])
            .arg(path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, log) = channel();
        let lines = BufReader::new(process.stderr.take().unwrap()).lines();
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| sender.send(line))
        });
        let address = |key: &str| {
            let line = wait_for_log(&log, key);
            let value = line.split(key).nth(1).unwrap();
            value.split_whitespace().next().unwrap().parse().unwrap()
        };
        let (admin, listen) = (address("admin="), address("listen="));
        Self {
            process,
            log,
            listen,
            admin,
            nodes,
            idle: Vec::new(),
            _folder: folder,
        }
    }

    /// A caller that has sent one request and is idle from then on.
    async fn idle_caller(&self) -> Caller {
        let mut caller = Caller::new(self.listen).await.unwrap();
        send_request(&mut caller, "check").await;
        assert!(matches!(
            caller.next_reply().await.unwrap().1,
            Reply::Served(_)
        ));
        caller
    }

    async fn open_idle_connections(&mut self) {
        for _ in 0..IDLE_CALLERS {
            let caller = self.idle_caller().await;
            self.idle.push(caller);
        }
    }

    fn pid(&self) -> i32 {
        self.process.id() as i32
    }

    fn signal(&self, name: &str) {
        assert!(Command::new("kill")
            .args([name, &self.pid().to_string()])
            .status()
            .unwrap()
            .success());
    }

    fn wait_for_log(&self, text: &str) -> String {
        wait_for_log(&self.log, text)
    }

    fn counter(&self, key: &str) -> u64 {
        self.signal("-USR1");
        parse_counter(&self.wait_for_log("counts"), key)
    }

    /// The forwarder's open descriptors, in ascending order.
    fn open_descriptors(&self) -> Vec<u64> {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.pid())).unwrap();
        let mut open: Vec<u64> = folder
            .filter_map(|entry| entry.unwrap().file_name().to_str()?.parse().ok())
            .collect();
        open.sort_unstable();
        open
    }

    /// Lowers the limit so that the forwarder cannot open a descriptor before it closes one. Open ones stay open.
    async fn exhaust_descriptors(&mut self) {
        self.set_limit(DESCRIPTOR_LIMIT);
        loop {
            let open = self.open_descriptors();
            let first_free = (0..)
                .zip(&open)
                .find(|(number, descriptor)| number != *descriptor)
                .map_or(open.len() as u64, |(number, _)| number);
            // Many of the descriptors below it must belong to idle callers.
            if first_free >= OWN_DESCRIPTORS + 30 {
                return self.set_limit(first_free);
            }
            // The next connection takes the first free descriptor.
            let caller = self.idle_caller().await;
            self.idle.push(caller);
        }
    }

    fn set_limit(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            maximum: Some(DESCRIPTOR_LIMIT),
        };
        prlimit(Pid::from_raw(self.pid()), Resource::Nofile, limit).unwrap();
    }

    /// The admin endpoint's response to `/members`.
    fn members_response(&self) -> String {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        stream.write_all(b"GET /members HTTP/1.1\r\n\r\n").unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    }
}

fn wait_for_log(log: &Receiver<String>, text: &str) -> String {
    loop {
        let line = log
            .recv_timeout(HANG_TIMEOUT)
            .unwrap_or_else(|_| panic!("the forwarder ended or hung before it logged {text}"));
        if line.contains(text) {
            return line;
        }
    }
}

/// The value of `key=value` in a line of counters.
fn parse_counter(line: &str, key: &str) -> u64 {
    let value = line
        .split_whitespace()
        .filter_map(|word| word.split_once('='))
        .find(|(word, _)| *word == key);
    value
        .unwrap_or_else(|| panic!("no {key} in {line}"))
        .1
        .trim_matches('"')
        .parse()
        .unwrap()
}

async fn send_request(caller: &mut Caller, request_class: &str) {
    caller
        .send(&Call {
            request_class,
            ..Call::default()
        })
        .await
        .unwrap();
}

#[test]
fn idle_connections_at_the_limit_leave_the_forwarder_its_own_descriptors() {
    run_with_timeout(async {
        let mut forwarder = LimitedForwarder::start();
        forwarder.open_idle_connections().await;
        // Broken links are opened again.
        forwarder.nodes[0].set_script("reset");
        let mut caller = Caller::new(forwarder.listen).await.unwrap();
        send_request(&mut caller, "check").await;
        caller.next_reply().await.unwrap();
        forwarder.nodes[0].set_script("honour");
        let links = forwarder.counter("links");
        loop {
            send_request(&mut caller, "check").await;
            if matches!(caller.next_reply().await.unwrap().1, Reply::Served(_)) {
                break;
            }
        }
        assert!(forwarder.counter("links") > links);
        send_request(&mut caller, "register").await;
        assert!(matches!(
            caller.next_reply().await.unwrap().1,
            Reply::Served(_)
        ));
        // The forwarder can read files and answer operators.
        forwarder.signal("-HUP");
        let line = forwarder.wait_for_log("event=\"version");
        assert!(line.contains("version=2"), "{line}");
        assert!(forwarder.members_response().starts_with("HTTP/1.1 200 OK"));
        let (closed_idle, exhausted) = (
            forwarder.counter("made_room"),
            forwarder.counter("descriptors_out"),
        );
        assert!(
            closed_idle >= IDLE_CALLERS as u64 - DESCRIPTOR_LIMIT && exhausted == 0,
            "{closed_idle} {exhausted}"
        );
        // Requests in flight at SIGTERM are answered.
        forwarder.nodes[0].set_script("hold");
        send_request(&mut caller, "check").await;
        while forwarder.nodes[0].observations().running == 0 {
            tokio::task::yield_now().await;
        }
        forwarder.signal("-TERM");
        forwarder.nodes[0].release();
        assert!(matches!(
            caller.next_reply().await.unwrap().1,
            Reply::Served(_)
        ));
        drop(caller);
        assert!(forwarder.process.wait().unwrap().success());
    });
}

/// The descriptor limit of a running forwarder is lowered: it closes idle connections to get the descriptors it needs.
#[test]
fn links_operators_and_the_backlog_get_descriptors_of_idle_connections_when_none_is_left() {
    const BACKLOG: usize = 20;
    run_with_timeout(async {
        let mut forwarder = LimitedForwarder::start();
        forwarder.open_idle_connections().await;
        // The first link to a member.
        forwarder.exhaust_descriptors().await;
        let mut caller = forwarder.idle.pop().unwrap();
        send_request(&mut caller, "register").await;
        assert!(matches!(
            caller.next_reply().await.unwrap().1,
            Reply::Served(_)
        ));
        forwarder.exhaust_descriptors().await;
        let closed_idle = forwarder.counter("made_room");
        assert!(forwarder.members_response().starts_with("HTTP/1.1 200 OK"));
        assert!(
            forwarder.counter("made_room") > closed_idle,
            "no idle connection was closed for the operator: a caller disconnected by itself"
        );
        forwarder.exhaust_descriptors().await;
        // Connections that wait in the listen backlog when the forwarder stops listening.
        forwarder.signal("-STOP");
        let mut backlog = Vec::new();
        for _ in 0..BACKLOG {
            let mut caller = Caller::new(forwarder.listen).await.unwrap();
            send_request(&mut caller, "check").await;
            backlog.push(caller);
        }
        forwarder.signal("-TERM");
        forwarder.signal("-CONT");
        for (index, caller) in backlog.iter_mut().enumerate() {
            assert!(
                caller.next_reply().await.is_ok(),
                "connection {index} of {BACKLOG} in the backlog got no answer"
            );
        }
        drop(backlog);
        let counts = forwarder.wait_for_log("counts");
        assert!(
            parse_counter(&counts, "descriptors_out") > BACKLOG as u64 / 2,
            "{counts}"
        );
        assert!(forwarder.process.wait().unwrap().success());
    });
}
