//! What changed in meaning between two configurations. Files, comments, units and orders that mean nothing
//! are not in the message that is compared, so they cannot show up; routes are compared by where requests go.

use crate::matching::{first_match, Sample, Samples};
use crate::schema::{dynamic, Configuration, Rate, Route};
use crate::units;
use foldhash::{HashMap, HashMapExt};
use prost_reflect::{DynamicMessage, FieldDescriptor, ReflectMessage, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Samples times routes that are compared to tell which requests take another route; a second at most.
const MAX_COMPARISONS: usize = 20_000_000;
/// Names of a list that are shown.
const MAX_SHOWN_NAMES: usize = 6;

/// One thing that is otherwise in the new configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Something new.
    Added {
        /// Such as `pool hall, member n1`.
        what: String,
    },
    /// Something that is there no more.
    Removed {
        /// Such as `pool hall, member n1`.
        what: String,
    },
    /// Another value of a key.
    ValueChanged {
        /// Such as `pool hall, member n1`.
        what: String,
        /// The key, as the schema names it.
        key: String,
        /// The old value as it is written; empty if it was not set.
        before: String,
        /// The new value as it is written; empty if it is not set.
        after: String,
    },
    /// Requests that take another route.
    Rerouted {
        /// Which requests, in words.
        requests: String,
        /// Where they went.
        before: Destination,
        /// Where they go.
        after: Destination,
    },
    /// Routes in another order, where there are too many to say for which requests it matters.
    Reordered {
        /// The route that came first.
        before: String,
        /// The route that comes first.
        after: String,
    },
}

/// Where a route leads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Destination {
    /// The route's name; none if no route takes the requests.
    pub route: Option<String>,
    /// The names of its pools, with commas between them.
    pub pools: String,
}

impl Destination {
    fn of(routes: &[Route], index: Option<usize>) -> Self {
        let Some(index) = index else {
            return Self::default();
        };
        let route = &routes[index];
        let pools: Vec<_> = route.to.iter().map(|target| &*target.pool).collect();
        Self {
            route: Some(route.name.clone()),
            pools: pools.join(", "),
        }
    }
}

impl fmt::Display for Destination {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.route {
            Some(route) => write!(out, "route {route} (to {})", self.pools),
            None => out.write_str("no route"),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added { what } => write!(out, "+ {what}"),
            Change::Removed { what } => write!(out, "- {what}"),
            Change::ValueChanged {
                what,
                key,
                before,
                after,
            } => {
                let (before, after) = (quoted(before), quoted(after));
                write!(out, "~ {what}: {key}: {before} -> {after}")
            }
            Change::Rerouted {
                requests,
                before,
                after,
            } => write!(out, "> {requests}: {before} -> {after}"),
            Change::Reordered { before, after } => write!(
                out,
                "> route {after} now comes before {before}; tickets that both match go elsewhere"
            ),
        }
    }
}

fn quoted(value: &str) -> String {
    if value.is_empty() {
        "not set".into()
    } else {
        format!("`{value}`")
    }
}

/// All changes, in the order of the schema; then where requests go.
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
    compare_fields(&dynamic(&old), &dynamic(&new), "", &mut changes);
    compare_routes(&old, &new, &mut changes);
    changes
}

fn compare_fields(
    old: &DynamicMessage,
    new: &DynamicMessage,
    path: &str,
    changes: &mut Vec<Change>,
) {
    for field in old.descriptor().fields() {
        let (before, after) = (old.get_field(&field), new.get_field(&field));
        if *before == *after {
            continue;
        }
        match (&*before, &*after) {
            (Value::List(before), Value::List(after)) if has_named_items(&field) => {
                compare_items(&field, before, after, path, changes);
            }
            // A match stands for the route's own keys; rates and stages are values.
            (Value::Message(before), Value::Message(after)) if field.name() == "match" => {
                compare_fields(before, after, path, changes);
            }
            (before, after) => changes.push(Change::ValueChanged {
                what: if path.is_empty() {
                    "configuration".into()
                } else {
                    path.to_owned()
                },
                key: key_of(&field),
                before: written(&field, before),
                after: written(&field, after),
            }),
        }
    }
}

