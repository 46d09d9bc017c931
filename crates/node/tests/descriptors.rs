//! Exhaustion of descriptors, in real processes with a low limit: idle clients use up the limit and the announce service
//! is down, but the node still gets the descriptors that it needs itself by evicting idle clients, and answers every
//! request.

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
use world::{complete_request, example, reply, run_with_timeout, unix_time_ms, NodeProcess};

/// Descriptor limit of the node.
const LIMIT: usize = 160;
/// More descriptors than the node itself uses with one call.
const NODE_DESCRIPTORS: u64 = 16;
/// More idle clients than the node can have.
const IDLE_CLIENTS: usize = 300;

/// How the announce service behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AnnounceBehaviour {
    /// No service is configured.
    None,
    /// Its address refuses connections.
    Down,
    /// Connections are accepted, but never answered.
    Silent,
    /// Connections are closed once accepted.
    Closes,
}

/// A node process with few descriptors, and test servers for its peers.
struct LimitedNode {
    process: NodeProcess,
    agents: TcpListener,
    agent: Option<Agent>,
    below: TcpListener,
    config: Value,
    path: PathBuf,
    idle: Vec<Caller>,
}

impl LimitedNode {
    /// A node with `sockets`: the descriptors that the system allows, and those that are configured.
    async fn start(name: &str, sockets: [usize; 2], announce: AnnounceBehaviour) -> Self {
        Self::start_with(name, sockets, announce, None).await
    }

