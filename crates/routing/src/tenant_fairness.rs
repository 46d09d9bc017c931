//! Divides the places of a pool among tenants while they are scarce.
//!
//! Below [`SCARCITY_THRESHOLD`] any tenant may take a place. Above it a tenant is admitted only while it holds fewer
//! places than its entitlement: its share relative to the shares of all tenants active within the last two seconds.
//! A tenant that is alone may therefore fill the pool, and one that floods it cannot exclude the others. Requests are
//! never queued here.
//!
//! Tenants that the configuration does not name share one entitlement, divided evenly among a fixed number of cells
//! by a hash of the tenant's name. Made-up names thus cost a bounded amount of memory and take nothing from
//! configured tenants.
//!
//! Inactive tenants have no entry, so memory and the cost of a tick depend on the active tenants.
//!
//! Invariants: `open` is the sum over all entries; `active_weight` is the sum of the shares of the active ones.

use rainstand_config::units::ONE;
use std::collections::BTreeMap;
use std::time::Duration;

/// Fraction of a pool's places in use from which on they are scarce; the remainder is reserved for tenants below
/// their entitlement.
pub const SCARCITY_THRESHOLD: f64 = 0.8;
/// A tenant is active for this long after its last request.
const ACTIVE_WINDOW: Duration = Duration::from_secs(2);
/// Cells over which tenants without configuration are spread.
pub const UNKNOWN_TENANT_CELLS: usize = 1_024;
/// Minimum share of all unknown tenants together, whatever was promised to others: one of them may be a new customer.
const UNKNOWN_TENANTS_MIN_SHARE: f64 = 0.05;
/// Sums of fractions below this are rounding errors.
const WEIGHT_EPSILON: f64 = 1e-9;
/// Entry of all unknown tenants together; sorts behind every configured tenant.
const UNKNOWN_TENANTS: u32 = u32::MAX;

/// The tenant of a request, as far as fairness distinguishes tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantKey {
    /// A configured tenant, by its index in the table.
    Configured(u16),
    /// A tenant that the configuration does not name, by the cell of its name's hash.
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
    /// Promised shares by tenant index, in millionths; 0: nothing was promised.
    shares: Vec<u32>,
    promised: u64,
    without_promise: usize,
}

impl TenantShares {
    /// `shares`: each tenant's in millionths, by tenant index. A tenant with 0 gets an even part of what the others
    /// leave.
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
        let before = if let Some(entry) = self.shares.get_mut(tenant) {
            Some(std::mem::replace(entry, share))
        } else {
            self.shares.push(share);
            None
        };
        self.promised = self.promised + u64::from(share) - u64::from(before.unwrap_or(0));
        self.without_promise =
            self.without_promise + usize::from(share == 0) - usize::from(before == Some(0));
    }

    /// Number of configured tenants.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Whether no tenant is configured.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// Share of a tenant without a promise, and of all unknown tenants together.
    fn default_share(&self) -> f64 {
        let unpromised = 1.0 - self.promised as f64 / ONE as f64;
        unpromised.max(UNKNOWN_TENANTS_MIN_SHARE) / (self.without_promise + 1) as f64
    }

    /// The share that an entry has ([`TenantKey::entry`]), as a fraction of 1.
    pub fn share_of(&self, entry: u32) -> f64 {
        match self.shares.get(entry as usize) {
            None | Some(0) => self.default_share(),
            Some(share) => f64::from(*share) / ONE as f64,
        }
    }
}

/// What one tenant, or one cell of unknown tenants, uses of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantUsage {
    /// Places that it holds.
    pub open: u32,
    /// Time of its last request; `None` once it is no longer active.
    pub last_request: Option<Duration>,
}

impl TenantUsage {
    /// Updates whether the tenant is active; `false` if its entry can be dropped.
    fn refresh_activity(&mut self, now: Duration) -> bool {
        let expired = |at: Duration| now.saturating_sub(at) > ACTIVE_WINDOW;
        if self.open == 0 && self.last_request.is_some_and(expired) {
            self.last_request = None;
        }
        self.open > 0 || self.last_request.is_some()
    }
}

/// The places of one pool by tenant. See the module's documentation.
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
    /// What the tenant of an entry uses.
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

    /// The places out of `places` to which an entry is entitled if it is active; at least 1. `None` if no other
    /// tenant is active.
    pub fn entitlement(&self, shares: &TenantShares, entry: u32, places: f64) -> Option<f64> {
        let weight = shares.share_of(entry);
        let own = if self.usage(entry).last_request.is_some() {
            weight
        } else {
            0.0
        };
        let others = self.active_weight - own;
        (others > WEIGHT_EPSILON).then(|| (places * weight / (others + weight)).max(1.0))
    }

    /// Whether a request may take one of `places` places now.
    ///
    /// # Errors
    /// By what factor, at least 1, its tenant exceeds its entitlement; scales the time after which to retry.
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
        // A tenant that is alone may use all places; whether one is free is not decided here.
        let Some(entitlement) = self.entitlement(shares, entry, places) else {
            return Ok(());
        };
        let entry_open = f64::from(self.usage(entry).open);
        let (held, entitlement) = match tenant {
            TenantKey::Configured(_) => (entry_open, entitlement),
            // Unknown tenants have one entitlement together, however many names they use.
            TenantKey::Unknown(_) if entry_open >= entitlement => {
                return Err((entry_open / entitlement).max(1.0));
            }
            TenantKey::Unknown(cell) => {
                let usage = self.cells.get(&cell).copied().unwrap_or_default();
                let cells = self.active_cells + u32::from(usage.last_request.is_none());
                let of_cell = (entitlement / f64::from(cells)).max(1.0);
                (f64::from(usage.open), of_cell)
            }
        };
        if held < entitlement {
            Ok(())
        } else {
            Err((held / entitlement).max(1.0))
        }
    }

    /// Records a request, admitted or not: its tenant is active from now on.
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

    /// Releases a place that a tenant took.
    pub fn release(&mut self, tenant: TenantKey) {
        let entry = tenant.entry();
        debug_assert!(self.usage(entry).open > 0, "more left than came in");
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

    /// Numbers of entries and of cells: what memory and the cost of a tick are proportional to.
    pub fn active_entries(&self) -> (usize, usize) {
        (self.entries.len(), self.cells.len())
    }

    /// Places held by all tenants.
    pub fn open(&self) -> u32 {
        self.open
    }
}
