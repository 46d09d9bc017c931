//! Which way a ticket goes under a configuration: decisions without I/O and without a clock.
//!
//! | module | decides |
//! | --- | --- |
//! | [`table`] | which route takes a ticket, to which pool, where it falls back |
//! | [`split`] | parting tickets by share, with the least movement when something leaves |
//! | [`limit`] | whether a rate and a number at once let a ticket in, else when to come back |
//! | [`buckets`] | which of a limit's counters are kept: made when first used, given back when idle, bounded |
//! | [`budget`] | how much time each stage may still take |
//! | [`versions`] | all of it together while configurations change under running tickets |
//! | [`change`] | a change of named things on the present table, whole or not at all, at the cost of what it says |
//! | [`choice`] | which member of a pool: two choices by load, zones, warm-up, entities with bounded load |
//! | [`ramp`] | what one forwarder may send to a member that warms up, as its part of what all may |
//! | [`subset`] | which members of a large pool a forwarder knows |
//! | [`health`] | who is left out, judged from answers alone, and how it comes back |
//! | [`toward`] | how many tickets at once toward a member, learned from its times |
//! | [`attempts`] | whether a ticket is sent again, under a budget of the whole program |
//! | [`fleet`] | all of it for one ticket: from its arrival over each try to its one answer |
//! | [`room`] | a pool's places parted among tenants while they are scarce |
//! | [`decisions`] | the last decisions, for those who ask why |
//! | [`explain`] | the same in words: why this route, and why not the ones before it |
//!
//! Times are `Duration`s since any fixed start, chance is handed in as a seed, names become small indices
//! once ([`table::Table::traffic`]), and nothing on a ticket's way allocates.
//!
//! ```
//! use rainstand_config::{load, source::Memory};
//! use rainstand_routing::{table::Ticket, versions::{Router, Verdict}};
//! use std::time::Duration;
//!
//! let text = "rain 1
//! type check { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }
//! limits few { rate: 1 tickets/s; burst: 2 tickets }
//! pool hall { member n1 { address: \"10.0.0.1:5050\" } }
//! route all { to: hall; limits: few }";
//! let configuration = load(&Memory::new([("a.rain", text)]), "a.rain").configuration.unwrap();
//! let mut router = Router::new(&configuration, 7).unwrap();
//! let ticket = Ticket { traffic: router.table().traffic("check").unwrap(), ..Ticket::default() };
//! let now = Duration::from_secs(5);
//! let mut ways = Vec::new();
//! for _ in 0..2 {
//!     match router.arrived(now, &ticket, |_| true) {
//!         Verdict::Goes(way) => ways.push(way),
//!         Verdict::Turned(_) => unreachable!("the burst is two"),
//!     }
//! }
//! match router.arrived(now, &ticket, |_| true) {
//!     Verdict::Turned(turned) => assert_eq!(turned.after, Duration::from_secs(1)),
//!     Verdict::Goes(_) => unreachable!("the third comes back a second later"),
//! }
//! ways.into_iter().for_each(|way| router.ended(way));
//! ```

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod attempts;
pub mod buckets;
pub mod budget;
pub mod change;
pub mod choice;
pub mod decisions;
pub mod explain;
pub mod fleet;
pub mod health;
pub mod limit;
pub mod ramp;
pub mod room;
pub mod split;
pub mod subset;
pub mod table;
pub mod toward;
pub mod versions;

/// Why a configuration that comes as a message cannot be used. One that came through the checker can.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused(pub String);

impl std::fmt::Display for Refused {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(&self.0)
    }
}

impl std::error::Error for Refused {}
