//! A whole version as bytes: packed for links and disks, read back only if all of it is right.
//!
//! Like states give like bytes, so that one machine's pieces go on where another's were cut off.

use crate::delta::ConfigState;
use crate::frames::{Delta, Snapshot};
use crate::UpdateError;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use prost::Message;

/// Past it, a level more costs time and saves little: measured in `docs/design/control.md`.
const LEVEL: u8 = 6;
/// Packed: ten times the size of two years.
pub const MOST_PACKED: usize = 4 << 20;
/// Unpacked: some forty times the size of two years, and what a bad sender can make a process hold.
pub const MOST_WHOLE: usize = 64 << 20;

/// # Errors
/// More than a subscriber would take.
pub fn packed(version: u64, state: &ConfigState) -> Result<Vec<u8>, UpdateError> {
    let whole = Snapshot {
        version,
        digest: state.digest(),
        resources: state.resources().collect(),
    };
    let bytes = whole.encode_to_vec();
    if bytes.len() > MOST_WHOLE {
        return Err(UpdateError::TooLarge("the whole is too large"));
    }
    let packed = compress_to_vec(&bytes, LEVEL);
    if packed.len() > MOST_PACKED {
        return Err(UpdateError::TooLarge("the whole is too large when packed"));
    }
    Ok(packed)
}

/// # Errors
/// Bytes that are no snapshot, or one whose digest is not that of what it holds.
pub fn unpacked(packed: &[u8]) -> Result<(u64, ConfigState), UpdateError> {
    let bytes = decompress_to_vec_with_limit(packed, MOST_WHOLE)
        .map_err(|_| UpdateError::MalformedFrame)?;
    let whole = Snapshot::decode(&*bytes).map_err(|_| UpdateError::MalformedFrame)?;
    drop(bytes);
    let Snapshot {
        version,
        digest,
        resources,
    } = whole;
    let mut state = ConfigState::default();
    state.apply(&Delta {
        from: 0,
        to: version,
        digest,
        upserts: resources,
        removals: Vec::new(),
    })?;
    Ok((version, state))
}
