//! Measures events per second on one core by size of the fleet, and memory. `cargo bench -p rainstand-fleet-model`
//!
//! `SIZE=10000` includes the largest fleet: 10,000 nodes, 500 forwarders that know 100 members each, 80 % load.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_fleet_model::plan::{FrontPlan, NodeKind, NodePlan, Plan, Work};
use rainstand_fleet_model::world;
use std::time::{Duration, Instant};

fn peak_memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap_or("unknown")
        .trim()
        .to_owned()
}

fn main() {
    let max_nodes: u32 = std::env::var("SIZE")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(1_000);
    let seconds: u64 = std::env::var("SECONDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(10);
    for nodes in [10u32, 100, 1_000, 10_000] {
        if nodes > max_nodes {
            break;
        }
        let mut plan = Plan {
            lasts: Duration::from_secs(seconds),
            load: vec![(Duration::ZERO, 0.8)],
            ..Plan::default()
        };
        plan.nodes = NodePlan {
            count: nodes,
            cores: 4,
            kind: NodeKind::Plain {
                at_once: 4,
                hold: 40,
            },
            ..plan.nodes
        };
        for class in &mut plan.types {
            class.work = Work::About(Duration::from_millis(200));
            class.goal = Duration::from_secs(3);
            class.outer_limit = Duration::from_secs(7);
        }
        plan.dispatchers = (nodes / 10).max(1);
        plan.fronts = FrontPlan {
            count: (nodes / 20).max(2),
            know: nodes.min(100),
            ..FrontPlan::default()
        };
        let start = Instant::now();
        let measured = world::run(&plan).expect("valid plan");
        let elapsed = start.elapsed().as_secs_f64();
        println!(
            "{nodes:>6} nodes, {:>4} forwarders: {:>9} jobs, {:>10} events in {elapsed:6.1} s, {:5.2} million per second; good {:.4}; {} of memory; broken: {:?}",
            plan.fronts.count,
            measured.jobs().asked,
            measured.events,
            measured.events as f64 / elapsed / 1e6,
            measured.good_share(),
            peak_memory(),
            measured.broken.map(|broken| broken.to_string())
        );
    }
}
