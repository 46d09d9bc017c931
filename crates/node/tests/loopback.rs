//! Tests of the node on loopback sockets; each test drives a fake agent, callers and fake servers step by step.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod world;

use nanorand::{Rng, WyRand};
use rainstand::Host;
use rainstand_node::{
    completion, config::Config, config::Peers, http, reload, request_table::RequestTable, thrift,
};
use serde_json::{json, Value};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use world::stand_ins::{self, Agent, Caller, Http, Reply};
use world::{example, reply, run_with_node, unix_time_ms, TEST_TIMEOUT};

#[test]
fn request_with_a_downstream_call_gets_one_answer_with_bodies_unchanged() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let body: Vec<u8> = (0..=255).collect();
            let seq = world.send_request(&mut caller, "register", &body).await;
            let launch = agent.command().await.unwrap();
            assert_eq!(
                (&launch["cmd"], &launch["method"]),
                (&json!("launch"), &json!("register"))
            );
            assert_eq!(launch["payload"], stand_ins::encode_base64(&body));
            agent.request_call(1, &launch["req"], b"\0call\r\n").await;
            let mut http = Http::accept(&world.downstream).await;
            let (head, call) = http.request().await.unwrap();
            assert!(head.starts_with("POST /v1/exec HTTP/1.1\r\n") && call == b"\0call\r\n");
            assert!(head.contains(&format!(
                "Request-Ref: {}\r\n",
                launch["req"].as_str().unwrap()
            )));
            http.reply("200 OK", b"\xffrow").await;
            let deliver = agent.command().await.unwrap();
            assert_eq!(
                (&deliver["cmd"], &deliver["payload"]),
                (
                    &json!("deliver"),
                    &json!(stand_ins::encode_base64(b"\xffrow"))
                )
            );
            agent.outcome(2, &launch["req"], "fine", b"result").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "result"));
            // The same outcome once more, as after a replay, gives no second answer.
            agent.outcome(2, &launch["req"], "fine", b"result").await;
            agent.outcome(3, &launch["req"], "fine", b"result").await;
            let probe = caller.probe().await;
            assert_eq!(caller.next().await, reply(probe, "probe", "good"));
            assert_eq!(world.context.counts.honoured.get(), 1);
        },
    );
}

#[test]
fn each_run_outcome_maps_to_its_answer() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let cases = [
                ("fine", "honoured", "r"),
                ("fault", "given up", ""),
                ("broken_off", "given up", ""),
                ("late", "given up", ""),
                ("no such end", "given up", ""),
            ];
            for (offset, (end, answer, body)) in cases.into_iter().enumerate() {
                let seq = world.send_request(&mut caller, "check", b"b").await;
                let req = world.expect(&mut agent, "launch").await;
                agent.outcome(offset as u64 + 1, &req, end, b"r").await;
                assert_eq!(caller.next().await, reply(seq, answer, body), "{end}");
            }
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent
                .send(json!({"cmd": "refusal", "result": "launch", "req": req}))
                .await;
            assert_eq!(caller.next().await, reply(seq, "given up", ""));
        },
    );
}

#[test]
fn non_idempotent_request_retries_only_a_call_that_provably_did_not_run() {
    // Each reply, and whether the call is retried after it.
    let cases = [
        ("503 Full\r\nNever-Started: 1", true),
        ("409 No run\r\nNever-Started: 1", true),
        ("503 Full", false),
        ("500 Failed", false),
        ("504 Out of time", false),
        ("nonsense", false),
        ("", false),
    ];
    for (http_reply, is_retried) in cases {
        run_with_node(
            |_| {},
            |world| async move {
                let (mut agent, mut caller) = world.connect_agent_and_caller().await;
                let seq = world.send_request(&mut caller, "register", b"b").await;
                let req = world.expect(&mut agent, "launch").await;
                agent.request_call(1, &req, b"c").await;
                let mut http = Http::accept(&world.downstream).await;
                http.request().await.unwrap();
                if http_reply.is_empty() {
                    drop(http);
                } else {
                    http.reply(http_reply, b"").await;
                    if is_retried {
                        http = Http::accept(&world.downstream).await;
                        assert_eq!(http.request().await.unwrap().1, b"c", "{http_reply}");
                        http.reply("200 OK", b"row").await;
                        world.expect(&mut agent, "deliver").await;
                        agent.outcome(2, &req, "fine", b"r").await;
                    }
                }
                let expected = if is_retried {
                    reply(seq, "honoured", "r")
                } else {
                    reply(seq, "given up", "")
                };
                assert_eq!(caller.next().await, expected, "{http_reply}");
                assert_eq!(
                    world.context.counts.calls.get(),
                    1 + u64::from(is_retried),
                    "{http_reply}"
                );
            },
        );
    }
}

#[test]
fn unreachable_call_is_skipped_if_a_degraded_answer_has_value() {
    run_with_node(
        |config| config["db"] = Value::Null,
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.request_call(7, &req, b"c").await;
            let forgo = agent.command().await.unwrap();
            assert_eq!(
                (&forgo["cmd"], &forgo["offset"]),
                (&json!("forgo"), &json!(7))
            );
            agent.outcome(8, &req, "fine", b"poorer").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "poorer"));
        },
    );
}

#[test]
fn surplus_reply_bytes_are_not_read_as_the_reply_to_another_call() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let complete_reply = |body: &str| format!("200 OK\r\nContent-Length: 3\r\n\r\n{body}");
            let cases = [
                format!("100 Continue\r\n\r\nHTTP/1.1 {}", complete_reply("ro1")),
                format!(
                    "{}HTTP/1.1 {}",
                    complete_reply("ro2"),
                    complete_reply("ro2")
                ),
                format!("{}\0noise", complete_reply("ro3")),
                complete_reply("ro4"),
            ];
            let mut open_connections = Vec::new();
            for (index, http_reply) in cases.iter().enumerate() {
                let (offset, body) = (2 * index as u64, format!("ro{}", index + 1));
                let seq = world.send_request(&mut caller, "register", b"b").await;
                let req = world.expect(&mut agent, "launch").await;
                agent.request_call(offset + 1, &req, b"c").await;
                let mut http = Http::accept(&world.downstream).await;
                http.request().await.unwrap();
                http.raw(format!("HTTP/1.1 {http_reply}").as_bytes()).await;
                let deliver = agent.command().await.unwrap();
                assert_eq!(
                    (&deliver["cmd"], &deliver["payload"]),
                    (
                        &json!("deliver"),
                        &json!(stand_ins::encode_base64(body.as_bytes()))
                    )
                );
                agent.outcome(offset + 2, &req, "fine", b"r").await;
                assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
                open_connections.push(http);
            }
        },
    );
}

