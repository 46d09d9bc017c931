//! What a group of nodes copies and how, without I/O.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`keys`] | one shard's keyed tickets: commands of the log to states and results |
//! | [`versions`] | the configuration that is published: numbered versions and a bounded history |
//! | [`tickets`] | one keyed ticket at the node it came to: a table of stages |
//! | [`layout`] | which members hold which shard |
//! | [`moves`] | the next change of a shard's members, one at a time |
//! | [`soft`] | sums that are merged without waiting |
//! | [`frames`] | what members send each other |
//! | [`member`] | one member of the group: its shards, its questions, its writes |
//!
//! | state | how it is copied | why |
//! | --- | --- | --- |
//! | keyed tickets: start, result | through the log of the key's shard | a second run or another result breaks rule 2 |
//! | members of each shard | through its log | two majorities must never be apart |
//! | published versions of a configuration | through the log of shard 0 | all count them alike, and none is made from an old one |
//! | registers, such as the configuration version in force | through the log of shard 0 | all go by the same one |
//! | tenants' charged run time, what each node can take | joined without waiting | late by a second costs little, waiting costs each ticket |
//! | queues, tickets in hand | not | they end with their node and its agent |
//! | learned limits | not | they are about one machine |
//!
//! Time, chance and finished writes are handed in: the same calls give the same effects.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod frames;
pub mod gossip;
pub mod idempotency;
pub mod idempotent_request;
pub mod member;
pub mod placement;
pub mod reconfiguration;
pub mod versions;
