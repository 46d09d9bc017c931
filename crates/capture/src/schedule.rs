//! What a replay sends, when and on which connection: decided from the events of a capture, before
//! anything is sent, so that a slow node cannot slow the arrivals.
//!
//! Invariants of a [`Schedule`]: sends are in order of time; a `Left` stands behind its call; no connection
//! has more than [`MOST_TOGETHER`] calls open by the recording's own times, if connections are not as
//! recorded.

use crate::tickets::{Call, Event, Outcome, Ticket};
use foldhash::{HashMap, HashMapExt};
use std::collections::VecDeque;
use std::time::Duration;

/// Bytes of bodies and fields that a schedule keeps: past it a shorter stretch has to be chosen.
pub const MOST_BYTES: usize = 512 << 20;
/// Calls that the protocol allows open on a connection.
const MOST_TOGETHER: usize = 32;

/// One call as it was recorded.
#[derive(Clone, Debug)]
pub struct Recorded {
    pub call: Call,
    pub body: Vec<u8>,
    /// None where the capture shows no end.
    pub outcome: Option<Outcome>,
    /// From the call to its answer.
    pub took: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Call,
    /// Its caller gives it up.
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Send {
    /// From the replay's start.
    pub after: Duration,
    /// Into [`Schedule::calls`].
    pub call: usize,
    pub what: What,
    pub connection: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Schedule {
    pub calls: Vec<Recorded>,
    pub sends: Vec<Send>,
    pub connections: usize,
}

/// How connections are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    AsRecorded,
    /// So many, more only while all of them are full.
    Number(usize),
}

/// What of a capture is replayed, and how fast.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// From the capture's first call, in its own time.
    pub from: Duration,
    pub to: Option<Duration>,
    /// 2.0: twice as fast.
    pub speed: f64,
    pub connections: Connections,
}

/// Takes events and makes the schedule.
pub struct Collector {
    calls: Vec<Recorded>,
    lefts: Vec<(usize, u64)>,
    open: HashMap<(u32, i32), usize>,
    bytes: usize,
    /// Calls that were not kept for want of room.
    pub left_out: u64,
}

impl Default for Collector {
    fn default() -> Self {
        Self {
            calls: Vec::new(),
            lefts: Vec::new(),
            open: HashMap::new(),
            bytes: 0,
            left_out: 0,
        }
    }
}

impl Collector {
    pub fn take(&mut self, event: &Event<'_>) {
        match event {
            Event::Call { call, body, .. } => {
                let fields: usize = call
                    .fields
                    .iter()
                    .map(|(key, value)| key.len() + value.len() + 48)
                    .sum();
                self.bytes += body.len() + fields + size_of::<Recorded>();
                if self.bytes > MOST_BYTES {
                    self.left_out += 1;
                    return;
                }
                self.open
                    .insert((call.connection, call.seq), self.calls.len());
                let recorded = Recorded {
                    call: (*call).clone(),
                    body: body.to_vec(),
                    outcome: None,
                    took: None,
                };
                self.calls.push(recorded);
            }
            Event::Left {
                connection,
                seq,
                at,
            } => {
                if let Some(call) = self.open.get(&(*connection, *seq)) {
                    self.lefts.push((*call, *at));
                }
            }
            Event::Ticket(Ticket {
                call,
                outcome,
                answered,
                ..
            }) => {
                let Some(at) = self.open.remove(&(call.connection, call.seq)) else {
                    return;
                };
                let known = *outcome != Outcome::None;
                self.calls[at].outcome = known.then(|| outcome.clone());
                self.calls[at].took =
                    answered.map(|then| Duration::from_nanos(then.saturating_sub(call.at)));
            }
            _ => {}
        }
    }

    /// The schedule of what is chosen.
    pub fn schedule(self, choice: &Choice) -> Schedule {
        let Self {
            mut calls, lefts, ..
        } = self;
        let first = calls.iter().map(|one| one.call.at).min().unwrap_or(0);
        let offset = |at: u64| Duration::from_nanos(at.saturating_sub(first));
        let chosen = |one: &Recorded| {
            let at = offset(one.call.at);
            at >= choice.from && choice.to.is_none_or(|to| at < to)
        };
        // In order of time, which that of the capture's packets need not be; indices follow.
        let mut order: Vec<usize> = (0..calls.len()).filter(|at| chosen(&calls[*at])).collect();
        order.sort_by_key(|at| (calls[*at].call.at, *at));
        let mut place = vec![usize::MAX; calls.len()];
        order
            .iter()
            .enumerate()
            .for_each(|(new, old)| place[*old] = new);
        let after = |at: u64| offset(at).saturating_sub(choice.from).div_f64(choice.speed);
        let mut kept: Vec<Option<Recorded>> = calls.drain(..).map(Some).collect();
        let calls: Vec<Recorded> = order.iter().filter_map(|old| kept[*old].take()).collect();
        let (on, connections) = match choice.connections {
            Connections::AsRecorded => as_recorded(&calls),
            Connections::Number(number) => on_number(&calls, number.max(1)),
        };
        let mut sends: Vec<Send> = calls
            .iter()
            .enumerate()
            .map(|(k, one)| Send {
                after: after(one.call.at),
                call: k,
                what: What::Call,
                connection: on[k],
            })
            .collect();
        sends.extend(
            lefts
                .into_iter()
                .filter(|(old, _)| place[*old] != usize::MAX)
                .map(|(old, at)| {
                    let call = place[old];
                    let at = at.max(calls[call].call.at);
                    Send {
                        after: after(at),
                        call,
                        what: What::Left,
                        connection: on[call],
                    }
                }),
        );
        sends.sort_by_key(|send| (send.after, send.what == What::Left, send.call));
        Schedule {
            calls,
            sends,
            connections,
        }
    }
}

