//! A node on sockets, between clients on one side and the execution agent and the downstream tier on the other. Its
//! policy decides about every request.
//!
//! A request passes [`connections`] (bytes to frames), [`ingress`] (names to indices, retries), the policy's orders in
//! `policy_host`, [`dispatch`] (launches and calls) and [`completion`] (outcomes to the single answer). They work on the
//! [`request_table`], which does no I/O. All tasks run on one thread and share a [`NodeContext`]; nothing in it is
//! borrowed across an await.

pub mod agent;
pub mod agent_link;
pub mod completion;
pub mod config;
pub mod connection;
pub mod connections;
pub mod context;
pub mod counters;
pub mod descriptor_limit;
pub mod descriptors;
pub mod dispatch;
pub mod downstream;
pub mod downstream_pool;
pub mod drain;
pub mod group_claim;
pub mod group_handle;
pub mod group_membership;
pub mod idempotency;
pub mod ingress;
pub mod log;
pub mod node;
mod node_tasks;
pub mod pending_reply;
mod policy_host;
pub mod prior_runs;
pub mod recording;
pub mod registration;
pub mod reload;
pub mod request;
pub mod request_table;
pub mod result_cache;
pub mod settings;
pub mod socket_buffer;
pub mod supervisor;
pub mod ticker;
pub mod traffic_recording;

pub use context::NodeContext;
pub use node::run;
pub use rainstand_protocol::{http, thrift};
