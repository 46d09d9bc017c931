//! The encoding of records.
//!
//! | bytes | contents |
//! | --- | --- |
//! | 4 | length of what follows the checksum, little-endian |
//! | 8 | XXH3 of what follows the checksum, seeded with the length, little-endian |
//! | 1 | kind |
//! | 2 | shard, or number of the metadata, little-endian |
//! | 8 | index, little-endian; entries and snapshot markers only |
//! | rest | data; of a snapshot marker, one byte if the suffix is discarded and none if it is retained |

use twox_hash::XxHash3_64;

/// Maximum length of what follows the checksum, in bytes: many times a batch of the largest results.
pub const MAX_RECORD_BYTES: usize = 16 << 20;
/// Bytes of the length and the checksum.
pub const RECORD_HEADER_BYTES: usize = LENGTH_BYTES + 8;

const LENGTH_BYTES: usize = 4;
/// Bytes of the kind and the shard: the minimum length of what follows the checksum.
const KIND_AND_SHARD_BYTES: usize = 3;
const INDEX_BYTES: usize = 8;

const KIND_HARD_STATE: u8 = 1;
const KIND_ENTRY: u8 = 2;
const KIND_SNAPSHOT_MARKER: u8 = 3;
const KIND_METADATA: u8 = 4;

/// How to treat the entries after a new snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogSuffix {
    /// They continue the snapshot and are retained.
    Retain,
    /// They belong to a different history and are discarded.
    Discard,
}

/// A record of the log. The store does not interpret the data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Replaces the hard state of its shard.
    HardState {
        /// The shard.
        shard: u16,
        /// Term and vote.
        data: Vec<u8>,
    },
    /// Replaces the entries of its shard from its index on.
    Entry {
        /// The shard.
        shard: u16,
        /// Position in the shard's log.
        index: u64,
        /// The entry.
        data: Vec<u8>,
    },
    /// The entries of its shard up to its index are in a snapshot.
    SnapshotMarker {
        /// The shard.
        shard: u16,
        /// Index of the last entry in the snapshot.
        index: u64,
        /// How to treat the entries after it.
        suffix: LogSuffix,
    },
    /// Replaces the metadata that has this number.
    Metadata {
        /// Identifies the metadata.
        number: u16,
        /// The metadata.
        data: Vec<u8>,
    },
}

/// Why bytes are not a valid record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordFault {
    /// The length is outside the valid range.
    #[error("length")]
    Length,
    /// The checksum does not match.
    #[error("checksum")]
    Checksum,
    /// The kind is unknown, or the record too short for its kind.
    #[error("kind")]
    Kind,
}

/// The result of reading a record at the beginning of some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// A complete record.
    Complete {
        /// The record.
        record: Record,
        /// Encoded length, in bytes.
        len: usize,
    },
    /// The beginning of a record, or only zeros: an incomplete write.
    Truncated,
    /// Not a valid record.
    Corrupt(RecordFault),
    /// There are no bytes.
    Empty,
}

/// The fields of an encoded record, common to all kinds.
struct RecordParts<'a> {
    kind: u8,
    shard_or_number: u16,
    index: Option<u64>,
    data: &'a [u8],
}

impl Record {
    /// Appends the encoded record to `out`.
    pub fn encode_into(&self, out: &mut Vec<u8>) {
        let parts = self.parts();
        let start = out.len();
        let body_start = start + RECORD_HEADER_BYTES;
        out.resize(body_start, 0);
        out.push(parts.kind);
        out.extend_from_slice(&parts.shard_or_number.to_le_bytes());
        if let Some(index) = parts.index {
            out.extend_from_slice(&index.to_le_bytes());
        }
        out.extend_from_slice(parts.data);
        let len = out.len() - body_start;
        let checksum = checksum(&out[body_start..]);
        out[start..start + LENGTH_BYTES].copy_from_slice(&(len as u32).to_le_bytes());
        out[start + LENGTH_BYTES..body_start].copy_from_slice(&checksum.to_le_bytes());
    }

    /// Encoded length of the record, in bytes.
    pub fn encoded_len(&self) -> usize {
        let parts = self.parts();
        let index_bytes = parts.index.map_or(0, |_| INDEX_BYTES);
        RECORD_HEADER_BYTES + KIND_AND_SHARD_BYTES + index_bytes + parts.data.len()
    }

