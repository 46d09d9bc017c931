//! Three control machines and their forwarders as processes, and the commands that operators give them.

#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::pedantic,
    reason = "shared by test targets, each of which uses a part of it"
)]

pub use crate::program::run_lines as run;
use crate::program::PROGRAM;
use rainstand_cluster::framing::with_length_prefix;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const HANGS: Duration = Duration::from_secs(60);

/// A process, and the lines that it wrote so far. It ends with this.
pub struct Process {
    pub child: Child,
    pub lines: Arc<(Mutex<Vec<String>>, Condvar)>,
    read: usize,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn start(folder: &Path, arguments: &[&str]) -> Self {
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
    pub fn says(&mut self, words: &[&str]) -> String {
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

/// Addresses that nobody listens on just now.
pub fn addresses<const N: usize>() -> [String; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap().to_string())
}

pub fn configuration(share: u32) -> String {
    format!(
        "rain 1\ntype check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}\n\
         tenant acme {{ share: {share} % }}\n\
         pool hall {{ member n1 {{ address: \"127.0.0.1:9\" }} }}\nroute r {{ to: hall }}\n"
    )
}

pub struct World {
    pub folder: tempfile::TempDir,
    pub at: [String; 3],
    pub machines: Vec<Option<Process>>,
}

impl World {
    pub fn new() -> Self {
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
            machine.says(&["group_bootstrapped"]);
        }
        world
    }

    pub fn start(&self, arguments: &[&str]) -> Process {
        std::fs::create_dir_all(self.folder.path().join("kept")).unwrap();
        Process::start(self.folder.path(), arguments)
    }

    /// A forwarder, and where it is asked.
    pub fn forwarder(&self, name: &str, zone: &str) -> (Process, String) {
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

    pub fn publish(&self, file: &str, at: usize, more: &[&str]) -> (i32, String) {
        let mut arguments = vec!["config", "publish", file, "--at", &self.at[at]];
        arguments.extend(more);
        let (code, lines, told) = run(self.folder.path(), &arguments);
        let lines: Vec<String> = lines
            .iter()
            .map(|line| line.as_str().unwrap_or("").to_owned())
            .collect();
        (code, format!("{}\n{told}", lines.join("\n")))
    }

    pub fn versions(&self, at: usize) -> Value {
        let (_, lines, told) = run(
            self.folder.path(),
            &["config", "versions", "--at", &self.at[at], "--json"],
        );
        assert_eq!(lines.len(), 1, "{told}");
        lines[0].clone()
    }

    /// What a machine answers to a frame.
    pub fn ask(&self, at: usize, message: &[u8]) -> Value {
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
    pub fn confirmed(&self, at: usize, version: u64, by: u64) -> Value {
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

    pub fn status(&self, at: &str) -> Value {
        let (code, lines, told) = run(self.folder.path(), &["ask", "status", "--at", at, "--json"]);
        assert_eq!(code, 0, "{told}");
        lines[0]["control"].clone()
    }
}
