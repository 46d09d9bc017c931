//! `rainstand-simhost`: the decision module on the simulator's wire.
//! It decodes, maps ids to small indices, calls, and encodes. It decides nothing.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

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
        let ready = fleet
            .take(text, &mut reply)
            .map_err(|e| format!("line {number}: {e}"))?;
        if ready {
            let sent = output.write_all(&reply).and_then(|()| output.flush());
            sent.map_err(|e| format!("writing the reply after line {number}: {e}"))?;
            reply.clear();
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_line_that_cannot_be_taken_is_named_and_an_unknown_one_is_passed_over() {
        let cases = [
            (
                "{\"msg\":\"clock\",\"atTimeS\":1}\n{\"msg\":\"new\"}\n{\"msg\":\"go\"}\n",
                None,
            ),
            (
                "{\"msg\":\"go\"}\n{oops}\n",
                Some("line 2: not a JSON value"),
            ),
            ("[]\n", Some("line 1: not a JSON object")),
            (
                "{\"msg\":\"clock\",\"atTimeS\":-1}\n",
                Some("line 1: atTimeS: "),
            ),
            (
                "{\"msg\":\"quiesce\",\"nodeId\":\"n\"}\n",
                Some("line 1: quiesce: n was never born"),
            ),
            (
                "{\"msg\":\"born\",\"nodeId\":\"n\"}\n",
                Some("line 1: born: entropy: no whole number"),
            ),
        ];
        for (input, wrong) in cases {
            let mut out = Vec::new();
            let end = super::serve(input.as_bytes(), &mut out);
            assert!(
                matches!((&end, wrong), (Ok(()), None))
                    || end.unwrap_err().starts_with(wrong.unwrap())
            );
            assert_eq!(out.is_empty(), !input.contains("go"));
        }
    }
}
