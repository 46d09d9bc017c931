//! Files, the includes between them, and places in them.
//!
//! A configuration's root is the folder of its first file; nothing outside it is read, by whatever path or
//! link. Each file is read once, however often it is included.

use crate::codes::Code;
use crate::parse::{parse, Parsed};
use crate::tree::Kind;
use crate::{Finding, Findings};
use foldhash::{HashMap, HashMapExt};
use std::path::{Component, Path, PathBuf};

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

/// Where files come from. Paths are as [`gather`] makes them: the first one as given, others joined to
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
    fn add(&mut self, path: String, text: String) -> FileId {
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

/// Reads the first file and all that it includes, each once, and parses them. Files come in the order in
/// which they are first included, each before those that it includes.
pub fn gather(files: &dyn Files, first: &str, findings: &mut Findings) -> (Sources, Vec<Parsed>) {
    let mut reader = Reader {
        files,
        root: Path::new(first)
            .parent()
            .unwrap_or(Path::new(""))
            .to_owned(),
        real_root: None,
        sources: Sources::default(),
        parsed: Vec::new(),
        read: HashMap::new(),
        chain: Vec::new(),
        bytes: 0,
        full: false,
        findings,
    };
    let identity = files.identity(Path::new(first));
    reader.real_root = identity
        .as_ref()
        .ok()
        .and_then(|path| path.parent())
        .map(Path::to_owned);
    match identity.and_then(|identity| files.read(Path::new(first)).map(|text| (identity, text))) {
        Ok((identity, text)) => reader.take(first.to_owned(), identity, text),
        Err(trouble) => {
            let file = reader.sources.add(first.to_owned(), String::new());
            let at = Span {
                file,
                start: 0,
                end: 0,
            };
            reader.findings.push(cannot_read(first, &trouble, at));
        }
    }
    (reader.sources, reader.parsed)
}

fn cannot_read(path: &str, trouble: &Trouble, at: Span) -> Finding {
    match trouble {
        Trouble::Missing => Finding::new(Code::Missing, at, format!("there is no file `{path}`")),
        Trouble::Unreadable(why) => Finding::new(
            Code::Unreadable,
            at,
            format!("`{path}` cannot be read: {why}"),
        ),
        Trouble::TooLarge(size) => {
            let words = format!("`{path}` has {size} bytes; {LARGEST} are read at most");
            Finding::new(Code::TooLarge, at, words).help("split it into files that are included")
        }
        Trouble::NotUtf8(byte) => {
            let words = format!("`{path}` is not UTF-8: byte {byte} belongs to no character");
            Finding::new(Code::NotUtf8, at, words).help("save it as UTF-8")
        }
    }
}

struct Reader<'f> {
    files: &'f dyn Files,
    root: PathBuf,
    real_root: Option<PathBuf>,
    sources: Sources,
    parsed: Vec<Parsed>,
    /// What was read, by identity.
    read: HashMap<PathBuf, FileId>,
    /// The files being read, outermost first, with the place of the include that led to the next.
    chain: Vec<(PathBuf, FileId)>,
    bytes: u64,
    full: bool,
    findings: &'f mut Findings,
}

/// One file whose includes are being followed; `next` of `includes` comes next.
struct Step {
    folder: PathBuf,
    includes: Vec<(Span, String)>,
    next: usize,
}

