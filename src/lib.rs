//! Admission control and scheduling for servers behind load balancers that are not under their control.
//!
//! An [`AdmissionController`] decides for one server which requests it admits, runs and rejects. It does no
//! I/O and never reads a clock: the embedding program passes the current time with each call, and receives orders
//! through the [`Host`] trait. All decisions are made in [`choice`]; [`host`] defines the types of its interface,
//! [`options`] the settings of its components, [`in_flight`] the table of requests in flight, and [`decay`] the
//! decaying sums that it measures with.

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