#[test]
fn call_is_aborted_with_its_run_and_its_connection_is_closed() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "register", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.request_call(1, &req, b"c").await;
            let mut http = Http::accept(&world.downstream).await;
            http.request().await.unwrap();
            agent.outcome(2, &req, "fault", b"").await;
            assert_eq!(caller.next().await, reply(seq, "given up", ""));
            assert!(http.request().await.is_none());
        },
    );
}

#[test]
fn reconnect_applies_the_replay_and_resends_only_unconfirmed_commands() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let mut reqs = Vec::new();
            let mut seqs = Vec::new();
            for body in [b"ended", b"calls", b"fresh"] {
                seqs.push(world.send_request(&mut caller, "check", body).await);
                reqs.push(world.expect(&mut agent, "launch").await);
            }
            agent.request_call(1, &reqs[1], b"c").await;
            let mut http = Http::accept(&world.downstream).await;
            http.request().await.unwrap();
            agent.disconnect();
            // While there is no link, the call's reply and a new request arrive.
            let mut agent = Agent::accept(&world.agents).await;
            http.reply("200 OK", b"row").await;
            seqs.push(world.send_request(&mut caller, "check", b"meanwhile").await);
            while world.context.counts.launched.get() < 4
                || world.context.counts.delivered.get() < 1
            {
                tokio::task::yield_now().await;
            }
            assert_eq!(agent.greet().await, 1);
            agent.outcome(2, &reqs[0], "fine", b"r0").await;
            assert_eq!(caller.next().await, reply(seqs[0], "honoured", "r0"));
            assert_eq!(world.expect(&mut agent, "deliver").await, reqs[1]);
            assert_eq!(world.expect(&mut agent, "launch").await, reqs[2]);
            let req = world.expect(&mut agent, "launch").await;
            for (index, req) in [&reqs[1], &reqs[2], &req].into_iter().enumerate() {
                agent.outcome(3 + index as u64, req, "fine", b"r").await;
                assert_eq!(caller.next().await, reply(seqs[index + 1], "honoured", "r"));
            }
        },
    );
}

#[test]
fn agent_that_was_up_and_does_not_greet_is_reconnected() {
    run_with_node(
        |_| {},
        |world| async move {
            let (agent, _) = world.connect_agent_and_caller().await;
            agent.disconnect();
            let _silent = Agent::accept(&world.agents).await;
            let mut agent = Agent::accept(&world.agents).await;
            assert_eq!(agent.greet().await, 0);
            let mut caller = Caller::connect(world.addr).await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
        },
    );
}

#[test]
fn request_cancelled_while_the_link_is_down_is_removed() {
    run_with_node(
        |_| {},
        |world| async move {
            let (agent, mut caller) = world.connect_agent_and_caller().await;
            agent.disconnect();
            let mut agent = Agent::accept(&world.agents).await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            caller.give_up(seq).await;
            while world.context.counts.frozen.get() == 0 {
                tokio::task::yield_now().await;
            }
            agent.greet().await;
            let req = world.expect(&mut agent, "launch").await;
            assert_eq!(world.expect(&mut agent, "freeze").await, req);
            agent.outcome(1, &req, "late", b"").await;
            while world
                .context
                .core
                .borrow()
                .table
                .requests
                .iter()
                .flatten()
                .count()
                > 0
            {
                tokio::task::yield_now().await;
            }
        },
    );
}

#[test]
fn paused_run_is_resumed_with_thaw() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            let order =
                |order: fn(&mut RequestTable)| order(&mut world.context.core.borrow_mut().table);
            order(|table| table.cancel_run(0));
            assert_eq!(world.expect(&mut agent, "freeze").await, req);
            order(|table| table.run(0));
            assert_eq!(world.expect(&mut agent, "thaw").await, req);
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
        },
    );
}

#[test]
fn ticks_use_gauges_sampled_just_before() {
    run_with_node(
        |_| {},
        |world| async move {
            let (_agent, _caller) = world.connect_agent_and_caller().await;
            // If gauges were requested only after a wake-up, they would be one tick old at each following tick.
            while world.context.counts.beats.get() <= world.context.counts.stale_gauges.get() {
                tokio::task::yield_now().await;
            }
        },
    );
}

#[test]
fn unreadable_agent_input_ends_only_its_link() {
    let long = vec![b'x'; 80 * 1024];
    let cases: [&[u8]; 7] = [
        b"nonsense\n",
        b"[]\n",
        b"{\"cmd\":7}\n",
        b"\xff\xfe\n",
        &long,
        b"",
        b"{\"cmd\":\"outcome\"}\n",
    ];
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            for bytes in cases {
                agent.raw(bytes).await;
                agent.disconnect();
                agent = Agent::accept(&world.agents).await;
                assert_eq!(agent.greet().await, 0);
                assert_eq!(world.expect(&mut agent, "launch").await, req);
            }
            agent
                .send(json!({"cmd": "aside", "offset": 1, "result": "no meaning"}))
                .await;
            // A call with an unreadable body is not made with another body; its notice is requested again.
            agent
                .send(json!({"cmd": "request", "offset": 2, "req": req, "payload": "?"}))
                .await;
            let mut agent = Agent::accept(&world.agents).await;
            assert_eq!(agent.greet().await, 1);
            assert_eq!(
                (
                    world.expect(&mut agent, "launch").await,
                    world.context.counts.calls.get()
                ),
                (req.clone(), 0)
            );
            agent.send(json!({"cmd": "unknown command"})).await;
            agent.outcome(2, &json!("unknown"), "fine", b"").await;
            agent.outcome(3, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
        },
    );
}

#[test]
fn notice_still_unreadable_after_the_replay_is_skipped_and_the_link_stays_open() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let failed_seq = world.send_request(&mut caller, "register", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            let unreadable = json!({"cmd": "request", "offset": 1, "req": req, "payload": "?"});
            agent.send(unreadable.clone()).await;
            let mut agent = Agent::accept(&world.agents).await;
            assert_eq!(agent.greet().await, 0);
            agent.send(unreadable).await;
            assert_eq!(caller.next().await, reply(failed_seq, "given up", ""));
            while world.expect_any(&mut agent).await != ("freeze".into(), req.clone()) {}
            agent.outcome(2, &req, "broken_off", b"").await;
            agent.raw(b"odd\n").await;
            let mut agent = Agent::accept(&world.agents).await;
            assert_eq!(agent.greet().await, 2);
            agent.raw(b"odd\n").await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.outcome(3, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
            assert_eq!(
                (
                    world.context.counts.agent_odd.get(),
                    world.context.counts.agent_links.get()
                ),
                (1, 3)
            );
        },
    );
}

