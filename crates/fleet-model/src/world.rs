//! The run: dispatchers ask, forwarders decide, nodes run, faults come and go.
//!
//! A *job* is what a dispatcher wants done; a *ticket* is one call of it (its own further tries and second copies are
//! tickets of their own, as on the wire); a *try* is what a forwarder sends to a node for a ticket. The rules are
//! checked by ticket. All chance comes from the plan's seed, in three streams (jobs, network, habits), so that plans that
//! differ in a decision have the same jobs.
//!
//! Invariants: `tickets` holds those without an answer whose caller waits, and those that a forwarder has still; a try
//! is in `tries` from its sending until its forwarder has heard of it or the node is done with it.

use crate::machine::Machine;
use crate::measure::{JobEnd, Measured};
use crate::node::{Node, Said, Task};
use crate::plan::{Bug, Fault, Pick, Plan, Trouble, Whom, Work};
use crate::queue::Queue;
use foldhash::{HashMap, HashMapExt};
use nanorand::{Rng, WyRand};
use rainstand::Outcome;
use rainstand_config::schema::{self, Configuration, Proof, RepeatKind, SplitBy};
use rainstand_config::units::ONE;
use rainstand_invariants::{Answer, InvariantChecker, Kind, Step as Saw};
use rainstand_routing::fleet::{AttemptOutcome, Fleet, NextAction, RequestOutcome, RequestState};
use rainstand_routing::member_selection;
use rainstand_routing::retry::INITIAL_RETRIES;
use rainstand_routing::subset::in_rounds;
use rainstand_routing::table::Request as Asked;
use rainstand_routing::weighted_split::name_hash;
use std::collections::VecDeque;
use std::time::Duration;

/// Between a forwarder's looks at its members, and looks at tickets past their due time.
const LOOK: u64 = 100_000_000;
const RULES_LOOK: u64 = 500_000_000;
/// Opening a connection across a partition ends after this.
const OPENING: u64 = 500_000_000;
/// A dispatcher that does not heed, or was told nothing, comes back after this.
const AT_ONCE: u64 = 10_000_000;
/// An answer is due this long after the outer limit: the way back.
const WAY_BACK: Duration = Duration::from_millis(500);
/// Once no more tickets come: until all that is in hand has ended.
const AFTER: Duration = Duration::from_secs(30);
const NOBODY: u32 = u32::MAX;
/// What a plan's calls a second are counted over.
const SECOND: Duration = Duration::from_secs(1);
/// A node that just started bears this part of what a warm one does.
const COLD: f64 = 0.05;

fn ns(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

enum Event {
    /// The next job, unless the load has changed since.
    Job(u32),
    /// A ticket reaches its forwarder, or a node itself.
    Arrives(u32),
    /// A try reaches its node.
    AtNode(u32),
    /// Something is due at a node; stale if the node's number has changed.
    Due(u32, u32),
    /// Word of a try reaches its forwarder, or its dispatcher.
    Word(u32, AttemptOutcome),
    /// A try's time is up.
    Cut(u32),
    /// A wait before a further try is over.
    Again(u32),
    /// A ticket's answer reaches its dispatcher.
    Told(u32, RequestOutcome),
    /// A dispatcher comes back with a job.
    Returns(u32),
    /// It sends a second copy.
    Copy(u32),
    /// A job's outer limit.
    Deadline(u32),
    /// A node hears that nobody waits.
    Leaves(u32, u32),
    Look(u32),
    Rules,
    Load(u32),
    Fault(u32, bool),
    /// The next step of a rolling deploy: fault, node's place in its list.
    Deploy(u32, u32),
    Restarts(u32),
    /// A call reaches the tier below; is back with its node; is given up there.
    AtBelow(u32),
    CallBack(u32, Outcome),
    CallCut(u32),
    /// Something is due at a node of the tier below; stale if its number has changed.
    BelowDue(u32, u32),
}

/// A call that is out.
struct Call {
    /// The try that waits for it, and at which node.
    number: u32,
    place: u32,
    work: u64,
    /// The node of the tier below that has it.
    at: u32,
}

/// A node of the tier below.
struct Under {
    machine: Machine,
    held: VecDeque<u32>,
    alive: bool,
    due: u64,
    number: u32,
}

struct Job {
    traffic: u16,
    tenant: u16,
    work: u64,
    born: u64,
    tries: u32,
    /// Tickets of it that are out.
    open: Vec<u32>,
    /// Some ticket of it may have run.
    may_have_run: bool,
    over: bool,
}

struct Ticket {
    job: u32,
    front: u32,
    again: bool,
    trip: Option<RequestState>,
    /// The try that is out.
    at: u32,
}

struct Try {
    ticket: u32,
    node: u32,
    again: bool,
    came: u64,
    ran: bool,
    /// Its forwarder, or dispatcher, has done with it.
    over: bool,
}

struct Place {
    node: Node,
    alive: bool,
    /// When it last died, ns.
    died: u64,
    hangs: bool,
    /// Tries that it read while it hung.
    stuck: Vec<u32>,
    lies: Option<Duration>,
    fails: Option<u64>,
    /// When its next event is due, as it stands in the queue; and the number of that event.
    due: u64,
    number: u32,
    /// Forwarders that know it, with its place there.
    known_to: Vec<(u32, u16)>,
    drains: bool,
    /// When it last started, and what came in the last second, ns; until it is warm.
    born: Option<u64>,
    lately: VecDeque<u64>,
}

struct Front {
    fleet: Fleet,
    /// Places of the members it knows.
    members: Vec<u32>,
    /// Its clock is ahead by this.
    ahead: u64,
}

struct World<'p> {
    plan: &'p Plan,
    queue: Queue<Event>,
    /// Until their outer limit.
    jobs: HashMap<u32, Job>,
    next_job: u32,
    /// Jobs without an end.
    live: u64,
    tickets: HashMap<u32, Ticket>,
    next_ticket: u32,
    tries: HashMap<u32, Try>,
    next_try: u32,
    places: Vec<Place>,
    fronts: Vec<Front>,
    /// Chance of jobs, of the network, of habits.
    job_chance: WyRand,
    net_chance: WyRand,
    habit_chance: WyRand,
    /// Tickets a second now, and which change of load that is.
    rate: f64,
    loads: u32,
    load: f64,
    /// By tenant: what floods make of its part.
    floods: Vec<f64>,
    partitions: u32,
    /// The node that each dispatcher asked last, where it goes to them itself.
    turns: Vec<u32>,
    /// Nodes that each fault meets.
    met: Vec<Vec<u32>>,
    rules: InvariantChecker,
    measured: Measured,
    under: Vec<Under>,
    calls: HashMap<u32, Call>,
    /// The call that each try has out.
    call_of: HashMap<u32, u32>,
    next_call: u32,
    /// The configuration's shares, and its rate.
    shares: Vec<f64>,
    tenant_marks: Vec<u64>,
}