    fn parts(&self) -> RecordParts<'_> {
        let (kind, shard_or_number, index, data): (u8, u16, Option<u64>, &[u8]) = match self {
            Record::HardState { shard, data } => (KIND_HARD_STATE, *shard, None, data),
            Record::Entry { shard, index, data } => (KIND_ENTRY, *shard, Some(*index), data),
            Record::SnapshotMarker {
                shard,
                index,
                suffix,
            } => {
                let data: &[u8] = match suffix {
                    LogSuffix::Retain => &[],
                    LogSuffix::Discard => &[1],
                };
                (KIND_SNAPSHOT_MARKER, *shard, Some(*index), data)
            }
            Record::Metadata { number, data } => (KIND_METADATA, *number, None, data),
        };
        RecordParts {
            kind,
            shard_or_number,
            index,
            data,
        }
    }
}

fn checksum(body: &[u8]) -> u64 {
    XxHash3_64::oneshot_with_seed(body.len() as u64, body)
}

/// Reads the first record of some bytes.
///
/// ```
/// use rainstand_storage::record::{read_record, LogSuffix, ReadOutcome, Record, RecordFault};
/// let record = Record::SnapshotMarker { shard: 3, index: 7, suffix: LogSuffix::Retain };
/// let mut bytes = Vec::new();
/// record.encode_into(&mut bytes);
/// assert_eq!(read_record(&bytes), ReadOutcome::Complete { record, len: bytes.len() });
/// assert_eq!(read_record(&bytes[..bytes.len() - 1]), ReadOutcome::Truncated);
/// bytes[14] ^= 1;
/// assert_eq!(read_record(&bytes), ReadOutcome::Corrupt(RecordFault::Checksum));
/// ```
pub fn read_record(bytes: &[u8]) -> ReadOutcome {
    if bytes.is_empty() {
        return ReadOutcome::Empty;
    }
    let Some((header, rest)) = bytes.split_first_chunk::<RECORD_HEADER_BYTES>() else {
        return ReadOutcome::Truncated;
    };
    let [l0, l1, l2, l3, stored_checksum @ ..] = *header;
    let len = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if len == 0 && bytes.iter().all(|byte| *byte == 0) {
        // The file system extended the file, and the data never reached the disk.
        return ReadOutcome::Truncated;
    }
    if !(KIND_AND_SHARD_BYTES..=MAX_RECORD_BYTES).contains(&len) {
        return ReadOutcome::Corrupt(RecordFault::Length);
    }
    let Some(body) = rest.get(..len) else {
        return ReadOutcome::Truncated;
    };
    if checksum(body) != u64::from_le_bytes(stored_checksum) {
        return ReadOutcome::Corrupt(RecordFault::Checksum);
    }
    match decode_body(body) {
        Some(record) => ReadOutcome::Complete {
            record,
            len: RECORD_HEADER_BYTES + len,
        },
        None => ReadOutcome::Corrupt(RecordFault::Kind),
    }
}

fn decode_body(body: &[u8]) -> Option<Record> {
    let ([kind, shard @ ..], rest) = body.split_first_chunk::<KIND_AND_SHARD_BYTES>()?;
    let shard = u16::from_le_bytes(*shard);
    match *kind {
        KIND_HARD_STATE => Some(Record::HardState {
            shard,
            data: rest.to_vec(),
        }),
        KIND_METADATA => Some(Record::Metadata {
            number: shard,
            data: rest.to_vec(),
        }),
        KIND_ENTRY => {
            let (index, data) = rest.split_first_chunk::<INDEX_BYTES>()?;
            Some(Record::Entry {
                shard,
                index: u64::from_le_bytes(*index),
                data: data.to_vec(),
            })
        }
        KIND_SNAPSHOT_MARKER => {
            let (index, data) = rest.split_first_chunk::<INDEX_BYTES>()?;
            Some(Record::SnapshotMarker {
                shard,
                index: u64::from_le_bytes(*index),
                suffix: if data.is_empty() {
                    LogSuffix::Retain
                } else {
                    LogSuffix::Discard
                },
            })
        }
        _ => None,
    }
}
