//! Runs a forwarder from startup to the end of its drain.

use crate::drain::drain;
use crate::request_table::run_timers;
use crate::upstream::watch_key_homes;
use crate::{listener, ForwarderContext};
use rainstand_routing::fleet::MemberStatusChange;
use rainstand_routing::health::MemberStatus;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval between evaluations of the members' health.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the process reports to the fleet that it gets processor time, while requests are in flight.
const TURN_INTERVAL: Duration = Duration::from_millis(5);

/// Serves until `shutdown` completes, then drains: requests in flight have `drain_timeout` to complete, and their
/// answers a little longer to be written, see [`crate::drain`].
///
/// # Panics
/// When called outside of a [`tokio::task::LocalSet`].
pub async fn run(
    context: Rc<ForwarderContext>,
    listener: TcpListener,
    drain_timeout: Duration,
    shutdown: impl Future<Output = ()>,
) {
    spawn_local(listener::accept(context.clone(), listener));
    spawn_local(run_timers(context.clone()));
    spawn_local(evaluate_health(context.clone()));
    spawn_local(watch_key_homes(context.clone()));
    context.fleet.borrow_mut().expect_turns(TURN_INTERVAL);
    spawn_local(report_turns(context.clone()));
    shutdown.await;
    drain(&context, drain_timeout).await;
    tracing::info!(event = "counts", words = "counts", what = %context.counters_line());
}

/// Reports turns to the fleet while requests are in flight, so that a period without processor time shows as a gap.
async fn report_turns(context: Rc<ForwarderContext>) {
    loop {
        if context.requests.is_empty() {
            context.fleet.borrow_mut().on_idle();
            context.requests.became_nonempty().await;
        }
        sleep(TURN_INTERVAL).await;
        context.fleet.borrow_mut().on_turn(context.now());
    }
}

/// Evaluates the members' health for as long as the forwarder runs.
async fn evaluate_health(context: Rc<ForwarderContext>) {
    loop {
        sleep(HEALTH_CHECK_INTERVAL).await;
        let changes = context.fleet.borrow_mut().tick(context.now());
        for change in changes {
            log_member_status(&context, change);
        }
    }
}

fn log_member_status(context: &ForwarderContext, change: MemberStatusChange) {
    let MemberStatusChange { member, status } = change;
    let fleet = context.fleet.borrow();
    let address = fleet.address(member);
    let pool = fleet.table().pool_name(member.pool);
    let why = match status {
        MemberStatus::Ejected(ejection) => ejection.reason.as_str(),
        MemberStatus::Healthy | MemberStatus::Probing => "",
    };
    let to = status.as_str();
    tracing::info!(event = "member", words = "member", pool, address = %address, to, why);
}
