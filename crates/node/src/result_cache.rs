//! Results of requests with an idempotency key, cached for retries until the end of their window, in a bounded part of
//! the memory.
//!
//! Invariant: `bytes` is the sum of what the entries take, and never over `max_bytes`.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// The cache may take this part of the memory: a sixth.
const CACHE_MEMORY_FRACTION: usize = 6;

/// What an entry takes beside its name and result, in bytes.
const CACHE_ENTRY_OVERHEAD: usize = 256;

/// Bytes of entries from which expired ones are looked for, and again at each doubling.
const CACHE_SWEEP_BYTES: usize = 64 * 1024;

/// What all tries of one request carry alike, within its class and tenant: never beyond them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The index of its class.
    pub traffic: usize,
    /// The index of its tenant.
    pub tenant: Option<usize>,
    /// Its nonce, or the entity that it is about.
    pub name: Box<[u8]>,
}

/// What a retry gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CachedResult {
    /// The first attempt is in flight.
    InProgress,
    /// The first try's result.
    Result(Rc<[u8]>),
    /// It ran, and there is no result, or no capacity for it: it must not run again.
    Failed,
}

/// What is cached of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedEntry {
    /// What a retry gets.
    pub result: CachedResult,
    /// Of the first try's body: another body under the same key is another request.
    pub body_checksum: u64,
}

struct Entry {
    until: Instant,
    cached: CachedEntry,
}

impl Entry {
    fn bytes(&self, key: &IdempotencyKey) -> usize {
        let result = match &self.cached.result {
            CachedResult::Result(result) => result.len(),
            CachedResult::InProgress | CachedResult::Failed => 0,
        };
        CACHE_ENTRY_OVERHEAD + key.name.len() + result
    }
}

/// Keys of requests that are in flight or ran, each to the end of its window.
#[derive(Default)]
pub struct ResultCache {
    entries: HashMap<IdempotencyKey, Entry>,
    bytes: usize,
    max_bytes: usize,
    sweep_at: usize,
}

/// What tells one body from another under the same key.
pub fn body_checksum(body: &[u8]) -> u64 {
    twox_hash::XxHash3_64::oneshot(body)
}

impl ResultCache {
    /// A cache that takes its part of `memory` bytes.
    ///
    /// ```
    /// use rainstand_node::result_cache::{CachedResult, IdempotencyKey, ResultCache};
    /// use std::time::{Duration, Instant};
    /// let (now, later) = (Instant::now(), Instant::now() + Duration::from_secs(5));
    /// let key = |name: &str| IdempotencyKey { traffic: 0, tenant: None, name: name.as_bytes().into() };
    /// let mut cache = ResultCache::with_memory(6 * 800);
    /// let get = |cache: &ResultCache, name| {
    ///     cache.get(now, &key(name)).map(|cached| (cached.result, cached.body_checksum))
    /// };
    /// assert!(cache.open(now, &key("a"), later, 7) && cache.open(now, &key("b"), later, 8));
    /// assert_eq!(get(&cache, "a"), Some((CachedResult::InProgress, 7)));
    /// // A result that has no capacity is dropped, but not that the request ran; a further key has none either.
    /// cache.close(&key("a"), Some(&[0; 200]));
    /// cache.close(&key("b"), Some(&[0; 500]));
    /// assert!(matches!(get(&cache, "a"), Some((CachedResult::Result(_), 7))));
    /// assert_eq!(get(&cache, "b"), Some((CachedResult::Failed, 8)));
    /// assert!(!cache.has_capacity(now, &key("c")) && !cache.open(now, &key("c"), later, 9));
    /// // Until the others expire, or one turns out never to have run.
    /// cache.remove(&key("a"));
    /// assert!(cache.open(now, &key("c"), later, 9) && cache.get(later, &key("c")).is_none());
    /// ```
    pub fn with_memory(memory: usize) -> Self {
        Self {
            max_bytes: memory / CACHE_MEMORY_FRACTION,
            sweep_at: CACHE_SWEEP_BYTES,
            ..Self::default()
        }
    }

    /// Whether a further key can be cached: without, its request must not run, as a retry could not be distinguished from it.
    pub fn has_capacity(&mut self, now: Instant, key: &IdempotencyKey) -> bool {
        let more = CACHE_ENTRY_OVERHEAD + key.name.len();
        if self.bytes + more > self.max_bytes.min(self.sweep_at) {
            self.sweep(now);
        }
        self.entries.contains_key(key) || self.bytes + more <= self.max_bytes
    }

    /// Drops expired entries.
    fn sweep(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.until > now);
        let bytes = self.entries.iter().map(|(key, entry)| entry.bytes(key));
        self.bytes = bytes.sum();
        self.sweep_at = (self.bytes * 2).max(CACHE_SWEEP_BYTES);
    }

    /// Its request came in: cached from here on, however it ends. False where there is no capacity.
    pub fn open(
        &mut self,
        now: Instant,
        key: &IdempotencyKey,
        until: Instant,
        body_checksum: u64,
    ) -> bool {
        self.remove(key);
        if !self.has_capacity(now, key) {
            return false;
        }
        let cached = CachedEntry {
            result: CachedResult::InProgress,
            body_checksum,
        };
        let entry = Entry { until, cached };
        self.bytes += entry.bytes(key);
        self.entries.insert(key.clone(), entry);
        true
    }

    /// Its request ran, with this result or none.
    pub fn close(&mut self, key: &IdempotencyKey, result: Option<&[u8]>) {
        let capacity = self.max_bytes.saturating_sub(self.bytes);
        if let Some(entry) = self.entries.get_mut(key) {
            let result = result.filter(|result| result.len() <= capacity);
            self.bytes += result.map_or(0, <[u8]>::len);
            entry.cached.result = result.map_or(CachedResult::Failed, |result| {
                CachedResult::Result(result.into())
            });
        }
    }

    /// What is cached of a key, until its window ends.
    pub fn get(&self, now: Instant, key: &IdempotencyKey) -> Option<CachedEntry> {
        let entry = self.entries.get(key).filter(|entry| entry.until > now)?;
        Some(entry.cached.clone())
    }

    /// Nothing of its request ran.
    pub fn remove(&mut self, key: &IdempotencyKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= entry.bytes(key);
        }
    }

    /// How many keys are cached.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
