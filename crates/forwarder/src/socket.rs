//! Reads and writes of non-blocking sockets that take what there is and never wait, and the protocol's bounds of a
//! connection.

use rainstand_protocol::ring::Ring;
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{self, Read};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Requests that the protocol allows open on one connection, of a client or to a member.
pub(crate) const MAX_PIPELINED_REQUESTS: usize = 32;
/// Bytes of a frame's length, before the frame.
pub(crate) const FRAME_HEADER_BYTES: usize = 4;
/// Bytes that came at once, past which timers and other connections get a turn: some ten requests.
const MAX_BYTES_PER_TURN: usize = 4 << 10;
/// Read from a socket at once, bytes: two frames of the longest.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Where bytes lie between a socket and its connection's ring. One for all connections: with one each, ten thousand
/// idle ones would hold 8 KB each.
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
    /// Reads what the socket has into `inbound`; how many bytes it was, 0 at the end of the stream.
    pub(crate) fn read(&self, stream: &TcpStream, inbound: &mut Ring) -> io::Result<usize> {
        let mut chunk = self.chunk.borrow_mut();
        let length = stream.try_read(&mut chunk)?;
        inbound.put(&chunk[..length]);
        Ok(length)
    }

    /// As [`ReadBuffer::read`], but asks the system even if the runtime has not seen the socket become readable.
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

/// Gives timers and other connections a turn after many bytes, which a flood would otherwise hold up.
pub(crate) async fn end_turn(bytes_read: usize) {
    if bytes_read > MAX_BYTES_PER_TURN {
        yield_now().await;
    }
}

/// Writes what the socket takes without waiting.
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
