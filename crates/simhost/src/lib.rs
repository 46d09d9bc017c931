//! Adapter between the simulator's line protocol and the admission controller.
//!
//! Each line is a JSON message. An event is decoded, its request id is mapped to an index, the controller of its node
//! is called, and the controller's orders are encoded as the reply. This crate makes no decisions.

mod error;
mod event;
mod fleet;
mod node;
mod policy_host;

pub use error::{MessageError, ServeError};

use fleet::{Fleet, Handled};
use std::io::{BufRead, Write};

/// Serves the simulator until `input` ends: after each complete batch of events, the reply is written and flushed.
///
/// # Errors
/// If a line cannot be read or handled, or if a reply cannot be written.
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
