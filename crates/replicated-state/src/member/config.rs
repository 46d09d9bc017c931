//! How a member is configured, and what its disk held when it was opened.

use crate::frames::{BootstrapConfig, PeerIncarnations};
use crate::placement::MemberPlacement;
use rainstand_raft::{PersistentState, ReplicaId, Timeouts};
use std::collections::BTreeMap;

/// Entries behind a snapshot that make the next one due, unless the configuration sets its own bound.
pub const DEFAULT_COMPACTION_ENTRIES: usize = 20_000;

/// Metadata record that holds the encoded [`BootstrapConfig`].
pub const METADATA_BOOTSTRAP: u16 = 1;
/// Metadata record that holds the group's generation, as a little-endian `u64`.
pub const METADATA_GENERATION: u16 = 2;
/// Metadata record that holds the encoded [`PeerIncarnations`].
pub const METADATA_PEER_INCARNATIONS: u16 = 3;
/// Metadata record that holds the name of the member that owns the disk.
pub const METADATA_MEMBER_NAME: u16 = 4;

/// Configuration of one member.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Name of the group; frames of another group are ignored.
    pub group: String,
    /// Name of this member.
    pub name: String,
    /// All configured members, this one included.
    pub members: Vec<MemberPlacement>,
    /// Number of shards, the same at all members.
    pub shards: u16,
    /// Replicas of each shard.
    pub replicas_per_shard: usize,
    /// Heartbeat interval and election timeout of every shard.
    pub timeouts: Timeouts,
    /// Shards led here that may have a learner at the same time.
    pub max_concurrent_learners: usize,
    /// Idempotency keys that one shard holds at most.
    pub max_keys_per_shard: usize,
    /// Entries behind a snapshot that make the next one due.
    pub compaction_entries: usize,
    /// Seed of the random election timeouts; it is mixed with the nonce of the start.
    pub seed: u64,
}

/// What was read from the disk when it was opened.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Identity of the disk.
    pub disk: ReplicaId,
    /// Number of starts of this disk, this one included.
    pub incarnation: u64,
    /// Random number of this start: it tells two starts under one number apart.
    pub nonce: u64,
    /// Persistent state of each shard's replica.
    pub shards: BTreeMap<u16, PersistentState>,
    /// The configuration that the group was formed with, if this disk took part in it.
    pub bootstrap: Option<BootstrapConfig>,
    /// Generation of the group; it goes up with each recovery from the loss of a majority.
    pub generation: u64,
    /// What was recorded of the other members.
    pub peer_incarnations: Option<PeerIncarnations>,
    /// Name of the member that the disk belongs to, if it was ever used.
    pub member_name: Option<String>,
}
