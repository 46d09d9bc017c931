//! `rainstand lab`: experiments with the model, their comparison and their pictures.

use crate::config_file::read;
use crate::out::{json, line, Code};
use crate::pcap::trouble;
use clap::Subcommand;
use indicatif::{ProgressBar, ProgressStyle};
use rainstand_config::schema::{self, Configuration, Experiment};
use rainstand_experiments::jobs::{self, fingerprint, isolated, Work};
use rainstand_experiments::plans::variants;
use rainstand_experiments::results::{self, Results};
use rainstand_experiments::stats::{self, compare, mean, MEASURES};
use rainstand_experiments::{jobs::COMPILED, page, plot};
use rainstand_fleet_model::plan::Plan;
use rainstand_fleet_model::shrink;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[derive(Subcommand)]
pub enum Command {
    /// Play an experiment: every variant with every seed, side by side
    #[command(
        after_help = "Examples:\n  rainstand lab run experiments/fifth-dead.rain\n  rainstand lab run experiments/fifth-dead.rain --seeds 20 --jobs 4 --out /tmp/fifth-dead\n\nA stopped run goes on where it was when it is asked for again with the same folder.\n\nExit codes: 0 played, 1 errors in the file, a rule that broke or a run that failed, 2 wrong use."
    )]
    Run {
        /// A `.rain` file, or a compiled one
        file: String,
        /// Which one, where the file holds several
        #[arg(long)]
        experiment: Option<String>,
        /// Seeds 1 to this, in place of what the experiment says
        #[arg(long)]
        seeds: Option<u64>,
        /// Runs at a time; one run is one thread
        #[arg(long)]
        jobs: Option<usize>,
        /// Where results go; `lab-out/EXPERIMENT` if not said
        #[arg(long)]
        out: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Compare two variants of a folder, or one of each of two folders, by pairs of one seed
    #[command(
        after_help = "Examples:\n  rainstand lab compare lab-out/subsets --before know=10 --after know=40\n  rainstand lab compare old/fifth-dead new/fifth-dead\n\nA difference whose interval holds nothing is called noise."
    )]
    Compare {
        /// A folder of results
        folder: PathBuf,
        /// Another folder; the same one if not said
        other: Option<PathBuf>,
        /// Label of the variant before; the first one if not said
        #[arg(long)]
        before: Option<String>,
        /// Label of the variant after; the last one if not said
        #[arg(long)]
        after: Option<String>,
        /// Of the intervals, in percent
        #[arg(long, default_value_t = 95.0)]
        level: f64,
        #[arg(long)]
        json: bool,
    },
    /// Draw a folder's results: a page, and each picture as SVG
    #[command(
        after_help = "Example:\n  rainstand lab plot lab-out/fifth-dead && ls lab-out/fifth-dead/*.svg"
    )]
    Plot { folder: PathBuf },
    /// Put an experiment's load on sockets: on a forwarder or node that runs, or on all of it started here
    #[command(
        after_help = "Examples:\n  rainstand lab load experiments/sockets.rain\n  rainstand lab load experiments/sockets.rain --to 127.0.0.1:5050 --json\n\nWithout --to it starts stand-in nodes and forwarders on loopback, and sets the model's figures beside."
    )]
    Load {
        file: String,
        #[arg(long)]
        experiment: Option<String>,
        /// Label of the variant; the first one if not said
        #[arg(long)]
        variant: Option<String>,
        /// What is loaded
        #[arg(long)]
        to: Option<std::net::SocketAddr>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        json: bool,
    },
    /// Start an experiment's nodes on loopback, to stand behind a forwarder of your own
    #[command(
        after_help = "Example:\n  rainstand lab stand-ins experiments/sockets.rain --port 5100\n\nPrints an address a line; ends with TERM or an interrupt."
    )]
    StandIns {
        file: String,
        #[arg(long)]
        experiment: Option<String>,
        #[arg(long)]
        variant: Option<String>,
        /// Of the first one, the others follow; 0 for any that are free
        #[arg(long, default_value_t = 0)]
        port: u16,
    },
    /// Look for a smaller run that still breaks a rule
    #[command(
        after_help = "Example:\n  rainstand lab shrink experiments/fifth-dead.rain --variant know=10 --seed 17\n\nExit codes: 0 no rule breaks, 1 one does: the smallest run found is printed."
    )]
    Shrink {
        file: String,
        #[arg(long)]
        experiment: Option<String>,
        /// Label of the variant; the first one if not said
        #[arg(long)]
        variant: Option<String>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

pub fn run(command: Command) -> io::Result<Code> {
    match command {
        Command::Run {
            file,
            experiment,
            seeds,
            jobs,
            out,
            json,
        } => {
            let (configuration, at) = match chosen(&file, experiment.as_deref())? {
                Ok(found) => found,
                Err(code) => return Ok(code),
            };
            let asked = Asked {
                seeds,
                jobs,
                out,
                json,
            };
            play(&file, &configuration, &configuration.experiments[at], asked)
        }
        Command::Compare {
            folder,
            other,
            before,
            after,
            level,
            json,
        } => {
            let other = other.unwrap_or_else(|| folder.clone());
            contrast((&folder, &other), (before, after), level / 100.0, json)
        }
        Command::Plot { folder } => draw(&folder),
        Command::Load {
            file,
            experiment,
            variant,
            to,
            seed,
            json,
        } => {
            let (configuration, at) = match chosen(&file, experiment.as_deref())? {
                Ok(found) => found,
                Err(code) => return Ok(code),
            };
            match one_of(
                &file,
                &configuration,
                &configuration.experiments[at],
                variant,
                seed,
            ) {
                Ok(plan) => crate::load::load(&file, &plan, to, json),
                Err(code) => Ok(code),
            }
        }
        Command::StandIns {
            file,
            experiment,
            variant,
            port,
        } => {
            let (configuration, at) = match chosen(&file, experiment.as_deref())? {
                Ok(found) => found,
                Err(code) => return Ok(code),
            };
            match one_of(
                &file,
                &configuration,
                &configuration.experiments[at],
                variant,
                1,
            ) {
                Ok(plan) => crate::load::stand_ins(&file, &plan, port),
                Err(code) => Ok(code),
            }
        }
        Command::Shrink {
            file,
            experiment,
            variant,
            seed,
        } => {
            let (configuration, at) = match chosen(&file, experiment.as_deref())? {
                Ok(found) => found,
                Err(code) => return Ok(code),
            };
            smallest(
                &file,
                &configuration,
                &configuration.experiments[at],
                variant,
                seed,
            )
        }
    }
}

/// The configuration of a file, and the place of the experiment that was asked for.
fn chosen(file: &str, name: Option<&str>) -> io::Result<Result<(Configuration, usize), Code>> {
    let configuration = match read(file, false)? {
        Ok((configuration, ..)) => configuration,
        Err(code) => return Ok(Err(code)),
    };
    let all: Vec<&str> = configuration
        .experiments
        .iter()
        .map(|one| &*one.name)
        .collect();
    let at = match name {
        Some(name) => all.iter().position(|one| *one == name),
        None if all.len() == 1 => Some(0),
        None => None,
    };
    let Some(at) = at else {
        let why = match (name, all.is_empty()) {
            (_, true) => "there is no experiment in it".to_owned(),
            (Some(name), _) => format!(
                "there is no experiment `{name}`; there are {}",
                all.join(", ")
            ),
            (None, _) => format!("say which with --experiment: {}", all.join(", ")),
        };
        return Ok(Err(trouble(file, why)));
    };
    Ok(Ok((configuration, at)))
}

struct Asked {
    seeds: Option<u64>,
    jobs: Option<usize>,
    out: Option<PathBuf>,
    json: bool,
}

fn play(
    file: &str,
    configuration: &Configuration,
    experiment: &Experiment,
    asked: Asked,
) -> io::Result<Code> {
    let all = match variants(configuration, experiment) {
        Ok(all) => all,
        Err(why) => return Ok(trouble(file, why)),
    };
    let folder = asked
        .out
        .unwrap_or_else(|| Path::new("lab-out").join(&experiment.name));
    std::fs::create_dir_all(&folder)?;
    std::fs::write(
        folder.join(COMPILED),
        schema::to_text(&isolated(configuration, experiment)),
    )?;
    let threads = asked
        .jobs
        .unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()));
    let seeds = asked.seeds.unwrap_or(experiment.seeds);
    let fingerprint = fingerprint(configuration, experiment);
    let work = Work {
        experiment: &experiment.name,
        fingerprint,
        variants: &all,
        seeds,
        threads,
    };
    let stop = Arc::new(AtomicBool::new(false));
    stop_at_interrupt(&stop)?;
    let bar = ProgressBar::new(seeds * all.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} runs, {eta} left {msg}")
    {
        bar.set_style(style);
    }
    let found = jobs::play(&work, &folder, &stop, |rows| {
        bar.inc(1);
        if !rows.run.broken.is_empty() {
            bar.set_message("a rule broke");
        }
    });
    bar.finish_and_clear();
    let mut played = match found {
        Ok(played) => played,
        Err(why) => return Ok(trouble(&folder.display().to_string(), why)),
    };
    for failed in &played.failed {
        eprintln!(
            "{}: seed {} failed: {}",
            failed.variant, failed.seed, failed.reason
        );
    }
    if let Err(why) = results::write(&folder, &mut played.rows) {
        return Ok(trouble(&folder.display().to_string(), why));
    }
    let read = match results::read(&folder) {
        Ok(read) => read,
        Err(why) => return Ok(trouble(&folder.display().to_string(), why)),
    };
    told(&read, asked.json)?;
    if played.remaining > 0 {
        eprintln!(
            "stopped with {} runs left; ask again to go on",
            played.remaining
        );
    }
    let broken: Vec<_> = read
        .runs
        .iter()
        .filter(|run| !run.broken.is_empty())
        .collect();
    for run in &broken {
        eprintln!("{}, seed {}: {}", run.variant, run.seed, run.broken);
    }
    let good = broken.is_empty() && played.failed.is_empty();
    Ok(if good { Code::Good } else { Code::Found })
}