#[test]
fn invalid_input_gets_an_exception_or_ends_its_connection_after_pending_answers() {
    let trace = "00000000000000ff";
    let born = unix_time_ms();
    let valid_fields = [
        ("route", "check"),
        ("trace", trace),
        ("born", &born),
        ("size", "1"),
        ("customer", "acme"),
        ("client", "1"),
        ("order", "0.5"),
        ("entity", "e"),
        ("nonce", "n"),
        ("patience", "60000"),
        ("redo", "1"),
    ];
    let too_long = "e".repeat(257);
    // Each field is set to the value, or left out if the value is empty.
    let changes = [
        ("route", "no such type"),
        ("route", ""),
        ("trace", "short"),
        ("trace", "00000000000000\"f"),
        ("trace", ""),
        ("born", "yesterday"),
        ("born", ""),
        ("size", "-1"),
        ("size", "NaN"),
        ("size", "2000"),
        ("size", "0"),
        ("size", "inf"),
        ("size", ""),
        ("born", "0"),
        ("born", "-1"),
        ("born", "99999999999999999999"),
        ("born", "9999999999999"),
        ("customer", "unknown"),
        ("customer", ""),
        ("client", "-1"),
        ("client", "4e9"),
        ("client", ""),
        ("order", "1"),
        ("order", "-0.1"),
        ("order", "NaN"),
        ("order", ""),
        ("entity", too_long.as_str()),
        ("nonce", too_long.as_str()),
        ("patience", "-1"),
        ("patience", "soon"),
        ("patience", "99999999"),
        ("redo", "yes"),
    ];
    // Each input closes the connection.
    let closing_inputs: [&[u8]; 6] = [
        &[0xff; 8],
        &[0, 0, 0, 4, 1, 2, 3, 4],
        &[0, 0, 0, 0],
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\x0c\x80\x01\0\x02\0\0\0\0\0\0\0\x01",
        b"\0\0\0\x14\x80\x01\0\x01\0\0\0\x07process\0\0\0\x63\x0d",
    ];
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            for (name, value) in changes {
                let fields = valid_fields
                    .iter()
                    .map(|f| if f.0 == name { (name, value) } else { *f });
                let fields: Vec<_> = fields.filter(|f| !f.1.is_empty()).collect();
                let seq = caller.ask(&fields, b"b").await;
                let Some(Reply(reply_seq, "exception", text)) = caller.next().await else {
                    panic!("{name}={value}")
                };
                assert!(
                    reply_seq == seq && text.starts_with(name),
                    "{name}={value}: {text}"
                );
            }
            // None of them reached the policy or the agent.
            assert_eq!(
                (
                    world.context.counts.tickets.get(),
                    world.context.counts.launched.get()
                ),
                (0, 0)
            );
            let seq = caller.ask(&valid_fields, &[0; 2049]).await;
            assert_eq!(
                caller.next().await,
                reply(seq, "exception", "body: missing or too long")
            );
            caller
                .send(b"\0\0\0\x12\x80\x01\0\x01\0\0\0\x05hello\0\0\0\x07\0")
                .await;
            assert_eq!(caller.next().await, reply(7, "exception", "no such method"));
            let mut offset = 0;
            for input in closing_inputs {
                let mut other = Caller::connect(world.addr).await;
                let seq = world.send_request(&mut other, "check", b"b").await;
                let req = world.expect(&mut agent, "launch").await;
                other.send(input).await;
                offset += 1;
                agent.outcome(offset, &req, "fine", b"r").await;
                let mut replies = Vec::new();
                while let Some(reply) = other.next().await {
                    replies.push(reply);
                }
                replies.retain(|reply| reply.1 != "exception");
                assert_eq!(replies, [Reply(seq, "honoured", "r".into())], "{input:?}");
            }
            let probe = caller.probe().await;
            assert_eq!(caller.next().await, reply(probe, "probe", "good"));
        },
    );
}

#[test]
fn silent_or_partial_frame_connection_is_closed_unless_an_answer_is_pending() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            let mut partial_sender = Caller::connect(world.addr).await;
            let open_seq = world
                .send_request(&mut partial_sender, "register", b"b")
                .await;
            let request_frame = partial_sender.encode_request(&[], b"b");
            partial_sender.send(&request_frame[..9]).await;
            // The last input cancels a request that was never sent.
            let cancel_of_unknown =
                b"\0\0\0\x1a\x80\x01\0\x04\0\0\0\x06giveUp\0\0\0\0\x08\0\x01\0\0\0\x05\0";
            let mut bad_callers = Vec::new();
            for bytes in [&b""[..], b"\0\0", b"\0\0\0\x12\x80\x01", cancel_of_unknown] {
                let mut bad = Caller::connect(world.addr).await;
                bad.send(bytes).await;
                bad_callers.push((bytes, bad));
            }
            for (bytes, mut bad) in bad_callers {
                assert_eq!(bad.next().await, None, "{bytes:?}");
            }
            // A caller that keeps repeating the same invalid request is disconnected.
            let mut repeating_caller = Caller::connect(world.addr).await;
            let mut exceptions = 0;
            loop {
                repeating_caller.ask(&[("route", "check")], b"b").await;
                match repeating_caller.next().await {
                    Some(Reply(_, "exception", _)) => exceptions += 1,
                    other => {
                        assert_eq!((other, exceptions), (None, 64));
                        break;
                    }
                }
            }
            // Requests still open on the closed connection fail, and their runs are taken off the cores.
            assert_eq!(partial_sender.next().await, reply(open_seq, "given up", ""));
            assert_eq!(partial_sender.next().await, None);
            let cancelled = world.expect(&mut agent, "launch").await;
            assert_eq!(world.expect(&mut agent, "freeze").await, cancelled);
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
        },
    );
}

