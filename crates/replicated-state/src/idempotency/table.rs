//! The replicated state of one shard: its idempotency keys, and on shard 0 the registers and published versions.

use super::key_state::{transition, EXPIRY_BY_RETENTION};
use super::{Claim, ClaimOutcome, Command, KeyState, Operation, Register};
use crate::versions::{Publish, Versions, VersionsSnapshot};
use bytes::Bytes;
use foldhash::HashMap;
use prost::Message as _;
use rainstand_config_distribution::UpdateError;
use std::collections::{BTreeMap, BTreeSet};

/// Expired keys that one command removes: more than the one that it can add.
const MAX_EXPIRED_PER_COMMAND: usize = 4;
/// Registers of one group.
const MAX_REGISTERS: usize = 64;

/// The replicated state of one shard.
///
/// Invariant: `expiries` holds each key of `states` once, with its expiry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IdempotencyTable {
    states: BTreeMap<Bytes, KeyState>,
    /// Log time of expiry, and key.
    expiries: BTreeSet<(u64, Bytes)>,
    /// Keys that are started, by the claim that holds them.
    claims: HashMap<Claim, Bytes>,
    registers: BTreeMap<Bytes, Register>,
    versions: Versions,
    max_keys: usize,
    withdrawn_retention_ns: u64,
    log_time_ns: u64,
    expired_count: u64,
}

/// The table as a snapshot of the log holds it.
#[derive(Clone, PartialEq, prost::Message)]
struct TableSnapshot {
    #[prost(message, repeated, tag = "1")]
    states: Vec<KeyState>,
    #[prost(uint64, tag = "2")]
    log_time_ns: u64,
    #[prost(message, repeated, tag = "3")]
    registers: Vec<NamedRegister>,
    #[prost(message, optional, tag = "4")]
    versions: Option<VersionsSnapshot>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct NamedRegister {
    #[prost(bytes = "bytes", tag = "1")]
    name: Bytes,
    #[prost(message, required, tag = "2")]
    value: Register,
}

impl IdempotencyTable {
    /// An empty table of at most `max_keys` keys.
    ///
    /// A withdrawn key is forgotten after `withdrawn_retention_ns` of log time: its start can be on its way for no
    /// longer than that.
    pub fn new(max_keys: usize, withdrawn_retention_ns: u64) -> Self {
        Self {
            max_keys,
            withdrawn_retention_ns,
            ..Self::default()
        }
    }

    /// Number of keys, expired ones that were not removed yet included.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Number of keys that expired and were removed so far.
    pub fn expired_count(&self) -> u64 {
        self.expired_count
    }

    /// Number of scheduled expiries. It equals [`IdempotencyTable::len`]; public so that tests can check that.
    pub fn scheduled_expiry_count(&self) -> usize {
        self.expiries.len()
    }

    /// The latest log time applied, in nanoseconds.
    pub fn log_time_ns(&self) -> u64 {
        self.log_time_ns
    }

    /// The state of a key; none if it is absent or expired.
    pub fn get(&self, key: &[u8]) -> Option<&KeyState> {
        let state = self.states.get(key)?;
        (state.expires_at > self.log_time_ns).then_some(state)
    }

    /// A register, if it was ever set.
    pub fn register(&self, name: &[u8]) -> Option<&Register> {
        self.registers.get(name)
    }

    /// The published versions of the configuration.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// The key that a claim holds, for an agent that reports a run that the node does not know.
    pub fn claimed_by(&self, claim: &Claim) -> Option<&Bytes> {
        self.claims.get(claim)
    }

    /// Keys whose runs have not ended, in order.
    pub fn started(&self) -> impl Iterator<Item = &Bytes> {
        self.states
            .values()
            .filter(|state| state.is_started())
            .map(|state| &state.key)
    }

    /// Applies a committed command with its log time in nanoseconds.
    pub fn apply(&mut self, log_time_ns: u64, command: &Command) -> ClaimOutcome {
        self.log_time_ns = self.log_time_ns.max(log_time_ns);
        self.remove_expired();
        match &command.operation {
            Some(Operation::Set(register)) => self.set_register(&command.key, register),
            Some(Operation::Publish(publish)) => self.publish(publish),
            _ => self.apply_to_key(command),
        }
    }

