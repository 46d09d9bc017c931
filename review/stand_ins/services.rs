//! The database and the announce service, by the protocol page.

use crate::tools::{ms, part, Chance, Record};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, sleep};

/// Reads one HTTP request with its body; `None` at the end of the connection.
pub fn read_http(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse().ok())
                .unwrap_or(0usize);
            while bytes.len() < end + 4 + length {
                let read = stream.read(&mut chunk).ok().filter(|read| *read > 0)?;
                bytes.extend_from_slice(&chunk[..read]);
            }
            return Some((head, bytes[end + 4..end + 4 + length].to_vec()));
        }
        let read = stream.read(&mut chunk).ok().filter(|read| *read > 0)?;
        bytes.extend_from_slice(&chunk[..read]);
    }
}

/// The reply of the database to a call with this body.
pub fn db_reply(body: &str) -> String {
    let ticket = part(body, "ticket").unwrap_or_default();
    let call = part(body, "call").unwrap_or_default();
    format!("row-of-{ticket}-call-{call}")
}

/// Answers each call after a short while, with a reply that names the ticket and the call.
pub fn start_db(record: &Record, seed: u64) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let record = record.clone();
    let calls = AtomicU64::new(seed);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            let mut chance = Chance(calls.fetch_add(1, Ordering::Relaxed));
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                while let Some((head, body)) = read_http(&mut stream) {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    let trace = head
                        .lines()
                        .filter_map(|line| line.split_once(':'))
                        .find(|(name, _)| name.eq_ignore_ascii_case("request-ref"))
                        .map(|(_, value)| value.trim().to_owned())
                        .unwrap_or_default();
                    sleep(ms(chance.between(10, 40)));
                    let reply = db_reply(&body);
                    record.line(&format!("db answers the call of {trace} ({body}): {reply}"));
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{reply}",
                        reply.len()
                    );
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

pub fn start_announce() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut stream = stream;
                while read_http(&mut stream).is_some() {
                    if stream
                        .write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}
