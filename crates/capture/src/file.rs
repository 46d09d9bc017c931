//! Reads packets from files: classic pcap (both byte orders, micro- and nanoseconds) and pcapng (sections,
//! interfaces with their own link types and time resolutions; unknown blocks are skipped).

use pcap_parser::traits::PcapNGPacketBlock;
use pcap_parser::{create_reader, Block, Linktype, PcapBlockOwned, PcapError};
use std::io::Read;

/// Read buffer, and thus the largest accepted block. No writer makes packets above 256 KiB.
const BUFFER_BYTES: usize = 1 << 20;
/// Maximum number of interfaces per section; packets of further ones count as of an unknown link type.
const MAX_INTERFACES: usize = 1_024;
const NS_PER_SECOND: u128 = 1_000_000_000;

/// The link-layer type of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Ethernet,
    /// Linux cooked capture; `Cooked2` is its version 2.
    Cooked,
    Cooked2,
    /// IPv4 or IPv6 without a link header.
    RawIp,
    /// BSD loopback: an address family in the writer's or in network byte order, then IP.
    Loopback,
    Unknown,
}

impl From<Linktype> for Link {
    /// Numbers of <https://www.tcpdump.org/linktypes.html>.
    fn from(linktype: Linktype) -> Self {
        match linktype.0 {
            1 => Link::Ethernet,
            113 => Link::Cooked,
            276 => Link::Cooked2,
            12 | 14 | 101 | 228 | 229 => Link::RawIp,
            0 | 108 => Link::Loopback,
            _ => Link::Unknown,
        }
    }
}

/// One captured packet.
#[derive(Clone, Copy, Debug)]
pub struct Packet<'f> {
    /// Nanoseconds of Unix time.
    pub at: u64,
    pub link: Link,
    /// The captured bytes.
    pub data: &'f [u8],
    /// Length on the wire, in bytes.
    pub length: usize,
}

/// Properties of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileInfo {
    /// `pcap` or `pcapng`.
    pub format: &'static str,
    pub packets: u64,
    /// Captured bytes of all packets.
    pub bytes: u64,
    pub first: Option<u64>,
    pub last: Option<u64>,
    /// Packets of which only the beginning was captured.
    pub shortened: u64,
    /// Skipped blocks: neither packets nor needed metadata.
    pub passed_over: u64,
}

/// Whether the file was read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    Complete,
    /// Reading stopped early, for this reason.
    Incomplete(String),
}

#[derive(Clone, Copy)]
struct Interface {
    link: Link,
    /// Clock ticks per second, and an offset in seconds to add to each timestamp.
    ticks_per_second: u64,
    offset: i64,
    snaplen: u32,
}

impl Interface {
    fn timestamp_ns(&self, high: u32, low: u32) -> u64 {
        let ticks = u128::from(high) << 32 | u128::from(low);
        let ns = (ticks * NS_PER_SECOND / u128::from(self.ticks_per_second)) as i128
            + i128::from(self.offset) * NS_PER_SECOND as i128;
        u64::try_from(ns.max(0)).unwrap_or(u64::MAX)
    }
}

/// Clock ticks per second from the option `if_tsresol`: a negative power of 10, or of 2 if the highest bit
/// is set. The library's own function does not support powers of 2. A resolution beyond 64 bits falls back
/// to the default, microseconds.
fn ticks_per_second(if_tsresol: u8) -> u64 {
    let power = u32::from(if_tsresol & 0x7f);
    let ticks = if if_tsresol & 0x80 == 0 {
        10u64.checked_pow(power)
    } else {
        1u64.checked_shl(power)
    };
    ticks.unwrap_or(1_000_000)
}

