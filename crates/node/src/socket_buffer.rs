//! Rings on sockets: what moves between a connection and its ring without waiting.

pub use rainstand_protocol::ring::Ring;
use socket2::SockRef;
use std::io::{self, Read};
use tokio::net::TcpStream;

/// Bytes moved between a socket and a ring in one go: a few frames, and small on the stack.
const CHUNK: usize = 8 * 1024;

/// What one read brought.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    Some,
    Nothing,
    End,
}

pub trait SocketIo {
    /// One read from the socket, without waiting.
    fn fill(&mut self, from: &TcpStream) -> io::Result<ReadOutcome>;
    /// The same past the runtime, which may not have heard yet of bytes that came while it was busy.
    fn fill_now(&mut self, from: &TcpStream) -> io::Result<ReadOutcome>;
    /// Writes what the socket takes without waiting; true once it is empty.
    fn flush(&mut self, to: &TcpStream) -> io::Result<bool>;
}

impl SocketIo for Ring {
    fn fill(&mut self, from: &TcpStream) -> io::Result<ReadOutcome> {
        let mut chunk = [0; CHUNK];
        let read = from.try_read(&mut chunk);
        filled(self, read, &chunk)
    }

    fn fill_now(&mut self, from: &TcpStream) -> io::Result<ReadOutcome> {
        let mut chunk = [0; CHUNK];
        let read = (&*SockRef::from(from)).read(&mut chunk);
        filled(self, read, &chunk)
    }

    fn flush(&mut self, to: &TcpStream) -> io::Result<bool> {
        while !self.is_empty() {
            match to.try_write(self.front()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.drop_front(n),
                Err(e) if is_retryable(&e) => return Ok(false),
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }
}

fn filled(ring: &mut Ring, read: io::Result<usize>, chunk: &[u8]) -> io::Result<ReadOutcome> {
    match read {
        Ok(0) => Ok(ReadOutcome::End),
        Ok(n) => {
            ring.put(&chunk[..n]);
            Ok(ReadOutcome::Some)
        }
        Err(e) if is_retryable(&e) => Ok(ReadOutcome::Nothing),
        Err(e) => Err(e),
    }
}

fn is_retryable(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}
