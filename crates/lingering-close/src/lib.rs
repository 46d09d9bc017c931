//! The end of a TCP connection that cuts off nothing which its peer has not read yet.
//!
//! That the system took the bytes of a write does not mean that they arrived. If a socket is closed while bytes lie unread
//! in it, or bytes come for it later, the system sends a reset and discards what it has not sent. So the sending side is
//! ended first, what comes is read and discarded, and the socket is closed once the peer has closed or has acknowledged
//! everything (lingering close).
//!
//! Nothing here has a bound of its own on time: the caller names the deadline.

use rustix::ioctl::{ioctl, Getter, Opcode};
use socket2::SockRef;
use std::ffi::c_int;
use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::sleep_until;

/// Bytes discarded from one connection at most; past it nothing more is read. All requests that the protocol allows to be
/// on their way at once, eight times over.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Read from a socket at once, bytes.
const READ_CHUNK_BYTES: usize = 4 << 10;
/// Between two looks at what is not acknowledged: the system signals no event for it.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// `SIOCOUTQ` of Linux: the bytes of a socket's send queue.
const SIOCOUTQ: Opcode = 0x5411;

/// How a lingering close ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LingerEnd {
    /// The peer has everything.
    Delivered,
    /// The connection broke, or the peer had reset it.
    Broken,
    /// The deadline passed before the peer had acknowledged everything.
    TimedOut,
}

/// Bytes of the stream that the system holds since the peer has not acknowledged them, the end of the stream counted as
/// one; `None` where the system does not say.
pub fn unacknowledged_bytes(stream: &TcpStream) -> Option<u64> {
    // SAFETY: `SIOCOUTQ` writes one `int` to the address that it is given, and `Getter` gives it that of a `c_int`.
    let queued = unsafe { ioctl(stream, Getter::<SIOCOUTQ, c_int>::new()) };
    queued.ok().and_then(|bytes| u64::try_from(bytes).ok())
}

/// Whether the peer acknowledged everything, as far as the system says.
fn is_acknowledged(stream: &TcpStream) -> bool {
    unacknowledged_bytes(stream).unwrap_or(0) == 0
}

/// What there was to discard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discarded {
    /// Bytes, or none for now.
    Bytes,
    /// The peer ended its side.
    EndOfStream,
}

/// Reads and discards what comes on a connection, up to a bound.
#[derive(Debug)]
pub struct Discard {
    remaining_bytes: usize,
    has_ended: bool,
}

impl Default for Discard {
    fn default() -> Self {
        Self {
            remaining_bytes: MAX_DISCARDED_BYTES,
            has_ended: false,
        }
    }
}

impl Discard {
    /// Whether more is read: the peer did not end its side, and the bound is not reached.
    pub fn reads_on(&self) -> bool {
        !self.has_ended && self.remaining_bytes > 0
    }

    /// Waits until there is something to read, and discards it.
    ///
    /// # Errors
    /// Those of the socket.
    pub async fn next(&mut self, stream: &TcpStream) -> io::Result<Discarded> {
        stream.readable().await?;
        self.read(stream)
    }

    /// Discards what there is, without waiting.
    ///
    /// # Errors
    /// Those of the socket.
    pub fn read(&mut self, stream: &TcpStream) -> io::Result<Discarded> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while self.reads_on() {
            match stream.try_read(&mut chunk) {
                Ok(0) => self.has_ended = true,
                Ok(length) => self.remaining_bytes = self.remaining_bytes.saturating_sub(length),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(if self.has_ended {
            Discarded::EndOfStream
        } else {
            Discarded::Bytes
        })
    }
}

/// Ends the sending side and discards what comes until the peer has closed its side or acknowledged everything. The caller
/// then drops the stream.
///
/// A peer that acknowledged everything and keeps its own side open is waited for until `settle_at`. The close is over at
/// `deadline`, whatever is still on its way; it is asked at each look, every 10 ms, since it may be brought forward.
pub async fn lingering_close(
    stream: &TcpStream,
    mut discard: Discard,
    settle_at: Instant,
    deadline: impl Fn() -> Instant,
) -> LingerEnd {
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return LingerEnd::Broken;
    }
    loop {
        // Bytes that lie unread at the end would cause the reset.
        let Ok(discarded) = discard.read(stream) else {
            return LingerEnd::Broken;
        };
        let now = Instant::now();
        let peer_is_done = discarded == Discarded::EndOfStream || now >= settle_at;
        if peer_is_done && is_acknowledged(stream) {
            return LingerEnd::Delivered;
        }
        if now >= deadline() {
            return LingerEnd::TimedOut;
        }
        tokio::select! {
            read = discard.next(stream), if discard.reads_on() => {
                if read.is_err() {
                    return LingerEnd::Broken;
                }
            }
            () = sleep_until((now + POLL_INTERVAL).into()) => {}
        }
    }
}

/// Waits until the peer acknowledged everything that was written, for a connection that somebody else reads.
pub async fn wait_until_acknowledged(stream: &TcpStream, deadline: Instant) -> LingerEnd {
    loop {
        if is_acknowledged(stream) {
            return LingerEnd::Delivered;
        }
        let now = Instant::now();
        if now >= deadline {
            return LingerEnd::TimedOut;
        }
        sleep_until((now + POLL_INTERVAL).min(deadline).into()).await;
    }
}
