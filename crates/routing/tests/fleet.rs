//! A forwarder's decisions against members that fail, on a clock of its own: one answer each, no exclusive
//! request run twice, further tries within their budget, service back soon after the members are.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_config::{load, source::Memory};
use rainstand_invariants::{Answer, InvariantChecker, Kind, Step as Saw, Violation};
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
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    Fleet::new(&outcome.configuration.expect("good"), "", 7, Duration::ZERO).unwrap()
}

/// What a member does with a try that reaches it at a time: what comes back after how long, and whether it ran.
type Does = fn(usize, u64, &mut WyRand) -> (AttemptOutcome, u64, bool);

struct Played {
    /// Ends by the time of arrival, ms.
    ends: Vec<(u64, u64, RequestOutcome)>,
    /// Tries at each member by time.
    tries: Vec<(u64, usize)>,
    runs: BTreeMap<u64, u32>,
    rules: InvariantChecker,
    fleet: Fleet,
}

/// Bugs that are planted on purpose: what network code could get wrong.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Bug {
    None,
    /// A connection that broke with a request on it is taken for none at all.
    BrokenIsUnreachable,
    /// What came too late is taken for a dismissal.
    LateIsDismissed,
}

enum Event {
    Arrives,
    Back(RequestState, AttemptOutcome, u64),
    Again(RequestState, u64),
    Look,
}

/// Events in order of time; alike ones in order of their making.
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

/// An answer is due so long after a request came: its goal time, and a hundred milliseconds.
const DUE: Duration = Duration::from_millis(3_100);

/// Requests at `rate` a second for `seconds`, one in five exclusive.
fn play(fleet: Fleet, rate: u64, seconds: u64, does: Does) -> Played {
    let (played, broken) = play_with(fleet, rate, seconds, does, Bug::None);
    broken.unwrap_or_else(|broken| panic!("{broken}"));
    played
}

fn play_with(
    mut fleet: Fleet,
    rate: u64,
    seconds: u64,
    does: Does,
    bug: Bug,
) -> (Played, Result<(), Violation>) {
    let mut chance = WyRand::new_seed(21);
    let mut events = BinaryHeap::new();
    let mut made = 0u64;
    let mut push = |events: &mut BinaryHeap<Timed>, at: u64, event: Event| {
        made += 1;
        events.push(Timed(at, made, event));
    };
    for n in 0..rate * seconds {
        push(&mut events, n * 1_000 / rate, Event::Arrives);
    }
    for n in 0..(seconds + 10) * 5 {
        push(&mut events, n * 200, Event::Look);
    }
    let (mut ends, mut tries, mut runs, mut rules) =
        (vec![], vec![], BTreeMap::new(), InvariantChecker::default());
    let (mut next, mut born) = (0u64, BTreeMap::new());
    let mut first_broken = Ok(());
    while let Some(Timed(t, _, event)) = events.pop() {
        let now = Duration::from_millis(t);
        let mut saw = |request: u64, step: Saw| {
            let found = rules.record(now, request, step);
            if first_broken.is_ok() {
                first_broken = found;
            }
        };
        let (request, step) = match event {
            Event::Look => {
                fleet.tick(now);
                continue;
            }
            Event::Arrives => {
                next += 1;
                born.insert(next, t);
                let traffic = u16::from(next.is_multiple_of(5));
                let kind = if traffic == 1 {
                    Kind::Exclusive
                } else {
                    Kind::Rerunnable
                };
                saw(
                    next,
                    Saw::Asked {
                        kind,
                        due: now + DUE,
                        front: 0,
                    },
                );
                (
                    next,
                    fleet.on_arrival(
                        now,
                        &Request {
                            request_class: traffic,
                            tenant: Some(0),
                            ..Request::default()
                        },
                    ),
                )
            }
            Event::Back(trip, back, request) => {
                (request, fleet.on_attempt_outcome(now, trip, back))
            }
            Event::Again(trip, request) => (request, fleet.on_retry_due(now, trip)),
        };
        match step {
            NextAction::Dispatch(trip, send) => {
                let member = usize::from(send.to.member);
                tries.push((t, member));
                let (back, took, ran) = does(member, t, &mut chance);
                if ran {
                    *runs.entry(request).or_default() += 1;
                    saw(
                        request,
                        Saw::Ran {
                            on: member as u32,
                            marked: send.is_retry,
                        },
                    );
                }
                let cut = send.timeout.as_millis() as u64;
                let (back, took) = if took > cut {
                    (AttemptOutcome::TimedOut, cut)
                } else {
                    (back, took)
                };
                let back = match (bug, back) {
                    (Bug::BrokenIsUnreachable, AttemptOutcome::Broken) => {
                        AttemptOutcome::Unreachable
                    }
                    (Bug::LateIsDismissed, AttemptOutcome::TimedOut) => AttemptOutcome::Rejected {
                        pause: Duration::ZERO,
                        nowhere_else: true,
                    },
                    (_, back) => back,
                };
                push(&mut events, t + took, Event::Back(trip, back, request));
            }
            NextAction::Backoff(trip, wait) => push(
                &mut events,
                t + wait.as_millis() as u64,
                Event::Again(trip, request),
            ),
            NextAction::Completed(over) => {
                let answer = match over.outcome {
                    RequestOutcome::Served => Answer::Honoured,
                    RequestOutcome::Rejected { .. } => Answer::Dismissed,
                    RequestOutcome::Failed | RequestOutcome::CallerGone => Answer::GivenUp,
                };
                saw(request, Saw::Answered(answer));
                ends.push((born[&request], t, over.outcome));
            }
        }
    }
    let all = first_broken.and_then(|()| rules.finish(Duration::from_secs(seconds + 10)).map(drop));
    (
        Played {
            ends,
            tries,
            runs,
            rules,
            fleet,
        },
        all,
    )
}

