//! The node on loopback sockets, between stand-ins that each test drives step by step.

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
use world::stand_ins::{self, Agent, Caller, Http, Said};
use world::{born, example, play, said, HANGS};

#[test]
fn request_passes_run_and_call_to_one_answer_with_bodies_unchanged() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let body: Vec<u8> = (0..=255).collect();
            let seq = w.ask(&mut caller, "register", &body).await;
            let launch = agent.command().await.unwrap();
            assert_eq!(
                (&launch["cmd"], &launch["method"]),
                (&json!("launch"), &json!("register"))
            );
            assert_eq!(launch["payload"], stand_ins::packed(&body));
            agent.asks_call(1, &launch["req"], b"\0call\r\n").await;
            let mut http = Http::accept(&w.below).await;
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
                (&json!("deliver"), &json!(stand_ins::packed(b"\xffrow")))
            );
            agent.outcome(2, &launch["req"], "fine", b"result").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "result"));
            // The same outcome once more, as after a replay, gives no second answer.
            agent.outcome(2, &launch["req"], "fine", b"result").await;
            agent.outcome(3, &launch["req"], "fine", b"result").await;
            let probe = caller.probe().await;
            assert_eq!(caller.next().await, said(probe, "probe", "good"));
            assert_eq!(w.context.counts.honoured.get(), 1);
        },
    );
}

#[test]
fn each_run_outcome_gets_its_answer() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let cases = [
                ("fine", "honoured", "r"),
                ("fault", "given up", ""),
                ("broken_off", "given up", ""),
                ("late", "given up", ""),
                ("no such end", "given up", ""),
            ];
            for (offset, (end, what, body)) in cases.into_iter().enumerate() {
                let seq = w.ask(&mut caller, "check", b"b").await;
                let req = w.expect(&mut agent, "launch").await;
                agent.outcome(offset as u64 + 1, &req, end, b"r").await;
                assert_eq!(caller.next().await, said(seq, what, body), "{end}");
            }
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent
                .tell(json!({"cmd": "refusal", "result": "launch", "req": req}))
                .await;
            assert_eq!(caller.next().await, said(seq, "given up", ""));
        },
    );
}

#[test]
fn non_idempotent_request_repeats_only_a_call_proved_not_run() {
    // Reply, and whether the exclusive ticket's call is made again.
    let cases = [
        ("503 Full\r\nNever-Started: 1", true),
        ("409 No run\r\nNever-Started: 1", true),
        ("503 Full", false),
        ("500 Failed", false),
        ("504 Out of time", false),
        ("nonsense", false),
        ("", false),
    ];
    for (reply, again) in cases {
        play(
            |_| {},
            |w| async move {
                let (mut agent, mut caller) = w.up().await;
                let seq = w.ask(&mut caller, "register", b"b").await;
                let req = w.expect(&mut agent, "launch").await;
                agent.asks_call(1, &req, b"c").await;
                let mut http = Http::accept(&w.below).await;
                http.request().await.unwrap();
                if reply.is_empty() {
                    drop(http);
                } else {
                    http.reply(reply, b"").await;
                    if again {
                        http = Http::accept(&w.below).await;
                        assert_eq!(http.request().await.unwrap().1, b"c", "{reply}");
                        http.reply("200 OK", b"row").await;
                        w.expect(&mut agent, "deliver").await;
                        agent.outcome(2, &req, "fine", b"r").await;
                    }
                }
                let expected = if again {
                    said(seq, "honoured", "r")
                } else {
                    said(seq, "given up", "")
                };
                assert_eq!(caller.next().await, expected, "{reply}");
                assert_eq!(
                    w.context.counts.calls.get(),
                    1 + u64::from(again),
                    "{reply}"
                );
            },
        );
    }
}

#[test]
fn unreachable_call_is_skipped_where_a_degraded_answer_has_value() {
    play(
        |config| config["db"] = Value::Null,
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.asks_call(7, &req, b"c").await;
            let forgo = agent.command().await.unwrap();
            assert_eq!(
                (&forgo["cmd"], &forgo["offset"]),
                (&json!("forgo"), &json!(7))
            );
            agent.outcome(8, &req, "fine", b"poorer").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "poorer"));
        },
    );
}

#[test]
fn surplus_bytes_of_a_reply_answer_no_other_call() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let whole = |body: &str| format!("200 OK\r\nContent-Length: 3\r\n\r\n{body}");
            let cases = [
                format!("100 Continue\r\n\r\nHTTP/1.1 {}", whole("ro1")),
                format!("{}HTTP/1.1 {}", whole("ro2"), whole("ro2")),
                format!("{}\0noise", whole("ro3")),
                whole("ro4"),
            ];
            let mut stay_open = Vec::new();
            for (n, reply) in cases.iter().enumerate() {
                let (offset, body) = (2 * n as u64, format!("ro{}", n + 1));
                let seq = w.ask(&mut caller, "register", b"b").await;
                let req = w.expect(&mut agent, "launch").await;
                agent.asks_call(offset + 1, &req, b"c").await;
                let mut http = Http::accept(&w.below).await;
                http.request().await.unwrap();
                http.raw(format!("HTTP/1.1 {reply}").as_bytes()).await;
                let deliver = agent.command().await.unwrap();
                assert_eq!(
                    (&deliver["cmd"], &deliver["payload"]),
                    (
                        &json!("deliver"),
                        &json!(stand_ins::packed(body.as_bytes()))
                    )
                );
                agent.outcome(offset + 2, &req, "fine", b"r").await;
                assert_eq!(caller.next().await, said(seq, "honoured", "r"));
                stay_open.push(http);
            }
        },
    );
}

