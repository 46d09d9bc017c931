//! Matches the frames of both directions to calls and their outcomes.
//!
//! `Event::Call` is emitted at the last byte of a call, `Event::Ticket` when its outcome is known: at its
//! answer, or else at the end of the connection. A call or answer that a hole truncates is counted, never matched.

use crate::frames::{FrameEvent, Frames, StopReason};
use crate::packet::End;
use crate::stream::{CloseReason, Sink};
use rainstand_protocol::thrift::{self, What};
use xxhash_rust::xxh3::xxh3_64;

/// Limit of unanswered calls per connection; above it, the oldest is reported as unanswered. The protocol
/// allows 32.
pub const MAX_OPEN_CALLS: usize = 256;

/// Limit of bytes of open calls, early answers and incomplete frames over all connections; above it, further
/// ones are dropped and counted.
pub const MAX_BUFFERED_BYTES: usize = 24 << 20;

/// One call of `process`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Time of its last byte, in nanoseconds of Unix time.
    pub at: u64,
    /// Connections are numbered in the order of their first appearance in the capture.
    pub connection: u32,
    pub seq: i32,
    pub fields: Vec<(String, String)>,
    pub body_length: usize,
    /// xxh3 of the body.
    pub body_hash: u64,
}

impl Call {
    /// A text field, empty if absent.
    pub fn field(&self, key: &str) -> &str {
        self.fields
            .iter()
            .find(|(name, _)| name == key)
            .map_or("", |(_, value)| value)
    }
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Honoured {
        body_length: usize,
        body_hash: u64,
    },
    /// Rejected; with the fields of the response.
    Dismissed {
        fields: Vec<(String, String)>,
    },
    GivenUp,
    Exception {
        code: i32,
    },
    /// The connection ended or the caller cancelled the call before an answer.
    Gone,
    /// The capture shows no answer, but there may have been one.
    None,
}

impl Outcome {
    /// The name in command-line output.
    pub fn word(&self) -> &'static str {
        match self {
            Outcome::Honoured { .. } => "honoured",
            Outcome::Dismissed { .. } => "dismissed",
            Outcome::GivenUp => "given_up",
            Outcome::Exception { .. } => "exception",
            Outcome::Gone => "gone",
            Outcome::None => "none",
        }
    }
}

/// A call with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub call: Call,
    pub outcome: Outcome,
    /// Time of the answer's last byte, in nanoseconds of Unix time; none if there is no answer.
    pub answered: Option<u64>,
    /// When the caller cancelled it, in nanoseconds of Unix time.
    pub left: Option<u64>,
}

/// The events of a capture, in packet order.
#[derive(Debug)]
pub enum Event<'e> {
    Opened {
        connection: u32,
        ends: [End; 2],
        at: u64,
    },
    /// A complete call. Only this event has its body and its frame (without the length prefix).
    /// `side` is the caller's index in the connection's `ends`.
    Call {
        call: &'e Call,
        body: &'e [u8],
        frame: &'e [u8],
        side: usize,
    },
    /// A complete answer.
    Answer {
        connection: u32,
        seq: i32,
        frame: &'e [u8],
        at: u64,
    },
    /// A caller cancelled an earlier call.
    Left {
        connection: u32,
        seq: i32,
        at: u64,
    },
    Ticket(Ticket),
    Closed {
        connection: u32,
        reason: CloseReason,
        at: u64,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub frames: u64,
    pub calls: u64,
    /// Calls by outcome.
    pub honoured: u64,
    pub dismissed: u64,
    pub given_up: u64,
    pub exceptions: u64,
    pub gone: u64,
    pub none: u64,
    /// Calls and answers truncated by a hole.
    pub cut_calls: u64,
    pub cut_answers: u64,
    /// Truncated frames with too few bytes to determine their kind.
    pub cut_others: u64,
    /// Answers to calls that are missing from the capture or truncated.
    pub answers_alone: u64,
    /// Duplicate answers to a call.
    pub answered_twice: u64,
    /// Calls that reuse the sequence number of an open call.
    pub repeated_numbers: u64,
    pub left: u64,
    pub probes: u64,
    pub shutdowns: u64,
    /// Complete frames that are not a message of the protocol.
    pub unreadable: u64,
    /// Directions not parsed, or not to their end, by reason, and the unparsed bytes.
    pub lost_midway: u64,
    pub lost_hole: u64,
    pub lost_too_long: u64,
    pub lost_not_thrift: u64,
    pub unread_bytes: u64,
    /// Calls reported as unanswered, answers dropped and directions stopped at the memory limit.
    pub let_go: u64,
}

