//! Files that are there completely or not at all.

use crate::disk::Disk;
use std::io;

/// Ends the names of files that are being written. After a crash they are worth nothing and can be removed.
const TEMPORARY_SUFFIX: &str = ".new";

/// Whether a file was being written when the program ended.
pub(crate) fn is_temporary(name: &str) -> bool {
    name.ends_with(TEMPORARY_SUFFIX)
}

/// Writes a file, durably. After a crash it holds all bytes, or what it held before.
pub(crate) fn write_atomically(disk: &mut impl Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    disk.append(&temporary, bytes)?;
    disk.flush(&temporary)?;
    disk.rename(&temporary, name)
}