    fn remove_expired(&mut self) {
        for _ in 0..MAX_EXPIRED_PER_COMMAND {
            let is_due = |expiry: &&(u64, Bytes)| expiry.0 <= self.log_time_ns;
            let Some(expiry) = self.expiries.first().filter(is_due).cloned() else {
                return;
            };
            self.expiries.remove(&expiry);
            if let Some(state) = self.states.remove(&expiry.1) {
                self.claims.remove(&state.claim);
            }
            self.expired_count += 1;
        }
    }

    fn apply_to_key(&mut self, command: &Command) -> ClaimOutcome {
        let state = self.remove(&command.key);
        let state = state.filter(|state| state.expires_at > self.log_time_ns);
        if state.is_none() && self.states.len() >= self.max_keys {
            return ClaimOutcome::CapacityExceeded;
        }
        let (state, outcome) = transition(state, command, self.log_time_ns);
        if let Some(state) = state {
            self.insert(state);
        }
        outcome
    }

    fn remove(&mut self, key: &Bytes) -> Option<KeyState> {
        let state = self.states.remove(key)?;
        self.expiries.remove(&(state.expires_at, state.key.clone()));
        self.claims.remove(&state.claim);
        Some(state)
    }

    fn insert(&mut self, mut state: KeyState) {
        if state.expires_at == EXPIRY_BY_RETENTION {
            state.expires_at = self.log_time_ns.saturating_add(self.withdrawn_retention_ns);
        }
        self.expiries.insert((state.expires_at, state.key.clone()));
        if state.is_started() {
            self.claims.insert(state.claim.clone(), state.key.clone());
        }
        self.states.insert(state.key.clone(), state);
    }

    fn set_register(&mut self, name: &Bytes, register: &Register) -> ClaimOutcome {
        let current = self.registers.get(name);
        match current {
            Some(current) if current == register => return ClaimOutcome::Recorded,
            Some(current) if current.version >= register.version => return ClaimOutcome::NotHeld,
            None if self.registers.len() >= MAX_REGISTERS => return ClaimOutcome::CapacityExceeded,
            _ => {}
        }
        self.registers.insert(name.clone(), register.clone());
        ClaimOutcome::Recorded
    }

    fn publish(&mut self, publish: &Publish) -> ClaimOutcome {
        match self.versions.publish(publish) {
            Ok(()) => ClaimOutcome::Recorded,
            Err(error @ UpdateError::VersionMismatch { .. }) => {
                ClaimOutcome::Conflict(error.to_string().into())
            }
            Err(error) => ClaimOutcome::Rejected(error.to_string().into()),
        }
    }

    /// The encoded table, without its bounds. Equal tables give equal bytes.
    pub fn snapshot(&self) -> Bytes {
        let named_register = |(name, value): (&Bytes, &Register)| NamedRegister {
            name: name.clone(),
            value: value.clone(),
        };
        let snapshot = TableSnapshot {
            states: self.states.values().cloned().collect(),
            log_time_ns: self.log_time_ns,
            registers: self.registers.iter().map(named_register).collect(),
            versions: self.versions.snapshot(),
        };
        snapshot.encode_to_vec().into()
    }

    /// Replaces the contents by those of a snapshot; the bounds stay.
    ///
    /// # Errors
    ///
    /// If the bytes are not a table that [`IdempotencyTable::snapshot`] encoded. The table must not be used then.
    pub fn restore(&mut self, data: Bytes) -> Result<(), UpdateError> {
        let snapshot = TableSnapshot::decode(data).map_err(|_| UpdateError::MalformedFrame)?;
        self.versions = Versions::from_snapshot(snapshot.versions)?;
        self.log_time_ns = snapshot.log_time_ns;
        self.states.clear();
        self.expiries.clear();
        self.claims.clear();
        for state in snapshot.states {
            self.expiries.insert((state.expires_at, state.key.clone()));
            if state.is_started() {
                self.claims.insert(state.claim.clone(), state.key.clone());
            }
            self.states.insert(state.key.clone(), state);
        }
        let registers = snapshot.registers.into_iter();
        self.registers = registers.map(|named| (named.name, named.value)).collect();
        Ok(())
    }
}
