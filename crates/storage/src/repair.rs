//! Repair of a damaged store by hand.

use crate::disk::Disk;
use crate::error::{Damage, OpenError};
use crate::recovery::recover;
use crate::segment::is_segment_name;

/// Removes what cannot be read at the end of the newest segment, after copies of all files were quarantined; returns
/// what was damaged. `None` if nothing was.
///
/// Entries that a flush confirmed may be lost: the member has to be rebuilt as a new one, or stay away.
///
/// # Errors
/// If the disk fails, or if the damage is in an older segment, a snapshot or the identity, where nothing can be removed.
pub fn repair(disk: &mut impl Disk) -> Result<Option<Damage>, OpenError> {
    let damage = match recover(disk) {
        Ok(_) => return Ok(None),
        Err(OpenError::Damaged(damage)) => damage,
        Err(error) => return Err(error),
    };
    let names = disk.list()?;
    let newest = names.iter().rfind(|name| is_segment_name(name));
    if newest != Some(&damage.file) || damage.offset == 0 {
        return Err(OpenError::Damaged(damage));
    }
    let mut files = Vec::new();
    for name in &names {
        files.push((name, disk.read(name)?));
    }
    disk.quarantine()?;
    for (name, bytes) in files {
        disk.append(name, &bytes)?;
        disk.flush(name)?;
    }
    disk.truncate(&damage.file, damage.offset)?;
    Ok(Some(damage))
}
