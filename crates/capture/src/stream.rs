//! TCP stream reassembly: turns segments into the ordered bytes of each direction and the holes in them.
//!
//! Bytes behind a gap are buffered until the gap is filled, a buffer limit is reached, the capture's clock
//! advances by [`HOLE_TIMEOUT_NS`], or the connection ends. The gap is then reported as a hole of exact length,
//! and reassembly continues behind it. If segments contradict each other, the first one wins.
//!
//! Invariants: buffered pieces do not overlap and are at or above `next`; `Streams::total_buffered` is the sum
//! of all buffered bytes; the sink receives each byte once, in order, including all bytes between two holes.

use crate::packet::{End, Segment};
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeMap;

/// Limit of buffered bytes over all connections; above it, the buffers of the connections that have waited
/// longest are flushed.
pub const MAX_BUFFERED_BYTES: usize = 24 << 20;
/// Limit of tracked connections, some 500 bytes each; at the limit the least recently used are evicted.
pub const MAX_CONNECTIONS: usize = 20_000;
/// Time on the capture's clock after which a gap becomes a hole; retransmissions arrive sooner.
pub const HOLE_TIMEOUT_NS: u64 = 3_000_000_000;
/// Limits of buffered bytes and pieces per direction: a full window, and as many small segments.
const MAX_DIRECTION_BUFFERED_BYTES: usize = 256 << 10;
const MAX_DIRECTION_PIECES: usize = 1_024;
/// Idle time after which a connection counts as closed; clients close theirs after seconds.
const IDLE_TIMEOUT_NS: u64 = 300_000_000_000;
/// Time for which a closed connection is still tracked, so that late segments are attributed to it.
const CLOSED_LINGER_NS: u64 = 5_000_000_000;
/// The largest window: segments further ahead belong to another connection or are invalid.
const MAX_WINDOW_BYTES: u64 = 16 << 20;
/// Number of segments between two sweeps for expired gaps and idle connections.
const SWEEP_INTERVAL_SEGMENTS: u64 = 4_096;

/// Why a connection ended, as far as the capture shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Both sides sent FIN.
    Finished,
    Reset,
    /// One side sent FIN, and nothing followed.
    HalfClosed,
    Idle,
    /// Its addresses and ports were reused by a new connection.
    Replaced,
    /// The capture ended before the connection.
    CaptureEnded,
    /// Evicted at the connection limit.
    Evicted,
}

/// Receives the bytes and holes of connections.
pub trait Sink {
    /// State per connection.
    type State;

    fn opened(&mut self, number: u32, ends: [End; 2], at: u64) -> Self::State;
    /// The next bytes of a direction; `side` is the sender's index in `ends`.
    fn bytes(&mut self, state: &mut Self::State, side: usize, bytes: &[u8], at: u64);
    /// `length` bytes of a direction are not in the capture.
    fn hole(&mut self, state: &mut Self::State, side: usize, length: u64, at: u64);
    /// The start of a direction is not in the capture; its bytes are not delivered.
    fn start_missing(&mut self, state: &mut Self::State, side: usize, at: u64);
    fn closed(&mut self, state: Self::State, reason: CloseReason, at: u64);
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
    /// Segments captured before one that precedes them in the stream.
    pub out_of_order: u64,
    /// Segments without new bytes.
    pub repeated: u64,
    /// Segments whose bytes differ from those of an earlier one.
    pub contradictions: u64,
    /// Segments outside the window of their connection.
    pub strays: u64,
    /// Connections flushed or evicted at a memory limit.
    pub given_up: u64,
}

struct Piece {
    bytes: Vec<u8>,
    at: u64,
}

/// Reassembly state of one direction. Offsets count from its first byte.
#[derive(Default)]
struct Direction {
    /// Sequence number of offset 0, once known.
    base: Option<u32>,
    /// The start is not in the capture, so `base` stays unknown.
    start_missing: bool,
    /// Offset of the next byte for the sink.
    next: u64,
    /// End offset of the bytes that are known to have been sent.
    sent: u64,
    fin: Option<u64>,
    pieces: BTreeMap<u64, Piece>,
    /// Pieces buffered before the base is known, by sequence number, in capture order.
    early_pieces: Vec<(u32, Piece)>,
    /// Sequence number of the FIN, buffered likewise.
    early_fin: Option<u32>,
    /// Bytes in `pieces` and `early_pieces`.
    buffered: usize,
}

impl Direction {
    /// The offset of a sequence number, assumed to be near `next`.
    fn offset(&self, base: u32, seq: u32) -> i64 {
        let expected = base.wrapping_add(self.next as u32);
        self.next as i64 + i64::from(seq.wrapping_sub(expected) as i32)
    }

