//! What changed in meaning between two configurations. Files, comments, units and orders that mean nothing
//! are not in the message that is compared, so they cannot show up; routes are compared by where tickets go.

use crate::schema::{dynamic, Configuration, Rate, Route};
use crate::space::{first_match, Point, Points};
use crate::units;
use foldhash::{HashMap, HashMapExt};
use prost_reflect::{DynamicMessage, FieldDescriptor, ReflectMessage, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Chosen tickets times routes that are tried to tell which tickets go elsewhere: a second at most.
const MOST_TRIED: usize = 20_000_000;

/// One thing that is otherwise in the new configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Such as `pool hall, member n1`.
    Added {
        what: String,
    },
    Removed {
        what: String,
    },
    /// A key's value; an empty text stands for "not set".
    Otherwise {
        what: String,
        key: String,
        before: String,
        after: String,
    },
    /// Tickets that another route takes now.
    Elsewhere {
        tickets: String,
        before: Option<String>,
        after: Option<String>,
        pools: (String, String),
    },
    /// Routes in another order, too many to say for which tickets it matters.
    Order {
        before: String,
        after: String,
    },
}

impl std::fmt::Display for Change {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Change::Added { what } => write!(out, "+ {what}"),
            Change::Removed { what } => write!(out, "- {what}"),
            Change::Otherwise {
                what,
                key,
                before,
                after,
            } => {
                let shown = |text: &str| {
                    if text.is_empty() {
                        "not set".into()
                    } else {
                        format!("`{text}`")
                    }
                };
                write!(
                    out,
                    "~ {what}: {key}: {} -> {}",
                    shown(before),
                    shown(after)
                )
            }
            Change::Elsewhere {
                tickets,
                before,
                after,
                pools,
            } => {
                let shown = |route: &Option<String>, pools: &str| match route {
                    Some(route) => format!("route {route} (to {pools})"),
                    None => "no route".into(),
                };
                let (before, after) = (shown(before, &pools.0), shown(after, &pools.1));
                write!(out, "> {tickets}: {before} -> {after}")
            }
            Change::Order { before, after } => {
                write!(out, "> route {after} now comes before {before}; tickets that both match go elsewhere")
            }
        }
    }
}

/// All changes, in the order of the schema; then where tickets go.
///
/// ```
/// use rainstand_config::{diff::diff, load, source::Memory};
/// let read = |text: &str| load(&Memory::new([("a.rain", text)]), "a.rain").configuration.unwrap();
/// let old = read("rain 1\npool p { member a { address: \"10.0.0.1:1\"; warm-up: 1 s } }\nroute r { to: p }");
/// let new = read("rain 1 # same\nroute r { to: p }\npool p { member a { warm-up: 1000 ms; address: \"10.0.0.1:1\" } }");
/// assert!(diff(&old, &new).is_empty());
/// let new = read("rain 1\npool p { member a { address: \"10.0.0.1:1\" } }\nroute r { to: p }");
/// assert_eq!(diff(&old, &new)[0].to_string(), "~ pool p, member a: warm_up: `1 s` -> not set");
/// ```
pub fn diff(old: &Configuration, new: &Configuration) -> Vec<Change> {
    let (mut old, mut new) = (old.clone(), new.clone());
    old.put_in_order();
    new.put_in_order();
    let mut changes = Vec::new();
    let both = (dynamic(&old), dynamic(&new));
    fields(&both.0, &both.1, "", &mut changes);
    elsewhere(&old, &new, &mut changes);
    changes
}

fn fields(old: &DynamicMessage, new: &DynamicMessage, path: &str, changes: &mut Vec<Change>) {
    for field in old.descriptor().fields() {
        let (before, after) = (old.get_field(&field), new.get_field(&field));
        if *before == *after {
            continue;
        }
        match (&*before, &*after) {
            (Value::List(before), Value::List(after)) if named(&field) => {
                things(&field, before, after, path, changes);
            }
            // A match stands for the route's own keys; rates and stages are values.
            (Value::Message(before), Value::Message(after)) if field.name() == "match" => {
                fields(before, after, path, changes);
            }
            (before, after) => changes.push(Change::Otherwise {
                what: if path.is_empty() {
                    "configuration".into()
                } else {
                    path.to_owned()
                },
                key: key(&field),
                before: shown(&field, before),
                after: shown(&field, after),
            }),
        }
    }
}

/// Items of the list are told apart by their names.
fn named(field: &FieldDescriptor) -> bool {
    let kind = field.kind();
    kind.as_message()
        .is_some_and(|message| message.get_field_by_name("name").is_some())
}

