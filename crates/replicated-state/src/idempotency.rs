//! One shard's keyed tickets, as the log's commands make them.
//!
//! | state of a key | how it comes about | a start of the same body is told |
//! | --- | --- | --- |
//! | not there | never asked, or aged out | granted |
//! | started by a claim | a start was granted | granted (the same claim), running (another) |
//! | known | its run's result was brought | known, with the result |
//! | uncertain | its run ended without a result | uncertain |
//! | withdrawn | its start was taken back before a launch | granted, but for the claims that were taken back |
//!
//! A start with another body, type or tenant is told so, whatever the state. All ageing goes by the log's time, so that
//! every copy ages a key at the same entry.
//!
//! Invariant: `ages` holds each row's key once, with its `until`.

use crate::versions::{self, Publish, Versions};
use bytes::Bytes;
use foldhash::HashMap;
use prost::Message as _;
use rainstand_config_distribution::UpdateError;
use rainstand_raft::plant::planted;
use std::collections::{BTreeMap, BTreeSet};

/// Claims taken back that are remembered of one key: a start that was slow on its way is not granted after it.
const WITHDRAWN: usize = 4;
/// Aged rows that one command takes out: more than it can add.
const AGED: usize = 4;

/// Who wants to run a key: a disk, and the ticket's trace there.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Claim {
    #[prost(uint64, tag = "1")]
    pub holder: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub trace: Bytes,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Start {
    /// Over type, tenant and body.
    #[prost(uint64, tag = "1")]
    pub sum: u64,
    /// How long a repeat is told apart, in nanoseconds.
    #[prost(uint64, tag = "2")]
    pub window: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Register {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Operation {
    #[prost(message, tag = "3")]
    Start(Start),
    /// The run's result.
    #[prost(bytes = "bytes", tag = "4")]
    Done(Bytes),
    /// The run ended without a result and may have had its effect.
    #[prost(bool, tag = "5")]
    Failed(bool),
    /// Nothing was launched and nothing will be.
    #[prost(bool, tag = "6")]
    Withdraw(bool),
    /// A named value that only moves on to a later version.
    #[prost(message, tag = "7")]
    Set(Register),
    /// The next version of the configuration.
    #[prost(message, tag = "8")]
    Publish(Publish),
}

/// What an entry of the log says.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Command {
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    #[prost(message, required, tag = "2")]
    pub claim: Claim,
    #[prost(oneof = "Operation", tags = "3, 4, 5, 6, 7, 8")]
    pub operation: Option<Operation>,
}

/// What becomes of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// Launch it: nobody else does.
    Granted,
    /// It ran: this is its result.
    Completed(Bytes),
    /// Another claim has it, and its end is not known yet.
    InProgress,
    /// It may have had its effect, and no result will tell.
    Indeterminate,
    /// The key stands for another body, type or tenant.
    KeyMismatch,
    /// This claim was taken back before.
    Withdrawn,
    /// There is no room for another key.
    CapacityExceeded,
    /// It is in the log, and so on a majority.
    Recorded,
    /// The claim does not hold the key any more.
    NotHeld,
    /// A version that was made from another one than the newest; in words.
    Conflict(Bytes),
    /// A version that cannot be taken, and why.
    Rejected(Bytes),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
enum Stage {
    Free = 0,
    Started = 1,
    Completed = 2,
    Indeterminate = 3,
}

/// One key.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct KeyState {
    #[prost(bytes = "bytes", tag = "1")]
    key: Bytes,
    #[prost(enumeration = "Stage", tag = "2")]
    stage: i32,
    #[prost(uint64, tag = "3")]
    sum: u64,
    #[prost(message, required, tag = "4")]
    claim: Claim,
    #[prost(bytes = "bytes", tag = "5")]
    result: Bytes,
    #[prost(uint64, tag = "6")]
    window: u64,
    /// Log time at which it is as if it had never been.
    #[prost(uint64, tag = "7")]
    until: u64,
    #[prost(message, repeated, tag = "8")]
    withdrawn: Vec<Claim>,
}

