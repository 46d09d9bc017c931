//! Where files come from, the source map of those that were read, and spans in them.

use foldhash::HashMap;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::{fs, io};
use thiserror::Error;

/// The largest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 16 << 20;

/// A file of a [`SourceMap`], by the order of reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileId(pub u32);

/// A place in a file, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Span {
    /// The file.
    pub file: FileId,
    /// Its first byte.
    pub start: u32,
    /// The byte behind its last one.
    pub end: u32,
}

impl Span {
    /// From the beginning of this one to the end of a later one of the same file.
    pub(crate) fn to(self, last: Span) -> Span {
        Span {
            end: last.end,
            ..self
        }
    }
}

/// Why a file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// There is none of this name.
    #[error("there is no such file")]
    Missing,
    /// The system refuses it, in its own words, or it is no regular file.
    #[error("{0}")]
    Unreadable(String),
    /// It is larger than [`MAX_FILE_BYTES`]; its size in bytes.
    #[error("{0} bytes are too many")]
    TooLarge(u64),
    /// It is not UTF-8; the first byte that belongs to no character.
    #[error("not UTF-8: byte {0} belongs to no character")]
    NotUtf8(usize),
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::NotFound => ReadError::Missing,
            _ => ReadError::Unreadable(error.to_string()),
        }
    }
}

/// Where files come from. Paths are as [`crate::include::load_files`] makes them: the first one as given, others joined
/// to its folder without `.` or `..`.
pub trait Files {
    /// What tells one file from another: its path with all links followed.
    ///
    /// # Errors
    /// If there is no such file, or the system does not say.
    fn identity(&self, path: &Path) -> Result<PathBuf, ReadError>;

    /// The text of a file.
    ///
    /// # Errors
    /// If it cannot be read, is too large or is not UTF-8.
    fn read(&self, path: &Path) -> Result<String, ReadError>;
}

/// Files on disk; `-` is standard input, which stands in the current folder.
pub struct Disk;

impl Files for Disk {
    fn identity(&self, path: &Path) -> Result<PathBuf, ReadError> {
        if is_standard_input(path) {
            return Ok(fs::canonicalize(".")?.join("-"));
        }
        Ok(fs::canonicalize(path)?)
    }

    fn read(&self, path: &Path) -> Result<String, ReadError> {
        let bytes = if is_standard_input(path) {
            read_bounded(io::stdin())?
        } else {
            let file = fs::File::open(path)?;
            let metadata = file.metadata()?;
            if !metadata.is_file() {
                return Err(ReadError::Unreadable("not a regular file".into()));
            }
            if metadata.len() > MAX_FILE_BYTES {
                return Err(ReadError::TooLarge(metadata.len()));
            }
            read_bounded(file)?
        };
        String::from_utf8(bytes).map_err(|e| ReadError::NotUtf8(e.utf8_error().valid_up_to()))
    }
}

fn is_standard_input(path: &Path) -> bool {
    path == Path::new("-")
}

fn read_bounded(from: impl Read) -> Result<Vec<u8>, ReadError> {
    let mut bytes = Vec::new();
    from.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(ReadError::TooLarge(bytes.len() as u64));
    }
    Ok(bytes)
}

/// Files in memory, for tests and tools.
pub struct Memory(HashMap<PathBuf, String>);

impl Memory {
    /// Files by their paths.
    pub fn new<P: Into<PathBuf>, T: Into<String>>(files: impl IntoIterator<Item = (P, T)>) -> Self {
        let files = files.into_iter();
        Self(
            files
                .map(|(path, text)| (path.into(), text.into()))
                .collect(),
        )
    }
}

impl Files for Memory {
    fn identity(&self, path: &Path) -> Result<PathBuf, ReadError> {
        if self.0.contains_key(path) {
            Ok(path.to_owned())
        } else {
            Err(ReadError::Missing)
        }
    }

    fn read(&self, path: &Path) -> Result<String, ReadError> {
        self.0.get(path).cloned().ok_or(ReadError::Missing)
    }
}

