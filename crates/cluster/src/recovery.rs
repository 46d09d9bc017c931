//! Recovery from the loss of a majority: restarts the group from the replicas of one stopped member.
//!
//! Entries that the lost replicas had committed and this one does not hold are lost, and cannot be identified. The
//! report lists the local keys that may be affected: those that were started and have no recorded outcome. The
//! generation is incremented, so that a disk of an earlier generation is quarantined when it rejoins, instead of
//! electing a leader with other such disks.

use crate::error::ClusterError;
use crate::persistence::decode_recovered;
use prost::Message as _;
use rainstand_raft::wire::Snapshot;
use rainstand_raft::{EntryKind, Membership, PersistentState, SnapshotMetadata};
use rainstand_replicated_state::frames::{BootstrapConfig, BootstrapMember};
use rainstand_replicated_state::idempotency::{Command, IdempotencyTable};
use rainstand_replicated_state::member::{METADATA_BOOTSTRAP, METADATA_GENERATION};
use rainstand_storage::recovery::StoreContents;
use rainstand_storage::{
    FolderDisk, Identity, IdentitySeed, LogSuffix, OpenError, Record, Store, StoreLimits,
};
use serde::Serialize;
use std::path::Path;

/// The number of keys without a recorded outcome that are listed per shard.
const MAX_LISTED_KEYS: usize = 1_000;

/// The possible loss in one shard. The field names are those of the JSON output.
#[derive(Debug, Serialize)]
pub struct ShardLoss {
    /// The shard.
    pub shard: u16,
    /// Index of the last local log entry.
    pub last: u64,
    /// Index of the snapshot: entries up to it are known to be committed, later ones may or may not be.
    pub committed: u64,
    /// Number of keys in the local replica.
    pub keys: usize,
    /// Keys that were started and have no recorded outcome in the local replica; at most 1,000 are listed.
    pub started: Vec<String>,
}

/// The possible loss in all shards. The field names are those of the JSON output.
#[derive(Debug, Serialize)]
pub struct RecoveryReport {
    /// The group's generation after the recovery.
    pub generation: u64,
    /// The shards with a local replica.
    pub shards: Vec<ShardLoss>,
    /// Shards of which this disk has no replica: they are empty after the recovery.
    pub missing: Vec<u16>,
}

/// Whether a recovery changes the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryMode {
    /// Only reports the possible loss.
    Report,
    /// Accepts the loss and rewrites the store.
    AcceptLoss,
}

/// A snapshot that replaces a shard's log and snapshot.
struct ReplacementSnapshot {
    shard: u16,
    snapshot: Snapshot,
}

/// Reports the possible loss and, with [`RecoveryMode::AcceptLoss`], makes this disk the group's only one. Every local
/// entry is treated as committed: retaining a start or result that was not committed is safer than losing one that was.
///
/// # Errors
/// If the folder is in use, damaged, or holds no member's store.
pub fn recover(
    folder: &Path,
    name: &str,
    mode: RecoveryMode,
) -> Result<RecoveryReport, ClusterError> {
    let mut disk = FolderDisk::open(folder)?;
    let StoreContents {
        identity,
        recovered,
    } = rainstand_storage::recover(&mut disk)?;
    let identity = identity.ok_or(ClusterError::NoStore)?;
    let old_state = decode_recovered(&identity, &recovered)?;
    let bootstrap = old_state.bootstrap.ok_or(ClusterError::NeverBootstrapped)?;
    let mut report = RecoveryReport {
        generation: old_state.generation + 1,
        shards: Vec::new(),
        missing: Vec::new(),
    };
    let only_voter = Membership::from_voters([(identity.disk, name.to_owned())]);
    let mut replacements = Vec::new();
    for shard in 0..bootstrap.shards as u16 {
        let state = old_state.shards.get(&shard);
        let snapshot = if let Some(recoverable) = state.and_then(RecoverableShard::from_state) {
            let (loss, snapshot) = recoverable.replay(shard, only_voter.clone())?;
            report.shards.push(loss);
            snapshot
        } else {
            report.missing.push(shard);
            empty_snapshot(only_voter.clone())
        };
        replacements.push(ReplacementSnapshot { shard, snapshot });
    }
    drop(disk);
    if mode == RecoveryMode::AcceptLoss {
        let bootstrap = BootstrapConfig {
            members: vec![BootstrapMember {
                name: name.to_owned(),
                site: String::new(),
                disk: identity.disk,
            }],
            ..bootstrap
        };
        rewrite_store(
            folder,
            &identity,
            &bootstrap,
            report.generation,
            replacements,
        )?;
    }
    Ok(report)
}

