//! Files to packets: classic pcap (both byte orders, micro- and nanoseconds) and pcapng (sections,
//! interfaces with their own links and time resolutions; unknown blocks are passed over).

use pcap_parser::traits::PcapNGPacketBlock;
use pcap_parser::{create_reader, Block, Linktype, PcapBlockOwned, PcapError};
use std::io::Read;

/// Bytes read ahead: the largest block that is taken. A packet is at most 256 KiB by any writer.
const BUFFER: usize = 1 << 20;
/// Interfaces of one section that are known; packets of others are counted as of an unknown link.
const MOST_INTERFACES: usize = 1_024;
const SECOND: u128 = 1_000_000_000;

/// How a packet is wrapped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Ethernet,
    /// Linux cooked, version 1 and 2.
    Cooked,
    Cooked2,
    /// IPv4 or IPv6 with nothing before it.
    RawIp,
    /// BSD loopback: a family in the writer's byte order (or the network's), then IP.
    Loopback,
    Unknown,
}

impl From<Linktype> for Link {
    /// Numbers of <https://www.tcpdump.org/linktypes.html>.
    fn from(of: Linktype) -> Self {
        match of.0 {
            1 => Link::Ethernet,
            113 => Link::Cooked,
            276 => Link::Cooked2,
            12 | 14 | 101 | 228 | 229 => Link::RawIp,
            0 | 108 => Link::Loopback,
            _ => Link::Unknown,
        }
    }
}

/// One packet as the file has it.
#[derive(Clone, Copy, Debug)]
pub struct Packet<'f> {
    /// Nanoseconds of Unix time.
    pub at: u64,
    pub link: Link,
    /// What was kept of it.
    pub data: &'f [u8],
    /// How long it was on the wire.
    pub length: usize,
}

/// What the file itself tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileInfo {
    /// `pcap` or `pcapng`.
    pub format: &'static str,
    pub packets: u64,
    /// Bytes of packets, as kept.
    pub bytes: u64,
    pub first: Option<u64>,
    pub last: Option<u64>,
    /// Packets of which only the beginning was kept.
    pub shortened: u64,
    /// Blocks that are no packets and tell nothing that is needed.
    pub passed_over: u64,
}

/// How reading ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    Whole,
    Cut(String),
}

#[derive(Clone, Copy)]
struct Interface {
    link: Link,
    /// Steps of its clock in a second, and seconds to be added.
    steps: u64,
    offset: i64,
    snaplen: u32,
}

impl Interface {
    fn at(&self, high: u32, low: u32) -> u64 {
        let steps = u128::from(high) << 32 | u128::from(low);
        let ns = (steps * SECOND / u128::from(self.steps)) as i128
            + i128::from(self.offset) * SECOND as i128;
        u64::try_from(ns.max(0)).unwrap_or(u64::MAX)
    }
}

/// Steps of a clock in a second, by the option `if_tsresol`: a negative power of 10, or of 2 if its highest
/// bit is set. Not by the library's own function, which takes no power of 2; what is past 64 bits counts as
/// the default, microseconds.
fn steps(told: u8) -> u64 {
    let power = u32::from(told & 0x7f);
    let steps = if told & 0x80 == 0 {
        10u64.checked_pow(power)
    } else {
        1u64.checked_shl(power)
    };
    steps.unwrap_or(1_000_000)
}

