//! Manual repair of a damaged store.

use crate::disk::Disk;
use crate::error::{Damage, OpenError};
use crate::recovery::recover;
use crate::segment::is_segment_name;

/// Quarantines copies of all files, then removes the unreadable end of the newest segment. Returns the damage, or
/// `None` if there was none.
///
/// Confirmed entries may be lost: the member must be rebuilt as a new one, or stay out of its group.
///
/// # Errors
/// If the disk fails, or if the damage is in an older segment, a snapshot or the identity, where nothing can be
/// removed.
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
