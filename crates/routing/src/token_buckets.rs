//! The buckets of limits: created on first use, identified by name across versions, bounded in number.
//!
//! A limit by key has one bucket for each key, and 5,400 routes that limit each of 23,000 tenants would have 124
//! million, of which few are ever used. A bucket is therefore created when a request acquires it, and freed when it
//! is idle: no request is in flight and its full burst is available. It is then exactly equivalent to a new one,
//! so that freeing it admits no extra request.
//!
//! Idle buckets are found by a sweep over the slots. Each new bucket advances it by `SLOTS_PER_NEW_BUCKET`, so at most
//! half of all buckets are idle ones that the sweep has not visited; each tick advances it by a fraction of
//! 1 / `TICKS_PER_SWEEP` of all slots. At the maximum number of buckets, a request that needs one more searches
//! `MAX_SLOTS_SEARCHED` slots and is then rejected with a separate reason and a retry-after in which the sweep visits
//! all slots.
//!
//! Invariants: `index` maps the key of each slot in use to the slot, and `free` holds all other slots; a slot with a
//! request in flight is not freed, since the request refers to it by its number.

use crate::rate_limit::{Bucket, LimitExceeded, LimitRule, LimitScope};
use crate::weighted_split::name_hash;
use foldhash::{HashMap, HashMapExt};
use rainstand_config::schema::Per;
use std::time::Duration;

/// Maximum number of buckets in use, about 128 bytes each including the entry in the index.
pub const MAX_BUCKETS: usize = 1 << 20;
/// Number of slots allocated at the start: up to that number in use, admitting a request allocates no memory.
const INITIAL_CAPACITY: usize = 512;
/// Slots that the sweep visits for each new bucket: more than one, or it would never catch up with new ones.
const SLOTS_PER_NEW_BUCKET: usize = 2;
/// Slots searched before a request is rejected for lack of a bucket; takes a few microseconds.
const MAX_SLOTS_SEARCHED: usize = 64;
/// Ticks in which the sweep visits all slots. There are ten per second, and a rejected caller retries after one second.
const TICKS_PER_SWEEP: usize = 8;

/// Identity of a bucket across versions, as hashes of names: with 64 bits, the probability that two of 23,000 keys of
/// one limit collide is one in 70 thousand million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    /// Hash of the limit: kind and name of its scope, and the kind of its key.
    pub(crate) limit: u64,
    /// Hash of the name that the limit is keyed by; 0 if there is none, and for all unknown tenants.
    keyed_by: u64,
}

impl Key {
    /// The key of a limit's bucket. `name`: of the limit's scope; `keyed_by`: name of the request's key, if the limit
    /// has one.
    pub(crate) fn new(scope: LimitScope, name: &str, per: Per, keyed_by: Option<&str>) -> Self {
        // Not used as the hash's seed: for names of three letters, another seed led to the hash of another name.
        let kind = ((scope as u64) << 8 | per as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Self {
            limit: name_hash(name) ^ kind,
            keyed_by: keyed_by.map_or(0, name_hash),
        }
    }
}

#[derive(Debug)]
struct Slot {
    key: Key,
    bucket: Bucket,
    rule: LimitRule,
    used: bool,
}

/// All buckets. See the module's documentation.
#[derive(Debug)]
pub(crate) struct Buckets {
    index: HashMap<Key, u32>,
    slots: Vec<Slot>,
    free: Vec<u32>,
    /// Index of the slot that the sweep visited last.
    sweep_position: usize,
    max: usize,
}

impl Default for Buckets {
    fn default() -> Self {
        Self {
            index: HashMap::with_capacity(2 * INITIAL_CAPACITY),
            slots: Vec::with_capacity(INITIAL_CAPACITY),
            free: Vec::with_capacity(INITIAL_CAPACITY),
            sweep_position: 0,
            max: MAX_BUCKETS,
        }
    }
}

impl Buckets {
    /// Sets the maximum number of buckets in use, up to [`MAX_BUCKETS`].
    pub(crate) fn set_max(&mut self, max: usize) {
        self.max = max.min(MAX_BUCKETS);
    }

