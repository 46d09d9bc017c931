//! Generates captures: known conversations with seeded faults, and the calls that a correct reader finds in
//! them. The expectation follows from the captured bytes alone and shares no code with the reader.

use nanorand::{Rng, WyRand};
use rainstand_capture::packet::End;
use rainstand_capture::write::{self, Flags};
use rainstand_protocol::thrift;
use std::collections::BTreeMap;

/// Size of a generated capture and the faults in it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub connections: usize,
    pub calls: usize,
    /// Percentage of packets that are dropped, duplicated, or retransmitted with other boundaries.
    pub dropped: u32,
    pub repeated: u32,
    pub overlapped: u32,
    /// Maximum number of positions by which a packet is delayed.
    pub moved: usize,
    /// Maximum payload of a segment, in bytes.
    pub segment: usize,
    /// Captured bytes per packet; none captures all.
    pub snap: Option<usize>,
    /// Initial sequence numbers are just below the wrap-around.
    pub wraps: bool,
    pub v6: bool,
}

/// A frame of one side: its byte range and content.
#[derive(Clone, Debug)]
pub struct Frame {
    pub from: usize,
    pub to: usize,
    pub seq: i32,
    /// The content of the call or answer.
    pub message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    Call(Vec<u8>),
    Served(Vec<u8>),
    Rejected,
    Failed,
    Exception,
    Other,
}

pub struct Packet {
    pub at: u64,
    connection: usize,
    side: usize,
    /// Offset and length of the payload in the bytes of its side; SYN and FIN packets have none.
    from: usize,
    length: usize,
    is_opening: bool,
    pub bytes: Vec<u8>,
}

pub struct Scenario {
    pub packets: Vec<Packet>,
    /// Frames of both sides of each connection; side 0 is the opener.
    pub frames: Vec<[Vec<Frame>; 2]>,
    sizes: Vec<[usize; 2]>,
    snap: Option<usize>,
}

/// A random body; some contain complete frames, so that a reader that guesses boundaries finds calls never sent.
fn body(rng: &mut WyRand) -> Vec<u8> {
    let mut bytes: Vec<u8> = (0..rng.generate_range(0..90usize))
        .map(|_| rng.generate::<u8>())
        .collect();
    if rng.generate_range(0..3u8) == 0 {
        bytes.extend(thrift::process(
            999,
            &[("route", "made-up"), ("trace", "ffffffffffffffff")],
            b"no ticket",
        ));
        bytes.extend(thrift::answer(b"process", 3, b"no answer", true));
    }
    bytes
}

pub fn scenario(seed: u64, faults: &Faults) -> Scenario {
    let mut rng = WyRand::new_seed(seed);
    let mut scenario = Scenario {
        packets: vec![],
        frames: vec![],
        sizes: vec![],
        snap: faults.snap,
    };
    for n in 0..faults.connections {
        connection(&mut scenario, n, &mut rng, faults);
    }
    // Interleaves all connections by time.
    scenario.packets.sort_by_key(|packet| packet.at);
    apply_faults(&mut scenario, &mut rng, faults);
    scenario
}

