//! Divides the places of a pool among tenants while they are scarce. A place is capacity for one request in flight.
//!
//! Below [`SCARCITY_THRESHOLD`] any tenant may take a place. Above it a tenant is admitted only while it holds fewer
//! places than its entitlement: its share relative to the shares of all tenants active within the last two seconds.
//! A tenant that is the only active one may therefore fill the pool, and one that floods it cannot exclude the others.
//! Requests are never queued here.
//!
//! Tenants that the configuration does not name share one entitlement, divided evenly among the active ones of a fixed
//! number of cells, to which they are assigned by a hash of the tenant's name. Made-up names thus use a bounded amount
//! of memory and take nothing from configured tenants beyond that one entitlement.
//!
//! Inactive tenants have no entry, so memory and the cost of a tick depend on the active tenants.
//!
//! Invariants: `open` is the sum over all entries; `active_weight` is the sum of the shares of the active ones.

use rainstand_config::units::ONE;
use std::collections::BTreeMap;
use std::time::Duration;

/// Fraction of a pool's places in use at and above which they are scarce; the remainder is reserved for tenants below
/// their entitlement.
pub const SCARCITY_THRESHOLD: f64 = 0.8;
/// A tenant is active for this long after its last request.
const ACTIVE_WINDOW: Duration = Duration::from_secs(2);
/// Number of cells among which unknown tenants are distributed.
pub const UNKNOWN_TENANT_CELLS: usize = 1_024;
/// Minimum share of all unknown tenants together, even if configured shares leave less: one may be a new customer.
const UNKNOWN_TENANTS_MIN_SHARE: f64 = 0.05;
/// Sums of fractions below this are rounding errors.
const WEIGHT_EPSILON: f64 = 1e-9;
/// Entry of all unknown tenants together; sorts after every configured tenant.
const UNKNOWN_TENANTS: u32 = u32::MAX;

/// The tenant of a request, as far as fairness distinguishes tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantKey {
    /// A configured tenant, by its index in the table.
    Configured(u16),
    /// A tenant that the configuration does not name, by the cell that its name's hash selects.
    Unknown(u16),
}

impl TenantKey {
    /// The key of a request's tenant. `name_hash` ([`crate::weighted_split::name_hash`]) is used only where `tenant`
    /// is `None`.
    pub fn new(tenant: Option<u16>, name_hash: u64) -> Self {
        let cell = (name_hash % UNKNOWN_TENANT_CELLS as u64) as u16;
        tenant.map_or(TenantKey::Unknown(cell), TenantKey::Configured)
    }

    /// The entry that counts this tenant: its own, or the common one of all unknown tenants.
    pub fn entry(self) -> u32 {
        match self {
            TenantKey::Configured(tenant) => u32::from(tenant),
            TenantKey::Unknown(_) => UNKNOWN_TENANTS,
        }
    }
}

/// The share of each tenant, the same in all pools of a configuration version.
#[derive(Debug, Default)]
pub struct TenantShares {
    /// Configured shares by tenant index, in millionths; 0: none configured.
    shares: Vec<u32>,
    configured_sum: u64,
    unconfigured_count: usize,
}

impl TenantShares {
    /// `shares`: in millionths, by tenant index. A tenant with 0 gets an even part of what the others leave.
    pub fn new(shares: impl Iterator<Item = u64>) -> Self {
        let mut all = Self::default();
        for (tenant, share) in shares.enumerate() {
            all.set(tenant, share);
        }
        all
    }

    /// Sets the share of a tenant in millionths, or appends a new tenant if the index is past the last one.
    pub fn set(&mut self, tenant: usize, share: u64) {
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        let previous = if let Some(entry) = self.shares.get_mut(tenant) {
            Some(std::mem::replace(entry, share))
        } else {
            self.shares.push(share);
            None
        };
        self.configured_sum =
            self.configured_sum + u64::from(share) - u64::from(previous.unwrap_or(0));
        self.unconfigured_count =
            self.unconfigured_count + usize::from(share == 0) - usize::from(previous == Some(0));
    }

    /// Number of configured tenants.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Whether no tenant is configured.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// Share of a tenant without a configured share, and of all unknown tenants together.
    fn default_share(&self) -> f64 {
        let unassigned = 1.0 - self.configured_sum as f64 / ONE as f64;
        unassigned.max(UNKNOWN_TENANTS_MIN_SHARE) / (self.unconfigured_count + 1) as f64
    }

    /// The share of an entry ([`TenantKey::entry`]), as a fraction of 1.
    pub fn share_of(&self, entry: u32) -> f64 {
        match self.shares.get(entry as usize) {
            None | Some(0) => self.default_share(),
            Some(share) => f64::from(*share) / ONE as f64,
        }
    }
}

/// Usage of a pool by one tenant, all unknown tenants, or one cell of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantUsage {
    /// Number of places held.
    pub open: u32,
    /// Time of its last request; `None` once it is no longer active.
    pub last_request: Option<Duration>,
}

impl TenantUsage {
    /// Updates whether the tenant is active; `false` if its entry can be dropped.
    fn refresh_activity(&mut self, now: Duration) -> bool {
        let expired = |time: Duration| now.saturating_sub(time) > ACTIVE_WINDOW;
        if self.open == 0 && self.last_request.is_some_and(expired) {
            self.last_request = None;
        }
        self.open > 0 || self.last_request.is_some()
    }
}

