//! Which requests a match takes, decided exactly: the definition of matching, for the checker, the diff and the tests of
//! everything faster.
//!
//! A request is a class (traffic type), a tenant (empty if it is not named), an entity (empty if it has none), whether it
//! is a retry, and a size. Classes and tenants are finite sets, patterns are whole texts or prefixes, sizes are
//! intervals: so a few requests stand for all ([`Samples`]).

use crate::schema::{Again, Configuration, Match, Route};
use foldhash::{HashMap, HashMapExt};

/// A request as far as routes can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample<'p> {
    /// Its traffic type.
    pub class: &'p str,
    /// Its tenant; empty if the configuration does not name it.
    pub tenant: &'p str,
    /// What it is about; empty if it says none.
    pub entity: &'p str,
    /// Whether it is a further try of a request.
    pub is_retry: bool,
    /// Its size, bytes.
    pub size: u64,
}

/// The key of a match that a request does not meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// Its traffic type is not listed.
    Type,
    /// Its tenant is not listed.
    Tenant,
    /// No pattern takes its entity.
    Entity,
    /// It is a retry where first tries are asked for, or the other way round.
    Again,
    /// Its size is out of the range.
    Size,
}

impl Mismatch {
    /// The key as it is written.
    pub fn key(self) -> &'static str {
        match self {
            Mismatch::Type => "type",
            Mismatch::Tenant => "tenant",
            Mismatch::Entity => "entity",
            Mismatch::Again => "again",
            Mismatch::Size => "size",
        }
    }
}

/// Whether a pattern, a whole text or a prefix with a star behind it, takes an entity.
pub fn pattern_takes(pattern: &str, entity: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(beginning) => entity.starts_with(beginning),
        None => pattern == entity,
    }
}

/// The first key of the match that the request does not meet; none if the match takes it.
pub fn first_mismatch(matched: Option<&Match>, sample: &Sample<'_>) -> Option<Mismatch> {
    let matched = matched?;
    let has = |list: &[String], one: &str| list.is_empty() || list.iter().any(|item| item == one);
    if !has(&matched.types, sample.class) {
        return Some(Mismatch::Type);
    }
    if !has(&matched.tenants, sample.tenant) {
        return Some(Mismatch::Tenant);
    }
    match matched.again() {
        Again::FirstTries if sample.is_retry => return Some(Mismatch::Again),
        Again::FurtherTries if !sample.is_retry => return Some(Mismatch::Again),
        _ => {}
    }
    if sample.size < matched.size_least
        || (matched.size_most > 0 && sample.size > matched.size_most)
    {
        return Some(Mismatch::Size);
    }
    let taken = matched.entities.is_empty()
        || matched
            .entities
            .iter()
            .any(|pattern| pattern_takes(pattern, sample.entity));
    (!taken).then_some(Mismatch::Entity)
}

/// Whether `outer` takes every request that `inner` takes. A list that names all `types` there are counts as all; one of
/// tenants never does, since requests come from tenants that the configuration does not name.
pub fn covers(outer: Option<&Match>, inner: Option<&Match>, types: usize) -> bool {
    let Some(outer) = outer else { return true };
    let all = Match::default();
    let inner = inner.unwrap_or(&all);
    let lists = |outer: &[String], inner: &[String], known: usize| {
        outer.is_empty()
            || outer.len() == known
            || (!inner.is_empty() && inner.iter().all(|item| outer.contains(item)))
    };
    let again = outer.again == Again::Unspecified as i32 || outer.again == inner.again;
    let size = outer.size_least <= inner.size_least
        && (outer.size_most == 0 || (inner.size_most > 0 && inner.size_most <= outer.size_most));
    let takes_all = |pattern: &String| pattern == "*";
    let entities = outer.entities.is_empty()
        || outer.entities.iter().any(takes_all)
        || (!inner.entities.is_empty()
            && inner
                .entities
                .iter()
                .all(|one| outer.entities.iter().any(|by| pattern_covers(by, one))));
    again
        && size
        && lists(&outer.types, &inner.types, types)
        && lists(&outer.tenants, &inner.tenants, usize::MAX)
        && entities
}

fn pattern_covers(outer: &str, inner: &str) -> bool {
    match (outer.strip_suffix('*'), inner.strip_suffix('*')) {
        (Some(outer), Some(inner)) => inner.starts_with(outer),
        (Some(outer), None) => inner.starts_with(outer),
        (None, Some(_)) => false,
        (None, None) => outer == inner,
    }
}

