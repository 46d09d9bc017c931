//! The way back from the loss of a majority: one stopped member's copies alone begin the group anew.
//!
//! What the lost copies had committed and this one had not is lost, and nobody can tell what that was; what is
//! here and may be affected is written down: keys that were started and have no end. The generation goes up, so that a
//! disk of before that comes back is set aside instead of electing others of its kind.

use crate::persistence::found;
use prost::Message as _;
use rainstand_raft::wire::Snapshot;
use rainstand_raft::{EntryKind, Membership, SnapshotMetadata};
use rainstand_replicated_state::frames::{BootstrapConfig, BootstrapMember};
use rainstand_replicated_state::idempotency::{Command, IdempotencyTable};
use rainstand_replicated_state::member::{METADATA_BOOTSTRAP, METADATA_GENERATION};
use rainstand_storage::recovery::StoreContents;
use rainstand_storage::{
    FolderDisk, IdentitySeed, LogSuffix, OpenError, Record, Store, StoreLimits,
};
use serde::Serialize;
use std::path::Path;

/// Keys without an end that are named, a shard.
const NAMED: usize = 1_000;

#[derive(Debug, Serialize)]
pub struct ShardLoss {
    pub shard: u16,
    pub last: u64,
    /// Up to here the snapshot proves it; what is behind it may have been committed or not.
    pub committed: u64,
    pub keys: usize,
    /// Keys that were started and have no end here.
    pub started: Vec<String>,
}

/// What may be lost.
#[derive(Debug, Serialize)]
pub struct RecoveryReport {
    pub generation: u64,
    pub shards: Vec<ShardLoss>,
    /// Shards of which this disk has no copy.
    pub missing: Vec<u16>,
}

fn shown(key: &[u8]) -> String {
    String::from_utf8_lossy(key).replacen('\0', "/", 1)
}

/// Tells what would be lost and, if that is accepted, makes this disk the group's only one. Every entry that is here is
/// taken for committed: a start or result that was on its way is better known than forgotten.
///
/// # Errors
/// If the folder is in use, damaged, or holds no member's disk.
pub fn recover(folder: &Path, name: &str, accept: bool) -> Result<RecoveryReport, String> {
    let mut disk = FolderDisk::open(folder).map_err(|why| why.to_string())?;
    let StoreContents {
        identity,
        recovered,
    } = rainstand_storage::recover(&mut disk).map_err(|why| why.to_string())?;
    let Some(identity) = identity else {
        return Err("no disk of a member".into());
    };
    let before = found(&identity, &recovered)?;
    let Some(form) = before.bootstrap.clone() else {
        return Err("its group never began".into());
    };
    let mut lost = RecoveryReport {
        generation: before.generation + 1,
        shards: Vec::new(),
        missing: Vec::new(),
    };
    let mut saves = Vec::new();
    for shard in 0..form.shards as u16 {
        let Some(state) = before
            .shards
            .get(&shard)
            .filter(|state| state.snapshot.is_some())
        else {
            lost.missing.push(shard);
            // Begins empty, as at the group's beginning.
            let config = Membership::from_voters([(identity.disk, name.to_owned())]);
            let base = SnapshotMetadata {
                index: 1,
                term: 1,
                stamp: 0,
                checksum: 1,
                config,
            };
            saves.push((
                shard,
                Snapshot {
                    metadata: base,
                    data: Vec::new().into(),
                },
            ));
            continue;
        };
        let Some(snapshot) = &state.snapshot else {
            continue;
        };
        let mut table = IdempotencyTable::new(usize::MAX, 0);
        if !snapshot.data.is_empty() {
            table
                .restore(snapshot.data.clone())
                .map_err(|why| format!("shard {shard}: {why}"))?;
        }
        let mut base = snapshot.metadata.clone();
        let mut sum = base.checksum;
        for entry in &state.entries {
            sum = entry.checksum(sum);
            (base.index, base.term, base.stamp, base.checksum) =
                (entry.index, entry.term, entry.stamp, sum);
            if entry.kind() == EntryKind::Data {
                if let Ok(command) = Command::decode(entry.data.clone()) {
                    table.apply(entry.stamp, &command);
                }
            }
        }
        lost.shards.push(ShardLoss {
            shard,
            last: base.index,
            committed: snapshot.metadata.index,
            keys: table.len(),
            started: table.started().take(NAMED).map(|key| shown(key)).collect(),
        });
        base.config = Membership::from_voters([(identity.disk, name.to_owned())]);
        // Behind all that was: no entry of before has this index and another content.
        (base.index, base.term) = (base.index + 1, base.term.max(state.hard_state.term) + 1);
        saves.push((
            shard,
            Snapshot {
                metadata: base,
                data: table.snapshot(),
            },
        ));
    }
    if !accept {
        return Ok(lost);
    }
    drop(disk);
    let open = || -> Result<Store<FolderDisk>, OpenError> {
        let disk = FolderDisk::open(folder)?;
        Ok(Store::open(
            disk,
            StoreLimits::default(),
            IdentitySeed {
                disk: identity.disk,
                nonce: identity.nonce ^ identity.incarnation,
            },
        )?
        .0)
    };
    let mut store = open().map_err(|why| why.to_string())?;
    let alone = BootstrapConfig {
        members: vec![BootstrapMember {
            name: name.to_owned(),
            site: String::new(),
            disk: identity.disk,
        }],
        ..form
    };
    store.append(&Record::Metadata {
        number: METADATA_BOOTSTRAP,
        data: alone.encode_to_vec(),
    });
    store.append(&Record::Metadata {
        number: METADATA_GENERATION,
        data: lost.generation.to_le_bytes().to_vec(),
    });
    for (shard, snapshot) in saves {
        store
            .install_snapshot(
                shard,
                snapshot.metadata.index,
                &snapshot.encode_to_vec(),
                LogSuffix::Discard,
            )
            .map_err(|why| format!("shard {shard}: {why}"))?;
    }
    store.flush().map_err(|why| why.to_string())?;
    Ok(lost)
}
