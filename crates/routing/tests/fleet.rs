//! A forwarder's decisions while members fail, on a virtual clock: each request has one outcome, no exclusive request
//! runs twice, retries stay within their budget, and service recovers soon after the members do.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_config::{load, source::Memory};
use rainstand_invariants::{Answer, InvariantChecker, Kind, Step as InvariantStep, Violation};
use rainstand_routing::fleet::{
    AttemptOutcome, Completed, Fleet, NextAction, RequestOutcome, RequestState,
};
use rainstand_routing::health::{Ejection, EjectionReason, MemberStatus};
use rainstand_routing::retry::INITIAL_RETRIES;
use rainstand_routing::table::Request;
use rainstand_routing::weighted_split::name_hash;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

fn fleet(members: usize, proof: &str) -> Fleet {
    let members: String = (0..members)
        .map(|k| format!("member n{k} {{ address: \"10.0.0.{}:1\" }}\n", k + 1))
        .collect();
    let text = format!(
        "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
type register {{ repeat: exclusive; goal: 3 s; outer-limit: 7 s }}
tenant acme {{ share: 50 % }}
attempts a {{ tries: 3; budget: 20 %; wait: 10 ms .. 40 ms; proof: {proof} }}
attempts b {{ tries: 3; budget: 20 %; wait: 10 ms .. 40 ms }}
health h {{ back-after: 1 s .. 8 s; keep: 40 % }}
pool p {{ health: h\n{members} }}
route x {{ match {{ type: register }}; to: p; attempts: b }}
route r {{ to: p; attempts: a }}"
    );
    let loaded = load(&Memory::new([("a.rain", text)]), "a.rain");
    Fleet::new(&loaded.configuration.expect("valid"), "", 7, Duration::ZERO).unwrap()
}

/// How a member, by index, handles an attempt at a time in ms: outcome, its delay in ms, and whether the request ran.
type MemberBehavior = fn(usize, u64, &mut WyRand) -> (AttemptOutcome, u64, bool);

struct SimulationResult {
    /// Arrival and completion time in ms, and the outcome of each request.
    outcomes: Vec<(u64, u64, RequestOutcome)>,
    /// Time in ms and member of each attempt.
    attempts: Vec<(u64, usize)>,
    runs: BTreeMap<u64, u32>,
    checker: InvariantChecker,
    fleet: Fleet,
}

/// Injected bugs: mistakes that network code could make.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Bug {
    None,
    /// A connection that broke after a request was sent is reported as unreachable.
    BrokenIsUnreachable,
    /// A timeout is reported as a rejection.
    LateIsRejected,
}

enum Event {
    Arrival,
    Outcome(RequestState, AttemptOutcome, u64),
    RetryDue(RequestState, u64),
    Tick,
}

/// Time in ms, sequence number and event. Ordered by time; events of the same time by sequence number.
struct Timed(u64, u64, Event);
impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// Time from the arrival of a request until its answer is due: its latency objective plus 100 ms.
const ANSWER_DEADLINE: Duration = Duration::from_millis(3_100);

/// Simulates `rate` requests per second for `seconds`; one in five is exclusive.
fn simulate(fleet: Fleet, rate: u64, seconds: u64, behavior: MemberBehavior) -> SimulationResult {
    let (result, checked) = simulate_bug(fleet, rate, seconds, behavior, Bug::None);
    checked.unwrap_or_else(|violation| panic!("{violation}"));
    result
}

