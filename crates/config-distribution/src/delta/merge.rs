//! Merging consecutive deltas into one.

use super::ResourceKey;
use crate::frames::{Delta, Resource};
use crate::UpdateError;
use std::collections::BTreeMap;

/// The delta with the effect of `earlier` followed by `later`.
///
/// # Errors
/// Those of [`DeltaMerger::push`].
pub fn merge(earlier: &Delta, later: &Delta) -> Result<Delta, UpdateError> {
    let mut merger = DeltaMerger::new(earlier)?;
    merger.push(later)?;
    Ok(merger.finish())
}

/// Accumulates consecutive deltas into one.
pub struct DeltaMerger {
    from: u64,
    to: u64,
    digest: u64,
    /// The last change of each resource; `None` for a removal.
    changes: BTreeMap<ResourceKey, Option<Resource>>,
}

impl DeltaMerger {
    /// Begins with `first`.
    ///
    /// # Errors
    /// [`UpdateError::InvalidResource`] for an invalid key.
    pub fn new(first: &Delta) -> Result<Self, UpdateError> {
        let mut merger = Self {
            from: first.from,
            to: first.from,
            digest: first.digest,
            changes: BTreeMap::new(),
        };
        merger.push(first)?;
        Ok(merger)
    }

    /// Appends `later`.
    ///
    /// # Errors
    /// [`UpdateError::VersionMismatch`] if it does not begin at the version that the deltas so far lead to,
    /// [`UpdateError::InvalidResource`] for an invalid key.
    pub fn push(&mut self, later: &Delta) -> Result<(), UpdateError> {
        if later.from != self.to {
            return Err(UpdateError::VersionMismatch {
                base: later.from,
                current: self.to,
            });
        }
        for name in &later.removals {
            self.changes.insert(ResourceKey::try_from(name)?, None);
        }
        for resource in &later.upserts {
            let key = ResourceKey::try_from(resource)?;
            self.changes.insert(key, Some(resource.clone()));
        }
        (self.to, self.digest) = (later.to, later.digest);
        Ok(())
    }

    /// The merged delta. It can contain removals of resources that its base version does not have.
    #[must_use]
    pub fn finish(self) -> Delta {
        let mut delta = Delta {
            from: self.from,
            to: self.to,
            digest: self.digest,
            ..Delta::default()
        };
        for (key, change) in self.changes {
            match change {
                Some(resource) => delta.upserts.push(resource),
                None => delta.removals.push(key.to_name()),
            }
        }
        delta
    }
}
