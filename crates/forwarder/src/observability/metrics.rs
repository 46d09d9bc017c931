//! Counters and latency histograms by member and by route.
//!
//! Label values are names from the configuration or from fixed lists, never caller input, so the configuration bounds
//! the number of series. Recording a request needs no lookup by name: handles are cached by index, and rebuilt with
//! each version that changes indices. Series of members and routes that such a version removes are dropped.

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
/// Label value for a route or pool of a version whose indices have changed since.
const EARLIER_VERSION: &str = "(earlier version)";
/// Label value for a request without a route or pool.
const NONE: &str = "(none)";
/// Upper bound of a histogram's first bucket; each further bound is twice the one before.
const MIN_BUCKET_SECONDS: f64 = 0.0002;
/// Number of buckets of a histogram; the last bound is 26 s.
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

/// A latency histogram in seconds.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(MIN_BUCKET_SECONDS, 2.0, BUCKETS))
}

struct MemberHandles {
    /// In the order of [`OUTCOMES`].
    outcomes: [Counter; OUTCOMES.len()],
    latency_seconds: Histogram,
}

/// Identifies a counter of completed requests.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum RequestKey {
    /// Completed under the current indices.
    Current {
        route: Option<u16>,
        pool: Option<u16>,
        end: &'static str,
        reason: OutcomeReason,
    },
    /// Completed under the indices of an earlier version.
    Earlier {
        end: &'static str,
        reason: OutcomeReason,
    },
}

/// Metric handles by index.
#[derive(Default)]
struct Handles {
    /// First version with the current indices.
    indices_since: u64,
    /// Only routes that had a request: of five thousand routes, most never have one in a process.
    routes: HashMap<u16, Histogram>,
    /// By pool index and member index.
    members: Vec<Vec<MemberHandles>>,
    requests: HashMap<RequestKey, Counter>,
}

/// Metrics by member and route; see the module documentation.
pub struct Metrics {
    registry: Registry,
    attempts: Family<AttemptLabels, Counter>,
    attempt_seconds: Family<MemberLabels, Histogram, fn() -> Histogram>,
    requests: Family<RequestLabels, Counter>,
    request_seconds: Family<RouteLabels, Histogram, fn() -> Histogram>,
    open: Family<MemberLabels, Gauge>,
    limit: Family<MemberLabels, Gauge>,
    status: Family<MemberLabels, Gauge>,
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
            attempt_seconds: Family::new_with_constructor(latency_histogram as fn() -> Histogram),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(latency_histogram as fn() -> Histogram),
            open: Family::default(),
            limit: Family::default(),
            status: Family::default(),
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
            self.status.clone(),
        );
    }

    /// Rebuilds the handles after a version that changed indices was installed.
    pub(crate) fn on_indices_changed(&self, fleet: &Fleet) {
        let configuration = fleet.table().configuration();
        let routes = configuration.routes.iter().map(|route| &*route.name);
        self.remove_routes_except(routes);
        let members: Vec<Vec<MemberLabels>> =
            configuration.pools.iter().map(member_labels).collect();
        let handles = Handles {
            indices_since: fleet.indices_since(),
            members: members
                .iter()
                .map(|pool| self.create_handles(pool))
                .collect(),
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
            let is_retained = names.contains(&*labels.route);
            if !is_retained {
                self.request_seconds.remove(labels);
            }
            is_retained
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
            self.status.remove(removed);
        }
        *known = members;
    }

    fn create_handles(&self, members: &[MemberLabels]) -> Vec<MemberHandles> {
        let of_member = |labels: &MemberLabels| {
            let counter = |outcome| {
                let labels = labels.with_outcome(outcome);
                self.attempts.get_or_create(&labels).clone()
            };
            MemberHandles {
                outcomes: OUTCOMES.map(counter),
                latency_seconds: self.attempt_seconds.get_or_create(labels).clone(),
            }
        };
        members.iter().map(of_member).collect()
    }

    /// Records an attempt that ended `elapsed` after it was sent under `version`. One that was sent under earlier
    /// indices is counted only with its request, because its member's index may now belong to another member.
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
        let is_outcome =
            |candidate: &AttemptOutcome| discriminant(candidate) == discriminant(&outcome);
        if let Some(index) = OUTCOMES.iter().position(is_outcome) {
            member.outcomes[index].inc();
        }
        if outcome == AttemptOutcome::Served {
            member.latency_seconds.observe(elapsed.as_secs_f64());
        }
    }

    /// Records a completed request.
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

    /// All metrics in the `OpenMetrics` text format.
    pub fn to_openmetrics(&self, context: &ForwarderContext) -> String {
        for (total, gauge) in &self.totals {
            gauge.set((total.read)(context) as i64);
        }
        self.set_member_gauges(&context.fleet.borrow(), context.now());
        let mut text = String::new();
        // Writing to a string fails only if a metric fails to encode; then the text written so far is returned.
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    fn set_member_gauges(&self, fleet: &Fleet, now: Duration) {
        for (index, pool) in fleet.table().configuration().pools.iter().enumerate() {
            let snapshots = fleet.members(index as u16, now);
            for (labels, snapshot) in member_labels(pool).iter().zip(snapshots) {
                let status = match snapshot.status {
                    MemberStatus::Healthy => 0,
                    MemberStatus::Ejected(_) => 1,
                    MemberStatus::Probing => 2,
                };
                let (open, limit) = (i64::from(snapshot.open), i64::from(snapshot.limit));
                self.open.get_or_create(labels).set(open);
                self.limit.get_or_create(labels).set(limit);
                self.status.get_or_create(labels).set(status);
            }
        }
    }
}

/// Labels of a pool's members, in member order.
fn member_labels(pool: &Pool) -> Vec<MemberLabels> {
    let of_member = |member: &rainstand_config::schema::Member| MemberLabels {
        pool: pool.name.clone(),
        member: member.name.clone(),
    };
    pool.members.iter().map(of_member).collect()
}

fn request_labels(key: RequestKey, fleet: &Fleet) -> RequestLabels {
    let table = fleet.table();
    let name_or_none = |name: Option<&str>| name.unwrap_or(NONE).to_owned();
    match key {
        RequestKey::Current {
            route,
            pool,
            end,
            reason,
        } => RequestLabels {
            route: name_or_none(route.map(|route| table.route_name(route))),
            pool: name_or_none(pool.map(|pool| table.pool_name(pool))),
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
