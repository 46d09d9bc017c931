//! Members, each with a thread, a runtime and a disk of its own; for tests and the bench.
#![allow(dead_code)] // neither uses all of it

use rainstand_cluster::{ClusterMember, MemberOptions};
use rainstand_config::schema;
use rainstand_replicated_state::idempotency::{ClaimOutcome, Command, Operation, Start};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::LocalSet;

/// Only what hangs is caught by this; nothing is timed.
pub const HANGS: Duration = Duration::from_secs(30);

type Job = Box<dyn FnOnce(Rc<ClusterMember>) + Send>;

pub struct Running {
    jobs: Option<UnboundedSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Running {
    /// As a kill: nothing is handed over, and the disk is free again when this returns.
    fn drop(&mut self) {
        self.jobs.take();
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

impl Running {
    pub fn start(group: schema::Group, name: &str) -> Self {
        let (jobs, mut todo) = unbounded_channel::<Job>();
        let (name, folder) = (
            name.to_owned(),
            group
                .members
                .iter()
                .find(|m| m.name == name)
                .unwrap()
                .folder
                .clone(),
        );
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                // The port was this member's before, and may be lent to somebody's connection just now.
                let begun = Instant::now();
                let group = loop {
                    let setup = MemberOptions {
                        name: name.clone(),
                        group: group.clone(),
                        log: Box::new(|_| {}),
                    };
                    match rainstand_cluster::start(setup).await {
                        Ok(group) => break group,
                        Err(why) => {
                            assert!(
                                why.to_string().contains("in use") && begun.elapsed() < HANGS,
                                "{why}"
                            )
                        }
                    }
                    tokio::task::yield_now().await;
                };
                while let Some(job) = todo.recv().await {
                    job(group.clone());
                }
            });
            drop((local, runtime));
            // The disk's own thread ends once nobody gives it anything.
            let begun = Instant::now();
            while rainstand_storage::FolderDisk::open(Path::new(&folder)).is_err() {
                assert!(begun.elapsed() < HANGS, "the disk is not free");
                std::thread::yield_now();
            }
        });
        Self {
            jobs: Some(jobs),
            thread: Some(thread),
        }
    }

    pub fn on<T: Send + 'static>(
        &self,
        what: impl FnOnce(Rc<ClusterMember>, Sender<T>) + Send + 'static,
    ) -> Receiver<T> {
        let (answer, told) = channel();
        let job: Job = Box::new(move |group| what(group, answer));
        assert!(self.jobs.as_ref().unwrap().send(job).is_ok());
        told
    }

    /// What a command is told first; none if its time was over.
    pub fn ask(
        &self,
        trace: u8,
        key: &str,
        what: Operation,
        within: Duration,
    ) -> Option<ClaimOutcome> {
        let key = key.to_owned();
        let told = self.on(move |group, answer: Sender<Option<ClaimOutcome>>| {
            let claim = group.inspect(|member| member.claim(&[trace; 16]));
            let command = Command {
                key: key.into_bytes().into(),
                claim,
                operation: Some(what),
            };
            let back = answer.clone();
            if group
                .request(command, within, Rc::new(move |told| drop(back.send(told))))
                .is_none()
            {
                let _ = answer.send(None);
            }
        });
        told.recv_timeout(HANGS).expect("an answer")
    }

    /// The same until something is told.
    pub fn ask_until_told(&self, trace: u8, key: &str, what: &Operation) -> ClaimOutcome {
        let begun = Instant::now();
        loop {
            if let Some(told) = self.ask(trace, key, what.clone(), Duration::from_secs(2)) {
                return told;
            }
            assert!(begun.elapsed() < HANGS, "{key} is told nothing");
        }
    }

    /// What a look at the member tells.
    pub fn tell<T: Send + 'static>(
        &self,
        look: impl FnOnce(&ClusterMember) -> T + Send + 'static,
    ) -> T {
        let told = self.on(move |group, answer| assert!(answer.send(look(&group)).is_ok()));
        told.recv_timeout(HANGS).expect("an answer")
    }

    pub fn leads(&self) -> usize {
        self.tell(|group| group.inspect(|member| member.led_shard_count()))
    }
}

pub fn start() -> Operation {
    Operation::Start(Start {
        fingerprint: 1,
        window_ns: 60_000_000_000,
    })
}

pub fn known(result: &'static str) -> ClaimOutcome {
    ClaimOutcome::Completed(result.into())
}

pub struct World {
    _folder: tempfile::TempDir,
    pub group: schema::Group,
}

pub fn world(n: usize) -> World {
    let folder = tempfile::tempdir().unwrap();
    let listeners: Vec<_> = (0..n)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let member = |(k, listener): (usize, &std::net::TcpListener)| schema::GroupMember {
        name: format!("n{}", k + 1),
        site: String::new(),
        address: listener.local_addr().unwrap().to_string(),
        folder: folder
            .path()
            .join(format!("n{}", k + 1))
            .display()
            .to_string(),
    };
    let members = listeners.iter().enumerate().map(member).collect();
    let ms = 1_000_000;
    let group = schema::Group {
        name: "test".into(),
        shards: 2,
        copies: 3,
        heartbeat_ns: 30 * ms,
        election_least_ns: 150 * ms,
        election_most_ns: 300 * ms,
        commit_wait_ns: ms / 2,
        keys: 1_000,
        moves: 2,
        testing: false,
        members,
        start_within_ns: 500 * ms,
        come_back_ns: 100 * ms,
    };
    World {
        _folder: folder,
        group,
    }
}

impl World {
    pub fn up(&self, name: &str) -> Running {
        Running::start(self.group.clone(), name)
    }

    pub fn folder(&self, k: usize) -> PathBuf {
        self.group.members[k].folder.clone().into()
    }

    pub fn all_led(&self, running: &[&Running]) {
        let begun = Instant::now();
        while running.iter().map(|one| one.leads()).sum::<usize>() < self.group.shards as usize {
            assert!(begun.elapsed() < HANGS, "no leaders");
            std::thread::yield_now();
        }
    }
}
