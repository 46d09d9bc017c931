//! Reads frames, messages and their arguments.

use super::field_type::{BOOL, BYTE, DOUBLE, I16, I32, I64, LIST, MAP, SET, STOP, STRING, STRUCT};
use super::{
    Answered, Message, ProcessArgs, ReasonCode, Texts, What, CALL, EXCEPTION, FRAME_HEADER_BYTES,
    FRAME_TOO_LONG, FRAME_UNREADABLE, MAX_FRAME_BYTES, ONEWAY, REPLY, VERSION, VERSION_MASK,
};

/// How deep a value that is skipped may nest: far past any real one, far within the stack.
const MAX_DEPTH: u32 = 16;

/// The length of the first frame, without its header; `None` while it is not complete.
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

/// As [`frame`], with a bound of `max_bytes`: links among nodes carry batches.
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
/// If it is none.
pub fn message(frame: &[u8]) -> Result<Message<'_>, ReasonCode> {
    let mut at = Bytes(frame);
    let version = at.u32()?;
    let kind = version as u8;
    if version & VERSION_MASK != VERSION || !matches!(kind, CALL | ONEWAY) {
        return Err(FRAME_UNREADABLE);
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

/// Reads the arguments of `process`; unknown fields are skipped.
///
/// # Errors
/// If they cannot be read.
pub fn process_args(args: &[u8]) -> Result<ProcessArgs<'_>, ReasonCode> {
    let mut read = ProcessArgs::default();
    each_field(args, |id, kind, at| {
        match (id, kind) {
            (1, MAP) => {
                read.fields = Some(at.texts()?);
            }
            (2, STRING) => read.body = Some(at.string()?),
            _ => at.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(read)
}

/// Reads the arguments of `giveUp`: the sequence number of the cancelled call, `None` where it is absent.
///
/// # Errors
/// If they cannot be read.
pub fn give_up_args(args: &[u8]) -> Result<Option<i32>, ReasonCode> {
    let mut seq = None;
    each_field(args, |id, kind, at| {
        match (id, kind) {
            (1, I32) => seq = Some(at.i32()?),
            _ => at.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(seq)
}

/// Reads the arguments of `probe`: whether it is thorough; absent means it is not.
///
/// # Errors
/// If they cannot be read.
pub fn probe_args(args: &[u8]) -> Result<bool, ReasonCode> {
    let mut thorough = false;
    each_field(args, |id, kind, at| {
        match (id, kind) {
            (1, BOOL) => thorough = at.u8()? != 0,
            _ => at.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(thorough)
}

/// Which kind of message a frame holds, by its first bytes; `None` if it is no message.
pub fn kind(frame: &[u8]) -> Option<u8> {
    let version = u32::from_be_bytes(*frame.first_chunk()?);
    let kind = version as u8;
    (version & VERSION_MASK == VERSION && (CALL..=ONEWAY).contains(&kind)).then_some(kind)
}

/// Reads a reply or exception from a frame without its header: the other side of [`message`].
///
/// # Errors
/// If it is none.
///
/// ```
/// use rainstand_protocol::thrift::{answered, backoff, What};
/// let frame = backoff(7, &[("pause", "250")]);
/// let reply = answered(&frame[4..]).unwrap();
/// assert_eq!((reply.seq, reply.what), (7, What::Backoff(vec![(b"pause", b"250")])));
/// ```
pub fn answered(frame: &[u8]) -> Result<Answered<'_>, ReasonCode> {
    let mut at = Bytes(frame);
    let version = at.u32()?;
    let kind = version as u8;
    if version & VERSION_MASK != VERSION || !matches!(kind, REPLY | EXCEPTION) {
        return Err(FRAME_UNREADABLE);
    }
    let name = at.string()?;
    let seq = at.i32()?;
    let what = if kind == EXCEPTION {
        exception(at.0)?
    } else {
        result(at.0)?
    };
    Ok(Answered { name, seq, what })
}

fn exception(args: &[u8]) -> Result<What<'_>, ReasonCode> {
    let (mut why, mut code): (&[u8], i32) = (&[], 0);
    each_field(args, |id, kind, at| {
        match (id, kind) {
            (1, STRING) => why = at.string()?,
            (2, I32) => code = at.i32()?,
            _ => at.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(What::Exception { code, why })
}

/// The one field that is set tells which kind of result it is.
fn result(args: &[u8]) -> Result<What<'_>, ReasonCode> {
    let mut what = None;
    each_field(args, |id, kind, at| {
        match (id, kind) {
            (0, STRUCT) => what = Some(answer_struct(at)?),
            (1, STRUCT) => what = Some(What::Backoff(texts_struct(at)?)),
            (2, STRUCT) => {
                texts_struct(at)?;
                what = Some(What::Lost);
            }
            _ => at.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    what.ok_or(FRAME_UNREADABLE)
}

fn answer_struct<'a>(at: &mut Bytes<'a>) -> Result<What<'a>, ReasonCode> {
    let (mut body, mut good): (&[u8], bool) = (&[], false);
    at.fields(|id, kind, at| {
        match (id, kind) {
            (1, STRING) => body = at.string()?,
            (3, BOOL) => good = at.u8()? != 0,
            _ => at.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(What::Answer { body, good })
}

fn texts_struct<'a>(at: &mut Bytes<'a>) -> Result<Texts<'a>, ReasonCode> {
    let mut texts = Vec::new();
    at.fields(|id, kind, at| {
        match (id, kind) {
            (1, MAP) => texts = at.texts()?,
            _ => at.skip(kind, MAX_DEPTH)?,
        }
        Ok(())
    })?;
    Ok(texts)
}

fn each_field<'a>(
    args: &'a [u8],
    take: impl FnMut(u16, u8, &mut Bytes<'a>) -> Result<(), ReasonCode>,
) -> Result<(), ReasonCode> {
    Bytes(args).fields(take)
}

/// Bytes still to be read.
struct Bytes<'a>(&'a [u8]);

impl<'a> Bytes<'a> {
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

    /// Types of keys and values, and how many there are: never more than the bytes left could hold.
    fn map_head(&mut self) -> Result<(u8, u8, u32), ReasonCode> {
        let (keys, values, n) = (self.u8()?, self.u8()?, self.u32()?);
        if n as usize > self.0.len() {
            return Err(FRAME_UNREADABLE);
        }
        Ok((keys, values, n))
    }

    /// The fields of a struct, up to its end.
    fn fields(
        &mut self,
        mut take: impl FnMut(u16, u8, &mut Self) -> Result<(), ReasonCode>,
    ) -> Result<(), ReasonCode> {
        loop {
            let kind = self.u8()?;
            if kind == STOP {
                return Ok(());
            }
            let id = self.u16()?;
            take(id, kind, self)?;
        }
    }

    /// A map of texts.
    fn texts(&mut self) -> Result<Texts<'a>, ReasonCode> {
        let (keys, values, n) = self.map_head()?;
        if n > 0 && (keys, values) != (STRING, STRING) {
            return Err(FRAME_UNREADABLE);
        }
        (0..n)
            .map(|_| Ok((self.string()?, self.string()?)))
            .collect()
    }

    /// Reads past a value that nobody asks for.
    fn skip(&mut self, kind: u8, max_depth: u32) -> Result<(), ReasonCode> {
        let deeper = max_depth.checked_sub(1).ok_or(FRAME_UNREADABLE)?;
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
                self.skip(kind, deeper)?;
            },
            MAP => {
                let (keys, values, n) = self.map_head()?;
                for _ in 0..n {
                    self.skip(keys, deeper)?;
                    self.skip(values, deeper)?;
                }
            }
            SET | LIST => {
                let (kind, n) = (self.u8()?, self.u32()?);
                if n as usize > self.0.len() {
                    return Err(FRAME_UNREADABLE);
                }
                for _ in 0..n {
                    self.skip(kind, deeper)?;
                }
            }
            _ => return Err(FRAME_UNREADABLE),
        }
        Ok(())
    }
}