/// Plays a plan.
///
/// # Errors
/// What in the plan makes no sense. A rule that breaks is no error here: it is told in what was measured.
pub fn run(plan: &Plan) -> Result<Measured, String> {
    plan.check()?;
    let mut world = World::new(plan)?;
    world.play();
    Ok(world.end())
}

fn unit(chance: &mut WyRand) -> f64 {
    f64::from(chance.generate::<u32>()) / (f64::from(u32::MAX) + 1.0)
}

fn drawn(work: Work, chance: &mut WyRand) -> u64 {
    let span = match work {
        Work::Fixed(span) => span.as_secs_f64(),
        Work::Between(least, most) => {
            least.as_secs_f64() + (most - least).as_secs_f64() * unit(chance)
        }
        Work::About(mean) => mean.as_secs_f64() * -(1.0 - unit(chance)).ln(),
    };
    (span * 1e9) as u64 + 1
}

/// What a forwarder that knows these members is configured with; `address`: of a member by its place.
pub fn configuration(
    plan: &Plan,
    members: &[u32],
    address: impl Fn(u32) -> String,
) -> Configuration {
    let fronts = &plan.fronts;
    let repeat = |kind| match kind {
        Kind::Rerunnable => RepeatKind::Rerunnable,
        Kind::Ticketed => RepeatKind::Ticketed,
        Kind::Exclusive => RepeatKind::Exclusive,
    };
    let types = plan.types.iter().map(|one| schema::TrafficType {
        name: one.name.clone(),
        repeat: repeat(one.kind).into(),
        goal_ns: ns(one.goal),
        outer_limit_ns: ns(one.outer_limit),
        window_ns: ns(one.outer_limit),
        benefit: ONE,
        ..schema::TrafficType::default()
    });
    let known = plan.tenants.iter().filter(|one| !one.stranger);
    let tenants = known.map(|one| schema::Tenant {
        name: one.name.clone(),
        share: (one.share * ONE as f64) as u64,
        ..schema::Tenant::default()
    });
    let member = |place: &u32| schema::Member {
        name: format!("n{place}"),
        address: address(*place),
        zone: format!("hall-{}", place % plan.nodes.halls),
        weight: ONE,
        warm_up_ns: plan.nodes.cold.map_or(0, |(span, _)| ns(span)),
    };
    let attempts = |name: &str, proof: Proof| schema::Attempts {
        name: name.into(),
        tries: u64::from(fronts.tries.max(1)),
        budget: (fronts.budget * ONE as f64) as u64,
        wait_least_ns: ns(fronts.wait.0),
        wait_most_ns: ns(fronts.wait.1),
        proof: proof.into(),
    };
    let route = |name: &str, kind: Option<Kind>, attempts: &str| schema::Route {
        name: name.into(),
        r#match: kind.map(|kind| schema::Match {
            types: plan
                .types
                .iter()
                .filter(|one| one.kind == kind)
                .map(|one| one.name.clone())
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
        if plan.types.iter().any(|one| one.kind == kind) {
            routes.push(route(name, Some(kind), attempts));
        }
    }
    routes.push(route("rest", None, "any"));
    let health = fronts.keep.map(|keep| schema::Health {
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
            .map_or(String::new(), |one| one.name.clone()),
        limits: if fronts.at_once > 0 {
            "toward".into()
        } else {
            String::new()
        },
        warm_rate: (fronts.warm_rate > 0).then(|| schema::Rate {
            micro_tickets: fronts.warm_rate * ONE,
            per_ns: ns(SECOND),
        }),
        senders: u64::from(fronts.count),
        ..schema::Pool::default()
    };
    let toward = schema::Limits {
        name: "toward".into(),
        at_once: fronts.at_once,
        ..schema::Limits::default()
    };
    Configuration {
        version: schema::VERSION,
        types: types.collect(),
        tenants: tenants.collect(),
        pools: vec![pool],
        limits: if fronts.at_once > 0 {
            vec![toward]
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

fn under(plan: &Plan) -> Under {
    let cores = plan.below.map_or(1, |below| below.at_once);
    Under {
        machine: Machine::new(cores, 0.0),
        held: VecDeque::new(),
        alive: true,
        due: u64::MAX,
        number: 0,
    }
}

/// The nodes that each fault meets, settled before anything happens.
pub fn meets(plan: &Plan) -> Vec<Vec<u32>> {
    let count = plan.nodes.count;
    let mut chance = WyRand::new_seed(plan.seed ^ 0x6661_756c);
    let met = |fault: &Fault| {
        let mut all: Vec<u32> = (0..count).collect();
        let mut met = match fault.whom {
            Whom::Share(share) => {
                chance.shuffle(&mut all);
                all.truncate((f64::from(count) * share).round() as usize);
                all
            }
            Whom::First(first) => (0..first.min(count)).collect(),
            Whom::Hall(hall) => all
                .into_iter()
                .filter(|k| k % plan.nodes.halls == hall)
                .collect(),
        };
        met.sort_unstable();
        met
    };
    plan.faults.iter().map(met).collect()
}

fn address(place: u32) -> String {
    format!(
        "10.{}.{}.{}:5050",
        place >> 16,
        (place >> 8) & 255,
        place & 255
    )
}

impl<'p> World<'p> {
    fn new(plan: &'p Plan) -> Result<Self, String> {
        let known: Vec<f64> = plan
            .tenants
            .iter()
            .filter(|one| !one.stranger)
            .map(|one| one.share)
            .collect();
        let count = plan.nodes.count;
        let whole = plan.whole_rate();
        let place = |k: u32| Place {
            node: Node::new(
                &plan.nodes,
                &plan.types,
                &known,
                whole,
                plan.seed ^ u64::from(k),
                0,
                false,
            ),
            alive: true,
            died: 0,
            hangs: false,
            stuck: Vec::new(),
            lies: None,
            fails: None,
            due: u64::MAX,
            number: 0,
            known_to: Vec::new(),
            drains: false,
            born: None,
            lately: VecDeque::new(),
        };
        let mut places: Vec<Place> = (0..count).map(place).collect();
        let mut fronts = Vec::new();
        for me in 0..plan.fronts.count {
            let know = plan.fronts.know as usize;
            let members: Vec<u32> = in_rounds(count as usize, know, me as usize, plan.seed)
                .into_iter()
                .map(|k| k as u32)
                .collect();
            let made = configuration(plan, &members, address);
            let zone = format!("hall-{}", me % plan.nodes.halls);
            let zone = if plan.nodes.halls > 1 { &*zone } else { "" };
            let seed = plan.seed.wrapping_mul(31).wrapping_add(u64::from(me));
            let mut fleet =
                Fleet::new(&made, zone, seed, Duration::ZERO).map_err(|e| e.to_string())?;
            fleet.set_selection_policy(match plan.fronts.pick {
                Pick::TwoChoices => member_selection::SelectionPolicy::TwoChoices,
                Pick::LeastKnown => member_selection::SelectionPolicy::LeastLoaded,
                Pick::InTurn => member_selection::SelectionPolicy::RoundRobin(me),
            });
            for (at, place) in members.iter().enumerate() {
                places[*place as usize].known_to.push((me, at as u16));
                fleet.on_connected(&address(*place), Duration::ZERO, Duration::ZERO);
            }
            fronts.push(Front {
                fleet,
                members,
                ahead: 0,
            });
        }
        let longest = plan
            .types
            .iter()
            .map(|one| one.outer_limit)
            .max()
            .unwrap_or_default();
        let mut world = Self {
            plan,
            queue: Queue::default(),
            jobs: HashMap::new(),
            next_job: 0,
            live: 0,
            tickets: HashMap::new(),
            next_ticket: 0,
            tries: HashMap::new(),
            next_try: 0,
            places,
            fronts,
            job_chance: WyRand::new_seed(plan.seed),
            net_chance: WyRand::new_seed(plan.seed ^ 0x6e65_7477),
            habit_chance: WyRand::new_seed(plan.seed ^ 0x6861_6269),
            rate: 0.0,
            loads: 0,
            load: 0.0,
            floods: vec![1.0; plan.tenants.len()],
            partitions: 0,
            turns: (0..plan.dispatchers).collect(),
            met: meets(plan),
            // A run may come as late as the longest hang; then nobody asks for it.
            rules: InvariantChecker::with_retention(longest * 2),
            measured: Measured::new(
                plan.seed,
                plan.types.len(),
                plan.tenants.len(),
                count as usize,
            ),
            under: (0..plan.below.map_or(0, |below| below.count))
                .map(|_| under(plan))
                .collect(),
            calls: HashMap::new(),
            call_of: HashMap::new(),
            next_call: 0,
            shares: known,
            tenant_marks: plan
                .tenants
                .iter()
                .map(|one| name_hash(&one.name))
                .collect(),
        };
        for place in 0..count {
            world.schedule(place);
        }
        for me in 0..plan.fronts.count {
            // Not all at one instant.
            world.queue.at(
                LOOK * u64::from(me) / u64::from(plan.fronts.count),
                Event::Look(me),
            );
        }
        world.queue.at(RULES_LOOK, Event::Rules);
        for (k, (at, _)) in plan.load.iter().enumerate() {
            world.queue.at(ns(*at), Event::Load(k as u32));
        }
        for (k, fault) in plan.faults.iter().enumerate() {
            world.queue.at(ns(fault.from), Event::Fault(k as u32, true));
            world.queue.at(ns(fault.to), Event::Fault(k as u32, false));
        }
        Ok(world)
    }

    fn play(&mut self) {
        let end = ns(self.plan.lasts + AFTER);
        while let Some(event) = self.queue.next(end) {
            self.measured.events += 1;
            self.measured.most_waiting = self.measured.most_waiting.max(self.queue.len() as u64);
            self.measured.most_tickets = self.measured.most_tickets.max(self.tickets.len() as u64);
            let over =
                self.queue.now() > ns(self.plan.lasts) && self.tickets.is_empty() && self.live == 0;
            if over || self.measured.broken.is_some() {
                break;
            }
            self.take(event);
        }
    }

    fn end(mut self) -> Measured {
        let now = self.queue.now();
        if self.plan.check && self.measured.broken.is_none() {
            self.measured.broken = self.rules.finish(Duration::from_nanos(now)).err();
        }
        for (k, place) in self.places.iter_mut().enumerate() {
            self.measured.node_busy_ms[k] += place.node.used_ms(now);
        }
        for front in &self.fronts {
            let counts = front.fleet.counts();
            self.measured.first_tries += counts.first_attempts;
            self.measured.further_tries += counts.retries;
        }
        // Jobs that the end of the run met without an end.
        for job in self.jobs.values().filter(|job| !job.over) {
            self.measured.by_type[usize::from(job.traffic)].ended(JobEnd::GivenUp);
            self.measured.by_tenant[usize::from(job.tenant)].ended(JobEnd::GivenUp);
            self.measured.second(job.born).jobs.ended(JobEnd::GivenUp);
        }
        self.measured
    }

    fn saw(&mut self, ticket: u32, step: Saw) {
        if self.plan.check {
            let at = Duration::from_nanos(self.queue.now());
            if let Err(broken) = self.rules.record(at, u64::from(ticket), step) {
                self.measured.broken.get_or_insert(broken);
            }
        }
    }

    /// One way between two halls; none if they do not reach one another.
    fn way(&mut self, from: u32, to: u32) -> Option<u64> {
        let net = &self.plan.net;
        let (least, most) = net.delay;
        let mut span =
            least.as_secs_f64() + (most - least).as_secs_f64() * unit(&mut self.net_chance);
        if from != to {
            if self.partitions > 0 {
                return None;
            }
            span += net.far.as_secs_f64();
        }
        Some((span * 1e9) as u64)
    }

    fn hall(&self, place: u32) -> u32 {
        place % self.plan.nodes.halls
    }

    /// Where a ticket's sender stands: a forwarder's hall, or the dispatcher's.
    fn hall_of(&self, ticket: &Ticket) -> u32 {
        let dispatcher = ticket.job % self.plan.dispatchers;
        let at = if ticket.front == NOBODY {
            dispatcher
        } else {
            ticket.front
        };
        at % self.plan.nodes.halls
    }

    /// Puts a node's next event into the queue, if it has become another.
    fn schedule(&mut self, place: u32) {
        let now = self.queue.now();
        let one = &mut self.places[place as usize];
        let due = if one.alive {
            one.node.due(now).unwrap_or(u64::MAX)
        } else {
            u64::MAX
        };
        if due != one.due {
            one.due = due;
            one.number = one.number.wrapping_add(1);
            if due < u64::MAX {
                self.queue.at(due, Event::Due(place, one.number));
            }
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.queue.now();
        match event {
            Event::Job(load) if load == self.loads => self.job(now),
            Event::Job(_) => {}
            Event::Arrives(ticket) => self.arrives(now, ticket),
            Event::AtNode(number) => self.at_node(now, number),
            Event::Due(place, number) => {
                let one = &mut self.places[place as usize];
                if one.alive && one.number == number {
                    one.due = u64::MAX;
                    one.node.look(now);
                    self.hear(place);
                }
            }
            Event::Word(number, back) => self.word(now, number, back),
            Event::Cut(number) => {
                if self.tries.get(&number).is_some_and(|one| !one.over) {
                    self.nobody_waits(number);
                    self.word(now, number, AttemptOutcome::TimedOut);
                }
            }
            Event::Again(ticket) => {
                let trip = self
                    .tickets
                    .get_mut(&ticket)
                    .and_then(|one| one.trip.take());
                if let Some(trip) = trip {
                    let front = self.tickets[&ticket].front;
                    let at = self.clock(front);
                    let step = self.fronts[front as usize].fleet.on_retry_due(at, trip);
                    self.follow(now, ticket, step);
                }
            }
            Event::Told(ticket, end) => self.told(now, ticket, end),
            Event::Returns(job) => {
                if self.jobs.get(&job).is_some_and(|one| !one.over) {
                    self.ask(now, job, true);
                }
            }
            Event::Copy(job) => {
                let tries = self.plan.habits.tries;
                let waits = |one: &Job| !one.over && !one.open.is_empty() && one.tries < tries;
                if self.jobs.get(&job).is_some_and(waits) {
                    self.ask(now, job, true);
                }
            }
            Event::Deadline(job) => self.limit(job),
            Event::Leaves(place, number) => {
                let one = &mut self.places[place as usize];
                if one.alive && !one.hangs {
                    one.node.left(now, number);
                    self.hear(place);
                }
                // Nothing more can come of one whose run was cut.
                if self.tries.get(&number).is_some_and(|one| one.over) {
                    self.tries.remove(&number);
                }
            }
            Event::Look(me) => {
                let at = self.clock(me);
                let _ = self.fronts[me as usize].fleet.tick(at);
                self.queue.after(LOOK, Event::Look(me));
            }
            Event::Rules => {
                if self.plan.check {
                    let at = Duration::from_nanos(now);
                    if let Err(broken) = self.rules.check_deadlines(at) {
                        self.measured.broken.get_or_insert(broken);
                    }
                    for front in &self.fronts {
                        let counts = front.fleet.counts();
                        let (first, further) = (counts.first_attempts, counts.retries);
                        let found = self.rules.check_retry_budget(
                            at,
                            first,
                            further,
                            self.plan.fronts.budget,
                            INITIAL_RETRIES,
                        );
                        if let Err(broken) = found {
                            self.measured.broken.get_or_insert(broken);
                        }
                    }
                }
                self.queue.after(RULES_LOOK, Event::Rules);
            }
            Event::Load(k) => {
                self.load = self.plan.load[k as usize].1;
                self.new_rate();
            }
            Event::Fault(k, begins) => self.fault(now, k, begins),
            Event::Deploy(k, at) => self.deploy(k, at),
            Event::Restarts(place) => self.starts(now, place),
            Event::AtBelow(call) => self.at_below(now, call),
            Event::CallBack(call, outcome) => {
                let Some(one) = self.calls.remove(&call) else {
                    return;
                };
                self.call_of.remove(&one.number);
                self.measured.second(now).calls_done += u64::from(outcome == Outcome::Succeeded);
                let place = &mut self.places[one.place as usize];
                if place.alive {
                    place.node.call_back(now, one.number, outcome);
                    self.hear(one.place);
                }
            }
            Event::CallCut(call) => {
                if self.calls.contains_key(&call) {
                    self.forget_call(now, call);
                    self.queue
                        .after(0, Event::CallBack(call, Outcome::TimedOut));
                }
            }
            Event::BelowDue(at, number) => {
                if self.under[at as usize].number == number {
                    self.under[at as usize].due = u64::MAX;
                    self.below_ends(now, at);
                }
            }
        }
    }

    /// A forwarder's clock.
    fn clock(&self, front: u32) -> Duration {
        Duration::from_nanos(self.queue.now() + self.fronts[front as usize].ahead)
    }

    fn new_rate(&mut self) {
        let parts: f64 = self.plan.tenants.iter().map(|one| one.part).sum();
        let flooded: f64 = self
            .plan
            .tenants
            .iter()
            .zip(&self.floods)
            .map(|(one, flood)| one.part * flood)
            .sum();
        self.rate = self.load * self.plan.whole_rate() * flooded / parts.max(1e-9);
        self.loads += 1;
        self.next_job();
    }

    fn next_job(&mut self) {
        if self.rate > 0.0 {
            let gap = -(1.0 - unit(&mut self.job_chance)).ln() / self.rate;
            let at = self.queue.now() + (gap * 1e9) as u64;
            if at < ns(self.plan.lasts) {
                self.queue.at(at, Event::Job(self.loads));
            }
        }
    }

    /// One of some by their parts.
    fn one_of(chance: &mut WyRand, parts: impl Iterator<Item = f64> + Clone) -> u16 {
        let mut left = unit(chance) * parts.clone().sum::<f64>();
        let mut last = 0;
        for (k, part) in parts.enumerate().filter(|(_, part)| *part > 0.0) {
            last = k;
            if left < part {
                break;
            }
            left -= part;
        }
        last as u16
    }

    fn job(&mut self, now: u64) {
        let plan = self.plan;
        let tenants = plan
            .tenants
            .iter()
            .zip(&self.floods)
            .map(|(one, flood)| one.part * flood);
        let tenant = Self::one_of(&mut self.job_chance, tenants);
        let traffic = Self::one_of(&mut self.job_chance, plan.types.iter().map(|one| one.part));
        let kind = &plan.types[usize::from(traffic)];
        let work = drawn(kind.work, &mut self.job_chance);
        let job = self.next_job;
        self.next_job += 1;
        self.live += 1;
        let made = Job {
            traffic,
            tenant,
            work,
            born: now,
            tries: 0,
            open: Vec::new(),
            may_have_run: false,
            over: false,
        };
        self.jobs.insert(job, made);
        self.measured.by_type[usize::from(traffic)].asked += 1;
        self.measured.by_tenant[usize::from(tenant)].asked += 1;
        self.measured.second(now).jobs.asked += 1;
        self.queue.after(ns(kind.outer_limit), Event::Deadline(job));
        if let Some(span) = plan
            .habits
            .second_copy
            .filter(|_| kind.kind == Kind::Rerunnable)
        {
            self.queue.after(ns(span), Event::Copy(job));
        }
        self.ask(now, job, false);
        self.next_job();
    }

    /// A dispatcher sends a ticket for a job.
    fn ask(&mut self, now: u64, job: u32, again: bool) {
        let plan = self.plan;
        let ticket = self.next_ticket;
        let Some(one) = self.jobs.get_mut(&job) else {
            return;
        };
        self.next_ticket += 1;
        one.tries += 1;
        one.open.push(ticket);
        let kind = &plan.types[usize::from(one.traffic)];
        let due = Duration::from_nanos(now) + kind.outer_limit + WAY_BACK;
        let again = again && plan.habits.marks;
        let front = if self.fronts.is_empty() {
            NOBODY
        } else {
            (unit(&mut self.habit_chance) * self.fronts.len() as f64) as u32
        };
        self.tickets.insert(
            ticket,
            Ticket {
                job,
                front,
                again,
                trip: None,
                at: NOBODY,
            },
        );
        self.measured.tickets += 1;
        self.saw(
            ticket,
            Saw::Asked {
                kind: kind.kind,
                due,
                front: if front == NOBODY { 0 } else { front },
            },
        );
        let way = self.way(0, 0).unwrap_or(0);
        self.queue.after(way, Event::Arrives(ticket));
    }

    fn arrives(&mut self, now: u64, ticket: u32) {
        let Some(one) = self.tickets.get(&ticket) else {
            return;
        };
        let (job, front, again) = (one.job, one.front, one.again);
        if front == NOBODY {
            return self.in_turn(now, ticket);
        }
        let Some(job) = self.jobs.get(&job) else {
            return;
        };
        let tenant = &self.plan.tenants[usize::from(job.tenant)];
        let fleet = &mut self.fronts[front as usize].fleet;
        let asked = Asked {
            request_class: fleet
                .table()
                .request_class(&self.plan.types[usize::from(job.traffic)].name)
                .unwrap_or(0),
            tenant: if tenant.stranger {
                None
            } else {
                fleet.table().tenant(&tenant.name)
            },
            tenant_hash: self.tenant_marks[usize::from(job.tenant)],
            is_retry: again,
            ..Asked::default()
        };
        let at = Duration::from_nanos(now + self.fronts[front as usize].ahead);
        let step = self.fronts[front as usize].fleet.on_arrival(at, &asked);
        self.follow(now, ticket, step);
    }

    /// Without forwarders: to the next node of the dispatchers' list.
    fn in_turn(&mut self, now: u64, ticket: u32) {
        let count = self.plan.nodes.count;
        let (again, job) = (self.tickets[&ticket].again, self.tickets[&ticket].job);
        let late = ns(self.plan.habits.late_list);
        // Its list still has those that died lately; if it has nobody else, it asks the next one all the same.
        let listed = |place: &Place| place.alive || now - place.died <= late;
        let turn = &mut self.turns[(job % self.plan.dispatchers) as usize];
        let next = (1..=count).map(|k| (*turn + k) % count);
        let first = (*turn + 1) % count;
        *turn = next
            .into_iter()
            .find(|k| listed(&self.places[*k as usize]))
            .unwrap_or(first);
        let place = *turn;
        self.send(now, ticket, place, again);
    }

    /// Carries out a step of a forwarder.
    fn follow(&mut self, now: u64, ticket: u32, step: NextAction) {
        match step {
            NextAction::Dispatch(trip, send) => {
                let Some(one) = self.tickets.get_mut(&ticket) else {
                    return;
                };
                one.trip = Some(trip);
                let place = self.fronts[one.front as usize].members[usize::from(send.to.member)];
                let number = self.send(now, ticket, place, send.is_retry);
                self.queue.after(ns(send.timeout), Event::Cut(number));
            }
            NextAction::Backoff(trip, wait) => {
                if let Some(one) = self.tickets.get_mut(&ticket) {
                    (one.trip, one.at) = (Some(trip), NOBODY);
                    self.queue.after(ns(wait), Event::Again(ticket));
                }
            }
            NextAction::Completed(over) => self.answer(ticket, over.outcome),
        }
    }

    /// A try goes to a node.
    fn send(&mut self, now: u64, ticket: u32, place: u32, again: bool) -> u32 {
        let number = self.next_try;
        self.next_try += 1;
        let from = self.hall_of(&self.tickets[&ticket]);
        if let Some(one) = self.tickets.get_mut(&ticket) {
            one.at = number;
        }
        let one = Try {
            ticket,
            node: place,
            again,
            came: now,
            ran: false,
            over: false,
        };
        self.tries.insert(number, one);
        self.measured.second(now).tries += 1;
        let to = self.hall(place);
        match self.way(from, to) {
            None => self
                .queue
                .after(OPENING, Event::Word(number, AttemptOutcome::Unreachable)),
            Some(way) => {
                // Its connection may break before the node reads it, or with the ticket in it.
                if self.plan.net.breaks > 0.0 && unit(&mut self.net_chance) < self.plan.net.breaks {
                    if unit(&mut self.net_chance) < 0.5 {
                        self.queue
                            .after(2 * way, Event::Word(number, AttemptOutcome::Broken));
                        return number;
                    }
                    let later = way + (unit(&mut self.net_chance) * 2e7) as u64;
                    self.queue
                        .after(later, Event::Word(number, AttemptOutcome::Broken));
                }
                self.queue.after(way, Event::AtNode(number));
            }
        }
        number
    }

    /// A try came to a node: how the last second of one that just started stands to its part of what a warm one bears.
    fn weigh_cold(&mut self, now: u64, place: u32) {
        let Some((warm_up, _)) = self
            .plan
            .nodes
            .cold
            .filter(|_| self.plan.fronts.warm_rate > 0)
        else {
            return;
        };
        let one = &mut self.places[place as usize];
        let Some(age) = one
            .born
            .map(|born| now - born)
            .filter(|age| *age < ns(warm_up))
        else {
            one.born = None;
            return;
        };
        one.lately.push_back(now);
        while one
            .lately
            .front()
            .is_some_and(|came| now - came >= ns(SECOND))
        {
            one.lately.pop_front();
        }
        let (warm_up, from) = (
            warm_up.as_secs_f64(),
            age.saturating_sub(ns(SECOND)) as f64 / 1e9,
        );
        // Its part rises evenly from a twentieth; read here as the page says it, not as forwarders count it.
        let sum = |age: f64| {
            let (flat, to) = (COLD * warm_up, age.clamp(COLD * warm_up, warm_up));
            COLD * age.min(flat) + (to * to - flat * flat) / (2.0 * warm_up) + (age - to).max(0.0)
        };
        let n = self.plan.fronts.warm_rate as f64 * (sum(from + 1.0) - sum(from));
        let over = (one.lately.len() as f64 - n) / (2.0 * n.sqrt() + 2.0);
        self.measured.cold_tries += 1;
        self.measured.cold_over = self.measured.cold_over.max(over);
    }

    fn at_node(&mut self, now: u64, number: u32) {
        let Some(one) = self.tries.get_mut(&number) else {
            return;
        };
        let (place, ticket) = (one.node, one.ticket);
        one.came = now;
        let at = &self.places[place as usize];
        if !at.alive {
            return self.back(number, AttemptOutcome::Unreachable);
        }
        self.weigh_cold(now, place);
        let at = &self.places[place as usize];
        if at.hangs {
            self.places[place as usize].stuck.push(number);
            return;
        }
        if let Some(pause) = at.lies {
            return self.back(
                number,
                AttemptOutcome::Rejected {
                    pause,
                    nowhere_else: false,
                },
            );
        }
        if let Some(after) = at.fails {
            self.runs(now, number);
            let way = self.way_back(number);
            if let Some(way) = way {
                self.queue
                    .after(after + way, Event::Word(number, AttemptOutcome::Failed));
            }
            return;
        }
        let Some(known) = self.tickets.get(&ticket) else {
            // Its ticket is over: the node is told so a little later.
            self.tries.remove(&number);
            return;
        };
        let Some(job) = self.jobs.get(&known.job) else {
            return;
        };
        let kind = &self.plan.types[usize::from(job.traffic)];
        let stranger = self.plan.tenants[usize::from(job.tenant)].stranger;
        // Tenants that are known stand in the settings in the plan's order, without the strangers.
        let before = self.plan.tenants[..usize::from(job.tenant)]
            .iter()
            .filter(|one| !one.stranger)
            .count();
        let task = Task {
            number,
            traffic: job.traffic,
            tenant: (!stranger).then_some(before as u16),
            work: job.work,
            again: self.tries[&number].again,
            came: now,
            exclusive: kind.kind == Kind::Exclusive,
            calls: kind.calls,
        };
        self.places[place as usize].node.arrives(now, task);
        self.hear(place);
    }

    /// Its run begins: it has its effect.
    fn runs(&mut self, now: u64, number: u32) {
        let Some(one) = self.tries.get_mut(&number) else {
            return;
        };
        one.ran = true;
        let (ticket, place, again, came) = (one.ticket, one.node, one.again, one.came);
        self.measured.node_runs[place as usize] += 1;
        self.measured.second(now).runs += 1;
        let _ = self.measured.waits.record(((now - came) / 1_000).max(1));
        self.saw(
            ticket,
            Saw::Ran {
                on: place,
                marked: again,
            },
        );
    }

    /// What a node said, on its way.
    fn hear(&mut self, place: u32) {
        let now = self.queue.now();
        let said: Vec<Said> = self.places[place as usize].node.said().collect();
        for said in said {
            match said {
                Said::Runs(number) => self.runs(now, number),
                Said::Done(number) => self.back(number, AttemptOutcome::Served),
                Said::Failed(number) => self.back(number, AttemptOutcome::Failed),
                Said::Calls(number, until) => self.call(now, place, number, until),
                Said::Forgoes(number) => {
                    if let Some(call) = self.call_of.remove(&number) {
                        self.forget_call(now, call);
                        self.calls.remove(&call);
                    }
                }
                Said::Dismissed(number, pause, nowhere_else) => {
                    self.back(
                        number,
                        AttemptOutcome::Rejected {
                            pause,
                            nowhere_else,
                        },
                    );
                }
            }
        }
        if self.places[place as usize].drains && self.places[place as usize].node.is_empty() {
            self.stops(place);
        }
        self.schedule(place);
    }

    /// A node calls the tier below: a balancer goes round its nodes, also to those that are dead.
    fn call(&mut self, now: u64, place: u32, number: u32, until: u64) {
        let call = self.next_call;
        self.next_call += 1;
        let work = self
            .plan
            .below
            .map_or(0, |below| drawn(below.work, &mut self.net_chance));
        let at = if self.under.is_empty() {
            NOBODY
        } else {
            call % self.under.len() as u32
        };
        self.calls.insert(
            call,
            Call {
                number,
                place,
                work,
                at,
            },
        );
        self.call_of.insert(number, call);
        let out = self.calls.len() as u64;
        let second = self.measured.second(now);
        second.calls += 1;
        second.most_calls = second.most_calls.max(out);
        let way = self.way(0, 0).unwrap_or(0);
        if at == NOBODY {
            self.queue
                .after(way, Event::CallBack(call, Outcome::Succeeded));
            return;
        }
        self.queue.after(way, Event::AtBelow(call));
        if until < u64::MAX {
            self.queue.at(until, Event::CallCut(call));
        }
    }

    fn at_below(&mut self, now: u64, call: u32) {
        let Some(one) = self.calls.get(&call) else {
            return;
        };
        let (at, work) = (one.at, one.work);
        let Some(below) = self.plan.below else { return };
        let under = &mut self.under[at as usize];
        let way = ns(self.plan.net.delay.0);
        if !under.alive {
            self.queue
                .after(way, Event::CallBack(call, Outcome::Unreachable));
        } else if under.machine.running() < below.at_once as usize {
            under.machine.start(now, call, work);
        } else if under.held.len() < below.hold as usize {
            under.held.push_back(call);
        } else {
            self.queue
                .after(way, Event::CallBack(call, Outcome::Rejected));
        }
        self.below_next(now, at);
    }

    /// Puts the next event of a node of the tier below into the queue, if it has become another.
    fn below_next(&mut self, _: u64, at: u32) {
        let under = &mut self.under[at as usize];
        let due = under.machine.next_end().unwrap_or(u64::MAX);
        if due != under.due {
            under.due = due;
            under.number = under.number.wrapping_add(1);
            if due < u64::MAX {
                self.queue.at(due, Event::BelowDue(at, under.number));
            }
        }
    }

    fn below_ends(&mut self, now: u64, at: u32) {
        let way = ns(self.plan.net.delay.0);
        while let Some(call) = self.under[at as usize].machine.ended(now) {
            self.queue
                .after(way, Event::CallBack(call, Outcome::Succeeded));
        }
        self.below_fills(now, at);
    }

    fn below_fills(&mut self, now: u64, at: u32) {
        let most = self.plan.below.map_or(0, |below| below.at_once as usize);
        while self.under[at as usize].machine.running() < most {
            let Some(call) = self.under[at as usize].held.pop_front() else {
                break;
            };
            if let Some(work) = self.calls.get(&call).map(|one| one.work) {
                self.under[at as usize].machine.start(now, call, work);
            }
        }
        self.below_next(now, at);
    }

    /// Nobody waits for a call: the tier below drops it.
    fn forget_call(&mut self, now: u64, call: u32) {
        let Some(at) = self
            .calls
            .get(&call)
            .map(|one| one.at)
            .filter(|at| *at != NOBODY)
        else {
            return;
        };
        let under = &mut self.under[at as usize];
        under.held.retain(|held| *held != call);
        under.machine.stop(now, call);
        self.below_fills(now, at);
    }

    fn below_dies(&mut self, now: u64, at: u32) {
        let under = &mut self.under[at as usize];
        under.alive = false;
        under.machine.clear(now);
        under.held.clear();
        let mut lost: Vec<u32> = self
            .calls
            .iter()
            .filter(|(_, one)| one.at == at)
            .map(|(call, _)| *call)
            .collect();
        lost.sort_unstable();
        // Those on their way find a closed door; the others lose their connection, and may have run.
        for call in lost {
            self.queue.after(
                ns(self.plan.net.delay.0),
                Event::CallBack(call, Outcome::Disconnected),
            );
        }
        self.below_next(now, at);
    }

    fn way_back(&mut self, number: u32) -> Option<u64> {
        let one = self.tries.get(&number)?;
        let (place, ticket) = (one.node, one.ticket);
        let to = self.tickets.get(&ticket).map(|one| self.hall_of(one))?;
        let from = self.hall(place);
        self.way(from, to)
    }

    /// Word of a try sets out; across a partition it is lost.
    fn back(&mut self, number: u32, back: AttemptOutcome) {
        if self.tries.get(&number).is_some_and(|one| one.over) {
            // Nobody asks for it any more.
            let one = self.tries.remove(&number);
            self.measured.wasted_runs += u64::from(one.is_some_and(|one| one.ran));
            return;
        }
        if let Some(way) = self.way_back(number) {
            self.queue.after(way, Event::Word(number, back));
        }
    }

    /// A forwarder, or a dispatcher, tells a node that it does not wait for a try.
    fn nobody_waits(&mut self, number: u32) {
        let Some(one) = self.tries.get(&number) else {
            return;
        };
        let place = one.node;
        let way = self.way_back(number).unwrap_or(OPENING);
        self.queue.after(way, Event::Leaves(place, number));
    }

    /// Word of a try arrives.
    fn word(&mut self, now: u64, number: u32, back: AttemptOutcome) {
        let Some(one) = self.tries.get_mut(&number).filter(|one| !one.over) else {
            // Late: it was cut, or its caller left.
            if let Some(one) = self.tries.remove(&number) {
                self.measured.wasted_runs += u64::from(one.ran);
            }
            return;
        };
        one.over = true;
        let ticket = one.ticket;
        // After these the node may still have it, and be done later.
        if !matches!(back, AttemptOutcome::TimedOut | AttemptOutcome::Broken) {
            self.tries.remove(&number);
        }
        let Some(known) = self.tickets.get_mut(&ticket).filter(|one| one.at == number) else {
            return;
        };
        if known.front == NOBODY {
            let end = match back {
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
            return self.told(now, ticket, end);
        }
        let back = match (self.plan.bug, back) {
            (Some(Bug::BrokenIsUnreachable), AttemptOutcome::Broken) => AttemptOutcome::Unreachable,
            (_, back) => back,
        };
        let Some(trip) = known.trip.take() else {
            return;
        };
        let front = known.front;
        let at = self.clock(front);
        let step = self.fronts[front as usize]
            .fleet
            .on_attempt_outcome(at, trip, back);
        self.follow(now, ticket, step);
    }

    /// A forwarder's one answer sets out.
    fn answer(&mut self, ticket: u32, end: RequestOutcome) {
        let way = self.way(0, 0).unwrap_or(0);
        self.queue.after(way, Event::Told(ticket, end));
    }

    /// A ticket's answer is there.
    fn told(&mut self, now: u64, ticket: u32, end: RequestOutcome) {
        let Some(one) = self.tickets.remove(&ticket) else {
            return;
        };
        let answer = match end {
            RequestOutcome::Served => Answer::Honoured,
            RequestOutcome::Rejected { .. } => Answer::Dismissed,
            RequestOutcome::Failed | RequestOutcome::CallerGone => Answer::GivenUp,
        };
        self.saw(ticket, Saw::Answered(answer));
        let number = one.job;
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.open.retain(|one| *one != ticket);
        job.may_have_run |= answer == Answer::GivenUp;
        if job.over {
            return;
        }
        let habits = &self.plan.habits;
        let kind = &self.plan.types[usize::from(job.traffic)];
        let took = now - job.born;
        let left = ns(kind.outer_limit).saturating_sub(took);
        match end {
            RequestOutcome::Served => {
                let _ = self.measured.times.record((took / 1_000).max(1));
                let end = if took <= ns(kind.goal) {
                    JobEnd::Good
                } else {
                    JobEnd::Late
                };
                self.job_over(number, end);
            }
            RequestOutcome::Rejected {
                after,
                nowhere_else,
            } => {
                let wait = if habits.heeds {
                    ns(after).max(AT_ONCE)
                } else {
                    AT_ONCE
                };
                if job.tries < habits.tries && wait < left && !(nowhere_else && habits.heeds) {
                    self.queue.after(wait, Event::Returns(number));
                } else if job.open.is_empty() {
                    self.job_over(number, JobEnd::Dismissed);
                }
            }
            RequestOutcome::Failed | RequestOutcome::CallerGone => {
                // Only what may run any number of times is asked for again.
                if kind.kind == Kind::Rerunnable && job.tries < habits.tries && AT_ONCE < left {
                    self.queue.after(AT_ONCE, Event::Returns(number));
                } else if job.open.is_empty() {
                    self.job_over(number, JobEnd::GivenUp);
                }
            }
        }
    }

    fn job_over(&mut self, number: u32, end: JobEnd) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.over = true;
        self.live -= 1;
        let (traffic, tenant, born, open) = (
            job.traffic,
            job.tenant,
            job.born,
            std::mem::take(&mut job.open),
        );
        self.measured.by_type[usize::from(traffic)].ended(end);
        self.measured.by_tenant[usize::from(tenant)].ended(end);
        self.measured.second(born).jobs.ended(end);
        // Copies of it that are out are given up.
        self.give_up(open);
    }

    /// A dispatcher does not wait for these tickets any more.
    fn give_up(&mut self, open: Vec<u32>) {
        for ticket in open {
            self.saw(ticket, Saw::Left);
            let Some(mut one) = self.tickets.remove(&ticket) else {
                continue;
            };
            if let Some(try_out) = self.tries.get_mut(&one.at).filter(|one| !one.over) {
                try_out.over = true;
                let place = try_out.node;
                self.queue.after(AT_ONCE / 20, Event::Leaves(place, one.at));
            }
            if let Some(trip) = one.trip.take() {
                let at = self.clock(one.front);
                let _ = self.fronts[one.front as usize].fleet.on_attempt_outcome(
                    at,
                    trip,
                    AttemptOutcome::CallerLeft,
                );
            }
        }
    }

    /// A job's outer limit.
    fn limit(&mut self, number: u32) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if !job.over {
            let may_have_run = job.may_have_run || !job.open.is_empty();
            self.job_over(
                number,
                if may_have_run {
                    JobEnd::GivenUp
                } else {
                    JobEnd::Dismissed
                },
            );
        }
        // Nothing speaks of it any more: its tickets are given up, and no event is later than this one.
        self.jobs.remove(&number);
    }

    fn fault(&mut self, now: u64, k: u32, begins: bool) {
        let Fault { trouble, .. } = self.plan.faults[k as usize];
        let met = self.met[k as usize].clone();
        match trouble {
            Trouble::Die => {
                for place in met {
                    if begins {
                        self.dies(place);
                    } else {
                        self.starts(now, place);
                    }
                }
            }
            Trouble::Slow(times) => {
                let speed = if begins { 1.0 / times.max(1e-3) } else { 1.0 };
                self.each(&met, |place| place.node.set_fault(now, speed));
            }
            Trouble::StandStill => {
                let speed = if begins { 0.0 } else { 1.0 };
                self.each(&met, |place| place.node.set_fault(now, speed));
            }
            Trouble::Hang => {
                for at in met {
                    if begins {
                        self.places[at as usize].hangs = true;
                        self.places[at as usize].node.set_fault(now, 0.0);
                        self.schedule(at);
                    } else {
                        // It is killed and started again: nothing of it goes on.
                        self.dies(at);
                        self.starts(now, at);
                    }
                }
            }
            Trouble::FailFast(after) => {
                self.each(&met, |place| place.fails = begins.then_some(ns(after)));
            }
            Trouble::Lie(pause) => self.each(&met, |place| place.lies = begins.then_some(pause)),
            Trouble::Neighbour(cores) => {
                let cores = if begins { cores } else { 0.0 };
                self.each(&met, |place| place.node.set_taken(now, cores));
            }
            Trouble::Deploy(_) if begins => self.queue.after(0, Event::Deploy(k, 0)),
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
                self.new_rate();
            }
            Trouble::BelowDies(count) => {
                for at in 0..count.min(self.under.len() as u32) {
                    if begins {
                        self.below_dies(now, at);
                    } else {
                        self.under[at as usize].alive = true;
                    }
                }
            }
            Trouble::ClockJump(span) => {
                if begins {
                    self.fronts
                        .iter_mut()
                        .for_each(|front| front.ahead += ns(span));
                }
            }
        }
    }

    fn each(&mut self, met: &[u32], mut change: impl FnMut(&mut Place)) {
        for at in met {
            change(&mut self.places[*at as usize]);
            self.schedule(*at);
        }
    }

    /// A node's process ends: what is in it is gone, connections break.
    fn dies(&mut self, place: u32) {
        let one = &mut self.places[place as usize];
        if !one.alive {
            return;
        }
        one.alive = false;
        one.died = self.queue.now();
        self.links_fall(place);
        let one = &mut self.places[place as usize];
        let mut inside = one.node.inside();
        inside.append(&mut one.stuck);
        let now = self.queue.now();
        self.measured.node_busy_ms[place as usize] += one.node.used_ms(now);
        for number in inside {
            if self.tries.get(&number).is_some_and(|one| one.over) {
                self.tries.remove(&number);
            } else {
                self.back(number, AttemptOutcome::Broken);
            }
        }
        self.schedule(place);
    }

    /// Its connections are gone, and forwarders know nothing of who comes next.
    fn links_fall(&mut self, place: u32) {
        let known_to = self.places[place as usize].known_to.clone();
        for (front, _) in known_to {
            let at = self.clock(front);
            self.fronts[front as usize]
                .fleet
                .on_disconnected(&address(place), at);
        }
    }

    /// It stops with nothing in it.
    fn stops(&mut self, place: u32) {
        let one = &mut self.places[place as usize];
        if one.alive {
            one.alive = false;
            one.died = self.queue.now();
            one.drains = false;
            let now = self.queue.now();
            self.measured.node_busy_ms[place as usize] += one.node.used_ms(now);
        }
        self.schedule(place);
    }

    fn starts(&mut self, now: u64, place: u32) {
        let plan = self.plan;
        if self.places[place as usize].alive {
            self.dies(place);
        }
        let seed = plan.seed ^ u64::from(place) ^ now;
        let node = Node::new(
            &plan.nodes,
            &plan.types,
            &self.shares,
            plan.whole_rate(),
            seed,
            now,
            true,
        );
        let one = &mut self.places[place as usize];
        one.node = node;
        (one.alive, one.hangs, one.drains) = (true, false, false);
        one.born = Some(now);
        one.lately.clear();
        one.due = u64::MAX;
        let known_to = one.known_to.clone();
        // Whoever connects anew knows that it is a new one.
        let address = address(place);
        for (front, _) in known_to {
            let at = self.clock(front);
            self.fronts[front as usize].fleet.on_restarted(&address, at);
        }
        self.schedule(place);
    }

    /// The next node of a rolling deploy begins to drain.
    fn deploy(&mut self, k: u32, at: u32) {
        let Fault {
            trouble: Trouble::Deploy(out),
            from,
            to,
            ..
        } = self.plan.faults[k as usize]
        else {
            return;
        };
        let met = &self.met[k as usize];
        let Some(place) = met.get(at as usize).copied() else {
            return;
        };
        let gap = ns(to - from) / met.len().max(1) as u64;
        self.queue.after(gap, Event::Deploy(k, at + 1));
        self.queue.after(ns(out), Event::Restarts(place));
        let one = &mut self.places[place as usize];
        if !one.alive {
            return;
        }
        (one.drains, one.node.drains) = (true, true);
        let (known_to, address) = (one.known_to.clone(), address(place));
        for (front, _) in known_to {
            let at = self.clock(front);
            self.fronts[front as usize].fleet.on_leaving(&address, at);
        }
        self.hear(place);
    }
}