impl KeyState {
    /// In a word, for people.
    pub fn state_name(&self) -> &'static str {
        match self.stage() {
            Stage::Free => "withdrawn",
            Stage::Started => "started",
            Stage::Completed => "known",
            Stage::Indeterminate => "uncertain",
        }
    }

    pub fn holder(&self) -> u64 {
        self.claim.holder
    }

    pub fn until(&self) -> u64 {
        self.until
    }

    pub fn result(&self) -> &Bytes {
        &self.result
    }

    fn withdraw(&mut self, claim: &Claim) {
        if !self.withdrawn.contains(claim) {
            self.withdrawn.push(claim.clone());
            if self.withdrawn.len() > WITHDRAWN {
                self.withdrawn.remove(0);
            }
        }
    }
}

/// What one command does to one key's row; `row` is none where the key is not there or aged out.
///
/// This is the whole of the rule; everything else here is book-keeping.
pub fn transition(
    row: Option<KeyState>,
    command: &Command,
    stamp: u64,
) -> (Option<KeyState>, ClaimOutcome) {
    let claim = &command.claim;
    let Some(what) = &command.operation else {
        return (row, ClaimOutcome::NotHeld);
    };
    let blank = |stage: Stage| KeyState {
        key: command.key.clone(),
        stage: stage.into(),
        claim: claim.clone(),
        until: u64::MAX,
        ..KeyState::default()
    };
    match (what, row) {
        (Operation::Start(start), None) => {
            let mut row = KeyState {
                sum: start.sum,
                window: start.window,
                ..blank(Stage::Started)
            };
            row.until = stamp.saturating_add(start.window);
            (Some(row), ClaimOutcome::Granted)
        }
        (Operation::Start(_), Some(row))
            if row.stage() == Stage::Free && row.withdrawn.contains(claim) =>
        {
            (Some(row), ClaimOutcome::Withdrawn)
        }
        (Operation::Start(start), Some(row)) if row.stage() == Stage::Free => {
            let mut next = KeyState {
                sum: start.sum,
                window: start.window,
                ..blank(Stage::Started)
            };
            next.until = stamp.saturating_add(start.window);
            next.withdrawn = row.withdrawn;
            (Some(next), ClaimOutcome::Granted)
        }
        (Operation::Start(start), Some(row)) if row.sum != start.sum => {
            (Some(row), ClaimOutcome::KeyMismatch)
        }
        (Operation::Start(_), Some(row)) => {
            let told = match row.stage() {
                Stage::Completed => ClaimOutcome::Completed(row.result.clone()),
                Stage::Indeterminate => ClaimOutcome::Indeterminate,
                _ if row.claim == *claim => ClaimOutcome::Granted,
                _ if planted("second-run") => ClaimOutcome::Granted,
                _ => ClaimOutcome::InProgress,
            };
            (Some(row), told)
        }
        // Aged out: the window for which repeats are told apart is over.
        (Operation::Done(_), None) => (None, ClaimOutcome::NotHeld),
        (Operation::Done(result), Some(mut row)) => {
            let own = row.claim == *claim;
            match row.stage() {
                Stage::Started | Stage::Indeterminate if own => {
                    row.stage = Stage::Completed.into();
                    row.result = result.clone();
                    row.until = stamp.saturating_add(row.window);
                    (Some(row), ClaimOutcome::Recorded)
                }
                Stage::Completed if own => (Some(row), ClaimOutcome::Recorded),
                _ => (Some(row), ClaimOutcome::NotHeld),
            }
        }
        (Operation::Failed(_), Some(mut row))
            if row.claim == *claim && row.stage() == Stage::Started =>
        {
            row.stage = Stage::Indeterminate.into();
            (Some(row), ClaimOutcome::Recorded)
        }
        (Operation::Failed(_), row) => (row, ClaimOutcome::NotHeld),
        (Operation::Withdraw(_), None) => {
            let mut row = blank(Stage::Free);
            row.withdraw(claim);
            (Some(row), ClaimOutcome::Recorded)
        }
        (Operation::Withdraw(_), Some(mut row)) => {
            if row.claim == *claim && row.stage() == Stage::Started {
                row.stage = Stage::Free.into();
            }
            row.withdraw(claim);
            (Some(row), ClaimOutcome::Recorded)
        }
        (Operation::Set(_) | Operation::Publish(_), row) => (row, ClaimOutcome::NotHeld),
    }
}

