//! The state that a group of nodes replicates, and how, without I/O.
//!
//! | module | job |
//! | --- | --- |
//! | [`idempotency`] | the idempotency keys of one shard: commands of the log to states and outcomes |
//! | [`versions`] | the published configuration: numbered versions and a bounded history |
//! | [`idempotent_request`] | one idempotent request at the node that received it: a state machine |
//! | [`placement`] | which members hold which shard |
//! | [`reconfiguration`] | the next membership change of a shard |
//! | [`gossip`] | sums that are merged without consensus |
//! | [`frames`] | what members send each other |
//! | [`member`] | one member of the group: its shards, its requests, its writes |
//!
//! | state | how it is replicated | why |
//! | --- | --- | --- |
//! | idempotency keys: claim, result | through the log of the key's shard | a second run or a second result would break the promise to the caller |
//! | members of each shard | through its log | two majorities must always overlap |
//! | published versions of a configuration | through the log of shard 0 | all replicas number them alike, and none is made from an outdated one |
//! | registers, such as the configuration version in force | through the log of shard 0 | all nodes use the same one |
//! | tenants' charged run time, each node's spare capacity | merged without consensus | a delay of a second costs little, waiting would cost every request |
//! | queues, requests in flight | not | they end with their node and its agent |
//! | learned limits | not | they concern one machine |
//!
//! Time, randomness and finished writes are passed in: the same calls give the same effects.

pub mod frames;
pub mod gossip;
pub mod idempotency;
pub mod idempotent_request;
pub mod member;
pub mod placement;
pub mod reconfiguration;
pub mod versions;
