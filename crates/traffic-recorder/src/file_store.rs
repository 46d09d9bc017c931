//! Storage of capture files: a directory, or a fake in tests.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;

/// Size of the write buffer.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// Numbered capture files.
pub trait FileStore {
    /// Creates the file with this number, which must not have been used before.
    ///
    /// # Errors
    /// Returns the operating system's error.
    fn create(&mut self, number: u64) -> io::Result<Box<dyn Write>>;

    /// Removes the file with this number.
    ///
    /// # Errors
    /// Returns the operating system's error.
    fn remove(&mut self, number: u64) -> io::Result<()>;
}

/// Files `NAME-START-000001.pcapng` and so on in a directory; `START` distinguishes runs of the program.
pub struct Directory {
    /// The directory; it must exist.
    pub path: PathBuf,
    /// The first part of each file name.
    pub name: String,
    /// The second part of each file name: a number that no earlier run of the program used.
    pub start: u64,
}

impl Directory {
    /// The path of the file with this number.
    pub fn file_path(&self, number: u64) -> PathBuf {
        self.path
            .join(format!("{}-{}-{number:06}.pcapng", self.name, self.start))
    }
}

impl FileStore for Directory {
    fn create(&mut self, number: u64) -> io::Result<Box<dyn Write>> {
        // A missing directory is not created, because a wrong path could fill a disk; a removed one may be restored.
        let file = File::options()
            .write(true)
            .create_new(true)
            .open(self.file_path(number))?;
        Ok(Box::new(BufWriter::with_capacity(WRITE_BUFFER_BYTES, file)))
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        std::fs::remove_file(self.file_path(number))
    }
}
