//! Segments to the bytes of each direction, in order, and the holes in them.
//!
//! A hole is waited for: until it is filled, until too much waits behind it, until the capture's clock is
//! [`PATIENCE`] further, or until the connection ends. Then it is a hole, whose length is known exactly,
//! and reading goes on behind it. What came first counts where segments contradict each other.
//!
//! Invariants: pieces that wait do not overlap and lie behind `next`; `Streams::waiting` is the sum of all
//! bytes that wait; bytes go to the sink once, in order, with every byte between two holes.

use crate::packet::{End, Segment};
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeMap;

/// Bytes that wait for a hole to be filled, over all connections; past it the connections that wait
/// longest are given up.
pub const MOST_WAITING: usize = 24 << 20;
/// Connections that are followed at a time, some 500 bytes each; past it the longest unused are closed.
pub const MOST_CONNECTIONS: usize = 20_000;
/// How long a hole is waited for on the capture's clock, ns: a retransmission comes sooner.
pub const PATIENCE: u64 = 3_000_000_000;
/// Bytes and pieces that wait in one direction: a full window, and as many small segments.
const MOST_BEHIND: usize = 256 << 10;
const MOST_PIECES: usize = 1_024;
/// A connection unused for this long is over, ns: dispatchers close theirs after seconds.
const IDLE: u64 = 300_000_000_000;
/// After its end a connection's late segments are still known as its own, ns.
const LINGER: u64 = 5_000_000_000;
/// Segments further ahead than this belong to another connection, or are nonsense: the largest window.
const WINDOW: u64 = 16 << 20;
/// Segments between two looks at connections that wait or are idle.
const SWEEP: u64 = 4_096;

/// How a connection ended, as far as the capture shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// Both sides said so.
    Finished,
    Reset,
    /// One side said so, and nothing came after.
    HalfFinished,
    Idle,
    /// Its ports were used again.
    Replaced,
    /// The capture ended first.
    CaptureEnded,
    /// Memory was needed.
    GivenUp,
}

/// Who is told of bytes and holes.
pub trait Sink {
    /// What it keeps of a connection.
    type State;

    fn opened(&mut self, number: u32, ends: [End; 2], at: u64) -> Self::State;
    /// The next bytes of a direction; `side` is the sender's place in `ends`.
    fn bytes(&mut self, state: &mut Self::State, side: usize, bytes: &[u8], at: u64);
    /// So many bytes of a direction are not in the capture.
    fn hole(&mut self, state: &mut Self::State, side: usize, length: u64, at: u64);
    /// A direction whose beginning is not in the capture; its bytes are not told.
    fn midway(&mut self, state: &mut Self::State, side: usize, at: u64);
    fn closed(&mut self, state: Self::State, how: Closed, at: u64);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub segments: u64,
    pub connections: u64,
    /// Directions that began before the capture, or whose first segments are missing.
    pub midway: u64,
    pub midway_bytes: u64,
    pub holes: u64,
    pub hole_bytes: u64,
    /// Segments that came before one that precedes them.
    pub out_of_order: u64,
    /// Segments of which nothing was new.
    pub repeated: u64,
    /// Segments that say something else than one that came before.
    pub contradictions: u64,
    /// Segments that fit no place of their connection.
    pub strays: u64,
    /// Connections given up for memory.
    pub given_up: u64,
}

struct Piece {
    bytes: Vec<u8>,
    at: u64,
}

/// One direction. Offsets count from its first byte.
#[derive(Default)]
struct Half {
    /// Sequence number of offset 0, once known.
    base: Option<u32>,
    /// Nobody will tell it any more.
    midway: bool,
    /// Offset of the next byte for the sink.
    next: u64,
    /// The furthest offset that is known to have been sent.
    sent: u64,
    fin: Option<u64>,
    pieces: BTreeMap<u64, Piece>,
    /// Before the base is known: by sequence number, as they came.
    early: Vec<(u32, Piece)>,
    /// The same for its end.
    early_fin: Option<u32>,
    /// Bytes in `pieces` and `early`.
    held: usize,
}

