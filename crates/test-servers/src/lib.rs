//! Scripted peers for tests, benches and examples, all on loopback.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`script`] | the small format that says what a node does, when and to whom; pure |
//! | [`node`] | a node on a thread of its own that does what its script says |
//! | [`caller`] | a dispatcher: asks, reads what comes, gives up |
//! | [`watch`] | tells all of it to the checker of the rules |
//! | [`size`] | configurations at the operators' size in two years, or a part of it |
//!
//! Nothing here is part of a product's program.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod caller;
pub mod node;
pub mod script;
pub mod size;
pub mod watch;
