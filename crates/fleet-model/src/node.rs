//! A node on its machine. It receives attempts by id and reports events about them; the world polls it for the time of
//! its next event.
//!
//! Invariant: each accepted attempt is in exactly one state (queued, running, failing) until its outcome is
//! reported, its caller disconnects, or the machine stops.

use crate::machine::Machine;
use crate::plan::{NodeKind, NodePlan, TypePlan};
use foldhash::{HashMap, HashMapExt};
use rainstand::{
    AdmissionController, AdvertiserOptions, Arrival, ClientConnections, Components,
    ConcurrencyLimiter, DownstreamLimiter, Gauges, Host, InFlightRequests, LoadAdvertiser,
    LoadSignal, Outcome, Rejection, Repeatability, RetryElsewhere, TenantQuotas,
};
use rainstand_invariants::Kind;
use std::collections::VecDeque;
use std::time::Duration;

/// The retry-after of a plain node whose queue is full: about the time it takes to run the queue.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Memory of a node with admission control, and the part reserved per request: enough for its queue.
const MEMORY_KB: f64 = 64_000.0;
const ENTRY_KB: f64 = 2.0;

/// An attempt as a node sees it.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// The world's id of the attempt.
    pub attempt: u32,
    pub class: u16,
    /// None for a tenant that is not in the configuration.
    pub tenant: Option<u16>,
    /// Core time, ns.
    pub work: u64,
    pub is_retry: bool,
    /// Time of arrival, ns.
    pub arrived: u64,
    pub exclusive: bool,
    /// Makes a downstream call half way through its run, and uses no core while it waits.
    pub calls_downstream: bool,
}

/// Progress of a run with a downstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    NotCalled,
    InCall,
    Called,
}

/// A report of a node; the first field is the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// The first run of the attempt starts now.
    Started(u32),
    Served(u32),
    /// The run failed, or the node failed the request.
    Failed(u32),
    /// With the retry-after, and whether retrying elsewhere is discouraged.
    Rejected(u32, Duration, bool),
    /// The downstream call starts now; its deadline in ns.
    CallStarted(u32, u64),
    /// The downstream call is abandoned.
    CallAbandoned(u32),
}

enum Policy {
    Plain { max_runs: usize, backlog: usize },
    Admission(Box<Admission>),
}

/// The project's admission controller, and the host that records its commands.
struct Admission {
    controller: AdmissionController,
    host: CommandHost,
}

#[derive(Default)]
struct CommandHost {
    /// The attempt at each index of the controller.
    attempts: Vec<Option<u32>>,
    free: Vec<usize>,
    index: HashMap<u32, usize>,
    commands: Vec<Command>,
    /// Time of the next tick, ns.
    wake: Option<u64>,
    now: u64,
}

enum Command {
    Run(u32),
    Cancel(u32),
    Reject(u32, Duration, bool),
    Fail(u32),
    Call(u32, Duration),
    ReplyDegraded(u32),
    /// The controller has released the attempt.
    Release(u32),
}

impl CommandHost {
    fn record(&mut self, ix: usize, command: impl FnOnce(u32) -> Command) {
        if let Some(attempt) = self.attempts.get(ix).copied().flatten() {
            self.commands.push(command(attempt));
        }
    }
}

impl Host for CommandHost {
    fn run(&mut self, ix: usize) {
        self.record(ix, Command::Run);
    }
    fn cancel_run(&mut self, ix: usize) {
        self.record(ix, Command::Cancel);
    }
    // Requests of the model carry no key, so none is a duplicate of another.
    fn reply_from_cache(&mut self, _: usize) {}
    fn cache_result(&mut self, _: usize, _: Duration) {}
    fn discard_result(&mut self, _: usize) {}
    fn reject(&mut self, ix: usize, rejection: Rejection) {
        let terminal = rejection.retry_elsewhere == RetryElsewhere::Discouraged;
        self.record(ix, |attempt| {
            Command::Reject(attempt, rejection.retry_after, terminal)
        });
    }
    fn fail(&mut self, ix: usize) {
        self.record(ix, Command::Fail);
    }
    fn call_downstream(&mut self, ix: usize, deadline: Duration) {
        self.record(ix, |attempt| Command::Call(attempt, deadline));
    }
    fn reply_degraded(&mut self, ix: usize) {
        self.record(ix, Command::ReplyDegraded);
    }
    // Callers of the model receive no load advertisements.
    fn advertise_load(&mut self, _: f64) {}
    fn set_health(&mut self, _: bool) {}
    fn close_idle_after(&mut self, _: Duration) {}
    fn wake(&mut self, span: Duration) {
        let at = self.now + span.as_nanos() as u64;
        self.wake = Some(self.wake.map_or(at, |earlier| earlier.min(at)));
    }
    fn release(&mut self, ix: usize) {
        if let Some(attempt) = self.attempts.get_mut(ix).and_then(Option::take) {
            self.index.remove(&attempt);
            self.commands.push(Command::Release(attempt));
            self.free.push(ix);
        }
    }
}

