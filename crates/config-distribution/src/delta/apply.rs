//! Checking a delta in full, and applying it atomically.

use super::key::StoredResource;
use super::{ConfigState, ResourceKey};
use crate::frames::{Delta, Resource, ResourceKind, ResourceName};
use crate::planted_bugs::{is_planted, PlantedBug};
use crate::{ResourceError, UpdateError};
use std::collections::BTreeSet;

impl ConfigState {
    /// Checks that `delta` can be applied here; nothing is changed. The versions that it names are not compared: the
    /// caller knows which version this state is.
    ///
    /// # Errors
    /// [`UpdateError::InvalidResource`] for a delta that leads to no consistent state,
    /// [`UpdateError::DigestMismatch`] for one that leads to another digest than it names.
    pub fn validate(&self, delta: &Delta) -> Result<(), UpdateError> {
        self.checked(delta).map(drop)
    }

    /// Applies all of `delta` or, on error, nothing. As with [`Self::validate`], versions are not compared.
    ///
    /// # Errors
    /// Those of [`Self::validate`].
    pub fn apply(&mut self, delta: &Delta) -> Result<(), UpdateError> {
        let CheckedDelta {
            upserts,
            removals,
            digest,
        } = self.checked(delta)?;
        let replaced = upserts.iter().map(|(key, _)| key);
        for key in removals.iter().chain(replaced) {
            let previous = self.resources.remove(key);
            if let Some(previous) = previous.filter(|_| key.kind == ResourceKind::Route) {
                self.routes.remove(&previous.rank);
            }
        }
        for (key, value) in upserts {
            if key.kind == ResourceKind::Route {
                self.routes.insert(value.rank, key.name.clone());
            }
            self.resources.insert(key, value);
        }
        self.digest = digest;
        Ok(())
    }

    fn checked(&self, delta: &Delta) -> Result<CheckedDelta, UpdateError> {
        let mut check = DeltaCheck::new(self, delta);
        for name in &delta.removals {
            check.add_removal(name)?;
        }
        for resource in &delta.upserts {
            check.add_upsert(resource)?;
        }
        check.check_route_ranks()?;
        check.check_member_pools()?;
        check.check_removed_pools()?;
        let checked = check.result;
        if checked.digest != delta.digest && !is_planted(PlantedBug::DigestIgnored) {
            return Err(UpdateError::DigestMismatch);
        }
        Ok(checked)
    }
}

/// A delta with parsed keys, and the digest that it leads to.
struct CheckedDelta {
    upserts: Vec<(ResourceKey, StoredResource)>,
    removals: Vec<ResourceKey>,
    digest: u64,
}

/// A check in progress. Removals are added before upserts, and all of both before the checks across resources.
struct DeltaCheck<'state> {
    state: &'state ConfigState,
    /// Keys of all removals and upserts so far.
    touched: BTreeSet<ResourceKey>,
    /// Ranks of the upserted routes so far.
    ranks: BTreeSet<u64>,
    result: CheckedDelta,
}

impl<'state> DeltaCheck<'state> {
    fn new(state: &'state ConfigState, delta: &Delta) -> Self {
        Self {
            state,
            touched: BTreeSet::new(),
            ranks: BTreeSet::new(),
            result: CheckedDelta {
                upserts: Vec::with_capacity(delta.upserts.len()),
                removals: Vec::with_capacity(delta.removals.len()),
                digest: state.digest,
            },
        }
    }

    fn add_removal(&mut self, name: &ResourceName) -> Result<(), UpdateError> {
        let key = ResourceKey::try_from(name)?;
        self.touch(&key)?;
        self.result.removals.push(key);
        Ok(())
    }

    fn add_upsert(&mut self, resource: &Resource) -> Result<(), UpdateError> {
        resource.decode_body()?;
        let key = ResourceKey::try_from(resource)?;
        self.touch(&key)?;
        if key.kind == ResourceKind::Route && !self.ranks.insert(resource.rank) {
            return Err(invalid(&key, ResourceError::RankConflict));
        }
        let value = StoredResource {
            rank: resource.rank,
            body: (*resource.body).into(),
        };
        self.result.digest = self.result.digest.wrapping_add(key.hash_with(&value));
        self.result.upserts.push((key, value));
        Ok(())
    }

    /// Marks a key as part of the delta, and takes its present value out of the digest.
    fn touch(&mut self, key: &ResourceKey) -> Result<(), UpdateError> {
        if !self.touched.insert(key.clone()) {
            return Err(invalid(key, ResourceError::RepeatedInDelta));
        }
        if let Some(value) = self.state.resources.get(key) {
            self.result.digest = self.result.digest.wrapping_sub(key.hash_with(value));
        }
        Ok(())
    }

    /// No upserted route takes the rank of a route that remains.
    fn check_route_ranks(&self) -> Result<(), UpdateError> {
        for (key, value) in self.upserts_of(ResourceKind::Route) {
            let Some(occupant) = self.state.routes.get(&value.rank) else {
                continue;
            };
            let occupant = ResourceKey::new(ResourceKind::Route, occupant);
            if !self.touched.contains(&occupant) {
                return Err(invalid(key, ResourceError::RankConflict));
            }
        }
        Ok(())
    }

    /// The pool of each upserted member exists afterwards.
    fn check_member_pools(&self) -> Result<(), UpdateError> {
        let upserted_pools: BTreeSet<&ResourceKey> = self
            .upserts_of(ResourceKind::Pool)
            .map(|(key, _)| key)
            .collect();
        for (key, _) in self.upserts_of(ResourceKind::Member) {
            let pool = ResourceKey::new(ResourceKind::Pool, &key.pool);
            let remains = !self.touched.contains(&pool) && self.state.resources.contains_key(&pool);
            if !upserted_pools.contains(&pool) && !remains {
                return Err(invalid(key, ResourceError::MissingPool));
            }
        }
        Ok(())
    }

    /// All members of a removed pool are part of the delta. That none of them is upserted is the check before.
    fn check_removed_pools(&self) -> Result<(), UpdateError> {
        let pools = self
            .result
            .removals
            .iter()
            .filter(|key| key.kind == ResourceKind::Pool);
        for pool in pools {
            let mut members = self
                .state
                .resources
                .range(ResourceKey::member(&pool.name, "")..)
                .map(|(key, _)| key)
                .take_while(|key| key.is_member_of(&pool.name));
            if members.any(|member| !self.touched.contains(member)) {
                return Err(invalid(pool, ResourceError::OrphanedMembers));
            }
        }
        Ok(())
    }

    fn upserts_of(
        &self,
        kind: ResourceKind,
    ) -> impl Iterator<Item = &(ResourceKey, StoredResource)> {
        self.result
            .upserts
            .iter()
            .filter(move |(key, _)| key.kind == kind)
    }
}

fn invalid(key: &ResourceKey, reason: ResourceError) -> UpdateError {
    UpdateError::invalid_resource(&key.name, reason)
}
