//! `rainstand-simhost`: the decision module on the simulator's wire.
//! It decodes, maps ids to small indices, calls, and encodes. It decides nothing.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let stdout = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match serve(stdin, stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("rainstand-simhost: {why}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut fleet = wire::Fleet::default();
    let mut line = Vec::new();
    let mut reply = Vec::new();
    for number in 1u64.. {
        line.clear();
        let read = input.read_until(b'\n', &mut line);
        if read.map_err(|e| format!("reading line {number}: {e}"))? == 0 {
            break;
        }
        let text = line.trim_ascii();
        if text.is_empty() {
            continue;
        }
        let ready = fleet.take(text, &mut reply).map_err(|e| format!("line {number}: {e}"))?;
        if ready {
            let sent = output.write_all(&reply).and_then(|()| output.flush());
            sent.map_err(|e| format!("writing the reply after line {number}: {e}"))?;
            reply.clear();
        }
    }
    Ok(())
}
