//! The run itself: clients send requests, forwarders route them, nodes run them, and faults begin and end.
//!
//! A *job* is a unit of work of a client; a *request* is one call for it (the client's retries and hedged requests are
//! requests of their own, as on the wire); an *attempt* is what a forwarder sends to a node for a request. Invariants
//! are checked per request. All randomness comes from the plan's seed, in three streams (jobs, network, client
//! behaviour), so that plans that differ in a routing decision have the same jobs.
//!
//! Invariants: `requests` holds those without an answer whose caller still waits, and those that a forwarder still
//! holds; an attempt is in `attempts` from when it is sent until its forwarder knows the outcome or the node has
//! ended it.

use crate::machine::Machine;
use crate::measure::{JobEnd, Measured};
use crate::node::{Node, NodeEvent, Task};
use crate::plan::{Bug, Fault, Pick, Plan, Trouble, Whom, Work};
use crate::queue::Queue;
use foldhash::{HashMap, HashMapExt};
use nanorand::{Rng, WyRand};
use rainstand::Outcome;
use rainstand_config::schema::{self, Configuration, Proof, RepeatKind, SplitBy};
use rainstand_config::units::ONE;
use rainstand_invariants::{Answer, InvariantChecker, Kind, Step};
use rainstand_routing::fleet::{AttemptOutcome, Fleet, NextAction, RequestOutcome, RequestState};
use rainstand_routing::member_selection;
use rainstand_routing::retry::INITIAL_RETRIES;
use rainstand_routing::subset::in_rounds;
use rainstand_routing::table::Request as RoutedRequest;
use rainstand_routing::weighted_split::name_hash;
use std::collections::VecDeque;
use std::time::Duration;

/// Interval of a forwarder's ticks, ns.
const TICK_INTERVAL_NS: u64 = 100_000_000;
/// Interval of the checks for requests past their deadline and for the retry budget, ns.
const INVARIANT_CHECK_INTERVAL_NS: u64 = 500_000_000;
/// Timeout of opening a connection across a partition, ns.
const CONNECT_TIMEOUT_NS: u64 = 500_000_000;
/// Minimum retry delay of a client, used if it ignores retry-after or received none, ns.
const MIN_RETRY_DELAY_NS: u64 = 10_000_000;
/// Time that an answer may arrive after the deadline, for the network delay.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Maximum time for requests in flight to end after the last job.
const DRAIN_TIME: Duration = Duration::from_secs(30);
/// Stands for no forwarder, no attempt, or no downstream node.
const NO_ID: u32 = u32::MAX;
/// Window over which the plan's rates are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Capacity share of a node that has just started, relative to a warm one.
const COLD_CAPACITY: f64 = 0.05;

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

enum Event {
    /// The next job arrives; stale if the load has changed since.
    JobArrival(u32),
    /// A request arrives at its forwarder, or at a node if there are no forwarders.
    RequestArrival(u32),
    /// An attempt arrives at its node.
    AttemptArrival(u32),
    /// A node has something to do; stale if its event attempt has changed.
    NodeDue(u32, u32),
    /// The outcome of an attempt arrives at its forwarder, or at its client.
    AttemptEnded(u32, AttemptOutcome),
    /// The timeout of an attempt.
    AttemptTimeout(u32),
    /// The backoff before a retry of a forwarder ends.
    RetryDue(u32),
    /// The answer to a request arrives at its client.
    RequestEnded(u32, RequestOutcome),
    /// A client retries a job.
    ClientRetry(u32),
    /// A client sends a hedged request for a job.
    HedgeDue(u32),
    /// The deadline of a job.
    JobDeadline(u32),
    /// A node learns that the caller of an attempt is gone.
    CallerGone(u32, u32),
    ForwarderTick(u32),
    InvariantCheck,
    LoadChange(u32),
    /// A fault begins (true) or ends.
    Fault(u32, bool),
    /// The next step of a rolling deploy: fault, index into its list of nodes.
    Deploy(u32, u32),
    NodeRestart(u32),
    /// A call arrives downstream; its outcome arrives at the node; its deadline.
    CallArrival(u32),
    CallEnded(u32, Outcome),
    CallTimeout(u32),
    /// A downstream node has something to do; stale if its event attempt has changed.
    DownstreamDue(u32, u32),
}

/// A downstream call in flight.
struct Call {
    /// The attempt that made it, and the node where that runs.
    attempt: u32,
    node: u32,
    /// Core time, ns.
    work: u64,
    /// The downstream node that serves it.
    downstream: u32,
}

/// A downstream node.
struct DownstreamNode {
    machine: Machine,
    queue: VecDeque<u32>,
    alive: bool,
    /// Time of its scheduled event, ns, and the attempt of that event.
    due: u64,
    event_number: u32,
}

struct Job {
    class: u16,
    tenant: u16,
    /// Core time, ns.
    work: u64,
    /// Start time, ns.
    started: u64,
    requests_sent: u32,
    /// Its requests in flight.
    open: Vec<u32>,
    /// One of its requests may have run.
    may_have_run: bool,
    ended: bool,
}

struct Request {
    job: u32,
    forwarder: u32,
    is_retry: bool,
    state: Option<RequestState>,
    /// The attempt in flight.
    attempt: u32,
}

struct Attempt {
    request: u32,
    node: u32,
    is_retry: bool,
    /// Time of sending, then of arrival at the node, ns.
    arrived: u64,
    ran: bool,
    /// Its forwarder or client no longer waits for it.
    ended: bool,
}

struct NodeState {
    process: Node,
    alive: bool,
    /// When it last died, ns.
    died: u64,
    hangs: bool,
    /// Attempts that it received while it hung.
    stuck: Vec<u32>,
    /// It rejects every attempt with this retry-after.
    false_rejection: Option<Duration>,
    /// It fails every attempt after this time, ns.
    fails_after: Option<u64>,
    /// Time of its scheduled event, ns, and the attempt of that event.
    due: u64,
    event_number: u32,
    /// Forwarders that know it, with its member index there.
    known_to: Vec<(u32, u16)>,
    drains: bool,
    /// When it last started, and arrivals within the last second, ns; only until it is warm.
    started: Option<u64>,
    recent_arrivals: VecDeque<u64>,
}

struct Forwarder {
    fleet: Fleet,
    /// Node indices of the members it knows.
    members: Vec<u32>,
    /// How far its clock is ahead, ns.
    clock_offset: u64,
}

struct World<'p> {
    plan: &'p Plan,
    queue: Queue<Event>,
    /// Jobs until their deadline.
    jobs: HashMap<u32, Job>,
    next_job: u32,
    /// Number of jobs that have not ended.
    live_jobs: u64,
    requests: HashMap<u32, Request>,
    next_request: u32,
    attempts: HashMap<u32, Attempt>,
    next_attempt: u32,
    nodes: Vec<NodeState>,
    forwarders: Vec<Forwarder>,
    /// Random streams of jobs, network and client behaviour.
    job_rng: WyRand,
    net_rng: WyRand,
    client_rng: WyRand,
    /// Current rate in jobs per second, and the attempt of rate changes so far.
    rate: f64,
    rate_changes: u32,
    load: f64,
    /// Load factor of each tenant, raised by floods.
    floods: Vec<f64>,
    partitions: u32,
    /// The node that each client used last, if there are no forwarders.
    last_nodes: Vec<u32>,
    /// Nodes affected by each fault.
    affected: Vec<Vec<u32>>,
    checker: InvariantChecker,
    measured: Measured,
    downstream: Vec<DownstreamNode>,
    calls: HashMap<u32, Call>,
    /// The call in flight of each attempt.
    call_of: HashMap<u32, u32>,
    next_call: u32,
    /// Shares of the tenants that are configured.
    shares: Vec<f64>,
    tenant_hashes: Vec<u64>,
}

