//! The identity of a store: which disk it is, and how often it was opened.

use crate::atomic_file::write_atomically;
use crate::disk::Disk;
use crate::error::{Damage, OpenError};
use serde::{Deserialize, Serialize};
use std::io;

/// Format of all files of a store; another one is refused.
pub const FORMAT: u32 = 1;
/// Name of the file.
const IDENTITY_FILE: &str = "identity";

/// Which store this is, and which of its starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// [`FORMAT`].
    pub format: u32,
    /// Drawn when the store was created; never changes while its files are there.
    pub disk: u64,
    /// How often the store was opened, this time included.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Drawn at each start: tells two starts under one number apart, as after a backup was restored.
    pub nonce: u64,
}

/// Random numbers for the identity of a store. No other start anywhere should have drawn the same ones.
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

    /// The stored identity, if the store has one. `names`: all files.
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
                "format {}; this program knows format {FORMAT}",
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

    /// The damage of a store that has a log and no identity.
    pub(crate) fn missing() -> Damage {
        let reason = "there is a log, and nothing says which disk it is";
        Damage::new(IDENTITY_FILE, 0, reason)
    }
}
