//! `rainstand lab`: experiments with the fleet model, one module per subcommand.

mod compare;
mod load;
mod loopback_fleet;
mod plot;
mod run;
mod selection;
mod shrink;
mod stand_ins;

use crate::error::CommandResult;
use clap::Subcommand;

// The doc comments here and in the modules' `Options` are help texts.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Play an experiment: every variant with every seed, side by side
    #[command(
        after_help = "Examples:\n  rainstand lab run experiments/fifth-dead.rain\n  rainstand lab run experiments/fifth-dead.rain --seeds 20 --jobs 4 --out /tmp/fifth-dead\n\nA stopped run goes on where it was when it is asked for again with the same folder.\n\nExit codes: 0 played, 1 errors in the file, a rule that broke or a run that failed, 2 wrong use."
    )]
    Run(run::Options),
    /// Compare two variants of a folder, or one of each of two folders, by pairs of one seed
    #[command(
        after_help = "Examples:\n  rainstand lab compare lab-out/subsets --before know=10 --after know=40\n  rainstand lab compare old/fifth-dead new/fifth-dead\n\nA difference whose interval holds nothing is called noise."
    )]
    Compare(compare::Options),
    /// Draw a folder's results: a page, and each picture as SVG
    #[command(
        after_help = "Example:\n  rainstand lab plot lab-out/fifth-dead && ls lab-out/fifth-dead/*.svg"
    )]
    Plot(plot::Options),
    /// Put an experiment's load on sockets: on a forwarder or node that runs, or on all of it started here
    #[command(
        after_help = "Examples:\n  rainstand lab load experiments/sockets.rain\n  rainstand lab load experiments/sockets.rain --to 127.0.0.1:5050 --json\n\nWithout --to it starts stand-in nodes and forwarders on loopback, and sets the model's figures beside."
    )]
    Load(load::Options),
    /// Start an experiment's nodes on loopback, to stand behind a forwarder of your own
    #[command(
        after_help = "Example:\n  rainstand lab stand-ins experiments/sockets.rain --port 5100\n\nPrints an address a line; ends with TERM or an interrupt."
    )]
    StandIns(stand_ins::Options),
    /// Look for a smaller run that still breaks a rule
    #[command(
        after_help = "Example:\n  rainstand lab shrink experiments/fifth-dead.rain --variant know=10 --seed 17\n\nExit codes: 0 no rule breaks, 1 one does: the smallest run found is printed."
    )]
    Shrink(shrink::Options),
}

/// Runs one subcommand.
///
/// # Errors
/// If a file or folder cannot be used, or standard output cannot be written.
pub(crate) fn run(command: Command) -> CommandResult {
    match command {
        Command::Run(options) => run::run(&options),
        Command::Compare(options) => compare::run(&options),
        Command::Plot(options) => plot::run(&options),
        Command::Load(options) => load::run(&options),
        Command::StandIns(options) => stand_ins::run(&options),
        Command::Shrink(options) => shrink::run(&options),
    }
}
