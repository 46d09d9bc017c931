//! All requests in flight, and the other state that the policy's orders change.
//!
//! The table knows neither sockets nor the node's tasks: it starts those through [`NodeTasks`], and their outcomes come
//! back as calls into the policy. Invariants: a request's trace and key map to its index while it is in the table, and
//! `body_bytes` is the sum of the body lengths.

use crate::agent_link::AgentLink;
use crate::counters::{count, Counts};
use crate::downstream_pool::DownstreamPool;
use crate::group_handle::GroupHandle;
use crate::log_frequent;
use crate::pending_reply::PendingReply;
use crate::request::{Request, RunState, Trace, Waiter};
use crate::result_cache::{IdempotencyKey, ResultCache};
use bytes::Bytes;
use rainstand::{Gauges, Outcome};
use rainstand_replicated_state::idempotency::ClaimOutcome;
use rainstand_settings::ClassLimits;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// After this time, the end of an answered request's run is no longer expected to be reported: several times the
/// longest deadline.
const ORPHAN_TIMEOUT: Duration = Duration::from_mins(1);

/// An order to make a downstream call.
pub struct CallOrder {
    /// The index of the request whose run waits for it.
    pub index: usize,
    /// The serial number of that request.
    pub serial: u64,
    /// Identifies the attempt to the downstream server.
    pub trace: Trace,
    /// How long the reply is useful.
    pub time_left: Duration,
    /// The body to send.
    pub body: Rc<[u8]>,
}

/// Asynchronous work that the table starts. Each outcome is reported by a call into the policy.
pub trait NodeTasks {
    /// Makes a downstream call. Dropping the future closes its connection.
    fn make_call(self: Rc<Self>, order: CallOrder) -> Pin<Box<dyn Future<Output = ()>>>;

    /// The group answered a claim, or did not in time (`None`). `serial` is that of the request that was at `index`.
    fn on_claim_outcome(&self, index: usize, serial: u64, outcome: Option<ClaimOutcome>);

    /// The group agreed on a result, or did not in time (`None`). `number` is the reply's key in
    /// [`RequestTable::awaiting_commit`].
    fn on_result_outcome(&self, number: u64, result: &Bytes, outcome: Option<ClaimOutcome>);
}

/// A run that the node itself ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedRun {
    /// The index of its request.
    pub index: usize,
    /// How it ended.
    pub outcome: Outcome,
}

/// The node's state of all requests, on which the policy's orders act.
pub struct RequestTable {
    /// The origin of the policy's clock.
    pub started: Instant,
    /// Starts asynchronous work.
    pub tasks: Weak<dyn NodeTasks>,
    /// Requests by their indices.
    pub requests: Vec<Option<Request>>,
    free: Vec<usize>,
    serial: u64,
    /// Indices of requests by their traces.
    pub by_trace: HashMap<Trace, usize>,
    /// Indices of requests by their keys.
    pub by_key: HashMap<IdempotencyKey, usize>,
    /// Results for retries.
    pub result_cache: ResultCache,
    /// The group, if the node is a member of one.
    pub group: Option<Rc<GroupHandle>>,
    /// Replies that wait for the group to agree on a result, by their numbers.
    pub awaiting_commit: HashMap<u64, PendingReply>,
    /// The limits of each class, by its index.
    pub class_limits: Vec<ClassLimits>,
    /// Total length of the bodies of all requests in flight.
    pub body_bytes: usize,
    /// Runs that the node itself ended and has not reported to the policy yet.
    pub finished_runs: VecDeque<FinishedRun>,
    /// The node's counters.
    pub counts: Rc<Counts>,
    /// Sends commands to the agent.
    pub agent: Rc<AgentLink>,
    /// The state of downstream calls.
    pub downstream: Rc<DownstreamPool>,
    /// Indices of the classes by their names.
    pub classes: BTreeMap<String, usize>,
    /// Names of the classes as JSON strings, by their indices.
    pub class_names: Vec<String>,
    /// Indices of the tenants by their names.
    pub tenants: BTreeMap<String, usize>,
    /// How long the result of a read may answer other requests.
    pub max_result_age: Duration,
    /// Whether a run can be taken off the cores.
    pub can_pause: bool,
    /// The answer to health checks.
    pub healthy: bool,
    /// How long an unused connection may stay open.
    pub idle_timeout: Duration,
    /// When the policy requested to be woken.
    pub wake_at: Option<Instant>,
    /// The last gauges that the agent sent.
    pub gauges: Gauges,
    /// When they were received.
    pub gauges_received_at: Option<Instant>,
}

