//! A soak: processes that are used until the kill, with signals in series, a crowd of bad connections, and publishes.
//!
//! From a seed one run plays a node ([`node`]), a forwarder ([`forwarder`]) and a group of control machines ([`control`]) and says
//! what broke. What
//! cannot be proved counts as broken: a request that was written and has no answer is allowed only where the node's own
//! counters, printed at its end, say that it read no more requests than were answered.
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

/// Bugs of the programs that a soak finds, by name.
pub const BUGS: &[&str] = &[
    "answers-dropped-at-kill",
    "reload-forgotten",
    "second-signal-cuts-drain",
    "descriptor-leak",
    "stale-publish",
];

/// What one soak plays.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Of all that is drawn.
    pub seed: u64,
    /// Where the programs lie; beside this one if not named.
    pub programs: Option<PathBuf>,
    /// Where the run leaves its files.
    pub folder: PathBuf,
    /// A bug to plant.
    pub bug: Option<String>,
    /// How long the node serves before its drain, in seconds.
    pub seconds: u64,
}

/// A check that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SoakViolation {
    /// Name of the check.
    pub check: &'static str,
    /// What was seen.
    pub detail: String,
}

/// What one soak saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SoakReport {
    /// Of the run.
    pub seed: u64,
    /// Requests that clients wrote.
    pub asked: u64,
    /// Final answers that clients read.
    pub finals: u64,
    /// Requests that the node read, by its own counters.
    pub read: u64,
    /// Requests that were written and never read.
    pub never_read: u64,
    /// Answers that a server counts as cut off by the end of its drain.
    pub cut_off: u64,
    /// Runs that the agent saw.
    pub runs: u64,
    /// Most connections of a crowd at once; 0 without one.
    pub crowd: usize,
    /// From the first signal to drain until the node's end, in milliseconds.
    pub drain_ms: u64,
    /// Publishes whose outcome was told.
    pub committed: u64,
    /// Publishes whose outcome is not known.
    pub unknown: u64,
    /// Signals that were sent.
    pub signals: u64,
    /// What broke; empty if all held.
    pub violations: Vec<SoakViolation>,
}

impl SoakReport {
    /// Whether all checks held.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    fn violate(&mut self, check: &'static str, detail: impl Into<String>) {
        let detail = detail.into();
        self.violations.push(SoakViolation { check, detail });
    }
}

/// Plays one soak.
///
/// # Errors
/// If a process cannot be started or a file cannot be written: nothing was proved then.
pub async fn soak(options: &SoakOptions) -> io::Result<SoakReport> {
    let mut report = SoakReport {
        seed: options.seed,
        ..SoakReport::default()
    };
    node::play(options, &mut report).await?;
    forwarder::play(options, &mut report).await?;
    control::play(options, &mut report).await?;
    Ok(report)
}