/// The frames and open calls of a connection.
pub struct ConnectionState {
    number: u32,
    directions: [Frames; 2],
    /// Whether a direction has had a readable frame.
    has_readable_frame: [bool; 2],
    open: Vec<Open>,
    /// Sequence numbers of truncated calls and of the last answered ones, to classify further answers.
    truncated_seqs: Vec<i32>,
    answered_seqs: Vec<i32>,
    /// Answers captured before their calls: sequence number, outcome and time.
    early_answers: Vec<(i32, Outcome, u64)>,
    /// Whether bytes of the connection are missing.
    has_holes: bool,
}

struct Open {
    call: Call,
    left: Option<u64>,
}

/// Limit of remembered answered sequence numbers, which detect duplicate answers, and of early answers.
const MAX_REMEMBERED_ANSWERS: usize = 64;

/// Parses the bytes of streams and emits events.
pub struct CallMatcher<F> {
    on_event: F,
    counts: Counts,
    /// Total that [`MAX_BUFFERED_BYTES`] limits.
    buffered: usize,
}

impl<F: FnMut(Event<'_>)> CallMatcher<F> {
    pub fn new(on_event: F) -> Self {
        Self {
            on_event,
            counts: Counts::default(),
            buffered: 0,
        }
    }

    pub fn end(self) -> Counts {
        self.counts
    }

    fn complete_call(&mut self, open: Open, outcome: Outcome, answered: Option<u64>) {
        let count = match outcome {
            Outcome::Honoured { .. } => &mut self.counts.honoured,
            Outcome::Dismissed { .. } => &mut self.counts.dismissed,
            Outcome::GivenUp => &mut self.counts.given_up,
            Outcome::Exception { .. } => &mut self.counts.exceptions,
            Outcome::Gone => &mut self.counts.gone,
            Outcome::None => &mut self.counts.none,
        };
        *count += 1;
        (self.on_event)(Event::Ticket(Ticket {
            call: open.call,
            outcome,
            answered,
            left: open.left,
        }));
    }

    /// Handles a complete frame.
    fn frame(
        &mut self,
        state: &mut DirectionContext<'_>,
        frame: &[u8],
        at: u64,
    ) -> Result<(), StopReason> {
        self.counts.frames += 1;
        let parsed = match thrift::kind(frame) {
            Some(thrift::CALL | thrift::ONEWAY) => self.handle_request(state, frame, at),
            Some(_) => self.handle_answer(state, frame, at),
            None => None,
        };
        match parsed {
            Some(()) => *state.has_readable_frame = true,
            // A direction without any readable frame has another protocol.
            None if !*state.has_readable_frame => return Err(StopReason::NotThrift),
            None => self.counts.unreadable += 1,
        }
        Ok(())
    }

    fn handle_request(
        &mut self,
        state: &mut DirectionContext<'_>,
        frame: &[u8],
        at: u64,
    ) -> Option<()> {
        let message = thrift::message(frame).ok()?;
        match message.name {
            b"process" if !message.oneway => {
                let thrift::ProcessArgs { fields, body } =
                    thrift::process_args(message.args).ok()?;
                let body = body.unwrap_or(&[]);
                let call = Call {
                    at,
                    connection: state.number,
                    seq: message.seq,
                    fields: to_owned_fields(fields.unwrap_or_default()),
                    body_length: body.len(),
                    body_hash: xxh3_64(body),
                };
                self.counts.calls += 1;
                (self.on_event)(Event::Call {
                    call: &call,
                    body,
                    frame,
                    side: state.side,
                });
                if let Some(duplicate) =
                    state.open.iter().position(|open| open.call.seq == call.seq)
                {
                    self.counts.repeated_numbers += 1;
                    let duplicate = state.open.remove(duplicate);
                    self.buffered = self
                        .buffered
                        .saturating_sub(open_call_bytes(&duplicate.call.fields));
                    self.complete_call(duplicate, Outcome::None, None);
                }
                if state.open.len() >= MAX_OPEN_CALLS {
                    let oldest = state.open.remove(0);
                    self.buffered = self
                        .buffered
                        .saturating_sub(open_call_bytes(&oldest.call.fields));
                    self.complete_call(oldest, Outcome::None, None);
                }
                state.answered_seqs.retain(|seq| *seq != call.seq);
                if let Some(index) = state
                    .early_answers
                    .iter()
                    .position(|(seq, ..)| *seq == call.seq)
                {
                    let (seq, outcome, at) = state.early_answers.remove(index);
                    state.remember_answered(seq);
                    self.complete_call(Open { call, left: None }, outcome, Some(at));
                    self.buffered = self.buffered.saturating_sub(EARLY_ANSWER_BYTES);
                } else if self.buffered + open_call_bytes(&call.fields) > MAX_BUFFERED_BYTES {
                    self.counts.let_go += 1;
                    self.complete_call(Open { call, left: None }, Outcome::None, None);
                } else {
                    self.buffered += open_call_bytes(&call.fields);
                    state.open.push(Open { call, left: None });
                }
            }
            b"giveUp" => {
                let seq = thrift::give_up_args(message.args).ok()??;
                self.counts.left += 1;
                if let Some(open) = state.open.iter_mut().find(|open| open.call.seq == seq) {
                    open.left.get_or_insert(at);
                }
                (self.on_event)(Event::Left {
                    connection: state.number,
                    seq,
                    at,
                });
            }
            b"probe" => {
                thrift::probe_args(message.args).ok()?;
                self.counts.probes += 1;
            }
            b"shutdown" => self.counts.shutdowns += 1,
            _ => return None,
        }
        Some(())
    }

    fn handle_answer(
        &mut self,
        state: &mut DirectionContext<'_>,
        frame: &[u8],
        at: u64,
    ) -> Option<()> {
        let answer = thrift::answered(frame).ok()?;
        if answer.name == b"probe" {
            return Some(());
        }
        (self.on_event)(Event::Answer {
            connection: state.number,
            seq: answer.seq,
            frame,
            at,
        });
        let outcome = match answer.what {
            What::Answer { body, .. } => Outcome::Honoured {
                body_length: body.len(),
                body_hash: xxh3_64(body),
            },
            What::Backoff(fields) => Outcome::Dismissed {
                fields: to_owned_fields(fields),
            },
            What::Lost => Outcome::GivenUp,
            What::Exception { code, .. } => Outcome::Exception { code },
        };
        if let Some(open) = state
            .open
            .iter()
            .position(|open| open.call.seq == answer.seq)
        {
            let open = state.open.remove(open);
            self.buffered = self
                .buffered
                .saturating_sub(open_call_bytes(&open.call.fields));
            state.remember_answered(answer.seq);
            self.complete_call(open, outcome, Some(at));
        } else if state.answered_seqs.contains(&answer.seq)
            || state
                .early_answers
                .iter()
                .any(|(seq, ..)| *seq == answer.seq)
        {
            self.counts.answered_twice += 1;
        } else if state.truncated_seqs.contains(&answer.seq)
            || state.early_answers.len() >= MAX_REMEMBERED_ANSWERS
        {
            self.counts.answers_alone += 1;
        } else if self.buffered + EARLY_ANSWER_BYTES > MAX_BUFFERED_BYTES {
            self.counts.let_go += 1;
            self.counts.answers_alone += 1;
        } else {
            self.buffered += EARLY_ANSWER_BYTES;
            // Its call may follow: captures are slightly out of order.
            state.early_answers.push((answer.seq, outcome, at));
        }
        Some(())
    }

    fn count_truncated(&mut self, truncated_seqs: &mut Vec<i32>, frame: &[u8]) {
        match thrift::kind(frame) {
            Some(thrift::CALL | thrift::ONEWAY) => {
                self.counts.cut_calls += 1;
                if let Ok(message) = thrift::message(frame) {
                    if truncated_seqs.len() >= MAX_OPEN_CALLS {
                        truncated_seqs.remove(0);
                    }
                    truncated_seqs.push(message.seq);
                }
            }
            Some(_) => self.counts.cut_answers += 1,
            None => self.counts.cut_others += 1,
        }
    }

    fn count_stop_reason(&mut self, reason: Option<StopReason>) {
        match reason {
            None => {}
            Some(StopReason::StartMissing) => self.counts.lost_midway += 1,
            Some(StopReason::Hole | StopReason::MemoryLimit) => self.counts.lost_hole += 1,
            Some(StopReason::FrameTooLong) => self.counts.lost_too_long += 1,
            Some(StopReason::NotThrift) => self.counts.lost_not_thrift += 1,
        }
    }
}

