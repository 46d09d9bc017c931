//! What a node resends after its link to the agent broke. Each test plays one order of events: what the agent had read,
//! what it had confirmed, and what the run did meanwhile.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod world;

use rainstand::Host;
use rainstand_node::request_table::RequestTable;
use serde_json::{json, Value};
use std::collections::VecDeque;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpListener;
use world::stand_ins::{encode_base64, Caller, Http};
use world::{reply, run_with_node, World};

/// A class whose answer has a value without its call, and one whose call is required.
const DEGRADABLE: &str = "check";
const REQUIRED: &str = "register";

/// The agent's end of one link. Unlike [`world::stand_ins::Agent`] it answers a sample only when told to, so a test
/// determines which commands the node knows to be read.
struct AgentLink {
    lines: Lines<BufReader<OwnedReadHalf>>,
    write: OwnedWriteHalf,
    unanswered_samples: VecDeque<Value>,
}

impl AgentLink {
    async fn accept(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().await.unwrap();
        let (read, write) = stream.into_split();
        Self {
            lines: BufReader::new(read).lines(),
            write,
            unanswered_samples: VecDeque::new(),
        }
    }

    async fn send(&mut self, message: Value) {
        let line = format!("{message}\n");
        self.write.write_all(line.as_bytes()).await.unwrap();
    }

    /// Reads `subscribe` and sends the greeting; the replay follows, until [`AgentLink::end_replay`].
    async fn greet(&mut self) {
        assert_eq!(self.line().await["cmd"], "subscribe");
        self.send(json!({"cmd": "greeting", "result": "running", "elapsed_ms": 1000}))
            .await;
    }

    /// Ends the replay, and returns all commands that the node sends then: each is written before its next sample.
    async fn end_replay(&mut self) -> Vec<Value> {
        self.answer_next_sample().await;
        let mut resent = Vec::new();
        loop {
            let command = self.line().await;
            if command["cmd"] == "sample" {
                self.unanswered_samples.push_back(command["token"].clone());
                return resent;
            }
            resent.push(command);
        }
    }

    async fn line(&mut self) -> Value {
        let line = self.lines.next_line().await.unwrap();
        serde_json::from_str(&line.expect("the link is open")).unwrap()
    }

    /// The next command that is no sample.
    async fn command(&mut self) -> Value {
        loop {
            let command = self.line().await;
            if command["cmd"] != "sample" {
                return command;
            }
            self.unanswered_samples.push_back(command["token"].clone());
        }
    }

    async fn answer_next_sample(&mut self) {
        let token = match self.unanswered_samples.pop_front() {
            Some(token) => token,
            None => {
                let command = self.line().await;
                assert_eq!(command["cmd"], "sample");
                command["token"].clone()
            }
        };
        self.send(json!({"cmd": "sampled", "token": token, "load": [0.1, 0, 0.1, 1]}))
            .await;
    }

    /// Confirms that all commands returned so far were read: answers a sample that was requested after them.
    async fn confirm(&mut self) {
        while !self.unanswered_samples.is_empty() {
            self.answer_next_sample().await;
        }
        self.answer_next_sample().await;
    }

    async fn request_call(&mut self, offset: u64, req: &Value, body: &[u8]) {
        let payload = encode_base64(body);
        self.send(json!({"cmd": "request", "offset": offset, "req": req, "payload": payload}))
            .await;
    }

    async fn end_run(&mut self, offset: u64, req: &Value, end: &str, result: &[u8]) {
        let payload = encode_base64(result);
        self.send(
            json!({"cmd": "outcome", "offset": offset, "req": req, "result": end,
            "elapsed_ms": 5, "payload": payload}),
        )
        .await;
    }
}

/// A node with one request whose run has been launched.
struct Scenario {
    world: World,
    agent: AgentLink,
    caller: Caller,
    req: Value,
    seq: i32,
}

