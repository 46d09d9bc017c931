//! The node records what passes its sockets: what callers saw is in the files, ticket by ticket.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

#[path = "../../../examples/toy/stand_ins.rs"]
mod stand_ins;

use rainstand_capture::read;
use rainstand_capture::tickets::{Event, Ticket};
use rainstand_node::log::LogFormat;
use rainstand_node::settings::Settings;
use rainstand_node::{config::Config, recording, run, NodeContext};
use rainstand_traffic_recorder::file_store::FileStore;
use rainstand_traffic_recorder::Limits;
use serde_json::{json, Value};
use stand_ins::{Agent, Caller, Http, Said};
use std::io::{BufRead, Write};
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};

fn settings(folder: &Path) -> String {
    let folder = folder.to_str().unwrap();
    format!("version: 1 recordings {{ name: \"node\" folder: \"{folder}\" file_bytes: 16000 files: 100 links: true }}")
}

/// A node that records into `folder`.
fn play(folder: &Path) -> Vec<(usize, Said)> {
    play_with(|context| {
        let settings = Settings::read(&settings(folder)).unwrap();
        recording::start(context, &settings.recording.unwrap()).unwrap();
    })
}

/// A node that records as told, twenty tickets on two connections, and what the callers saw.
fn play_with(start: impl FnOnce(&NodeContext)) -> Vec<(usize, Said)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let mut seen = Vec::new();
    let all = async {
        let mut config: Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        let listen = || async { TcpListener::bind("127.0.0.1:0").await.unwrap() };
        let (node, agents, below, announce) = (
            listen().await,
            listen().await,
            listen().await,
            listen().await,
        );
        for (key, of) in [
            ("listen", &node),
            ("agent", &agents),
            ("db", &below),
            ("announce", &announce),
        ] {
            config[key] = json!(of.local_addr().unwrap().to_string());
        }
        let context =
            NodeContext::new(Config::read(config.to_string().as_bytes()).unwrap()).unwrap();
        start(&context);
        let (addr, leave) = (node.local_addr().unwrap(), Rc::new(Notify::new()));
        let left = leave.clone();
        let ended = spawn_local(run(
            context.clone(),
            node,
            async move { left.notified().await },
        ));
        let mut agent = Agent::accept(&agents).await;
        agent.greet().await;
        while context.core.borrow().controller.is_none() {
            tokio::task::yield_now().await;
        }
        let mut callers = [Caller::connect(addr).await, Caller::connect(addr).await];
        let mut offset = 0;
        for n in 0..20u64 {
            let which = n as usize % 2;
            let born = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap()
                .as_millis()
                .to_string();
            let trace = format!("{n:016x}");
            // One in five names a tenant that is not known: an exception.
            let tenant = if n % 5 == 4 { "nobody" } else { "acme" };
            let fields = [
                ("route", "check"),
                ("trace", trace.as_str()),
                ("born", born.as_str()),
                ("customer", tenant),
                ("size", "20"),
                ("client", "1"),
                ("order", "0.5"),
            ];
            callers[which]
                .ask(&fields, format!("body {n}").as_bytes())
                .await;
            if n % 5 != 4 {
                let launch = agent.command().await.unwrap();
                offset += 1;
                if n == 0 {
                    agent.asks_call(offset, &launch["req"], b"call").await;
                    let mut http = Http::accept(&below).await;
                    http.request().await.unwrap();
                    http.reply("200 OK", b"row").await;
                    agent.command().await.unwrap();
                    offset += 1;
                }
                let (end, result) = if n % 5 == 3 {
                    ("fault", "")
                } else {
                    ("fine", trace.as_str())
                };
                agent
                    .outcome(offset, &launch["req"], end, result.as_bytes())
                    .await;
            }
            seen.push((which, callers[which].next().await.unwrap()));
        }
        leave.notify_one();
        drop(callers);
        ended.await.unwrap();
        drop(context);
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        tokio::time::timeout(Duration::from_secs(60), all)
            .await
            .unwrap()
    });
    // The recorder's last owners are the node's tasks.
    drop(local);
    drop(runtime);
    seen
}

fn recorded(folder: &Path) -> (Vec<Ticket>, u64) {
    let mut paths: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    let (mut tickets, mut others) = (Vec::new(), 0);
    for path in paths {
        let summary = read(std::fs::File::open(path).unwrap(), |event| {
            if let Event::Ticket(ticket) = event {
                tickets.push(ticket);
            }
        });
        assert_eq!(
            (
                summary.cut_off,
                summary.streams.holes,
                summary.tickets.cut_calls
            ),
            (None, 0, 0)
        );
        // The links to the agent and below speak otherwise.
        others += summary.tickets.lost_not_thrift + summary.tickets.lost_too_long;
    }
    (tickets, others)
}

