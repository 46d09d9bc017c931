//! Frames of both directions to calls and what came of them.
//!
//! A call is told when its last byte was seen, a ticket when its end is known: by its answer, else by the
//! end of its connection. What was told of a call that a hole cut is counted, never paired.

use crate::frames::{Frames, Lost, Told};
use crate::packet::End;
use crate::stream::{Closed, Sink};
use rainstand_protocol::thrift::{self, What};
use xxhash_rust::xxh3::xxh3_64;

/// Calls of one connection that wait for their answers; past it the oldest is told as unanswered. The
/// protocol allows 32.
pub const MOST_OPEN: usize = 256;

/// Bytes of open calls, of answers before their calls and of begun frames, over all connections; past it they
/// are let go, counted.
pub const MOST_HELD: usize = 24 << 20;

/// One call of `process`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// When its last byte was seen, nanoseconds of Unix time.
    pub at: u64,
    /// Connections are numbered as they first appear in the capture.
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

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Honoured {
        body_length: usize,
        body_hash: u64,
    },
    /// With the fields beside the answer.
    Dismissed {
        fields: Vec<(String, String)>,
    },
    GivenUp,
    Exception {
        code: i32,
    },
    /// The connection ended, or its caller left it, before an answer.
    Gone,
    /// The capture shows no answer, but there may have been one.
    None,
}

impl Outcome {
    /// As the command line tells it.
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

/// A call with its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub call: Call,
    pub outcome: Outcome,
    /// When the answer's last byte was seen; none if there was none.
    pub answered: Option<u64>,
    /// When its caller gave it up.
    pub left: Option<u64>,
}

/// What the capture tells, in the order of its packets.
#[derive(Debug)]
pub enum Event<'e> {
    Opened {
        connection: u32,
        ends: [End; 2],
        at: u64,
    },
    /// A call is whole; its body and its frame (without the length) are here only.
    /// `side`: its caller's place among the connection's ends.
    Call {
        call: &'e Call,
        body: &'e [u8],
        frame: &'e [u8],
        side: usize,
    },
    /// An answer to some call is whole.
    Answer {
        connection: u32,
        seq: i32,
        frame: &'e [u8],
        at: u64,
    },
    /// A caller gave up an earlier call.
    Left {
        connection: u32,
        seq: i32,
        at: u64,
    },
    Ticket(Ticket),
    Closed {
        connection: u32,
        how: Closed,
        at: u64,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub frames: u64,
    pub calls: u64,
    /// Calls by what came of them.
    pub honoured: u64,
    pub dismissed: u64,
    pub given_up: u64,
    pub exceptions: u64,
    pub gone: u64,
    pub none: u64,
    /// Calls and answers that a hole touches.
    pub cut_calls: u64,
    pub cut_answers: u64,
    /// Frames that a hole touches and of which too little is left to say what they were.
    pub cut_others: u64,
    /// Answers to calls that are not in the capture, or that a hole touches.
    pub answers_alone: u64,
    /// Second answers to one call.
    pub answered_twice: u64,
    /// Calls whose number was still open.
    pub repeated_numbers: u64,
    pub left: u64,
    pub probes: u64,
    pub shutdowns: u64,
    /// Whole frames that are no message of the protocol.
    pub unreadable: u64,
    /// Directions not read, or not to their end, by reason, and the bytes in them.
    pub lost_midway: u64,
    pub lost_hole: u64,
    pub lost_too_long: u64,
    pub lost_not_thrift: u64,
    pub unread_bytes: u64,
    /// Calls told as unanswered, answers dropped and directions let go, for memory.
    pub let_go: u64,
}

/// A connection's frames and open calls.
pub struct Paired {
    number: u32,
    halves: [Frames; 2],
    /// Whether a direction has told a readable frame.
    spoke: [bool; 2],
    open: Vec<Open>,
    /// Numbers of calls that a hole touches, and the last that were answered: an answer to one is known.
    cut: Vec<i32>,
    answered: Vec<i32>,
    /// Answers that the capture has before their calls.
    ahead: Vec<(i32, Outcome, u64)>,
    /// Something of it is missing.
    holes: bool,
}

struct Open {
    call: Call,
    left: Option<u64>,
}

/// Numbers that are remembered after their answer, to know a second one.
const REMEMBERED: usize = 64;

/// Takes the bytes of streams and tells events.
pub struct Pairing<F> {
    take: F,
    counts: Counts,
    /// Sum of what [`MOST_HELD`] bounds.
    held: usize,
}

