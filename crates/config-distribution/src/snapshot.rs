//! A full version as compressed bytes, for links and disks. Decoding accepts all of a snapshot or nothing.
//!
//! Equal states encode to equal bytes, so that a transfer that was begun by one server can be resumed by another.

use crate::delta::ConfigState;
use crate::frames::{Delta, Snapshot};
use crate::UpdateError;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use prost::Message;

/// Deflate level (0 to 10). Higher ones cost time and save little: see the measurements in `docs/design/control.md`.
const COMPRESSION_LEVEL: u8 = 6;
/// Largest compressed snapshot, in bytes: ten times the size expected after two years of growth.
pub const MAX_COMPRESSED_BYTES: usize = 4 << 20;
/// Largest decompressed snapshot, in bytes: some forty times the size expected after two years of growth. Bounds the
/// memory that a malicious sender can make a process allocate.
pub const MAX_DECOMPRESSED_BYTES: usize = 64 << 20;

/// A snapshot that was decoded and verified.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecodedSnapshot {
    /// Number of the version.
    pub version: u64,
    /// All resources of the version.
    pub state: ConfigState,
}

/// Encodes and compresses `state` as version `version`.
///
/// # Errors
/// [`UpdateError::TooLarge`] if it exceeds [`MAX_DECOMPRESSED_BYTES`], or [`MAX_COMPRESSED_BYTES`] once compressed.
pub fn encode(version: u64, state: &ConfigState) -> Result<Vec<u8>, UpdateError> {
    let snapshot = Snapshot {
        version,
        digest: state.digest(),
        resources: state.resources().collect(),
    };
    let bytes = snapshot.encode_to_vec();
    if bytes.len() > MAX_DECOMPRESSED_BYTES {
        return Err(UpdateError::TooLarge("the whole is too large"));
    }
    let compressed = compress_to_vec(&bytes, COMPRESSION_LEVEL);
    if compressed.len() > MAX_COMPRESSED_BYTES {
        return Err(UpdateError::TooLarge("the whole is too large when packed"));
    }
    Ok(compressed)
}

/// Decompresses, decodes and verifies a snapshot.
///
/// # Errors
/// [`UpdateError::MalformedFrame`] for bytes that are no snapshot, [`UpdateError::DigestMismatch`] or another reason if
/// the resources do not form a consistent state with the digest that the snapshot names.
pub fn decode(compressed: &[u8]) -> Result<DecodedSnapshot, UpdateError> {
    let bytes = decompress_to_vec_with_limit(compressed, MAX_DECOMPRESSED_BYTES)
        .map_err(|_| UpdateError::MalformedFrame)?;
    let snapshot = Snapshot::decode(&*bytes).map_err(|_| UpdateError::MalformedFrame)?;
    drop(bytes);
    let Snapshot {
        version,
        digest,
        resources,
    } = snapshot;
    let mut state = ConfigState::default();
    state.apply(&Delta {
        from: 0,
        to: version,
        digest,
        upserts: resources,
        removals: Vec::new(),
    })?;
    Ok(DecodedSnapshot { version, state })
}
