//! A thin forwarder on sockets: clients (dispatchers) on one side, the members of pools (nodes) on the other, and between
//! them the decisions of `rainstand-routing`, which settle where each request goes, what follows a failure, and the one
//! answer.
//!
//! | module | job |
//! | --- | --- |
//! | [`server`] | a forwarder from its start to its end; evaluates the members' health |
//! | [`context`] | what all tasks share; new versions of the configuration |
//! | [`listener`] | connections of clients: calls in, answers out |
//! | [`request_table`] | requests in flight: their attempts, timeouts, and the steps of a request's life |
//! | [`upstream`] | connections to members: attempts out, their outcomes in |
//! | [`connection_limits`] | how many clients may be connected, and which is evicted where descriptors run out |
//! | [`drain`] | graceful shutdown |
//! | [`config_updates`] | a delta from the config servers as changes of the routing table |
//! | [`observability`] | counters, and metrics by member and route |
//! | [`admin`] | status, metrics, members and the last decisions for operators, over HTTP |
//!
//! **The way of a request.** `listener` cuts a call out of a connection's bytes and hands it to `request_table`, which
//! asks the decisions and carries out what they order: an attempt by way of `upstream`, a backoff, or the answer.
//! `upstream` reports the outcome of each attempt back, as a timer does its timeout, and the decisions are asked again,
//! until the request has its one answer and leaves the table. A member's result is forwarded unchanged.
//!
//! **Bounds.** [`request_table::MAX_IN_FLIGHT_REQUESTS`] requests,
//! [`connection_limits::max_client_connections`] clients, [`upstream::MAX_UPSTREAM_CONNECTIONS`] connections to each
//! member, and a bound of bytes on each connection. What is past a bound is rejected or closed, with a counter.
//!
//! All of it runs on one thread; nothing of the [`ForwarderContext`] is borrowed across an await.

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
