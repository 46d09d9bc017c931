//! Runs a node, from its listener to the end of its drain.

use crate::context::NodeContext;
use crate::supervisor::supervise;
use crate::{agent, connections, drain, registration};
use std::future::Future;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Serves on this listener until `shutdown` completes and everything is answered. Must run on a
/// [`tokio::task::LocalSet`].
pub async fn run(
    context: Rc<NodeContext>,
    listener: TcpListener,
    shutdown: impl Future<Output = ()>,
) {
    *context.listener.borrow_mut() = Some(Rc::new(listener));
    spawn_supervised(&context, "accept", connections::accept);
    spawn_supervised(&context, "look_after", connections::sweep_connections);
    spawn_supervised(&context, "agent", agent::run_link);
    spawn_supervised(&context, "announce", registration::keep_reporting);
    shutdown.await;
    drain::drain(&context).await;
    context.print_counts();
}

fn spawn_supervised<F: Future<Output = ()> + 'static>(
    context: &Rc<NodeContext>,
    name: &'static str,
    task: impl Fn(Rc<NodeContext>) -> F + 'static,
) {
    let shared = context.clone();
    let start = move || task(shared.clone());
    spawn_local(supervise(context.clone(), name, start));
}
