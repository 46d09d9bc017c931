//! Segments, snapshots, identity, recovery.
//!
//! Files of a folder: `identity` (which disk this is), `log-N` (segments, by number), `snap-SHARD-INDEX` (snapshots),
//! `*.new` (being written, worth nothing). Each segment begins with the newest hard states, notes and bases, so that
//! older ones can go once their entries are in snapshots.
//!
//! Invariant: `hard`, `notes`, `bases` and `last` tell what a recovery of all that was written would find.

use crate::disk::Disk;
use crate::record::{read_record, ReadOutcome, Record};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use twox_hash::XxHash3_64;

/// The format of all files; another one is refused.
pub const FORMAT: u32 = 1;
const IDENTITY: &str = "identity";
/// The first bytes of a segment and of a snapshot, before the first record.
const LOG_MAGIC: &[u8; 8] = b"RSLOG\0\0\x01";
const SNAP_MAGIC: &[u8; 8] = b"RSSNAP\0\x01";

/// Which disk this is. It never changes while the files are there; the boot does at each start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub format: u32,
    /// Drawn once.
    pub disk: u64,
    /// Starts so far, this one too.
    pub boot: u64,
    /// Drawn at each start: two starts under one number are told apart.
    pub nonce: u64,
}

/// How much a store may hold and how it is cut.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Bytes from which on a new segment is begun.
    pub segment: u64,
    /// Bytes of all segments from which on shards are asked for snapshots.
    pub log: u64,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            segment: 16 << 20,
            log: 256 << 20,
        }
    }
}

/// What is wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub file: String,
    pub offset: u64,
    pub why: String,
}

impl fmt::Display for Damage {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} at byte {}: {}", self.file, self.offset, self.why)
    }
}

#[derive(Debug)]
pub enum OpenError {
    Io(io::Error),
    /// What is there cannot be believed.
    Damaged(Damage),
}

impl fmt::Display for OpenError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io(why) => why.fmt(out),
            OpenError::Damaged(damage) => damage.fmt(out),
        }
    }
}

impl std::error::Error for OpenError {}

impl From<io::Error> for OpenError {
    fn from(why: io::Error) -> Self {
        OpenError::Io(why)
    }
}

/// What a recovery found of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shard {
    pub hard_state: Option<Vec<u8>>,
    /// Index and bytes.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Index and bytes, behind the snapshot, without a gap.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// What a recovery found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    pub shards: BTreeMap<u16, Shard>,
    pub metadata: BTreeMap<u16, Vec<u8>>,
    /// A write that was cut short: the segment, its whole part, and the bytes taken off behind it.
    pub truncated_tail: Option<(String, u64, u64)>,
    /// Segments and bytes read.
    pub segments: usize,
    pub bytes: u64,
}

/// What stands in one segment that a snapshot has to hold before it may go.
#[derive(Clone, Debug, Default)]
struct Segment {
    number: u64,
    bytes: u64,
    last: BTreeMap<u16, u64>,
}

pub struct Store<D: Disk> {
    disk: D,
    limits: StoreLimits,
    identity: Identity,
    segments: Vec<Segment>,
    hard: BTreeMap<u16, Vec<u8>>,
    notes: BTreeMap<u16, Vec<u8>>,
    bases: BTreeMap<u16, u64>,
    last: BTreeMap<u16, u64>,
    buffer: Vec<u8>,
    /// Why nothing is written any more.
    failed: Option<String>,
    pub flushes: u64,
}

fn segment_name(number: u64) -> String {
    format!("log-{number:010}")
}

fn snapshot_name(shard: u16, index: u64) -> String {
    format!("snap-{shard:05}-{index:020}")
}

fn snapshot_of(name: &str) -> Option<(u16, u64)> {
    let (shard, index) = name.strip_prefix("snap-")?.split_once('-')?;
    Some((shard.parse().ok()?, index.parse().ok()?))
}

fn damage(file: &str, offset: usize, why: impl Into<String>) -> Damage {
    Damage {
        file: file.to_owned(),
        offset: offset as u64,
        why: why.into(),
    }
}