/// An accepted task and its state.
struct Accepted {
    task: Task,
    running: bool,
    /// The run has started at least once, so its side effect counts.
    started: bool,
    phase: Phase,
}

/// A node and the machine it runs on.
pub struct Node {
    machine: Machine,
    policy: Policy,
    accepted: HashMap<u32, Accepted>,
    queue: VecDeque<u32>,
    /// The attempt of each run of the machine, by run id, and the reverse.
    runs: Vec<Option<u32>>,
    free_runs: Vec<u32>,
    run_of: HashMap<u32, u32>,
    events: Vec<NodeEvent>,
    /// Duration of the warm-up, ns, and its slowdown factor.
    cold: Option<(u64, f64)>,
    /// End of the warm-up, ns.
    cold_until: u64,
    /// Speed under the current fault, relative to normal.
    fault_speed: f64,
    pub drains: bool,
}

fn admission(
    plan: &NodePlan,
    types: &[TypePlan],
    shares: &[f64],
    rate: f64,
    seed: u64,
    cold: Option<rainstand::ColdStart>,
) -> Box<Admission> {
    let classes = types.iter().map(|class| rainstand::RequestClass {
        latency_objective: class.goal,
        deadline: class.outer_limit,
        value: 1.0,
        late_share: 0.2,
        degraded_share: class.poorer,
        repeatability: match class.kind {
            Kind::Rerunnable => Repeatability::Idempotent,
            Kind::Ticketed => Repeatability::IdempotentWithKey(class.outer_limit),
            Kind::Exclusive => Repeatability::NonIdempotent,
        },
    });
    let quotas: Vec<f64> = shares.iter().map(|share| share * rate).collect();
    let components = Components {
        quotas: TenantQuotas::new(&quotas, plan.count as usize),
        limiter: ConcurrencyLimiter::new(seed, plan.cores as usize, 4.0, cold),
        in_flight: InFlightRequests::new(MEMORY_KB, 4.0, ENTRY_KB),
        downstream: DownstreamLimiter::new(None),
        advertiser: LoadAdvertiser::new(AdvertiserOptions {
            signal: LoadSignal::Nothing,
            max_retry_after: Duration::from_secs(1),
            drain_grace: Duration::from_secs(2),
            retries_marked: true,
            clients: ClientConnections {
                callers: 64,
                idle_timeout: Duration::from_secs(8),
            },
        }),
    };
    Box::new(Admission {
        controller: AdmissionController::new(classes.collect(), false, components),
        host: CommandHost::default(),
    })
}

impl Node {
    /// `shares`: the tenants' quotas as shares of `rate`, the fleet's capacity in requests per second.
    pub fn new(
        plan: &NodePlan,
        types: &[TypePlan],
        shares: &[f64],
        rate: f64,
        seed: u64,
        now: u64,
        cold: bool,
    ) -> Self {
        let policy = match plan.kind {
            NodeKind::Plain { at_once, hold } => Policy::Plain {
                max_runs: at_once.max(1) as usize,
                backlog: hold as usize,
            },
            NodeKind::Ours => {
                let cold = cold.then(|| plan.cold_start(now)).flatten();
                Policy::Admission(admission(plan, types, shares, rate, seed, cold))
            }
        };
        let warm_up = plan
            .cold
            .map(|(span, slower)| (span.as_nanos() as u64, slower.max(1.0)));
        let mut node = Self {
            machine: Machine::new(plan.cores, plan.crowding),
            policy,
            accepted: HashMap::new(),
            queue: VecDeque::new(),
            runs: Vec::new(),
            free_runs: Vec::new(),
            run_of: HashMap::new(),
            events: Vec::new(),
            cold: warm_up,
            cold_until: if cold {
                now + warm_up.map_or(0, |(span, _)| span)
            } else {
                0
            },
            fault_speed: 1.0,
            drains: false,
        };
        node.update_speed(now);
        if let Policy::Admission(admission) = &mut node.policy {
            admission.host.now = now;
            admission
                .controller
                .begin(Duration::from_nanos(now), &mut admission.host);
        }
        node
    }

