//! The node records the traffic of its sockets: the files contain each request and answer that callers exchanged.

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
use stand_ins::{Agent, Caller, Http, Reply};
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

/// Runs a node that records into `folder`.
fn run_node(folder: &Path) -> Vec<(usize, Reply)> {
    run_node_with(|context| {
        let settings = Settings::read(&settings(folder)).unwrap();
        recording::start(context, &settings.recording.unwrap()).unwrap();
    })
}

/// Runs a node whose recording `start` configures, sends twenty requests on two connections, and returns the answers
/// with the indices of their callers.
fn run_node_with(start: impl FnOnce(&NodeContext)) -> Vec<(usize, Reply)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let mut received = Vec::new();
    let test = async {
        let mut config: Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        let listen = || async { TcpListener::bind("127.0.0.1:0").await.unwrap() };
        let (node, agents, below, announce) = (
            listen().await,
            listen().await,
            listen().await,
            listen().await,
        );
        for (key, listener) in [
            ("listen", &node),
            ("agent", &agents),
            ("db", &below),
            ("announce", &announce),
        ] {
            config[key] = json!(listener.local_addr().unwrap().to_string());
        }
        let context =
            NodeContext::new(Config::read(config.to_string().as_bytes()).unwrap()).unwrap();
        start(&context);
        let (addr, drain_signal) = (node.local_addr().unwrap(), Rc::new(Notify::new()));
        let shutdown = drain_signal.clone();
        let node_task = spawn_local(run(context.clone(), node, async move {
            shutdown.notified().await
        }));
        let mut agent = Agent::accept(&agents).await;
        agent.greet().await;
        while context.core.borrow().controller.is_none() {
            tokio::task::yield_now().await;
        }
        let mut callers = [Caller::connect(addr).await, Caller::connect(addr).await];
        let mut offset = 0;
        for n in 0..20u64 {
            let index = n as usize % 2;
            let born = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap()
                .as_millis()
                .to_string();
            let trace = format!("{n:016x}");
            // Every fifth request names an unknown tenant, which is answered with an exception.
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
            callers[index]
                .ask(&fields, format!("body {n}").as_bytes())
                .await;
            if n % 5 != 4 {
                let launch = agent.command().await.unwrap();
                offset += 1;
                if n == 0 {
                    agent.request_call(offset, &launch["req"], b"call").await;
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
            received.push((index, callers[index].next().await.unwrap()));
        }
        drain_signal.notify_one();
        drop(callers);
        node_task.await.unwrap();
        drop(context);
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        tokio::time::timeout(Duration::from_secs(60), test)
            .await
            .unwrap()
    });
    // Drops the node's tasks, which are the last owners of the recorder.
    drop(local);
    drop(runtime);
    received
}

