//! Framed Thrift with the strict binary protocol: pure over bytes, bounded, nothing kept.

/// The longest frame taken, in bytes: a body of 2 KiB and its fields, twice over.
pub const FRAME_MOST: usize = 8 * 1024;
/// How deep a value that is skipped may nest: far past any real one, far under the stack.
const DEEPEST: u32 = 16;
const VERSION: u32 = 0x8001_0000;

pub const CALL: u8 = 1;
pub const REPLY: u8 = 2;
pub const EXCEPTION: u8 = 3;
pub const ONEWAY: u8 = 4;

const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
pub const STRING: u8 = 11;
const STRUCT: u8 = 12;
pub const MAP: u8 = 13;

/// Codes of an application exception.
pub const UNKNOWN_METHOD: i32 = 1;
pub const INTERNAL_ERROR: i32 = 6;
pub const PROTOCOL_ERROR: i32 = 7;

/// Why bytes cannot be read: the connection's reason code.
pub type Flaw = &'static str;

/// A call or a oneway message; its arguments are still bytes.
pub struct Message<'a> {
    pub oneway: bool,
    pub name: &'a [u8],
    pub seq: i32,
    pub args: &'a [u8],
}

/// The length of the first whole frame, behind its four bytes; none yet if there is not enough.
///
/// ```
/// use rainstand_protocol::thrift::frame;
/// assert_eq!(frame(&[0, 0, 0, 2, 7]), Ok(None));
/// assert_eq!(frame(&[0, 0, 0, 2, 7, 7, 7]), Ok(Some(2)));
/// assert_eq!(frame(&[0, 1, 0, 0]), Err("frame_too_long"));
/// ```
pub fn frame(bytes: &[u8]) -> Result<Option<usize>, Flaw> {
    frame_within(bytes, FRAME_MOST)
}

/// The same with another bound: links among nodes carry batches.
///
/// # Errors
/// If the frame is longer.
pub fn frame_within(bytes: &[u8], most: usize) -> Result<Option<usize>, Flaw> {
    let Some(head) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(*head) as usize;
    if len > most {
        return Err("frame_too_long");
    }
    Ok((bytes.len() - 4 >= len).then_some(len))
}

pub fn message(frame: &[u8]) -> Result<Message<'_>, Flaw> {
    let mut at = Bytes(frame);
    let version = at.u32()?;
    let kind = version as u8;
    if version & 0xffff_ff00 != VERSION || !matches!(kind, CALL | ONEWAY) {
        return Err("frame_unreadable");
    }
    let name = at.string()?;
    let seq = at.i32()?;
    Ok(Message {
        oneway: kind == ONEWAY,
        name,
        seq,
        args: at.0,
    })
}

/// Text fields, each with its key.
pub type Texts<'a> = Vec<(&'a [u8], &'a [u8])>;
/// Text fields and body of `process`; `None` where they are absent.
pub type Asked<'a> = (Option<Texts<'a>>, Option<&'a [u8]>);

pub fn process_args(args: &[u8]) -> Result<Asked<'_>, Flaw> {
    let (mut fields, mut body) = (None, None);
    each_field(args, |id, kind, at| {
        match (id, kind) {
            (1, MAP) => {
                fields = Some(at.texts()?);
            }
            (2, STRING) => body = Some(at.string()?),
            _ => at.skip(kind, DEEPEST)?,
        }
        Ok(())
    })?;
    Ok((fields, body))
}

pub fn give_up_args(args: &[u8]) -> Result<Option<i32>, Flaw> {
    let mut seq = None;
    each_field(args, |id, kind, at| {
        match (id, kind) {
            (1, I32) => seq = Some(at.i32()?),
            _ => at.skip(kind, DEEPEST)?,
        }
        Ok(())
    })?;
    Ok(seq)
}

/// Whether the probe is thorough; absent means it is not.
pub fn probe_args(args: &[u8]) -> Result<bool, Flaw> {
    let mut thorough = false;
    each_field(args, |id, kind, at| {
        match (id, kind) {
            (1, BOOL) => thorough = at.u8()? != 0,
            _ => at.skip(kind, DEEPEST)?,
        }
        Ok(())
    })?;
    Ok(thorough)
}

/// A reply or an exception, read whole.
#[derive(Debug, PartialEq, Eq)]
pub struct Answered<'a> {
    pub name: &'a [u8],
    pub seq: i32,
    pub what: What<'a>,
}

