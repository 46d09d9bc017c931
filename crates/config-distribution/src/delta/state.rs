//! One version of a configuration as a map of resources.

use super::key::StoredResource;
use super::kinds::for_each_plain_kind;
use super::{ResourceBody, ResourceKey};
use crate::frames::{Resource, ResourceKind};
use crate::UpdateError;
use rainstand_config::schema::{self, Configuration};
use std::collections::BTreeMap;

/// One version of a configuration, without its number.
///
/// Invariants: `digest` is the wrapping sum of the hashes of all resources; each member's pool exists; no two routes
/// have the same rank, and `routes` holds exactly the routes of `resources`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigState {
    pub(super) resources: BTreeMap<ResourceKey, StoredResource>,
    /// Names of the routes by rank.
    pub(super) routes: BTreeMap<u64, Box<str>>,
    pub(super) digest: u64,
}

/// A route's name and position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankedRoute<'state> {
    /// Position: routes are ordered by it.
    pub rank: u64,
    /// Name of the route.
    pub name: &'state str,
}

impl ConfigState {
    /// Digest of all resources. It does not depend on the order of the changes that led here.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Recomputes the digest from all resources and compares it with [`Self::digest`]; takes time linear in the size.
    /// For tests, and for states that were read from a disk.
    #[must_use]
    pub fn verify_digest(&self) -> bool {
        let sum = self.resources.iter().fold(0_u64, |sum, (key, value)| {
            sum.wrapping_add(key.hash_with(value))
        });
        sum == self.digest
    }

    /// Number of resources.
    #[must_use]
    pub fn len(&self) -> usize {
        self.resources.len()
    }

    /// Whether there are no resources.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.resources.is_empty()
    }

    /// All resources, in the order of their keys.
    pub fn resources(&self) -> impl Iterator<Item = Resource> + '_ {
        self.resources
            .iter()
            .map(|(key, value)| value.to_resource(key))
    }

    /// The resource with this key.
    #[must_use]
    pub fn get(&self, key: &ResourceKey) -> Option<Resource> {
        self.resources.get(key).map(|value| value.to_resource(key))
    }

    /// Members of a pool, ordered by name.
    pub fn members<'state>(
        &'state self,
        pool: &'state str,
    ) -> impl Iterator<Item = Resource> + 'state {
        self.resources
            .range(ResourceKey::member(pool, "")..)
            .take_while(|(key, _)| key.is_member_of(pool))
            .map(|(key, value)| value.to_resource(key))
    }

    /// Routes in their order.
    pub fn routes(&self) -> impl DoubleEndedIterator<Item = RankedRoute<'_>> {
        self.routes
            .iter()
            .map(|(rank, name)| RankedRoute { rank: *rank, name })
    }

    /// Name of the last route whose rank is below `rank`; `None` if there is none.
    #[must_use]
    pub fn route_before(&self, rank: u64) -> Option<&str> {
        self.routes
            .range(..rank)
            .next_back()
            .map(|(_, name)| &**name)
    }

    /// The full configuration as the schema's message: routes in their order, all other lists ordered by name.
    ///
    /// # Errors
    /// [`UpdateError::InvalidResource`] for a resource that cannot be decoded. Resources are decoded before they are
    /// applied, so this indicates memory corruption.
    pub fn configuration(&self) -> Result<Configuration, UpdateError> {
        let mut configuration = Configuration {
            version: schema::VERSION,
            ..Configuration::default()
        };
        let mut pool_positions = BTreeMap::new();
        for (key, value) in &self.resources {
            if key.kind == ResourceKind::Route {
                continue;
            }
            let body = value.to_resource(key).decode_body()?;
            push_body(&mut configuration, &mut pool_positions, body);
        }
        for route in self.routes() {
            let key = ResourceKey::new(ResourceKind::Route, route.name);
            let Some(resource) = self.get(&key) else {
                continue;
            };
            if let ResourceBody::Route(route) = resource.decode_body()? {
                configuration.routes.push(route);
            }
        }
        Ok(configuration)
    }
}

/// Adds a resource other than a route. `pool_positions` holds the indices of the pools that were added so far; pools
/// come before members in the order of keys.
fn push_body(
    configuration: &mut Configuration,
    pool_positions: &mut BTreeMap<String, usize>,
    body: ResourceBody,
) {
    macro_rules! push {
        ($($kind:ident $message:ident $list:ident),*) => {
            match body {
                $(ResourceBody::$kind(message) => configuration.$list.push(message),)*
                ResourceBody::Pool(pool) => {
                    pool_positions.insert(pool.name.clone(), configuration.pools.len());
                    configuration.pools.push(pool);
                }
                ResourceBody::Member { pool, member } => {
                    let pool = pool_positions
                        .get(&pool)
                        .and_then(|position| configuration.pools.get_mut(*position));
                    if let Some(pool) = pool {
                        pool.members.push(member);
                    }
                }
                ResourceBody::Route(_) => {}
            }
        };
    }
    for_each_plain_kind!(push);
}
