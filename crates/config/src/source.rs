//! Files, and places in them.

use foldhash::{HashMap, HashMapExt};
use std::path::{Path, PathBuf};

/// Bytes of one file: a configuration of 100,000 lines stays under it.
pub const LARGEST: u64 = 16 << 20;
/// Files of one configuration.
pub const MOST_FILES: usize = 2_000;
/// Bytes of all files of one configuration.
pub const LARGEST_SUM: u64 = 64 << 20;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileId(pub u32);

/// A place: bytes `start` up to `end` of a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Span {
    pub file: FileId,
    pub start: u32,
    pub end: u32,
}

/// Why a file cannot be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trouble {
    Missing,
    /// In the system's words.
    Unreadable(String),
    /// Its size in bytes.
    TooLarge(u64),
    /// Where the first byte is that belongs to no character.
    NotUtf8(usize),
}

/// Where files come from. Paths are as [`crate::include::gather`] makes them: the first one as given, others joined to
/// its folder without `.` or `..`.
pub trait Files {
    /// What tells one file from another: links followed, so that a file has one name.
    fn identity(&self, path: &Path) -> Result<PathBuf, Trouble>;
    fn read(&self, path: &Path) -> Result<String, Trouble>;
}

/// Files on disk; `-` is standard input, which has no folder but the present one.
pub struct Disk;

impl Files for Disk {
    fn identity(&self, path: &Path) -> Result<PathBuf, Trouble> {
        if path == Path::new("-") {
            return Ok(std::fs::canonicalize(".")
                .map_err(|e| trouble(&e))?
                .join("-"));
        }
        std::fs::canonicalize(path).map_err(|e| trouble(&e))
    }

    fn read(&self, path: &Path) -> Result<String, Trouble> {
        use std::io::Read;
        let mut bytes = Vec::new();
        if path == Path::new("-") {
            std::io::stdin()
                .take(LARGEST + 1)
                .read_to_end(&mut bytes)
                .map_err(|e| trouble(&e))?;
        } else {
            let file = std::fs::File::open(path).map_err(|e| trouble(&e))?;
            let kind = file.metadata().map_err(|e| trouble(&e))?;
            if !kind.is_file() {
                return Err(Trouble::Unreadable("not a regular file".into()));
            }
            if kind.len() > LARGEST {
                return Err(Trouble::TooLarge(kind.len()));
            }
            file.take(LARGEST + 1)
                .read_to_end(&mut bytes)
                .map_err(|e| trouble(&e))?;
        }
        if bytes.len() as u64 > LARGEST {
            return Err(Trouble::TooLarge(bytes.len() as u64));
        }
        String::from_utf8(bytes).map_err(|e| Trouble::NotUtf8(e.utf8_error().valid_up_to()))
    }
}

fn trouble(error: &std::io::Error) -> Trouble {
    match error.kind() {
        std::io::ErrorKind::NotFound => Trouble::Missing,
        _ => Trouble::Unreadable(error.to_string()),
    }
}

/// Files in memory, for tests and tools.
pub struct Memory(HashMap<PathBuf, String>);

impl Memory {
    pub fn new<P: Into<PathBuf>, T: Into<String>>(files: impl IntoIterator<Item = (P, T)>) -> Self {
        let mut all = HashMap::new();
        all.extend(
            files
                .into_iter()
                .map(|(path, text)| (path.into(), text.into())),
        );
        Self(all)
    }
}

impl Files for Memory {
    fn identity(&self, path: &Path) -> Result<PathBuf, Trouble> {
        if self.0.contains_key(path) {
            Ok(path.to_owned())
        } else {
            Err(Trouble::Missing)
        }
    }

    fn read(&self, path: &Path) -> Result<String, Trouble> {
        self.0.get(path).cloned().ok_or(Trouble::Missing)
    }
}

struct Source {
    path: String,
    text: String,
    /// Where each line begins.
    lines: Vec<u32>,
    /// Characters that begin before each block of [`BLOCK`] bytes: columns of a line of 5 MB are not counted
    /// from its start each time.
    characters: Vec<u32>,
}

/// Bytes between two counts of characters.
const BLOCK: usize = 1 << 12;

/// Bytes that begin a character.
fn begin(bytes: &[u8]) -> u32 {
    bytes.iter().filter(|byte| **byte & 0xc0 != 0x80).count() as u32
}

impl Source {
    /// Characters that begin before a byte.
    fn characters_before(&self, byte: usize) -> u32 {
        let block = (byte / BLOCK).min(self.characters.len() - 1);
        self.characters[block] + begin(&self.text.as_bytes()[block * BLOCK..byte])
    }
}

/// All files that were read, by [`FileId`].
#[derive(Default)]
pub struct Sources(Vec<Source>);

impl Sources {
    pub(crate) fn add(&mut self, path: String, text: String) -> FileId {
        let lines = std::iter::once(0).chain(
            text.bytes()
                .zip(1u32..)
                .filter(|(b, _)| *b == b'\n')
                .map(|(_, n)| n),
        );
        let lines = lines.collect();
        let mut characters = vec![0];
        for block in text.as_bytes().chunks(BLOCK) {
            characters.push(characters[characters.len() - 1] + begin(block));
        }
        self.0.push(Source {
            path,
            text,
            lines,
            characters,
        });
        FileId(self.0.len() as u32 - 1)
    }

    /// One file, for a tool that looks at it alone.
    pub fn of_one(path: &str, text: String) -> Self {
        let mut sources = Self::default();
        sources.add(path.to_owned(), text);
        sources
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// As it was given or included; for messages.
    pub fn path(&self, file: FileId) -> &str {
        self.0
            .get(file.0 as usize)
            .map_or("?", |source| &source.path)
    }

    pub fn text(&self, file: FileId) -> &str {
        self.0
            .get(file.0 as usize)
            .map_or("", |source| &source.text)
    }

    pub fn slice(&self, span: Span) -> &str {
        self.text(span.file)
            .get(span.start as usize..span.end as usize)
            .unwrap_or("")
    }

    /// Line and column of a place's start, both from 1; columns count characters.
    pub fn line_column(&self, span: Span) -> (usize, usize) {
        let Some(source) = self.0.get(span.file.0 as usize) else {
            return (1, 1);
        };
        let line = source
            .lines
            .partition_point(|start| *start <= span.start)
            .max(1);
        let from = source.lines[line - 1] as usize;
        let upto = (span.start as usize).min(source.text.len());
        let column = source.characters_before(upto) - source.characters_before(from);
        (line, column as usize + 1)
    }

    /// The line, from 0, in which a byte stands.
    pub fn line_of(&self, file: FileId, byte: usize) -> usize {
        let lines = self
            .0
            .get(file.0 as usize)
            .map_or(&[][..], |source| &source.lines);
        lines
            .partition_point(|start| *start as usize <= byte)
            .saturating_sub(1)
    }

    /// The bytes of a line, from 0, with its end.
    pub fn line_bytes(&self, file: FileId, line: usize) -> Option<std::ops::Range<usize>> {
        let source = self.0.get(file.0 as usize)?;
        let start = *source.lines.get(line)? as usize;
        let end = source
            .lines
            .get(line + 1)
            .map_or(source.text.len(), |end| *end as usize);
        Some(start..end)
    }

    /// Lines in all files together.
    pub fn lines(&self) -> usize {
        self.0.iter().map(|source| source.lines.len()).sum()
    }
}
