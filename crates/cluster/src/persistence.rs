//! A member's writes as records of the store, and what a recovery found as a member takes it.

use prost::Message as _;
use rainstand_raft::wire::Snapshot;
use rainstand_raft::{Entry, HardState, PersistentState};
use rainstand_replicated_state::frames::{BootstrapConfig, PeerIncarnations};
use rainstand_replicated_state::member::{
    PersistentWrite, RecoveredState, METADATA_BOOTSTRAP, METADATA_GENERATION, METADATA_MEMBER_NAME,
    METADATA_PEER_INCARNATIONS,
};
use rainstand_storage::{Disk, Identity, LogSuffix, Record, Recovered, Store, StoredEntry};
use std::io;

/// What a recovery found. A record whose bytes are none of a member's was written by another program: it is told.
///
/// # Errors
/// Which record cannot be read.
pub fn found(identity: &Identity, recovered: &Recovered) -> Result<RecoveredState, String> {
    let mut found = RecoveredState {
        disk: identity.disk,
        incarnation: identity.incarnation,
        nonce: identity.nonce,
        ..RecoveredState::default()
    };
    for (shard, one) in &recovered.shards {
        let flaw = |what: &str, why: prost::DecodeError| format!("shard {shard}: {what}: {why}");
        let mut state = PersistentState::default();
        if let Some(data) = &one.hard_state {
            state.hard_state =
                HardState::decode(&data[..]).map_err(|why| flaw("term and vote", why))?;
        }
        if let Some(snapshot) = &one.snapshot {
            state.snapshot =
                Some(Snapshot::decode(&snapshot.data[..]).map_err(|why| flaw("snapshot", why))?);
        }
        for StoredEntry { index, data } in &one.entries {
            let entry = Entry::decode(&data[..]).map_err(|why| flaw("entry", why))?;
            if entry.index != *index {
                return Err(format!(
                    "shard {shard}: entry {index} says that it is {}",
                    entry.index
                ));
            }
            state.entries.push(entry);
        }
        found.shards.insert(*shard, state);
    }
    let note = |number: u16| recovered.metadata.get(&number);
    if let Some(data) = note(METADATA_BOOTSTRAP) {
        found.bootstrap = Some(
            BootstrapConfig::decode(&data[..]).map_err(|why| format!("first members: {why}"))?,
        );
    }
    // Without it old copies of other disks are told later, not never.
    found.peer_incarnations =
        note(METADATA_PEER_INCARNATIONS).and_then(|data| PeerIncarnations::decode(&data[..]).ok());
    found.member_name =
        note(METADATA_MEMBER_NAME).and_then(|data| String::from_utf8(data.clone()).ok());
    let generation = note(METADATA_GENERATION).and_then(|data| data[..].try_into().ok());
    found.generation = generation.map_or(0, u64::from_le_bytes);
    Ok(found)
}

/// A write as a record; none for a snapshot, which is saved.
pub fn record(write: &PersistentWrite) -> Option<Record> {
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

/// What becomes of the entries behind a snapshot.
pub fn log_suffix(discard: bool) -> LogSuffix {
    if discard {
        LogSuffix::Discard
    } else {
        LogSuffix::Retain
    }
}

/// Puts a write; a snapshot is durable when this returns.
///
/// # Errors
/// If the disk fails.
pub fn put<D: Disk>(store: &mut Store<D>, write: &PersistentWrite) -> io::Result<()> {
    if let PersistentWrite::InstallSnapshot {
        shard,
        snapshot,
        alone,
    } = write
    {
        return store.install_snapshot(
            *shard,
            snapshot.metadata.index,
            &snapshot.encode_to_vec(),
            log_suffix(*alone),
        );
    }
    if let Some(record) = record(write) {
        store.append(&record);
    }
    Ok(())
}
