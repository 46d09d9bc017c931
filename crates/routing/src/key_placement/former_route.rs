//! A route that was removed or changed, reduced to which requests it took and where they went.

use crate::weighted_split::{name_hash, select_by_entity};
use rainstand_config::schema::{Route, Target};

/// A route of an earlier version.
#[derive(Clone, Debug)]
pub(super) struct FormerRoute {
    /// Names of the classes that it matched; empty for all.
    types: Box<[String]>,
    /// Names of the tenants that it matched; empty for all, also for those without a name in the configuration.
    tenants: Box<[String]>,
    /// The pools that it split requests among; empty if it is unknown where they went.
    targets: Box<[Target]>,
}

impl FormerRoute {
    pub(super) fn new(route: &Route) -> Self {
        let matched = route.r#match.as_ref();
        let types = matched.map_or(&[][..], |matched| &matched.types);
        let tenants = matched.map_or(&[][..], |matched| &matched.tenants);
        Self {
            types: types.into(),
            tenants: tenants.into(),
            targets: route.to.as_slice().into(),
        }
    }

    /// All requests of a class, which went to an unknown pool.
    pub(super) fn of_class(name: &str) -> Self {
        Self {
            types: Box::new([name.to_owned()]),
            tenants: Box::default(),
            targets: Box::default(),
        }
    }

    /// Whether it may have matched a request. Entities, sizes and retry marks are not compared, so it may not have.
    pub(super) fn may_match(&self, class: &str, tenant: Option<&str>) -> bool {
        let names = |list: &[String], name: &str| list.iter().any(|listed| listed == name);
        (self.types.is_empty() || names(&self.types, class))
            && (self.tenants.is_empty() || tenant.is_some_and(|name| names(&self.tenants, name)))
    }

    /// The name of the pool to which it sent requests with a key.
    pub(super) fn pool(&self, key: &str) -> Option<&str> {
        let hashes = self
            .targets
            .iter()
            .map(|target| (name_hash(&target.pool), target.share));
        let index = match &self.targets[..] {
            [_only] => 0,
            _ => select_by_entity(hashes, key, |_| true)?,
        };
        Some(&self.targets[index].pool)
    }
}
