//! The member to which a request with an idempotency key is sent: the key's home.
//!
//! Only the member that ran a request recognizes its repeats, unless the members of its pool share their keys. So all
//! attempts with one key go to one member. Which one depends on the key and on the configured members alone, by weighted
//! rendezvous hashing: not on load, health or earlier requests. Forwarders with the same configuration therefore agree
//! without communication, and so does one that restarted. A home that is unavailable is not replaced, as it may have run
//! the request.
//!
//! A new configuration moves keys to other homes, and a member that restarts forgets what it ran. [`PlacementHistory`]
//! records both, and for which keys a repeat may still come.

mod former_route;
mod history;

pub use history::{KeyedRequest, PlacementHistory};

pub(crate) use history::hold_end;

use crate::weighted_split::select_by_entity;

/// A member that can be the home of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HomeCandidate {
    /// Hash of its address ([`crate::weighted_split::name_hash`]).
    pub address_hash: u64,
    /// Its share of the keys, relative to the others; 0 for none.
    pub weight: u64,
}

/// Which members of a pool recognize the repeats of a request that one of them ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyHomes {
    /// All of them.
    Shared,
    /// Only that one, which is the home of the request's key. Sorted, so that equal sets are equal.
    Members(Box<[HomeCandidate]>),
}

impl KeyHomes {
    /// Homes for members that recognize only the repeats of their own requests.
    pub fn of_members(members: impl Iterator<Item = HomeCandidate>) -> Self {
        let mut candidates: Vec<HomeCandidate> = members.collect();
        candidates.sort_unstable();
        Self::Members(candidates.into())
    }

    /// The hash of the address of a key's home; `None` if any member may take it, or no member has a weight.
    pub fn home(&self, key: &str) -> Option<u64> {
        let Self::Members(candidates) = self else {
            return None;
        };
        let targets = candidates
            .iter()
            .map(|candidate| (candidate.address_hash, candidate.weight));
        let index = select_by_entity(targets, key, |_| true)?;
        Some(candidates[index].address_hash)
    }
}
