//! `rainstand-testbed`: runs several processes of the program under faults and says whether the rules held.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

mod sweep;

use clap::{Args, Parser, Subcommand};
use rainstand_config::schema::Rig;
use rainstand_config::source::Disk;
use rainstand_testbed::check::{check, Break, Tally, Verdict};
use rainstand_testbed::fault_schedule::{schedule, Step};
use rainstand_testbed::history::{self, Unreadable};
use rainstand_testbed::peers::{agent, caller};
use rainstand_testbed::play_identity::PlayIdentity;
use rainstand_testbed::ready;
use rainstand_testbed::scale;
use rainstand_testbed::scenario::{play, Place, Report};
use rainstand_testbed::shrink::shrink;
use rainstand_testbed::simulation::World;
use rainstand_testbed::soak::{self, SoakOptions};
use serde::{de::DeserializeOwned, Serialize};
use serde_json::{json, Value};
use std::fs::{self, File};
use std::future::Future;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::LocalSet;

const EXAMPLES: &str = "\
Examples:
  rainstand-testbed run experiments/rig/halves.rain --seed 7
  rainstand-testbed check history.jsonl --json
  rainstand-testbed scale --quick --nodes 200 --routes 1800 --tenants 7000
  rainstand-testbed sweep experiments/rig/everything.rain --seeds 1..200 --jobs 2

Exit codes: 0 clean, 1 a rule broke or a process fell over, 2 wrong use or what cannot be read or set up.";

#[derive(Parser)]
#[command(
    name = "rainstand-testbed",
    version,
    about = "Processes of rainstand on loopback, and the faults between them"
)]
#[command(after_help = EXAMPLES)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// What plays a run.
#[derive(Args, Clone)]
pub struct Play {
    /// A `.rain` file with a `rig` block; for `sweep` also `soak`
    file: PathBuf,
    /// The block's name, where the file has several
    #[arg(long)]
    rig: Option<String>,
    /// How long callers ask, in seconds, in place of the block's `lasts`
    #[arg(long)]
    seconds: Option<u64>,
    /// Where the programs lie, if not beside this one
    #[arg(long)]
    programs: Option<PathBuf>,
    /// A bug by name, in nodes that were built with the feature `planted`
    #[arg(long)]
    plant: Option<String>,
}

impl Play {
    /// Whether soaks are played in place of a file.
    fn is_soak(&self) -> bool {
        self.file == Path::new("soak")
    }

    /// What the results of this play are of.
    fn identity(&self) -> io::Result<PlayIdentity> {
        let plant = self.plant.iter().map(|bug| format!("planted {bug}"));
        let options: Vec<String> = plant.collect();
        let options = options.join(", ");
        let programs = self.programs.as_deref();
        if self.is_soak() {
            return PlayIdentity::of_soak(self.seconds, programs, options);
        }
        PlayIdentity::new(&read(self)?, programs, options)
    }
}