    fn finished(&self) -> bool {
        self.fin.is_some_and(|fin| self.next >= fin)
    }

    /// Timestamp of the first buffered piece.
    fn waiting_since(&self) -> Option<u64> {
        let piece = self.pieces.values().next().map(|piece| piece.at);
        piece.or(self.early_pieces.first().map(|(_, piece)| piece.at))
    }
}

struct Connection<S> {
    directions: [Direction; 2],
    reset: bool,
    last: u64,
    /// None once the connection is closed; it stays tracked for a while.
    state: Option<S>,
}

/// Reassembles the streams of all connections; see the module documentation.
pub struct Streams<K: Sink> {
    sink: K,
    connections: HashMap<[End; 2], Connection<K::State>>,
    total_buffered: usize,
    counts: Counts,
    now: u64,
}

impl<K: Sink> Streams<K> {
    pub fn new(sink: K) -> Self {
        Self {
            sink,
            connections: HashMap::new(),
            total_buffered: 0,
            counts: Counts::default(),
            now: 0,
        }
    }

    pub fn segment(&mut self, segment: &Segment<'_>) {
        self.counts.segments += 1;
        self.now = self.now.max(segment.at);
        if self.counts.segments.is_multiple_of(SWEEP_INTERVAL_SEGMENTS) {
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
            total_buffered,
            counts,
            ..
        } = self;
        let mut found = connections.get_mut(&ends);
        if let Some(connection) = found.as_mut().filter(|_| segment.syn) {
            if starts_new_connection(connection, side, segment) {
                let old = connections.remove(&ends);
                old.into_iter().for_each(|old| {
                    close(
                        sink,
                        counts,
                        total_buffered,
                        old,
                        CloseReason::Replaced,
                        segment.at,
                    )
                });
                found = None;
            }
        }
        let connection = match found {
            Some(connection) => connection,
            // A bare acknowledgement does not open a connection.
            None if !segment.syn && segment.payload.is_empty() && segment.missing == 0 => return,
            None => {
                if self.connections.len() >= MAX_CONNECTIONS {
                    self.evict_connections();
                }
                let Self {
                    sink,
                    connections,
                    counts,
                    ..
                } = self;
                let state = sink.opened(counts.connections as u32, ends, segment.at);
                counts.connections += 1;
                let directions = [Direction::default(), Direction::default()];
                let fresh = Connection {
                    directions,
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
            total_buffered,
            counts,
            ..
        } = self;
        if connection.state.is_none() {
            counts.repeated += u64::from(!segment.payload.is_empty());
            return;
        }
        process_segment(sink, counts, total_buffered, connection, side, segment);
        if connection.directions.iter().all(Direction::finished) {
            if let Some(state) = connection.state.take() {
                sink.closed(state, CloseReason::Finished, segment.at);
            }
        }
        if *total_buffered > MAX_BUFFERED_BYTES {
            self.flush_longest_waiting();
        }
    }

    /// Flushes expired gaps and closes reset or idle connections.
    fn sweep(&mut self) {
        let Self {
            sink,
            connections,
            total_buffered,
            counts,
            now,
        } = self;
        let mut expired = Vec::new();
        for (ends, connection) in connections.iter_mut() {
            let idle_ns = now.saturating_sub(connection.last);
            let Some(state) = connection.state.as_mut() else {
                if idle_ns > CLOSED_LINGER_NS {
                    expired.push((*ends, None));
                }
                continue;
            };
            for (side, direction) in connection.directions.iter_mut().enumerate() {
                if direction
                    .waiting_since()
                    .is_some_and(|since| now.saturating_sub(since) > HOLE_TIMEOUT_NS)
                {
                    flush(sink, counts, total_buffered, state, side, direction, *now);
                }
            }
            let one_side_finished = connection
                .directions
                .iter()
                .any(|direction| direction.fin.is_some());
            match connection {
                Connection { reset: true, .. } if idle_ns > HOLE_TIMEOUT_NS => {
                    expired.push((*ends, Some(CloseReason::Reset)))
                }
                _ if idle_ns > IDLE_TIMEOUT_NS && one_side_finished => {
                    expired.push((*ends, Some(CloseReason::HalfClosed)))
                }
                _ if idle_ns > IDLE_TIMEOUT_NS => expired.push((*ends, Some(CloseReason::Idle))),
                _ => {}
            }
        }
        // Sorted, because the map's iteration order differs from run to run.
        expired.sort_unstable_by_key(|(ends, _)| *ends);
        for (ends, reason) in expired {
            if let Some(old) = connections.remove(&ends) {
                let at = old.last;
                close(
                    sink,
                    counts,
                    total_buffered,
                    old,
                    reason.unwrap_or(CloseReason::Finished),
                    at,
                );
            }
        }
    }

    /// Evicts an eighth of the connections: closed ones first, then the least recently used.
    fn evict_connections(&mut self) {
        let Self {
            sink,
            connections,
            total_buffered,
            counts,
            ..
        } = self;
        let mut candidates: Vec<_> = connections
            .iter()
            .map(|(ends, connection)| (connection.state.is_some(), connection.last, *ends))
            .collect();
        candidates.sort_unstable();
        for (open, last, ends) in candidates.into_iter().take(MAX_CONNECTIONS / 8) {
            counts.given_up += u64::from(open);
            if let Some(old) = connections.remove(&ends) {
                close(
                    sink,
                    counts,
                    total_buffered,
                    old,
                    CloseReason::Evicted,
                    last,
                );
            }
        }
    }

    /// Flushes the connections that have waited longest until a quarter of the buffer is free.
    fn flush_longest_waiting(&mut self) {
        let Self {
            sink,
            connections,
            total_buffered,
            counts,
            now,
        } = self;
        let mut candidates: Vec<_> = connections
            .iter()
            .filter_map(|(ends, connection)| {
                let since = connection
                    .directions
                    .iter()
                    .filter_map(Direction::waiting_since)
                    .min()?;
                Some((since, *ends))
            })
            .collect();
        candidates.sort_unstable();
        for (_, ends) in candidates {
            if *total_buffered <= MAX_BUFFERED_BYTES / 4 * 3 {
                break;
            }
            let Some(connection) = connections.get_mut(&ends) else {
                continue;
            };
            let Some(state) = connection.state.as_mut() else {
                continue;
            };
            counts.given_up += 1;
            for (side, direction) in connection.directions.iter_mut().enumerate() {
                flush(sink, counts, total_buffered, state, side, direction, *now);
            }
        }
    }

    /// Ends the capture: flushes all buffers and closes all connections.
    pub fn end(mut self) -> (Counts, K) {
        let Self {
            sink,
            connections,
            total_buffered,
            counts,
            ..
        } = &mut self;
        let mut candidates: Vec<_> = std::mem::take(connections).into_iter().collect();
        candidates.sort_unstable_by_key(|(ends, _)| *ends);
        for (_, connection) in candidates {
            let reason = match connection {
                Connection { reset: true, .. } => CloseReason::Reset,
                _ if connection
                    .directions
                    .iter()
                    .all(|direction| direction.fin.is_some()) =>
                {
                    CloseReason::Finished
                }
                _ if connection
                    .directions
                    .iter()
                    .any(|direction| direction.fin.is_some()) =>
                {
                    CloseReason::HalfClosed
                }
                _ => CloseReason::CaptureEnded,
            };
            let at = connection.last;
            close(sink, counts, total_buffered, connection, reason, at);
        }
        (self.counts, self.sink)
    }
}

/// Whether a SYN segment opens a new connection rather than this one.
fn starts_new_connection<S>(
    connection: &Connection<S>,
    side: usize,
    segment: &Segment<'_>,
) -> bool {
    let direction = &connection.directions[side];
    let first = segment.seq.wrapping_add(1);
    if connection.state.is_none() {
        return segment.ack.is_none();
    }
    match (direction.base, segment.ack) {
        (Some(base), _) if base == first => false,
        // A SYN-ACK for another SYN than the known one.
        (None, Some(ack)) => connection.directions[1 - side]
            .base
            .is_some_and(|base| base != ack),
        (Some(_), Some(_)) => false,
        (Some(_), None) => true,
        // Segments were captured before the SYN: it must be near them.
        (None, None) => {
            direction.start_missing
                || direction
                    .early_pieces
                    .iter()
                    .any(|(seq, _)| u64::from(seq.wrapping_sub(first)) > MAX_WINDOW_BYTES)
        }
    }
}

fn process_segment<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    total_buffered: &mut usize,
    connection: &mut Connection<K::State>,
    side: usize,
    segment: &Segment<'_>,
) {
    let Connection {
        directions,
        state: Some(state),
        reset,
        ..
    } = connection
    else {
        return;
    };
    if segment.syn {
        set_base(
            sink,
            counts,
            total_buffered,
            state,
            side,
            &mut directions[side],
            segment.seq.wrapping_add(1),
        );
        if let Some(ack) = segment.ack {
            // A SYN-ACK gives the initial sequence number of the other side.
            set_base(
                sink,
                counts,
                total_buffered,
                state,
                1 - side,
                &mut directions[1 - side],
                ack,
            );
        }
    }
    if let Some(ack) = segment.ack {
        let other = &mut directions[1 - side];
        if let Some(base) = other.base {
            let acked_offset = other.offset(base, ack);
            let plausible =
                acked_offset > 0 && (acked_offset as u64) < other.next + MAX_WINDOW_BYTES;
            if plausible {
                other.sent = other.sent.max(acked_offset as u64);
            }
        }
    }
    *reset |= segment.rst;
    let direction = &mut directions[side];
    let seq = segment.seq.wrapping_add(u32::from(segment.syn));
    match direction.base {
        Some(base) => place_segment(
            sink,
            counts,
            total_buffered,
            state,
            side,
            direction,
            base,
            seq,
            segment,
        ),
        None if direction.start_missing => counts.midway_bytes += segment.payload.len() as u64,
        None => {
            if segment.fin {
                let length = segment.payload.len() + segment.missing;
                direction
                    .early_fin
                    .get_or_insert(seq.wrapping_add(length as u32));
            }
            if segment.payload.is_empty() {
                return;
            }
            let bytes = segment.payload.to_vec();
            direction.buffered += bytes.len();
            *total_buffered += bytes.len();
            direction.early_pieces.push((
                seq,
                Piece {
                    bytes,
                    at: segment.at,
                },
            ));
            if direction.buffered > MAX_DIRECTION_BUFFERED_BYTES
                || direction.early_pieces.len() > MAX_DIRECTION_PIECES
            {
                flush(
                    sink,
                    counts,
                    total_buffered,
                    state,
                    side,
                    direction,
                    segment.at,
                );
            }
        }
    }
}

/// Sets the sequence number of a direction's first byte.
fn set_base<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    total_buffered: &mut usize,
    state: &mut K::State,
    side: usize,
    direction: &mut Direction,
    base: u32,
) {
    if direction.base.is_some() || direction.start_missing {
        return;
    }
    direction.base = Some(base);
    let fin = direction.early_fin.map(|seq| direction.offset(base, seq));
    direction.fin = fin.and_then(|fin| u64::try_from(fin).ok());
    let early_pieces = std::mem::take(&mut direction.early_pieces);
    *total_buffered -= direction.buffered;
    direction.buffered = 0;
    for (seq, piece) in early_pieces {
        let offset = direction.offset(base, seq);
        add_bytes(
            sink,
            counts,
            total_buffered,
            state,
            side,
            direction,
            offset,
            &piece.bytes,
            piece.at,
        );
    }
}

