//! Control machines and forwarders as processes: versions are published, confirmed, refused, and outlive machines.
//!
//! Verdicts go by events in the processes' logs and by answers; [`HANGS`] only catches what hangs.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_cluster::framing::with_length_prefix;
use rainstand_cluster::status;
use rainstand_config::schema::Configuration;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_replicated_state::versions::Publish;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const HANGS: Duration = Duration::from_secs(60);
const PROGRAM: &str = env!("CARGO_BIN_EXE_rainstand");

/// A process, and the lines that it wrote so far. It ends with this.
struct Process {
    child: Child,
    lines: Arc<(Mutex<Vec<String>>, Condvar)>,
    read: usize,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(folder: &Path, arguments: &[&str]) -> Self {
        let mut child = Command::new(PROGRAM)
            .args(arguments)
            .current_dir(folder)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let lines: Arc<(Mutex<Vec<String>>, Condvar)> = Arc::default();
        let (said, out) = (lines.clone(), BufReader::new(child.stderr.take().unwrap()));
        std::thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                said.0.lock().unwrap().push(line);
                said.1.notify_all();
            }
        });
        Self {
            child,
            lines,
            read: 0,
        }
    }

    /// The next line, after the last one that was waited for, that has all of these words.
    fn says(&mut self, words: &[&str]) -> String {
        let begun = Instant::now();
        let mut lines = self.lines.0.lock().unwrap();
        loop {
            let found = lines[self.read..]
                .iter()
                .position(|line| words.iter().all(|word| line.contains(word)));
            if let Some(at) = found {
                self.read += at + 1;
                return lines[self.read - 1].clone();
            }
            assert!(
                begun.elapsed() < HANGS,
                "nothing says {words:?}; all:\n{}",
                lines.join("\n")
            );
            lines = self
                .lines
                .1
                .wait_timeout(lines, Duration::from_millis(200))
                .unwrap()
                .0;
        }
    }
}

/// Exit code, standard output as JSON lines, standard error.
fn run(folder: &Path, arguments: &[&str]) -> (i32, Vec<Value>, String) {
    let ended = Command::new(PROGRAM)
        .args(arguments)
        .current_dir(folder)
        .output()
        .unwrap();
    let text = String::from_utf8(ended.stdout).unwrap();
    let lines = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or(Value::from(line)))
        .collect();
    (
        ended.status.code().unwrap(),
        lines,
        String::from_utf8(ended.stderr).unwrap(),
    )
}

/// Addresses that nobody listens on just now.
fn addresses<const N: usize>() -> [String; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap().to_string())
}

fn configuration(share: u32) -> String {
    format!(
        "rain 1\ntype check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}\n\
         tenant acme {{ share: {share} % }}\n\
         pool hall {{ member n1 {{ address: \"127.0.0.1:9\" }} }}\nroute r {{ to: hall }}\n"
    )
}

struct World {
    folder: tempfile::TempDir,
    at: [String; 3],
    machines: Vec<Option<Process>>,
}

impl World {
    fn new() -> Self {
        let (folder, at) = (tempfile::tempdir().unwrap(), addresses::<3>());
        let member = |(k, at): (usize, &String)| {
            format!(
                "  member c{} {{ site: s{k}; address: \"{at}\"; folder: \"c{}\" }}\n",
                k + 1,
                k + 1
            )
        };
        let members: String = at.iter().enumerate().map(member).collect();
        let group = format!("rain 1\ngroup fleet {{\n  shards: 1\n{members}}}\n");
        std::fs::write(folder.path().join("control.rain"), group).unwrap();
        for (name, share) in [("first.rain", 10), ("second.rain", 20), ("third.rain", 30)] {
            std::fs::write(folder.path().join(name), configuration(share)).unwrap();
        }
        let member = |(k, at): (usize, &String)| {
            format!(
                "  member c{} {{ region: north; zone: z{k}; address: \"{at}\" }}\n",
                k + 1
            )
        };
        let members: String = at.iter().enumerate().map(member).collect();
        let start = format!("{}control fleet {{\n{members}}}\n", configuration(5));
        std::fs::write(folder.path().join("start.rain"), start).unwrap();
        std::fs::write(
            folder.path().join("bad.rain"),
            "rain 1\nroute r { to: nowhere }\n",
        )
        .unwrap();
        let mut world = Self {
            folder,
            at,
            machines: Vec::new(),
        };
        for k in 0..3 {
            let name = format!("c{}", k + 1);
            let machine = world.start(&["control", "--config", "control.rain", "--name", &name]);
            world.machines.push(Some(machine));
        }
        for machine in world.machines.iter_mut().flatten() {
            machine.says(&["group_formed"]);
        }
        world
    }

