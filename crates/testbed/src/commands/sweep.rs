//! `sweep`: a range of seeds, several runs side by side, each a process of its own so that none can take the others along.

use super::{parse_seeds, progress_bar, PlayOptions, MAX_JOBS};
use clap::Args;
use indicatif::ProgressBar;
use rainstand_testbed::play_identity::PlayIdentity;
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
    play: PlayOptions,
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
    /// Whether soaks are played in place of a file.
    fn is_soak(&self) -> bool {
        self.play.file == Path::new("soak")
    }

    /// What the results of this sweep are of.
    fn identity(&self) -> io::Result<PlayIdentity> {
        let plant = self.play.plant.iter().map(|bug| format!("planted {bug}"));
        let options: Vec<String> = plant.collect();
        let options = options.join(", ");
        let programs = self.play.programs.as_deref();
        if self.is_soak() {
            return PlayIdentity::of_soak(self.play.seconds, programs, options);
        }
        PlayIdentity::new(&self.play.read_rig()?, programs, options)
    }

    /// Where the folder of a seed is.
    fn folder(&self, seed: u64) -> PathBuf {
        self.out.join(format!("seed-{seed}"))
    }
}

/// What all seeds came to; one line of JSON a seed stands in `results.jsonl`.
#[derive(Default)]
struct Summary {
    played: usize,
    failed: Vec<u64>,
    kills: u64,
    requests: u64,
    served: u64,
    keys: u64,
}

impl Summary {
    fn add(&mut self, line: &Value) {
        let number = |of: &Value| of.as_u64().unwrap_or(0);
        self.played += 1;
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
            self.played,
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

/// What a file of results holds already.
#[derive(Default)]
struct EarlierResults {
    /// Results of the same play.
    summary: Summary,
    done: BTreeSet<u64>,
    /// How many results of these seeds there are of each other play.
    others: BTreeMap<String, usize>,
}

impl EarlierResults {
    /// Seeds of another rig, build or set of options are played: their results say nothing of this one.
    fn read(path: &Path, seeds: &Range<u64>, identity: &PlayIdentity) -> io::Result<Self> {
        let mut earlier = Self::default();
        for line in lines_of(path)? {
            // The last line may have been cut by an interrupt: its seed is played again.
            let Ok(line) = serde_json::from_str::<Value>(&line) else {
                continue;
            };
            let seed = line["seed"].as_u64().unwrap_or(0);
            if !seeds.contains(&seed) {
                continue;
            }
            let of = serde_json::from_value::<PlayIdentity>(line["of"].clone()).ok();
            if of.as_ref() != Some(identity) {
                let name = of.map_or("no named play".to_owned(), |of| of.to_string());
                *earlier.others.entry(name).or_default() += 1;
            } else if earlier.done.insert(seed) {
                earlier.summary.add(&line);
            }
        }
        Ok(earlier)
    }
}

/// Lines of a file; none if it is not there.
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
    let left: Vec<u64> = seeds.filter(|seed| !earlier.done.contains(seed)).collect();
    let sweep = Sweep {
        options,
        identity,
        program: std::env::current_exe()?,
        bar: progress_bar(left.len() as u64),
        left,
        next: AtomicUsize::new(0),
        results: Mutex::new(OpenOptions::new().create(true).append(true).open(&path)?),
        summary: Mutex::new(earlier.summary),
    };
    thread::scope(|scope| {
        for _ in 0..options.jobs.clamp(1, MAX_JOBS) {
            scope.spawn(|| sweep.play_seeds());
        }
    });
    sweep.bar.finish_and_clear();
    let mut summary = sweep.summary.into_inner().unwrap_or_default();
    summary.failed.sort_unstable();
    summary.print(options);
    Ok(summary.failed.is_empty())
}

/// What the threads of a sweep share.
struct Sweep<'o> {
    options: &'o Options,
    identity: PlayIdentity,
    /// This program.
    program: PathBuf,
    bar: ProgressBar,
    left: Vec<u64>,
    /// Index of the next seed.
    next: AtomicUsize,
    results: Mutex<File>,
    summary: Mutex<Summary>,
}

impl Sweep<'_> {
    /// Plays seeds until none is left, or a result cannot be written.
    fn play_seeds(&self) {
        while let Some(seed) = self.left.get(self.next.fetch_add(1, Ordering::Relaxed)) {
            let result = self.play(*seed);
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

    /// One seed in a process of its own; its folder is kept if it failed.
    fn play(&self, seed: u64) -> Value {
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

    /// The command that plays one seed, and prints its result.
    fn command(&self, seed: u64, folder: &Path) -> Command {
        let play = &self.options.play;
        let mut command = Command::new(&self.program);
        if self.options.is_soak() {
            command.arg("soak");
        } else {
            command.arg("run").arg(&play.file);
        }
        command
            .args(["--seed", &seed.to_string(), "--json"])
            .arg("--keep")
            .arg(folder);
        for (flag, value) in [("--rig", &play.rig), ("--plant", &play.plant)] {
            if let Some(value) = value {
                command.args([flag, value]);
            }
        }
        if let Some(seconds) = play.seconds {
            command.args(["--seconds", &seconds.to_string()]);
        }
        if let Some(programs) = &play.programs {
            command.arg("--programs").arg(programs);
        }
        command
    }
}
