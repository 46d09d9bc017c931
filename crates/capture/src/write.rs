//! Writes streams as packets and packets as pcapng: synthetic but valid TCP/IP, including checksums.
//!
//! The file has one section, one interface (raw IP, nanoseconds) and one block per packet. Readers accept only
//! complete blocks: of a file that ends in the middle of a block, they read up to the last complete one.

use crate::packet::End;
use etherparse::PacketBuilder;
use std::net::IpAddr;

/// Maximum payload bytes per packet: the TCP payload of an Ethernet packet.
pub const SEGMENT: usize = 1_448;
/// Link type "raw IP".
const RAW_IP: u16 = 101;
/// TTL or hop limit of IP, and a TCP window in bytes that no test fills.
const TTL: u8 = 64;
const WINDOW_BYTES: u16 = 65_535;

/// The file header: the section block, which names `program`, and the interface block.
pub fn head(program: &str) -> Vec<u8> {
    let mut file = Vec::new();
    let mut section = Vec::new();
    section.extend(0x1a2b_3c4du32.to_le_bytes());
    section.extend([1, 0, 0, 0]);
    // The length of the section is not known in advance.
    section.extend(u64::MAX.to_le_bytes());
    write_option(&mut section, 4, program.as_bytes());
    write_option(&mut section, 0, &[]);
    write_block(&mut file, 0x0a0d_0d0a, &section);
    let mut interface = Vec::new();
    interface.extend(RAW_IP.to_le_bytes());
    interface.extend([0, 0]);
    interface.extend(0u32.to_le_bytes());
    // if_tsresol: nanoseconds.
    write_option(&mut interface, 9, &[9]);
    write_option(&mut interface, 0, &[]);
    write_block(&mut file, 1, &interface);
    file
}

/// Appends a packet block; `at` is in nanoseconds of Unix time, `length` is the length on the wire.
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

fn write_option(body: &mut Vec<u8>, code: u16, value: &[u8]) {
    body.extend(code.to_le_bytes());
    body.extend((value.len() as u16).to_le_bytes());
    body.extend(value);
    body.resize(body.len().next_multiple_of(4), 0);
}

fn write_block(file: &mut Vec<u8>, kind: u32, body: &[u8]) {
    let total = 12 + body.len() as u32;
    file.extend(kind.to_le_bytes());
    file.extend(total.to_le_bytes());
    file.extend(body);
    file.extend(total.to_le_bytes());
}

/// Flags and acknowledgment number of a synthetic segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    pub syn: bool,
    pub fin: bool,
    pub rst: bool,
    pub ack: Option<u32>,
}

/// An IP packet with one TCP segment. Both ends must have the same IP version.
pub fn segment(from: End, to: End, seq: u32, flags: Flags, payload: &[u8]) -> Vec<u8> {
    let builder = match (from.ip(), to.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => PacketBuilder::ipv4(from.octets(), to.octets(), TTL),
        (from, to) => PacketBuilder::ipv6(ipv6_octets(from), ipv6_octets(to), TTL),
    };
    let mut tcp = builder.tcp(from.port, to.port, seq, WINDOW_BYTES);
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

fn ipv6_octets(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
}

/// Generates the packets of a connection; each packet acknowledges everything sent so far by the other end.
#[derive(Clone, Debug)]
pub struct Conversation {
    ends: [End; 2],
    /// The next sequence number of each end.
    next: [u32; 2],
}

impl Conversation {
    /// `opener` is the end that opens the connection; `first` holds both initial sequence numbers.
    pub fn new(opener: End, other: End, first: [u32; 2]) -> Self {
        Self {
            ends: [opener, other],
            next: first,
        }
    }

    /// The three packets of the TCP handshake.
    pub fn open(&mut self) -> [Vec<u8>; 3] {
        let [opener, other] = self.ends;
        let [first, second] = self.next;
        self.next = [first.wrapping_add(1), second.wrapping_add(1)];
        let syn = Flags {
            syn: true,
            ..Flags::default()
        };
        let syn_ack = Flags {
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
            segment(other, opener, second, syn_ack, &[]),
            segment(opener, other, self.next[0], ack, &[]),
        ]
    }

    /// The segments for `bytes` sent by one end (0 is the opener).
    pub fn data<'c>(
        &'c mut self,
        side: usize,
        bytes: &'c [u8],
    ) -> impl Iterator<Item = Vec<u8>> + 'c {
        bytes.chunks(SEGMENT).map(move |part| {
            let packet = self.next_segment(side, Flags::default(), part);
            self.next[side] = self.next[side].wrapping_add(part.len() as u32);
            packet
        })
    }

    /// The FIN packet of one end.
    pub fn finish(&mut self, side: usize) -> Vec<u8> {
        let packet = self.next_segment(
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
        self.next_segment(
            side,
            Flags {
                rst: true,
                ..Flags::default()
            },
            &[],
        )
    }

    fn next_segment(&self, side: usize, flags: Flags, payload: &[u8]) -> Vec<u8> {
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
