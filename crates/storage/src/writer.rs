//! The thread that writes and flushes, for a program that may not wait for a disk.
//!
//! Jobs are taken in order; those that come within the commit wait go to the disk with one flush. Each is told to be
//! done, or that the disk failed, through a function that the program gives: it wakes the program's own loop.

use crate::disk::Disk;
use crate::record::Record;
use crate::store::Store;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Jobs that one flush takes at most: it bounds the time for which the first of them waits.
const MAX_BATCH_JOBS: usize = 4_096;

/// What is to be written. Numbers go up.
#[derive(Debug)]
pub enum WriteJob {
    Write {
        number: u64,
        records: Vec<Record>,
    },
    InstallSnapshot {
        number: u64,
        shard: u16,
        index: u64,
        data: Vec<u8>,
        alone: bool,
    },
}

/// What became of jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All up to this number are durable; shards that should be saved, as the log is over its bound.
    Durable { to: u64, pressing: Vec<u16> },
    /// Nothing more is written, and what was on its way may be there or not.
    Failed(String),
}

/// The program's end.
pub struct Writer {
    jobs: Option<Sender<WriteJob>>,
    waiting: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// `open` makes the store on the thread itself. `tell` is called there, once for each flush.
    pub fn start<D: Disk + 'static>(
        open: impl FnOnce() -> Store<D> + Send + 'static,
        wait: Duration,
        tell: impl Fn(WriteOutcome) + Send + 'static,
    ) -> Self {
        let (jobs, taken) = channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let left = waiting.clone();
        let thread = std::thread::spawn(move || write(open(), &taken, wait, &left, tell));
        Self {
            jobs: Some(jobs),
            waiting,
            thread: Some(thread),
        }
    }

    /// Jobs not yet durable: whoever gives jobs keeps this within its bound.
    pub fn pending_jobs(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    pub fn submit(&self, job: WriteJob) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if let Some(jobs) = &self.jobs {
            // A thread that is gone has told so.
            let _ = jobs.send(job);
        }
    }

    /// Waits until all that was given is written.
    pub fn shut_down(mut self) {
        self.jobs.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write<D: Disk>(
    mut store: Store<D>,
    jobs: &Receiver<WriteJob>,
    wait: Duration,
    waiting: &AtomicUsize,
    tell: impl Fn(WriteOutcome),
) {
    while let Ok(first) = jobs.recv() {
        let until = Instant::now() + wait;
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_JOBS {
            match jobs.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(job) => batch.push(job),
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
            }
        }
        let (count, mut to, mut failed) = (batch.len(), 0, None);
        for job in batch {
            match job {
                WriteJob::Write { number, records } => {
                    records.iter().for_each(|record| store.append(record));
                    to = number;
                }
                WriteJob::InstallSnapshot {
                    number,
                    shard,
                    index,
                    data,
                    alone,
                } => {
                    failed = failed.or(store.install_snapshot(shard, index, &data, alone).err());
                    to = number;
                }
            }
        }
        failed = failed.or(store.flush().err());
        waiting.fetch_sub(count, Ordering::Relaxed);
        match failed {
            None => tell(WriteOutcome::Durable {
                to,
                pressing: store.needs_compaction(),
            }),
            Some(why) => {
                tell(WriteOutcome::Failed(why.to_string()));
                return;
            }
        }
    }
}