fn as_recorded(calls: &[Recorded]) -> (Vec<usize>, usize) {
    let mut numbers: HashMap<u32, usize> = HashMap::new();
    let on = calls.iter().map(|one| {
        let next = numbers.len();
        *numbers.entry(one.call.connection).or_insert(next)
    });
    let on = on.collect();
    (on, numbers.len())
}

/// In turn over those that have room by the recording's own times.
fn on_number(calls: &[Recorded], number: usize) -> (Vec<usize>, usize) {
    // Of each connection, when its calls end, soonest first among those that are open.
    let mut open: Vec<VecDeque<u64>> = vec![VecDeque::new(); number];
    let mut turn = 0;
    let mut on = Vec::with_capacity(calls.len());
    for one in calls {
        let at = one.call.at;
        let end = one
            .took
            .map_or(u64::MAX, |took| at + took.as_nanos() as u64);
        for ends in &mut open {
            ends.retain(|end| *end > at);
        }
        let chosen = (0..open.len())
            .map(|k| (turn + k) % open.len())
            .find(|k| open[*k].len() < MOST_TOGETHER);
        let chosen = chosen.unwrap_or_else(|| {
            open.push(VecDeque::new());
            open.len() - 1
        });
        open[chosen].push_back(end);
        turn = (chosen + 1) % open.len();
        on.push(chosen);
    }
    (on, open.len())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn collected(calls: &[(u64, u32, i32)], lefts: &[(u32, i32, u64)]) -> Collector {
        let mut collector = Collector::default();
        for (ms, connection, seq) in calls {
            let call = Call {
                at: ms * 1_000_000,
                connection: *connection,
                seq: *seq,
                ..Call::default()
            };
            collector.take(&Event::Call {
                call: &call,
                body: b"x",
                frame: b"",
                side: 0,
            });
        }
        for (connection, seq, ms) in lefts {
            collector.take(&Event::Left {
                connection: *connection,
                seq: *seq,
                at: ms * 1_000_000,
            });
        }
        collector
    }

    fn choice(speed: f64, connections: Connections) -> Choice {
        Choice {
            from: Duration::ZERO,
            to: None,
            speed,
            connections,
        }
    }

    #[test]
    fn times_are_the_recordings_at_the_stated_speed() {
        let calls = [(1_000, 4, 1), (1_250, 9, 1), (1_100, 4, 2)];
        let made =
            collected(&calls, &[(4, 2, 1_400)]).schedule(&choice(2.0, Connections::AsRecorded));
        let told: Vec<_> = made
            .sends
            .iter()
            .map(|s| (s.after.as_millis(), s.call, s.what, s.connection))
            .collect();
        assert_eq!(
            told,
            [
                (0, 0, What::Call, 0),
                (50, 1, What::Call, 0),
                (125, 2, What::Call, 1),
                (200, 1, What::Left, 0)
            ]
        );
        assert_eq!((made.connections, made.calls[1].call.seq), (2, 2));
        let part = Choice {
            from: Duration::from_millis(50),
            to: Some(Duration::from_millis(200)),
            ..choice(1.0, Connections::AsRecorded)
        };
        let made = collected(&calls, &[(4, 1, 1_120)]).schedule(&part);
        assert_eq!(
            made.sends
                .iter()
                .map(|s| s.after.as_millis())
                .collect::<Vec<_>>(),
            [50]
        );
    }

    #[test]
    fn a_number_of_connections_is_used_in_turn_and_never_over_full() {
        let calls: Vec<_> = (0..100).map(|n| (n, 1, n as i32)).collect();
        let made = collected(&calls, &[]).schedule(&choice(1.0, Connections::Number(2)));
        // None of them has an end: two full connections, then more.
        assert_eq!(made.connections, 4);
        let mut per = [0; 4];
        made.sends.iter().for_each(|send| per[send.connection] += 1);
        assert!(per.iter().all(|count| *count <= MOST_TOGETHER), "{per:?}");
        assert_eq!(made.sends[0].connection + made.sends[1].connection, 1);
    }
}
