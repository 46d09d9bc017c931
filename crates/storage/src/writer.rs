//! A thread that writes and flushes, for a program that must not block on a disk.
//!
//! Jobs run in order. Those that arrive within the batch delay of the first one share its flush. The outcome of each
//! flush is reported through a callback, which wakes the program's event loop.

use crate::disk::Disk;
use crate::record::{LogSuffix, Record};
use crate::store::Store;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of jobs in one flush, which limits how long the first of them waits.
const MAX_BATCH_JOBS: usize = 4_096;

/// A write. Job numbers never decrease.
#[derive(Debug)]
pub enum WriteJob {
    /// Append records.
    Write {
        /// Number of the job.
        number: u64,
        /// Records to append, in order.
        records: Vec<Record>,
    },
    /// Install a snapshot: see [`Store::install_snapshot`].
    InstallSnapshot {
        /// Number of the job.
        number: u64,
        /// The shard.
        shard: u16,
        /// Index of the last entry in the snapshot.
        index: u64,
        /// The snapshot.
        data: Vec<u8>,
        /// How to treat the entries after it.
        suffix: LogSuffix,
    },
}

impl WriteJob {
    fn number(&self) -> u64 {
        match self {
            WriteJob::Write { number, .. } | WriteJob::InstallSnapshot { number, .. } => *number,
        }
    }
}

/// The outcome of one flush.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All jobs up to a number are durable.
    Durable {
        /// Number of the last durable job.
        up_to: u64,
        /// Shards that should be snapshotted: see [`Store::needs_compaction`].
        needs_compaction: Vec<u16>,
    },
    /// The disk failed, with this error. Nothing more is written; jobs that were not reported as durable may or may not
    /// be on the disk.
    Failed(String),
}

/// Submits jobs to the writer thread.
pub struct Writer {
    jobs: Option<Sender<WriteJob>>,
    pending_jobs: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `open` runs on it and returns the store; `on_flushed` runs on it after each flush, and is not
    /// called again after a failure. A flush waits `batch_delay` for more jobs.
    pub fn start<D: Disk + 'static>(
        open: impl FnOnce() -> Store<D> + Send + 'static,
        batch_delay: Duration,
        on_flushed: impl Fn(WriteOutcome) + Send + 'static,
    ) -> Self {
        let (sender, jobs) = channel();
        let pending_jobs = Arc::new(AtomicUsize::new(0));
        let pending_in_thread = pending_jobs.clone();
        let thread = std::thread::spawn(move || {
            write_batches(open(), &jobs, batch_delay, &pending_in_thread, on_flushed);
        });
        Self {
            jobs: Some(sender),
            pending_jobs,
            thread: Some(thread),
        }
    }

    /// Number of jobs that are not durable yet. The caller must limit it: the queue itself is unbounded.
    pub fn pending_jobs(&self) -> usize {
        self.pending_jobs.load(Ordering::Relaxed)
    }

    /// Submits a job without blocking. After a failure jobs are dropped.
    pub fn submit(&self, job: WriteJob) {
        self.pending_jobs.fetch_add(1, Ordering::Relaxed);
        if let Some(jobs) = &self.jobs {
            // Sending fails only after the thread has ended, and it has reported its failure.
            let _ = jobs.send(job);
        }
    }

    /// Blocks until all submitted jobs are done and the thread has ended.
    pub fn shut_down(mut self) {
        self.jobs.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Main loop of the thread: ends when the [`Writer`] is dropped, or after a failure.
fn write_batches<D: Disk>(
    mut store: Store<D>,
    jobs: &Receiver<WriteJob>,
    batch_delay: Duration,
    pending_jobs: &AtomicUsize,
    on_flushed: impl Fn(WriteOutcome),
) {
    while let Ok(first) = jobs.recv() {
        let batch = collect_batch(first, jobs, batch_delay);
        let batch_len = batch.len();
        let up_to = batch.last().map_or(0, WriteJob::number);
        let result = write_batch(&mut store, batch);
        pending_jobs.fetch_sub(batch_len, Ordering::Relaxed);
        if let Err(error) = result {
            on_flushed(WriteOutcome::Failed(error.to_string()));
            return;
        }
        on_flushed(WriteOutcome::Durable {
            up_to,
            needs_compaction: store.needs_compaction(),
        });
    }
}

fn collect_batch(
    first: WriteJob,
    jobs: &Receiver<WriteJob>,
    batch_delay: Duration,
) -> Vec<WriteJob> {
    let deadline = Instant::now() + batch_delay;
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH_JOBS {
        match jobs.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            Ok(job) => batch.push(job),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
        }
    }
    batch
}

/// Runs all jobs of a batch and flushes; returns the first error.
fn write_batch<D: Disk>(store: &mut Store<D>, batch: Vec<WriteJob>) -> io::Result<()> {
    let mut result = Ok(());
    for job in batch {
        match job {
            WriteJob::Write { records, .. } => {
                for record in &records {
                    store.append(record);
                }
            }
            WriteJob::InstallSnapshot {
                shard,
                index,
                data,
                suffix,
                ..
            } => {
                let installed = store.install_snapshot(shard, index, &data, suffix);
                result = result.and(installed);
            }
        }
    }
    let flushed = store.flush();
    result.and(flushed)
}