#[test]
fn call_is_aborted_with_its_run_and_its_connection_is_closed() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "register", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.asks_call(1, &req, b"c").await;
            let mut http = Http::accept(&w.below).await;
            http.request().await.unwrap();
            agent.outcome(2, &req, "fault", b"").await;
            assert_eq!(caller.next().await, said(seq, "given up", ""));
            assert!(http.request().await.is_none());
        },
    );
}

#[test]
fn reconnect_applies_the_replay_and_resends_only_unconfirmed_commands() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let mut reqs = Vec::new();
            let mut seqs = Vec::new();
            for body in [b"ended", b"calls", b"fresh"] {
                seqs.push(w.ask(&mut caller, "check", body).await);
                reqs.push(w.expect(&mut agent, "launch").await);
            }
            agent.asks_call(1, &reqs[1], b"c").await;
            let mut http = Http::accept(&w.below).await;
            http.request().await.unwrap();
            agent.hang_up();
            // The call comes back while there is no link, and a ticket arrives.
            let mut agent = Agent::accept(&w.agents).await;
            http.reply("200 OK", b"row").await;
            seqs.push(w.ask(&mut caller, "check", b"meanwhile").await);
            while w.context.counts.launched.get() < 4 || w.context.counts.delivered.get() < 1 {
                tokio::task::yield_now().await;
            }
            assert_eq!(agent.greet().await, 1);
            agent.outcome(2, &reqs[0], "fine", b"r0").await;
            assert_eq!(caller.next().await, said(seqs[0], "honoured", "r0"));
            assert_eq!(w.expect(&mut agent, "deliver").await, reqs[1]);
            assert_eq!(w.expect(&mut agent, "launch").await, reqs[2]);
            let req = w.expect(&mut agent, "launch").await;
            for (n, req) in [&reqs[1], &reqs[2], &req].into_iter().enumerate() {
                agent.outcome(3 + n as u64, req, "fine", b"r").await;
                assert_eq!(caller.next().await, said(seqs[n + 1], "honoured", "r"));
            }
        },
    );
}

#[test]
fn agent_that_was_up_and_does_not_greet_is_reconnected() {
    play(
        |_| {},
        |w| async move {
            let (agent, _) = w.up().await;
            agent.hang_up();
            let _silent = Agent::accept(&w.agents).await;
            let mut agent = Agent::accept(&w.agents).await;
            assert_eq!(agent.greet().await, 0);
            let mut caller = Caller::connect(w.addr).await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
        },
    );
}

#[test]
fn request_cancelled_while_the_link_is_down_is_removed() {
    play(
        |_| {},
        |w| async move {
            let (agent, mut caller) = w.up().await;
            agent.hang_up();
            let mut agent = Agent::accept(&w.agents).await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            caller.give_up(seq).await;
            while w.context.counts.frozen.get() == 0 {
                tokio::task::yield_now().await;
            }
            agent.greet().await;
            let req = w.expect(&mut agent, "launch").await;
            assert_eq!(w.expect(&mut agent, "freeze").await, req);
            agent.outcome(1, &req, "late", b"").await;
            while w
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
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            let order =
                |order: fn(&mut RequestTable)| order(&mut w.context.core.borrow_mut().table);
            order(|table| table.cancel_run(0));
            assert_eq!(w.expect(&mut agent, "freeze").await, req);
            order(|table| table.run(0));
            assert_eq!(w.expect(&mut agent, "thaw").await, req);
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
        },
    );
}