/// Runs a plan.
///
/// # Errors
/// If the plan is invalid. The violation of an invariant is not an error; it is part of the measurements.
pub fn run(plan: &Plan) -> Result<Measured, String> {
    plan.check()?;
    let mut world = World::new(plan)?;
    world.run_events();
    Ok(world.finish())
}

fn random_unit(rng: &mut WyRand) -> f64 {
    f64::from(rng.generate::<u32>()) / (f64::from(u32::MAX) + 1.0)
}

fn sample_work(work: Work, rng: &mut WyRand) -> u64 {
    let span = match work {
        Work::Fixed(span) => span.as_secs_f64(),
        Work::Between(shortest, longest) => {
            shortest.as_secs_f64() + (longest - shortest).as_secs_f64() * random_unit(rng)
        }
        Work::About(mean) => mean.as_secs_f64() * -(1.0 - random_unit(rng)).ln(),
    };
    (span * 1e9) as u64 + 1
}

/// The configuration of a forwarder that knows these members; `address` gives the address of a node by its index.
pub fn configuration(
    plan: &Plan,
    members: &[u32],
    address: impl Fn(u32) -> String,
) -> Configuration {
    let forwarders = &plan.fronts;
    let repeat = |kind| match kind {
        Kind::Rerunnable => RepeatKind::Rerunnable,
        Kind::Ticketed => RepeatKind::Ticketed,
        Kind::Exclusive => RepeatKind::Exclusive,
    };
    let types = plan.types.iter().map(|class| schema::TrafficType {
        name: class.name.clone(),
        repeat: repeat(class.kind).into(),
        goal_ns: nanos(class.goal),
        outer_limit_ns: nanos(class.outer_limit),
        window_ns: nanos(class.outer_limit),
        benefit: ONE,
        ..schema::TrafficType::default()
    });
    let known = plan.tenants.iter().filter(|tenant| !tenant.stranger);
    let tenants = known.map(|tenant| schema::Tenant {
        name: tenant.name.clone(),
        share: (tenant.share * ONE as f64) as u64,
        ..schema::Tenant::default()
    });
    let member = |node: &u32| schema::Member {
        name: format!("n{node}"),
        address: address(*node),
        zone: format!("hall-{}", node % plan.nodes.halls),
        weight: ONE,
        warm_up_ns: plan.nodes.cold.map_or(0, |(span, _)| nanos(span)),
    };
    let attempts = |name: &str, proof: Proof| schema::Attempts {
        name: name.into(),
        tries: u64::from(forwarders.tries.max(1)),
        budget: (forwarders.budget * ONE as f64) as u64,
        wait_least_ns: nanos(forwarders.wait.0),
        wait_most_ns: nanos(forwarders.wait.1),
        proof: proof.into(),
    };
    let route = |name: &str, kind: Option<Kind>, attempts: &str| schema::Route {
        name: name.into(),
        r#match: kind.map(|kind| schema::Match {
            types: plan
                .types
                .iter()
                .filter(|class| class.kind == kind)
                .map(|class| class.name.clone())
                .collect(),
            ..schema::Match::default()
        }),
        to: vec![schema::Target {
            pool: "nodes".into(),
            share: ONE,
        }],
        split_by: SplitBy::Chance.into(),
        attempts: attempts.into(),
        ..schema::Route::default()
    };
    let mut routes = Vec::new();
    for (name, kind, attempts) in [
        ("exclusive", Kind::Exclusive, "proved"),
        ("ticketed", Kind::Ticketed, "marked"),
    ] {
        if plan.types.iter().any(|class| class.kind == kind) {
            routes.push(route(name, Some(kind), attempts));
        }
    }
    routes.push(route("rest", None, "any"));
    let health = forwarders.keep.map(|keep| schema::Health {
        name: "usual".into(),
        out_after: 5,
        out_share: ONE / 2,
        slow: 3 * ONE,
        silent_ns: 2_000_000_000,
        back_least_ns: 1_000_000_000,
        back_most_ns: 30_000_000_000,
        back_share: ONE / 10,
        keep: (keep * ONE as f64) as u64,
    });
    let pool = schema::Pool {
        name: "nodes".into(),
        members: members.iter().map(member).collect(),
        health: health
            .as_ref()
            .map_or(String::new(), |health| health.name.clone()),
        limits: if forwarders.at_once > 0 {
            "toward".into()
        } else {
            String::new()
        },
        warm_rate: (forwarders.warm_rate > 0).then(|| schema::Rate {
            micro_tickets: forwarders.warm_rate * ONE,
            per_ns: nanos(RATE_WINDOW),
        }),
        senders: u64::from(forwarders.count),
        ..schema::Pool::default()
    };
    let member_limits = schema::Limits {
        name: "toward".into(),
        at_once: forwarders.at_once,
        ..schema::Limits::default()
    };
    Configuration {
        version: schema::VERSION,
        types: types.collect(),
        tenants: tenants.collect(),
        pools: vec![pool],
        limits: if forwarders.at_once > 0 {
            vec![member_limits]
        } else {
            Vec::new()
        },
        attempts: vec![
            attempts("any", Proof::None),
            attempts("marked", Proof::Mark),
            attempts("proved", Proof::NotRun),
        ],
        health: health.into_iter().collect(),
        routes,
        ..Configuration::default()
    }
}

fn downstream_node(plan: &Plan) -> DownstreamNode {
    let cores = plan.below.map_or(1, |below| below.at_once);
    DownstreamNode {
        machine: Machine::new(cores, 0.0),
        queue: VecDeque::new(),
        alive: true,
        due: u64::MAX,
        event_number: 0,
    }
}

/// The nodes affected by each fault, chosen before the run starts.
pub fn meets(plan: &Plan) -> Vec<Vec<u32>> {
    let count = plan.nodes.count;
    let mut rng = WyRand::new_seed(plan.seed ^ 0x6661_756c);
    let affected_nodes = |fault: &Fault| {
        let mut all: Vec<u32> = (0..count).collect();
        let mut affected = match fault.whom {
            Whom::Share(share) => {
                rng.shuffle(&mut all);
                all.truncate((f64::from(count) * share).round() as usize);
                all
            }
            Whom::First(first) => (0..first.min(count)).collect(),
            Whom::Hall(hall) => all
                .into_iter()
                .filter(|node| node % plan.nodes.halls == hall)
                .collect(),
        };
        affected.sort_unstable();
        affected
    };
    plan.faults.iter().map(affected_nodes).collect()
}

fn address(node: u32) -> String {
    format!(
        "10.{}.{}.{}:5050",
        node >> 16,
        (node >> 8) & 255,
        node & 255
    )
}

