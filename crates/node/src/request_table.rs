//! All requests in flight, with what the policy's orders work on.
//!
//! The table knows neither sockets nor the node's tasks: what it starts beyond itself goes through [`NodeTasks`], and
//! comes back as a call into the policy. Invariants: a request's trace and key lead to its index for as long as it is
//! in the table, and `body_bytes` is the sum of the bodies.

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

/// By then the run of an answered request that was cancelled has ended, if its end is ever reported: several times the
/// longest deadline.
const ORPHAN_TIMEOUT: Duration = Duration::from_mins(1);

/// A call to the tier below that is to be made.
pub struct CallOrder {
    /// The index of the request whose run waits for it.
    pub index: usize,
    /// The serial number of that request.
    pub serial: u64,
    /// Names the try to the tier below.
    pub trace: Trace,
    /// How long its answer is of use.
    pub time_left: Duration,
    /// The body to send.
    pub body: Rc<[u8]>,
}

/// What the table starts beyond itself. Each outcome is a call into the policy, once it is there.
pub trait NodeTasks {
    /// Makes a call to the tier below. Dropping the future closes its connection.
    fn make_call(self: Rc<Self>, order: CallOrder) -> Pin<Box<dyn Future<Output = ()>>>;

    /// The group answered a claim, or did not in time (None). `serial`: of the request that was at `index`.
    fn on_claim_outcome(&self, index: usize, serial: u64, outcome: Option<ClaimOutcome>);

    /// The group agreed on a result, or did not in time (None). `number`: of the reply in
    /// [`RequestTable::awaiting_commit`].
    fn on_result_outcome(&self, number: u64, result: &Bytes, outcome: Option<ClaimOutcome>);
}

/// The end of a run that the node itself brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedRun {
    /// The index of its request.
    pub index: usize,
    /// How it ended.
    pub outcome: Outcome,
}

