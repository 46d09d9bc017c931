//! What moved keys to other homes, for as long as repeats of the requests that were sent before may still come.
//!
//! A change at one time matters to a class until the class's window has passed since: a repeat comes within the window
//! of the first attempt, and the first attempt came before the change. Until then a key whose home was another one is
//! not sent: its request may have run there. All bounds err towards not sending.

use super::former_route::FormerRoute;
use super::KeyHomes;
use foldhash::HashMap;
use rainstand_config::schema::Route;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Maximum of earlier member sets of one pool; while more changes fall into a window, all keys of the pool count as
/// moved.
const MAX_FORMER_HOMES: usize = 16;
/// Maximum of earlier routes; while more changes fall into a window, all keys count as moved.
const MAX_FORMER_ROUTES: usize = 1_024;
/// Maximum of recorded process losses; while more fall into a window, all keys count as moved.
const MAX_LOST_PROCESSES: usize = 65_000;
/// Extends each window: attempts wait in sockets on their way to a member, which counts its window from their arrival.
const WINDOW_MARGIN: Duration = Duration::from_millis(100);

/// Until when keys that moved at `moved_at` are held.
pub(crate) fn hold_end(moved_at: Duration, window: Duration) -> Duration {
    moved_at + window + WINDOW_MARGIN
}

/// A value that was in force until `replaced_at`.
#[derive(Clone, Debug)]
struct Former<T> {
    value: T,
    replaced_at: Duration,
}

/// Earlier member sets of one pool, oldest first.
#[derive(Clone, Debug, Default)]
struct PoolHistory {
    former: VecDeque<Former<KeyHomes>>,
    /// When the newest member set that is no longer stored was replaced.
    discarded_at: Option<Duration>,
}

impl PoolHistory {
    /// When a key last had another home than now.
    fn moved_at(&self, key: &str, current: &KeyHomes) -> Option<Duration> {
        let home = current.home(key);
        let is_shared = *current == KeyHomes::Shared;
        let differs = |former: &&Former<KeyHomes>| {
            (former.value == KeyHomes::Shared) != is_shared || former.value.home(key) != home
        };
        let moved = self.former.iter().rev().find(differs);
        moved
            .map(|former| former.replaced_at)
            .max(self.discarded_at)
    }
}

/// A request with a key, as routed by the current configuration.
#[derive(Clone, Copy, Debug)]
pub struct KeyedRequest<'r> {
    /// Its key.
    pub key: &'r str,
    /// The name of its class.
    pub class: &'r str,
    /// How long after an attempt a repeat may come.
    pub window: Duration,
    /// The name of its tenant, if that is configured.
    pub tenant: Option<&'r str>,
    /// The name of the route that it matches.
    pub route: &'r str,
    /// The name of the pool that it goes to.
    pub pool: &'r str,
    /// The homes of that pool.
    pub homes: &'r KeyHomes,
}

/// Changes of the configuration and losses of processes by which keys moved.
#[derive(Debug, Default)]
pub struct PlacementHistory {
    pools: HashMap<Rc<str>, PoolHistory>,
    routes: VecDeque<Former<FormerRoute>>,
    /// When routes were last added, changed or placed elsewhere, by name.
    changed_routes: HashMap<Box<str>, Duration>,
    /// When a process last ended, by the hash of its address.
    lost_processes: HashMap<u64, Duration>,
    /// When the newest change that is no longer stored, except of a pool, was made.
    discarded_at: Option<Duration>,
}

impl PlacementHistory {
    /// Records that a pool's homes were `former` until now.
    pub fn on_pool_changed(&mut self, pool: &Rc<str>, former: KeyHomes, now: Duration) {
        let history = self.pools.entry(pool.clone()).or_default();
        if history.former.len() >= MAX_FORMER_HOMES {
            let discarded = history.former.pop_front();
            history.discarded_at = discarded.map(|former| former.replaced_at);
        }
        history.former.push_back(Former {
            value: former,
            replaced_at: now,
        });
    }

    /// Records that the route of a name was added, changed, placed elsewhere or removed. `former`: as it was until now.
    pub fn on_route_changed(&mut self, name: &str, former: Option<&Route>, now: Duration) {
        if let Some(former) = former {
            self.push_former_route(FormerRoute::new(former), now);
        }
        if self.changed_routes.len() < MAX_FORMER_ROUTES || self.changed_routes.contains_key(name) {
            self.changed_routes.insert(name.into(), now);
        } else {
            self.discarded_at = Some(now);
        }
    }

