//! A violation of a rule.

use crate::Step;
use std::fmt;
use std::time::Duration;

/// A rule that was violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Number of the rule, 1 to 4.
    pub rule: u8,
    /// When.
    pub at: Duration,
    /// The request, if it is about one.
    pub ticket: Option<u64>,
    /// How it was violated.
    pub why: String,
    /// The request's steps up to this one, with their times.
    pub steps: Vec<(Duration, Step)>,
}

impl fmt::Display for Broken {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "rule {} at {:?}", self.rule, self.at)?;
        if let Some(ticket) = self.ticket {
            write!(out, ", ticket {ticket}")?;
        }
        write!(out, ": {}", self.why)?;
        self.steps
            .iter()
            .try_for_each(|(at, step)| write!(out, "\n  {at:>12?} {step:?}"))
    }
}

impl std::error::Error for Broken {}