impl<'p> World<'p> {
    fn new(plan: &'p Plan) -> Result<Self, String> {
        let shares: Vec<f64> = plan
            .tenants
            .iter()
            .filter(|tenant| !tenant.stranger)
            .map(|tenant| tenant.share)
            .collect();
        let count = plan.nodes.count;
        let capacity = plan.whole_rate();
        let new_node = |index: u32| NodeState {
            process: Node::new(
                &plan.nodes,
                &plan.types,
                &shares,
                capacity,
                plan.seed ^ u64::from(index),
                0,
                false,
            ),
            alive: true,
            died: 0,
            hangs: false,
            stuck: Vec::new(),
            false_rejection: None,
            fails_after: None,
            due: u64::MAX,
            event_number: 0,
            known_to: Vec::new(),
            drains: false,
            started: None,
            recent_arrivals: VecDeque::new(),
        };
        let mut nodes: Vec<NodeState> = (0..count).map(new_node).collect();
        let mut forwarders = Vec::new();
        for forwarder in 0..plan.fronts.count {
            let know = plan.fronts.know as usize;
            let members: Vec<u32> = in_rounds(count as usize, know, forwarder as usize, plan.seed)
                .into_iter()
                .map(|node| node as u32)
                .collect();
            let configuration = configuration(plan, &members, address);
            let zone = format!("hall-{}", forwarder % plan.nodes.halls);
            let zone = if plan.nodes.halls > 1 { &*zone } else { "" };
            let seed = plan
                .seed
                .wrapping_mul(31)
                .wrapping_add(u64::from(forwarder));
            let mut fleet = Fleet::new(&configuration, zone, seed, Duration::ZERO)
                .map_err(|e| e.to_string())?;
            fleet.set_selection_policy(match plan.fronts.pick {
                Pick::TwoChoices => member_selection::SelectionPolicy::TwoChoices,
                Pick::LeastKnown => member_selection::SelectionPolicy::LeastLoaded,
                Pick::InTurn => member_selection::SelectionPolicy::RoundRobin(forwarder),
            });
            for (member, node) in members.iter().enumerate() {
                nodes[*node as usize]
                    .known_to
                    .push((forwarder, member as u16));
                fleet.on_connected(&address(*node), Duration::ZERO, Duration::ZERO);
            }
            forwarders.push(Forwarder {
                fleet,
                members,
                clock_offset: 0,
            });
        }
        let max_deadline = plan
            .types
            .iter()
            .map(|class| class.outer_limit)
            .max()
            .unwrap_or_default();
        let mut world = Self {
            plan,
            queue: Queue::default(),
            jobs: HashMap::new(),
            next_job: 0,
            live_jobs: 0,
            requests: HashMap::new(),
            next_request: 0,
            attempts: HashMap::new(),
            next_attempt: 0,
            nodes,
            forwarders,
            job_rng: WyRand::new_seed(plan.seed),
            net_rng: WyRand::new_seed(plan.seed ^ 0x6e65_7477),
            client_rng: WyRand::new_seed(plan.seed ^ 0x6861_6269),
            rate: 0.0,
            rate_changes: 0,
            load: 0.0,
            floods: vec![1.0; plan.tenants.len()],
            partitions: 0,
            last_nodes: (0..plan.dispatchers).collect(),
            affected: meets(plan),
            // A run may start as late as the end of the longest hang; nothing refers to its request after that.
            checker: InvariantChecker::with_retention(max_deadline * 2),
            measured: Measured::new(
                plan.seed,
                plan.types.len(),
                plan.tenants.len(),
                count as usize,
            ),
            downstream: (0..plan.below.map_or(0, |below| below.count))
                .map(|_| downstream_node(plan))
                .collect(),
            calls: HashMap::new(),
            call_of: HashMap::new(),
            next_call: 0,
            shares,
            tenant_hashes: plan
                .tenants
                .iter()
                .map(|tenant| name_hash(&tenant.name))
                .collect(),
        };
        for node in 0..count {
            world.schedule_node(node);
        }
        for forwarder in 0..plan.fronts.count {
            // Ticks are spread so that they do not coincide.
            world.queue.push_at(
                TICK_INTERVAL_NS * u64::from(forwarder) / u64::from(plan.fronts.count),
                Event::ForwarderTick(forwarder),
            );
        }
        world
            .queue
            .push_at(INVARIANT_CHECK_INTERVAL_NS, Event::InvariantCheck);
        for (k, (at, _)) in plan.load.iter().enumerate() {
            world.queue.push_at(nanos(*at), Event::LoadChange(k as u32));
        }
        for (k, fault) in plan.faults.iter().enumerate() {
            world
                .queue
                .push_at(nanos(fault.from), Event::Fault(k as u32, true));
            world
                .queue
                .push_at(nanos(fault.to), Event::Fault(k as u32, false));
        }
        Ok(world)
    }

    fn run_events(&mut self) {
        let end = nanos(self.plan.lasts + DRAIN_TIME);
        while let Some(event) = self.queue.pop_before(end) {
            self.measured.events += 1;
            self.measured.max_queued_events =
                self.measured.max_queued_events.max(self.queue.len() as u64);
            self.measured.max_requests = self.measured.max_requests.max(self.requests.len() as u64);
            let finished = self.queue.now() > nanos(self.plan.lasts)
                && self.requests.is_empty()
                && self.live_jobs == 0;
            if finished || self.measured.broken.is_some() {
                break;
            }
            self.handle_event(event);
        }
    }

    fn finish(mut self) -> Measured {
        let now = self.queue.now();
        if self.plan.check && self.measured.broken.is_none() {
            self.measured.broken = self.checker.finish(Duration::from_nanos(now)).err();
        }
        for (index, state) in self.nodes.iter_mut().enumerate() {
            self.measured.node_busy_ms[index] += state.process.used_ms(now);
        }
        for forwarder in &self.forwarders {
            let counts = forwarder.fleet.counts();
            self.measured.first_attempts += counts.first_attempts;
            self.measured.retries += counts.retries;
        }
        // Jobs that have not ended when the run ends.
        for job in self.jobs.values().filter(|job| !job.ended) {
            self.measured.by_type[usize::from(job.class)].record_end(JobEnd::Failed);
            self.measured.by_tenant[usize::from(job.tenant)].record_end(JobEnd::Failed);
            self.measured
                .second(job.started)
                .jobs
                .record_end(JobEnd::Failed);
        }
        self.measured
    }

    /// Reports a step of a request to the invariant checker.
    fn record_step(&mut self, request: u32, step: Step) {
        if self.plan.check {
            let at = Duration::from_nanos(self.queue.now());
            if let Err(broken) = self.checker.record(at, u64::from(request), step) {
                self.measured.broken.get_or_insert(broken);
            }
        }
    }

    /// One-way delay between two zones, ns; none across a partition.
    fn network_delay(&mut self, from: u32, to: u32) -> Option<u64> {
        let net = &self.plan.net;
        let (min, max) = net.delay;
        let mut span =
            min.as_secs_f64() + (max - min).as_secs_f64() * random_unit(&mut self.net_rng);
        if from != to {
            if self.partitions > 0 {
                return None;
            }
            span += net.far.as_secs_f64();
        }
        Some((span * 1e9) as u64)
    }

    fn zone_of_node(&self, node: u32) -> u32 {
        node % self.plan.nodes.halls
    }

    /// Zone of the sender of a request: its forwarder's, or its client's.
    fn sender_zone(&self, request: &Request) -> u32 {
        let client = request.job % self.plan.dispatchers;
        let sender = if request.forwarder == NO_ID {
            client
        } else {
            request.forwarder
        };
        sender % self.plan.nodes.halls
    }

