//! Keys of resources, and the hash of one resource.

use crate::frames::{Resource, ResourceKind, ResourceName};
use crate::{ResourceError, UpdateError};
use bytes::Bytes;
use twox_hash::XxHash3_64;

/// Identifies a resource. Ordered by kind, then pool, then name, so that the members of a pool are adjacent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Pool of a member; empty for all other kinds.
    pub pool: Box<str>,
    /// Name, unique within its kind (and pool).
    pub name: Box<str>,
}

impl ResourceKey {
    /// Key of a resource that is not a member.
    #[must_use]
    pub fn new(kind: ResourceKind, name: &str) -> Self {
        Self {
            kind,
            pool: "".into(),
            name: name.into(),
        }
    }

    /// Key of the member `name` of `pool`.
    #[must_use]
    pub fn member(pool: &str, name: &str) -> Self {
        Self {
            kind: ResourceKind::Member,
            pool: pool.into(),
            name: name.into(),
        }
    }

    /// Whether this is a member of `pool`.
    pub(super) fn is_member_of(&self, pool: &str) -> bool {
        self.kind == ResourceKind::Member && &*self.pool == pool
    }

    /// The key as it is sent.
    pub(super) fn to_name(&self) -> ResourceName {
        ResourceName {
            kind: self.kind as i32,
            name: self.name.to_string(),
            pool: self.pool.to_string(),
        }
    }

    fn parse(kind: i32, pool: &str, name: &str) -> Result<Self, UpdateError> {
        let kind = ResourceKind::try_from(kind)
            .ok()
            .filter(|kind| *kind != ResourceKind::Unknown)
            .ok_or_else(|| UpdateError::invalid_resource(name, ResourceError::UnknownKind))?;
        if (kind == ResourceKind::Member) == pool.is_empty() {
            return Err(UpdateError::invalid_resource(
                name,
                ResourceError::UnexpectedPool,
            ));
        }
        Ok(Self {
            kind,
            pool: pool.into(),
            name: name.into(),
        })
    }

    /// Hash of the resource with this key. Sent as part of digests: the computation must not change.
    pub(super) fn hash_with(&self, value: &StoredResource) -> u64 {
        let kind_and_pool_length = self.kind as u64 | (self.pool.len() as u64) << 8;
        let mut header = [0; 24];
        header[..8].copy_from_slice(&kind_and_pool_length.to_le_bytes());
        header[8..16].copy_from_slice(&value.rank.to_le_bytes());
        header[16..].copy_from_slice(&(self.name.len() as u64).to_le_bytes());
        let seed = XxHash3_64::oneshot(&header);
        let seed = XxHash3_64::oneshot_with_seed(seed, self.pool.as_bytes());
        let seed = XxHash3_64::oneshot_with_seed(seed, self.name.as_bytes());
        XxHash3_64::oneshot_with_seed(seed, &value.body)
    }
}

impl TryFrom<&Resource> for ResourceKey {
    type Error = UpdateError;

    fn try_from(resource: &Resource) -> Result<Self, UpdateError> {
        Self::parse(resource.kind, &resource.pool, &resource.name)
    }
}

impl TryFrom<&ResourceName> for ResourceKey {
    type Error = UpdateError;

    fn try_from(name: &ResourceName) -> Result<Self, UpdateError> {
        Self::parse(name.kind, &name.pool, &name.name)
    }
}

/// What is stored under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StoredResource {
    /// Position of a route; 0 for all other kinds.
    pub(super) rank: u64,
    /// The encoded message.
    pub(super) body: Box<[u8]>,
}

impl StoredResource {
    /// The resource as it is sent.
    pub(super) fn to_resource(&self, key: &ResourceKey) -> Resource {
        let ResourceName { kind, name, pool } = key.to_name();
        Resource {
            kind,
            name,
            pool,
            rank: self.rank,
            body: Bytes::copy_from_slice(&self.body),
        }
    }
}
