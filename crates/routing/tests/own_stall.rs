//! A forwarder that stood still itself ejects no member for what it did not read meanwhile.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::{load, source::Memory};
use rainstand_routing::fleet::{AttemptOutcome, Fleet, NextAction, RequestState};
use rainstand_routing::health::MemberStatus;
use rainstand_routing::table::Request;
use std::time::Duration;

const MEMBERS: usize = 3;
const TURN_INTERVAL: Duration = Duration::from_millis(5);
/// Answers come within this where nobody stands still.
const USUAL: Duration = Duration::from_millis(1);
/// Longer than the silence that ejects a member.
const STALL: Duration = Duration::from_secs(5);

/// Whether the caller reports turns, so that a stall can be seen.
#[derive(Clone, Copy)]
enum Turns {
    Reported,
    NotReported,
}

struct Play {
    fleet: Fleet,
    now: Duration,
}

impl Play {
    fn new(turns: Turns) -> Self {
        let members: String = (0..MEMBERS)
            .map(|k| format!("member n{k} {{ address: \"10.0.0.{}:1\" }}\n", k + 1))
            .collect();
        let text = format!(
            "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
attempts a {{ tries: 1 }}
health h {{ keep: 30 % }}
pool p {{ health: h\n{members} }}
route r {{ to: p; attempts: a }}"
        );
        let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
        let configuration = outcome.configuration.expect("a configuration");
        let mut fleet = Fleet::new(&configuration, "", 7, Duration::ZERO).unwrap();
        if let Turns::Reported = turns {
            fleet.expect_turns(TURN_INTERVAL);
        }
        Self {
            fleet,
            now: Duration::ZERO,
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    /// A request that is in flight, and the index of its member.
    fn send(&mut self) -> (RequestState, u16) {
        let request = Request {
            request_class: self.fleet.table().request_class("check").unwrap(),
            ..Request::default()
        };
        match self.fleet.on_arrival(self.now, &request) {
            NextAction::Dispatch(state, attempt) => (state, attempt.to.member),
            other => panic!("{other:?}"),
        }
    }

    fn end(&mut self, request: RequestState, outcome: AttemptOutcome) {
        let next = self.fleet.on_attempt_outcome(self.now, request, outcome);
        assert!(matches!(next, NextAction::Completed(_)), "{next:?}");
    }

    /// Requests one after the other that are answered as usual.
    fn serve(&mut self, requests: usize) {
        for _ in 0..requests {
            let (request, _) = self.send();
            self.pass(USUAL);
            self.end(request, AttemptOutcome::Served);
        }
    }

    /// One request to each member; that of the first stays in flight.
    fn serve_others(&mut self) -> RequestState {
        let requests: Vec<_> = (0..MEMBERS).map(|_| self.send()).collect();
        self.pass(USUAL);
        let mut of_first = None;
        for (request, member) in requests {
            match member {
                0 => of_first = Some(request),
                _ => self.end(request, AttemptOutcome::Served),
            }
        }
        of_first.expect("a request to each member")
    }

    fn ejected(&mut self) -> usize {
        self.fleet.tick(self.now);
        let members = self.fleet.members(0, self.now);
        members
            .filter(|member| matches!(member.status, MemberStatus::Ejected(_)))
            .count()
    }
}

/// Members that are ejected after stalls in which answers lay unread.
fn ejected_after_stalls(turns: Turns, stall: Duration) -> usize {
    let mut play = Play::new(turns);
    play.serve(60);
    for _ in 0..20 {
        let request = play.serve_others();
        play.pass(stall);
        play.end(request, AttemptOutcome::Served);
        play.serve(9);
        let ejected = play.ejected();
        if ejected > 0 {
            return ejected;
        }
    }
    0
}

/// Members that are ejected for silence at the first look after a stall, before their answers are read.
fn ejected_for_silence(turns: Turns) -> usize {
    let mut play = Play::new(turns);
    play.serve(60);
    let requests: Vec<_> = (0..MEMBERS).map(|_| play.send()).collect();
    play.pass(STALL);
    let ejected = play.ejected();
    for (request, _) in requests {
        play.end(request, AttemptOutcome::Served);
    }
    ejected
}

/// Members that are ejected for attempts that timed out while their answers lay unread.
fn ejected_for_timeouts(turns: Turns) -> usize {
    let mut play = Play::new(turns);
    play.serve(60);
    let requests: Vec<_> = (0..10 * MEMBERS).map(|_| play.send()).collect();
    play.pass(STALL);
    for (request, _) in requests {
        play.end(request, AttemptOutcome::TimedOut);
    }
    play.ejected()
}

// Guards against an ejection as slow for answers that lay unread while the process had no processor.
#[test]
fn answers_that_lay_unread_eject_nobody() {
    for stall in [30, 100, 900].map(Duration::from_millis) {
        assert_eq!(ejected_after_stalls(Turns::Reported, stall), 0);
        assert!(ejected_after_stalls(Turns::NotReported, stall) > 0);
    }
}

// Guards against an ejection as silent right after a stall of this process.
#[test]
fn members_that_were_not_heard_in_a_stall_are_not_silent() {
    assert_eq!(ejected_for_silence(Turns::Reported), 0);
    assert!(ejected_for_silence(Turns::NotReported) > 0);
}

// Guards against an ejection for timeouts that a stall of this process caused.
#[test]
fn timeouts_in_a_stall_are_no_failures_of_members() {
    assert_eq!(ejected_for_timeouts(Turns::Reported), 0);
    assert!(ejected_for_timeouts(Turns::NotReported) > 0);
}

// Guards against the opposite: a member that is slow while this process runs is ejected.
#[test]
fn a_slow_member_is_ejected_where_turns_are_reported() {
    let mut play = Play::new(Turns::Reported);
    for _ in 0..40 {
        let slow = play.serve_others();
        for _ in 0..20 {
            play.pass(TURN_INTERVAL);
            play.fleet.on_turn(play.now);
        }
        play.end(slow, AttemptOutcome::Served);
        if play.ejected() == 1 {
            return;
        }
    }
    panic!("a slow member stays in service");
}
