//! The store: a log of several shards in segments, with snapshots, on one disk.
//!
//! Files: `identity`, `log-N` (segments), `snap-SHARD-INDEX` (snapshots), `*.new` (being written, removed at the next
//! start). Invariant: `hard_states`, `metadata`, `snapshot_indexes` and `last_indexes` equal what a recovery of all
//! appended records would yield.

use crate::atomic_file::is_temporary;
use crate::disk::Disk;
use crate::error::OpenError;
use crate::identity::{Identity, IdentitySeed};
use crate::record::{LogSuffix, Record};
use crate::recovery::{read_files, Recovered, StoreFiles};
use crate::segment::{encode_header, Segment};
use crate::snapshot_file::{write_snapshot, SnapshotName};
use std::collections::BTreeMap;
use std::io;

/// Bounds on the size of a store's files.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Size in bytes at which a new segment is started.
    pub segment_bytes: u64,
    /// Total size of all segments in bytes at which [`Store::needs_compaction`] returns shards.
    pub log_bytes: u64,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            segment_bytes: 16 << 20,
            log_bytes: 256 << 20,
        }
    }
}

/// An open store. After a failed write or flush it writes nothing more, because the contents of the disk are unknown
/// until they are read again.
pub struct Store<D: Disk> {
    disk: D,
    limits: StoreLimits,
    identity: Identity,
    /// Ascending by number; the last one is written to.
    segments: Vec<Segment>,
    hard_states: BTreeMap<u16, Vec<u8>>,
    metadata: BTreeMap<u16, Vec<u8>>,
    /// Index of the newest snapshot of each shard.
    snapshot_indexes: BTreeMap<u16, u64>,
    last_indexes: BTreeMap<u16, u64>,
    /// Encoded records that the next flush writes.
    write_buffer: Vec<u8>,
    /// The first error of the disk; nothing is written after it.
    failure: Option<String>,
    flushes: u64,
}

impl<D: Disk> Store<D> {
    /// Opens a store, or creates one if the disk is empty. Removes a write that a crash interrupted, and files that
    /// were not completed.
    ///
    /// # Errors
    /// If the disk fails, or a file is damaged; in the latter case nothing is changed.
    pub fn open(
        mut disk: D,
        limits: StoreLimits,
        seed: IdentitySeed,
    ) -> Result<(Self, Recovered), OpenError> {
        let names = disk.list()?;
        let StoreFiles { identity, log } = read_files(&mut disk, &names)?;
        for name in names.iter().filter(|name| is_temporary(name)) {
            disk.remove(name)?;
        }
        let recovered = log.recovered;
        remove_stale_snapshots(&mut disk, &names, &log.snapshot_indexes)?;
        if let Some(tail) = &recovered.truncated_tail {
            disk.truncate(&tail.file, tail.offset)?;
        }
        let hard_states = recovered
            .shards
            .iter()
            .filter_map(|(shard, state)| Some((*shard, state.hard_state.clone()?)))
            .collect();
        let last_indexes = recovered
            .shards
            .iter()
            .map(|(shard, state)| (*shard, state.last_index()))
            .collect();
        let mut store = Self {
            disk,
            limits,
            identity: Identity::next(identity.as_ref(), seed),
            segments: log.segments,
            hard_states,
            metadata: recovered.metadata.clone(),
            snapshot_indexes: log.snapshot_indexes,
            last_indexes,
            write_buffer: Vec::new(),
            failure: None,
            flushes: 0,
        };
        store.identity.write(&mut store.disk)?;
        // A segment whose end was removed is not written to again.
        store.begin_segment()?;
        Ok((store, recovered))
    }

    /// The identity of this disk and this start.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The first disk error, after which nothing more is written.
    pub fn failure(&self) -> Option<&str> {
        self.failure.as_deref()
    }

    /// Bytes of all segments, including unflushed ones.
    pub fn log_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Index of a shard's last entry, or of its snapshot; 0 if it has neither.
    pub fn last_index(&self, shard: u16) -> u64 {
        self.last_indexes.get(&shard).copied().unwrap_or(0)
    }

    /// Number of flushes of records since the store was opened.
    pub fn flushes(&self) -> u64 {
        self.flushes
    }

    /// Buffers a record for the next [`Store::flush`]. It is not durable when this returns.
    pub fn append(&mut self, record: &Record) {
        let Some(segment) = self.segments.last_mut() else {
            return;
        };
        match record {
            Record::HardState { shard, data } => {
                self.hard_states.insert(*shard, data.clone());
            }
            Record::Metadata { number, data } => {
                self.metadata.insert(*number, data.clone());
            }
            Record::SnapshotMarker {
                shard,
                index,
                suffix,
            } => {
                self.snapshot_indexes.insert(*shard, *index);
                let last_index = self.last_indexes.entry(*shard).or_default();
                *last_index = match suffix {
                    LogSuffix::Discard => *index,
                    LogSuffix::Retain => (*last_index).max(*index),
                };
            }
            Record::Entry { shard, index, .. } => {
                self.last_indexes.insert(*shard, *index);
                segment.record_entry(*shard, *index);
            }
        }
        segment.bytes += record.encoded_len() as u64;
        record.encode_into(&mut self.write_buffer);
    }