    fn start(&self, arguments: &[&str]) -> Process {
        std::fs::create_dir_all(self.folder.path().join("kept")).unwrap();
        Process::start(self.folder.path(), arguments)
    }

    /// A forwarder, and where it is asked.
    fn forwarder(&self, name: &str, zone: &str) -> (Process, String) {
        let folder = format!("kept-{name}");
        std::fs::create_dir_all(self.folder.path().join(&folder)).unwrap();
        let mut process = self.start(&[
            "forward",
            "--config",
            "start.rain",
            "--listen",
            "127.0.0.1:0",
            "--admin",
            "127.0.0.1:0",
            "--name",
            name,
            "--region",
            "north",
            "--zone",
            zone,
            "--control-folder",
            &folder,
        ]);
        let line = process.says(&["event=\"admin\""]);
        let at = line.split("admin=").last().unwrap().trim().to_owned();
        (process, at)
    }

    fn publish(&self, file: &str, at: usize, more: &[&str]) -> (i32, String) {
        let mut arguments = vec!["config", "publish", file, "--at", &self.at[at]];
        arguments.extend(more);
        let (code, lines, told) = run(self.folder.path(), &arguments);
        let lines: Vec<String> = lines
            .iter()
            .map(|line| line.as_str().unwrap_or("").to_owned())
            .collect();
        (code, format!("{}\n{told}", lines.join("\n")))
    }

    fn versions(&self, at: usize) -> Value {
        let (_, lines, told) = run(
            self.folder.path(),
            &["config", "versions", "--at", &self.at[at], "--json"],
        );
        assert_eq!(lines.len(), 1, "{told}");
        lines[0].clone()
    }

    /// What a machine answers to a frame.
    fn ask(&self, at: usize, message: &[u8]) -> Value {
        let mut stream = TcpStream::connect(&self.at[at]).unwrap();
        stream.set_read_timeout(Some(HANGS)).unwrap();
        stream.write_all(&with_length_prefix(message)).unwrap();
        let mut head = [0; 4];
        stream.read_exact(&mut head).unwrap();
        let mut body = vec![0; u32::from_be_bytes(head) as usize];
        stream.read_exact(&mut body).unwrap();
        serde_json::from_slice(&body).unwrap()
    }

    /// Until each machine has the version and so many confirmed it. A machine that follows has it a heartbeat later.
    fn confirmed(&self, at: usize, version: u64, by: u64) -> Value {
        let begun = Instant::now();
        loop {
            let told = self.versions(at);
            let newest = &told["versions"][0];
            let machines = told["machines"].as_array().unwrap();
            let all = machines.iter().all(|machine| machine["version"] == version);
            if all
                && newest["version"] == version
                && newest["confirmed"] == by
                && newest["behind"] == 0
            {
                return told;
            }
            assert!(begun.elapsed() < HANGS, "{told}");
        }
    }

    fn status(&self, at: &str) -> Value {
        let (code, lines, told) = run(self.folder.path(), &["ask", "status", "--at", at, "--json"]);
        assert_eq!(code, 0, "{told}");
        lines[0]["control"].clone()
    }
}

