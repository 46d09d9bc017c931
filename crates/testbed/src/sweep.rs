//! A range of seeds, several runs side by side, each a process of its own so that none can take the others along.

use crate::{lines_of, Play};
use indicatif::{ProgressBar, ProgressStyle};
use rainstand_testbed::check::check;
use rainstand_testbed::history::{End, Event, Line, Seen};
use rainstand_testbed::play_identity::PlayIdentity;
use rainstand_testbed::simulation::{self, Outcome, World};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

/// `1..200`, the last one left out.
fn range(text: &str) -> io::Result<std::ops::Range<u64>> {
    let bad = || {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("{text}: seeds are written 1..200"),
        )
    };
    let (first, last) = text.split_once("..").ok_or_else(bad)?;
    let range = first.parse().map_err(|_| bad())?..last.parse().map_err(|_| bad())?;
    if range.is_empty() {
        return Err(bad());
    }
    Ok(range)
}

/// What all seeds came to; one line of JSON a seed stands in `results.jsonl`.
#[derive(Default)]
struct All {
    played: usize,
    failed: Vec<u64>,
    kills: u64,
    asked: u64,
    answered: u64,
    keys: u64,
}

impl All {
    fn add(&mut self, line: &Value) {
        let number = |of: &Value| of.as_u64().unwrap_or(0);
        self.played += 1;
        if line["good"] != Value::Bool(true) {
            self.failed.push(number(&line["seed"]));
        }
        let report = &line["report"];
        self.kills += number(&report["kills"]);
        self.asked += number(&report["tally"]["asked"]);
        self.answered += number(&report["tally"]["answered"]);
        self.keys += number(&report["tally"]["keys"]);
    }
}

/// What a file of results says already.
struct Earlier {
    /// Results of the same play.
    all: All,
    done: BTreeSet<u64>,
    /// How many results of these seeds there are of each other play.
    others: BTreeMap<String, usize>,
}

/// Seeds of another rig, build or set of options are played: their results say nothing of this one.
fn earlier(
    results: &Path,
    seeds: &std::ops::Range<u64>,
    identity: &PlayIdentity,
) -> io::Result<Earlier> {
    let mut earlier = Earlier {
        all: All::default(),
        done: BTreeSet::new(),
        others: BTreeMap::new(),
    };
    for line in lines_of(results)? {
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
            earlier.all.add(&line);
        }
    }
    Ok(earlier)
}

