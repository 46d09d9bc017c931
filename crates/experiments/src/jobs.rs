//! Runs an experiment's variants and seeds in parallel, each run on one thread.
//!
//! Each finished run is stored immediately, so a stopped experiment resumes where it was. A run that fails or panics
//! does not affect the others.

use crate::error::ExperimentError;
use crate::plans::Variant;
use crate::results::{Rows, Run};
use rainstand_config::schema::{self, Configuration, Experiment};
use rainstand_fleet_model::world;
use std::collections::{HashSet, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Mutex, MutexGuard, PoisonError};
use xxhash_rust::xxh3::xxh3_64;

/// File name of the finished runs, one per line.
pub const DONE: &str = "done.jsonl";
/// File name of the compiled experiment.
pub const COMPILED: &str = "experiment.txtpb";

/// A hash of everything an experiment is compiled from, in hexadecimal; it identifies the experiment.
pub fn fingerprint(configuration: &Configuration, experiment: &Experiment) -> String {
    let compiled = schema::to_binary(&isolated(configuration, experiment));
    format!("{:016x}", xxh3_64(&compiled))
}

/// The configuration with this experiment only, and without everything that experiments do not use.
pub fn isolated(configuration: &Configuration, experiment: &Experiment) -> Configuration {
    Configuration {
        version: configuration.version,
        types: configuration.types.clone(),
        tenants: configuration.tenants.clone(),
        experiments: vec![experiment.clone()],
        ..Configuration::default()
    }
}

/// The runs of an experiment.
pub struct Work<'w> {
    /// Name of the experiment.
    pub experiment: &'w str,
    /// Its [`fingerprint`].
    pub fingerprint: String,
    /// Its variants, see [`crate::plans::variants`].
    pub variants: &'w [Variant],
    /// Seeds 1 to this are run.
    pub seeds: u64,
    /// Number of concurrent runs; 0 counts as 1.
    pub threads: usize,
}

/// A run that ended without a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedRun {
    /// Label of its variant.
    pub variant: String,
    /// Its seed.
    pub seed: u64,
    /// The error message.
    pub reason: String,
}

/// The outcome of all runs.
#[derive(Debug, Default)]
pub struct Played {
    /// Finished runs, earlier ones included, in the order in which they ended.
    pub rows: Vec<Rows>,
    /// How many of them were finished by an earlier call that was stopped.
    pub resumed: usize,
    /// Runs without a result.
    pub failed: Vec<FailedRun>,
    /// Runs that had not started before the stop.
    pub remaining: usize,
}

/// Identifies a run of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RunId {
    variant: usize,
    seed: u64,
}

/// The report of a thread on a run.
struct FinishedRun {
    id: RunId,
    outcome: Result<Rows, String>,
}

/// Reads the finished runs of this experiment from a folder. A line that was truncated by a crash is skipped.
///
/// # Errors
/// If the folder cannot be read.
pub fn finished_runs(folder: &Path, fingerprint: &str) -> Result<Vec<Rows>, ExperimentError> {
    let path = folder.join(DONE);
    let file = match File::open(&path) {
        Ok(file) => file,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(ExperimentError::file(&path, error)),
    };
    let lines = BufReader::new(file).lines().map_while(Result::ok);
    let rows = lines.filter_map(|line| serde_json::from_str::<Rows>(&line).ok());
    Ok(rows.filter(|rows| rows.run.of == fingerprint).collect())
}