/// What must hold beside the rules, whatever the members do.
fn rules(played: &mut Played, requests: u64) {
    assert_eq!(played.ends.len() as u64, requests);
    let (counts, now) = (played.fleet.counts(), Duration::from_secs(60));
    played
        .rules
        .check_retry_budget(
            now,
            counts.first_attempts,
            counts.retries,
            0.2,
            INITIAL_RETRIES,
        )
        .unwrap();
    assert!(
        played.fleet.members(0, now).all(|member| member.open == 0),
        "places that nobody gave back"
    );
    assert_eq!(
        played.fleet.pool_occupancy(0).held,
        0,
        "room that nobody gave back"
    );
}

fn honoured(played: &Played, from: u64, upto: u64) -> f64 {
    let of: Vec<_> = played
        .ends
        .iter()
        .filter(|(born, ..)| (from..upto).contains(born))
        .collect();
    of.iter()
        .filter(|(.., end)| *end == RequestOutcome::Served)
        .count() as f64
        / of.len() as f64
}

#[test]
fn service_recovers_after_all_members_fail_at_once() {
    let mut played = play(fleet(5, "none"), 200, 20, |_, t, chance| match t {
        5_000..10_000 => (AttemptOutcome::Failed, 2, true),
        _ => (AttemptOutcome::Served, chance.generate_range(10..30), true),
    });
    rules(&mut played, 4_000);
    assert!(honoured(&played, 0, 4_900) > 0.99);
    let back = honoured(&played, 12_000, 20_000);
    assert!(back > 0.95, "{back}");
    // Answered at once while it lasts.
    let slow = played
        .ends
        .iter()
        .filter(|(born, at, _)| (5_500..10_000).contains(born) && at - born > 500)
        .count();
    assert_eq!(slow, 0);
}

#[test]
fn a_member_that_fails_fast_attracts_no_extra_load() {
    let mut played = play(
        fleet(5, "none"),
        200,
        10,
        |member, _, chance| match member {
            0 => (AttemptOutcome::Failed, 1, true),
            _ => (AttemptOutcome::Served, chance.generate_range(20..60), true),
        },
    );
    rules(&mut played, 2_000);
    let its = played
        .tries
        .iter()
        .filter(|(_, member)| *member == 0)
        .count();
    assert!(
        its * 5 <= played.tries.len(),
        "{its} of {}",
        played.tries.len()
    );
    assert!(
        honoured(&played, 1_000, 10_000) > 0.97,
        "{}",
        honoured(&played, 1_000, 10_000)
    );
}

#[test]
fn a_hanging_member_holds_only_its_open_requests() {
    let mut played = play(fleet(5, "none"), 200, 12, |member, t, chance| {
        match (member, t) {
            (0, 3_000..) => (AttemptOutcome::Served, 100_000, true),
            _ => (AttemptOutcome::Served, chance.generate_range(10..30), true),
        }
    });
    rules(&mut played, 2_400);
    // Two seconds of silence, then it is left out but for a trickle now and then.
    let later = played
        .tries
        .iter()
        .filter(|(t, member)| *member == 0 && *t > 6_000)
        .count();
    assert!(later < 40, "{later}");
    assert!(honoured(&played, 6_000, 12_000) > 0.97);
}

