//! An in-memory disk for tests. A crash keeps flushed bytes and a chosen part of the unflushed ones; operations fail on
//! demand.

use crate::disk::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// The unflushed bytes that survive a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashOutcome {
    /// This many bytes survive, in write order; the rest is lost.
    First(usize),
    /// All bytes survive, but this many of the first ones read as zeros: later sectors reached the disk before earlier
    /// ones.
    AllBut(usize),
}

/// The injected faults of a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the faults are independent of each other"
)]
pub struct DiskFaults {
    /// Flushes fail, and the unflushed bytes are lost.
    pub flush_fails: bool,
    /// Appends write half of their bytes and fail.
    pub full: bool,
    /// All reads, writes and flushes fail.
    pub unavailable: bool,
    /// Flushes return without effect.
    pub ignores_flushes: bool,
}

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    /// Number of leading bytes that are flushed.
    flushed: usize,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: BTreeMap<String, File>,
    /// Files with unflushed bytes, ordered by when the first of these bytes was written.
    unflushed: Vec<String>,
    faults: DiskFaults,
    quarantines: usize,
    flushes: u64,
}

/// An in-memory disk. Clones share its files, so that a test can hold one and crash it; see also [`FaultyDisk::copy`].
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Rc<RefCell<State>>);

impl FaultyDisk {
    /// An independent copy.
    #[must_use]
    pub fn copy(&self) -> Self {
        Self(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: DiskFaults) {
        self.0.borrow_mut().faults = faults;
    }

    /// Number of bytes that are not flushed.
    pub fn unflushed_bytes(&self) -> usize {
        let state = self.0.borrow();
        state
            .files
            .values()
            .map(|file| file.bytes.len() - file.flushed)
            .sum()
    }

    /// Number of calls of [`Disk::flush`].
    pub fn flushes(&self) -> u64 {
        self.0.borrow().flushes
    }

    /// Number of calls of [`Disk::quarantine`].
    pub fn quarantine_count(&self) -> usize {
        self.0.borrow().quarantines
    }

    /// Simulates a crash: unflushed bytes survive as `outcome` says. All faults are cleared.
    pub fn crash(&self, outcome: CrashOutcome) {
        let mut state = self.0.borrow_mut();
        let names = std::mem::take(&mut state.unflushed);
        let (mut retained_bytes, mut zeroed_bytes) = match outcome {
            CrashOutcome::First(bytes) => (bytes, 0),
            CrashOutcome::AllBut(bytes) => (usize::MAX, bytes),
        };
        for name in names {
            let Some(file) = state.files.get_mut(&name) else {
                continue;
            };
            let retained = retained_bytes.min(file.bytes.len() - file.flushed);
            retained_bytes -= retained;
            file.bytes.truncate(file.flushed + retained);
            let zeroed = zeroed_bytes.min(retained);
            file.bytes[file.flushed..file.flushed + zeroed].fill(0);
            zeroed_bytes -= zeroed;
            file.flushed = file.bytes.len();
        }
        state.faults = DiskFaults::default();
    }

    /// Flips one bit of a stored byte.
    ///
    /// # Panics
    /// If the file or the byte does not exist.
    pub fn flip(&self, name: &str, byte: usize, bit: u8) {
        let mut state = self.0.borrow_mut();
        state.files.get_mut(name).expect("a file").bytes[byte] ^= 1 << (bit % 8);
    }

    /// Size of a file in bytes; 0 if it does not exist.
    pub fn size(&self, name: &str) -> usize {
        self.0
            .borrow()
            .files
            .get(name)
            .map_or(0, |file| file.bytes.len())
    }
}

impl State {
    fn ensure_available(&self) -> io::Result<()> {
        if self.faults.unavailable {
            return Err(io::Error::other("gone"));
        }
        Ok(())
    }
}

impl Disk for FaultyDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let state = self.0.borrow();
        state.ensure_available()?;
        Ok(state.files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.0.borrow();
        state.ensure_available()?;
        state
            .files
            .get(name)
            .map(|file| file.bytes.clone())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.ensure_available()?;
        let is_full = state.faults.full;
        let written = if is_full {
            &bytes[..bytes.len() / 2]
        } else {
            bytes
        };
        state
            .files
            .entry(name.to_owned())
            .or_default()
            .bytes
            .extend_from_slice(written);
        if !state.unflushed.iter().any(|unflushed| unflushed == name) {
            state.unflushed.push(name.to_owned());
        }
        if is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.flushes += 1;
        state.ensure_available()?;
        if state.faults.ignores_flushes {
            return Ok(());
        }
        let fails = state.faults.flush_fails;
        let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        if fails {
            // Some kernels mark pages clean after a failed flush although their data was not written.
            file.bytes.truncate(file.flushed);
            state.unflushed.retain(|unflushed| unflushed != name);
            return Err(io::Error::other("flush failed"));
        }
        file.flushed = file.bytes.len();
        state.unflushed.retain(|unflushed| unflushed != name);
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.bytes.truncate(len as usize);
        file.flushed = file.flushed.min(len as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.ensure_available()?;
        let file = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), file);
        // The name is durable, the bytes are not unless they were flushed.
        state.unflushed.retain(|unflushed| unflushed != to);
        for unflushed in &mut state.unflushed {
            if unflushed == from {
                to.clone_into(unflushed);
            }
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.ensure_available()?;
        state
            .files
            .remove(name)
            .map(|_| ())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn quarantine(&mut self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.files.clear();
        state.unflushed.clear();
        state.quarantines += 1;
        Ok(())
    }
}
