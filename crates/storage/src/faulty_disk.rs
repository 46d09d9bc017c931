//! A folder in memory that does what disks do: it keeps what was flushed, and of the rest what a crash leaves.

use crate::disk::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// What a crash leaves of bytes that were appended and not flushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashOutcome {
    /// So many bytes of all of them, in the order in which they were written; the rest is lost.
    First(usize),
    /// All of them but the first so many, which are zeros: later sectors reached the disk before earlier ones.
    AllBut(usize),
}

/// What goes wrong from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskFaults {
    /// Flushes fail, and what was appended is lost.
    pub flush_fails: bool,
    /// Appends fail, the first of them half way.
    pub full: bool,
    /// Nothing can be read or written.
    pub gone: bool,
    /// Flushes say that they are done and are not.
    pub lies: bool,
}

#[derive(Clone, Debug, Default)]
struct File {
    /// What is there, and how much of it was flushed.
    bytes: Vec<u8>,
    flushed: usize,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: BTreeMap<String, File>,
    /// Files with bytes that are not flushed, in the order of their first such byte.
    unflushed: Vec<String>,
    ills: DiskFaults,
    asides: usize,
    flushes: u64,
}

/// Shared by whoever writes and whoever makes it crash.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Rc<RefCell<State>>);

impl FaultyDisk {
    /// A copy that nothing shares: what a backup holds.
    pub fn copy(&self) -> Self {
        Self(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    pub fn set_faults(&self, ills: DiskFaults) {
        self.0.borrow_mut().ills = ills;
    }

    /// Bytes that a crash may lose.
    pub fn at_risk(&self) -> usize {
        let state = self.0.borrow();
        state
            .files
            .values()
            .map(|file| file.bytes.len() - file.flushed)
            .sum()
    }

    pub fn flushes(&self) -> u64 {
        self.0.borrow().flushes
    }

    pub fn quarantine_count(&self) -> usize {
        self.0.borrow().asides
    }

    /// What is left after a crash; everything that is wrong is mended but for that.
    pub fn crash(&self, leaves: CrashOutcome) {
        let mut state = self.0.borrow_mut();
        let names = std::mem::take(&mut state.unflushed);
        let (mut first, mut zeros) = match leaves {
            CrashOutcome::First(n) => (n, 0),
            CrashOutcome::AllBut(n) => (usize::MAX, n),
        };
        for name in names {
            let Some(file) = state.files.get_mut(&name) else {
                continue;
            };
            let kept = first.min(file.bytes.len() - file.flushed);
            first -= kept;
            file.bytes.truncate(file.flushed + kept);
            let zeroed = zeros.min(kept);
            file.bytes[file.flushed..file.flushed + zeroed].fill(0);
            zeros -= zeroed;
            file.flushed = file.bytes.len();
        }
        state.ills = DiskFaults::default();
    }

    /// Turns one bit over, at rest.
    ///
    /// # Panics
    /// If there is no such byte.
    pub fn flip(&self, name: &str, byte: usize, bit: u8) {
        let mut state = self.0.borrow_mut();
        state.files.get_mut(name).expect("a file")[byte] ^= 1 << (bit % 8);
    }

    pub fn size(&self, name: &str) -> usize {
        self.0
            .borrow()
            .files
            .get(name)
            .map_or(0, |file| file.bytes.len())
    }
}

impl std::ops::Index<usize> for File {
    type Output = u8;
    fn index(&self, at: usize) -> &u8 {
        &self.bytes[at]
    }
}

impl std::ops::IndexMut<usize> for File {
    fn index_mut(&mut self, at: usize) -> &mut u8 {
        &mut self.bytes[at]
    }
}

fn ill(why: &str) -> io::Error {
    io::Error::other(why.to_owned())
}

impl Disk for FaultyDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let state = self.0.borrow();
        if state.ills.gone {
            return Err(ill("gone"));
        }
        Ok(state.files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.0.borrow();
        if state.ills.gone {
            return Err(ill("gone"));
        }
        state
            .files
            .get(name)
            .map(|file| file.bytes.clone())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.ills.gone {
            return Err(ill("gone"));
        }
        let full = state.ills.full;
        let taken = if full {
            &bytes[..bytes.len() / 2]
        } else {
            bytes
        };
        state
            .files
            .entry(name.to_owned())
            .or_default()
            .bytes
            .extend_from_slice(taken);
        if !state.unflushed.iter().any(|one| one == name) {
            state.unflushed.push(name.to_owned());
        }
        if full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.flushes += 1;
        if state.ills.gone {
            return Err(ill("gone"));
        }
        if state.ills.lies {
            return Ok(());
        }
        let fails = state.ills.flush_fails;
        let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        if fails {
            // As some systems do: the pages are marked clean, and what they held is nowhere.
            file.bytes.truncate(file.flushed);
            state.unflushed.retain(|one| one != name);
            return Err(ill("flush failed"));
        }
        file.flushed = file.bytes.len();
        state.unflushed.retain(|one| one != name);
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
        if state.ills.gone {
            return Err(ill("gone"));
        }
        let file = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.ills.gone {
            return Err(ill("gone"));
        }
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
        state.asides += 1;
        Ok(())
    }
}
