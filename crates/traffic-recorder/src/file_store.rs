//! Where capture files are stored: a directory, or what a test puts in its place.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;

/// Bytes that are buffered for one write.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// Numbered capture files.
pub trait FileStore {
    /// Creates a file under a number that was not used before.
    ///
    /// # Errors
    /// Those of the operating system.
    fn create(&mut self, number: u64) -> io::Result<Box<dyn Write>>;

    /// Removes the file of a number.
    ///
    /// # Errors
    /// Those of the operating system.
    fn remove(&mut self, number: u64) -> io::Result<()>;
}

/// Files `NAME-START-000001.pcapng` and so on in a directory; `START` tells starts of the program apart.
pub struct Directory {
    /// The directory; it must exist.
    pub path: PathBuf,
    /// The first part of each file name.
    pub name: String,
    /// The second part: a number that no earlier start of the program used.
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
        // A directory that was removed may come back; it is not created here, lest a wrong path fills a disk.
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
