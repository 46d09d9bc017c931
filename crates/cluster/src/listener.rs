//! Incoming connections at a member's address: from other members, subscribers of the configuration, and operators.
//!
//! Frames of members are passed to the driver, subscribers' connections to [`crate::config_server`], and operators'
//! questions to [`crate::status`]. Limits: [`MAX_CONNECTIONS`] concurrent connections, frames of [`MAX_FRAME_BYTES`].

use crate::config_server::serve_subscriber;
use crate::driver::ClusterMember;
use crate::framing::{with_length_prefix, FrameBuffer, OPEN_TIMEOUT};
use crate::status;
use bytes::Bytes;
use prost::Message as _;
use rainstand_replicated_state::frames::{Frame, FrameBody};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The longest frame between members: two chunks of a snapshot.
pub const MAX_FRAME_BYTES: usize = 512 << 10;
/// Concurrent connections: several times the number of members, and operators. Subscribers are counted separately.
const MAX_CONNECTIONS: usize = 256;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time limit for writing an answer to an operator; the longest answer is a complete configuration.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection on which nothing is received for this long is closed: members send far more often, or reconnect.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Accepts connections; never returns.
pub(crate) async fn accept(member: Rc<ClusterMember>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open.get() < MAX_CONNECTIONS => {
                let _ = stream.set_nodelay(true);
                let (member, open) = (member.clone(), open.clone());
                open.set(open.get() + 1);
                spawn_local(async move {
                    let attaching = read_frames(&member, stream).await;
                    open.set(open.get() - 1);
                    if let Some(subscriber) = attaching {
                        attach(&member, subscriber).await;
                    }
                });
            }
            Ok(_) => {}
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// A connection whose first frame is a subscriber's.
struct AttachingSubscriber {
    stream: TcpStream,
    first: Bytes,
    /// The bytes received after the first frame.
    received: Vec<u8>,
}

async fn attach(member: &ClusterMember, subscriber: AttachingSubscriber) {
    let Some(server) = member.config_server() else {
        return;
    };
    if member.inspect(|state| state.published(state.now()).is_none()) {
        server.reject_without_replica();
        return;
    }
    let AttachingSubscriber {
        stream,
        first,
        received,
    } = subscriber;
    serve_subscriber(&server, stream, received, first).await;
}

/// Reads a member's frames or an operator's questions until the connection ends or a message is invalid. Returns the
/// connection if it is a subscriber's.
async fn read_frames(
    member: &Rc<ClusterMember>,
    mut stream: TcpStream,
) -> Option<AttachingSubscriber> {
    let mut frames = FrameBuffer::new(MAX_FRAME_BYTES);
    let mut chunk = vec![0; 64 << 10];
    let mut peer: Option<String> = None;
    loop {
        // A connection that sends nothing counts towards `MAX_CONNECTIONS` for a short time only.
        let read_timeout = if peer.is_some() {
            IDLE_TIMEOUT
        } else {
            OPEN_TIMEOUT
        };
        match timeout(read_timeout, stream.read(&mut chunk)).await {
            Ok(Ok(n)) if n > 0 => frames.extend(&chunk[..n]),
            _ => return None,
        }
        while let Some(message) = frames.next_frame().ok()? {
            if let Some(answer) = answer(member, message).await {
                let answer = with_length_prefix(&answer);
                let written = timeout(ANSWER_TIMEOUT, stream.write_all(&answer)).await;
                written.ok()?.ok()?;
                peer.get_or_insert_default();
                continue;
            }
            let frame = Frame::decode(message).ok()?;
            if let (Some(FrameBody::FromSubscriber(first)), None) = (&frame.body, &peer) {
                return Some(AttachingSubscriber {
                    stream,
                    first: first.clone(),
                    received: frames.into_rest(),
                });
            }
            if let Some(FrameBody::Hello(hello)) = &frame.body {
                peer = Some(hello.name.clone());
            }
            member.on_frame(peer.as_ref()?, frame);
        }
    }
}

/// The answer to an operator; `None` if the message is neither a question nor a version to be published.
async fn answer(member: &Rc<ClusterMember>, message: &[u8]) -> Option<Vec<u8>> {
    if let Some(question) = status::decode_question(message) {
        return Some(status::answer_question(member, question).await);
    }
    let publish = status::decode_publish(message)?;
    Some(status::commit_version(member, publish).await)
}