impl RequestTable {
    /// An empty table.
    pub fn new(
        tasks: Weak<dyn NodeTasks>,
        counts: Rc<Counts>,
        agent: Rc<AgentLink>,
        downstream: Rc<DownstreamPool>,
    ) -> Self {
        Self {
            started: Instant::now(),
            tasks,
            requests: Vec::new(),
            free: Vec::new(),
            serial: 0,
            by_trace: HashMap::new(),
            by_key: HashMap::new(),
            result_cache: ResultCache::default(),
            group: None,
            awaiting_commit: HashMap::new(),
            class_limits: Vec::new(),
            body_bytes: 0,
            finished_runs: VecDeque::new(),
            counts,
            agent,
            downstream,
            classes: BTreeMap::new(),
            class_names: Vec::new(),
            tenants: BTreeMap::new(),
            max_result_age: Duration::ZERO,
            can_pause: true,
            healthy: true,
            idle_timeout: Duration::MAX,
            wake_at: None,
            gauges: Gauges::default(),
            gauges_received_at: None,
        }
    }

    /// The time on the policy's clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Inserts a request, assigns its serial number, and returns its index.
    pub fn insert(&mut self, mut request: Request) -> usize {
        self.serial += 1;
        request.serial = self.serial;
        let index = self.free.pop().unwrap_or(self.requests.len());
        if index == self.requests.len() {
            self.requests.push(None);
        }
        self.body_bytes += request.body.len();
        self.by_trace.insert(request.trace, index);
        if let Some(key) = &request.key {
            self.by_key.entry(key.clone()).or_insert(index);
        }
        self.requests[index] = Some(request);
        index
    }

    /// Retains a reply after its request leaves the table; returns its number in `awaiting_commit`.
    pub fn retain_reply(&mut self, reply: Option<PendingReply>) -> u64 {
        self.serial += 1;
        if let Some(reply) = reply {
            // The request is still open on its connection, but has no index any more.
            reply
                .conn
                .open_requests
                .borrow_mut()
                .insert(reply.seq, usize::MAX);
            self.awaiting_commit.insert(self.serial, reply);
        }
        self.serial
    }

    /// The request at an index.
    pub fn request_mut(&mut self, index: usize) -> Option<&mut Request> {
        self.requests.get_mut(index).and_then(Option::as_mut)
    }

    /// Takes the pending reply of a request, in order to send it.
    pub fn take_reply(&mut self, index: usize) -> Option<PendingReply> {
        self.request_mut(index)?.reply.take()
    }

    /// Removes a request; its index may be reused.
    pub fn remove(&mut self, index: usize) -> Option<Request> {
        let request = self.requests.get_mut(index)?.take()?;
        self.body_bytes -= request.body.len();
        self.by_trace.remove(&request.trace);
        if let Some(key) = request
            .key
            .as_ref()
            .filter(|key| self.by_key.get(*key) == Some(&index))
        {
            self.by_key.remove(key);
        }
        self.free.push(index);
        Some(request)
    }

    /// Answers a request, and those that wait for it, with the outcome of its run or of the cache.
    pub fn finish(&mut self, index: usize, outcome: Outcome, result: &[u8]) {
        let Some(request) = self.request_mut(index) else {
            return;
        };
        let trace = request.trace;
        let reply = request.reply.take();
        let waiters = std::mem::take(&mut request.waiters);
        match (reply, outcome) {
            (Some(reply), Outcome::Succeeded) => reply.serve(&self.counts, result),
            (Some(reply), _) => {
                log_frequent!(
                    "request_failed",
                    "request failed",
                    trace = trace.escape_ascii()
                );
                reply.fail(&self.counts);
            }
            _ => {}
        }
        for waiter in waiters {
            self.finish_waiter(waiter, outcome, result);
        }
    }