fn key(field: &FieldDescriptor) -> String {
    field.name().trim_end_matches("_ns").to_owned()
}

/// What one item of a list is called.
fn called(list: &str) -> &str {
    match list {
        "types" => "type",
        "tenants" => "tenant",
        "pools" => "pool",
        "dependencies" => "dependency",
        "budgets" => "budget",
        "retry_after" => "retry-after",
        "members" => "member",
        "routes" => "route",
        "recordings" => "recording",
        "logs" => "log",
        "experiments" => "experiment",
        other => other,
    }
}

fn name_of(value: &Value) -> String {
    let name = value
        .as_message()
        .and_then(|message| message.get_field_by_name("name"));
    name.and_then(|name| name.as_str().map(str::to_owned))
        .unwrap_or_default()
}

fn things(
    field: &FieldDescriptor,
    before: &[Value],
    after: &[Value],
    path: &str,
    changes: &mut Vec<Change>,
) {
    let what = |name: &str| {
        let own = format!("{} {name}", called(field.name()));
        if path.is_empty() {
            own
        } else {
            format!("{path}, {own}")
        }
    };
    let mut left: HashMap<String, &Value> = HashMap::new();
    left.extend(after.iter().map(|value| (name_of(value), value)));
    for value in before {
        let name = name_of(value);
        match left.remove(&name) {
            None => changes.push(Change::Removed { what: what(&name) }),
            Some(other) => {
                if let (Value::Message(old), Value::Message(new)) = (value, other) {
                    fields(old, new, &what(&name), changes);
                }
            }
        }
    }
    for name in after
        .iter()
        .map(name_of)
        .filter(|name| left.contains_key(name))
    {
        changes.push(Change::Added { what: what(&name) });
    }
}

/// A value as the language writes it; empty if not set.
fn shown(field: &FieldDescriptor, value: &Value) -> String {
    match value {
        Value::U64(0) => String::new(),
        Value::U64(steps) => amount(field, *steps),
        Value::U32(number) => number.to_string(),
        Value::String(text) => text.clone(),
        Value::Bool(said) => if *said { "yes" } else { "no" }.into(),
        Value::EnumNumber(0) => String::new(),
        Value::EnumNumber(number) => {
            let kind = field.kind();
            let found = kind.as_enum().and_then(|kind| kind.get_value(*number));
            found.map_or_else(
                || number.to_string(),
                |value| value.name().to_lowercase().replace('_', "-"),
            )
        }
        Value::List(items) => {
            let items: Vec<_> = items.iter().map(|item| shown(field, item)).collect();
            items.join(", ")
        }
        Value::Message(message) => inner(message),
        other => format!("{other:?}"),
    }
}

fn amount(field: &FieldDescriptor, steps: u64) -> String {
    match field.name() {
        name if name.ends_with("_ns") => units::time(steps),
        "share" | "late" | "out_share" | "back_share" | "keep" | "budget" => units::share(steps),
        "benefit" | "weight" | "slow" => units::factor(steps),
        "burst" | "at_once" | "out_after" => format!("{steps} tickets"),
        "size_least" | "size_most" | "file_bytes" => units::size(steps),
        _ => steps.to_string(),
    }
}

/// Rates, stages and targets, which are written as one value.
fn inner(message: &DynamicMessage) -> String {
    if message.descriptor().name() == "Rate" {
        return message
            .transcode_to::<Rate>()
            .map_or(String::new(), |rate| match rate.per_ns {
                0 => String::new(),
                per => units::rate(rate.micro_tickets, per),
            });
    }
    let parts = message.fields().map(|(field, value)| shown(&field, value));
    parts
        .filter(|part| !part.is_empty())
        .collect::<Vec<_>>()
        .join(" ")
}

/// What a group of tickets has in common.
#[derive(Default)]
struct Group<'p> {
    types: BTreeSet<&'p str>,
    tenants: BTreeSet<&'p str>,
    entities: BTreeSet<&'p str>,
    sizes: BTreeSet<u64>,
    tries: BTreeSet<bool>,
    points: usize,
}

