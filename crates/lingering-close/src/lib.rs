//! Closes a TCP connection without losing data that the peer has not read yet (lingering close).
//!
//! A successful write does not mean that the bytes were delivered. If a socket is closed with unread received bytes, or
//! bytes arrive after the close, the kernel sends a reset and discards what it has not sent. Therefore the sending side
//! is shut down first, received bytes are read and discarded, and the socket is closed once the peer has acknowledged
//! everything and has closed its side or had time to do so.
//!
//! There are no built-in time limits: the caller passes the deadline.

use rustix::ioctl::{ioctl, Getter, Opcode};
use socket2::SockRef;
use std::ffi::c_int;
use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::sleep_until;

/// Limit on bytes discarded from one connection; above it, nothing more is read. Eight times the size of all requests
/// that the protocol allows to be in transit at once.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Size of a read, in bytes.
const READ_CHUNK_BYTES: usize = 4 << 10;
/// Interval at which unacknowledged bytes are checked; the kernel signals no event for acknowledgements.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Linux `SIOCOUTQ`: number of bytes in a socket's send queue.
const SIOCOUTQ: Opcode = 0x5411;

/// How a lingering close ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LingerEnd {
    /// The peer acknowledged everything.
    Delivered,
    /// The connection failed, or the peer reset it.
    Broken,
    /// The deadline passed before the peer had acknowledged everything.
    TimedOut,
}

/// Number of sent bytes that the peer has not acknowledged, with the end of the stream counted as one; `None` if the
/// kernel does not report it.
pub fn unacknowledged_bytes(stream: &TcpStream) -> Option<u64> {
    // SAFETY: `SIOCOUTQ` writes one `int` to the given address, and `Getter` passes the address of a `c_int`.
    let queued = unsafe { ioctl(stream, Getter::<SIOCOUTQ, c_int>::new()) };
    queued.ok().and_then(|bytes| u64::try_from(bytes).ok())
}

/// Whether the peer acknowledged everything; true if the kernel does not report it.
fn is_acknowledged(stream: &TcpStream) -> bool {
    unacknowledged_bytes(stream).unwrap_or(0) == 0
}

/// Result of a discarding read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discarded {
    /// Any number of bytes, possibly none; the peer's side is open, or was not read to its end.
    Bytes,
    /// The peer closed its side.
    EndOfStream,
}

/// Reads and discards what is received on a connection, up to a limit.
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
    /// Whether more is read: the peer has not closed its side, and the limit is not reached.
    pub fn can_read_more(&self) -> bool {
        !self.has_ended && self.remaining_bytes > 0
    }

    /// Waits until the stream is readable, then reads and discards.
    ///
    /// # Errors
    /// Those of the socket.
    pub async fn next(&mut self, stream: &TcpStream) -> io::Result<Discarded> {
        stream.readable().await?;
        self.read(stream)
    }

    /// Reads and discards the available bytes, without waiting.
    ///
    /// # Errors
    /// Those of the socket.
    pub fn read(&mut self, stream: &TcpStream) -> io::Result<Discarded> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while self.can_read_more() {
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

/// Shuts down the sending side and discards received bytes until the peer has acknowledged everything and closed its
/// side. The caller then drops the stream.
///
/// A peer that acknowledged everything but keeps its side open is waited for until `settle_at`. The close ends at
/// `deadline` in any case; `deadline` is called at each check, at least every 10 ms, because it may be brought forward.
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
        // Unread bytes at the close would cause a reset.
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
            read = discard.next(stream), if discard.can_read_more() => {
                if read.is_err() {
                    return LingerEnd::Broken;
                }
            }
            () = sleep_until((now + POLL_INTERVAL).into()) => {}
        }
    }
}

/// Waits until the peer has acknowledged everything written, without reading; for a connection that another task reads.
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
