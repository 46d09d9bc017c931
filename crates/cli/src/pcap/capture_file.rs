//! Opens and reads capture files, and reports whether a file was read completely.

use crate::error::CommandError;
use crate::output::ExitStatus;
use indicatif::{ProgressBar, ProgressStyle};
use rainstand_capture::tickets::Event;
use rainstand_capture::{read, Summary};
use std::fs::File;
use std::io::{self, IsTerminal, Read};

/// Reads a capture. Prints a warning if it is truncated.
///
/// # Errors
/// If the file cannot be opened, or is not a capture.
pub(super) fn read_capture(
    path: &str,
    on_event: impl FnMut(Event<'_>),
) -> Result<Summary, CommandError> {
    let summary = read(open(path)?, on_event);
    if let Some(reason) = &summary.cut_off {
        if summary.file.format.is_empty() {
            return Err(CommandError::unusable(path, reason.as_str()));
        }
        eprintln!("rainstand: {path}: {reason}; the part before it was read");
    }
    Ok(summary)
}

/// `Found` for a truncated capture, `Success` for one that was read completely.
pub(super) fn exit_status(summary: &Summary) -> ExitStatus {
    if summary.cut_off.is_some() {
        ExitStatus::Found
    } else {
        ExitStatus::Success
    }
}

/// Opens a capture; `-` is standard input. If standard error is a terminal, a file gets a progress bar.
fn open(path: &str) -> Result<Box<dyn Read + Send>, CommandError> {
    if path == "-" {
        return Ok(Box::new(io::stdin()));
    }
    let unusable = |error| CommandError::unusable(path, error);
    let file = File::open(path).map_err(unusable)?;
    let metadata = file.metadata().map_err(unusable)?;
    if metadata.is_dir() {
        return Err(CommandError::unusable(path, "a folder, not a capture"));
    }
    if !io::stderr().is_terminal() {
        return Ok(Box::new(file));
    }
    let bar = ProgressBar::new(metadata.len());
    let style = ProgressStyle::with_template("{bar:30} {bytes} of {total_bytes}, {bytes_per_sec}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    Ok(Box::new(bar.wrap_read(file)))
}