/// Calls `on_packet` for each packet, in file order.
pub fn packets(
    reader: impl Read + Send,
    mut on_packet: impl FnMut(&Packet<'_>),
) -> (FileInfo, ReadEnd) {
    let mut info = FileInfo::default();
    let mut file = match create_reader(BUFFER_BYTES, reader) {
        Ok(file) => file,
        Err(PcapError::Eof) => return (info, ReadEnd::Incomplete("the file is empty".into())),
        Err(error) => return (info, ReadEnd::Incomplete(describe_error(&error))),
    };
    let mut interfaces: Vec<Interface> = Vec::new();
    let mut classic_format = None;
    // Guards against an endless loop when an exhausted reader leaves a block incomplete.
    let mut previous_length = usize::MAX;
    loop {
        let offset = match file.next() {
            Ok((offset, block)) => {
                handle_block(
                    block,
                    &mut info,
                    &mut interfaces,
                    &mut classic_format,
                    &mut on_packet,
                );
                offset
            }
            Err(PcapError::Eof) => return (info, ReadEnd::Complete),
            Err(PcapError::Incomplete(_)) => {
                let length = file.data().len();
                if length == previous_length && file.reader_exhausted() {
                    return (
                        info,
                        ReadEnd::Incomplete("the file ends in the middle of a packet".into()),
                    );
                }
                previous_length = length;
                match file.refill() {
                    Ok(()) => continue,
                    Err(error) => return (info, ReadEnd::Incomplete(describe_error(&error))),
                }
            }
            Err(error) => return (info, ReadEnd::Incomplete(describe_error(&error))),
        };
        previous_length = usize::MAX;
        file.consume(offset);
    }
}

fn describe_error<I>(error: &PcapError<I>) -> String {
    match error {
        PcapError::HeaderNotRecognized => "neither pcap nor pcapng".into(),
        PcapError::UnexpectedEof | PcapError::Eof | PcapError::Incomplete(_) => {
            "the file ends in the middle of a packet".into()
        }
        PcapError::BufferTooSmall => format!("a block is larger than {BUFFER_BYTES} bytes"),
        PcapError::ReadError => "reading the file failed".into(),
        PcapError::NomError(..) | PcapError::OwnedNomError(..) => {
            "a block has an invalid format".into()
        }
    }
}

fn handle_block(
    block: PcapBlockOwned<'_>,
    info: &mut FileInfo,
    interfaces: &mut Vec<Interface>,
    classic_format: &mut Option<(Link, u64)>,
    on_packet: &mut impl FnMut(&Packet<'_>),
) {
    let mut emit = |at: u64, link: Link, data: &[u8], length: usize| {
        let packet = Packet {
            at,
            link,
            data,
            length: length.max(data.len()),
        };
        info.packets += 1;
        info.bytes += data.len() as u64;
        info.first = Some(info.first.map_or(at, |first| first.min(at)));
        info.last = Some(info.last.map_or(at, |last| last.max(at)));
        info.shortened += u64::from(packet.length > data.len());
        on_packet(&packet);
    };
    match block {
        PcapBlockOwned::LegacyHeader(header) => {
            info.format = "pcap";
            let ns_per_tick = if header.is_nanosecond_precision() {
                1
            } else {
                1_000
            };
            *classic_format = Some((Link::from(header.network), ns_per_tick));
        }
        PcapBlockOwned::Legacy(packet) => {
            let (link, ns_per_tick) = classic_format.unwrap_or((Link::Unknown, 1_000));
            let at = u64::from(packet.ts_sec) * NS_PER_SECOND as u64
                + u64::from(packet.ts_usec) * ns_per_tick;
            emit(at, link, packet.data, packet.origlen as usize);
        }
        PcapBlockOwned::NG(Block::SectionHeader(_)) => {
            info.format = "pcapng";
            interfaces.clear();
        }
        PcapBlockOwned::NG(Block::InterfaceDescription(description)) => {
            if interfaces.len() < MAX_INTERFACES {
                interfaces.push(Interface {
                    link: Link::from(description.linktype),
                    ticks_per_second: ticks_per_second(description.if_tsresol),
                    offset: description.ts_offset(),
                    snaplen: description.snaplen,
                });
            }
        }
        PcapBlockOwned::NG(Block::EnhancedPacket(packet)) => {
            let interface = interfaces.get(packet.if_id as usize);
            let at = interface.map_or(0, |known| known.timestamp_ns(packet.ts_high, packet.ts_low));
            let link = interface.map_or(Link::Unknown, |known| known.link);
            emit(at, link, packet.packet_data(), packet.origlen as usize);
        }
        PcapBlockOwned::NG(Block::SimplePacket(packet)) => {
            // A simple packet has no timestamp: use the latest one so far.
            let interface = interfaces.first();
            let captured = match interface.map_or(0, |known| known.snaplen as usize) {
                0 => packet.origlen as usize,
                snaplen => snaplen.min(packet.origlen as usize),
            };
            let data = &packet.data[..captured.min(packet.data.len())];
            let at = info.last.unwrap_or(0);
            let link = interface.map_or(Link::Unknown, |known| known.link);
            let length = packet.origlen as usize;
            let simple = Packet {
                at,
                link,
                data,
                length: length.max(data.len()),
            };
            info.packets += 1;
            info.bytes += data.len() as u64;
            info.shortened += u64::from(simple.length > data.len());
            on_packet(&simple);
        }
        PcapBlockOwned::NG(_) => info.passed_over += 1,
    }
}
