//! `shrink`: a smaller schedule of a failing seed.

use super::{write_report, PlayOptions};
use clap::Args;
use rainstand_config::schema::Rig;
use rainstand_testbed::fault_schedule::{schedule, FaultStep};
use rainstand_testbed::scenario::Report;
use rainstand_testbed::shrink::shrink;
use std::io;

#[derive(Args)]
pub(crate) struct Options {
    #[command(flatten)]
    play: PlayOptions,
    #[arg(long)]
    seed: u64,
    /// Plays of each smaller schedule before it counts as passing
    #[arg(long, default_value_t = 3)]
    tries: usize,
    /// Plays in all
    #[arg(long, default_value_t = 60)]
    most: usize,
}

/// Plays schedules of one seed until they fail.
struct Player<'o> {
    options: &'o Options,
    rig: &'o Rig,
    plays: usize,
    /// The last run that failed, with its history.
    last_failure: Option<(Report, Vec<u8>)>,
}

impl Player<'_> {
    /// Whether one of several plays of a schedule fails.
    fn fails(&mut self, steps: &[FaultStep]) -> bool {
        (0..self.options.tries.max(1)).any(|_| self.play_fails(steps))
    }

    /// A run that could not be set up counts as passing.
    fn play_fails(&mut self, steps: &[FaultStep]) -> bool {
        self.plays += 1;
        let (plays, count) = (self.plays, steps.len());
        let options = self.options;
        match options.play.play(self.rig, options.seed, steps, None) {
            Ok((report, history)) if !report.is_clean() => {
                eprintln!("play {plays}: {count} steps, broken");
                self.last_failure = Some((report, history));
                true
            }
            Ok(_) => {
                eprintln!("play {plays}: {count} steps, clean");
                false
            }
            Err(error) => {
                eprintln!("play {plays}: {error}");
                false
            }
        }
    }
}

pub(crate) fn run(options: &Options) -> io::Result<bool> {
    let rig = options.play.read_rig()?;
    let (seed, tries) = (options.seed, options.tries);
    let steps = schedule(&rig, seed);
    let mut player = Player {
        options,
        rig: &rig,
        plays: 0,
        last_failure: None,
    };
    if !player.fails(&steps) {
        println!("seed {seed} did not fail in {tries} plays");
        return Ok(true);
    }
    let smallest = shrink(&steps, options.most, |steps| player.fails(steps));
    if let Some((report, history)) = &player.last_failure {
        write_report(&mut io::stdout().lock(), &rig, report, history)?;
    }
    for step in &smallest {
        println!("{}", serde_json::to_string(step)?);
    }
    println!("{} of {} steps left", smallest.len(), steps.len());
    Ok(false)
}