/// Stands behind a prefix for an entity that no longer pattern takes.
const UNMATCHED: char = '\u{10ffff}';

/// Requests that stand for all: for any request there is one here that the same matches take.
pub struct Samples {
    types: Vec<String>,
    tenants: Vec<String>,
    entities: Vec<String>,
    sizes: Vec<u64>,
}

impl Samples {
    /// For the routes of some configurations together, and the types and tenants they define.
    pub fn of(configurations: &[&Configuration]) -> Self {
        let mut samples = Self {
            types: vec![],
            tenants: vec![],
            entities: vec![String::new()],
            sizes: vec![0],
        };
        samples.entities.push(UNMATCHED.to_string());
        for configuration in configurations {
            samples
                .types
                .extend(configuration.types.iter().map(|one| one.name.clone()));
            samples
                .tenants
                .extend(configuration.tenants.iter().map(|one| one.name.clone()));
            for matched in configuration
                .routes
                .iter()
                .filter_map(|route| route.r#match.as_ref())
            {
                samples.entities.extend(
                    matched
                        .entities
                        .iter()
                        .map(|pattern| representative(pattern)),
                );
                samples.sizes.push(matched.size_least);
                if matched.size_most > 0 {
                    samples
                        .sizes
                        .extend([matched.size_most, matched.size_most + 1]);
                }
            }
        }
        if samples.types.is_empty() {
            samples.types.push(String::new());
        }
        // A tenant that the configuration does not name.
        samples.tenants.push(String::new());
        for list in [
            &mut samples.types,
            &mut samples.tenants,
            &mut samples.entities,
        ] {
            list.sort();
            list.dedup();
        }
        samples.sizes.sort_unstable();
        samples.sizes.dedup();
        samples
    }

    /// How many there are; `usize::MAX` if they are more.
    pub fn count(&self) -> usize {
        let parts = [
            self.types.len(),
            self.tenants.len(),
            self.entities.len(),
            self.sizes.len(),
            2,
        ];
        parts.into_iter().fold(1, usize::saturating_mul)
    }

    /// All of them.
    pub fn each(&self) -> impl Iterator<Item = Sample<'_>> {
        let of_type = move |class| {
            self.tenants
                .iter()
                .flat_map(move |tenant| self.of_pair(class, tenant))
        };
        self.types.iter().flat_map(move |class| of_type(class))
    }

    /// Those of one traffic type and tenant.
    pub fn of_pair<'p>(&'p self, class: &str, tenant: &str) -> impl Iterator<Item = Sample<'p>> {
        let class = self
            .types
            .iter()
            .find(|one| *one == class)
            .map_or("", String::as_str);
        let tenant = self
            .tenants
            .iter()
            .find(|one| *one == tenant)
            .map_or("", String::as_str);
        self.entities.iter().flat_map(move |entity| {
            let sizes = self
                .sizes
                .iter()
                .flat_map(|size| [(*size, false), (*size, true)]);
            sizes.map(move |(size, is_retry)| Sample {
                class,
                tenant,
                entity,
                is_retry,
                size,
            })
        })
    }

    /// The traffic types among them, sorted; one empty name if there are none.
    pub fn types(&self) -> &[String] {
        &self.types
    }

    /// The tenants among them, sorted; an empty name for those that are not named.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// How many there are of each traffic type and tenant.
    pub fn count_per_pair(&self) -> usize {
        self.entities.len() * self.sizes.len() * 2
    }
}

/// An entity that the pattern takes and no longer pattern does.
pub fn representative(pattern: &str) -> String {
    match pattern.strip_suffix('*') {
        Some(beginning) => format!("{beginning}{UNMATCHED}"),
        None => pattern.to_owned(),
    }
}

