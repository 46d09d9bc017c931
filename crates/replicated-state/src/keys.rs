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
pub enum What {
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
    #[prost(oneof = "What", tags = "3, 4, 5, 6, 7, 8")]
    pub what: Option<What>,
}

/// What becomes of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    /// Launch it: nobody else does.
    Granted,
    /// It ran: this is its result.
    Known(Bytes),
    /// Another claim has it, and its end is not known yet.
    Running,
    /// It may have had its effect, and no result will tell.
    Uncertain,
    /// The key stands for another body, type or tenant.
    Other,
    /// This claim was taken back before.
    Withdrawn,
    /// There is no room for another key.
    Full,
    /// It is in the log, and so on a majority.
    Noted,
    /// The claim does not hold the key any more.
    Gone,
    /// A version that was made from another one than the newest; in words.
    Conflict(Bytes),
    /// A version that cannot be taken, and why.
    UpdateError(Bytes),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
enum Stage {
    Free = 0,
    Started = 1,
    Known = 2,
    Uncertain = 3,
}

/// One key.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Row {
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

impl Row {
    /// In a word, for people.
    pub fn word(&self) -> &'static str {
        match self.stage() {
            Stage::Free => "withdrawn",
            Stage::Started => "started",
            Stage::Known => "known",
            Stage::Uncertain => "uncertain",
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
pub fn step(row: Option<Row>, command: &Command, stamp: u64) -> (Option<Row>, Told) {
    let claim = &command.claim;
    let Some(what) = &command.what else {
        return (row, Told::Gone);
    };
    let blank = |stage: Stage| Row {
        key: command.key.clone(),
        stage: stage.into(),
        claim: claim.clone(),
        until: u64::MAX,
        ..Row::default()
    };
    match (what, row) {
        (What::Start(start), None) => {
            let mut row = Row {
                sum: start.sum,
                window: start.window,
                ..blank(Stage::Started)
            };
            row.until = stamp.saturating_add(start.window);
            (Some(row), Told::Granted)
        }
        (What::Start(_), Some(row))
            if row.stage() == Stage::Free && row.withdrawn.contains(claim) =>
        {
            (Some(row), Told::Withdrawn)
        }
        (What::Start(start), Some(row)) if row.stage() == Stage::Free => {
            let mut next = Row {
                sum: start.sum,
                window: start.window,
                ..blank(Stage::Started)
            };
            next.until = stamp.saturating_add(start.window);
            next.withdrawn = row.withdrawn;
            (Some(next), Told::Granted)
        }
        (What::Start(start), Some(row)) if row.sum != start.sum => (Some(row), Told::Other),
        (What::Start(_), Some(row)) => {
            let told = match row.stage() {
                Stage::Known => Told::Known(row.result.clone()),
                Stage::Uncertain => Told::Uncertain,
                _ if row.claim == *claim => Told::Granted,
                _ if planted("second-run") => Told::Granted,
                _ => Told::Running,
            };
            (Some(row), told)
        }
        // Aged out: the window for which repeats are told apart is over.
        (What::Done(_), None) => (None, Told::Gone),
        (What::Done(result), Some(mut row)) => {
            let own = row.claim == *claim;
            match row.stage() {
                Stage::Started | Stage::Uncertain if own => {
                    row.stage = Stage::Known.into();
                    row.result = result.clone();
                    row.until = stamp.saturating_add(row.window);
                    (Some(row), Told::Noted)
                }
                Stage::Known if own => (Some(row), Told::Noted),
                _ => (Some(row), Told::Gone),
            }
        }
        (What::Failed(_), Some(mut row))
            if row.claim == *claim && row.stage() == Stage::Started =>
        {
            row.stage = Stage::Uncertain.into();
            (Some(row), Told::Noted)
        }
        (What::Failed(_), row) => (row, Told::Gone),
        (What::Withdraw(_), None) => {
            let mut row = blank(Stage::Free);
            row.withdraw(claim);
            (Some(row), Told::Noted)
        }
        (What::Withdraw(_), Some(mut row)) => {
            if row.claim == *claim && row.stage() == Stage::Started {
                row.stage = Stage::Free.into();
            }
            row.withdraw(claim);
            (Some(row), Told::Noted)
        }
        (What::Set(_) | What::Publish(_), row) => (row, Told::Gone),
    }
}

/// A shard's keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    rows: BTreeMap<Bytes, Row>,
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
struct Kept {
    #[prost(message, repeated, tag = "1")]
    rows: Vec<Row>,
    #[prost(uint64, tag = "2")]
    stamp: u64,
    #[prost(message, repeated, tag = "3")]
    registers: Vec<Named>,
    #[prost(message, optional, tag = "4")]
    versions: Option<versions::Kept>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Named {
    #[prost(bytes = "bytes", tag = "1")]
    name: Bytes,
    #[prost(message, required, tag = "2")]
    value: Register,
}

impl Table {
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

    pub fn get(&self, key: &[u8]) -> Option<&Row> {
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
    pub fn started_by(&self, claim: &Claim) -> Option<&Bytes> {
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
    pub fn apply(&mut self, stamp: u64, command: &Command) -> Told {
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
        if let Some(What::Set(register)) = &command.what {
            return self.set(&command.key, register);
        }
        if let Some(What::Publish(publish)) = &command.what {
            return match self.versions.publish(publish) {
                Ok(()) => Told::Noted,
                Err(why @ UpdateError::VersionMismatch { .. }) => {
                    Told::Conflict(why.to_string().into())
                }
                Err(why) => Told::UpdateError(why.to_string().into()),
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
            return Told::Full;
        }
        let (row, told) = step(row, command, self.stamp);
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

    fn set(&mut self, name: &Bytes, register: &Register) -> Told {
        let before = self.registers.get(name);
        if before.is_some_and(|before| before.version >= register.version) {
            return if before == Some(register) {
                Told::Noted
            } else {
                Told::Gone
            };
        }
        if before.is_none() && self.registers.len() >= REGISTERS {
            return Told::Full;
        }
        self.registers.insert(name.clone(), register.clone());
        Told::Noted
    }

    /// All of it, as a snapshot keeps it: the same state gives the same bytes.
    pub fn keep(&self) -> Bytes {
        let registers = self.registers.iter();
        let kept = Kept {
            rows: self.rows.values().cloned().collect(),
            stamp: self.stamp,
            versions: self.versions.keep(),
            registers: registers
                .map(|(name, value)| Named {
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
        let kept = Kept::decode(data).map_err(|_| UpdateError::MalformedFrame)?;
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

    fn command(by: u64, what: What) -> Command {
        Command {
            key: Bytes::from_static(b"K"),
            claim: claim(by),
            what: Some(what),
        }
    }

    fn start(by: u64, sum: u64) -> Command {
        command(by, What::Start(Start { sum, window: 100 }))
    }

    fn done(by: u64) -> Command {
        command(by, What::Done(Bytes::from_static(b"R")))
    }

    fn known() -> Told {
        Told::Known(Bytes::from_static(b"R"))
    }

    #[test]
    fn each_step_of_a_key_is_told_as_the_table_says() {
        let withdraw = |by| command(by, What::Withdraw(true));
        let failed = |by| command(by, What::Failed(true));
        type Case = (&'static str, Vec<(u64, Command, Told)>);
        let table: Vec<Case> = vec![
            (
                "a run and a repeat",
                vec![
                    (0, start(1, 5), Told::Granted),
                    (1, start(1, 5), Told::Granted),
                    (2, start(2, 5), Told::Running),
                    (3, done(1), Told::Noted),
                    (4, done(1), Told::Noted),
                    (5, start(2, 5), known()),
                    (6, start(1, 5), known()),
                ],
            ),
            (
                "another body, in each state",
                vec![
                    (0, start(1, 5), Told::Granted),
                    (1, start(2, 6), Told::Other),
                    (2, done(1), Told::Noted),
                    (3, start(2, 6), Told::Other),
                ],
            ),
            (
                "a start taken back, and its late twin",
                vec![
                    (0, start(1, 5), Told::Granted),
                    (1, withdraw(1), Told::Noted),
                    (2, start(1, 5), Told::Withdrawn),
                    (3, start(2, 5), Told::Granted),
                    (4, start(1, 5), Told::Running),
                    (5, withdraw(2), Told::Noted),
                    (6, start(2, 5), Told::Withdrawn),
                    (7, start(1, 5), Told::Withdrawn),
                    (8, start(3, 6), Told::Granted),
                ],
            ),
            (
                "taken back before it came",
                vec![
                    (0, withdraw(1), Told::Noted),
                    (1, start(1, 5), Told::Withdrawn),
                    (2, start(2, 5), Told::Granted),
                ],
            ),
            (
                "taking back does nothing to another's run",
                vec![
                    (0, start(1, 5), Told::Granted),
                    (1, withdraw(2), Told::Noted),
                    (2, start(2, 5), Told::Running),
                    (3, done(1), Told::Noted),
                    (4, withdraw(1), Told::Noted),
                    (5, start(2, 5), known()),
                ],
            ),
            (
                "an end without a result, and one that is known after all",
                vec![
                    (0, start(1, 5), Told::Granted),
                    (1, failed(2), Told::Gone),
                    (2, failed(1), Told::Noted),
                    (3, start(2, 5), Told::Uncertain),
                    (4, done(1), Told::Noted),
                    (5, start(2, 5), known()),
                    (6, failed(1), Told::Gone),
                ],
            ),
            (
                "aged out, then another's",
                vec![
                    (0, start(1, 5), Told::Granted),
                    (99, start(2, 5), Told::Running),
                    (100, start(2, 6), Told::Granted),
                    (101, done(1), Told::Gone),
                    (102, done(2), Told::Noted),
                    (201, start(3, 6), known()),
                    (202, start(3, 7), Told::Granted),
                ],
            ),
            (
                "a result that comes after its start aged out",
                vec![
                    (0, start(1, 5), Told::Granted),
                    (150, done(1), Told::Gone),
                    (151, done(2), Told::Gone),
                ],
            ),
        ];
        for (name, steps) in table {
            let mut table = Table::new(10, 50);
            for (k, (stamp, command, wanted)) in steps.into_iter().enumerate() {
                assert_eq!(table.apply(stamp, &command), wanted, "{name}, step {k}");
                let mut again = Table::new(10, 50);
                again.restore(table.keep()).unwrap();
                assert_eq!(again.keep(), table.keep(), "{name}, step {k}");
                assert_eq!(table.ages.len(), table.rows.len(), "{name}, step {k}");
            }
        }
    }

    #[test]
    fn a_flood_of_keys_stays_within_the_bound_and_ages_out() {
        let mut table = Table::new(100, 50);
        let key = |n: u64| Command {
            key: Bytes::from(n.to_be_bytes().to_vec()),
            ..start(n, 5)
        };
        let told: Vec<Told> = (0..300).map(|n| table.apply(n / 3, &key(n))).collect();
        assert_eq!(
            told.iter().filter(|told| **told == Told::Granted).count(),
            100
        );
        assert!(told[100..].iter().all(|told| *told == Told::Full) && table.len() == 100);
        assert_eq!(table.apply(1_000, &key(999)), Told::Granted);
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
        let mut table = Table::new(10, 50);
        let set = |version, data: &'static [u8]| {
            command(
                1,
                What::Set(Register {
                    version,
                    data: Bytes::from_static(data),
                }),
            )
        };
        let steps = [
            (3, &b"c"[..], Told::Noted),
            (3, b"c", Told::Noted),
            (3, b"d", Told::Gone),
            (2, b"b", Told::Gone),
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
