//! Requests with an idempotency key: which member may take them, and when none may.

use super::types::{MemberRef, NextAction, RequestOutcome};
use super::{Fleet, RequestState};
use crate::decision_log::{Decision, DecisionOutcome, SkipReason};
use crate::key_placement::{hold_end, KeyHomes, KeyedRequest};
use crate::outcome_reason::OutcomeReason;
use crate::retry::NoRetryReason;
use crate::retry_after::with_jitter;
use crate::router::RouteDecision;
use crate::table::Request;
use crate::table_update::{EntryKind, TableChange};
use crate::weighted_split::name_hash;
use foldhash::HashSet;
use rainstand_config::schema::{Configuration, RepeatKind, Route, TrafficType};
use std::time::Duration;

/// The members that may take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EligibleMembers {
    /// Any member of the pool.
    Any,
    /// The home of its key.
    Home(MemberRef),
    /// None: its home has left the pool.
    None,
}

/// A change of the configuration, other than of a pool, by which keys may move.
pub(super) enum KeyMove {
    /// A route was added, changed, placed elsewhere or removed.
    Route {
        name: String,
        /// As it was before; `None` if it was added.
        former: Option<Box<Route>>,
    },
    /// Repeats of this class had not been recognized by their key.
    Class(String),
}

impl KeyMove {
    fn of_route(name: &str, former: Option<&Route>) -> Self {
        Self::Route {
            name: name.to_owned(),
            former: former.cloned().map(Box::new),
        }
    }
}

/// Whether requests with a key may go elsewhere under `new` than under `old`.
fn moves_keys(old: &Route, new: &Route) -> bool {
    old.r#match != new.r#match || old.to != new.to
}

/// Whether repeats of a class are recognized by their key since this change only.
fn becomes_keyed(old: &TrafficType, new: &TrafficType) -> bool {
    old.repeat() != RepeatKind::Ticketed && new.repeat() == RepeatKind::Ticketed
}

/// How long a move of keys matters: for the longest window of any class, and for the latency objective of a request that
/// may have run before.
pub(super) fn key_retention(configuration: &Configuration) -> Duration {
    let retention = |class: &TrafficType| class.window_ns.max(class.goal_ns);
    let longest = configuration.types.iter().map(retention).max();
    Duration::from_nanos(longest.unwrap_or_default())
}

/// Why a request gets no further attempt at the home of its key: another process may be there now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessHold {
    /// The request may have run at a process that has ended.
    MayHaveRun,
    /// It did not run itself, but it may be the repeat of one that did, until this time.
    Until(Duration),
}