impl Reader<'_> {
    /// Follows includes depth first, with a stack of its own: files may form a chain of any length.
    fn take(&mut self, path: String, identity: PathBuf, text: String) {
        let mut stack = vec![self.enter(path, identity, text)];
        while let Some(step) = stack.last_mut() {
            let Some((at, written)) = step.includes.get(step.next).cloned() else {
                stack.pop();
                self.chain.pop();
                continue;
            };
            step.next += 1;
            let folder = step.folder.clone();
            if let Some((path, identity, text)) = self.find(at, &folder, &written) {
                let included = FileId(self.sources.len() as u32);
                self.parsed[at.file.0 as usize]
                    .included
                    .push((at.start, included));
                stack.push(self.enter(path, identity, text));
            }
        }
    }

    fn enter(&mut self, path: String, identity: PathBuf, text: String) -> Step {
        self.bytes += text.len() as u64;
        let folder = Path::new(&path)
            .parent()
            .unwrap_or(Path::new(""))
            .to_owned();
        let file = self.sources.add(path, text);
        self.read.insert(identity.clone(), file);
        self.chain.push((identity, file));
        let parsed = parse(file, self.sources.text(file), self.findings);
        let includes = self.includes(&parsed);
        self.parsed.push(parsed);
        Step {
            folder,
            includes,
            next: 0,
        }
    }

    fn includes(&self, parsed: &Parsed) -> Vec<(Span, String)> {
        let root = parsed.root();
        let nodes = root.children().filter(|node| node.kind() == Kind::Include);
        let texts = nodes.filter_map(|node| {
            let token = node
                .children_with_tokens()
                .find(|part| part.kind() == Kind::Text)?;
            let range = token.text_range();
            let at = Span {
                file: parsed.file,
                start: range.start().into(),
                end: range.end().into(),
            };
            Some((at, unquote(self.sources.slice(at))))
        });
        texts.collect()
    }

    /// The file that an include names, if it is there, is new and may be read.
    fn find(
        &mut self,
        at: Span,
        folder: &Path,
        written: &str,
    ) -> Option<(String, PathBuf, String)> {
        let joined = match self.inside(folder, written) {
            Ok(joined) => joined,
            Err(why) => {
                let finding = Finding::new(Code::Outside, at, why);
                let help =
                    "all files of a configuration lie in or below the folder of its first file";
                self.findings.push(finding.help(help));
                return None;
            }
        };
        let shown = joined.to_string_lossy().into_owned();
        let identity = match self.files.identity(&joined) {
            Ok(identity) => identity,
            Err(trouble) => {
                self.findings.push(cannot_read(&shown, &trouble, at));
                return None;
            }
        };
        if let Some(begin) = self.chain.iter().position(|(path, _)| *path == identity) {
            let mut names: Vec<&str> = self.chain[begin..]
                .iter()
                .map(|(_, file)| self.sources.path(*file))
                .collect();
            // By a link the file has another name here.
            let again = if shown == names[0] {
                shown.clone()
            } else {
                format!("{shown} (the same file)")
            };
            names.push(&again);
            let words = format!("files include each other in a ring: {}", names.join(" -> "));
            self.findings
                .push(Finding::new(Code::Ring, at, words).help("leave out one of these includes"));
            return None;
        }
        if self.read.contains_key(&identity) {
            return None;
        }
        if self
            .real_root
            .as_ref()
            .is_some_and(|root| !identity.starts_with(root))
        {
            let words = format!("`{shown}` is a link out of the configuration's folder");
            self.findings.push(Finding::new(Code::Outside, at, words));
            return None;
        }
        if self.sources.len() >= MOST_FILES || self.bytes > LARGEST_SUM {
            if !std::mem::replace(&mut self.full, true) {
                let words = format!(
                    "over {MOST_FILES} files or {LARGEST_SUM} bytes; no more is read from here"
                );
                self.findings
                    .push(Finding::new(Code::TooManyFiles, at, words));
            }
            return None;
        }
        match self.files.read(&joined) {
            Ok(text) => Some((shown, identity, text)),
            Err(trouble) => {
                self.findings.push(cannot_read(&shown, &trouble, at));
                None
            }
        }
    }

    /// `written` beside a file in `folder`, with `.` and `..` worked out by name.
    fn inside(&self, folder: &Path, written: &str) -> Result<PathBuf, String> {
        if written.is_empty() {
            return Err("the path is empty".into());
        }
        let below = folder.strip_prefix(&self.root).unwrap_or(folder);
        let mut parts: Vec<&std::ffi::OsStr> = below.iter().collect();
        for part in Path::new(written).components() {
            match part {
                Component::Normal(name) => parts.push(name),
                Component::CurDir => {}
                Component::ParentDir => {
                    if parts.pop().is_none() {
                        return Err(format!(
                            "`{written}` leads out of the configuration's folder"
                        ));
                    }
                }
                Component::RootDir | Component::Prefix(_) => {
                    return Err(format!(
                        "`{written}` is not relative to the file that includes it"
                    ));
                }
            }
        }
        Ok(parts
            .iter()
            .fold(self.root.clone(), |path, part| path.join(part)))
    }
}