#[derive(Subcommand)]
enum Command {
    /// Play one run
    Run {
        #[command(flatten)]
        play: Play,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where the history is written
        #[arg(long)]
        history: Option<PathBuf>,
        /// Keep the run's folder here: configurations, logs, disks
        #[arg(long)]
        keep: Option<PathBuf>,
        /// The report and the schedule as one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Check a history, whoever wrote it
    Check {
        /// The file, or `-` for standard input
        history: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Play a range of seeds, several side by side; goes on where it was interrupted
    Sweep {
        #[command(flatten)]
        play: Play,
        /// Such as 1..200, the last one not played
        #[arg(long)]
        seeds: String,
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Where results and the folders of failed seeds are kept
        #[arg(long, default_value = "rig-sweep")]
        out: PathBuf,
    },
    /// Use a node and control machines until their kill, with signals in series; `sweep soak` plays a range of seeds
    Soak {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How long the node serves before its drain, in seconds
        #[arg(long, default_value_t = 2)]
        seconds: u64,
        /// Where the programs lie, if not beside this one
        #[arg(long)]
        programs: Option<PathBuf>,
        /// A bug by name, in programs that were built with the feature `planted`
        #[arg(long)]
        plant: Option<String>,
        /// Keep the run's folder here: configurations, logs, histories
        #[arg(long)]
        keep: Option<PathBuf>,
        /// The report as one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Make the schedule of a failing seed smaller
    Shrink {
        #[command(flatten)]
        play: Play,
        #[arg(long)]
        seed: u64,
        /// Plays of each smaller schedule before it counts as passing
        #[arg(long, default_value_t = 3)]
        tries: usize,
        /// Plays in all
        #[arg(long, default_value_t = 60)]
        most: usize,
    },
    /// Groups on a virtual clock under faults of all kinds; a seed replays to the byte
    Sim {
        /// Such as 0..10000, the last one not played
        #[arg(long, default_value = "0..200")]
        seeds: String,
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        #[arg(long, default_value_t = 5)]
        nodes: usize,
        #[arg(long, default_value_t = 3)]
        copies: usize,
        #[arg(long, default_value_t = 2)]
        shards: u16,
        /// Faults of one run
        #[arg(long, default_value_t = 14)]
        faults: usize,
        /// Where the history of the first failed seed is written
        #[arg(long)]
        history: Option<PathBuf>,
        /// What happens, to standard error
        #[arg(long)]
        trace: bool,
        /// A bug by name, if this program was built with the feature `planted`; stops at the seed that finds it
        #[arg(long)]
        plant: Option<String>,
    },
    /// Restart many processes at once, and tell how long each takes until it is ready
    Ready {
        #[command(flatten)]
        options: ready::Options,
        /// Keep the run's folder here: configurations, logs, disks
        #[arg(long)]
        keep: Option<PathBuf>,
        /// The report as one JSON object
        #[arg(long)]
        json: bool,
    },
    /// What the program costs by size, measured on this machine and worked out at a size
    Scale(scale::table::Options),
    /// A stand-in agent; started by `run`
    #[command(hide = true)]
    Agent { options: String },
    /// A caller; started by `run`
    #[command(hide = true)]
    Caller { options: String },
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Run {
            play,
            seed,
            history,
            keep,
            json,
        } => run(&play, seed, history.as_deref(), keep, json),
        Command::Check { history, json } => check_file(&history, json),
        Command::Sweep {
            play,
            seeds,
            jobs,
            out,
        } => sweep::sweep(&play, &seeds, jobs, &out),
        Command::Soak {
            seed,
            seconds,
            programs,
            plant,
            keep,
            json,
        } => {
            let options = SoakOptions {
                seed,
                programs,
                folder: PathBuf::new(),
                bug: plant,
                seconds,
            };
            play_soak(options, keep, json)
        }
        Command::Shrink {
            play,
            seed,
            tries,
            most,
        } => smaller(&play, seed, tries, most),
        Command::Sim {
            seeds,
            jobs,
            nodes,
            copies,
            shards,
            faults,
            history,
            trace,
            plant,
        } => {
            let world = World {
                nodes,
                copies,
                shards,
                faults,
                trace,
                ..World::default()
            };
            sweep::simulate(&world, &seeds, jobs, history.as_deref(), plant.as_deref())
        }
        Command::Ready {
            options,
            keep,
            json,
        } => restart(&options, keep, json),
        Command::Scale(options) => scale::table::run(&options),
        Command::Agent { options } => parsed(&options, agent::serve),
        Command::Caller { options } => parsed(&options, caller::call),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("rainstand-testbed: {why}");
            ExitCode::from(2)
        }
    }
}

fn wait<T>(what: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let done = LocalSet::new().block_on(&runtime, what);
    // Guards against a wait for a reader of standard input that nobody writes to any more.
    runtime.shutdown_background();
    done
}

fn parsed<T: DeserializeOwned, F: Future<Output = io::Result<()>>>(
    options: &str,
    serve: impl FnOnce(T) -> F,
) -> io::Result<bool> {
    let options = serde_json::from_str(options)?;
    wait(serve(options)).map(|()| true)
}

/// Plays one soak in a folder that is kept if it is named.
fn play_soak(mut options: SoakOptions, keep: Option<PathBuf>, as_json: bool) -> io::Result<bool> {
    let known = |bug: &String| soak::BUGS.contains(&bug.as_str());
    if options.bug.as_ref().is_some_and(|bug| !known(bug)) {
        let bugs = soak::BUGS.join(", ");
        return Err(io::Error::other(format!("no such bug; there are {bugs}")));
    }
    let temporary = tempfile::tempdir()?;
    options.folder = keep.unwrap_or(temporary.path().to_owned());
    fs::create_dir_all(&options.folder)?;
    if fs::read_dir(&options.folder)?.next().is_some() {
        let folder = options.folder.display();
        return Err(io::Error::other(format!(
            "{folder}: holds another run's files"
        )));
    }
    options.folder = options.folder.canonicalize()?;
    let report = wait(soak::soak(&options))?;
    let mut out = io::stdout().lock();
    if as_json {
        let tally = json!({"asked": report.asked, "answered": report.finals});
        let line = json!({"seed": report.seed, "good": report.good(), "report": {"soak": report, "tally": tally}});
        writeln!(out, "{line}")?;
    } else {
        writeln!(out, "{}", serde_json::to_string_pretty(&report)?)?;
    }
    Ok(report.good())
}

/// The rig of a file.
fn read(play: &Play) -> io::Result<Rig> {
    let path = play.file.display().to_string();
    let outcome = rainstand_config::load(&Disk, &path);
    let Some(configuration) = outcome.configuration else {
        let found: Vec<String> = outcome
            .findings
            .iter()
            .map(|finding| rainstand_config::report::plain(&outcome.sources, finding))
            .collect();
        return Err(io::Error::other(format!("{path}:\n{}", found.join("\n"))));
    };
    let named = |rig: &&Rig| play.rig.as_ref().is_none_or(|name| *name == rig.name);
    let mut rigs = configuration.rigs.iter().filter(named);
    let Some(rig) = rigs.next() else {
        return Err(io::Error::other(format!("{path}: no such rig")));
    };
    let mut rig = rig.clone();
    if let Some(seconds) = play.seconds {
        rig.lasts_ns = Duration::from_secs(seconds.clamp(1, 3_600)).as_nanos() as u64;
    }
    Ok(rig)
}

/// Plays one schedule in a folder that is kept if it is named.
fn once(
    play_: &Play,
    rig: &Rig,
    seed: u64,
    steps: &[Step],
    keep: Option<&Path>,
) -> io::Result<(Report, Vec<u8>)> {
    let temporary = tempfile::tempdir()?;
    let folder = keep.unwrap_or(temporary.path()).to_owned();
    let place = Place {
        programs: play_.programs.clone(),
        folder: folder.clone(),
        bug: play_.plant.clone(),
    };
    let report = wait(play(rig, seed, steps, &place))?;
    Ok((report, fs::read(folder.join("history.jsonl"))?))
}

fn run(
    play: &Play,
    seed: u64,
    history: Option<&Path>,
    keep: Option<PathBuf>,
    as_json: bool,
) -> io::Result<bool> {
    let rig = read(play)?;
    let steps = schedule(&rig, seed);
    let (report, lines) = once(play, &rig, seed, &steps, keep.as_deref())?;
    if let Some(history) = history {
        fs::write(history, &lines)?;
    }
    let mut out = io::stdout().lock();
    if as_json {
        let all = json!({"rig": rig.name, "seed": seed, "good": report.good(), "report": report, "schedule": steps,
            "fixed": "schedule, callers' draws, run times", "not fixed": "scheduling of processes, times of arrival"});
        writeln!(out, "{all}")?;
    } else {
        tell(&mut out, &rig, &report, &lines)?;
    }
    Ok(report.good())
}

fn tell(out: &mut impl Write, rig: &Rig, report: &Report, lines: &[u8]) -> io::Result<()> {
    let t = &report.tally;
    writeln!(
        out,
        "{} seed {}: {} asked ({} keyed, {} keys), {} answered, {} dismissed, {} given up, {} gone, {} runs; {} faults, {} kills, {} resets; longest gap {} ms",
        rig.name, report.seed, t.asked, t.keyed, t.keys, t.answered, t.dismissed, t.given_up, t.gone, t.ran,
        report.faults, report.kills, report.resets, report.longest_gap_ms
    )?;
    for (kind, (asked, share)) in &report.during {
        writeln!(
            out,
            "  while {kind}: {asked} keyed tickets asked, {:.1} % answered",
            share * 100.0
        )?;
    }
    for fell in &report.fell {
        writeln!(out, "fell over: {fell}")?;
    }
    let text: Vec<&[u8]> = lines.split(|b| *b == b'\n').collect();
    for (k, broken) in report.broken.iter().enumerate().take(3) {
        writeln!(
            out,
            "{}{broken}",
            if k == 0 { "broken: " } else { "then: " }
        )?;
        for line in &broken.lines {
            if let Some(shown) = text.get(line - 1) {
                writeln!(out, "  {line}: {}", String::from_utf8_lossy(shown))?;
            }
        }
    }
    let verdict = if report.good() { "clean" } else { "broken" };
    writeln!(
        out,
        "{verdict}; the schedule and all draws are the seed's, the scheduling of processes is not"
    )
}

#[derive(Serialize)]
struct Shown<'a> {
    line: usize,
    text: &'a str,
}