impl Fleet {
    /// The request without its key, unless its class recognizes repeats by their key.
    pub(super) fn with_recognized_key<'r>(&self, request: &Request<'r>) -> Request<'r> {
        let class = usize::from(request.request_class);
        let types = &self.table().configuration().types;
        let is_keyed = types
            .get(class)
            .is_some_and(|class| class.repeat() == RepeatKind::Ticketed);
        Request {
            key: if is_keyed { request.key } else { "" },
            ..*request
        }
    }

    /// Which members of a pool may take a request. An earlier attempt determines the home for all further ones.
    pub(super) fn eligible_members(&self, pool: u16, request: &RequestState) -> EligibleMembers {
        if request.key.is_empty() {
            return EligibleMembers::Any;
        }
        let of_pool = &self.pools[usize::from(pool)];
        let position = match (&request.home, &of_pool.key_homes) {
            (Some(home), _) => {
                let mut addresses = of_pool.addresses.iter();
                addresses.position(|address| *address == home.address)
            }
            (None, KeyHomes::Shared) => return EligibleMembers::Any,
            (None, homes) => homes.home(&request.key).and_then(|hash| {
                let mut members = of_pool.members.iter();
                members.position(|member| member.address_hash == hash)
            }),
        };
        position.map_or(EligibleMembers::None, |member| {
            EligibleMembers::Home(MemberRef {
                pool,
                member: member as u16,
            })
        })
    }

    /// Whether the home of a request can take it now; if not, the reason is recorded in the decision.
    pub(super) fn is_home_usable(
        &self,
        request: &RequestState,
        home: MemberRef,
        decision: &mut Decision,
    ) -> bool {
        let eligibility = self.eligibility(decision.time, request.tenant_key);
        if let Some(skip) = eligibility.skip(home) {
            decision.record_skipped(home.member, skip.reason);
        }
        eligibility.weight(home) > 0.0
    }

    /// Time until the home of a request may take it; `None` if it has none.
    pub(super) fn earliest_retry_at_home(
        &self,
        now: Duration,
        pool: u16,
        request: &RequestState,
    ) -> Option<Duration> {
        let EligibleMembers::Home(home) = self.eligible_members(pool, request) else {
            return None;
        };
        let eligibility = self.eligibility(now, request.tenant_key);
        let skip = eligibility.skip(home);
        let known = skip.filter(|skip| skip.reason != SkipReason::Full);
        Some(known.map_or_else(
            || self.pools[usize::from(pool)].typical_duration(),
            |skip| skip.until.saturating_sub(now),
        ))
    }

    /// Until when an admitted request may not be sent; see [`crate::key_placement::PlacementHistory::held_until`].
    pub(super) fn held_until(
        &self,
        now: Duration,
        request: &Request<'_>,
        decision: &RouteDecision,
    ) -> Option<Duration> {
        if request.key.is_empty() || self.key_history.is_empty() {
            return None;
        }
        let table = self.table();
        let configuration = table.configuration();
        let class = &configuration.types[usize::from(request.request_class)];
        let pool = &self.pools[usize::from(decision.placement.pool)];
        let tenant = request.tenant.map(usize::from);
        let keyed = KeyedRequest {
            key: request.key,
            class: &class.name,
            window: Duration::from_nanos(class.window_ns),
            tenant: tenant.map(|index| configuration.tenants[index].name.as_str()),
            route: &decision.route,
            pool: &decision.pool,
            homes: &pool.key_homes,
        };
        let is_unchanged = |route: u16| !self.key_history.is_changed_route(table.route_name(route));
        let unchanged_pool = || {
            let route = table.route_where(request, is_unchanged)?;
            Some(table.pool_name(table.pool_of_key(route, request.key)?))
        };
        self.key_history.held_until(now, &keyed, unchanged_pool)
    }

    /// Whether a request must get no further attempt, as the process that it was sent to, or one before, has ended.
    pub(super) fn process_hold(
        &self,
        now: Duration,
        request: &RequestState,
    ) -> Option<ProcessHold> {
        let home = request.home.as_ref()?;
        let lost_at = self.key_history.process_lost_at(name_hash(&home.address))?;
        let until = hold_end(lost_at, request.window);
        if request.may_have_run && (lost_at >= home.first_sent_at || until > now) {
            return Some(ProcessHold::MayHaveRun);
        }
        (until > now).then_some(ProcessHold::Until(until))
    }

    /// Ends a request that gets no further attempt.
    pub(super) fn end_held(
        &mut self,
        now: Duration,
        request: RequestState,
        hold: ProcessHold,
    ) -> NextAction {
        match hold {
            ProcessHold::Until(until) => self.reject_held(now, request, until),
            ProcessHold::MayHaveRun => {
                self.counts.held_keys += 1;
                let reason = OutcomeReason::Stopped(NoRetryReason::MayHaveRun);
                self.complete(now, request, RequestOutcome::Failed, reason)
            }
        }
    }

    /// Rejects a request until its key is no longer held.
    pub(super) fn reject_held(
        &mut self,
        now: Duration,
        request: RequestState,
        until: Duration,
    ) -> NextAction {
        self.counts.held_keys += 1;
        let after = with_jitter(until.saturating_sub(now), &mut self.random);
        let pool = request.decision.placement.pool;
        let mut decision = self.new_decision(now, &request, pool);
        let reason = OutcomeReason::KeyHeld;
        decision.outcome = DecisionOutcome::Rejected { reason, after };
        self.decisions.push(decision);
        let outcome = RequestOutcome::Rejected {
            after,
            nowhere_else: false,
        };
        self.complete(now, request, outcome, reason)
    }

    /// Records that the process at an address ended at `at` or before. What it ran is not recognized by a later process
    /// at the same address.
    pub fn on_process_lost(&mut self, address: &str, at: Duration) {
        self.key_history.on_process_lost(name_hash(address), at);
    }

    /// How a complete new configuration, not installed yet, moves keys by its routes and classes.
    pub(super) fn key_moves(&self, new: &Configuration) -> Vec<KeyMove> {
        let table = self.router.table();
        let old = table.configuration();
        let former_index = |name: &str| table.route_index(name).map(usize::from);
        let mut moves = Vec::new();
        let mut last_kept = 0;
        for route in &new.routes {
            let index = former_index(&route.name);
            let former = index.map(|index| &old.routes[index]);
            // A route that now comes after one that it preceded was placed elsewhere.
            let is_in_order = index.is_some_and(|index| index >= last_kept);
            last_kept = last_kept.max(index.unwrap_or_default());
            if former.is_none_or(|former| !is_in_order || moves_keys(former, route)) {
                moves.push(KeyMove::of_route(&route.name, former));
            }
        }
        let new_names: HashSet<&str> = new.routes.iter().map(|route| &*route.name).collect();
        let is_removed = |route: &&Route| !new_names.contains(&*route.name);
        let removed = old.routes.iter().filter(is_removed);
        moves.extend(removed.map(|route| KeyMove::of_route(&route.name, Some(route))));
        moves.extend(new.types.iter().filter_map(|class| self.class_move(class)));
        moves
    }

    /// As [`Fleet::key_moves`], for changes of single entries that are not applied yet.
    pub(super) fn key_moves_by(&self, changes: &[TableChange]) -> Vec<KeyMove> {
        let table = self.router.table();
        let moved = |change: &TableChange| match (change, change.key().kind) {
            (TableChange::Type(class), _) => self.class_move(class),
            (_, EntryKind::Route) => {
                let name = change.key().name;
                let index = table.route_index(name).map(usize::from);
                let former = index.map(|index| &table.configuration().routes[index]);
                Some(KeyMove::of_route(name, former))
            }
            _ => None,
        };
        changes.iter().filter_map(moved).collect()
    }

    fn class_move(&self, new: &TrafficType) -> Option<KeyMove> {
        let table = self.router.table();
        let index = usize::from(table.request_class(&new.name)?);
        let former = &table.configuration().types[index];
        becomes_keyed(former, new).then(|| KeyMove::Class(new.name.clone()))
    }

    /// Records moves of keys by a version that was installed now.
    pub(super) fn record_key_moves(&mut self, moves: Vec<KeyMove>, now: Duration) {
        let configuration = self.router.table().configuration();
        self.key_retention = self.key_retention.max(key_retention(configuration));
        for key_move in moves {
            match key_move {
                KeyMove::Route { name, former } => {
                    self.key_history
                        .on_route_changed(&name, former.as_deref(), now);
                }
                KeyMove::Class(name) => self.key_history.on_class_changed(&name, now),
            }
        }
    }
}
