//! A violation of an invariant.

use crate::Step;
use std::fmt;
use std::time::Duration;

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Number of the invariant, 1 to 4.
    pub rule: u8,
    /// When it was detected, on the clock of all steps.
    pub at: Duration,
    /// The request, if the violation concerns one.
    pub request: Option<u64>,
    /// How the invariant was violated.
    pub reason: String,
    /// The request's steps up to this one.
    pub steps: Vec<RecordedStep>,
}

/// A recorded step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedStep {
    /// When it was recorded, on the clock of all steps.
    pub at: Duration,
    /// The step.
    pub step: Step,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "invariant {} violated at {:?}",
            self.rule, self.at
        )?;
        if let Some(request) = self.request {
            write!(formatter, ", request {request}")?;
        }
        write!(formatter, ": {}", self.reason)?;
        self.steps
            .iter()
            .try_for_each(|RecordedStep { at, step }| write!(formatter, "\n  {at:>12?} {step:?}"))
    }
}

impl std::error::Error for Violation {}
