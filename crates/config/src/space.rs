//! Which tickets a match takes, decided exactly: what matching means, for the checker, the diff and the
//! tests of everything faster.
//!
//! A ticket is a point: its traffic type, tenant (empty if it is not named), entity (empty if it has none), whether it is a further
//! try, its size. Types and tenants are finite sets, patterns are whole texts or beginnings, sizes are
//! intervals: so a few chosen points stand for all ([`Points`]).

use crate::schema::{Again, Configuration, Match, Route};
use foldhash::{HashMap, HashMapExt};

/// A ticket as far as routes can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Point<'p> {
    pub traffic: &'p str,
    pub tenant: &'p str,
    pub entity: &'p str,
    pub again: bool,
    pub size: u64,
}

/// The part of a match that a ticket does not meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    Type,
    Tenant,
    Entity,
    Again,
    Size,
}

impl Miss {
    /// The key of the match that says it.
    pub fn key(self) -> &'static str {
        match self {
            Miss::Type => "type",
            Miss::Tenant => "tenant",
            Miss::Entity => "entity",
            Miss::Again => "again",
            Miss::Size => "size",
        }
    }
}

/// Whether a pattern takes an entity.
pub fn pattern_takes(pattern: &str, entity: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(beginning) => entity.starts_with(beginning),
        None => pattern == entity,
    }
}

/// The first part of the match that the ticket does not meet, if any.
pub fn miss(matched: Option<&Match>, point: &Point<'_>) -> Option<Miss> {
    let matched = matched?;
    let has = |list: &[String], one: &str| list.is_empty() || list.iter().any(|item| item == one);
    if !has(&matched.types, point.traffic) {
        return Some(Miss::Type);
    }
    if !has(&matched.tenants, point.tenant) {
        return Some(Miss::Tenant);
    }
    match matched.again() {
        Again::FirstTries if point.again => return Some(Miss::Again),
        Again::FurtherTries if !point.again => return Some(Miss::Again),
        _ => {}
    }
    if point.size < matched.size_least || (matched.size_most > 0 && point.size > matched.size_most)
    {
        return Some(Miss::Size);
    }
    let taken = matched.entities.is_empty()
        || matched
            .entities
            .iter()
            .any(|pattern| pattern_takes(pattern, point.entity));
    (!taken).then_some(Miss::Entity)
}

/// Every ticket that `inner` takes is taken by `outer` too. A list that names all `types` there are counts
/// as all; one of tenants never does, since tickets come from tenants that nobody named.
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

/// No entity begins with this: a text behind a beginning that no longer pattern can mean.
const NOWHERE: char = '\u{10ffff}';

/// Chosen tickets that stand for all: any two tickets that some match tells apart have different ones.
pub struct Points {
    types: Vec<String>,
    tenants: Vec<String>,
    entities: Vec<String>,
    sizes: Vec<u64>,
}

impl Points {
    /// For the routes of some configurations together, and the types and tenants they define.
    pub fn of(configurations: &[&Configuration]) -> Self {
        let mut points = Self {
            types: vec![],
            tenants: vec![],
            entities: vec![String::new()],
            sizes: vec![0],
        };
        points.entities.push(NOWHERE.to_string());
        for configuration in configurations {
            points
                .types
                .extend(configuration.types.iter().map(|one| one.name.clone()));
            points
                .tenants
                .extend(configuration.tenants.iter().map(|one| one.name.clone()));
            for matched in configuration
                .routes
                .iter()
                .filter_map(|route| route.r#match.as_ref())
            {
                points.entities.extend(
                    matched
                        .entities
                        .iter()
                        .map(|pattern| representative(pattern)),
                );
                points.sizes.push(matched.size_least);
                if matched.size_most > 0 {
                    points
                        .sizes
                        .extend([matched.size_most, matched.size_most + 1]);
                }
            }
        }
        if points.types.is_empty() {
            points.types.push(String::new());
        }
        // Somebody whom the configuration does not name.
        points.tenants.push(String::new());
        for list in [&mut points.types, &mut points.tenants, &mut points.entities] {
            list.sort();
            list.dedup();
        }
        points.sizes.sort_unstable();
        points.sizes.dedup();
        points
    }

    /// How many there are.
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

    pub fn each(&self) -> impl Iterator<Item = Point<'_>> {
        let of_type = move |traffic| {
            self.tenants
                .iter()
                .flat_map(move |tenant| self.of_pair(traffic, tenant))
        };
        self.types.iter().flat_map(move |traffic| of_type(traffic))
    }

    /// Those of one type and tenant.
    pub fn of_pair<'p>(&'p self, traffic: &str, tenant: &str) -> impl Iterator<Item = Point<'p>> {
        let traffic = self
            .types
            .iter()
            .find(|one| *one == traffic)
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
            sizes.map(move |(size, again)| Point {
                traffic,
                tenant,
                entity,
                again,
                size,
            })
        })
    }

    pub fn types(&self) -> &[String] {
        &self.types
    }

    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// Those of one type and tenant are this many.
    pub fn inner(&self) -> usize {
        self.entities.len() * self.sizes.len() * 2
    }
}

