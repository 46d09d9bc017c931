//! Runs the program as an operator does, and returns its exit code and output.

#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::pedantic,
    reason = "shared by test targets, each of which uses a part of it"
)]

use serde_json::Value;
use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_rainstand");

/// Returns the exit code, standard output and standard error.
pub fn run(folder: &Path, arguments: &[&str]) -> (i32, String, String) {
    exit_code_and_output(command(folder, arguments).output().unwrap())
}

/// Like [`run`], with text for standard input.
pub fn run_with_input(folder: &Path, arguments: &[&str], input: &str) -> (i32, String, String) {
    let mut child = command(folder, arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that does not read its input may have ended already.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    exit_code_and_output(child.wait_with_output().unwrap())
}

/// Like [`run`], with standard output line by line: each parsed as JSON, or as a string if it is not JSON.
pub fn run_lines(folder: &Path, arguments: &[&str]) -> (i32, Vec<Value>, String) {
    let (code, stdout, stderr) = run(folder, arguments);
    let lines = stdout
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or(Value::from(line)))
        .collect();
    (code, lines, stderr)
}

pub fn command(folder: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).current_dir(folder);
    command
}

fn exit_code_and_output(output: Output) -> (i32, String, String) {
    (
        output.status.code().unwrap(),
        String::from_utf8(output.stdout).unwrap(),
        String::from_utf8(output.stderr).unwrap(),
    )
}
