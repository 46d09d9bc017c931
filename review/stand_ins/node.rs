//! A node with an agent, a database and an announce service of its own, and its settings.

use crate::agent::{Agent, Plan};
use crate::dispatcher::Connection;
use crate::programs::{deploy_command, free_address, Program, Scratch};
use crate::services::{start_announce, start_db};
use crate::tools::{ms, Record};
use std::io;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Instant;

pub struct Node {
    pub program: Program,
    pub agent: Agent,
    pub listen: SocketAddr,
}

/// The settings of a class.
pub struct Class {
    pub name: &'static str,
    pub aim_s: f64,
    pub deadline_s: f64,
    pub effect: &'static str,
    pub window_s: f64,
    pub value: f64,
    pub calls: bool,
    pub skip_worth: f64,
}

/// What differs between the cases' settings.
pub struct Deployment {
    pub classes: Vec<Class>,
    pub below: &'static str,
    pub call_share: f64,
    pub cores: u32,
    pub passes_deadline: bool,
    pub hangup_seen: bool,
    pub marks_retry: bool,
    pub nodes: u32,
}

impl Deployment {
    pub fn settings(&self) -> String {
        let list = |value: &dyn Fn(&Class) -> String| {
            self.classes.iter().map(value).collect::<Vec<_>>().join(",")
        };
        let calls = list(&|class| class.calls.to_string());
        let skip = list(&|class| class.skip_worth.to_string());
        let classes = list(&|class| {
            format!(
                "{{\"name\":\"{}\",\"aimS\":{},\"deadlineS\":{},\"effect\":\"{}\",\"lateWorth\":0.0,\"value\":{},\"windowS\":{}}}",
                class.name, class.aim_s, class.deadline_s, class.effect, class.value, class.window_s
            )
        });
        format!(
            "{{\"clients\":{{\"marksRetry\":{}}},\"countedBy\":\"request\",\
             \"familyInfo\":{{\"below\":\"{}\",\"callShare\":{},\"callers\":2,\"callsOverS\":5.0,\"lingersS\":0.2,\
             \"classCalls\":[{calls}],\"classSkipWorth\":[{skip}],\"cold\":false,\"cores\":{},\"entryKb\":10.0,\
             \"freshS\":0.0,\"gauges\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"],\"halt\":\"pause\",\
             \"hangupSeen\":{},\"idleS\":30.0,\"passesDeadline\":{},\"ramKb\":60000.0,\"readiness\":false,\
             \"realChecks\":false,\"runMemFactor\":16.0,\"saidForS\":1.0,\"say\":\"level\"}},\
             \"groupSize\":{},\
             \"obligations\":{{\"answerSlackS\":0.1,\"coldShare\":0.22,\"drainGraceS\":2.5,\"fallS\":2.0,\
             \"overloadFactor\":6.0,\"rampTimeS\":18.0}},\
             \"parties\":[{{\"name\":\"east\",\"portion\":0.5,\"quotaRps\":60.0}},\
             {{\"name\":\"west\",\"portion\":0.5,\"quotaRps\":60.0}}],\
             \"permissions\":{{\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":60000,\"maxRetryAfterS\":1.0,\"retryAfter\":true}},\
             \"requestClasses\":[{classes}]}}",
            self.marks_retry, self.below, self.call_share, self.cores, self.hangup_seen, self.passes_deadline, self.nodes
        )
    }

    /// Starts one node; another one if its address was taken in the meantime.
    pub fn start_node(
        &self,
        name: &str,
        plan: Plan,
        seed: u64,
        scratch: &Scratch,
        record: &Record,
    ) -> io::Result<Node> {
        let mut started = self.try_to_start(name, plan, seed, scratch, record);
        for _ in 0..2 {
            if started.is_err() {
                started = self.try_to_start(name, plan, seed, scratch, record);
            }
        }
        started
    }

    /// Starts one node with an agent, a database and an announce service of its own.
    fn try_to_start(
        &self,
        name: &str,
        plan: Plan,
        seed: u64,
        scratch: &Scratch,
        record: &Record,
    ) -> io::Result<Node> {
        let agent = Agent::start(&format!("agent-{name}"), plan, seed, record)?;
        let (db, announce, listen) = (
            start_db(record, seed ^ 0xdb)?,
            start_announce()?,
            free_address()?,
        );
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"agent\":\"{}\",\"announce\":\"{announce}\",\"db\":\"{db}\",\
             \"seed\":\"{seed:016x}\",\"stop_ms\":3000,\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":512}},\"settings\":{}}}",
            agent.address,
            self.settings()
        );
        let path = scratch.0.join(format!("{name}.json"));
        std::fs::write(&path, config)?;
        let command = deploy_command("run")
            .ok_or_else(|| io::Error::other("deploy/balancer.toml names no run"))?;
        let listen_text = listen.to_string();
        let env = [
            ("ROUTER_NAME", name),
            ("ROUTER_LISTEN", listen_text.as_str()),
            ("ROUTER_CONFIG", path.to_str().unwrap_or_default()),
        ];
        let program = Program::start(&command, &env, &scratch.0.join(format!("{name}.log")))?;
        let mut node = Node {
            program,
            agent,
            listen,
        };
        node.wait_until_up(record)?;
        Ok(node)
    }
}

impl Node {
    /// Waits until the node answers a health check.
    pub fn wait_until_up(&mut self, record: &Record) -> io::Result<()> {
        let deadline = Instant::now() + ms(10_000);
        while Instant::now() < deadline {
            if self.program.has_ended() {
                return Err(io::Error::other("the node ended at its start"));
            }
            if let Ok(connection) = Connection::open(self.listen, "check", record) {
                let _ = connection.probe();
                // A moment for the agent's greeting, which the node waits for before it takes requests.
                sleep(ms(300));
                return Ok(());
            }
            sleep(ms(50));
        }
        Err(io::Error::other("the node does not listen"))
    }
}
