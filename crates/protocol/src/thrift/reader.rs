//! Reads frames, messages and their arguments.

use super::field_type::{BOOL, BYTE, DOUBLE, I16, I32, I64, LIST, MAP, SET, STOP, STRING, STRUCT};
use super::{
    Answered, Message, ProcessArgs, ReasonCode, Texts, What, CALL, EXCEPTION, FRAME_HEADER_BYTES,
    FRAME_TOO_LONG, FRAME_UNREADABLE, MAX_FRAME_BYTES, ONEWAY, REPLY, VERSION, VERSION_MASK,
};

/// Maximum nesting of a skipped value: far deeper than any real value, and far within the stack.
const MAX_DEPTH: u32 = 16;

/// The length of the first frame, without its header; `None` while it is incomplete.
///
/// # Errors
/// If it is longer than [`MAX_FRAME_BYTES`].
///
/// ```
/// use rainstand_protocol::thrift::frame;
/// assert_eq!(frame(&[0, 0, 0, 2, 7]), Ok(None));
/// assert_eq!(frame(&[0, 0, 0, 2, 7, 7, 7]), Ok(Some(2)));
/// assert_eq!(frame(&[0, 1, 0, 0]), Err("frame_too_long"));
/// ```
pub fn frame(bytes: &[u8]) -> Result<Option<usize>, ReasonCode> {
    frame_within(bytes, MAX_FRAME_BYTES)
}

/// As [`frame`], with a limit of `max_bytes`: links between nodes carry batches.
///
/// # Errors
/// If the frame is longer.
pub fn frame_within(bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, ReasonCode> {
    let Some(head) = bytes.first_chunk::<FRAME_HEADER_BYTES>() else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(*head) as usize;
    if len > max_bytes {
        return Err(FRAME_TOO_LONG);
    }
    Ok((bytes.len() - FRAME_HEADER_BYTES >= len).then_some(len))
}

/// Reads a call or oneway message from a frame without its header.
///
/// # Errors
/// If the frame holds no such message.
pub fn message(frame: &[u8]) -> Result<Message<'_>, ReasonCode> {
    let mut cursor = Cursor(frame);
    let version = cursor.u32()?;
    let kind = version as u8;
    if version & VERSION_MASK != VERSION || !matches!(kind, CALL | ONEWAY) {
        return Err(FRAME_UNREADABLE);
    }
    let name = cursor.string()?;
    let seq = cursor.i32()?;
    Ok(Message {
        oneway: kind == ONEWAY,
        name,
        seq,
        args: cursor.0,
    })
}