    /// Schedules a node's next event if its time has changed.
    fn schedule_node(&mut self, node: u32) {
        let now = self.queue.now();
        let state = &mut self.nodes[node as usize];
        let due = if state.alive {
            state.process.next_event(now).unwrap_or(u64::MAX)
        } else {
            u64::MAX
        };
        if due != state.due {
            state.due = due;
            state.event_number = state.event_number.wrapping_add(1);
            if due < u64::MAX {
                self.queue
                    .push_at(due, Event::NodeDue(node, state.event_number));
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.queue.now();
        match event {
            Event::JobArrival(change) if change == self.rate_changes => self.start_job(now),
            Event::JobArrival(_) => {}
            Event::RequestArrival(request) => self.request_arrives(now, request),
            Event::AttemptArrival(attempt) => self.attempt_arrives(now, attempt),
            Event::NodeDue(node, event_number) => {
                let state = &mut self.nodes[node as usize];
                if state.alive && state.event_number == event_number {
                    state.due = u64::MAX;
                    state.process.on_due(now);
                    self.handle_node_events(node);
                }
            }
            Event::AttemptEnded(attempt, outcome) => self.attempt_ended(now, attempt, outcome),
            Event::AttemptTimeout(attempt) => {
                if self.attempts.get(&attempt).is_some_and(|sent| !sent.ended) {
                    self.notify_caller_gone(attempt);
                    self.attempt_ended(now, attempt, AttemptOutcome::TimedOut);
                }
            }
            Event::RetryDue(request) => {
                let request_state = self
                    .requests
                    .get_mut(&request)
                    .and_then(|known| known.state.take());
                if let Some(request_state) = request_state {
                    let forwarder = self.requests[&request].forwarder;
                    let at = self.forwarder_clock(forwarder);
                    let action = self.forwarders[forwarder as usize]
                        .fleet
                        .on_retry_due(at, request_state);
                    self.execute_action(now, request, action);
                }
            }
            Event::RequestEnded(request, outcome) => self.request_ended(now, request, outcome),
            Event::ClientRetry(job) => {
                if self.jobs.get(&job).is_some_and(|known| !known.ended) {
                    self.send_request(now, job, true);
                }
            }
            Event::HedgeDue(job) => {
                let limit = self.plan.habits.tries;
                let may_hedge =
                    |job: &Job| !job.ended && !job.open.is_empty() && job.requests_sent < limit;
                if self.jobs.get(&job).is_some_and(may_hedge) {
                    self.send_request(now, job, true);
                }
            }
            Event::JobDeadline(job) => self.job_deadline(job),
            Event::CallerGone(node, attempt) => {
                let state = &mut self.nodes[node as usize];
                if state.alive && !state.hangs {
                    state.process.on_caller_gone(now, attempt);
                    self.handle_node_events(node);
                }
                // An attempt that was cancelled reports nothing more.
                if self.attempts.get(&attempt).is_some_and(|sent| sent.ended) {
                    self.attempts.remove(&attempt);
                }
            }
            Event::ForwarderTick(forwarder) => {
                let at = self.forwarder_clock(forwarder);
                let _ = self.forwarders[forwarder as usize].fleet.tick(at);
                self.queue
                    .push_after(TICK_INTERVAL_NS, Event::ForwarderTick(forwarder));
            }
            Event::InvariantCheck => {
                if self.plan.check {
                    let at = Duration::from_nanos(now);
                    if let Err(broken) = self.checker.check_deadlines(at) {
                        self.measured.broken.get_or_insert(broken);
                    }
                    for forwarder in &self.forwarders {
                        let counts = forwarder.fleet.counts();
                        let (first_attempts, retries) = (counts.first_attempts, counts.retries);
                        let found = self.checker.check_retry_budget(
                            at,
                            first_attempts,
                            retries,
                            self.plan.fronts.budget,
                            INITIAL_RETRIES,
                        );
                        if let Err(broken) = found {
                            self.measured.broken.get_or_insert(broken);
                        }
                    }
                }
                self.queue
                    .push_after(INVARIANT_CHECK_INTERVAL_NS, Event::InvariantCheck);
            }
            Event::LoadChange(k) => {
                self.load = self.plan.load[k as usize].1;
                self.update_rate();
            }
            Event::Fault(k, begins) => self.apply_fault(now, k, begins),
            Event::Deploy(fault, step) => self.deploy_next(fault, step),
            Event::NodeRestart(node) => self.start_node(now, node),
            Event::CallArrival(call) => self.call_arrives(now, call),
            Event::CallEnded(call, outcome) => {
                let Some(finished) = self.calls.remove(&call) else {
                    return;
                };
                self.call_of.remove(&finished.attempt);
                self.measured.second(now).calls_done += u64::from(outcome == Outcome::Succeeded);
                let state = &mut self.nodes[finished.node as usize];
                if state.alive {
                    state
                        .process
                        .on_call_finished(now, finished.attempt, outcome);
                    self.handle_node_events(finished.node);
                }
            }
            Event::CallTimeout(call) => {
                if self.calls.contains_key(&call) {
                    self.cancel_call(now, call);
                    self.queue
                        .push_after(0, Event::CallEnded(call, Outcome::TimedOut));
                }
            }
            Event::DownstreamDue(index, event_number) => {
                if self.downstream[index as usize].event_number == event_number {
                    self.downstream[index as usize].due = u64::MAX;
                    self.finish_calls(now, index);
                }
            }
        }
    }

    /// Time on a forwarder's clock.
    fn forwarder_clock(&self, forwarder: u32) -> Duration {
        Duration::from_nanos(self.queue.now() + self.forwarders[forwarder as usize].clock_offset)
    }

    /// Recomputes the rate of jobs after a change of load or a flood.
    fn update_rate(&mut self) {
        let total: f64 = self.plan.tenants.iter().map(|tenant| tenant.part).sum();
        let flooded: f64 = self
            .plan
            .tenants
            .iter()
            .zip(&self.floods)
            .map(|(tenant, flood)| tenant.part * flood)
            .sum();
        self.rate = self.load * self.plan.whole_rate() * flooded / total.max(1e-9);
        self.rate_changes += 1;
        self.schedule_next_job();
    }

    fn schedule_next_job(&mut self) {
        if self.rate > 0.0 {
            let gap = -(1.0 - random_unit(&mut self.job_rng)).ln() / self.rate;
            let at = self.queue.now() + (gap * 1e9) as u64;
            if at < nanos(self.plan.lasts) {
                self.queue.push_at(at, Event::JobArrival(self.rate_changes));
            }
        }
    }

    /// Random index, weighted by `weights`.
    fn weighted_choice(rng: &mut WyRand, weights: impl Iterator<Item = f64> + Clone) -> u16 {
        let mut remaining = random_unit(rng) * weights.clone().sum::<f64>();
        let mut chosen = 0;
        for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
            chosen = index;
            if remaining < weight {
                break;
            }
            remaining -= weight;
        }
        chosen as u16
    }

    /// Creates a job, sends its first request and schedules the next job.
    fn start_job(&mut self, now: u64) {
        let plan = self.plan;
        let tenants = plan
            .tenants
            .iter()
            .zip(&self.floods)
            .map(|(tenant, flood)| tenant.part * flood);
        let tenant = Self::weighted_choice(&mut self.job_rng, tenants);
        let class =
            Self::weighted_choice(&mut self.job_rng, plan.types.iter().map(|class| class.part));
        let class_plan = &plan.types[usize::from(class)];
        let work = sample_work(class_plan.work, &mut self.job_rng);
        let job = self.next_job;
        self.next_job += 1;
        self.live_jobs += 1;
        let new_job = Job {
            class,
            tenant,
            work,
            started: now,
            requests_sent: 0,
            open: Vec::new(),
            may_have_run: false,
            ended: false,
        };
        self.jobs.insert(job, new_job);
        self.measured.by_type[usize::from(class)].asked += 1;
        self.measured.by_tenant[usize::from(tenant)].asked += 1;
        self.measured.second(now).jobs.asked += 1;
        self.queue
            .push_after(nanos(class_plan.outer_limit), Event::JobDeadline(job));
        if let Some(delay) = plan
            .habits
            .second_copy
            .filter(|_| class_plan.kind == Kind::Rerunnable)
        {
            self.queue.push_after(nanos(delay), Event::HedgeDue(job));
        }
        self.send_request(now, job, false);
        self.schedule_next_job();
    }

    /// A client sends a request for a job.
    fn send_request(&mut self, now: u64, job: u32, is_retry: bool) {
        let plan = self.plan;
        let request = self.next_request;
        let Some(job_state) = self.jobs.get_mut(&job) else {
            return;
        };
        self.next_request += 1;
        job_state.requests_sent += 1;
        job_state.open.push(request);
        let class = &plan.types[usize::from(job_state.class)];
        let due = Duration::from_nanos(now) + class.outer_limit + ANSWER_GRACE;
        let is_retry = is_retry && plan.habits.marks;
        let forwarder = if self.forwarders.is_empty() {
            NO_ID
        } else {
            (random_unit(&mut self.client_rng) * self.forwarders.len() as f64) as u32
        };
        self.requests.insert(
            request,
            Request {
                job,
                forwarder,
                is_retry,
                state: None,
                attempt: NO_ID,
            },
        );
        self.measured.requests += 1;
        self.record_step(
            request,
            Step::Asked {
                kind: class.kind,
                due,
                front: if forwarder == NO_ID { 0 } else { forwarder },
            },
        );
        let delay = self.network_delay(0, 0).unwrap_or(0);
        self.queue.push_after(delay, Event::RequestArrival(request));
    }

    fn request_arrives(&mut self, now: u64, request: u32) {
        let Some(known) = self.requests.get(&request) else {
            return;
        };
        let (job, forwarder, is_retry) = (known.job, known.forwarder, known.is_retry);
        if forwarder == NO_ID {
            return self.send_round_robin(now, request);
        }
        let Some(job) = self.jobs.get(&job) else {
            return;
        };
        let tenant = &self.plan.tenants[usize::from(job.tenant)];
        let fleet = &mut self.forwarders[forwarder as usize].fleet;
        let routed = RoutedRequest {
            request_class: fleet
                .table()
                .request_class(&self.plan.types[usize::from(job.class)].name)
                .unwrap_or(0),
            tenant: if tenant.stranger {
                None
            } else {
                fleet.table().tenant(&tenant.name)
            },
            tenant_hash: self.tenant_hashes[usize::from(job.tenant)],
            is_retry,
            ..RoutedRequest::default()
        };
        let at = Duration::from_nanos(now + self.forwarders[forwarder as usize].clock_offset);
        let action = self.forwarders[forwarder as usize]
            .fleet
            .on_arrival(at, &routed);
        self.execute_action(now, request, action);
    }

    /// Sends a request directly to the next node of the client's list, if there are no forwarders.
    fn send_round_robin(&mut self, now: u64, request: u32) {
        let count = self.plan.nodes.count;
        let (is_retry, job) = (
            self.requests[&request].is_retry,
            self.requests[&request].job,
        );
        let list_lag = nanos(self.plan.habits.late_list);
        // The list lags, so it still has nodes that died recently; if it is empty, the next node is used anyway.
        let is_listed = |state: &NodeState| state.alive || now - state.died <= list_lag;
        let last = &mut self.last_nodes[(job % self.plan.dispatchers) as usize];
        let next = (1..=count).map(|k| (*last + k) % count);
        let first = (*last + 1) % count;
        *last = next
            .into_iter()
            .find(|k| is_listed(&self.nodes[*k as usize]))
            .unwrap_or(first);
        let node = *last;
        self.send_attempt(now, request, node, is_retry);
    }

    /// Executes the next action of a forwarder.
    fn execute_action(&mut self, now: u64, request: u32, action: NextAction) {
        match action {
            NextAction::Dispatch(state, send) => {
                let Some(known) = self.requests.get_mut(&request) else {
                    return;
                };
                known.state = Some(state);
                let node =
                    self.forwarders[known.forwarder as usize].members[usize::from(send.to.member)];
                let attempt = self.send_attempt(now, request, node, send.is_retry);
                self.queue
                    .push_after(nanos(send.timeout), Event::AttemptTimeout(attempt));
            }
            NextAction::Backoff(state, wait) => {
                if let Some(waiting) = self.requests.get_mut(&request) {
                    (waiting.state, waiting.attempt) = (Some(state), NO_ID);
                    self.queue.push_after(nanos(wait), Event::RetryDue(request));
                }
            }
            NextAction::Completed(completed) => self.send_answer(request, completed.outcome),
        }
    }

    /// Sends an attempt to a node.
    fn send_attempt(&mut self, now: u64, request: u32, node: u32, is_retry: bool) -> u32 {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let from = self.sender_zone(&self.requests[&request]);
        if let Some(waiting) = self.requests.get_mut(&request) {
            waiting.attempt = attempt;
        }
        let sent = Attempt {
            request,
            node,
            is_retry,
            arrived: now,
            ran: false,
            ended: false,
        };
        self.attempts.insert(attempt, sent);
        self.measured.second(now).attempts += 1;
        let to = self.zone_of_node(node);
        match self.network_delay(from, to) {
            None => self.queue.push_after(
                CONNECT_TIMEOUT_NS,
                Event::AttemptEnded(attempt, AttemptOutcome::Unreachable),
            ),
            Some(delay) => {
                // The connection may break before the node reads the attempt, or while the attempt is in flight.
                if self.plan.net.breaks > 0.0
                    && random_unit(&mut self.net_rng) < self.plan.net.breaks
                {
                    if random_unit(&mut self.net_rng) < 0.5 {
                        self.queue.push_after(
                            2 * delay,
                            Event::AttemptEnded(attempt, AttemptOutcome::Broken),
                        );
                        return attempt;
                    }
                    let break_delay = delay + (random_unit(&mut self.net_rng) * 2e7) as u64;
                    self.queue.push_after(
                        break_delay,
                        Event::AttemptEnded(attempt, AttemptOutcome::Broken),
                    );
                }
                self.queue.push_after(delay, Event::AttemptArrival(attempt));
            }
        }
        attempt
    }

    /// Compares the attempts of the last second at a node that is warming up with its ramped share of the warm rate.
    fn measure_cold_load(&mut self, now: u64, node: u32) {
        let Some((warm_up, _)) = self
            .plan
            .nodes
            .cold
            .filter(|_| self.plan.fronts.warm_rate > 0)
        else {
            return;
        };
        let state = &mut self.nodes[node as usize];
        let Some(age) = state
            .started
            .map(|started| now - started)
            .filter(|age| *age < nanos(warm_up))
        else {
            state.started = None;
            return;
        };
        state.recent_arrivals.push_back(now);
        while state
            .recent_arrivals
            .front()
            .is_some_and(|arrival| now - arrival >= nanos(RATE_WINDOW))
        {
            state.recent_arrivals.pop_front();
        }
        let (warm_up, from) = (
            warm_up.as_secs_f64(),
            age.saturating_sub(nanos(RATE_WINDOW)) as f64 / 1e9,
        );
        // The share rises linearly from a twentieth; computed from the specification, not with the forwarders' code.
        let allowed_until = |age: f64| {
            let (flat, to) = (
                COLD_CAPACITY * warm_up,
                age.clamp(COLD_CAPACITY * warm_up, warm_up),
            );
            COLD_CAPACITY * age.min(flat)
                + (to * to - flat * flat) / (2.0 * warm_up)
                + (age - to).max(0.0)
        };
        let expected =
            self.plan.fronts.warm_rate as f64 * (allowed_until(from + 1.0) - allowed_until(from));
        let excess =
            (state.recent_arrivals.len() as f64 - expected) / (2.0 * expected.sqrt() + 2.0);
        self.measured.cold_attempts += 1;
        self.measured.cold_excess = self.measured.cold_excess.max(excess);
    }

    fn attempt_arrives(&mut self, now: u64, attempt: u32) {
        let Some(arriving) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let (node, request) = (arriving.node, arriving.request);
        arriving.arrived = now;
        let state = &self.nodes[node as usize];
        if !state.alive {
            return self.send_outcome(attempt, AttemptOutcome::Unreachable);
        }
        self.measure_cold_load(now, node);
        let state = &self.nodes[node as usize];
        if state.hangs {
            self.nodes[node as usize].stuck.push(attempt);
            return;
        }
        if let Some(retry_after) = state.false_rejection {
            return self.send_outcome(
                attempt,
                AttemptOutcome::Rejected {
                    pause: retry_after,
                    nowhere_else: false,
                },
            );
        }
        if let Some(delay) = state.fails_after {
            self.run_starts(now, attempt);
            let network_delay = self.return_delay(attempt);
            if let Some(network_delay) = network_delay {
                self.queue.push_after(
                    delay + network_delay,
                    Event::AttemptEnded(attempt, AttemptOutcome::Failed),
                );
            }
            return;
        }
        let Some(known) = self.requests.get(&request) else {
            // The request has ended; the node learns that a little later.
            self.attempts.remove(&attempt);
            return;
        };
        let Some(job) = self.jobs.get(&known.job) else {
            return;
        };
        let class = &self.plan.types[usize::from(job.class)];
        let unknown_tenant = self.plan.tenants[usize::from(job.tenant)].stranger;
        // The node's configuration has the known tenants in the plan's order.
        let tenant_index = self.plan.tenants[..usize::from(job.tenant)]
            .iter()
            .filter(|tenant| !tenant.stranger)
            .count();
        let task = Task {
            attempt,
            class: job.class,
            tenant: (!unknown_tenant).then_some(tenant_index as u16),
            work: job.work,
            is_retry: self.attempts[&attempt].is_retry,
            arrived: now,
            exclusive: class.kind == Kind::Exclusive,
            calls_downstream: class.calls,
        };
        self.nodes[node as usize].process.on_arrival(now, task);
        self.handle_node_events(node);
    }

    /// Records that an attempt's run starts, which is when its side effect happens.
    fn run_starts(&mut self, now: u64, attempt: u32) {
        let Some(started) = self.attempts.get_mut(&attempt) else {
            return;
        };
        started.ran = true;
        let (request, node, is_retry, arrived) = (
            started.request,
            started.node,
            started.is_retry,
            started.arrived,
        );
        self.measured.node_runs[node as usize] += 1;
        self.measured.second(now).runs += 1;
        let _ = self
            .measured
            .queue_waits
            .record(((now - arrived) / 1_000).max(1));
        self.record_step(
            request,
            Step::Ran {
                on: node,
                marked: is_retry,
            },
        );
    }

    /// Handles the events that a node reported.
    fn handle_node_events(&mut self, node: u32) {
        let now = self.queue.now();
        let events: Vec<NodeEvent> = self.nodes[node as usize].process.take_events().collect();
        for event in events {
            match event {
                NodeEvent::Started(attempt) => self.run_starts(now, attempt),
                NodeEvent::Served(attempt) => self.send_outcome(attempt, AttemptOutcome::Served),
                NodeEvent::Failed(attempt) => self.send_outcome(attempt, AttemptOutcome::Failed),
                NodeEvent::CallStarted(attempt, deadline) => {
                    self.start_call(now, node, attempt, deadline)
                }
                NodeEvent::CallAbandoned(attempt) => {
                    if let Some(call) = self.call_of.remove(&attempt) {
                        self.cancel_call(now, call);
                        self.calls.remove(&call);
                    }
                }
                NodeEvent::Rejected(attempt, pause, nowhere_else) => {
                    self.send_outcome(
                        attempt,
                        AttemptOutcome::Rejected {
                            pause,
                            nowhere_else,
                        },
                    );
                }
            }
        }
        if self.nodes[node as usize].drains && self.nodes[node as usize].process.is_empty() {
            self.stop_node(node);
        }
        self.schedule_node(node);
    }

    /// Starts a downstream call. The balancer is round robin and includes dead nodes.
    fn start_call(&mut self, now: u64, node: u32, attempt: u32, deadline: u64) {
        let call = self.next_call;
        self.next_call += 1;
        let work = self
            .plan
            .below
            .map_or(0, |below| sample_work(below.work, &mut self.net_rng));
        let downstream = if self.downstream.is_empty() {
            NO_ID
        } else {
            call % self.downstream.len() as u32
        };
        self.calls.insert(
            call,
            Call {
                attempt,
                node,
                work,
                downstream,
            },
        );
        self.call_of.insert(attempt, call);
        let in_flight = self.calls.len() as u64;
        let second = self.measured.second(now);
        second.calls += 1;
        second.max_calls = second.max_calls.max(in_flight);
        let delay = self.network_delay(0, 0).unwrap_or(0);
        if downstream == NO_ID {
            self.queue
                .push_after(delay, Event::CallEnded(call, Outcome::Succeeded));
            return;
        }
        self.queue.push_after(delay, Event::CallArrival(call));
        if deadline < u64::MAX {
            self.queue.push_at(deadline, Event::CallTimeout(call));
        }
    }

    fn call_arrives(&mut self, now: u64, call: u32) {
        let Some(arriving) = self.calls.get(&call) else {
            return;
        };
        let (index, work) = (arriving.downstream, arriving.work);
        let Some(below) = self.plan.below else { return };
        let node = &mut self.downstream[index as usize];
        let delay = nanos(self.plan.net.delay.0);
        if !node.alive {
            self.queue
                .push_after(delay, Event::CallEnded(call, Outcome::Unreachable));
        } else if node.machine.running() < below.at_once as usize {
            node.machine.start(now, call, work);
        } else if node.queue.len() < below.hold as usize {
            node.queue.push_back(call);
        } else {
            self.queue
                .push_after(delay, Event::CallEnded(call, Outcome::Rejected));
        }
        self.schedule_downstream(now, index);
    }

    /// Schedules a downstream node's next event if its time has changed.
    fn schedule_downstream(&mut self, _: u64, index: u32) {
        let node = &mut self.downstream[index as usize];
        let due = node.machine.next_end().unwrap_or(u64::MAX);
        if due != node.due {
            node.due = due;
            node.event_number = node.event_number.wrapping_add(1);
            if due < u64::MAX {
                self.queue
                    .push_at(due, Event::DownstreamDue(index, node.event_number));
            }
        }
    }

    fn finish_calls(&mut self, now: u64, index: u32) {
        let delay = nanos(self.plan.net.delay.0);
        while let Some(call) = self.downstream[index as usize].machine.pop_ended(now) {
            self.queue
                .push_after(delay, Event::CallEnded(call, Outcome::Succeeded));
        }
        self.start_queued_calls(now, index);
    }

    fn start_queued_calls(&mut self, now: u64, index: u32) {
        let max_running = self.plan.below.map_or(0, |below| below.at_once as usize);
        while self.downstream[index as usize].machine.running() < max_running {
            let Some(call) = self.downstream[index as usize].queue.pop_front() else {
                break;
            };
            if let Some(work) = self.calls.get(&call).map(|queued| queued.work) {
                self.downstream[index as usize]
                    .machine
                    .start(now, call, work);
            }
        }
        self.schedule_downstream(now, index);
    }

    /// Cancels an abandoned call at its downstream node.
    fn cancel_call(&mut self, now: u64, call: u32) {
        let Some(index) = self
            .calls
            .get(&call)
            .map(|known| known.downstream)
            .filter(|index| *index != NO_ID)
        else {
            return;
        };
        let node = &mut self.downstream[index as usize];
        node.queue.retain(|queued| *queued != call);
        node.machine.stop(now, call);
        self.start_queued_calls(now, index);
    }

    fn kill_downstream(&mut self, now: u64, index: u32) {
        let node = &mut self.downstream[index as usize];
        node.alive = false;
        node.machine.clear(now);
        node.queue.clear();
        let mut lost: Vec<u32> = self
            .calls
            .iter()
            .filter(|(_, call)| call.downstream == index)
            .map(|(call, _)| *call)
            .collect();
        lost.sort_unstable();
        // Calls under way are refused a connection; the others lose theirs and may have run.
        for call in lost {
            self.queue.push_after(
                nanos(self.plan.net.delay.0),
                Event::CallEnded(call, Outcome::Disconnected),
            );
        }
        self.schedule_downstream(now, index);
    }

    /// Network delay from the node of an attempt to its sender.
    fn return_delay(&mut self, attempt: u32) -> Option<u64> {
        let sent = self.attempts.get(&attempt)?;
        let (node, request) = (sent.node, sent.request);
        let to = self
            .requests
            .get(&request)
            .map(|known| self.sender_zone(known))?;
        let from = self.zone_of_node(node);
        self.network_delay(from, to)
    }

    /// Sends the outcome of an attempt back; it is lost across a partition.
    fn send_outcome(&mut self, attempt: u32, outcome: AttemptOutcome) {
        if self.attempts.get(&attempt).is_some_and(|sent| sent.ended) {
            // Its forwarder or client no longer waits for it.
            let ended = self.attempts.remove(&attempt);
            self.measured.wasted_runs += u64::from(ended.is_some_and(|attempt| attempt.ran));
            return;
        }
        if let Some(delay) = self.return_delay(attempt) {
            self.queue
                .push_after(delay, Event::AttemptEnded(attempt, outcome));
        }
    }

    /// A forwarder or a client notifies a node that it no longer waits for an attempt.
    fn notify_caller_gone(&mut self, attempt: u32) {
        let Some(abandoned) = self.attempts.get(&attempt) else {
            return;
        };
        let node = abandoned.node;
        let delay = self.return_delay(attempt).unwrap_or(CONNECT_TIMEOUT_NS);
        self.queue
            .push_after(delay, Event::CallerGone(node, attempt));
    }

    /// Handles the outcome of an attempt at its forwarder or client.
    fn attempt_ended(&mut self, now: u64, attempt: u32, outcome: AttemptOutcome) {
        let Some(finished) = self.attempts.get_mut(&attempt).filter(|sent| !sent.ended) else {
            // Too late: the attempt timed out, or its caller disconnected.
            if let Some(late) = self.attempts.remove(&attempt) {
                self.measured.wasted_runs += u64::from(late.ran);
            }
            return;
        };
        finished.ended = true;
        let request = finished.request;
        // After these outcomes the node may still have the attempt and end it later.
        if !matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Broken) {
            self.attempts.remove(&attempt);
        }
        let Some(known) = self
            .requests
            .get_mut(&request)
            .filter(|known| known.attempt == attempt)
        else {
            return;
        };
        if known.forwarder == NO_ID {
            let request_outcome = match outcome {
                AttemptOutcome::Served => RequestOutcome::Served,
                AttemptOutcome::Rejected {
                    pause,
                    nowhere_else,
                } => RequestOutcome::Rejected {
                    after: pause,
                    nowhere_else,
                },
                AttemptOutcome::Unreachable => RequestOutcome::Rejected {
                    after: Duration::ZERO,
                    nowhere_else: false,
                },
                AttemptOutcome::Failed
                | AttemptOutcome::Broken
                | AttemptOutcome::TimedOut
                | AttemptOutcome::CallerLeft => RequestOutcome::Failed,
            };
            return self.request_ended(now, request, request_outcome);
        }
        let outcome = match (self.plan.bug, outcome) {
            (Some(Bug::BrokenIsUnreachable), AttemptOutcome::Broken) => AttemptOutcome::Unreachable,
            (_, outcome) => outcome,
        };
        let Some(state) = known.state.take() else {
            return;
        };
        let forwarder = known.forwarder;
        let at = self.forwarder_clock(forwarder);
        let action = self.forwarders[forwarder as usize]
            .fleet
            .on_attempt_outcome(at, state, outcome);
        self.execute_action(now, request, action);
    }