/// A snapshot's bytes: magic, checksum, data.
fn snapshot(name: &str, bytes: &[u8]) -> Result<Vec<u8>, Damage> {
    let rest = bytes
        .strip_prefix(SNAP_MAGIC)
        .ok_or_else(|| damage(name, 0, "no snapshot of this format"))?;
    let (sum, data) = rest
        .split_first_chunk::<8>()
        .ok_or_else(|| damage(name, 8, "cut short"))?;
    if XxHash3_64::oneshot(data) != u64::from_le_bytes(*sum) {
        return Err(damage(name, 16, "checksum"));
    }
    Ok(data.to_vec())
}

/// Reads all that is there and changes nothing.
///
/// # Errors
/// What cannot be read, or cannot be believed.
pub fn recover(disk: &mut impl Disk) -> Result<(Option<Identity>, Recovered), OpenError> {
    let names = disk.list()?;
    let identity = if names.iter().any(|name| name == IDENTITY) {
        let bytes = disk.read(IDENTITY)?;
        let identity: Identity = serde_json::from_slice(&bytes)
            .map_err(|why| OpenError::Damaged(damage(IDENTITY, 0, why.to_string())))?;
        if identity.format != FORMAT {
            let why = format!(
                "format {}; this program knows format {FORMAT}",
                identity.format
            );
            return Err(OpenError::Damaged(damage(IDENTITY, 0, why)));
        }
        Some(identity)
    } else {
        None
    };
    let (recovered, _, _) = read_logs(disk, &names)?;
    if identity.is_none() && recovered.segments > 0 {
        let why = "there is a log, and nothing says which disk it is";
        return Err(OpenError::Damaged(damage(IDENTITY, 0, why)));
    }
    Ok((identity, recovered))
}

type Logs = (Recovered, Vec<Segment>, BTreeMap<u16, u64>);

fn read_logs(disk: &mut impl Disk, names: &[String]) -> Result<Logs, OpenError> {
    let numbers: Vec<(u64, &String)> = names
        .iter()
        .filter_map(|name| Some((name.strip_prefix("log-")?.parse().ok()?, name)))
        .collect();
    let mut found = Recovered::default();
    let mut segments: Vec<Segment> = Vec::new();
    let mut bases: BTreeMap<u16, u64> = BTreeMap::new();
    let mut records = Vec::new();
    for (k, (number, name)) in numbers.iter().enumerate() {
        if k > 0 && *number != numbers[k - 1].0 + 1 {
            return Err(OpenError::Damaged(damage(
                name,
                0,
                "the segment before it is missing",
            )));
        }
        let newest = k + 1 == numbers.len();
        let bytes = disk.read(name)?;
        let mut segment = Segment {
            number: *number,
            bytes: bytes.len() as u64,
            ..Segment::default()
        };
        let mut at = LOG_MAGIC.len() + 4;
        let head = bytes
            .strip_prefix(LOG_MAGIC)
            .and_then(|rest| rest.first_chunk::<4>());
        let head = head.map(|len| at + u32::from_le_bytes(*len) as usize);
        if head.is_none() {
            let begun = bytes.len() < at
                && LOG_MAGIC.starts_with(&bytes[..bytes.len().min(LOG_MAGIC.len())]);
            if !newest || k == 0 && *number > 1 || !begun && bytes.iter().any(|b| *b != 0) {
                return Err(OpenError::Damaged(damage(name, 0, "no log of this format")));
            }
            (at, segment.bytes) = (0, 0);
            found.truncated_tail = Some(((*name).clone(), 0, bytes.len() as u64));
        }
        while found.truncated_tail.is_none() {
            match read_record(&bytes[at..]) {
                ReadOutcome::End => break,
                ReadOutcome::Complete(record, len) => {
                    if let Record::SnapshotMarker { shard, index, .. } = record {
                        let base = bases.entry(shard).or_default();
                        *base = index.max(*base);
                    }
                    records.push((segments.len(), at, record));
                    at += len;
                }
                ReadOutcome::Truncated if newest && followed(&bytes[at + 1..]) => {
                    let why = "no whole record, and whole ones behind it";
                    return Err(OpenError::Damaged(damage(name, at, why)));
                }
                // What stands at its head was flushed before any older segment went.
                ReadOutcome::Truncated
                    if newest && k == 0 && *number > 1 && head.is_some_and(|head| at < head) =>
                {
                    return Err(OpenError::Damaged(damage(
                        name,
                        at,
                        "cut short in its head",
                    )));
                }
                ReadOutcome::Truncated if newest => {
                    found.truncated_tail =
                        Some(((*name).clone(), at as u64, (bytes.len() - at) as u64));
                    segment.bytes = at as u64;
                }
                ReadOutcome::Truncated => {
                    return Err(OpenError::Damaged(damage(
                        name,
                        at,
                        "cut short, and not the newest",
                    )))
                }
                ReadOutcome::Corrupt(why) => return Err(OpenError::Damaged(damage(name, at, why))),
            }
        }
        found.bytes += segment.bytes;
        segments.push(segment);
    }
    found.segments = segments.len();
    // The newest bases first: what they stand for may have gaps, where segments between went before older ones.
    for (segment, at, record) in records {
        let name = numbers[segment].1;
        take(&mut found, &mut segments[segment], &bases, record)
            .map_err(|why| OpenError::Damaged(damage(name, at, why)))?;
    }
    for (shard, base) in &bases {
        let name = snapshot_name(*shard, *base);
        if !names.contains(&name) {
            return Err(OpenError::Damaged(damage(
                &name,
                0,
                "the snapshot is missing",
            )));
        }
        let data = snapshot(&name, &disk.read(&name)?).map_err(OpenError::Damaged)?;
        found.shards.entry(*shard).or_default().snapshot = Some((*base, data));
    }
    Ok((found, segments, bases))
}

