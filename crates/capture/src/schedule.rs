//! Plans what a replay sends, when and on which connection. The schedule is computed from the events of a
//! capture before anything is sent, so that a slow node cannot delay arrivals.
//!
//! Invariants of a [`Schedule`]: sends are ordered by time; a `Left` follows its call; unless connections are
//! used as recorded, no connection has more than [`MAX_OPEN_CALLS`] calls open at the recorded times.

use crate::tickets::{Call, Event, Outcome, Ticket};
use foldhash::{HashMap, HashMapExt};
use std::collections::VecDeque;
use std::time::Duration;

/// Limit of bytes of bodies and fields in a schedule; a longer recording has to be replayed in sections.
pub const MAX_BYTES: usize = 512 << 20;
/// Maximum number of open calls per connection in the protocol.
const MAX_OPEN_CALLS: usize = 32;

/// A recorded call.
#[derive(Clone, Debug)]
pub struct Recorded {
    pub call: Call,
    pub body: Vec<u8>,
    /// None if the capture does not show the outcome.
    pub outcome: Option<Outcome>,
    /// Time from the call to its answer.
    pub took: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Call,
    /// The caller cancels the call.
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Send {
    /// Time since the start of the replay.
    pub after: Duration,
    /// Index into [`Schedule::calls`].
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

/// How calls are assigned to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    AsRecorded,
    /// This number of connections; more are opened only while all of them are full.
    Number(usize),
}

/// The section of a capture to replay, and the speed.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// Start of the section, as recorded time since the first call; `to` is its exclusive end.
    pub from: Duration,
    pub to: Option<Duration>,
    /// Speed factor; 2.0 is twice as fast as recorded.
    pub speed: f64,
    pub connections: Connections,
}

/// Collects events and builds the schedule.
pub struct Collector {
    calls: Vec<Recorded>,
    cancellations: Vec<(usize, u64)>,
    open: HashMap<(u32, i32), usize>,
    bytes: usize,
    /// Calls dropped because of [`MAX_BYTES`].
    pub left_out: u64,
}