#[test]
fn ticks_use_gauges_sampled_just_before() {
    play(
        |_| {},
        |w| async move {
            let (_agent, _caller) = w.up().await;
            // Asked for after a wake-up instead, they would be a whole beat old at each of the next.
            while w.context.counts.beats.get() <= w.context.counts.stale_gauges.get() {
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
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            for bytes in cases {
                agent.raw(bytes).await;
                agent.hang_up();
                agent = Agent::accept(&w.agents).await;
                assert_eq!(agent.greet().await, 0);
                assert_eq!(w.expect(&mut agent, "launch").await, req);
            }
            agent
                .tell(json!({"cmd": "aside", "offset": 1, "result": "no meaning"}))
                .await;
            // A call whose body cannot be read is not made with another one, but asked for again.
            agent
                .tell(json!({"cmd": "request", "offset": 2, "req": req, "payload": "?"}))
                .await;
            let mut agent = Agent::accept(&w.agents).await;
            assert_eq!(agent.greet().await, 1);
            assert_eq!(
                (
                    w.expect(&mut agent, "launch").await,
                    w.context.counts.calls.get()
                ),
                (req.clone(), 0)
            );
            agent.tell(json!({"cmd": "something new"})).await;
            agent.outcome(2, &json!("of nobody"), "fine", b"").await;
            agent.outcome(3, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
        },
    );
}

#[test]
fn notice_unreadable_again_is_skipped_and_the_link_stays() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let lost = w.ask(&mut caller, "register", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            let odd = json!({"cmd": "request", "offset": 1, "req": req, "payload": "?"});
            agent.tell(odd.clone()).await;
            let mut agent = Agent::accept(&w.agents).await;
            assert_eq!(agent.greet().await, 0);
            agent.tell(odd).await;
            assert_eq!(caller.next().await, said(lost, "given up", ""));
            while w.expect_any(&mut agent).await != ("freeze".into(), req.clone()) {}
            agent.outcome(2, &req, "broken_off", b"").await;
            agent.raw(b"odd\n").await;
            let mut agent = Agent::accept(&w.agents).await;
            assert_eq!(agent.greet().await, 2);
            agent.raw(b"odd\n").await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.outcome(3, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
            assert_eq!(
                (
                    w.context.counts.agent_odd.get(),
                    w.context.counts.agent_links.get()
                ),
                (1, 3)
            );
        },
    );
}

#[test]
fn invalid_input_gets_an_exception_or_ends_its_connection_after_pending_answers() {
    let trace = "00000000000000ff";
    let born = born();
    let good = [
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
    let long = "e".repeat(257);
    // A field changed or, with an empty value, left out.
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
        ("customer", "nobody"),
        ("customer", ""),
        ("client", "-1"),
        ("client", "4e9"),
        ("client", ""),
        ("order", "1"),
        ("order", "-0.1"),
        ("order", "NaN"),
        ("order", ""),
        ("entity", long.as_str()),
        ("nonce", long.as_str()),
        ("patience", "-1"),
        ("patience", "soon"),
        ("patience", "99999999"),
        ("redo", "yes"),
    ];
    // Bytes that end the connection.
    let endings: [&[u8]; 6] = [
        &[0xff; 8],
        &[0, 0, 0, 4, 1, 2, 3, 4],
        &[0, 0, 0, 0],
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\x0c\x80\x01\0\x02\0\0\0\0\0\0\0\x01",
        b"\0\0\0\x14\x80\x01\0\x01\0\0\0\x07process\0\0\0\x63\x0d",
    ];
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            for (name, value) in changes {
                let fields = good
                    .iter()
                    .map(|f| if f.0 == name { (name, value) } else { *f });
                let fields: Vec<_> = fields.filter(|f| !f.1.is_empty()).collect();
                let seq = caller.ask(&fields, b"b").await;
                let Some(Said(to, "exception", why)) = caller.next().await else {
                    panic!("{name}={value}")
                };
                assert!(to == seq && why.starts_with(name), "{name}={value}: {why}");
            }
            // None of them reached the decision module or the agent.
            assert_eq!(
                (
                    w.context.counts.tickets.get(),
                    w.context.counts.launched.get()
                ),
                (0, 0)
            );
            let seq = caller.ask(&good, &[0; 2049]).await;
            assert_eq!(
                caller.next().await,
                said(seq, "exception", "body: missing or too long")
            );
            caller
                .send(b"\0\0\0\x12\x80\x01\0\x01\0\0\0\x05hello\0\0\0\x07\0")
                .await;
            assert_eq!(caller.next().await, said(7, "exception", "no such method"));
            let mut offset = 0;
            for ending in endings {
                let mut other = Caller::connect(w.addr).await;
                let seq = w.ask(&mut other, "check", b"b").await;
                let req = w.expect(&mut agent, "launch").await;
                other.send(ending).await;
                offset += 1;
                agent.outcome(offset, &req, "fine", b"r").await;
                let mut all = Vec::new();
                while let Some(said) = other.next().await {
                    all.push(said);
                }
                all.retain(|said| said.1 != "exception");
                assert_eq!(all, [Said(seq, "honoured", "r".into())], "{ending:?}");
            }
            let probe = caller.probe().await;
            assert_eq!(caller.next().await, said(probe, "probe", "good"));
        },
    );
}

#[test]
fn silent_or_half_frame_connection_is_closed_unless_an_answer_is_pending() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            let mut half_way = Caller::connect(w.addr).await;
            let open = w.ask(&mut half_way, "register", b"b").await;
            let ticket = half_way.ticket(&[], b"b");
            half_way.send(&ticket[..9]).await;
            // The last one only takes back what was never asked for.
            let takes_back =
                b"\0\0\0\x1a\x80\x01\0\x04\0\0\0\x06giveUp\0\0\0\0\x08\0\x01\0\0\0\x05\0";
            let mut all = Vec::new();
            for bytes in [&b""[..], b"\0\0", b"\0\0\0\x12\x80\x01", takes_back] {
                let mut bad = Caller::connect(w.addr).await;
                bad.send(bytes).await;
                all.push((bytes, bad));
            }
            for (bytes, mut bad) in all {
                assert_eq!(bad.next().await, None, "{bytes:?}");
            }
            // As does who sends the same nonsense again and again.
            let mut again = Caller::connect(w.addr).await;
            let mut told = 0;
            loop {
                again.ask(&[("route", "check")], b"b").await;
                match again.next().await {
                    Some(Said(_, "exception", _)) => told += 1,
                    other => {
                        assert_eq!((other, told), (None, 64));
                        break;
                    }
                }
            }
            // What is still open on it is given up; a run that nobody waits for any more is taken off.
            assert_eq!(half_way.next().await, said(open, "given up", ""));
            assert_eq!(half_way.next().await, None);
            let cut = w.expect(&mut agent, "launch").await;
            assert_eq!(w.expect(&mut agent, "freeze").await, cut);
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
        },
    );
}

#[test]
fn finished_requests_and_connections_leave_no_state_behind() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, _caller) = w.up().await;
            for round in 0..200u64 {
                let mut caller = Caller::connect(w.addr).await;
                let entity = format!("entity {round}");
                let seq = w.ask_about(&mut caller, "check", &entity, b"b").await;
                let req = w.expect(&mut agent, "launch").await;
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
                    assert_eq!(w.expect(&mut agent, "freeze").await, req);
                }
                let end = ["broken_off", "broken_off", "fine", "late"][round as usize % 4];
                agent.outcome(round + 1, &req, end, b"r").await;
            }
            let table = || std::cell::Ref::map(w.context.core.borrow(), |core| &core.table);
            while table().requests.iter().flatten().count() > 0
                || w.context.connections.borrow().len() > 1
            {
                tokio::task::yield_now().await;
            }
            let table = table();
            assert!(
                table.by_trace.is_empty() && table.by_key.is_empty() && table.run_ends.is_empty()
            );
            assert!(table.requests.len() < 50, "{}", table.requests.len());
            assert_eq!((table.body_bytes, table.downstream.out.get()), (0, 0));
            assert_eq!(w.context.ends.borrow().values().sum::<u64>(), 200);
        },
    );
}

