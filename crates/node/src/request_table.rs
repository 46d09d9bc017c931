//! All requests in hand, with what the policy's orders work on.

use crate::counters::{count, Counts};
use crate::downstream::DownstreamPool;
use crate::idempotency::GroupHandle;
use crate::pending_reply::PendingReply;
use crate::request::{Request, RunState, Trace};
use crate::result_cache::{IdempotencyKey, ResultCache};
use crate::{agent, NodeContext};
use rainstand::{Gauges, Outcome};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// An answered ticket's run that was told to stop has ended by then, if its end is ever told: several times
/// the longest outer limit.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(60);

/// All that the node's own side keeps; orders of the decision module work on it.
pub struct RequestTable {
    pub started: Instant,
    pub context: Weak<NodeContext>,
    pub requests: Vec<Option<Request>>,
    free: Vec<usize>,
    serial: u64,
    pub by_trace: HashMap<Trace, usize>,
    /// Ticketed tickets in hand by their keys.
    pub by_key: HashMap<IdempotencyKey, usize>,
    pub result_cache: ResultCache,
    /// The group, if the node is in one.
    pub group: Option<Rc<GroupHandle>>,
    /// What is owed once a result is agreed on.
    pub awaiting_commit: HashMap<u64, PendingReply>,
    /// Of each traffic type: its outer limit, and the window of a ticketed one.
    pub class_limits: Vec<(Duration, Option<Duration>)>,
    /// What the bodies of all tickets in hand take.
    pub body_bytes: usize,
    /// Ends that the node itself brought about, still to be told to the decision module.
    pub run_ends: VecDeque<(usize, Outcome)>,
    pub counts: Rc<Counts>,
    pub agent: Rc<agent::AgentLink>,
    pub downstream: Rc<DownstreamPool>,
    pub classes: BTreeMap<String, usize>,
    /// Names of the traffic types as JSON strings.
    pub class_names: Vec<String>,
    pub tenants: BTreeMap<String, usize>,
    pub fresh: Duration,
    pub can_pause: bool,
    /// What health checks are told.
    pub healthy: bool,
    /// How long an unused connection may stay.
    pub idle_limit: Duration,
    pub wake_at: Option<Instant>,
    pub gauges: Gauges,
    /// When they were told.
    pub gauges_at: Option<Instant>,
}

impl RequestTable {
    pub fn new(
        context: Weak<NodeContext>,
        counts: Rc<Counts>,
        agent: Rc<agent::AgentLink>,
        pool: Rc<DownstreamPool>,
    ) -> Self {
        Self {
            started: Instant::now(),
            context,
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
            downstream: pool,
            classes: BTreeMap::new(),
            class_names: Vec::new(),
            tenants: BTreeMap::new(),
            fresh: Duration::ZERO,
            can_pause: true,
            healthy: true,
            idle_limit: Duration::MAX,
            wake_at: None,
            gauges: Gauges::default(),
            gauges_at: None,
        }
    }

    /// The time as the decision module is told it.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn put(&mut self, mut request: Request) -> usize {
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

    /// Keeps what is owed beyond the ticket's time in the books; its number there.
    pub fn retain_reply(&mut self, owed: Option<PendingReply>) -> u64 {
        self.serial += 1;
        if let Some(owed) = owed {
            // Still open on its connection, under no ticket's index.
            owed.conn
                .open_requests
                .borrow_mut()
                .insert(owed.seq, usize::MAX);
            self.awaiting_commit.insert(self.serial, owed);
        }
        self.serial
    }

    pub fn request_mut(&mut self, index: usize) -> Option<&mut Request> {
        self.requests.get_mut(index).and_then(Option::as_mut)
    }

    /// Takes a ticket out of the books for good; its index may serve again.
    pub fn take(&mut self, index: usize) -> Option<Request> {
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

    /// How the run of a ticket ended is what its repeats get from here on.
    pub fn close_key(&mut self, index: usize, end: Outcome, result: &[u8]) {
        let Some(request) = self
            .requests
            .get_mut(index)
            .and_then(Option::as_mut)
            .filter(|request| request.caches_result)
        else {
            return;
        };
        request.caches_result = false;
        match (&request.key, end) {
            (Some(key), Outcome::Succeeded) => self.result_cache.close(key, Some(result)),
            (Some(key), Outcome::NeverStarted) => self.result_cache.drop(key),
            // Guards against a second effect: what failed or was stopped may have had its own.
            (Some(key), _) => self.result_cache.close(key, None),
            (None, _) => {}
        }
    }

    /// Tickets that are past their time and not answered.
    pub fn overdue(&self, now: Instant) -> Vec<usize> {
        let late = |request: &Request| request.reply.is_some() && request.deadline <= now;
        let all = self.requests.iter().enumerate();
        all.filter(|(_, request)| request.as_ref().is_some_and(late))
            .map(|(index, _)| index)
            .collect()
    }

    /// The last resort: an error to all that is still owed an answer; how many there were.
    pub fn fail_all(&mut self) -> usize {
        let owed = self
            .requests
            .iter_mut()
            .flatten()
            .filter_map(|request| request.reply.take());
        let owed: Vec<PendingReply> = owed
            .chain(self.awaiting_commit.drain().map(|(_, owed)| owed))
            .collect();
        let left = owed.len();
        for owed in owed {
            count(&self.counts.unsettled);
            owed.fail(&self.counts);
        }
        left
    }

    /// Runs whose end no notice will tell any more, of tickets answered long ago. Guards against runs that stay
    /// in the books for good, and take the place of others: their last notice was passed over as odd.
    pub fn orphans(&mut self, now: Instant) -> Vec<usize> {
        let answered = |request: &Request| request.reply.is_none() && request.is_run();
        let mut found = Vec::new();
        for (index, request) in self.requests.iter_mut().enumerate() {
            let Some(request) = request.as_mut().filter(|request| answered(request)) else {
                continue;
            };
            if now.duration_since(*request.orphan_since.get_or_insert(now)) > ORPHAN_TIMEOUT {
                found.push(index);
            }
        }
        found
    }

    /// What the books hold just now, to be set beside what passes on the sockets.
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

    /// Tickets whose answer is still owed.
    pub fn pending_reply_count(&self) -> usize {
        self.requests
            .iter()
            .flatten()
            .filter(|request| request.reply.is_some())
            .count()
            + self.awaiting_commit.len()
    }
}
