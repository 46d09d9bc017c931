//! Guards against overload of a cold member by the sum of what all forwarders send it. Simulates several forwarders on a
//! common clock and counts the calls to the member: if the settings allow N calls in a window, up to N + 2√N + 2 are
//! accepted as random variation.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_config::schema::Configuration;
use rainstand_config::{load, source::Memory};
use rainstand_routing::fleet::{
    Attempt, AttemptOutcome, Fleet, NextAction, RequestOutcome, RequestState,
};
use rainstand_routing::table::Request;
use rainstand_routing::warm_up::{WarmUpLimiter, WarmUpRule};
use rainstand_routing::weighted_split::{name_hash, score};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of members of the pool; the first one starts during the test.
const MEMBERS: usize = 5;
/// Calls per second that a warm member can handle.
const RATE: f64 = 200.0;
/// Window over which calls are counted, in seconds.
const WINDOW: f64 = 1.0;
/// Warm-up time, in seconds.
const WARM_UP: f64 = 10.0;
/// Fraction of `RATE` for a member that has just started.
const INITIAL_SHARE: f64 = 0.05;
/// Time of the first member's start, in ms: by then all forwarders have been connected to all members for a minute.
const START_MS: u64 = 60_000;
/// Simulated time after that start, in ms.
const DURATION_MS: u64 = 12_000;

/// Behaviour of the other members.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Others {
    /// They serve all requests.
    Healthy,
    /// They reject all requests.
    Rejecting,
    /// They are unreachable.
    Unreachable,
    /// They start at the same time as the first one.
    Cold,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    senders: usize,
    /// Requests per second to all forwarders together.
    requests_per_s: f64,
    others: Others,
    /// Half of the forwarders restart during the test.
    restarts: bool,
    /// Some forwarders learn of the start up to three seconds late.
    late_notice: bool,
    /// The member restarts several times.
    flapping: bool,
    /// All attempts at cold members fail, and are retried.
    failing: bool,
    /// Requests arrive only during 150 ms of each 3.9 s.
    bursts: bool,
    /// All requests are for an entity whose preferred member is the cold one.
    entity: bool,
    /// The configuration is reinstalled every half second.
    reloads: bool,
    /// The configuration gives the number of senders.
    senders_known: bool,
}

const BASE: Case = Case {
    name: "others healthy",
    senders: 20,
    requests_per_s: 300.0,
    others: Others::Healthy,
    restarts: false,
    late_notice: false,
    flapping: false,
    failing: false,
    bursts: false,
    entity: false,
    reloads: false,
    senders_known: true,
};

/// One case for each fault; see `for_each_case` for the numbers of forwarders and requests.
const CASES: [Case; 14] = [
    BASE,
    Case {
        name: "others reject",
        others: Others::Rejecting,
        ..BASE
    },
    Case {
        name: "others unreachable",
        others: Others::Unreachable,
        ..BASE
    },
    Case {
        name: "all cold",
        others: Others::Cold,
        ..BASE
    },
    Case {
        name: "forwarders restart",
        others: Others::Rejecting,
        restarts: true,
        ..BASE
    },
    Case {
        name: "forwarders restart, all cold",
        others: Others::Cold,
        restarts: true,
        ..BASE
    },
    Case {
        name: "some learn of the start late",
        others: Others::Rejecting,
        late_notice: true,
        ..BASE
    },
    Case {
        name: "member restarts repeatedly",
        others: Others::Rejecting,
        flapping: true,
        ..BASE
    },
    Case {
        name: "all attempts fail and are retried",
        others: Others::Cold,
        failing: true,
        ..BASE
    },
    Case {
        name: "bursts",
        others: Others::Rejecting,
        bursts: true,
        ..BASE
    },
    Case {
        name: "one entity",
        entity: true,
        ..BASE
    },
    Case {
        name: "reloads",
        others: Others::Rejecting,
        reloads: true,
        ..BASE
    },
    Case {
        name: "number of senders not configured",
        others: Others::Rejecting,
        senders_known: false,
        ..BASE
    },
    Case {
        name: "all faults together",
        others: Others::Cold,
        restarts: true,
        late_notice: true,
        flapping: true,
        failing: true,
        bursts: true,
        ..BASE
    },
];

