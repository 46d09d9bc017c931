//! All that a node talks to, on one machine: start this, then the node with `examples/config.json`.
//! It plays the agent, the tier below and the announce service, sends a few tickets, and prints what
//! came of each. It ends by itself.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "an example: clippy's default lints hold"
)]

mod stand_ins;

use serde_json::Value;
use stand_ins::{Agent, Caller, Http};
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::time::sleep;

const TICKETS: u64 = 20;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::task::LocalSet::new().run_until(play()).await;
}

async fn play() {
    let config: Value =
        serde_json::from_str(include_str!("../config.json")).expect("the example's configuration");
    let addr = |key: &str| config[key].as_str().expect("an address").to_owned();
    let listen = |key: &str| TcpListener::bind(addr(key));
    let (agents, below, announce) = (
        listen("agent").await,
        listen("db").await,
        listen("announce").await,
    );
    let (agents, below, announce) = (agents.unwrap(), below.unwrap(), announce.unwrap());
    println!(
        "waiting for the node: ROUTER_CONFIG=examples/config.json target/release/rainstand-node"
    );
    tokio::join!(async {
        tokio::select! {
            () = work(agents) => {}
            () = answer(below, "200 OK", b"row") => {}
            () = answer(announce, "204 No Content", b"") => {}
            () = ask(addr("listen").parse().unwrap()) => {}
        }
    });
}

/// The agent: each run asks for one call, and its result is the body and what the call brought.
async fn work(agents: TcpListener) {
    let mut agent = Agent::accept(&agents).await;
    agent.greet().await;
    let mut offset = 0;
    while let Some(command) = agent.command().await {
        println!("agent     <- {command}");
        offset += 1;
        match command["cmd"].as_str() {
            Some("launch") => agent.asks_call(offset, &command["req"], b"select").await,
            Some("deliver" | "forgo") => {
                agent
                    .outcome(offset, &command["req"], "fine", b"done")
                    .await
            }
            _ => {}
        }
    }
}

/// The tier below, or the announce service: the same reply to all.
async fn answer(listener: TcpListener, status: &'static str, body: &'static [u8]) {
    loop {
        let mut http = Http::accept(&listener).await;
        tokio::task::spawn_local(async move {
            while let Some((head, _)) = http.request().await {
                println!(
                    "{:<9} <- {}",
                    if body.is_empty() { "announce" } else { "below" },
                    head.lines().next().unwrap()
                );
                http.reply(status, body).await;
            }
        });
    }
}

/// The caller: waits until the node answers a probe well, then sends its tickets.
async fn ask(node: std::net::SocketAddr) {
    while tokio::net::TcpStream::connect(node).await.is_err() {
        sleep(Duration::from_millis(100)).await;
    }
    let mut caller = Caller::connect(node).await;
    caller.probe().await;
    println!("caller    <- {:?}", caller.next().await);
    sleep(Duration::from_millis(200)).await;
    for n in 0..TICKETS {
        let born = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap()
            .as_millis()
            .to_string();
        let trace = format!("{n:016x}");
        let fields = [
            ("route", if n % 3 == 0 { "register" } else { "check" }),
            ("trace", &trace),
            ("born", &born),
            ("client", "0"),
            ("customer", if n % 2 == 0 { "acme" } else { "globex" }),
            ("size", "20"),
            ("order", "0.5"),
        ];
        caller.ask(&fields, b"what is asked").await;
        println!("caller    <- {:?}", caller.next().await);
        sleep(Duration::from_millis(100)).await;
    }
}
