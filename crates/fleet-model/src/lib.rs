//! A model of the fleet on a virtual clock.
//!
//! | module | job |
//! | --- | --- |
//! | [`plan`] | what is modelled: fleet, load, habits, faults, and the seed |
//! | [`queue`] | events in order of time |
//! | [`machine`] | cores shared by what runs on them |
//! | [`node`] | a node on its machine: a plain one, or the project's own decisions |
//! | [`world`] | dispatchers, forwarders, network and faults; the run itself |
//! | [`measure`] | what a run came to |
//! | [`shrink`] | a smaller plan that still breaks a rule |
//!
//! Forwarders decide with [`rainstand_routing::fleet::Fleet`], nodes of the project's kind with
//! [`rainstand::AdmissionController`]: the very code that serves. The rules are checked after each step by [`rainstand_invariants`].
//!
//! ```
//! use rainstand_fleet_model::{plan::Plan, world};
//! let plan = Plan { lasts: std::time::Duration::from_secs(1), ..Plan::default() };
//! let first = world::run(&plan).unwrap();
//! assert!(first.honoured_share() > 0.99);
//! // The same seed gives the same run.
//! assert_eq!(world::run(&plan).unwrap(), first);
//! ```

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod machine;
pub mod measure;
pub mod node;
pub mod plan;
pub mod queue;
pub mod shrink;
pub mod world;
