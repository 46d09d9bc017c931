//! Capture files: opened, read, and how much of one could be read.

use crate::error::CommandError;
use crate::output::ExitStatus;
use indicatif::{ProgressBar, ProgressStyle};
use rainstand_capture::tickets::Event;
use rainstand_capture::{read, Summary};
use std::fs::File;
use std::io::{self, IsTerminal, Read};

/// Reads a capture. That it is cut off is printed.
///
/// # Errors
/// If the file cannot be opened, or is no capture.
pub(super) fn read_capture(
    path: &str,
    on_event: impl FnMut(Event<'_>),
) -> Result<Summary, CommandError> {
    let summary = read(open(path)?, on_event);
    if let Some(reason) = &summary.cut_off {
        if summary.file.format.is_empty() {
            return Err(CommandError::unusable(path, reason.as_str()));
        }
        eprintln!("rainstand: {path}: {reason}; what stands before it was read");
    }
    Ok(summary)
}

/// Whether all of a capture was read.
pub(super) fn exit_status(summary: &Summary) -> ExitStatus {
    if summary.cut_off.is_some() {
        ExitStatus::Found
    } else {
        ExitStatus::Success
    }
}

/// Opens a capture, with a progress bar on a terminal for a file of a known size.
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