/// What a caller was told.
#[derive(Debug, PartialEq, Eq)]
pub enum What<'a> {
    Answer {
        body: &'a [u8],
        good: bool,
    },
    /// Dismissed, with the fields beside it.
    Backoff(Texts<'a>),
    /// Given up.
    Lost,
    Exception {
        code: i32,
        why: &'a [u8],
    },
}

/// What kind of message a frame holds, by its first bytes; none if it is no message.
pub fn kind(frame: &[u8]) -> Option<u8> {
    let version = u32::from_be_bytes(*frame.first_chunk()?);
    let kind = version as u8;
    (version & 0xffff_ff00 == VERSION && (CALL..=ONEWAY).contains(&kind)).then_some(kind)
}

/// The other side of [`message`]: what came back.
///
/// ```
/// use rainstand_protocol::thrift::{answered, backoff, What};
/// let frame = backoff(7, &[("pause", "250")]);
/// let told = answered(&frame[4..]).unwrap();
/// assert_eq!((told.seq, told.what), (7, What::Backoff(vec![(b"pause", b"250")])));
/// ```
pub fn answered(frame: &[u8]) -> Result<Answered<'_>, Flaw> {
    let mut at = Bytes(frame);
    let version = at.u32()?;
    let kind = version as u8;
    if version & 0xffff_ff00 != VERSION || !matches!(kind, REPLY | EXCEPTION) {
        return Err("frame_unreadable");
    }
    let name = at.string()?;
    let seq = at.i32()?;
    let what = if kind == EXCEPTION {
        except(at.0)?
    } else {
        result(at.0)?
    };
    Ok(Answered { name, seq, what })
}

fn except(args: &[u8]) -> Result<What<'_>, Flaw> {
    let (mut why, mut code): (&[u8], i32) = (&[], 0);
    each_field(args, |id, kind, at| {
        match (id, kind) {
            (1, STRING) => why = at.string()?,
            (2, I32) => code = at.i32()?,
            _ => at.skip(kind, DEEPEST)?,
        }
        Ok(())
    })?;
    Ok(What::Exception { code, why })
}

/// The one field that is set tells which kind of result it is.
fn result(args: &[u8]) -> Result<What<'_>, Flaw> {
    let mut what = None;
    each_field(args, |id, kind, at| {
        match (id, kind) {
            (0, STRUCT) => {
                let (mut body, mut good): (&[u8], bool) = (&[], false);
                at.fields(|id, kind, at| {
                    match (id, kind) {
                        (1, STRING) => body = at.string()?,
                        (3, BOOL) => good = at.u8()? != 0,
                        _ => at.skip(kind, DEEPEST)?,
                    }
                    Ok(())
                })?;
                what = Some(What::Answer { body, good });
            }
            (1 | 2, STRUCT) => {
                let mut texts = Vec::new();
                at.fields(|id, kind, at| {
                    match (id, kind) {
                        (1, MAP) => texts = at.texts()?,
                        _ => at.skip(kind, DEEPEST)?,
                    }
                    Ok(())
                })?;
                what = Some(if id == 1 {
                    What::Backoff(texts)
                } else {
                    What::Lost
                });
            }
            _ => at.skip(kind, DEEPEST)?,
        }
        Ok(())
    })?;
    what.ok_or("frame_unreadable")
}

fn each_field<'a>(
    args: &'a [u8],
    take: impl FnMut(u16, u8, &mut Bytes<'a>) -> Result<(), Flaw>,
) -> Result<(), Flaw> {
    Bytes(args).fields(take)
}

/// Bytes still to be read.
struct Bytes<'a>(&'a [u8]);