    fn update_speed(&mut self, now: u64) {
        let cold = self
            .cold
            .filter(|_| now < self.cold_until)
            .map_or(1.0, |(_, slower)| 1.0 / slower);
        self.machine.set_speed(now, self.fault_speed * cold);
    }

    /// Sets the speed of the cores under a fault, relative to normal; 0: stalled.
    pub fn set_fault(&mut self, now: u64, speed: f64) {
        self.fault_speed = speed;
        self.update_speed(now);
    }

    /// Sets the number of cores that a neighbour uses.
    pub fn set_neighbour_cores(&mut self, now: u64, cores: f64) {
        self.machine.set_neighbour_cores(now, cores);
    }

    /// Core time used up to `now`, in ms.
    pub fn used_ms(&mut self, now: u64) -> u64 {
        (self.machine.used(now) / 1e6) as u64
    }

    /// Accepted attempts, sorted because the map's order is not deterministic.
    pub fn attempts(&self) -> Vec<u32> {
        let mut attempts: Vec<u32> = self.accepted.keys().copied().collect();
        attempts.sort_unstable();
        attempts
    }

    pub fn is_empty(&self) -> bool {
        self.accepted.is_empty()
    }

    /// Time of the next event of this node, ns.
    pub fn next_event(&mut self, now: u64) -> Option<u64> {
        let warm_up_end = (self.cold_until > now).then_some(self.cold_until);
        let wake = match &self.policy {
            Policy::Admission(admission) => admission.host.wake,
            Policy::Plain { .. } => None,
        };
        [self.machine.next_end(), warm_up_end, wake]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> std::vec::Drain<'_, NodeEvent> {
        self.events.drain(..)
    }

    fn start(&mut self, now: u64, attempt: u32) {
        let Some(accepted) = self
            .accepted
            .get_mut(&attempt)
            .filter(|accepted| !accepted.running)
        else {
            return;
        };
        accepted.running = true;
        let first_start = !std::mem::replace(&mut accepted.started, true);
        let (work, half) = (accepted.task.work, accepted.task.work / 2);
        let work = match (accepted.task.calls_downstream, accepted.phase) {
            (false, _) => work,
            (true, Phase::NotCalled) => half,
            (true, _) => work - half,
        };
        let run = self.free_runs.pop().unwrap_or(self.runs.len() as u32);
        if run as usize == self.runs.len() {
            self.runs.push(None);
        }
        self.runs[run as usize] = Some(attempt);
        self.run_of.insert(attempt, run);
        self.machine.start(now, run, work);
        if first_start {
            self.events.push(NodeEvent::Started(attempt));
        }
    }

    /// Stops a run; the attempt stays accepted.
    fn stop(&mut self, now: u64, attempt: u32) {
        if let Some(run) = self.run_of.remove(&attempt) {
            self.machine.stop(now, run);
            self.runs[run as usize] = None;
            self.free_runs.push(run);
        }
        if let Some(accepted) = self.accepted.get_mut(&attempt) {
            accepted.running = false;
        }
    }

    /// Accepts or rejects an attempt.
    pub fn on_arrival(&mut self, now: u64, task: Task) {
        let attempt = task.attempt;
        let has_capacity = match &self.policy {
            _ if self.drains => false,
            Policy::Plain { max_runs, backlog } => {
                self.machine.running() < *max_runs || self.queue.len() < *backlog
            }
            Policy::Admission(_) => true,
        };
        if !has_capacity {
            self.events
                .push(NodeEvent::Rejected(attempt, QUEUE_FULL_RETRY_AFTER, false));
            return;
        }
        self.accepted.insert(
            attempt,
            Accepted {
                task,
                running: false,
                started: false,
                phase: Phase::NotCalled,
            },
        );
        match &mut self.policy {
            Policy::Plain { max_runs, .. } => {
                if self.machine.running() < *max_runs {
                    self.start(now, attempt);
                } else {
                    self.queue.push_back(attempt);
                }
            }
            Policy::Admission(admission) => {
                let Admission { controller, host } = &mut **admission;
                host.now = now;
                let ix = host.free.pop().unwrap_or(host.attempts.len());
                if ix == host.attempts.len() {
                    host.attempts.push(None);
                }
                host.attempts[ix] = Some(attempt);
                host.index.insert(attempt, ix);
                let arrival = Arrival {
                    class: usize::from(task.class),
                    tenant: task.tenant.map(usize::from),
                    waited: Duration::from_nanos(now - task.arrived),
                    held_kb: ENTRY_KB,
                    is_retry: task.is_retry,
                    ..Arrival::default()
                };
                controller.on_arrival(Duration::from_nanos(now), host, ix, &arrival);
                self.execute_commands(now);
            }
        }
    }

