//! A forwarder between a caller and scripted nodes: one answer each, no exclusive ticket run twice, the drain
//! kept, second and late answers dropped.

use rainstand_config::schema::Configuration;
use rainstand_config::{load, source::Memory};
use rainstand_forwarder::{run, Hub};
use rainstand_protocol::thrift::{self, What};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// Only what hangs is caught by this; nothing is timed.
const HANGS: Duration = Duration::from_secs(60);

/// What a scripted node does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Does {
    Honours,
    HonoursTwice,
    Fails,
    Dismisses,
    /// Runs it, then closes without a word.
    RunsAndResets,
    /// Runs it and never answers.
    Silent,
    /// Honours it once told to.
    Waits,
}

/// A node: what ran on it by body, what was given up, and what wakes those that wait.
#[derive(Clone)]
struct Node {
    addr: SocketAddr,
    does: Rc<RefCell<Does>>,
    runs: Rc<RefCell<BTreeMap<Vec<u8>, u32>>>,
    marked: Rc<RefCell<u32>>,
    left: Rc<RefCell<u32>>,
    go: Rc<Notify>,
}

async fn node(does: Does) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let node = Node {
        addr: listener.local_addr().unwrap(),
        does: Rc::new(RefCell::new(does)),
        runs: Rc::default(),
        marked: Rc::default(),
        left: Rc::default(),
        go: Rc::default(),
    };
    let shared = node.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, shared.clone()));
        }
    });
    node
}

async fn read(stream: &mut (impl AsyncReadExt + Unpin)) -> Option<Vec<u8>> {
    let length = stream.read_u32().await.ok()?;
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

async fn serve(stream: TcpStream, node: Node) {
    let (mut back, out) = stream.into_split();
    let out = Rc::new(tokio::sync::Mutex::new(out));
    while let Some(frame) = read(&mut back).await {
        let message = thrift::message(&frame).unwrap();
        if message.name == b"giveUp" {
            *node.left.borrow_mut() += 1;
            continue;
        }
        let (fields, body) = thrift::process_args(message.args).unwrap();
        let (seq, body) = (message.seq, body.unwrap().to_vec());
        *node.marked.borrow_mut() += u32::from(fields.unwrap().contains(&(b"redo", b"1")));
        let does = *node.does.borrow();
        if !matches!(does, Does::Dismisses) {
            *node.runs.borrow_mut().entry(body.clone()).or_default() += 1;
        }
        let honour = thrift::answer(b"process", seq, &body, true);
        let told = match does {
            Does::Honours => honour,
            Does::HonoursTwice => [honour.clone(), honour].concat(),
            Does::Fails => thrift::lost(seq),
            Does::Dismisses => thrift::backoff(seq, &[("pause", "300"), ("terminal", "1")]),
            Does::RunsAndResets => return,
            Does::Silent => continue,
            Does::Waits => {
                let (node, out) = (node.clone(), out.clone());
                spawn_local(async move {
                    node.go.notified().await;
                    let _ = out.lock().await.write_all(&honour).await;
                });
                continue;
            }
        };
        if out.lock().await.write_all(&told).await.is_err() {
            return;
        }
    }
}

fn configuration(nodes: &[&Node], goal: &str) -> Configuration {
    let members: String = nodes
        .iter()
        .enumerate()
        .map(|(k, node)| format!("member n{k} {{ address: \"{}\" }}\n", node.addr))
        .collect();
    let text = format!(
        "rain 1
type check {{ repeat: rerunnable; goal: {goal}; outer-limit: 20 s }}
type register {{ repeat: exclusive; goal: {goal}; outer-limit: 20 s }}
tenant acme {{ share: 50 % }}
attempts any {{ tries: 3; budget: 50 %; wait: 1 ms .. 5 ms; proof: none }}
attempts proved {{ tries: 3; budget: 50 %; wait: 1 ms .. 5 ms }}
health h {{ keep: 50 % }}
pool p {{ health: h\n{members} }}
route x {{ match {{ type: register }}; to: p; attempts: proved }}
route r {{ to: p; attempts: any }}"
    );
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    outcome.configuration.unwrap_or_else(|| panic!("{:?}", outcome.findings))
}

struct World {
    hub: Rc<Hub>,
    addr: SocketAddr,
    leave: Rc<Notify>,
    done: JoinHandle<()>,
}

async fn forwarder(configuration: &Configuration) -> World {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (addr, hub) = (listener.local_addr().unwrap(), Hub::new(configuration, "", 3).unwrap());
    let leave = Rc::new(Notify::new());
    let left = leave.clone();
    let done =
        spawn_local(run(hub.clone(), listener, Duration::from_secs(5), async move { left.notified().await }));
    World { hub, addr, leave, done }
}

fn play<T: Future<Output = ()>>(test: T) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let done = LocalSet::new().block_on(&runtime, async { tokio::time::timeout(HANGS, test).await });
    done.expect("a test that ends");
}