/// A shard whose local state has a snapshot.
struct RecoverableShard<'a> {
    state: &'a PersistentState,
    snapshot: &'a Snapshot,
}

impl<'a> RecoverableShard<'a> {
    fn from_state(state: &'a PersistentState) -> Option<Self> {
        let snapshot = state.snapshot.as_ref()?;
        Some(Self { state, snapshot })
    }

    /// Applies all entries after the snapshot; returns the possible loss and the shard's new snapshot.
    fn replay(
        &self,
        shard: u16,
        membership: Membership,
    ) -> Result<(ShardLoss, Snapshot), ClusterError> {
        let mut table = IdempotencyTable::new(usize::MAX, 0);
        if !self.snapshot.data.is_empty() {
            table
                .restore(self.snapshot.data.clone())
                .map_err(|source| ClusterError::Snapshot { shard, source })?;
        }
        let mut metadata = self.snapshot.metadata.clone();
        for entry in &self.state.entries {
            metadata.checksum = entry.checksum(metadata.checksum);
            metadata.index = entry.index;
            metadata.term = entry.term;
            metadata.stamp = entry.stamp;
            if entry.kind() == EntryKind::Data {
                if let Ok(command) = Command::decode(entry.data.clone()) {
                    table.apply(entry.stamp, &command);
                }
            }
        }
        let loss = ShardLoss {
            shard,
            last: metadata.index,
            committed: self.snapshot.metadata.index,
            keys: table.len(),
            started: started_keys(&table),
        };
        metadata.config = membership;
        // Beyond every earlier index, so that no earlier entry with other content has this index.
        metadata.index += 1;
        metadata.term = metadata.term.max(self.state.hard_state.term) + 1;
        let snapshot = Snapshot {
            metadata,
            data: table.snapshot(),
        };
        Ok((loss, snapshot))
    }
}

/// The keys without a recorded outcome, as `type/name`.
fn started_keys(table: &IdempotencyTable) -> Vec<String> {
    let display_key = |key: &[u8]| String::from_utf8_lossy(key).replacen('\0', "/", 1);
    table
        .started()
        .take(MAX_LISTED_KEYS)
        .map(|key| display_key(key))
        .collect()
}

/// The first snapshot of a shard in a new group.
fn empty_snapshot(membership: Membership) -> Snapshot {
    Snapshot {
        metadata: SnapshotMetadata {
            index: 1,
            term: 1,
            stamp: 0,
            checksum: 1,
            config: membership,
        },
        data: Vec::new().into(),
    }
}

fn rewrite_store(
    folder: &Path,
    identity: &Identity,
    bootstrap: &BootstrapConfig,
    generation: u64,
    replacements: Vec<ReplacementSnapshot>,
) -> Result<(), ClusterError> {
    let disk = FolderDisk::open(folder).map_err(OpenError::Io)?;
    let seed = IdentitySeed {
        disk: identity.disk,
        nonce: identity.nonce ^ identity.incarnation,
    };
    let (mut store, _) = Store::open(disk, StoreLimits::default(), seed)?;
    store.append(&Record::Metadata {
        number: METADATA_BOOTSTRAP,
        data: bootstrap.encode_to_vec(),
    });
    store.append(&Record::Metadata {
        number: METADATA_GENERATION,
        data: generation.to_le_bytes().to_vec(),
    });
    for ReplacementSnapshot { shard, snapshot } in replacements {
        let (index, data) = (snapshot.metadata.index, snapshot.encode_to_vec());
        store
            .install_snapshot(shard, index, &data, LogSuffix::Discard)
            .map_err(|source| ClusterError::WriteSnapshot { shard, source })?;
    }
    store.flush()?;
    Ok(())
}