    /// Number of buckets in use.
    pub(crate) fn in_use(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Number of buckets for which memory is allocated.
    pub(crate) fn capacity(&self) -> usize {
        self.slots.len()
    }

    /// Checks whether a request may be admitted now, without changing anything. A bucket that does not exist has its
    /// full burst.
    ///
    /// # Errors
    /// As [`Bucket::check`].
    pub(crate) fn check(
        &self,
        key: &Key,
        rule: &LimitRule,
        now: Duration,
    ) -> Result<(), LimitExceeded> {
        match self.index.get(key) {
            Some(slot) => self.slots[*slot as usize].bucket.check(rule, now),
            None => Ok(()),
        }
    }

    /// Reclaims idle buckets if some of the keys have no bucket yet; returns whether there is capacity for all keys.
    pub(crate) fn ensure_capacity<K: Iterator<Item = Key>>(
        &mut self,
        keys: impl Fn() -> K,
        now: Duration,
    ) -> bool {
        let new_keys = |all: &Self| keys().filter(|key| !all.index.contains_key(key)).count();
        let mut searched = SLOTS_PER_NEW_BUCKET * new_keys(self);
        if searched == 0 {
            return true;
        }
        self.reclaim_idle(searched, now);
        // The new keys are counted again each time, since the bucket of one of the keys may have been reclaimed.
        while self.in_use() + new_keys(self) > self.max {
            if searched >= MAX_SLOTS_SEARCHED {
                return false;
            }
            self.reclaim_idle(SLOTS_PER_NEW_BUCKET, now);
            searched += SLOTS_PER_NEW_BUCKET;
        }
        true
    }

    /// Admits a request, after [`Buckets::check`] and [`Buckets::ensure_capacity`]; returns the slot to release at its
    /// end.
    pub(crate) fn acquire(&mut self, key: Key, rule: &LimitRule, now: Duration) -> u32 {
        let Self {
            index, slots, free, ..
        } = self;
        let slot_index = *index.entry(key).or_insert_with(|| {
            let slot = Slot {
                key,
                bucket: Bucket::default(),
                rule: *rule,
                used: true,
            };
            if let Some(free_index) = free.pop() {
                slots[free_index as usize] = slot;
                return free_index;
            }
            slots.push(slot);
            slots.len() as u32 - 1
        });
        slots[slot_index as usize].bucket.acquire(rule, now);
        slot_index
    }

    /// Records the end of a request in the bucket of a slot.
    pub(crate) fn release(&mut self, slot: u32) {
        self.slots[slot as usize].bucket.release();
    }

    /// Applies a version's rules, by `Key::limit`, to existing buckets. A bucket whose limit has no rule in `rules`
    /// keeps its old one until it is idle.
    pub(crate) fn set_rules(&mut self, rules: &HashMap<u64, LimitRule>, now: Duration) {
        for slot in self.slots.iter_mut().filter(|slot| slot.used) {
            if let Some(rule) = rules.get(&slot.key.limit) {
                slot.bucket.set_rules(&slot.rule, rule, now);
                slot.rule = *rule;
            }
        }
    }

    /// Frees idle buckets in the next 1 / `TICKS_PER_SWEEP` of the slots.
    pub(crate) fn sweep(&mut self, now: Duration) {
        self.reclaim_idle(self.slots.len().div_ceil(TICKS_PER_SWEEP), now);
        if self.in_use() == 0 && self.slots.len() > INITIAL_CAPACITY {
            *self = Self {
                max: self.max,
                ..Self::default()
            };
        }
    }

    /// Visits the next `count` slots and frees those whose buckets are idle.
    fn reclaim_idle(&mut self, count: usize, now: Duration) {
        for _ in 0..count.min(self.slots.len()) {
            let next = self.sweep_position + 1;
            self.sweep_position = if next < self.slots.len() { next } else { 0 };
            let slot = &mut self.slots[self.sweep_position];
            if slot.used && slot.bucket.is_idle(&slot.rule, now) {
                slot.used = false;
                self.index.remove(&slot.key);
                self.free.push(self.sweep_position as u32);
            }
        }
    }
}
