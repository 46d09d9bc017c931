//! Client calls: splits the received bytes into frames, and answers or forwards each call.

use super::ClientConnection;
use crate::observability::increment;
use crate::socket::{FRAME_HEADER_BYTES, MAX_PIPELINED_REQUESTS};
use crate::{ForwarderContext, RequestError};
use rainstand_protocol::ring::Ring;
use rainstand_protocol::thrift::{self, Message, ReasonCode};
use std::rc::Rc;

/// Handles all complete frames.
///
/// # Errors
/// The reason code with which the connection is closed.
pub(super) fn handle_frames(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    inbound: &mut Ring,
) -> Result<(), ReasonCode> {
    while let Some(length) = thrift::frame(inbound.bytes())? {
        let frame_end = FRAME_HEADER_BYTES + length;
        let frame = &inbound.bytes()[FRAME_HEADER_BYTES..frame_end];
        handle_frame(context, client, frame)?;
        inbound.drop_front(frame_end);
    }
    Ok(())
}

fn handle_frame(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    frame: &[u8],
) -> Result<(), ReasonCode> {
    let message = thrift::message(frame)?;
    match message.name {
        b"process" if !message.oneway => handle_request(context, client, &message)?,
        b"giveUp" => handle_cancellation(context, client, &message)?,
        b"probe" => {
            thrift::probe_args(message.args)?;
            client.on_call();
            let is_healthy = !context.drain.is_draining();
            client.send_notice(&thrift::answer(b"probe", message.seq, &[], is_healthy));
        }
        _ => {
            let code = thrift::UNKNOWN_METHOD;
            reply_exception(context, client, &message, code, "no such method");
        }
    }
    Ok(())
}

fn handle_request(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    message: &Message<'_>,
) -> Result<(), ReasonCode> {
    // Malformed arguments end the connection, as they do at a node.
    thrift::process_args(message.args)?;
    if client.open_requests.borrow().contains_key(&message.seq) {
        return Err("seq_repeated");
    }
    client.on_call();
    let open = client.open_requests.borrow().len();
    let result = if open < MAX_PIPELINED_REQUESTS {
        context.on_request(client, message.seq, message.args)
    } else {
        Err(RequestError::TooManyOpenRequests)
    };
    if let Err(error) = result {
        let code = thrift::INTERNAL_ERROR;
        reply_exception(context, client, message, code, &error.to_string());
    }
    Ok(())
}

fn handle_cancellation(
    context: &Rc<ForwarderContext>,
    client: &ClientConnection,
    message: &Message<'_>,
) -> Result<(), ReasonCode> {
    if let Some(sequence_number) = thrift::give_up_args(message.args)? {
        let request_id = client.open_requests.borrow_mut().remove(&sequence_number);
        if let Some(request_id) = request_id {
            context.on_caller_gone(request_id);
        }
    }
    Ok(())
}

/// Answers a call with an exception; a oneway message is not answered.
fn reply_exception(
    context: &ForwarderContext,
    client: &ClientConnection,
    message: &Message<'_>,
    code: i32,
    reason: &str,
) {
    increment(&context.counters.exceptions);
    if !message.oneway {
        client.send_answer(&thrift::exception(message.name, message.seq, code, reason));
    }
}