pub fn sweep(play: &Play, seeds: &str, jobs: usize, out: &Path) -> io::Result<bool> {
    let seeds = range(seeds)?;
    fs::create_dir_all(out)?;
    let results = out.join("results.jsonl");
    let identity = play.identity()?;
    let Earlier { all, done, others } = earlier(&results, &seeds, &identity)?;
    for (other, count) in &others {
        println!("not counted: {count} results of {other}");
    }
    let left: Vec<u64> = seeds.clone().filter(|seed| !done.contains(seed)).collect();
    let bar = ProgressBar::new(left.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {eta} {msg}") {
        bar.set_style(style);
    }
    let file = Mutex::new(
        OpenOptions::new()
            .create(true)
            .append(true)
            .open(&results)?,
    );
    let (next, all) = (AtomicUsize::new(0), Mutex::new(all));
    let me = std::env::current_exe()?;
    thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, 64) {
            scope.spawn(|| {
                while let Some(seed) = left.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let line = one(&me, play, &identity, *seed, out);
                    let text = format!("{line}\n");
                    let wrote = file
                        .lock()
                        .is_ok_and(|mut file| file.write_all(text.as_bytes()).is_ok());
                    if let Ok(mut all) = all.lock() {
                        all.add(&line);
                        bar.set_message(format!("{} failed", all.failed.len()));
                    }
                    bar.inc(1);
                    if !wrote {
                        return;
                    }
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut all = all.into_inner().unwrap_or_default();
    all.failed.sort_unstable();
    println!(
        "{} seeds: {} failed, {} kills, {} tickets asked, {} answered, {} keys",
        all.played,
        all.failed.len(),
        all.kills,
        all.asked,
        all.answered,
        all.keys
    );
    for seed in &all.failed {
        println!(
            "failed: seed {seed}, kept in {}",
            out.join(format!("seed-{seed}")).display()
        );
    }
    Ok(all.failed.is_empty())
}

/// One seed in a process of its own; its folder is kept if it failed.
fn one(me: &Path, play: &Play, identity: &PlayIdentity, seed: u64, out: &Path) -> Value {
    let folder = out.join(format!("seed-{seed}"));
    let _ = fs::remove_dir_all(&folder);
    let mut command = Command::new(me);
    if play.is_soak() {
        command.arg("soak");
    } else {
        command.arg("run").arg(&play.file);
    }
    command
        .args(["--seed", &seed.to_string(), "--json"])
        .arg("--keep")
        .arg(&folder);
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
    let output = command.stdin(Stdio::null()).output();
    let mut line = match &output {
        Ok(output) => serde_json::from_slice(&output.stdout).unwrap_or_else(|_| {
            let why = String::from_utf8_lossy(&output.stderr);
            serde_json::json!({"seed": seed, "good": false, "why": why.trim()})
        }),
        Err(why) => serde_json::json!({"seed": seed, "good": false, "why": why.to_string()}),
    };
    if line["good"] == Value::Bool(true) {
        let _ = fs::remove_dir_all(&folder);
    }
    line["of"] = serde_json::to_value(identity).unwrap_or_default();
    line
}

/// What all simulated seeds came to.
#[derive(Default)]
struct Simulated {
    played: u64,
    failed: Vec<(u64, String)>,
    history: Option<(u64, Vec<Seen>)>,
    events: u64,
    restarts: u64,
    elections: u64,
    swaps: u64,
    answered: (usize, usize),
}

impl Simulated {
    fn add(&mut self, seed: u64, outcome: Outcome) {
        self.played += 1;
        self.events += outcome.events;
        self.restarts += outcome.restarts;
        self.elections += outcome.elections;
        self.swaps += outcome.swaps;
        self.answered.0 += outcome.answered.0;
        self.answered.1 += outcome.answered.1;
        let broken = check(&outcome.history).broken;
        let why = broken
            .first()
            .map(ToString::to_string)
            .or(outcome.wrong.first().cloned());
        if let Some(why) = why {
            self.failed.push((seed, why));
            if self.history.as_ref().is_none_or(|first| first.0 > seed) {
                self.history = Some((seed, outcome.history));
            }
        }
    }
}

/// Plays seeds on a virtual clock, on several threads; each seed's run is the same on any of them.
pub fn simulate(
    world: &World,
    seeds: &str,
    jobs: usize,
    history: Option<&Path>,
    bug: Option<&str>,
) -> io::Result<bool> {
    let seeds = range(seeds)?;
    if bug.is_some() && !cfg!(feature = "planted") {
        return Err(io::Error::other(
            "this program was built without the feature `planted`",
        ));
    }
    let bar = ProgressBar::new(seeds.end - seeds.start);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {eta} {msg}") {
        bar.set_style(style);
    }
    let (next, all) = (AtomicUsize::new(0), Mutex::new(Simulated::default()));
    thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, 64) {
            scope.spawn(|| {
                #[cfg(feature = "planted")]
                rainstand_raft::plant::plant(bug);
                loop {
                    let seed = seeds.start + next.fetch_add(1, Ordering::Relaxed) as u64;
                    let found = bug.is_some() && all.lock().is_ok_and(|all| !all.failed.is_empty());
                    if seed >= seeds.end || found {
                        return;
                    }
                    // A panic of the code under test is a finding too.
                    let outcome = std::panic::catch_unwind(|| simulation::play(world, seed));
                    let outcome = outcome.unwrap_or_else(|_| Outcome {
                        wrong: vec!["panicked".to_owned()],
                        ..Outcome::default()
                    });
                    if let Ok(mut all) = all.lock() {
                        all.add(seed, outcome);
                        bar.set_message(format!("{} failed", all.failed.len()));
                    }
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut all = all.into_inner().unwrap_or_default();
    all.failed.sort();
    println!(
        "{} seeds, {} events: {} failed; {} starts, {} elections, {} disks swapped or set aside, {} of {} keyed tickets answered",
        all.played, all.events, all.failed.len(), all.restarts, all.elections, all.swaps, all.answered.0, all.answered.1
    );
    for (seed, why) in all.failed.iter().take(5) {
        println!("failed: seed {seed}: {why}");
    }
    if let (Some(path), Some((_, lines))) = (history, &all.history) {
        fs::write(path, lines.iter().map(written).collect::<String>())?;
    }
    Ok(all.failed.is_empty())
}

/// A line as callers and agents write it.
fn written(seen: &Seen) -> String {
    let mut line = Line {
        at: seen.at,
        by: seen.by.clone(),
        ..Line::default()
    };
    match &seen.event {
        Event::Ask {
            ticket,
            traffic,
            key,
            body,
            node,
            due,
        } => {
            line.op = "ask".into();
            line.ticket = Some(ticket.clone());
            (line.traffic, line.key, line.body) = (traffic.clone(), key.clone(), body.clone());
            (line.node, line.due) = (node.clone(), Some(*due));
        }
        Event::End {
            ticket,
            end,
            result,
        } => {
            line.op = match end {
                End::Answer => "answer",
                End::Dismissed => "dismissed",
                End::GivenUp => "given-up",
                End::Gone => "gone",
            }
            .into();
            (line.ticket, line.result) = (Some(ticket.clone()), result.clone());
        }
        Event::Ran { key, body, result } => {
            line.op = "ran".into();
            (line.key, line.body, line.result) = (key.clone(), body.clone(), result.clone());
        }
    }
    serde_json::to_string(&line).unwrap_or_default() + "\n"
}
