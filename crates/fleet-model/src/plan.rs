//! What one run models: fleet, load, client behaviour, faults. A plan with its seed determines the run completely.

use rainstand_invariants::Kind;
use std::time::Duration;

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct TypePlan {
    pub name: String,
    pub kind: Kind,
    /// Latency objective.
    pub goal: Duration,
    /// Deadline.
    pub outer_limit: Duration,
    /// Weight of the class in the mix of requests.
    pub part: f64,
    /// Core time of a run.
    pub work: Work,
    /// Its runs make a downstream call half way through.
    pub calls: bool,
    /// Share of the value that a degraded answer, without the downstream call, still has.
    pub poorer: f64,
}

/// The downstream service: plain nodes behind a round-robin balancer that includes dead ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BelowPlan {
    pub count: u32,
    /// Concurrent calls of each node, and the capacity of its queue.
    pub at_once: u32,
    pub hold: u32,
    /// Core time of a call.
    pub work: Work,
}

/// Distribution of the core time of runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    Fixed(Duration),
    Between(Duration, Duration),
    /// Exponential with this mean.
    About(Duration),
}

impl Work {
    pub fn mean(self) -> Duration {
        match self {
            Work::Fixed(span) | Work::About(span) => span,
            Work::Between(least, most) => (least + most) / 2,
        }
    }
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantPlan {
    pub name: String,
    /// Weight of the tenant in the load.
    pub part: f64,
    /// Guaranteed share of the fleet; 0: none.
    pub share: f64,
    /// The tenant is not in the configuration.
    pub stranger: bool,
}

/// How clients behave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Habits {
    /// Maximum number of requests for a job, including the first.
    pub tries: u32,
    /// Waits for the retry-after of a rejection; otherwise retries immediately.
    pub heeds: bool,
    /// Marks retries as retries.
    pub marks: bool,
    /// Sends a hedged request for a rerunnable job that has no result after this time.
    pub second_copy: Option<Duration>,
    /// How far the list of nodes lags, for clients that send to nodes directly.
    pub late_list: Duration,
}

impl Default for Habits {
    fn default() -> Self {
        Self {
            tries: 3,
            heeds: true,
            marks: true,
            second_copy: None,
            late_list: Duration::from_secs(2),
        }
    }
}

/// How a node admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// Runs `at_once` requests concurrently and queues up to `hold` more, first in, first out.
    Plain { at_once: u32, hold: u32 },
    /// The project's admission controller (`rainstand::AdmissionController`).
    Ours,
}

/// The nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct NodePlan {
    pub count: u32,
    pub cores: u32,
    pub kind: NodeKind,
    /// Added slowdown per excess run per core.
    pub crowding: f64,
    /// Duration of the warm-up after a start, and the factor by which runs are slower.
    pub cold: Option<(Duration, f64)>,
    /// Number of zones; nodes and forwarders are assigned to them round robin.
    pub halls: u32,
}

impl NodePlan {
    /// The warm-up of a node that starts cold at `now` (ns); none if the plan has no warm-up.
    pub fn cold_start(&self, now: u64) -> Option<rainstand::ColdStart> {
        self.cold.map(|(span, slower)| rainstand::ColdStart {
            began: Duration::from_nanos(now),
            initial_speed: 1.0 / slower.max(1.0),
            warm_up: span,
        })
    }
}

/// How a forwarder selects a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    TwoChoices,
    LeastKnown,
    InTurn,
}

/// The forwarders. If there are none, clients send to the nodes directly, round robin.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontPlan {
    pub count: u32,
    /// Number of members that each forwarder knows; 0: all.
    pub know: u32,
    pub pick: Pick,
    /// Maximum number of attempts for a request, including the first.
    pub tries: u32,
    /// Retry budget, as a share of first attempts.
    pub budget: f64,
    /// Minimum and maximum backoff before a retry.
    pub wait: (Duration, Duration),
    /// Share of members that is never ejected; none: no health checks.
    pub keep: Option<f64>,
    /// Limit on concurrent requests to a member; 0: only the learned limit.
    pub at_once: u64,
    /// Requests per second that a warm node can take from all forwarders, which a starting node gets a ramped share of;
    /// 0: not configured.
    pub warm_rate: u64,
}

impl Default for FrontPlan {
    fn default() -> Self {
        Self {
            count: 2,
            know: 0,
            pick: Pick::LeastKnown,
            tries: 3,
            budget: 0.2,
            wait: (Duration::from_millis(5), Duration::from_millis(25)),
            keep: Some(0.5),
            at_once: 0,
            warm_rate: 0,
        }
    }
}

/// The network between any two processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetPlan {
    /// Minimum and maximum one-way delay.
    pub delay: (Duration, Duration),
    /// Additional delay between zones.
    pub far: Duration,
    /// Share of messages whose connection breaks.
    pub breaks: f64,
}