#[test]
fn recording_holds_what_callers_saw() {
    let folder = tempfile::tempdir().unwrap();
    let seen = play(folder.path());
    let (mut tickets, others) = recorded(folder.path());
    tickets.sort_by_key(|ticket| ticket.call.field("trace").to_owned());
    assert!(others > 0, "links are not in the files");
    // A call whose answer stands in the next file is there without it, so at least the most are whole.
    assert_eq!(tickets.len(), seen.len());
    let mut whole = 0;
    for (n, (ticket, (_, Said(seq, what, _)))) in tickets.iter().zip(&seen).enumerate() {
        assert_eq!(
            (ticket.call.field("trace"), ticket.call.seq),
            (format!("{n:016x}").as_str(), *seq)
        );
        assert_eq!(
            ticket.call.body_hash,
            rainstand_capture::hash(format!("body {n}").as_bytes())
        );
        if ticket.answered.is_some() {
            whole += 1;
            let same = match ticket.outcome.word() {
                "honoured" => *what == "honoured",
                "exception" => *what == "exception",
                _ => *what != "honoured" && *what != "exception",
            };
            assert!(same, "{n}: {:?} is not {what}", ticket.outcome);
        }
    }
    assert!(whole >= 15, "{whole}");
}

#[test]
fn missing_recording_folder_costs_no_request() {
    let folder = tempfile::tempdir().unwrap();
    let seen = play(&folder.path().join("gone"));
    assert_eq!(
        seen.iter().filter(|(_, said)| said.1 == "honoured").count(),
        12
    );
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 0);
}

/// A disk that takes nothing, or that never comes back from a write until it is let go.
struct Bad {
    hangs: Option<Arc<AtomicBool>>,
}

struct BadFile(Option<Arc<AtomicBool>>);

impl Write for BadFile {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let Some(hangs) = &self.0 else {
            return Err(std::io::ErrorKind::StorageFull.into());
        };
        while hangs.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl FileStore for Bad {
    fn create(&mut self, _: u64) -> std::io::Result<Box<dyn Write>> {
        Ok(Box::new(BadFile(self.hangs.clone())))
    }

    fn remove(&mut self, _: u64) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn full_or_hanging_recording_disk_costs_no_request() {
    let limits = Limits {
        file_bytes: 1 << 30,
        files: 2,
    };
    let hangs = Arc::new(AtomicBool::new(true));
    for bad in [
        Bad { hangs: None },
        Bad {
            hangs: Some(hangs.clone()),
        },
    ] {
        // With the second one the node answers, drains and ends though no write ever returns.
        let seen =
            play_with(|context| recording::start_with_store(context, bad, limits, true).unwrap());
        assert_eq!(
            seen.iter().filter(|(_, said)| said.1 == "honoured").count(),
            12
        );
    }
    hangs.store(false, Ordering::Relaxed);
}

#[test]
fn invalid_settings_are_refused_in_one_line() {
    let table = [
        (
            "version: 1 recordings { name: \"a\" folder: \"/x\" }",
            "no folder, size or number",
        ),
        (
            "version: 1 recordings { folder: \"a\" } recordings { folder: \"b\" }",
            "a node takes at most one",
        ),
        ("version: 1\nrecording { }", "2:1:"),
        ("version: 7", "knows version 1"),
    ];
    for (text, wanted) in table {
        let why = Settings::read(text).unwrap_err().to_string();
        assert!(why.contains(wanted) && !why.contains('\n'), "{why}");
    }
    assert_eq!(
        Settings::read("version: 1 logs { form: JSON }")
            .unwrap()
            .log_format,
        LogFormat::Json
    );
}

#[test]
fn program_logs_json_if_configured_and_refuses_invalid_settings() {
    let folder = tempfile::tempdir().unwrap();
    let at = |name: &str| folder.path().join(name);
    let mut config: Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
    (config["listen"], config["sede"]) = (json!("127.0.0.1:0"), json!(1));
    std::fs::write(at("node.json"), config.to_string()).unwrap();
    std::fs::write(at("bad.txtpb"), "version: 1\nlogs { from: JSON }").unwrap();
    std::fs::write(at("good.txtpb"), "version: 1 logs { form: JSON }").unwrap();
    let node = |settings: &str| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_rainstand-node"));
        command
            .env("ROUTER_CONFIG", at("node.json"))
            .env("RAINSTAND_SETTINGS", at(settings));
        command.stderr(std::process::Stdio::piped());
        command
    };
    let refused = node("bad.txtpb").output().unwrap();
    let told = String::from_utf8(refused.stderr).unwrap();
    assert!(
        !refused.status.success() && told.contains("bad.txtpb: 2:8:") && told.lines().count() == 1,
        "{told}"
    );
    let mut running = node("good.txtpb").spawn().unwrap();
    let mut lines = std::io::BufReader::new(running.stderr.take().unwrap()).lines();
    let told: Vec<Value> = lines
        .by_ref()
        .take(2)
        .map(|line| serde_json::from_str(&line.unwrap()).unwrap())
        .collect();
    assert_eq!(
        (&told[0]["event"], &told[0]["key"]),
        (&json!("config_key"), &json!("sede"))
    );
    assert_eq!(
        (&told[1]["event"], &told[1]["name"]),
        (&json!("start"), &json!("n1"))
    );
    running.kill().unwrap();
    running.wait().unwrap();
}
