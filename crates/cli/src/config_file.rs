//! Configuration files: read in any of their forms, replaced in one step, and what a change of one says.

use crate::out::{self, Code};
use rainstand_config::codes::Code as Finds;
use rainstand_config::diff::Change;
use rainstand_config::load;
use rainstand_config::schema::{self, Configuration};
use rainstand_config::source::{Disk, FileId, SourceMap};
use rainstand_routing::table::Table;
use serde_json::json;
use std::io::{self, Write};
use std::path::Path;

pub type Read = Result<(Configuration, SourceMap, usize), Code>;

/// A configuration in any of its three forms, with its sources and the number of warnings. What is wrong
/// is told here.
pub fn read(file: &str, json: bool) -> io::Result<Read> {
    let ending = Path::new(file).extension().and_then(|e| e.to_str());
    if file != "-" && ending != Some("rain") {
        return Ok(
            read_compiled(file, ending == Some("pb")).map(|made| (made, SourceMap::default(), 0))
        );
    }
    let outcome = load(&Disk, file);
    out::findings(&outcome.sources, &outcome.findings, json)?;
    let cannot_be_read = outcome.findings.iter().any(|finding| {
        matches!(
            finding.code,
            Finds::Missing | Finds::Unreadable | Finds::TooLarge | Finds::NotUtf8
        ) && finding.span.file == FileId(0)
            && finding.span.end == 0
    });
    if cannot_be_read {
        return Ok(Err(Code::Use));
    }
    match outcome.configuration {
        Some(configuration) => Ok(Ok((configuration, outcome.sources, outcome.findings.len()))),
        None => {
            let errors = outcome
                .findings
                .iter()
                .filter(|finding| finding.is_error())
                .count();
            if !json {
                eprintln!(
                    "{file}: {errors} error{}",
                    if errors == 1 { "" } else { "s" }
                );
            }
            Ok(Err(Code::Found))
        }
    }
}

fn read_compiled(file: &str, binary: bool) -> Result<Configuration, Code> {
    let bytes = std::fs::read(file).map_err(|e| unreadable(file, e))?;
    let made = if binary {
        schema::from_binary(&bytes)
    } else {
        let text = std::str::from_utf8(&bytes).map_err(|e| unreadable(file, e))?;
        schema::from_text(text)
    };
    let made = made.and_then(|made| match Table::new(&made) {
        Ok(_) => Ok(made),
        Err(refused) => Err(schema::DecodeError::binary(refused)),
    });
    made.map_err(|refused| {
        eprintln!("rainstand: {file}:{refused}");
        Code::Found
    })
}

/// Writes a file in one step: a reader sees the old one or the new one, whole. Links stay links, and the
/// permissions stay.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let path = std::fs::canonicalize(path).unwrap_or_else(|_| path.to_owned());
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut fresh = tempfile::NamedTempFile::new_in(folder)?;
    fresh.write_all(bytes)?;
    match std::fs::metadata(&path) {
        Ok(before) => fresh.as_file().set_permissions(before.permissions())?,
        Err(_) => {
            // A new file is for whoever may read the folder, not for its writer alone.
            use std::os::unix::fs::PermissionsExt;
            fresh
                .as_file()
                .set_permissions(std::fs::Permissions::from_mode(0o644))?;
        }
    }
    fresh.as_file().sync_all()?;
    fresh.persist(&path).map_err(|e| e.error)?;
    Ok(())
}

/// What changed in meaning, a line each.
pub fn tell_changes(changes: &[Change], json: bool) -> io::Result<()> {
    for change in changes {
        if !json {
            out::line(&change.to_string())?;
            continue;
        }
        out::json(&match change {
            Change::Added { what } => json!({"change": "added", "what": what}),
            Change::Removed { what } => json!({"change": "removed", "what": what}),
            Change::ValueChanged {
                what,
                key,
                before,
                after,
            } => {
                json!({"change": "otherwise", "what": what, "key": key, "before": before, "after": after})
            }
            Change::Rerouted {
                requests,
                before,
                after,
            } => json!({
                "change": "elsewhere", "tickets": requests, "before": before.route, "after": after.route,
                "pools_before": before.pools, "pools_after": after.pools,
            }),
            Change::Reordered { before, after } => {
                json!({"change": "order", "before": before, "after": after})
            }
        })?;
    }
    Ok(())
}

pub(crate) fn unreadable(path: &str, why: impl std::fmt::Display) -> Code {
    eprintln!("rainstand: {path}: {why}");
    Code::Use
}
