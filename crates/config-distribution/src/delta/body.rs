//! Decoding of a resource's body.

use super::kinds::for_each_plain_kind;
use super::ResourceKey;
use crate::frames::{Resource, ResourceKind};
use crate::{ResourceError, UpdateError};
use prost::{DecodeError, Message};
use rainstand_config::schema;

/// A decoded resource.
#[derive(Clone, Debug, PartialEq)]
pub enum ResourceBody {
    /// A request class.
    Type(schema::TrafficType),
    /// A tenant and its share.
    Tenant(schema::Tenant),
    /// A pool; its `members` are empty, as members are resources of their own.
    Pool(schema::Pool),
    /// A member of a pool.
    Member {
        /// Name of the pool.
        pool: String,
        /// The member.
        member: schema::Member,
    },
    /// A dependency.
    Dependency(schema::Dependency),
    /// A set of limits.
    Limits(schema::Limits),
    /// A policy for attempts.
    Attempts(schema::Attempts),
    /// A retry budget.
    Budget(schema::Budget),
    /// A health policy.
    Health(schema::Health),
    /// A policy for when rejected callers retry.
    RetryAfter(schema::RetryAfter),
    /// A route; its position is the resource's rank.
    Route(schema::Route),
    /// A recording.
    Recording(schema::Recording),
    /// A log.
    Log(schema::Log),
    /// An experiment.
    Experiment(schema::Experiment),
    /// A cluster.
    Group(schema::Group),
    /// A testbed.
    Rig(schema::Rig),
    /// A set of config servers.
    Control(schema::Control),
}

impl Resource {
    /// Decodes the body, and checks it against the key.
    ///
    /// # Errors
    /// [`UpdateError::InvalidResource`] for an unknown kind, a body that does not decode or has another name, or a rank
    /// on a resource that is no route.
    pub fn decode_body(&self) -> Result<ResourceBody, UpdateError> {
        let invalid = |reason| UpdateError::invalid_resource(&self.name, reason);
        let key = ResourceKey::try_from(self)?;
        if key.kind != ResourceKind::Route && self.rank != 0 {
            return Err(invalid(ResourceError::UnexpectedRank));
        }
        let decoded = self
            .decode_as(key.kind)
            .map_err(|_| invalid(ResourceError::UndecodableBody))?;
        decoded.ok_or_else(|| invalid(ResourceError::NameMismatch))
    }

    /// The body as a message of `kind`; `None` if its name is not this resource's name.
    fn decode_as(&self, kind: ResourceKind) -> Result<Option<ResourceBody>, DecodeError> {
        macro_rules! decode {
            ($($kind:ident $message:ident $list:ident),*) => {
                match kind {
                    $(ResourceKind::$kind => {
                        let message = schema::$message::decode(self.body.clone())?;
                        let same_name = message.name == self.name;
                        same_name.then_some(ResourceBody::$kind(message))
                    })*
                    ResourceKind::Pool => {
                        let pool = schema::Pool::decode(self.body.clone())?;
                        let same_name = pool.name == self.name && pool.members.is_empty();
                        same_name.then_some(ResourceBody::Pool(pool))
                    }
                    ResourceKind::Member => {
                        let member = schema::Member::decode(self.body.clone())?;
                        let same_name = member.name == self.name;
                        let pool = self.pool.clone();
                        same_name.then_some(ResourceBody::Member { pool, member })
                    }
                    ResourceKind::Route => {
                        let route = schema::Route::decode(self.body.clone())?;
                        let same_name = route.name == self.name;
                        same_name.then_some(ResourceBody::Route(route))
                    }
                    // Never the kind of a key.
                    ResourceKind::Unknown => None,
                }
            };
        }
        Ok(for_each_plain_kind!(decode))
    }
}
