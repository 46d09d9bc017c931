//! A ticket's way through a forwarder, decided: route and limits, a member, what follows each try, and the one
//! answer. Sockets are elsewhere; they carry out a [`Send`] and bring back what [`Came`](Back).
//!
//! Rules held here: every [`Trip`] ends in exactly one [`End`]; what may have run is never dismissed unless its
//! type may run any number of times, and sent again only as [`crate::attempts`] allows; the cut of each try lies
//! within what is left of the goal time, so an answer is there before it.
//!
//! Invariant: a member's `open` count, its limit's and what its health owes are the trips that are at it.

use crate::attempts::{self, Budget, Came, Next, Policy, Tried};
use crate::choice::{self, How, Member};
use crate::health::{Change, Health, Rules, Standing};
use crate::split::mark;
use crate::table::{Table, Ticket};
use crate::toward::Toward;
use crate::versions::{Router, Turned, Verdict, Way};
use crate::Refused;
use foldhash::{HashMap, HashMapExt};
use nanorand::WyRand;
use rainstand_config::schema::{self, Configuration, RepeatKind};
use rainstand_config::units::ONE;
use std::time::Duration;

/// Told where nothing else is known of when to come back.
const COME_BACK: Duration = Duration::from_millis(500);
/// A try is assumed to take so long while nobody knows.
const USUAL: Duration = Duration::from_millis(20);
/// Changes of standing between two looks that are told.
const MOST_CHANGES: usize = 1_000;
/// Pairs of member and tenant whose told times are kept, 16 bytes each; more members and tenants than that
/// share them.
const MOST_PAUSES: usize = 1 << 20;

/// A member of a pool of the present version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct At {
    pub pool: u16,
    pub member: u16,
}

/// Where a try goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Send {
    pub to: At,
    /// It takes no longer than this; what then has not come is [`Back::TimedOut`].
    pub cut: Duration,
    /// It goes out marked as a further try.
    pub again: bool,
    pub how: How,
}

/// What came of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Back {
    Honoured,
    /// With when to come back and whether elsewhere is no use.
    Dismissed {
        pause: Duration,
        nowhere_else: bool,
    },
    /// Given up there, or an exception.
    Failed,
    /// No connection: proved not run.
    Unreachable,
    /// The connection broke with the ticket on it.
    Broken,
    TimedOut,
    /// Its own caller left; nothing is owed any more.
    CallerLeft,
}

/// The one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Honoured,
    Dismissed {
        after: Duration,
        nowhere_else: bool,
    },
    GivenUp,
    /// Nobody waits for one.
    Nobody,
}

/// A ticket under way. Lost if it is dropped: it goes back with [`Fleet::came`] or [`Fleet::again`].
#[must_use = "a trip that is dropped keeps its places for ever"]
#[derive(Debug)]
pub struct Trip {
    way: Way,
    ticket: (u16, Option<u16>, String),
    repeat: RepeatKind,
    again: bool,
    policy: Policy,
    tries: u32,
    arrived: Duration,
    goal: Duration,
    may_have_run: bool,
    /// The member of the last try, and when it was sent.
    at: Option<(At, String, Duration)>,
    /// That try has not come back yet.
    out: bool,
}

#[derive(Debug)]
pub enum Step {
    /// Sent now.
    Go(Trip, Send),
    /// To be sent again after this wait, with [`Fleet::again`].
    Wait(Trip, Duration),
    Over(End),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub first_tries: u64,
    pub further_tries: u64,
    pub honoured: u64,
    pub dismissed: u64,
    pub given_up: u64,
    pub nobody: u64,
}

struct Pool {
    addresses: Vec<String>,
    members: Vec<Member>,
    toward: Vec<Toward>,
    health: Option<Health>,
}

/// See the module's head.
pub struct Fleet {
    router: Router,
    zone: String,
    pools: Vec<Pool>,
    /// Until when a member told a tenant to stay away, by member over all pools and tenant.
    pauses: HashMap<(u16, u16, u16), Duration>,
    budget: Budget,
    chance: WyRand,
    counts: Counts,
    /// Changes of standing since the last look.
    changes: Vec<(At, Standing)>,
}