#[test]
fn versions_reach_forwarders_and_outlive_machines() {
    let mut world = World::new();
    let (mut one, one_at) = world.forwarder("f1", "z0");
    let (mut two, two_at) = world.forwarder("f2", "z1");
    // The nearest first: each zone has a machine.
    for (forwarder, machine) in [(&mut one, "c1"), (&mut two, "c2")] {
        forwarder.says(&["event=\"attached\"", machine]);
    }

    // Publish: all confirm, whichever machine is asked.
    let (code, told) = world.publish("first.rain", 2, &[]);
    assert!(
        code == 0 && told.contains("version 1 is committed"),
        "{told}"
    );
    one.says(&["version_applied", "version=1"]);
    two.says(&["version_applied", "version=1"]);
    let told = world.confirmed(0, 1, 2);
    assert!(told["versions"][0]["at_ms"].as_u64() > Some(0), "{told}");

    // What is wrong is refused before it is sent, an old one as a conflict, and nothing is committed.
    let (code, told) = world.publish("bad.rain", 0, &[]);
    assert!(code == 1 && told.contains("nowhere"), "{told}");
    let (code, told) = world.publish("second.rain", 0, &["--from", "0"]);
    assert!(
        code == 1 && told.contains("conflict: made from version 0, but version 1 is there"),
        "{told}"
    );
    let (code, told) = world.publish("second.rain", 0, &["--dry-run"]);
    assert!(
        code == 0 && told.contains("share") && told.contains("would be version 2"),
        "{told}"
    );
    let (code, told) = world.publish("first.rain", 0, &[]);
    assert!(code == 0 && told.contains("nothing changes"), "{told}");
    assert_eq!(world.versions(1)["version"], 1);

    // The machine itself refuses it too, as when two publish at once.
    let late = Configuration {
        version: 1,
        ..Configuration::default()
    };
    let late =
        Publish::from_configuration(&ConfigState::from_configuration(&late).unwrap(), 0, &late)
            .unwrap();
    let told = world.ask(2, &status::encode_publish(&late));
    assert!(told["conflict"].is_string(), "{told}");

    // The change as a change, in force at both with one digest.
    let (code, told) = world.publish("second.rain", 0, &["--from", "1"]);
    assert!(code == 0 && told.contains("share"), "{told}");
    one.says(&["version_applied", "version=2"]);
    two.says(&["version_applied", "version=2"]);
    let told = world.confirmed(2, 2, 2);
    for at in [&one_at, &two_at] {
        let status = world.status(at);
        assert_eq!(
            (&status["version"], &status["digest"]),
            (&2.into(), &told["machines"][0]["digest"])
        );
    }

    // The machine that the first is attached to goes: it comes to another one and hears of the next version there.
    world.machines[0] = None;
    one.says(&["server_disconnected", "c1"]);
    one.says(&["event=\"attached\"", "version=2"]);
    let begun = Instant::now();
    while world.publish("third.rain", 1, &[]).0 == 2 {
        assert!(begun.elapsed() < HANGS, "no majority of the two");
    }
    one.says(&["version_applied", "version=3"]);
    two.says(&["version_applied", "version=3"]);

    // Changes were applied as changes.
    for forwarder in [&one, &two] {
        let lines = forwarder.lines.0.lock().unwrap();
        assert!(
            !lines.iter().any(|line| line.contains("delta_not_applied")),
            "{lines:?}"
        );
    }

    // All machines gone: both run on with what they have and say how old it is.
    world.machines.clear();
    one.says(&["server_disconnected"]);
    two.says(&["server_disconnected"]);
    let status = world.status(&one_at);
    assert_eq!(
        (&status["version"], &status["machine"]),
        (&3.into(), &Value::Null)
    );
    let later = world.status(&one_at);
    assert!(
        later["age_ms"].as_u64() > status["age_ms"].as_u64(),
        "{status} {later}"
    );

    // A restart with nobody there begins with the last version from the disk.
    let kept = world.folder.path().join("kept-f2").join("version.packed");
    let begun = Instant::now();
    let held = || {
        rainstand_config_distribution::snapshot::decode(&std::fs::read(&kept).unwrap_or_default())
    };
    while held().map(|kept| kept.version) != Ok(3) {
        assert!(begun.elapsed() < HANGS, "version 3 is not kept");
        std::thread::yield_now();
    }
    drop(two);
    let (mut two, two_at) = world.forwarder("f2", "z1");
    two.says(&["event=\"start\""]);
    let status = world.status(&two_at);
    assert_eq!(
        (&status["version"], &status["digest"]),
        (&later["version"], &later["digest"])
    );
}