fn check_file(path: &Path, as_json: bool) -> io::Result<bool> {
    let text = match path.to_str() {
        Some("-") => io::read_to_string(io::stdin().lock()),
        _ => File::open(path).and_then(|file| io::read_to_string(BufReader::new(file))),
    };
    let seen = text
        .as_ref()
        .map_err(|why| Unreadable {
            line: 0,
            why: why.to_string(),
        })
        .and_then(|text| history::read(text.as_bytes()));
    let mut out = io::stdout().lock();
    let (seen, lines) = match seen {
        Ok(seen) => seen,
        Err(why) => {
            if as_json {
                writeln!(
                    out,
                    "{}",
                    json!({"verdict": "unreadable", "line": why.line, "why": why.why})
                )?;
            }
            return Err(io::Error::other(format!("{}: {why}", path.display())));
        }
    };
    let Verdict { tally, broken } = check(&seen);
    let text = text.unwrap_or_default();
    let all: Vec<&str> = text.lines().collect();
    if as_json {
        writeln!(out, "{}", verdict(&tally, &broken, lines, &all))?;
    } else {
        write_check(&mut out, &tally, &broken, lines, &all)?;
    }
    Ok(broken.is_empty())
}

fn verdict(tally: &Tally, broken: &[Break], lines: usize, all: &[&str]) -> Value {
    let shown = |one: &Break| {
        let lines = one.lines.iter();
        lines
            .map(|&line| Shown {
                line,
                text: all.get(line - 1).copied().unwrap_or(""),
            })
            .collect::<Vec<_>>()
    };
    match broken.first() {
        None => json!({"verdict": "clean", "lines": lines, "tally": tally}),
        Some(first) => {
            json!({"verdict": "broken", "rule": first.rule, "check": first.check, "at": first.at,
            "ticket": first.ticket, "key": first.key, "why": first.why, "shown": shown(first),
            "broken": broken.len(), "lines": lines, "tally": tally})
        }
    }
}

