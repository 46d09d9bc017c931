//! Observability for operators: [`Counters`] of socket events, and [`Metrics`] by member and route in the `OpenMetrics`
//! text format.

mod counters;
mod metrics;
mod totals;

pub use counters::Counters;
pub(crate) use counters::{add, increment};
pub use metrics::Metrics;