impl Scenario {
    async fn launch(world: World, class: &str) -> Self {
        let mut agent = AgentLink::accept(&world.agents).await;
        agent.greet().await;
        assert_eq!(agent.end_replay().await, [] as [Value; 0]);
        let mut caller = Caller::connect(world.addr).await;
        let seq = world.send_request(&mut caller, class, b"b").await;
        let launch = agent.command().await;
        assert_eq!(launch["cmd"], "launch");
        Self {
            req: launch["req"].clone(),
            world,
            agent,
            caller,
            seq,
        }
    }

    /// Launches a request; its run makes a call, and the node sends `deliver` with the reply.
    async fn deliver_first_reply(world: World, class: &str) -> Self {
        let mut scenario = Self::launch(world, class).await;
        scenario.make_call(1).await;
        scenario.expect_delivery(1).await;
        scenario
    }

    /// Launches a request; its run makes a call, whose reply arrives after a break and before the end of the replay.
    async fn reply_without_link(world: World, class: &str) -> Self {
        let mut scenario = Self::launch(world, class).await;
        let req = scenario.req.clone();
        scenario.agent.request_call(1, &req, b"call 1").await;
        let mut call = Http::accept(&scenario.world.downstream).await;
        call.request().await.unwrap();
        scenario.reconnect().await;
        call.reply("200 OK", b"reply 1").await;
        while scenario.world.context.counts.delivered.get() == 0 {
            tokio::task::yield_now().await;
        }
        scenario
    }

    /// The run makes its call with this number, by a notice with the same number, and the call is answered.
    async fn make_call(&mut self, number: u64) {
        let body = format!("call {number}");
        self.agent
            .request_call(number, &self.req, body.as_bytes())
            .await;
        self.answer_call(number).await;
    }

    async fn answer_call(&self, number: u64) {
        let mut call = Http::accept(&self.world.downstream).await;
        let (_, body) = call.request().await.unwrap();
        assert_eq!(body, format!("call {number}").as_bytes());
        call.reply("200 OK", format!("reply {number}").as_bytes())
            .await;
    }

    async fn expect_delivery(&mut self, number: u64) {
        let expected = self.delivery(number);
        assert_eq!(self.agent.command().await, expected);
    }

    fn delivery(&self, number: u64) -> Value {
        let payload = encode_base64(format!("reply {number}").as_bytes());
        json!({"cmd": "deliver", "req": self.req, "payload": payload})
    }

    fn skip(&self, number: u64) -> Value {
        json!({"cmd": "forgo", "req": self.req, "offset": number})
    }

    /// Breaks the link, and opens a new one up to its replay.
    async fn reconnect(&mut self) {
        self.agent.write.shutdown().await.unwrap();
        self.agent = AgentLink::accept(&self.world.agents).await;
        self.agent.greet().await;
    }

    /// The run makes its second call; only the reply to that call may be delivered, and the caller is answered once.
    async fn second_call_gets_its_own_reply(&mut self) {
        self.make_call(2).await;
        self.expect_delivery(2).await;
        self.end_run(3).await;
    }

    async fn end_run(&mut self, offset: u64) {
        self.agent
            .end_run(offset, &self.req, "fine", b"result")
            .await;
        self.expect_served().await;
    }

    async fn expect_served(&mut self) {
        let answer = self.caller.next().await;
        assert_eq!(answer, reply(self.seq, "honoured", "result"));
        let probe = self.caller.probe().await;
        assert_eq!(
            self.caller.next().await,
            reply(probe, "probe", "good"),
            "there is no second answer"
        );
    }

    async fn until_table_is_empty(&self) {
        let requests = || {
            let core = self.world.context.core.borrow();
            core.table.requests.iter().flatten().count()
        };
        while requests() > 0 {
            tokio::task::yield_now().await;
        }
    }

    fn unconfirmed_replies(&self) -> u64 {
        self.world.context.counts.unconfirmed_replies.get()
    }

    fn order(&self, order: fn(&mut RequestTable)) {
        order(&mut self.world.context.core.borrow_mut().table);
    }
}

