//! Records as bytes: a length, a checksum over all that follows, a kind, a shard, and what it says.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | length of what follows the checksum, little-endian |
//! | 8 | XXH3 of what follows, seeded with the length |
//! | 1 | kind |
//! | 2 | shard |
//! | the rest | by kind; an entry begins with its index, 8 bytes |

use twox_hash::XxHash3_64;

/// The longest record, in bytes: a batch of the largest results, many times over.
pub const MAX_RECORD_BYTES: usize = 16 << 20;
/// Length and checksum.
pub const RECORD_HEADER_BYTES: usize = 12;

/// What a log holds. The store does not look into the bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Replaces the one before of this shard: a term and a vote.
    HardState { shard: u16, data: Vec<u8> },
    /// Replaces all of this shard from its index on.
    Entry {
        shard: u16,
        index: u64,
        data: Vec<u8>,
    },
    /// What stands up to this index is in a snapshot; `alone`: nothing stands behind it either.
    SnapshotMarker { shard: u16, index: u64, alone: bool },
    /// Replaces the one before of this number.
    Metadata { number: u16, data: Vec<u8> },
}

const HARD: u8 = 1;
const ENTRY: u8 = 2;
const BASE: u8 = 3;
const NOTE: u8 = 4;

/// What stands at the beginning of some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// A record, and how many bytes it takes.
    Complete(Record, usize),
    /// The beginning of one, or nothing but zeros: a write that was cut short.
    Truncated,
    /// No record, and why.
    Corrupt(&'static str),
    End,
}

impl Record {
    pub fn encode_into(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&[0; RECORD_HEADER_BYTES]);
        let (kind, shard, index, data): (u8, u16, Option<u64>, &[u8]) = match self {
            Record::HardState { shard, data } => (HARD, *shard, None, data),
            Record::Entry { shard, index, data } => (ENTRY, *shard, Some(*index), data),
            Record::SnapshotMarker {
                shard,
                index,
                alone,
            } => (
                BASE,
                *shard,
                Some(*index),
                &[u8::from(*alone)][..usize::from(*alone)],
            ),
            Record::Metadata { number, data } => (NOTE, *number, None, data),
        };
        out.push(kind);
        out.extend_from_slice(&shard.to_le_bytes());
        if let Some(index) = index {
            out.extend_from_slice(&index.to_le_bytes());
        }
        out.extend_from_slice(data);
        let len = out.len() - start - RECORD_HEADER_BYTES;
        let sum = XxHash3_64::oneshot_with_seed(len as u64, &out[start + RECORD_HEADER_BYTES..]);
        out[start..start + 4].copy_from_slice(&(len as u32).to_le_bytes());
        out[start + 4..start + RECORD_HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    }

    /// How many bytes it takes.
    pub fn encoded_len(&self) -> usize {
        RECORD_HEADER_BYTES
            + 3
            + match self {
                Record::HardState { data, .. } | Record::Metadata { data, .. } => data.len(),
                Record::Entry { data, .. } => 8 + data.len(),
                Record::SnapshotMarker { alone, .. } => 8 + usize::from(*alone),
            }
    }
}

/// The first record of some bytes.
///
/// ```
/// use rainstand_storage::record::{read, Read, Record};
/// let (record, mut bytes) = (Record::Base { shard: 3, index: 7, alone: false }, Vec::new());
/// record.write(&mut bytes);
/// assert_eq!(read(&bytes), Read::Whole(record, bytes.len()));
/// assert_eq!(read(&bytes[..bytes.len() - 1]), Read::Short);
/// bytes[14] ^= 1;
/// assert_eq!(read(&bytes), Read::Wrong("checksum"));
/// ```
pub fn read_record(bytes: &[u8]) -> ReadOutcome {
    if bytes.is_empty() {
        return ReadOutcome::End;
    }
    let Some(head) = bytes.first_chunk::<RECORD_HEADER_BYTES>() else {
        return ReadOutcome::Truncated;
    };
    let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if len == 0 && bytes.iter().all(|b| *b == 0) {
        // The file system made the file longer, and the bytes never came.
        return ReadOutcome::Truncated;
    }
    if !(3..=MAX_RECORD_BYTES).contains(&len) {
        return ReadOutcome::Corrupt("length");
    }
    let Some(body) = bytes[RECORD_HEADER_BYTES..].get(..len) else {
        return ReadOutcome::Truncated;
    };
    let sum = u64::from_le_bytes([
        head[4], head[5], head[6], head[7], head[8], head[9], head[10], head[11],
    ]);
    if XxHash3_64::oneshot_with_seed(len as u64, body) != sum {
        return ReadOutcome::Corrupt("checksum");
    }
    let (kind, shard, rest) = (body[0], u16::from_le_bytes([body[1], body[2]]), &body[3..]);
    let index = rest
        .first_chunk::<8>()
        .map(|bytes| u64::from_le_bytes(*bytes));
    let record = match (kind, index) {
        (HARD, _) => Record::HardState {
            shard,
            data: rest.to_vec(),
        },
        (ENTRY, Some(index)) => Record::Entry {
            shard,
            index,
            data: rest[8..].to_vec(),
        },
        (BASE, Some(index)) => Record::SnapshotMarker {
            shard,
            index,
            alone: rest.len() > 8,
        },
        (NOTE, _) => Record::Metadata {
            number: shard,
            data: rest.to_vec(),
        },
        _ => return ReadOutcome::Corrupt("kind"),
    };
    ReadOutcome::Complete(record, RECORD_HEADER_BYTES + len)
}
