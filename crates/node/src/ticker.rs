//! Starts the policy at the agent's first greeting, and ticks it from then on.

use crate::context::{Core, NodeContext};
use crate::counters::count;
use crate::supervisor::supervise;
use crate::{drain, log_event};
use rainstand::Host;
use rainstand_settings::Machine;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// A tick that is late by more than this is counted: the process or its machine was suspended.
const LATE_TICK: Duration = Duration::from_millis(20);

/// The gauges are requested this long before a tick is due; the tick runs at the answer, or when due. Ten times the
/// agent's response time, in whole steps of the clock.
const GAUGE_LEAD_TIME: Duration = Duration::from_millis(2);

/// Ticks with older gauges are counted: half of the time between two ticks.
const MAX_GAUGE_AGE: Duration = Duration::from_millis(10);

/// An agent that has been up for longer may have worked with an earlier process of this node. One that worked for a
/// shorter time can hold hardly any downstream capacity.
const FIRST_START_MAX_AGE: Duration = Duration::from_secs(1);

/// Time to the next tick if the policy requested none: the interval that it usually requests.
const DEFAULT_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Starts the policy, once, with an agent that has been up for `uptime`.
///
/// # Errors
/// The reason code of the link's end, if the settings cannot be used.
pub fn start_policy(
    context: &Rc<NodeContext>,
    uptime: Duration,
    is_cold: bool,
) -> Result<(), &'static str> {
    let mut core = context.core.borrow_mut();
    if core.controller.is_some() {
        return Ok(());
    }
    // The policy's clock starts with the agent, so that the warm-up is counted from the agent's start.
    if let Some(started) = Instant::now().checked_sub(uptime) {
        core.table.started = started;
    }
    let Core { controller, table } = &mut *core;
    let now = table.now();
    let reloaded = context.reloaded_config.borrow();
    let config = reloaded.as_ref().unwrap_or(&context.config);
    let machine = Machine {
        started: now.saturating_sub(uptime),
        is_cold,
        had_predecessor: uptime > FIRST_START_MAX_AGE,
    };
    let start = config.start(machine).map_err(|_| "settings")?;
    drop(reloaded);
    log_event!(
        "agent_up",
        "agent up",
        since_ms = uptime.as_millis(),
        cold = is_cold
    );
    controller.insert(start.controller).begin(now, table);
    drop(core);
    // A policy that starts after the shutdown notice must not run requests past the kill.
    drain::notify_policy(context);
    let tick_context = context.clone();
    spawn_local(supervise(context.clone(), "beat", move || {
        run_ticks(tick_context.clone())
    }));
    Ok(())
}

/// Ticks the policy no later than it requested, with new gauges or, if none arrive in time, the last known.
async fn run_ticks(context: Rc<NodeContext>) {
    loop {
        // A policy that panicked before it requested the next tick is still ticked.
        let requested = context.core.borrow_mut().table.wake_at.take();
        let due_at = requested.unwrap_or_else(|| {
            count(&context.counts.unasked_beats);
            Instant::now() + DEFAULT_TICK_INTERVAL
        });
        // Gauges are sampled just before the tick: older ones do not match the current runs.
        sleep_until(due_at.checked_sub(GAUGE_LEAD_TIME).unwrap_or(due_at).into()).await;
        context.link.sample();
        tokio::select! {
            () = context.link.sampled.notified() => {}
            () = sleep_until(due_at.into()) => {}
        }
        count(&context.counts.beats);
        if due_at.elapsed() > LATE_TICK {
            count(&context.counts.late_beats);
        }
        tick(&context);
        fail_overdue(&context);
    }
}

fn tick(context: &NodeContext) {
    context.drive_policy(|policy, now, table| {
        let age = table.gauges_received_at.map(|at| at.elapsed());
        if age.is_none_or(|age| age > MAX_GAUGE_AGE) {
            count(&table.counts.stale_gauges);
        }
        let gauges = table.gauges;
        policy.on_tick(now, table, gauges);
    });
}

/// Fails unanswered requests that are past their deadline: the policy may have lost them in a panic, and their callers
/// must be answered nevertheless.
fn fail_overdue(context: &NodeContext) {
    let overdue = context.core.borrow().table.overdue_requests(Instant::now());
    for index in overdue {
        count(&context.counts.unsettled);
        context.drive_policy(|policy, now, table| {
            table.fail(index);
            policy.on_caller_gone(now, table, index);
        });
    }
}