    /// Sends the single answer of a forwarder to the client.
    fn send_answer(&mut self, request: u32, outcome: RequestOutcome) {
        let delay = self.network_delay(0, 0).unwrap_or(0);
        self.queue
            .push_after(delay, Event::RequestEnded(request, outcome));
    }

    /// Handles the answer to a request at its client.
    fn request_ended(&mut self, now: u64, request: u32, outcome: RequestOutcome) {
        let Some(answered) = self.requests.remove(&request) else {
            return;
        };
        let answer = match outcome {
            RequestOutcome::Served => Answer::Honoured,
            RequestOutcome::Rejected { .. } => Answer::Dismissed,
            RequestOutcome::Failed | RequestOutcome::CallerGone => Answer::GivenUp,
        };
        self.record_step(request, Step::Answered(answer));
        let job_id = answered.job;
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        job.open.retain(|open| *open != request);
        job.may_have_run |= answer == Answer::GivenUp;
        if job.ended {
            return;
        }
        let habits = &self.plan.habits;
        let class = &self.plan.types[usize::from(job.class)];
        let elapsed = now - job.started;
        let remaining = nanos(class.outer_limit).saturating_sub(elapsed);
        match outcome {
            RequestOutcome::Served => {
                let _ = self.measured.latencies.record((elapsed / 1_000).max(1));
                let job_end = if elapsed <= nanos(class.goal) {
                    JobEnd::Good
                } else {
                    JobEnd::Late
                };
                self.finish_job(job_id, job_end);
            }
            RequestOutcome::Rejected {
                after,
                nowhere_else,
            } => {
                let delay = if habits.heeds {
                    nanos(after).max(MIN_RETRY_DELAY_NS)
                } else {
                    MIN_RETRY_DELAY_NS
                };
                if job.requests_sent < habits.tries
                    && delay < remaining
                    && !(nowhere_else && habits.heeds)
                {
                    self.queue.push_after(delay, Event::ClientRetry(job_id));
                } else if job.open.is_empty() {
                    self.finish_job(job_id, JobEnd::Rejected);
                }
            }
            RequestOutcome::Failed | RequestOutcome::CallerGone => {
                // Only rerunnable jobs are retried.
                if class.kind == Kind::Rerunnable
                    && job.requests_sent < habits.tries
                    && MIN_RETRY_DELAY_NS < remaining
                {
                    self.queue
                        .push_after(MIN_RETRY_DELAY_NS, Event::ClientRetry(job_id));
                } else if job.open.is_empty() {
                    self.finish_job(job_id, JobEnd::Failed);
                }
            }
        }
    }