    /// Writes the appended records. All of them are durable when this returns `Ok`.
    ///
    /// # Errors
    /// If the disk fails, or failed before; unflushed records may or may not be on the disk.
    pub fn flush(&mut self) -> io::Result<()> {
        self.unless_failed(Self::write_buffered)
    }

    fn write_buffered(&mut self) -> io::Result<()> {
        let Some(segment) = self.segments.last() else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let segment_is_full = segment.bytes >= self.limits.segment_bytes;
        if !self.write_buffer.is_empty() {
            let file_name = segment.file_name();
            self.disk.append(&file_name, &self.write_buffer)?;
            self.disk.flush(&file_name)?;
            self.flushes += 1;
        }
        self.write_buffer.clear();
        if segment_is_full {
            self.begin_segment()?;
            self.remove_obsolete_segments()?;
        }
        Ok(())
    }

    /// Stores a snapshot of a shard up to an index, replacing its entries. The snapshot and all records appended before
    /// are durable when this returns `Ok`. A snapshot that is not newer than the stored one is ignored.
    ///
    /// # Errors
    /// As with [`Store::flush`].
    pub fn install_snapshot(
        &mut self,
        shard: u16,
        index: u64,
        data: &[u8],
        suffix: LogSuffix,
    ) -> io::Result<()> {
        let previous_index = self.snapshot_indexes.get(&shard).copied();
        if previous_index.is_some_and(|previous| previous >= index) {
            return Ok(());
        }
        let name = SnapshotName { shard, index };
        self.unless_failed(|store| write_snapshot(&mut store.disk, name, data))?;
        self.append(&Record::SnapshotMarker {
            shard,
            index,
            suffix,
        });
        self.flush()?;
        self.unless_failed(|store| {
            if let Some(index) = previous_index {
                let previous = SnapshotName { shard, index };
                store.disk.remove(&previous.file_name())?;
            }
            store.remove_obsolete_segments()
        })
    }

    /// Shards that should be snapshotted: the log exceeds its limit, and their entries prevent the removal of its
    /// oldest segment.
    pub fn needs_compaction(&self) -> Vec<u16> {
        if self.log_bytes() < self.limits.log_bytes {
            return Vec::new();
        }
        let Some(oldest) = self.segments.first() else {
            return Vec::new();
        };
        oldest.unsaved_shards(&self.snapshot_indexes).collect()
    }

    /// Quarantines all files and reopens the store as a new, empty disk.
    ///
    /// # Errors
    /// If the disk fails.
    pub fn reinitialize(self, seed: IdentitySeed) -> Result<Self, OpenError> {
        let Self {
            mut disk, limits, ..
        } = self;
        disk.quarantine()?;
        Store::open(disk, limits, seed).map(|(store, _)| store)
    }

    /// Starts the next segment. The previous one is flushed already, so only the newest one can be incomplete.
    fn begin_segment(&mut self) -> io::Result<()> {
        let number = self.segments.last().map_or(1, |last| last.number + 1);
        let header = encode_header(self.header_records());
        let segment = Segment::new(number, header.len() as u64);
        let file_name = segment.file_name();
        self.disk.append(&file_name, &header)?;
        self.disk.flush(&file_name)?;
        self.segments.push(segment);
        Ok(())
    }

    /// The newest hard states, metadata and snapshot markers.
    fn header_records(&self) -> impl Iterator<Item = Record> + '_ {
        let hard_states = self
            .hard_states
            .iter()
            .map(|(shard, data)| Record::HardState {
                shard: *shard,
                data: data.clone(),
            });
        let metadata = self.metadata.iter().map(|(number, data)| Record::Metadata {
            number: *number,
            data: data.clone(),
        });
        let markers = self
            .snapshot_indexes
            .iter()
            .map(|(shard, index)| Record::SnapshotMarker {
                shard: *shard,
                index: *index,
                suffix: LogSuffix::Retain,
            });
        hard_states.chain(metadata).chain(markers)
    }

    /// Removes segments whose entries are all in snapshots, oldest first.
    fn remove_obsolete_segments(&mut self) -> io::Result<()> {
        while self.segments.len() > 1 {
            let mut unsaved = self.segments[0].unsaved_shards(&self.snapshot_indexes);
            if unsaved.next().is_some() {
                break;
            }
            drop(unsaved);
            let oldest = self.segments.remove(0);
            self.disk.remove(&oldest.file_name())?;
        }
        Ok(())
    }

    /// Runs a write unless an earlier one failed; stores its error.
    fn unless_failed(&mut self, write: impl FnOnce(&mut Self) -> io::Result<()>) -> io::Result<()> {
        if let Some(reason) = &self.failure {
            return Err(io::Error::other(format!(
                "an earlier write failed: {reason}"
            )));
        }
        let result = write(self);
        if let Err(error) = &result {
            self.failure = Some(error.to_string());
        }
        result
    }
}

/// Removes snapshots that the log does not refer to: a crash came before the snapshot's marker was written, or before
/// an old snapshot was removed.
fn remove_stale_snapshots(
    disk: &mut impl Disk,
    names: &[String],
    snapshot_indexes: &BTreeMap<u16, u64>,
) -> io::Result<()> {
    let is_stale = |name: &&String| {
        SnapshotName::parse(name)
            .is_some_and(|snapshot| snapshot_indexes.get(&snapshot.shard) != Some(&snapshot.index))
    };
    for name in names.iter().filter(is_stale) {
        disk.remove(name)?;
    }
    Ok(())
}