/// By hand: takes off what cannot be read in the newest segment, from its first byte on, after a copy of all files was
/// set aside. None where there is nothing to mend.
///
/// # Errors
/// If the disk fails, or the damage is where nothing can be taken off: an older segment, a snapshot, the identity.
pub fn repair(disk: &mut impl Disk) -> Result<Option<Damage>, OpenError> {
    let found = match recover(disk) {
        Ok(_) => return Ok(None),
        Err(OpenError::Damaged(found)) => found,
        Err(why) => return Err(why),
    };
    let names = disk.list()?;
    let newest = names.iter().rfind(|name| name.starts_with("log-"));
    if newest != Some(&found.file) || found.offset == 0 {
        return Err(OpenError::Damaged(found));
    }
    let mut all = Vec::new();
    for name in &names {
        all.push((name, disk.read(name)?));
    }
    disk.quarantine()?;
    for (name, bytes) in all {
        disk.append(name, &bytes)?;
        disk.flush(name)?;
    }
    disk.truncate(&found.file, found.offset)?;
    Ok(Some(found))
}

/// Whether a whole record stands anywhere in these bytes: then what came before it was no end that was cut short.
fn followed(bytes: &[u8]) -> bool {
    // No record begins with a length of nothing: long runs of zeros cost a look a byte.
    let begins = |at: usize| {
        bytes[at..]
            .first_chunk::<4>()
            .is_some_and(|len| *len != [0; 4])
    };
    (0..bytes.len())
        .any(|at| begins(at) && matches!(read_record(&bytes[at..]), ReadOutcome::Complete(..)))
}

/// One record of a log that is read from its beginning.
fn take(
    found: &mut Recovered,
    segment: &mut Segment,
    bases: &BTreeMap<u16, u64>,
    record: Record,
) -> Result<(), String> {
    match record {
        Record::HardState { shard, data } => {
            found.shards.entry(shard).or_default().hard_state = Some(data)
        }
        Record::Metadata { number, data } => {
            found.metadata.insert(number, data);
        }
        // Entries behind the newest base that were written before it, if that one stands alone.
        Record::SnapshotMarker {
            shard,
            index,
            alone,
        } => {
            found
                .shards
                .entry(shard)
                .or_default()
                .entries
                .retain(|entry| entry.0 > index && !alone);
        }
        Record::Entry { shard, index, data } => {
            let base = bases.get(&shard).copied().unwrap_or(0);
            let entries = &mut found.shards.entry(shard).or_default().entries;
            if index <= base {
                return Ok(());
            }
            let next = entries.last().map_or(base + 1, |last| last.0 + 1);
            let first = entries.first().map_or(next, |first| first.0);
            if index > next {
                return Err(format!(
                    "entry {index} of shard {shard} where {next} was to come"
                ));
            }
            entries.truncate((index.saturating_sub(first)) as usize);
            entries.push((index, data));
            let last = segment.last.entry(shard).or_default();
            *last = (*last).max(index);
        }
    }
    Ok(())
}

