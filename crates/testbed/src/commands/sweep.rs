//! `sweep`: runs a range of seeds concurrently, each in a separate process, so that a crash does not affect other runs.

use super::{parse_seeds, progress_bar, ScenarioOptions, MAX_JOBS};
use clap::Args;
use indicatif::ProgressBar;
use rainstand_testbed::run_identity::RunIdentity;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

#[derive(Args)]
pub(crate) struct Options {
    #[command(flatten)]
    scenario: ScenarioOptions,
    /// Such as 1..200, the last one not played
    #[arg(long)]
    seeds: String,
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Where results and the folders of failed seeds are kept
    #[arg(long, default_value = "rig-sweep")]
    out: PathBuf,
}

impl Options {
    /// Whether the sweep runs soaks instead of a file.
    fn is_soak(&self) -> bool {
        self.scenario.file == Path::new("soak")
    }

    /// Identity of the runs of this sweep.
    fn identity(&self) -> io::Result<RunIdentity> {
        let plant = self
            .scenario
            .plant
            .iter()
            .map(|bug| format!("planted {bug}"));
        let options: Vec<String> = plant.collect();
        let options = options.join(", ");
        let programs = self.scenario.programs.as_deref();
        if self.is_soak() {
            return RunIdentity::of_soak(self.scenario.seconds, programs, options);
        }
        RunIdentity::new(&self.scenario.read_rig()?, programs, options)
    }

    /// Path of a seed's folder.
    fn folder(&self, seed: u64) -> PathBuf {
        self.out.join(format!("seed-{seed}"))
    }
}

/// Results of all seeds; `results.jsonl` has one JSON line per seed.
#[derive(Default)]
struct Summary {
    seeds_run: usize,
    failed: Vec<u64>,
    kills: u64,
    requests: u64,
    served: u64,
    keys: u64,
}

impl Summary {
    fn add(&mut self, line: &Value) {
        let number = |value: &Value| value.as_u64().unwrap_or(0);
        self.seeds_run += 1;
        if line["good"] != Value::Bool(true) {
            self.failed.push(number(&line["seed"]));
        }
        let report = &line["report"];
        self.kills += number(&report["kills"]);
        self.requests += number(&report["tally"]["asked"]);
        self.served += number(&report["tally"]["answered"]);
        self.keys += number(&report["tally"]["keys"]);
    }

    fn print(&self, options: &Options) {
        println!(
            "{} seeds: {} failed, {} kills, {} tickets asked, {} answered, {} keys",
            self.seeds_run,
            self.failed.len(),
            self.kills,
            self.requests,
            self.served,
            self.keys
        );
        for seed in &self.failed {
            let folder = options.folder(*seed);
            println!("failed: seed {seed}, kept in {}", folder.display());
        }
    }
}

/// Results that are already in the results file.
#[derive(Default)]
struct EarlierResults {
    /// Results of runs with the same identity.
    summary: Summary,
    done: BTreeSet<u64>,
    /// Number of results for these seeds by each other identity.
    others: BTreeMap<String, usize>,
}

impl EarlierResults {
    /// Reads the results of `seeds`. Seeds with results of another rig, build or set of options are run again, because
    /// those results do not apply to this sweep.
    fn read(path: &Path, seeds: &Range<u64>, identity: &RunIdentity) -> io::Result<Self> {
        let mut earlier = Self::default();
        for line in lines_of(path)? {
            // An interrupt may have truncated the last line: its seed is run again.
            let Ok(line) = serde_json::from_str::<Value>(&line) else {
                continue;
            };
            let seed = line["seed"].as_u64().unwrap_or(0);
            if !seeds.contains(&seed) {
                continue;
            }
            let found = serde_json::from_value::<RunIdentity>(line["of"].clone()).ok();
            if found.as_ref() != Some(identity) {
                let name =
                    found.map_or("an unidentified run".to_owned(), |found| found.to_string());
                *earlier.others.entry(name).or_default() += 1;
            } else if earlier.done.insert(seed) {
                earlier.summary.add(&line);
            }
        }
        Ok(earlier)
    }
}

/// Lines of a file; none if the file does not exist.
fn lines_of(path: &Path) -> io::Result<Vec<String>> {
    match File::open(path) {
        Ok(file) => BufReader::new(file).lines().collect(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error),
    }
}

