//! A configuration as a map of named things, and the change from one to the next.
//!
//! What a delta costs goes by what it says, never by the size of the whole. It is checked in full before
//! anything is changed: whole or not at all. The digest is the sum of one hash for each thing, so that it
//! follows from the one before it and the change alone, and does not depend on the order in which changes
//! came.
//!
//! Invariants: `digest` is that sum; every member's pool is there; no two routes have one rank.

use crate::frames::{Delta, Resource, ResourceKind, ResourceName};
use crate::planted_bugs::{is_planted, PlantedBug};
use crate::{ResourceError, UpdateError};
use bytes::Bytes;
use prost::Message;
use rainstand_config::schema::{self, Configuration};
use std::collections::{BTreeMap, BTreeSet};
use twox_hash::XxHash3_64;

/// Between two routes when ranks are given anew: a place in between can be halved 32 times.
const RANK_STEP: u64 = 1 << 32;

/// Which thing. In order of kind, so that all of a kind stand together, and members by pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ResourceKey {
    pub kind: ResourceKind,
    /// Of a member; empty for all others.
    pub pool: Box<str>,
    pub name: Box<str>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredResource {
    rank: u64,
    body: Box<[u8]>,
}

/// A thing, read.
#[derive(Clone, Debug, PartialEq)]
pub enum ResourceBody {
    Type(schema::TrafficType),
    Tenant(schema::Tenant),
    /// Without members.
    Pool(schema::Pool),
    Member {
        pool: String,
        member: schema::Member,
    },
    Dependency(schema::Dependency),
    Limits(schema::Limits),
    Attempts(schema::Attempts),
    Budget(schema::Budget),
    Health(schema::Health),
    RetryAfter(schema::RetryAfter),
    Route(schema::Route),
    Recording(schema::Recording),
    Log(schema::Log),
    Experiment(schema::Experiment),
    Group(schema::Group),
    Rig(schema::Rig),
    Control(schema::Control),
}

/// The same for each kind whose things stand in one list of the configuration and know their name.
macro_rules! plain_kinds {
    ($apply:ident) => {
        $apply! {
            Type TrafficType types, Tenant Tenant tenants, Dependency Dependency dependencies,
            Limits Limits limits, Attempts Attempts attempts, Budget Budget budgets, Health Health health,
            RetryAfter RetryAfter retry_after, Recording Recording recordings, Log Log logs,
            Experiment Experiment experiments, Group Group groups, Rig Rig rigs, Control Control controls
        }
    };
}

impl ResourceKey {
    fn new(kind: ResourceKind, name: &str) -> Self {
        Self {
            kind,
            pool: "".into(),
            name: name.into(),
        }
    }

    fn member(pool: &str, name: &str) -> Self {
        Self {
            kind: ResourceKind::Member,
            pool: pool.into(),
            name: name.into(),
        }
    }

    fn read(kind: i32, pool: &str, name: &str) -> Result<Self, UpdateError> {
        let refused = |why| UpdateError::InvalidResource {
            name: name.to_owned(),
            reason: why,
        };
        let kind = ResourceKind::try_from(kind)
            .ok()
            .filter(|kind| *kind != ResourceKind::Unknown);
        let kind = kind.ok_or_else(|| refused(ResourceError::UnknownKind))?;
        if (kind == ResourceKind::Member) == pool.is_empty() {
            return Err(refused(ResourceError::UnexpectedPool));
        }
        Ok(Self {
            kind,
            pool: pool.into(),
            name: name.into(),
        })
    }

    fn named(&self) -> ResourceName {
        ResourceName {
            kind: self.kind as i32,
            name: self.name.to_string(),
            pool: self.pool.to_string(),
        }
    }

    fn hash(&self, rank: u64, body: &[u8]) -> u64 {
        let mut head = [0; 24];
        head[..8]
            .copy_from_slice(&(self.kind as u64 | (self.pool.len() as u64) << 8).to_le_bytes());
        head[8..16].copy_from_slice(&rank.to_le_bytes());
        head[16..].copy_from_slice(&(self.name.len() as u64).to_le_bytes());
        let seed = XxHash3_64::oneshot(&head);
        let seed = XxHash3_64::oneshot_with_seed(seed, self.pool.as_bytes());
        let seed = XxHash3_64::oneshot_with_seed(seed, self.name.as_bytes());
        XxHash3_64::oneshot_with_seed(seed, body)
    }
}

