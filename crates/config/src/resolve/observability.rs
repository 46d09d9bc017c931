//! `log` and `recording` blocks.

use super::{or, Reader};
use crate::schema::{self, LogForm};
use crate::units::Dimension;

pub(super) fn log(r: &mut Reader<'_, '_, '_, '_>) -> schema::Log {
    let words = [("text", LogForm::Text), ("json", LogForm::Json)];
    let form = r
        .word("form", &words, Some(LogForm::Text))
        .unwrap_or(LogForm::Text);
    schema::Log {
        name: r.name(),
        form: form.into(),
    }
}

pub(super) fn recording(r: &mut Reader<'_, '_, '_, '_>) -> schema::Recording {
    let folder = r.text("folder", "a folder such as `\"/var/lib/rainstand\"`");
    if folder.is_none() && r.entry("folder").is_none() {
        r.missing("folder");
    }
    schema::Recording {
        name: r.name(),
        folder: folder.map_or(String::new(), |folder| folder.text.into_owned()),
        file_bytes: r.amount("file-size", Dimension::Size, or(64 << 20, 1 << 40)),
        files: r.whole("files", or(8, 10_000)),
        links: r
            .word("links", &[("yes", true), ("no", false)], Some(false))
            .unwrap_or(false),
    }
}
