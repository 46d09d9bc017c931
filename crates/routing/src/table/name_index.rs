//! Finds the entries of a configuration by name.

use super::MAX_ENTRIES;
use crate::weighted_split::name_hash;
use crate::ConfigurationError;
use foldhash::{HashMap, HashMapExt};
use rainstand_config::schema;

/// An entry of a configuration that has a name.
pub(crate) trait Named {
    /// The kind of entry, as shown in errors.
    const KIND: &'static str;
    /// Its name, unique within its kind.
    fn name(&self) -> &str;
}

macro_rules! impl_named {
    ($($entry:ident $kind:literal),*) => {
        $(impl Named for schema::$entry {
            const KIND: &'static str = $kind;
            fn name(&self) -> &str {
                &self.name
            }
        })*
    };
}
impl_named!(TrafficType "type", Tenant "tenant", Pool "pool", Limits "limits", RetryAfter "retry-after",
    Budget "budget", Route "route", Attempts "attempts", Health "health");

/// Maps the names of a list of entries to their indices. Stores hashes only: the names are in the list itself, which
/// each lookup is given.
#[derive(Debug, Default)]
pub(crate) struct NameIndex(HashMap<u64, u16>);

impl NameIndex {
    pub(super) fn new<T: Named>(entries: &[T]) -> Result<Self, ConfigurationError> {
        let mut names = Self(HashMap::with_capacity(entries.len()));
        for index in 0..entries.len() {
            names.put(entries, index)?;
        }
        Ok(names)
    }

    /// Adds the entry at this index. On an error nothing has changed.
    pub(crate) fn put<T: Named>(
        &mut self,
        entries: &[T],
        index: usize,
    ) -> Result<(), ConfigurationError> {
        let name = entries[index].name();
        if index >= MAX_ENTRIES {
            return Err(ConfigurationError::TooManyEntries {
                max: MAX_ENTRIES,
                kind: T::KIND,
            });
        }
        self.check_free(entries, name)?;
        self.set(name, index as u16);
        Ok(())
    }

    /// Checks that a name can be added.
    ///
    /// # Errors
    /// If an entry has the same name, or a name with the same hash.
    pub(crate) fn check_free<T: Named>(
        &self,
        entries: &[T],
        name: &str,
    ) -> Result<(), ConfigurationError> {
        let Some(existing) = self.0.get(&name_hash(name)) else {
            return Ok(());
        };
        let other = entries.get(usize::from(*existing)).map_or("", Named::name);
        let (kind, name) = (T::KIND, name.to_owned());
        Err(if other == name {
            ConfigurationError::DuplicateName { kind, name }
        } else {
            let other = other.to_owned();
            ConfigurationError::HashCollision { kind, name, other }
        })
    }

    /// Removes a name.
    pub(crate) fn remove(&mut self, name: &str) {
        self.0.remove(&name_hash(name));
    }

    /// Sets the index of a name.
    pub(crate) fn set(&mut self, name: &str, index: u16) {
        self.0.insert(name_hash(name), index);
    }

    /// Updates all indices.
    pub(crate) fn for_each(&mut self, update: impl FnMut(&mut u16)) {
        self.0.values_mut().for_each(update);
    }

    /// The index of a name, if there is such an entry.
    pub(crate) fn get<T: Named>(&self, entries: &[T], name: &str) -> Option<u16> {
        let index = *self.0.get(&name_hash(name))?;
        (entries.get(usize::from(index))?.name() == name).then_some(index)
    }

    /// As [`NameIndex::get`], for a required entry.
    ///
    /// # Errors
    /// If there is no such entry.
    pub(crate) fn find<T: Named>(
        &self,
        entries: &[T],
        name: &str,
    ) -> Result<u16, ConfigurationError> {
        self.get(entries, name)
            .ok_or_else(|| ConfigurationError::NotFound {
                kind: T::KIND,
                name: name.to_owned(),
            })
    }

    /// As [`NameIndex::find`], but an empty name gives `None`.
    pub(crate) fn find_optional<T: Named>(
        &self,
        entries: &[T],
        name: &str,
    ) -> Result<Option<u16>, ConfigurationError> {
        if name.is_empty() {
            return Ok(None);
        }
        self.find(entries, name).map(Some)
    }
}
