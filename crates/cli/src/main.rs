//! `rainstand`, the operators' command line.

mod ask;
mod cluster_client;
mod config;
mod config_file;
mod control;
mod error;
mod forward;
mod lab;
mod log;
mod output;
mod pcap;
mod replica;
mod signals;
mod store;

use clap::{CommandFactory, Parser, Subcommand};
use error::CommandResult;
use output::ExitStatus;
use std::process::ExitCode;

const EXAMPLES: &str = "\
Examples:
  rainstand config check deploy/main.rain
  rainstand config explain deploy/main.rain --type register --tenant acme --entity NO-1138
  rainstand config why M402

Exit codes: 0 good, 1 something was found, 2 wrong use or a file that cannot be read, 3 not known.";

#[derive(Parser)]
#[command(
    name = "rainstand",
    version,
    about = "Admission and routing for the servers behind other people's balancers"
)]
#[command(after_help = EXAMPLES)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check, format, compile, compare and explain configurations
    #[command(subcommand)]
    Config(config::Command),
    /// Run a control machine: a member of a group that tells forwarders of published versions
    Control(control::Options),
    /// Ask a running forwarder for its members, last decisions and metrics
    Ask(ask::Options),
    /// Run a forwarder: dispatchers in front, nodes behind, by a configuration
    Forward(forward::Options),
    /// Try designs with the model of the fleet: run experiments, compare them, draw them
    #[command(subcommand)]
    Lab(lab::Command),
    /// Look at, cut, export and replay recorded traffic
    #[command(subcommand)]
    Pcap(pcap::Command),
    /// Ask a group's members for their copies; come back from the loss of a majority
    #[command(subcommand)]
    Replica(replica::Command),
    /// Look at a member's disk, check it, mend it by hand
    #[command(subcommand)]
    Store(store::Command),
    /// Print completions for a shell
    #[command(
        after_help = "Example:\n  rainstand completions bash > /etc/bash_completion.d/rainstand"
    )]
    Completions { shell: clap_complete::Shell },
}

fn main() -> ExitCode {
    let outcome = run(Arguments::parse().command);
    outcome.unwrap_or_else(|error| error.print()).into()
}

fn run(command: Command) -> CommandResult {
    match command {
        Command::Config(command) => config::run(&command),
        Command::Control(options) => control::run(&options),
        Command::Ask(options) => ask::run(&options),
        Command::Forward(options) => forward::run(&options),
        Command::Lab(command) => lab::run(command),
        Command::Pcap(command) => pcap::run(&command),
        Command::Replica(command) => Ok(replica::run(command)?),
        Command::Store(command) => Ok(store::run(&command)?),
        Command::Completions { shell } => print_completions(shell),
    }
}

fn print_completions(shell: clap_complete::Shell) -> CommandResult {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "rainstand", &mut script);
    output::bytes(&script)?;
    Ok(ExitStatus::Success)
}