/// A first interrupt ends the play after the runs that are under way; a second one ends the program.
fn stop_at_interrupt(stop: &Arc<AtomicBool>) -> io::Result<()> {
    let stop = stop.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::spawn(move || {
        runtime.block_on(async {
            if tokio::signal::ctrl_c().await.is_ok() {
                stop.store(true, Ordering::Relaxed);
                eprintln!(
                    "stopping when the runs under way have ended; interrupt again to end at once"
                );
            }
            if tokio::signal::ctrl_c().await.is_ok() {
                std::process::exit(130);
            }
        });
    });
    Ok(())
}

fn told(all: &Results, as_json: bool) -> io::Result<()> {
    if as_json {
        return all.runs.iter().try_for_each(json);
    }
    let variants = all.variants();
    let wide = variants
        .iter()
        .map(|variant| variant.label.len())
        .max()
        .unwrap_or(0);
    let names = MEASURES
        .map(|measure| format!("{:>20}", measure.name))
        .concat();
    line(&format!("{:<wide$}{names}", ""))?;
    for variant in variants {
        let mut text = format!("{:<wide$}", variant.label);
        for measure in MEASURES {
            let runs = all.runs_of(variant.number);
            let values: Vec<f64> = runs.map(measure.read).collect();
            let one = mean(&values, 0.95);
            let cell = match (one.half.is_finite(), one.mean.abs() < 10.0) {
                (true, true) => format!("{:.4} ± {:.4}", one.mean, one.half),
                (true, false) => format!("{:.1} ± {:.1}", one.mean, one.half),
                (false, _) => format!("{:.4}", one.mean),
            };
            text.push_str(&format!("{cell:>20}"));
        }
        line(&text)?;
    }
    Ok(())
}