impl Half {
    /// The offset of a sequence number, taken to be near the next one.
    fn offset(&self, base: u32, seq: u32) -> i64 {
        let expected = base.wrapping_add(self.next as u32);
        self.next as i64 + i64::from(seq.wrapping_sub(expected) as i32)
    }

    fn finished(&self) -> bool {
        self.fin.is_some_and(|fin| self.next >= fin)
    }

    /// Since when something waits.
    fn waits_since(&self) -> Option<u64> {
        let piece = self.pieces.values().next().map(|piece| piece.at);
        piece.or(self.early.first().map(|(_, piece)| piece.at))
    }
}

struct Connection<S> {
    halves: [Half; 2],
    reset: bool,
    last: u64,
    /// None once it is closed: it stays known for a while.
    state: Option<S>,
}

/// See the module's head.
pub struct Streams<K: Sink> {
    sink: K,
    connections: HashMap<[End; 2], Connection<K::State>>,
    waiting: usize,
    counts: Counts,
    now: u64,
}

impl<K: Sink> Streams<K> {
    pub fn new(sink: K) -> Self {
        Self {
            sink,
            connections: HashMap::new(),
            waiting: 0,
            counts: Counts::default(),
            now: 0,
        }
    }

    pub fn segment(&mut self, segment: &Segment<'_>) {
        self.counts.segments += 1;
        self.now = self.now.max(segment.at);
        if self.counts.segments.is_multiple_of(SWEEP) {
            self.sweep();
        }
        let side = usize::from(segment.from > segment.to);
        let ends = if side == 0 {
            [segment.from, segment.to]
        } else {
            [segment.to, segment.from]
        };
        let Self {
            sink,
            connections,
            waiting,
            counts,
            ..
        } = self;
        let mut found = connections.get_mut(&ends);
        if let Some(connection) = found.as_mut().filter(|_| segment.syn) {
            if begins_anew(connection, side, segment) {
                let old = connections.remove(&ends);
                old.into_iter().for_each(|old| {
                    close(sink, counts, waiting, old, Closed::Replaced, segment.at)
                });
                found = None;
            }
        }
        let connection = match found {
            Some(connection) => connection,
            // An acknowledgement of something long gone opens nothing.
            None if !segment.syn && segment.payload.is_empty() && segment.missing == 0 => return,
            None => {
                if self.connections.len() >= MOST_CONNECTIONS {
                    self.make_room();
                }
                let Self {
                    sink,
                    connections,
                    counts,
                    ..
                } = self;
                let state = sink.opened(counts.connections as u32, ends, segment.at);
                counts.connections += 1;
                let halves = [Half::default(), Half::default()];
                let fresh = Connection {
                    halves,
                    reset: false,
                    last: segment.at,
                    state: Some(state),
                };
                connections.entry(ends).or_insert(fresh)
            }
        };
        connection.last = connection.last.max(segment.at);
        let Self {
            sink,
            waiting,
            counts,
            ..
        } = self;
        if connection.state.is_none() {
            counts.repeated += u64::from(!segment.payload.is_empty());
            return;
        }
        take(sink, counts, waiting, connection, side, segment);
        if connection.halves.iter().all(Half::finished) {
            if let Some(state) = connection.state.take() {
                sink.closed(state, Closed::Finished, segment.at);
            }
        }
        if *waiting > MOST_WAITING {
            self.give_up();
        }
    }

    /// Looks at all connections: holes that were waited for, idle ones, late ends.
    fn sweep(&mut self) {
        let Self {
            sink,
            connections,
            waiting,
            counts,
            now,
        } = self;
        let mut over = Vec::new();
        for (ends, connection) in connections.iter_mut() {
            let quiet = now.saturating_sub(connection.last);
            let Some(state) = connection.state.as_mut() else {
                if quiet > LINGER {
                    over.push((*ends, None));
                }
                continue;
            };
            for (side, half) in connection.halves.iter_mut().enumerate() {
                if half
                    .waits_since()
                    .is_some_and(|since| now.saturating_sub(since) > PATIENCE)
                {
                    no_longer(sink, counts, waiting, state, side, half, *now);
                }
            }
            let one_side = connection.halves.iter().any(|half| half.fin.is_some());
            match connection {
                Connection { reset: true, .. } if quiet > PATIENCE => {
                    over.push((*ends, Some(Closed::Reset)))
                }
                _ if quiet > IDLE && one_side => over.push((*ends, Some(Closed::HalfFinished))),
                _ if quiet > IDLE => over.push((*ends, Some(Closed::Idle))),
                _ => {}
            }
        }
        // In an order of their own: that of the map differs from run to run.
        over.sort_unstable_by_key(|(ends, _)| *ends);
        for (ends, how) in over {
            if let Some(old) = connections.remove(&ends) {
                let at = old.last;
                close(
                    sink,
                    counts,
                    waiting,
                    old,
                    how.unwrap_or(Closed::Finished),
                    at,
                );
            }
        }
    }

