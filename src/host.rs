//! The edge of the admission policy: what calls bring in, and the [`Host`] trait that orders go out through.

use std::time::Duration;

/// Whether requests of a class may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// May run any number of times.
    Idempotent,
    /// Carries a key that identifies a repeat, for this long after arrival.
    IdempotentWithKey(Duration),
    /// Must never run twice.
    NonIdempotent,
}

/// The settings of one request class.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Time after arrival within which an answer has its full value.
    pub latency_objective: Duration,
    /// Time after arrival by which an answer must be given.
    pub deadline: Duration,
    /// Value of an answer within the objective: the weight of the class.
    pub value: f64,
    /// Share of the value that an answer later than the objective still has.
    pub late_share: f64,
    /// Share of the value that an answer without its downstream call still has; zero if the call is required.
    pub degraded_share: f64,
    /// Whether a request may run again.
    pub repeatability: Repeatability,
}

impl RequestClass {
    /// The value that is lost when the downstream call is skipped.
    pub fn call_value(&self) -> f64 {
        self.value * (1.0 - self.degraded_share)
    }

    /// Whether an answer without the downstream call has any value.
    pub fn is_degradable(&self) -> bool {
        self.degraded_share > 0.0
    }
}

/// Which earlier request an arrival repeats, where a key tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryOf {
    /// None, or none that is known.
    #[default]
    No,
    /// One that is still in flight here, by its index.
    Of(usize),
    /// One that is no longer in flight.
    Past,
}

/// A request as it is read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Index of its request class.
    pub class: usize,
    /// Index of its tenant, if it has a known one.
    pub tenant: Option<usize>,
    /// Time since it reached the machine.
    pub waited: Duration,
    /// How long its caller still waits, where it says so.
    pub caller_timeout: Option<Duration>,
    /// The request that it repeats.
    pub retry_of: RetryOf,
    /// An estimate of its core time.
    pub size_hint: Option<Duration>,
    /// Memory that it takes while it is not run, in KiB.
    pub held_kb: f64,
    /// Whether its caller marked it as a retry.
    pub is_retry: bool,
}

/// How a run, a cached reply or a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a good result.
    Succeeded,
    /// With an error after it ran.
    Failed,
    /// Rejected before it ran.
    Rejected,
    /// No result in time: it may have run.
    TimedOut,
    /// No connection was made: nothing ran.
    Unreachable,
    /// The connection broke: it may have run.
    Disconnected,
    /// Cancelled: it may have run in part.
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

    /// Whether a call that ended so may still occupy the downstream tier.
    pub fn may_still_run(self) -> bool {
        !self.never_ran() && self != Self::Succeeded
    }
}

/// The machine's own gauges; `None` where it has no such gauge.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Share of the cores that is busy.
    pub cores_busy: Option<f64>,
    /// Number of threads that run or wait for a core now.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub memory: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// What callers make of the value that answers carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSignal {
    /// Nothing: no value is sent.
    #[default]
    Nothing,
    /// A load level, 0 (idle) to 1 (full).
    Level,
    /// A number of further requests that are welcome.
    Credit,
    /// A weight for the balancer, 0 (no requests) to 1.
    Weight,
}

/// What a rejected request's caller is advised to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The earliest time, from now, at which it may retry here; zero where it is asked for no delay.
    pub retry_after: Duration,
    /// Whether it may try another node before that.
    pub retry_elsewhere: RetryElsewhere,
}

/// Whether a rejected request may be tried on another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryElsewhere {
    /// Another node may run it.
    Allowed,
    /// No other node is likely to run it: an attempt there would only add load.
    Discouraged,
}

/// Orders to the program around the policy. A `request` is the index under which it was passed to
/// [`AdmissionController::on_arrival`](crate::AdmissionController::on_arrival), in use until
/// [`Host::release`].
pub trait Host {
    /// Start a request's run.
    fn run(&mut self, request: usize);
    /// Stop a run whose result nobody waits for, where runs can be stopped.
    fn cancel_run(&mut self, request: usize);
    /// Answer with the result of the request that this one repeats, without a run.
    fn reply_from_cache(&mut self, request: usize);
    /// Cache the request's result for repeats, for `span` from now.
    fn cache_result(&mut self, request: usize, span: Duration);
    /// Discard the cached result: the request never ran.
    fn discard_result(&mut self, request: usize);
    /// Answer that the request was not run, and what its caller may do next.
    fn reject(&mut self, request: usize, rejection: Rejection);
    /// Answer with a final error, which does not promise that nothing ran.
    fn fail(&mut self, request: usize);
    /// Make the request's downstream call, to be cancelled at `deadline` on the controller's clock.
    fn call_downstream(&mut self, request: usize, deadline: Duration);
    /// Let the run go on without its downstream call.
    fn reply_degraded(&mut self, request: usize);
    /// Send this value with answers from now on, see [`LoadSignal`].
    fn advertise_load(&mut self, amount: f64);
    /// How health checks are answered from now on, without asking the controller.
    fn set_health(&mut self, healthy: bool);
    /// Close connections that are idle for longer than this, from now on.
    fn close_idle_after(&mut self, span: Duration);
    /// Call [`AdmissionController::on_tick`](crate::AdmissionController::on_tick) once, this far from now.
    fn wake(&mut self, span: Duration);
    /// Nothing more follows for this request; its index may be used again.
    fn release(&mut self, request: usize);
}
