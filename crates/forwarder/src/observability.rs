//! Counters and times of what went on, kept by a metrics library and read in the OpenMetrics text format.
//!
//! Labels are names of the configuration, or words of a fixed list, never what callers send: the number of series
//! is bounded by the configuration. A ticket's way costs no look-up by name: handles are kept by place, and made
//! anew with each version. Series of members that a version left out are dropped with it.

use crate::admin::ControlLine;
use crate::Hub;
use foldhash::{HashMap, HashSet};
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use rainstand_routing::fleet::{AttemptOutcome, Completed, Fleet, MemberRef, OutcomeReason};
use rainstand_routing::health::MemberStatus;
use std::cell::RefCell;
use std::time::Duration;

/// What tries may come to, in the order of the handles.
const BACKS: [AttemptOutcome; 7] = [
    AttemptOutcome::Served,
    AttemptOutcome::Rejected {
        pause: Duration::ZERO,
        nowhere_else: false,
    },
    AttemptOutcome::Failed,
    AttemptOutcome::Unreachable,
    AttemptOutcome::Broken,
    AttemptOutcome::TimedOut,
    AttemptOutcome::CallerLeft,
];
/// Stands for a route, pool or member of a version that is no longer the present one.
const EARLIER: &str = "(earlier version)";
/// Stands where a ticket had no route or no pool.
const NONE: &str = "(none)";

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TryLabels {
    pool: String,
    member: String,
    came: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct MemberLabels {
    pool: String,
    member: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TicketLabels {
    route: String,
    pool: String,
    end: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

/// A histogram of seconds, from a fifth of a millisecond to half a minute.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.0002, 2.0, 18))
}

struct MemberHandles {
    came: [Counter; 7],
    seconds: Histogram,
}

/// A ticket's route and pool by place, its end and why.
type EndKey = (Option<u16>, Option<u16>, &'static str, OutcomeReason);

/// What is kept by place, and the version since which the places are these.
#[derive(Default)]
struct Handles {
    since: u64,
    /// Of routes that had a ticket: most of five thousand have none in a forwarder's life.
    routes: HashMap<u16, Histogram>,
    members: Vec<Vec<MemberHandles>>,
    tickets: HashMap<EndKey, Counter>,
}

/// See the module's head.
pub struct Metrics {
    registry: RefCell<Registry>,
    tries: Family<TryLabels, Counter>,
    try_seconds: Family<MemberLabels, Histogram, fn() -> Histogram>,
    tickets: Family<TicketLabels, Counter>,
    ticket_seconds: Family<RouteLabels, Histogram, fn() -> Histogram>,
    open: Family<MemberLabels, Gauge>,
    limit: Family<MemberLabels, Gauge>,
    out: Family<MemberLabels, Gauge>,
    totals: Vec<(Total, Gauge)>,
    handles: RefCell<Handles>,
    /// Members and routes that have series.
    known: RefCell<HashSet<MemberLabels>>,
    known_routes: RefCell<HashSet<RouteLabels>>,
}

/// A number of the hub that is read when somebody asks.
type Total = fn(&Hub) -> u64;

/// Name, words, and where it is read.
const TOTALS: [(&str, &str, Total); 19] = [
    ("tickets_in_hand", "Tickets without an answer yet", |hub| {
        hub.tickets.borrow().len() as u64
    }),
    ("connections", "Connections of dispatchers", |hub| {
        hub.conns.borrow().len() as u64
    }),
    ("links", "Connections to members", |hub| {
        hub.backs.links() as u64
    }),
    ("accepted", "Connections taken since the start", |hub| {
        hub.counts.accepted.get()
    }),
    ("refused_connections", "Connections past the bound", |hub| {
        hub.counts.refused_connections.get()
    }),
    (
        "exceptions",
        "Messages that were answered with an exception",
        |hub| hub.counts.exceptions.get(),
    ),
    (
        "full",
        "Dismissed while leaving, or past the bound of tickets",
        |hub| hub.counts.full.get(),
    ),
    ("broken_links", "Connections to members that broke", |hub| {
        hub.counts.broken_links.get()
    }),
    (
        "late_answers",
        "Answers to tries that were over, dropped",
        |hub| hub.counts.late_answers.get(),
    ),
    ("unreadable", "Words of members that are no answer", |hub| {
        hub.counts.unreadable.get()
    }),
    (
        "unsent",
        "Tries that had not left when their link broke",
        |hub| hub.counts.unsent.get(),
    ),
    (
        "limit_buckets",
        "Counters of limits that are in use",
        |hub| hub.fleet.borrow().router().buckets().0 as u64,
    ),
    (
        "no_bucket",
        "Dismissed since all counters of limits were in use",
        |hub| hub.fleet.borrow().router().counts().no_bucket,
    ),
    ("version", "Number of the present configuration", |hub| {
        hub.fleet.borrow().version()
    }),
    (
        "control_version",
        "The published version in force; 0: none",
        |hub| control(hub, |told| told.version),
    ),
    (
        "control_age_ms",
        "Since the version in force was last known to be the newest",
        |hub| control(hub, |told| told.age_ms),
    ),
    (
        "control_attached",
        "1 while a control machine tells the versions",
        |hub| control(hub, |told| u64::from(told.machine.is_some())),
    ),
    ("control_lost", "Attachments that ended", |hub| {
        control(hub, |told| told.lost)
    }),
    ("control_refused", "Versions refused here", |hub| {
        control(hub, |told| told.refusals)
    }),
];

/// What control machines told; 0 where there are none.
fn control(hub: &Hub, what: fn(&ControlLine) -> u64) -> u64 {
    hub.control
        .borrow()
        .as_ref()
        .map_or(0, |control| what(&control()))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("rainstand_forwarder");
        let made = seconds as fn() -> Histogram;
        let mut totals = Vec::new();
        for (name, words, total) in TOTALS {
            let gauge = Gauge::default();
            registry.register(name, words, gauge.clone());
            totals.push((total, gauge));
        }
        let metrics = Self {
            registry: RefCell::default(),
            tries: Family::default(),
            try_seconds: Family::new_with_constructor(made),
            tickets: Family::default(),
            ticket_seconds: Family::new_with_constructor(made),
            open: Family::default(),
            limit: Family::default(),
            out: Family::default(),
            totals,
            handles: RefCell::default(),
            known: RefCell::default(),
            known_routes: RefCell::default(),
        };
        registry.register(
            "tries",
            "Tries by member and what came of them",
            metrics.tries.clone(),
        );
        registry.register_with_unit(
            "try",
            "Time of tries that were honoured",
            Unit::Seconds,
            metrics.try_seconds.clone(),
        );
        registry.register(
            "tickets",
            "Tickets by route, pool, end and reason",
            metrics.tickets.clone(),
        );
        registry.register_with_unit(
            "ticket",
            "Time from arrival to the answer",
            Unit::Seconds,
            metrics.ticket_seconds.clone(),
        );
        registry.register(
            "member_open",
            "Tries that are at a member",
            metrics.open.clone(),
        );
        registry.register(
            "member_limit",
            "Tries that may be at a member, as learned",
            metrics.limit.clone(),
        );
        registry.register(
            "member_out",
            "1 for a member that is left out, 2 for one that comes back by a trickle",
            metrics.out.clone(),
        );
        metrics.registry.replace(registry);
        metrics
    }
}

impl Metrics {
    /// A version of other places is the present one.
    pub fn version(&self, fleet: &Fleet) {
        let c = fleet.table().configuration();
        let mut handles = Handles {
            since: fleet.indices_since(),
            ..Handles::default()
        };
        let mut now = HashSet::default();
        let mut routes = self.known_routes.borrow_mut();
        if !routes.is_empty() {
            let there: HashSet<&str> = c.routes.iter().map(|route| &*route.name).collect();
            routes.retain(|labels| {
                there.contains(&*labels.route) || {
                    self.ticket_seconds.remove(labels);
                    false
                }
            });
        }
        for pool in &c.pools {
            let mut members = Vec::new();
            for member in &pool.members {
                let (pool, member) = (pool.name.clone(), member.name.clone());
                let labels = MemberLabels {
                    pool: pool.clone(),
                    member: member.clone(),
                };
                let counter = |back: AttemptOutcome| {
                    let labels = TryLabels {
                        pool: pool.clone(),
                        member: member.clone(),
                        came: back.as_str(),
                    };
                    self.tries.get_or_create(&labels).clone()
                };
                let seconds = self.try_seconds.get_or_create(&labels).clone();
                members.push(MemberHandles {
                    came: BACKS.map(counter),
                    seconds,
                });
                now.insert(labels);
            }
            handles.members.push(members);
        }
        for gone in self.known.borrow().difference(&now) {
            for back in BACKS {
                let (pool, member) = (gone.pool.clone(), gone.member.clone());
                self.tries.remove(&TryLabels {
                    pool,
                    member,
                    came: back.as_str(),
                });
            }
            self.try_seconds.remove(gone);
            self.open.remove(gone);
            self.limit.remove(gone);
            self.out.remove(gone);
        }
        self.known.replace(now);
        self.handles.replace(handles);
    }

    /// What came of a try, after this time. One that was sent under an earlier version is counted at its ticket only:
    /// its place may be another member's now.
    pub fn tried(&self, at: MemberRef, version: u64, back: AttemptOutcome, took: Duration) {
        let handles = self.handles.borrow();
        if version < handles.since {
            return;
        }
        let found = handles
            .members
            .get(usize::from(at.pool))
            .and_then(|all| all.get(usize::from(at.member)));
        let Some(member) = found else { return };
        let place = BACKS
            .iter()
            .position(|one| std::mem::discriminant(one) == std::mem::discriminant(&back));
        if let Some(place) = place {
            member.came[place].inc();
        }
        if back == AttemptOutcome::Served {
            member.seconds.observe(took.as_secs_f64());
        }
    }

    /// A ticket's end.
    pub fn ticket(&self, over: &Completed, fleet: &Fleet) {
        let mut handles = self.handles.borrow_mut();
        let same = over.version >= handles.since;
        let key = if same {
            (over.route, over.pool)
        } else {
            (Some(u16::MAX), Some(u16::MAX))
        };
        let table = fleet.table();
        if let Some(at) = over.route.filter(|_| same) {
            let seconds = handles.routes.entry(at).or_insert_with(|| {
                let labels = RouteLabels {
                    route: table.route_name(at).to_owned(),
                };
                let made = self.ticket_seconds.get_or_create(&labels).clone();
                self.known_routes.borrow_mut().insert(labels);
                made
            });
            seconds.observe(over.elapsed.as_secs_f64());
        }
        let key = (key.0, key.1, over.outcome.as_str(), over.why);
        if let Some(counter) = handles.tickets.get(&key) {
            counter.inc();
            return;
        }
        let name = |at: Option<u16>, of: &dyn Fn(u16) -> String| match at {
            _ if !same => EARLIER.to_owned(),
            None => NONE.to_owned(),
            Some(at) => of(at),
        };
        let labels = TicketLabels {
            route: name(over.route, &|at| table.route_name(at).to_owned()),
            pool: name(over.pool, &|at| table.pool_name(at).to_owned()),
            end: over.outcome.as_str(),
            reason: over.why.as_str(),
        };
        let counter = self.tickets.get_or_create(&labels).clone();
        counter.inc();
        handles.tickets.insert(key, counter);
    }

    /// All of it in the OpenMetrics text format.
    pub fn text(&self, hub: &Hub) -> String {
        for (total, gauge) in &self.totals {
            gauge.set(total(hub) as i64);
        }
        let (fleet, now) = (hub.fleet.borrow(), hub.now());
        let c = fleet.table().configuration();
        for (pool, of) in c.pools.iter().enumerate() {
            for (member, seen) in of.members.iter().zip(fleet.members(pool as u16, now)) {
                let labels = MemberLabels {
                    pool: of.name.clone(),
                    member: member.name.clone(),
                };
                self.open.get_or_create(&labels).set(i64::from(seen.open));
                self.limit.get_or_create(&labels).set(i64::from(seen.limit));
                let out = match seen.status {
                    MemberStatus::Healthy => 0,
                    MemberStatus::Ejected(_) => 1,
                    MemberStatus::Probing => 2,
                };
                self.out.get_or_create(&labels).set(out);
            }
        }
        let mut out = String::new();
        // Writing to a string fails only if a metric does: then what there is is told.
        let _ = text::encode(&mut out, &self.registry.borrow());
        out
    }
}