/// An entity that the pattern takes and no longer pattern does.
pub fn representative(pattern: &str) -> String {
    match pattern.strip_suffix('*') {
        Some(beginning) => format!("{beginning}{NOWHERE}"),
        None => pattern.to_owned(),
    }
}

/// Which route takes a ticket.
pub fn first_match(routes: &[Route], point: &Point<'_>) -> Option<usize> {
    routes
        .iter()
        .position(|route| miss(route.r#match.as_ref(), point).is_none())
}

/// What one pattern takes, or a match without any: its beginning is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Entities<'c> {
    Beginning(&'c str),
    Whole(&'c str),
}

impl<'c> Entities<'c> {
    fn of(pattern: &'c str) -> Self {
        pattern
            .strip_suffix('*')
            .map_or(Entities::Whole(pattern), Entities::Beginning)
    }

    /// All that take whatever this takes: itself, and each of its beginnings.
    fn covering(self) -> impl Iterator<Item = Self> {
        let (Entities::Beginning(text) | Entities::Whole(text)) = self;
        let ends = text.char_indices().map(|(at, _)| at).chain([text.len()]);
        let whole = matches!(self, Entities::Whole(_)).then_some(self);
        ends.map(move |end| Entities::Beginning(&text[..end]))
            .chain(whole)
    }
}

/// Finds, for a route, the earlier ones that could hide it, without looking at all of them: by one type,
/// tenant and entity that both must take.
pub struct Earlier<'c> {
    /// Routes by each type, tenant and pattern that they name; the empty text stands for all.
    by_part: HashMap<(&'c str, &'c str, Entities<'c>), Vec<u32>>,
    /// Those that name many types and tenants.
    wide: Vec<u32>,
    types: usize,
    /// Comparisons left.
    pub budget: usize,
}

/// Places at which one route is listed; past it it is found by its types and tenants alone, or compared with every
/// other.
const MOST_PLACES: usize = 64;
/// Comparisons of two matches in one check: some tenths of a second. Public for the tests of the budget.
pub const MOST_COMPARISONS: usize = 8_000_000;

impl<'c> Earlier<'c> {
    /// `types`: how many there are; who names all of them takes all.
    pub fn new(types: usize) -> Self {
        Self {
            by_part: HashMap::new(),
            wide: Vec::new(),
            types,
            budget: MOST_COMPARISONS,
        }
    }

    pub fn add(&mut self, at: usize, matched: Option<&'c Match>) {
        let (mut types, tenants) = lists(matched);
        if types.len() == self.types {
            types = vec![""];
        }
        let pairs = types.len() * tenants.len();
        if pairs > MOST_PLACES {
            self.wide.push(at as u32);
            return;
        }
        let patterns = matched.map_or(&[][..], |matched| &matched.entities);
        let mut entities: Vec<Entities<'c>> =
            patterns.iter().map(|one| Entities::of(one)).collect();
        if entities.is_empty() || pairs * entities.len() > MOST_PLACES {
            entities = vec![Entities::Beginning("")];
        }
        for traffic in &types {
            for tenant in &tenants {
                for entity in &entities {
                    self.by_part
                        .entry((traffic, tenant, *entity))
                        .or_default()
                        .push(at as u32);
                }
            }
        }
    }

    /// Earlier routes that take the first type, tenant and pattern of this match, so perhaps all of it.
    pub fn candidates<'a>(
        &'a mut self,
        matched: Option<&'c Match>,
    ) -> impl Iterator<Item = usize> + 'a {
        let (types, tenants) = lists(matched);
        let (traffic, tenant) = (types[0], tenants[0]);
        let pattern = matched.and_then(|matched| matched.entities.first());
        let entity = pattern.map_or(Entities::Beginning(""), |one| Entities::of(one));
        let mut pairs = vec![("", ""), (traffic, ""), ("", tenant), (traffic, tenant)];
        pairs.sort_unstable();
        pairs.dedup();
        let keys = entity.covering().flat_map(move |entity| {
            let of_pair = move |(traffic, tenant)| (traffic, tenant, entity);
            pairs.clone().into_iter().map(of_pair)
        });
        let Self {
            by_part,
            wide,
            budget,
            ..
        } = self;
        let listed = keys.filter_map(|key| by_part.get(&key)).flatten().copied();
        let all = listed.chain(wide.iter().copied());
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

/// The list, or one empty text for "all".
fn all_or(list: Option<&Vec<String>>) -> Vec<&str> {
    match list {
        Some(list) if !list.is_empty() => list.iter().map(String::as_str).collect(),
        _ => vec![""],
    }
}
