//! The way back from the loss of a majority: the replicas of one stopped member restart the group.
//!
//! What the lost replicas had committed and this one had not is lost, and nothing can tell what that was. What is here
//! and may be affected is listed: keys that were started and have no end. The generation goes up, so that a disk of
//! before that comes back is quarantined instead of electing others of its kind.

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

/// Keys without an end that are listed, a shard.
const MAX_LISTED_KEYS: usize = 1_000;

/// What may be lost of one shard. The field names are those of the JSON output.
#[derive(Debug, Serialize)]
pub struct ShardLoss {
    /// The shard.
    pub shard: u16,
    /// Index of the last entry here.
    pub last: u64,
    /// Entries up to this index are proved to be committed by the snapshot; later ones may have been or not.
    pub committed: u64,
    /// Keys here.
    pub keys: usize,
    /// Keys that were started and have no end here, at most 1,000 of them.
    pub started: Vec<String>,
}

/// What may be lost. The field names are those of the JSON output.
#[derive(Debug, Serialize)]
pub struct RecoveryReport {
    /// The group's generation after the recovery.
    pub generation: u64,
    /// The shards of which there is a replica here.
    pub shards: Vec<ShardLoss>,
    /// Shards of which this disk has no replica: they begin empty.
    pub missing: Vec<u16>,
}

/// What a recovery does with a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryMode {
    /// Only reports what would be lost.
    Report,
    /// Accepts the loss: the store is rewritten.
    AcceptLoss,
}

/// A snapshot that replaces a shard's log.
struct ReplacementSnapshot {
    shard: u16,
    snapshot: Snapshot,
}

/// Reports what would be lost and, with [`RecoveryMode::AcceptLoss`], makes this disk the group's only one. Every entry that is here
/// counts as committed: a start or result whose commit is not known is better kept than forgotten.
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
    let before = decode_recovered(&identity, &recovered)?;
    let bootstrap = before.bootstrap.ok_or(ClusterError::NeverBootstrapped)?;
    let mut report = RecoveryReport {
        generation: before.generation + 1,
        shards: Vec::new(),
        missing: Vec::new(),
    };
    let only_voter = Membership::from_voters([(identity.disk, name.to_owned())]);
    let mut replacements = Vec::new();
    for shard in 0..bootstrap.shards as u16 {
        let state = before.shards.get(&shard);
        let snapshot = if let Some(found) = state.and_then(RecoverableShard::from_state) {
            let (loss, snapshot) = found.replay(shard, only_voter.clone())?;
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

/// A shard of which there is a snapshot.
struct RecoverableShard<'a> {
    state: &'a PersistentState,
    snapshot: &'a Snapshot,
}

impl<'a> RecoverableShard<'a> {
    fn from_state(state: &'a PersistentState) -> Option<Self> {
        let snapshot = state.snapshot.as_ref()?;
        Some(Self { state, snapshot })
    }

    /// Applies all entries behind the snapshot.
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
        // Behind everything before: no earlier entry has this index and another content.
        metadata.index += 1;
        metadata.term = metadata.term.max(self.state.hard_state.term) + 1;
        let snapshot = Snapshot {
            metadata,
            data: table.snapshot(),
        };
        Ok((loss, snapshot))
    }
}

/// Keys without an end as `type/name`.
fn started_keys(table: &IdempotencyTable) -> Vec<String> {
    let shown = |key: &[u8]| String::from_utf8_lossy(key).replacen('\0', "/", 1);
    table
        .started()
        .take(MAX_LISTED_KEYS)
        .map(|key| shown(key))
        .collect()
}

/// The snapshot with which a shard of a new group begins.
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
