//! A configuration in numbered versions, on its way from up to six control machines to a fleet: decisions
//! alone, without I/O. Time, chance and frames are handed in; frames and orders come out.
//!
//! | module | job |
//! | --- | --- |
//! | [`frames`] | what is sent |
//! | [`delta`] | a configuration as named things; what changed; the running digest; whole or not at all |
//! | [`snapshot`] | a whole version packed, for links and disks |
//! | [`source`] | a control machine: the newest version, a bounded history, who holds what |
//! | [`subscriber`] | a process: the version in force, what it takes, what it refuses |
//! | [`attach`] | which control machine a process goes to, and when |
//!
//! Who numbers the versions: the group's log. A committed change is a [`frames::Delta`] from the version
//! before it; one made from an older version is refused alike on each machine, since each sees the same log.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod attach;
pub mod delta;
pub mod frames;
pub mod plant;
pub mod publisher;
pub mod snapshot;
pub mod subscriber;

use std::fmt;

/// Why something was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// Bytes that are no frame.
    MalformedFrame,
    /// Made from another version than the one that is there.
    VersionMismatch { base: u64, current: u64 },
    /// Does not lead to a later version.
    NotNewer,
    /// Leads to another digest than it says.
    DigestMismatch,
    /// Too large in some way, which is said.
    TooLarge(&'static str),
    /// One thing of it cannot be taken.
    InvalidResource { name: String, why: &'static str },
}

impl fmt::Display for UpdateError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MalformedFrame => out.write_str("bytes that are no frame"),
            Self::VersionMismatch {
                base: made,
                current: there,
            } => {
                write!(
                    out,
                    "made from version {made}, but version {there} is there"
                )
            }
            Self::NotNewer => out.write_str("does not lead to a later version"),
            Self::DigestMismatch => out.write_str("leads to another digest than it says"),
            Self::TooLarge(why) => out.write_str(why),
            Self::InvalidResource { name, why } => write!(out, "`{name}`: {why}"),
        }
    }
}

impl std::error::Error for UpdateError {}