fn read_recording(folder: &Path) -> (Vec<Ticket>, u64) {
    let mut paths: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    let (mut requests, mut unparsed) = (Vec::new(), 0);
    for path in paths {
        let summary = read(std::fs::File::open(path).unwrap(), |event| {
            if let Event::Ticket(request) = event {
                requests.push(request);
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
        // The links to the agent and to the downstream tier use other protocols.
        unparsed += summary.tickets.lost_not_thrift + summary.tickets.lost_too_long;
    }
    (requests, unparsed)
}

#[test]
fn recorded_requests_match_what_callers_received() {
    let folder = tempfile::tempdir().unwrap();
    let received = run_node(folder.path());
    let (mut requests, unparsed) = read_recording(folder.path());
    requests.sort_by_key(|request| request.call.field("trace").to_owned());
    assert!(unparsed > 0, "the links are not recorded");
    // A call whose answer is in the next file is read without it, so only most of the requests are complete.
    assert_eq!(requests.len(), received.len());
    let mut complete = 0;
    for (n, (request, (_, Reply(seq, answer, _)))) in requests.iter().zip(&received).enumerate() {
        assert_eq!(
            (request.call.field("trace"), request.call.seq),
            (format!("{n:016x}").as_str(), *seq)
        );
        assert_eq!(
            request.call.body_hash,
            rainstand_capture::hash(format!("body {n}").as_bytes())
        );
        if request.answered.is_some() {
            complete += 1;
            let matches = match request.outcome.word() {
                "honoured" => *answer == "honoured",
                "exception" => *answer == "exception",
                _ => *answer != "honoured" && *answer != "exception",
            };
            assert!(matches, "{n}: {:?} is not {answer}", request.outcome);
        }
    }
    assert!(complete >= 15, "{complete}");
}

#[test]
fn missing_recording_folder_fails_no_request() {
    let folder = tempfile::tempdir().unwrap();
    let received = run_node(&folder.path().join("gone"));
    assert_eq!(
        received
            .iter()
            .filter(|(_, said)| said.1 == "honoured")
            .count(),
        12
    );
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 0);
}

/// A disk that is full, or whose writes block while `hangs` is set.
struct FaultyDisk {
    hangs: Option<Arc<AtomicBool>>,
}

struct FaultyFile(Option<Arc<AtomicBool>>);

impl Write for FaultyFile {
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

impl FileStore for FaultyDisk {
    fn create(&mut self, _: u64) -> std::io::Result<Box<dyn Write>> {
        Ok(Box::new(FaultyFile(self.hangs.clone())))
    }

    fn remove(&mut self, _: u64) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn full_or_hanging_recording_disk_fails_no_request() {
    let limits = Limits {
        file_bytes: 1 << 30,
        files: 2,
    };
    let hangs = Arc::new(AtomicBool::new(true));
    for disk in [
        FaultyDisk { hangs: None },
        FaultyDisk {
            hangs: Some(hangs.clone()),
        },
    ] {
        // With the second disk the node answers, drains and ends although no write returns.
        let received = run_node_with(|context| {
            recording::start_with_store(context, disk, limits, true).unwrap()
        });
        assert_eq!(
            received
                .iter()
                .filter(|(_, said)| said.1 == "honoured")
                .count(),
            12
        );
    }
    hangs.store(false, Ordering::Relaxed);
}

#[test]
fn invalid_settings_are_reported_in_one_line() {
    let cases = [
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
    for (text, expected) in cases {
        let error = Settings::read(text).unwrap_err().to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{error}");
    }
    assert_eq!(
        Settings::read("version: 1 logs { form: JSON }")
            .unwrap()
            .log_format,
        LogFormat::Json
    );
}

#[test]
fn program_logs_json_if_configured_and_rejects_invalid_settings() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name);
    let mut config: Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
    (config["listen"], config["sede"]) = (json!("127.0.0.1:0"), json!(1));
    std::fs::write(path("node.json"), config.to_string()).unwrap();
    std::fs::write(path("bad.txtpb"), "version: 1\nlogs { from: JSON }").unwrap();
    std::fs::write(path("good.txtpb"), "version: 1 logs { form: JSON }").unwrap();
    let node = |settings: &str| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_rainstand-node"));
        command
            .env("ROUTER_CONFIG", path("node.json"))
            .env("RAINSTAND_SETTINGS", path(settings));
        command.stderr(std::process::Stdio::piped());
        command
    };
    let rejected = node("bad.txtpb").output().unwrap();
    let stderr = String::from_utf8(rejected.stderr).unwrap();
    assert!(
        !rejected.status.success()
            && stderr.contains("bad.txtpb: 2:8:")
            && stderr.lines().count() == 1,
        "{stderr}"
    );
    let mut running = node("good.txtpb").spawn().unwrap();
    let mut lines = std::io::BufReader::new(running.stderr.take().unwrap()).lines();
    let events: Vec<Value> = lines
        .by_ref()
        .take(2)
        .map(|line| serde_json::from_str(&line.unwrap()).unwrap())
        .collect();
    assert_eq!(
        (&events[0]["event"], &events[0]["key"]),
        (&json!("config_key"), &json!("sede"))
    );
    assert_eq!(
        (&events[1]["event"], &events[1]["name"]),
        (&json!("start"), &json!("n1"))
    );
    running.kill().unwrap();
    running.wait().unwrap();
}