/// A shard's keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IdempotencyTable {
    rows: BTreeMap<Bytes, KeyState>,
    ages: BTreeSet<(u64, Bytes)>,
    /// Of started rows, by their claims.
    claims: HashMap<Claim, Bytes>,
    registers: BTreeMap<Bytes, Register>,
    versions: Versions,
    most: usize,
    /// A withdrawn key is forgotten after so long: no start of it is on its way any more.
    linger: u64,
    stamp: u64,
    aged: u64,
}

/// Registers of one group.
const REGISTERS: usize = 64;

#[derive(Clone, PartialEq, prost::Message)]
struct TableSnapshot {
    #[prost(message, repeated, tag = "1")]
    rows: Vec<KeyState>,
    #[prost(uint64, tag = "2")]
    stamp: u64,
    #[prost(message, repeated, tag = "3")]
    registers: Vec<NamedRegister>,
    #[prost(message, optional, tag = "4")]
    versions: Option<versions::VersionsSnapshot>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct NamedRegister {
    #[prost(bytes = "bytes", tag = "1")]
    name: Bytes,
    #[prost(message, required, tag = "2")]
    value: Register,
}

impl IdempotencyTable {
    /// At most so many keys; withdrawn ones are remembered for `linger` of log time.
    pub fn new(most: usize, linger: u64) -> Self {
        Self {
            most,
            linger,
            ..Self::default()
        }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Rows that aged out so far.
    pub fn aged(&self) -> u64 {
        self.aged
    }

    /// The newest log time seen.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    pub fn get(&self, key: &[u8]) -> Option<&KeyState> {
        self.rows.get(key).filter(|row| row.until > self.stamp)
    }

    pub fn register(&self, name: &[u8]) -> Option<&Register> {
        self.registers.get(name)
    }

    /// What was published.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// The key that a claim has started here, if any: looked for when an agent tells of a run nobody knows.
    pub fn claimed_by(&self, claim: &Claim) -> Option<&Bytes> {
        self.claims.get(claim)
    }

    /// Keys that were started and have no end yet, in order.
    pub fn started(&self) -> impl Iterator<Item = &Bytes> {
        self.rows
            .values()
            .filter(|row| row.stage() == Stage::Started)
            .map(|row| &row.key)
    }

    /// A committed command, at its log time.
    pub fn apply(&mut self, stamp: u64, command: &Command) -> ClaimOutcome {
        self.stamp = self.stamp.max(stamp);
        for _ in 0..AGED {
            let Some(first) = self
                .ages
                .first()
                .filter(|first| first.0 <= self.stamp)
                .cloned()
            else {
                break;
            };
            self.ages.remove(&first);
            if let Some(row) = self.rows.remove(&first.1) {
                self.claims.remove(&row.claim);
            }
            self.aged += 1;
        }
        if let Some(Operation::Set(register)) = &command.operation {
            return self.set(&command.key, register);
        }
        if let Some(Operation::Publish(publish)) = &command.operation {
            return match self.versions.publish(publish) {
                Ok(()) => ClaimOutcome::Recorded,
                Err(why @ UpdateError::VersionMismatch { .. }) => {
                    ClaimOutcome::Conflict(why.to_string().into())
                }
                Err(why) => ClaimOutcome::Rejected(why.to_string().into()),
            };
        }
        let row = self.rows.remove(&command.key);
        if let Some(row) = &row {
            self.ages.remove(&(row.until, row.key.clone()));
            self.claims.remove(&row.claim);
        }
        let row = row.filter(|row| row.until > self.stamp);
        let new = row.is_none();
        if new && self.rows.len() >= self.most {
            return ClaimOutcome::CapacityExceeded;
        }
        let (row, told) = transition(row, command, self.stamp);
        if let Some(mut row) = row {
            if row.until == u64::MAX {
                row.until = self.stamp.saturating_add(self.linger);
            }
            self.ages.insert((row.until, row.key.clone()));
            if row.stage() == Stage::Started {
                self.claims.insert(row.claim.clone(), row.key.clone());
            }
            self.rows.insert(row.key.clone(), row);
        }
        told
    }

    fn set(&mut self, name: &Bytes, register: &Register) -> ClaimOutcome {
        let before = self.registers.get(name);
        if before.is_some_and(|before| before.version >= register.version) {
            return if before == Some(register) {
                ClaimOutcome::Recorded
            } else {
                ClaimOutcome::NotHeld
            };
        }
        if before.is_none() && self.registers.len() >= REGISTERS {
            return ClaimOutcome::CapacityExceeded;
        }
        self.registers.insert(name.clone(), register.clone());
        ClaimOutcome::Recorded
    }

