//! Calls of retries: the caller's, with the mark of a retry and a trace of their own.

use rainstand_protocol::thrift::{self, ProcessArgs};

/// Digits of a trace as the protocol has it, in hexadecimal.
const TRACE_DIGITS: usize = 16;
/// The part of a trace that differs between the attempts of a request: its last four digits.
const ATTEMPT_MASK: u32 = 0xffff;
/// Odd, so that no two of 65,536 attempts get the same digits.
const ATTEMPT_MULTIPLIER: u32 = 0x9fb9;

/// The trace of an attempt, from the request's `trace` and the attempt's number from 1. The protocol wants another for
/// each, and who reads logs wants to find the first: only the last four of the sixteen digits change. A trace of another
/// form is kept.
///
/// ```
/// use rainstand_forwarder::upstream::retry_trace;
/// assert_eq!(retry_trace("9b1f03aa5c7e2d41", 1), "9b1f03aa5c7e2d41");
/// assert_eq!(retry_trace("9b1f03aa5c7e2d41", 2), "9b1f03aa5c7eb2f8");
/// assert_eq!(retry_trace("odd", 2), "odd");
/// ```
pub fn retry_trace(trace: &str, attempt_number: u32) -> String {
    match (u64::from_str_radix(trace, 16), trace.len()) {
        (Ok(number), TRACE_DIGITS) => {
            let retries = attempt_number.wrapping_sub(1);
            let difference = retries.wrapping_mul(ATTEMPT_MULTIPLIER) & ATTEMPT_MASK;
            format!("{:016x}", number ^ u64::from(difference))
        }
        _ => trace.to_owned(),
    }
}

/// The frame of a retry, from the arguments of the client's call.
pub(super) fn retry_call(
    sequence_number: i32,
    call_arguments: &[u8],
    attempt_number: u32,
) -> Vec<u8> {
    let text = |bytes| std::str::from_utf8(bytes).ok();
    // They were read on arrival, and every field was text.
    let ProcessArgs { fields, body } = thrift::process_args(call_arguments).unwrap_or_default();
    let mut fields: Vec<(&str, &str)> = fields
        .unwrap_or_default()
        .into_iter()
        .filter_map(|(key, value)| Some((text(key)?, text(value)?)))
        .collect();
    let trace_index = fields.iter().position(|(key, _)| *key == "trace");
    let trace = trace_index.map(|index| retry_trace(fields[index].1, attempt_number));
    if let (Some(index), Some(trace)) = (trace_index, &trace) {
        fields[index].1 = trace;
    }
    if !fields.iter().any(|(key, _)| *key == "redo") {
        fields.push(("redo", "1"));
    }
    thrift::process(sequence_number, &fields, body.unwrap_or_default())
}
