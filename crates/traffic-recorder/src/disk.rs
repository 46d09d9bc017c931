//! Where files go: a folder, or what a test puts in its place.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;

/// Bytes that are gathered for one write.
const GATHERED: usize = 64 << 10;

pub trait Disk {
    /// A new file under a number that was not used before.
    ///
    /// # Errors
    /// Those of the system.
    fn create(&mut self, number: u64) -> io::Result<Box<dyn Write>>;
    /// # Errors
    /// Those of the system.
    fn remove(&mut self, number: u64) -> io::Result<()>;
}

/// Files `NAME-START-000001.pcapng` and so on in a folder; `START` tells starts of the program apart.
pub struct Folder {
    pub folder: PathBuf,
    pub name: String,
    pub start: u64,
}

impl Folder {
    pub fn path(&self, number: u64) -> PathBuf {
        self.folder
            .join(format!("{}-{}-{number:06}.pcapng", self.name, self.start))
    }
}

impl Disk for Folder {
    fn create(&mut self, number: u64) -> io::Result<Box<dyn Write>> {
        // A folder that was taken away may come back; it is not made here, lest a wrong path fills a disk.
        let file = File::options()
            .write(true)
            .create_new(true)
            .open(self.path(number))?;
        Ok(Box::new(BufWriter::with_capacity(GATHERED, file)))
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        std::fs::remove_file(self.path(number))
    }
}