#[test]
fn run_whose_end_is_never_reported_is_removed_as_an_orphan() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            w.expect(&mut agent, "launch").await;
            let waits = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            caller.give_up(seq).await;
            w.expect(&mut agent, "freeze").await;
            let (now, later) = (std::time::Instant::now(), Duration::from_secs(61));
            let left = || {
                w.context
                    .core
                    .borrow()
                    .table
                    .requests
                    .iter()
                    .flatten()
                    .count()
            };
            completion::end_orphans(&w.context, now);
            assert_eq!(left(), 2);
            // The one that is still waited for stays, however long it takes.
            completion::end_orphans(&w.context, now + later);
            completion::end_orphans(&w.context, now + later * 3);
            assert_eq!((left(), w.context.counts.orphans.get()), (1, 1));
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(waits, "honoured", "r"));
        },
    );
}

#[test]
fn silent_connections_evict_no_used_connection() {
    play(
        |config| config["limits"]["sockets"] = json!(16),
        |w| async move {
            let (_agent, mut used) = w.up().await;
            used.probe().await;
            assert_eq!(used.next().await, said(1, "probe", "good"));
            let mut crowd = Vec::new();
            for _ in 0..40 {
                crowd.push(Caller::connect(w.addr).await);
            }
            while w.context.counts.accepted.get() < 41 || w.context.connections.borrow().len() > 8 {
                tokio::task::yield_now().await;
            }
            let probe = used.probe().await;
            assert_eq!(used.next().await, said(probe, "probe", "good"));
        },
    );
}

#[test]
fn request_bodies_stay_within_their_memory_fraction() {
    play(
        |config| config["limits"]["memory_mb"] = json!(0.01),
        |w| async move {
            let (_agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "check", &[0; 2048]).await;
            assert_eq!(caller.next().await, said(seq, "dismissed", "pause 1000"));
        },
    );
}

#[test]
fn refused_launch_is_answered_and_charged_to_no_tenant() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            for _ in 0..20 {
                let seq = w.ask(&mut caller, "check", b"made up").await;
                let req = w.expect(&mut agent, "launch").await;
                agent
                    .tell(json!({"cmd": "refusal", "result": "launch", "req": req}))
                    .await;
                assert_eq!(caller.next().await, said(seq, "given up", ""));
            }
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
            assert_eq!(w.context.counts.unsettled.get(), 0);
        },
    );
}

#[test]
fn duplicate_sequence_number_ends_the_connection_and_33rd_open_request_gets_an_exception() {
    play(
        |_| {},
        |w| async move {
            let (_agent, mut caller) = w.up().await;
            for _ in 0..32 {
                w.ask(&mut caller, "check", b"b").await;
            }
            let seq = w.ask(&mut caller, "check", b"b").await;
            assert_eq!(
                caller.next().await,
                said(seq, "exception", "too many open tickets on this connection")
            );
            for seq in 1..=32 {
                caller.give_up(seq).await;
            }
            let probe = caller.probe().await;
            assert_eq!(caller.next().await, said(probe, "probe", "good"));
            assert_eq!(w.context.counts.left.get(), 32);
        },
    );
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let again = caller.ticket(&[], b"");
            let mut twice = Caller::connect(w.addr).await;
            let seq = w.ask(&mut twice, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            twice.send(&again).await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(twice.next().await, said(seq, "honoured", "r"));
            assert_eq!(twice.next().await, None);
        },
    );
}

#[test]
fn cancelled_request_gets_no_answer_and_frees_the_core() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            caller.give_up(seq).await;
            assert_eq!(w.expect(&mut agent, "freeze").await, req);
            agent.outcome(1, &req, "broken_off", b"").await;
            caller.give_up(seq).await;
            caller.give_up(99).await;
            let probe = caller.probe().await;
            assert_eq!(caller.next().await, said(probe, "probe", "good"));
            assert_eq!(
                (w.context.counts.left.get(), w.context.counts.given_up.get()),
                (1, 0)
            );
            assert_eq!(w.context.core.borrow().table.pending_reply_count(), 0);
        },
    );
}

#[test]
fn reset_connection_cancels_only_its_own_requests() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let mut broken = Caller::connect(w.addr).await;
            w.ask(&mut broken, "check", b"b").await;
            let gone = w.expect(&mut agent, "launch").await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let stays = w.expect(&mut agent, "launch").await;
            socket2::SockRef::from(&broken.stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
            drop(broken);
            assert_eq!(w.expect(&mut agent, "freeze").await, gone);
            agent.outcome(1, &gone, "broken_off", b"").await;
            agent.outcome(2, &stays, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
        },
    );
}

#[test]
fn answers_are_sent_after_the_callers_eof_and_bytes_may_come_one_by_one() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let (born, trace) = (born(), "00000000000000aa");
            let mut fields = vec![
                ("route", "check"),
                ("trace", trace),
                ("born", &born),
                ("size", "1"),
            ];
            fields.extend([("customer", "acme"), ("client", "1"), ("order", "0")]);
            for byte in caller.ticket(&fields, b"slow") {
                caller.send(&[byte]).await;
                tokio::task::yield_now().await;
            }
            let req = w.expect(&mut agent, "launch").await;
            caller.stream.shutdown().await.unwrap();
            while w
                .context
                .connections
                .borrow()
                .values()
                .any(|conn| conn.open_requests.borrow().is_empty())
            {
                tokio::task::yield_now().await;
            }
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(1, "honoured", "r"));
            assert_eq!(caller.next().await, None);
        },
    );
}

#[test]
fn close_crossed_by_a_request_is_postponed() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "register", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            let conn = w
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
                assert_eq!(caller.next().await, said(probe, "probe", "good"), "{code}");
            }
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
            conn.close_with("idle");
            assert_eq!(caller.next().await, None);
        },
    );
}