#[test]
fn finished_requests_and_connections_leave_no_state_behind() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, _caller) = world.connect_agent_and_caller().await;
            for round in 0..200u64 {
                let mut caller = Caller::connect(world.addr).await;
                let entity = format!("entity {round}");
                let seq = world
                    .send_request_for_entity(&mut caller, "check", &entity, b"b")
                    .await;
                let req = world.expect(&mut agent, "launch").await;
                match round % 4 {
                    0 => {
                        socket2::SockRef::from(&caller.stream)
                            .set_linger(Some(Duration::ZERO))
                            .unwrap();
                        drop(caller);
                    }
                    1 => caller.give_up(seq).await,
                    _ => {}
                }
                if round % 4 < 2 {
                    assert_eq!(world.expect(&mut agent, "freeze").await, req);
                }
                let end = ["broken_off", "broken_off", "fine", "late"][round as usize % 4];
                agent.outcome(round + 1, &req, end, b"r").await;
            }
            let table = || std::cell::Ref::map(world.context.core.borrow(), |core| &core.table);
            while table().requests.iter().flatten().count() > 0
                || world.context.connections.borrow().len() > 1
            {
                tokio::task::yield_now().await;
            }
            let table = table();
            assert!(
                table.by_trace.is_empty()
                    && table.by_key.is_empty()
                    && table.finished_runs.is_empty()
            );
            assert!(table.requests.len() < 50, "{}", table.requests.len());
            assert_eq!((table.body_bytes, table.downstream.in_flight.get()), (0, 0));
            assert_eq!(world.context.ends.borrow().values().sum::<u64>(), 200);
        },
    );
}

#[test]
fn run_whose_end_is_never_reported_is_removed_as_an_orphan() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            world.expect(&mut agent, "launch").await;
            let waiting_seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            caller.give_up(seq).await;
            world.expect(&mut agent, "freeze").await;
            let (now, timeout) = (std::time::Instant::now(), Duration::from_secs(61));
            let request_count = || {
                world
                    .context
                    .core
                    .borrow()
                    .table
                    .requests
                    .iter()
                    .flatten()
                    .count()
            };
            completion::end_orphans(&world.context, now);
            assert_eq!(request_count(), 2);
            // The request whose caller still waits stays, however long its run takes.
            completion::end_orphans(&world.context, now + timeout);
            completion::end_orphans(&world.context, now + timeout * 3);
            assert_eq!(
                (request_count(), world.context.counts.orphans.get()),
                (1, 1)
            );
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(waiting_seq, "honoured", "r"));
        },
    );
}

#[test]
fn silent_connections_do_not_evict_a_used_connection() {
    run_with_node(
        |config| config["limits"]["sockets"] = json!(16),
        |world| async move {
            let (_agent, mut used) = world.connect_agent_and_caller().await;
            used.probe().await;
            assert_eq!(used.next().await, reply(1, "probe", "good"));
            let mut silent_callers = Vec::new();
            for _ in 0..40 {
                silent_callers.push(Caller::connect(world.addr).await);
            }
            while world.context.counts.accepted.get() < 41
                || world.context.connections.borrow().len() > 8
            {
                tokio::task::yield_now().await;
            }
            let probe = used.probe().await;
            assert_eq!(used.next().await, reply(probe, "probe", "good"));
        },
    );
}

#[test]
fn request_bodies_stay_within_their_memory_fraction() {
    run_with_node(
        |config| config["limits"]["memory_mb"] = json!(0.01),
        |world| async move {
            let (_agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "check", &[0; 2048]).await;
            assert_eq!(caller.next().await, reply(seq, "dismissed", "pause 1000"));
        },
    );
}

#[test]
fn refused_launch_is_answered_and_charged_to_no_tenant() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            for _ in 0..20 {
                let seq = world.send_request(&mut caller, "check", b"made up").await;
                let req = world.expect(&mut agent, "launch").await;
                agent
                    .send(json!({"cmd": "refusal", "result": "launch", "req": req}))
                    .await;
                assert_eq!(caller.next().await, reply(seq, "given up", ""));
            }
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
            assert_eq!(world.context.counts.unsettled.get(), 0);
        },
    );
}

#[test]
fn duplicate_sequence_number_ends_the_connection_and_33rd_open_request_gets_an_exception() {
    run_with_node(
        |_| {},
        |world| async move {
            let (_agent, mut caller) = world.connect_agent_and_caller().await;
            for _ in 0..32 {
                world.send_request(&mut caller, "check", b"b").await;
            }
            let seq = world.send_request(&mut caller, "check", b"b").await;
            assert_eq!(
                caller.next().await,
                reply(seq, "exception", "too many open tickets on this connection")
            );
            for seq in 1..=32 {
                caller.give_up(seq).await;
            }
            let probe = caller.probe().await;
            assert_eq!(caller.next().await, reply(probe, "probe", "good"));
            assert_eq!(world.context.counts.left.get(), 32);
        },
    );
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let repeated_frame = caller.encode_request(&[], b"");
            let mut repeating_caller = Caller::connect(world.addr).await;
            let seq = world
                .send_request(&mut repeating_caller, "check", b"b")
                .await;
            let req = world.expect(&mut agent, "launch").await;
            repeating_caller.send(&repeated_frame).await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(repeating_caller.next().await, reply(seq, "honoured", "r"));
            assert_eq!(repeating_caller.next().await, None);
        },
    );
}

#[test]
fn cancelled_request_gets_no_answer_and_frees_the_core() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            caller.give_up(seq).await;
            assert_eq!(world.expect(&mut agent, "freeze").await, req);
            agent.outcome(1, &req, "broken_off", b"").await;
            caller.give_up(seq).await;
            caller.give_up(99).await;
            let probe = caller.probe().await;
            assert_eq!(caller.next().await, reply(probe, "probe", "good"));
            assert_eq!(
                (
                    world.context.counts.left.get(),
                    world.context.counts.given_up.get()
                ),
                (1, 0)
            );
            assert_eq!(world.context.core.borrow().table.pending_reply_count(), 0);
        },
    );
}

#[test]
fn reset_connection_cancels_only_its_own_requests() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let mut reset_caller = Caller::connect(world.addr).await;
            world.send_request(&mut reset_caller, "check", b"b").await;
            let cancelled_req = world.expect(&mut agent, "launch").await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let open_req = world.expect(&mut agent, "launch").await;
            socket2::SockRef::from(&reset_caller.stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
            drop(reset_caller);
            assert_eq!(world.expect(&mut agent, "freeze").await, cancelled_req);
            agent.outcome(1, &cancelled_req, "broken_off", b"").await;
            agent.outcome(2, &open_req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
        },
    );
}

#[test]
fn request_received_byte_by_byte_is_answered_after_the_callers_eof() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let (born, trace) = (unix_time_ms(), "00000000000000aa");
            let mut fields = vec![
                ("route", "check"),
                ("trace", trace),
                ("born", &born),
                ("size", "1"),
            ];
            fields.extend([("customer", "acme"), ("client", "1"), ("order", "0")]);
            for byte in caller.encode_request(&fields, b"slow") {
                caller.send(&[byte]).await;
                tokio::task::yield_now().await;
            }
            let req = world.expect(&mut agent, "launch").await;
            caller.stream.shutdown().await.unwrap();
            while world
                .context
                .connections
                .borrow()
                .values()
                .any(|conn| conn.open_requests.borrow().is_empty())
            {
                tokio::task::yield_now().await;
            }
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(1, "honoured", "r"));
            assert_eq!(caller.next().await, None);
        },
    );
}

