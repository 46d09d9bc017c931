//! The includes between files.
//!
//! A configuration's root is the folder of its first file; nothing outside it is read, by whatever path or
//! link. Each file is read once, however often it is included.

use crate::codes::Code;
use crate::lex::unquote;
use crate::parse::{parse, Parsed};
use crate::source::{FileId, Files, Sources, Span, Trouble, LARGEST, LARGEST_SUM, MOST_FILES};
use crate::tree::Kind;
use crate::{Finding, Findings};
use foldhash::{HashMap, HashMapExt};
use std::path::{Component, Path, PathBuf};

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