    /// Answers a request that waits for another one, unless it was removed meanwhile.
    pub fn finish_waiter(&mut self, waiter: Waiter, outcome: Outcome, result: &[u8]) {
        let index = waiter.index;
        if self
            .request_mut(index)
            .is_some_and(|request| request.serial == waiter.serial)
        {
            self.finish(index, outcome, result);
            self.finished_runs.push_back(FinishedRun { index, outcome });
        }
    }

    /// Completes the cache entry of a request whose run ended or never started, if the entry was inserted for it.
    pub fn complete_key(&mut self, index: usize, outcome: Outcome, result: &[u8]) {
        let Some(request) = self
            .requests
            .get_mut(index)
            .and_then(Option::as_mut)
            .filter(|request| request.caches_result)
        else {
            return;
        };
        request.caches_result = false;
        match (&request.key, outcome) {
            (Some(key), Outcome::Succeeded) => self.result_cache.complete(key, Some(result)),
            (Some(key), Outcome::NeverStarted) => self.result_cache.remove(key),
            // A failed or cancelled run may have had its effect, so the request must not run a second time.
            (Some(key), _) => self.result_cache.complete(key, None),
            (None, _) => {}
        }
    }

    /// Indices of the unanswered requests that are past their deadline.
    pub fn overdue_requests(&self, now: Instant) -> Vec<usize> {
        let is_overdue = |request: &Request| request.reply.is_some() && request.deadline <= now;
        self.requests
            .iter()
            .enumerate()
            .filter(|(_, request)| request.as_ref().is_some_and(is_overdue))
            .map(|(index, _)| index)
            .collect()
    }

    /// The last resort: fails all pending replies, and returns how many there were.
    pub fn fail_all(&mut self) -> usize {
        let open = self
            .requests
            .iter_mut()
            .flatten()
            .filter_map(|request| request.reply.take());
        let replies: Vec<PendingReply> = open
            .chain(self.awaiting_commit.drain().map(|(_, reply)| reply))
            .collect();
        let unanswered = replies.len();
        for reply in replies {
            count(&self.counts.unsettled);
            reply.fail(&self.counts);
        }
        unanswered
    }

    /// Indices of answered requests whose run's end will not be reported any more, because that notice was unreadable
    /// and skipped. Without this check they would stay in the table forever.
    pub fn orphans(&mut self, now: Instant) -> Vec<usize> {
        let is_answered_run = |request: &Request| request.reply.is_none() && request.is_launched();
        let mut found = Vec::new();
        for (index, request) in self.requests.iter_mut().enumerate() {
            let Some(request) = request.as_mut().filter(|request| is_answered_run(request)) else {
                continue;
            };
            let since = *request.orphan_since.get_or_insert(now);
            if now.duration_since(since) > ORPHAN_TIMEOUT {
                found.push(index);
            }
        }
        found
    }

    /// The table's part of the counters log line.
    pub fn state(&self) -> String {
        let count = |predicate: fn(&Request) -> bool| {
            self.requests
                .iter()
                .flatten()
                .filter(|request| predicate(request))
                .count()
        };
        format!(
            "owing={} held={} asking={} keeping={} running={} frozen={} at_call={} calls_out={} body_bytes={} keys={} gauges_ms={} on_cores={}",
            self.pending_reply_count(),
            count(|request| request.run == RunState::Queued),
            count(|request| request.run == RunState::Claiming),
            self.awaiting_commit.len(),
            count(|request| request.run == RunState::Launched && !request.is_awaiting_call()),
            count(|request| request.run == RunState::Paused),
            count(Request::is_awaiting_call),
            self.downstream.in_flight.get(),
            self.body_bytes,
            self.result_cache.len(),
            self.gauges_received_at.map_or(-1, |received_at| received_at.elapsed().as_millis() as i64),
            self.gauges.runnable.unwrap_or(-1.0),
        )
    }

    /// How many replies are pending.
    pub fn pending_reply_count(&self) -> usize {
        let open = self.requests.iter().flatten();
        open.filter(|request| request.reply.is_some()).count() + self.awaiting_commit.len()
    }
}