fn contrast(
    (folder, other): (&Path, &Path),
    (before, after): (Option<String>, Option<String>),
    level: f64,
    as_json: bool,
) -> io::Result<Code> {
    if !(0.5..1.0).contains(&level) {
        return Ok(trouble("--level", "between 50 and 100"));
    }
    let mut read = Vec::new();
    for folder in [folder, other] {
        match results::read(folder) {
            Ok(found) => read.push(found),
            Err(why) => return Ok(trouble(&folder.display().to_string(), why)),
        }
    }
    let pick = |all: &Results, label: &Option<String>, last: bool| {
        let variants = all.variants();
        match label {
            Some(label) => variants.into_iter().find(|known| known.label == *label),
            None if last => variants.into_iter().next_back(),
            None => variants.into_iter().next(),
        }
    };
    let (Some(first), Some(second)) = (
        pick(&read[0], &before, false),
        pick(&read[1], &after, folder == other),
    ) else {
        let labels: Vec<String> = read[0]
            .variants()
            .into_iter()
            .map(|variant| variant.label)
            .collect();
        return Ok(trouble(
            "--before or --after",
            format!("no such variant; there are: {}", labels.join("; ")),
        ));
    };
    let found = match compare(
        read[0].runs_of(first.number),
        read[1].runs_of(second.number),
        level,
    ) {
        Ok(found) => found,
        Err(why) => return Ok(trouble(&folder.display().to_string(), why)),
    };
    if as_json {
        for one in &found {
            json(&serde_json::json!({
                "measure": one.measure, "before": one.before, "after": one.after, "change": one.change.mean,
                "half": one.change.half, "pairs": one.change.count, "verdict": one.verdict.word(),
            }))?;
        }
        return Ok(Code::Good);
    }
    line(&format!(
        "{}  against  {}, {} pairs of one seed, {:.0} %",
        second.label,
        first.label,
        found[0].change.count,
        level * 100.0
    ))?;
    for one in &found {
        let stats::Compared {
            measure,
            before,
            after,
            change,
            verdict,
        } = one;
        let word = verdict.word();
        line(&format!(
            "{measure:<12} {before:>12.4} -> {after:>12.4}   {:>+11.4} ± {:<10.4} {word}",
            change.mean, change.half
        ))?;
    }
    Ok(Code::Good)
}