/// What a text in quotes says: `\"` and `\\` are the only escapes ([`crate::ast`] tells of others).
pub fn unquote(quoted: &str) -> String {
    let inner = quoted.strip_prefix('"').unwrap_or(quoted);
    let inner = inner.strip_suffix('"').unwrap_or(inner);
    if !inner.contains('\\') {
        return inner.to_owned();
    }
    let mut said = String::with_capacity(inner.len());
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        said.push(if c == '\\' {
            chars.next().unwrap_or('\\')
        } else {
            c
        });
    }
    said
}

#[cfg(test)]
mod tests {
    use super::*;

    fn codes(files: &[(&str, &str)]) -> (Vec<&'static str>, Vec<String>, usize) {
        let mut findings = Findings::default();
        let (sources, _) = gather(
            &Memory::new(files.iter().copied()),
            files[0].0,
            &mut findings,
        );
        let findings = findings.into_vec();
        let words = findings.iter().map(|f| f.message.clone()).collect();
        (
            findings.iter().map(|f| f.code.id()).collect(),
            words,
            sources.len(),
        )
    }

    #[test]
    fn a_ring_shows_its_whole_chain_and_a_diamond_is_read_once() {
        let ring = [
            ("c/a.rain", "rain 1\ninclude \"b.rain\"\n"),
            ("c/b.rain", "rain 1\ninclude \"d/c.rain\"\n"),
            ("c/d/c.rain", "rain 1\ninclude \"../a.rain\"\n"),
        ];
        let (found, words, read) = codes(&ring);
        assert_eq!((found, read), (vec!["S005"], 3));
        assert!(
            words[0].ends_with("ring: c/a.rain -> c/b.rain -> c/d/c.rain -> c/a.rain"),
            "{}",
            words[0]
        );
        let diamond = [
            (
                "a.rain",
                "rain 1\ninclude \"b.rain\"\ninclude \"c.rain\"\ninclude \"./b.rain\"\n",
            ),
            ("b.rain", "rain 1\ninclude \"d.rain\"\n"),
            ("c.rain", "rain 1\ninclude \"d.rain\"\n"),
            ("d.rain", "rain 1\n"),
        ];
        assert_eq!(codes(&diamond), (vec![], vec![], 4));
    }

    #[test]
    fn what_lies_outside_is_not_read() {
        for path in ["../b.rain", "/b.rain", "x/../../b.rain", ""] {
            let text = format!("rain 1\ninclude \"{path}\"\n");
            let (found, _, read) = codes(&[("c/a.rain", &text), ("b.rain", "rain 1\n")]);
            assert_eq!((found, read), (vec!["S006"], 1), "{path}");
        }
    }

    #[test]
    fn a_chain_of_a_thousand_files_takes_no_stack() {
        let files: Vec<(String, String)> = (0..1_000)
            .map(|n| {
                (
                    format!("{n}.rain"),
                    format!("rain 1\ninclude \"{}.rain\"\n", n + 1),
                )
            })
            .collect();
        let mut findings = Findings::default();
        let (sources, _) = gather(&Memory::new(files), "0.rain", &mut findings);
        let findings = findings.into_vec();
        assert_eq!(
            (sources.len(), findings.len(), findings[0].code.id()),
            (1_000, 1, "S001")
        );
    }

    #[test]
    fn places_count_characters() {
        let mut sources = Sources::default();
        let file = sources.add("a".into(), "# æø\nab: å x\n".into());
        let x = sources.text(file).find('x').unwrap() as u32;
        assert_eq!(
            sources.line_column(Span {
                file,
                start: x,
                end: x + 1
            }),
            (2, 7)
        );
        assert_eq!(
            sources.line_column(Span {
                file,
                start: 0,
                end: 0
            }),
            (1, 1)
        );
    }
}
