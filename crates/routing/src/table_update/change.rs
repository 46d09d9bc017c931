//! The changes that an update of a table consists of.

use rainstand_config::schema;

/// The kinds of entries that decide about requests.
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
    /// Bounds of retry-after.
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
    /// The kind as in errors.
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
    /// Bounds of retry-after.
    RetryAfter(schema::RetryAfter),
    /// A time budget.
    Budget(schema::Budget),
    /// A retry policy.
    Attempts(schema::Attempts),
    /// Health rules.
    Health(schema::Health),
    /// A route, and the name of the one in front of which it is placed; `None`: behind all. Of the routes of one update,
    /// those in front come first.
    Route(schema::Route, Option<String>),
    /// Removes the entry of this kind and name.
    Remove(EntryKind, String),
}

/// An entry of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EntryKey<'c> {
    /// Its kind.
    pub kind: EntryKind,
    /// Its name, of which there is one in a kind.
    pub name: &'c str,
}

impl TableChange {
    /// The entry that it changes.
    pub fn key(&self) -> EntryKey<'_> {
        let (kind, name) = match self {
            TableChange::Type(one) => (EntryKind::Type, &one.name),
            TableChange::Tenant(one) => (EntryKind::Tenant, &one.name),
            TableChange::Pool(one) => (EntryKind::Pool, &one.name),
            TableChange::Limits(one) => (EntryKind::Limits, &one.name),
            TableChange::RetryAfter(one) => (EntryKind::RetryAfter, &one.name),
            TableChange::Budget(one) => (EntryKind::Budget, &one.name),
            TableChange::Attempts(one) => (EntryKind::Attempts, &one.name),
            TableChange::Health(one) => (EntryKind::Health, &one.name),
            TableChange::Route(one, _) => (EntryKind::Route, &one.name),
            TableChange::Remove(kind, name) => (*kind, name),
        };
        EntryKey { kind, name }
    }

    /// Its phase in an update: entries come before those that refer to them.
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