impl<F: FnMut(Event<'_>)> Pairing<F> {
    pub fn new(take: F) -> Self {
        Self {
            take,
            counts: Counts::default(),
            held: 0,
        }
    }

    pub fn end(self) -> Counts {
        self.counts
    }

    fn ticket(&mut self, open: Open, outcome: Outcome, answered: Option<u64>) {
        let count = match outcome {
            Outcome::Honoured { .. } => &mut self.counts.honoured,
            Outcome::Dismissed { .. } => &mut self.counts.dismissed,
            Outcome::GivenUp => &mut self.counts.given_up,
            Outcome::Exception { .. } => &mut self.counts.exceptions,
            Outcome::Gone => &mut self.counts.gone,
            Outcome::None => &mut self.counts.none,
        };
        *count += 1;
        (self.take)(Event::Ticket(Ticket {
            call: open.call,
            outcome,
            answered,
            left: open.left,
        }));
    }

    /// One whole frame.
    fn frame(&mut self, state: &mut Talk<'_>, frame: &[u8], at: u64) -> Result<(), Lost> {
        self.counts.frames += 1;
        let good = match thrift::kind(frame) {
            Some(thrift::CALL | thrift::ONEWAY) => self.asked(state, frame, at),
            Some(_) => self.answered(state, frame, at),
            None => None,
        };
        match good {
            Some(()) => *state.spoke = true,
            // What never said a readable word is another protocol.
            None if !*state.spoke => return Err(Lost::NotThrift),
            None => self.counts.unreadable += 1,
        }
        Ok(())
    }

    fn asked(&mut self, state: &mut Talk<'_>, frame: &[u8], at: u64) -> Option<()> {
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
                    fields: owned(fields.unwrap_or_default()),
                    body_length: body.len(),
                    body_hash: xxh3_64(body),
                };
                self.counts.calls += 1;
                (self.take)(Event::Call {
                    call: &call,
                    body,
                    frame,
                    side: state.side,
                });
                if let Some(twin) = state.open.iter().position(|open| open.call.seq == call.seq) {
                    self.counts.repeated_numbers += 1;
                    let twin = state.open.remove(twin);
                    self.held = self.held.saturating_sub(weight(&twin.call.fields));
                    self.ticket(twin, Outcome::None, None);
                }
                if state.open.len() >= MOST_OPEN {
                    let oldest = state.open.remove(0);
                    self.held = self.held.saturating_sub(weight(&oldest.call.fields));
                    self.ticket(oldest, Outcome::None, None);
                }
                state.answered.retain(|seq| *seq != call.seq);
                if let Some(ahead) = state.ahead.iter().position(|(seq, ..)| *seq == call.seq) {
                    let (seq, outcome, at) = state.ahead.remove(ahead);
                    state.remember(seq);
                    self.ticket(Open { call, left: None }, outcome, Some(at));
                    self.held = self.held.saturating_sub(AHEAD);
                } else if self.held + weight(&call.fields) > MOST_HELD {
                    self.counts.let_go += 1;
                    self.ticket(Open { call, left: None }, Outcome::None, None);
                } else {
                    self.held += weight(&call.fields);
                    state.open.push(Open { call, left: None });
                }
            }
            b"giveUp" => {
                let seq = thrift::give_up_args(message.args).ok()??;
                self.counts.left += 1;
                if let Some(open) = state.open.iter_mut().find(|open| open.call.seq == seq) {
                    open.left.get_or_insert(at);
                }
                (self.take)(Event::Left {
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

    fn answered(&mut self, state: &mut Talk<'_>, frame: &[u8], at: u64) -> Option<()> {
        let told = thrift::answered(frame).ok()?;
        if told.name == b"probe" {
            return Some(());
        }
        (self.take)(Event::Answer {
            connection: state.number,
            seq: told.seq,
            frame,
            at,
        });
        let outcome = match told.what {
            What::Answer { body, .. } => Outcome::Honoured {
                body_length: body.len(),
                body_hash: xxh3_64(body),
            },
            What::Backoff(fields) => Outcome::Dismissed {
                fields: owned(fields),
            },
            What::Lost => Outcome::GivenUp,
            What::Exception { code, .. } => Outcome::Exception { code },
        };
        if let Some(open) = state.open.iter().position(|open| open.call.seq == told.seq) {
            let open = state.open.remove(open);
            self.held = self.held.saturating_sub(weight(&open.call.fields));
            state.remember(told.seq);
            self.ticket(open, outcome, Some(at));
        } else if state.answered.contains(&told.seq)
            || state.ahead.iter().any(|(seq, ..)| *seq == told.seq)
        {
            self.counts.answered_twice += 1;
        } else if state.cut.contains(&told.seq) || state.ahead.len() >= REMEMBERED {
            self.counts.answers_alone += 1;
        } else if self.held + AHEAD > MOST_HELD {
            self.counts.let_go += 1;
            self.counts.answers_alone += 1;
        } else {
            self.held += AHEAD;
            // Its call may come yet: captures are out of order by a little.
            state.ahead.push((told.seq, outcome, at));
        }
        Some(())
    }

    fn cut(&mut self, cut: &mut Vec<i32>, frame: &[u8]) {
        match thrift::kind(frame) {
            Some(thrift::CALL | thrift::ONEWAY) => {
                self.counts.cut_calls += 1;
                if let Ok(message) = thrift::message(frame) {
                    if cut.len() >= MOST_OPEN {
                        cut.remove(0);
                    }
                    cut.push(message.seq);
                }
            }
            Some(_) => self.counts.cut_answers += 1,
            None => self.counts.cut_others += 1,
        }
    }

    fn lost(&mut self, lost: Option<Lost>) {
        match lost {
            None => {}
            Some(Lost::Midway) => self.counts.lost_midway += 1,
            Some(Lost::Hole | Lost::Memory) => self.counts.lost_hole += 1,
            Some(Lost::TooLong) => self.counts.lost_too_long += 1,
            Some(Lost::NotThrift) => self.counts.lost_not_thrift += 1,
        }
    }
}

/// What a frame may change of its connection, while its direction's bytes are lent out.
struct Talk<'s> {
    number: u32,
    side: usize,
    spoke: &'s mut bool,
    open: &'s mut Vec<Open>,
    cut: &'s mut Vec<i32>,
    answered: &'s mut Vec<i32>,
    ahead: &'s mut Vec<(i32, Outcome, u64)>,
}

/// What an answer that waits for its call is counted as: a frame's most.
const AHEAD: usize = 8 << 10;

/// Bytes that an open call keeps, nearly.
fn weight(fields: &[(String, String)]) -> usize {
    256 + fields
        .iter()
        .map(|(key, value)| 48 + key.len() + value.len())
        .sum::<usize>()
}

impl Talk<'_> {
    fn remember(&mut self, seq: i32) {
        if self.answered.len() >= REMEMBERED {
            self.answered.remove(0);
        }
        self.answered.push(seq);
    }
}