struct Caller(TcpStream, i32);

impl Caller {
    async fn new(addr: SocketAddr) -> Self {
        Self(TcpStream::connect(addr).await.unwrap(), 0)
    }

    async fn ask(&mut self, route: &str, body: &str) -> i32 {
        self.1 += 1;
        let fields = [("route", route), ("customer", "acme"), ("trace", body)];
        self.0.write_all(&thrift::process(self.1, &fields, body.as_bytes())).await.unwrap();
        self.1
    }

    /// The next answer: its number and what it is; for an honoured one its body.
    async fn next(&mut self) -> (i32, String) {
        loop {
            let frame = read(&mut self.0).await.expect("an answer");
            if thrift::kind(&frame) == Some(thrift::ONEWAY) {
                continue;
            }
            let told = thrift::answered(&frame).unwrap();
            let words = match told.what {
                What::Answer { body, .. } => String::from_utf8(body.to_vec()).unwrap(),
                What::Backoff(fields) => format!("dismissed {}", String::from_utf8_lossy(fields[0].1)),
                What::Lost => "given up".into(),
                What::Exception { .. } => "exception".into(),
            };
            return (told.seq, words);
        }
    }
}

#[test]
fn tickets_are_spread_and_answered_once_with_their_own_results() {
    play(async {
        let nodes = [node(Does::Honours).await, node(Does::HonoursTwice).await, node(Does::Honours).await];
        let w = forwarder(&configuration(&[&nodes[0], &nodes[1], &nodes[2]], "10 s")).await;
        let mut caller = Caller::new(w.addr).await;
        for n in 0..300 {
            let body = format!("body {n}");
            let seq = caller.ask(if n % 3 == 0 { "register" } else { "check" }, &body).await;
            assert_eq!(caller.next().await, (seq, body));
        }
        for node in &nodes {
            assert!((60..150).contains(&node.runs.borrow().len()), "{}", node.runs.borrow().len());
            assert!(node.runs.borrow().values().all(|runs| *runs == 1));
        }
        // What was said twice is dropped and counted.
        assert_eq!(w.hub.counts.late_answers.get() as usize, nodes[1].runs.borrow().len());
        assert_eq!(caller.ask("nothing", "x").await, 301);
        assert_eq!(caller.next().await, (301, "exception".into()));
    });
}

#[test]
fn what_may_have_run_is_repeated_only_where_its_type_allows_it() {
    play(async {
        for (route, does) in
            [("check", Does::RunsAndResets), ("register", Does::RunsAndResets), ("register", Does::Fails)]
        {
            let (bad, good) = (node(does).await, node(Does::Honours).await);
            let w = forwarder(&configuration(&[&bad, &good], "10 s")).await;
            let mut caller = Caller::new(w.addr).await;
            let mut given_up = 0;
            for n in 0..40 {
                let body = format!("{n}");
                let seq = caller.ask(route, &body).await;
                let (told, words) = caller.next().await;
                assert_eq!(told, seq);
                given_up += u32::from(words == "given up");
                // Never dismissed: it may have run.
                assert!(
                    words == body || (words == "given up" && route == "register"),
                    "{n} {route}: {words}"
                );
                let ran = |node: &Node| node.runs.borrow().get(body.as_bytes()).copied().unwrap_or(0);
                assert!(route == "check" || ran(&bad) + ran(&good) == 1, "{n} ran twice");
            }
            let tried = bad.runs.borrow().values().sum::<u32>();
            // Left out after five failures in a row.
            assert!((1..=5).contains(&tried), "{tried}");
            if route == "check" {
                // Further tries say so.
                assert_eq!((given_up, *good.marked.borrow()), (0, tried));
            } else {
                assert_eq!((given_up, *good.marked.borrow()), (tried, 0));
            }
        }
    });
}

