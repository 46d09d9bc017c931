//! The buckets of limits: created on first use, known by name across versions, bounded in number.
//!
//! A limit by key has as many buckets as there are keys, and 5,400 routes that limit each of 23,000 tenants would have
//! 124 million, of which few are ever used. A bucket is therefore created when a request acquires it, and freed when it
//! is idle: no request is in flight and its full burst is available. It then equals a new one to the nanosecond, so
//! freeing it lets nobody gain a burst.
//!
//! Idle ones are found by a hand that goes round, as a clock's: each new bucket moves it on by `SLOTS_PER_NEW_BUCKET`, so of all
//! there are at most half are idle ones that were left lying while others came; and each look at the time by an
//! `TICKS_PER_SWEEP`th of all. At the bound a request that needs one more looks at `MAX_SLOTS_SEARCHED` of them, then it is turned
//! away with a reason of its own, to come back when the looks have been around.
//!
//! Invariants: `index` names each slot that is in use by its key, `free` each that is not; a slot with somebody
//! inside stays where it is, so that a request can hold it by its place.

use crate::rate_limit::{Bucket, LimitExceeded, LimitRule, LimitScope};
use crate::weighted_split::name_hash;
use foldhash::{HashMap, HashMapExt};
use rainstand_config::schema::Per;
use std::time::Duration;

/// Buckets in use at once, some 128 bytes each with their place in the index.
pub const MAX_BUCKETS: usize = 1 << 20;
/// Room that is there from the start: with fewer in use nothing on a request's way allocates.
const INITIAL_CAPACITY: usize = 512;
/// Slots that the hand looks at for each new bucket: more than one, or it never gets ahead.
const SLOTS_PER_NEW_BUCKET: usize = 2;
/// Slots looked at for a request that is turned away else: some microseconds.
const MAX_SLOTS_SEARCHED: usize = 64;
/// So many looks go round all slots. There are ten a second, and who was turned away comes back in one.
const TICKS_PER_SWEEP: usize = 8;

/// What a bucket is known by over versions, as hashes of names: 64 bits each, so that of 23,000 keys at a place two
/// are taken for one with a chance of one in 70 thousand million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    /// The kind and name of the place where the limit stands, and what it is kept by.
    pub(crate) place: u64,
    /// The name of that; 0 where it is not kept by anything, or by a tenant that nobody knows.
    of: u64,
}

impl Key {
    /// `of`: the name of what the limit is kept by.
    pub(crate) fn new(at: LimitScope, name: &str, per: Per, of: Option<&str>) -> Self {
        // Not as the hash's seed: with names of three letters another seed came to the hash of another name.
        let kind = ((at as u64) << 8 | per as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Self {
            place: name_hash(name) ^ kind,
            of: of.map_or(0, name_hash),
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
    hand: usize,
    most: usize,
}

impl Default for Buckets {
    fn default() -> Self {
        Self {
            index: HashMap::with_capacity(2 * INITIAL_CAPACITY),
            slots: Vec::with_capacity(INITIAL_CAPACITY),
            free: Vec::with_capacity(INITIAL_CAPACITY),
            hand: 0,
            most: MAX_BUCKETS,
        }
    }
}

impl Buckets {
    /// Sets the number of buckets; at most [`MAX_BUCKETS`].
    pub(crate) fn set_max(&mut self, most: usize) {
        self.most = most.min(MAX_BUCKETS);
    }

    /// Buckets in use.
    pub(crate) fn in_use(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Buckets for which memory is allocated.
    pub(crate) fn capacity(&self) -> usize {
        self.slots.len()
    }

    /// Whether a request may come in now; nothing changes. A bucket that is not there is whole.
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

    /// Whether there is room for all of these, after idle ones have been looked for where some are new.
    pub(crate) fn make_room<K: Iterator<Item = Key>>(
        &mut self,
        keys: impl Fn() -> K,
        now: Duration,
    ) -> bool {
        let new = |all: &Self| keys().filter(|key| !all.index.contains_key(key)).count();
        let mut looked = SLOTS_PER_NEW_BUCKET * new(self);
        if looked == 0 {
            return true;
        }
        self.reclaim_idle(looked, now);
        // Counted anew each time: the hand may have given back one of them.
        while self.in_use() + new(self) > self.most {
            if looked >= MAX_SLOTS_SEARCHED {
                return false;
            }
            self.reclaim_idle(SLOTS_PER_NEW_BUCKET, now);
            looked += SLOTS_PER_NEW_BUCKET;
        }
        true
    }

    /// Lets a request in; the caller looked before, and made room. The slot that it holds until it leaves.
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

    /// A version's rules, by `Key::place`: what is there goes on under them. A bucket of a place that they do not
    /// name keeps its own until it is idle.
    pub(crate) fn set_rules(&mut self, rules: &HashMap<u64, LimitRule>, now: Duration) {
        for slot in self.slots.iter_mut().filter(|slot| slot.used) {
            if let Some(rule) = rules.get(&slot.key.place) {
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
                most: self.most,
                ..Self::default()
            };
        }
    }

    /// Looks at the next slots, and gives back those that are idle.
    fn reclaim_idle(&mut self, looked: usize, now: Duration) {
        for _ in 0..looked.min(self.slots.len()) {
            self.hand = if self.hand + 1 < self.slots.len() {
                self.hand + 1
            } else {
                0
            };
            let slot = &mut self.slots[self.hand];
            if slot.used && slot.bucket.is_idle(&slot.rule, now) {
                slot.used = false;
                self.index.remove(&slot.key);
                self.free.push(self.hand as u32);
            }
        }
    }
}