#[test]
fn close_is_postponed_if_a_request_arrives_meanwhile() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "register", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            let conn = world
                .context
                .connections
                .borrow()
                .values()
                .next()
                .cloned()
                .unwrap();
            for code in ["idle", "room", "forsaken"] {
                conn.close_with(code);
                let probe = caller.probe().await;
                assert_eq!(caller.next().await, reply(probe, "probe", "good"), "{code}");
            }
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
            conn.close_with("idle");
            assert_eq!(caller.next().await, None);
        },
    );
}

#[test]
fn caller_that_never_reads_affects_no_other_caller() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let mut stalled_caller = Caller::connect(world.addr).await;
            socket2::SockRef::from(&stalled_caller.stream)
                .set_recv_buffer_size(4096)
                .unwrap();
            let probes: Vec<u8> =
                b"\0\0\0\x12\x80\x01\0\x01\0\0\0\x05probe\0\0\0\x07\0".repeat(4_000);
            // What the sockets do not take is not sent; the timeout bounds the write.
            let _ = tokio::time::timeout(
                Duration::from_millis(300),
                stalled_caller.send(&probes.repeat(50)),
            )
            .await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
            let unread = world
                .context
                .connections
                .borrow()
                .values()
                .map(|conn| conn.outgoing.borrow().len())
                .max();
            assert!(unread < Some(1024 * 1024), "{unread:?}");
        },
    );
}

#[test]
fn unread_answers_stay_within_their_memory_fraction() {
    run_with_node(
        |config| config["limits"]["memory_mb"] = json!(0.5),
        |world| async move {
            let (mut agent, _) = world.connect_agent_and_caller().await;
            let mut stalled_caller = Caller::connect(world.addr).await;
            socket2::SockRef::from(&stalled_caller.stream)
                .set_recv_buffer_size(4096)
                .unwrap();
            let probes: Vec<u8> =
                b"\0\0\0\x12\x80\x01\0\x01\0\0\0\x05probe\0\0\0\x07\0".repeat(4_000);
            let flood = spawn_local(async move {
                stalled_caller.send(&probes.repeat(100)).await;
                stalled_caller
            });
            while !world.context.ends.borrow().contains_key("unread") {
                tokio::task::yield_now().await;
            }
            let mut caller = Caller::connect(world.addr).await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
            flood.abort();
        },
    );
}

#[test]
fn connections_beyond_the_capacity_evict_unused_ones() {
    run_with_node(
        |config| config["limits"]["sockets"] = json!(16),
        |world| async move {
            let (mut agent, mut used) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut used, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            let mut others = Vec::new();
            for _ in 0..20 {
                let mut other = Caller::connect(world.addr).await;
                other.probe().await;
                assert!(other.next().await.is_some());
                others.push(other);
                while world.context.connections.borrow().len() > 8 {
                    tokio::task::yield_now().await;
                }
            }
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(used.next().await, reply(seq, "honoured", "r"));
        },
    );
}

#[test]
fn read_of_the_same_entity_shares_the_open_or_cached_result() {
    let with_guarded_effect = |config: &mut Value| {
        config["settings"]["requestClasses"][0]["effect"] = json!("guarded");
    };
    run_with_node(with_guarded_effect, |world| async move {
        let (mut agent, mut caller) = world.connect_agent_and_caller().await;
        let first = world
            .send_request_for_entity(&mut caller, "check", "e1", b"b")
            .await;
        let req = world.expect(&mut agent, "launch").await;
        let second = world
            .send_request_for_entity(&mut caller, "check", "e1", b"b")
            .await;
        let other = world
            .send_request_for_entity(&mut caller, "check", "e2", b"b")
            .await;
        let failed = world.expect(&mut agent, "launch").await;
        agent.outcome(1, &req, "fine", b"r").await;
        assert_eq!(caller.next().await, reply(first, "honoured", "r"));
        assert_eq!(caller.next().await, reply(second, "honoured", "r"));
        let third = world
            .send_request_for_entity(&mut caller, "check", "e1", b"b")
            .await;
        assert_eq!(caller.next().await, reply(third, "honoured", "r"));
        let fourth = world
            .send_request_for_entity(&mut caller, "check", "e2", b"b")
            .await;
        let probe = caller.probe().await;
        assert_eq!(caller.next().await, reply(probe, "probe", "good"));
        agent.outcome(2, &failed, "fault", b"").await;
        assert_eq!(caller.next().await, reply(other, "given up", ""));
        assert_eq!(caller.next().await, reply(fourth, "given up", ""));
        assert_eq!(
            (
                world.context.counts.launched.get(),
                world.context.counts.repeats.get()
            ),
            (2, 3)
        );

        // A waiting request is cancelled: the result is not given to the request that reuses its index.
        let first = world
            .send_request_for_entity(&mut caller, "check", "e3", b"b")
            .await;
        let req = world.expect(&mut agent, "launch").await;
        let cancelled_seq = world
            .send_request_for_entity(&mut caller, "check", "e3", b"b")
            .await;
        caller.give_up(cancelled_seq).await;
        let next = world
            .send_request_for_entity(&mut caller, "check", "e4", b"b")
            .await;
        let other = world.expect(&mut agent, "launch").await;
        agent.outcome(3, &req, "fine", b"r3").await;
        assert_eq!(caller.next().await, reply(first, "honoured", "r3"));
        agent.outcome(4, &other, "fine", b"r4").await;
        assert_eq!(caller.next().await, reply(next, "honoured", "r4"));
    });
}

