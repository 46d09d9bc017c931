//! `rainstand-simhost`: serves the simulator on standard input and output.

use std::io::{self, BufWriter};
use std::process::ExitCode;

/// Capacity of the output buffer, for the reply to a batch of events.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let stdout = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    match rainstand_simhost::serve(stdin, stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rainstand-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
