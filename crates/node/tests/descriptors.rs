//! Descriptors run out, in real processes with a low limit: idle clients rest at it, discovery is down, and the node
//! still has those that it needs itself. Whoever rests makes room; every ticket gets its answer.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod world;

use rainstand_node::thrift;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use world::stand_ins::{Agent, Caller, Http};
use world::{alone, born, example, said, whole_ticket, Program};

/// Descriptors of the node.
const LIMIT: usize = 160;
/// More than the node has for itself with one call.
const OWN: u64 = 16;
/// More clients than it can have.
const IDLE: usize = 300;

/// What the announce service does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Announce {
    /// There is none.
    None,
    /// Nobody listens.
    Dead,
    /// Connections come in with the system and nobody answers.
    Silent,
    Resets,
}

/// One node as a process, and all that it talks to.
struct Squeezed {
    node: Program,
    agents: TcpListener,
    agent: Option<Agent>,
    below: TcpListener,
    config: Value,
    path: PathBuf,
    idle: Vec<Caller>,
}

impl Squeezed {
    /// A node that is given so many descriptors and was told that it has `sockets`.
    async fn start(name: &str, sockets: [usize; 2], announce: Announce) -> Self {
        Self::start_with(name, sockets, announce, None).await
    }

    async fn start_with(
        name: &str,
        [given, sockets]: [usize; 2],
        announce: Announce,
        settings: Option<&Path>,
    ) -> Self {
        let listen = || async { TcpListener::bind("127.0.0.1:0").await.unwrap() };
        let (agents, below, service, own) = (
            listen().await,
            listen().await,
            listen().await,
            listen().await,
        );
        let mut config = example();
        for (key, of) in [
            ("listen", &own),
            ("agent", &agents),
            ("db", &below),
            ("announce", &service),
        ] {
            config[key] = json!(of.local_addr().unwrap().to_string());
        }
        drop(own);
        if announce == Announce::None {
            config["announce"] = Value::Null;
        }
        config["limits"]["sockets"] = json!(sockets);
        config["stop_ms"] = json!(30_000);
        config["settings"]["obligations"]["drainGraceS"] = json!(0);
        // Who rests does not go by itself.
        config["settings"]["familyInfo"]["idleS"] = json!(600);
        let path =
            std::env::temp_dir().join(format!("rainstand-{name}-{}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).unwrap();
        if matches!(announce, Announce::Silent | Announce::Resets) {
            spawn_local(misbehave(service, announce));
        }
        let node = Program::start_within(&path, given, settings);
        let mut agent = Agent::accept(&agents).await;
        agent.greet().await;
        Self {
            node,
            agents,
            agent: Some(agent),
            below,
            config,
            path,
            idle: Vec::new(),
        }
    }

    async fn caller(&self) -> Caller {
        Caller::connect(self.config["listen"].as_str().unwrap().parse().unwrap()).await
    }

    /// A client that was of use once and rests from then on.
    async fn one_that_rests(&self) -> Caller {
        let mut caller = self.caller().await;
        let probe = caller.probe().await;
        assert_eq!(caller.next().await, said(probe, "probe", "good"));
        caller
    }

    async fn fill(&mut self) {
        for _ in 0..IDLE {
            self.idle.push(self.one_that_rests().await);
        }
    }

    /// Those that the node has open, by number.
    fn open(&self) -> Vec<u64> {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.node.pid())).unwrap();
        let mut open: Vec<u64> = folder
            .filter_map(|entry| entry.unwrap().file_name().to_str()?.parse().ok())
            .collect();
        open.sort_unstable();
        open
    }

    /// From here on the node can open none, unless it closes one. What it has open stays: those that rest, and so many
    /// `others` of this test.
    async fn squeeze(&mut self, others: usize) {
        loop {
            // Whom the node ended lets go of it, or a descriptor would come free later.
            self.idle.retain(|caller| {
                let ended = caller.stream.try_read(&mut [0]);
                ended.is_err_and(|why| why.kind() == std::io::ErrorKind::WouldBlock)
            });
            if counted(&self.counts().await, "conns") != self.idle.len() + others {
                continue;
            }
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
            self.idle.push(self.one_that_rests().await);
        }
    }

