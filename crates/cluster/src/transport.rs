//! Links among members: each opens one connection to each other, on which it sends; what comes, comes on those that the
//! others opened. Frames are a length in four bytes and a protobuf message. The first on each says who sends.
//!
//! Bounds: a frame has at most [`FRAME`] bytes, what waits for a link at most [`WAITS`]; a link that takes nothing is ended,
//! and what was on it is lost, as on any network.

use crate::driver::ClusterMember;
use crate::{config_server, status};
use bytes::Bytes;
use prost::Message as _;
use rainstand_protocol::thrift::frame_within;
use rainstand_replicated_state::frames::{Frame, FrameBody};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Two pieces of a snapshot.
pub const FRAME: usize = 512 << 10;
/// Bytes that wait for a link: some snapshots' pieces.
const WAITS: usize = 4 << 20;
/// Connections from outside: members several times over, and operators.
const MOST: usize = 256;
/// Before the next try to connect, at first and at most.
const AGAIN: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(250)];
/// For a connection to open, and for the first frame on one.
pub(crate) const OPENS: Duration = Duration::from_secs(2);
/// For what waits together to be taken: a network that works takes it in milliseconds, and a link that was lost without a
/// word is told by nothing else.
pub(crate) const TAKES: Duration = Duration::from_secs(2);
/// For an answer to be read by who asked: the longest is a whole configuration.
const ANSWER: Duration = Duration::from_secs(10);
/// A connection on which nothing came for so long gives its place back: members talk far more often, or open it again.
const QUIET: Duration = Duration::from_secs(60);

/// What goes to one member.
pub struct Outbox {
    most: usize,
    pub(crate) open: Cell<bool>,
    frames: RefCell<VecDeque<Vec<u8>>>,
    bytes: Cell<usize>,
    pub(crate) stir: Notify,
    pub sent: Cell<u64>,
    pub lost: Cell<u64>,
}

impl Default for Outbox {
    fn default() -> Self {
        Self::bounded(WAITS)
    }
}

impl Outbox {
    /// At most so many bytes wait.
    pub fn bounded(most: usize) -> Self {
        Self {
            most,
            open: Cell::default(),
            frames: RefCell::default(),
            bytes: Cell::default(),
            stir: Notify::new(),
            sent: Cell::default(),
            lost: Cell::default(),
        }
    }

    /// Sends a frame if the link is open and takes it.
    pub fn send(&self, frame: &Frame) {
        let bytes = with_length_prefix(&frame.encode_to_vec());
        if !self.open.get() || self.bytes.get() + bytes.len() > self.most {
            self.lost.set(self.lost.get() + 1);
            return;
        }
        self.bytes.set(self.bytes.get() + bytes.len());
        self.frames.borrow_mut().push_back(bytes);
        self.stir.notify_one();
    }

    pub(crate) fn next(&self) -> Option<Vec<u8>> {
        let frame = self.frames.borrow_mut().pop_front()?;
        self.bytes.set(self.bytes.get() - frame.len());
        Some(frame)
    }
}

/// A message with its length before it.
pub fn with_length_prefix(message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(4 + message.len());
    bytes.extend_from_slice(&(message.len() as u32).to_be_bytes());
    bytes.extend_from_slice(message);
    bytes
}

/// Keeps the link to one member.
pub async fn maintain_link(group: Rc<ClusterMember>, name: String) {
    let out = group.link(&name);
    let mut pause = AGAIN[0];
    loop {
        let opening = async {
            match group.address(&name) {
                Some(to) => TcpStream::connect(to).await,
                // It left the configuration.
                None => Err(std::io::ErrorKind::NotFound.into()),
            }
        };
        if let Ok(Ok(stream)) = timeout(OPENS, opening).await {
            let _ = stream.set_nodelay(true);
            pause = AGAIN[0];
            out.open.set(true);
            group.on_connected(&name);
            write(&out, stream).await;
            out.open.set(false);
            out.frames.borrow_mut().clear();
            out.bytes.set(0);
            group.on_disconnected(&name);
        }
        sleep(pause).await;
        pause = (pause * 2).min(AGAIN[1]);
    }
}