    /// Records the end of a job.
    fn finish_job(&mut self, job_id: u32, end: JobEnd) {
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        job.ended = true;
        self.live_jobs -= 1;
        let (class, tenant, started, open) = (
            job.class,
            job.tenant,
            job.started,
            std::mem::take(&mut job.open),
        );
        self.measured.by_type[usize::from(class)].record_end(end);
        self.measured.by_tenant[usize::from(tenant)].record_end(end);
        self.measured.second(started).jobs.record_end(end);
        // Its other requests in flight are abandoned.
        self.abandon_requests(open);
    }

    /// A client abandons these requests.
    fn abandon_requests(&mut self, requests: Vec<u32>) {
        for request in requests {
            self.record_step(request, Step::Left);
            let Some(mut abandoned) = self.requests.remove(&request) else {
                continue;
            };
            if let Some(attempt) = self
                .attempts
                .get_mut(&abandoned.attempt)
                .filter(|sent| !sent.ended)
            {
                attempt.ended = true;
                let node = attempt.node;
                self.queue.push_after(
                    MIN_RETRY_DELAY_NS / 20,
                    Event::CallerGone(node, abandoned.attempt),
                );
            }
            if let Some(state) = abandoned.state.take() {
                let at = self.forwarder_clock(abandoned.forwarder);
                let _ = self.forwarders[abandoned.forwarder as usize]
                    .fleet
                    .on_attempt_outcome(at, state, AttemptOutcome::CallerLeft);
            }
        }
    }

