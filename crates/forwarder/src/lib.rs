//! A thin forwarder on sockets, between clients and the members of pools (nodes). This crate does the socket I/O;
//! `rainstand-routing` decides where each request is sent, how a failure is handled, and which answer the client gets.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`server`] | runs a forwarder from startup to shutdown; evaluates the members' health |
//! | [`context`] | state shared by all tasks; installs new configuration versions |
//! | [`listener`] | client connections: reads calls, writes answers |
//! | [`request_table`] | requests in flight: attempts, timeouts, and the request lifecycle |
//! | [`upstream`] | connections to members: sends attempts, reads their outcomes |
//! | [`connection_limits`] | limit of client connections, and eviction when descriptors run out |
//! | [`drain`] | graceful shutdown |
//! | [`config_updates`] | translates deltas from the config servers into changes of the routing table |
//! | [`observability`] | counters, and metrics by member and route |
//! | [`admin`] | HTTP endpoint for operators: status, metrics, members and the last decisions |
//!
//! **Request flow.** `listener` extracts a call from a connection's bytes and passes it to `request_table`, which asks
//! `rainstand-routing` for a decision and executes it: an attempt through `upstream`, a backoff, or the answer.
//! `upstream` reports the outcome of each attempt, and a timer its timeout; each report leads to the next decision,
//! until the request has its one answer and is removed from the table. A member's result is forwarded unchanged.
//!
//! **Limits.** [`request_table::MAX_IN_FLIGHT_REQUESTS`] requests,
//! [`connection_limits::max_client_connections`] clients, [`upstream::MAX_UPSTREAM_CONNECTIONS`] connections to each
//! member, and a limit of bytes on each connection. Requests and connections beyond a limit are rejected or closed, and
//! counted.
//!
//! Everything runs on one thread; nothing of the [`ForwarderContext`] is borrowed across an await.

pub mod admin;
pub mod config_updates;
pub mod connection_limits;
pub mod context;
pub mod drain;
pub mod error;
pub mod listener;
pub mod observability;
pub mod request_table;
pub mod server;
mod socket;
pub mod upstream;

pub use context::ForwarderContext;
pub use error::RequestError;
pub use server::run;