#[test]
fn caller_that_never_reads_affects_no_other() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let mut deaf = Caller::connect(w.addr).await;
            socket2::SockRef::from(&deaf.stream)
                .set_recv_buffer_size(4096)
                .unwrap();
            let probes: Vec<u8> =
                b"\0\0\0\x12\x80\x01\0\x01\0\0\0\x05probe\0\0\0\x07\0".repeat(4_000);
            // Whatever the sockets do not take stays with the deaf one; what it wrote is bounded here.
            let _ = tokio::time::timeout(Duration::from_millis(300), deaf.send(&probes.repeat(50)))
                .await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
            let unread = w
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
    play(
        |config| config["limits"]["memory_mb"] = json!(0.5),
        |w| async move {
            let (mut agent, _) = w.up().await;
            let mut deaf = Caller::connect(w.addr).await;
            socket2::SockRef::from(&deaf.stream)
                .set_recv_buffer_size(4096)
                .unwrap();
            let probes: Vec<u8> =
                b"\0\0\0\x12\x80\x01\0\x01\0\0\0\x05probe\0\0\0\x07\0".repeat(4_000);
            let flood = spawn_local(async move {
                deaf.send(&probes.repeat(100)).await;
                deaf
            });
            while !w.context.ends.borrow().contains_key("unread") {
                tokio::task::yield_now().await;
            }
            let mut caller = Caller::connect(w.addr).await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
            flood.abort();
        },
    );
}

#[test]
fn connections_past_the_capacity_evict_unused_ones() {
    play(
        |config| config["limits"]["sockets"] = json!(16),
        |w| async move {
            let (mut agent, mut used) = w.up().await;
            let seq = w.ask(&mut used, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            let mut others = Vec::new();
            for _ in 0..20 {
                let mut other = Caller::connect(w.addr).await;
                other.probe().await;
                assert!(other.next().await.is_some());
                others.push(other);
                while w.context.connections.borrow().len() > 8 {
                    tokio::task::yield_now().await;
                }
            }
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(used.next().await, said(seq, "honoured", "r"));
        },
    );
}

#[test]
fn read_of_the_same_entity_shares_the_open_or_cached_result() {
    let ticketed = |config: &mut Value| {
        config["settings"]["requestClasses"][0]["effect"] = json!("guarded");
    };
    play(ticketed, |w| async move {
        let (mut agent, mut caller) = w.up().await;
        let first = w.ask_about(&mut caller, "check", "e1", b"b").await;
        let req = w.expect(&mut agent, "launch").await;
        let second = w.ask_about(&mut caller, "check", "e1", b"b").await;
        let other = w.ask_about(&mut caller, "check", "e2", b"b").await;
        let failed = w.expect(&mut agent, "launch").await;
        agent.outcome(1, &req, "fine", b"r").await;
        assert_eq!(caller.next().await, said(first, "honoured", "r"));
        assert_eq!(caller.next().await, said(second, "honoured", "r"));
        let third = w.ask_about(&mut caller, "check", "e1", b"b").await;
        assert_eq!(caller.next().await, said(third, "honoured", "r"));
        let fourth = w.ask_about(&mut caller, "check", "e2", b"b").await;
        let probe = caller.probe().await;
        assert_eq!(caller.next().await, said(probe, "probe", "good"));
        agent.outcome(2, &failed, "fault", b"").await;
        assert_eq!(caller.next().await, said(other, "given up", ""));
        assert_eq!(caller.next().await, said(fourth, "given up", ""));
        assert_eq!(
            (
                w.context.counts.launched.get(),
                w.context.counts.repeats.get()
            ),
            (2, 3)
        );

        // One that waits and leaves: the result is not given to who came into its place.
        let first = w.ask_about(&mut caller, "check", "e3", b"b").await;
        let req = w.expect(&mut agent, "launch").await;
        let leaves = w.ask_about(&mut caller, "check", "e3", b"b").await;
        caller.give_up(leaves).await;
        let next = w.ask_about(&mut caller, "check", "e4", b"b").await;
        let other = w.expect(&mut agent, "launch").await;
        agent.outcome(3, &req, "fine", b"r3").await;
        assert_eq!(caller.next().await, said(first, "honoured", "r3"));
        agent.outcome(4, &other, "fine", b"r4").await;
        assert_eq!(caller.next().await, said(next, "honoured", "r4"));
    });
}

/// The tries of a ticketed ticket carry the same nonce. Whatever became of the run, none of them runs again, unless nothing
/// ran; and a name serves no other tenant and no other body.
#[test]
fn tries_with_one_nonce_run_once_whatever_the_first_outcome() {
    let ticketed = |config: &mut Value| {
        config["settings"]["requestClasses"][0]["effect"] = json!("guarded");
    };
    play(ticketed, |w| async move {
        let (mut agent, mut caller) = w.up().await;
        let w = &w;
        let ask = |nonce: &'static str, customer: &'static str, body: &'static [u8]| {
            let own = [("route", "check"), ("nonce", nonce), ("customer", customer)];
            async move |caller: &mut Caller| w.ask_with(caller, &own, body).await
        };
        // A second try while the first one runs, and a third one later.
        let first = ask("n1", "acme", b"b")(&mut caller).await;
        let req = w.expect(&mut agent, "launch").await;
        let second = ask("n1", "acme", b"b")(&mut caller).await;
        let probe = caller.probe().await;
        assert_eq!(caller.next().await, said(probe, "probe", "good"));
        agent.outcome(1, &req, "fine", b"r1").await;
        assert_eq!(caller.next().await, said(first, "honoured", "r1"));
        assert_eq!(caller.next().await, said(second, "honoured", "r1"));
        let third = ask("n1", "acme", b"b")(&mut caller).await;
        assert_eq!(caller.next().await, said(third, "honoured", "r1"));
        // The same name with another body is refused; from another tenant it is another ticket.
        let other = ask("n1", "acme", b"other")(&mut caller).await;
        assert_eq!(
            caller.next().await,
            said(
                other,
                "exception",
                "nonce: that of a ticket with another body"
            )
        );
        let globex = ask("n1", "globex", b"b")(&mut caller).await;
        let req = w.expect(&mut agent, "launch").await;
        agent.outcome(2, &req, "fine", b"r2").await;
        assert_eq!(caller.next().await, said(globex, "honoured", "r2"));
        // One that failed, and one that was stopped as its caller left: both may have had their effect.
        let failed = ask("n2", "acme", b"b")(&mut caller).await;
        let req = w.expect(&mut agent, "launch").await;
        agent.outcome(3, &req, "fault", b"").await;
        assert_eq!(caller.next().await, said(failed, "given up", ""));
        let again = ask("n2", "acme", b"b")(&mut caller).await;
        assert_eq!(caller.next().await, said(again, "given up", ""));
        let left = ask("n3", "acme", b"b")(&mut caller).await;
        let req = w.expect(&mut agent, "launch").await;
        caller.give_up(left).await;
        assert_eq!(w.expect(&mut agent, "freeze").await, req);
        agent.outcome(4, &req, "broken_off", b"").await;
        let again = ask("n3", "acme", b"b")(&mut caller).await;
        assert_eq!(caller.next().await, said(again, "given up", ""));
        assert_eq!(w.context.counts.launched.get(), 4);
        // One of which the agent proves that nothing ran.
        let unrun = ask("n4", "acme", b"b")(&mut caller).await;
        let req = w.expect(&mut agent, "launch").await;
        agent.outcome(5, &req, "late", b"").await;
        assert_eq!(caller.next().await, said(unrun, "given up", ""));
        let again = ask("n4", "acme", b"b")(&mut caller).await;
        let req = w.expect(&mut agent, "launch").await;
        agent.outcome(6, &req, "fine", b"r4").await;
        assert_eq!(caller.next().await, said(again, "honoured", "r4"));
        assert_eq!(w.context.core.borrow().table.result_cache.len(), 5);
    });
}