fn owned(fields: Vec<(&[u8], &[u8])>) -> Vec<(String, String)> {
    let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
    fields
        .into_iter()
        .map(|(key, value)| (text(key), text(value)))
        .collect()
}

impl<F: FnMut(Event<'_>)> Sink for Pairing<F> {
    type State = Paired;

    fn opened(&mut self, number: u32, ends: [End; 2], at: u64) -> Paired {
        (self.take)(Event::Opened {
            connection: number,
            ends,
            at,
        });
        let halves = [Frames::default(), Frames::default()];
        Paired {
            number,
            halves,
            spoke: [false; 2],
            open: Vec::new(),
            cut: Vec::new(),
            answered: Vec::new(),
            ahead: Vec::new(),
            holes: false,
        }
    }

    fn bytes(&mut self, state: &mut Paired, side: usize, bytes: &[u8], at: u64) {
        let Paired {
            number,
            halves,
            spoke,
            open,
            cut,
            answered,
            ahead,
            ..
        } = state;
        let spoke = &mut spoke[side];
        let before = halves[side].held();
        halves[side].bytes(bytes, at, |told| {
            let mut state = Talk {
                number: *number,
                side,
                spoke,
                open,
                cut,
                answered,
                ahead,
            };
            match told {
                Told::Frame(frame, at) => self.frame(&mut state, frame, at),
                Told::Cut(frame) => {
                    self.cut(state.cut, frame);
                    Ok(())
                }
            }
        });
        self.held = (self.held + halves[side].held()).saturating_sub(before);
        if self.held > MOST_HELD && halves[side].held() > 0 {
            self.counts.let_go += 1;
            self.held -= halves[side].held().min(self.held);
            halves[side].let_go(Lost::Memory);
        }
    }

    fn hole(&mut self, state: &mut Paired, side: usize, length: u64, _at: u64) {
        let Paired {
            halves, cut, holes, ..
        } = state;
        *holes = true;
        let before = halves[side].held();
        halves[side].hole(length, |told| {
            if let Told::Cut(frame) = told {
                self.cut(cut, frame);
            }
        });
        self.held = (self.held + halves[side].held()).saturating_sub(before);
    }

    fn midway(&mut self, state: &mut Paired, side: usize, _at: u64) {
        state.halves[side].let_go(Lost::Midway);
    }

    fn closed(&mut self, state: Paired, how: Closed, at: u64) {
        let Paired {
            number,
            mut halves,
            spoke,
            open,
            mut cut,
            ahead,
            holes,
            ..
        } = state;
        self.counts.answers_alone += ahead.len() as u64;
        let ahead_held = ahead.len() * AHEAD + halves.iter().map(Frames::held).sum::<usize>();
        for half in &mut halves {
            half.end(|told| {
                if let Told::Cut(frame) = told {
                    self.cut(&mut cut, frame);
                }
            });
            self.lost(half.lost);
            self.counts.unread_bytes += half.unread;
        }
        // An answer may be in what was not read, or after the capture's end.
        let answers_read = halves.iter().all(|half| half.lost.is_none())
            && (spoke[0] && spoke[1] || how != Closed::CaptureEnded);
        let known = answers_read && !holes && matches!(how, Closed::Finished | Closed::Reset);
        self.held = self.held.saturating_sub(ahead_held);
        for open in open {
            self.held = self.held.saturating_sub(weight(&open.call.fields));
            let outcome = if known || open.left.is_some() {
                Outcome::Gone
            } else {
                Outcome::None
            };
            self.ticket(open, outcome, None);
        }
        (self.take)(Event::Closed {
            connection: number,
            how,
            at,
        });
    }
}
