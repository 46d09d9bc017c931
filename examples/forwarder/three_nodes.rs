//! Three nodes for a forwarder to stand in front of, and a caller that asks it thirty times.
//!
//!     cargo run -p rainstand-forwarder --example three_nodes &
//!     cargo run -p rainstand-cli -- forward --config examples/forwarder/main.rain --listen 127.0.0.1:5070
//!
//! Node three fails every ticket: checks are honoured by the others all the same, registrations that met it
//! are given up, since they may have run; after three failures it is left out. The caller prints what came of each.

use rainstand_protocol::thrift::{self, What};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Tries to reach the forwarder, a quarter of a second apart.
const TRIES: u32 = 240;

fn frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut frame = vec![0; (u32::from_be_bytes(head) as usize).min(thrift::FRAME_MOST)];
    stream.read_exact(&mut frame).ok()?;
    Some(frame)
}

fn serve(mut stream: TcpStream, name: &str) {
    while let Some(frame) = frame(&mut stream) {
        let Ok(message) = thrift::message(&frame) else { return };
        if message.name != b"process" {
            continue;
        }
        let told = match name {
            "three" => thrift::lost(message.seq),
            _ => thrift::answer(b"process", message.seq, format!("done by {name}").as_bytes(), true),
        };
        if stream.write_all(&told).is_err() {
            return;
        }
    }
}

fn main() -> std::io::Result<()> {
    for (port, name) in [(5071, "one"), (5072, "two"), (5073, "three")] {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || serve(stream, name));
            }
        });
    }
    println!("nodes at 127.0.0.1:5071 to 5073; waiting for a forwarder at 127.0.0.1:5070");
    let found = (0..TRIES).find_map(|_| {
        std::thread::sleep(Duration::from_millis(250));
        TcpStream::connect("127.0.0.1:5070").ok()
    });
    let Some(mut forwarder) = found else {
        println!("none came");
        return Ok(());
    };
    for seq in 1..=30 {
        std::thread::sleep(Duration::from_millis(50));
        let route = if seq % 2 == 0 { "check" } else { "register" };
        let fields = [("route", route), ("customer", "acme"), ("trace", "0000000000000001")];
        forwarder.write_all(&thrift::process(seq, &fields, b"body"))?;
        let Some(answer) = frame(&mut forwarder) else { break };
        let words = match thrift::answered(&answer).map(|told| told.what) {
            Ok(What::Answer { body, .. }) => String::from_utf8_lossy(body).into_owned(),
            Ok(What::Backoff(_)) => "dismissed".into(),
            Ok(What::Lost) => "given up".into(),
            Ok(What::Exception { why, .. }) => String::from_utf8_lossy(why).into_owned(),
            Err(flaw) => flaw.into(),
        };
        println!("{seq:>2} {route:<9} {words}");
    }
    Ok(())
}