impl<D: Disk> Store<D> {
    /// Opens what is there, or makes a new store. `chance`: two draws that no other start anywhere has made.
    ///
    /// # Errors
    /// What cannot be read, or cannot be believed: then nothing was changed.
    pub fn open(
        mut disk: D,
        limits: StoreLimits,
        chance: [u64; 2],
    ) -> Result<(Self, Recovered), OpenError> {
        let (before, recovered) = recover(&mut disk)?;
        let names = disk.list()?;
        for name in names.iter().filter(|name| name.ends_with(".new")) {
            disk.remove(name)?;
        }
        let (_, segments, bases) = read_logs(&mut disk, &names)?;
        for name in &names {
            // Left over by a crash between a snapshot and the record that names it, or by removal that was cut off.
            if snapshot_of(name).is_some_and(|(shard, index)| bases.get(&shard) != Some(&index)) {
                disk.remove(name)?;
            }
        }
        if let Some((name, whole, _)) = &recovered.truncated_tail {
            disk.truncate(name, *whole)?;
        }
        let identity = Identity {
            format: FORMAT,
            disk: before.as_ref().map_or(chance[0], |before| before.disk),
            boot: before.map_or(0, |before| before.boot) + 1,
            nonce: chance[1],
        };
        let mut hard = BTreeMap::new();
        let mut last = BTreeMap::new();
        for (shard, found) in &recovered.shards {
            hard.extend(found.hard_state.clone().map(|data| (*shard, data)));
            let base = found.snapshot.as_ref().map_or(0, |snapshot| snapshot.0);
            last.insert(*shard, found.entries.last().map_or(base, |entry| entry.0));
        }
        let mut store = Self {
            disk,
            limits,
            identity,
            segments,
            hard,
            notes: recovered.metadata.clone(),
            bases,
            last,
            buffer: Vec::new(),
            failed: None,
            flushes: 0,
        };
        store.write_identity()?;
        // A new segment at each start: what was cut short stays behind, and is not written on.
        store.begin_segment()?;
        Ok((store, recovered))
    }

    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Why nothing is written any more.
    pub fn failed(&self) -> Option<&str> {
        self.failed.as_deref()
    }

    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// The last index of a shard.
    pub fn last(&self, shard: u16) -> u64 {
        self.last.get(&shard).copied().unwrap_or(0)
    }

    fn write_identity(&mut self) -> io::Result<()> {
        let bytes = serde_json::to_vec(&self.identity)?;
        let new = format!("{IDENTITY}.new");
        self.disk.append(&new, &bytes)?;
        self.disk.flush(&new)?;
        self.disk.rename(&new, IDENTITY)
    }

    /// The flush before it makes sure that only the newest segment can be cut short.
    fn begin_segment(&mut self) -> io::Result<()> {
        let number = self.segments.last().map_or(1, |last| last.number + 1);
        let mut bytes = LOG_MAGIC.to_vec();
        bytes.extend_from_slice(&[0; 4]);
        for (shard, data) in &self.hard {
            Record::HardState {
                shard: *shard,
                data: data.clone(),
            }
            .encode_into(&mut bytes);
        }
        for (number, data) in &self.notes {
            Record::Metadata {
                number: *number,
                data: data.clone(),
            }
            .encode_into(&mut bytes);
        }
        for (shard, index) in &self.bases {
            Record::SnapshotMarker {
                shard: *shard,
                index: *index,
                alone: false,
            }
            .encode_into(&mut bytes);
        }
        let head = (bytes.len() - LOG_MAGIC.len() - 4) as u32;
        bytes[LOG_MAGIC.len()..LOG_MAGIC.len() + 4].copy_from_slice(&head.to_le_bytes());
        let name = segment_name(number);
        self.disk.append(&name, &bytes)?;
        self.disk.flush(&name)?;
        self.segments.push(Segment {
            number,
            bytes: bytes.len() as u64,
            ..Segment::default()
        });
        Ok(())
    }