/// The places of one pool, by tenant. See the module's documentation.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    /// By [`TenantKey::entry`]; ordered, so that sums of fractions are reproducible.
    entries: BTreeMap<u32, TenantUsage>,
    cells: BTreeMap<u16, TenantUsage>,
    active_cells: u32,
    active_weight: f64,
    open: u32,
}

impl FairShare {
    /// The usage of an entry.
    pub fn usage(&self, entry: u32) -> TenantUsage {
        self.entries.get(&entry).copied().unwrap_or_default()
    }

    /// All entries in order.
    pub fn usages(&self) -> impl Iterator<Item = (u32, TenantUsage)> + '_ {
        self.entries.iter().map(|(entry, usage)| (*entry, *usage))
    }

    /// The sum of the shares of all active entries.
    pub fn active_weight(&self) -> f64 {
        self.active_weight
    }

    /// How many of `places` an entry is entitled to while it is active; at least 1. `None` if no other tenant is
    /// active.
    pub fn entitlement(&self, shares: &TenantShares, entry: u32, places: f64) -> Option<f64> {
        let weight = shares.share_of(entry);
        let own_weight = if self.usage(entry).last_request.is_some() {
            weight
        } else {
            0.0
        };
        let other_weight = self.active_weight - own_weight;
        (other_weight > WEIGHT_EPSILON)
            .then(|| (places * weight / (other_weight + weight)).max(1.0))
    }

    /// Whether a request may take one of `places` places now.
    ///
    /// # Errors
    /// The tenant's usage divided by its entitlement, at least 1; scales the time after which to retry.
    pub fn check_share(
        &self,
        shares: &TenantShares,
        tenant: TenantKey,
        places: u32,
    ) -> Result<(), f64> {
        let places = f64::from(places);
        if f64::from(self.open) < places * SCARCITY_THRESHOLD {
            return Ok(());
        }
        let entry = tenant.entry();
        // The only active tenant may use all places; whether one is free is checked elsewhere.
        let Some(entitlement) = self.entitlement(shares, entry, places) else {
            return Ok(());
        };
        let entry_open = f64::from(self.usage(entry).open);
        let (used, entitlement) = match tenant {
            TenantKey::Configured(_) => (entry_open, entitlement),
            // Unknown tenants have one entitlement together, regardless of how many names they use.
            TenantKey::Unknown(_) if entry_open >= entitlement => {
                return Err((entry_open / entitlement).max(1.0));
            }
            TenantKey::Unknown(cell) => {
                let usage = self.cells.get(&cell).copied().unwrap_or_default();
                let cells = self.active_cells + u32::from(usage.last_request.is_none());
                let cell_entitlement = (entitlement / f64::from(cells)).max(1.0);
                (f64::from(usage.open), cell_entitlement)
            }
        };
        if used < entitlement {
            Ok(())
        } else {
            Err((used / entitlement).max(1.0))
        }
    }

    /// Records a request, admitted or not, which makes its tenant active.
    pub fn on_request(&mut self, shares: &TenantShares, tenant: TenantKey, now: Duration) {
        let entry = tenant.entry();
        let usage = self.entries.entry(entry).or_default();
        if usage.last_request.replace(now).is_none() {
            self.active_weight += shares.share_of(entry);
        }
        if let TenantKey::Unknown(cell) = tenant {
            let usage = self.cells.entry(cell).or_default();
            if usage.last_request.replace(now).is_none() {
                self.active_cells += 1;
            }
        }
    }

    /// Takes a place for a tenant.
    pub fn acquire(&mut self, tenant: TenantKey) {
        self.entries.entry(tenant.entry()).or_default().open += 1;
        self.open += 1;
        if let TenantKey::Unknown(cell) = tenant {
            self.cells.entry(cell).or_default().open += 1;
        }
    }

    /// Releases a place that a tenant holds.
    pub fn release(&mut self, tenant: TenantKey) {
        let entry = tenant.entry();
        debug_assert!(
            self.usage(entry).open > 0,
            "released more places than acquired"
        );
        if let Some(usage) = self.entries.get_mut(&entry) {
            usage.open = usage.open.saturating_sub(1);
        }
        self.open = self.open.saturating_sub(1);
        if let TenantKey::Unknown(cell) = tenant {
            if let Some(usage) = self.cells.get_mut(&cell) {
                usage.open = usage.open.saturating_sub(1);
            }
        }
    }

    /// Drops the entries of inactive tenants. To be called several times a second.
    pub fn tick(&mut self, shares: &TenantShares, now: Duration) {
        self.entries.retain(|_, usage| usage.refresh_activity(now));
        self.cells.retain(|_, usage| usage.refresh_activity(now));
        // Summed from scratch, since incremental sums of fractions drift.
        self.active_weight = self
            .entries
            .iter()
            .filter(|(_, usage)| usage.last_request.is_some())
            .map(|(entry, _)| shares.share_of(*entry))
            .sum();
        self.active_cells = self
            .cells
            .values()
            .filter(|usage| usage.last_request.is_some())
            .count() as u32;
    }

    /// Numbers of entries and of cells, to which memory use and the cost of a tick are proportional.
    pub fn entry_counts(&self) -> (usize, usize) {
        (self.entries.len(), self.cells.len())
    }

    /// Places held by all tenants.
    pub fn open(&self) -> u32 {
        self.open
    }
}
