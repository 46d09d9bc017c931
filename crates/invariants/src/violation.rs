//! A violation of a rule.

use crate::Step;
use std::fmt;
use std::time::Duration;

/// A rule that was violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Number of the rule, 1 to 4.
    pub rule: u8,
    /// When.
    pub at: Duration,
    /// The request, if it is about one.
    pub request: Option<u64>,
    /// How it was violated.
    pub reason: String,
    /// The request's steps up to this one.
    pub steps: Vec<RecordedStep>,
}

/// A step of a request, and when it was recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedStep {
    /// On the clock of all steps.
    pub at: Duration,
    /// What happened.
    pub step: Step,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "rule {} at {:?}", self.rule, self.at)?;
        if let Some(request) = self.request {
            write!(out, ", ticket {request}")?;
        }
        write!(out, ": {}", self.reason)?;
        self.steps
            .iter()
            .try_for_each(|RecordedStep { at, step }| write!(out, "\n  {at:>12?} {step:?}"))
    }
}

impl std::error::Error for Violation {}