    fn allow(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            maximum: Some(LIMIT as u64),
        };
        prlimit(Pid::from_raw(self.node.pid()), Resource::Nofile, limit).unwrap();
    }

    /// The agent's link breaks, and is opened anew.
    async fn agent_again(&mut self) {
        self.agent.take().unwrap().hang_up();
        let mut agent = Agent::accept(&self.agents).await;
        agent.greet().await;
        self.agent = Some(agent);
    }

    /// The next command, which must be this one; the ticket's name in it.
    async fn expect(&mut self, cmd: &str) -> Value {
        let command = self
            .agent
            .as_mut()
            .unwrap()
            .command()
            .await
            .expect("a command");
        assert_eq!(command["cmd"], cmd, "{command}");
        command["req"].clone()
    }

    /// One ticket on a connection, launched, its call made and answered, and honoured; it is told by notices from this one on.
    async fn honours(&mut self, caller: &mut Caller, notice: u64) {
        caller
            .send(&whole_ticket(1, &format!("{notice:016x}")))
            .await;
        let req = self.expect("launch").await;
        self.agent
            .as_mut()
            .unwrap()
            .asks_call(notice, &req, b"c")
            .await;
        let mut http = Http::accept(&self.below).await;
        http.request().await.unwrap();
        http.reply("200 OK", b"row").await;
        assert_eq!(self.expect("deliver").await, req);
        self.agent
            .as_mut()
            .unwrap()
            .outcome(notice + 1, &req, "fine", b"r")
            .await;
        assert_eq!(caller.next().await, said(1, "honoured", "r"));
    }

    /// All that rest are told and closed, and the process ends.
    async fn drains(mut self) {
        self.node.signal("-TERM");
        self.node.says("drain ends").await;
        assert!(self.node.process.wait().await.unwrap().success());
        std::fs::remove_file(&self.path).unwrap();
    }

    /// The counters, on request.
    async fn counts(&mut self) -> String {
        self.node.signal("-USR1");
        self.node.says("counts").await
    }
}

/// An announce service of no use, for as long as the test lasts.
async fn misbehave(service: TcpListener, announce: Announce) {
    let mut held = Vec::new();
    loop {
        let http = Http::accept(&service).await;
        if announce == Announce::Silent {
            held.push(http);
        }
    }
}

/// One that is worth nothing without its call.
fn register_request(seq: i32, n: usize) -> Vec<u8> {
    let (trace, born) = (format!("{n:016x}"), born());
    let fields = [
        ("route", "register"),
        ("trace", &trace),
        ("born", &born),
        ("customer", "acme"),
    ];
    thrift::process(
        seq,
        &[
            &fields[..],
            &[("size", "20"), ("client", "1"), ("order", "0.5")],
        ]
        .concat(),
        b"b",
    )
}

/// `key=value` in a line of counters.
fn counted(line: &str, key: &str) -> usize {
    let words = line.split(|c: char| c.is_whitespace() || "[]".contains(c));
    let value = words
        .filter_map(|word| word.split_once('='))
        .find(|(word, _)| *word == key);
    value
        .unwrap_or_else(|| panic!("{key} in {line}"))
        .1
        .parse()
        .unwrap()
}

/// More was configured than the system gives: the fewer hold.
#[test]
fn idle_clients_at_the_limit_leave_the_node_its_reserved_descriptors() {
    for announce in [Announce::Dead, Announce::Silent, Announce::Resets] {
        alone(async move {
            let mut s = Squeezed::start("rests", [LIMIT, 4_096], announce).await;
            s.fill().await;
            assert!(s.open().len() <= LIMIT / 2 + 32, "{:?}", s.open());
            s.agent_again().await;
            let mut caller = s.caller().await;
            s.honours(&mut caller, 1).await;
            // A new file, with which the agent moves.
            s.agents = TcpListener::bind("127.0.0.1:0").await.unwrap();
            s.config["agent"] = json!(s.agents.local_addr().unwrap().to_string());
            std::fs::write(&s.path, s.config.to_string()).unwrap();
            s.node.signal("-HUP");
            s.node.says("reload agent=").await;
            s.agent_again().await;
            let counts = s.counts().await;
            assert!(counted(&counts, "room") >= IDLE - LIMIT, "{counts}");
            assert_eq!(
                (
                    counted(&counts, "accept_errors"),
                    counted(&counts, "descriptors_out")
                ),
                (0, 0)
            );
            s.drains().await;
        });
    }
}

