//! Client connections: accepting them, reading frames, writing answers, closing them.
//!
//! Each connection is served by one task; its state that other parts of the node may see is
//! [`crate::connection::Connection`]. Connections share the process's descriptors with downstream calls:
//! [`connection_capacity`] limits how many may be open, and an idle one is evicted when descriptors are needed.

mod accept;
mod capacity;
mod exchange;
mod read_deadlines;
mod sweep;

pub use accept::accept;
pub use capacity::{connection_capacity, evict_for_descriptor, reserve_for_call};
pub use read_deadlines::ReadDeadlines;
pub use sweep::sweep_connections;
