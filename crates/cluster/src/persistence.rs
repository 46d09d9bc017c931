//! Conversion between a group member's writes and the store's records, and of recovered records to a member's state.

use crate::error::RecordError;
use prost::Message as _;
use rainstand_raft::wire::Snapshot;
use rainstand_raft::{Entry, HardState, PersistentState};
use rainstand_replicated_state::frames::{BootstrapConfig, PeerIncarnations};
use rainstand_replicated_state::member::{
    PersistentWrite, RecoveredState, WriteBatch, METADATA_BOOTSTRAP, METADATA_GENERATION,
    METADATA_MEMBER_NAME, METADATA_PEER_INCARNATIONS,
};
use rainstand_storage::writer::{WriteJob, Writer};
use rainstand_storage::{
    Disk, Identity, LogSuffix, Record, Recovered, RecoveredShard, Store, StoredEntry,
};
use std::io;

/// Decodes the contents of a store into a group member's state.
///
/// # Errors
/// If a record does not hold a group member's data, that is, if another program wrote it.
pub fn decode_recovered(
    identity: &Identity,
    recovered: &Recovered,
) -> Result<RecoveredState, RecordError> {
    let mut state = RecoveredState {
        disk: identity.disk,
        incarnation: identity.incarnation,
        nonce: identity.nonce,
        ..RecoveredState::default()
    };
    for (shard, stored) in &recovered.shards {
        state.shards.insert(*shard, decode_shard(*shard, stored)?);
    }
    let metadata = |number: u16| recovered.metadata.get(&number);
    if let Some(data) = metadata(METADATA_BOOTSTRAP) {
        let bootstrap = BootstrapConfig::decode(&data[..]).map_err(RecordError::Bootstrap)?;
        state.bootstrap = Some(bootstrap);
    }
    // If this record is missing or invalid, stale copies of other disks are still detected, only later.
    state.peer_incarnations = metadata(METADATA_PEER_INCARNATIONS)
        .and_then(|data| PeerIncarnations::decode(&data[..]).ok());
    state.member_name =
        metadata(METADATA_MEMBER_NAME).and_then(|data| String::from_utf8(data.clone()).ok());
    let generation = metadata(METADATA_GENERATION).and_then(|data| data[..].try_into().ok());
    state.generation = generation.map_or(0, u64::from_le_bytes);
    Ok(state)
}

fn decode_shard(shard: u16, stored: &RecoveredShard) -> Result<PersistentState, RecordError> {
    let invalid = |kind: &'static str| {
        move |source: prost::DecodeError| RecordError::Shard {
            shard,
            kind,
            source,
        }
    };
    let mut state = PersistentState::default();
    if let Some(data) = &stored.hard_state {
        state.hard_state = HardState::decode(&data[..]).map_err(invalid("term and vote"))?;
    }
    if let Some(snapshot) = &stored.snapshot {
        let snapshot = Snapshot::decode(&snapshot.data[..]).map_err(invalid("snapshot"))?;
        state.snapshot = Some(snapshot);
    }
    for StoredEntry { index, data } in &stored.entries {
        let entry = Entry::decode(&data[..]).map_err(invalid("entry"))?;
        if entry.index != *index {
            return Err(RecordError::EntryIndex {
                shard,
                stored: *index,
                own: entry.index,
            });
        }
        state.entries.push(entry);
    }
    Ok(state)
}

/// Encodes a write as a record; `None` for a snapshot, which is installed instead.
fn encode_record(write: &PersistentWrite) -> Option<Record> {
    Some(match write {
        PersistentWrite::HardState { shard, hard } => Record::HardState {
            shard: *shard,
            data: hard.encode_to_vec(),
        },
        PersistentWrite::Entry { shard, entry } => Record::Entry {
            shard: *shard,
            index: entry.index,
            data: entry.encode_to_vec(),
        },
        PersistentWrite::Metadata { number, data } => Record::Metadata {
            number: *number,
            data: data.to_vec(),
        },
        PersistentWrite::InstallSnapshot { .. } => return None,
    })
}

/// Whether the log entries after a snapshot are discarded or retained.
fn log_suffix(discard: bool) -> LogSuffix {
    if discard {
        LogSuffix::Discard
    } else {
        LogSuffix::Retain
    }
}

/// Submits a batch of writes to the storage thread, in order. The last job reports the batch's number.
pub(crate) fn submit(writer: &Writer, batch: WriteBatch) {
    let WriteBatch { number, writes } = batch;
    let mut records = Vec::new();
    for write in writes {
        let PersistentWrite::InstallSnapshot {
            shard,
            snapshot,
            discard_suffix,
        } = write
        else {
            records.extend(encode_record(&write));
            continue;
        };
        if !records.is_empty() {
            writer.submit(WriteJob::Write {
                number: number - 1,
                records: std::mem::take(&mut records),
            });
        }
        writer.submit(WriteJob::InstallSnapshot {
            number: number - 1,
            shard,
            index: snapshot.metadata.index,
            data: snapshot.encode_to_vec(),
            suffix: log_suffix(discard_suffix),
        });
    }
    writer.submit(WriteJob::Write { number, records });
}

/// Appends a write to a store; a snapshot is durable on return. For simulations, which have no storage thread.
///
/// # Errors
/// If the disk fails.
pub fn append<D: Disk>(store: &mut Store<D>, write: &PersistentWrite) -> io::Result<()> {
    if let PersistentWrite::InstallSnapshot {
        shard,
        snapshot,
        discard_suffix,
    } = write
    {
        let data = snapshot.encode_to_vec();
        let index = snapshot.metadata.index;
        return store.install_snapshot(*shard, index, &data, log_suffix(*discard_suffix));
    }
    if let Some(record) = encode_record(write) {
        store.append(&record);
    }
    Ok(())
}