struct SourceFile {
    path: String,
    text: String,
    /// The byte at which each line begins.
    line_starts: Vec<u32>,
    /// Characters that begin before each block of [`BLOCK_BYTES`], so that a column in a line of megabytes is not
    /// counted from its start each time.
    characters_before_block: Vec<u32>,
}

/// Bytes between two counts of characters.
const BLOCK_BYTES: usize = 1 << 12;

/// How many characters begin in these bytes.
fn count_characters(bytes: &[u8]) -> u32 {
    bytes.iter().filter(|byte| **byte & 0xc0 != 0x80).count() as u32
}

impl SourceFile {
    /// Characters that begin before a byte.
    fn characters_before(&self, byte: usize) -> u32 {
        let block = (byte / BLOCK_BYTES).min(self.characters_before_block.len() - 1);
        self.characters_before_block[block]
            + count_characters(&self.text.as_bytes()[block * BLOCK_BYTES..byte])
    }
}

/// The source map: all files that were read, by [`FileId`].
#[derive(Default)]
pub struct SourceMap(Vec<SourceFile>);

impl SourceMap {
    pub(crate) fn add(&mut self, path: String, text: String) -> FileId {
        let line_ends = text.bytes().zip(1u32..).filter(|(byte, _)| *byte == b'\n');
        let line_starts = std::iter::once(0)
            .chain(line_ends.map(|(_, next)| next))
            .collect();
        let mut characters_before_block = vec![0];
        let mut characters = 0;
        for block in text.as_bytes().chunks(BLOCK_BYTES) {
            characters += count_characters(block);
            characters_before_block.push(characters);
        }
        self.0.push(SourceFile {
            path,
            text,
            line_starts,
            characters_before_block,
        });
        FileId(self.0.len() as u32 - 1)
    }

    fn file(&self, file: FileId) -> Option<&SourceFile> {
        self.0.get(file.0 as usize)
    }

    /// A map of one file, for a tool that looks at it alone.
    pub fn from_text(path: &str, text: String) -> Self {
        let mut sources = Self::default();
        sources.add(path.to_owned(), text);
        sources
    }

    /// How many files there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no file was read.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// A file's path as it was given or included, for messages; `?` for an unknown file.
    pub fn path(&self, file: FileId) -> &str {
        self.file(file).map_or("?", |source| &source.path)
    }

    /// A file's text; empty for an unknown file.
    pub fn text(&self, file: FileId) -> &str {
        self.file(file).map_or("", |source| &source.text)
    }

    /// The text of a span; empty for one that is in no file.
    pub fn slice(&self, span: Span) -> &str {
        self.text(span.file)
            .get(span.start as usize..span.end as usize)
            .unwrap_or("")
    }

    /// Line and column of a span's start, both from 1; columns count characters.
    pub fn line_column(&self, span: Span) -> (usize, usize) {
        let Some(source) = self.file(span.file) else {
            return (1, 1);
        };
        let line = source
            .line_starts
            .partition_point(|start| *start <= span.start)
            .max(1);
        let from = source.line_starts[line - 1] as usize;
        let upto = (span.start as usize).min(source.text.len());
        let column = source.characters_before(upto) - source.characters_before(from);
        (line, column as usize + 1)
    }

    /// The line, from 0, that a byte is in.
    pub fn line_of(&self, file: FileId, byte: usize) -> usize {
        let lines = self
            .file(file)
            .map_or(&[][..], |source| &source.line_starts);
        lines
            .partition_point(|start| *start as usize <= byte)
            .saturating_sub(1)
    }

    /// The bytes of a line, from 0, with its line end.
    pub fn line_bytes(&self, file: FileId, line: usize) -> Option<std::ops::Range<usize>> {
        let source = self.file(file)?;
        let start = *source.line_starts.get(line)? as usize;
        let end = source
            .line_starts
            .get(line + 1)
            .map_or(source.text.len(), |end| *end as usize);
        Some(start..end)
    }

    /// Lines in all files together.
    pub fn lines(&self) -> usize {
        self.0.iter().map(|source| source.line_starts.len()).sum()
    }
}