#[test]
fn nobody_there_is_said_at_once_with_a_time_to_come_back() {
    play(async {
        let gone = node(Does::Honours).await;
        let addr = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let gone = Node { addr, ..gone };
        let full = node(Does::Dismisses).await;
        for (node, wanted) in [(&gone, "dismissed 500"), (&full, "dismissed 300")] {
            let w = forwarder(&configuration(&[node], "10 s")).await;
            let mut caller = Caller::new(w.addr).await;
            let seq = caller.ask("register", "one").await;
            assert_eq!(caller.next().await, (seq, wanted.into()));
        }
        assert!(full.runs.borrow().is_empty());
    });
}

#[test]
fn a_silent_member_costs_no_more_than_the_goal_time() {
    play(async {
        let silent = node(Does::Silent).await;
        let w = forwarder(&configuration(&[&silent], "300 ms")).await;
        let mut caller = Caller::new(w.addr).await;
        let seq = caller.ask("register", "one").await;
        assert_eq!(caller.next().await, (seq, "given up".into()));
        // It is told that nobody waits any more.
        while *silent.left.borrow() == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(silent.runs.borrow().values().sum::<u32>(), 1);
    });
}

#[test]
fn a_caller_that_leaves_frees_its_places() {
    play(async {
        let waits = node(Does::Waits).await;
        let w = forwarder(&configuration(&[&waits], "10 s")).await;
        let mut caller = Caller::new(w.addr).await;
        let seq = caller.ask("check", "one").await;
        while waits.runs.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        caller.0.write_all(&thrift::give_up(seq)).await.unwrap();
        while *waits.left.borrow() == 0 {
            tokio::task::yield_now().await;
        }
        assert!(w.hub.tickets.borrow().is_empty());
        assert!(w.hub.fleet.borrow().members(0).all(|(_, open, ..)| open == 0));
        // Its late answer goes nowhere.
        waits.go.notify_one();
        while w.hub.counts.late_answers.get() == 0 {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn a_drain_answers_what_was_read_and_takes_nothing_new() {
    play(async {
        let waits = node(Does::Waits).await;
        let w = forwarder(&configuration(&[&waits], "10 s")).await;
        let mut caller = Caller::new(w.addr).await;
        let first = caller.ask("register", "one").await;
        while waits.runs.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        w.leave.notify_one();
        while !w.hub.leaving.get() {
            tokio::task::yield_now().await;
        }
        let second = caller.ask("register", "two").await;
        assert_eq!(caller.next().await, (second, "dismissed 200".into()));
        waits.go.notify_one();
        assert_eq!(caller.next().await, (first, "one".into()));
        w.done.await.unwrap();
        assert_eq!(waits.runs.borrow().len(), 1);
    });
}

#[test]
fn a_new_version_moves_new_tickets_and_leaves_running_ones() {
    play(async {
        let (old, new) = (node(Does::Waits).await, node(Does::Honours).await);
        let w = forwarder(&configuration(&[&old], "10 s")).await;
        let mut caller = Caller::new(w.addr).await;
        let first = caller.ask("register", "one").await;
        while old.runs.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        assert_eq!(w.hub.take(&configuration(&[&new], "10 s")), Ok(2));
        let second = caller.ask("register", "two").await;
        assert_eq!(caller.next().await, (second, "two".into()));
        old.go.notify_one();
        assert_eq!(caller.next().await, (first, "one".into()));
        let mut bad = configuration(&[&new], "10 s");
        bad.routes[0].to[0].pool = "gone".into();
        assert!(w.hub.take(&bad).unwrap_err().contains("no pool `gone`"));
        let third = caller.ask("check", "three").await;
        assert_eq!(caller.next().await, (third, "three".into()));
    });
}
