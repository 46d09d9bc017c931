//! A soak: processes that clients use until they are killed, with signals in series, a crowd of bad connections, and
//! publishes.
//!
//! One run, determined by a seed, covers a node ([`node`]), a forwarder ([`forwarder`]) and a config server group
//! ([`control`]) and reports violations. What cannot be proved counts as a violation: a request that was written and
//! has no answer is allowed only if the node's own counters, printed after its drain, show that it read no more
//! requests than were answered.
//!
//! A bug can be planted by its name in programs that were built with the feature `planted`, see [`BUGS`].

pub mod client;
pub mod control;
pub mod crowd;
pub mod forwarder;
pub mod node;
pub mod signals;
pub mod verdict;

use serde::Serialize;
use std::io;
use std::path::PathBuf;

/// Names of the planted bugs that a soak detects.
pub const BUGS: &[&str] = &[
    "answers-dropped-at-kill",
    "reload-forgotten",
    "second-signal-cuts-drain",
    "descriptor-leak",
    "stale-publish",
];

/// Options of one soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Folder of the programs; by default that of the current executable.
    pub programs: Option<PathBuf>,
    /// Folder for the files of the run.
    pub folder: PathBuf,
    /// A bug to plant.
    pub bug: Option<String>,
    /// How long the node serves before its drain, in seconds.
    pub seconds: u64,
}

/// A failed check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SoakViolation {
    /// Name of the check.
    pub check: &'static str,
    /// What was observed.
    pub detail: String,
}

/// Results of one soak.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Requests that clients wrote.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Final answers that clients read.
    #[serde(rename = "finals")]
    pub answers: u64,
    /// Requests that the servers read, by their own counters.
    #[serde(rename = "read")]
    pub requests_read: u64,
    /// Requests that were written but not answered.
    pub never_read: u64,
    /// Answers that a server counts as cut off by the end of its drain.
    pub cut_off: u64,
    /// Runs that the agents recorded.
    pub runs: u64,
    /// Largest number of concurrent connections of a crowd; 0 without one.
    pub crowd: usize,
    /// Longest time from the first drain signal to the exit of a server, in milliseconds.
    pub drain_ms: u64,
    /// Committed publishes.
    pub committed: u64,
    /// Publishes with an unknown outcome.
    pub unknown: u64,
    /// Signals sent.
    pub signals: u64,
    /// Failed checks; empty if all passed.
    pub violations: Vec<SoakViolation>,
}

impl SoakReport {
    /// Whether all checks passed.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    fn add_violation(&mut self, check: &'static str, detail: impl Into<String>) {
        let detail = detail.into();
        self.violations.push(SoakViolation { check, detail });
    }
}

/// Runs one soak.
///
/// # Errors
/// If a process cannot be started or a file cannot be written; the run proves nothing then.
pub async fn run(options: &SoakOptions) -> io::Result<SoakReport> {
    let mut report = SoakReport {
        seed: options.seed,
        ..SoakReport::default()
    };
    node::run(options, &mut report).await?;
    forwarder::run(options, &mut report).await?;
    control::run(options, &mut report).await?;
    Ok(report)
}
