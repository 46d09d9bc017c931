//! The requests in flight: their stages, timers and memory use.
//!
//! Bookkeeping only: [`choice`](crate::choice) decides what happens to a request.

use crate::host::{Arrival, RequestClass};
use std::collections::BTreeSet;
use std::time::Duration;

/// The stage of a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Queued, not started.
    Queued,
    /// Waiting for the result of the request that it repeats.
    AwaitingResult,
    /// Running on the cores, or in a disk wait that no gauge shows.
    Running,
    /// Waiting for its downstream call to be made.
    AwaitingCall,
    /// Its downstream call is in progress.
    Calling,
}

/// Number of stages, for counts by stage.
const STAGES: usize = 5;

/// One attempt of a downstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownstreamCall {
    /// When the attempt was made.
    pub started: Duration,
    /// When the attempt is cancelled.
    pub deadline: Duration,
}

impl DownstreamCall {
    /// How long the attempt may take.
    pub fn time_limit(&self) -> Duration {
        self.deadline.saturating_sub(self.started)
    }
}

/// The start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// Time of the order to run.
    pub time: Duration,
    /// Total time for which the process had been stalled by then.
    pub stalled: Duration,
}

/// A request in flight; times are on the controller's clock.
pub struct Request {
    /// Index of its class.
    pub class_index: usize,
    /// Its class as configured when it arrived; later settings do not change it.
    pub class: RequestClass,
    /// Index of its tenant's quota account.
    pub account: usize,
    /// When it reached the machine.
    pub arrived: Duration,
    /// The latest time for its answer.
    pub deadline: Duration,
    /// Memory that it takes until it runs, in KiB.
    pub held_kb: f64,
    /// An estimate of its core time.
    pub size_hint: Option<Duration>,
    /// Whether its caller marked it as a retry.
    pub is_retry: bool,
    /// Its stage; changed only by [`InFlightRequests::set_stage`].
    pub stage: Stage,
    /// Start of its run; `None` if it has not run.
    pub run_start: Option<RunStart>,
    /// Whether its caller has received an answer, or has disconnected.
    pub answered: bool,
    /// Until when its result is cached for repeats.
    pub cached_until: Option<Duration>,
    /// When it last needed a downstream call.
    pub call_requested: Duration,
    /// Time it has spent on downstream calls that have ended.
    pub call_wait: Duration,
    /// Attempts of its current downstream call.
    pub call_attempts: u32,
    /// The last attempt of a downstream call.
    pub call: DownstreamCall,
    timer: Option<Duration>,
}

impl Request {
    /// Creates a queued request of `class`; `arrived` and `deadline` are on the controller's clock.
    pub fn new(
        arrival: &Arrival,
        class: RequestClass,
        account: usize,
        arrived: Duration,
        deadline: Duration,
    ) -> Self {
        Self {
            class_index: arrival.class,
            class,
            account,
            arrived,
            deadline,
            held_kb: arrival.held_kb,
            size_hint: arrival.size_hint,
            is_retry: arrival.is_retry,
            stage: Stage::Queued,
            run_start: None,
            answered: false,
            cached_until: None,
            call_requested: arrived,
            call_wait: Duration::ZERO,
            call_attempts: 0,
            call: DownstreamCall {
                started: arrived,
                deadline: arrived,
            },
            timer: None,
        }
    }
}

/// All requests in flight by their indices, with their timers and memory use.
///
/// Each request has at most one timer; counts, timers and memory use always match the requests.
pub struct InFlightRequests {
    requests: Vec<Option<Request>>,
    /// Expiry time and request index of each timer.
    timers: BTreeSet<(Duration, usize)>,
    /// Expiry time and request index of each cached result.
    cached: BTreeSet<(Duration, usize)>,
    /// Number of requests by stage.
    counts: [usize; STAGES],
    used_kb: f64,
    memory_kb: f64,
    run_memory_factor: f64,
    cached_result_kb: f64,
}

impl InFlightRequests {
    /// `memory_kb`: memory that all requests share, in KiB; `run_memory_factor`: memory of a running request as a
    /// multiple of that of a queued one; `cached_result_kb`: memory of a cached result, in KiB.
    pub fn new(memory_kb: f64, run_memory_factor: f64, cached_result_kb: f64) -> Self {
        let (requests, timers, cached) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
        Self {
            requests,
            timers,
            cached,
            counts: [0; STAGES],
            used_kb: 0.0,
            memory_kb,
            run_memory_factor,
            cached_result_kb,
        }
    }

    /// Adds a request at a free index, and sets its timer to its deadline.
    pub fn insert(&mut self, index: usize, request: Request) {
        if self.requests.len() <= index {
            self.requests.resize_with(index + 1, || None);
        }
        self.used_kb += request.held_kb;
        self.counts[request.stage as usize] += 1;
        self.requests[index] = Some(request);
        self.set_timer_to_deadline(index);
    }

    /// The request at an index, `None` if there is none.
    pub fn get(&mut self, index: usize) -> Option<&mut Request> {
        self.requests.get_mut(index).and_then(Option::as_mut)
    }

    /// The request at an index that is known to be in use.
    ///
    /// # Panics
    /// If it is not in use.
    pub fn expect(&mut self, index: usize) -> &mut Request {
        self.get(index).expect("a request in flight")
    }