    /// Closes the eighth of the connections that were longest unused.
    fn make_room(&mut self) {
        let Self {
            sink,
            connections,
            waiting,
            counts,
            ..
        } = self;
        let mut all: Vec<_> = connections
            .iter()
            .map(|(ends, one)| (one.state.is_some(), one.last, *ends))
            .collect();
        all.sort_unstable();
        for (open, last, ends) in all.into_iter().take(MOST_CONNECTIONS / 8) {
            counts.given_up += u64::from(open);
            if let Some(old) = connections.remove(&ends) {
                close(sink, counts, waiting, old, Closed::GivenUp, last);
            }
        }
    }

    /// Those that wait longest wait no longer, until a quarter is free.
    fn give_up(&mut self) {
        let Self {
            sink,
            connections,
            waiting,
            counts,
            now,
        } = self;
        let mut all: Vec<_> = connections
            .iter()
            .filter_map(|(ends, one)| {
                let since = one.halves.iter().filter_map(Half::waits_since).min()?;
                Some((since, *ends))
            })
            .collect();
        all.sort_unstable();
        for (_, ends) in all {
            if *waiting <= MOST_WAITING / 4 * 3 {
                break;
            }
            let Some(connection) = connections.get_mut(&ends) else {
                continue;
            };
            let Some(state) = connection.state.as_mut() else {
                continue;
            };
            counts.given_up += 1;
            for (side, half) in connection.halves.iter_mut().enumerate() {
                no_longer(sink, counts, waiting, state, side, half, *now);
            }
        }
    }

    /// The capture is over: what still waits waits no longer.
    pub fn end(mut self) -> (Counts, K) {
        let Self {
            sink,
            connections,
            waiting,
            counts,
            ..
        } = &mut self;
        let mut all: Vec<_> = std::mem::take(connections).into_iter().collect();
        all.sort_unstable_by_key(|(ends, _)| *ends);
        for (_, connection) in all {
            let how = match connection {
                Connection { reset: true, .. } => Closed::Reset,
                _ if connection.halves.iter().all(|half| half.fin.is_some()) => Closed::Finished,
                _ if connection.halves.iter().any(|half| half.fin.is_some()) => {
                    Closed::HalfFinished
                }
                _ => Closed::CaptureEnded,
            };
            let at = connection.last;
            close(sink, counts, waiting, connection, how, at);
        }
        (self.counts, self.sink)
    }
}

/// Whether a segment that opens a connection opens another one than this.
fn begins_anew<S>(connection: &Connection<S>, side: usize, segment: &Segment<'_>) -> bool {
    let half = &connection.halves[side];
    let first = segment.seq.wrapping_add(1);
    if connection.state.is_none() {
        return segment.ack.is_none();
    }
    match (half.base, segment.ack) {
        (Some(base), _) if base == first => false,
        // Its answer to another opening than the one that is known.
        (None, Some(ack)) => connection.halves[1 - side]
            .base
            .is_some_and(|base| base != ack),
        (Some(_), Some(_)) => false,
        (Some(_), None) => true,
        // Segments came before their opening: it must be near them.
        (None, None) => {
            half.midway
                || half
                    .early
                    .iter()
                    .any(|(seq, _)| u64::from(seq.wrapping_sub(first)) > WINDOW)
        }
    }
}

