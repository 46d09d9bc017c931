//! A stand-in for the network and its recorder: known conversations, scrambled by a seed, and what an
//! honest reader must find in the result. It counts bytes that are there, and shares no code with the reader.

use nanorand::{Rng, WyRand};
use rainstand_capture::packet::End;
use rainstand_capture::write::{self, Flags};
use rainstand_protocol::thrift;
use std::collections::BTreeMap;

/// What may happen to a capture.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    pub connections: usize,
    pub calls: usize,
    /// Percent of packets that are left out, sent again, sent again cut otherwise, and bytes kept of a packet.
    pub dropped: u32,
    pub repeated: u32,
    pub overlapped: u32,
    /// Places that a packet may move.
    pub moved: usize,
    /// Largest payload of a segment.
    pub segment: usize,
    pub snap: Option<usize>,
    /// Sequence numbers begin just before their end.
    pub wraps: bool,
    pub v6: bool,
}

/// A frame of one side: where its bytes are, and what it is.
#[derive(Clone, Debug)]
pub struct Frame {
    pub from: usize,
    pub to: usize,
    pub seq: i32,
    /// The body of a call, or what an answer is.
    pub said: Said,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    Call(Vec<u8>),
    Honoured(Vec<u8>),
    Dismissed,
    GivenUp,
    Exception,
    Other,
}

pub struct Packet {
    pub at: u64,
    connection: usize,
    side: usize,
    /// Offset of the payload in its side's bytes, and its length; opening and closing have none.
    from: usize,
    length: usize,
    opens: bool,
    pub bytes: Vec<u8>,
}

pub struct Scene {
    pub packets: Vec<Packet>,
    /// Frames and bytes of both sides of each connection; side 0 opened it.
    pub frames: Vec<[Vec<Frame>; 2]>,
    sizes: Vec<[usize; 2]>,
    snap: Option<usize>,
}

/// A body; some hold whole frames, so that guessing would find tickets that nobody sent.
fn body(chance: &mut WyRand) -> Vec<u8> {
    let mut bytes: Vec<u8> = (0..chance.generate_range(0..90usize))
        .map(|_| chance.generate::<u8>())
        .collect();
    if chance.generate_range(0..3u8) == 0 {
        bytes.extend(thrift::process(
            999,
            &[("route", "made-up"), ("trace", "ffffffffffffffff")],
            b"no ticket",
        ));
        bytes.extend(thrift::answer(b"process", 3, b"no answer", true));
    }
    bytes
}

pub fn scene(seed: u64, trouble: &Trouble) -> Scene {
    let mut chance = WyRand::new_seed(seed);
    let mut scene = Scene {
        packets: vec![],
        frames: vec![],
        sizes: vec![],
        snap: trouble.snap,
    };
    for n in 0..trouble.connections {
        connection(&mut scene, n, &mut chance, trouble);
    }
    // All connections side by side, by time.
    scene.packets.sort_by_key(|packet| packet.at);
    scramble(&mut scene, &mut chance, trouble);
    scene
}

