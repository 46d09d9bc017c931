//! Indices of the entries of a configuration by name.

use super::MAX_ENTRIES;
use crate::weighted_split::name_hash;
use crate::ConfigurationError;
use foldhash::{HashMap, HashMapExt};
use rainstand_config::schema;

/// An entry of a configuration that has a name.
pub(crate) trait Named {
    /// The kind of entry, as in errors.
    const KIND: &'static str;
    /// Its name, unique among its kind.
    fn name(&self) -> &str;
}

macro_rules! named {
    ($($thing:ident $what:literal),*) => {
        $(impl Named for schema::$thing {
            /// The kind of entry, as in errors.
    const KIND: &'static str = $what;
            fn name(&self) -> &str {
                &self.name
            }
        })*
    };
}
named!(TrafficType "type", Tenant "tenant", Pool "pool", Limits "limits", RetryAfter "retry-after", Budget "budget",
    Route "route", Attempts "attempts", Health "health");

/// Indices in a list of the configuration by name. Only hashes of the names are held here; the names are in the list.
#[derive(Debug, Default)]
pub(crate) struct NameIndex(HashMap<u64, u16>);

impl NameIndex {
    pub(super) fn new<T: Named>(all: &[T]) -> Result<Self, ConfigurationError> {
        let mut names = Self(HashMap::with_capacity(all.len()));
        for at in 0..all.len() {
            names.put(all, at)?;
        }
        Ok(names)
    }

    /// Adds the entry at this index. Nothing has changed if it is refused.
    pub(crate) fn put<T: Named>(&mut self, all: &[T], at: usize) -> Result<(), ConfigurationError> {
        let name = all[at].name();
        if at >= MAX_ENTRIES {
            return Err(ConfigurationError::TooManyEntries {
                max: MAX_ENTRIES,
                kind: T::KIND,
            });
        }
        self.check_free(all, name)?;
        self.set(name, at as u16);
        Ok(())
    }

    /// # Errors
    /// If another entry has this name or its hash.
    pub(crate) fn check_free<T: Named>(
        &self,
        all: &[T],
        name: &str,
    ) -> Result<(), ConfigurationError> {
        let Some(there) = self.0.get(&name_hash(name)) else {
            return Ok(());
        };
        let other = all.get(usize::from(*there)).map_or("", Named::name);
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
    pub(crate) fn set(&mut self, name: &str, to: u16) {
        self.0.insert(name_hash(name), to);
    }

    /// Updates all indices.
    pub(crate) fn for_each(&mut self, update: impl FnMut(&mut u16)) {
        self.0.values_mut().for_each(update);
    }

    /// The index of a name, if there is such an entry.
    pub(crate) fn get<T: Named>(&self, all: &[T], name: &str) -> Option<u16> {
        let at = *self.0.get(&name_hash(name))?;
        (all.get(usize::from(at))?.name() == name).then_some(at)
    }

    /// As [`NameIndex::get`].
    ///
    /// # Errors
    /// If there is no such entry.
    pub(crate) fn find<T: Named>(&self, all: &[T], name: &str) -> Result<u16, ConfigurationError> {
        self.get(all, name)
            .ok_or_else(|| ConfigurationError::NotFound {
                kind: T::KIND,
                name: name.to_owned(),
            })
    }

    /// As [`NameIndex::find`], where an empty name refers to nothing.
    pub(crate) fn find_optional<T: Named>(
        &self,
        all: &[T],
        name: &str,
    ) -> Result<Option<u16>, ConfigurationError> {
        if name.is_empty() {
            return Ok(None);
        }
        self.find(all, name).map(Some)
    }
}
