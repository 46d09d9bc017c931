//! `rainstand lab plot`: draws the results of a folder as SVG pictures and an HTML page.

use crate::error::{CommandError, CommandResult};
use crate::output::{line, ExitStatus};
use clap::Args;
use rainstand_experiments::jobs::COMPILED;
use rainstand_experiments::{page, plot, results};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The HTML page with all pictures.
const PAGE_FILE: &str = "index.html";

#[derive(Args)]
pub(crate) struct Options {
    folder: PathBuf,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let folder = &options.folder;
    let unusable_folder = |reason| CommandError::unusable(folder.display(), reason);
    let results = results::read(folder).map_err(unusable_folder)?;
    let compiled = fs::read_to_string(folder.join(COMPILED)).unwrap_or_default();
    let pictures = plot::pictures(&results).map_err(unusable_folder)?;
    let page = page::page(&results, &compiled).map_err(unusable_folder)?;
    for picture in pictures {
        write(&folder.join(picture.file), &picture.svg)?;
    }
    write(&folder.join(PAGE_FILE), &page)?;
    Ok(ExitStatus::Success)
}

/// Writes a file and prints its path.
fn write(path: &Path, contents: &str) -> io::Result<()> {
    fs::write(path, contents)?;
    line(&path.display().to_string())
}