fn text(senders: usize, pool_settings: &str) -> String {
    let member = |k: usize| {
        format!(
            "member n{k} {{ address: \"10.0.0.{}:1\"; warm-up: 10 s }}\n",
            k + 1
        )
    };
    let members: String = (0..MEMBERS).map(member).collect();
    let pool_settings = pool_settings.replace('S', &senders.to_string());
    format!(
        "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
tenant acme {{ share: 50 % }}
attempts a {{ tries: 3; budget: 100 %; wait: 1 ms .. 4 ms; proof: none }}
health h {{ back-after: 1 s .. 2 s; keep: 20 %; out-after: 100000 tickets; out-share: 100 % }}
pool p {{ health: h; {pool_settings}\n{members} }}
route r {{ to: p; attempts: a }}"
    )
}

/// An entity whose preferred member is the first one.
fn preferred_entity() -> String {
    let score = |member: usize, name: &str| score(name_hash(&address(member)), 1_000, name);
    let is_preferred = |name: &String| (1..MEMBERS).all(|k| score(0, name) > score(k, name));
    (0..).map(|n| format!("NO-{n}")).find(is_preferred).unwrap()
}

/// Pool settings of the warm-up limit; `S` is replaced by the number of senders.
const POOL_SETTINGS: &str = "warm-rate: 200 tickets/s; senders: S;";

/// A forwarder and its connections, one of the senders.
struct Sender {
    fleet: Fleet,
    connected: [bool; MEMBERS],
    /// When it learns of the last start of cold members, in ms; until then its calls go to the previous incarnation.
    notified_at: u64,
}

fn parse(text: String) -> Configuration {
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    outcome
        .configuration
        .unwrap_or_else(|| panic!("{:?}", outcome.findings))
}

