//! A deterministic model of the fleet on a virtual clock.
//!
//! | module | contents |
//! | --- | --- |
//! | [`plan`] | what a run models: fleet, load, client behaviour, faults, and the seed |
//! | [`queue`] | the event queue, ordered by time |
//! | [`machine`] | a machine whose cores are shared by its runs |
//! | [`node`] | a node on its machine: a plain queue, or the project's admission controller |
//! | [`world`] | clients, forwarders, network and faults; the run itself |
//! | [`measure`] | the results of a run |
//! | [`shrink`] | minimizes a plan that violates an invariant |
//!
//! Forwarders run [`rainstand_routing::fleet::Fleet`] and the project's own nodes run
//! [`rainstand::AdmissionController`]: the production code. [`rainstand_invariants`] checks each step.
//!
//! ```
//! use rainstand_fleet_model::{plan::Plan, world};
//! let plan = Plan { lasts: std::time::Duration::from_secs(1), ..Plan::default() };
//! let first = world::run(&plan).unwrap();
//! assert!(first.served_share() > 0.99);
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