/// The parts of [`ConnectionState`] that a frame may change while its direction's bytes are borrowed.
struct DirectionContext<'s> {
    number: u32,
    side: usize,
    has_readable_frame: &'s mut bool,
    open: &'s mut Vec<Open>,
    truncated_seqs: &'s mut Vec<i32>,
    answered_seqs: &'s mut Vec<i32>,
    early_answers: &'s mut Vec<(i32, Outcome, u64)>,
}

/// Bytes counted for an early answer: the maximum of a frame.
const EARLY_ANSWER_BYTES: usize = 8 << 10;

/// Approximate bytes that an open call occupies.
fn open_call_bytes(fields: &[(String, String)]) -> usize {
    256 + fields
        .iter()
        .map(|(key, value)| 48 + key.len() + value.len())
        .sum::<usize>()
}

impl DirectionContext<'_> {
    fn remember_answered(&mut self, seq: i32) {
        if self.answered_seqs.len() >= MAX_REMEMBERED_ANSWERS {
            self.answered_seqs.remove(0);
        }
        self.answered_seqs.push(seq);
    }
}

fn to_owned_fields(fields: Vec<(&[u8], &[u8])>) -> Vec<(String, String)> {
    let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
    fields
        .into_iter()
        .map(|(key, value)| (text(key), text(value)))
        .collect()
}

