//! Segments: the numbered files of the log.
//!
//! A segment begins with a header: a magic number, the length of the header's records, and these records, which repeat
//! the newest hard states, metadata and snapshot markers. An older segment can therefore be removed once its entries
//! are in snapshots. Only the newest segment is written to, and only its end may be missing after a crash.

use crate::error::Damage;
use crate::record::{read_record, ReadOutcome, Record};
use std::collections::BTreeMap;

/// First bytes of a segment.
const SEGMENT_MAGIC: &[u8; 8] = b"RSLOG\0\0\x01";
/// Bytes of the header's length field.
const HEADER_LENGTH_BYTES: usize = 4;
/// Offset of the first record of a segment, in bytes.
const FIRST_RECORD_OFFSET: usize = SEGMENT_MAGIC.len() + HEADER_LENGTH_BYTES;
const NAME_PREFIX: &str = "log-";

/// An unconfirmed write that a crash interrupted, at the end of the newest segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TruncatedTail {
    /// Name of the segment's file.
    pub file: String,
    /// Bytes of the segment before the tail; these are complete.
    pub offset: u64,
    /// Bytes of the tail.
    pub bytes: u64,
}

/// A segment, and the entries that have to be in snapshots before it may be removed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Segment {
    pub(crate) number: u64,
    pub(crate) bytes: u64,
    /// Highest index of each shard's entries.
    pub(crate) last_indexes: BTreeMap<u16, u64>,
}

impl Segment {
    pub(crate) fn new(number: u64, bytes: u64) -> Self {
        Self {
            number,
            bytes,
            last_indexes: BTreeMap::new(),
        }
    }

    pub(crate) fn file_name(&self) -> String {
        format!("{NAME_PREFIX}{:010}", self.number)
    }

    /// Records that the segment holds an entry.
    pub(crate) fn record_entry(&mut self, shard: u16, index: u64) {
        let last_index = self.last_indexes.entry(shard).or_default();
        *last_index = (*last_index).max(index);
    }

    /// Shards with entries in this segment that their snapshots do not cover yet.
    pub(crate) fn unsaved_shards<'a>(
        &'a self,
        snapshot_indexes: &'a BTreeMap<u16, u64>,
    ) -> impl Iterator<Item = u16> + 'a {
        let is_unsaved = |(shard, last_index): &(&u16, &u64)| {
            snapshot_indexes
                .get(shard)
                .is_none_or(|snapshot_index| snapshot_index < last_index)
        };
        let unsaved = self.last_indexes.iter().filter(is_unsaved);
        unsaved.map(|(shard, _)| *shard)
    }
}

