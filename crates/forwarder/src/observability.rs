//! What went on, for operators: [`Counters`] of the sockets, and [`Metrics`] by member and route in the `OpenMetrics` text
//! format.

mod counters;
mod metrics;
mod totals;

pub(crate) use counters::increment;
pub use counters::Counters;
pub use metrics::Metrics;
