//! Streams back to packets, and packets to pcapng: made-up but correct TCP/IP, checksums and all.
//!
//! The file is a section, one interface (raw IP, nanoseconds), and a block a packet. Blocks are whole or
//! not there: a reader of a file that ends in the middle of one reads up to the last whole block.

use crate::packet::End;
use etherparse::PacketBuilder;
use std::net::IpAddr;

/// Bytes of a stream in one packet: what an Ethernet packet takes.
pub const SEGMENT: usize = 1_448;
/// Link type "raw IP".
const RAW_IP: u16 = 101;
/// Hops, and a window that no test fills.
const HOPS: u8 = 64;
const WINDOW: u16 = 65_535;

/// The head of a file: its section and interface. `program` is told in it.
pub fn head(program: &str) -> Vec<u8> {
    let mut file = Vec::new();
    let mut section = Vec::new();
    section.extend(0x1a2b_3c4du32.to_le_bytes());
    section.extend([1, 0, 0, 0]);
    // The section's length is not known beforehand.
    section.extend(u64::MAX.to_le_bytes());
    option(&mut section, 4, program.as_bytes());
    option(&mut section, 0, &[]);
    block(&mut file, 0x0a0d_0d0a, &section);
    let mut interface = Vec::new();
    interface.extend(RAW_IP.to_le_bytes());
    interface.extend([0, 0]);
    interface.extend(0u32.to_le_bytes());
    // if_tsresol: nanoseconds.
    option(&mut interface, 9, &[9]);
    option(&mut interface, 0, &[]);
    block(&mut file, 1, &interface);
    file
}

/// Adds one packet's block; `length` is what it had on the wire.
pub fn packet(file: &mut Vec<u8>, at: u64, bytes: &[u8], length: usize) {
    let padding = bytes.len().next_multiple_of(4) - bytes.len();
    let total = (32 + bytes.len() + padding) as u32;
    file.reserve(total as usize);
    for word in [
        6,
        total,
        0,
        (at >> 32) as u32,
        at as u32,
        bytes.len() as u32,
        length as u32,
    ] {
        file.extend(word.to_le_bytes());
    }
    file.extend(bytes);
    file.extend(&[0; 3][..padding]);
    file.extend(total.to_le_bytes());
}

fn option(body: &mut Vec<u8>, code: u16, value: &[u8]) {
    body.extend(code.to_le_bytes());
    body.extend((value.len() as u16).to_le_bytes());
    body.extend(value);
    body.resize(body.len().next_multiple_of(4), 0);
}

fn block(file: &mut Vec<u8>, kind: u32, body: &[u8]) {
    let total = 12 + body.len() as u32;
    file.extend(kind.to_le_bytes());
    file.extend(total.to_le_bytes());
    file.extend(body);
    file.extend(total.to_le_bytes());
}

/// What a made-up segment says beside its bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    pub syn: bool,
    pub fin: bool,
    pub rst: bool,
    pub ack: Option<u32>,
}

/// One IP packet with a TCP segment. Both ends have one kind of address.
pub fn segment(from: End, to: End, seq: u32, flags: Flags, payload: &[u8]) -> Vec<u8> {
    let builder = match (from.ip(), to.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => PacketBuilder::ipv4(from.octets(), to.octets(), HOPS),
        (from, to) => PacketBuilder::ipv6(v6(from), v6(to), HOPS),
    };
    let mut tcp = builder.tcp(from.port, to.port, seq, WINDOW);
    if flags.syn {
        tcp = tcp.syn();
    }
    if flags.fin {
        tcp = tcp.fin();
    }
    if flags.rst {
        tcp = tcp.rst();
    }
    if let Some(ack) = flags.ack {
        tcp = tcp.ack(ack);
    }
    if !payload.is_empty() {
        tcp = tcp.psh();
    }
    let mut packet = Vec::with_capacity(tcp.size(payload.len()));
    // Writing to memory does not fail, and payloads are far under the 64 KiB of IP.
    let _ = tcp.write(&mut packet, payload);
    packet
}

fn v6(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
}

/// A connection as packets: what one end sends, the other has received at once.
#[derive(Clone, Debug)]
pub struct Conversation {
    ends: [End; 2],
    /// The next sequence number of each end.
    next: [u32; 2],
}

impl Conversation {
    /// From the end that opens it; `first` are both ends' initial sequence numbers.
    pub fn new(opener: End, other: End, first: [u32; 2]) -> Self {
        Self {
            ends: [opener, other],
            next: first,
        }
    }

    /// The three packets of the opening.
    pub fn open(&mut self) -> [Vec<u8>; 3] {
        let [opener, other] = self.ends;
        let [first, second] = self.next;
        self.next = [first.wrapping_add(1), second.wrapping_add(1)];
        let syn = Flags {
            syn: true,
            ..Flags::default()
        };
        let both = Flags {
            syn: true,
            ack: Some(self.next[0]),
            ..Flags::default()
        };
        let ack = Flags {
            ack: Some(self.next[1]),
            ..Flags::default()
        };
        [
            segment(opener, other, first, syn, &[]),
            segment(other, opener, second, both, &[]),
            segment(opener, other, self.next[0], ack, &[]),
        ]
    }

    /// Bytes of one end (0: who opened it), in segments.
    pub fn data<'c>(
        &'c mut self,
        side: usize,
        bytes: &'c [u8],
    ) -> impl Iterator<Item = Vec<u8>> + 'c {
        bytes.chunks(SEGMENT).map(move |part| {
            let packet = self.made(side, Flags::default(), part);
            self.next[side] = self.next[side].wrapping_add(part.len() as u32);
            packet
        })
    }

    /// An end says that it sends no more.
    pub fn finish(&mut self, side: usize) -> Vec<u8> {
        let packet = self.made(
            side,
            Flags {
                fin: true,
                ..Flags::default()
            },
            &[],
        );
        self.next[side] = self.next[side].wrapping_add(1);
        packet
    }

    pub fn reset(&mut self, side: usize) -> Vec<u8> {
        self.made(
            side,
            Flags {
                rst: true,
                ..Flags::default()
            },
            &[],
        )
    }

    fn made(&self, side: usize, flags: Flags, payload: &[u8]) -> Vec<u8> {
        let flags = Flags {
            ack: Some(self.next[1 - side]),
            ..flags
        };
        segment(
            self.ends[side],
            self.ends[1 - side],
            self.next[side],
            flags,
            payload,
        )
    }
}
