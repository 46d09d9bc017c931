//! Ring buffers on sockets: non-blocking reads and writes between a connection and its buffers.

pub use rainstand_protocol::ring::Ring;
use socket2::SockRef;
use std::io::{self, Read};
use tokio::net::TcpStream;

/// Maximum bytes per read from a socket: a few frames, and small on the stack.
const CHUNK_BYTES: usize = 8 * 1024;

/// The result of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes were read.
    Bytes,
    /// No bytes are available now.
    WouldBlock,
    /// The peer ended the connection.
    EndOfStream,
}

/// Non-blocking reads and writes.
pub trait SocketIo {
    /// Reads once from the socket, if the runtime reports it as readable.
    ///
    /// # Errors
    /// Those of the socket.
    fn fill(&mut self, from: &TcpStream) -> io::Result<ReadOutcome>;

    /// Reads once with a system call: the runtime may not know yet of bytes that arrived while it was busy.
    ///
    /// # Errors
    /// Those of the socket.
    fn fill_now(&mut self, from: &TcpStream) -> io::Result<ReadOutcome>;

    /// Writes as much as the socket accepts; true once the buffer is empty.
    ///
    /// # Errors
    /// Those of the socket.
    fn flush(&mut self, to: &TcpStream) -> io::Result<bool>;
}

impl SocketIo for Ring {
    fn fill(&mut self, from: &TcpStream) -> io::Result<ReadOutcome> {
        let mut chunk = [0; CHUNK_BYTES];
        let read = from.try_read(&mut chunk);
        put(self, read, &chunk)
    }

    fn fill_now(&mut self, from: &TcpStream) -> io::Result<ReadOutcome> {
        let mut chunk = [0; CHUNK_BYTES];
        let read = (&*SockRef::from(from)).read(&mut chunk);
        put(self, read, &chunk)
    }

    fn flush(&mut self, to: &TcpStream) -> io::Result<bool> {
        while !self.is_empty() {
            match to.try_write(self.front()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => self.drop_front(written),
                Err(error) if is_retryable(&error) => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }
}

fn put(ring: &mut Ring, read: io::Result<usize>, chunk: &[u8]) -> io::Result<ReadOutcome> {
    match read {
        Ok(0) => Ok(ReadOutcome::EndOfStream),
        Ok(len) => {
            ring.put(&chunk[..len]);
            Ok(ReadOutcome::Bytes)
        }
        Err(error) if is_retryable(&error) => Ok(ReadOutcome::WouldBlock),
        Err(error) => Err(error),
    }
}

fn is_retryable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}