/// All that the node's own side remembers; the policy's orders work on it.
pub struct RequestTable {
    /// The origin of the policy's clock.
    pub started: Instant,
    /// Starts what goes on beyond the table.
    pub tasks: Weak<dyn NodeTasks>,
    /// Requests by their indices.
    pub requests: Vec<Option<Request>>,
    free: Vec<usize>,
    serial: u64,
    /// Indices of requests by the names of their tries.
    pub by_trace: HashMap<Trace, usize>,
    /// Indices of requests by their keys.
    pub by_key: HashMap<IdempotencyKey, usize>,
    /// Results for retries.
    pub result_cache: ResultCache,
    /// The group, if the node is in one.
    pub group: Option<Rc<GroupHandle>>,
    /// Replies that wait until the group has agreed on a result, by their numbers.
    pub awaiting_commit: HashMap<u64, PendingReply>,
    /// The limits of each class, by its index.
    pub class_limits: Vec<ClassLimits>,
    /// What the bodies of all requests in flight take.
    pub body_bytes: usize,
    /// Ends that the node itself brought about, which the policy has not heard of yet.
    pub run_ends: VecDeque<FinishedRun>,
    /// The node's counters.
    pub counts: Rc<Counts>,
    /// Takes commands to the agent.
    pub agent: Rc<AgentLink>,
    /// Calls to the tier below.
    pub downstream: Rc<DownstreamPool>,
    /// Indices of the classes by their names.
    pub classes: BTreeMap<String, usize>,
    /// Names of the classes as JSON strings, by their indices.
    pub class_names: Vec<String>,
    /// Indices of the tenants by their names.
    pub tenants: BTreeMap<String, usize>,
    /// How long the answer to a read may serve others.
    pub max_result_age: Duration,
    /// Whether a run can be taken off the cores.
    pub can_pause: bool,
    /// What health checks are answered.
    pub healthy: bool,
    /// How long an unused connection may stay.
    pub idle_limit: Duration,
    /// When the policy asked to be woken.
    pub wake_at: Option<Instant>,
    /// The last gauges that the agent sent.
    pub gauges: Gauges,
    /// When they came.
    pub gauges_at: Option<Instant>,
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
            run_ends: VecDeque::new(),
            counts,
            agent,
            downstream,
            classes: BTreeMap::new(),
            class_names: Vec::new(),
            tenants: BTreeMap::new(),
            max_result_age: Duration::ZERO,
            can_pause: true,
            healthy: true,
            idle_limit: Duration::MAX,
            wake_at: None,
            gauges: Gauges::default(),
            gauges_at: None,
        }
    }

    /// The time on the policy's clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Inserts a request and gives it its serial number; its index.
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

    /// Retains a reply beyond its request's time in the table; its number in `awaiting_commit`.
    pub fn retain_reply(&mut self, reply: Option<PendingReply>) -> u64 {
        self.serial += 1;
        if let Some(reply) = reply {
            // Still open on its connection, under no request's index.
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

    /// Takes the pending reply of a request, to give it.
    pub fn take_reply(&mut self, index: usize) -> Option<PendingReply> {
        self.request_mut(index)?.reply.take()
    }

    /// Removes a request for good; its index may serve again.
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

    /// Gives a request, and those that wait for it, what its run or the cache brought.
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

    /// The same for a request that waits for another one, unless it left.
    pub fn finish_waiter(&mut self, waiter: Waiter, outcome: Outcome, result: &[u8]) {
        let index = waiter.index;
        if self
            .request_mut(index)
            .is_some_and(|request| request.serial == waiter.serial)
        {
            self.finish(index, outcome, result);
            self.run_ends.push_back(FinishedRun { index, outcome });
        }
    }

    /// A request's run is over, or never was: its key is closed in the cache, if it was opened for this one.
    pub fn close_key(&mut self, index: usize, outcome: Outcome, result: &[u8]) {
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
            (Some(key), Outcome::Succeeded) => self.result_cache.close(key, Some(result)),
            (Some(key), Outcome::NeverStarted) => self.result_cache.remove(key),
            // What failed or was stopped may have had its effect: it must not run a second time.
            (Some(key), _) => self.result_cache.close(key, None),
            (None, _) => {}
        }
    }

    /// Indices of the requests that are past their deadline and not answered.
    pub fn overdue(&self, now: Instant) -> Vec<usize> {
        let is_overdue = |request: &Request| request.reply.is_some() && request.deadline <= now;
        self.requests
            .iter()
            .enumerate()
            .filter(|(_, request)| request.as_ref().is_some_and(is_overdue))
            .map(|(index, _)| index)
            .collect()
    }

    /// The last resort: an error to all that wait for an answer; how many there were.
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

    /// Indices of answered requests whose run's end no notice will report any more, as the last notice was skipped as
    /// unreadable. Without this they would stay in the table for good.
    pub fn orphans(&mut self, now: Instant) -> Vec<usize> {
        let is_answered_run = |request: &Request| request.reply.is_none() && request.is_run();
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

    /// The table's part of the counters' line.
    pub fn state(&self) -> String {
        let count = |which: fn(&Request) -> bool| {
            self.requests
                .iter()
                .flatten()
                .filter(|request| which(request))
                .count()
        };
        format!(
            "owing={} held={} asking={} keeping={} running={} frozen={} at_call={} calls_out={} body_bytes={} keys={} gauges_ms={} on_cores={}",
            self.pending_reply_count(),
            count(|request| request.run == RunState::Queued),
            count(|request| request.run == RunState::Claiming),
            self.awaiting_commit.len(),
            count(|request| request.run == RunState::Launched && !request.is_at_call()),
            count(|request| request.run == RunState::Paused),
            count(Request::is_at_call),
            self.downstream.out.get(),
            self.body_bytes,
            self.result_cache.len(),
            self.gauges_at.map_or(-1, |at| at.elapsed().as_millis() as i64),
            self.gauges.runnable.unwrap_or(-1.0),
        )
    }

    /// How many replies are pending.
    pub fn pending_reply_count(&self) -> usize {
        let open = self.requests.iter().flatten();
        open.filter(|request| request.reply.is_some()).count() + self.awaiting_commit.len()
    }
}
