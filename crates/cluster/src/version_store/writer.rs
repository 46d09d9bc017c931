//! A thread that stores versions, so that a slow disk does not delay requests.
//!
//! Writes are carried out in order. At most one update and one checkpoint are queued: a subscriber has one pending
//! update, and no checkpoint is made while it has one.

use super::format::LoggedUpdate;
use super::store::{StoreError, VersionStore};
use crate::attachment::AttachmentPhase;
use rainstand_config_distribution::snapshot::DecodedSnapshot;
use rainstand_config_distribution::subscriber::Subscriber;
use rainstand_storage::FolderDisk;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Minimum time between two checkpoints while attached: each compresses a complete version.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(10);

/// What is to be written.
struct WriteJob {
    /// Written first: a checkpoint of the version in force.
    checkpoint: Option<DecodedSnapshot>,
    /// Appended to the log.
    update: Option<LoggedUpdate>,
    done: oneshot::Sender<Result<WriteReport, StoreError>>,
}

/// The state of the files after a successful write.
#[derive(Clone, Copy, Debug)]
struct WriteReport {
    needs_checkpoint: bool,
}

/// Stores the versions of one subscriber in a folder.
pub struct VersionWriter {
    jobs: Sender<WriteJob>,
    /// Whether the next update must come with a checkpoint.
    needs_checkpoint: Rc<Cell<bool>>,
    /// The version of the last checkpoint that was requested, or that the process started with.
    checkpoint_version: u64,
    checkpoint_at: Option<Instant>,
}

impl VersionWriter {
    /// Starts the thread for a folder, which is created if needed. `stored_version` is the version that was recovered
    /// from it. A folder that cannot be used makes each write fail.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(folder: PathBuf, stored_version: u64) -> io::Result<Self> {
        let (jobs, received) = channel();
        thread::Builder::new()
            .name("versions".into())
            .spawn(move || run_jobs(&folder, &received))?;
        Ok(Self {
            jobs,
            needs_checkpoint: Rc::new(Cell::new(true)),
            checkpoint_version: stored_version,
            checkpoint_at: None,
        })
    }

    /// Stores the subscriber's pending update; completes when it is durable.
    pub fn store(
        &mut self,
        subscriber: &Subscriber,
    ) -> impl Future<Output = Result<(), StoreError>> + use<> {
        let update = subscriber
            .pending()
            .map(|pending| LoggedUpdate::new(subscriber.version(), pending));
        let checkpoint = self
            .needs_checkpoint
            .get()
            .then(|| self.checkpoint_of(subscriber));
        self.submit(checkpoint, update)
    }

    /// Makes a checkpoint of the version in force if there is a new one: at most once per [`CHECKPOINT_INTERVAL`] while
    /// attached, and when the attachment is lost. Returns its completion if one was begun.
    pub fn checkpoint_if_due(
        &mut self,
        subscriber: &Subscriber,
        phase: AttachmentPhase,
    ) -> Option<impl Future<Output = Result<(), StoreError>> + use<>> {
        let is_early = phase == AttachmentPhase::Linked
            && self
                .checkpoint_at
                .is_some_and(|at| at.elapsed() < CHECKPOINT_INTERVAL);
        let is_stored = subscriber.version() == self.checkpoint_version;
        // A pending update may be in the log already, which a checkpoint removes.
        if is_stored || is_early || subscriber.pending().is_some() {
            return None;
        }
        let checkpoint = self.checkpoint_of(subscriber);
        Some(self.submit(Some(checkpoint), None))
    }

    fn checkpoint_of(&mut self, subscriber: &Subscriber) -> DecodedSnapshot {
        self.checkpoint_version = subscriber.version();
        self.checkpoint_at = Some(Instant::now());
        DecodedSnapshot {
            version: subscriber.version(),
            state: subscriber.state().clone(),
        }
    }

    fn submit(
        &self,
        checkpoint: Option<DecodedSnapshot>,
        update: Option<LoggedUpdate>,
    ) -> impl Future<Output = Result<(), StoreError>> + use<> {
        let (done, written) = oneshot::channel();
        let job = WriteJob {
            checkpoint,
            update,
            done,
        };
        let is_submitted = self.jobs.send(job).is_ok();
        let needs_checkpoint = self.needs_checkpoint.clone();
        async move {
            let result = if is_submitted {
                written.await.unwrap_or(Err(StoreError::WriterEnded))
            } else {
                Err(StoreError::WriterEnded)
            };
            // After an error the end of the log is unknown.
            needs_checkpoint.set(
                result
                    .as_ref()
                    .map_or(true, |report| report.needs_checkpoint),
            );
            result.map(drop)
        }
    }
}

/// Carries out jobs until the writer is dropped. The folder is opened, and its lock held, from the first job on.
fn run_jobs(folder: &Path, jobs: &Receiver<WriteJob>) {
    let mut store = None;
    while let Ok(job) = jobs.recv() {
        let result = write(&mut store, folder, &job);
        if result.is_err() {
            store = None;
        }
        // Nobody waits for it if the attachment has ended.
        let _ = job.done.send(result);
    }
}

fn write(
    store: &mut Option<VersionStore<FolderDisk>>,
    folder: &Path,
    job: &WriteJob,
) -> Result<WriteReport, StoreError> {
    let store = match store {
        Some(store) => store,
        None => store.insert(VersionStore::new(FolderDisk::open(folder)?)),
    };
    if let Some(in_force) = &job.checkpoint {
        store.checkpoint(in_force)?;
    }
    if let Some(update) = &job.update {
        store.append(update)?;
    }
    Ok(WriteReport {
        needs_checkpoint: store.needs_checkpoint(),
    })
}
