//! A cold server falls under the sum of what all forwarders send it: so many of them on one clock against a member
//! that counts. With N what its settings allow in a window, at most 2√N + 2 more may be chance.

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

/// Members of the pool; the first is the one that starts.
const MEMBERS: usize = 5;
/// Calls a second that a warm member bears, over windows of a second.
const RATE: f64 = 200.0;
const WINDOW: f64 = 1.0;
const WARM_UP: f64 = 10.0;
/// The part that one gets that just started.
const START: f64 = 0.05;
/// The clock at which it starts, ms: all forwarders have known all members for a minute by then.
const BORN: u64 = 60_000;
const LASTS: u64 = 12_000;

/// What the other members do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Others {
    /// They honour.
    Well,
    /// They dismiss.
    Full,
    /// Nobody is there.
    Out,
    /// They started at the same time.
    Cold,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    senders: usize,
    /// Requests a second that come to all of them together.
    asked: f64,
    others: Others,
    /// Half of the forwarders start anew in the middle.
    restart: bool,
    /// Some hear of the start up to three seconds late.
    late: bool,
    /// It starts anew again and again.
    flaps: bool,
    /// All that comes to a member fails, and is sent again.
    fails: bool,
    /// Requests come for 150 ms in each 3.9 s, and nothing between.
    bursts: bool,
    /// All of them are of the entity whose own member is the cold one.
    entity: bool,
    /// The configuration is taken anew each half second.
    reloads: bool,
    /// The configuration says how many send.
    told: bool,
}

const PLAIN: Case = Case {
    name: "others well",
    senders: 20,
    asked: 300.0,
    others: Others::Well,
    restart: false,
    late: false,
    flaps: false,
    fails: false,
    bursts: false,
    entity: false,
    reloads: false,
    told: true,
};

/// One of each trouble; each is played with 1, 20 and 30 forwarders, with few requests and with far too many.
const CASES: [Case; 14] = [
    PLAIN,
    Case {
        name: "others full",
        others: Others::Full,
        ..PLAIN
    },
    Case {
        name: "others out",
        others: Others::Out,
        ..PLAIN
    },
    Case {
        name: "all cold",
        others: Others::Cold,
        ..PLAIN
    },
    Case {
        name: "forwarders restart",
        others: Others::Full,
        restart: true,
        ..PLAIN
    },
    Case {
        name: "forwarders restart, all cold",
        others: Others::Cold,
        restart: true,
        ..PLAIN
    },
    Case {
        name: "some hear late",
        others: Others::Full,
        late: true,
        ..PLAIN
    },
    Case {
        name: "it flaps",
        others: Others::Full,
        flaps: true,
        ..PLAIN
    },
    Case {
        name: "all fails, retries",
        others: Others::Cold,
        fails: true,
        ..PLAIN
    },
    Case {
        name: "bursts",
        others: Others::Full,
        bursts: true,
        ..PLAIN
    },
    Case {
        name: "one entity",
        entity: true,
        ..PLAIN
    },
    Case {
        name: "reloads",
        others: Others::Full,
        reloads: true,
        ..PLAIN
    },
    Case {
        name: "not said how many send",
        others: Others::Full,
        told: false,
        ..PLAIN
    },
    Case {
        name: "all at once",
        others: Others::Cold,
        restart: true,
        late: true,
        flaps: true,
        fails: true,
        bursts: true,
        ..PLAIN
    },
];

fn text(senders: usize, knob: &str) -> String {
    let member = |k: usize| {
        format!(
            "member n{k} {{ address: \"10.0.0.{}:1\"; warm-up: 10 s }}\n",
            k + 1
        )
    };
    let members: String = (0..MEMBERS).map(member).collect();
    let knob = knob.replace('S', &senders.to_string());
    format!(
        "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
tenant acme {{ share: 50 % }}
attempts a {{ tries: 3; budget: 100 %; wait: 1 ms .. 4 ms; proof: none }}
health h {{ back-after: 1 s .. 2 s; keep: 20 %; out-after: 100000 tickets; out-share: 100 % }}
pool p {{ health: h; {knob}\n{members} }}
route r {{ to: p; attempts: a }}"
    )
}

/// An entity whose own member is the first one.
fn own() -> String {
    let score = |member: usize, name: &str| score(name_hash(&address(member)), 1_000, name);
    let first = |name: &String| (1..MEMBERS).all(|k| score(0, name) > score(k, name));
    (0..).map(|n| format!("NO-{n}")).find(first).unwrap()
}

/// Its rule as it is used here, all of it.
const KNOB: &str = "warm-rate: 200 tickets/s; senders: S;";

/// A forwarder, and which members it has a connection to.
struct One {
    fleet: Fleet,
    linked: [bool; MEMBERS],
    /// When it hears that the first member started anew; calls until then go to one that is no longer there.
    hears: u64,
}

