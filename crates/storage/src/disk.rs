//! What a store asks of a folder of files.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Folders set aside that are kept; the oldest goes when one more comes.
const MAX_QUARANTINED: usize = 3;
const LOCK: &str = "lock";

/// One folder. Names are plain file names. Bytes that were appended are durable once `flush` says so; names, once
/// the `flush` of a new file or `rename` do.
pub trait Disk {
    /// All files, in order of name.
    ///
    /// # Errors
    /// Those of the system, as with everything here.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// # Errors
    /// As above.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes the file if it is not there.
    ///
    /// # Errors
    /// As above.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// # Errors
    /// As above; what was appended since the last flush may be there or not.
    fn flush(&mut self, name: &str) -> io::Result<()>;
    /// Shortens a file, durably.
    ///
    /// # Errors
    /// As above.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;
    /// # Errors
    /// As above.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// # Errors
    /// As above.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Moves all files away, where a person can look at them; the folder is empty after it.
    ///
    /// # Errors
    /// As above.
    fn quarantine(&mut self) -> io::Result<()>;
}

/// What a folder is to do wrong, in tests of the whole program.
pub type FaultHook = std::sync::Arc<dyn Fn() -> io::Result<()> + Send + Sync>;

/// A folder of the system, locked against a second process.
pub struct FolderDisk {
    path: PathBuf,
    open: HashMap<String, File>,
    /// Asked before each append and flush: it may wait, or say that the disk failed.
    fault_hook: Option<FaultHook>,
    _lock: File,
}

impl FolderDisk {
    /// Makes the folder if it is not there.
    ///
    /// # Errors
    /// If it cannot be made or read, or another process has it.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let why = format!("{}: another process has this folder", path.display());
                return Err(io::Error::new(io::ErrorKind::ResourceBusy, why));
            }
            Err(TryLockError::Error(why)) => return Err(why),
        }
        Ok(Self {
            path: path.to_owned(),
            open: HashMap::new(),
            fault_hook: None,
            _lock: lock,
        })
    }

    /// From now on it fails as it is told.
    pub fn with_fault_hook(mut self, trouble: FaultHook) -> Self {
        self.fault_hook = Some(trouble);
        self
    }

    fn check_fault_hook(&self) -> io::Result<()> {
        self.fault_hook.as_ref().map_or(Ok(()), |trouble| trouble())
    }

    /// Makes the names in the folder durable.
    fn flush_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn file(&mut self, name: &str) -> io::Result<(&mut File, bool)> {
        let path = self.path.join(name);
        let new = !self.open.contains_key(name) && !path.exists();
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().create(true).append(true).open(&path)?;
            self.open.insert(name.to_owned(), file);
        }
        let file = self.open.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        Ok((file, new))
    }
}

impl Disk for FolderDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().into_string().unwrap_or_default();
            if entry.file_type()?.is_file() && name != LOCK && !name.is_empty() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (file, new) = self.file(name)?;
        io::Write::write_all(file, bytes)?;
        if new {
            self.flush_names()?;
        }
        Ok(())
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        self.check_fault_hook()?;
        self.file(name)?.0.sync_data()
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.open.remove(name);
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(len)?;
        file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.flush_names()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn quarantine(&mut self) -> io::Result<()> {
        let mut before: Vec<u64> = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().into_string().unwrap_or_default();
            before.extend(
                name.strip_prefix("aside-")
                    .and_then(|number| number.parse::<u64>().ok()),
            );
        }
        before.sort_unstable();
        let folder = |number: u64| self.path.join(format!("aside-{number:04}"));
        for old in before
            .iter()
            .take((before.len() + 1).saturating_sub(MAX_QUARANTINED))
        {
            fs::remove_dir_all(folder(*old))?;
        }
        let to = folder(before.last().map_or(1, |last| last + 1));
        fs::create_dir(&to)?;
        let names = self.list()?;
        self.open.clear();
        for name in names {
            fs::rename(self.path.join(&name), to.join(&name))?;
        }
        self.flush_names()
    }
}
