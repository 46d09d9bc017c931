//! `rainstand-testbed`: runs several processes of the program under faults and reports whether the invariants held.

mod commands;

use clap::{Parser, Subcommand};
use commands::{block_on, check, ready, run, shrink, simulate, soak, sweep};
use rainstand_testbed::peers::{agent, caller};
use rainstand_testbed::scale;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::io;
use std::process::ExitCode;

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

#[derive(Subcommand)]
enum Command {
    /// Play one run
    Run(run::Options),
    /// Check a history, whoever wrote it
    Check(check::Options),
    /// Play a range of seeds, several side by side; goes on where it was interrupted
    Sweep(sweep::Options),
    /// Use a node and control machines until their kill, with signals in series; `sweep soak` plays a range of seeds
    Soak(soak::Options),
    /// Make the schedule of a failing seed smaller
    Shrink(shrink::Options),
    /// Groups on a virtual clock under faults of all kinds; a seed replays to the byte
    Sim(simulate::Options),
    /// Restart many processes at once, and tell how long each takes until it is ready
    Ready(ready::ReadyOptions),
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
    let result = match Arguments::parse().command {
        Command::Run(options) => run::run(&options),
        Command::Check(options) => check::run(&options),
        Command::Sweep(options) => sweep::run(&options),
        Command::Soak(options) => soak::run(options),
        Command::Shrink(options) => shrink::run(&options),
        Command::Sim(options) => simulate::run(&options),
        Command::Ready(options) => ready::run(options),
        Command::Scale(options) => scale::table::run(&options),
        Command::Agent { options } => serve(&options, agent::serve),
        Command::Caller { options } => serve(&options, caller::call),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("rainstand-testbed: {error}");
            ExitCode::from(2)
        }
    }
}

/// Serves as a child process of another run, with options given as one JSON object.
fn serve<T: DeserializeOwned, F: Future<Output = io::Result<()>>>(
    options: &str,
    serve: impl FnOnce(T) -> F,
) -> io::Result<bool> {
    let options = serde_json::from_str(options)?;
    block_on(serve(options)).map(|()| true)
}
