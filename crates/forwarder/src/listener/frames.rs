//! Calls of clients: complete frames are cut out of the bytes, and each is answered or handed on.

use super::ClientConnection;
use crate::observability::increment;
use crate::socket::{FRAME_HEADER_BYTES, MAX_PIPELINED_REQUESTS};
use crate::{ForwarderContext, RequestError};
use rainstand_protocol::ring::Ring;
use rainstand_protocol::thrift::{self, Message, ReasonCode};
use std::rc::Rc;

/// Takes all complete frames.
///
/// # Errors
/// The code for which the connection ends.
pub(super) fn take_frames(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    inbound: &mut Ring,
) -> Result<(), ReasonCode> {
    while let Some(length) = thrift::frame(inbound.bytes())? {
        let frame_end = FRAME_HEADER_BYTES + length;
        let frame = &inbound.bytes()[FRAME_HEADER_BYTES..frame_end];
        take_frame(context, client, frame)?;
        inbound.drop_front(frame_end);
    }
    Ok(())
}

fn take_frame(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    frame: &[u8],
) -> Result<(), ReasonCode> {
    let message = thrift::message(frame)?;
    match message.name {
        b"process" if !message.oneway => take_request(context, client, &message)?,
        b"giveUp" => take_cancellation(context, client, &message)?,
        b"probe" => {
            thrift::probe_args(message.args)?;
            client.on_call();
            let is_well = !context.drain.is_draining();
            client.send_notice(&thrift::answer(b"probe", message.seq, &[], is_well));
        }
        _ => {
            let code = thrift::UNKNOWN_METHOD;
            reply_exception(context, client, &message, code, "no such method");
        }
    }
    Ok(())
}

fn take_request(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    message: &Message<'_>,
) -> Result<(), ReasonCode> {
    // Arguments that cannot be read end the connection, as at a node.
    thrift::process_args(message.args)?;
    if client.open_requests.borrow().contains_key(&message.seq) {
        return Err("seq_repeated");
    }
    client.on_call();
    let open = client.open_requests.borrow().len();
    let taken = if open < MAX_PIPELINED_REQUESTS {
        context.on_request(client, message.seq, message.args)
    } else {
        Err(RequestError::TooManyOpenRequests)
    };
    if let Err(error) = taken {
        let code = thrift::INTERNAL_ERROR;
        reply_exception(context, client, message, code, &error.to_string());
    }
    Ok(())
}

fn take_cancellation(
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

/// Answers a call with an exception; a oneway message gets no answer.
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