fn connection(scenario: &mut Scenario, n: usize, rng: &mut WyRand, faults: &Faults) {
    let ip = |last: u8| match faults.v6 {
        true => format!("fd00::{last:x}").parse().unwrap(),
        false => std::net::IpAddr::from([10, 7, (n >> 8) as u8, last]),
    };
    let ends = [
        End::new(ip(1 + (n % 200) as u8), 20_000 + n as u16),
        End::new(ip(250), 5050),
    ];
    let first: [u32; 2] = match faults.wraps {
        true => [
            0u32.wrapping_sub(rng.generate_range(1..3_000u32)),
            0u32.wrapping_sub(rng.generate_range(1..3_000u32)),
        ],
        false => [rng.generate(), rng.generate()],
    };
    let (mut bytes, mut frames) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
    let mut at = 1_764_576_000_000_000_000 + rng.generate_range(0..1_000_000u64);
    let mut packets = Vec::new();
    let mut push = |at: u64,
                    side: usize,
                    from: usize,
                    is_opening: bool,
                    payload: &[u8],
                    flags: Flags,
                    ack: usize| {
        let seq = first[side]
            .wrapping_add(u32::from(!is_opening))
            .wrapping_add(from as u32);
        let ack = (!is_opening || side == 1)
            .then(|| first[1 - side].wrapping_add(1).wrapping_add(ack as u32));
        let packet = write::segment(
            ends[side],
            ends[1 - side],
            seq,
            Flags { ack, ..flags },
            payload,
        );
        packets.push(Packet {
            at,
            connection: n,
            side,
            from,
            length: payload.len(),
            is_opening,
            bytes: packet,
        });
    };
    let syn = Flags {
        syn: true,
        ..Flags::default()
    };
    push(at, 0, 0, true, &[], syn, 0);
    push(at + 50_000, 1, 0, true, &[], syn, 0);
    at += 100_000;
    let mut open: Vec<i32> = Vec::new();
    let mut next = 1;
    while next <= faults.calls as i32 || !open.is_empty() {
        at += rng.generate_range(1_000..2_000_000u64);
        let sends_call =
            next <= faults.calls as i32 && (open.is_empty() || rng.generate_range(0..2u8) == 0);
        let (side, seq, message, frame) = if sends_call {
            let (seq, body) = (next, body(rng));
            next += 1;
            open.push(seq);
            let trace = format!("{:016x}", rng.generate::<u64>());
            let fields = [
                ("route", "check"),
                ("trace", trace.as_str()),
                ("customer", "acme"),
            ];
            (
                0,
                seq,
                Message::Call(body.clone()),
                thrift::process(seq, &fields, &body),
            )
        } else {
            let seq = open.swap_remove(rng.generate_range(0..open.len()));
            match rng.generate_range(0..9u8) {
                0 => (
                    1,
                    seq,
                    Message::Rejected,
                    thrift::backoff(seq, &[("pause", "250")]),
                ),
                1 => (1, seq, Message::Failed, thrift::lost(seq)),
                2 => (
                    1,
                    seq,
                    Message::Exception,
                    thrift::exception(b"process", seq, 6, "no"),
                ),
                3 => (0, seq, Message::Other, thrift::give_up(seq)),
                _ => {
                    let body = body(rng);
                    (
                        1,
                        seq,
                        Message::Served(body.clone()),
                        thrift::answer(b"process", seq, &body, true),
                    )
                }
            }
        };
        let from = bytes[side].len();
        bytes[side].extend(&frame);
        frames[side].push(Frame {
            from,
            to: bytes[side].len(),
            seq,
            message,
        });
        let mut start = from;
        while start < bytes[side].len() {
            let length = rng
                .generate_range(1..=faults.segment)
                .min(bytes[side].len() - start);
            push(
                at,
                side,
                start,
                false,
                &bytes[side][start..start + length],
                Flags::default(),
                bytes[1 - side].len(),
            );
            if rng.generate_range(0..100u32) < faults.overlapped {
                // Retransmits a range that starts before the segment and ends within it.
                let (retransmit_from, retransmit_to) = (
                    start.saturating_sub(rng.generate_range(0..40usize)),
                    start + rng.generate_range(1..=length),
                );
                push(
                    at + 500,
                    side,
                    retransmit_from,
                    false,
                    &bytes[side][retransmit_from..retransmit_to],
                    Flags::default(),
                    bytes[1 - side].len(),
                );
            }
            start += length;
            at += 1_000;
        }
    }
    for side in [0, 1] {
        at += 10_000;
        let (from, ack) = (bytes[side].len(), bytes[1 - side].len() + side);
        push(
            at,
            side,
            from,
            false,
            &[],
            Flags {
                fin: true,
                ..Flags::default()
            },
            ack,
        );
    }
    scenario.packets.extend(packets);
    scenario.frames.push(frames);
    scenario.sizes.push([bytes[0].len(), bytes[1].len()]);
}