    /// Handles the disconnect of the caller of an attempt.
    pub fn on_caller_gone(&mut self, now: u64, attempt: u32) {
        let Some(accepted) = self.accepted.get(&attempt) else {
            return;
        };
        let (running, exclusive) = (accepted.running, accepted.task.exclusive);
        match &mut self.policy {
            Policy::Plain { .. } => {
                // An exclusive run is never cut short: its progress would be unknown.
                if running && exclusive {
                    return;
                }
                if running {
                    self.stop(now, attempt);
                } else {
                    self.queue.retain(|queued| *queued != attempt);
                }
                self.accepted.remove(&attempt);
                self.start_queued(now);
            }
            Policy::Admission(admission) => {
                let Admission { controller, host } = &mut **admission;
                host.now = now;
                if let Some(ix) = host.index.get(&attempt).copied() {
                    controller.on_caller_gone(Duration::from_nanos(now), host, ix);
                }
                self.execute_commands(now);
            }
        }
    }

    /// Handles everything that is due by `now`.
    pub fn on_due(&mut self, now: u64) {
        if self.cold_until > 0 && now >= self.cold_until {
            self.cold_until = 0;
            self.update_speed(now);
        }
        while let Some(run) = self.machine.pop_ended(now) {
            let Some(attempt) = self.runs[run as usize].take() else {
                continue;
            };
            self.free_runs.push(run);
            self.run_of.remove(&attempt);
            self.run_part_ended(now, attempt);
        }
        let busy = self.machine.busy();
        let running = self.machine.running() as f64;
        if let Policy::Admission(admission) = &mut self.policy {
            let Admission { controller, host } = &mut **admission;
            if host.wake.is_some_and(|at| at <= now) {
                host.wake = None;
                host.now = now;
                let gauges = Gauges {
                    cores_busy: Some(busy),
                    runnable: Some(running),
                    ..Gauges::default()
                };
                controller.on_tick(Duration::from_nanos(now), host, gauges);
                self.execute_commands(now);
            }
        }
    }

    /// Handles the end of the part of a run before its downstream call, or of the whole run.
    fn run_part_ended(&mut self, now: u64, attempt: u32) {
        if let Some(accepted) = self.accepted.get_mut(&attempt) {
            accepted.running = false;
            if accepted.task.calls_downstream && accepted.phase == Phase::NotCalled {
                accepted.phase = Phase::InCall;
                return self.start_call(now, attempt);
            }
        }
        match &mut self.policy {
            Policy::Plain { .. } => {
                self.accepted.remove(&attempt);
                self.events.push(NodeEvent::Served(attempt));
                self.start_queued(now);
            }
            Policy::Admission(admission) => {
                let Admission { controller, host } = &mut **admission;
                host.now = now;
                self.events.push(NodeEvent::Served(attempt));
                match host.index.get(&attempt).copied() {
                    Some(ix) => controller.on_run_finished(
                        Duration::from_nanos(now),
                        host,
                        ix,
                        Outcome::Succeeded,
                    ),
                    None => drop(self.accepted.remove(&attempt)),
                }
                self.execute_commands(now);
            }
        }
    }

    fn start_call(&mut self, now: u64, attempt: u32) {
        match &mut self.policy {
            Policy::Plain { .. } => {
                self.events.push(NodeEvent::CallStarted(attempt, u64::MAX));
                self.start_queued(now);
            }
            Policy::Admission(admission) => {
                let Admission { controller, host } = &mut **admission;
                host.now = now;
                match host.index.get(&attempt).copied() {
                    Some(ix) => controller.on_downstream_call(Duration::from_nanos(now), host, ix),
                    // The request has ended, so the run ends at its downstream call.
                    None => drop(self.accepted.remove(&attempt)),
                }
                self.execute_commands(now);
            }
        }
    }

