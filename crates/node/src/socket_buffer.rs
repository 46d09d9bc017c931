//! Ring buffers on sockets: what moves between a connection and its buffer without waiting.

pub use rainstand_protocol::ring::Ring;
use socket2::SockRef;
use std::io::{self, Read};
use tokio::net::TcpStream;

/// Bytes moved between a socket and a buffer in one go: a few frames, and small on the stack.
const CHUNK_BYTES: usize = 8 * 1024;

/// What one read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes.
    Some,
    /// None for now.
    Nothing,
    /// The other side ended the connection.
    End,
}

/// Reads and writes that do not wait.
pub trait SocketIo {
    /// One read from the socket, as far as the runtime knows of bytes.
    ///
    /// # Errors
    /// Those of the socket.
    fn fill(&mut self, from: &TcpStream) -> io::Result<ReadOutcome>;

    /// The same, asking the system: the runtime may not have heard yet of bytes that came while it was busy.
    ///
    /// # Errors
    /// Those of the socket.
    fn fill_now(&mut self, from: &TcpStream) -> io::Result<ReadOutcome>;

    /// Writes what the socket takes; true once the buffer is empty.
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
        Ok(0) => Ok(ReadOutcome::End),
        Ok(len) => {
            ring.put(&chunk[..len]);
            Ok(ReadOutcome::Some)
        }
        Err(error) if is_retryable(&error) => Ok(ReadOutcome::Nothing),
        Err(error) => Err(error),
    }
}

fn is_retryable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}