/// Writes until the link ends. The other side says nothing on it, so whatever can be read is its end.
async fn write(out: &Outbox, stream: TcpStream) {
    let (mut read, mut write) = stream.into_split();
    let ended = async {
        let mut some = [0; 64];
        while read.read(&mut some).await.is_ok_and(|n| n > 0) {}
    };
    let writing = async {
        loop {
            let Some(mut bytes) = out.next() else {
                out.stir.notified().await;
                continue;
            };
            // What waits together goes together.
            while bytes.len() < 64 << 10 {
                let Some(more) = out.next() else { break };
                bytes.extend_from_slice(&more);
            }
            if !timeout(TAKES, write.write_all(&bytes))
                .await
                .is_ok_and(|written| written.is_ok())
            {
                return;
            }
            out.sent.set(out.sent.get() + bytes.len() as u64);
        }
    };
    tokio::select! {
        () = ended => {}
        () = writing => {}
    }
}

/// Takes connections of other members and of operators.
pub async fn accept(group: Rc<ClusterMember>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open.get() < MOST => {
                let _ = stream.set_nodelay(true);
                let (group, open) = (group.clone(), open.clone());
                open.set(open.get() + 1);
                spawn_local(async move {
                    let attaches = read(&group, stream).await;
                    open.set(open.get() - 1);
                    if let Some(Attaches {
                        stream,
                        back,
                        first,
                    }) = attaches
                    {
                        config_server::attached(&group, stream, back, first).await;
                    }
                });
            }
            Ok(_) => {}
            Err(_) => sleep(AGAIN[0]).await,
        }
    }
}

/// A process that is no member says that it attaches: its link, what was read behind its first frame, and that frame.
struct Attaches {
    stream: TcpStream,
    back: Vec<u8>,
    first: Bytes,
}

/// Reads frames of one member, or an operator's questions, until the link ends or says something that cannot be.
async fn read(group: &Rc<ClusterMember>, mut stream: TcpStream) -> Option<Attaches> {
    let (mut back, mut chunk) = (Vec::new(), vec![0; 64 << 10]);
    let mut name: Option<String> = None;
    loop {
        let reading = stream.read(&mut chunk);
        // Whoever says nothing takes no place for long.
        let within = if name.is_some() { QUIET } else { OPENS };
        let n = timeout(within, reading).await.unwrap_or(Ok(0));
        match n {
            Ok(0) | Err(_) => return None,
            Ok(n) => back.extend_from_slice(&chunk[..n]),
        }
        let mut at = 0;
        loop {
            let Ok(length) = frame_within(&back[at..], FRAME) else {
                return None;
            };
            let Some(length) = length else { break };
            let body = &back[at + 4..at + 4 + length];
            at += 4 + length;
            let answer = match (status::decode_question(body), status::decode_publish(body)) {
                (Some(question), _) => Some(status::answer_question(group, question)),
                (_, Some(publish)) => Some(status::commit_version(group, publish).await),
                _ => None,
            };
            if let Some(answer) = answer {
                if !timeout(ANSWER, stream.write_all(&with_length_prefix(&answer)))
                    .await
                    .is_ok_and(|sent| sent.is_ok())
                {
                    return None;
                }
                name.get_or_insert_default();
                continue;
            }
            let frame = Frame::decode(body).ok()?;
            if let (Some(FrameBody::FromSubscriber(first)), None) = (&frame.body, &name) {
                let (first, back) = (first.clone(), back.split_off(at));
                return Some(Attaches {
                    stream,
                    back,
                    first,
                });
            }
            if let Some(FrameBody::Hello(hello)) = &frame.body {
                name = Some(hello.name.clone());
            }
            let name = name.as_ref()?;
            group.on_frame(name, frame);
        }
        back.drain(..at);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The other side reads nothing more and says nothing: no reset, no end.
    #[test]
    fn a_link_that_takes_nothing_is_ended() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let stream = TcpStream::connect(listener.local_addr().unwrap())
                .await
                .unwrap();
            let (_reads_nothing, _) = listener.accept().await.unwrap();
            let out = Outbox::default();
            // More than the system's buffers of both sides take.
            out.frames
                .borrow_mut()
                .extend((0..64).map(|_| vec![0; FRAME]));
            out.bytes.set(64 * FRAME);
            timeout(Duration::from_secs(60), write(&out, stream))
                .await
                .expect("a link that ends");
            assert!(out.sent.get() < 64 * FRAME as u64);
        });
    }
}