fn simulate_bug(
    mut fleet: Fleet,
    rate: u64,
    seconds: u64,
    behavior: MemberBehavior,
    bug: Bug,
) -> (SimulationResult, Result<(), Violation>) {
    let mut random = WyRand::new_seed(21);
    let mut events = BinaryHeap::new();
    let mut sequence = 0u64;
    let mut push = |events: &mut BinaryHeap<Timed>, event_ms: u64, event: Event| {
        sequence += 1;
        events.push(Timed(event_ms, sequence, event));
    };
    for n in 0..rate * seconds {
        push(&mut events, n * 1_000 / rate, Event::Arrival);
    }
    for n in 0..(seconds + 10) * 5 {
        push(&mut events, n * 200, Event::Tick);
    }
    let (mut outcomes, mut attempts, mut runs, mut checker) =
        (vec![], vec![], BTreeMap::new(), InvariantChecker::default());
    let (mut last_request, mut arrivals) = (0u64, BTreeMap::new());
    let mut first_violation = Ok(());
    while let Some(Timed(ms, _, event)) = events.pop() {
        let now = Duration::from_millis(ms);
        let mut record = |request: u64, step: InvariantStep| {
            let checked = checker.record(now, request, step);
            if first_violation.is_ok() {
                first_violation = checked;
            }
        };
        let (request, action) = match event {
            Event::Tick => {
                fleet.tick(now);
                continue;
            }
            Event::Arrival => {
                last_request += 1;
                arrivals.insert(last_request, ms);
                let request_class = u16::from(last_request.is_multiple_of(5));
                let kind = if request_class == 1 {
                    Kind::Exclusive
                } else {
                    Kind::Rerunnable
                };
                record(
                    last_request,
                    InvariantStep::Asked {
                        kind,
                        due: now + ANSWER_DEADLINE,
                        front: 0,
                    },
                );
                (
                    last_request,
                    fleet.on_arrival(
                        now,
                        &Request {
                            request_class,
                            tenant: Some(0),
                            ..Request::default()
                        },
                    ),
                )
            }
            Event::Outcome(state, outcome, request) => {
                (request, fleet.on_attempt_outcome(now, state, outcome))
            }
            Event::RetryDue(state, request) => (request, fleet.on_retry_due(now, state)),
        };
        match action {
            NextAction::Dispatch(state, attempt) => {
                let member = usize::from(attempt.to.member);
                attempts.push((ms, member));
                let (outcome, delay_ms, ran) = behavior(member, ms, &mut random);
                if ran {
                    *runs.entry(request).or_default() += 1;
                    record(
                        request,
                        InvariantStep::Ran {
                            on: member as u32,
                            marked: attempt.is_retry,
                        },
                    );
                }
                let timeout_ms = attempt.timeout.as_millis() as u64;
                let (outcome, delay_ms) = if delay_ms > timeout_ms {
                    (AttemptOutcome::TimedOut, timeout_ms)
                } else {
                    (outcome, delay_ms)
                };
                let outcome = match (bug, outcome) {
                    (Bug::BrokenIsUnreachable, AttemptOutcome::Broken) => {
                        AttemptOutcome::Unreachable
                    }
                    (Bug::LateIsRejected, AttemptOutcome::TimedOut) => AttemptOutcome::Rejected {
                        pause: Duration::ZERO,
                        nowhere_else: true,
                    },
                    (_, outcome) => outcome,
                };
                push(
                    &mut events,
                    ms + delay_ms,
                    Event::Outcome(state, outcome, request),
                );
            }
            NextAction::Backoff(state, wait) => push(
                &mut events,
                ms + wait.as_millis() as u64,
                Event::RetryDue(state, request),
            ),
            NextAction::Completed(completed) => {
                let answer = match completed.outcome {
                    RequestOutcome::Served => Answer::Honoured,
                    RequestOutcome::Rejected { .. } => Answer::Dismissed,
                    RequestOutcome::Failed | RequestOutcome::CallerGone => Answer::GivenUp,
                };
                record(request, InvariantStep::Answered(answer));
                outcomes.push((arrivals[&request], ms, completed.outcome));
            }
        }
    }
    let checked =
        first_violation.and_then(|()| checker.finish(Duration::from_secs(seconds + 10)).map(drop));
    (
        SimulationResult {
            outcomes,
            attempts,
            runs,
            checker,
            fleet,
        },
        checked,
    )
}

/// Checks what must hold however the members behave, in addition to the invariants checked during the simulation.
fn check_after_simulation(result: &mut SimulationResult, requests: u64) {
    assert_eq!(result.outcomes.len() as u64, requests);
    let (counts, now) = (result.fleet.counts(), Duration::from_secs(60));
    result
        .checker
        .check_retry_budget(
            now,
            counts.first_attempts,
            counts.retries,
            0.2,
            INITIAL_RETRIES,
        )
        .unwrap();
    assert!(
        result.fleet.members(0, now).all(|member| member.open == 0),
        "places at members were not released"
    );
    assert_eq!(
        result.fleet.pool_occupancy(0).held,
        0,
        "places of the pool were not released"
    );
}

/// Fraction of the requests that arrived in a range of ms and were served.
fn served_fraction(result: &SimulationResult, from: u64, until: u64) -> f64 {
    let requests: Vec<_> = result
        .outcomes
        .iter()
        .filter(|(arrival, ..)| (from..until).contains(arrival))
        .collect();
    requests
        .iter()
        .filter(|(.., end)| *end == RequestOutcome::Served)
        .count() as f64
        / requests.len() as f64
}