fn take<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    waiting: &mut usize,
    connection: &mut Connection<K::State>,
    side: usize,
    segment: &Segment<'_>,
) {
    let Connection {
        halves,
        state: Some(state),
        reset,
        ..
    } = connection
    else {
        return;
    };
    if segment.syn {
        begin(
            sink,
            counts,
            waiting,
            state,
            side,
            &mut halves[side],
            segment.seq.wrapping_add(1),
        );
        if let Some(ack) = segment.ack {
            // The answer to an opening says where the other side began.
            begin(
                sink,
                counts,
                waiting,
                state,
                1 - side,
                &mut halves[1 - side],
                ack,
            );
        }
    }
    if let Some(ack) = segment.ack {
        let other = &mut halves[1 - side];
        if let Some(base) = other.base {
            let told = other.offset(base, ack);
            let near = told > 0 && (told as u64) < other.next + WINDOW;
            if near {
                other.sent = other.sent.max(told as u64);
            }
        }
    }
    *reset |= segment.rst;
    let half = &mut halves[side];
    let seq = segment.seq.wrapping_add(u32::from(segment.syn));
    match half.base {
        Some(base) => place(sink, counts, waiting, state, side, half, base, seq, segment),
        None if half.midway => counts.midway_bytes += segment.payload.len() as u64,
        None => {
            if segment.fin {
                let length = segment.payload.len() + segment.missing;
                half.early_fin
                    .get_or_insert(seq.wrapping_add(length as u32));
            }
            if segment.payload.is_empty() {
                return;
            }
            let bytes = segment.payload.to_vec();
            half.held += bytes.len();
            *waiting += bytes.len();
            half.early.push((
                seq,
                Piece {
                    bytes,
                    at: segment.at,
                },
            ));
            if half.held > MOST_BEHIND || half.early.len() > MOST_PIECES {
                no_longer(sink, counts, waiting, state, side, half, segment.at);
            }
        }
    }
}

/// The sequence number of a direction's first byte is known.
fn begin<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    waiting: &mut usize,
    state: &mut K::State,
    side: usize,
    half: &mut Half,
    base: u32,
) {
    if half.base.is_some() || half.midway {
        return;
    }
    half.base = Some(base);
    let fin = half.early_fin.map(|seq| half.offset(base, seq));
    half.fin = fin.and_then(|fin| u64::try_from(fin).ok());
    let early = std::mem::take(&mut half.early);
    *waiting -= half.held;
    half.held = 0;
    for (seq, piece) in early {
        let offset = half.offset(base, seq);
        add(
            sink,
            counts,
            waiting,
            state,
            side,
            half,
            offset,
            &piece.bytes,
            piece.at,
        );
    }
}

#[allow(clippy::too_many_arguments)]
fn place<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    waiting: &mut usize,
    state: &mut K::State,
    side: usize,
    half: &mut Half,
    base: u32,
    seq: u32,
    segment: &Segment<'_>,
) {
    let offset = half.offset(base, seq);
    let length = (segment.payload.len() + segment.missing) as i64;
    if offset + length > half.next as i64 + WINDOW as i64 {
        counts.strays += 1;
        return;
    }
    if segment.fin && offset + length >= half.next as i64 {
        half.fin.get_or_insert((offset + length) as u64);
    }
    // A keep-alive has a byte that was sent before, or none: nothing new either way.
    if length > 0 {
        half.sent = half.sent.max((offset + length).max(0) as u64);
        add(
            sink,
            counts,
            waiting,
            state,
            side,
            half,
            offset,
            segment.payload,
            segment.at,
        );
    }
    if half.pieces.len() > MOST_PIECES || half.held > MOST_BEHIND {
        over_hole(sink, counts, waiting, state, side, half, segment.at);
    }
}

#[allow(clippy::too_many_arguments)]
fn add<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    waiting: &mut usize,
    state: &mut K::State,
    side: usize,
    half: &mut Half,
    offset: i64,
    bytes: &[u8],
    at: u64,
) {
    let end = offset + bytes.len() as i64;
    if end <= half.next as i64 {
        counts.repeated += u64::from(!bytes.is_empty());
        return;
    }
    let known = (half.next as i64 - offset).max(0) as usize;
    let (start, bytes) = ((offset + known as i64) as u64, &bytes[known..]);
    if start == half.next && half.pieces.is_empty() {
        sink.bytes(state, side, bytes, at);
        half.next += bytes.len() as u64;
        return;
    }
    counts.out_of_order += u64::from(start > half.next);
    let (new, contradicts) = insert(&mut half.pieces, start, bytes, at);
    counts.contradictions += u64::from(contradicts);
    counts.repeated += u64::from(new == 0);
    half.held += new;
    *waiting += new;
    drain(sink, waiting, state, side, half);
}

