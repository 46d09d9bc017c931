//! Admission and scheduling for the servers behind other people's balancers.
//!
//! A [`Node`] decides for one server which tickets it takes, runs and turns
//! away. It does no I/O and never reads a clock: the program around it calls in
//! with the time since start, and gets its orders through the [`Host`] trait.
//! All decisions live in [`choice`]; `ticket` holds the types at its edge,
//! `hand` the books of the tickets in hand, `decay` the sums it measures with.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod choice;
pub mod decay;
pub mod hand;
pub mod ticket;

pub use choice::{Below, Ledger, Limit, Node, Voice};
pub use hand::Hand;
pub use ticket::{Arrival, Gauges, Host, Outcome, Repeat, Repeats, Say, TrafficType};
