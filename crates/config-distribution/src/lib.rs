//! Distribution of a versioned configuration from up to six config servers to a fleet of subscribers.
//!
//! This crate makes decisions only and does no I/O: time, random seeds and frames are passed in, and effects (frames to
//! send, versions to apply, links to close) are drained by a driver.
//!
//! | module | job |
//! | --- | --- |
//! | [`frames`] | the messages on the wire |
//! | [`delta`] | a configuration as a set of resources, deltas between versions, the incremental digest |
//! | [`snapshot`] | a full version, compressed, for links and disks |
//! | [`publisher`] | a config server: the newest version, a bounded history, and what each subscriber holds |
//! | [`subscriber`] | a process: the version in force, what it accepts and what it rejects |
//! | [`attachment`] | which config server a process attaches to, and when |
//! | [`planted_bugs`] | deliberate bugs that show that the simulation tests detect them |
//!
//! Versions are numbered by the replicated log. A committed change is a [`frames::Delta`] from the version before it; a
//! delta made from any other version is rejected identically on every server, since all apply the same log.

pub mod attachment;
pub mod delta;
mod error;
pub mod frames;
pub mod planted_bugs;
pub mod publisher;
pub mod snapshot;
pub mod subscriber;

pub use error::{ResourceError, UpdateError};
