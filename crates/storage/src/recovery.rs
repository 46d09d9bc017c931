//! Recovery: reads the contents of a store's files. It writes nothing.

use crate::disk::Disk;
use crate::error::{Damage, OpenError};
use crate::identity::Identity;
use crate::record::{LogSuffix, Record};
use crate::segment::{LocatedRecord, Segment, SegmentFile, TruncatedTail};
use crate::snapshot_file::{decode_snapshot, SnapshotName};
use std::collections::BTreeMap;

/// A snapshot of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Index of the last entry that it replaces.
    pub index: u64,
    /// As given to [`Store::install_snapshot`](crate::Store::install_snapshot).
    pub data: Vec<u8>,
}

/// An entry of a shard's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// Its position in the shard's log.
    pub index: u64,
    /// As given to [`Store::append`](crate::Store::append).
    pub data: Vec<u8>,
}

/// The recovered state of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredShard {
    /// The newest term and vote.
    pub hard_state: Option<Vec<u8>>,
    /// The newest snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<StoredEntry>,
}

impl RecoveredShard {
    /// Index of the last entry in the snapshot; 0 without a snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Index of the last entry, or of the snapshot if there are no entries.
    pub fn last_index(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot_index(), |entry| entry.index)
    }
}

/// The recovered contents of the log and the snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// By shard number.
    pub shards: BTreeMap<u16, RecoveredShard>,
    /// The newest metadata of each number.
    pub metadata: BTreeMap<u16, Vec<u8>>,
    /// A write that a crash interrupted; [`Store::open`](crate::Store::open) removes it.
    pub truncated_tail: Option<TruncatedTail>,
    /// Number of segments.
    pub segments: usize,
    /// Bytes of the segments, without the truncated tail.
    pub bytes: u64,
}

/// The contents of a store's files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreContents {
    /// As of the last start; `None` if the store was never opened.
    pub identity: Option<Identity>,
    /// The shards and the metadata.
    pub recovered: Recovered,
}

/// Reads all files and changes nothing.
///
/// # Errors
/// If the disk fails or a file is damaged.
pub fn recover(disk: &mut impl Disk) -> Result<StoreContents, OpenError> {
    let names = disk.list()?;
    let StoreFiles { identity, log } = read_files(disk, &names)?;
    Ok(StoreContents {
        identity,
        recovered: log.recovered,
    })
}

/// The contents of all files of a store, each read once.
pub(crate) struct StoreFiles {
    pub(crate) identity: Option<Identity>,
    pub(crate) log: LogContents,
}

/// Reads all files and changes nothing. `names`: all files, in order.
pub(crate) fn read_files(disk: &mut impl Disk, names: &[String]) -> Result<StoreFiles, OpenError> {
    let identity = Identity::read(disk, names)?;
    let log = read_log(disk, names)?;
    if identity.is_none() && log.recovered.segments > 0 {
        return Err(Identity::missing().into());
    }
    Ok(StoreFiles { identity, log })
}

/// The log, as a store needs it to continue writing.
pub(crate) struct LogContents {
    pub(crate) recovered: Recovered,
    pub(crate) segments: Vec<Segment>,
    /// Index of the newest snapshot of each shard.
    pub(crate) snapshot_indexes: BTreeMap<u16, u64>,
}

/// A segment's file, and the records that were read from it.
struct SegmentRecords {
    file: SegmentFile,
    records: Vec<LocatedRecord>,
}

