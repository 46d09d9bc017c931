//! The admission controller behind the simulator's line protocol.
//!
//! Each line is a JSON message: events are decoded, ids mapped to small indices, the controller of the node that
//! the event names is called, and its orders are encoded as the answer. Nothing is decided here.

mod error;
mod event;
mod fleet;
mod node;
mod policy_host;

pub use error::{MessageError, ServeError};

use fleet::{Fleet, Handled};
use std::io::{BufRead, Write};

/// Serves the simulator until `input` ends: after each complete batch of events its answer is written and flushed.
///
/// # Errors
/// The first line that cannot be read or handled, or the first answer that cannot be written.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), ServeError> {
    let mut fleet = Fleet::default();
    let mut line = Vec::new();
    let mut reply = Vec::new();
    for number in 1u64.. {
        line.clear();
        let read = input.read_until(b'\n', &mut line);
        if read.map_err(|source| ServeError::Read {
            line: number,
            source,
        })? == 0
        {
            break;
        }
        let text = line.trim_ascii();
        if text.is_empty() {
            continue;
        }
        let handled = fleet.handle(text, &mut reply);
        match handled.map_err(|source| ServeError::Message {
            line: number,
            source,
        })? {
            Handled::Event => {}
            Handled::EndOfBatch => {
                let written = output.write_all(&reply).and_then(|()| output.flush());
                written.map_err(|source| ServeError::Write {
                    line: number,
                    source,
                })?;
                reply.clear();
            }
        }
    }
    Ok(())
}