impl Default for Collector {
    fn default() -> Self {
        Self {
            calls: Vec::new(),
            cancellations: Vec::new(),
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
                if self.bytes > MAX_BYTES {
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
                    self.cancellations.push((*call, *at));
                }
            }
            Event::Ticket(Ticket {
                call,
                outcome,
                answered,
                ..
            }) => {
                let Some(index) = self.open.remove(&(call.connection, call.seq)) else {
                    return;
                };
                let known = *outcome != Outcome::None;
                self.calls[index].outcome = known.then(|| outcome.clone());
                self.calls[index].took = answered
                    .map(|answered_at| Duration::from_nanos(answered_at.saturating_sub(call.at)));
            }
            _ => {}
        }
    }

    /// Builds the schedule of the chosen section.
    pub fn schedule(self, choice: &Choice) -> Schedule {
        let Self {
            mut calls,
            cancellations,
            ..
        } = self;
        let first = calls
            .iter()
            .map(|recorded| recorded.call.at)
            .min()
            .unwrap_or(0);
        let offset = |at: u64| Duration::from_nanos(at.saturating_sub(first));
        let chosen = |recorded: &Recorded| {
            let at = offset(recorded.call.at);
            at >= choice.from && choice.to.is_none_or(|to| at < to)
        };
        // Sorted by time, since packets may be captured out of order; indices are remapped.
        let mut order: Vec<usize> = (0..calls.len())
            .filter(|index| chosen(&calls[*index]))
            .collect();
        order.sort_by_key(|index| (calls[*index].call.at, *index));
        let mut new_index = vec![usize::MAX; calls.len()];
        order
            .iter()
            .enumerate()
            .for_each(|(new, old)| new_index[*old] = new);
        let after = |at: u64| offset(at).saturating_sub(choice.from).div_f64(choice.speed);
        let mut remaining: Vec<Option<Recorded>> = calls.drain(..).map(Some).collect();
        let calls: Vec<Recorded> = order
            .iter()
            .filter_map(|old| remaining[*old].take())
            .collect();
        let (assigned, connections) = match choice.connections {
            Connections::AsRecorded => assign_as_recorded(&calls),
            Connections::Number(number) => assign_round_robin(&calls, number.max(1)),
        };
        let mut sends: Vec<Send> = calls
            .iter()
            .enumerate()
            .map(|(k, recorded)| Send {
                after: after(recorded.call.at),
                call: k,
                what: What::Call,
                connection: assigned[k],
            })
            .collect();
        sends.extend(
            cancellations
                .into_iter()
                .filter(|(old, _)| new_index[*old] != usize::MAX)
                .map(|(old, at)| {
                    let call = new_index[old];
                    let at = at.max(calls[call].call.at);
                    Send {
                        after: after(at),
                        call,
                        what: What::Left,
                        connection: assigned[call],
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

fn assign_as_recorded(calls: &[Recorded]) -> (Vec<usize>, usize) {
    let mut numbers: HashMap<u32, usize> = HashMap::new();
    let assigned = calls.iter().map(|recorded| {
        let next = numbers.len();
        *numbers.entry(recorded.call.connection).or_insert(next)
    });
    let assigned = assigned.collect();
    (assigned, numbers.len())
}

/// Assigns calls round robin to the connections that have capacity at the recorded times.
fn assign_round_robin(calls: &[Recorded], number: usize) -> (Vec<usize>, usize) {
    // Recorded end times of the open calls of each connection.
    let mut open: Vec<VecDeque<u64>> = vec![VecDeque::new(); number];
    let mut next = 0;
    let mut assigned = Vec::with_capacity(calls.len());
    for recorded in calls {
        let at = recorded.call.at;
        let end = recorded
            .took
            .map_or(u64::MAX, |took| at + took.as_nanos() as u64);
        for ends in &mut open {
            ends.retain(|end| *end > at);
        }
        let chosen = (0..open.len())
            .map(|k| (next + k) % open.len())
            .find(|k| open[*k].len() < MAX_OPEN_CALLS);
        let chosen = chosen.unwrap_or_else(|| {
            open.push(VecDeque::new());
            open.len() - 1
        });
        open[chosen].push_back(end);
        next = (chosen + 1) % open.len();
        assigned.push(chosen);
    }
    (assigned, open.len())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn collector_with(calls: &[(u64, u32, i32)], cancellations: &[(u32, i32, u64)]) -> Collector {
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
        for (connection, seq, ms) in cancellations {
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
    fn sends_follow_recorded_times_scaled_by_the_speed() {
        let calls = [(1_000, 4, 1), (1_250, 9, 1), (1_100, 4, 2)];
        let schedule = collector_with(&calls, &[(4, 2, 1_400)])
            .schedule(&choice(2.0, Connections::AsRecorded));
        let sends: Vec<_> = schedule
            .sends
            .iter()
            .map(|s| (s.after.as_millis(), s.call, s.what, s.connection))
            .collect();
        assert_eq!(
            sends,
            [
                (0, 0, What::Call, 0),
                (50, 1, What::Call, 0),
                (125, 2, What::Call, 1),
                (200, 1, What::Left, 0)
            ]
        );
        assert_eq!((schedule.connections, schedule.calls[1].call.seq), (2, 2));
        let part = Choice {
            from: Duration::from_millis(50),
            to: Some(Duration::from_millis(200)),
            ..choice(1.0, Connections::AsRecorded)
        };
        let schedule = collector_with(&calls, &[(4, 1, 1_120)]).schedule(&part);
        assert_eq!(
            schedule
                .sends
                .iter()
                .map(|s| s.after.as_millis())
                .collect::<Vec<_>>(),
            [50]
        );
    }

    #[test]
    fn calls_are_assigned_round_robin_within_the_open_call_limit() {
        let calls: Vec<_> = (0..100).map(|n| (n, 1, n as i32)).collect();
        let schedule = collector_with(&calls, &[]).schedule(&choice(1.0, Connections::Number(2)));
        // No call has an end: both connections fill up, then further ones are opened.
        assert_eq!(schedule.connections, 4);
        let mut calls_per_connection = [0; 4];
        schedule
            .sends
            .iter()
            .for_each(|send| calls_per_connection[send.connection] += 1);
        assert!(
            calls_per_connection
                .iter()
                .all(|count| *count <= MAX_OPEN_CALLS),
            "{calls_per_connection:?}"
        );
        assert_eq!(
            schedule.sends[0].connection + schedule.sends[1].connection,
            1
        );
    }
}