/// The first bytes of a segment whose header holds these records.
pub(crate) fn encode_header(records: impl IntoIterator<Item = Record>) -> Vec<u8> {
    let mut bytes = SEGMENT_MAGIC.to_vec();
    bytes.extend_from_slice(&[0; HEADER_LENGTH_BYTES]);
    for record in records {
        record.encode_into(&mut bytes);
    }
    let length = (bytes.len() - FIRST_RECORD_OFFSET) as u32;
    bytes[SEGMENT_MAGIC.len()..FIRST_RECORD_OFFSET].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// A segment's file, and its position among the segments.
#[derive(Clone, Debug)]
pub(crate) struct SegmentFile {
    pub(crate) number: u64,
    pub(crate) name: String,
    pub(crate) is_oldest: bool,
    pub(crate) is_newest: bool,
}

/// A record, and the offset of its first byte.
pub(crate) struct LocatedRecord {
    pub(crate) offset: usize,
    pub(crate) record: Record,
}

/// The contents of a segment's file.
pub(crate) struct SegmentContents {
    /// Bytes of the complete records and the header.
    pub(crate) bytes: u64,
    pub(crate) records: Vec<LocatedRecord>,
    pub(crate) truncated_tail: Option<TruncatedTail>,
}

/// Whether the file name is that of a segment.
pub(crate) fn is_segment_name(name: &str) -> bool {
    name.starts_with(NAME_PREFIX)
}

impl SegmentFile {
    /// The segments among some files, in the order of `names`, which is sorted.
    pub(crate) fn list(names: &[String]) -> Vec<SegmentFile> {
        let mut files: Vec<SegmentFile> = names
            .iter()
            .filter_map(|name| {
                Some(SegmentFile {
                    number: name.strip_prefix(NAME_PREFIX)?.parse().ok()?,
                    name: name.clone(),
                    is_oldest: false,
                    is_newest: false,
                })
            })
            .collect();
        if let Some(oldest) = files.first_mut() {
            oldest.is_oldest = true;
        }
        if let Some(newest) = files.last_mut() {
            newest.is_newest = true;
        }
        files
    }

    /// Decodes the records of the segment.
    pub(crate) fn decode(&self, bytes: &[u8]) -> Result<SegmentContents, Damage> {
        let Some(header_end) = header_end(bytes) else {
            return self.decode_truncated_header(bytes);
        };
        let mut offset = FIRST_RECORD_OFFSET;
        let mut records = Vec::new();
        let mut truncated_tail = None;
        loop {
            match read_record(&bytes[offset..]) {
                ReadOutcome::Empty => break,
                ReadOutcome::Complete { record, len } => {
                    records.push(LocatedRecord { offset, record });
                    offset += len;
                }
                ReadOutcome::Truncated => {
                    self.check_truncation(bytes, offset, header_end)?;
                    truncated_tail = Some(self.truncated_tail(bytes, offset));
                    break;
                }
                ReadOutcome::Corrupt(fault) => return Err(self.damage(offset, fault.to_string())),
            }
        }
        Ok(SegmentContents {
            bytes: offset as u64,
            records,
            truncated_tail,
        })
    }

    /// Handles a segment whose header did not reach the disk: valid only if it was just created and no older segments
    /// were removed.
    fn decode_truncated_header(&self, bytes: &[u8]) -> Result<SegmentContents, Damage> {
        let magic_bytes = bytes.len().min(SEGMENT_MAGIC.len());
        let is_beginning =
            bytes.len() < FIRST_RECORD_OFFSET && SEGMENT_MAGIC.starts_with(&bytes[..magic_bytes]);
        let is_plausible = is_beginning || bytes.iter().all(|byte| *byte == 0);
        if !self.is_newest || self.follows_removed_segments() || !is_plausible {
            return Err(self.damage(0, "not a log segment of this format"));
        }
        Ok(SegmentContents {
            bytes: 0,
            records: Vec::new(),
            truncated_tail: Some(self.truncated_tail(bytes, 0)),
        })
    }

    /// Whether older segments were removed, so that only this one's header holds their hard states, metadata and
    /// markers.
    fn follows_removed_segments(&self) -> bool {
        self.is_oldest && self.number > 1
    }

    /// Returns an error unless the incomplete record can be the end of a write that a crash interrupted.
    fn check_truncation(
        &self,
        bytes: &[u8],
        offset: usize,
        header_end: usize,
    ) -> Result<(), Damage> {
        if !self.is_newest {
            return Err(self.damage(
                offset,
                "incomplete record in a segment that is not the newest",
            ));
        }
        if holds_record(&bytes[offset + 1..]) {
            return Err(self.damage(offset, "incomplete record followed by complete records"));
        }
        // The header was flushed before any older segment was removed.
        if self.follows_removed_segments() && offset < header_end {
            return Err(self.damage(offset, "incomplete segment header"));
        }
        Ok(())
    }

    fn truncated_tail(&self, bytes: &[u8], offset: usize) -> TruncatedTail {
        TruncatedTail {
            file: self.name.clone(),
            offset: offset as u64,
            bytes: (bytes.len() - offset) as u64,
        }
    }

    pub(crate) fn damage(&self, offset: usize, reason: impl Into<String>) -> Damage {
        Damage::new(&self.name, offset, reason)
    }
}

/// Offset of the end of a segment's header; `None` if the magic number or the length is missing.
fn header_end(bytes: &[u8]) -> Option<usize> {
    let length = bytes
        .strip_prefix(SEGMENT_MAGIC)?
        .first_chunk::<HEADER_LENGTH_BYTES>()?;
    Some(FIRST_RECORD_OFFSET + u32::from_le_bytes(*length) as usize)
}

/// Whether a complete record begins anywhere in these bytes: then the data before it is damaged, not interrupted.
fn holds_record(bytes: &[u8]) -> bool {
    // No record has length 0. Skipping such positions keeps long runs of zeros cheap.
    let may_begin = |offset: usize| {
        bytes[offset..]
            .first_chunk::<4>()
            .is_some_and(|length| *length != [0; 4])
    };
    let begins = |offset: usize| {
        may_begin(offset) && matches!(read_record(&bytes[offset..]), ReadOutcome::Complete { .. })
    };
    (0..bytes.len()).any(begins)
}
