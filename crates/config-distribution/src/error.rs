//! Why an update, or a part of one, is not accepted.

use thiserror::Error;

/// Why a frame, a delta or a snapshot is not accepted. The receiver's state is unchanged then.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpdateError {
    /// The bytes are not a frame, or not one of the expected kind.
    #[error("bytes that are no frame")]
    MalformedFrame,
    /// The delta does not begin at the version that is in force.
    #[error("made from version {base}, but version {current} is there")]
    VersionMismatch {
        /// The version that the delta begins at.
        base: u64,
        /// The version in force.
        current: u64,
    },
    /// The delta does not lead to a later version than the one it begins at.
    #[error("does not lead to a later version")]
    NotNewer,
    /// The digest of the result is not the one that the delta or snapshot names.
    #[error("leads to another digest than it says")]
    DigestMismatch,
    /// A size limit is exceeded; the text names which one.
    #[error("{0}")]
    TooLarge(&'static str),
    /// One resource cannot be accepted, and therefore none of the update is.
    #[error("`{name}`: {reason}")]
    InvalidResource {
        /// Name of the resource.
        name: String,
        /// What is wrong with it.
        reason: ResourceError,
    },
}

impl UpdateError {
    pub(crate) fn invalid_resource(name: &str, reason: ResourceError) -> Self {
        Self::InvalidResource {
            name: name.to_owned(),
            reason,
        }
    }
}

/// Why a single resource is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResourceError {
    /// The kind's number is not one of [`crate::frames::ResourceKind`].
    #[error("of a kind that is not known here")]
    UnknownKind,
    /// A member without a pool, or a pool named by a resource that is no member.
    #[error("a pool's name belongs to members")]
    UnexpectedPool,
    /// A rank other than 0 on a resource that is no route.
    #[error("a rank belongs to routes")]
    UnexpectedRank,
    /// The body's own name is not the resource's, or a pool's body lists members.
    #[error("what it says has another name")]
    NameMismatch,
    /// The body is not the encoded message of the kind.
    #[error("what it says cannot be read")]
    UndecodableBody,
    /// A configuration holds two resources of one kind and name.
    #[error("there are two of this kind and name")]
    DuplicateName,
    /// A delta names one resource twice.
    #[error("named twice")]
    RepeatedInDelta,
    /// Two routes would have the same rank.
    #[error("two routes at one place")]
    RankConflict,
    /// A member's pool would not exist.
    #[error("a member of a pool that is not there")]
    MissingPool,
    /// A pool would be removed while members of it remain.
    #[error("a pool that goes without its members")]
    OrphanedMembers,
}
