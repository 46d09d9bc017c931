//! Runs members, each with its own thread, runtime and disk, for the tests and the benchmark.
#![allow(dead_code)] // no target uses all helpers

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

/// Time limit of each wait: it only catches a hang, no test measures times.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(30);

type Job = Box<dyn FnOnce(Rc<ClusterMember>) + Send>;

pub struct RunningMember {
    jobs: Option<UnboundedSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for RunningMember {
    /// Stops the member without transferring leadership; its folder is unlocked on return.
    fn drop(&mut self) {
        self.jobs.take();
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

impl RunningMember {
    pub fn start(group: schema::Group, name: &str) -> Self {
        let (jobs, mut job_queue) = unbounded_channel::<Job>();
        let (name, folder) = (
            name.to_owned(),
            group
                .members
                .iter()
                .find(|member| member.name == name)
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
                // Retry: the system may have assigned this member's port to another connection for a moment.
                let started_at = Instant::now();
                let group = loop {
                    let options = MemberOptions {
                        name: name.clone(),
                        group: group.clone(),
                        log: Box::new(|_| {}),
                    };
                    match rainstand_cluster::start(options).await {
                        Ok(group) => break group,
                        Err(error) => {
                            assert!(
                                error.to_string().contains("in use")
                                    && started_at.elapsed() < HANG_TIMEOUT,
                                "{error}"
                            )
                        }
                    }
                    tokio::task::yield_now().await;
                };
                while let Some(job) = job_queue.recv().await {
                    job(group.clone());
                }
            });
            drop((local, runtime));
            // The storage thread ends, and unlocks the folder, after its job queue is dropped.
            let started_at = Instant::now();
            while rainstand_storage::FolderDisk::open(Path::new(&folder)).is_err() {
                assert!(
                    started_at.elapsed() < HANG_TIMEOUT,
                    "the folder is still locked"
                );
                std::thread::yield_now();
            }
        });
        Self {
            jobs: Some(jobs),
            thread: Some(thread),
        }
    }

    /// Runs a job on the member's thread; the job sends its result to the returned receiver.
    pub fn run_job<T: Send + 'static>(
        &self,
        job: impl FnOnce(Rc<ClusterMember>, Sender<T>) + Send + 'static,
    ) -> Receiver<T> {
        let (sender, receiver) = channel();
        let job: Job = Box::new(move |group| job(group, sender));
        assert!(self.jobs.as_ref().unwrap().send(job).is_ok());
        receiver
    }

    /// Executes an operation; returns its first outcome, or `None` if the request timed out or was rejected.
    pub fn execute(
        &self,
        trace: u8,
        key: &str,
        operation: Operation,
        timeout: Duration,
    ) -> Option<ClaimOutcome> {
        let key = key.to_owned();
        let outcomes = self.run_job(move |group, sender: Sender<Option<ClaimOutcome>>| {
            let claim = group.inspect(|member| member.claim(&[trace; 16]));
            let command = Command {
                key: key.into_bytes().into(),
                claim,
                operation: Some(operation),
            };
            let reply_sender = sender.clone();
            if group
                .request(
                    command,
                    timeout,
                    Rc::new(move |outcome| drop(reply_sender.send(outcome))),
                )
                .is_none()
            {
                let _ = sender.send(None);
            }
        });
        outcomes
            .recv_timeout(HANG_TIMEOUT)
            .expect("no reply to the request")
    }

    /// Executes an operation, and repeats it until it has an outcome.
    pub fn execute_until_outcome(
        &self,
        trace: u8,
        key: &str,
        operation: &Operation,
    ) -> ClaimOutcome {
        let started_at = Instant::now();
        loop {
            if let Some(outcome) =
                self.execute(trace, key, operation.clone(), Duration::from_secs(2))
            {
                return outcome;
            }
            assert!(started_at.elapsed() < HANG_TIMEOUT, "no outcome for {key}");
        }
    }

    /// Reads the member's state on its thread.
    pub fn inspect<T: Send + 'static>(
        &self,
        read: impl FnOnce(&ClusterMember) -> T + Send + 'static,
    ) -> T {
        let results = self.run_job(move |group, sender| assert!(sender.send(read(&group)).is_ok()));
        results
            .recv_timeout(HANG_TIMEOUT)
            .expect("no result of the job")
    }

    pub fn led_shard_count(&self) -> usize {
        self.inspect(|group| group.inspect(|member| member.led_shard_count()))
    }
}

pub fn start_operation() -> Operation {
    Operation::Start(Start {
        fingerprint: 1,
        window_ns: 60_000_000_000,
    })
}

pub fn completed(result: &'static str) -> ClaimOutcome {
    ClaimOutcome::Completed(result.into())
}

pub struct TestCluster {
    _folder: tempfile::TempDir,
    pub group: schema::Group,
}

pub fn test_cluster(member_count: usize) -> TestCluster {
    let folder = tempfile::tempdir().unwrap();
    let listeners: Vec<_> = (0..member_count)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let member = |(index, listener): (usize, &std::net::TcpListener)| schema::GroupMember {
        name: format!("n{}", index + 1),
        site: String::new(),
        address: listener.local_addr().unwrap().to_string(),
        folder: folder
            .path()
            .join(format!("n{}", index + 1))
            .display()
            .to_string(),
    };
    let members = listeners.iter().enumerate().map(member).collect();
    let ms_in_ns = 1_000_000;
    let group = schema::Group {
        name: "test".into(),
        shards: 2,
        copies: 3,
        heartbeat_ns: 30 * ms_in_ns,
        election_least_ns: 150 * ms_in_ns,
        election_most_ns: 300 * ms_in_ns,
        commit_wait_ns: ms_in_ns / 2,
        keys: 1_000,
        moves: 2,
        testing: false,
        members,
        start_within_ns: 500 * ms_in_ns,
        come_back_ns: 100 * ms_in_ns,
    };
    TestCluster {
        _folder: folder,
        group,
    }
}

impl TestCluster {
    pub fn start_member(&self, name: &str) -> RunningMember {
        RunningMember::start(self.group.clone(), name)
    }

    pub fn folder(&self, index: usize) -> PathBuf {
        self.group.members[index].folder.clone().into()
    }

    pub fn wait_until_all_shards_led(&self, running: &[&RunningMember]) {
        let started_at = Instant::now();
        while running
            .iter()
            .map(|member| member.led_shard_count())
            .sum::<usize>()
            < self.group.shards as usize
        {
            assert!(
                started_at.elapsed() < HANG_TIMEOUT,
                "some shards have no leader"
            );
            std::thread::yield_now();
        }
    }
}