    /// Handles the deadline of a job.
    fn job_deadline(&mut self, job_id: u32) {
        let Some(job) = self.jobs.get(&job_id) else {
            return;
        };
        if !job.ended {
            let may_have_run = job.may_have_run || !job.open.is_empty();
            self.finish_job(
                job_id,
                if may_have_run {
                    JobEnd::Failed
                } else {
                    JobEnd::Rejected
                },
            );
        }
        // Nothing refers to the job any more: its requests are abandoned, and no later event has it.
        self.jobs.remove(&job_id);
    }

    fn apply_fault(&mut self, now: u64, fault: u32, begins: bool) {
        let Fault { trouble, .. } = self.plan.faults[fault as usize];
        let affected = self.affected[fault as usize].clone();
        match trouble {
            Trouble::Die => {
                for node in affected {
                    if begins {
                        self.kill_node(node);
                    } else {
                        self.start_node(now, node);
                    }
                }
            }
            Trouble::Slow(times) => {
                let speed = if begins { 1.0 / times.max(1e-3) } else { 1.0 };
                self.update_nodes(&affected, |state| state.process.set_fault(now, speed));
            }
            Trouble::StandStill => {
                let speed = if begins { 0.0 } else { 1.0 };
                self.update_nodes(&affected, |state| state.process.set_fault(now, speed));
            }
            Trouble::Hang => {
                for node in affected {
                    if begins {
                        self.nodes[node as usize].hangs = true;
                        self.nodes[node as usize].process.set_fault(now, 0.0);
                        self.schedule_node(node);
                    } else {
                        // The node is killed and restarted: its runs do not continue.
                        self.kill_node(node);
                        self.start_node(now, node);
                    }
                }
            }
            Trouble::FailFast(after) => {
                self.update_nodes(&affected, |state| {
                    state.fails_after = begins.then_some(nanos(after))
                });
            }
            Trouble::Lie(pause) => self.update_nodes(&affected, |state| {
                state.false_rejection = begins.then_some(pause)
            }),
            Trouble::Neighbour(cores) => {
                let cores = if begins { cores } else { 0.0 };
                self.update_nodes(&affected, |state| {
                    state.process.set_neighbour_cores(now, cores)
                });
            }
            Trouble::Deploy(_) if begins => self.queue.push_after(0, Event::Deploy(fault, 0)),
            Trouble::Deploy(_) => {}
            Trouble::Partition => {
                self.partitions = if begins {
                    self.partitions + 1
                } else {
                    self.partitions.saturating_sub(1)
                };
            }
            Trouble::Flood(tenant, times) => {
                if let Some(flood) = self.floods.get_mut(tenant as usize) {
                    *flood = if begins { times } else { 1.0 };
                }
                self.update_rate();
            }
            Trouble::BelowDies(count) => {
                for index in 0..count.min(self.downstream.len() as u32) {
                    if begins {
                        self.kill_downstream(now, index);
                    } else {
                        self.downstream[index as usize].alive = true;
                    }
                }
            }
            Trouble::ClockJump(span) => {
                if begins {
                    self.forwarders
                        .iter_mut()
                        .for_each(|forwarder| forwarder.clock_offset += nanos(span));
                }
            }
        }
    }