/// Where a ticket tells how long its caller waits, that is when its answer is due, before its type's outer limit.
#[test]
fn request_is_answered_before_its_caller_stops_waiting() {
    play(
        |config| {
            for kind in config["settings"]["requestClasses"].as_array_mut().unwrap() {
                (kind["aimS"], kind["deadlineS"]) = (json!(300.0), json!(600.0));
            }
        },
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let own = [("route", "register"), ("patience", "600")];
            let started = std::time::Instant::now();
            let seq = w.ask_with(&mut caller, &own, b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            assert_eq!(caller.next().await, said(seq, "given up", ""));
            assert!(
                started.elapsed() < Duration::from_secs(60),
                "by the caller's patience, not by the outer limit"
            );
            assert_eq!(w.expect(&mut agent, "freeze").await, req);
            // By the module, not by what the program does for tickets that were lost there.
            assert_eq!(w.context.counts.unsettled.get(), 0);
            // One that does not tell waits for as long as its type.
            let own = [("route", "register"), ("patience", "0")];
            let seq = w.ask_with(&mut caller, &own, b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
        },
    );
}

/// Without room to remember that it ran, a ticketed ticket does not run.
#[test]
fn idempotent_request_runs_only_if_its_key_fits_the_cache() {
    let ticketed = |config: &mut Value| {
        config["settings"]["requestClasses"][0]["effect"] = json!("guarded");
        config["limits"]["memory_mb"] = json!(0.002);
    };
    play(ticketed, |w| async move {
        let (mut agent, mut caller) = w.up().await;
        let own = [("route", "check"), ("nonce", "n1")];
        let first = w.ask_with(&mut caller, &own, b"b").await;
        let req = w.expect(&mut agent, "launch").await;
        let own = [("route", "check"), ("nonce", "n2")];
        let second = w.ask_with(&mut caller, &own, b"b").await;
        assert_eq!(caller.next().await, said(second, "dismissed", "pause 1000"));
        agent.outcome(1, &req, "fine", b"r").await;
        assert_eq!(caller.next().await, said(first, "honoured", "r"));
    });
}

#[test]
fn before_the_agent_is_up_probes_are_answered_and_requests_rejected() {
    play(
        |_| {},
        |w| async move {
            let mut caller = Caller::connect(w.addr).await;
            let probe = caller.probe().await;
            assert_eq!(caller.next().await, said(probe, "probe", "good"));
            let seq = w.ask(&mut caller, "check", b"b").await;
            assert_eq!(caller.next().await, said(seq, "dismissed", "pause 1000"));
        },
    );
}

#[test]
fn drain_answers_every_request_that_was_read() {
    play(
        |config| config["stop_ms"] = json!(600_000),
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let mut idle = Caller::connect(w.addr).await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            idle.probe().await;
            assert!(idle.next().await.is_some());
            w.leave.notify_one();
            assert_eq!(idle.next().await, said(0, "shutdown", ""));
            drop(idle);
            assert_eq!(caller.next().await, said(0, "shutdown", ""));
            // What crosses the notice is still served.
            let late = w.ask(&mut caller, "check", b"late").await;
            let late_req = w.expect(&mut agent, "launch").await;
            agent.outcome(1, &late_req, "fine", b"r2").await;
            assert_eq!(caller.next().await, said(late, "honoured", "r2"));
            agent.outcome(2, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
            drop(caller);
            w.node.await.unwrap();
            assert_eq!(
                (
                    w.context.counts.unsettled.get(),
                    w.context.core.borrow().table.pending_reply_count()
                ),
                (0, 0)
            );
        },
    );
}

#[test]
fn connections_are_refused_after_the_drain_grace() {
    play(
        |config| config["settings"]["obligations"]["drainGraceS"] = json!(0),
        |w| async move {
            let (_agent, mut caller) = w.up().await;
            w.leave.notify_one();
            assert_eq!(caller.next().await, said(0, "shutdown", ""));
            while TcpStream::connect(w.addr).await.is_ok() {
                tokio::task::yield_now().await;
            }
            drop(caller);
            w.node.await.unwrap();
        },
    );
}

#[test]
fn unfinished_runs_are_failed_before_the_kill() {
    play(
        |config| config["stop_ms"] = json!(1_000),
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "register", b"b").await;
            w.expect(&mut agent, "launch").await;
            w.leave.notify_one();
            assert_eq!(caller.next().await, said(0, "shutdown", ""));
            assert_eq!(caller.next().await, said(seq, "given up", ""));
            w.node.await.unwrap();
        },
    );
}

