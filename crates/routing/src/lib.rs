//! Which way a request goes under a configuration: decisions without I/O and without a clock.
//!
//! | module | decides |
//! | --- | --- |
//! | [`table`] | which route takes a request, to which pool, where it falls back |
//! | [`weighted_split`] | parting requests by share, with the least movement when something leaves |
//! | [`rate_limit`] | whether a rate and a number at once let a request in, else when to come back |
//! | [`token_buckets`] | which of a limit's counters are kept: made when first used, given back when idle, bounded |
//! | [`time_budget`] | how much time each stage may still take |
//! | [`router`] | all of it together while configurations change under running requests |
//! | [`table_update`] | a change of named things on the present table, whole or not at all, at the cost of what it says |
//! | [`member_selection`] | which member of a pool: two choices by load, zones, warm-up, entities with bounded load |
//! | [`warm_up`] | what one forwarder may send to a member that warms up, as its part of what all may |
//! | [`subset`] | which members of a large pool a forwarder knows |
//! | [`health`] | who is left out, judged from answers alone, and how it comes back |
//! | [`adaptive_concurrency`] | how many requests at once toward a member, learned from its times |
//! | [`retry`] | whether a request is sent again, under a budget of the whole program |
//! | [`fleet`] | all of it for one request: from its arrival over each try to its one answer |
//! | [`tenant_fairness`] | a pool's places parted among tenants while they are scarce |
//! | [`decision_log`] | the last decisions, for those who ask why |
//! | [`explain`] | the same in words: why this route, and why not the ones before it |
//!
//! Times are `Duration`s since any fixed start, chance is handed in as a seed, names become small indices
//! once ([`table::Table::request_class`]), and nothing on a request's way allocates.
//!
//! ```
//! use rainstand_config::{load, source::Memory};
//! use rainstand_routing::{table::Request, router::{Admission, Router}};
//! use std::time::Duration;
//!
//! let text = "rain 1
//! type check { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }
//! limits few { rate: 1 tickets/s; burst: 2 tickets }
//! pool hall { member n1 { address: \"10.0.0.1:5050\" } }
//! route all { to: hall; limits: few }";
//! let configuration = load(&Memory::new([("a.rain", text)]), "a.rain").configuration.unwrap();
//! let mut router = Router::new(&configuration, 7).unwrap();
//! let request = Request { request_class: router.table().request_class("check").unwrap(), ..Request::default() };
//! let now = Duration::from_secs(5);
//! let mut decisions = Vec::new();
//! for _ in 0..2 {
//!     match router.on_arrival(now, &request, |_| true) {
//!         Admission::Admitted(decision) => decisions.push(decision),
//!         Admission::Rejected(_) => unreachable!("the burst is two"),
//!     }
//! }
//! match router.on_arrival(now, &request, |_| true) {
//!     Admission::Rejected(rejected) => assert_eq!(rejected.after, Duration::from_secs(1)),
//!     Admission::Admitted(_) => unreachable!("the third comes back a second later"),
//! }
//! decisions.into_iter().for_each(|decision| router.on_completed(decision));
//! ```

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod adaptive_concurrency;
pub mod decision_log;
pub mod explain;
pub mod fleet;
pub mod health;
pub mod member_selection;
pub mod rate_limit;
pub mod retry;
pub mod router;
pub mod subset;
pub mod table;
pub mod table_update;
pub mod tenant_fairness;
pub mod time_budget;
pub mod token_buckets;
pub mod warm_up;
pub mod weighted_split;

/// Why a configuration that comes as a message cannot be used. One that came through the checker can.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError(pub String);

impl std::fmt::Display for ConfigurationError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(&self.0)
    }
}

impl std::error::Error for ConfigurationError {}
