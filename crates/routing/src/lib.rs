//! Routing decisions of a forwarder, without I/O and without a clock.
//!
//! | module | decides |
//! | --- | --- |
//! | [`table`] | which route matches a request, to which pool it goes, and which fallback applies |
//! | [`weighted_split`] | how requests are split by share; the removal of a target reassigns as few as possible |
//! | [`rate_limit`] | whether a rate and a concurrency limit admit a request, or else its retry-after |
//! | [`token_buckets`] | which buckets of limits exist: created on first use, freed when idle, bounded in number |
//! | [`time_budget`] | how much time each stage of a request may take |
//! | [`router`] | routes and limits together, while the configuration changes with requests in flight |
//! | [`table_update`] | atomic updates of single entries of the current table |
//! | [`key_placement`] | which member all attempts with one idempotency key go to, and when it may not take them |
//! | [`member_selection`] | which member of a pool takes a request: by load, zone, weight, warm-up and entity |
//! | [`warm_up`] | how much one forwarder may send to a warming member: its share of the limit for all forwarders |
//! | [`subset`] | which members of a large pool a forwarder uses |
//! | [`health`] | which members are ejected, judged by their answers alone, and how they are readmitted |
//! | [`stall_clock`] | how long this process itself was stalled, time that is not counted against any member |
//! | [`adaptive_concurrency`] | how many requests may be in flight at a member, learned from its response times |
//! | [`retry`] | whether a request is retried, under a retry budget of the whole process |
//! | [`retry_after`] | after what delay a rejected caller may retry |
//! | [`outcome_reason`] | the reason of a request's outcome |
//! | [`fleet`] | all of these for one request: from its arrival through each attempt to its one answer |
//! | [`tenant_fairness`] | how a pool's concurrency slots are divided among tenants while they are scarce |
//! | [`decision_log`] | the last decisions, for display |
//! | [`explain`] | why a request matches a route and none of the routes before it |
//!
//! Times are `Duration`s since an arbitrary fixed start, randomness is derived from a seed, names are resolved to small
//! indices once ([`table::Table::request_class`]), and processing a request allocates no memory.
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
//!         Admission::Rejected(_) => unreachable!("the burst is 2 requests"),
//!     }
//! }
//! match router.on_arrival(now, &request, |_| true) {
//!     Admission::Rejected(rejected) => assert_eq!(rejected.retry_after, Duration::from_secs(1)),
//!     Admission::Admitted(_) => unreachable!("the third request exceeds the burst"),
//! }
//! decisions.into_iter().for_each(|decision| router.on_completed(decision));
//! ```

mod error;

pub mod adaptive_concurrency;
pub mod decision_log;
pub mod explain;
pub mod fleet;
pub mod health;
pub mod key_placement;
pub mod member_selection;
pub mod outcome_reason;
pub mod rate_limit;
pub mod retry;
pub mod retry_after;
pub mod router;
pub mod stall_clock;
pub mod subset;
pub mod table;
pub mod table_update;
pub mod tenant_fairness;
pub mod time_budget;
pub mod token_buckets;
pub mod warm_up;
pub mod weighted_split;

pub use error::ConfigurationError;
