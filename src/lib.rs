//! Admission and scheduling for the servers behind other people's balancers.
//!
//! An [`AdmissionController`] decides for one server which requests it admits, runs and rejects. It does no I/O
//! and never reads a clock: the program around it calls in with the time since start, and gets its orders through
//! the [`Host`] trait. All decisions live in [`choice`]; [`host`] holds the types at its edge, [`in_flight`] the
//! requests in hand, [`decay`] the sums it measures with, [`parts`] what a controller is made of.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod choice;
pub mod decay;
pub mod host;
pub mod in_flight;
pub mod parts;

pub use choice::{AdmissionController, ConcurrencyLimiter, DownstreamLimiter, LoadAdvertiser, TenantQuotas};
pub use host::{Arrival, Gauges, Host, LoadSignal, Outcome, Repeatability, RequestClass, RetryOf};
pub use in_flight::InFlightRequests;
pub use parts::Parts;