    /// Handles the outcome of a downstream call.
    pub fn on_call_finished(&mut self, now: u64, attempt: u32, outcome: Outcome) {
        let Some(accepted) = self
            .accepted
            .get_mut(&attempt)
            .filter(|accepted| accepted.phase == Phase::InCall)
        else {
            return;
        };
        match &mut self.policy {
            Policy::Plain { .. } => {
                if outcome == Outcome::Succeeded {
                    accepted.phase = Phase::Called;
                    self.start(now, attempt);
                } else {
                    self.accepted.remove(&attempt);
                    self.events.push(NodeEvent::Failed(attempt));
                }
            }
            Policy::Admission(admission) => {
                let Admission { controller, host } = &mut **admission;
                host.now = now;
                if let Some(ix) = host.index.get(&attempt).copied() {
                    controller.on_call_finished(Duration::from_nanos(now), host, ix, outcome);
                }
                let continues = outcome == Outcome::Succeeded && host.index.contains_key(&attempt);
                if continues {
                    self.continue_run(now, attempt);
                }
                self.execute_commands(now);
            }
        }
    }

    /// Continues a run after its downstream call, with or without a reply.
    fn continue_run(&mut self, now: u64, attempt: u32) {
        if let Some(accepted) = self
            .accepted
            .get_mut(&attempt)
            .filter(|accepted| accepted.phase == Phase::InCall)
        {
            accepted.phase = Phase::Called;
            self.start(now, attempt);
        }
    }

    /// Stops a run that the controller cancelled, or whose request it failed during the downstream call, and reports
    /// the end of the run to the controller.
    fn abort_run(&mut self, now: u64, attempt: u32, outcome: Outcome) {
        self.stop(now, attempt);
        if let Policy::Admission(admission) = &mut self.policy {
            let Admission { controller, host } = &mut **admission;
            if let Some(ix) = host.index.get(&attempt).copied() {
                controller.on_run_finished(Duration::from_nanos(now), host, ix, outcome);
            }
        }
    }

    /// Starts queued attempts of a plain node while it has capacity.
    fn start_queued(&mut self, now: u64) {
        let Policy::Plain { max_runs, .. } = self.policy else {
            return;
        };
        while self.machine.running() < max_runs {
            let Some(attempt) = self.queue.pop_front() else {
                return;
            };
            self.start(now, attempt);
        }
    }

    /// Executes the controller's commands until there are none.
    fn execute_commands(&mut self, now: u64) {
        loop {
            let Policy::Admission(admission) = &mut self.policy else {
                return;
            };
            let commands = std::mem::take(&mut admission.host.commands);
            if commands.is_empty() {
                return;
            }
            for command in commands {
                match command {
                    Command::Run(attempt) => self.start(now, attempt),
                    Command::Cancel(attempt) => {
                        // An exclusive run is never cut short: its progress would be unknown.
                        if self
                            .accepted
                            .get(&attempt)
                            .is_some_and(|accepted| !accepted.task.exclusive)
                        {
                            self.abort_run(now, attempt, Outcome::Cancelled);
                        }
                    }
                    Command::Call(attempt, deadline) => {
                        self.events
                            .push(NodeEvent::CallStarted(attempt, deadline.as_nanos() as u64));
                    }
                    Command::ReplyDegraded(attempt) => {
                        self.events.push(NodeEvent::CallAbandoned(attempt));
                        self.continue_run(now, attempt);
                    }
                    Command::Reject(attempt, retry_after, discouraged) => {
                        self.events
                            .push(NodeEvent::Rejected(attempt, retry_after, discouraged));
                    }
                    Command::Fail(attempt) => {
                        self.events.push(NodeEvent::Failed(attempt));
                        // A run whose request has ended stops at its downstream call.
                        if self
                            .accepted
                            .get(&attempt)
                            .is_some_and(|accepted| accepted.phase == Phase::InCall)
                        {
                            self.events.push(NodeEvent::CallAbandoned(attempt));
                            self.abort_run(now, attempt, Outcome::Disconnected);
                        }
                    }
                    Command::Release(attempt) => {
                        // An exclusive run continues although its request has ended.
                        let stops = self
                            .accepted
                            .get(&attempt)
                            .is_some_and(|accepted| !accepted.running || !accepted.task.exclusive);
                        if stops {
                            self.stop(now, attempt);
                            self.accepted.remove(&attempt);
                        }
                    }
                }
            }
        }
    }
}
