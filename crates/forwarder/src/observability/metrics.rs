//! Counters and times by member and by route, kept by a metrics library.
//!
//! Labels are names of the configuration, or words of a fixed list, never what callers send: the number of series is
//! bounded by the configuration. A request costs no look-up by name: handles are kept by index, and made again with
//! each version that changes indices. Series of members and routes that such a version left out are dropped with it.

use super::totals::{Total, TOTALS};
use crate::ForwarderContext;
use foldhash::{HashMap, HashSet};
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use rainstand_config::schema::Pool;
use rainstand_routing::fleet::{AttemptOutcome, Completed, Fleet, MemberRef};
use rainstand_routing::health::MemberStatus;
use rainstand_routing::outcome_reason::OutcomeReason;
use std::cell::RefCell;
use std::mem::discriminant;
use std::time::Duration;

/// The outcomes of attempts, in the order of [`MemberHandles::outcomes`].
const OUTCOMES: [AttemptOutcome; 7] = [
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
/// Label of a route or pool of a version whose indices have changed since.
const EARLIER_VERSION: &str = "(earlier version)";
/// Label where a request had no route or no pool.
const NONE: &str = "(none)";
/// First bucket of a histogram, s; each is twice the one before.
const MIN_BUCKET_SECONDS: f64 = 0.0002;
/// Buckets of a histogram: up to 26 s.
const BUCKETS: u16 = 18;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AttemptLabels {
    pool: String,
    member: String,
    came: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct MemberLabels {
    pool: String,
    member: String,
}

impl MemberLabels {
    fn with_outcome(&self, outcome: AttemptOutcome) -> AttemptLabels {
        AttemptLabels {
            pool: self.pool.clone(),
            member: self.member.clone(),
            came: outcome.as_str(),
        }
    }
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    pool: String,
    end: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

/// A histogram of seconds.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(MIN_BUCKET_SECONDS, 2.0, BUCKETS))
}

struct MemberHandles {
    /// In the order of [`OUTCOMES`].
    outcomes: [Counter; OUTCOMES.len()],
    seconds: Histogram,
}

/// What a counter of ended requests stands for.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum RequestKey {
    /// By indices of the current version.
    Current {
        route: Option<u16>,
        pool: Option<u16>,
        end: &'static str,
        reason: OutcomeReason,
    },
    /// Its indices are those of an earlier version.
    Earlier {
        end: &'static str,
        reason: OutcomeReason,
    },
}

/// Handles by index, and the version since which the indices are these.
#[derive(Default)]
struct Handles {
    indices_since: u64,
    /// Only of routes that had a request: of five thousand most have none in a process's life.
    routes: HashMap<u16, Histogram>,
    /// By pool and member.
    members: Vec<Vec<MemberHandles>>,
    requests: HashMap<RequestKey, Counter>,
}

/// Metrics by member and route. See the module's documentation.
pub struct Metrics {
    registry: Registry,
    attempts: Family<AttemptLabels, Counter>,
    attempt_seconds: Family<MemberLabels, Histogram, fn() -> Histogram>,
    requests: Family<RequestLabels, Counter>,
    request_seconds: Family<RouteLabels, Histogram, fn() -> Histogram>,
    open: Family<MemberLabels, Gauge>,
    limit: Family<MemberLabels, Gauge>,
    out: Family<MemberLabels, Gauge>,
    totals: Vec<(Total, Gauge)>,
    handles: RefCell<Handles>,
    /// Members that have series.
    known_members: RefCell<HashSet<MemberLabels>>,
    /// Routes that have series.
    known_routes: RefCell<HashSet<RouteLabels>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("rainstand_forwarder"),
            attempts: Family::default(),
            attempt_seconds: Family::new_with_constructor(seconds as fn() -> Histogram),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(seconds as fn() -> Histogram),
            open: Family::default(),
            limit: Family::default(),
            out: Family::default(),
            totals: Vec::new(),
            handles: RefCell::default(),
            known_members: RefCell::default(),
            known_routes: RefCell::default(),
        };
        metrics.register_totals();
        metrics.register_families();
        metrics
    }
}

impl Metrics {
    fn register_totals(&mut self) {
        for total in TOTALS {
            let gauge = Gauge::default();
            self.registry
                .register(total.name, total.help, gauge.clone());
            self.totals.push((total, gauge));
        }
    }

    fn register_families(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "tries",
            "Tries by member and what came of them",
            self.attempts.clone(),
        );
        registry.register_with_unit(
            "try",
            "Time of tries that were honoured",
            Unit::Seconds,
            self.attempt_seconds.clone(),
        );
        registry.register(
            "tickets",
            "Tickets by route, pool, end and reason",
            self.requests.clone(),
        );
        registry.register_with_unit(
            "ticket",
            "Time from arrival to the answer",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        registry.register(
            "member_open",
            "Tries that are at a member",
            self.open.clone(),
        );
        registry.register(
            "member_limit",
            "Tries that may be at a member, as learned",
            self.limit.clone(),
        );
        registry.register(
            "member_out",
            "1 for a member that is left out, 2 for one that comes back by a trickle",
            self.out.clone(),
        );
    }

    /// A version was installed that changed indices.
    pub(crate) fn on_indices_changed(&self, fleet: &Fleet) {
        let configuration = fleet.table().configuration();
        let routes = configuration.routes.iter().map(|route| &*route.name);
        self.remove_routes_except(routes);
        let members: Vec<Vec<MemberLabels>> = configuration.pools.iter().map(labels).collect();
        let handles = Handles {
            indices_since: fleet.indices_since(),
            members: members.iter().map(|pool| self.handles(pool)).collect(),
            ..Handles::default()
        };
        self.remove_members_except(members.into_iter().flatten().collect());
        self.handles.replace(handles);
    }

