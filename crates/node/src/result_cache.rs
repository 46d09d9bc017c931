//! Results of requests with an idempotency key, kept for retries until the end of their window, in a bounded part of the
//! memory.
//!
//! Invariant: `bytes` is the sum of what the entries take, and never over `most`.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// What is kept for repeats may take this part of the memory, and each key takes so many bytes beside its own.
const CACHE_MEMORY_FRACTION: usize = 6;
const CACHE_ENTRY_OVERHEAD: usize = 256;
/// Bytes of kept keys from which those that aged out are looked for, and again at each doubling.
const CACHE_SWEEP_BYTES: usize = 64 * 1024;

/// What all tries of one ticket carry alike, within its traffic type and tenant: never beyond them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    pub traffic: usize,
    pub tenant: Option<usize>,
    pub name: Box<[u8]>,
}

/// What a repeat gets that comes once the first try is no longer in hand, or while it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CachedResult {
    /// The first try is in hand.
    InProgress,
    Result(Rc<[u8]>),
    /// It ran, and there is no result, or no room for it: it must not run again.
    Failed,
}

struct Entry {
    until: Instant,
    /// Of the body: another body under the same name is another ticket.
    sum: u64,
    kept: CachedResult,
}

impl Entry {
    fn bytes(&self, key: &IdempotencyKey) -> usize {
        let result = if let CachedResult::Result(result) = &self.kept {
            result.len()
        } else {
            0
        };
        CACHE_ENTRY_OVERHEAD + key.name.len() + result
    }
}

/// Keys of ticketed tickets that are in hand or ran, each to the end of its window, in a part of the memory.
#[derive(Default)]
pub struct ResultCache {
    entries: HashMap<IdempotencyKey, Entry>,
    bytes: usize,
    most: usize,
    look_at: usize,
}

/// What tells one body from another under the same key.
pub fn body_checksum(body: &[u8]) -> u64 {
    twox_hash::XxHash3_64::oneshot(body)
}

impl ResultCache {
    /// ```
    /// use rainstand_node::result_cache::{CachedResult, IdempotencyKey, ResultCache};
    /// use std::time::{Duration, Instant};
    /// let (now, later) = (Instant::now(), Instant::now() + Duration::from_secs(5));
    /// let key = |name: &str| IdempotencyKey { traffic: 0, tenant: None, name: name.as_bytes().into() };
    /// let mut keys = ResultCache::within(6 * 800);
    /// assert!(keys.open(now, &key("a"), later, 7) && keys.open(now, &key("b"), later, 8));
    /// assert_eq!(keys.get(now, &key("a")), Some((CachedResult::InProgress, 7)));
    /// // A result that has no room is gone, but not that the ticket ran; a further key has none either.
    /// keys.close(&key("a"), Some(&[0; 200]));
    /// keys.close(&key("b"), Some(&[0; 500]));
    /// assert!(matches!(keys.get(now, &key("a")), Some((CachedResult::Result(_), 7))));
    /// assert_eq!(keys.get(now, &key("b")), Some((CachedResult::Failed, 8)));
    /// assert!(!keys.has_capacity(now, &key("c")) && !keys.open(now, &key("c"), later, 9));
    /// // Until the others age out, or one turns out never to have run.
    /// keys.drop(&key("a"));
    /// assert!(keys.open(now, &key("c"), later, 9) && keys.get(later, &key("c")).is_none());
    /// ```
    pub fn within(memory: usize) -> Self {
        Self {
            most: memory / CACHE_MEMORY_FRACTION,
            look_at: CACHE_SWEEP_BYTES,
            ..Self::default()
        }
    }

    /// Whether a further key can be kept: without, its ticket must not run, as a repeat could not be told.
    pub fn has_capacity(&mut self, now: Instant, key: &IdempotencyKey) -> bool {
        let more = CACHE_ENTRY_OVERHEAD + key.name.len();
        if self.bytes + more > self.most.min(self.look_at) {
            self.entries.retain(|_, entry| entry.until > now);
            self.bytes = self
                .entries
                .iter()
                .map(|(key, entry)| entry.bytes(key))
                .sum();
            self.look_at = (self.bytes * 2).max(CACHE_SWEEP_BYTES);
        }
        self.entries.contains_key(key) || self.bytes + more <= self.most
    }

    /// Its ticket came in: kept from here on, whatever becomes of it. False where there is no room.
    pub fn open(&mut self, now: Instant, key: &IdempotencyKey, until: Instant, sum: u64) -> bool {
        self.drop(key);
        if !self.has_capacity(now, key) {
            return false;
        }
        let entry = Entry {
            until,
            sum,
            kept: CachedResult::InProgress,
        };
        self.bytes += entry.bytes(key);
        self.entries.insert(key.clone(), entry);
        true
    }

    /// Its ticket ran, with this result or none.
    pub fn close(&mut self, key: &IdempotencyKey, result: Option<&[u8]>) {
        let room = self.most.saturating_sub(self.bytes);
        if let Some(entry) = self.entries.get_mut(key) {
            let result = result.filter(|result| result.len() <= room);
            self.bytes += result.map_or(0, <[u8]>::len);
            entry.kept = result.map_or(CachedResult::Failed, |result| {
                CachedResult::Result(result.into())
            });
        }
    }

    /// What is kept of it, and the sum of its body.
    pub fn get(&self, now: Instant, key: &IdempotencyKey) -> Option<(CachedResult, u64)> {
        let entry = self.entries.get(key).filter(|entry| entry.until > now)?;
        Some((entry.kept.clone(), entry.sum))
    }

    /// Nothing of it ran.
    pub fn drop(&mut self, key: &IdempotencyKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= entry.bytes(key);
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