fn draw(folder: &Path) -> io::Result<Code> {
    let name = folder.display().to_string();
    let all = match results::read(folder) {
        Ok(all) => all,
        Err(why) => return Ok(trouble(&name, why)),
    };
    let compiled = std::fs::read_to_string(folder.join(COMPILED)).unwrap_or_default();
    let drawn =
        plot::pictures(&all).and_then(|pictures| Ok((pictures, page::page(&all, &compiled)?)));
    let (pictures, page) = match drawn {
        Ok(drawn) => drawn,
        Err(why) => return Ok(trouble(&name, why)),
    };
    for picture in pictures {
        let path = folder.join(picture.file);
        std::fs::write(&path, picture.svg)?;
        line(&path.display().to_string())?;
    }
    std::fs::write(folder.join("index.html"), page)?;
    line(&folder.join("index.html").display().to_string())?;
    Ok(Code::Good)
}

/// The plan of one variant and seed.
fn one_of(
    file: &str,
    configuration: &Configuration,
    experiment: &Experiment,
    label: Option<String>,
    seed: u64,
) -> Result<Plan, Code> {
    let all = variants(configuration, experiment).map_err(|why| trouble(file, why))?;
    let labels: Vec<String> = all.iter().map(|one| one.label.clone()).collect();
    let found = all
        .into_iter()
        .find(|one| label.as_ref().is_none_or(|label| *label == one.label));
    let variant = found.ok_or_else(|| {
        trouble(
            file,
            format!("no such variant; there are: {}", labels.join("; ")),
        )
    })?;
    Ok(Plan {
        seed,
        ..variant.plan
    })
}

fn smallest(
    file: &str,
    configuration: &Configuration,
    experiment: &Experiment,
    label: Option<String>,
    seed: u64,
) -> io::Result<Code> {
    let plan = match one_of(file, configuration, experiment, label, seed) {
        Ok(plan) => plan,
        Err(code) => return Ok(code),
    };
    match shrink::shrink(&plan) {
        None => {
            line(&format!("seed {seed}: no rule breaks"))?;
            Ok(Code::Good)
        }
        Some(shrunk) => {
            line(&shrunk.broken.to_string())?;
            line(&format!(
                "the smallest of {} runs that breaks it:\n{:#?}",
                shrunk.runs, shrunk.plan
            ))?;
            Ok(Code::Found)
        }
    }
}