pub(crate) fn run(options: &Options) -> io::Result<bool> {
    let seeds = parse_seeds(&options.seeds)?;
    fs::create_dir_all(&options.out)?;
    let path = options.out.join("results.jsonl");
    let identity = options.identity()?;
    let earlier = EarlierResults::read(&path, &seeds, &identity)?;
    for (other, count) in &earlier.others {
        println!("not counted: {count} results of {other}");
    }
    let remaining: Vec<u64> = seeds.filter(|seed| !earlier.done.contains(seed)).collect();
    let sweep = Sweep {
        options,
        identity,
        program: std::env::current_exe()?,
        bar: progress_bar(remaining.len() as u64),
        remaining,
        next: AtomicUsize::new(0),
        results: Mutex::new(OpenOptions::new().create(true).append(true).open(&path)?),
        summary: Mutex::new(earlier.summary),
    };
    thread::scope(|scope| {
        for _ in 0..options.jobs.clamp(1, MAX_JOBS) {
            scope.spawn(|| sweep.run_seeds());
        }
    });
    sweep.bar.finish_and_clear();
    let mut summary = sweep.summary.into_inner().unwrap_or_default();
    summary.failed.sort_unstable();
    summary.print(options);
    Ok(summary.failed.is_empty())
}

/// State shared by the threads of a sweep.
struct Sweep<'o> {
    options: &'o Options,
    identity: RunIdentity,
    /// Path of the current executable.
    program: PathBuf,
    bar: ProgressBar,
    remaining: Vec<u64>,
    /// Index of the next seed.
    next: AtomicUsize,
    results: Mutex<File>,
    summary: Mutex<Summary>,
}

impl Sweep<'_> {
    /// Runs seeds until none is left or a result cannot be written.
    fn run_seeds(&self) {
        while let Some(seed) = self
            .remaining
            .get(self.next.fetch_add(1, Ordering::Relaxed))
        {
            let result = self.run_seed(*seed);
            let text = format!("{result}\n");
            let is_written = self
                .results
                .lock()
                .is_ok_and(|mut file| file.write_all(text.as_bytes()).is_ok());
            if let Ok(mut summary) = self.summary.lock() {
                summary.add(&result);
                let failed = summary.failed.len();
                self.bar.set_message(format!("{failed} failed"));
            }
            self.bar.inc(1);
            if !is_written {
                return;
            }
        }
    }

    /// Runs one seed in a separate process and returns its result; keeps the folder of a failed seed.
    fn run_seed(&self, seed: u64) -> Value {
        let folder = self.options.folder(seed);
        let _ = fs::remove_dir_all(&folder);
        let output = self.command(seed, &folder).stdin(Stdio::null()).output();
        let failure =
            |reason: &str| serde_json::json!({"seed": seed, "good": false, "why": reason});
        let mut result = match &output {
            Ok(output) => serde_json::from_slice(&output.stdout)
                .unwrap_or_else(|_| failure(String::from_utf8_lossy(&output.stderr).trim())),
            Err(error) => failure(&error.to_string()),
        };
        if result["good"] == Value::Bool(true) {
            let _ = fs::remove_dir_all(&folder);
        }
        result["of"] = serde_json::to_value(&self.identity).unwrap_or_default();
        result
    }

    /// Command that runs one seed and prints its result.
    fn command(&self, seed: u64, folder: &Path) -> Command {
        let scenario = &self.options.scenario;
        let mut command = Command::new(&self.program);
        if self.options.is_soak() {
            command.arg("soak");
        } else {
            command.arg("run").arg(&scenario.file);
        }
        command
            .args(["--seed", &seed.to_string(), "--json"])
            .arg("--keep")
            .arg(folder);
        for (flag, value) in [("--rig", &scenario.rig), ("--plant", &scenario.plant)] {
            if let Some(value) = value {
                command.args([flag, value]);
            }
        }
        if let Some(seconds) = scenario.seconds {
            command.args(["--seconds", &seconds.to_string()]);
        }
        if let Some(programs) = &scenario.programs {
            command.arg("--programs").arg(programs);
        }
        command
    }
}