    /// All of it, as a snapshot keeps it: the same state gives the same bytes.
    pub fn snapshot(&self) -> Bytes {
        let registers = self.registers.iter();
        let kept = TableSnapshot {
            rows: self.rows.values().cloned().collect(),
            stamp: self.stamp,
            versions: self.versions.keep(),
            registers: registers
                .map(|(name, value)| NamedRegister {
                    name: name.clone(),
                    value: value.clone(),
                })
                .collect(),
        };
        kept.encode_to_vec().into()
    }

    /// What a snapshot kept; the bounds stay.
    ///
    /// # Errors
    /// If the bytes are none that [`Table::keep`] made.
    pub fn restore(&mut self, data: Bytes) -> Result<(), UpdateError> {
        let kept = TableSnapshot::decode(data).map_err(|_| UpdateError::MalformedFrame)?;
        self.versions = Versions::restored(kept.versions)?;
        self.stamp = kept.stamp;
        self.ages = kept
            .rows
            .iter()
            .map(|row| (row.until, row.key.clone()))
            .collect();
        let started = kept.rows.iter().filter(|row| row.stage() == Stage::Started);
        self.claims = started
            .map(|row| (row.claim.clone(), row.key.clone()))
            .collect();
        self.rows = kept
            .rows
            .into_iter()
            .map(|row| (row.key.clone(), row))
            .collect();
        self.registers = kept
            .registers
            .into_iter()
            .map(|named| (named.name, named.value))
            .collect();
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn claim(n: u64) -> Claim {
        Claim {
            holder: n,
            trace: Bytes::from(vec![n as u8; 16]),
        }
    }

    fn command(by: u64, what: Operation) -> Command {
        Command {
            key: Bytes::from_static(b"K"),
            claim: claim(by),
            operation: Some(what),
        }
    }

    fn start(by: u64, sum: u64) -> Command {
        command(by, Operation::Start(Start { sum, window: 100 }))
    }

    fn done(by: u64) -> Command {
        command(by, Operation::Done(Bytes::from_static(b"R")))
    }

    fn known() -> ClaimOutcome {
        ClaimOutcome::Completed(Bytes::from_static(b"R"))
    }

    #[test]
    fn each_step_of_a_key_is_told_as_the_table_says() {
        let withdraw = |by| command(by, Operation::Withdraw(true));
        let failed = |by| command(by, Operation::Failed(true));
        type Case = (&'static str, Vec<(u64, Command, ClaimOutcome)>);
        let table: Vec<Case> = vec![
            (
                "a run and a repeat",
                vec![
                    (0, start(1, 5), ClaimOutcome::Granted),
                    (1, start(1, 5), ClaimOutcome::Granted),
                    (2, start(2, 5), ClaimOutcome::InProgress),
                    (3, done(1), ClaimOutcome::Recorded),
                    (4, done(1), ClaimOutcome::Recorded),
                    (5, start(2, 5), known()),
                    (6, start(1, 5), known()),
                ],
            ),
            (
                "another body, in each state",
                vec![
                    (0, start(1, 5), ClaimOutcome::Granted),
                    (1, start(2, 6), ClaimOutcome::KeyMismatch),
                    (2, done(1), ClaimOutcome::Recorded),
                    (3, start(2, 6), ClaimOutcome::KeyMismatch),
                ],
            ),
            (
                "a start taken back, and its late twin",
                vec![
                    (0, start(1, 5), ClaimOutcome::Granted),
                    (1, withdraw(1), ClaimOutcome::Recorded),
                    (2, start(1, 5), ClaimOutcome::Withdrawn),
                    (3, start(2, 5), ClaimOutcome::Granted),
                    (4, start(1, 5), ClaimOutcome::InProgress),
                    (5, withdraw(2), ClaimOutcome::Recorded),
                    (6, start(2, 5), ClaimOutcome::Withdrawn),
                    (7, start(1, 5), ClaimOutcome::Withdrawn),
                    (8, start(3, 6), ClaimOutcome::Granted),
                ],
            ),
            (
                "taken back before it came",
                vec![
                    (0, withdraw(1), ClaimOutcome::Recorded),
                    (1, start(1, 5), ClaimOutcome::Withdrawn),
                    (2, start(2, 5), ClaimOutcome::Granted),
                ],
            ),
            (
                "taking back does nothing to another's run",
                vec![
                    (0, start(1, 5), ClaimOutcome::Granted),
                    (1, withdraw(2), ClaimOutcome::Recorded),
                    (2, start(2, 5), ClaimOutcome::InProgress),
                    (3, done(1), ClaimOutcome::Recorded),
                    (4, withdraw(1), ClaimOutcome::Recorded),
                    (5, start(2, 5), known()),
                ],
            ),
            (
                "an end without a result, and one that is known after all",
                vec![
                    (0, start(1, 5), ClaimOutcome::Granted),
                    (1, failed(2), ClaimOutcome::NotHeld),
                    (2, failed(1), ClaimOutcome::Recorded),
                    (3, start(2, 5), ClaimOutcome::Indeterminate),
                    (4, done(1), ClaimOutcome::Recorded),
                    (5, start(2, 5), known()),
                    (6, failed(1), ClaimOutcome::NotHeld),
                ],
            ),
            (
                "aged out, then another's",
                vec![
                    (0, start(1, 5), ClaimOutcome::Granted),
                    (99, start(2, 5), ClaimOutcome::InProgress),
                    (100, start(2, 6), ClaimOutcome::Granted),
                    (101, done(1), ClaimOutcome::NotHeld),
                    (102, done(2), ClaimOutcome::Recorded),
                    (201, start(3, 6), known()),
                    (202, start(3, 7), ClaimOutcome::Granted),
                ],
            ),
            (
                "a result that comes after its start aged out",
                vec![
                    (0, start(1, 5), ClaimOutcome::Granted),
                    (150, done(1), ClaimOutcome::NotHeld),
                    (151, done(2), ClaimOutcome::NotHeld),
                ],
            ),
        ];
        for (name, steps) in table {
            let mut table = IdempotencyTable::new(10, 50);
            for (k, (stamp, command, wanted)) in steps.into_iter().enumerate() {
                assert_eq!(table.apply(stamp, &command), wanted, "{name}, step {k}");
                let mut again = IdempotencyTable::new(10, 50);
                again.restore(table.snapshot()).unwrap();
                assert_eq!(again.snapshot(), table.snapshot(), "{name}, step {k}");
                assert_eq!(table.ages.len(), table.rows.len(), "{name}, step {k}");
            }
        }
    }

    #[test]
    fn a_flood_of_keys_stays_within_the_bound_and_ages_out() {
        let mut table = IdempotencyTable::new(100, 50);
        let key = |n: u64| Command {
            key: Bytes::from(n.to_be_bytes().to_vec()),
            ..start(n, 5)
        };
        let told: Vec<ClaimOutcome> = (0..300).map(|n| table.apply(n / 3, &key(n))).collect();
        assert_eq!(
            told.iter()
                .filter(|told| **told == ClaimOutcome::Granted)
                .count(),
            100
        );
        assert!(
            told[100..]
                .iter()
                .all(|told| *told == ClaimOutcome::CapacityExceeded)
                && table.len() == 100
        );
        assert_eq!(table.apply(1_000, &key(999)), ClaimOutcome::Granted);
        (1_000..1_040).for_each(|n| drop(table.apply(n, &key(999))));
        assert!(
            table.len() < 5 && table.aged() > 95,
            "{} {}",
            table.len(),
            table.aged()
        );
    }

    #[test]
    fn a_register_only_moves_on() {
        let mut table = IdempotencyTable::new(10, 50);
        let set = |version, data: &'static [u8]| {
            command(
                1,
                Operation::Set(Register {
                    version,
                    data: Bytes::from_static(data),
                }),
            )
        };
        let steps = [
            (3, &b"c"[..], ClaimOutcome::Recorded),
            (3, b"c", ClaimOutcome::Recorded),
            (3, b"d", ClaimOutcome::NotHeld),
            (2, b"b", ClaimOutcome::NotHeld),
        ];
        for (version, data, wanted) in steps {
            assert_eq!(
                table.apply(0, &set(version, data)),
                wanted,
                "{version} {data:?}"
            );
        }
        assert_eq!(
            table.register(b"K").map(|register| register.version),
            Some(3)
        );
    }
}
