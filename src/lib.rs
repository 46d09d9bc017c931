//! Admission and scheduling for the servers behind other people's balancers.
//!
//! A [`Node`] decides for one server which tickets it takes, runs and turns
//! away. It does no I/O and never reads a clock: the program around it calls in
//! with the time since start, and gets its orders through the [`Host`] trait.
//! All decisions live in [`choice`]; `ticket` holds the types at its edge and
//! `decay` the one mechanism it measures with.

pub mod choice;
pub mod decay;
pub mod ticket;

pub use choice::{Below, Ledger, Limit, Node, Room, Voice};
pub use ticket::{Arrival, Gauges, Host, Outcome, Repeat, Repeats, Say, TrafficType};