fn write_check(
    out: &mut impl Write,
    tally: &Tally,
    broken: &[Break],
    lines: usize,
    all: &[&str],
) -> io::Result<()> {
    if let Some(first) = broken.first() {
        writeln!(out, "broken: {first}")?;
        for line in &first.lines {
            writeln!(
                out,
                "  {line}: {}",
                all.get(line - 1).copied().unwrap_or("")
            )?;
        }
        if broken.len() > 1 {
            writeln!(out, "{} more after it", broken.len() - 1)?;
        }
    }
    writeln!(
        out,
        "{}: {lines} lines, {} asked ({} keyed, {} keys), {} answered, {} dismissed, {} given up, {} gone, {} runs",
        if broken.is_empty() { "clean" } else { "broken" },
        tally.asked, tally.keyed, tally.keys, tally.answered, tally.dismissed, tally.given_up, tally.gone, tally.ran
    )
}

fn smaller(play: &Play, seed: u64, tries: usize, most: usize) -> io::Result<bool> {
    let rig = read(play)?;
    let steps = schedule(&rig, seed);
    let mut failed = None;
    let mut plays = 0;
    let mut fails = |steps: &[Step]| {
        (0..tries.max(1)).any(|_| {
            plays += 1;
            match once(play, &rig, seed, steps, None) {
                Ok((report, lines)) if !report.good() => {
                    eprintln!("play {plays}: {} steps, broken", steps.len());
                    failed = Some((report, lines));
                    true
                }
                Ok(_) => {
                    eprintln!("play {plays}: {} steps, clean", steps.len());
                    false
                }
                Err(why) => {
                    eprintln!("play {plays}: {why}");
                    false
                }
            }
        })
    };
    if !fails(&steps) {
        println!("seed {seed} did not fail in {tries} plays");
        return Ok(true);
    }
    let least = shrink(&steps, most, fails);
    if let Some((report, lines)) = failed {
        tell(&mut io::stdout().lock(), &rig, &report, &lines)?;
    }
    for step in &least {
        println!("{}", serde_json::to_string(step)?);
    }
    println!("{} of {} steps left", least.len(), steps.len());
    Ok(false)
}

fn restart(options: &ready::Options, keep: Option<PathBuf>, as_json: bool) -> io::Result<bool> {
    let temporary = tempfile::tempdir()?;
    let folder = keep.unwrap_or(temporary.path().to_owned());
    fs::create_dir_all(&folder)?;
    let report = wait(ready::play(options, &folder))?;
    ready::tell(&mut io::stdout().lock(), options, &report, as_json)?;
    Ok(report.good())
}

/// Lines of a file that is there; none if it is not.
fn lines_of(path: &Path) -> io::Result<Vec<String>> {
    match File::open(path) {
        Ok(file) => BufReader::new(file).lines().collect(),
        Err(why) if why.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(why) => Err(why),
    }
}