fn elsewhere(old: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    let sequence = |all: &[Route]| {
        all.iter()
            .map(|r| (r.name.clone(), r.r#match.clone()))
            .collect::<Vec<_>>()
    };
    if sequence(&old.routes) == sequence(&new.routes) {
        return;
    }
    let points = Points::of(&[old, new]);
    if points
        .count()
        .saturating_mul(old.routes.len() + new.routes.len())
        > MOST_TRIED
    {
        order(old, new, changes);
        return;
    }
    let mut groups: BTreeMap<(Option<usize>, Option<usize>), Group<'_>> = BTreeMap::new();
    for point in points.each() {
        let (before, after) = (
            first_match(&old.routes, &point),
            first_match(&new.routes, &point),
        );
        let name = |routes: &'_ [Route], at: Option<usize>| at.map(|at| routes[at].name.clone());
        if name(&old.routes, before) != name(&new.routes, after) {
            groups.entry((before, after)).or_default().take(&point);
        }
    }
    let all = Group {
        types: points.types().iter().map(String::as_str).collect(),
        tenants: points.tenants().iter().map(String::as_str).collect(),
        points: points.inner(),
        ..Group::default()
    };
    for ((before, after), group) in groups {
        let pools = |routes: &[Route], at: Option<usize>| {
            let to = at.map(|at| {
                routes[at]
                    .to
                    .iter()
                    .map(|target| target.pool.as_str())
                    .collect::<Vec<_>>()
            });
            to.map_or(String::new(), |to| to.join(", "))
        };
        changes.push(Change::Elsewhere {
            tickets: group.words(&all),
            before: before.map(|at| old.routes[at].name.clone()),
            after: after.map(|at| new.routes[at].name.clone()),
            pools: (pools(&old.routes, before), pools(&new.routes, after)),
        });
    }
}

impl<'p> Group<'p> {
    fn take(&mut self, point: &Point<'p>) {
        self.types.insert(point.traffic);
        self.tenants.insert(point.tenant);
        self.entities.insert(point.entity);
        self.sizes.insert(point.size);
        self.tries.insert(point.again);
        self.points += 1;
    }

    /// In words; "some" where not every combination of what is named is in the group.
    fn words(&self, all: &Group<'_>) -> String {
        let product = self.types.len()
            * self.tenants.len()
            * self.entities.len()
            * self.sizes.len()
            * self.tries.len();
        let inner = self.entities.len() * self.sizes.len() * self.tries.len();
        let mut words = vec![if product == self.points {
            "tickets"
        } else {
            "some tickets"
        }
        .to_owned()];
        let list = |names: &BTreeSet<&str>| {
            const MOST: usize = 6;
            let shown: Vec<_> = names
                .iter()
                .take(MOST)
                .map(|name| if name.is_empty() { "(not named)" } else { name })
                .collect();
            let more = names.len().saturating_sub(MOST);
            if more > 0 {
                format!("{} and {more} more", shown.join(", "))
            } else {
                shown.join(", ")
            }
        };
        if self.types.len() < all.types.len() {
            words.push(format!("of type {}", list(&self.types)));
        }
        if self.tenants.len() < all.tenants.len() {
            words.push(format!("of tenant {}", list(&self.tenants)));
        }
        if inner < all.points {
            if self.tries.len() == 1 {
                words.push(
                    if self.tries.contains(&true) {
                        "further tries"
                    } else {
                        "first tries"
                    }
                    .into(),
                );
            }
            let entities: Vec<_> = self
                .entities
                .iter()
                .filter_map(|entity| in_words(entity))
                .collect();
            if entities.len() == self.entities.len() {
                words.push(format!("about {}", entities.join(", ")));
            }
            if let (Some(least), true) = (self.sizes.first(), inner * 2 <= all.points) {
                if *least > 0 {
                    words.push(format!("of {} or more", units::size(*least)));
                }
            }
        }
        words.join(" ")
    }
}

/// A chosen entity as the pattern that it stands for; none for those that no pattern takes.
fn in_words(entity: &str) -> Option<String> {
    match entity.strip_suffix('\u{10ffff}') {
        Some("") => None,
        Some(beginning) => Some(format!("{beginning}*")),
        None if entity.is_empty() => None,
        None => Some(entity.to_owned()),
    }
}

/// Pairs of neighbours that changed places.
fn order(old: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    let mut place: HashMap<&str, usize> = HashMap::new();
    place.extend(
        old.routes
            .iter()
            .enumerate()
            .map(|(at, route)| (route.name.as_str(), at)),
    );
    let kept: Vec<_> = new
        .routes
        .iter()
        .filter_map(|r| place.get(&*r.name).map(|at| (*at, &r.name)))
        .collect();
    for pair in kept.windows(2).filter(|pair| pair[0].0 > pair[1].0) {
        changes.push(Change::Order {
            before: pair[1].1.clone(),
            after: pair[0].1.clone(),
        });
    }
}
