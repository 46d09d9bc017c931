//! Reads configuration files in each of their formats, replaces files atomically, and prints changes.

use crate::error::CommandError;
use crate::output::{self, ExitStatus};
use rainstand_config::codes::Code as FindingCode;
use rainstand_config::diff::Change;
use rainstand_config::schema::{self, Configuration};
use rainstand_config::source::{Disk, FileId, SourceMap};
use rainstand_config::{load, Finding};
use rainstand_routing::table::Table;
use serde_json::{json, Value};
use std::fs::{self, Permissions};
use std::io::{self, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Permissions of a new file: readable by all users who can read its folder.
const NEW_FILE_MODE: u32 = 0o644;

/// A configuration as it was read from a file.
pub(crate) struct LoadedConfiguration {
    pub(crate) configuration: Configuration,
    /// The `.rain` files that it was read from; empty for a compiled one.
    pub(crate) sources: SourceMap,
    /// Number of printed warnings.
    pub(crate) warnings: usize,
}

/// A file's format, by its name.
enum FileFormat {
    Rain,
    CompiledText,
    CompiledBinary,
}

impl FileFormat {
    fn of(path: &str) -> Self {
        let extension = Path::new(path)
            .extension()
            .and_then(|extension| extension.to_str());
        match extension {
            _ if path == "-" => Self::Rain,
            Some("rain") => Self::Rain,
            Some("pb") => Self::CompiledBinary,
            _ => Self::CompiledText,
        }
    }
}

/// Reads a configuration in any of its three formats and prints the findings.
///
/// # Errors
/// If the file cannot be read, is not a configuration, or has errors.
pub(crate) fn read(path: &str, as_json: bool) -> Result<LoadedConfiguration, CommandError> {
    let configuration = match FileFormat::of(path) {
        FileFormat::Rain => return read_rain(path, as_json),
        FileFormat::CompiledText => read_compiled_text(path)?,
        FileFormat::CompiledBinary => read_compiled_binary(path)?,
    };
    Ok(LoadedConfiguration {
        configuration,
        sources: SourceMap::default(),
        warnings: 0,
    })
}

fn read_rain(path: &str, as_json: bool) -> Result<LoadedConfiguration, CommandError> {
    let outcome = load(&Disk, path);
    output::findings(&outcome.sources, &outcome.findings, as_json)?;
    if outcome.findings.iter().any(is_unreadable_first_file) {
        return Err(CommandError::Reported(ExitStatus::Unusable));
    }
    if let Some(configuration) = outcome.configuration {
        return Ok(LoadedConfiguration {
            configuration,
            sources: outcome.sources,
            warnings: outcome.findings.len(),
        });
    }
    if !as_json {
        let errors = outcome.findings.iter().filter(|finding| finding.is_error());
        eprintln!("{path}: {}", count_of(errors.count(), "error"));
    }
    Err(CommandError::Reported(ExitStatus::Found))
}

/// Whether a finding is about the first file itself and not about its contents.
fn is_unreadable_first_file(finding: &Finding) -> bool {
    let is_about_reading = matches!(
        finding.code,
        FindingCode::Missing
            | FindingCode::Unreadable
            | FindingCode::TooLarge
            | FindingCode::NotUtf8
    );
    is_about_reading && finding.span.file == FileId(0) && finding.span.end == 0
}

/// A number with its noun, such as "2 errors".
pub(crate) fn count_of(count: usize, noun: &str) -> String {
    let plural = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{plural}")
}

fn read_compiled_binary(path: &str) -> Result<Configuration, CommandError> {
    let bytes = fs::read(path).map_err(|error| CommandError::unusable(path, error))?;
    check_routable(path, schema::from_binary(&bytes))
}

fn read_compiled_text(path: &str) -> Result<Configuration, CommandError> {
    let bytes = fs::read(path).map_err(|error| CommandError::unusable(path, error))?;
    let text = std::str::from_utf8(&bytes).map_err(|error| CommandError::unusable(path, error))?;
    check_routable(path, schema::from_text(text))
}

/// Checks that a routing table can be built from a configuration.
fn check_routable(
    path: &str,
    decoded: Result<Configuration, schema::DecodeError>,
) -> Result<Configuration, CommandError> {
    let routable = decoded.and_then(|configuration| match Table::new(&configuration) {
        Ok(_) => Ok(configuration),
        Err(error) => Err(schema::DecodeError::binary(error)),
    });
    routable.map_err(|error| CommandError::MalformedConfiguration {
        path: path.to_owned(),
        error,
    })
}

/// Replaces a file atomically: a reader sees either the complete old file or the complete new one. Symbolic links and
/// permissions are preserved.
///
/// # Errors
/// If the new file cannot be written in the same folder, or cannot be renamed to `path`.
pub(crate) fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let path = fs::canonicalize(path).unwrap_or_else(|_| path.to_owned());
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let permissions = match fs::metadata(&path) {
        Ok(replaced) => replaced.permissions(),
        Err(_) => Permissions::from_mode(NEW_FILE_MODE),
    };
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(bytes)?;
    file.as_file().set_permissions(permissions)?;
    file.as_file().sync_all()?;
    file.persist(&path).map_err(|error| error.error)?;
    Ok(())
}

/// Prints semantic changes, one per line.
pub(crate) fn print_changes(changes: &[Change], as_json: bool) -> io::Result<()> {
    for change in changes {
        if as_json {
            output::json(&change_json(change))?;
        } else {
            output::line(&change.to_string())?;
        }
    }
    Ok(())
}

fn change_json(change: &Change) -> Value {
    match change {
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
    }
}