/// Reads all segments, and the snapshots that they refer to. `names`: all files, in order.
fn read_log(disk: &mut impl Disk, names: &[String]) -> Result<LogContents, OpenError> {
    let mut recovered = Recovered::default();
    let mut segments: Vec<Segment> = Vec::new();
    let mut records_by_segment = Vec::new();
    for file in SegmentFile::list(names) {
        let previous = segments.last();
        if previous.is_some_and(|previous| file.number != previous.number + 1) {
            return Err(file.damage(0, "the previous segment is missing").into());
        }
        let contents = file.decode(&disk.read(&file.name)?)?;
        recovered.bytes += contents.bytes;
        recovered.truncated_tail = contents.truncated_tail;
        segments.push(Segment::new(file.number, contents.bytes));
        records_by_segment.push(SegmentRecords {
            file,
            records: contents.records,
        });
    }
    recovered.segments = segments.len();
    let snapshot_indexes = newest_snapshots(&records_by_segment);
    for (segment, SegmentRecords { file, records }) in segments.iter_mut().zip(records_by_segment) {
        for LocatedRecord { offset, record } in records {
            apply_record(&mut recovered, segment, &snapshot_indexes, record)
                .map_err(|gap| file.damage(offset, gap.to_string()))?;
        }
    }
    read_snapshots(disk, names, &snapshot_indexes, &mut recovered)?;
    Ok(LogContents {
        recovered,
        segments,
        snapshot_indexes,
    })
}

/// Index of the newest snapshot of each shard. It must be known before entries are applied: entries that a snapshot
/// replaces may have gaps, because segments are removed.
fn newest_snapshots(segments: &[SegmentRecords]) -> BTreeMap<u16, u64> {
    let mut indexes: BTreeMap<u16, u64> = BTreeMap::new();
    for located in segments.iter().flat_map(|segment| &segment.records) {
        if let Record::SnapshotMarker { shard, index, .. } = located.record {
            let newest = indexes.entry(shard).or_default();
            *newest = index.max(*newest);
        }
    }
    indexes
}

/// An entry whose index does not follow that of the previous entry.
#[derive(Debug, thiserror::Error)]
#[error("entry {index} of shard {shard} where entry {expected} was expected")]
struct EntryGap {
    shard: u16,
    index: u64,
    expected: u64,
}

/// Applies the next record of a segment.
fn apply_record(
    recovered: &mut Recovered,
    segment: &mut Segment,
    snapshot_indexes: &BTreeMap<u16, u64>,
    record: Record,
) -> Result<(), EntryGap> {
    match record {
        Record::HardState { shard, data } => {
            recovered.shards.entry(shard).or_default().hard_state = Some(data);
        }
        Record::Metadata { number, data } => {
            recovered.metadata.insert(number, data);
        }
        Record::SnapshotMarker {
            shard,
            index,
            suffix,
        } => {
            let entries = &mut recovered.shards.entry(shard).or_default().entries;
            entries.retain(|entry| entry.index > index && suffix == LogSuffix::Retain);
        }
        Record::Entry { shard, index, data } => {
            let snapshot_index = snapshot_indexes.get(&shard).copied().unwrap_or(0);
            let shard_state = recovered.shards.entry(shard).or_default();
            if index <= snapshot_index {
                return Ok(());
            }
            let entry = StoredEntry { index, data };
            place_entry(&mut shard_state.entries, snapshot_index, shard, entry)?;
            segment.record_entry(shard, index);
        }
    }
    Ok(())
}

/// Adds an entry, replacing all entries from its index on.
fn place_entry(
    entries: &mut Vec<StoredEntry>,
    snapshot_index: u64,
    shard: u16,
    entry: StoredEntry,
) -> Result<(), EntryGap> {
    let expected = entries
        .last()
        .map_or(snapshot_index + 1, |last| last.index + 1);
    if entry.index > expected {
        return Err(EntryGap {
            shard,
            index: entry.index,
            expected,
        });
    }
    let first_index = entries.first().map_or(expected, |first| first.index);
    entries.truncate(entry.index.saturating_sub(first_index) as usize);
    entries.push(entry);
    Ok(())
}

fn read_snapshots(
    disk: &mut impl Disk,
    names: &[String],
    snapshot_indexes: &BTreeMap<u16, u64>,
    recovered: &mut Recovered,
) -> Result<(), OpenError> {
    for (&shard, &index) in snapshot_indexes {
        let name = SnapshotName { shard, index }.file_name();
        if !names.contains(&name) {
            return Err(Damage::new(&name, 0, "the snapshot is missing").into());
        }
        let data = decode_snapshot(&name, &disk.read(&name)?)?;
        let shard_state = recovered.shards.entry(shard).or_default();
        shard_state.snapshot = Some(StoredSnapshot { index, data });
    }
    Ok(())
}