impl Resource {
    fn of(key: &ResourceKey, held: &StoredResource) -> Self {
        let ResourceName { kind, name, pool } = key.named();
        Self {
            kind,
            name,
            pool,
            rank: held.rank,
            body: Bytes::copy_from_slice(&held.body),
        }
    }

    /// # Errors
    /// A kind that is not known here, a body that is no such message or has another name, a rank on what has
    /// none.
    pub fn item(&self) -> Result<ResourceBody, UpdateError> {
        let refused = |why| UpdateError::InvalidResource {
            name: self.name.clone(),
            reason: why,
        };
        let key = ResourceKey::read(self.kind, &self.pool, &self.name)?;
        if key.kind != ResourceKind::Route && self.rank != 0 {
            return Err(refused(ResourceError::UnexpectedRank));
        }
        macro_rules! read {
            ($($kind:ident $message:ident $list:ident),*) => {
                match key.kind {
                    $(ResourceKind::$kind => schema::$message::decode(self.body.clone())
                        .map(|read| (read.name == self.name, ResourceBody::$kind(read))),)*
                    ResourceKind::Unknown => return Err(refused(ResourceError::UnknownKind)),
                    ResourceKind::Pool => schema::Pool::decode(self.body.clone())
                        .map(|read| (read.name == self.name && read.members.is_empty(), ResourceBody::Pool(read))),
                    ResourceKind::Member => schema::Member::decode(self.body.clone()).map(|read| {
                        (read.name == self.name, ResourceBody::Member { pool: self.pool.clone(), member: read })
                    }),
                    ResourceKind::Route => schema::Route::decode(self.body.clone())
                        .map(|read| (read.name == self.name, ResourceBody::Route(read))),
                }
            };
        }
        match plain_kinds!(read) {
            Ok((true, item)) => Ok(item),
            Ok((false, _)) => Err(refused(ResourceError::NameMismatch)),
            Err(_) => Err(refused(ResourceError::UndecodableBody)),
        }
    }
}

/// One version of a configuration, without its number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigState {
    resources: BTreeMap<ResourceKey, StoredResource>,
    /// Routes by rank.
    routes: BTreeMap<u64, Box<str>>,
    digest: u64,
}

/// A delta that was found good for one state, as its keys.
struct Checked {
    upserts: Vec<(ResourceKey, StoredResource)>,
    removals: Vec<ResourceKey>,
    digest: u64,
}

impl ConfigState {
    /// # Errors
    /// Two things of one kind and name.
    pub fn from_configuration(configuration: &Configuration) -> Result<Self, UpdateError> {
        let delta = Self::default().delta_to(0, 1, configuration)?;
        let mut state = Self::default();
        state.apply(&delta)?;
        Ok(state)
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether the digest is that of all that is here, counted anew: for what was read from a disk, and for
    /// tests.
    pub fn verify_digest(&self) -> bool {
        let sum = |sum: u64, (key, held): (&ResourceKey, &StoredResource)| {
            sum.wrapping_add(key.hash(held.rank, &held.body))
        };
        self.resources.iter().fold(0, sum) == self.digest
    }

    /// Things in it.
    pub fn len(&self) -> usize {
        self.resources.len()
    }

    pub fn is_empty(&self) -> bool {
        self.resources.is_empty()
    }

    /// All of it as things, in one order for like states.
    pub fn resources(&self) -> impl Iterator<Item = Resource> + '_ {
        self.resources
            .iter()
            .map(|(key, held)| Resource::of(key, held))
    }

    /// One thing, if it is there.
    pub fn get(&self, key: &ResourceKey) -> Option<Resource> {
        self.resources.get(key).map(|held| Resource::of(key, held))
    }

    /// Members of a pool, in order of name.
    pub fn members<'s>(&'s self, pool: &'s str) -> impl Iterator<Item = Resource> + 's {
        let of = move |(key, _): &(&ResourceKey, &StoredResource)| {
            key.kind == ResourceKind::Member && &*key.pool == pool
        };
        self.resources
            .range(ResourceKey::member(pool, "")..)
            .take_while(of)
            .map(|(key, held)| Resource::of(key, held))
    }

    /// Routes in their order.
    pub fn routes(&self) -> impl DoubleEndedIterator<Item = (u64, &str)> {
        self.routes.iter().map(|(rank, name)| (*rank, &**name))
    }

    /// The route that stands before this rank; none: it is the first.
    pub fn route_before(&self, rank: u64) -> Option<&str> {
        self.routes
            .range(..rank)
            .next_back()
            .map(|(_, name)| &**name)
    }

