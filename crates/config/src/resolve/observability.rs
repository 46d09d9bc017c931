//! `log` and `recording` blocks: how log lines are written, and where traffic is recorded.

use super::bounds::optional;
use super::reader::{BlockReader, Keyword};
use crate::schema::{self, LogForm};
use crate::units::Dimension;

const LOG_FORMS: [Keyword<LogForm>; 2] = [("text", LogForm::Text), ("json", LogForm::Json)];
const DEFAULT_FILE_BYTES: u64 = 64 << 20;
const MAX_FILE_BYTES: u64 = 1 << 40;
const DEFAULT_FILES: u64 = 8;
const MAX_FILES: u64 = 10_000;

pub(super) fn log(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Log {
    let form = r.keyword_or("form", &LOG_FORMS, LogForm::Text);
    schema::Log {
        name: r.name(),
        form: form.into(),
    }
}

pub(super) fn recording(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Recording {
    let folder = r.required_name("folder", "a folder such as `\"/var/lib/rainstand\"`");
    let file_bytes = optional(DEFAULT_FILE_BYTES, MAX_FILE_BYTES);
    schema::Recording {
        name: r.name(),
        folder,
        file_bytes: r.amount("file-size", Dimension::Size, file_bytes),
        files: r.integer("files", optional(DEFAULT_FILES, MAX_FILES)),
        links: r.yes_no("links", false),
    }
}