fn pools(configuration: &Configuration, zone: &str, now: Duration) -> Vec<Pool> {
    let made = |pool: &schema::Pool| {
        let health = configuration.health.iter().find(|one| one.name == pool.health);
        let limits = configuration.limits.iter().find(|one| one.name == pool.limits);
        let most = limits.map(|one| one.at_once).filter(|most| *most > 0);
        Pool {
            addresses: pool.members.iter().map(|member| member.address.clone()).collect(),
            members: pool
                .members
                .iter()
                .map(|m| {
                    let near = !zone.is_empty() && m.zone == zone;
                    Member::new(
                        mark(&m.address),
                        m.weight as f64 / ONE as f64,
                        near,
                        Duration::from_nanos(m.warm_up_ns),
                    )
                })
                .collect(),
            toward: pool.members.iter().map(|_| Toward::new(most, now)).collect(),
            health: health.map(|rules| Health::new(Rules::from(rules), pool.members.len(), now)),
        }
    };
    configuration.pools.iter().map(made).collect()
}

impl Fleet {
    /// `zone`: where this forwarder stands; empty if it does not say.
    ///
    /// # Errors
    /// As [`Router::new`].
    pub fn new(configuration: &Configuration, zone: &str, seed: u64, now: Duration) -> Result<Self, Refused> {
        Ok(Self {
            router: Router::new(configuration, seed)?,
            zone: zone.to_owned(),
            pools: pools(configuration, zone, now),
            pauses: HashMap::new(),
            budget: Budget::default(),
            chance: WyRand::new_seed(seed ^ 0x666c_6565),
            counts: Counts::default(),
            changes: Vec::new(),
        })
    }

