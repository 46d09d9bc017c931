//! `rainstand pcap …`: commands for recorded traffic, one module per subcommand.

mod capture_file;
mod cut;
mod export;
mod info;
mod replay;
mod tickets;
mod time_range;

use crate::error::CommandResult;
use clap::Subcommand;

// The doc comments here and in the modules' `Options` are help texts.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Tell what a capture holds
    #[command(after_help = "Example:\n  rainstand pcap info morning.pcapng")]
    Info(info::Options),
    /// Tell every ticket of a capture, and then what was not readable
    #[command(
        after_help = "Examples:\n  rainstand pcap tickets morning.pcapng --json > tickets.jsonl\n  rainstand pcap tickets morning.pcapng | grep given_up"
    )]
    Tickets(tickets::Options),
    /// Write the tickets of a capture as a columnar file
    #[command(
        after_help = "Example:\n  rainstand pcap export morning.pcapng --parquet morning.parquet"
    )]
    Export(export::Options),
    /// Write a capture of some tickets only
    #[command(
        after_help = "Example:\n  rainstand pcap cut morning.pcapng --from 60 --to 120 --tenant acme minute.pcapng"
    )]
    Cut(cut::Options),
    /// Send the calls of a capture to a node or forwarder, with their timing
    #[command(
        after_help = "Examples:\n  rainstand pcap replay morning.pcapng --to 127.0.0.1:5050 --speed 2.0\n  rainstand pcap replay morning.pcapng --to 127.0.0.1:5050 --compare"
    )]
    Replay(replay::Options),
}

/// Runs one subcommand.
///
/// # Errors
/// If a file, an address or an argument cannot be used, or standard output cannot be written.
pub(crate) fn run(command: &Command) -> CommandResult {
    match command {
        Command::Info(options) => info::run(options),
        Command::Tickets(options) => tickets::run(options),
        Command::Export(options) => export::run(options),
        Command::Cut(options) => cut::run(options),
        Command::Replay(options) => replay::run(options),
    }
}
