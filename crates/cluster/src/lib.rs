//! A member of a group of nodes on sockets and a disk.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`host`] | drives a member: its time, its writes, its answers |
//! | [`links`] | one connection to each other member for what is sent, one from each for what comes |
//! | [`disk`] | a member's writes as records of the store, and back |
//! | [`testing`] | clocks and disks that go wrong, where a configuration says `testing` |
//! | [`serve`] | processes that are attached and no members: a control machine's side |
//! | [`attach`] | and their own side |
//! | [`status`] | what operators are told |
//! | [`recovery`] | the way back from the loss of a majority |
//!
//! All decisions are those of `crates/replicated-state` and `crates/raft`. Everything runs on the program's one thread, but
//! for one thread that writes and flushes. Nothing of it exists where no group is configured.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod attachment;
pub mod config_server;
pub mod driver;
pub mod fault_injection;
pub mod persistence;
pub mod recovery;
pub mod status;
pub mod transport;

pub use driver::{ClusterMember, MemberOptions};
