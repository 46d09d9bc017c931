//! The one answer that a request is owed.

use crate::connection::Connection;
use crate::counters::{count, Counts};
use crate::thrift;
use std::rc::Rc;
use std::time::Duration;

/// The one answer that a ticket is owed; giving it uses this up, so there is never a second.
pub struct PendingReply {
    pub conn: Rc<Connection>,
    pub seq: i32,
}

impl PendingReply {
    pub fn serve(self, counts: &Counts, body: &[u8]) {
        count(&counts.honoured);
        self.conn.is_known.set(true);
        let frame = thrift::answer(b"process", self.seq, body, true);
        self.send_final(&frame);
    }

    pub fn reject(self, counts: &Counts, come_back: Duration, nowhere_else: bool) {
        count(&counts.dismissed);
        self.conn.is_known.set(true);
        let pause = come_back.as_millis().to_string();
        let mut texts = vec![("pause", pause.as_str())];
        texts.extend(nowhere_else.then_some(("terminal", "1")));
        let frame = thrift::backoff(self.seq, &texts);
        self.send_final(&frame);
    }

    pub fn fail(self, counts: &Counts) {
        count(&counts.given_up);
        let frame = thrift::lost(self.seq);
        self.send_final(&frame);
    }

    fn send_final(self, frame: &[u8]) {
        self.conn.open_requests.borrow_mut().remove(&self.seq);
        self.conn.send(frame);
    }
}
