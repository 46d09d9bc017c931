//! What crosses the edge of the decision module: calls in, orders out.

use std::time::Duration;

/// Whether work of a traffic type may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// May run any number of times.
    Idempotent,
    /// Carries a mark that tells a repeat apart, for this long after arrival.
    IdempotentWithKey(Duration),
    /// Must never run twice.
    NonIdempotent,
}

/// What is known at start of one traffic type.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    pub latency_objective: Duration,
    pub deadline: Duration,
    pub value: f64,
    /// Share of the benefit that an answer past the goal time still earns.
    pub late_share: f64,
    /// Share of the benefit that an answer without its call still earns.
    pub degraded_share: f64,
    pub repeats: Repeatability,
}

impl RequestClass {
    /// What is lost of the benefit when the call is left out.
    pub fn call_value(&self) -> f64 {
        self.value * (1.0 - self.degraded_share)
    }
}

/// Which earlier ticket an arrival repeats, where a mark tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryOf {
    #[default]
    No,
    /// One still in hand here.
    Of(usize),
    /// One no longer in hand.
    Past,
}

/// A ticket as it is read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub traffic: usize,
    pub tenant: Option<usize>,
    /// Time since it reached the machine.
    pub waited: Duration,
    /// How long its caller still waits, where that is told.
    pub patience: Option<Duration>,
    pub repeat: RetryOf,
    /// A guess of its core time.
    pub hint: Option<Duration>,
    pub held_kb: f64,
    /// Marked as a further try.
    pub again: bool,
}

/// How a run, a reuse or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Failed,
    Rejected,
    TimedOut,
    Unreachable,
    Disconnected,
    Cancelled,
    NeverStarted,
}

impl Outcome {
    /// Whether it is proved that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::Unreachable | Self::NeverStarted)
    }
}

/// The machine's own gauges; `None` where it has no such gauge.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Share of the cores busy.
    pub cores_busy: Option<f64>,
    /// How many want a core just now.
    pub on_cores: Option<f64>,
    /// Share of the memory in use.
    pub memory: Option<f64>,
    /// Open connections.
    pub links: Option<f64>,
}

/// What callers make of the value that rides on answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSignal {
    #[default]
    Nothing,
    Level,
    Credit,
    Weight,
}

impl LoadSignal {
    /// The value that keeps all callers away, or none of them.
    pub fn to_all(self, away: bool) -> Option<f64> {
        match self {
            Self::Nothing => None,
            Self::Level => Some(if away { 1.0 } else { 0.0 }),
            Self::Weight => Some(if away { 0.0 } else { 1.0 }),
            Self::Credit => Some(if away { 0.0 } else { f64::from(u32::MAX) }),
        }
    }
}

/// Orders to the program around the module. Indices are those that
/// `Node::arrived` returned; [`Host::over`] hands an index back for reuse.
pub trait Host {
    fn run(&mut self, ticket: usize);
    fn cancel_run(&mut self, ticket: usize);
    fn reply_from_cache(&mut self, ticket: usize);
    fn keep(&mut self, ticket: usize, span: Duration);
    fn forget(&mut self, ticket: usize);
    /// Turn away for good, unrun: when to come back, and whether to try nowhere else.
    fn reject(&mut self, ticket: usize, come_back: Duration, nowhere_else: bool);
    /// A final error, with no promise that nothing ran.
    fn give_up(&mut self, ticket: usize);
    fn call(&mut self, ticket: usize, until: Duration);
    fn reply_degraded(&mut self, ticket: usize);
    fn advertise_load(&mut self, amount: f64);
    /// How health checks are answered from now on, from store.
    fn set_health(&mut self, good: bool);
    fn close_idle_after(&mut self, span: Duration);
    /// Ask for one `Node::woken` this far from now.
    fn wake(&mut self, span: Duration);
    /// Nothing more comes of this ticket; its index may serve again.
    fn release(&mut self, ticket: usize);
}
