//! Three nodes for a forwarder to stand in front of, and a caller that asks it thirty times.
//!
//!     cargo run -p rainstand-forwarder --example three_nodes &
//!     cargo run -p rainstand-cli -- forward --config examples/forwarder/main.rain --listen 127.0.0.1:5070
//!
//! Node three fails every ticket: checks are honoured by the others all the same, registrations that met it
//! are given up, since they may have run; after some failures it is left out. The caller prints what came of each.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "an example: clippy's default lints hold"
)]

use rainstand_invariants::Kind;
use rainstand_test_servers::caller::{Call, Caller, Reply};
use rainstand_test_servers::script::Script;
use rainstand_test_servers::server::TestServerOptions;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Tries to reach the forwarder, a quarter of a second apart.
const TRIES: u32 = 240;
const FORWARDER: ([u8; 4], u16) = ([127, 0, 0, 1], 5070);

async fn play() -> std::io::Result<()> {
    let scripts = [
        "honour after 2ms..9ms",
        "cores 2\nhonour after 5ms",
        "fail after 1ms",
    ];
    for (port, text) in (5071..).zip(scripts) {
        let script = Script::read(text).map_err(std::io::Error::other)?;
        let address = Some(SocketAddr::from(([127, 0, 0, 1], port)));
        TestServerOptions {
            script,
            address,
            seed: u64::from(port),
            ..TestServerOptions::default()
        }
        .start();
    }
    println!("nodes at 127.0.0.1:5071 to 5073; waiting for a forwarder at 127.0.0.1:5070");
    let mut found = None;
    for _ in 0..TRIES {
        sleep(Duration::from_millis(250)).await;
        found = Caller::new(FORWARDER.into()).await.ok();
        if found.is_some() {
            break;
        }
    }
    let Some(mut caller) = found else {
        println!("none came");
        return Ok(());
    };
    for n in 1..=30 {
        sleep(Duration::from_millis(50)).await;
        let (route, kind) = if n % 2 == 0 {
            ("check", Kind::Rerunnable)
        } else {
            ("register", Kind::Exclusive)
        };
        caller
            .send(&Call {
                request_class: route,
                kind,
                ..Call::default()
            })
            .await?;
        let words = match caller.next_reply().await?.1 {
            Reply::Served(body) => format!("honoured: {}", String::from_utf8_lossy(&body)),
            Reply::Rejected { retry_after, .. } => {
                format!("dismissed, come back in {retry_after:?}")
            }
            Reply::Failed => "given up".into(),
            Reply::Exception(why) => why,
        };
        println!("{n:>2} {route:<9} {words}");
    }
    Ok(())
}

fn main() -> std::io::Result<()> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(play())
}