#[allow(clippy::too_many_arguments)]
fn place_segment<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    total_buffered: &mut usize,
    state: &mut K::State,
    side: usize,
    direction: &mut Direction,
    base: u32,
    seq: u32,
    segment: &Segment<'_>,
) {
    let offset = direction.offset(base, seq);
    let length = (segment.payload.len() + segment.missing) as i64;
    if offset + length > direction.next as i64 + MAX_WINDOW_BYTES as i64 {
        counts.strays += 1;
        return;
    }
    if segment.fin && offset + length >= direction.next as i64 {
        direction.fin.get_or_insert((offset + length) as u64);
    }
    // A keep-alive repeats one byte or has none: no new bytes in either case.
    if length > 0 {
        direction.sent = direction.sent.max((offset + length).max(0) as u64);
        add_bytes(
            sink,
            counts,
            total_buffered,
            state,
            side,
            direction,
            offset,
            segment.payload,
            segment.at,
        );
    }
    if direction.pieces.len() > MAX_DIRECTION_PIECES
        || direction.buffered > MAX_DIRECTION_BUFFERED_BYTES
    {
        skip_hole(
            sink,
            counts,
            total_buffered,
            state,
            side,
            direction,
            segment.at,
        );
    }
}

#[allow(clippy::too_many_arguments)]
fn add_bytes<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    total_buffered: &mut usize,
    state: &mut K::State,
    side: usize,
    direction: &mut Direction,
    offset: i64,
    bytes: &[u8],
    at: u64,
) {
    let end = offset + bytes.len() as i64;
    if end <= direction.next as i64 {
        counts.repeated += u64::from(!bytes.is_empty());
        return;
    }
    let delivered = (direction.next as i64 - offset).max(0) as usize;
    let (start, bytes) = ((offset + delivered as i64) as u64, &bytes[delivered..]);
    if start == direction.next && direction.pieces.is_empty() {
        sink.bytes(state, side, bytes, at);
        direction.next += bytes.len() as u64;
        return;
    }
    counts.out_of_order += u64::from(start > direction.next);
    let (new_bytes, contradicts) = insert_missing(&mut direction.pieces, start, bytes, at);
    counts.contradictions += u64::from(contradicts);
    counts.repeated += u64::from(new_bytes == 0);
    direction.buffered += new_bytes;
    *total_buffered += new_bytes;
    deliver_contiguous(sink, total_buffered, state, side, direction);
}

