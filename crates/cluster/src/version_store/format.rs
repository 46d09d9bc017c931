//! The encoding of updates in the log. Field numbers are part of the format of files on disk and must not change.

use bytes::Bytes;
use prost::Message;
use rainstand_config_distribution::frames::Delta;
use rainstand_config_distribution::subscriber::PendingUpdate;
use rainstand_storage::record::{read_record, ReadOutcome, Record};

/// All updates are of one log.
const SHARD: u16 = 0;

/// An update from one version to a later one, or a snapshot that replaces a version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredUpdate {
    /// The version that was in force when the update was stored; 0 for none.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// What it changes; `None` if it is of a later release.
    #[prost(oneof = "UpdateContent", tags = "2, 3")]
    pub content: Option<UpdateContent>,
}

/// What an update changes.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum UpdateContent {
    /// The change from the version in force.
    #[prost(message, tag = "2")]
    Delta(Delta),
    /// A complete version, as a [compressed snapshot](rainstand_config_distribution::snapshot).
    #[prost(bytes = "bytes", tag = "3")]
    Snapshot(Bytes),
}

/// An update in the log, and the version that it leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedUpdate {
    /// The version that it leads to.
    pub to: u64,
    /// The update.
    pub update: StoredUpdate,
}

impl LoggedUpdate {
    /// The update that a subscriber with version `from` in force is to store.
    #[must_use]
    pub fn new(from: u64, pending: &PendingUpdate) -> Self {
        let content = match pending {
            PendingUpdate::Delta(delta) => UpdateContent::Delta(delta.clone()),
            PendingUpdate::Snapshot { compressed, .. } => {
                UpdateContent::Snapshot(compressed.clone())
            }
        };
        Self {
            to: pending.version(),
            update: StoredUpdate {
                from,
                content: Some(content),
            },
        }
    }

    /// The record of the log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let record = Record::Entry {
            shard: SHARD,
            index: self.to,
            data: self.update.encode_to_vec(),
        };
        let mut bytes = Vec::new();
        record.encode_into(&mut bytes);
        bytes
    }
}

/// The readable beginning of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadLog {
    /// The updates, in the order in which they were stored.
    pub updates: Vec<LoggedUpdate>,
    /// Offset of the first byte that is no complete record; `None` if there is none.
    pub unreadable_at: Option<usize>,
}

/// Reads all updates up to the first incomplete or damaged record, which a crash during a write leaves behind.
#[must_use]
pub fn read_log(bytes: &[u8]) -> ReadLog {
    let mut log = ReadLog::default();
    let mut offset = 0;
    loop {
        match read_record(&bytes[offset..]) {
            ReadOutcome::Complete {
                record: Record::Entry { index, data, .. },
                len,
            } => {
                let Ok(update) = StoredUpdate::decode(&*data) else {
                    log.unreadable_at = Some(offset);
                    return log;
                };
                log.updates.push(LoggedUpdate { to: index, update });
                offset += len;
            }
            ReadOutcome::Empty => return log,
            ReadOutcome::Complete { .. } | ReadOutcome::Truncated | ReadOutcome::Corrupt(_) => {
                log.unreadable_at = Some(offset);
                return log;
            }
        }
    }
}
