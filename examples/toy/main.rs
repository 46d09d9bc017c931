//! Everything that a node communicates with, on one machine: start this program, then the node with
//! `examples/config.json`. It acts as the agent, the downstream tier and the service registry, sends a few requests as
//! a caller, prints the outcome of each, and then exits.

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

const REQUESTS: u64 = 20;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::task::LocalSet::new().run_until(run()).await;
}

async fn run() {
    let config: Value =
        serde_json::from_str(include_str!("../config.json")).expect("the example's configuration");
    let addr = |key: &str| config[key].as_str().expect("an address").to_owned();
    let listen = |key: &str| TcpListener::bind(addr(key));
    let (agent, downstream, registry) = (
        listen("agent").await,
        listen("db").await,
        listen("announce").await,
    );
    let (agent, downstream, registry) = (agent.unwrap(), downstream.unwrap(), registry.unwrap());
    println!(
        "waiting for the node: ROUTER_CONFIG=examples/config.json target/release/rainstand-node"
    );
    tokio::join!(async {
        tokio::select! {
            () = run_agent(agent) => {}
            () = run_http_server(downstream, "200 OK", b"row") => {}
            () = run_http_server(registry, "204 No Content", b"") => {}
            () = run_caller(addr("listen").parse().unwrap()) => {}
        }
    });
}

/// The agent: each run requests one downstream call and succeeds when the call has ended or was skipped.
async fn run_agent(listener: TcpListener) {
    let mut agent = Agent::accept(&listener).await;
    agent.greet().await;
    let mut offset = 0;
    while let Some(command) = agent.command().await {
        println!("agent      <- {command}");
        offset += 1;
        match command["cmd"].as_str() {
            Some("launch") => agent.request_call(offset, &command["req"], b"select").await,
            Some("deliver" | "forgo") => {
                agent
                    .outcome(offset, &command["req"], "fine", b"done")
                    .await
            }
            _ => {}
        }
    }
}

/// The downstream tier (with a body) or the service registry (without): sends the same reply to all requests.
async fn run_http_server(listener: TcpListener, status: &'static str, body: &'static [u8]) {
    loop {
        let mut http = Http::accept(&listener).await;
        tokio::task::spawn_local(async move {
            while let Some((head, _)) = http.request().await {
                println!(
                    "{:<10} <- {}",
                    if body.is_empty() {
                        "registry"
                    } else {
                        "downstream"
                    },
                    head.lines().next().unwrap()
                );
                http.reply(status, body).await;
            }
        });
    }
}

/// The caller: waits until the node accepts connections, probes it, then sends its requests.
async fn run_caller(node: std::net::SocketAddr) {
    while tokio::net::TcpStream::connect(node).await.is_err() {
        sleep(Duration::from_millis(100)).await;
    }
    let mut caller = Caller::connect(node).await;
    caller.probe().await;
    println!("caller     <- {:?}", caller.next().await);
    sleep(Duration::from_millis(200)).await;
    for n in 0..REQUESTS {
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
        caller.ask(&fields, b"request body").await;
        println!("caller     <- {:?}", caller.next().await);
        sleep(Duration::from_millis(100)).await;
    }
}
