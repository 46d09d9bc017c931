//! A node on its machine. It is handed tries by small numbers and says what becomes of them; when its next event is
//! due is for the world to ask.
//!
//! Invariant: each try that was taken is in exactly one place (held, running, failing) until it is told of, given up by
//! its caller, or gone with the machine.

use crate::machine::Machine;
use crate::plan::{NodeKind, NodePlan, TypePlan};
use foldhash::{HashMap, HashMapExt};
use rainstand::{
    AdmissionController as Decides, AdvertiserOptions, Arrival, ClientConnections, Components,
    ConcurrencyLimiter, DownstreamLimiter, Gauges, Host, InFlightRequests, LoadAdvertiser,
    LoadSignal, Outcome, Rejection, Repeatability, RetryElsewhere, TenantQuotas,
};
use rainstand_invariants::Kind;
use std::collections::VecDeque;
use std::time::Duration;

/// Told by a plain node whose hold is full: about what it takes to run what it holds.
const PAUSE: Duration = Duration::from_millis(200);
/// Memory of a node of the project's kind, and what it books for a ticket: enough for its hold.
const MEMORY_KB: f64 = 64_000.0;
const ENTRY_KB: f64 = 2.0;

/// A try as a node sees it.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// The world's number for it.
    pub number: u32,
    pub traffic: u16,
    /// None for one that the configuration does not know.
    pub tenant: Option<u16>,
    /// Core time, ns.
    pub work: u64,
    pub again: bool,
    pub came: u64,
    pub exclusive: bool,
    /// Half way through it calls the tier below, and waits off the cores.
    pub calls: bool,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Before,
    AtCall,
    After,
}

/// What becomes of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// Its run begins now.
    Runs(u32),
    Done(u32),
    /// It ran and failed, or was given up.
    Failed(u32),
    Dismissed(u32, Duration, bool),
    /// Its call is to be made now, and given up at this time, ns.
    Calls(u32, u64),
    /// It goes on without its call.
    Forgoes(u32),
}

enum Mind {
    Plain { at_once: usize, hold: usize },
    Ours(Box<Ours>),
}

/// The project's decisions and the books that carry out its orders.
struct Ours {
    node: Decides,
    desk: Desk,
}

#[derive(Default)]
struct Desk {
    /// The try at each of the module's indices.
    tries: Vec<Option<u32>>,
    free: Vec<usize>,
    index: HashMap<u32, usize>,
    orders: Vec<Order>,
    wake: Option<u64>,
    now: u64,
}

enum Order {
    Run(u32),
    TakeOff(u32),
    Dismiss(u32, Duration, bool),
    GiveUp(u32),
    Call(u32, Duration),
    Poorer(u32),
    /// The module has no more to say of it.
    Over(u32),
}

impl Desk {
    fn order(&mut self, ix: usize, order: impl FnOnce(u32) -> Order) {
        if let Some(number) = self.tries.get(ix).copied().flatten() {
            self.orders.push(order(number));
        }
    }
}

impl Host for Desk {
    fn run(&mut self, ix: usize) {
        self.order(ix, Order::Run);
    }
    fn cancel_run(&mut self, ix: usize) {
        self.order(ix, Order::TakeOff);
    }
    // Tickets here carry no name of what they are about, so none is a repeat of another.
    fn reply_from_cache(&mut self, _: usize) {}
    fn cache_result(&mut self, _: usize, _: Duration) {}
    fn discard_result(&mut self, _: usize) {}
    fn reject(&mut self, ix: usize, rejection: Rejection) {
        let terminal = rejection.retry_elsewhere == RetryElsewhere::Discouraged;
        self.order(ix, |number| {
            Order::Dismiss(number, rejection.retry_after, terminal)
        });
    }
    fn fail(&mut self, ix: usize) {
        self.order(ix, Order::GiveUp);
    }
    fn call_downstream(&mut self, ix: usize, deadline: Duration) {
        self.order(ix, |number| Order::Call(number, deadline));
    }
    fn reply_degraded(&mut self, ix: usize) {
        self.order(ix, Order::Poorer);
    }
    // Callers hear no value beside answers.
    fn advertise_load(&mut self, _: f64) {}
    fn set_health(&mut self, _: bool) {}
    fn close_idle_after(&mut self, _: Duration) {}
    fn wake(&mut self, span: Duration) {
        let at = self.now + span.as_nanos() as u64;
        self.wake = Some(self.wake.map_or(at, |before| before.min(at)));
    }
    fn release(&mut self, ix: usize) {
        if let Some(number) = self.tries.get_mut(ix).and_then(Option::take) {
            self.index.remove(&number);
            self.orders.push(Order::Over(number));
            self.free.push(ix);
        }
    }
}