impl Default for NetPlan {
    fn default() -> Self {
        let delay = (Duration::from_micros(100), Duration::from_micros(300));
        Self {
            delay,
            far: Duration::from_millis(1),
            breaks: 0.0,
        }
    }
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Nodes die: their requests are lost and connections break; at the end they restart, cold.
    Die,
    /// Runs are slower by this factor.
    Slow(f64),
    /// Nodes accept requests and never answer; their runs never continue.
    Hang,
    /// Nodes stall, then continue where they were.
    StandStill,
    /// Each request fails after this time, after its side effect.
    FailFast(Duration),
    /// A neighbour uses this many cores.
    Neighbour(f64),
    /// Nodes reject everything as overloaded, with this retry-after.
    Lie(Duration),
    /// Nodes are drained, stopped and restarted one after another, each with this downtime.
    Deploy(Duration),
    /// Zones cannot reach one another.
    Partition,
    /// The load of a tenant, given by its index, is multiplied by this factor.
    Flood(u32, f64),
    /// The forwarders' clocks jump forward by this when the fault begins, and stay ahead.
    ClockJump(Duration),
    /// This many downstream nodes die.
    BelowDies(u32),
}

/// The nodes that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Whom {
    /// A random share of the nodes.
    Share(f64),
    /// The first nodes, this many.
    First(u32),
    /// The nodes of a zone.
    Hall(u32),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub from: Duration,
    pub to: Duration,
    pub trouble: Trouble,
    pub whom: Whom,
}

/// An injected bug, for tests of the invariant checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    /// A connection that broke with a request in flight is treated as one that could not be opened.
    BrokenIsUnreachable,
}

/// A plan: everything that determines a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: u64,
    /// Jobs start for this long; then requests in flight are completed.
    pub lasts: Duration,
    pub types: Vec<TypePlan>,
    pub tenants: Vec<TenantPlan>,
    /// Number of clients.
    pub dispatchers: u32,
    pub habits: Habits,
    pub nodes: NodePlan,
    pub fronts: FrontPlan,
    pub net: NetPlan,
    /// None: downstream calls succeed after a network delay.
    pub below: Option<BelowPlan>,
    /// Load as a share of all cores, from each point in time.
    pub load: Vec<(Duration, f64)>,
    pub faults: Vec<Fault>,
    pub bug: Option<Bug>,
    /// Whether invariants are checked after each step.
    pub check: bool,
}

impl Default for Plan {
    fn default() -> Self {
        let ms = Duration::from_millis;
        let class = |name: &str, kind, part| TypePlan {
            name: name.into(),
            kind,
            goal: ms(1_000),
            outer_limit: ms(3_000),
            part,
            work: Work::Between(ms(10), ms(30)),
            calls: false,
            poorer: 1.0,
        };
        let tenant = TenantPlan {
            name: "acme".into(),
            part: 1.0,
            share: 0.5,
            stranger: false,
        };
        Self {
            seed: 1,
            lasts: Duration::from_secs(10),
            types: vec![
                class("check", Kind::Rerunnable, 4.0),
                class("register", Kind::Exclusive, 1.0),
            ],
            tenants: vec![tenant],
            dispatchers: 4,
            habits: Habits::default(),
            nodes: NodePlan {
                count: 10,
                cores: 4,
                kind: NodeKind::Plain {
                    at_once: 4,
                    hold: 40,
                },
                crowding: 0.0,
                cold: None,
                halls: 1,
            },
            fronts: FrontPlan::default(),
            net: NetPlan::default(),
            below: None,
            load: vec![(Duration::ZERO, 0.6)],
            faults: Vec::new(),
            bug: None,
            check: true,
        }
    }
}

impl Plan {
    /// Requests per second that use all cores.
    pub fn whole_rate(&self) -> f64 {
        let parts: f64 = self.types.iter().map(|class| class.part).sum();
        let work: f64 = self
            .types
            .iter()
            .map(|class| class.part * class.work.mean().as_secs_f64())
            .sum();
        f64::from(self.nodes.count) * f64::from(self.nodes.cores) * parts / work.max(1e-9)
    }

    /// Checks that the plan is valid.
    ///
    /// # Errors
    /// What is invalid.
    pub fn check(&self) -> Result<(), String> {
        let is_share = |share: f64| (0.0..=1.0).contains(&share);
        if self.types.is_empty()
            || self.tenants.is_empty()
            || self.nodes.count == 0
            || self.dispatchers == 0
        {
            return Err("a fleet needs types, tenants, nodes and dispatchers".into());
        }
        if self.nodes.halls == 0 {
            return Err("a fleet needs at least one hall".into());
        }
        if self.fronts.count > 0 && self.nodes.count > 65_000 && self.fronts.know == 0 {
            return Err("a forwarder can know at most 65000 members".into());
        }
        if self
            .types
            .iter()
            .any(|class| class.goal > class.outer_limit || class.work.mean().is_zero())
        {
            return Err(
                "a type's goal must not exceed its outer limit, and its work must not be zero"
                    .into(),
            );
        }
        if !is_share(self.net.breaks) || !is_share(self.fronts.budget) || self.load.is_empty() {
            return Err("shares must be between 0 and 1, and the load must not be empty".into());
        }
        if self.faults.iter().any(|fault| fault.from >= fault.to) {
            return Err("a fault must end after it begins".into());
        }
        Ok(())
    }
}