/// The attempts of an idempotent request carry the same nonce. After any outcome of the first run, no other attempt
/// runs, unless nothing ran. A nonce is not shared between tenants or bodies.
#[test]
fn attempts_with_the_same_nonce_run_once_after_any_first_outcome() {
    let with_guarded_effect = |config: &mut Value| {
        config["settings"]["requestClasses"][0]["effect"] = json!("guarded");
    };
    run_with_node(with_guarded_effect, |world| async move {
        let (mut agent, mut caller) = world.connect_agent_and_caller().await;
        let world = &world;
        let ask = |nonce: &'static str, customer: &'static str, body: &'static [u8]| {
            let fields = [("route", "check"), ("nonce", nonce), ("customer", customer)];
            async move |caller: &mut Caller| world.send_request_with(caller, &fields, body).await
        };
        // The second attempt is sent while the first one runs, the third one after it.
        let first = ask("n1", "acme", b"b")(&mut caller).await;
        let req = world.expect(&mut agent, "launch").await;
        let second = ask("n1", "acme", b"b")(&mut caller).await;
        let probe = caller.probe().await;
        assert_eq!(caller.next().await, reply(probe, "probe", "good"));
        agent.outcome(1, &req, "fine", b"r1").await;
        assert_eq!(caller.next().await, reply(first, "honoured", "r1"));
        assert_eq!(caller.next().await, reply(second, "honoured", "r1"));
        let third = ask("n1", "acme", b"b")(&mut caller).await;
        assert_eq!(caller.next().await, reply(third, "honoured", "r1"));
        // The same nonce with another body is refused; from another tenant it is another request.
        let other_body = ask("n1", "acme", b"other")(&mut caller).await;
        assert_eq!(
            caller.next().await,
            reply(
                other_body,
                "exception",
                "nonce: that of a ticket with another body"
            )
        );
        let other_tenant = ask("n1", "globex", b"b")(&mut caller).await;
        let req = world.expect(&mut agent, "launch").await;
        agent.outcome(2, &req, "fine", b"r2").await;
        assert_eq!(caller.next().await, reply(other_tenant, "honoured", "r2"));
        // A run that failed, and one that was stopped when its caller cancelled: both may have had their effect.
        let failed = ask("n2", "acme", b"b")(&mut caller).await;
        let req = world.expect(&mut agent, "launch").await;
        agent.outcome(3, &req, "fault", b"").await;
        assert_eq!(caller.next().await, reply(failed, "given up", ""));
        let retry = ask("n2", "acme", b"b")(&mut caller).await;
        assert_eq!(caller.next().await, reply(retry, "given up", ""));
        let cancelled = ask("n3", "acme", b"b")(&mut caller).await;
        let req = world.expect(&mut agent, "launch").await;
        caller.give_up(cancelled).await;
        assert_eq!(world.expect(&mut agent, "freeze").await, req);
        agent.outcome(4, &req, "broken_off", b"").await;
        let retry = ask("n3", "acme", b"b")(&mut caller).await;
        assert_eq!(caller.next().await, reply(retry, "given up", ""));
        assert_eq!(world.context.counts.launched.get(), 4);
        // A request of which the agent reports that nothing ran.
        let never_ran = ask("n4", "acme", b"b")(&mut caller).await;
        let req = world.expect(&mut agent, "launch").await;
        agent.outcome(5, &req, "late", b"").await;
        assert_eq!(caller.next().await, reply(never_ran, "given up", ""));
        let retry = ask("n4", "acme", b"b")(&mut caller).await;
        let req = world.expect(&mut agent, "launch").await;
        agent.outcome(6, &req, "fine", b"r4").await;
        assert_eq!(caller.next().await, reply(retry, "honoured", "r4"));
        assert_eq!(world.context.core.borrow().table.result_cache.len(), 5);
    });
}

/// If a request states how long its caller waits, it is answered by then, even before the deadline of its class.
#[test]
fn request_is_answered_before_its_caller_stops_waiting() {
    run_with_node(
        |config| {
            for class in config["settings"]["requestClasses"].as_array_mut().unwrap() {
                (class["aimS"], class["deadlineS"]) = (json!(300.0), json!(600.0));
            }
        },
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let fields = [("route", "register"), ("patience", "600")];
            let started = std::time::Instant::now();
            let seq = world.send_request_with(&mut caller, &fields, b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            assert_eq!(caller.next().await, reply(seq, "given up", ""));
            assert!(
                started.elapsed() < Duration::from_secs(60),
                "the caller's timeout applies, not the deadline of the class"
            );
            assert_eq!(world.expect(&mut agent, "freeze").await, req);
            // The policy answered it, not the node's fallback for requests that the policy leaves unanswered.
            assert_eq!(world.context.counts.unsettled.get(), 0);
            // Without a stated timeout, the deadline of the class applies.
            let fields = [("route", "register"), ("patience", "0")];
            let seq = world.send_request_with(&mut caller, &fields, b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
        },
    );
}

/// An idempotent request does not run if the cache has no capacity to record that it ran.
#[test]
fn idempotent_request_runs_only_if_its_key_fits_the_cache() {
    let with_guarded_effect = |config: &mut Value| {
        config["settings"]["requestClasses"][0]["effect"] = json!("guarded");
        config["limits"]["memory_mb"] = json!(0.002);
    };
    run_with_node(with_guarded_effect, |world| async move {
        let (mut agent, mut caller) = world.connect_agent_and_caller().await;
        let fields = [("route", "check"), ("nonce", "n1")];
        let first = world.send_request_with(&mut caller, &fields, b"b").await;
        let req = world.expect(&mut agent, "launch").await;
        let fields = [("route", "check"), ("nonce", "n2")];
        let second = world.send_request_with(&mut caller, &fields, b"b").await;
        assert_eq!(
            caller.next().await,
            reply(second, "dismissed", "pause 1000")
        );
        agent.outcome(1, &req, "fine", b"r").await;
        assert_eq!(caller.next().await, reply(first, "honoured", "r"));
    });
}

#[test]
fn before_the_agent_is_up_probes_are_answered_and_requests_rejected() {
    run_with_node(
        |_| {},
        |world| async move {
            let mut caller = Caller::connect(world.addr).await;
            let probe = caller.probe().await;
            assert_eq!(caller.next().await, reply(probe, "probe", "good"));
            let seq = world.send_request(&mut caller, "check", b"b").await;
            assert_eq!(caller.next().await, reply(seq, "dismissed", "pause 1000"));
        },
    );
}

#[test]
fn drain_answers_every_request_that_was_read() {
    run_with_node(
        |config| config["stop_ms"] = json!(600_000),
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let mut idle = Caller::connect(world.addr).await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            idle.probe().await;
            assert!(idle.next().await.is_some());
            world.send_shutdown_notice.notify_one();
            assert_eq!(idle.next().await, reply(0, "shutdown", ""));
            drop(idle);
            assert_eq!(caller.next().await, reply(0, "shutdown", ""));
            // A request that crosses the shutdown notice is still served.
            let late = world.send_request(&mut caller, "check", b"late").await;
            let late_req = world.expect(&mut agent, "launch").await;
            agent.outcome(1, &late_req, "fine", b"r2").await;
            assert_eq!(caller.next().await, reply(late, "honoured", "r2"));
            agent.outcome(2, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
            drop(caller);
            world.node.await.unwrap();
            assert_eq!(
                (
                    world.context.counts.unsettled.get(),
                    world.context.core.borrow().table.pending_reply_count()
                ),
                (0, 0)
            );
        },
    );
}

#[test]
fn connections_are_refused_after_the_drain_grace() {
    run_with_node(
        |config| config["settings"]["obligations"]["drainGraceS"] = json!(0),
        |world| async move {
            let (_agent, mut caller) = world.connect_agent_and_caller().await;
            world.send_shutdown_notice.notify_one();
            assert_eq!(caller.next().await, reply(0, "shutdown", ""));
            while TcpStream::connect(world.addr).await.is_ok() {
                tokio::task::yield_now().await;
            }
            drop(caller);
            world.node.await.unwrap();
        },
    );
}

#[test]
fn unfinished_requests_are_failed_before_the_stop_timeout() {
    run_with_node(
        |config| config["stop_ms"] = json!(1_000),
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "register", b"b").await;
            world.expect(&mut agent, "launch").await;
            world.send_shutdown_notice.notify_one();
            assert_eq!(caller.next().await, reply(0, "shutdown", ""));
            assert_eq!(caller.next().await, reply(seq, "given up", ""));
            world.node.await.unwrap();
        },
    );
}