    /// Records that requests of a class had no homes until now.
    pub fn on_class_changed(&mut self, name: &str, now: Duration) {
        self.push_former_route(FormerRoute::of_class(name), now);
    }

    fn push_former_route(&mut self, route: FormerRoute, now: Duration) {
        if self.routes.len() >= MAX_FORMER_ROUTES {
            let discarded = self.routes.pop_front();
            let replaced_at = discarded.map(|former| former.replaced_at);
            self.discarded_at = self.discarded_at.max(replaced_at);
        }
        self.routes.push_back(Former {
            value: route,
            replaced_at: now,
        });
    }

    /// Records that the process at an address, given by its hash, ended at `at` or before, and with it what it knew.
    pub fn on_process_lost(&mut self, address_hash: u64, at: Duration) {
        if self.lost_processes.len() >= MAX_LOST_PROCESSES {
            self.discarded_at = self.discarded_at.max(Some(at));
            return;
        }
        let lost_at = self.lost_processes.entry(address_hash).or_insert(at);
        *lost_at = at.max(*lost_at);
    }

    /// Whether nothing is recorded, so that no request needs to be checked.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
            && self.routes.is_empty()
            && self.changed_routes.is_empty()
            && self.lost_processes.is_empty()
            && self.discarded_at.is_none()
    }

    /// Whether the route of a name was added, changed or placed elsewhere.
    pub fn is_changed_route(&self, name: &str) -> bool {
        self.changed_routes.contains_key(name)
    }

    /// Until when a request may not be sent, as it may be the repeat of one that another home ran, or a process that
    /// has ended. `None` if it may be sent now.
    ///
    /// `unchanged_pool`: the name of the pool to which the first matching route that is not
    /// [changed](Self::is_changed_route) leads; it is only called if the request's own route was changed.
    pub fn held_until<'p>(
        &self,
        now: Duration,
        request: &KeyedRequest<'_>,
        unchanged_pool: impl FnOnce() -> Option<&'p str>,
    ) -> Option<Duration> {
        let moved_at = self
            .pool_moved_at(request)
            .max(self.route_moved_at(request, unchanged_pool))
            .max(self.home_lost_at(request))
            .max(self.discarded_at);
        let until = hold_end(moved_at?, request.window);
        (until > now).then_some(until)
    }

    fn pool_moved_at(&self, request: &KeyedRequest<'_>) -> Option<Duration> {
        let history = self.pools.get(request.pool)?;
        history.moved_at(request.key, request.homes)
    }

    /// When the request's key last went to another pool.
    fn route_moved_at<'p>(
        &self,
        request: &KeyedRequest<'_>,
        unchanged_pool: impl FnOnce() -> Option<&'p str>,
    ) -> Option<Duration> {
        let differs = |former: &&Former<FormerRoute>| {
            former.value.may_match(request.class, request.tenant)
                && former.value.pool(request.key) != Some(request.pool)
        };
        let by_former = self.routes.iter().rev().find(differs);
        let changed_at = self.changed_routes.get(request.route).copied();
        // Before its own route was changed, it may have matched one that is the same since.
        let by_unchanged =
            changed_at.filter(|_| unchanged_pool().is_some_and(|pool| pool != request.pool));
        by_former.map(|former| former.replaced_at).max(by_unchanged)
    }

    fn home_lost_at(&self, request: &KeyedRequest<'_>) -> Option<Duration> {
        let home = request.homes.home(request.key)?;
        self.lost_processes.get(&home).copied()
    }

    /// When the process at an address, given by its hash, last ended; `None` if it did not end recently.
    pub fn process_lost_at(&self, address_hash: u64) -> Option<Duration> {
        let lost_at = self.lost_processes.get(&address_hash).copied();
        lost_at.max(self.discarded_at)
    }

    /// Drops what happened longer ago than `retention`, the longest window of any class or more.
    pub fn expire(&mut self, now: Duration, retention: Duration) {
        let is_recent = |at: Duration| hold_end(at, retention) > now;
        self.pools.retain(|_, history| {
            history
                .former
                .retain(|former| is_recent(former.replaced_at));
            history.discarded_at = history.discarded_at.filter(|at| is_recent(*at));
            !history.former.is_empty() || history.discarded_at.is_some()
        });
        self.routes.retain(|former| is_recent(former.replaced_at));
        self.changed_routes.retain(|_, at| is_recent(*at));
        self.lost_processes.retain(|_, at| is_recent(*at));
        self.discarded_at = self.discarded_at.filter(|at| is_recent(*at));
    }
}