/// Whether the items of a list are told apart by their names.
fn has_named_items(field: &FieldDescriptor) -> bool {
    let kind = field.kind();
    kind.as_message()
        .is_some_and(|message| message.get_field_by_name("name").is_some())
}

/// The key of a field, without the unit in its name.
fn key_of(field: &FieldDescriptor) -> String {
    field.name().trim_end_matches("_ns").to_owned()
}

/// The word for one item of a list.
fn item_word(list: &str) -> &str {
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

fn compare_items(
    field: &FieldDescriptor,
    before: &[Value],
    after: &[Value],
    path: &str,
    changes: &mut Vec<Change>,
) {
    let what = |name: &str| {
        let own = format!("{} {name}", item_word(field.name()));
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
                    compare_fields(old, new, &what(&name), changes);
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

/// A value as the language writes it; empty if it is not set.
fn written(field: &FieldDescriptor, value: &Value) -> String {
    match value {
        Value::U64(0) | Value::EnumNumber(0) => String::new(),
        Value::U64(steps) => amount(field, *steps),
        Value::U32(number) => number.to_string(),
        Value::String(text) => text.clone(),
        Value::Bool(value) => if *value { "yes" } else { "no" }.into(),
        Value::EnumNumber(number) => {
            let kind = field.kind();
            let found = kind.as_enum().and_then(|kind| kind.get_value(*number));
            found.map_or_else(
                || number.to_string(),
                |value| value.name().to_lowercase().replace('_', "-"),
            )
        }
        Value::List(items) => {
            let items: Vec<_> = items.iter().map(|item| written(field, item)).collect();
            items.join(", ")
        }
        Value::Message(message) => written_message(message),
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
fn written_message(message: &DynamicMessage) -> String {
    if message.descriptor().name() == "Rate" {
        return message
            .transcode_to::<Rate>()
            .map_or(String::new(), |rate| match rate.per_ns {
                0 => String::new(),
                per => units::rate(rate.micro_tickets, per),
            });
    }
    let parts = message
        .fields()
        .map(|(field, value)| written(&field, value));
    parts
        .filter(|part| !part.is_empty())
        .collect::<Vec<_>>()
        .join(" ")
}

/// What requests that are rerouted alike have in common.
#[derive(Default)]
struct SampleGroup<'p> {
    types: BTreeSet<&'p str>,
    tenants: BTreeSet<&'p str>,
    entities: BTreeSet<&'p str>,
    sizes: BTreeSet<u64>,
    retries: BTreeSet<bool>,
    count: usize,
}

/// The indices of the routes that take a request, before and after.
type RoutePair = (Option<usize>, Option<usize>);

fn compare_routes(old: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    let in_order = |all: &Configuration| -> Vec<_> {
        let routes = all.routes.iter();
        routes
            .map(|r| (r.name.clone(), r.r#match.clone()))
            .collect()
    };
    if in_order(old) == in_order(new) {
        return;
    }
    let samples = Samples::of(&[old, new]);
    let routes = old.routes.len() + new.routes.len();
    if samples.count().saturating_mul(routes) > MAX_COMPARISONS {
        compare_order(old, new, changes);
        return;
    }
    for ((before, after), group) in rerouted(old, new, &samples) {
        changes.push(Change::Rerouted {
            requests: group.describe(&samples),
            before: Destination::of(&old.routes, before),
            after: Destination::of(&new.routes, after),
        });
    }
}

/// The samples that another route takes, by the routes that take them.
fn rerouted<'p>(
    old: &Configuration,
    new: &Configuration,
    samples: &'p Samples,
) -> BTreeMap<RoutePair, SampleGroup<'p>> {
    let mut groups: BTreeMap<RoutePair, SampleGroup<'p>> = BTreeMap::new();
    for sample in samples.each() {
        let before = first_match(&old.routes, &sample);
        let after = first_match(&new.routes, &sample);
        let name_before = before.map(|index| &old.routes[index].name);
        let name_after = after.map(|index| &new.routes[index].name);
        if name_before != name_after {
            groups.entry((before, after)).or_default().add(&sample);
        }
    }
    groups
}

impl<'p> SampleGroup<'p> {
    fn add(&mut self, sample: &Sample<'p>) {
        self.types.insert(sample.class);
        self.tenants.insert(sample.tenant);
        self.entities.insert(sample.entity);
        self.sizes.insert(sample.size);
        self.retries.insert(sample.is_retry);
        self.count += 1;
    }

    /// The group in words; "some" where not every combination of what is named is in it.
    fn describe(&self, all: &Samples) -> String {
        let per_pair = self.entities.len() * self.sizes.len() * self.retries.len();
        let is_product = self.types.len() * self.tenants.len() * per_pair == self.count;
        let mut words = vec![if is_product {
            "tickets"
        } else {
            "some tickets"
        }
        .to_owned()];
        if self.types.len() < all.types().len() {
            words.push(format!("of type {}", name_list(&self.types)));
        }
        if self.tenants.len() < all.tenants().len() {
            words.push(format!("of tenant {}", name_list(&self.tenants)));
        }
        if per_pair < all.count_per_pair() {
            self.describe_rest(per_pair, all, &mut words);
        }
        words.join(" ")
    }

    /// Retries, entities and sizes.
    fn describe_rest(&self, per_pair: usize, all: &Samples, words: &mut Vec<String>) {
        if self.retries.len() == 1 {
            let is_retry = self.retries.contains(&true);
            words.push(
                if is_retry {
                    "further tries"
                } else {
                    "first tries"
                }
                .into(),
            );
        }
        let entities = self.entities.iter();
        let patterns: Vec<_> = entities.filter_map(|entity| pattern_of(entity)).collect();
        if patterns.len() == self.entities.len() {
            words.push(format!("about {}", patterns.join(", ")));
        }
        let smallest = self.sizes.first().copied().unwrap_or(0);
        if smallest > 0 && per_pair * 2 <= all.count_per_pair() {
            words.push(format!("of {} or more", units::size(smallest)));
        }
    }
}

fn name_list(names: &BTreeSet<&str>) -> String {
    let shown = names.iter().take(MAX_SHOWN_NAMES);
    let shown: Vec<_> = shown
        .map(|name| if name.is_empty() { "(not named)" } else { name })
        .collect();
    match names.len().saturating_sub(MAX_SHOWN_NAMES) {
        0 => shown.join(", "),
        more => format!("{} and {more} more", shown.join(", ")),
    }
}

/// The pattern that a sampled entity stands for; none for those that no pattern takes.
fn pattern_of(entity: &str) -> Option<String> {
    match entity.strip_suffix('\u{10ffff}') {
        Some("") => None,
        Some(beginning) => Some(format!("{beginning}*")),
        None if entity.is_empty() => None,
        None => Some(entity.to_owned()),
    }
}

/// Reports neighbours that changed places.
fn compare_order(old: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    let mut old_places: HashMap<&str, usize> = HashMap::new();
    let old_names = old.routes.iter().map(|route| route.name.as_str());
    old_places.extend(old_names.enumerate().map(|(place, name)| (name, place)));
    let in_both: Vec<_> = new
        .routes
        .iter()
        .filter_map(|route| Some((*old_places.get(&*route.name)?, &route.name)))
        .collect();
    for pair in in_both.windows(2) {
        let ((first_place, first), (second_place, second)) = (pair[0], pair[1]);
        if first_place > second_place {
            changes.push(Change::Reordered {
                before: second.clone(),
                after: first.clone(),
            });
        }
    }
}