impl<F: FnMut(Event<'_>)> Sink for CallMatcher<F> {
    type State = ConnectionState;

    fn opened(&mut self, number: u32, ends: [End; 2], at: u64) -> ConnectionState {
        (self.on_event)(Event::Opened {
            connection: number,
            ends,
            at,
        });
        let directions = [Frames::default(), Frames::default()];
        ConnectionState {
            number,
            directions,
            has_readable_frame: [false; 2],
            open: Vec::new(),
            truncated_seqs: Vec::new(),
            answered_seqs: Vec::new(),
            early_answers: Vec::new(),
            has_holes: false,
        }
    }

    fn bytes(&mut self, state: &mut ConnectionState, side: usize, bytes: &[u8], at: u64) {
        let ConnectionState {
            number,
            directions,
            has_readable_frame,
            open,
            truncated_seqs,
            answered_seqs,
            early_answers,
            ..
        } = state;
        let has_readable_frame = &mut has_readable_frame[side];
        let before = directions[side].buffered_bytes();
        directions[side].bytes(bytes, at, |frame_event| {
            let mut state = DirectionContext {
                number: *number,
                side,
                has_readable_frame,
                open,
                truncated_seqs,
                answered_seqs,
                early_answers,
            };
            match frame_event {
                FrameEvent::Complete(frame, at) => self.frame(&mut state, frame, at),
                FrameEvent::Truncated(frame) => {
                    self.count_truncated(state.truncated_seqs, frame);
                    Ok(())
                }
            }
        });
        self.buffered = (self.buffered + directions[side].buffered_bytes()).saturating_sub(before);
        if self.buffered > MAX_BUFFERED_BYTES && directions[side].buffered_bytes() > 0 {
            self.counts.let_go += 1;
            self.buffered -= directions[side].buffered_bytes().min(self.buffered);
            directions[side].stop(StopReason::MemoryLimit);
        }
    }

    fn hole(&mut self, state: &mut ConnectionState, side: usize, length: u64, _at: u64) {
        let ConnectionState {
            directions,
            truncated_seqs,
            has_holes,
            ..
        } = state;
        *has_holes = true;
        let before = directions[side].buffered_bytes();
        directions[side].hole(length, |frame_event| {
            if let FrameEvent::Truncated(frame) = frame_event {
                self.count_truncated(truncated_seqs, frame);
            }
        });
        self.buffered = (self.buffered + directions[side].buffered_bytes()).saturating_sub(before);
    }

    fn start_missing(&mut self, state: &mut ConnectionState, side: usize, _at: u64) {
        state.directions[side].stop(StopReason::StartMissing);
    }

    fn closed(&mut self, state: ConnectionState, reason: CloseReason, at: u64) {
        let ConnectionState {
            number,
            mut directions,
            has_readable_frame,
            open,
            mut truncated_seqs,
            early_answers,
            has_holes,
            ..
        } = state;
        self.counts.answers_alone += early_answers.len() as u64;
        let released = early_answers.len() * EARLY_ANSWER_BYTES
            + directions.iter().map(Frames::buffered_bytes).sum::<usize>();
        for direction in &mut directions {
            direction.end(|frame_event| {
                if let FrameEvent::Truncated(frame) = frame_event {
                    self.count_truncated(&mut truncated_seqs, frame);
                }
            });
            self.count_stop_reason(direction.stopped);
            self.counts.unread_bytes += direction.unread_bytes;
        }
        // An answer may be in the unparsed bytes or after the end of the capture.
        let answers_read = directions
            .iter()
            .all(|direction| direction.stopped.is_none())
            && (has_readable_frame[0] && has_readable_frame[1]
                || reason != CloseReason::CaptureEnded);
        let unanswered = answers_read
            && !has_holes
            && matches!(reason, CloseReason::Finished | CloseReason::Reset);
        self.buffered = self.buffered.saturating_sub(released);
        for open in open {
            self.buffered = self
                .buffered
                .saturating_sub(open_call_bytes(&open.call.fields));
            let outcome = if unanswered || open.left.is_some() {
                Outcome::Gone
            } else {
                Outcome::None
            };
            self.complete_call(open, outcome, None);
        }
        (self.on_event)(Event::Closed {
            connection: number,
            reason,
            at,
        });
    }
}