fn connection(scene: &mut Scene, n: usize, chance: &mut WyRand, trouble: &Trouble) {
    let ip = |last: u8| match trouble.v6 {
        true => format!("fd00::{last:x}").parse().unwrap(),
        false => std::net::IpAddr::from([10, 7, (n >> 8) as u8, last]),
    };
    let ends = [
        End::new(ip(1 + (n % 200) as u8), 20_000 + n as u16),
        End::new(ip(250), 5050),
    ];
    let first: [u32; 2] = match trouble.wraps {
        true => [
            0u32.wrapping_sub(chance.generate_range(1..3_000u32)),
            0u32.wrapping_sub(chance.generate_range(1..3_000u32)),
        ],
        false => [chance.generate(), chance.generate()],
    };
    let (mut bytes, mut frames) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
    let mut at = 1_764_576_000_000_000_000 + chance.generate_range(0..1_000_000u64);
    let mut packets = Vec::new();
    let mut push = |at: u64,
                    side: usize,
                    from: usize,
                    opens: bool,
                    payload: &[u8],
                    flags: Flags,
                    ack: usize| {
        let seq = first[side]
            .wrapping_add(u32::from(!opens))
            .wrapping_add(from as u32);
        let ack =
            (!opens || side == 1).then(|| first[1 - side].wrapping_add(1).wrapping_add(ack as u32));
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
            opens,
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
    while next <= trouble.calls as i32 || !open.is_empty() {
        at += chance.generate_range(1_000..2_000_000u64);
        let asks =
            next <= trouble.calls as i32 && (open.is_empty() || chance.generate_range(0..2u8) == 0);
        let (side, seq, said, frame) = if asks {
            let (seq, body) = (next, body(chance));
            next += 1;
            open.push(seq);
            let trace = format!("{:016x}", chance.generate::<u64>());
            let fields = [
                ("route", "check"),
                ("trace", trace.as_str()),
                ("customer", "acme"),
            ];
            (
                0,
                seq,
                Said::Call(body.clone()),
                thrift::process(seq, &fields, &body),
            )
        } else {
            let seq = open.swap_remove(chance.generate_range(0..open.len()));
            match chance.generate_range(0..9u8) {
                0 => (
                    1,
                    seq,
                    Said::Dismissed,
                    thrift::backoff(seq, &[("pause", "250")]),
                ),
                1 => (1, seq, Said::GivenUp, thrift::lost(seq)),
                2 => (
                    1,
                    seq,
                    Said::Exception,
                    thrift::exception(b"process", seq, 6, "no"),
                ),
                3 => (0, seq, Said::Other, thrift::give_up(seq)),
                _ => {
                    let body = body(chance);
                    (
                        1,
                        seq,
                        Said::Honoured(body.clone()),
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
            said,
        });
        let mut start = from;
        while start < bytes[side].len() {
            let length = chance
                .generate_range(1..=trouble.segment)
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
            if chance.generate_range(0..100u32) < trouble.overlapped {
                // Sent again, from somewhere before to somewhere within.
                let (back, upto) = (
                    start.saturating_sub(chance.generate_range(0..40usize)),
                    start + chance.generate_range(1..=length),
                );
                push(
                    at + 500,
                    side,
                    back,
                    false,
                    &bytes[side][back..upto],
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
    scene.packets.extend(packets);
    scene.frames.push(frames);
    scene.sizes.push([bytes[0].len(), bytes[1].len()]);
}

fn scramble(scene: &mut Scene, chance: &mut WyRand, trouble: &Trouble) {
    let mut kept: Vec<Packet> = Vec::new();
    for packet in scene.packets.drain(..) {
        if chance.generate_range(0..100u32) < trouble.dropped {
            continue;
        }
        if chance.generate_range(0..100u32) < trouble.repeated {
            let Packet {
                at,
                connection,
                side,
                from,
                length,
                opens,
                ref bytes,
            } = packet;
            kept.push(Packet {
                at,
                connection,
                side,
                from,
                length,
                opens,
                bytes: bytes.clone(),
            });
        }
        kept.push(packet);
    }
    if trouble.moved > 0 {
        let mut keyed: Vec<(usize, Packet)> = kept
            .into_iter()
            .enumerate()
            .map(|(k, packet)| (k + chance.generate_range(0..=trouble.moved), packet))
            .collect();
        keyed.sort_by_key(|(place, _)| *place);
        kept = keyed.into_iter().map(|(_, packet)| packet).collect();
    }
    scene.packets = kept;
}

impl Scene {
    /// The file, and where each packet's block ends in it.
    pub fn file(&self) -> (Vec<u8>, Vec<usize>) {
        let mut file = write::head("stand-in");
        let mut ends = Vec::new();
        for packet in &self.packets {
            let kept = self.snap.unwrap_or(usize::MAX).min(packet.bytes.len());
            write::packet(
                &mut file,
                packet.at,
                &packet.bytes[..kept],
                packet.bytes.len(),
            );
            ends.push(file.len());
        }
        (file, ends)
    }

    /// What an honest reader of the first `packets` finds: calls with what came of them (none where the
    /// answer is not there), by connection (as first seen) and number.
    pub fn honest(&self, packets: usize) -> BTreeMap<(usize, i32), (Vec<u8>, Option<Said>)> {
        let mut there: Vec<[Vec<bool>; 2]> = self
            .sizes
            .iter()
            .map(|s| [vec![false; s[0]], vec![false; s[1]]])
            .collect();
        let mut opened = vec![[false; 2]; self.sizes.len()];
        for packet in &self.packets[..packets] {
            if packet.opens {
                // The answer to an opening tells where both sides begin.
                opened[packet.connection][packet.side] = true;
                opened[packet.connection][0] = true;
            }
            let header = packet.bytes.len() - packet.length;
            let kept = self
                .snap
                .unwrap_or(usize::MAX)
                .min(packet.bytes.len())
                .saturating_sub(header);
            there[packet.connection][packet.side]
                [packet.from..packet.from + kept.min(packet.length)]
                .fill(true);
        }
        let mut found = BTreeMap::new();
        for (connection, frames) in self.frames.iter().enumerate() {
            let read = [0, 1].map(|side| {
                let there = &there[connection][side];
                let mut read = Vec::new();
                for frame in frames[side].iter().filter(|_| opened[connection][side]) {
                    if !there[frame.from..frame.from + 4].iter().all(|there| *there) {
                        break;
                    }
                    if there[frame.from..frame.to].iter().all(|there| *there) {
                        read.push(frame);
                    }
                }
                read
            });
            for call in &read[0] {
                let Said::Call(body) = &call.said else {
                    continue;
                };
                let answer = read[1]
                    .iter()
                    .find(|answer| answer.seq == call.seq)
                    .map(|answer| answer.said.clone());
                found.insert((connection, call.seq), (body.clone(), answer));
            }
        }
        found
    }

    /// Connections in the order in which the first `packets` show them: a lone acknowledgement opens none.
    pub fn order(&self, packets: usize) -> Vec<usize> {
        let mut order = Vec::new();
        for packet in &self.packets[..packets] {
            if (packet.opens || packet.length > 0) && !order.contains(&packet.connection) {
                order.push(packet.connection);
            }
        }
        order
    }
}
