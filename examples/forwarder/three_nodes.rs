//! Three nodes behind a forwarder, and a client that sends it thirty requests.
//!
//!     cargo run -p rainstand-forwarder --example three_nodes &
//!     cargo run -p rainstand-cli -- forward --config examples/forwarder/main.rain --listen 127.0.0.1:5070
//!
//! The third node fails every request. The forwarder retries checks on the other nodes; a registration that was sent
//! to the third node fails, since it may have run. After some failures the forwarder stops using that node. The client
//! prints the outcome of each request.

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

/// Attempts to connect to the forwarder, 250 ms apart.
const CONNECT_ATTEMPTS: u32 = 240;
const FORWARDER: ([u8; 4], u16) = ([127, 0, 0, 1], 5070);

async fn run() -> std::io::Result<()> {
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
    let mut connected = None;
    for _ in 0..CONNECT_ATTEMPTS {
        sleep(Duration::from_millis(250)).await;
        connected = Caller::new(FORWARDER.into()).await.ok();
        if connected.is_some() {
            break;
        }
    }
    let Some(mut caller) = connected else {
        println!("no forwarder found");
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
        let outcome = match caller.next_reply().await?.1 {
            Reply::Served(body) => format!("served: {}", String::from_utf8_lossy(&body)),
            Reply::Rejected { retry_after, .. } => {
                format!("rejected, retry after {retry_after:?}")
            }
            Reply::Failed => "failed".into(),
            Reply::Exception(text) => text,
        };
        println!("{n:>2} {route:<9} {outcome}");
    }
    Ok(())
}

fn main() -> std::io::Result<()> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(run())
}