fn run(class: &'static str, test: impl AsyncFnOnce(World, &'static str)) {
    run_with_node(|_| {}, |world| async move { test(world, class).await });
}

/// Guards against the first call's reply being taken as the reply to the second: the run had read it and gone on, and
/// its second call was not reported yet when the node sent `deliver` again.
#[test]
fn reply_that_was_read_is_not_delivered_to_the_next_call() {
    run(REQUIRED, async |world, class| {
        let mut scenario = Scenario::deliver_first_reply(world, class).await;
        scenario.reconnect().await;
        assert_eq!(scenario.agent.end_replay().await, [] as [Value; 0]);
        assert_eq!(scenario.unconfirmed_replies(), 1);
        scenario.second_call_gets_its_own_reply().await;
    });
    run(DEGRADABLE, async |world, class| {
        let mut scenario = Scenario::deliver_first_reply(world, class).await;
        scenario.reconnect().await;
        let skip = scenario.skip(1);
        assert_eq!(scenario.agent.end_replay().await, [skip]);
        scenario.second_call_gets_its_own_reply().await;
    });
}

/// Guards against a run that waits forever: where the answer has a value without the call, the run is told to continue.
#[test]
fn lost_reply_of_an_optional_call_is_skipped() {
    run(DEGRADABLE, async |world, class| {
        let mut scenario = Scenario::deliver_first_reply(world, class).await;
        scenario.reconnect().await;
        let skip = scenario.skip(1);
        assert_eq!(scenario.agent.end_replay().await, [skip]);
        scenario.end_run(2).await;
    });
}

/// Guards against a request without a final answer, and against an answer made from a wrong reply.
#[test]
fn request_whose_required_reply_was_lost_fails_at_its_deadline() {
    run_with_node(
        |config| config["settings"]["requestClasses"][1]["deadlineS"] = json!(2.0),
        |world| async move {
            let mut scenario = Scenario::deliver_first_reply(world, REQUIRED).await;
            scenario.reconnect().await;
            assert_eq!(scenario.agent.end_replay().await, [] as [Value; 0]);
            let answer = scenario.caller.next().await;
            assert_eq!(answer, reply(scenario.seq, "given up", ""));
            assert_eq!(scenario.agent.command().await["cmd"], "freeze");
            let req = scenario.req.clone();
            scenario.agent.end_run(2, &req, "broken_off", b"").await;
            scenario.until_table_is_empty().await;
        },
    );
}

/// A reply that the agent is known to have read needs nothing more, whatever its class.
#[test]
fn confirmed_reply_is_not_resent() {
    for class in [DEGRADABLE, REQUIRED] {
        run(class, async |world, class| {
            let mut scenario = Scenario::deliver_first_reply(world, class).await;
            scenario.agent.confirm().await;
            for _ in 0..2 {
                scenario.reconnect().await;
                assert_eq!(scenario.agent.end_replay().await, [] as [Value; 0]);
            }
            assert_eq!(scenario.unconfirmed_replies(), 0);
            scenario.second_call_gets_its_own_reply().await;
        });
    }
}

/// The run went on before the break, and the replay tells it: the second call is made, and nothing is sent for the first.
#[test]
fn replay_with_the_next_call_supersedes_the_reply() {
    for class in [DEGRADABLE, REQUIRED] {
        run(class, async |world, class| {
            let mut scenario = Scenario::deliver_first_reply(world, class).await;
            scenario.reconnect().await;
            let req = scenario.req.clone();
            scenario.agent.request_call(2, &req, b"call 2").await;
            assert_eq!(scenario.agent.end_replay().await, [] as [Value; 0]);
            scenario.answer_call(2).await;
            scenario.expect_delivery(2).await;
            scenario.end_run(3).await;
        });
    }
}

#[test]
fn replay_with_the_end_of_the_run_needs_no_command() {
    run(REQUIRED, async |world, class| {
        let mut scenario = Scenario::deliver_first_reply(world, class).await;
        scenario.reconnect().await;
        let req = scenario.req.clone();
        scenario.agent.end_run(2, &req, "fine", b"result").await;
        assert_eq!(scenario.agent.end_replay().await, [] as [Value; 0]);
        scenario.expect_served().await;
    });
}