/// Calls `take` with every packet of the file, in its order.
pub fn packets(reader: impl Read + Send, mut take: impl FnMut(&Packet<'_>)) -> (FileInfo, Ended) {
    let mut info = FileInfo::default();
    let mut file = match create_reader(BUFFER, reader) {
        Ok(file) => file,
        Err(PcapError::Eof) => return (info, Ended::Cut("the file is empty".into())),
        Err(error) => return (info, Ended::Cut(words(&error))),
    };
    let mut interfaces: Vec<Interface> = Vec::new();
    let mut classic = None;
    // A reader that gives nothing more while a block is not whole would be asked for ever.
    let mut had = usize::MAX;
    loop {
        let offset = match file.next() {
            Ok((offset, block)) => {
                one(block, &mut info, &mut interfaces, &mut classic, &mut take);
                offset
            }
            Err(PcapError::Eof) => return (info, Ended::Whole),
            Err(PcapError::Incomplete(_)) => {
                let before = file.data().len();
                if before == had && file.reader_exhausted() {
                    return (
                        info,
                        Ended::Cut("the file ends in the middle of a packet".into()),
                    );
                }
                had = before;
                match file.refill() {
                    Ok(()) => continue,
                    Err(error) => return (info, Ended::Cut(words(&error))),
                }
            }
            Err(error) => return (info, Ended::Cut(words(&error))),
        };
        had = usize::MAX;
        file.consume(offset);
    }
}

fn words<I>(error: &PcapError<I>) -> String {
    match error {
        PcapError::HeaderNotRecognized => "neither pcap nor pcapng".into(),
        PcapError::UnexpectedEof | PcapError::Eof | PcapError::Incomplete(_) => {
            "the file ends in the middle of a packet".into()
        }
        PcapError::BufferTooSmall => format!("a block of over {BUFFER} bytes"),
        PcapError::ReadError => "the file cannot be read further".into(),
        PcapError::NomError(..) | PcapError::OwnedNomError(..) => {
            "a block that cannot be read".into()
        }
    }
}

fn one(
    block: PcapBlockOwned<'_>,
    info: &mut FileInfo,
    interfaces: &mut Vec<Interface>,
    classic: &mut Option<(Link, u64)>,
    take: &mut impl FnMut(&Packet<'_>),
) {
    let mut tell = |at: u64, link: Link, data: &[u8], length: usize| {
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
        take(&packet);
    };
    match block {
        PcapBlockOwned::LegacyHeader(header) => {
            info.format = "pcap";
            let steps = if header.is_nanosecond_precision() {
                1
            } else {
                1_000
            };
            *classic = Some((Link::from(header.network), steps));
        }
        PcapBlockOwned::Legacy(packet) => {
            let (link, ns) = classic.unwrap_or((Link::Unknown, 1_000));
            let at = u64::from(packet.ts_sec) * SECOND as u64 + u64::from(packet.ts_usec) * ns;
            tell(at, link, packet.data, packet.origlen as usize);
        }
        PcapBlockOwned::NG(Block::SectionHeader(_)) => {
            info.format = "pcapng";
            interfaces.clear();
        }
        PcapBlockOwned::NG(Block::InterfaceDescription(told)) => {
            if interfaces.len() < MOST_INTERFACES {
                interfaces.push(Interface {
                    link: Link::from(told.linktype),
                    steps: steps(told.if_tsresol),
                    offset: told.ts_offset(),
                    snaplen: told.snaplen,
                });
            }
        }
        PcapBlockOwned::NG(Block::EnhancedPacket(packet)) => {
            let interface = interfaces.get(packet.if_id as usize);
            let at = interface.map_or(0, |known| known.at(packet.ts_high, packet.ts_low));
            let link = interface.map_or(Link::Unknown, |known| known.link);
            tell(at, link, packet.packet_data(), packet.origlen as usize);
        }
        PcapBlockOwned::NG(Block::SimplePacket(packet)) => {
            // It has no time of its own: the last one that was told.
            let interface = interfaces.first();
            let kept = match interface.map_or(0, |known| known.snaplen as usize) {
                0 => packet.origlen as usize,
                most => most.min(packet.origlen as usize),
            };
            let data = &packet.data[..kept.min(packet.data.len())];
            let at = info.last.unwrap_or(0);
            let link = interface.map_or(Link::Unknown, |known| known.link);
            let length = packet.origlen as usize;
            let whole = Packet {
                at,
                link,
                data,
                length: length.max(data.len()),
            };
            info.packets += 1;
            info.bytes += data.len() as u64;
            info.shortened += u64::from(whole.length > data.len());
            take(&whole);
        }
        PcapBlockOwned::NG(_) => info.passed_over += 1,
    }
}