/// The index of the route that takes a request: the first one whose match does.
pub fn first_match(routes: &[Route], sample: &Sample<'_>) -> Option<usize> {
    routes
        .iter()
        .position(|route| first_mismatch(route.r#match.as_ref(), sample).is_none())
}

/// The entities that a pattern takes, or a match without patterns: the empty prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Entities<'c> {
    Prefix(&'c str),
    Whole(&'c str),
}

impl<'c> Entities<'c> {
    fn from_pattern(pattern: &'c str) -> Self {
        pattern
            .strip_suffix('*')
            .map_or(Entities::Whole(pattern), Entities::Prefix)
    }

    /// All that take whatever this takes: itself, and each of its prefixes.
    fn covering(self) -> impl Iterator<Item = Self> {
        let (Entities::Prefix(text) | Entities::Whole(text)) = self;
        let ends = text.char_indices().map(|(at, _)| at).chain([text.len()]);
        let whole = matches!(self, Entities::Whole(_)).then_some(self);
        ends.map(move |end| Entities::Prefix(&text[..end]))
            .chain(whole)
    }
}

/// An index that finds, for a route, the earlier ones that could hide it: those that take its first type, tenant and
/// pattern.
pub struct EarlierRoutes<'c> {
    /// Routes by each type, tenant and pattern that they name; an empty name stands for all.
    by_keys: HashMap<(&'c str, &'c str, Entities<'c>), Vec<u32>>,
    /// Routes that name too many types and tenants to be listed under each, which are compared with every other.
    unlisted: Vec<u32>,
    types: usize,
    /// Comparisons left.
    budget: usize,
}

/// Keys under which one route is listed; with more it is listed for any entity, or not at all.
const MAX_KEYS_PER_ROUTE: usize = 64;
/// Comparisons of two matches in one check, some tenths of a second. Public for the tests of the budget.
pub const MAX_COMPARISONS: usize = 8_000_000;

impl<'c> EarlierRoutes<'c> {
    /// An empty index for a configuration with this many traffic types; a route that names all of them takes all.
    pub fn new(types: usize) -> Self {
        Self {
            by_keys: HashMap::new(),
            unlisted: Vec::new(),
            types,
            budget: MAX_COMPARISONS,
        }
    }

    /// Comparisons that are left; at none, [`EarlierRoutes::candidates`] finds nothing more.
    pub fn budget(&self) -> usize {
        self.budget
    }

    /// Adds a route by its index, behind all that were added before.
    pub fn add(&mut self, index: usize, matched: Option<&'c Match>) {
        let (mut types, tenants) = lists(matched);
        if types.len() == self.types {
            types = vec![""];
        }
        let pairs = types.len() * tenants.len();
        if pairs > MAX_KEYS_PER_ROUTE {
            self.unlisted.push(index as u32);
            return;
        }
        let patterns = matched.map_or(&[][..], |matched| &matched.entities);
        let mut entities: Vec<Entities<'c>> = patterns
            .iter()
            .map(|one| Entities::from_pattern(one))
            .collect();
        if entities.is_empty() || pairs * entities.len() > MAX_KEYS_PER_ROUTE {
            entities = vec![Entities::Prefix("")];
        }
        for class in &types {
            for tenant in &tenants {
                for entity in &entities {
                    self.by_keys
                        .entry((class, tenant, *entity))
                        .or_default()
                        .push(index as u32);
                }
            }
        }
    }

    /// Indices of earlier routes that take the first type, tenant and pattern of this match, so perhaps all of it. Each
    /// costs one comparison of the budget.
    pub fn candidates<'a>(
        &'a mut self,
        matched: Option<&'c Match>,
    ) -> impl Iterator<Item = usize> + 'a {
        let (types, tenants) = lists(matched);
        let (class, tenant) = (types[0], tenants[0]);
        let pattern = matched.and_then(|matched| matched.entities.first());
        let entity = pattern.map_or(Entities::Prefix(""), |one| Entities::from_pattern(one));
        let mut pairs = vec![("", ""), (class, ""), ("", tenant), (class, tenant)];
        pairs.sort_unstable();
        pairs.dedup();
        let keys = entity.covering().flat_map(move |entity| {
            let of_pair = move |(class, tenant)| (class, tenant, entity);
            pairs.clone().into_iter().map(of_pair)
        });
        let Self {
            by_keys,
            unlisted,
            budget,
            ..
        } = self;
        let listed = keys.filter_map(|key| by_keys.get(&key)).flatten().copied();
        let all = listed.chain(unlisted.iter().copied());
        all.map(|at| at as usize).take_while(move |_| {
            *budget = budget.saturating_sub(1);
            *budget > 0
        })
    }
}

fn lists(matched: Option<&Match>) -> (Vec<&str>, Vec<&str>) {
    (
        all_or(matched.map(|m| &m.types)),
        all_or(matched.map(|m| &m.tenants)),
    )
}

/// The list, or one empty name for "all".
fn all_or(list: Option<&Vec<String>>) -> Vec<&str> {
    match list {
        Some(list) if !list.is_empty() => list.iter().map(String::as_str).collect(),
        _ => vec![""],
    }
}