#[test]
fn reports_continue_while_the_announce_service_fails_and_end_with_not_accepting() {
    run_with_node(
        |config| config["settings"]["familyInfo"]["readiness"] = json!(true),
        |world| async move {
            for reply in ["500 Down", "204 No Content", "nonsense", "204 No Content"] {
                let mut http = Http::accept(&world.announce).await;
                let (head, body) = http.request().await.unwrap();
                assert!(head.starts_with("PUT /announce/n1 HTTP/1.1\r\n"));
                assert_eq!(body, b"{\"accepting\":\"true\"}");
                http.reply(reply, b"").await;
                if reply.starts_with("204") {
                    // After a valid reply, the next report arrives on the same connection.
                    assert!(http.request().await.is_some());
                }
            }
            world.send_shutdown_notice.notify_one();
            let mut http = Http::accept(&world.announce).await;
            assert_eq!(
                http.request().await.unwrap().1,
                b"{\"accepting\":\"false\"}"
            );
            http.reply("204 No Content", b"").await;
            world.node.await.unwrap();
        },
    );
}

#[test]
fn unanswered_report_is_counted_and_the_next_one_follows() {
    run_with_node(
        |_| {},
        |world| async move {
            let mut silent = Http::accept(&world.announce).await;
            silent.request().await.unwrap();
            let mut http = Http::accept(&world.announce).await;
            http.request().await.unwrap();
            http.reply("204 No Content", b"").await;
            assert!(http.request().await.is_some());
            let counts = &world.context.counts;
            assert_eq!(
                (
                    counts.announce_unanswered.get(),
                    counts.announce_errors.get()
                ),
                (1, 0)
            );
        },
    );
}

#[test]
fn new_addresses_are_applied_with_requests_in_flight() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let mut report = Http::accept(&world.announce).await;
            report.request().await.unwrap();
            report.reply("204 No Content", b"").await;
            let first = world.send_request(&mut caller, "register", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.request_call(1, &req, b"c").await;
            let mut old = Http::accept(&world.downstream).await;
            old.request().await.unwrap();
            let listen = || async { TcpListener::bind("127.0.0.1:0").await.unwrap() };
            let (agents, below, announce) = (listen().await, listen().await, listen().await);
            let address_of = |listener: &TcpListener| listener.local_addr().unwrap();
            let (below_address, announce_address) =
                (Some(address_of(&below)), Some(address_of(&announce)));
            reload::apply_peers(
                &world.context,
                Peers {
                    agent: address_of(&agents),
                    downstream: below_address,
                    announce: announce_address,
                },
            );
            // The replay continues where the old link ended; the call in flight ends on its old connection.
            let mut agent = Agent::accept(&agents).await;
            assert_eq!(agent.greet().await, 1);
            old.reply("200 OK", b"row").await;
            assert_eq!(world.expect(&mut agent, "deliver").await, req);
            agent.outcome(2, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(first, "honoured", "r"));
            assert!(
                old.request().await.is_none(),
                "an idle connection to the old address stays open"
            );
            world.send_request(&mut caller, "register", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.request_call(3, &req, b"c").await;
            assert!(Http::accept(&below).await.request().await.is_some());
            assert!(Http::accept(&announce).await.request().await.is_some());
        },
    );
}

#[test]
fn new_addresses_are_applied_while_draining() {
    run_with_node(
        |config| config["stop_ms"] = json!(600_000),
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let seq = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            world.send_shutdown_notice.notify_one();
            assert_eq!(caller.next().await, reply(0, "shutdown", ""));
            let agents = TcpListener::bind("127.0.0.1:0").await.unwrap();
            reload::apply_peers(
                &world.context,
                Peers {
                    agent: agents.local_addr().unwrap(),
                    ..world.context.peer_addresses.get()
                },
            );
            let mut agent = Agent::accept(&agents).await;
            assert_eq!(agent.greet().await, 0);
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(seq, "honoured", "r"));
            drop(caller);
            world.node.await.unwrap();
            assert_eq!(world.context.counts.unsettled.get(), 0);
        },
    );
}

#[test]
fn new_settings_are_applied_and_rolled_back_with_requests_in_flight() {
    run_with_node(
        |_| {},
        |world| async move {
            let (mut agent, mut caller) = world.connect_agent_and_caller().await;
            let first = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            // As in lakes-preview: one downstream store shared by all nodes, and runs that cannot be paused.
            let mut changed = world.context.config.clone();
            let family_info = changed
                .settings
                .get_mut("familyInfo")
                .and_then(Value::as_object_mut)
                .unwrap();
            family_info.extend(
                [
                    ("halt", json!("off")),
                    ("below", json!("shared")),
                    ("callShare", json!(2.0)),
                ]
                .map(|(key, value)| (key.to_owned(), value)),
            );
            changed.settings["permissions"]["maxRetryAfterS"] = json!(3.0);
            reload::apply_settings(&world.context, changed).unwrap();
            assert!(!world.context.core.borrow().table.can_pause);
            assert_eq!(world.context.max_retry_after.get(), Duration::from_secs(3));
            // A request that was read before the change continues, and is answered once.
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(first, "honoured", "r"));
            reload::apply_settings(&world.context, world.context.config.clone()).unwrap();
            assert!(world.context.core.borrow().table.can_pause);
            assert_eq!(world.context.max_retry_after.get(), Duration::from_secs(1));
            let second = world.send_request(&mut caller, "check", b"b").await;
            let req = world.expect(&mut agent, "launch").await;
            agent.outcome(2, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, reply(second, "honoured", "r"));
            // The request table is indexed by traffic class, so classes change only at a start.
            let mut renamed = world.context.config.clone();
            renamed.settings["requestClasses"][0]["name"] = json!("renamed");
            assert!(reload::apply_settings(&world.context, renamed).is_err());
            let mut invalid = world.context.config.clone();
            invalid.settings["familyInfo"]["halt"] = json!("sometimes");
            assert!(reload::apply_settings(&world.context, invalid)
                .unwrap_err()
                .to_string()
                .contains("halt"));
            assert!(
                world.context.core.borrow().table.can_pause,
                "a refused file changes nothing"
            );
        },
    );
}

