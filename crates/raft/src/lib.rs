//! A replicated log without I/O (Raft: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014; chapters 3, 4, 6, 9).
//!
//! | module | contents |
//! | --- | --- |
//! | [`wire`] | entries, messages and memberships, as they are sent and stored |
//! | [`log`] | the entries in memory after a snapshot, with their running checksums |
//! | [`replica`] | the protocol logic: elections, replication, membership, snapshots, reads |
//! | [`divergence`] | the rule for replicas whose logs diverged |
//! | [`plant`] | bugs that can be planted by name, for tests |
//!
//! Usage: [`Replica::tick`], [`Replica::step`], [`Replica::propose`] and the other methods change the state;
//! [`Replica::take_ready`] then returns the effects. The caller writes to disk in the order of the calls and, within one
//! [`Ready`], first the hard state, then the snapshot, then the entries. Messages in [`Ready::messages`] may be sent
//! immediately; those in [`Ready::messages_after_persist`] must wait until all writes returned so far are durable. The
//! caller reports durable entries with [`Replica::on_persisted`]. Time and the random seed are parameters, so that the
//! same calls have the same effects.
//!
//! A member is identified by its disk, not by its name: a node that restarts with another disk is another member, and
//! inherits no vote.

pub mod divergence;
pub mod log;
pub mod plant;
pub mod replica;
pub mod wire;

pub use replica::{
    CampaignKind, FollowerProgress, MembershipChange, PersistentState, ProposalError, ReadState,
    Ready, Replica, Role, SnapshotInstall, Timeouts,
};
pub use wire::{
    Entry, EntryKind, HardState, Member, Membership, Message, ReplicaId, SnapshotMetadata,
};