/// Reads the arguments of `process`; unknown fields are skipped.
///
/// # Errors
/// If they cannot be read.
pub fn process_args(args: &[u8]) -> Result<ProcessArgs<'_>, ReasonCode> {
    let mut parsed = ProcessArgs::default();
    each_field(args, |id, kind, cursor| {
        match (id, kind) {
            (1, MAP) => {
                parsed.fields = Some(cursor.texts()?);
            }
            (2, STRING) => parsed.body = Some(cursor.string()?),
            _ => cursor.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(parsed)
}

/// Reads the arguments of `giveUp`: the sequence number of the cancelled call, `None` if it is absent.
///
/// # Errors
/// If they cannot be read.
pub fn give_up_args(args: &[u8]) -> Result<Option<i32>, ReasonCode> {
    let mut seq = None;
    each_field(args, |id, kind, cursor| {
        match (id, kind) {
            (1, I32) => seq = Some(cursor.i32()?),
            _ => cursor.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(seq)
}

/// Reads the arguments of `probe`: whether it is thorough, false if absent.
///
/// # Errors
/// If they cannot be read.
pub fn probe_args(args: &[u8]) -> Result<bool, ReasonCode> {
    let mut thorough = false;
    each_field(args, |id, kind, cursor| {
        match (id, kind) {
            (1, BOOL) => thorough = cursor.u8()? != 0,
            _ => cursor.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(thorough)
}

/// The kind of message in a frame, by its first bytes; `None` if it is not a message.
pub fn kind(frame: &[u8]) -> Option<u8> {
    let version = u32::from_be_bytes(*frame.first_chunk()?);
    let kind = version as u8;
    (version & VERSION_MASK == VERSION && (CALL..=ONEWAY).contains(&kind)).then_some(kind)
}

/// Reads a reply or exception from a frame without its header: the counterpart of [`message`].
///
/// # Errors
/// If the frame holds neither.
///
/// ```
/// use rainstand_protocol::thrift::{answered, backoff, What};
/// let frame = backoff(7, &[("pause", "250")]);
/// let reply = answered(&frame[4..]).unwrap();
/// assert_eq!((reply.seq, reply.what), (7, What::Backoff(vec![(b"pause", b"250")])));
/// ```
pub fn answered(frame: &[u8]) -> Result<Answered<'_>, ReasonCode> {
    let mut cursor = Cursor(frame);
    let version = cursor.u32()?;
    let kind = version as u8;
    if version & VERSION_MASK != VERSION || !matches!(kind, REPLY | EXCEPTION) {
        return Err(FRAME_UNREADABLE);
    }
    let name = cursor.string()?;
    let seq = cursor.i32()?;
    let what = if kind == EXCEPTION {
        exception(cursor.0)?
    } else {
        result(cursor.0)?
    };
    Ok(Answered { name, seq, what })
}

fn exception(args: &[u8]) -> Result<What<'_>, ReasonCode> {
    let (mut why, mut code): (&[u8], i32) = (&[], 0);
    each_field(args, |id, kind, cursor| {
        match (id, kind) {
            (1, STRING) => why = cursor.string()?,
            (2, I32) => code = cursor.i32()?,
            _ => cursor.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(What::Exception { code, why })
}

/// Reads a result: the id of its only field tells its kind.
fn result(args: &[u8]) -> Result<What<'_>, ReasonCode> {
    let mut what = None;
    each_field(args, |id, kind, cursor| {
        match (id, kind) {
            (0, STRUCT) => what = Some(answer_struct(cursor)?),
            (1, STRUCT) => what = Some(What::Backoff(texts_struct(cursor)?)),
            (2, STRUCT) => {
                texts_struct(cursor)?;
                what = Some(What::Lost);
            }
            _ => cursor.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    what.ok_or(FRAME_UNREADABLE)
}

fn answer_struct<'a>(cursor: &mut Cursor<'a>) -> Result<What<'a>, ReasonCode> {
    let (mut body, mut good): (&[u8], bool) = (&[], false);
    cursor.fields(|id, kind, cursor| {
        match (id, kind) {
            (1, STRING) => body = cursor.string()?,
            (3, BOOL) => good = cursor.u8()? != 0,
            _ => cursor.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(What::Answer { body, good })
}

fn texts_struct<'a>(cursor: &mut Cursor<'a>) -> Result<Texts<'a>, ReasonCode> {
    let mut texts = Vec::new();
    cursor.fields(|id, kind, cursor| {
        match (id, kind) {
            (1, MAP) => texts = cursor.texts()?,
            _ => cursor.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(texts)
}

fn each_field<'a>(
    args: &'a [u8],
    read_field: impl FnMut(u16, u8, &mut Cursor<'a>) -> Result<(), ReasonCode>,
) -> Result<(), ReasonCode> {
    Cursor(args).fields(read_field)
}

/// A cursor on the bytes still to be read.
struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], ReasonCode> {
        let (head, rest) = self.0.split_at_checked(n).ok_or(FRAME_UNREADABLE)?;
        self.0 = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], ReasonCode> {
        let head = self.take(N)?;
        head.try_into().map_err(|_| FRAME_UNREADABLE)
    }

    fn u8(&mut self) -> Result<u8, ReasonCode> {
        self.array::<1>().map(|[byte]| byte)
    }

    fn u16(&mut self) -> Result<u16, ReasonCode> {
        self.array().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, ReasonCode> {
        self.array().map(u32::from_be_bytes)
    }

    fn i32(&mut self) -> Result<i32, ReasonCode> {
        self.array().map(i32::from_be_bytes)
    }

    fn string(&mut self) -> Result<&'a [u8], ReasonCode> {
        let len = self.u32()?;
        self.take(len as usize)
    }

    /// Types of keys and values, and the number of entries: at most the number of remaining bytes.
    fn map_head(&mut self) -> Result<(u8, u8, u32), ReasonCode> {
        let (keys, values, n) = (self.u8()?, self.u8()?, self.u32()?);
        if n as usize > self.0.len() {
            return Err(FRAME_UNREADABLE);
        }
        Ok((keys, values, n))
    }

    /// Passes each field of a struct to `read_field`.
    fn fields(
        &mut self,
        mut read_field: impl FnMut(u16, u8, &mut Self) -> Result<(), ReasonCode>,
    ) -> Result<(), ReasonCode> {
        loop {
            let kind = self.u8()?;
            if kind == STOP {
                return Ok(());
            }
            let id = self.u16()?;
            read_field(id, kind, self)?;
        }
    }

    /// Reads a map of texts.
    fn texts(&mut self) -> Result<Texts<'a>, ReasonCode> {
        let (keys, values, n) = self.map_head()?;
        if n > 0 && (keys, values) != (STRING, STRING) {
            return Err(FRAME_UNREADABLE);
        }
        (0..n)
            .map(|_| Ok((self.string()?, self.string()?)))
            .collect()
    }

    /// Skips a value.
    fn skip(&mut self, kind: u8, max_depth: u32) -> Result<(), ReasonCode> {
        let remaining_depth = max_depth.checked_sub(1).ok_or(FRAME_UNREADABLE)?;
        match kind {
            BOOL | BYTE => drop(self.take(1)?),
            I16 => drop(self.take(2)?),
            I32 => drop(self.take(4)?),
            DOUBLE | I64 => drop(self.take(8)?),
            STRING => drop(self.string()?),
            STRUCT => loop {
                let kind = self.u8()?;
                if kind == STOP {
                    break;
                }
                self.u16()?;
                self.skip(kind, remaining_depth)?;
            },
            MAP => {
                let (keys, values, n) = self.map_head()?;
                for _ in 0..n {
                    self.skip(keys, remaining_depth)?;
                    self.skip(values, remaining_depth)?;
                }
            }
            SET | LIST => {
                let (kind, n) = (self.u8()?, self.u32()?);
                if n as usize > self.0.len() {
                    return Err(FRAME_UNREADABLE);
                }
                for _ in 0..n {
                    self.skip(kind, remaining_depth)?;
                }
            }
            _ => return Err(FRAME_UNREADABLE),
        }
        Ok(())
    }
}
