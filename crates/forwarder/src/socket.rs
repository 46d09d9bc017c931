//! Non-blocking socket reads and writes, and the protocol's limits of a connection.

use rainstand_protocol::ring::Ring;
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{self, Read};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Requests without an answer that the protocol allows on one connection, from a client or to a member.
pub(crate) const MAX_PIPELINED_REQUESTS: usize = 32;
/// Size of the length field before each frame.
pub(crate) const FRAME_HEADER_BYTES: usize = 4;
/// Bytes read in one go, some ten requests, after which timers and other connections get a turn.
const MAX_BYTES_PER_TURN: usize = 4 << 10;
/// Size of one read from a socket: two frames of maximum length.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// The buffer between a socket and its connection's ring. All connections share it: with one each, ten thousand idle
/// connections would hold 8 KB each.
pub(crate) struct ReadBuffer {
    chunk: RefCell<Box<[u8]>>,
}

impl Default for ReadBuffer {
    fn default() -> Self {
        Self {
            chunk: RefCell::new(vec![0; READ_CHUNK_BYTES].into()),
        }
    }
}

impl ReadBuffer {
    /// Reads available bytes into `inbound` and returns their number, 0 at the end of the stream.
    pub(crate) fn read(&self, stream: &TcpStream, inbound: &mut Ring) -> io::Result<usize> {
        let mut chunk = self.chunk.borrow_mut();
        let length = stream.try_read(&mut chunk)?;
        inbound.put(&chunk[..length]);
        Ok(length)
    }

    /// As [`ReadBuffer::read`], but issues the system call even if the runtime has not seen the socket become readable.
    pub(crate) fn read_unpolled(
        &self,
        stream: &TcpStream,
        inbound: &mut Ring,
    ) -> io::Result<usize> {
        let mut chunk = self.chunk.borrow_mut();
        let length = (&*SockRef::from(stream)).read(&mut chunk)?;
        inbound.put(&chunk[..length]);
        Ok(length)
    }
}

/// Yields after a large read, so that a flood of requests does not delay timers and other connections.
pub(crate) async fn end_turn(bytes_read: usize) {
    if bytes_read > MAX_BYTES_PER_TURN {
        yield_now().await;
    }
}

/// Writes as much as the socket accepts without blocking.
pub(crate) fn flush(outbound: &RefCell<Ring>, stream: &TcpStream) -> io::Result<()> {
    let mut outbound = outbound.borrow_mut();
    while !outbound.is_empty() {
        match stream.try_write(outbound.front()) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(length) => outbound.drop_front(length),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
