//! One node on loopback sockets, with listeners for its peers; each test drives them step by step.
#![allow(dead_code)]
// each test file uses only some of the helpers

#[path = "../../../../examples/toy/stand_ins.rs"]
pub mod stand_ins;

use rainstand_node::{config::Config, run, thrift, NodeContext};
use serde_json::{json, Value};
use stand_ins::{Agent, Caller, Reply};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::net::TcpListener;
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// Time limit of a test: only catches tests that hang.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// One node, with listeners for its peers.
pub struct World {
    pub context: Rc<NodeContext>,
    pub addr: SocketAddr,
    pub agents: TcpListener,
    pub downstream: TcpListener,
    pub announce: TcpListener,
    pub send_shutdown_notice: Rc<Notify>,
    pub node: JoinHandle<()>,
    pub traces: Cell<u64>,
}

pub fn example() -> Value {
    serde_json::from_str(include_str!("../../../../examples/config.json")).unwrap()
}

/// Runs a test with a node whose configuration is modified by `change`.
pub fn run_with_node<T: Future<Output = ()>>(
    change: impl FnOnce(&mut Value),
    test: impl FnOnce(World) -> T,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let run_test = async {
        let mut config = example();
        let listen = || async { TcpListener::bind("127.0.0.1:0").await.unwrap() };
        let (node, agents, downstream, announce) = (
            listen().await,
            listen().await,
            listen().await,
            listen().await,
        );
        for (key, listener) in [
            ("listen", &node),
            ("agent", &agents),
            ("db", &downstream),
            ("announce", &announce),
        ] {
            config[key] = json!(listener.local_addr().unwrap().to_string());
        }
        change(&mut config);
        let context =
            NodeContext::new(Config::read(config.to_string().as_bytes()).unwrap()).unwrap();
        let (addr, send_shutdown_notice) = (node.local_addr().unwrap(), Rc::new(Notify::new()));
        let shutdown = send_shutdown_notice.clone();
        let node = spawn_local(run(context.clone(), node, async move {
            shutdown.notified().await
        }));
        test(World {
            context,
            addr,
            agents,
            downstream,
            announce,
            send_shutdown_notice,
            node,
            traces: Cell::new(0),
        })
        .await;
    };
    let done = LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, run_test).await
    });
    done.expect("the test ends within its time limit");
}

pub fn unix_time_ms() -> String {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis()
        .to_string()
}

/// The program, run as a child process.
pub struct NodeProcess {
    pub child: Child,
    log: Lines<BufReader<ChildStderr>>,
}

impl NodeProcess {
    pub fn start(path: &Path) -> Self {
        Self::spawn_command(Command::new(env!("CARGO_BIN_EXE_rainstand-node")), path)
    }

    /// Starts the program with a descriptor limit and, optionally, a compiled configuration.
    pub fn start_with_descriptor_limit(
        path: &Path,
        descriptors: usize,
        settings: Option<&Path>,
    ) -> Self {
        let mut shell = Command::new("sh");
        shell.args([
            "-c",
            &format!(
                "ulimit -n {descriptors}; exec {}",
                env!("CARGO_BIN_EXE_rainstand-node")
            ),
        ]);
        if let Some(settings) = settings {
            shell.env("RAINSTAND_SETTINGS", settings);
        }
        Self::spawn_command(shell, path)
    }

    fn spawn_command(mut command: Command, path: &Path) -> Self {
        let mut child = command
            .env("ROUTER_CONFIG", path)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        Self { child, log }
    }

    pub fn pid(&self) -> i32 {
        self.child.id().unwrap() as i32
    }

    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        assert!(std::process::Command::new("kill")
            .args([name, &pid])
            .status()
            .unwrap()
            .success());
    }

    /// Reads the log up to the next line that starts with `start`, and returns it.
    pub async fn wait_for_line(&mut self, start: &str) -> String {
        loop {
            let line = self
                .log
                .next_line()
                .await
                .unwrap()
                .expect("the node is running");
            if line.starts_with(start) {
                return line;
            }
        }
    }
}

/// Runs a test that starts its nodes itself, with a time limit.
pub fn run_with_timeout<T: std::future::Future<Output = ()>>(test: T) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let done = LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test).await
    });
    done.expect("the test ends within its time limit");
}

pub fn complete_request(seq: i32, trace: &str) -> Vec<u8> {
    let born = unix_time_ms();
    let fields = [
        ("route", "check"),
        ("trace", trace),
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

impl World {
    /// Accepts and greets the agent's link, and connects a caller.
    pub async fn connect_agent_and_caller(&self) -> (Agent, Caller) {
        let mut agent = Agent::accept(&self.agents).await;
        agent.greet().await;
        while self.context.core.borrow().controller.is_none() {
            tokio::task::yield_now().await;
        }
        (agent, Caller::connect(self.addr).await)
    }

    /// Sends a request with the default fields, overridden by `own`.
    pub async fn send_request_with(
        &self,
        caller: &mut Caller,
        own: &[(&str, &str)],
        body: &[u8],
    ) -> i32 {
        self.traces.set(self.traces.get() + 1);
        let (trace, born) = (format!("{:016x}", self.traces.get()), unix_time_ms());
        let mut fields = vec![
            ("trace", trace.as_str()),
            ("born", &born),
            ("customer", "acme"),
        ];
        fields.extend([("size", "20"), ("client", "1"), ("order", "0.5")]);
        fields.retain(|field| own.iter().all(|own| own.0 != field.0));
        fields.extend(own);
        caller.ask(&fields, body).await
    }

    pub async fn send_request_for_entity(
        &self,
        caller: &mut Caller,
        route: &str,
        entity: &str,
        body: &[u8],
    ) -> i32 {
        let entity = (!entity.is_empty()).then_some(("entity", entity));
        let fields: Vec<_> = [("route", route)].into_iter().chain(entity).collect();
        self.send_request_with(caller, &fields, body).await
    }

    pub async fn send_request(&self, caller: &mut Caller, route: &str, body: &[u8]) -> i32 {
        self.send_request_for_entity(caller, route, "", body).await
    }

    pub async fn expect_any(&self, agent: &mut Agent) -> (String, Value) {
        let command = agent.command().await.expect("a command");
        (
            command["cmd"].as_str().unwrap().to_owned(),
            command["req"].clone(),
        )
    }

    /// Expects `cmd` as the next command, and returns its request id.
    pub async fn expect(&self, agent: &mut Agent, cmd: &str) -> Value {
        let command = agent.command().await.expect("a command");
        assert_eq!(command["cmd"], cmd, "{command}");
        command["req"].clone()
    }
}

pub fn reply(seq: i32, what: &'static str, body: &str) -> Option<Reply> {
    Some(Reply(seq, what, body.into()))
}