    fn update_nodes(&mut self, affected: &[u32], mut change: impl FnMut(&mut NodeState)) {
        for node in affected {
            change(&mut self.nodes[*node as usize]);
            self.schedule_node(*node);
        }
    }

    /// A node's process dies: its attempts are lost and its connections break.
    fn kill_node(&mut self, node: u32) {
        let state = &mut self.nodes[node as usize];
        if !state.alive {
            return;
        }
        state.alive = false;
        state.died = self.queue.now();
        self.break_connections(node);
        let state = &mut self.nodes[node as usize];
        let mut lost = state.process.attempts();
        lost.append(&mut state.stuck);
        let now = self.queue.now();
        self.measured.node_busy_ms[node as usize] += state.process.used_ms(now);
        for attempt in lost {
            if self.attempts.get(&attempt).is_some_and(|sent| sent.ended) {
                self.attempts.remove(&attempt);
            } else {
                self.send_outcome(attempt, AttemptOutcome::Broken);
            }
        }
        self.schedule_node(node);
    }

    /// Breaks a node's connections; forwarders know nothing of the process that starts next.
    fn break_connections(&mut self, node: u32) {
        let known_to = self.nodes[node as usize].known_to.clone();
        for (forwarder, _) in known_to {
            let at = self.forwarder_clock(forwarder);
            self.forwarders[forwarder as usize]
                .fleet
                .on_disconnected(&address(node), at);
        }
    }

    /// Stops a drained node.
    fn stop_node(&mut self, node: u32) {
        let state = &mut self.nodes[node as usize];
        if state.alive {
            state.alive = false;
            state.died = self.queue.now();
            state.drains = false;
            let now = self.queue.now();
            self.measured.node_busy_ms[node as usize] += state.process.used_ms(now);
        }
        self.schedule_node(node);
    }

    /// Starts a new process on a node, cold.
    fn start_node(&mut self, now: u64, node: u32) {
        let plan = self.plan;
        if self.nodes[node as usize].alive {
            self.kill_node(node);
        }
        let seed = plan.seed ^ u64::from(node) ^ now;
        let process = Node::new(
            &plan.nodes,
            &plan.types,
            &self.shares,
            plan.whole_rate(),
            seed,
            now,
            true,
        );
        let state = &mut self.nodes[node as usize];
        state.process = process;
        (state.alive, state.hangs, state.drains) = (true, false, false);
        state.started = Some(now);
        state.recent_arrivals.clear();
        state.due = u64::MAX;
        let known_to = state.known_to.clone();
        // A forwarder that reconnects notices the restart.
        let address = address(node);
        for (forwarder, _) in known_to {
            let at = self.forwarder_clock(forwarder);
            self.forwarders[forwarder as usize]
                .fleet
                .on_restarted(&address, at);
        }
        self.schedule_node(node);
    }

    /// Drains the next node of a rolling deploy.
    fn deploy_next(&mut self, fault: u32, step: u32) {
        let Fault {
            trouble: Trouble::Deploy(downtime),
            from,
            to,
            ..
        } = self.plan.faults[fault as usize]
        else {
            return;
        };
        let affected = &self.affected[fault as usize];
        let Some(node) = affected.get(step as usize).copied() else {
            return;
        };
        let gap = nanos(to - from) / affected.len().max(1) as u64;
        self.queue.push_after(gap, Event::Deploy(fault, step + 1));
        self.queue
            .push_after(nanos(downtime), Event::NodeRestart(node));
        let state = &mut self.nodes[node as usize];
        if !state.alive {
            return;
        }
        (state.drains, state.process.drains) = (true, true);
        let (known_to, address) = (state.known_to.clone(), address(node));
        for (forwarder, _) in known_to {
            let at = self.forwarder_clock(forwarder);
            self.forwarders[forwarder as usize]
                .fleet
                .on_leaving(&address, at);
        }
        self.handle_node_events(node);
    }
}