/// A reply that came while there was no link was never sent, so the run still waits for it. It is sent once: a second
/// break before it is confirmed makes it unknown.
#[test]
fn reply_that_came_without_a_link_is_delivered_once() {
    for class in [DEGRADABLE, REQUIRED] {
        run(class, async |world, class| {
            let mut scenario = Scenario::reply_without_link(world, class).await;
            // The link breaks once more within the replay: still nothing was sent.
            scenario.reconnect().await;
            let delivery = scenario.delivery(1);
            assert_eq!(scenario.agent.end_replay().await, [delivery]);
            scenario.reconnect().await;
            let resent = scenario.agent.end_replay().await;
            if class == DEGRADABLE {
                assert_eq!(resent, [scenario.skip(1)]);
            } else {
                assert_eq!(resent, [] as [Value; 0]);
            }
            scenario.second_call_gets_its_own_reply().await;
        });
    }
}

/// A sample that is answered on the new link proves nothing about a command of the old one.
#[test]
fn reply_stays_unconfirmed_over_further_breaks() {
    run(REQUIRED, async |world, class| {
        let mut scenario = Scenario::deliver_first_reply(world, class).await;
        for _ in 0..3 {
            scenario.reconnect().await;
            assert_eq!(scenario.agent.end_replay().await, [] as [Value; 0]);
            scenario.agent.confirm().await;
        }
        assert_eq!(scenario.unconfirmed_replies(), 1);
        scenario.second_call_gets_its_own_reply().await;
    });
    run(DEGRADABLE, async |world, class| {
        let mut scenario = Scenario::deliver_first_reply(world, class).await;
        // The link breaks within the replay, and again before `forgo` is confirmed.
        scenario.reconnect().await;
        for _ in 0..2 {
            scenario.reconnect().await;
            let skip = scenario.skip(1);
            assert_eq!(scenario.agent.end_replay().await, [skip]);
        }
        scenario.agent.confirm().await;
        scenario.reconnect().await;
        assert_eq!(scenario.agent.end_replay().await, [] as [Value; 0]);
        scenario.end_run(2).await;
    });
}

/// `forgo` names its call, so it is sent again until the agent is known to have read it.
#[test]
fn skipped_call_is_resent_until_confirmed() {
    run_with_node(
        |config| config["db"] = json!("127.0.0.1:1"),
        |world| async move {
            let mut scenario = Scenario::launch(world, DEGRADABLE).await;
            let req = scenario.req.clone();
            scenario.agent.request_call(1, &req, b"call 1").await;
            let skip = scenario.skip(1);
            assert_eq!(scenario.agent.command().await, skip);
            scenario.reconnect().await;
            assert_eq!(scenario.agent.end_replay().await, [skip]);
            scenario.agent.confirm().await;
            scenario.reconnect().await;
            assert_eq!(scenario.agent.end_replay().await, [] as [Value; 0]);
            scenario.end_run(2).await;
        },
    );
}

/// Guards against a run that stays paused because `thaw` was lost.
#[test]
fn thaw_is_resent_until_confirmed() {
    run(DEGRADABLE, async |world, class| {
        let mut scenario = Scenario::launch(world, class).await;
        let command = |name: &str| json!({"cmd": name, "req": scenario.req});
        let (freeze, thaw) = (command("freeze"), command("thaw"));
        scenario.order(|table| table.cancel_run(0));
        assert_eq!(scenario.agent.command().await, freeze);
        scenario.reconnect().await;
        let resent = scenario.agent.end_replay().await;
        assert_eq!(resent[0]["cmd"], "launch");
        assert_eq!(resent[1..], [freeze]);
        scenario.order(|table| table.run(0));
        assert_eq!(scenario.agent.command().await, thaw);
        scenario.reconnect().await;
        let resent = scenario.agent.end_replay().await;
        assert_eq!(resent[0]["cmd"], "launch");
        assert_eq!(resent[1..], [thaw]);
        scenario.agent.confirm().await;
        scenario.reconnect().await;
        let resent = scenario.agent.end_replay().await;
        assert_eq!(resent.len(), 1, "{resent:?}");
        assert_eq!(resent[0]["cmd"], "launch");
        scenario.end_run(1).await;
    });
}

