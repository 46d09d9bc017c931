//! The simulated nodes of one process, and the dispatch of messages to them.

use crate::event::{Message, NodeEvent};
use crate::node::Node;
use crate::MessageError;
use rainstand_settings::fields::{duration, text_of, Fields};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// The nodes of this process; they share only the clock.
#[derive(Default)]
pub(crate) struct Fleet {
    now: Duration,
    nodes: BTreeMap<String, Node>,
}

/// The result of handling a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Handled {
    /// An event was handled; the batch continues.
    Event,
    /// The batch has ended; its reply is complete.
    EndOfBatch,
}

impl Fleet {
    /// Handles one message and appends the resulting orders to `reply`. Unknown messages are ignored.
    pub(crate) fn handle(
        &mut self,
        text: &[u8],
        reply: &mut Vec<u8>,
    ) -> Result<Handled, MessageError> {
        let value: Value = serde_json::from_slice(text).map_err(MessageError::NotJson)?;
        let Value::Object(fields) = value else {
            return Err(MessageError::NotAnObject);
        };
        let name = text_of(&fields, "msg")?;
        match Message::from_name(name) {
            Message::Clock => self.now = duration(&fields, "atTimeS")?,
            Message::EndOfBatch => {
                reply.extend_from_slice(b"{\"msg\":\"done\"}\n");
                return Ok(Handled::EndOfBatch);
            }
            Message::NodeStarted => self.start_node(name, &fields, reply)?,
            Message::NodeStopped => {
                self.nodes.remove(text_of(&fields, "nodeId")?);
            }
            Message::Node(event) => self.node_event(name, event, &fields, reply)?,
            Message::Unknown => {}
        }
        Ok(Handled::Event)
    }

    /// Starts the node described in a message with the name `message`.
    fn start_node(
        &mut self,
        message: &str,
        fields: &Fields,
        reply: &mut Vec<u8>,
    ) -> Result<(), MessageError> {
        let name = text_of(fields, "nodeId")?.to_owned();
        let started = Node::start(name.clone(), self.now, fields);
        let mut node = started.map_err(|error| error.in_event(message))?;
        node.take_orders(reply);
        self.nodes.insert(name, node);
        Ok(())
    }

    /// Passes the event in a message with the name `message` to its node.
    fn node_event(
        &mut self,
        message: &str,
        event: NodeEvent,
        fields: &Fields,
        reply: &mut Vec<u8>,
    ) -> Result<(), MessageError> {
        let name = text_of(fields, "nodeId")?;
        let unknown = || MessageError::UnknownNode {
            event: message.to_owned(),
            node: name.to_owned(),
        };
        let node = self.nodes.get_mut(name).ok_or_else(unknown)?;
        let handled = node.handle(self.now, event, fields);
        handled.map_err(|error| error.in_event(message))?;
        node.take_orders(reply);
        Ok(())
    }
}
