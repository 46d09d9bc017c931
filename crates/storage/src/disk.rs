//! The file operations that a store needs, and their implementation on a folder of the file system.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Maximum number of quarantine folders; the oldest ones are removed first.
const MAX_QUARANTINED: usize = 3;
/// Prefix of the names of quarantine folders; a number follows.
const QUARANTINE_PREFIX: &str = "aside-";
/// The file whose lock excludes a second process.
const LOCK_FILE: &str = "lock";

/// A folder of files, addressed by plain file names. Appended bytes are durable once [`Disk::flush`] returns; a file's
/// name is durable once the first `flush` of the file or its [`Disk::rename`] returns.
pub trait Disk {
    /// The names of all files, sorted.
    ///
    /// # Errors
    /// If the folder cannot be read.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// All bytes of a file.
    ///
    /// # Errors
    /// If the file does not exist or cannot be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends bytes to a file and creates it if needed. The bytes are durable only after a [`Disk::flush`].
    ///
    /// # Errors
    /// If the bytes cannot be written; a part of them may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes all bytes that were appended to a file durable.
    ///
    /// # Errors
    /// If the flush fails; bytes appended since the last flush may or may not be stored.
    fn flush(&mut self, name: &str) -> io::Result<()>;

    /// Truncates a file to `len` bytes, durably.
    ///
    /// # Errors
    /// If the file does not exist or cannot be truncated.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Renames a file durably and atomically, replacing any file of the new name.
    ///
    /// # Errors
    /// If the file does not exist or cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. The removal is not durable: the file may exist again after a crash.
    ///
    /// # Errors
    /// If the file does not exist or cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Moves all files to a quarantine folder for manual inspection. The store's folder is empty afterwards.
    ///
    /// # Errors
    /// If a file cannot be moved.
    fn quarantine(&mut self) -> io::Result<()>;
}

/// Injects faults into a [`FolderDisk`] in end-to-end tests. It is called before each flush, and may block or return
/// the error with which the flush fails.
pub type FaultHook = std::sync::Arc<dyn Fn() -> io::Result<()> + Send + Sync>;

/// A folder of the file system, locked so that no second process can open it.
pub struct FolderDisk {
    path: PathBuf,
    /// Files that are open for appending, by name.
    open_files: HashMap<String, File>,
    fault_hook: Option<FaultHook>,
    _lock: File,
}

/// A file that is open for appending.
struct AppendFile<'a> {
    file: &'a mut File,
    is_new: bool,
}

impl FolderDisk {
    /// Opens a folder and creates it if needed.
    ///
    /// # Errors
    /// If it cannot be created or read, or another process holds its lock.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let text = format!(
                    "{}: the folder is locked by another process",
                    path.display()
                );
                return Err(io::Error::new(io::ErrorKind::ResourceBusy, text));
            }
            Err(TryLockError::Error(error)) => return Err(error),
        }
        Ok(Self {
            path: path.to_owned(),
            open_files: HashMap::new(),
            fault_hook: None,
            _lock: lock,
        })
    }

    /// Sets the hook that injects faults.
    #[must_use]
    pub fn with_fault_hook(mut self, fault_hook: FaultHook) -> Self {
        self.fault_hook = Some(fault_hook);
        self
    }

    fn run_fault_hook(&self) -> io::Result<()> {
        self.fault_hook
            .as_ref()
            .map_or(Ok(()), |fault_hook| fault_hook())
    }

    /// Makes the folder's file names durable.
    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    /// Returns the file, opened for appending and created if needed.
    fn append_file(&mut self, name: &str) -> io::Result<AppendFile<'_>> {
        let path = self.path.join(name);
        let is_open = self.open_files.contains_key(name);
        let is_new = !is_open && !path.exists();
        if !is_open {
            let file = OpenOptions::new().create(true).append(true).open(&path)?;
            self.open_files.insert(name.to_owned(), file);
        }
        let file = self
            .open_files
            .get_mut(name)
            .ok_or(io::ErrorKind::NotFound)?;
        Ok(AppendFile { file, is_new })
    }

    /// Numbers of the quarantine folders, ascending.
    fn quarantine_numbers(&self) -> io::Result<Vec<u64>> {
        let mut numbers: Vec<u64> = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().into_string().unwrap_or_default();
            let number = name.strip_prefix(QUARANTINE_PREFIX);
            numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn quarantine_folder(&self, number: u64) -> PathBuf {
        self.path.join(format!("{QUARANTINE_PREFIX}{number:04}"))
    }
}

impl Disk for FolderDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().into_string().unwrap_or_default();
            if entry.file_type()?.is_file() && name != LOCK_FILE && !name.is_empty() {
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
        let AppendFile { file, is_new } = self.append_file(name)?;
        file.write_all(bytes)?;
        if is_new {
            self.sync_folder()?;
        }
        Ok(())
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        self.run_fault_hook()?;
        self.append_file(name)?.file.sync_data()
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.open_files.remove(name);
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(len)?;
        file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.sync_folder()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn quarantine(&mut self) -> io::Result<()> {
        let numbers = self.quarantine_numbers()?;
        let surplus = (numbers.len() + 1).saturating_sub(MAX_QUARANTINED);
        for number in &numbers[..surplus.min(numbers.len())] {
            fs::remove_dir_all(self.quarantine_folder(*number))?;
        }
        let destination = self.quarantine_folder(numbers.last().map_or(1, |last| last + 1));
        fs::create_dir(&destination)?;
        let names = self.list()?;
        self.open_files.clear();
        for name in names {
            fs::rename(self.path.join(&name), destination.join(&name))?;
        }
        self.sync_folder()
    }
}
