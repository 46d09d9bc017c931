//! Plays an experiment's variants and seeds side by side, each run on one thread. What is done is kept at once, so a
//! stopped experiment goes on where it was; a run that fails does not take the others with it.

use crate::plans::Variant;
use crate::results::{rows, Rows, Run};
use rainstand_config::schema::{self, Configuration, Experiment};
use rainstand_fleet_model::world;
use std::collections::{HashSet, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use xxhash_rust::xxh3::xxh3_64;

/// Finished runs, a line each.
pub const DONE: &str = "done.jsonl";
/// The experiment itself, as it was compiled.
pub const COMPILED: &str = "experiment.txtpb";

/// What tells one experiment from another: all that it is compiled from.
pub fn mark(configuration: &Configuration, experiment: &Experiment) -> String {
    format!(
        "{:016x}",
        xxh3_64(&schema::to_binary(&alone(configuration, experiment)))
    )
}

/// The configuration with this experiment alone, and without what experiments do not use.
pub fn alone(configuration: &Configuration, experiment: &Experiment) -> Configuration {
    Configuration {
        version: configuration.version,
        types: configuration.types.clone(),
        tenants: configuration.tenants.clone(),
        experiments: vec![experiment.clone()],
        ..Configuration::default()
    }
}

/// What is to be played.
pub struct Work<'w> {
    pub experiment: &'w str,
    pub of: String,
    pub variants: &'w [Variant],
    /// Seeds 1 to this.
    pub seeds: u64,
    pub threads: usize,
}

/// A run that came to nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    pub variant: String,
    pub seed: u64,
    pub why: String,
}

/// What came of it all.
#[derive(Debug, Default)]
pub struct Played {
    pub rows: Vec<Rows>,
    /// Taken over from a stopped run.
    pub before: usize,
    pub failed: Vec<Failed>,
    /// Not played, since somebody asked to stop.
    pub left: usize,
}

/// Runs that a folder holds already, of this very experiment. A line that a crash cut off is passed over.
///
/// # Errors
/// If the folder cannot be read.
pub fn done(folder: &Path, of: &str) -> Result<Vec<Rows>, String> {
    let path = folder.join(DONE);
    let file = match File::open(&path) {
        Ok(file) => file,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(format!("{}: {error}", path.display())),
    };
    let lines = BufReader::new(file).lines().map_while(Result::ok);
    let rows = lines.filter_map(|line| serde_json::from_str::<Rows>(&line).ok());
    Ok(rows.filter(|rows| rows.run.of == of).collect())
}

/// Plays what the folder does not hold yet. `told`: of each run as it ends, on the calling thread; `stop`: no further
/// run begins once it is set.
///
/// # Errors
/// If what was played cannot be kept.
pub fn play(
    work: &Work<'_>,
    folder: &Path,
    stop: &AtomicBool,
    mut told: impl FnMut(&Rows),
) -> Result<Played, String> {
    let mut played = Played {
        rows: done(folder, &work.of)?,
        ..Played::default()
    };
    played.before = played.rows.len();
    let known: HashSet<(i64, i64)> = played
        .rows
        .iter()
        .map(|rows| (rows.run.variant_number, rows.run.seed))
        .collect();
    // Seeds go round the variants, so that a stopped experiment has pairs.
    let all = (1..=work.seeds)
        .flat_map(|seed| (0..work.variants.len()).map(move |variant| (variant, seed)));
    let todo: VecDeque<(usize, u64)> = all
        .filter(|(variant, seed)| !known.contains(&(*variant as i64, *seed as i64)))
        .collect();
    let todo = Mutex::new(todo);
    let path = folder.join(DONE);
    let mut file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&path)
        .map_err(|e| format!("{}: {e}", path.display()))?;
    let (tell, hear) = channel();
    let mut trouble = None;
    std::thread::scope(|scope| {
        for _ in 0..work.threads.max(1) {
            let (tell, todo) = (tell.clone(), &todo);
            scope.spawn(move || loop {
                let next = if stop.load(Ordering::Relaxed) {
                    None
                } else {
                    todo.lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner)
                        .pop_front()
                };
                let Some((variant, seed)) = next else { return };
                let found = catch_unwind(AssertUnwindSafe(|| one(work, variant, seed)));
                let found =
                    found.unwrap_or_else(|_| Err("it ended in a panic; see standard error".into()));
                if tell.send((variant, seed, found)).is_err() {
                    return;
                }
            });
        }
        drop(tell);
        for (variant, seed, found) in hear {
            match found {
                Ok(rows) => {
                    told(&rows);
                    let line = serde_json::to_string(&rows).map_err(|e| e.to_string());
                    let kept =
                        line.and_then(|line| writeln!(file, "{line}").map_err(|e| e.to_string()));
                    if let Err(why) = kept {
                        stop.store(true, Ordering::Relaxed);
                        trouble.get_or_insert(format!("{}: {why}", path.display()));
                    }
                    played.rows.push(rows);
                }
                Err(why) => {
                    let variant = work.variants[variant].label.clone();
                    played.failed.push(Failed { variant, seed, why });
                }
            }
        }
    });
    played.left = todo
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .len();
    trouble.map_or(Ok(played), Err)
}

fn one(work: &Work<'_>, at: usize, seed: u64) -> Result<Rows, String> {
    let variant = &work.variants[at];
    let mut plan = variant.plan.clone();
    plan.seed = seed;
    let measured = world::run(&plan)?;
    let head = Run {
        experiment: work.experiment.to_owned(),
        of: work.of.clone(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        variant: variant.label.clone(),
        variant_number: at as i64,
        seed: seed as i64,
        ..Run::default()
    };
    let types = plan.types.iter().map(|one| one.name.clone());
    let tenants = plan.tenants.iter().map(|one| one.name.clone());
    Ok(rows(&measured, head, types, tenants))
}
