//! The policy's start, with the agent's first greeting, and its ticks from then on.

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

/// A tick that comes this much late is counted: the process or its machine was suspended.
const LATE_TICK: Duration = Duration::from_millis(20);

/// The gauges are requested this long before a tick is due; it comes with the answer, or when due. Ten times what the
/// agent takes to answer, in whole steps of the clock.
const GAUGE_LEAD_TIME: Duration = Duration::from_millis(2);

/// Older gauges are counted: half of the time between two ticks.
const MAX_GAUGE_AGE: Duration = Duration::from_millis(10);

/// With an agent that has been up for longer an earlier process of this node may have worked: one that did so for less
/// has held next to nothing downstream.
const FIRST_START_MAX_AGE: Duration = Duration::from_secs(1);

/// To the next tick where the policy requested none: as often as it does by itself.
const DEFAULT_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The agent is up, since `ago`: starts the policy, once.
///
/// # Errors
/// The reason code of the link's end, where the settings cannot be used.
pub fn start_policy(
    context: &Rc<NodeContext>,
    ago: Duration,
    is_cold: bool,
) -> Result<(), &'static str> {
    let mut core = context.core.borrow_mut();
    if core.controller.is_some() {
        return Ok(());
    }
    // The policy's clock starts with the agent, so that warming up is counted from there.
    if let Some(started) = Instant::now().checked_sub(ago) {
        core.table.started = started;
    }
    let Core { controller, table } = &mut *core;
    let now = table.now();
    let reloaded = context.reloaded_config.borrow();
    let config = reloaded.as_ref().unwrap_or(&context.config);
    let machine = Machine {
        began: now.saturating_sub(ago),
        is_cold,
        had_predecessor: ago > FIRST_START_MAX_AGE,
    };
    let start = config.start(machine).map_err(|_| "settings")?;
    drop(reloaded);
    log_event!(
        "agent_up",
        "agent up",
        since_ms = ago.as_millis(),
        cold = is_cold
    );
    controller.insert(start.controller).begin(now, table);
    drop(core);
    // A policy that starts after the shutdown notice must not run requests past the kill.
    drain::notify_policy(context);
    let ticking = context.clone();
    spawn_local(supervise(context.clone(), "beat", move || {
        run_ticks(ticking.clone())
    }));
    Ok(())
}

/// Ticks the policy, never later than it requested, with the gauges just sampled or the last known.
async fn run_ticks(context: Rc<NodeContext>) {
    loop {
        // A policy that panicked before it requested the next tick is ticked all the same.
        let requested = context.core.borrow_mut().table.wake_at.take();
        let at = requested.unwrap_or_else(|| {
            count(&context.counts.unasked_beats);
            Instant::now() + DEFAULT_TICK_INTERVAL
        });
        // Gauges are sampled just before: old ones do not match what runs now.
        sleep_until(at.checked_sub(GAUGE_LEAD_TIME).unwrap_or(at).into()).await;
        context.link.sample();
        tokio::select! {
            () = context.link.sampled.notified() => {}
            () = sleep_until(at.into()) => {}
        }
        count(&context.counts.beats);
        if at.elapsed() > LATE_TICK {
            count(&context.counts.late_beats);
        }
        tick(&context);
        fail_overdue(&context);
    }
}

fn tick(context: &NodeContext) {
    context.drive_policy(|policy, now, table| {
        let age = table.gauges_at.map(|at| at.elapsed());
        if age.is_none_or(|age| age > MAX_GAUGE_AGE) {
            count(&table.counts.stale_gauges);
        }
        let gauges = table.gauges;
        policy.on_tick(now, table, gauges);
    });
}

/// Fails requests that are past their deadline and not answered: the policy may have lost one in a panic, and its
/// caller is answered all the same.
fn fail_overdue(context: &NodeContext) {
    let overdue = context.core.borrow().table.overdue(Instant::now());
    for index in overdue {
        count(&context.counts.unsettled);
        context.drive_policy(|policy, now, table| {
            table.fail(index);
            policy.on_caller_gone(now, table, index);
        });
    }
}