impl<'a> Bytes<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], Flaw> {
        let (head, rest) = self.0.split_at_checked(n).ok_or("frame_unreadable")?;
        self.0 = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Flaw> {
        let head = self.take(N)?;
        head.try_into().map_err(|_| "frame_unreadable")
    }

    fn u8(&mut self) -> Result<u8, Flaw> {
        self.array::<1>().map(|[byte]| byte)
    }

    fn u16(&mut self) -> Result<u16, Flaw> {
        self.array().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, Flaw> {
        self.array().map(u32::from_be_bytes)
    }

    fn i32(&mut self) -> Result<i32, Flaw> {
        self.array().map(i32::from_be_bytes)
    }

    fn string(&mut self) -> Result<&'a [u8], Flaw> {
        let len = self.u32()?;
        self.take(len as usize)
    }

    /// Types of keys and values, and how many there are: never more than the bytes left could hold.
    fn map_head(&mut self) -> Result<(u8, u8, u32), Flaw> {
        let (keys, values, n) = (self.u8()?, self.u8()?, self.u32()?);
        if n as usize > self.0.len() {
            return Err("frame_unreadable");
        }
        Ok((keys, values, n))
    }

    /// The fields of a struct, up to its end.
    fn fields(
        &mut self,
        mut take: impl FnMut(u16, u8, &mut Self) -> Result<(), Flaw>,
    ) -> Result<(), Flaw> {
        loop {
            let kind = self.u8()?;
            if kind == STOP {
                return Ok(());
            }
            let id = self.u16()?;
            take(id, kind, self)?;
        }
    }

    fn texts(&mut self) -> Result<Texts<'a>, Flaw> {
        let (keys, values, n) = self.map_head()?;
        if n > 0 && (keys, values) != (STRING, STRING) {
            return Err("frame_unreadable");
        }
        (0..n)
            .map(|_| Ok((self.string()?, self.string()?)))
            .collect()
    }

    fn skip(&mut self, kind: u8, deepest: u32) -> Result<(), Flaw> {
        let deeper = deepest.checked_sub(1).ok_or("frame_unreadable")?;
        match kind {
            BOOL | 3 => drop(self.take(1)?),
            6 => drop(self.take(2)?),
            I32 => drop(self.take(4)?),
            4 | 10 => drop(self.take(8)?),
            STRING => drop(self.string()?),
            STRUCT => loop {
                let kind = self.u8()?;
                if kind == STOP {
                    break;
                }
                self.u16()?;
                self.skip(kind, deeper)?;
            },
            MAP => {
                let (keys, values, n) = self.map_head()?;
                for _ in 0..n {
                    self.skip(keys, deeper)?;
                    self.skip(values, deeper)?;
                }
            }
            14 | 15 => {
                let (kind, n) = (self.u8()?, self.u32()?);
                if n as usize > self.0.len() {
                    return Err("frame_unreadable");
                }
                for _ in 0..n {
                    self.skip(kind, deeper)?;
                }
            }
            _ => return Err("frame_unreadable"),
        }
        Ok(())
    }
}

/// A frame being written; the length in front is set when it is taken.
pub struct Frame(Vec<u8>);

impl Frame {
    pub fn new(kind: u8, name: &[u8], seq: i32) -> Self {
        let mut frame = Self(vec![0; 4]);
        frame.u32(VERSION | u32::from(kind));
        frame.string(name);
        frame.0.extend_from_slice(&seq.to_be_bytes());
        frame
    }

    pub fn u32(&mut self, n: u32) {
        self.0.extend_from_slice(&n.to_be_bytes());
    }

    pub fn u8(&mut self, n: u8) {
        self.0.push(n);
    }

    pub fn string(&mut self, bytes: &[u8]) {
        self.u32(bytes.len() as u32);
        self.0.extend_from_slice(bytes);
    }

    pub fn field(&mut self, kind: u8, id: u16) {
        self.0.push(kind);
        self.0.extend_from_slice(&id.to_be_bytes());
    }

    pub fn texts(&mut self, id: u16, texts: &[(&str, &str)]) {
        self.field(MAP, id);
        self.0.extend_from_slice(&[STRING, STRING]);
        self.u32(texts.len() as u32);
        for (key, value) in texts {
            self.string(key.as_bytes());
            self.string(value.as_bytes());
        }
    }

    pub fn end(mut self, stops: usize) -> Vec<u8> {
        self.0.resize(self.0.len() + stops, STOP);
        let len = self.0.len() as u32 - 4;
        self.0[..4].copy_from_slice(&len.to_be_bytes());
        self.0
    }
}

/// `Answer`: to a ticket that was honoured, or to a probe.
pub fn answer(name: &[u8], seq: i32, body: &[u8], good: bool) -> Vec<u8> {
    let mut frame = Frame::new(REPLY, name, seq);
    frame.field(STRUCT, 0);
    frame.field(STRING, 1);
    frame.string(body);
    frame.texts(2, &[]);
    frame.field(BOOL, 3);
    frame.u8(u8::from(good));
    frame.end(2)
}