/// As many as come at once, beside as many that rest as there may be: who rests makes room in that instant, whether the
/// system gives no more or only the configuration says so.
#[test]
fn concurrent_calls_are_made_with_idle_clients_at_the_descriptor_limit() {
    const BUNCH: usize = 80;
    // Tickets whose calls end well one after the other, until the node dares to make so many at once.
    const CALM: usize = 60;
    let bunch = |given| async move {
        let mut s = Squeezed::start("bunch", [given, LIMIT], Announce::Silent).await;
        let mut agent = s.agent.take().unwrap();
        let answering = spawn_local(async move {
            let mut notice = 0;
            while let Some(command) = agent.command().await {
                notice += 1;
                match command["cmd"].as_str().unwrap() {
                    "launch" => agent.asks_call(notice, &command["req"], b"c").await,
                    "deliver" => agent.outcome(notice, &command["req"], "fine", b"r").await,
                    _ => {}
                }
            }
        });
        let mut caller = s.caller().await;
        for n in 0..CALM {
            caller.send(&register_request(n as i32, n)).await;
            let mut http = Http::accept(&s.below).await;
            http.request().await.unwrap();
            http.reply("200 OK", b"row").await;
            assert_eq!(caller.next().await, said(n as i32, "honoured", "r"));
        }
        s.fill().await;
        let mut callers = Vec::new();
        for n in 0..BUNCH {
            if n % 25 == 0 {
                callers.push(s.caller().await);
            }
            callers[n / 25]
                .send(&register_request(n as i32, CALM + n))
                .await;
        }
        let mut calls = Vec::new();
        for _ in 0..BUNCH {
            let mut http = Http::accept(&s.below).await;
            http.request().await.unwrap();
            calls.push(http);
        }
        assert!(s.open().len() <= LIMIT, "{:?}", s.open());
        for mut http in calls {
            http.reply("200 OK", b"row").await;
        }
        for n in 0..BUNCH {
            let answer = callers[n / 25].next().await.unwrap();
            assert_eq!(answer.1, "honoured", "{n}: {answer:?}");
        }
        // Each was made once, and none was ended for it that was owed an answer.
        let counts = s.counts().await;
        assert_eq!(
            (counted(&counts, "calls"), counted(&counts, "left")),
            (CALM + BUNCH, 0),
            "{counts}"
        );
        s.drains().await;
        answering.abort();
    };
    alone(bunch(LIMIT));
    alone(bunch(4 * LIMIT));
}

/// The system takes descriptors back from a node that runs: what the node needs itself, it has by closing who rests.
#[test]
fn exhausted_descriptors_are_freed_from_idle_clients_for_connections_calls_and_files() {
    const CROWD: usize = 20;
    alone(async {
        let mut s = Squeezed::start("none-left", [LIMIT; 2], Announce::Resets).await;
        s.fill().await;
        s.squeeze(0).await;
        s.node.signal("-STOP");
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            let mut caller = s.caller().await;
            caller.probe().await;
            crowd.push(caller);
        }
        s.node.signal("-CONT");
        for caller in &mut crowd {
            assert_eq!(caller.next().await, said(1, "probe", "good"));
        }
        // A call below.
        s.allow(LIMIT as u64);
        let mut caller = s.caller().await;
        s.squeeze(CROWD + 1).await;
        s.honours(&mut caller, 1).await;
        // A file to be read.
        s.allow(LIMIT as u64);
        s.squeeze(CROWD + 1).await;
        s.node.signal("-HUP");
        let told = s.node.says("reload").await;
        assert!(told.starts_with("reload agent="), "{told}");
        let counts = s.counts().await;
        assert!(
            counted(&counts, "accept_errors") > 0 && counted(&counts, "descriptors_out") > 0,
            "{counts}"
        );
        s.drains().await;
    });
}