#[test]
fn reports_continue_while_the_announce_service_fails_and_end_with_not_accepting_where_the_list_follows_it(
) {
    play(
        |config| config["settings"]["familyInfo"]["readiness"] = json!(true),
        |w| async move {
            for reply in ["500 Down", "204 No Content", "nonsense", "204 No Content"] {
                let mut http = Http::accept(&w.announce).await;
                let (head, body) = http.request().await.unwrap();
                assert!(head.starts_with("PUT /announce/n1 HTTP/1.1\r\n"));
                assert_eq!(body, b"{\"accepting\":\"true\"}");
                http.reply(reply, b"").await;
                if reply.starts_with("204") {
                    // On a connection that stands, the next report comes on the same.
                    assert!(http.request().await.is_some());
                }
            }
            w.leave.notify_one();
            let mut http = Http::accept(&w.announce).await;
            assert_eq!(
                http.request().await.unwrap().1,
                b"{\"accepting\":\"false\"}"
            );
            http.reply("204 No Content", b"").await;
            w.node.await.unwrap();
        },
    );
}

#[test]
fn unanswered_report_is_counted_and_the_next_one_follows() {
    play(
        |_| {},
        |w| async move {
            let mut silent = Http::accept(&w.announce).await;
            silent.request().await.unwrap();
            let mut http = Http::accept(&w.announce).await;
            http.request().await.unwrap();
            http.reply("204 No Content", b"").await;
            assert!(http.request().await.is_some());
            let counts = &w.context.counts;
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
fn new_addresses_are_applied_with_requests_in_hand() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let mut report = Http::accept(&w.announce).await;
            report.request().await.unwrap();
            report.reply("204 No Content", b"").await;
            let first = w.ask(&mut caller, "register", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.asks_call(1, &req, b"c").await;
            let mut old = Http::accept(&w.below).await;
            old.request().await.unwrap();
            let listen = || async { TcpListener::bind("127.0.0.1:0").await.unwrap() };
            let (agents, below, announce) = (listen().await, listen().await, listen().await);
            let addr = |of: &TcpListener| of.local_addr().unwrap();
            let (db, announced) = (Some(addr(&below)), Some(addr(&announce)));
            reload::apply_peers(
                &w.context,
                Peers {
                    agent: addr(&agents),
                    below: db,
                    announce: announced,
                },
            );
            // The replay goes on where the old link ended; the call that is out ends where it was made.
            let mut agent = Agent::accept(&agents).await;
            assert_eq!(agent.greet().await, 1);
            old.reply("200 OK", b"row").await;
            assert_eq!(w.expect(&mut agent, "deliver").await, req);
            agent.outcome(2, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(first, "honoured", "r"));
            assert!(
                old.request().await.is_none(),
                "an idle connection to the old address stays open"
            );
            w.ask(&mut caller, "register", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.asks_call(3, &req, b"c").await;
            assert!(Http::accept(&below).await.request().await.is_some());
            assert!(Http::accept(&announce).await.request().await.is_some());
        },
    );
}

#[test]
fn new_addresses_are_applied_while_draining() {
    play(
        |config| config["stop_ms"] = json!(600_000),
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let seq = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            w.leave.notify_one();
            assert_eq!(caller.next().await, said(0, "shutdown", ""));
            let agents = TcpListener::bind("127.0.0.1:0").await.unwrap();
            reload::apply_peers(
                &w.context,
                Peers {
                    agent: agents.local_addr().unwrap(),
                    ..w.context.peer_addresses.get()
                },
            );
            let mut agent = Agent::accept(&agents).await;
            assert_eq!(agent.greet().await, 0);
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(seq, "honoured", "r"));
            drop(caller);
            w.node.await.unwrap();
            assert_eq!(w.context.counts.unsettled.get(), 0);
        },
    );
}

