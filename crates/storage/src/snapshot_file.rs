//! Snapshot files: a magic number, a checksum and the data. Each shard has one file, named by shard and index.

use crate::atomic_file::write_atomically;
use crate::disk::Disk;
use crate::error::Damage;
use std::io;
use twox_hash::XxHash3_64;

/// First bytes of a snapshot file.
const SNAPSHOT_MAGIC: &[u8; 8] = b"RSSNAP\0\x01";
/// Bytes of the checksum that follows the magic number.
const CHECKSUM_BYTES: usize = 8;
const NAME_PREFIX: &str = "snap-";

/// The fields of a snapshot file's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotName {
    pub(crate) shard: u16,
    /// Index of the last entry that it replaces.
    pub(crate) index: u64,
}

impl SnapshotName {
    pub(crate) fn file_name(self) -> String {
        format!("{NAME_PREFIX}{:05}-{:020}", self.shard, self.index)
    }

    pub(crate) fn parse(file_name: &str) -> Option<Self> {
        let (shard, index) = file_name.strip_prefix(NAME_PREFIX)?.split_once('-')?;
        Some(Self {
            shard: shard.parse().ok()?,
            index: index.parse().ok()?,
        })
    }
}

/// Writes a snapshot durably and atomically.
pub(crate) fn write_snapshot(
    disk: &mut impl Disk,
    name: SnapshotName,
    data: &[u8],
) -> io::Result<()> {
    let mut bytes = SNAPSHOT_MAGIC.to_vec();
    bytes.extend_from_slice(&XxHash3_64::oneshot(data).to_le_bytes());
    bytes.extend_from_slice(data);
    write_atomically(disk, &name.file_name(), &bytes)
}

/// Decodes and verifies the data of a snapshot file.
pub(crate) fn decode_snapshot(file_name: &str, bytes: &[u8]) -> Result<Vec<u8>, Damage> {
    let damage = |offset, reason: &str| Damage::new(file_name, offset, reason);
    let rest = bytes
        .strip_prefix(SNAPSHOT_MAGIC)
        .ok_or_else(|| damage(0, "not a snapshot of this format"))?;
    let (checksum, data) = rest
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or_else(|| damage(SNAPSHOT_MAGIC.len(), "incomplete checksum"))?;
    if XxHash3_64::oneshot(data) != u64::from_le_bytes(*checksum) {
        let data_offset = SNAPSHOT_MAGIC.len() + CHECKSUM_BYTES;
        return Err(damage(data_offset, "checksum"));
    }
    Ok(data.to_vec())
}
