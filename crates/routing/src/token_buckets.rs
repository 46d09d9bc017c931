//! The buckets of limits: created on first use, known by name across versions, bounded in number.
//!
//! A limit by key has as many buckets as there are keys, and 5,400 routes that limit each of 23,000 tenants would have
//! 124 million, of which few are ever used. A bucket is therefore created when a request acquires it, and freed when it
//! is idle: no request is in flight and its full burst is available. It then equals a new one to the nanosecond, so
//! freeing it lets nobody gain a burst.
//!
//! Idle buckets are found by a sweep over the slots. Each new bucket advances it by `SLOTS_PER_NEW_BUCKET`, so at most
//! half of all buckets are idle ones that the sweep has not met; each tick advances it by one part in
//! `TICKS_PER_SWEEP` of all slots. At the bound, a request that needs one more bucket searches `MAX_SLOTS_SEARCHED`
//! slots and is then rejected with a reason of its own, to come back when the sweep has visited all.
//!
//! Invariants: `index` has each slot in use by its key, `free` each other slot; a slot with a request in flight keeps
//! its index, by which the request holds it.

use crate::rate_limit::{Bucket, LimitExceeded, LimitRule, LimitScope};
use crate::weighted_split::name_hash;
use foldhash::{HashMap, HashMapExt};
use rainstand_config::schema::Per;
use std::time::Duration;

/// Buckets in use at once, some 128 bytes each with their entry in the index.
pub const MAX_BUCKETS: usize = 1 << 20;
/// Slots that are allocated from the start: with fewer in use nothing on the path of a request allocates.
const INITIAL_CAPACITY: usize = 512;
/// Slots that the sweep visits for each new bucket: more than one, or it would never gain on new ones.
const SLOTS_PER_NEW_BUCKET: usize = 2;
/// Slots searched for a request that would be rejected: some microseconds.
const MAX_SLOTS_SEARCHED: usize = 64;
/// Ticks in which the sweep visits all slots. There are ten a second; a rejected caller comes back after one second.
const TICKS_PER_SWEEP: usize = 8;

/// Identity of a bucket across versions, as hashes of names: with 64 bits, two of 23,000 keys of one limit collide
/// with a probability of one in 70 thousand million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    /// The limit: kind and name of its scope, and the kind of its key.
    pub(crate) limit: u64,
    /// The name that it is keyed by; 0 where there is none, or for all unknown tenants.
    keyed_by: u64,
}

impl Key {
    /// The bucket of the limit at a scope and name; `keyed_by`: the name of the request's key, where the limit has one.
    pub(crate) fn new(scope: LimitScope, name: &str, per: Per, keyed_by: Option<&str>) -> Self {
        // Not as the hash's seed: with names of three letters another seed came to the hash of another name.
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
    /// The slot that the sweep visited last.
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
    /// Sets the number of buckets; at most [`MAX_BUCKETS`].
    pub(crate) fn set_max(&mut self, max: usize) {
        self.max = max.min(MAX_BUCKETS);
    }

    /// Buckets in use.
    pub(crate) fn in_use(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Buckets for which memory is allocated.
    pub(crate) fn capacity(&self) -> usize {
        self.slots.len()
    }

    /// Whether a request would be admitted now; nothing changes. A bucket that does not exist is full.
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

    /// Whether there is capacity for all of these, after idle buckets were reclaimed where some are new.
    pub(crate) fn ensure_capacity<K: Iterator<Item = Key>>(
        &mut self,
        keys: impl Fn() -> K,
        now: Duration,
    ) -> bool {
        let new = |all: &Self| keys().filter(|key| !all.index.contains_key(key)).count();
        let mut searched = SLOTS_PER_NEW_BUCKET * new(self);
        if searched == 0 {
            return true;
        }
        self.reclaim_idle(searched, now);
        // Counted again each time: one of them may have been reclaimed.
        while self.in_use() + new(self) > self.max {
            if searched >= MAX_SLOTS_SEARCHED {
                return false;
            }
            self.reclaim_idle(SLOTS_PER_NEW_BUCKET, now);
            searched += SLOTS_PER_NEW_BUCKET;
        }
        true
    }

    /// Admits a request, after [`Buckets::check`] and [`Buckets::ensure_capacity`]; the slot that it holds until its end.
    pub(crate) fn acquire(&mut self, key: Key, rule: &LimitRule, now: Duration) -> u32 {
        let Self {
            index, slots, free, ..
        } = self;
        let at = *index.entry(key).or_insert_with(|| {
            let slot = Slot {
                key,
                bucket: Bucket::default(),
                rule: *rule,
                used: true,
            };
            if let Some(at) = free.pop() {
                slots[at as usize] = slot;
                return at;
            }
            slots.push(slot);
            slots.len() as u32 - 1
        });
        slots[at as usize].bucket.acquire(rule, now);
        at
    }

    /// Records the end of a request in the bucket of a slot.
    pub(crate) fn release(&mut self, slot: u32) {
        self.slots[slot as usize].bucket.release();
    }

    /// Applies a version's rules, by `Key::limit`, to existing buckets. A bucket of a limit that they do not name keeps
    /// its rule until it is idle.
    pub(crate) fn set_rules(&mut self, rules: &HashMap<u64, LimitRule>, now: Duration) {
        for slot in self.slots.iter_mut().filter(|slot| slot.used) {
            if let Some(rule) = rules.get(&slot.key.limit) {
                slot.bucket.set_rules(&slot.rule, rule, now);
                slot.rule = *rule;
            }
        }
    }

    /// Frees idle buckets among the next part of the slots.
    pub(crate) fn sweep(&mut self, now: Duration) {
        self.reclaim_idle(self.slots.len().div_ceil(TICKS_PER_SWEEP), now);
        if self.in_use() == 0 && self.slots.len() > INITIAL_CAPACITY {
            *self = Self {
                max: self.max,
                ..Self::default()
            };
        }
    }

    /// Visits the next `count` slots, and frees those whose buckets are idle.
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