    pub fn table(&self) -> &Table {
        self.router.table()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn address(&self, at: At) -> &str {
        &self.pools[usize::from(at.pool)].addresses[usize::from(at.member)]
    }

    /// A new version. Members are known by address: what was learned of one stays with it in each pool that
    /// keeps it, trips at it are still counted, and those at a member that went end as they end.
    ///
    /// # Errors
    /// As [`Router::take`]; nothing has changed then.
    pub fn take(&mut self, configuration: &Configuration, now: Duration) -> Result<u64, Refused> {
        let names: Vec<String> =
            (0..self.pools.len()).map(|at| self.table().pool_name(at as u16).to_owned()).collect();
        let number = self.router.take(configuration, now)?;
        let old = std::mem::replace(&mut self.pools, pools(configuration, &self.zone, now));
        self.pauses.clear();
        // They speak of places of the version before.
        self.changes.clear();
        for (name, before) in names.iter().zip(old) {
            let Some(at) = self.table().pool(name) else { continue };
            let pool = &mut self.pools[usize::from(at)];
            let same = before.addresses == pool.addresses;
            for (k, address) in before.addresses.iter().enumerate() {
                if let Some(new) = pool.addresses.iter().position(|one| one == address) {
                    pool.members[new].open = before.members[k].open;
                    pool.members[new].started = before.members[k].started;
                    pool.toward[new] = before.toward[k].clone();
                }
            }
            // Standings go by place, so they stay only where the members are the same.
            if same && pool.health.is_some() && before.health.is_some() {
                pool.health = before.health;
            }
        }
        Ok(number)
    }

    /// A member came back under its address: what was learned of the one before does not hold.
    pub fn renewed(&mut self, at: At, now: Duration) {
        let pool = &mut self.pools[usize::from(at.pool)];
        let member = usize::from(at.member);
        pool.members[member].started = Some(now);
        if let Some(health) = &mut pool.health {
            health.renewed(member, now);
        }
    }

    /// Time passes; members that are left out or taken back, each worth a line.
    pub fn look(&mut self, now: Duration) -> Vec<(At, Standing)> {
        self.pauses.retain(|_, until| *until > now);
        let mut all = std::mem::take(&mut self.changes);
        for (pool, one) in self.pools.iter_mut().enumerate() {
            let changes = one.health.as_mut().map_or(Vec::new(), |health| health.look(now));
            all.extend(
                changes
                    .into_iter()
                    .map(|Change { member, to }| (At { pool: pool as u16, member: member as u16 }, to)),
            );
        }
        all
    }

    /// A ticket came.
    pub fn arrived(&mut self, now: Duration, ticket: &Ticket<'_>) -> Step {
        let parts = Parts { pools: &self.pools, pauses: &self.pauses, now, tenant: ticket.tenant };
        let way = match self.router.arrived(now, ticket, |pool| parts.any(pool, None)) {
            Verdict::Goes(way) => way,
            Verdict::Turned(Turned { after, .. }) => {
                self.counts.dismissed += 1;
                return Step::Over(End::Dismissed { after, nowhere_else: false });
            }
        };
        let configuration = self.router.table().configuration();
        let route = &configuration.routes[usize::from(way.place.route)];
        let pool = &configuration.pools[usize::from(way.place.pool)];
        let named = if route.attempts.is_empty() { &pool.attempts } else { &route.attempts };
        let attempts = configuration.attempts.iter().find(|one| one.name == *named);
        let once = Policy { tries: 1, wait: (Duration::ZERO, Duration::ZERO), proof: schema::Proof::NotRun };
        self.budget.first(attempts.map_or(0, |one| one.budget));
        let trip = Trip {
            goal: way.times.goal,
            way,
            ticket: (ticket.traffic, ticket.tenant, ticket.entity.to_owned()),
            repeat: configuration.types[usize::from(ticket.traffic)].repeat(),
            again: ticket.again,
            policy: attempts.map_or(once, Policy::from),
            tries: 0,
            arrived: now,
            may_have_run: false,
            at: None,
            out: false,
        };
        self.counts.first_tries += 1;
        self.go(now, trip)
    }

    /// The wait before a further try is over.
    pub fn again(&mut self, now: Duration, trip: Trip) -> Step {
        self.counts.further_tries += 1;
        self.go(now, trip)
    }

    /// Sends a try to a member of the trip's pool; another than the last one, if there is one.
    fn go(&mut self, now: Duration, mut trip: Trip) -> Step {
        let place = trip.way.place.pool;
        // Under another version than the present one the pool is looked up by its name.
        let name = self.router.table_of(&trip.way).map(|table| table.pool_name(place).to_owned());
        let pool = name.and_then(|name| self.table().pool(&name));
        let Some(pool) = pool else { return self.end(trip, None) };
        let last = trip.at.take().map(|(at, ..)| at);
        let (_, tenant, entity) = &trip.ticket;
        let parts = Parts { pools: &self.pools, pauses: &self.pauses, now, tenant: *tenant };
        let others = parts.any(pool, last);
        let weights: Vec<f64> = (0..parts.count(pool))
            .map(|member| {
                if others && last == Some(At { pool, member }) {
                    0.0
                } else {
                    parts.of(At { pool, member })
                }
            })
            .collect();
        let of_pool = &mut self.pools[usize::from(pool)];
        let chosen = choice::choose(&mut of_pool.members, now, entity, &mut self.chance, |k| weights[k]);
        let Some((member, how)) = chosen else { return self.end(trip, None) };
        let usual = of_pool.health.as_ref().and_then(Health::usual).unwrap_or(USUAL);
        let left = trip.goal.saturating_sub(now.saturating_sub(trip.arrived));
        let cut = attempts::cut(left, trip.policy.tries.saturating_sub(trip.tries), usual);
        of_pool.members[member].open += 1;
        of_pool.toward[member].sent();
        if let Some(health) = &mut of_pool.health {
            health.sent(member, now);
        }
        let to = At { pool, member: member as u16 };
        trip.at = Some((to, of_pool.addresses[member].clone(), now));
        trip.out = true;
        trip.tries += 1;
        let again = trip.again || trip.tries > 1;
        Step::Go(trip, Send { to, cut, again, how })
    }

    /// What came of a trip's try.
    pub fn came(&mut self, now: Duration, mut trip: Trip, back: Back) -> Step {
        let usual = self.settle(now, &mut trip, back);
        let came = match back {
            Back::Honoured => return self.finish(trip, End::Honoured),
            Back::CallerLeft => return self.finish(trip, End::Nobody),
            Back::Dismissed { pause, nowhere_else } => Came::Dismissed { pause, nowhere_else },
            Back::Unreachable => Came::NotRun,
            Back::Failed | Back::Broken | Back::TimedOut => Came::MayHaveRun,
        };
        trip.may_have_run |= came == Came::MayHaveRun;
        let left = trip.goal.saturating_sub(now.saturating_sub(trip.arrived));
        let tried = Tried { repeat: trip.repeat, again: trip.again, tries: trip.tries, left, usual };
        match attempts::next(&tried, came, &trip.policy, &mut self.budget, &mut self.chance) {
            Next::Again { wait, .. } => Step::Wait(trip, wait),
            Next::Stop(_) => self.end(trip, Some(came)),
        }
    }

    /// What a try's end tells of its member; the pool's usual time.
    fn settle(&mut self, now: Duration, trip: &mut Trip, back: Back) -> Duration {
        // A caller may leave while its ticket waits for a further try: no member has it then.
        if !std::mem::replace(&mut trip.out, false) {
            return USUAL;
        }
        let Some((at, address, sent)) = &trip.at else { return USUAL };
        // The member may have another place since, or none.
        let Some(pool) = self.pools.get_mut(usize::from(at.pool)) else { return USUAL };
        let member = usize::from(at.member);
        let member = if pool.addresses.get(member) == Some(address) {
            member
        } else if let Some(moved) = pool.addresses.iter().position(|one| one == address) {
            moved
        } else {
            return USUAL;
        };
        let took = now.saturating_sub(*sent);
        let usual = pool.health.as_ref().and_then(Health::usual).unwrap_or(USUAL);
        pool.members[member].open = pool.members[member].open.saturating_sub(1);
        let (good, lost) = match back {
            Back::Honoured => (Some(true), false),
            Back::Dismissed { .. } => (None, true),
            Back::CallerLeft => (None, false),
            Back::Failed | Back::Unreachable | Back::Broken | Back::TimedOut => (Some(false), true),
        };
        pool.toward[member].over(now, (good == Some(true)).then_some(took), lost);
        if good == Some(false) {
            pool.members[member].failed(*sent, usual);
        }
        if let Some(health) = &mut pool.health {
            match (good, back) {
                (Some(good), _) => {
                    let change = health.answered(member, now, took, good);
                    let told = change.map(|change| (At { pool: at.pool, member: member as u16 }, change.to));
                    self.changes.extend(told.filter(|_| self.changes.len() < MOST_CHANGES));
                }
                // It spoke, and that it has enough to do is no failure.
                (None, Back::Dismissed { .. }) => health.heard(member, now),
                (None, _) => health.dropped(member),
            }
        }
        if let Back::Dismissed { pause, .. } = back {
            let tenant = trip.ticket.1.unwrap_or(u16::MAX);
            if !pause.is_zero() && self.pauses.len() < MOST_PAUSES {
                self.pauses.insert((at.pool, member as u16, tenant), now + pause);
            }
        }
        usual
    }

    /// No further try: the truth about what there was.
    fn end(&mut self, trip: Trip, came: Option<Came>) -> Step {
        if trip.may_have_run && (trip.repeat != RepeatKind::Rerunnable || came == Some(Came::MayHaveRun)) {
            return self.finish(trip, End::GivenUp);
        }
        let end = match came {
            Some(Came::Dismissed { pause, nowhere_else }) => End::Dismissed { after: pause, nowhere_else },
            _ => End::Dismissed { after: COME_BACK, nowhere_else: false },
        };
        self.finish(trip, end)
    }

    fn finish(&mut self, trip: Trip, end: End) -> Step {
        let count = match end {
            End::Honoured => &mut self.counts.honoured,
            End::Dismissed { .. } => &mut self.counts.dismissed,
            End::GivenUp => &mut self.counts.given_up,
            End::Nobody => &mut self.counts.nobody,
        };
        *count += 1;
        self.router.ended(trip.way);
        Step::Over(end)
    }

    /// Open tickets toward each member, and the limit, by pool; for those who look.
    pub fn members(&self, pool: u16) -> impl Iterator<Item = (&str, u32, u32, Standing)> + '_ {
        let one = &self.pools[usize::from(pool)];
        one.addresses.iter().enumerate().map(|(k, address)| {
            let standing = one.health.as_ref().map_or(Standing::In, |health| health.standing(k));
            (address.as_str(), one.members[k].open, one.toward[k].limit(), standing)
        })
    }
}

/// What a ticket of a tenant may use now.
struct Parts<'f> {
    pools: &'f [Pool],
    pauses: &'f HashMap<(u16, u16, u16), Duration>,
    now: Duration,
    tenant: Option<u16>,
}

impl Parts<'_> {
    fn count(&self, pool: u16) -> u16 {
        self.pools[usize::from(pool)].members.len() as u16
    }

    /// The part of its usual traffic that a member may get; 0 if it has no room, or told the tenant to wait.
    fn of(&self, at: At) -> f64 {
        let (pool, member) = (&self.pools[usize::from(at.pool)], usize::from(at.member));
        let key = (at.pool, at.member, self.tenant.unwrap_or(u16::MAX));
        if !pool.toward[member].has_room() || self.pauses.get(&key).is_some_and(|until| *until > self.now) {
            return 0.0;
        }
        pool.health.as_ref().map_or(1.0, |health| health.usable(member) as f64 / ONE as f64)
    }

    /// Whether any member of a pool can take the ticket, but one.
    fn any(&self, pool: u16, but: Option<At>) -> bool {
        (0..self.count(pool)).map(|member| At { pool, member }).any(|at| Some(at) != but && self.of(at) > 0.0)
    }
}