/// Fills the gaps between the pieces and keeps existing bytes. Returns the number of new bytes, and whether
/// any byte differs from an existing one.
fn insert_missing(
    pieces: &mut BTreeMap<u64, Piece>,
    start: u64,
    bytes: &[u8],
    at: u64,
) -> (usize, bool) {
    let end = start + bytes.len() as u64;
    let (mut place, mut new_bytes, mut contradicts) = (start, 0, false);
    while place < end {
        let before = pieces.range(..=place).next_back();
        if let Some((from, piece)) =
            before.filter(|(from, piece)| *from + piece.bytes.len() as u64 > place)
        {
            let until = (from + piece.bytes.len() as u64).min(end);
            let existing = &piece.bytes[(place - from) as usize..(until - from) as usize];
            contradicts |= *existing != bytes[(place - start) as usize..(until - start) as usize];
            place = until;
            continue;
        }
        let gap_end = pieces
            .range(place..)
            .next()
            .map_or(end, |(from, _)| (*from).min(end));
        let part = bytes[(place - start) as usize..(gap_end - start) as usize].to_vec();
        new_bytes += part.len();
        pieces.insert(place, Piece { bytes: part, at });
        place = gap_end;
    }
    (new_bytes, contradicts)
}

/// Delivers the buffered pieces that are contiguous from the next offset on.
fn deliver_contiguous<K: Sink>(
    sink: &mut K,
    total_buffered: &mut usize,
    state: &mut K::State,
    side: usize,
    direction: &mut Direction,
) {
    while let Some(first) = direction
        .pieces
        .first_entry()
        .filter(|first| *first.key() == direction.next)
    {
        let piece = first.remove();
        direction.buffered -= piece.bytes.len();
        *total_buffered -= piece.bytes.len();
        direction.next += piece.bytes.len() as u64;
        sink.bytes(state, side, &piece.bytes, piece.at);
    }
}

