//! The thread that writes and flushes, for a program that may not block on a disk.
//!
//! Jobs are carried out in order. Those that arrive within the batch delay of the first one share its flush. The outcome
//! of each flush is reported through a callback, which wakes the program's own loop.

use crate::disk::Disk;
use crate::record::{LogSuffix, Record};
use crate::store::Store;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Bound on the jobs of one flush, and so on how long the first of them waits.
const MAX_BATCH_JOBS: usize = 4_096;

/// A write. The numbers of consecutive jobs never go down.
#[derive(Debug)]
pub enum WriteJob {
    /// Append records.
    Write {
        /// Number of the job.
        number: u64,
        /// To be appended in this order.
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
        /// What becomes of the entries behind it.
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
        /// Number of the last of them.
        up_to: u64,
        /// Shards that should be snapshotted: see [`Store::needs_compaction`].
        needs_compaction: Vec<u16>,
    },
    /// The disk failed, for this reason. Nothing more is written; jobs that were not reported as durable may be on the
    /// disk or not.
    Failed(String),
}

/// Hands jobs to the thread.
pub struct Writer {
    jobs: Option<Sender<WriteJob>>,
    pending_jobs: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `open` runs on it and makes the store; `on_flushed` runs on it after each flush, and no more
    /// after a failure. A flush waits `batch_delay` for further jobs.
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

    /// Number of jobs that are not durable yet. The caller bounds it: the queue itself is unbounded.
    pub fn pending_jobs(&self) -> usize {
        self.pending_jobs.load(Ordering::Relaxed)
    }

    /// Hands a job to the thread, without blocking. After a failure it is dropped.
    pub fn submit(&self, job: WriteJob) {
        self.pending_jobs.fetch_add(1, Ordering::Relaxed);
        if let Some(jobs) = &self.jobs {
            // A thread that ended has reported its failure.
            let _ = jobs.send(job);
        }
    }

    /// Blocks until all submitted jobs are carried out and the thread has ended.
    pub fn shut_down(mut self) {
        self.jobs.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The thread: ends when the [`Writer`] is gone, or after a failure.
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

/// Carries out all jobs of a batch and flushes; returns the first error.
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