fn apply_faults(scenario: &mut Scenario, rng: &mut WyRand, faults: &Faults) {
    let mut captured: Vec<Packet> = Vec::new();
    for packet in scenario.packets.drain(..) {
        if rng.generate_range(0..100u32) < faults.dropped {
            continue;
        }
        if rng.generate_range(0..100u32) < faults.repeated {
            let Packet {
                at,
                connection,
                side,
                from,
                length,
                is_opening,
                ref bytes,
            } = packet;
            captured.push(Packet {
                at,
                connection,
                side,
                from,
                length,
                is_opening,
                bytes: bytes.clone(),
            });
        }
        captured.push(packet);
    }
    if faults.moved > 0 {
        let mut keyed: Vec<(usize, Packet)> = captured
            .into_iter()
            .enumerate()
            .map(|(k, packet)| (k + rng.generate_range(0..=faults.moved), packet))
            .collect();
        keyed.sort_by_key(|(place, _)| *place);
        captured = keyed.into_iter().map(|(_, packet)| packet).collect();
    }
    scenario.packets = captured;
}

impl Scenario {
    /// The file, and the end offset of each packet block.
    pub fn file(&self) -> (Vec<u8>, Vec<usize>) {
        let mut file = write::head("stand-in");
        let mut ends = Vec::new();
        for packet in &self.packets {
            let captured = self.snap.unwrap_or(usize::MAX).min(packet.bytes.len());
            write::packet(
                &mut file,
                packet.at,
                &packet.bytes[..captured],
                packet.bytes.len(),
            );
            ends.push(file.len());
        }
        (file, ends)
    }

    /// The calls that a correct reader finds in the first `packets`, by connection index and sequence number:
    /// body and answer (none if the answer is not captured).
    pub fn expected(&self, packets: usize) -> BTreeMap<(usize, i32), (Vec<u8>, Option<Message>)> {
        let mut is_captured: Vec<[Vec<bool>; 2]> = self
            .sizes
            .iter()
            .map(|size| [vec![false; size[0]], vec![false; size[1]]])
            .collect();
        let mut opened = vec![[false; 2]; self.sizes.len()];
        for packet in &self.packets[..packets] {
            if packet.is_opening {
                // A SYN-ACK gives the initial sequence numbers of both sides.
                opened[packet.connection][packet.side] = true;
                opened[packet.connection][0] = true;
            }
            let header = packet.bytes.len() - packet.length;
            let captured = self
                .snap
                .unwrap_or(usize::MAX)
                .min(packet.bytes.len())
                .saturating_sub(header);
            is_captured[packet.connection][packet.side]
                [packet.from..packet.from + captured.min(packet.length)]
                .fill(true);
        }
        let mut found = BTreeMap::new();
        for (connection, frames) in self.frames.iter().enumerate() {
            let complete_frames = [0, 1].map(|side| {
                let is_captured = &is_captured[connection][side];
                let mut complete_frames = Vec::new();
                for frame in frames[side].iter().filter(|_| opened[connection][side]) {
                    if !is_captured[frame.from..frame.from + 4]
                        .iter()
                        .all(|captured| *captured)
                    {
                        break;
                    }
                    if is_captured[frame.from..frame.to]
                        .iter()
                        .all(|captured| *captured)
                    {
                        complete_frames.push(frame);
                    }
                }
                complete_frames
            });
            for call in &complete_frames[0] {
                let Message::Call(body) = &call.message else {
                    continue;
                };
                let answer = complete_frames[1]
                    .iter()
                    .find(|answer| answer.seq == call.seq)
                    .map(|answer| answer.message.clone());
                found.insert((connection, call.seq), (body.clone(), answer));
            }
        }
        found
    }

    /// Connections in order of first appearance in the first `packets`; a bare acknowledgement does not open one.
    pub fn order(&self, packets: usize) -> Vec<usize> {
        let mut order = Vec::new();
        for packet in &self.packets[..packets] {
            if (packet.is_opening || packet.length > 0) && !order.contains(&packet.connection) {
                order.push(packet.connection);
            }
        }
        order
    }
}
