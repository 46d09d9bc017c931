//! A forwarder that runs within a test.
#![allow(dead_code)]
// each test file uses only some of the helpers

use rainstand_config::schema::Configuration;
use rainstand_config::{load, source::Memory};
use rainstand_forwarder::{run, ForwarderContext};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// Ends a test that hangs; no test measures time with it.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Time that a forwarder has to drain.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

pub struct RunningForwarder {
    pub context: Rc<ForwarderContext>,
    pub addr: SocketAddr,
    pub shutdown: Rc<Notify>,
    pub task: JoinHandle<()>,
}

/// Starts a forwarder; `seed` determines its random choices.
pub async fn start_forwarder(configuration: &Configuration, seed: u64) -> RunningForwarder {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let context = ForwarderContext::new(configuration.clone(), "", seed).unwrap();
    let shutdown = Rc::new(Notify::new());
    let shutdown_requested = shutdown.clone();
    let task = spawn_local(run(context.clone(), listener, STOP_TIMEOUT, async move {
        shutdown_requested.notified().await
    }));
    RunningForwarder {
        context,
        addr,
        shutdown,
        task,
    }
}

/// Reads the text of a configuration file.
pub fn parse_configuration(text: String) -> Configuration {
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    outcome
        .configuration
        .unwrap_or_else(|| panic!("{:?}", outcome.findings))
}

pub fn run_test<T: Future<Output = ()>>(test: T) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let finished = LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(HANG_TIMEOUT, test).await
    });
    finished.expect("the test hangs");
}
