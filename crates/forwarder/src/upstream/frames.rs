//! Frames of retries: the client's call, marked as a retry, with a trace of its own.

use rainstand_protocol::thrift::{self, ProcessArgs};

/// Length of a trace in the protocol, in hexadecimal digits.
const TRACE_DIGITS: usize = 16;
/// Mask of the bits of a trace that differ between the attempts of a request: its last four digits.
const ATTEMPT_MASK: u32 = 0xffff;
/// Odd, so that no two of 65,536 attempts get the same digits.
const ATTEMPT_MULTIPLIER: u32 = 0x9fb9;

/// The trace of an attempt, derived from the request's `trace` and the attempt number, which starts at 1. The protocol
/// requires a distinct trace per attempt; only the last four of the sixteen digits change, so that the attempts can be
/// matched in logs. A trace of another form is returned unchanged.
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
pub(super) fn retry_frame(
    sequence_number: i32,
    call_arguments: &[u8],
    attempt_number: u32,
) -> Vec<u8> {
    let text = |bytes| std::str::from_utf8(bytes).ok();
    // They were decoded successfully on arrival, with text in every field.
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
