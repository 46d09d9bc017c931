//! How much less a node uses after its start, when it knows neither its machine's speed nor its predecessor's calls.
//!
//! - **Cold machine:** it survives only a share of the concurrency that a warm one survives. The share grows from the
//!   initial speed to 1 over the warm-up time (both from the settings, which give the slowest warm-up allowed); it
//!   reduces the ceiling of [`concurrency_limit`](super::concurrency_limit).
//! - **Predecessor:** calls of an earlier process of this node may still occupy the downstream tier. They leave the
//!   window as this process ages, so the usable part of the budget grows with that age from
//!   [`INITIAL_BUDGET_SHARE`] to 1; it reduces the budget of [`downstream_limit`](super::downstream_limit). The first
//!   process on a machine may use the whole budget immediately.
//!
//! Not in KIP-124.

use super::shared_constants::SAFETY_SHARE;
use crate::options::ColdStart;
use std::time::Duration;

/// Part of the downstream budget that a successor may use immediately: as much as the budget leaves of the share.
const INITIAL_BUDGET_SHARE: f64 = (1.0 - SAFETY_SHARE) / SAFETY_SHARE;
/// Shortest warm-up time, in seconds; shorter ones are raised to it.
const MIN_WARM_UP_S: f64 = 1e-9;

/// Share of a warm machine's extra concurrency that this machine has now, 0 to 1.
pub(super) fn warm_share(cold_start: Option<ColdStart>, now: Duration) -> f64 {
    cold_start.map_or(1.0, |cold| {
        let age = now.saturating_sub(cold.began).as_secs_f64()
            / cold.warm_up.as_secs_f64().max(MIN_WARM_UP_S);
        (cold.initial_speed + (1.0 - cold.initial_speed) * age).clamp(0.0, 1.0)
    })
}

/// The part of the downstream budget that is free of a predecessor's calls.
#[derive(Default)]
pub(super) struct BudgetRamp {
    initial_share: f64,
    /// When the budget was first used.
    began: Option<Duration>,
}

impl BudgetRamp {
    /// For a process that may have had a predecessor.
    pub(super) fn after_predecessor() -> Self {
        Self {
            initial_share: INITIAL_BUDGET_SHARE,
            began: None,
        }
    }

    /// For the first process on its machine.
    pub(super) fn without_predecessor() -> Self {
        Self {
            initial_share: 1.0,
            began: None,
        }
    }

    /// The part of the budget that may be used, 0 to 1. `window`: the window of the budget.
    pub(super) fn usable(&mut self, now: Duration, window: Duration) -> f64 {
        let began = *self.began.get_or_insert(now);
        let age = now.saturating_sub(began).as_secs_f64();
        (self.initial_share + age / window.as_secs_f64()).min(1.0)
    }
}