#[test]
fn service_recovers_after_all_members_failed_together() {
    let mut result = simulate(fleet(5, "none"), 200, 20, |_, ms, random| match ms {
        5_000..10_000 => (AttemptOutcome::Failed, 2, true),
        _ => (AttemptOutcome::Served, random.generate_range(10..30), true),
    });
    check_after_simulation(&mut result, 4_000);
    assert!(served_fraction(&result, 0, 4_900) > 0.99);
    let after_recovery = served_fraction(&result, 12_000, 20_000);
    assert!(after_recovery > 0.95, "{after_recovery}");
    // Requests complete quickly during the outage.
    let slow = result
        .outcomes
        .iter()
        .filter(|(arrival, end, _)| (5_500..10_000).contains(arrival) && end - arrival > 500)
        .count();
    assert_eq!(slow, 0);
}

#[test]
fn a_member_that_fails_fast_attracts_no_extra_load() {
    let mut result = simulate(
        fleet(5, "none"),
        200,
        10,
        |member, _, random| match member {
            0 => (AttemptOutcome::Failed, 1, true),
            _ => (AttemptOutcome::Served, random.generate_range(20..60), true),
        },
    );
    check_after_simulation(&mut result, 2_000);
    let at_failing_member = result
        .attempts
        .iter()
        .filter(|(_, member)| *member == 0)
        .count();
    assert!(
        at_failing_member * 5 <= result.attempts.len(),
        "{at_failing_member} of {}",
        result.attempts.len()
    );
    assert!(
        served_fraction(&result, 1_000, 10_000) > 0.97,
        "{}",
        served_fraction(&result, 1_000, 10_000)
    );
}

#[test]
fn a_hanging_member_gets_only_occasional_attempts() {
    let mut result = simulate(fleet(5, "none"), 200, 12, |member, ms, random| {
        match (member, ms) {
            (0, 3_000..) => (AttemptOutcome::Served, 100_000, true),
            _ => (AttemptOutcome::Served, random.generate_range(10..30), true),
        }
    });
    check_after_simulation(&mut result, 2_400);
    // It is ejected after two seconds without an answer; from then on it only gets an occasional probe.
    let later = result
        .attempts
        .iter()
        .filter(|(ms, member)| *member == 0 && *ms > 6_000)
        .count();
    assert!(later < 40, "{later}");
    assert!(served_fraction(&result, 6_000, 12_000) > 0.97);
}

#[test]
fn broken_connections_run_no_exclusive_request_twice() {
    // A fifth of all attempts lose their connection, half of those after the request ran; members restart in turn.
    let mut result = simulate(fleet(5, "none"), 200, 15, |member, ms, random| {
        if (ms / 1_000) as usize % 5 == member && ms % 1_000 < 300 {
            return (AttemptOutcome::Unreachable, 1, false);
        }
        match random.generate_range(0..10u8) {
            0 => (AttemptOutcome::Broken, 15, true),
            1 => (AttemptOutcome::Broken, 5, false),
            _ => (AttemptOutcome::Served, 20, true),
        }
    });
    check_after_simulation(&mut result, 3_000);
    // Exclusive requests whose connection broke fail and are never rejected, since they may have run.
    let rejected = result
        .outcomes
        .iter()
        .filter(|(.., end)| matches!(end, RequestOutcome::Rejected { .. }))
        .count();
    assert!(rejected < 150, "{rejected}");
    assert!(
        result.runs.values().any(|runs| *runs > 1),
        "some rerunnable request must run again"
    );
}

#[test]
fn a_disconnect_of_the_caller_during_a_backoff_releases_no_place_twice() {
    let mut fleet = fleet(1, "none");
    let now = Duration::from_millis;
    let request = Request {
        tenant: Some(0),
        ..Request::default()
    };
    let open = |fleet: &Fleet| {
        fleet
            .members(0, Duration::ZERO)
            .map(|member| member.open)
            .sum::<u32>()
    };
    let NextAction::Dispatch(other, _) = fleet.on_arrival(now(0), &request) else {
        panic!("not dispatched")
    };
    let NextAction::Dispatch(state, _) = fleet.on_arrival(now(0), &request) else {
        panic!("not dispatched")
    };
    let NextAction::Backoff(state, _) =
        fleet.on_attempt_outcome(now(5), state, AttemptOutcome::Failed)
    else {
        panic!("not in backoff")
    };
    assert_eq!(open(&fleet), 1);
    assert!(matches!(
        fleet.on_attempt_outcome(now(6), state, AttemptOutcome::CallerLeft),
        NextAction::Completed(Completed {
            outcome: RequestOutcome::CallerGone,
            ..
        })
    ));
    assert_eq!(open(&fleet), 1, "the other request is still in flight");
    assert!(matches!(
        fleet.on_attempt_outcome(now(9), other, AttemptOutcome::Served),
        NextAction::Completed(Completed {
            outcome: RequestOutcome::Served,
            ..
        })
    ));
    assert_eq!(open(&fleet), 0);
}