    /// All of it as the schema's message, lists in order of name and routes in theirs.
    ///
    /// # Errors
    /// A thing that cannot be read: what was applied was read before, so this is a fault of memory.
    pub fn configuration(&self) -> Result<Configuration, UpdateError> {
        let mut whole = Configuration {
            version: schema::VERSION,
            ..Configuration::default()
        };
        let mut pools = BTreeMap::new();
        for thing in self
            .resources()
            .filter(|thing| thing.kind != ResourceKind::Route as i32)
        {
            macro_rules! put {
                ($($kind:ident $message:ident $list:ident),*) => {
                    match thing.item()? {
                        $(ResourceBody::$kind(read) => whole.$list.push(read),)*
                        ResourceBody::Pool(pool) => {
                            pools.insert(pool.name.clone(), whole.pools.len());
                            whole.pools.push(pool);
                        }
                        ResourceBody::Member { pool, member } => {
                            let pool = pools.get(&pool).and_then(|at| whole.pools.get_mut(*at));
                            if let Some(pool) = pool {
                                pool.members.push(member);
                            }
                        }
                        ResourceBody::Route(_) => {}
                    }
                };
            }
            plain_kinds!(put);
        }
        for (_, name) in self.routes() {
            if let Some(ResourceBody::Route(route)) = self
                .get(&ResourceKey::new(ResourceKind::Route, name))
                .map(|thing| thing.item())
                .transpose()?
            {
                whole.routes.push(route);
            }
        }
        Ok(whole)
    }

    /// What leads from this version, numbered `from`, to that configuration, as version `to`.
    ///
    /// # Errors
    /// Two things of one kind and name in the configuration.
    pub fn delta_to(
        &self,
        from: u64,
        to: u64,
        configuration: &Configuration,
    ) -> Result<Delta, UpdateError> {
        let wanted = self.wanted(configuration)?;
        let mut delta = Delta {
            from,
            to,
            digest: self.digest,
            upserts: Vec::new(),
            removals: Vec::new(),
        };
        for (key, held) in &wanted {
            let before = self.resources.get(key);
            if before == Some(held) {
                continue;
            }
            if let Some(before) = before {
                delta.digest = delta
                    .digest
                    .wrapping_sub(key.hash(before.rank, &before.body));
            }
            delta.digest = delta.digest.wrapping_add(key.hash(held.rank, &held.body));
            delta.upserts.push(Resource::of(key, held));
        }
        for (key, held) in self
            .resources
            .iter()
            .filter(|(key, _)| !wanted.contains_key(key))
        {
            delta.digest = delta.digest.wrapping_sub(key.hash(held.rank, &held.body));
            delta.removals.push(key.named());
        }
        Ok(delta)
    }

    /// That configuration as things, its routes under ranks that leave as many as can be where they are.
    fn wanted(
        &self,
        configuration: &Configuration,
    ) -> Result<BTreeMap<ResourceKey, StoredResource>, UpdateError> {
        let mut wanted = BTreeMap::new();
        let mut put = |key: ResourceKey, rank, body: Vec<u8>| {
            let name = key.name.to_string();
            match wanted.insert(
                key,
                StoredResource {
                    rank,
                    body: body.into(),
                },
            ) {
                None => Ok(()),
                Some(_) => Err(UpdateError::InvalidResource {
                    name,
                    reason: ResourceError::DuplicateName,
                }),
            }
        };
        macro_rules! all {
            ($($kind:ident $message:ident $list:ident),*) => {
                $(for thing in &configuration.$list {
                    put(ResourceKey::new(ResourceKind::$kind, &thing.name), 0, thing.encode_to_vec())?;
                })*
            };
        }
        plain_kinds!(all);
        for pool in &configuration.pools {
            let alone = schema::Pool {
                members: Vec::new(),
                ..pool.clone()
            };
            put(
                ResourceKey::new(ResourceKind::Pool, &pool.name),
                0,
                alone.encode_to_vec(),
            )?;
            for member in &pool.members {
                put(
                    ResourceKey::member(&pool.name, &member.name),
                    0,
                    member.encode_to_vec(),
                )?;
            }
        }
        for (route, rank) in configuration
            .routes
            .iter()
            .zip(self.ranks(&configuration.routes))
        {
            put(
                ResourceKey::new(ResourceKind::Route, &route.name),
                rank,
                route.encode_to_vec(),
            )?;
        }
        Ok(wanted)
    }

