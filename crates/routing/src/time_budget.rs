//! How much time each stage of a request may still take, of its goal time.
//!
//! A stage ends when what the stages behind it are promised is all that is left. Time that an earlier
//! stage did not need is there for the later ones; time that it took too long is lost by the stage that
//! follows first, so that the answer still goes out in time.

use rainstand_config::schema;
use rainstand_config::units::ONE;
use std::time::Duration;

/// The stages in the order in which a request passes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Forward,
    Queue,
    Run,
    Call,
    Answer,
}

/// What each stage is promised of one goal time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    pub goal: Duration,
    /// When each stage must be over, counted from the request's arrival.
    ends: [Duration; 5],
}

/// A part of a time, in millionths, rounded down.
pub fn part(of: Duration, share: u64) -> Duration {
    let ns = of.as_nanos() * u128::from(share) / u128::from(ONE);
    Duration::from_nanos(u64::try_from(ns).unwrap_or(u64::MAX))
}

impl Times {
    /// Without a budget every stage may take all there is.
    pub fn new(goal: Duration, budget: Option<&schema::Budget>) -> Self {
        let stages = budget.map_or([None; 5], |b| [b.forward, b.queue, b.run, b.call, b.answer]);
        let promised = stages.map(|stage| {
            stage.map_or(Duration::ZERO, |stage| match stage.fixed_ns {
                0 => part(goal, stage.share),
                fixed => Duration::from_nanos(fixed),
            })
        });
        let mut ends = [goal; 5];
        for stage in (0..4).rev() {
            ends[stage] = ends[stage + 1].saturating_sub(promised[stage + 1]);
        }
        Self { goal, ends }
    }

    /// What is left for a stage, `spent` after the request's arrival.
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
        self.ends[stage as usize].saturating_sub(spent)
    }
}