#[test]
fn an_ejection_is_reported_once() {
    let mut fleet = fleet(3, "not-run");
    let mut changes = Vec::new();
    for ms in 0..200u64 {
        let now = Duration::from_millis(ms * 10);
        let request = Request {
            tenant: Some(0),
            ..Request::default()
        };
        if let NextAction::Dispatch(state, attempt) = fleet.on_arrival(now, &request) {
            let outcome = if attempt.to.member == 1 {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Served
            };
            let _ = fleet.on_attempt_outcome(now + Duration::from_millis(4), state, outcome);
        }
        changes.extend(fleet.tick(now).into_iter().map(|change| {
            (
                change.member.member,
                matches!(
                    change.status,
                    MemberStatus::Ejected(Ejection {
                        reason: EjectionReason::ConsecutiveFailures,
                        ..
                    })
                ),
            )
        }));
    }
    assert_eq!(changes[0], (1, true));
    assert!(
        changes
            .iter()
            .filter(|(member, ejected)| *member == 1 && *ejected)
            .count()
            <= 2,
        "{changes:?}"
    );
}

#[test]
fn a_retry_after_of_a_member_is_respected_and_sent_to_the_caller() {
    let mut result = simulate(fleet(2, "not-run"), 100, 4, |member, ms, _| {
        match (member, ms) {
            (0, 1_000..2_000) => (
                AttemptOutcome::Rejected {
                    pause: Duration::from_millis(400),
                    nowhere_else: false,
                },
                1,
                false,
            ),
            (1, 1_500..1_600) => (
                AttemptOutcome::Rejected {
                    pause: Duration::from_millis(250),
                    nowhere_else: true,
                },
                1,
                false,
            ),
            _ => (AttemptOutcome::Served, 10, true),
        }
    });
    check_after_simulation(&mut result, 400);
    // During a retry-after of 400 ms, the member gets no requests of the tenant: some attempts, not hundreds.
    let rejected = result
        .attempts
        .iter()
        .filter(|(ms, member)| *member == 0 && (1_000..2_000).contains(ms))
        .count();
    assert!(rejected <= 20, "{rejected}");
    let is_passed_on = result.outcomes.iter().any(|(.., end)| {
        *end == RequestOutcome::Rejected {
            after: Duration::from_millis(250),
            nowhere_else: true,
        }
    });
    assert!(is_passed_on, "no outcome has the retry-after of member 1");
}

/// A fifth of connections break, half of those after the request ran; some requests never end.
fn flaky(_: usize, _: u64, random: &mut WyRand) -> (AttemptOutcome, u64, bool) {
    match random.generate_range(0..10u8) {
        0 => (AttemptOutcome::Broken, 15, true),
        1 => (AttemptOutcome::Broken, 5, false),
        2 => (AttemptOutcome::Served, 100_000, true),
        _ => (AttemptOutcome::Served, 20, true),
    }
}

#[test]
fn injected_bugs_violate_the_invariants() {
    let (_, found) = simulate_bug(fleet(5, "none"), 100, 10, flaky, Bug::None);
    assert_eq!(found, Ok(()));
    let (_, found) = simulate_bug(fleet(5, "none"), 100, 10, flaky, Bug::BrokenIsUnreachable);
    let violation = found.unwrap_err();
    assert_eq!(violation.rule, 2, "{violation}");
    assert!(
        violation.reason.contains("exclusive ticket ran 2 times")
            || violation.reason.contains("dismissed"),
        "{violation}"
    );
    let (_, found) = simulate_bug(fleet(5, "none"), 100, 10, flaky, Bug::LateIsRejected);
    let violation = found.unwrap_err();
    assert!(
        violation.rule == 2 && violation.reason.contains("dismissed"),
        "{violation}"
    );
    // The violation lists the steps that led to it, and the same seed finds the same violation.
    assert!(violation.steps.len() >= 3, "{violation}");
    let (_, repeated) = simulate_bug(fleet(5, "none"), 100, 10, flaky, Bug::LateIsRejected);
    assert_eq!(repeated.unwrap_err(), violation);
}

