//! The delta from a state to a configuration.

use super::key::StoredResource;
use super::kinds::for_each_plain_kind;
use super::rank::assign_ranks;
use super::{ConfigState, ResourceKey};
use crate::frames::{Delta, ResourceKind};
use crate::{ResourceError, UpdateError};
use prost::Message;
use rainstand_config::schema::{self, Configuration};
use std::collections::BTreeMap;

type StoredResources = BTreeMap<ResourceKey, StoredResource>;

impl ConfigState {
    /// The state that holds exactly `configuration`.
    ///
    /// # Errors
    /// [`UpdateError::InvalidResource`] for two resources of one kind and name.
    pub fn from_configuration(configuration: &Configuration) -> Result<Self, UpdateError> {
        let delta = Self::default().delta_to(0, 1, configuration)?;
        let mut state = Self::default();
        state.apply(&delta)?;
        Ok(state)
    }

    /// The delta from this state, as version `from`, to `configuration`, as version `to`. Routes that keep their
    /// relative order keep their ranks.
    ///
    /// # Errors
    /// [`UpdateError::InvalidResource`] for two resources of one kind and name in the configuration.
    pub fn delta_to(
        &self,
        from: u64,
        to: u64,
        configuration: &Configuration,
    ) -> Result<Delta, UpdateError> {
        let desired = self.desired_resources(configuration)?;
        let mut delta = Delta {
            from,
            to,
            digest: self.digest,
            upserts: Vec::new(),
            removals: Vec::new(),
        };
        for (key, value) in &desired {
            let current = self.resources.get(key);
            if current == Some(value) {
                continue;
            }
            if let Some(current) = current {
                delta.digest = delta.digest.wrapping_sub(key.hash_with(current));
            }
            delta.digest = delta.digest.wrapping_add(key.hash_with(value));
            delta.upserts.push(value.to_resource(key));
        }
        for (key, value) in &self.resources {
            if desired.contains_key(key) {
                continue;
            }
            delta.digest = delta.digest.wrapping_sub(key.hash_with(value));
            delta.removals.push(key.to_name());
        }
        Ok(delta)
    }

    /// The resources of `configuration`, with ranks for its routes.
    fn desired_resources(
        &self,
        configuration: &Configuration,
    ) -> Result<StoredResources, UpdateError> {
        let mut desired = StoredResources::new();
        macro_rules! insert_all {
            ($($kind:ident $message:ident $list:ident),*) => {
                $(for message in &configuration.$list {
                    let key = ResourceKey::new(ResourceKind::$kind, &message.name);
                    insert_unique(&mut desired, key, 0, message)?;
                })*
            };
        }
        for_each_plain_kind!(insert_all);
        for pool in &configuration.pools {
            insert_pool(&mut desired, pool)?;
        }
        let current_ranks: Vec<Option<u64>> = configuration
            .routes
            .iter()
            .map(|route| self.rank_of(&route.name))
            .collect();
        let ranks = assign_ranks(&current_ranks);
        for (route, rank) in configuration.routes.iter().zip(ranks) {
            let key = ResourceKey::new(ResourceKind::Route, &route.name);
            insert_unique(&mut desired, key, rank, route)?;
        }
        Ok(desired)
    }

    fn rank_of(&self, route: &str) -> Option<u64> {
        let key = ResourceKey::new(ResourceKind::Route, route);
        self.resources.get(&key).map(|value| value.rank)
    }
}

/// Inserts a pool, and its members as resources of their own.
fn insert_pool(resources: &mut StoredResources, pool: &schema::Pool) -> Result<(), UpdateError> {
    let without_members = schema::Pool {
        members: Vec::new(),
        ..pool.clone()
    };
    let key = ResourceKey::new(ResourceKind::Pool, &pool.name);
    insert_unique(resources, key, 0, &without_members)?;
    for member in &pool.members {
        let key = ResourceKey::member(&pool.name, &member.name);
        insert_unique(resources, key, 0, member)?;
    }
    Ok(())
}

fn insert_unique(
    resources: &mut StoredResources,
    key: ResourceKey,
    rank: u64,
    message: &impl Message,
) -> Result<(), UpdateError> {
    if resources.contains_key(&key) {
        return Err(UpdateError::invalid_resource(
            &key.name,
            ResourceError::DuplicateName,
        ));
    }
    let body = message.encode_to_vec().into();
    resources.insert(key, StoredResource { rank, body });
    Ok(())
}
