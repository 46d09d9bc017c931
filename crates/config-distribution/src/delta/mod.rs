//! A configuration as a set of resources, and the deltas between versions of it.
//!
//! A delta's cost depends on what it changes, not on the size of the configuration. It is checked in full before
//! anything is changed. The digest of a state is the sum of one hash for each resource: it follows from the digest
//! before and the change alone, and does not depend on the order of changes.

mod apply;
mod body;
mod diff;
mod key;
mod kinds;
mod merge;
mod rank;
mod state;

pub use body::ResourceBody;
pub use key::ResourceKey;
pub use merge::{merge, DeltaMerger};
pub use state::{ConfigState, RankedRoute};