/// Fills what is free between the pieces; what is there stays. How many bytes were new, and whether any
/// said something else.
fn insert(pieces: &mut BTreeMap<u64, Piece>, start: u64, bytes: &[u8], at: u64) -> (usize, bool) {
    let end = start + bytes.len() as u64;
    let (mut place, mut new, mut contradicts) = (start, 0, false);
    while place < end {
        let before = pieces.range(..=place).next_back();
        if let Some((from, piece)) =
            before.filter(|(from, piece)| *from + piece.bytes.len() as u64 > place)
        {
            let upto = (from + piece.bytes.len() as u64).min(end);
            let there = &piece.bytes[(place - from) as usize..(upto - from) as usize];
            contradicts |= *there != bytes[(place - start) as usize..(upto - start) as usize];
            place = upto;
            continue;
        }
        let free = pieces
            .range(place..)
            .next()
            .map_or(end, |(from, _)| (*from).min(end));
        let part = bytes[(place - start) as usize..(free - start) as usize].to_vec();
        new += part.len();
        pieces.insert(place, Piece { bytes: part, at });
        place = free;
    }
    (new, contradicts)
}

/// Tells what waits at the next offset, and what follows it.
fn drain<K: Sink>(
    sink: &mut K,
    waiting: &mut usize,
    state: &mut K::State,
    side: usize,
    half: &mut Half,
) {
    while let Some(first) = half
        .pieces
        .first_entry()
        .filter(|first| *first.key() == half.next)
    {
        let piece = first.remove();
        half.held -= piece.bytes.len();
        *waiting -= piece.bytes.len();
        half.next += piece.bytes.len() as u64;
        sink.bytes(state, side, &piece.bytes, piece.at);
    }
}

/// The hole before the first piece that waits is not waited for.
fn over_hole<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    waiting: &mut usize,
    state: &mut K::State,
    side: usize,
    half: &mut Half,
    at: u64,
) {
    let Some(start) = half.pieces.keys().next().copied() else {
        return;
    };
    hole(sink, counts, state, side, half, start, at);
    drain(sink, waiting, state, side, half);
}

fn hole<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    state: &mut K::State,
    side: usize,
    half: &mut Half,
    upto: u64,
    at: u64,
) {
    let length = upto - half.next;
    counts.holes += 1;
    counts.hole_bytes += length;
    sink.hole(state, side, length, at);
    half.next = upto;
}

/// Nothing of a direction waits any longer.
fn no_longer<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    waiting: &mut usize,
    state: &mut K::State,
    side: usize,
    half: &mut Half,
    at: u64,
) {
    if half.base.is_none() && !half.early.is_empty() {
        half.midway = true;
        counts.midway += 1;
        counts.midway_bytes += half.held as u64;
        *waiting -= half.held;
        half.held = 0;
        half.early = Vec::new();
        sink.midway(state, side, at);
    }
    while !half.pieces.is_empty() {
        over_hole(sink, counts, waiting, state, side, half, at);
    }
}

fn close<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    waiting: &mut usize,
    connection: Connection<K::State>,
    how: Closed,
    at: u64,
) {
    let Connection {
        mut halves,
        state: Some(mut state),
        ..
    } = connection
    else {
        return;
    };
    for (side, half) in halves.iter_mut().enumerate() {
        no_longer(sink, counts, waiting, &mut state, side, half, at);
        // What was sent and never kept. An end that was not kept is acknowledged as one byte more; no frame
        // fits one byte, and one that misses its last is told as cut.
        let sent = half.fin.unwrap_or(if half.sent == half.next + 1 {
            half.next
        } else {
            half.sent
        });
        if half.base.is_some() && sent > half.next {
            hole(sink, counts, &mut state, side, half, sent, at);
        }
    }
    sink.closed(state, how, at);
}