#[test]
fn new_settings_are_applied_with_requests_in_hand_and_rolled_back_the_same_way() {
    play(
        |_| {},
        |w| async move {
            let (mut agent, mut caller) = w.up().await;
            let first = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            // The layout of lakes-preview: one store below for all, runs that cannot be taken off.
            let mut moved = w.context.config.clone();
            let family = moved
                .settings
                .get_mut("familyInfo")
                .and_then(Value::as_object_mut)
                .unwrap();
            family.extend(
                [
                    ("halt", json!("off")),
                    ("below", json!("shared")),
                    ("callShare", json!(2.0)),
                ]
                .map(|(key, value)| (key.to_owned(), value)),
            );
            moved.settings["permissions"]["maxRetryAfterS"] = json!(3.0);
            reload::apply_settings(&w.context, moved).unwrap();
            assert!(!w.context.core.borrow().table.can_pause);
            assert_eq!(w.context.max_retry_after.get(), Duration::from_secs(3));
            // What was read before goes on where it was, and is answered once.
            agent.outcome(1, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(first, "honoured", "r"));
            reload::apply_settings(&w.context, w.context.config.clone()).unwrap();
            assert!(w.context.core.borrow().table.can_pause);
            assert_eq!(w.context.max_retry_after.get(), Duration::from_secs(1));
            let second = w.ask(&mut caller, "check", b"b").await;
            let req = w.expect(&mut agent, "launch").await;
            agent.outcome(2, &req, "fine", b"r").await;
            assert_eq!(caller.next().await, said(second, "honoured", "r"));
            // The books are laid out by the traffic types: those change only at a start.
            let mut other = w.context.config.clone();
            other.settings["requestClasses"][0]["name"] = json!("renamed");
            assert!(reload::apply_settings(&w.context, other).is_err());
            let mut odd = w.context.config.clone();
            odd.settings["familyInfo"]["halt"] = json!("sometimes");
            assert!(reload::apply_settings(&w.context, odd)
                .unwrap_err()
                .to_string()
                .contains("halt"));
            assert!(
                w.context.core.borrow().table.can_pause,
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
    let all = async {
        let (first, second) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let path =
            std::env::temp_dir().join(format!("rainstand-reload-{}.json", std::process::id()));
        let file = |agent: &TcpListener| {
            let mut config = example();
            (config["listen"], config["db"], config["announce"]) =
                (json!("127.0.0.1:0"), Value::Null, Value::Null);
            config["agent"] = json!(agent.local_addr().unwrap().to_string());
            std::fs::write(&path, config.to_string()).unwrap();
        };
        file(&first);
        let mut node = tokio::process::Command::new(env!("CARGO_BIN_EXE_rainstand-node"))
            .env("ROUTER_CONFIG", &path)
            .stderr(std::process::Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let pid = node.id().unwrap().to_string();
        let hang_up = || {
            std::process::Command::new("kill")
                .args(["-HUP", &pid])
                .status()
                .unwrap()
        };
        let mut log = tokio::io::BufReader::new(node.stderr.take().unwrap()).lines();
        let mut agent = Agent::accept(&first).await;
        assert_eq!(agent.greet().await, 0);
        std::fs::write(&path, "{\n\n").unwrap();
        hang_up();
        while !log
            .next_line()
            .await
            .unwrap()
            .expect("a node that lives")
            .starts_with("reload refused")
        {}
        file(&second);
        hang_up();
        assert_eq!(Agent::accept(&second).await.greet().await, 0);
        node.kill().await.unwrap();
        std::fs::remove_file(&path).unwrap();
    };
    let done = LocalSet::new().block_on(&runtime, async { tokio::time::timeout(HANGS, all).await });
    done.expect("a test that ends");
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
        let why = Config::read(config.to_string().as_bytes())
            .err()
            .unwrap()
            .to_string();
        assert!(why.starts_with(expected) && !why.contains('\n'), "{why}");
    }
    let ended = std::process::Command::new(env!("CARGO_BIN_EXE_rainstand-node"))
        .env("ROUTER_CONFIG", "/nowhere/config.json")
        .output()
        .unwrap();
    let said = String::from_utf8(ended.stderr).unwrap();
    assert!(
        !ended.status.success()
            && said.starts_with("rainstand-node: /nowhere")
            && said.lines().count() == 1
    );
}

#[test]
fn unknown_keys_are_logged_and_help_is_printed() {
    let mut config = example();
    config["sede"] = json!("8c1f");
    config["two\nlines"] = json!(1);
    let read = Config::read(config.to_string().as_bytes()).unwrap();
    assert_eq!(read.unknown, ["sede", "two\\nlines"]);
    assert!(Config::read(example().to_string().as_bytes())
        .unwrap()
        .unknown
        .is_empty());
    for (argument, wanted) in [
        ("--help", "ROUTER_CONFIG"),
        ("--version", env!("CARGO_PKG_VERSION")),
    ] {
        let told = std::process::Command::new(env!("CARGO_BIN_EXE_rainstand-node"))
            .arg(argument)
            .output();
        let told = told.unwrap();
        let said = String::from_utf8(told.stdout).unwrap();
        assert!(told.status.success() && said.contains(wanted), "{said}");
    }
}

#[test]
fn arbitrary_bytes_make_no_parser_panic_or_read_past_the_end() {
    let mut chance = WyRand::new_seed(7);
    let good: [&[u8]; 3] = [
        b"\x80\x01\0\x01\0\0\0\x07process\0\0\0\x01\x0d\0\x01\x0b\x0b\0\0\0\x01\0\0\0\x01k\0\0\0\x01v\x0b\0\x02\0\0\0\x01b\0",
        b"\x80\x01\0\x04\0\0\0\x06giveUp\0\0\0\x01\x08\0\x01\0\0\0\x05\x0f\0\x07\x0c\0\0\0\x02\0\0\0",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nrow",
    ];
    let read = |bytes: &[u8]| {
        let whole = thrift::message(bytes).and_then(|message| {
            thrift::probe_args(message.args)?;
            thrift::give_up_args(message.args)?;
            thrift::process_args(message.args)
        });
        let reply = http::reply(bytes);
        if let Ok(Some(reply)) = &reply {
            assert!(reply.body.start <= reply.body.end && reply.body.end <= bytes.len());
        }
        let _ = thrift::frame(bytes);
        whole.is_ok() || matches!(reply, Ok(Some(_)))
    };
    for whole in good {
        assert!(read(whole));
        for cut in 0..whole.len() {
            assert!(!read(&whole[..cut]), "{cut}");
        }
        for _ in 0..20_000 {
            let mut bytes = whole.to_vec();
            for _ in 0..chance.generate_range(1..4u32) {
                let at = chance.generate_range(0..bytes.len());
                bytes[at] = chance.generate();
            }
            read(&bytes);
        }
    }
    // Structs in structs without end are refused, not followed.
    let deep = [
        b"\x80\x01\0\x01\0\0\0\x01x\0\0\0\x01".to_vec(),
        b"\x0c\0\x01".repeat(4_000),
    ]
    .concat();
    assert!(!read(&deep));
}
