//! The interface of the admission policy: the types of its inputs, and the [`Host`] trait that receives its orders.

use std::time::Duration;

/// Whether requests of a class may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// May run any number of times.
    Idempotent,
    /// Carry a key that identifies repeats for this long after arrival.
    IdempotentWithKey(Duration),
    /// Must never run twice.
    NonIdempotent,
}

/// The settings of one request class.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Time after arrival within which an answer has its full value.
    pub latency_objective: Duration,
    /// Time after arrival by which a request must be answered.
    pub deadline: Duration,
    /// Value of an answer within the objective: the weight of the class.
    pub value: f64,
    /// Share of the value that an answer after the objective still has.
    pub late_share: f64,
    /// Share of the value that an answer without its downstream call still has; zero if the call is required.
    pub degraded_share: f64,
    /// Whether requests may run again.
    pub repeatability: Repeatability,
}

impl RequestClass {
    /// The value that is lost if the downstream call is skipped.
    pub fn call_value(&self) -> f64 {
        self.value * (1.0 - self.degraded_share)
    }

    /// Whether an answer without the downstream call has any value.
    pub fn is_degradable(&self) -> bool {
        self.degraded_share > 0.0
    }
}

/// Which earlier request an arrival repeats, if its key identifies one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryOf {
    /// No known request.
    #[default]
    No,
    /// A request that is still in flight, by its index.
    Of(usize),
    /// A request that is no longer in flight.
    Finished,
}

/// A request that was read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Index of its request class.
    pub class: usize,
    /// Index of its tenant, if that is known.
    pub tenant: Option<usize>,
    /// Time since it reached the machine.
    pub waited: Duration,
    /// How long its caller will still wait, if it says so.
    pub caller_timeout: Option<Duration>,
    /// The request that it repeats.
    pub retry_of: RetryOf,
    /// An estimate of its core time.
    pub size_hint: Option<Duration>,
    /// Memory that it takes until it runs, in KiB.
    pub held_kb: f64,
    /// Whether its caller marked it as a retry.
    pub is_retry: bool,
}

/// How a run, a cached reply or a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Succeeded,
    /// It ran and ended with an error.
    Failed,
    /// It was rejected before it ran.
    Rejected,
    /// It had no result in time: it may have run.
    TimedOut,
    /// The connection could not be opened: nothing ran.
    Unreachable,
    /// The connection broke: it may have run.
    Disconnected,
    /// It was cancelled: it may have run in part.
    Cancelled,
    /// It could not be started: nothing ran.
    NeverStarted,
}

impl Outcome {
    /// Whether it is certain that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Rejected | Self::Unreachable | Self::NeverStarted
        )
    }

    /// Whether a call with this outcome may still occupy the downstream tier.
    pub fn may_still_run(self) -> bool {
        !self.never_ran() && self != Self::Succeeded
    }
}

/// The gauges of the machine; `None` if it has no such gauge.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Share of the cores that is busy, 0 to 1.
    pub cores_busy: Option<f64>,
    /// Number of threads that run or wait for a core.
    pub runnable: Option<f64>,
    /// Share of the memory in use, 0 to 1.
    pub memory: Option<f64>,
    /// Number of open connections.
    pub connections: Option<f64>,
}

/// How callers interpret the load value that answers carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSignal {
    /// Not at all: no value is sent.
    #[default]
    Nothing,
    /// A load level, 0 (idle) to 1 (full).
    Level,
    /// A number of further requests that may be sent.
    Credit,
    /// A weight for the balancer, 0 (no requests) to 1.
    Weight,
}

/// What a rejection tells the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Delay before the caller may retry on this node; zero if it is not asked to wait.
    pub retry_after: Duration,
    /// Whether it may try another node before that.
    pub retry_elsewhere: RetryElsewhere,
}

/// Whether a rejected request may be tried on another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryElsewhere {
    /// Another node may run it.
    Allowed,
    /// Other nodes are unlikely to run it: an attempt there would only add load.
    Discouraged,
}

/// Receives the orders of the policy; implemented by the embedding program. A `request` is the index that was passed to
/// [`AdmissionController::on_arrival`](crate::AdmissionController::on_arrival); it is in use until [`Host::release`].
pub trait Host {
    /// Start the request's run.
    fn run(&mut self, request: usize);
    /// Stop a run whose result is not needed any more, if runs can be stopped.
    fn cancel_run(&mut self, request: usize);
    /// Answer with the result of the request that this one repeats, without a run.
    fn reply_from_cache(&mut self, request: usize);
    /// Cache the request's result for repeats, for `span` from now.
    fn cache_result(&mut self, request: usize, span: Duration);
    /// Discard the cached result: the request never ran.
    fn discard_result(&mut self, request: usize);
    /// Answer that the request was not run, with the retry-after.
    fn reject(&mut self, request: usize, rejection: Rejection);
    /// Answer with a final error; the request may have run.
    fn fail(&mut self, request: usize);
    /// Make the request's downstream call, and cancel it at `deadline` on the controller's clock.
    fn call_downstream(&mut self, request: usize, deadline: Duration);
    /// Continue the run without its downstream call; no effect if the run has received that call's reply.
    fn reply_degraded(&mut self, request: usize);
    /// From now on, send this value with answers; see [`LoadSignal`].
    fn advertise_load(&mut self, amount: f64);
    /// From now on, answer health checks with this state, without asking the controller.
    fn set_health(&mut self, healthy: bool);
    /// From now on, close connections that are idle for longer than `span`.
    fn close_idle_after(&mut self, span: Duration);
    /// Call [`AdmissionController::on_tick`](crate::AdmissionController::on_tick) once, `span` from now.
    fn wake(&mut self, span: Duration);
    /// No more orders follow for this request; its index may be reused.
    fn release(&mut self, request: usize);
}