fn sender(config: &Configuration, seed: u64, now: u64) -> Sender {
    let fleet = Fleet::new(config, "", seed, ms(now)).unwrap();
    Sender {
        fleet,
        connected: [false; MEMBERS],
        notified_at: 0,
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn address(member: usize) -> String {
    format!("10.0.0.{}:1", member + 1)
}

impl Sender {
    fn connect(&mut self, member: usize, now: u64) {
        if !std::mem::replace(&mut self.connected[member], true) {
            self.fleet.on_connected(&address(member), ms(now), ms(now));
        }
    }

    fn disconnect(&mut self, member: usize, now: u64) {
        if std::mem::replace(&mut self.connected[member], false) {
            self.fleet.on_disconnected(&address(member), ms(now));
        }
    }
}

#[derive(Debug, Default)]
struct Totals {
    /// Times of the calls that reached a member, by member and time of its start, all in ms.
    calls: BTreeMap<(usize, u64), Vec<u64>>,
    served: u64,
    /// All rejected requests, and those rejected with a retry-after below 10 ms.
    rejected: u64,
    without_retry_after: u64,
}

/// Calls allowed in a window that begins at this age of the member, in seconds.
fn allowed(age: f64) -> f64 {
    let ramp_age = |age: f64| age.clamp(INITIAL_SHARE * WARM_UP, WARM_UP);
    let sum = |age: f64| {
        let flat = age.min(INITIAL_SHARE * WARM_UP);
        let (from, to) = (INITIAL_SHARE * WARM_UP, ramp_age(age));
        INITIAL_SHARE * flat + (to * to - from * from) / (2.0 * WARM_UP)
    };
    RATE * (sum(age + WINDOW) - sum(age))
}

/// The window that exceeds the allowed number N the most: its excess over N as a multiple of the accepted variation, and
/// a description.
fn worst_window(calls: &[u64], started: u64) -> (f64, String) {
    let mut worst = (f64::NEG_INFINITY, String::from("no calls"));
    for (k, start) in calls.iter().enumerate() {
        let age = (start - started) as f64 / 1_000.0;
        if age + WINDOW > WARM_UP {
            break;
        }
        let end = start + (WINDOW * 1_000.0) as u64;
        let count = calls[k..].iter().take_while(|at| **at < end).count() as f64;
        let n = allowed(age);
        let excess = (count - n) / (2.0 * n.sqrt() + 2.0);
        if excess > worst.0 {
            worst = (
                excess,
                format!("{count} calls at the age of {age:.2} s, {n:.1} allowed"),
            );
        }
    }
    worst
}

fn run_case(case: &Case, seed: u64, pool_settings: &str) -> Totals {
    let config = parse(text(
        if case.senders_known { case.senders } else { 0 },
        pool_settings,
    ));
    let mut rng = WyRand::new_seed(seed);
    let mut seeds = WyRand::new_seed(seed ^ 0xf0);
    let mut all: Vec<Sender> = (0..case.senders)
        .map(|_| sender(&config, seeds.generate(), 0))
        .collect();
    for sender in &mut all {
        (0..MEMBERS).for_each(|member| sender.connect(member, 0));
    }
    let starts: &[u64] = if case.flapping {
        &[0, 700, 2_900, 4_000, 6_500]
    } else {
        &[0]
    };
    let (mut totals, preferred_entity) = (Totals::default(), preferred_entity());
    let mut started = [0u64; MEMBERS];
    // Events by due time in ms: sender, request, and the outcome of its attempt, or `None` at the end of a backoff.
    let mut due: BTreeMap<u64, Vec<(usize, RequestState, Option<AttemptOutcome>)>> =
        BTreeMap::new();
    for now in START_MS..START_MS + DURATION_MS {
        if starts.contains(&(now - START_MS)) {
            let cold = if case.others == Others::Cold {
                MEMBERS
            } else {
                1
            };
            for (member, started) in started.iter_mut().enumerate().take(cold) {
                *started = now;
                totals.calls.insert((member, now), Vec::new());
            }
            for (k, sender) in all.iter_mut().enumerate() {
                sender.notified_at = if case.late_notice && k % 3 > 0 {
                    now + rng.generate_range(0..3_000u64)
                } else {
                    now
                };
            }
        }
        for sender in &mut all {
            if sender.notified_at == now {
                (0..MEMBERS)
                    .filter(|k| started[*k] > 0)
                    .for_each(|k| sender.disconnect(k, now));
            }
        }
        if case.restarts && now == START_MS + 3_000 {
            // Requests of the previous incarnations are dropped.
            let count = all.len();
            for sender in all.iter_mut().take(count.div_ceil(2)) {
                *sender = self::sender(&config, seeds.generate(), now);
            }
            due.values_mut()
                .for_each(|due| due.retain(|(k, ..)| *k >= count.div_ceil(2)));
        }
        if case.reloads && now % 500 == 250 {
            all.iter_mut()
                .for_each(|sender| drop(sender.fleet.install(&config, ms(now))));
        }
        if now % 100 == 0 {
            all.iter_mut()
                .for_each(|sender| drop(sender.fleet.tick(ms(now))));
        }
        let mut steps: Vec<(usize, NextAction)> = Vec::new();
        for (k, state, outcome) in due.remove(&now).unwrap_or_default() {
            let fleet = &mut all[k].fleet;
            steps.push((
                k,
                match outcome {
                    Some(outcome) => fleet.on_attempt_outcome(ms(now), state, outcome),
                    None => fleet.on_retry_due(ms(now), state),
                },
            ));
        }
        for (k, sender) in all.iter_mut().enumerate() {
            let burst_factor = if !case.bursts {
                1.0
            } else if now % 3_900 < 150 {
                26.0
            } else {
                0.0
            };
            let mean = burst_factor * case.requests_per_s / case.senders as f64 / 1_000.0;
            let mut left = f64::from(rng.generate::<u32>()) / f64::from(u32::MAX);
            // Number of arrivals of a Poisson process in one millisecond.
            let mut p = (-mean).exp();
            let mut n = 0;
            while left > p && n < 50 {
                left -= p;
                n += 1;
                p *= mean / f64::from(n);
            }
            for _ in 0..n {
                let entity = if case.entity { &*preferred_entity } else { "" };
                let request = Request {
                    tenant: Some(0),
                    entity,
                    ..Request::default()
                };
                steps.push((k, sender.fleet.on_arrival(ms(now), &request)));
            }
        }
        for (k, step) in steps {
            match step {
                NextAction::Dispatch(state, Attempt { to, .. }) => {
                    let member = usize::from(to.member);
                    let (outcome, delay) =
                        send_attempt(case, &mut all[k], member, now, &mut totals, &started);
                    due.entry(now + delay)
                        .or_default()
                        .push((k, state, Some(outcome)));
                }
                NextAction::Backoff(state, wait) => {
                    due.entry(now + (wait.as_millis() as u64).max(1))
                        .or_default()
                        .push((k, state, None));
                }
                NextAction::Completed(completion) => match completion.outcome {
                    RequestOutcome::Served => totals.served += 1,
                    RequestOutcome::Rejected { after, .. } => {
                        totals.rejected += 1;
                        totals.without_retry_after += u64::from(after < ms(10));
                    }
                    RequestOutcome::Failed | RequestOutcome::CallerGone => {}
                },
            }
        }
    }
    totals
}

/// Sends an attempt; returns its outcome and the time until it is known, in ms.
fn send_attempt(
    case: &Case,
    sender: &mut Sender,
    member: usize,
    now: u64,
    totals: &mut Totals,
    started: &[u64; MEMBERS],
) -> (AttemptOutcome, u64) {
    if started[member] == 0 {
        return match case.others {
            Others::Unreachable => (AttemptOutcome::Unreachable, 1),
            Others::Rejecting => (
                AttemptOutcome::Rejected {
                    pause: ms(300),
                    nowhere_else: false,
                },
                1,
            ),
            _ => {
                sender.connect(member, now);
                (AttemptOutcome::Served, 10)
            }
        };
    }
    if sender.connected[member] && sender.notified_at > now {
        // The connection is to the previous incarnation, whose end has not been noticed yet.
        return (AttemptOutcome::Broken, sender.notified_at - now);
    }
    sender.connect(member, now);
    totals
        .calls
        .get_mut(&(member, started[member]))
        .unwrap()
        .push(now);
    if case.failing {
        (AttemptOutcome::Failed, 5)
    } else {
        (AttemptOutcome::Served, 20)
    }
}

/// Runs each case with 1, 20 and 30 forwarders, with few requests and with far more than all members can handle.
fn for_each_case(mut check: impl FnMut(&Case, &str)) {
    for senders in [1, 20, 30] {
        for requests_per_s in [30.0, 300.0, 2_000.0] {
            for case in CASES {
                let case = Case {
                    senders,
                    requests_per_s,
                    ..case
                };
                check(
                    &case,
                    &format!(
                        "{senders} forwarders, {requests_per_s} requests per second, {}",
                        case.name
                    ),
                );
            }
        }
    }
}

#[test]
fn all_senders_together_stay_within_the_limit_of_a_cold_member() {
    for seed in 1..=3 {
        for_each_case(|case, name| {
            let totals = run_case(case, seed, POOL_SETTINGS);
            for ((member, started), calls) in &totals.calls {
                let (excess, details) = worst_window(calls, *started);
                assert!(
                    excess <= 1.0,
                    "{name}, seed {seed}, member {member}: {details}"
                );
            }
            assert_eq!(
                totals.without_retry_after, 0,
                "{name}: a rejection without a useful retry-after"
            );
        });
    }
}

/// Guards against a limit that admits far too little, which the test above would not detect.
#[test]
fn a_cold_member_gets_most_of_its_limit_and_everything_once_warm() {
    for senders in [1, 20, 30] {
        let case = Case {
            senders,
            requests_per_s: 2_000.0,
            others: Others::Rejecting,
            ..BASE
        };
        let totals = run_case(&case, 4, POOL_SETTINGS);
        let calls = &totals.calls[&(0, START_MS)];
        let count_between = |from: u64, to: u64| {
            calls
                .iter()
                .filter(|at| (START_MS + from..START_MS + to).contains(at))
                .count() as f64
        };
        let allowed: f64 = (2..9).map(|s| allowed(f64::from(s))).sum();
        let got = count_between(2_000, 9_000);
        // Each forwarder learns of the start only with its first permit, so its rate lags behind.
        let min_fraction = if senders == 1 { 0.75 } else { 0.5 };
        assert!(
            got > min_fraction * allowed,
            "{senders}: {got} of {allowed}"
        );
        if senders == 1 {
            assert!(
                count_between(11_000, 12_000) > 2.0 * RATE,
                "a warm member has no warm-up limit"
            );
        }
    }
}

#[test]
fn without_a_rate_there_is_no_warm_up_limit() {
    let case = Case {
        senders: 1,
        requests_per_s: 2_000.0,
        others: Others::Rejecting,
        ..BASE
    };
    let totals = run_case(&case, 4, "senders: S;");
    let (excess, _) = worst_window(&totals.calls[&(0, START_MS)], START_MS);
    assert!(
        excess > 10.0,
        "{excess}: without a limit the member must be overloaded, or these tests show nothing"
    );
}

/// The sum over all senders that request a permit in each millisecond, tested on the limiter alone.
#[test]
fn permits_of_all_senders_stay_within_the_limit_across_reconnects_and_reloads() {
    let rule = |senders| {
        WarmUpRule::new(
            RATE,
            Duration::from_secs(1),
            senders,
            Duration::from_secs(10),
        )
    };
    let mut rng = WyRand::new_seed(12);
    let mut phase = || f64::from(rng.generate::<u32>()) / (f64::from(u32::MAX) + 1.0);
    type Action = fn(&mut WarmUpLimiter, u64);
    let table: [(&str, u64, Action); 6] = [
        ("no events", 0, |_, _| {}),
        ("no requests for five seconds", 5_000, |_, _| {}),
        ("reconnects every 70 ms", 0, |limiter, now| {
            if now % 70 == 0 {
                limiter.on_disconnected(ms(now));
                limiter.on_connected(ms(now), ms(now));
            }
        }),
        ("disconnects permanently", 0, |limiter, now| {
            if now == 300 {
                limiter.on_disconnected(ms(now));
            }
        }),
        ("connect reported again", 0, |limiter, now| {
            limiter.on_connected(ms(0), ms(now))
        }),
        ("new version every 90 ms", 0, |limiter, now| {
            if now % 90 == 0 {
                let before = limiter.clone();
                let rule =
                    WarmUpRule::new(RATE, Duration::from_secs(1), 30, Duration::from_secs(10));
                *limiter = WarmUpLimiter::new(rule, 0.99, ms(now));
                limiter.carry_over_from(&before, ms(now));
            }
        }),
    ];
    for (name, requests_from, action) in table {
        let mut all: Vec<WarmUpLimiter> = (0..30)
            .map(|_| WarmUpLimiter::new(rule(30), phase(), ms(0)))
            .collect();
        all.iter_mut()
            .for_each(|limiter| limiter.on_connected(ms(0), ms(0)));
        let mut calls = Vec::new();
        for now in 0..8_000 {
            for limiter in &mut all {
                action(limiter, now);
                if now >= requests_from && limiter.blocked_until(ms(now)).is_none() {
                    limiter.take(ms(now));
                    calls.push(now);
                    // One call per permit.
                    assert!(
                        limiter
                            .blocked_until(ms(now))
                            .is_some_and(|until| until > ms(now)),
                        "{name}"
                    );
                }
            }
        }
        let (excess, details) = worst_window(&calls, 0);
        assert!(excess <= 1.0, "{name}: {details}");
        assert!(calls.len() > 40, "{name}: {}", calls.len());
    }
}

#[test]
fn permit_is_issued_at_the_predicted_time() {
    let rule = WarmUpRule::new(RATE, Duration::from_secs(1), 20, Duration::from_secs(10));
    for age_ms in [None, Some(0), Some(5_000)] {
        let mut limiter = WarmUpLimiter::new(rule, 0.3, ms(10_000));
        if let Some(age) = age_ms {
            limiter.on_connected(ms(10_000 - age), ms(10_000));
        }
        let until = limiter.blocked_until(ms(10_000)).expect("no permit yet");
        assert!(
            until > ms(10_000) && limiter.blocked_until(until + ms(1)).is_none(),
            "{age_ms:?}: {until:?}"
        );
        assert!(
            limiter
                .blocked_until(until.checked_sub(ms(1)).unwrap())
                .is_some(),
            "{age_ms:?}: not before the predicted time"
        );
        // An unused permit expires, and the next one is not issued immediately.
        let share = RATE / 20.0
            * age_ms.map_or(INITIAL_SHARE, |age| {
                (age as f64 / 10_000.0).max(INITIAL_SHARE)
            });
        assert!(
            share > 1.5 || limiter.blocked_until(until + ms(251)).is_some(),
            "{age_ms:?}"
        );
    }
    let mut limiter = WarmUpLimiter::new(rule, 0.3, ms(0));
    limiter.on_connected(ms(0), ms(0));
    assert!(!limiter.is_warm(ms(9_999)) && limiter.is_warm(ms(10_000)));
    limiter.on_disconnected(ms(11_000));
    assert!(!limiter.is_warm(ms(11_000)) && limiter.blocked_until(ms(11_000)).is_some());
}
