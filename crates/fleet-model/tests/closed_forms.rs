//! The model agrees with closed-form results: queues, processor sharing, retries, warm-up.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_fleet_model::measure::Measured;
use rainstand_fleet_model::plan::{
    Fault, FrontPlan, Habits, NetPlan, NodeKind, NodePlan, Plan, Trouble, Whom, Work,
};
use rainstand_fleet_model::world;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// One node that clients send to directly, without network delay.
fn one_node(cores: u32, kind: NodeKind, load: f64, work: Work, seed: u64) -> Plan {
    let mut plan = Plan {
        seed,
        lasts: Duration::from_secs(400 / u64::from(cores)),
        load: vec![(MS(0), load)],
        ..Plan::default()
    };
    plan.types.truncate(1);
    plan.types[0].work = work;
    (plan.types[0].goal, plan.types[0].outer_limit) =
        (Duration::from_secs(100), Duration::from_secs(100));
    plan.nodes = NodePlan {
        count: 1,
        cores,
        kind,
        ..plan.nodes
    };
    plan.fronts.count = 0;
    plan.net = NetPlan {
        delay: (MS(0), MS(0)),
        far: MS(0),
        breaks: 0.0,
    };
    plan.habits = Habits {
        tries: 1,
        ..Habits::default()
    };
    plan
}

/// Mean of a measurement over six seeds.
fn mean(measure: impl Fn(u64) -> f64) -> f64 {
    let values: Vec<f64> = (1..=6).map(measure).collect();
    values.iter().sum::<f64>() / values.len() as f64
}

fn assert_near(found: f64, expected: f64, tolerance: f64, quantity: &str) {
    assert!(
        (found / expected - 1.0).abs() < tolerance,
        "{quantity}: {found:.3}, expected {expected:.3}"
    );
}

fn run(plan: &Plan) -> Measured {
    let measured = world::run(plan).unwrap();
    assert_eq!(measured.broken.as_ref().map(ToString::to_string), None);
    measured
}

/// Probability of waiting in M/M/c, by the Erlang C formula.
fn erlang_c(cores: u32, load: f64) -> f64 {
    let offered = f64::from(cores) * load;
    let mut term = 1.0;
    let mut sum = 1.0;
    for k in 1..cores {
        term *= offered / f64::from(k);
        sum += term;
    }
    let last = term * offered / f64::from(cores) / (1.0 - load);
    last / (sum + last)
}

#[test]
fn queue_wait_matches_erlang_c() {
    let work = Work::About(MS(10));
    for (cores, load, tolerance) in [
        (1, 0.5, 0.06),
        (1, 0.8, 0.10),
        (4, 0.7, 0.06),
        (16, 0.9, 0.12),
    ] {
        let kind = NodeKind::Plain {
            at_once: cores,
            hold: 1_000_000,
        };
        // Exact to a microsecond only, because a wait of zero is recorded as 1 us.
        let found = mean(|seed| {
            run(&one_node(cores, kind, load, work, seed))
                .queue_waits
                .mean()
                / 1e3
        });
        let expected = erlang_c(cores, load) * 10.0 / (f64::from(cores) * (1.0 - load));
        assert_near(
            found,
            expected,
            tolerance,
            &format!("wait, ms, M/M/{cores} at {load}"),
        );
    }
}

#[test]
fn mean_time_on_shared_cores_does_not_depend_on_the_work_distribution() {
    let kind = NodeKind::Plain {
        at_once: 1_000_000,
        hold: 0,
    };
    for work in [
        Work::Fixed(MS(10)),
        Work::Between(MS(1), MS(19)),
        Work::About(MS(10)),
    ] {
        let found = mean(|seed| run(&one_node(1, kind, 0.7, work, seed)).latencies.mean() / 1e3);
        // M/G/1 with processor sharing: mean work over the idle share of the core.
        assert_near(found, 10.0 / 0.3, 0.08, &format!("time, ms, {work:?}"));
    }
}

#[test]
fn core_time_used_matches_the_load() {
    let kind = NodeKind::Plain {
        at_once: 4,
        hold: 1_000,
    };
    let plan = one_node(4, kind, 0.6, Work::Between(MS(5), MS(25)), 3);
    let busy = run(&plan).node_busy_ms[0] as f64;
    assert_near(busy, 100_000.0 * 4.0 * 0.6, 0.02, "core time used, ms");
}

#[test]
fn retry_amplification_is_limited_by_the_budget() {
    let fault = Fault {
        from: MS(0),
        to: Duration::from_secs(60),
        trouble: Trouble::FailFast(MS(1)),
        whom: Whom::Share(1.0),
    };
    let mut plan = Plan {
        lasts: Duration::from_secs(30),
        faults: vec![fault],
        ..Plan::default()
    };
    plan.types.truncate(1);
    plan.fronts = FrontPlan {
        budget: 0.2,
        tries: 5,
        ..plan.fronts
    };
    plan.habits = Habits {
        tries: 1,
        ..Habits::default()
    };
    let measured = run(&plan);
    // The budget allows a fifth of first attempts, plus ten initial retries.
    assert_near(measured.attempts_per_job(), 1.2, 0.02, "attempts per job");
    // Clients without a budget multiply this by their own retries.
    plan.habits = Habits {
        tries: 3,
        ..Habits::default()
    };
    let measured = run(&plan);
    assert_near(
        measured.requests as f64 / measured.jobs().asked as f64,
        3.0,
        0.01,
        "requests per job",
    );
    assert_near(
        measured.attempts_per_job(),
        3.0 * 1.2,
        0.05,
        "attempts per job with clients that retry",
    );
}

#[test]
fn cold_runs_are_slower_by_the_configured_factor() {
    let kind = NodeKind::Plain {
        at_once: 8,
        hold: 1_000,
    };
    let mut plan = one_node(8, kind, 0.05, Work::Fixed(MS(20)), 4);
    plan.lasts = Duration::from_secs(60);
    plan.nodes.cold = Some((Duration::from_secs(100), 3.0));
    let die = |from, to| Fault {
        from: MS(from),
        to: MS(to),
        trouble: Trouble::Die,
        whom: Whom::Share(1.0),
    };
    plan.faults = vec![die(1, 2)];
    // Nearly all runs are cold and take three times as long.
    let found = run(&plan).latencies.value_at_quantile(0.5) as f64 / 1e3;
    assert_near(found, 60.0, 0.02, "time of a cold run, ms");
    plan.nodes.cold = None;
    let found = run(&plan).latencies.value_at_quantile(0.5) as f64 / 1e3;
    assert_near(found, 20.0, 0.02, "time of a warm run, ms");
}
