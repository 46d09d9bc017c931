//! Loads the files of a configuration: the first one, and what they include.
//!
//! A configuration's root is the folder of its first file; nothing outside it is read, by whatever path or
//! link. Each file is read once, however often it is included.

use crate::codes::Code;
use crate::lexer::unquote;
use crate::parser::{parse, Inclusion, ParsedFile};
use crate::source::{FileId, Files, ReadError, SourceMap, Span, MAX_FILE_BYTES};
use crate::syntax::SyntaxKind;
use crate::{Finding, Findings};
use foldhash::{HashMap, HashMapExt};
use std::ffi::OsStr;
use std::path::{Component, Path, PathBuf};
use thiserror::Error;

/// Files of one configuration.
pub const MAX_FILES: usize = 2_000;
/// Bytes of all files of one configuration: the file that reaches it is the last that is read.
pub const MAX_TOTAL_BYTES: u64 = 64 << 20;

/// The files of a configuration and their trees, which have the same order.
pub struct LoadedFiles {
    /// The files, in the order in which they are first included, each before those that it includes.
    pub sources: SourceMap,
    /// The tree of each file that could be read.
    pub parsed: Vec<ParsedFile>,
}

/// Reads the first file and all that it includes, each once, and parses them. What cannot be read, and syntax errors,
/// are added to `findings`.
pub fn load_files(files: &dyn Files, first: &str, findings: &mut Findings) -> LoadedFiles {
    let mut loader = IncludeLoader {
        files,
        root: folder_of(first),
        real_root: None,
        sources: SourceMap::default(),
        parsed: Vec::new(),
        by_identity: HashMap::new(),
        open: Vec::new(),
        bytes: 0,
        is_full: false,
        findings,
    };
    if let Err(error) = loader.load_first(first) {
        let file = loader.sources.add(first.to_owned(), String::new());
        let start = Span {
            file,
            start: 0,
            end: 0,
        };
        loader.findings.push(cannot_read(first, &error, start));
    }
    LoadedFiles {
        sources: loader.sources,
        parsed: loader.parsed,
    }
}

fn folder_of(path: &str) -> PathBuf {
    Path::new(path).parent().unwrap_or(Path::new("")).to_owned()
}

fn cannot_read(path: &str, error: &ReadError, span: Span) -> Finding {
    match error {
        ReadError::Missing => {
            Finding::new(Code::Missing, span, format!("there is no file `{path}`"))
        }
        ReadError::Unreadable(reason) => {
            let message = format!("`{path}` cannot be read: {reason}");
            Finding::new(Code::Unreadable, span, message)
        }
        ReadError::TooLarge(size) => {
            let message = format!("`{path}` has {size} bytes; {MAX_FILE_BYTES} are read at most");
            Finding::new(Code::TooLarge, span, message)
                .with_help("split it into files that are included")
        }
        ReadError::NotUtf8(byte) => {
            let message = format!("`{path}` is not UTF-8: byte {byte} belongs to no character");
            Finding::new(Code::NotUtf8, span, message).with_help("save it as UTF-8")
        }
    }
}

/// Why an include's path names no file of the configuration.
#[derive(Debug, Error)]
enum IncludePathError<'w> {
    #[error("the path is empty")]
    Empty,
    #[error("`{0}` leads out of the configuration's folder")]
    OutOfFolder(&'w str),
    #[error("`{0}` is not relative to the file that includes it")]
    NotRelative(&'w str),
}

/// A file that is to be read.
struct FoundFile {
    /// As messages name it.
    path: String,
    identity: PathBuf,
    text: String,
}

/// The path in an include, unquoted, and where it is written.
#[derive(Clone)]
struct Include {
    span: Span,
    path: String,
}

/// A file whose includes are being followed.
struct OpenFile {
    file: FileId,
    identity: PathBuf,
    folder: PathBuf,
    includes: std::vec::IntoIter<Include>,
}

struct IncludeLoader<'f> {
    files: &'f dyn Files,
    root: PathBuf,
    /// The root with all links followed.
    real_root: Option<PathBuf>,
    sources: SourceMap,
    parsed: Vec<ParsedFile>,
    /// What was read, by identity.
    by_identity: HashMap<PathBuf, FileId>,
    /// The files whose includes are being followed, each included by the one before it.
    open: Vec<OpenFile>,
    /// Bytes read.
    bytes: u64,
    /// It was reported that no more files are read.
    is_full: bool,
    findings: &'f mut Findings,
}