/// A task that was taken, and where it is.
struct Taken {
    task: Task,
    running: bool,
    /// It began: it had its effect.
    begun: bool,
    phase: Phase,
}

/// See the module's head.
pub struct Node {
    machine: Machine,
    mind: Mind,
    taken: HashMap<u32, Taken>,
    held: VecDeque<u32>,
    /// Runs of the machine by their number there, and back.
    runs: Vec<Option<u32>>,
    free: Vec<u32>,
    by_try: HashMap<u32, u32>,
    said: Vec<Said>,
    cold: Option<(u64, f64)>,
    /// Until when it is cold.
    cold_until: u64,
    /// What a fault makes of its speed.
    fault: f64,
    pub drains: bool,
}

fn ours(
    plan: &NodePlan,
    types: &[TypePlan],
    shares: &[f64],
    rate: f64,
    seed: u64,
    cold: Option<rainstand::ColdStart>,
) -> Box<Ours> {
    let kinds = types.iter().map(|one| rainstand::RequestClass {
        latency_objective: one.goal,
        deadline: one.outer_limit,
        value: 1.0,
        late_share: 0.2,
        degraded_share: one.poorer,
        repeatability: match one.kind {
            Kind::Rerunnable => Repeatability::Idempotent,
            Kind::Ticketed => Repeatability::IdempotentWithKey(one.outer_limit),
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
    Box::new(Ours {
        node: Decides::new(kinds.collect(), false, components),
        desk: Desk::default(),
    })
}

impl Node {
    /// `shares`: of the tenants, `rate`: tickets a second of the whole fleet.
    pub fn new(
        plan: &NodePlan,
        types: &[TypePlan],
        shares: &[f64],
        rate: f64,
        seed: u64,
        now: u64,
        cold: bool,
    ) -> Self {
        let mind = match plan.kind {
            NodeKind::Plain { at_once, hold } => Mind::Plain {
                at_once: at_once.max(1) as usize,
                hold: hold as usize,
            },
            NodeKind::Ours => {
                let cold = cold.then(|| plan.cold_start(now)).flatten();
                Mind::Ours(ours(plan, types, shares, rate, seed, cold))
            }
        };
        let slow = plan
            .cold
            .map(|(span, slower)| (span.as_nanos() as u64, slower.max(1.0)));
        let mut node = Self {
            machine: Machine::new(plan.cores, plan.crowding),
            mind,
            taken: HashMap::new(),
            held: VecDeque::new(),
            runs: Vec::new(),
            free: Vec::new(),
            by_try: HashMap::new(),
            said: Vec::new(),
            cold: slow,
            cold_until: if cold {
                now + slow.map_or(0, |(span, _)| span)
            } else {
                0
            },
            fault: 1.0,
            drains: false,
        };
        node.set_pace(now);
        if let Mind::Ours(ours) = &mut node.mind {
            ours.desk.now = now;
            ours.node.begin(Duration::from_nanos(now), &mut ours.desk);
        }
        node
    }

    fn set_pace(&mut self, now: u64) {
        let cold = self
            .cold
            .filter(|_| now < self.cold_until)
            .map_or(1.0, |(_, slower)| 1.0 / slower);
        self.machine.set_speed(now, self.fault * cold);
    }

    /// What its cores do against usual ones, while a fault lasts.
    pub fn set_fault(&mut self, now: u64, speed: f64) {
        self.fault = speed;
        self.set_pace(now);
    }

    pub fn set_taken(&mut self, now: u64, cores: f64) {
        self.machine.set_taken(now, cores);
    }

    pub fn used_ms(&mut self, now: u64) -> u64 {
        (self.machine.used(now) / 1e6) as u64
    }

    /// Tries that are in it, in order of their numbers: the map's order is nobody's.
    pub fn inside(&self) -> Vec<u32> {
        let mut all: Vec<u32> = self.taken.keys().copied().collect();
        all.sort_unstable();
        all
    }

    pub fn is_empty(&self) -> bool {
        self.taken.is_empty()
    }

    /// When something is due here next.
    pub fn due(&mut self, now: u64) -> Option<u64> {
        let warm = (self.cold_until > now).then_some(self.cold_until);
        let wake = match &self.mind {
            Mind::Ours(ours) => ours.desk.wake,
            Mind::Plain { .. } => None,
        };
        [self.machine.next_end(), warm, wake]
            .into_iter()
            .flatten()
            .min()
    }

    /// What became of tries since the last time it was asked.
    pub fn said(&mut self) -> std::vec::Drain<'_, Said> {
        self.said.drain(..)
    }

    fn start(&mut self, now: u64, number: u32) {
        let Some(taken) = self.taken.get_mut(&number).filter(|taken| !taken.running) else {
            return;
        };
        taken.running = true;
        let begins = !std::mem::replace(&mut taken.begun, true);
        let (work, half) = (taken.task.work, taken.task.work / 2);
        let work = match (taken.task.calls, taken.phase) {
            (false, _) => work,
            (true, Phase::Before) => half,
            (true, _) => work - half,
        };
        let run = self.free.pop().unwrap_or(self.runs.len() as u32);
        if run as usize == self.runs.len() {
            self.runs.push(None);
        }
        self.runs[run as usize] = Some(number);
        self.by_try.insert(number, run);
        self.machine.start(now, run, work);
        if begins {
            self.said.push(Said::Runs(number));
        }
    }

    /// Takes a run off the machine; the try stays.
    fn stop(&mut self, now: u64, number: u32) {
        if let Some(run) = self.by_try.remove(&number) {
            self.machine.stop(now, run);
            self.runs[run as usize] = None;
            self.free.push(run);
        }
        if let Some(taken) = self.taken.get_mut(&number) {
            taken.running = false;
        }
    }

    /// A try arrives.
    pub fn arrives(&mut self, now: u64, task: Task) {
        let number = task.number;
        let room = match &self.mind {
            _ if self.drains => false,
            Mind::Plain { at_once, hold } => {
                self.machine.running() < *at_once || self.held.len() < *hold
            }
            Mind::Ours(_) => true,
        };
        if !room {
            self.said.push(Said::Dismissed(number, PAUSE, false));
            return;
        }
        self.taken.insert(
            number,
            Taken {
                task,
                running: false,
                begun: false,
                phase: Phase::Before,
            },
        );
        match &mut self.mind {
            Mind::Plain { at_once, .. } => {
                if self.machine.running() < *at_once {
                    self.start(now, number);
                } else {
                    self.held.push_back(number);
                }
            }
            Mind::Ours(ours) => {
                let Ours { node, desk } = &mut **ours;
                desk.now = now;
                let ix = desk.free.pop().unwrap_or(desk.tries.len());
                if ix == desk.tries.len() {
                    desk.tries.push(None);
                }
                desk.tries[ix] = Some(number);
                desk.index.insert(number, ix);
                let arrival = Arrival {
                    class: usize::from(task.traffic),
                    tenant: task.tenant.map(usize::from),
                    waited: Duration::from_nanos(now - task.came),
                    held_kb: ENTRY_KB,
                    is_retry: task.again,
                    ..Arrival::default()
                };
                node.on_arrival(Duration::from_nanos(now), desk, ix, &arrival);
                self.carry_out(now);
            }
        }
    }

    /// Its caller does not wait for a try any more.
    pub fn left(&mut self, now: u64, number: u32) {
        let Some(taken) = self.taken.get(&number) else {
            return;
        };
        let (running, exclusive) = (taken.running, taken.task.exclusive);
        match &mut self.mind {
            Mind::Plain { .. } => {
                // What must not run twice runs to its end: nobody could say how far it came.
                if running && exclusive {
                    return;
                }
                if running {
                    self.stop(now, number);
                } else {
                    self.held.retain(|held| *held != number);
                }
                self.taken.remove(&number);
                self.fill(now);
            }
            Mind::Ours(ours) => {
                let Ours { node, desk } = &mut **ours;
                desk.now = now;
                if let Some(ix) = desk.index.get(&number).copied() {
                    node.on_caller_gone(Duration::from_nanos(now), desk, ix);
                }
                self.carry_out(now);
            }
        }
    }

    /// Something may be due.
    pub fn look(&mut self, now: u64) {
        if self.cold_until > 0 && now >= self.cold_until {
            self.cold_until = 0;
            self.set_pace(now);
        }
        while let Some(run) = self.machine.ended(now) {
            let Some(number) = self.runs[run as usize].take() else {
                continue;
            };
            self.free.push(run);
            self.by_try.remove(&number);
            self.done(now, number);
        }
        let busy = self.machine.busy();
        let running = self.machine.running() as f64;
        if let Mind::Ours(ours) = &mut self.mind {
            let Ours { node, desk } = &mut **ours;
            if desk.wake.is_some_and(|at| at <= now) {
                desk.wake = None;
                desk.now = now;
                let gauges = Gauges {
                    cores_busy: Some(busy),
                    runnable: Some(running),
                    ..Gauges::default()
                };
                node.on_tick(Duration::from_nanos(now), desk, gauges);
                self.carry_out(now);
            }
        }
    }

    /// A part of a run is done: it is at its call, or over.
    fn done(&mut self, now: u64, number: u32) {
        if let Some(taken) = self.taken.get_mut(&number) {
            taken.running = false;
            if taken.task.calls && taken.phase == Phase::Before {
                taken.phase = Phase::AtCall;
                return self.at_call(now, number);
            }
        }
        match &mut self.mind {
            Mind::Plain { .. } => {
                self.taken.remove(&number);
                self.said.push(Said::Done(number));
                self.fill(now);
            }
            Mind::Ours(ours) => {
                let Ours { node, desk } = &mut **ours;
                desk.now = now;
                self.said.push(Said::Done(number));
                match desk.index.get(&number).copied() {
                    Some(ix) => node.on_run_finished(
                        Duration::from_nanos(now),
                        desk,
                        ix,
                        Outcome::Succeeded,
                    ),
                    None => drop(self.taken.remove(&number)),
                }
                self.carry_out(now);
            }
        }
    }

    fn at_call(&mut self, now: u64, number: u32) {
        match &mut self.mind {
            Mind::Plain { .. } => {
                self.said.push(Said::Calls(number, u64::MAX));
                self.fill(now);
            }
            Mind::Ours(ours) => {
                let Ours { node, desk } = &mut **ours;
                desk.now = now;
                match desk.index.get(&number).copied() {
                    Some(ix) => node.on_downstream_call(Duration::from_nanos(now), desk, ix),
                    // Its ticket is over: so is the run, at its call.
                    None => drop(self.taken.remove(&number)),
                }
                self.carry_out(now);
            }
        }
    }

    /// What came of a call that it made.
    pub fn call_back(&mut self, now: u64, number: u32, outcome: Outcome) {
        let Some(taken) = self
            .taken
            .get_mut(&number)
            .filter(|taken| taken.phase == Phase::AtCall)
        else {
            return;
        };
        match &mut self.mind {
            Mind::Plain { .. } => {
                if outcome == Outcome::Succeeded {
                    taken.phase = Phase::After;
                    self.start(now, number);
                } else {
                    self.taken.remove(&number);
                    self.said.push(Said::Failed(number));
                }
            }
            Mind::Ours(ours) => {
                let Ours { node, desk } = &mut **ours;
                desk.now = now;
                if let Some(ix) = desk.index.get(&number).copied() {
                    node.on_call_finished(Duration::from_nanos(now), desk, ix, outcome);
                }
                let goes_on = outcome == Outcome::Succeeded && desk.index.contains_key(&number);
                if goes_on {
                    self.go_on(now, number);
                }
                self.carry_out(now);
            }
        }
    }

    /// A run leaves its call behind, with its reply or without.
    fn go_on(&mut self, now: u64, number: u32) {
        if let Some(taken) = self
            .taken
            .get_mut(&number)
            .filter(|taken| taken.phase == Phase::AtCall)
        {
            taken.phase = Phase::After;
            self.start(now, number);
        }
    }

    /// The module hears that a run is over that it took off, or whose ticket it gave up at its call.
    fn cut(&mut self, now: u64, number: u32, outcome: Outcome) {
        self.stop(now, number);
        if let Mind::Ours(ours) = &mut self.mind {
            let Ours { node, desk } = &mut **ours;
            if let Some(ix) = desk.index.get(&number).copied() {
                node.on_run_finished(Duration::from_nanos(now), desk, ix, outcome);
            }
        }
    }

    /// A plain node takes up what it holds.
    fn fill(&mut self, now: u64) {
        let Mind::Plain { at_once, .. } = self.mind else {
            return;
        };
        while self.machine.running() < at_once {
            let Some(number) = self.held.pop_front() else {
                return;
            };
            self.start(now, number);
        }
    }

    /// The module's orders, until it has none.
    fn carry_out(&mut self, now: u64) {
        loop {
            let Mind::Ours(ours) = &mut self.mind else {
                return;
            };
            let orders = std::mem::take(&mut ours.desk.orders);
            if orders.is_empty() {
                return;
            }
            for order in orders {
                match order {
                    Order::Run(number) => self.start(now, number),
                    Order::TakeOff(number) => {
                        // What must not run twice runs to its end: nobody could say how far it came.
                        if self
                            .taken
                            .get(&number)
                            .is_some_and(|one| !one.task.exclusive)
                        {
                            self.cut(now, number, Outcome::Cancelled);
                        }
                    }
                    Order::Call(number, until) => {
                        self.said.push(Said::Calls(number, until.as_nanos() as u64));
                    }
                    Order::Poorer(number) => {
                        self.said.push(Said::Forgoes(number));
                        self.go_on(now, number);
                    }
                    Order::Dismiss(number, pause, nowhere) => {
                        self.said.push(Said::Dismissed(number, pause, nowhere));
                    }
                    Order::GiveUp(number) => {
                        self.said.push(Said::Failed(number));
                        // A run whose request is over ends at its call.
                        if self
                            .taken
                            .get(&number)
                            .is_some_and(|one| one.phase == Phase::AtCall)
                        {
                            self.said.push(Said::Forgoes(number));
                            self.cut(now, number, Outcome::Disconnected);
                        }
                    }
                    Order::Over(number) => {
                        // A run whose ticket is over goes on if it must not be cut.
                        let cut = self
                            .taken
                            .get(&number)
                            .is_some_and(|one| !one.running || !one.task.exclusive);
                        if cut {
                            self.stop(now, number);
                            self.taken.remove(&number);
                        }
                    }
                }
            }
        }
    }
}