    /// Number of requests in a stage.
    pub fn count(&self, stage: Stage) -> usize {
        self.counts[stage as usize]
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.count(Stage::Queued)
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.count(Stage::Running)
    }

    /// Number of requests whose downstream call is in progress.
    pub fn calling(&self) -> usize {
        self.count(Stage::Calling)
    }

    /// Number of requests that run, or are at a downstream call.
    pub fn outstanding(&self) -> usize {
        self.running() + self.count(Stage::AwaitingCall) + self.calling()
    }

    /// Moves a request to a stage.
    ///
    /// # Panics
    /// If it is not in flight.
    pub fn set_stage(&mut self, index: usize, stage: Stage) {
        let before = std::mem::replace(&mut self.expect(index).stage, stage);
        self.counts[before as usize] -= 1;
        self.counts[stage as usize] += 1;
    }

    /// Starts the run of a request that has not run; it then takes the memory of a running request.
    ///
    /// # Panics
    /// If it is not in flight.
    pub fn begin_run(&mut self, index: usize, start: RunStart) {
        self.set_stage(index, Stage::Running);
        let request = self.expect(index);
        request.run_start = Some(start);
        let held_kb = request.held_kb;
        self.used_kb += held_kb * (self.run_memory_factor - 1.0);
    }

    /// Removes a request with its timer and memory; a cached result stays until it expires.
    pub fn remove(&mut self, index: usize) -> Option<Request> {
        self.clear_timer(index);
        let request = self.requests.get_mut(index)?.take()?;
        self.counts[request.stage as usize] -= 1;
        self.used_kb -= request.held_kb
            * if request.run_start.is_some() {
                self.run_memory_factor
            } else {
                1.0
            };
        Some(request)
    }

    /// Sets the timer of a request, replacing the previous one.
    pub fn set_timer(&mut self, index: usize, expiry: Duration) {
        self.clear_timer(index);
        if let Some(request) = self.get(index) {
            request.timer = Some(expiry);
            self.timers.insert((expiry, index));
        }
    }

    /// Clears the timer of a request, if it has one.
    pub fn clear_timer(&mut self, index: usize) {
        let timer = self.get(index).and_then(|request| request.timer.take());
        if let Some(expiry) = timer {
            self.timers.remove(&(expiry, index));
        }
    }

    /// Sets the timer of a request to its deadline.
    pub fn set_timer_to_deadline(&mut self, index: usize) {
        if let Some(deadline) = self.get(index).map(|request| request.deadline) {
            self.set_timer(index, deadline);
        }
    }

    /// Sum of the time limits of all calls in progress, without linger.
    pub fn call_time_limits(&self) -> Duration {
        let calling = self
            .requests
            .iter()
            .flatten()
            .filter(|request| request.stage == Stage::Calling);
        calling.map(|request| request.call.time_limit()).sum()
    }

    /// Brings deadlines and timers of all unanswered requests forward to `latest` if they are later.
    pub fn cap_deadlines(&mut self, latest: Duration) {
        for index in 0..self.requests.len() {
            let Some(request) = self.get(index).filter(|request| !request.answered) else {
                continue;
            };
            request.deadline = request.deadline.min(latest);
            if request.timer.is_none_or(|expiry| expiry > latest) {
                self.set_timer(index, latest);
            }
        }
    }

    /// Clears the earliest timer that has expired, and returns its request.
    pub fn next_expired(&mut self, now: Duration) -> Option<usize> {
        let index = self.timers.first().filter(|timer| timer.0 <= now)?.1;
        self.clear_timer(index);
        Some(index)
    }

    /// Counts the memory of a cached result until it expires at `until`.
    ///
    /// # Panics
    /// If the request is not in flight.
    pub fn cache_result(&mut self, index: usize, until: Duration) {
        self.expect(index).cached_until = Some(until);
        self.cached.insert((until, index));
    }

    /// Discards a cached result; returns whether there was one that had not expired.
    ///
    /// # Panics
    /// If the request is not in flight.
    pub fn discard_result(&mut self, now: Duration, index: usize) -> bool {
        let cached_until = self.expect(index).cached_until.take();
        cached_until.is_some_and(|until| self.cached.remove(&(until, index)) && until > now)
    }

    /// Share of the memory in use, including cached results.
    pub fn memory_share(&mut self, now: Duration) -> f64 {
        self.memory_share_with(now, 0.0)
    }

    /// Share of the memory that would be in use if the run of request `index` started.
    ///
    /// # Panics
    /// If that request is not in flight.
    pub fn memory_share_with_run(&mut self, now: Duration, index: usize) -> f64 {
        let extra_kb = self.expect(index).held_kb * (self.run_memory_factor - 1.0);
        self.memory_share_with(now, extra_kb)
    }

    fn memory_share_with(&mut self, now: Duration, extra_kb: f64) -> f64 {
        while self.cached.first().is_some_and(|entry| entry.0 < now) {
            self.cached.pop_first();
        }
        let cached_kb = self.cached.len() as f64 * self.cached_result_kb;
        (self.used_kb + extra_kb + cached_kb) / self.memory_kb
    }
}
