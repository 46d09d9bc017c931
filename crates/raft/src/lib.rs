//! A replicated log without I/O (Raft: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014; chapters 3, 4, 6, 9).
//!
//! | module | what it is |
//! | --- | --- |
//! | [`wire`] | entries, messages, configurations, as they are sent and kept |
//! | [`log`] | the entries in memory, behind a snapshot, with their running checksum |
//! | [`replica`] | the decisions: elections, replication, membership, snapshots, reads |
//! | [`copies`] | the rule for copies that differ; a table |
//! | [`plant`] | bugs by name, for those who look whether they are found |
//!
//! How it is driven: [`Replica::tick`], [`Replica::receive`], [`Replica::propose`] and the rest change the state;
//! [`Replica::take`] then gives what follows from it. Writes go to the disk in order; messages in `after` wait until all
//! writes given up to then are durable, which [`Replica::written`] tells back; those in `now` need not.
//! Time and chance are handed in, so that the same calls give the same log.
//!
//! A member is a disk, not a name: a name that comes back with another disk is another member, and no vote is
//! inherited.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod divergence;
pub mod log;
pub mod plant;
pub mod replica;
pub mod wire;

pub use replica::{
    MembershipChange, PersistentState, ProposalError, Ready, Replica, Role, Timeouts,
};
pub use wire::{
    Entry, EntryKind, HardState, Member, Membership, Message, ReplicaId, SnapshotMetadata,
};
