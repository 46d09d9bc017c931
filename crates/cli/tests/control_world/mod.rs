//! A group of three config servers and their forwarders as processes, and the operators' commands for them.

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

/// Limit after which a wait counts as hung; nothing is timed.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// A process and the lines that it has logged so far. Killed when dropped.
pub struct Process {
    pub child: Child,
    pub lines: Arc<(Mutex<Vec<String>>, Condvar)>,
    read_lines: usize,
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
        let (log, stderr) = (lines.clone(), BufReader::new(child.stderr.take().unwrap()));
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                log.0.lock().unwrap().push(line);
                log.1.notify_all();
            }
        });
        Self {
            child,
            lines,
            read_lines: 0,
        }
    }

    /// Waits for a line with all of these words, after the line that the previous call returned.
    pub fn wait_for_line(&mut self, words: &[&str]) -> String {
        let started = Instant::now();
        let mut lines = self.lines.0.lock().unwrap();
        loop {
            let found = lines[self.read_lines..]
                .iter()
                .position(|line| words.iter().all(|word| line.contains(word)));
            if let Some(position) = found {
                self.read_lines += position + 1;
                return lines[self.read_lines - 1].clone();
            }
            assert!(
                started.elapsed() < HANG_TIMEOUT,
                "no line has {words:?}; all lines:\n{}",
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

/// Addresses on which no process listens now.
pub fn unused_addresses<const N: usize>() -> [String; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap().to_string())
}

/// A configuration whose tenant has this share, in percent.
pub fn configuration(share: u32) -> String {
    format!(
        "rain 1\ntype check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}\n\
         tenant acme {{ share: {share} % }}\n\
         pool hall {{ member n1 {{ address: \"127.0.0.1:9\" }} }}\nroute r {{ to: hall }}\n"
    )
}

pub struct TestCluster {
    pub folder: tempfile::TempDir,
    /// Of the servers c1 to c3.
    pub addresses: [String; 3],
    pub servers: Vec<Option<Process>>,
}

impl TestCluster {
    pub fn new() -> Self {
        let (folder, addresses) = (tempfile::tempdir().unwrap(), unused_addresses::<3>());
        let member = |(index, address): (usize, &String)| {
            format!(
                "  member c{} {{ site: s{index}; address: \"{address}\"; folder: \"c{}\" }}\n",
                index + 1,
                index + 1
            )
        };
        let members: String = addresses.iter().enumerate().map(member).collect();
        let group = format!("rain 1\ngroup fleet {{\n  shards: 1\n{members}}}\n");
        std::fs::write(folder.path().join("control.rain"), group).unwrap();
        for (name, share) in [("first.rain", 10), ("second.rain", 20), ("third.rain", 30)] {
            std::fs::write(folder.path().join(name), configuration(share)).unwrap();
        }
        let member = |(index, address): (usize, &String)| {
            format!(
                "  member c{} {{ region: north; zone: z{index}; address: \"{address}\" }}\n",
                index + 1
            )
        };
        let members: String = addresses.iter().enumerate().map(member).collect();
        let start = format!("{}control fleet {{\n{members}}}\n", configuration(5));
        std::fs::write(folder.path().join("start.rain"), start).unwrap();
        std::fs::write(
            folder.path().join("bad.rain"),
            "rain 1\nroute r { to: nowhere }\n",
        )
        .unwrap();
        let mut cluster = Self {
            folder,
            addresses,
            servers: Vec::new(),
        };
        for index in 0..3 {
            let name = format!("c{}", index + 1);
            let server = cluster.start(&["control", "--config", "control.rain", "--name", &name]);
            cluster.servers.push(Some(server));
        }
        for server in cluster.servers.iter_mut().flatten() {
            server.wait_for_line(&["group_bootstrapped"]);
        }
        cluster
    }

    pub fn start(&self, arguments: &[&str]) -> Process {
        std::fs::create_dir_all(self.folder.path().join("control")).unwrap();
        Process::start(self.folder.path(), arguments)
    }

    /// Starts a forwarder; returns it and its admin address.
    pub fn start_forwarder(&self, name: &str, zone: &str) -> (Process, String) {
        let folder = format!("control-{name}");
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
        let line = process.wait_for_line(&["event=\"admin\""]);
        let admin = line.split("admin=").last().unwrap().trim().to_owned();
        (process, admin)
    }

    /// Publishes a file at a server; returns the exit code and the output of both streams.
    pub fn publish(&self, file: &str, server: usize, options: &[&str]) -> (i32, String) {
        let mut arguments = vec!["config", "publish", file, "--at", &self.addresses[server]];
        arguments.extend(options);
        let (code, lines, stderr) = run(self.folder.path(), &arguments);
        let lines: Vec<String> = lines
            .iter()
            .map(|line| line.as_str().unwrap_or("").to_owned())
            .collect();
        (code, format!("{}\n{stderr}", lines.join("\n")))
    }

    /// The output of `config versions` at a server.
    pub fn versions(&self, server: usize) -> Value {
        let (_, lines, stderr) = run(
            self.folder.path(),
            &[
                "config",
                "versions",
                "--at",
                &self.addresses[server],
                "--json",
            ],
        );
        assert_eq!(lines.len(), 1, "{stderr}");
        lines[0].clone()
    }

    /// Sends a message to a server and returns its response.
    pub fn request(&self, server: usize, message: &[u8]) -> Value {
        let mut stream = TcpStream::connect(&self.addresses[server]).unwrap();
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        stream.write_all(&with_length_prefix(message)).unwrap();
        let mut length_prefix = [0; 4];
        stream.read_exact(&mut length_prefix).unwrap();
        let mut body = vec![0; u32::from_be_bytes(length_prefix) as usize];
        stream.read_exact(&mut body).unwrap();
        serde_json::from_slice(&body).unwrap()
    }

    /// Waits until each server has the version and `subscribers` confirmed it. Followers apply a version one heartbeat
    /// after the leader.
    pub fn wait_until_confirmed(&self, server: usize, version: u64, subscribers: u64) -> Value {
        let started = Instant::now();
        loop {
            let versions = self.versions(server);
            let newest = &versions["versions"][0];
            let servers = versions["machines"].as_array().unwrap();
            let all_have_it = servers.iter().all(|server| server["version"] == version);
            if all_have_it
                && newest["version"] == version
                && newest["confirmed"] == subscribers
                && newest["behind"] == 0
            {
                return versions;
            }
            assert!(started.elapsed() < HANG_TIMEOUT, "{versions}");
        }
    }

    /// What a forwarder reports about its attachment.
    pub fn forwarder_status(&self, admin: &str) -> Value {
        let (code, lines, stderr) = run(
            self.folder.path(),
            &["ask", "status", "--at", admin, "--json"],
        );
        assert_eq!(code, 0, "{stderr}");
        lines[0]["control"].clone()
    }
}
