//! Sends one request to a member of a group and reads its response.

use rainstand_cluster::framing::with_length_prefix;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time limit for connecting and for each read of the response; a reachable member responds much faster.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Enough for the status of a thousand shards with a few peers each.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Sends a message, and returns the response without its length prefix.
///
/// # Errors
///
/// If the member cannot be reached, does not respond in time, or its response exceeds [`MAX_RESPONSE_BYTES`].
pub(crate) fn exchange(member: SocketAddr, message: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&member, RESPONSE_TIMEOUT)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.write_all(&with_length_prefix(message))?;
    let mut length_prefix = [0; 4];
    stream.read_exact(&mut length_prefix)?;
    let length = u32::from_be_bytes(length_prefix) as usize;
    if length > MAX_RESPONSE_BYTES {
        return Err(io::Error::other(format!(
            "the response of {length} bytes is too long"
        )));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}