    /// Ranks for routes in this order. Those in the longest run that already stands in it keep theirs.
    fn ranks(&self, routes: &[schema::Route]) -> Vec<u64> {
        let now: Vec<Option<u64>> = routes
            .iter()
            .map(|route| {
                Some(
                    self.resources
                        .get(&ResourceKey::new(ResourceKind::Route, &route.name))?
                        .rank,
                )
            })
            .collect();
        let mut ranks = vec![None; routes.len()];
        for at in longest_rising(&now) {
            ranks[at] = now[at];
        }
        let mut at = 0;
        while at < ranks.len() {
            if ranks[at].is_some() {
                at += 1;
                continue;
            }
            let end = (at..ranks.len())
                .find(|k| ranks[*k].is_some())
                .unwrap_or(ranks.len());
            let below = at.checked_sub(1).and_then(|k| ranks[k]).unwrap_or(0);
            let count = (end - at) as u64;
            let step = match ranks.get(end).copied().flatten() {
                Some(above) => (above - below) / (count + 1),
                None => RANK_STEP.min((u64::MAX - below) / (count + 1)),
            };
            if step == 0 {
                // No room: all of them anew. It costs one large delta, once in many changes at one place.
                return (1..=routes.len() as u64).map(|k| k * RANK_STEP).collect();
            }
            for (k, rank) in (1..).zip(&mut ranks[at..end]) {
                *rank = Some(below + k * step);
            }
            at = end;
        }
        ranks.into_iter().flatten().collect()
    }

    /// Whether a delta can be applied whole, and what the digest is then. The caller compares the digest.
    fn check(&self, delta: &Delta) -> Result<Checked, UpdateError> {
        let mut digest = self.digest;
        let mut seen = BTreeSet::new();
        let mut puts = Vec::with_capacity(delta.upserts.len());
        let mut removals = Vec::with_capacity(delta.removals.len());
        let refused = |name: &str, why| UpdateError::InvalidResource {
            name: name.to_owned(),
            reason: why,
        };
        for named in &delta.removals {
            let key = ResourceKey::read(named.kind, &named.pool, &named.name)?;
            if let Some(held) = self.resources.get(&key) {
                digest = digest.wrapping_sub(key.hash(held.rank, &held.body));
            }
            if !seen.insert(key.clone()) {
                return Err(refused(&named.name, ResourceError::RepeatedInDelta));
            }
            removals.push(key);
        }
        let mut ranks = BTreeSet::new();
        for thing in &delta.upserts {
            thing.item()?;
            let key = ResourceKey::read(thing.kind, &thing.pool, &thing.name)?;
            if let Some(held) = self.resources.get(&key) {
                digest = digest.wrapping_sub(key.hash(held.rank, &held.body));
            }
            if !seen.insert(key.clone()) {
                return Err(refused(&thing.name, ResourceError::RepeatedInDelta));
            }
            if key.kind == ResourceKind::Route && !ranks.insert(thing.rank) {
                return Err(refused(&thing.name, ResourceError::RankConflict));
            }
            digest = digest.wrapping_add(key.hash(thing.rank, &thing.body));
            puts.push((
                key,
                StoredResource {
                    rank: thing.rank,
                    body: (*thing.body).into(),
                },
            ));
        }
        for (key, held) in puts
            .iter()
            .filter(|(key, _)| key.kind == ResourceKind::Route)
        {
            let there = self.routes.get(&held.rank);
            if there
                .is_some_and(|name| !seen.contains(&ResourceKey::new(ResourceKind::Route, name)))
            {
                return Err(refused(&key.name, ResourceError::RankConflict));
            }
        }
        // A pool's members come and go with it.
        let put_now: BTreeSet<&ResourceKey> = puts.iter().map(|(key, _)| key).collect();
        for (key, _) in puts
            .iter()
            .filter(|(key, _)| key.kind == ResourceKind::Member)
        {
            let pool = ResourceKey::new(ResourceKind::Pool, &key.pool);
            if !put_now.contains(&pool)
                && (seen.contains(&pool) || !self.resources.contains_key(&pool))
            {
                return Err(refused(&key.name, ResourceError::MissingPool));
            }
        }
        for pool in removals.iter().filter(|key| key.kind == ResourceKind::Pool) {
            let mut members = self
                .resources
                .range(ResourceKey::member(&pool.name, "")..)
                .map(|(key, _)| key)
                .take_while(|key| key.kind == ResourceKind::Member && key.pool == pool.name);
            if members.any(|member| !seen.contains(member)) {
                return Err(refused(&pool.name, ResourceError::OrphanedMembers));
            }
        }
        Ok(Checked {
            upserts: puts,
            removals,
            digest,
        })
    }