/// Guards against a reply that no command passes on: it came while there was no link, and the run was to stay paused
/// when the link was opened again.
#[test]
fn unsent_reply_of_a_paused_run_follows_thaw() {
    run(REQUIRED, async |world, class| {
        let mut scenario = Scenario::reply_without_link(world, class).await;
        let req = scenario.req.clone();
        scenario.order(|table| table.cancel_run(0));
        let resent = scenario.agent.end_replay().await;
        assert_eq!(resent, [json!({"cmd": "freeze", "req": req})]);
        scenario.order(|table| table.run(0));
        assert_eq!(scenario.agent.command().await["cmd"], "thaw");
        scenario.expect_delivery(1).await;
        scenario.end_run(2).await;
    });
}

/// A run that was told to stop is told so again, and gets no reply.
#[test]
fn stopped_run_is_only_told_to_stop() {
    run(DEGRADABLE, async |world, class| {
        let mut scenario = Scenario::deliver_first_reply(world, class).await;
        scenario.caller.give_up(scenario.seq).await;
        let freeze = json!({"cmd": "freeze", "req": scenario.req});
        assert_eq!(scenario.agent.command().await, freeze);
        for _ in 0..2 {
            scenario.reconnect().await;
            assert_eq!(
                scenario.agent.end_replay().await,
                std::slice::from_ref(&freeze)
            );
        }
        let req = scenario.req.clone();
        scenario.agent.end_run(2, &req, "broken_off", b"").await;
        scenario.until_table_is_empty().await;
    });
}

/// Guards against a second run: the first copy of a launch ran, the notice of its end was lost, and the agent answers the
/// second copy with `late`. Without a lost notice, `late` proves that nothing ran.
#[test]
fn late_answer_to_a_second_launch_proves_nothing_after_a_lost_notice() {
    for is_notice_lost in [true, false] {
        run_with_node(
            |config| config["settings"]["requestClasses"][0]["effect"] = json!("guarded"),
            |world| async move {
                let mut agent = AgentLink::accept(&world.agents).await;
                agent.greet().await;
                agent.end_replay().await;
                let mut caller = Caller::connect(world.addr).await;
                let fields = [("route", DEGRADABLE), ("nonce", "n")];
                let first = world.send_request_with(&mut caller, &fields, b"b").await;
                let req = agent.command().await["req"].clone();
                let mut scenario = Scenario {
                    world,
                    agent,
                    caller,
                    req,
                    seq: first,
                };
                scenario.reconnect().await;
                if is_notice_lost {
                    // The replay begins past the notices that the agent has kept.
                    let remark = json!({"cmd": "aside", "offset": 2, "result": "remark"});
                    scenario.agent.send(remark).await;
                }
                let resent = scenario.agent.end_replay().await;
                assert_eq!(resent.len(), 1);
                assert_eq!(resent[0]["cmd"], "launch");
                let req = scenario.req.clone();
                let offset = if is_notice_lost { 3 } else { 1 };
                scenario.agent.end_run(offset, &req, "late", b"").await;
                let answer = scenario.caller.next().await;
                assert_eq!(answer, reply(first, "given up", ""));
                let Scenario { world, caller, .. } = &mut scenario;
                let second = world.send_request_with(caller, &fields, b"b").await;
                if is_notice_lost {
                    let answer = scenario.caller.next().await;
                    assert_eq!(answer, reply(second, "given up", ""));
                    assert_eq!(scenario.world.context.counts.launched.get(), 1);
                } else {
                    assert_eq!(scenario.agent.command().await["cmd"], "launch");
                }
            },
        );
    }
}
