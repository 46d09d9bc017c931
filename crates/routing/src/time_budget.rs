//! Divides the latency objective of a request among its stages.
//!
//! The deadline of a stage reserves the time promised to the later stages. Time that a stage does not use is available
//! to the later ones; an overrun is taken from the next stage first, so that the answer is still sent in time.

use rainstand_config::schema;
use rainstand_config::units::ONE;
use std::time::Duration;

/// The stages in the order in which a request passes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// In the forwarder.
    Forward,
    /// In the queue of a node.
    Queue,
    /// Running.
    Run,
    /// Calls to other servers.
    Call,
    /// Sending the answer.
    Answer,
}

/// The deadlines of the stages within one latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The latency objective.
    pub objective: Duration,
    /// The deadline of each stage, counted from the request's arrival.
    deadlines: [Duration; 5],
}

/// A share of a duration, rounded down. `share` is in millionths.
pub fn share_of(total: Duration, share: u64) -> Duration {
    let ns = total.as_nanos() * u128::from(share) / u128::from(ONE);
    Duration::from_nanos(u64::try_from(ns).unwrap_or(u64::MAX))
}

impl Times {
    /// Without a budget each stage may use the whole objective.
    pub fn new(objective: Duration, budget: Option<&schema::Budget>) -> Self {
        let stages = budget.map_or([None; 5], |b| [b.forward, b.queue, b.run, b.call, b.answer]);
        let promised = stages.map(|stage| {
            stage.map_or(Duration::ZERO, |stage| match stage.fixed_ns {
                0 => share_of(objective, stage.share),
                fixed => Duration::from_nanos(fixed),
            })
        });
        let mut deadlines = [objective; 5];
        for stage in (0..4).rev() {
            deadlines[stage] = deadlines[stage + 1].saturating_sub(promised[stage + 1]);
        }
        Self {
            objective,
            deadlines,
        }
    }

    /// Time left for a stage, `spent` after the request's arrival.
    ///
    /// ```
    /// use rainstand_config::schema;
    /// use rainstand_routing::time_budget::{Stage, Times};
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let answer = Some(schema::Stage { share: 0, fixed_ns: 100_000_000 });
    /// let call = Some(schema::Stage { share: 300_000, fixed_ns: 0 });
    /// let times = Times::new(ms(2_000), Some(&schema::Budget { call, answer, ..schema::Budget::default() }));
    /// assert_eq!(times.left(Stage::Run, ms(400)), ms(900));
    /// assert_eq!(times.left(Stage::Call, ms(1_500)), ms(400));
    /// assert_eq!(times.left(Stage::Answer, ms(2_500)), ms(0));
    /// ```
    pub fn left(&self, stage: Stage, spent: Duration) -> Duration {
        self.deadlines[stage as usize].saturating_sub(spent)
    }
}
