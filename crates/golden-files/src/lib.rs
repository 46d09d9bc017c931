//! Golden files for tests: bytes and texts that other versions of these programs, or other programs, must be able to
//! read.
//!
//! A golden file is written once, by the version that introduced it, and committed. From then on the test that reads
//! it fails if the current code produces anything else. An existing file is never overwritten; if the environment
//! variable [`WRITE_VARIABLE`] is set, a missing file is created.
//!
//! Byte sequences are stored as text, one named sequence per line: the name, a space, and the bytes in lower-case
//! hexadecimal digits.

use std::fmt::Write as _;
use std::path::Path;

/// The environment variable that, if set to any value, creates missing golden files instead of failing the test.
pub const WRITE_VARIABLE: &str = "GOLDEN_WRITE";

/// A byte sequence with the name under which it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedBytes {
    /// Unique in its file; must not contain white space.
    pub name: String,
    /// The bytes, which must not change.
    pub bytes: Vec<u8>,
}

impl NamedBytes {
    /// Creates a named sequence.
    pub fn new(name: impl Into<String>, bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            name: name.into(),
            bytes: bytes.into(),
        }
    }
}

/// Compares `actual` with the text stored at `path`.
///
/// # Panics
/// If the file is missing (and is not to be created) or differs; the message names the first differing line.
pub fn assert_text(path: impl AsRef<Path>, actual: &str) {
    let path = path.as_ref();
    if !path.exists() && std::env::var_os(WRITE_VARIABLE).is_some() {
        create(path, actual);
    }
    let expected = std::fs::read_to_string(path).unwrap_or_else(|error| {
        panic!(
            "{}: {error}; set {WRITE_VARIABLE} to create it",
            path.display()
        )
    });
    if expected == actual {
        return;
    }
    let differing = expected
        .lines()
        .zip(actual.lines())
        .position(|(expected, actual)| expected != actual);
    let line = differing.unwrap_or_else(|| expected.lines().count().min(actual.lines().count()));
    panic!(
        "{}, line {}: expected {:?}, got {:?}",
        path.display(),
        line + 1,
        expected.lines().nth(line).unwrap_or("the end"),
        actual.lines().nth(line).unwrap_or("the end"),
    );
}

/// Compares byte sequences, in this order, with those stored at `path`.
///
/// # Panics
/// As [`assert_text`].
pub fn assert_bytes(path: impl AsRef<Path>, actual: &[NamedBytes]) {
    let mut text = String::new();
    for NamedBytes { name, bytes } in actual {
        let _ = writeln!(text, "{name} {}", format_hex(bytes));
    }
    assert_text(path, &text);
}

/// The byte sequences stored at `path`.
///
/// # Panics
/// If the file cannot be read or is malformed.
pub fn read_bytes(path: impl AsRef<Path>) -> Vec<NamedBytes> {
    let path = path.as_ref();
    let text =
        std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let parse = |line: &str| {
        let (name, digits) = line.split_once(' ')?;
        Some(NamedBytes::new(name, parse_hex(digits)?))
    };
    text.lines()
        .map(|line| {
            parse(line).unwrap_or_else(|| panic!("{}: malformed line: {line}", path.display()))
        })
        .collect()
}

fn create(path: &Path, text: &str) {
    if let Some(directory) = path.parent() {
        std::fs::create_dir_all(directory)
            .unwrap_or_else(|error| panic!("{}: {error}", directory.display()));
    }
    std::fs::write(path, text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
}

fn format_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(
        String::with_capacity(bytes.len() * 2),
        |mut digits, byte| {
            let _ = write!(digits, "{byte:02x}");
            digits
        },
    )
}

fn parse_hex(digits: &str) -> Option<Vec<u8>> {
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    (0..digits.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(digits.get(start..start + 2)?, 16).ok())
        .collect()
}
