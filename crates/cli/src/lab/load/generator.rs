//! Generates the requests of a load: arrivals are a Poisson process whose rate follows the plan.

use super::client::{LoadClient, LoadRequest};
use nanorand::{Rng, WyRand};
use rainstand_fleet_model::plan::Plan;
use rainstand_protocol::thrift;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// Makes this generator's random numbers differ from those of the model with the same seed.
const SEED_SALT: u64 = 0x6c6f_6164;
/// Size of a request's body.
const BODY_BYTES: usize = 200;
/// Interval between checks of the rate while it is zero.
const IDLE_STEP_SECONDS: f64 = 0.01;
/// How long to wait for responses after the longest deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Interval between checks whether all requests are answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Sends a plan's requests when they are due, and waits for the responses.
pub(super) async fn run(plan: &Plan, client: &Rc<LoadClient>) {
    send_all(plan, client).await;
    let latest_deadline = plan.types.iter().map(|class| class.outer_limit).max();
    let until = Instant::now() + latest_deadline.unwrap_or_default() + RESPONSE_MARGIN;
    while client.in_flight() > 0 && Instant::now() < until {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    client.fail_in_flight();
}

async fn send_all(plan: &Plan, client: &Rc<LoadClient>) {
    let mut rng = WyRand::new_seed(plan.seed ^ SEED_SALT);
    let class_parts: Vec<f64> = plan.types.iter().map(|class| class.part).collect();
    let tenant_parts: Vec<f64> = plan.tenants.iter().map(|tenant| tenant.part).collect();
    let start = Instant::now();
    let mut elapsed = Duration::ZERO;
    let mut number = 0u64;
    loop {
        let rate = load_share(plan, elapsed) * plan.whole_rate();
        let gap = if rate > 0.0 {
            -(1.0 - unit_interval(&mut rng)).ln() / rate
        } else {
            IDLE_STEP_SECONDS
        };
        elapsed += Duration::from_secs_f64(gap);
        if elapsed >= plan.lasts {
            return;
        }
        let class = &plan.types[weighted_choice(&mut rng, &class_parts)];
        let tenant = &plan.tenants[weighted_choice(&mut rng, &tenant_parts)];
        if rate <= 0.0 {
            continue;
        }
        number += 1;
        let request = LoadRequest {
            class: class.name.clone(),
            trace: format!("{:016x}", number << 16),
            tenant: tenant.name.clone(),
            due: start + elapsed,
            latency_objective: class.goal,
        };
        sleep_until(request.due).await;
        client.send(&request).await;
    }
}

/// The load, as a share of the capacity of all cores, at a time after the start.
fn load_share(plan: &Plan, elapsed: Duration) -> f64 {
    let step = plan.load.iter().rev().find(|(from, _)| *from <= elapsed);
    step.map_or(0.0, |(_, share)| *share)
}

/// A random number in [0, 1).
fn unit_interval(rng: &mut WyRand) -> f64 {
    f64::from(rng.generate::<u32>()) / (f64::from(u32::MAX) + 1.0)
}

/// A random index into `parts`, with probabilities proportional to the values.
fn weighted_choice(rng: &mut WyRand, parts: &[f64]) -> usize {
    let mut remaining = unit_interval(rng) * parts.iter().sum::<f64>();
    let fits = |part: &f64| {
        remaining -= part;
        remaining < 0.0
    };
    parts.iter().position(fits).unwrap_or(parts.len() - 1)
}

impl LoadRequest {
    /// Encodes the request as a frame with this sequence number.
    pub(super) fn frame(&self, sequence_number: i32) -> Vec<u8> {
        let fields = [
            ("route", &*self.class),
            ("trace", &*self.trace),
            ("customer", &*self.tenant),
            ("client", "1"),
        ];
        thrift::process(sequence_number, &fields, &[7; BODY_BYTES])
    }
}