/// `Backoff`: to a ticket that was dismissed.
pub fn backoff(seq: i32, texts: &[(&str, &str)]) -> Vec<u8> {
    let mut frame = Frame::new(REPLY, b"process", seq);
    frame.field(STRUCT, 1);
    frame.texts(1, texts);
    frame.end(2)
}

/// `Lost`: to a ticket that was given up.
pub fn lost(seq: i32) -> Vec<u8> {
    let mut frame = Frame::new(REPLY, b"process", seq);
    frame.field(STRUCT, 2);
    frame.texts(1, &[]);
    frame.end(2)
}

/// An application exception.
pub fn exception(name: &[u8], seq: i32, code: i32, why: &str) -> Vec<u8> {
    let mut frame = Frame::new(EXCEPTION, name, seq);
    frame.field(STRING, 1);
    frame.string(why.as_bytes());
    frame.field(I32, 2);
    frame.u32(code as u32);
    frame.end(1)
}

/// The oneway `shutdown`: nothing new is wanted on this connection.
pub fn shutdown() -> Vec<u8> {
    Frame::new(ONEWAY, b"shutdown", 0).end(1)
}

/// A call of `process`.
pub fn process(seq: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut frame = Frame::new(CALL, b"process", seq);
    frame.texts(1, fields);
    frame.field(STRING, 2);
    frame.string(body);
    frame.end(1)
}

/// A call of `process` whose arguments are passed on as they were read ([`Message::args`]).
///
/// ```
/// use rainstand_protocol::thrift::{message, process, process_again};
/// let first = process(7, &[("route", "check")], b"body");
/// let args = message(&first[4..]).unwrap().args;
/// assert_eq!(process_again(9, args), process(9, &[("route", "check")], b"body"));
/// ```
pub fn process_again(seq: i32, args: &[u8]) -> Vec<u8> {
    let mut frame = Frame::new(CALL, b"process", seq);
    frame.0.extend_from_slice(args);
    frame.end(0)
}

/// The oneway `giveUp` for an earlier call.
pub fn give_up(of: i32) -> Vec<u8> {
    let mut frame = Frame::new(ONEWAY, b"giveUp", 0);
    frame.field(I32, 1);
    frame.u32(of as u32);
    frame.end(1)
}

/// A call of `probe`.
pub fn probe(seq: i32, thorough: bool) -> Vec<u8> {
    let mut frame = Frame::new(CALL, b"probe", seq);
    frame.field(BOOL, 1);
    frame.u8(u8::from(thorough));
    frame.end(1)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

        /// What is written is read back; what is cut or bent is refused or read, never past its end.
        #[test]
        fn both_sides_agree(
            seq in any::<i32>(),
            body in proptest::collection::vec(any::<u8>(), 0..300),
            pause in 0u32..100_000,
            good in any::<bool>(),
            cut in 0usize..400,
            bent in (0usize..400, any::<u8>()),
        ) {
            let text = pause.to_string();
            let fields = [("route", "check"), ("trace", text.as_str())];
            let call = process(seq, &fields, &body);
            let read = message(&call[4..]).unwrap();
            let (told, inner) = process_args(read.args).unwrap();
            prop_assert_eq!((read.seq, inner), (seq, Some(&body[..])));
            let wanted: Vec<_> = fields.iter().map(|(k, v)| (k.as_bytes(), v.as_bytes())).collect();
            prop_assert_eq!(told, Some(wanted));
            let left = give_up(seq);
            prop_assert_eq!(give_up_args(message(&left[4..]).unwrap().args), Ok(Some(seq)));
            let deep = probe(seq, good);
            prop_assert_eq!(probe_args(message(&deep[4..]).unwrap().args), Ok(good));
            let frames = [
                (answer(b"process", seq, &body, good), What::Answer { body: &body, good }),
                (backoff(seq, &[("pause", &text)]), What::Backoff(vec![(b"pause", text.as_bytes())])),
                (lost(seq), What::Lost),
                (exception(b"process", seq, 6, &text), What::Exception { code: 6, why: text.as_bytes() }),
            ];
            for (frame, what) in frames {
                let wanted = Answered { name: b"process", seq, what };
                prop_assert_eq!(answered(&frame[4..]), Ok(wanted));
                prop_assert!(answered(&frame[4..4 + cut.min(frame.len() - 5)]).is_err());
                let mut other = frame.clone();
                let at = 4 + bent.0 % (frame.len() - 4);
                other[at] = bent.1;
                let _ = answered(&other[4..]);
                let _ = message(&other[4..]);
            }
        }
    }
}
