//! Results of requests with an idempotency key, cached for retries until their window ends, in bounded memory.
//!
//! Invariant: `bytes` is the total size of the entries, and never exceeds `max_bytes`.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Divisor of the memory limit for the cache: one sixth.
const CACHE_MEMORY_FRACTION: usize = 6;

/// Size of an entry without its name and result, in bytes.
const CACHE_ENTRY_OVERHEAD: usize = 256;

/// Size of the cache, in bytes, at which expired entries are first removed, and again at each doubling.
const CACHE_SWEEP_BYTES: usize = 64 * 1024;

/// Identifies all attempts of one request. Scoped by class and tenant: the same name in another scope is another key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: Option<usize>,
    /// Its nonce, or the entity that it concerns.
    pub name: Box<[u8]>,
}

/// The result that a retry gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CachedResult {
    /// The first attempt is in flight.
    InProgress,
    /// The first attempt's result.
    Result(Rc<[u8]>),
    /// The request ran, and there is no result or no capacity for it: it must not run again.
    Failed,
}

/// The cached data of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedEntry {
    /// The result that a retry gets.
    pub result: CachedResult,
    /// Checksum of the first attempt's body: a different body under the same key is a different request.
    pub body_checksum: u64,
}

struct Entry {
    expires_at: Instant,
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

/// Keys of requests that are in flight or ran, each cached until its window ends.
#[derive(Default)]
pub struct ResultCache {
    entries: HashMap<IdempotencyKey, Entry>,
    bytes: usize,
    max_bytes: usize,
    sweep_threshold: usize,
}

/// A checksum that distinguishes bodies under the same key.
pub fn body_checksum(body: &[u8]) -> u64 {
    twox_hash::XxHash3_64::oneshot(body)
}

impl ResultCache {
    /// A cache that takes its fraction of a memory limit of `memory` bytes.
    ///
    /// ```
    /// use rainstand_node::result_cache::{CachedResult, IdempotencyKey, ResultCache};
    /// use std::time::{Duration, Instant};
    /// let (now, later) = (Instant::now(), Instant::now() + Duration::from_secs(5));
    /// let key = |name: &str| IdempotencyKey { class: 0, tenant: None, name: name.as_bytes().into() };
    /// let mut cache = ResultCache::with_memory(6 * 800);
    /// let get = |cache: &ResultCache, name| {
    ///     cache.get(now, &key(name)).map(|cached| (cached.result, cached.body_checksum))
    /// };
    /// assert!(cache.insert_in_progress(now, &key("a"), later, 7)
    ///     && cache.insert_in_progress(now, &key("b"), later, 8));
    /// assert_eq!(get(&cache, "a"), Some((CachedResult::InProgress, 7)));
    /// // A result that does not fit is dropped, but the key still records that the request ran. A third key does not
    /// // fit.
    /// cache.complete(&key("a"), Some(&[0; 200]));
    /// cache.complete(&key("b"), Some(&[0; 500]));
    /// assert!(matches!(get(&cache, "a"), Some((CachedResult::Result(_), 7))));
    /// assert_eq!(get(&cache, "b"), Some((CachedResult::Failed, 8)));
    /// assert!(!cache.has_capacity(now, &key("c")) && !cache.insert_in_progress(now, &key("c"), later, 9));
    /// // It fits once another key expires, or its request turns out never to have run.
    /// cache.remove(&key("a"));
    /// assert!(cache.insert_in_progress(now, &key("c"), later, 9) && cache.get(later, &key("c")).is_none());
    /// ```
    pub fn with_memory(memory: usize) -> Self {
        Self {
            max_bytes: memory / CACHE_MEMORY_FRACTION,
            sweep_threshold: CACHE_SWEEP_BYTES,
            ..Self::default()
        }
    }

    /// Whether this key can be cached. If not, its request must not run, as its retries could not be recognized.
    pub fn has_capacity(&mut self, now: Instant, key: &IdempotencyKey) -> bool {
        let more = CACHE_ENTRY_OVERHEAD + key.name.len();
        if self.bytes + more > self.max_bytes.min(self.sweep_threshold) {
            self.sweep(now);
        }
        self.entries.contains_key(key) || self.bytes + more <= self.max_bytes
    }

    /// Drops expired entries.
    fn sweep(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.expires_at > now);
        let bytes = self.entries.iter().map(|(key, entry)| entry.bytes(key));
        self.bytes = bytes.sum();
        self.sweep_threshold = (self.bytes * 2).max(CACHE_SWEEP_BYTES);
    }

    /// Caches a key whose request is about to run. Returns false if there is no capacity.
    pub fn insert_in_progress(
        &mut self,
        now: Instant,
        key: &IdempotencyKey,
        expires_at: Instant,
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
        let entry = Entry { expires_at, cached };
        self.bytes += entry.bytes(key);
        self.entries.insert(key.clone(), entry);
        true
    }

    /// Records that the key's request ran, with its result, if there is one.
    pub fn complete(&mut self, key: &IdempotencyKey, result: Option<&[u8]>) {
        let capacity = self.max_bytes.saturating_sub(self.bytes);
        if let Some(entry) = self.entries.get_mut(key) {
            let result = result.filter(|result| result.len() <= capacity);
            self.bytes += result.map_or(0, <[u8]>::len);
            entry.cached.result = result.map_or(CachedResult::Failed, |result| {
                CachedResult::Result(result.into())
            });
        }
    }

    /// The cached data of a key, until its window ends.
    pub fn get(&self, now: Instant, key: &IdempotencyKey) -> Option<CachedEntry> {
        let entry = self
            .entries
            .get(key)
            .filter(|entry| entry.expires_at > now)?;
        Some(entry.cached.clone())
    }

    /// Removes a key whose request never ran.
    pub fn remove(&mut self, key: &IdempotencyKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= entry.bytes(key);
        }
    }

    /// How many keys are cached.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is cached.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