fn read(text: String) -> Configuration {
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    outcome
        .configuration
        .unwrap_or_else(|| panic!("{:?}", outcome.findings))
}

fn one(made: &Configuration, seed: u64, now: u64) -> One {
    let fleet = Fleet::new(made, "", seed, ms(now)).unwrap();
    One {
        fleet,
        linked: [false; MEMBERS],
        hears: 0,
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn address(member: usize) -> String {
    format!("10.0.0.{}:1", member + 1)
}

impl One {
    fn open(&mut self, member: usize, now: u64) {
        if !std::mem::replace(&mut self.linked[member], true) {
            self.fleet.on_connected(&address(member), ms(now), ms(now));
        }
    }

    fn broke(&mut self, member: usize, now: u64) {
        if std::mem::replace(&mut self.linked[member], false) {
            self.fleet.on_disconnected(&address(member), ms(now));
        }
    }
}

#[derive(Debug, Default)]
struct Played {
    /// Calls that came to each member, by life: its start, and when they came, ms.
    lives: BTreeMap<(usize, u64), Vec<u64>>,
    honoured: u64,
    /// Told when to come back, and whether any was told nothing.
    dismissed: u64,
    told_nothing: u64,
}

/// Calls that may come in a window that begins at this age, s.
fn allowed(age: f64) -> f64 {
    let rising = |age: f64| age.clamp(START * WARM_UP, WARM_UP);
    let sum = |age: f64| {
        let flat = age.min(START * WARM_UP);
        let (from, to) = (START * WARM_UP, rising(age));
        START * flat + (to * to - from * from) / (2.0 * WARM_UP)
    };
    RATE * (sum(age + WINDOW) - sum(age))
}

/// The window that is furthest past what is allowed: past N by this many times what may be chance, and how.
fn worst(calls: &[u64], born: u64) -> (f64, String) {
    let mut worst = (f64::NEG_INFINITY, String::from("nothing came"));
    for (k, first) in calls.iter().enumerate() {
        let age = (first - born) as f64 / 1_000.0;
        if age + WINDOW > WARM_UP {
            break;
        }
        let end = first + (WINDOW * 1_000.0) as u64;
        let came = calls[k..].iter().take_while(|at| **at < end).count() as f64;
        let n = allowed(age);
        let over = (came - n) / (2.0 * n.sqrt() + 2.0);
        if over > worst.0 {
            worst = (
                over,
                format!("{came} at the age of {age:.2} s, {n:.1} allowed"),
            );
        }
    }
    worst
}

fn play(case: &Case, seed: u64, knob: &str) -> Played {
    let made = read(text(if case.told { case.senders } else { 0 }, knob));
    let mut chance = WyRand::new_seed(seed);
    let mut seeds = WyRand::new_seed(seed ^ 0xf0);
    let mut all: Vec<One> = (0..case.senders)
        .map(|_| one(&made, seeds.generate(), 0))
        .collect();
    for one in &mut all {
        (0..MEMBERS).for_each(|member| one.open(member, 0));
    }
    let starts: &[u64] = if case.flaps {
        &[0, 700, 2_900, 4_000, 6_500]
    } else {
        &[0]
    };
    let (mut played, own) = (Played::default(), own());
    let mut born = [0u64; MEMBERS];
    // What happens to a forwarder then: a try comes back, or a wait is over.
    let mut due: BTreeMap<u64, Vec<(usize, RequestState, Option<AttemptOutcome>)>> =
        BTreeMap::new();
    for t in BORN..BORN + LASTS {
        if starts.contains(&(t - BORN)) {
            let cold = if case.others == Others::Cold {
                MEMBERS
            } else {
                1
            };
            for (member, born) in born.iter_mut().enumerate().take(cold) {
                *born = t;
                played.lives.insert((member, t), Vec::new());
            }
            for (k, one) in all.iter_mut().enumerate() {
                one.hears = if case.late && k % 3 > 0 {
                    t + chance.generate_range(0..3_000u64)
                } else {
                    t
                };
            }
        }
        for one in &mut all {
            if one.hears == t {
                (0..MEMBERS)
                    .filter(|k| born[*k] > 0)
                    .for_each(|k| one.broke(k, t));
            }
        }
        if case.restart && t == BORN + 3_000 {
            // Those that were there before keep their trips to themselves.
            let count = all.len();
            for one in all.iter_mut().take(count.div_ceil(2)) {
                *one = self::one(&made, seeds.generate(), t);
            }
            due.values_mut()
                .for_each(|due| due.retain(|(k, ..)| *k >= count.div_ceil(2)));
        }
        if case.reloads && t % 500 == 250 {
            all.iter_mut()
                .for_each(|one| drop(one.fleet.install(&made, ms(t))));
        }
        if t % 100 == 0 {
            all.iter_mut().for_each(|one| drop(one.fleet.tick(ms(t))));
        }
        let mut steps: Vec<(usize, NextAction)> = Vec::new();
        for (k, trip, back) in due.remove(&t).unwrap_or_default() {
            let fleet = &mut all[k].fleet;
            steps.push((
                k,
                match back {
                    Some(back) => fleet.on_attempt_outcome(ms(t), trip, back),
                    None => fleet.on_retry_due(ms(t), trip),
                },
            ));
        }
        for (k, one) in all.iter_mut().enumerate() {
            let now = if !case.bursts {
                1.0
            } else if t % 3_900 < 150 {
                26.0
            } else {
                0.0
            };
            let mean = now * case.asked / case.senders as f64 / 1_000.0;
            let mut left = f64::from(chance.generate::<u32>()) / f64::from(u32::MAX);
            // As many as a Poisson process brings in a millisecond.
            let mut p = (-mean).exp();
            let mut n = 0;
            while left > p && n < 50 {
                left -= p;
                n += 1;
                p *= mean / f64::from(n);
            }
            for _ in 0..n {
                let entity = if case.entity { &*own } else { "" };
                let request = Request {
                    tenant: Some(0),
                    entity,
                    ..Request::default()
                };
                steps.push((k, one.fleet.on_arrival(ms(t), &request)));
            }
        }
        for (k, step) in steps {
            match step {
                NextAction::Dispatch(trip, Attempt { to, .. }) => {
                    let member = usize::from(to.member);
                    let (back, took) = reaches(case, &mut all[k], member, t, &mut played, &born);
                    due.entry(t + took).or_default().push((k, trip, Some(back)));
                }
                NextAction::Backoff(trip, wait) => {
                    due.entry(t + (wait.as_millis() as u64).max(1))
                        .or_default()
                        .push((k, trip, None));
                }
                NextAction::Completed(over) => match over.outcome {
                    RequestOutcome::Served => played.honoured += 1,
                    RequestOutcome::Rejected { after, .. } => {
                        played.dismissed += 1;
                        played.told_nothing += u64::from(after < ms(10));
                    }
                    RequestOutcome::Failed | RequestOutcome::CallerGone => {}
                },
            }
        }
    }
    played
}

/// A try on its way: what comes back after how many ms.
fn reaches(
    case: &Case,
    one: &mut One,
    member: usize,
    t: u64,
    played: &mut Played,
    born: &[u64; MEMBERS],
) -> (AttemptOutcome, u64) {
    if born[member] == 0 {
        return match case.others {
            Others::Out => (AttemptOutcome::Unreachable, 1),
            Others::Full => (
                AttemptOutcome::Rejected {
                    pause: ms(300),
                    nowhere_else: false,
                },
                1,
            ),
            _ => {
                one.open(member, t);
                (AttemptOutcome::Served, 10)
            }
        };
    }
    if one.linked[member] && one.hears > t {
        // The connection is to the one before, and nobody told yet.
        return (AttemptOutcome::Broken, one.hears - t);
    }
    one.open(member, t);
    played
        .lives
        .get_mut(&(member, born[member]))
        .unwrap()
        .push(t);
    if case.fails {
        (AttemptOutcome::Failed, 5)
    } else {
        (AttemptOutcome::Served, 20)
    }
}

/// Each case with each number of forwarders, with few requests for each and with far more than all members bear.
fn each(mut what: impl FnMut(&Case, &str)) {
    for senders in [1, 20, 30] {
        for asked in [30.0, 300.0, 2_000.0] {
            for case in CASES {
                let case = Case {
                    senders,
                    asked,
                    ..case
                };
                what(
                    &case,
                    &format!(
                        "{senders} forwarders, {asked} tickets a second, {}",
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
        each(|case, name| {
            let played = play(case, seed, KNOB);
            for ((member, born), calls) in &played.lives {
                let (over, how) = worst(calls, *born);
                assert!(over <= 1.0, "{name}, seed {seed}, member {member}: {how}");
            }
            assert_eq!(played.told_nothing, 0, "{name}: a time to come back");
        });
    }
}

/// A bound that lets nothing through would hold too.
#[test]
fn a_cold_member_gets_most_of_its_limit_and_everything_once_warm() {
    for senders in [1, 20, 30] {
        let case = Case {
            senders,
            asked: 2_000.0,
            others: Others::Full,
            ..PLAIN
        };
        let played = play(&case, 4, KNOB);
        let calls = &played.lives[&(0, BORN)];
        let in_all = |from: u64, to: u64| {
            calls
                .iter()
                .filter(|at| (BORN + from..BORN + to).contains(at))
                .count() as f64
        };
        let allowed: f64 = (2..9).map(|s| allowed(f64::from(s))).sum();
        let got = in_all(2_000, 9_000);
        // Each hears of the start with its first turn, and is behind by as much.
        let least = if senders == 1 { 0.75 } else { 0.5 };
        assert!(got > least * allowed, "{senders}: {got} of {allowed}");
        if senders == 1 {
            assert!(
                in_all(11_000, 12_000) > 2.0 * RATE,
                "warm, it is bounded by others' rules only"
            );
        }
    }
}

#[test]
fn without_a_rate_there_is_no_warm_up_limit() {
    let case = Case {
        senders: 1,
        asked: 2_000.0,
        others: Others::Full,
        ..PLAIN
    };
    let played = play(&case, 4, "senders: S;");
    let (over, _) = worst(&played.lives[&(0, BORN)], BORN);
    assert!(
        over > 10.0,
        "{over}: then this test's members are too kind to show anything"
    );
}

/// What a sum of senders may send, by the decision alone: those who ask at each moment.
#[test]
fn turns_add_up_across_joins_restarts_and_reloads() {
    let rule = |senders| {
        WarmUpRule::new(
            RATE,
            Duration::from_secs(1),
            senders,
            Duration::from_secs(10),
        )
    };
    let mut chance = WyRand::new_seed(12);
    let mut phase = || f64::from(chance.generate::<u32>()) / (f64::from(u32::MAX) + 1.0);
    type Does = fn(&mut WarmUpLimiter, u64);
    let table: [(&str, u64, Does); 6] = [
        ("nothing", 0, |_, _| {}),
        ("silent for five seconds", 5_000, |_, _| {}),
        ("loses touch each 70 ms", 0, |ramp, t| {
            if t % 70 == 0 {
                ramp.on_disconnected(ms(t));
                ramp.on_connected(ms(t), ms(t));
            }
        }),
        ("loses touch for good", 0, |ramp, t| {
            if t == 300 {
                ramp.on_disconnected(ms(t));
            }
        }),
        ("is told the same again", 0, |ramp, t| {
            ramp.on_connected(ms(0), ms(t))
        }),
        ("takes a version each 90 ms", 0, |ramp, t| {
            if t % 90 == 0 {
                let before = ramp.clone();
                let rule =
                    WarmUpRule::new(RATE, Duration::from_secs(1), 30, Duration::from_secs(10));
                *ramp = WarmUpLimiter::new(rule, 0.99, ms(t));
                ramp.carry(&before, ms(t));
            }
        }),
    ];
    for (name, asks_from, does) in table {
        let mut all: Vec<WarmUpLimiter> = (0..30)
            .map(|_| WarmUpLimiter::new(rule(30), phase(), ms(0)))
            .collect();
        all.iter_mut()
            .for_each(|ramp| ramp.on_connected(ms(0), ms(0)));
        let mut calls = Vec::new();
        for t in 0..8_000 {
            for ramp in &mut all {
                does(ramp, t);
                if t >= asks_from && ramp.blocked_until(ms(t)).is_none() {
                    ramp.take(ms(t));
                    calls.push(t);
                    // One turn, one call.
                    assert!(
                        ramp.blocked_until(ms(t)).is_some_and(|until| until > ms(t)),
                        "{name}"
                    );
                }
            }
        }
        let (over, how) = worst(&calls, 0);
        assert!(over <= 1.0, "{name}: {how}");
        assert!(calls.len() > 40, "{name}: {}", calls.len());
    }
}

#[test]
fn a_turn_comes_at_the_announced_time() {
    let rule = WarmUpRule::new(RATE, Duration::from_secs(1), 20, Duration::from_secs(10));
    for known in [None, Some(0), Some(5_000)] {
        let mut ramp = WarmUpLimiter::new(rule, 0.3, ms(10_000));
        if let Some(age) = known {
            ramp.on_connected(ms(10_000 - age), ms(10_000));
        }
        let until = ramp.blocked_until(ms(10_000)).expect("no turn yet");
        assert!(
            until > ms(10_000) && ramp.blocked_until(until + ms(1)).is_none(),
            "{known:?}: {until:?}"
        );
        assert!(
            ramp.blocked_until(until.checked_sub(ms(1)).unwrap())
                .is_some(),
            "{known:?}: not sooner"
        );
        // Not used, it is lost, and the next one is some time off.
        let share = RATE / 20.0 * known.map_or(START, |age| (age as f64 / 10_000.0).max(START));
        assert!(
            share > 1.5 || ramp.blocked_until(until + ms(251)).is_some(),
            "{known:?}"
        );
    }
    let mut ramp = WarmUpLimiter::new(rule, 0.3, ms(0));
    ramp.on_connected(ms(0), ms(0));
    assert!(!ramp.is_warm(ms(9_999)) && ramp.is_warm(ms(10_000)));
    ramp.on_disconnected(ms(11_000));
    assert!(!ramp.is_warm(ms(11_000)) && ramp.blocked_until(ms(11_000)).is_some());
}