/// They were gone while clients took all that was left.
#[test]
fn exhausted_descriptors_are_freed_for_reconnects_to_agent_and_announce_service() {
    alone(async {
        let mut s = Squeezed::start("agent-back", [LIMIT; 2], Announce::None).await;
        s.fill().await;
        let addr = s.agents.local_addr().unwrap();
        // Nobody listens there from here on.
        s.agents = TcpListener::bind("127.0.0.1:0").await.unwrap();
        s.agent.take().unwrap().hang_up();
        s.node.says("end link=agent code=agent_unreachable").await;
        s.squeeze(0).await;
        s.agents = TcpListener::bind(addr).await.unwrap();
        let mut agent = Agent::accept(&s.agents).await;
        agent.greet().await;
        s.agent = Some(agent);
        s.drains().await;
    });
    alone(async {
        let mut s = Squeezed::start("announce-back", [LIMIT; 2], Announce::Dead).await;
        s.fill().await;
        s.squeeze(0).await;
        let service = TcpListener::bind(s.config["announce"].as_str().unwrap())
            .await
            .unwrap();
        let mut reports = Http::accept(&service).await;
        assert!(reports
            .request()
            .await
            .unwrap()
            .0
            .starts_with("PUT /announce/"));
        s.drains().await;
    });
}

/// Accepting fails in the very moment in which the listening ends: what the system accepted before is served all the same.
#[test]
fn accept_backlog_is_served_after_end_of_listening_despite_accept_errors() {
    const CROWD: usize = 32;
    alone(async {
        let mut s = Squeezed::start("deaf", [LIMIT; 2], Announce::Dead).await;
        s.fill().await;
        s.squeeze(0).await;
        s.node.signal("-STOP");
        let mut crowd = Vec::new();
        for n in 0..CROWD {
            let mut caller = s.caller().await;
            caller.send(&whole_ticket(1, &format!("{n:016x}"))).await;
            crowd.push(caller);
        }
        s.node.signal("-TERM");
        s.node.signal("-CONT");
        let mut agent = s.agent.take().unwrap();
        let answering = spawn_local(async move {
            let mut notice = 0;
            while let Some(command) = agent.command().await {
                if command["cmd"] == "launch" {
                    notice += 1;
                    agent.outcome(notice, &command["req"], "fine", b"r").await;
                }
            }
        });
        for (n, caller) in crowd.iter_mut().enumerate() {
            let answer = loop {
                match caller.next().await {
                    Some(said) if said.1 == "shutdown" => {}
                    other => break other.map(|said| said.1),
                }
            };
            assert!(
                answer.is_some(),
                "{n} of {CROWD} that the system accepted has no answer"
            );
        }
        drop(crowd);
        s.node.says("drain ends").await;
        let counts = s.node.says("counts").await;
        assert!(counted(&counts, "accept_errors") > 0, "{counts}");
        assert!(s.node.process.wait().await.unwrap().success());
        std::fs::remove_file(&s.path).unwrap();
        answering.abort();
    });
}

/// A member of a group beside many that are down: links to them, from them, and the store's files are put by.
#[test]
fn idle_clients_at_the_limit_leave_a_member_the_descriptors_of_its_group() {
    const MEMBERS: usize = 40;
    alone(async {
        let folder = tempfile::tempdir().unwrap();
        let member = |n: usize| {
            // The example's own name first; nobody listens at the others'.
            let (name, port) = if n == 0 {
                ("n1".to_owned(), 0)
            } else {
                (format!("other{n}"), 1)
            };
            let folder = folder.path().join(&name);
            format!(
                "members {{ name: \"{name}\" address: \"127.0.0.1:{port}\" folder: {folder:?} }}\n"
            )
        };
        let members: String = (0..MEMBERS).map(member).collect();
        let settings = folder.path().join("group.txtpb");
        let text = format!(
            "version: 1 groups {{ name: \"g\" shards: 4 copies: 3 heartbeat_ns: 50000000 \
             election_least_ns: 300000000 election_most_ns: 600000000 keys: 1000 moves: 2 \
             start_within_ns: 1000000000 come_back_ns: 500000000\n{members}}}"
        );
        std::fs::write(&settings, text).unwrap();
        let mut s =
            Squeezed::start_with("group", [LIMIT; 2], Announce::Dead, Some(&settings)).await;
        s.fill().await;
        // Both links of each other member, and the store.
        let kept = 2 * (MEMBERS - 1) + 8;
        let counts = s.counts().await;
        // Half of what is left, and those that say good-bye.
        assert!(
            counted(&counts, "conns") <= (LIMIT - kept) / 2 + 16,
            "{counts}"
        );
        assert_eq!(
            (
                counted(&counts, "accept_errors"),
                counted(&counts, "descriptors_out")
            ),
            (0, 0),
            "{counts}"
        );
        s.drains().await;
    });
}