/// Executes the runs that are not in the folder yet. `on_finished` is called with each run as it ends, on the calling
/// thread; once `stop` is set no further run starts.
///
/// # Errors
/// If the folder cannot be read, or a finished run cannot be stored.
pub fn play(
    work: &Work<'_>,
    folder: &Path,
    stop: &AtomicBool,
    mut on_finished: impl FnMut(&Rows),
) -> Result<Played, ExperimentError> {
    let rows = finished_runs(folder, &work.fingerprint)?;
    let mut store = RunStore::open(folder.join(DONE))?;
    let queue = Mutex::new(pending_runs(work, &rows));
    let mut played = Played {
        resumed: rows.len(),
        rows,
        ..Played::default()
    };
    let mut store_error = None;
    let (sender, receiver) = channel();
    std::thread::scope(|scope| {
        for _ in 0..work.threads.max(1) {
            let (sender, queue) = (sender.clone(), &queue);
            scope.spawn(move || execute_queue(work, queue, stop, &sender));
        }
        // The receiver ends when the last thread drops its sender.
        drop(sender);
        for FinishedRun { id, outcome } in receiver {
            match outcome {
                Ok(rows) => {
                    on_finished(&rows);
                    if let Err(error) = store.append(&rows) {
                        stop.store(true, Ordering::Relaxed);
                        store_error.get_or_insert(error);
                    }
                    played.rows.push(rows);
                }
                Err(reason) => played.failed.push(FailedRun {
                    variant: work.variants[id.variant].label.clone(),
                    seed: id.seed,
                    reason,
                }),
            }
        }
    });
    played.remaining = lock(&queue).len();
    store_error.map_or(Ok(played), Err)
}

/// The file of finished runs.
struct RunStore {
    path: PathBuf,
    file: File,
}

impl RunStore {
    fn open(path: PathBuf) -> Result<Self, ExperimentError> {
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let file = file.map_err(|error| ExperimentError::file(&path, error))?;
        Ok(Self { path, file })
    }

    fn append(&mut self, rows: &Rows) -> Result<(), ExperimentError> {
        let line = serde_json::to_string(rows).map_err(|source| ExperimentError::Json {
            path: self.path.clone(),
            source,
        })?;
        writeln!(self.file, "{line}").map_err(|error| ExperimentError::file(&self.path, error))
    }
}

/// Runs that are not finished yet, ordered by seed, then variant, so that a stopped experiment has pairs to compare.
fn pending_runs(work: &Work<'_>, finished: &[Rows]) -> VecDeque<RunId> {
    let finished: HashSet<RunId> = finished
        .iter()
        .map(|rows| RunId {
            variant: rows.run.variant_number as usize,
            seed: rows.run.seed as u64,
        })
        .collect();
    (1..=work.seeds)
        .flat_map(|seed| (0..work.variants.len()).map(move |variant| RunId { variant, seed }))
        .filter(|id| !finished.contains(id))
        .collect()
}

fn lock(queue: &Mutex<VecDeque<RunId>>) -> MutexGuard<'_, VecDeque<RunId>> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Executes runs of the queue, on one thread, until it is empty or `stop` is set.
fn execute_queue(
    work: &Work<'_>,
    queue: &Mutex<VecDeque<RunId>>,
    stop: &AtomicBool,
    finished: &Sender<FinishedRun>,
) {
    while !stop.load(Ordering::Relaxed) {
        let Some(id) = lock(queue).pop_front() else {
            return;
        };
        let outcome = catch_unwind(AssertUnwindSafe(|| execute_run(work, id)))
            .unwrap_or_else(|_| Err("the run panicked; see standard error".into()));
        if finished.send(FinishedRun { id, outcome }).is_err() {
            return;
        }
    }
}

fn execute_run(work: &Work<'_>, id: RunId) -> Result<Rows, String> {
    let variant = &work.variants[id.variant];
    let mut plan = variant.plan.clone();
    plan.seed = id.seed;
    let measured = world::run(&plan)?;
    let head = Run {
        experiment: work.experiment.to_owned(),
        of: work.fingerprint.clone(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        variant: variant.label.clone(),
        variant_number: id.variant as i64,
        seed: id.seed as i64,
        ..Run::default()
    };
    let classes = plan.types.iter().map(|class| class.name.clone());
    let tenants = plan.tenants.iter().map(|tenant| tenant.name.clone());
    Ok(Rows::new(&measured, head, classes, tenants))
}
