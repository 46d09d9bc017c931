//! What theory knows, the model must meet: queues, shared cores, retries, warm-up.

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

/// One node that dispatchers go to themselves, without a network between.
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

/// Mean over seeds of something, and the largest deviation of one seed.
fn mean(of: impl Fn(u64) -> f64) -> f64 {
    let all: Vec<f64> = (1..=6).map(of).collect();
    all.iter().sum::<f64>() / all.len() as f64
}

fn near(found: f64, wanted: f64, within: f64, what: &str) {
    assert!(
        (found / wanted - 1.0).abs() < within,
        "{what}: {found:.3}, theory says {wanted:.3}"
    );
}

fn played(plan: &Plan) -> Measured {
    let measured = world::run(plan).unwrap();
    assert_eq!(measured.broken.as_ref().map(ToString::to_string), None);
    measured
}

/// The chance to wait in M/M/c, by Erlang.
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
fn waiting_in_line_is_that_of_erlang() {
    let work = Work::About(MS(10));
    for (cores, load, within) in [
        (1, 0.5, 0.06),
        (1, 0.8, 0.10),
        (4, 0.7, 0.06),
        (16, 0.9, 0.12),
    ] {
        let kind = NodeKind::Plain {
            at_once: cores,
            hold: 1_000_000,
        };
        // To the microsecond, since waits of nothing are recorded as one.
        let found = mean(|seed| {
            played(&one_node(cores, kind, load, work, seed))
                .waits
                .mean()
                / 1e3
        });
        let wanted = erlang_c(cores, load) * 10.0 / (f64::from(cores) * (1.0 - load));
        near(
            found,
            wanted,
            within,
            &format!("wait, ms, M/M/{cores} at {load}"),
        );
    }
}

#[test]
fn shared_cores_do_not_care_how_long_runs_differ() {
    let kind = NodeKind::Plain {
        at_once: 1_000_000,
        hold: 0,
    };
    for work in [
        Work::Fixed(MS(10)),
        Work::Between(MS(1), MS(19)),
        Work::About(MS(10)),
    ] {
        let found = mean(|seed| played(&one_node(1, kind, 0.7, work, seed)).times.mean() / 1e3);
        // M/G/1 with processor sharing: the mean run over what is left of the core.
        near(found, 10.0 / 0.3, 0.08, &format!("time, ms, {work:?}"));
    }
}

#[test]
fn cores_used_are_the_load() {
    let kind = NodeKind::Plain {
        at_once: 4,
        hold: 1_000,
    };
    let plan = one_node(4, kind, 0.6, Work::Between(MS(5), MS(25)), 3);
    let busy = played(&plan).node_busy_ms[0] as f64;
    near(busy, 100_000.0 * 4.0 * 0.6, 0.02, "core time used, ms");
}

#[test]
fn retries_amplify_as_far_as_the_budget_lets_them() {
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
    let measured = played(&plan);
    // A fifth more than first tries, and ten to begin with.
    near(measured.tries_per_job(), 1.2, 0.02, "tries a job");
    // Dispatchers without a budget multiply it by their own tries.
    plan.habits = Habits {
        tries: 3,
        ..Habits::default()
    };
    let measured = played(&plan);
    near(
        measured.tickets as f64 / measured.jobs().asked as f64,
        3.0,
        0.01,
        "tickets a job",
    );
    near(
        measured.tries_per_job(),
        3.0 * 1.2,
        0.05,
        "tries a job of dispatchers that ask again",
    );
}

#[test]
fn a_cold_start_is_as_slow_as_it_says() {
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
    // Nearly all runs are cold: three times as long.
    let found = played(&plan).times.value_at_quantile(0.5) as f64 / 1e3;
    near(found, 60.0, 0.02, "time of a cold run, ms");
    plan.nodes.cold = None;
    let found = played(&plan).times.value_at_quantile(0.5) as f64 / 1e3;
    near(found, 20.0, 0.02, "time of a warm run, ms");
}