    fn remove_routes_except<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let mut known = self.known_routes.borrow_mut();
        if known.is_empty() {
            return;
        }
        let names: HashSet<&str> = names.collect();
        known.retain(|labels| {
            let remains = names.contains(&*labels.route);
            if !remains {
                self.request_seconds.remove(labels);
            }
            remains
        });
    }

    fn remove_members_except(&self, members: HashSet<MemberLabels>) {
        let mut known = self.known_members.borrow_mut();
        for removed in known.difference(&members) {
            for outcome in OUTCOMES {
                self.attempts.remove(&removed.with_outcome(outcome));
            }
            self.attempt_seconds.remove(removed);
            self.open.remove(removed);
            self.limit.remove(removed);
            self.out.remove(removed);
        }
        *known = members;
    }

    fn handles(&self, members: &[MemberLabels]) -> Vec<MemberHandles> {
        let of_member = |labels: &MemberLabels| {
            let counter = |outcome| {
                let labels = labels.with_outcome(outcome);
                self.attempts.get_or_create(&labels).clone()
            };
            MemberHandles {
                outcomes: OUTCOMES.map(counter),
                seconds: self.attempt_seconds.get_or_create(labels).clone(),
            }
        };
        members.iter().map(of_member).collect()
    }

    /// An attempt ended, so long after it was sent under this version. One that was sent under earlier indices is
    /// counted only with its request: its member's index may be another's now.
    pub(crate) fn record_attempt(
        &self,
        member: MemberRef,
        version: u64,
        outcome: AttemptOutcome,
        elapsed: Duration,
    ) {
        let handles = self.handles.borrow();
        if version < handles.indices_since {
            return;
        }
        let pool = handles.members.get(usize::from(member.pool));
        let Some(member) = pool.and_then(|pool| pool.get(usize::from(member.member))) else {
            return;
        };
        let is_outcome = |one: &AttemptOutcome| discriminant(one) == discriminant(&outcome);
        if let Some(index) = OUTCOMES.iter().position(is_outcome) {
            member.outcomes[index].inc();
        }
        if outcome == AttemptOutcome::Served {
            member.seconds.observe(elapsed.as_secs_f64());
        }
    }

    /// A request ended.
    pub(crate) fn record_request(&self, completed: &Completed, fleet: &Fleet) {
        let mut handles = self.handles.borrow_mut();
        let (end, reason) = (completed.outcome.as_str(), completed.reason);
        let key = if completed.version >= handles.indices_since {
            if let Some(route) = completed.route {
                let histogram = handles
                    .routes
                    .entry(route)
                    .or_insert_with(|| self.route_histogram(fleet, route));
                histogram.observe(completed.elapsed.as_secs_f64());
            }
            RequestKey::Current {
                route: completed.route,
                pool: completed.pool,
                end,
                reason,
            }
        } else {
            RequestKey::Earlier { end, reason }
        };
        let counter = handles.requests.entry(key).or_insert_with(|| {
            let labels = request_labels(key, fleet);
            self.requests.get_or_create(&labels).clone()
        });
        counter.inc();
    }

    fn route_histogram(&self, fleet: &Fleet, route: u16) -> Histogram {
        let labels = RouteLabels {
            route: fleet.table().route_name(route).to_owned(),
        };
        let histogram = self.request_seconds.get_or_create(&labels).clone();
        self.known_routes.borrow_mut().insert(labels);
        histogram
    }

    /// All of it in the `OpenMetrics` text format.
    pub fn to_openmetrics(&self, context: &ForwarderContext) -> String {
        for (total, gauge) in &self.totals {
            gauge.set((total.read)(context) as i64);
        }
        self.set_member_gauges(&context.fleet.borrow(), context.now());
        let mut text = String::new();
        // Writing to a string fails only if a metric does: then what there is is shown.
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    fn set_member_gauges(&self, fleet: &Fleet, now: Duration) {
        for (index, pool) in fleet.table().configuration().pools.iter().enumerate() {
            let snapshots = fleet.members(index as u16, now);
            for (labels, snapshot) in labels(pool).iter().zip(snapshots) {
                let out = match snapshot.status {
                    MemberStatus::Healthy => 0,
                    MemberStatus::Ejected(_) => 1,
                    MemberStatus::Probing => 2,
                };
                let (open, limit) = (i64::from(snapshot.open), i64::from(snapshot.limit));
                self.open.get_or_create(labels).set(open);
                self.limit.get_or_create(labels).set(limit);
                self.out.get_or_create(labels).set(out);
            }
        }
    }
}

/// Labels of a pool's members, in their order.
fn labels(pool: &Pool) -> Vec<MemberLabels> {
    let of_member = |member: &rainstand_config::schema::Member| MemberLabels {
        pool: pool.name.clone(),
        member: member.name.clone(),
    };
    pool.members.iter().map(of_member).collect()
}

fn request_labels(key: RequestKey, fleet: &Fleet) -> RequestLabels {
    let table = fleet.table();
    let or_none = |name: Option<&str>| name.unwrap_or(NONE).to_owned();
    match key {
        RequestKey::Current {
            route,
            pool,
            end,
            reason,
        } => RequestLabels {
            route: or_none(route.map(|route| table.route_name(route))),
            pool: or_none(pool.map(|pool| table.pool_name(pool))),
            end,
            reason: reason.as_str(),
        },
        RequestKey::Earlier { end, reason } => RequestLabels {
            route: EARLIER_VERSION.to_owned(),
            pool: EARLIER_VERSION.to_owned(),
            end,
            reason: reason.as_str(),
        },
    }
}
