//! Atomic file writes: after a crash a file has its old or its new contents, never a part.

use crate::disk::Disk;
use std::io;

/// Suffix of files that are being written. After a crash they are incomplete and can be removed.
const TEMPORARY_SUFFIX: &str = ".new";

/// Whether the name is that of a file whose write was not completed.
pub(crate) fn is_temporary(name: &str) -> bool {
    name.ends_with(TEMPORARY_SUFFIX)
}

/// Writes a file durably. After a crash it has either the new contents or the previous ones.
pub(crate) fn write_atomically(disk: &mut impl Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    disk.append(&temporary, bytes)?;
    disk.flush(&temporary)?;
    disk.rename(&temporary, name)
}