#[test]
fn sighup_reloads_the_file_and_an_invalid_file_leaves_the_old_addresses() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let test = async {
        let (first, second) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let path =
            std::env::temp_dir().join(format!("rainstand-reload-{}.json", std::process::id()));
        let write_config = |agent: &TcpListener| {
            let mut config = example();
            (config["listen"], config["db"], config["announce"]) =
                (json!("127.0.0.1:0"), Value::Null, Value::Null);
            config["agent"] = json!(agent.local_addr().unwrap().to_string());
            std::fs::write(&path, config.to_string()).unwrap();
        };
        write_config(&first);
        let mut node = tokio::process::Command::new(env!("CARGO_BIN_EXE_rainstand-node"))
            .env("ROUTER_CONFIG", &path)
            .stderr(std::process::Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let pid = node.id().unwrap().to_string();
        let send_sighup = || {
            std::process::Command::new("kill")
                .args(["-HUP", &pid])
                .status()
                .unwrap()
        };
        let mut log = tokio::io::BufReader::new(node.stderr.take().unwrap()).lines();
        let mut agent = Agent::accept(&first).await;
        assert_eq!(agent.greet().await, 0);
        std::fs::write(&path, "{\n\n").unwrap();
        send_sighup();
        while !log
            .next_line()
            .await
            .unwrap()
            .expect("the node closed its log")
            .starts_with("reload refused")
        {}
        write_config(&second);
        send_sighup();
        assert_eq!(Agent::accept(&second).await.greet().await, 0);
        node.kill().await.unwrap();
        std::fs::remove_file(&path).unwrap();
    };
    let result = LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test).await
    });
    result.expect("the test timed out");
}

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 8] = [
        (
            |c| c["listen"] = json!("here"),
            "listen: here is no address and port",
        ),
        (
            |c| c["listen"] = json!("0.0.0.0:5050"),
            "listen: one address only, not all of them",
        ),
        (|c| c["seed"] = json!("seed"), "seed: "),
        (|c| c["stop_ms"] = json!(-1), "stop_ms: "),
        (|c| c["limits"] = json!({}), "limits: sockets: "),
        (|c| c["name"] = json!("n1\r\nX: y"), "name: "),
        (
            |c| c["settings"]["requestClasses"] = json!([]),
            "settings: requestClasses: ",
        ),
        (
            |c| c["settings"]["requestClasses"][1]["effect"] = json!("odd"),
            "settings: effect: odd is not known",
        ),
    ];
    for (change, expected) in cases {
        let mut config = example();
        change(&mut config);
        let error = Config::read(config.to_string().as_bytes())
            .err()
            .unwrap()
            .to_string();
        assert!(
            error.starts_with(expected) && !error.contains('\n'),
            "{error}"
        );
    }
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_rainstand-node"))
        .env("ROUTER_CONFIG", "/nonexistent/config.json")
        .output()
        .unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success()
            && stderr.starts_with("rainstand-node: /nonexistent")
            && stderr.lines().count() == 1
    );
}

#[test]
fn unknown_keys_are_logged_and_help_is_printed() {
    let mut config = example();
    config["sede"] = json!("8c1f");
    config["two\nlines"] = json!(1);
    let parsed = Config::read(config.to_string().as_bytes()).unwrap();
    assert_eq!(parsed.unknown_keys, ["sede", "two\\nlines"]);
    assert!(Config::read(example().to_string().as_bytes())
        .unwrap()
        .unknown_keys
        .is_empty());
    for (argument, expected) in [
        ("--help", "ROUTER_CONFIG"),
        ("--version", env!("CARGO_PKG_VERSION")),
    ] {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_rainstand-node"))
            .arg(argument)
            .output();
        let output = output.unwrap();
        let stdout = String::from_utf8(output.stdout).unwrap();
        assert!(
            output.status.success() && stdout.contains(expected),
            "{stdout}"
        );
    }
}

#[test]
fn arbitrary_bytes_make_no_parser_panic_or_read_past_the_end() {
    let mut rng = WyRand::new_seed(7);
    let valid_inputs: [&[u8]; 3] = [
        b"\x80\x01\0\x01\0\0\0\x07process\0\0\0\x01\x0d\0\x01\x0b\x0b\0\0\0\x01\0\0\0\x01k\0\0\0\x01v\x0b\0\x02\0\0\0\x01b\0",
        b"\x80\x01\0\x04\0\0\0\x06giveUp\0\0\0\x01\x08\0\x01\0\0\0\x05\x0f\0\x07\x0c\0\0\0\x02\0\0\0",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nrow",
    ];
    let parses = |bytes: &[u8]| {
        let arguments = thrift::message(bytes).and_then(|message| {
            thrift::probe_args(message.args)?;
            thrift::give_up_args(message.args)?;
            thrift::process_args(message.args)
        });
        let reply = http::reply(bytes);
        if let Ok(Some(reply)) = &reply {
            assert!(reply.body.start <= reply.body.end && reply.body.end <= bytes.len());
        }
        let _ = thrift::frame(bytes);
        arguments.is_ok() || matches!(reply, Ok(Some(_)))
    };
    for valid in valid_inputs {
        assert!(parses(valid));
        for length in 0..valid.len() {
            assert!(!parses(&valid[..length]), "{length}");
        }
        for _ in 0..20_000 {
            let mut bytes = valid.to_vec();
            for _ in 0..rng.generate_range(1..4u32) {
                let position = rng.generate_range(0..bytes.len());
                bytes[position] = rng.generate();
            }
            parses(&bytes);
        }
    }
    // Deeply nested structs are refused instead of followed.
    let deeply_nested = [
        b"\x80\x01\0\x01\0\0\0\x01x\0\0\0\x01".to_vec(),
        b"\x0c\0\x01".repeat(4_000),
    ]
    .concat();
    assert!(!parses(&deeply_nested));
}
