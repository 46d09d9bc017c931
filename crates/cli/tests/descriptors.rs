//! Descriptors run out, in a forwarder of its own process with a low limit: idle clients rest at it, and what the forwarder
//! needs itself it still has. Whoever rests makes room; every ticket gets its answer.

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

/// Descriptors of the forwarder.
const LIMIT: u64 = 128;
/// More than it has for itself with few links.
const OWN: u64 = 16;
/// More clients than it can have.
const IDLE: usize = 300;
/// Only what hangs is caught by this; nothing is timed.
const HANGS: Duration = Duration::from_secs(60);

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let done =
        LocalSet::new().block_on(&runtime, async { tokio::time::timeout(HANGS, test).await });
    done.expect("a test that ends");
}

/// One forwarder before two pools of one member each: the links to the second are opened when a test wants them.
struct Squeezed {
    process: Child,
    log: Receiver<String>,
    listen: SocketAddr,
    admin: SocketAddr,
    nodes: [TestServer; 2],
    idle: Vec<Caller>,
    _folder: tempfile::TempDir,
}

impl Drop for Squeezed {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Squeezed {
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
            .args(["-c", &format!("ulimit -n {LIMIT}; exec \"$0\" \"$@\"")])
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
        let (put, log) = channel();
        let lines = BufReader::new(process.stderr.take().unwrap()).lines();
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| put.send(line))
        });
        let address = |key: &str| {
            let line = says(&log, key);
            let at = line.split(key).nth(1).unwrap();
            at.split_whitespace().next().unwrap().parse().unwrap()
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

    /// A client that was of use once and rests from then on.
    async fn one_that_rests(&self) -> Caller {
        let mut caller = Caller::new(self.listen).await.unwrap();
        asks(&mut caller, "check").await;
        assert!(matches!(
            caller.next_reply().await.unwrap().1,
            Reply::Served(_)
        ));
        caller
    }

    async fn fill(&mut self) {
        for _ in 0..IDLE {
            let one = self.one_that_rests().await;
            self.idle.push(one);
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

    fn says(&self, what: &str) -> String {
        says(&self.log, what)
    }

    fn counted(&self, key: &str) -> u64 {
        self.signal("-USR1");
        counted(&self.says("counts"), key)
    }

    /// Those that the forwarder has open, by number.
    fn open(&self) -> Vec<u64> {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.pid())).unwrap();
        let mut open: Vec<u64> = folder
            .filter_map(|entry| entry.unwrap().file_name().to_str()?.parse().ok())
            .collect();
        open.sort_unstable();
        open
    }

    /// From here on the forwarder can open none, unless it closes one. What it has open stays.
    async fn squeeze(&mut self) {
        self.allow(LIMIT);
        loop {
            let open = self.open();
            let first_free = (0..)
                .zip(&open)
                .find(|(n, fd)| n != *fd)
                .map_or(open.len() as u64, |(n, _)| n);
            // Among those before it many must be clients' that rest.
            if first_free >= OWN + 30 {
                return self.allow(first_free);
            }
            // The next takes the first that is free.
            let one = self.one_that_rests().await;
            self.idle.push(one);
        }
    }

    fn allow(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            maximum: Some(LIMIT),
        };
        prlimit(Pid::from_raw(self.pid()), Resource::Nofile, limit).unwrap();
    }

    /// What operators read.
    fn members(&self) -> String {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        stream.set_read_timeout(Some(HANGS)).unwrap();
        stream.write_all(b"GET /members HTTP/1.1\r\n\r\n").unwrap();
        let mut told = String::new();
        stream.read_to_string(&mut told).unwrap();
        told
    }
}

fn says(log: &Receiver<String>, what: &str) -> String {
    loop {
        let line = log
            .recv_timeout(HANGS)
            .unwrap_or_else(|_| panic!("a forwarder that lives and says {what}"));
        if line.contains(what) {
            return line;
        }
    }
}

/// `key=value` in a line of counters.
fn counted(line: &str, key: &str) -> u64 {
    let value = line
        .split_whitespace()
        .filter_map(|word| word.split_once('='))
        .find(|(word, _)| *word == key);
    value
        .unwrap_or_else(|| panic!("{key} in {line}"))
        .1
        .trim_matches('"')
        .parse()
        .unwrap()
}

async fn asks(caller: &mut Caller, route: &str) {
    caller
        .send(&Call {
            request_class: route,
            ..Call::default()
        })
        .await
        .unwrap();
}

#[test]
fn who_rests_at_the_limit_leaves_the_forwarder_its_own() {
    play(async {
        let mut s = Squeezed::start();
        s.fill().await;
        // Links break and are opened anew.
        s.nodes[0].set_script("reset");
        let mut caller = Caller::new(s.listen).await.unwrap();
        asks(&mut caller, "check").await;
        caller.next_reply().await.unwrap();
        s.nodes[0].set_script("honour");
        let links = s.counted("links");
        loop {
            asks(&mut caller, "check").await;
            if matches!(caller.next_reply().await.unwrap().1, Reply::Served(_)) {
                break;
            }
        }
        assert!(s.counted("links") > links);
        asks(&mut caller, "register").await;
        assert!(matches!(
            caller.next_reply().await.unwrap().1,
            Reply::Served(_)
        ));
        // Files are read, and operators answered.
        s.signal("-HUP");
        let told = s.says("event=\"version");
        assert!(told.contains("version=2"), "{told}");
        assert!(s.members().starts_with("HTTP/1.1 200 OK"));
        let (room, out) = (s.counted("made_room"), s.counted("descriptors_out"));
        assert!(room >= IDLE as u64 - LIMIT && out == 0, "{room} {out}");
        // What is in hand at the notice is answered.
        s.nodes[0].set_script("hold");
        asks(&mut caller, "check").await;
        while s.nodes[0].observations().running == 0 {
            tokio::task::yield_now().await;
        }
        s.signal("-TERM");
        s.nodes[0].release();
        assert!(matches!(
            caller.next_reply().await.unwrap().1,
            Reply::Served(_)
        ));
        drop(caller);
        assert!(s.process.wait().unwrap().success());
    });
}

/// The system takes descriptors back from a forwarder that runs: it has its own by closing who rests.
#[test]
fn where_none_is_left_links_operators_and_a_crowd_have_theirs_from_who_rests() {
    const CROWD: usize = 20;
    play(async {
        let mut s = Squeezed::start();
        s.fill().await;
        // The first link to a member.
        s.squeeze().await;
        let mut caller = s.idle.pop().unwrap();
        asks(&mut caller, "register").await;
        assert!(matches!(
            caller.next_reply().await.unwrap().1,
            Reply::Served(_)
        ));
        s.squeeze().await;
        let room = s.counted("made_room");
        assert!(s.members().starts_with("HTTP/1.1 200 OK"));
        assert!(
            s.counted("made_room") > room,
            "an operator waited for somebody who went by himself"
        );
        s.squeeze().await;
        // A crowd that waits with the system when the listening ends.
        s.signal("-STOP");
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            let mut caller = Caller::new(s.listen).await.unwrap();
            asks(&mut caller, "check").await;
            crowd.push(caller);
        }
        s.signal("-TERM");
        s.signal("-CONT");
        for (n, caller) in crowd.iter_mut().enumerate() {
            assert!(
                caller.next_reply().await.is_ok(),
                "{n} of {CROWD} that the system accepted has no answer"
            );
        }
        drop(crowd);
        let counts = s.says("counts");
        assert!(
            counted(&counts, "descriptors_out") > CROWD as u64 / 2,
            "{counts}"
        );
        assert!(s.process.wait().unwrap().success());
    });
}
