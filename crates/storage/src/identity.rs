//! The identity of a store: its disk id, and how often it was opened.

use crate::atomic_file::write_atomically;
use crate::disk::Disk;
use crate::error::{Damage, OpenError};
use serde::{Deserialize, Serialize};
use std::io;

/// Format version of all files of a store; any other version is rejected.
pub const FORMAT: u32 = 1;
/// Name of the identity file.
const IDENTITY_FILE: &str = "identity";

/// Identifies a store and one of its starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// [`FORMAT`].
    pub format: u32,
    /// Random id, drawn when the store is created; constant as long as its files exist.
    pub disk: u64,
    /// Number of times the store was opened, including this one.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Drawn at each start: distinguishes starts with the same incarnation, as after restoring a backup.
    pub nonce: u64,
}

/// Random numbers for the identity of a store, which should be unique among all starts of all stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdentitySeed {
    /// Becomes [`Identity::disk`] if the store is new.
    pub disk: u64,
    /// Becomes [`Identity::nonce`].
    pub nonce: u64,
}

impl Identity {
    /// The identity of the next start.
    pub(crate) fn next(previous: Option<&Identity>, seed: IdentitySeed) -> Self {
        Self {
            format: FORMAT,
            disk: previous.map_or(seed.disk, |previous| previous.disk),
            incarnation: previous.map_or(0, |previous| previous.incarnation) + 1,
            nonce: seed.nonce,
        }
    }

    /// Reads the stored identity, if there is one. `names`: all files.
    pub(crate) fn read(
        disk: &mut impl Disk,
        names: &[String],
    ) -> Result<Option<Identity>, OpenError> {
        if !names.iter().any(|name| name == IDENTITY_FILE) {
            return Ok(None);
        }
        let bytes = disk.read(IDENTITY_FILE)?;
        let identity: Identity = serde_json::from_slice(&bytes)
            .map_err(|error| Damage::new(IDENTITY_FILE, 0, error.to_string()))?;
        if identity.format != FORMAT {
            let reason = format!(
                "format {}; this program supports format {FORMAT}",
                identity.format
            );
            return Err(Damage::new(IDENTITY_FILE, 0, reason).into());
        }
        Ok(Some(identity))
    }

    /// Stores the identity, durably.
    pub(crate) fn write(&self, disk: &mut impl Disk) -> io::Result<()> {
        let bytes = serde_json::to_vec(self)?;
        write_atomically(disk, IDENTITY_FILE, &bytes)
    }

    /// The damage of a store that has a log but no identity.
    pub(crate) fn missing() -> Damage {
        let reason = "the identity file is missing, but there is a log";
        Damage::new(IDENTITY_FILE, 0, reason)
    }
}
