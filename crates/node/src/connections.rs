//! Connections of the dispatchers: accepting them, reading frames, writing answers, closing them.
//!
//! Each connection is served by one task; the state that others may see of it is
//! [`crate::connection::Connection`]. Connections share the process's descriptors with the calls to the tier below:
//! [`connection_capacity`] says how many may stand, and an idle one is evicted where more are needed.

mod accept;
mod capacity;
mod exchange;
mod read_deadlines;
mod sweep;

pub use accept::accept;
pub use capacity::{connection_capacity, evict_for_descriptor, reserve_for_call};
pub use read_deadlines::ReadDeadlines;
pub use sweep::sweep_connections;