#[test]
fn broken_connections_run_no_exclusive_request_twice() {
    // A fifth of all tries lose their connection, half of those after they ran; members are restarted in turn.
    let mut played = play(fleet(5, "none"), 200, 15, |member, t, chance| {
        if (t / 1_000) as usize % 5 == member && t % 1_000 < 300 {
            return (AttemptOutcome::Unreachable, 1, false);
        }
        match chance.generate_range(0..10u8) {
            0 => (AttemptOutcome::Broken, 15, true),
            1 => (AttemptOutcome::Broken, 5, false),
            _ => (AttemptOutcome::Served, 20, true),
        }
    });
    rules(&mut played, 3_000);
    // Exclusive requests whose connection broke are given up, never dismissed: they may have run.
    let dismissed = played
        .ends
        .iter()
        .filter(|(.., end)| matches!(end, RequestOutcome::Rejected { .. }))
        .count();
    assert!(dismissed < 150, "{dismissed}");
    assert!(
        played.runs.values().any(|runs| *runs > 1),
        "rerunnable ones do run again"
    );
}

#[test]
fn a_caller_that_leaves_during_a_backoff_releases_nothing_twice() {
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
        panic!("it goes")
    };
    let NextAction::Dispatch(trip, _) = fleet.on_arrival(now(0), &request) else {
        panic!("it goes")
    };
    let NextAction::Backoff(trip, _) =
        fleet.on_attempt_outcome(now(5), trip, AttemptOutcome::Failed)
    else {
        panic!("it waits")
    };
    assert_eq!(open(&fleet), 1);
    assert!(matches!(
        fleet.on_attempt_outcome(now(6), trip, AttemptOutcome::CallerLeft),
        NextAction::Completed(Completed {
            outcome: RequestOutcome::CallerGone,
            ..
        })
    ));
    assert_eq!(open(&fleet), 1, "the other one is still there");
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
    let mut told = Vec::new();
    for t in 0..200u64 {
        let now = Duration::from_millis(t * 10);
        let request = Request {
            tenant: Some(0),
            ..Request::default()
        };
        if let NextAction::Dispatch(trip, send) = fleet.on_arrival(now, &request) {
            let back = if send.to.member == 1 {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Served
            };
            let _ = fleet.on_attempt_outcome(now + Duration::from_millis(4), trip, back);
        }
        told.extend(fleet.tick(now).into_iter().map(|change| {
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
    assert_eq!(told[0], (1, true));
    assert!(
        told.iter()
            .filter(|(member, out)| *member == 1 && *out)
            .count()
            <= 2,
        "{told:?}"
    );
}

#[test]
fn a_pause_is_kept_and_passed_on() {
    let mut played = play(fleet(2, "not-run"), 100, 4, |member, t, _| {
        match (member, t) {
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
    rules(&mut played, 400);
    // Asked to stay away for 400 ms by the one, its tenant is not sent there: some tries, not hundreds.
    let asked = played
        .tries
        .iter()
        .filter(|(t, member)| *member == 0 && (1_000..2_000).contains(t))
        .count();
    assert!(asked <= 20, "{asked}");
    let told = played.ends.iter().any(|(.., end)| {
        *end == RequestOutcome::Rejected {
            after: Duration::from_millis(250),
            nowhere_else: true,
        }
    });
    assert!(told, "the other's word is passed on");
}

/// A fifth of connections break, half of those after the request ran; some take for ever.
fn breaks(_: usize, _: u64, chance: &mut WyRand) -> (AttemptOutcome, u64, bool) {
    match chance.generate_range(0..10u8) {
        0 => (AttemptOutcome::Broken, 15, true),
        1 => (AttemptOutcome::Broken, 5, false),
        2 => (AttemptOutcome::Served, 100_000, true),
        _ => (AttemptOutcome::Served, 20, true),
    }
}

#[test]
fn seeded_bugs_are_caught() {
    let (_, found) = play_with(fleet(5, "none"), 100, 10, breaks, Bug::None);
    assert_eq!(found, Ok(()));
    let (_, found) = play_with(fleet(5, "none"), 100, 10, breaks, Bug::BrokenIsUnreachable);
    let broken = found.unwrap_err();
    assert_eq!(broken.rule, 2, "{broken}");
    assert!(
        broken.reason.contains("exclusive ticket ran 2 times")
            || broken.reason.contains("dismissed"),
        "{broken}"
    );
    let (_, found) = play_with(fleet(5, "none"), 100, 10, breaks, Bug::LateIsDismissed);
    let broken = found.unwrap_err();
    assert!(
        broken.rule == 2 && broken.reason.contains("dismissed"),
        "{broken}"
    );
    // The steps that led to it are told, and the same seed finds the same.
    assert!(broken.steps.len() >= 3, "{broken}");
    let (_, again) = play_with(fleet(5, "none"), 100, 10, breaks, Bug::LateIsDismissed);
    assert_eq!(again.unwrap_err(), broken);
}

/// Tenants with a part of the pool, and a flood of made-up ones at ten times what the pool can do.
#[test]
fn a_flood_of_unknown_tenants_leaves_configured_ones_their_share() {
    let mut fleet = fleet(4, "none");
    // Each member does one request a millisecond, in order; 4,000 a second in all.
    let mut busy = [0u64; 4];
    let mut chance = WyRand::new_seed(5);
    let mut back: BinaryHeap<Timed> = BinaryHeap::new();
    let (mut known, mut good, mut made, mut strangers) = (0u32, 0u32, 0u64, 0u64);
    for t in 0..10_000u64 {
        let now = Duration::from_millis(t);
        if t % 100 == 0 {
            fleet.tick(now);
        }
        while back.peek().is_some_and(|Timed(at, ..)| *at <= t) {
            let Some(Timed(_, n, Event::Back(trip, came, _))) = back.pop() else {
                continue;
            };
            let NextAction::Completed(over) = fleet.on_attempt_outcome(now, trip, came) else {
                panic!("no further tries here")
            };
            good += u32::from(n.is_multiple_of(2) && over.outcome == RequestOutcome::Served);
        }
        // One request a millisecond by acme, whose share is half of the pool, and forty by nobody knows whom.
        for n in 0..41u64 {
            made += 2;
            let (tenant, stranger) = if n == 20 {
                (Some(0), 0)
            } else {
                (None, name_hash(&format!("{t} {n}")))
            };
            known += u32::from(n == 20);
            strangers += u64::from(n != 20);
            let request = Request {
                tenant,
                tenant_hash: stranger,
                ..Request::default()
            };
            if let NextAction::Dispatch(trip, send) = fleet.on_arrival(now, &request) {
                let member = &mut busy[usize::from(send.to.member)];
                *member = (*member).max(t) + 1;
                let order = made + u64::from(n != 20);
                let took = *member + chance.generate_range(0..3u64);
                back.push(Timed(
                    took,
                    order,
                    Event::Back(trip, AttemptOutcome::Served, 0),
                ));
            }
        }
    }
    assert_eq!(strangers, 400_000);
    let share = f64::from(good) / f64::from(known);
    assert!(share > 0.95, "{good} of {known}: {:?}", fleet.counts());
    // Who nobody knows still gets what is left.
    let others = fleet.counts().served - u64::from(good);
    assert!(others > 10_000, "{others}");
    assert!(fleet.pause_count() == 0 && fleet.counts().room > 100_000);
}

/// A version that numbers pools anew must not keep the places of requests that are out.
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
    let made = |text: String| {
        load(&Memory::new([("a.rain", text)]), "a.rain")
            .configuration
            .expect("good")
    };
    let before = made(text(""));
    // It stands before the other in order of names, and has a member with the same address.
    let after = made(text("pool a { member n1 { address: \"10.0.0.1:1\" } }"));
    let now = Duration::from_millis;
    let mut fleet = Fleet::new(&before, "", 7, now(0)).unwrap();
    let open = |fleet: &Fleet, pool| {
        fleet
            .members(pool, now(0))
            .map(|member| member.open)
            .sum::<u32>()
    };
    let trips: Vec<RequestState> = (0..8)
        .map(|_| match fleet.on_arrival(now(1), &Request::default()) {
            NextAction::Dispatch(trip, _) => trip,
            other => panic!("{other:?}"),
        })
        .collect();
    fleet.install(&after, now(2)).unwrap();
    let p = fleet.table().pool("p").unwrap();
    assert_eq!((p, open(&fleet, p), open(&fleet, 0)), (1, 8, 0));
    for trip in trips {
        assert!(matches!(
            fleet.on_attempt_outcome(now(5), trip, AttemptOutcome::Served),
            NextAction::Completed(Completed {
                outcome: RequestOutcome::Served,
                ..
            })
        ));
    }
    assert_eq!((open(&fleet, p), open(&fleet, 0)), (0, 0));
}