/// A tenant with a share of the pool, and a flood of unknown tenants at ten times the capacity of the pool.
#[test]
fn a_flood_of_unknown_tenants_leaves_a_configured_tenant_its_share() {
    let mut fleet = fleet(4, "none");
    // Each member serves one request per millisecond, in order; 4,000 per second in all.
    let mut busy_until_ms = [0u64; 4];
    let mut random = WyRand::new_seed(5);
    let mut events: BinaryHeap<Timed> = BinaryHeap::new();
    let (mut acme, mut served, mut sequence, mut unknown) = (0u32, 0u32, 0u64, 0u64);
    for ms in 0..10_000u64 {
        let now = Duration::from_millis(ms);
        if ms % 100 == 0 {
            fleet.tick(now);
        }
        while events.peek().is_some_and(|Timed(end, ..)| *end <= ms) {
            let Some(Timed(_, order, Event::Outcome(state, outcome, _))) = events.pop() else {
                continue;
            };
            let NextAction::Completed(completed) = fleet.on_attempt_outcome(now, state, outcome)
            else {
                panic!("an attempt was retried")
            };
            served +=
                u32::from(order.is_multiple_of(2) && completed.outcome == RequestOutcome::Served);
        }
        // Per millisecond, one request of acme, which has half of the pool, and forty of unknown tenants.
        for n in 0..41u64 {
            sequence += 2;
            let (tenant, tenant_hash) = if n == 20 {
                (Some(0), 0)
            } else {
                (None, name_hash(&format!("{ms} {n}")))
            };
            acme += u32::from(n == 20);
            unknown += u64::from(n != 20);
            let request = Request {
                tenant,
                tenant_hash,
                ..Request::default()
            };
            if let NextAction::Dispatch(state, attempt) = fleet.on_arrival(now, &request) {
                let member = &mut busy_until_ms[usize::from(attempt.to.member)];
                *member = (*member).max(ms) + 1;
                let order = sequence + u64::from(n != 20);
                let end_ms = *member + random.generate_range(0..3u64);
                events.push(Timed(
                    end_ms,
                    order,
                    Event::Outcome(state, AttemptOutcome::Served, 0),
                ));
            }
        }
    }
    assert_eq!(unknown, 400_000);
    let share = f64::from(served) / f64::from(acme);
    assert!(share > 0.95, "{served} of {acme}: {:?}", fleet.counts());
    // Unknown tenants still get the rest of the capacity.
    let others = fleet.counts().served - u64::from(served);
    assert!(others > 10_000, "{others}");
    assert!(fleet.pause_count() == 0 && fleet.counts().over_tenant_share > 100_000);
}

/// A version that changes the indices of pools must not lose track of the places of requests in flight.
#[test]
fn places_are_released_when_pools_get_other_indices() {
    let text = |first: &str| {
        format!(
            "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
health h {{ keep: 40 % }}
{first}
pool p {{ health: h; member n1 {{ address: \"10.0.0.1:1\" }} member n2 {{ address: \"10.0.0.2:1\" }} }}
route r {{ to: p }}"
        )
    };
    let configuration = |text: String| {
        load(&Memory::new([("a.rain", text)]), "a.rain")
            .configuration
            .expect("valid")
    };
    let before = configuration(text(""));
    // The new pool sorts before the other one by name, and has a member with the same address.
    let after = configuration(text("pool a { member n1 { address: \"10.0.0.1:1\" } }"));
    let now = Duration::from_millis;
    let mut fleet = Fleet::new(&before, "", 7, now(0)).unwrap();
    let open = |fleet: &Fleet, pool| {
        fleet
            .members(pool, now(0))
            .map(|member| member.open)
            .sum::<u32>()
    };
    let requests: Vec<RequestState> = (0..8)
        .map(|_| match fleet.on_arrival(now(1), &Request::default()) {
            NextAction::Dispatch(state, _) => state,
            other => panic!("{other:?}"),
        })
        .collect();
    fleet.install(&after, now(2)).unwrap();
    let p = fleet.table().pool("p").unwrap();
    assert_eq!((p, open(&fleet, p), open(&fleet, 0)), (1, 8, 0));
    for state in requests {
        assert!(matches!(
            fleet.on_attempt_outcome(now(5), state, AttemptOutcome::Served),
            NextAction::Completed(Completed {
                outcome: RequestOutcome::Served,
                ..
            })
        ));
    }
    assert_eq!((open(&fleet, p), open(&fleet, 0)), (0, 0));
}