impl IncludeLoader<'_> {
    fn load_first(&mut self, first: &str) -> Result<(), ReadError> {
        let identity = self.files.identity(Path::new(first))?;
        self.real_root = identity.parent().map(Path::to_owned);
        let text = self.files.read(Path::new(first))?;
        self.follow(FoundFile {
            path: first.to_owned(),
            identity,
            text,
        });
        Ok(())
    }

    /// Follows includes depth first, with a stack of its own: files may form a chain of any length.
    fn follow(&mut self, first: FoundFile) {
        self.enter(first);
        while let Some(innermost) = self.open.last_mut() {
            let Some(include) = innermost.includes.next() else {
                self.open.pop();
                continue;
            };
            let folder = innermost.folder.clone();
            if let Some(found) = self.find(&include, &folder) {
                let inclusion = Inclusion {
                    offset: include.span.start,
                    file: FileId(self.sources.len() as u32),
                };
                let including = include.span.file.0 as usize;
                self.parsed[including].included.push(inclusion);
                self.enter(found);
            }
        }
    }

    /// Parses a file that was read, and begins to follow its includes.
    fn enter(&mut self, found: FoundFile) {
        self.bytes += found.text.len() as u64;
        let folder = folder_of(&found.path);
        let file = self.sources.add(found.path, found.text);
        self.by_identity.insert(found.identity.clone(), file);
        let parsed = parse(file, self.sources.text(file), self.findings);
        self.open.push(OpenFile {
            file,
            identity: found.identity,
            folder,
            includes: self.includes_of(&parsed).into_iter(),
        });
        self.parsed.push(parsed);
    }

    fn includes_of(&self, parsed: &ParsedFile) -> Vec<Include> {
        let root = parsed.root();
        let nodes = root
            .children()
            .filter(|node| node.kind() == SyntaxKind::Include);
        let includes = nodes.filter_map(|node| {
            let path = node
                .children_with_tokens()
                .find(|part| part.kind() == SyntaxKind::Text)?;
            let range = path.text_range();
            let span = Span {
                file: parsed.file,
                start: range.start().into(),
                end: range.end().into(),
            };
            Some(Include {
                span,
                path: unquote(self.sources.slice(span)),
            })
        });
        includes.collect()
    }

    /// The file that an include names, if it is there, is new and may be read.
    fn find(&mut self, include: &Include, folder: &Path) -> Option<FoundFile> {
        let Include { span, path } = include;
        let joined = match self.join_below_root(folder, path) {
            Ok(joined) => joined,
            Err(error) => {
                let help =
                    "all files of a configuration lie in or below the folder of its first file";
                let finding = Finding::new(Code::Outside, *span, error.to_string());
                self.findings.push(finding.with_help(help));
                return None;
            }
        };
        let path = joined.to_string_lossy().into_owned();
        let identity = self.files.identity(&joined);
        let identity = self.or_report(identity, &path, *span)?;
        if let Some(begin) = self.open.iter().position(|one| one.identity == identity) {
            let finding = self.ring(begin, path, *span);
            self.findings.push(finding);
            return None;
        }
        if self.by_identity.contains_key(&identity) || !self.may_read(&path, &identity, *span) {
            return None;
        }
        let text = self.files.read(&joined);
        let text = self.or_report(text, &path, *span)?;
        Some(FoundFile {
            path,
            identity,
            text,
        })
    }

    fn or_report<T>(&mut self, result: Result<T, ReadError>, path: &str, span: Span) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.findings.push(cannot_read(path, &error, span));
                None
            }
        }
    }

    /// A file that includes one of those that led to it, the outermost of which is at `begin`.
    fn ring(&self, begin: usize, path: String, span: Span) -> Finding {
        let open = self.open[begin..].iter();
        let mut names: Vec<&str> = open.map(|one| self.sources.path(one.file)).collect();
        // By a link the file has another name here.
        let last = if path == names[0] {
            path
        } else {
            format!("{path} (the same file)")
        };
        names.push(&last);
        let message = format!("files include each other in a ring: {}", names.join(" -> "));
        Finding::new(Code::Ring, span, message).with_help("leave out one of these includes")
    }

    /// Whether a new file lies below the root and within the bounds; what is not is reported.
    fn may_read(&mut self, path: &str, identity: &Path, span: Span) -> bool {
        let real_root = self.real_root.as_ref();
        if real_root.is_some_and(|root| !identity.starts_with(root)) {
            let message = format!("`{path}` is a link out of the configuration's folder");
            self.findings
                .push(Finding::new(Code::Outside, span, message));
            return false;
        }
        if self.sources.len() < MAX_FILES && self.bytes <= MAX_TOTAL_BYTES {
            return true;
        }
        if !std::mem::replace(&mut self.is_full, true) {
            let message = format!(
                "over {MAX_FILES} files or {MAX_TOTAL_BYTES} bytes; no more is read from here"
            );
            self.findings
                .push(Finding::new(Code::TooManyFiles, span, message));
        }
        false
    }

    /// `written` beside a file in `folder`, with `.` and `..` resolved by name.
    fn join_below_root<'w>(
        &self,
        folder: &Path,
        written: &'w str,
    ) -> Result<PathBuf, IncludePathError<'w>> {
        if written.is_empty() {
            return Err(IncludePathError::Empty);
        }
        let below = folder.strip_prefix(&self.root).unwrap_or(folder);
        let mut parts: Vec<&OsStr> = below.iter().collect();
        for component in Path::new(written).components() {
            match component {
                Component::Normal(name) => parts.push(name),
                Component::CurDir => {}
                Component::ParentDir => {
                    if parts.pop().is_none() {
                        return Err(IncludePathError::OutOfFolder(written));
                    }
                }
                Component::RootDir | Component::Prefix(_) => {
                    return Err(IncludePathError::NotRelative(written));
                }
            }
        }
        Ok(parts
            .iter()
            .fold(self.root.clone(), |path, part| path.join(part)))
    }
}