    /// The digest after this delta; nothing is changed.
    ///
    /// # Errors
    /// It cannot be applied whole, or leads to another digest than it says.
    pub fn validate(&self, delta: &Delta) -> Result<(), UpdateError> {
        self.checked(delta).map(drop)
    }

    fn checked(&self, delta: &Delta) -> Result<Checked, UpdateError> {
        let checked = self.check(delta)?;
        if checked.digest != delta.digest && !is_planted(PlantedBug::DigestIgnored) {
            return Err(UpdateError::DigestMismatch);
        }
        Ok(checked)
    }

    /// All of the delta, or nothing. That it begins at this version is for the holder of the number to see
    /// to.
    ///
    /// # Errors
    /// As [`Self::would`]; the state is as it was.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), UpdateError> {
        let Checked {
            upserts,
            removals,
            digest,
        } = self.checked(delta)?;
        let gone = removals.iter().chain(upserts.iter().map(|(key, _)| key));
        for key in gone {
            if let Some(held) = self
                .resources
                .remove(key)
                .filter(|_| key.kind == ResourceKind::Route)
            {
                self.routes.remove(&held.rank);
            }
        }
        for (key, held) in upserts {
            if key.kind == ResourceKind::Route {
                self.routes.insert(held.rank, key.name.clone());
            }
            self.resources.insert(key, held);
        }
        self.digest = digest;
        Ok(())
    }
}

/// Places of the longest run of rising numbers; places without a number are in none.
fn longest_rising(numbers: &[Option<u64>]) -> Vec<usize> {
    // By length of run: the place of the smallest number that ends one.
    let mut ends: Vec<usize> = Vec::new();
    let mut before = vec![None; numbers.len()];
    for (at, number) in numbers
        .iter()
        .enumerate()
        .filter(|(_, number)| number.is_some())
    {
        let length = ends.partition_point(|end| numbers[*end] < *number);
        before[at] = length.checked_sub(1).map(|k| ends[k]);
        match ends.get_mut(length) {
            Some(end) => *end = at,
            None => ends.push(at),
        }
    }
    let mut run = Vec::with_capacity(ends.len());
    let mut at = ends.last().copied();
    while let Some(place) = at {
        run.push(place);
        at = before[place];
    }
    run.reverse();
    run
}

/// The later of the two after the earlier, as one delta from where the first begins.
///
/// # Errors
/// The later one does not begin where the earlier ends.
pub fn merge(earlier: Delta, later: &Delta) -> Result<Delta, UpdateError> {
    let mut all = DeltaMerger::of(earlier)?;
    all.then(later)?;
    Ok(all.finish())
}

/// Several deltas on their way to become one.
pub struct DeltaMerger {
    from: u64,
    to: u64,
    digest: u64,
    last: BTreeMap<ResourceKey, Option<Resource>>,
}

impl DeltaMerger {
    /// # Errors
    /// A kind that is not known here.
    pub fn of(delta: Delta) -> Result<Self, UpdateError> {
        let mut all = Self {
            from: delta.from,
            to: delta.from,
            digest: delta.digest,
            last: BTreeMap::new(),
        };
        all.then(&delta)?;
        Ok(all)
    }

    /// # Errors
    /// It does not begin where this ends, or a kind is not known here.
    pub fn then(&mut self, later: &Delta) -> Result<(), UpdateError> {
        if later.from != self.to {
            return Err(UpdateError::VersionMismatch {
                base: later.from,
                current: self.to,
            });
        }
        for named in &later.removals {
            self.last.insert(
                ResourceKey::read(named.kind, &named.pool, &named.name)?,
                None,
            );
        }
        for thing in &later.upserts {
            self.last.insert(
                ResourceKey::read(thing.kind, &thing.pool, &thing.name)?,
                Some(thing.clone()),
            );
        }
        (self.to, self.digest) = (later.to, later.digest);
        Ok(())
    }

    pub fn finish(self) -> Delta {
        let Self {
            from,
            to,
            digest,
            last,
        } = self;
        let mut delta = Delta {
            from,
            to,
            digest,
            ..Delta::default()
        };
        for (key, said) in last {
            match said {
                Some(thing) => delta.upserts.push(thing),
                None => delta.removals.push(key.named()),
            }
        }
        delta
    }
}