    /// Takes a record to be written with the next [`Store::flush`].
    pub fn append(&mut self, record: &Record) {
        let Some(segment) = self.segments.last_mut() else {
            return;
        };
        match record {
            Record::HardState { shard, data } => {
                self.hard.insert(*shard, data.clone());
            }
            Record::Metadata { number, data } => {
                self.notes.insert(*number, data.clone());
            }
            Record::SnapshotMarker {
                shard,
                index,
                alone,
            } => {
                self.bases.insert(*shard, *index);
                let last = self.last.entry(*shard).or_default();
                *last = if *alone { *index } else { (*last).max(*index) };
            }
            Record::Entry { shard, index, .. } => {
                self.last.insert(*shard, *index);
                let last = segment.last.entry(*shard).or_default();
                *last = (*last).max(*index);
            }
        }
        segment.bytes += record.encoded_len() as u64;
        record.encode_into(&mut self.buffer);
    }

    /// All that was put is durable when this returns well.
    ///
    /// # Errors
    /// If the disk failed, now or before: nothing is written after that.
    pub fn flush(&mut self) -> io::Result<()> {
        self.unless_failed(|store| {
            let Some(segment) = store.segments.last() else {
                return Err(io::ErrorKind::NotFound.into());
            };
            let (name, full) = (
                segment_name(segment.number),
                segment.bytes >= store.limits.segment,
            );
            let bytes = std::mem::take(&mut store.buffer);
            if !bytes.is_empty() {
                store.disk.append(&name, &bytes)?;
                store.disk.flush(&name)?;
                store.flushes += 1;
            }
            store.buffer = bytes;
            store.buffer.clear();
            if full {
                store.begin_segment()?;
                store.remove_old()?;
            }
            Ok(())
        })
    }

    fn unless_failed(&mut self, what: impl FnOnce(&mut Self) -> io::Result<()>) -> io::Result<()> {
        if let Some(why) = &self.failed {
            return Err(io::Error::other(format!("failed before: {why}")));
        }
        let done = what(self);
        if let Err(why) = &done {
            self.failed = Some(why.to_string());
        }
        done
    }

    /// A snapshot of all up to an index, in place of the entries; `alone`: those behind it go too, as they are of
    /// another history. Durable, with all that was put, when this returns well.
    ///
    /// # Errors
    /// As with [`Store::flush`].
    pub fn install_snapshot(
        &mut self,
        shard: u16,
        index: u64,
        data: &[u8],
        alone: bool,
    ) -> io::Result<()> {
        let before = self.bases.get(&shard).copied();
        if before.is_some_and(|before| before >= index) {
            return Ok(());
        }
        self.unless_failed(|store| {
            let name = snapshot_name(shard, index);
            let new = format!("{name}.new");
            let mut bytes = SNAP_MAGIC.to_vec();
            bytes.extend_from_slice(&XxHash3_64::oneshot(data).to_le_bytes());
            bytes.extend_from_slice(data);
            store.disk.append(&new, &bytes)?;
            store.disk.flush(&new)?;
            store.disk.rename(&new, &name)
        })?;
        self.append(&Record::SnapshotMarker {
            shard,
            index,
            alone,
        });
        self.flush()?;
        self.unless_failed(|store| {
            if let Some(before) = before {
                store.disk.remove(&snapshot_name(shard, before))?;
            }
            store.remove_old()
        })
    }

    /// Segments whose entries are all in snapshots go, the oldest first.
    fn remove_old(&mut self) -> io::Result<()> {
        while self.segments.len() > 1 {
            let held = self.segments[0]
                .last
                .iter()
                .any(|(shard, last)| self.bases.get(shard).is_none_or(|base| base < last));
            if held {
                break;
            }
            let oldest = self.segments.remove(0);
            self.disk.remove(&segment_name(oldest.number))?;
        }
        Ok(())
    }

    /// Shards that should be saved, since the log is over its bound and they hold its oldest segment back.
    pub fn needs_compaction(&self) -> Vec<u16> {
        if self.bytes() < self.limits.log {
            return Vec::new();
        }
        let Some(oldest) = self.segments.first() else {
            return Vec::new();
        };
        let held = |(shard, last): (&u16, &u64)| {
            self.bases
                .get(shard)
                .is_none_or(|base| base < last)
                .then_some(*shard)
        };
        oldest.last.iter().filter_map(held).collect()
    }

    /// Everything is moved away, and the store begins anew as another disk.
    ///
    /// # Errors
    /// If the disk fails.
    pub fn reinitialize(self, chance: [u64; 2]) -> Result<Self, OpenError> {
        let Self {
            mut disk, limits, ..
        } = self;
        disk.quarantine()?;
        Store::open(disk, limits, chance).map(|(store, _)| store)
    }
}