    async fn start_with(
        name: &str,
        [allowed, configured]: [usize; 2],
        announce: AnnounceBehaviour,
        settings: Option<&Path>,
    ) -> Self {
        let listen = || async { TcpListener::bind("127.0.0.1:0").await.unwrap() };
        let (agents, below, announce_service, node_port) = (
            listen().await,
            listen().await,
            listen().await,
            listen().await,
        );
        let mut config = example();
        for (key, listener) in [
            ("listen", &node_port),
            ("agent", &agents),
            ("db", &below),
            ("announce", &announce_service),
        ] {
            config[key] = json!(listener.local_addr().unwrap().to_string());
        }
        drop(node_port);
        if announce == AnnounceBehaviour::None {
            config["announce"] = Value::Null;
        }
        config["limits"]["sockets"] = json!(configured);
        config["stop_ms"] = json!(30_000);
        config["settings"]["obligations"]["drainGraceS"] = json!(0);
        // Idle clients are not disconnected for their idle time.
        config["settings"]["familyInfo"]["idleS"] = json!(600);
        let path =
            std::env::temp_dir().join(format!("rainstand-{name}-{}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).unwrap();
        if matches!(
            announce,
            AnnounceBehaviour::Silent | AnnounceBehaviour::Closes
        ) {
            spawn_local(serve_announce(announce_service, announce));
        }
        let process = NodeProcess::start_with_descriptor_limit(&path, allowed, settings);
        let mut agent = Agent::accept(&agents).await;
        agent.greet().await;
        Self {
            process,
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

    /// A client that has been served once and is idle from then on.
    async fn connect_idle_client(&self) -> Caller {
        let mut caller = self.caller().await;
        let probe = caller.probe().await;
        assert_eq!(caller.next().await, reply(probe, "probe", "good"));
        caller
    }

    async fn connect_idle_clients(&mut self) {
        for _ in 0..IDLE_CLIENTS {
            self.idle.push(self.connect_idle_client().await);
        }
    }

    /// The node's open descriptors, sorted.
    fn open_descriptors(&self) -> Vec<u64> {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.process.pid())).unwrap();
        let mut open: Vec<u64> = folder
            .filter_map(|entry| entry.unwrap().file_name().to_str()?.parse().ok())
            .collect();
        open.sort_unstable();
        open
    }

    /// Limits the descriptors so that the node can open none unless it closes one. The idle clients and `others`, the
    /// number of other connections of the test, stay open.
    async fn exhaust_descriptors(&mut self, others: usize) {
        loop {
            // Drop clients that the node closed, or their descriptors would become free later.
            self.idle.retain(|caller| {
                let read = caller.stream.try_read(&mut [0]);
                read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
            });
            if counter(&self.counts().await, "conns") != self.idle.len() + others {
                continue;
            }
            let open = self.open_descriptors();
            let first_free = (0..)
                .zip(&open)
                .find(|(n, fd)| n != *fd)
                .map_or(open.len() as u64, |(n, _)| n);
            // Many of the descriptors below it must be those of idle clients.
            if first_free >= NODE_DESCRIPTORS + 30 {
                return self.set_descriptor_limit(first_free);
            }
            // The next connection takes the first free descriptor.
            self.idle.push(self.connect_idle_client().await);
        }
    }

    fn set_descriptor_limit(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            maximum: Some(LIMIT as u64),
        };
        prlimit(Pid::from_raw(self.process.pid()), Resource::Nofile, limit).unwrap();
    }

    /// Closes the agent's link, and accepts the node's new one.
    async fn reconnect_agent(&mut self) {
        self.agent.take().unwrap().disconnect();
        let mut agent = Agent::accept(&self.agents).await;
        agent.greet().await;
        self.agent = Some(agent);
    }

    /// Expects `cmd` as the next command, and returns its request id.
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

    /// Serves one request on a connection, with one downstream call. Its notices are numbered from `notice`.
    async fn serve_request(&mut self, caller: &mut Caller, notice: u64) {
        caller
            .send(&complete_request(1, &format!("{notice:016x}")))
            .await;
        let req = self.expect("launch").await;
        self.agent
            .as_mut()
            .unwrap()
            .request_call(notice, &req, b"c")
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
        assert_eq!(caller.next().await, reply(1, "honoured", "r"));
    }

    /// Drains the node: it closes the idle connections, and the process exits.
    async fn drain(mut self) {
        self.process.signal("-TERM");
        self.process.wait_for_line("drain ends").await;
        assert!(self.process.child.wait().await.unwrap().success());
        std::fs::remove_file(&self.path).unwrap();
    }

    /// Requests and returns the line of counters.
    async fn counts(&mut self) -> String {
        self.process.signal("-USR1");
        self.process.wait_for_line("counts").await
    }
}

/// An announce service that never answers, until the end of the test.
async fn serve_announce(service: TcpListener, announce: AnnounceBehaviour) {
    let mut unanswered = Vec::new();
    loop {
        let http = Http::accept(&service).await;
        if announce == AnnounceBehaviour::Silent {
            unanswered.push(http);
        }
    }
}

/// A request of a class that is worth nothing without its call.
fn register_request(seq: i32, n: usize) -> Vec<u8> {
    let (trace, born) = (format!("{n:016x}"), unix_time_ms());
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

/// The value of `key=value` in a line of counters.
fn counter(line: &str, key: &str) -> usize {
    let fields = line.split(|c: char| c.is_whitespace() || "[]".contains(c));
    let value = fields
        .filter_map(|field| field.split_once('='))
        .find(|(name, _)| *name == key);
    value
        .unwrap_or_else(|| panic!("{key} in {line}"))
        .1
        .parse()
        .unwrap()
}

/// More descriptors are configured than the system allows: the system's limit applies.
#[test]
fn idle_clients_at_the_limit_leave_the_node_its_reserved_descriptors() {
    for announce in [
        AnnounceBehaviour::Down,
        AnnounceBehaviour::Silent,
        AnnounceBehaviour::Closes,
    ] {
        run_with_timeout(async move {
            let mut node = LimitedNode::start("idle", [LIMIT, 4_096], announce).await;
            node.connect_idle_clients().await;
            assert!(
                node.open_descriptors().len() <= LIMIT / 2 + 32,
                "{:?}",
                node.open_descriptors()
            );
            node.reconnect_agent().await;
            let mut caller = node.caller().await;
            node.serve_request(&mut caller, 1).await;
            // A reload that moves the agent.
            node.agents = TcpListener::bind("127.0.0.1:0").await.unwrap();
            node.config["agent"] = json!(node.agents.local_addr().unwrap().to_string());
            std::fs::write(&node.path, node.config.to_string()).unwrap();
            node.process.signal("-HUP");
            node.process.wait_for_line("reload agent=").await;
            node.reconnect_agent().await;
            let counts = node.counts().await;
            assert!(counter(&counts, "room") >= IDLE_CLIENTS - LIMIT, "{counts}");
            assert_eq!(
                (
                    counter(&counts, "accept_errors"),
                    counter(&counts, "descriptors_out")
                ),
                (0, 0)
            );
            node.drain().await;
        });
    }
}

/// Many calls start at the same time while idle clients use all descriptors: idle clients are evicted immediately,
/// whether the limit is the system's or only the configuration's.
#[test]
fn concurrent_calls_are_made_with_idle_clients_at_the_descriptor_limit() {
    const CONCURRENT_CALLS: usize = 80;
    // Requests with successful calls in sequence, until the node allows that many concurrent calls.
    const SEQUENTIAL_CALLS: usize = 60;
    let run = |allowed| async move {
        let mut node =
            LimitedNode::start("concurrent", [allowed, LIMIT], AnnounceBehaviour::Silent).await;
        let mut agent = node.agent.take().unwrap();
        let answering = spawn_local(async move {
            let mut notice = 0;
            while let Some(command) = agent.command().await {
                notice += 1;
                match command["cmd"].as_str().unwrap() {
                    "launch" => agent.request_call(notice, &command["req"], b"c").await,
                    "deliver" => agent.outcome(notice, &command["req"], "fine", b"r").await,
                    _ => {}
                }
            }
        });
        let mut caller = node.caller().await;
        for n in 0..SEQUENTIAL_CALLS {
            caller.send(&register_request(n as i32, n)).await;
            let mut http = Http::accept(&node.below).await;
            http.request().await.unwrap();
            http.reply("200 OK", b"row").await;
            assert_eq!(caller.next().await, reply(n as i32, "honoured", "r"));
        }
        node.connect_idle_clients().await;
        let mut callers = Vec::new();
        for n in 0..CONCURRENT_CALLS {
            if n % 25 == 0 {
                callers.push(node.caller().await);
            }
            callers[n / 25]
                .send(&register_request(n as i32, SEQUENTIAL_CALLS + n))
                .await;
        }
        let mut calls = Vec::new();
        for _ in 0..CONCURRENT_CALLS {
            let mut http = Http::accept(&node.below).await;
            http.request().await.unwrap();
            calls.push(http);
        }
        assert!(
            node.open_descriptors().len() <= LIMIT,
            "{:?}",
            node.open_descriptors()
        );
        for mut http in calls {
            http.reply("200 OK", b"row").await;
        }
        for n in 0..CONCURRENT_CALLS {
            let answer = callers[n / 25].next().await.unwrap();
            assert_eq!(answer.1, "honoured", "{n}: {answer:?}");
        }
        // Each call was made once, and no connection with a pending answer was closed for it.
        let counts = node.counts().await;
        assert_eq!(
            (counter(&counts, "calls"), counter(&counts, "left")),
            (SEQUENTIAL_CALLS + CONCURRENT_CALLS, 0),
            "{counts}"
        );
        node.drain().await;
        answering.abort();
    };
    run_with_timeout(run(LIMIT));
    run_with_timeout(run(4 * LIMIT));
}

/// The limit is lowered while the node runs: it gets the descriptors that it needs by evicting idle clients.
#[test]
fn exhausted_descriptors_are_freed_from_idle_clients_for_connections_calls_and_files() {
    const CONNECTIONS: usize = 20;
    run_with_timeout(async {
        let mut node = LimitedNode::start("exhausted", [LIMIT; 2], AnnounceBehaviour::Closes).await;
        node.connect_idle_clients().await;
        node.exhaust_descriptors(0).await;
        node.process.signal("-STOP");
        let mut clients = Vec::new();
        for _ in 0..CONNECTIONS {
            let mut caller = node.caller().await;
            caller.probe().await;
            clients.push(caller);
        }
        node.process.signal("-CONT");
        for caller in &mut clients {
            assert_eq!(caller.next().await, reply(1, "probe", "good"));
        }
        // A downstream call.
        node.set_descriptor_limit(LIMIT as u64);
        let mut caller = node.caller().await;
        node.exhaust_descriptors(CONNECTIONS + 1).await;
        node.serve_request(&mut caller, 1).await;
        // A file to read.
        node.set_descriptor_limit(LIMIT as u64);
        node.exhaust_descriptors(CONNECTIONS + 1).await;
        node.process.signal("-HUP");
        let line = node.process.wait_for_line("reload").await;
        assert!(line.starts_with("reload agent="), "{line}");
        let counts = node.counts().await;
        assert!(
            counter(&counts, "accept_errors") > 0 && counter(&counts, "descriptors_out") > 0,
            "{counts}"
        );
        node.drain().await;
    });
}

/// The links were lost, and clients have used up all descriptors since.
#[test]
fn exhausted_descriptors_are_freed_for_reconnects_to_agent_and_announce_service() {
    run_with_timeout(async {
        let mut node = LimitedNode::start("agent-back", [LIMIT; 2], AnnounceBehaviour::None).await;
        node.connect_idle_clients().await;
        let addr = node.agents.local_addr().unwrap();
        // From here on the agent's address refuses connections.
        node.agents = TcpListener::bind("127.0.0.1:0").await.unwrap();
        node.agent.take().unwrap().disconnect();
        node.process
            .wait_for_line("end link=agent code=agent_unreachable")
            .await;
        node.exhaust_descriptors(0).await;
        node.agents = TcpListener::bind(addr).await.unwrap();
        let mut agent = Agent::accept(&node.agents).await;
        agent.greet().await;
        node.agent = Some(agent);
        node.drain().await;
    });
    run_with_timeout(async {
        let mut node =
            LimitedNode::start("announce-back", [LIMIT; 2], AnnounceBehaviour::Down).await;
        node.connect_idle_clients().await;
        node.exhaust_descriptors(0).await;
        let service = TcpListener::bind(node.config["announce"].as_str().unwrap())
            .await
            .unwrap();
        let mut reports = Http::accept(&service).await;
        assert!(reports
            .request()
            .await
            .unwrap()
            .0
            .starts_with("PUT /announce/"));
        node.drain().await;
    });
}

/// Accepts fail when listening ends: the system's accept backlog is still served.
#[test]
fn accept_backlog_is_served_after_end_of_listening_despite_accept_errors() {
    const CONNECTIONS: usize = 32;
    run_with_timeout(async {
        let mut node = LimitedNode::start("backlog", [LIMIT; 2], AnnounceBehaviour::Down).await;
        node.connect_idle_clients().await;
        node.exhaust_descriptors(0).await;
        node.process.signal("-STOP");
        let mut clients = Vec::new();
        for n in 0..CONNECTIONS {
            let mut caller = node.caller().await;
            caller
                .send(&complete_request(1, &format!("{n:016x}")))
                .await;
            clients.push(caller);
        }
        node.process.signal("-TERM");
        node.process.signal("-CONT");
        let mut agent = node.agent.take().unwrap();
        let answering = spawn_local(async move {
            let mut notice = 0;
            while let Some(command) = agent.command().await {
                if command["cmd"] == "launch" {
                    notice += 1;
                    agent.outcome(notice, &command["req"], "fine", b"r").await;
                }
            }
        });
        for (n, caller) in clients.iter_mut().enumerate() {
            let answer = loop {
                match caller.next().await {
                    Some(reply) if reply.1 == "shutdown" => {}
                    other => break other.map(|reply| reply.1),
                }
            };
            assert!(
                answer.is_some(),
                "connection {n} of {CONNECTIONS} in the backlog got no answer"
            );
        }
        drop(clients);
        node.process.wait_for_line("drain ends").await;
        let counts = node.process.wait_for_line("counts").await;
        assert!(counter(&counts, "accept_errors") > 0, "{counts}");
        assert!(node.process.child.wait().await.unwrap().success());
        std::fs::remove_file(&node.path).unwrap();
        answering.abort();
    });
}

/// A member of a group whose other members are down: descriptors are reserved for the links to and from them, and for
/// the store's files.
#[test]
fn idle_clients_at_the_limit_leave_a_member_the_descriptors_of_its_group() {
    const MEMBERS: usize = 40;
    run_with_timeout(async {
        let folder = tempfile::tempdir().unwrap();
        let member = |n: usize| {
            // The first member has the example's name; the addresses of the others refuse connections.
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
        let mut node = LimitedNode::start_with(
            "group",
            [LIMIT; 2],
            AnnounceBehaviour::Down,
            Some(&settings),
        )
        .await;
        node.connect_idle_clients().await;
        // Both links of each other member, and the store.
        let reserved = 2 * (MEMBERS - 1) + 8;
        let counts = node.counts().await;
        // Half of the remaining descriptors, and the connections that are being closed.
        assert!(
            counter(&counts, "conns") <= (LIMIT - reserved) / 2 + 16,
            "{counts}"
        );
        assert_eq!(
            (
                counter(&counts, "accept_errors"),
                counter(&counts, "descriptors_out")
            ),
            (0, 0),
            "{counts}"
        );
        node.drain().await;
    });
}
