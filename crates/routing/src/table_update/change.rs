//! The changes of which an update of a table consists.

use rainstand_config::schema;

/// The kinds of configuration entries that affect routing decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EntryKind {
    /// A request class.
    Type,
    /// A tenant.
    Tenant,
    /// A pool.
    Pool,
    /// Limits.
    Limits,
    /// Retry-after bounds.
    RetryAfter,
    /// A time budget.
    Budget,
    /// A retry policy.
    Attempts,
    /// Health rules.
    Health,
    /// A route.
    Route,
}

impl EntryKind {
    /// The kind, as shown in errors.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            EntryKind::Type => "type",
            EntryKind::Tenant => "tenant",
            EntryKind::Pool => "pool",
            EntryKind::Limits => "limits",
            EntryKind::RetryAfter => "retry-after",
            EntryKind::Budget => "budget",
            EntryKind::Attempts => "attempts",
            EntryKind::Health => "health",
            EntryKind::Route => "route",
        }
    }
}

/// One entry that is put or removed.
#[derive(Clone, Debug, PartialEq)]
pub enum TableChange {
    /// A request class.
    Type(schema::TrafficType),
    /// A tenant.
    Tenant(schema::Tenant),
    /// A pool with all its members.
    Pool(schema::Pool),
    /// Limits.
    Limits(schema::Limits),
    /// Retry-after bounds.
    RetryAfter(schema::RetryAfter),
    /// A time budget.
    Budget(schema::Budget),
    /// A retry policy.
    Attempts(schema::Attempts),
    /// Health rules.
    Health(schema::Health),
    /// A route, and the name of the route before which it is placed; `None` places it last. The routes of one update
    /// are listed in the order of their positions.
    Route(schema::Route, Option<String>),
    /// Removes the entry of this kind and name.
    Remove(EntryKind, String),
}

/// Identifies an entry of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EntryKey<'c> {
    /// Its kind.
    pub kind: EntryKind,
    /// Its name, unique within its kind.
    pub name: &'c str,
}

impl TableChange {
    /// The entry that it changes.
    pub fn key(&self) -> EntryKey<'_> {
        let (kind, name) = match self {
            TableChange::Type(entry) => (EntryKind::Type, &entry.name),
            TableChange::Tenant(entry) => (EntryKind::Tenant, &entry.name),
            TableChange::Pool(entry) => (EntryKind::Pool, &entry.name),
            TableChange::Limits(entry) => (EntryKind::Limits, &entry.name),
            TableChange::RetryAfter(entry) => (EntryKind::RetryAfter, &entry.name),
            TableChange::Budget(entry) => (EntryKind::Budget, &entry.name),
            TableChange::Attempts(entry) => (EntryKind::Attempts, &entry.name),
            TableChange::Health(entry) => (EntryKind::Health, &entry.name),
            TableChange::Route(entry, _) => (EntryKind::Route, &entry.name),
            TableChange::Remove(kind, name) => (*kind, name),
        };
        EntryKey { kind, name }
    }

    /// The phase of an update in which the change is applied: entries come before those that refer to them.
    pub(super) fn phase(&self) -> u8 {
        match self {
            TableChange::Limits(_)
            | TableChange::RetryAfter(_)
            | TableChange::Budget(_)
            | TableChange::Attempts(_)
            | TableChange::Health(_) => 0,
            TableChange::Type(_) | TableChange::Tenant(_) => 1,
            TableChange::Pool(_) => 2,
            TableChange::Remove(EntryKind::Route, _) => 3,
            TableChange::Route(..) => 4,
            TableChange::Remove(..) => 5,
        }
    }
}
