//! What is modelled in one run: fleet, load, habits, faults. A plan and its seed settle the run to the byte.

use rainstand_invariants::Kind;
use std::time::Duration;

/// One kind of ticket.
#[derive(Clone, Debug, PartialEq)]
pub struct TypePlan {
    pub name: String,
    pub kind: Kind,
    pub goal: Duration,
    pub outer_limit: Duration,
    /// Its part of all tickets, against the other types.
    pub part: f64,
    /// Core time of a run.
    pub work: Work,
    /// Its runs call the tier below, half way.
    pub calls: bool,
    /// Share of its benefit that an answer without the call still earns.
    pub poorer: f64,
}

/// The tier below: plain nodes behind a balancer that goes round, also to those that are dead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BelowPlan {
    pub count: u32,
    /// Calls at a time at each, and those that wait there.
    pub at_once: u32,
    pub hold: u32,
    /// Time of a call on one of its cores.
    pub work: Work,
}

/// Core time of runs, by chance.
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
    /// Its part of the load, against the others.
    pub part: f64,
    /// Share of the fleet that it was promised; 0: none.
    pub share: f64,
    /// The configuration does not know it.
    pub stranger: bool,
}

/// What dispatchers do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Habits {
    /// Tries of one job in all, the first counted.
    pub tries: u32,
    /// Keeps the told time; else comes back at once.
    pub heeds: bool,
    /// Says that a further try is one.
    pub marks: bool,
    /// A second copy of a rerunnable job where nothing came by then.
    pub second_copy: Option<Duration>,
    /// How late its list of nodes is, where it goes to them itself.
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

/// How a node decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// So many at a time, the rest in order of coming in a hold with a bound.
    Plain { at_once: u32, hold: u32 },
    /// The project's own node (`rainstand::Node`).
    Ours,
}

/// The nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct NodePlan {
    pub count: u32,
    pub cores: u32,
    pub kind: NodeKind,
    /// How much more runs than cores slow all down.
    pub crowding: f64,
    /// After a start runs take so much longer, for so long.
    pub cold: Option<(Duration, f64)>,
    /// Halls in which they and the forwarders stand, in turn.
    pub halls: u32,
}

impl NodePlan {
    /// What a node that starts cold at `now`, in nanoseconds, is told of its warm-up; none where the plan has none.
    pub fn cold_start(&self, now: u64) -> Option<rainstand::ColdStart> {
        self.cold.map(|(span, slower)| rainstand::ColdStart {
            began: Duration::from_nanos(now),
            initial_speed: 1.0 / slower.max(1.0),
            warm_up: span,
        })
    }
}

/// How a forwarder picks a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    TwoChoices,
    LeastKnown,
    InTurn,
}

/// The forwarders; without any, dispatchers go to the nodes themselves, in turn.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontPlan {
    pub count: u32,
    /// Members that each knows; 0: all.
    pub know: u32,
    pub pick: Pick,
    pub tries: u32,
    /// Share of first tries.
    pub budget: f64,
    pub wait: (Duration, Duration),
    /// Share of members never left out; none: health is not judged.
    pub keep: Option<f64>,
    /// Bound on tickets at once toward a member; 0: as learned alone.
    pub at_once: u64,
    /// Calls a second that a warm node bears from all of them, so that one that just started gets a part of it; 0:
    /// nobody says.
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

/// The network between any two.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetPlan {
    /// One way.
    pub delay: (Duration, Duration),
    /// More between halls.
    pub far: Duration,
    /// Share of messages with which their connection breaks.
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

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Nodes die: what is in them is gone, connections break; at the end they start again, cold.
    Die,
    /// Runs take so much longer.
    Slow(f64),
    /// They take everything and answer nothing; nothing on them goes on, now or later.
    Hang,
    /// They stand still, and then go on as if nothing had been.
    StandStill,
    /// Each ticket fails after this time; it had its effect.
    FailFast(Duration),
    /// A neighbour takes so many cores.
    Neighbour(f64),
    /// They say that they are full, whatever they have.
    Lie(Duration),
    /// Each is drained, stopped and started again, one after another, out for this time each.
    Deploy(Duration),
    /// Halls do not reach one another.
    Partition,
    /// A tenant, by its place, asks for so many times its load.
    Flood(u32, f64),
    /// The forwarders' clocks jump by this at the beginning and stay so.
    ClockJump(Duration),
    /// So many nodes of the tier below die.
    BelowDies(u32),
}

/// Whom a trouble meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Whom {
    /// A share of the nodes, by chance.
    Share(f64),
    /// The first so many.
    First(u32),
    Hall(u32),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub from: Duration,
    pub to: Duration,
    pub trouble: Trouble,
    pub whom: Whom,
}

/// A bug planted on purpose, for those who test the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    /// A connection that broke with a ticket on it is taken for one that was never there.
    BrokenIsUnreachable,
}

/// See the module's head.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: u64,
    /// Tickets come for this long; then what is in hand ends.
    pub lasts: Duration,
    pub types: Vec<TypePlan>,
    pub tenants: Vec<TenantPlan>,
    pub dispatchers: u32,
    pub habits: Habits,
    pub nodes: NodePlan,
    pub fronts: FrontPlan,
    pub net: NetPlan,
    /// None: calls come back at once.
    pub below: Option<BelowPlan>,
    /// Load as a share of all cores, from each time on.
    pub load: Vec<(Duration, f64)>,
    pub faults: Vec<Fault>,
    pub bug: Option<Bug>,
    /// The rules are checked after each step.
    pub check: bool,
}

impl Default for Plan {
    fn default() -> Self {
        let ms = Duration::from_millis;
        let named = |name: &str, kind, part| TypePlan {
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
                named("check", Kind::Rerunnable, 4.0),
                named("register", Kind::Exclusive, 1.0),
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
    /// Tickets a second at a load of all cores.
    pub fn whole_rate(&self) -> f64 {
        let parts: f64 = self.types.iter().map(|one| one.part).sum();
        let work: f64 = self
            .types
            .iter()
            .map(|one| one.part * one.work.mean().as_secs_f64())
            .sum();
        f64::from(self.nodes.count) * f64::from(self.nodes.cores) * parts / work.max(1e-9)
    }

    /// # Errors
    /// What in it makes no sense.
    pub fn check(&self) -> Result<(), String> {
        let sound = |share: f64| (0.0..=1.0).contains(&share);
        if self.types.is_empty()
            || self.tenants.is_empty()
            || self.nodes.count == 0
            || self.dispatchers == 0
        {
            return Err("a fleet needs types, tenants, nodes and dispatchers".into());
        }
        if self.nodes.halls == 0 {
            return Err("nodes stand in at least one hall".into());
        }
        if self.fronts.count > 0 && self.nodes.count > 65_000 && self.fronts.know == 0 {
            return Err("a forwarder knows at most 65000 members".into());
        }
        if self
            .types
            .iter()
            .any(|one| one.goal > one.outer_limit || one.work.mean().is_zero())
        {
            return Err(
                "a type's goal lies within its outer limit, and its runs take some time".into(),
            );
        }
        if !sound(self.net.breaks) || !sound(self.fronts.budget) || self.load.is_empty() {
            return Err("shares lie between 0 and 1, and there is some load".into());
        }
        if self.faults.iter().any(|fault| fault.from >= fault.to) {
            return Err("a fault ends after it begins".into());
        }
        Ok(())
    }
}
