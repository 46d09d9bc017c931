//! Admission and scheduling for the servers behind other people's balancers.
//!
//! An [`AdmissionController`] decides for one server which requests it admits, runs and rejects. It does no
//! I/O and never reads a clock: the program around it calls in with the time since start, and gets its orders
//! through the [`Host`] trait. All decisions live in [`choice`]; [`host`] holds the types at its edge,
//! [`options`] the settings of its parts, [`in_flight`] the requests that are not answered yet, and [`decay`]
//! the sums that it measures with.

pub mod choice;
pub mod decay;
pub mod host;
pub mod in_flight;
pub mod options;

pub use choice::{
    AdmissionController, Components, ConcurrencyLimiter, DownstreamLimiter, LoadAdvertiser,
    TenantQuotas,
};
pub use host::{
    Arrival, Gauges, Host, LoadSignal, Outcome, Rejection, Repeatability, RequestClass,
    RetryElsewhere, RetryOf,
};
pub use in_flight::InFlightRequests;
pub use options::{AdvertiserOptions, ClientConnections, ColdStart, DownstreamShare};