/// Reports the gap before the first buffered piece as a hole and continues behind it.
fn skip_hole<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    total_buffered: &mut usize,
    state: &mut K::State,
    side: usize,
    direction: &mut Direction,
    at: u64,
) {
    let Some(start) = direction.pieces.keys().next().copied() else {
        return;
    };
    report_hole(sink, counts, state, side, direction, start, at);
    deliver_contiguous(sink, total_buffered, state, side, direction);
}

fn report_hole<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    state: &mut K::State,
    side: usize,
    direction: &mut Direction,
    until: u64,
    at: u64,
) {
    let length = until - direction.next;
    counts.holes += 1;
    counts.hole_bytes += length;
    sink.hole(state, side, length, at);
    direction.next = until;
}

/// Delivers everything buffered for a direction, and reports the gaps as holes.
fn flush<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    total_buffered: &mut usize,
    state: &mut K::State,
    side: usize,
    direction: &mut Direction,
    at: u64,
) {
    if direction.base.is_none() && !direction.early_pieces.is_empty() {
        direction.start_missing = true;
        counts.midway += 1;
        counts.midway_bytes += direction.buffered as u64;
        *total_buffered -= direction.buffered;
        direction.buffered = 0;
        direction.early_pieces = Vec::new();
        sink.start_missing(state, side, at);
    }
    while !direction.pieces.is_empty() {
        skip_hole(sink, counts, total_buffered, state, side, direction, at);
    }
}

fn close<K: Sink>(
    sink: &mut K,
    counts: &mut Counts,
    total_buffered: &mut usize,
    connection: Connection<K::State>,
    reason: CloseReason,
    at: u64,
) {
    let Connection {
        mut directions,
        state: Some(mut state),
        ..
    } = connection
    else {
        return;
    };
    for (side, direction) in directions.iter_mut().enumerate() {
        flush(
            sink,
            counts,
            total_buffered,
            &mut state,
            side,
            direction,
            at,
        );
        // Bytes that were sent but not captured. A FIN that was not captured is acknowledged as one more byte;
        // no frame fits in one byte, and a frame without its last byte is reported as truncated.
        let sent = direction
            .fin
            .unwrap_or(if direction.sent == direction.next + 1 {
                direction.next
            } else {
                direction.sent
            });
        if direction.base.is_some() && sent > direction.next {
            report_hole(sink, counts, &mut state, side, direction, sent, at);
        }
    }
    sink.closed(state, reason, at);
}
