//! The pending answer of a request, which is sent exactly once.

use crate::connection::Connection;
use crate::counters::{count, Counts};
use crate::thrift;
use rainstand::{Rejection, RetryElsewhere};
use std::rc::Rc;

/// The pending answer of a request. Sending it consumes this value, so that there is never a second answer.
pub struct PendingReply {
    /// The connection on which the answer is sent.
    pub conn: Rc<Connection>,
    /// The sequence number of its call.
    pub seq: i32,
}

impl PendingReply {
    /// Answers with a result.
    pub fn serve(self, counts: &Counts, body: &[u8]) {
        count(&counts.honoured);
        self.conn.has_served.set(true);
        let frame = thrift::answer(b"process", self.seq, body, true);
        self.send_final(&frame);
    }

    /// Answers that nothing ran, when to retry, and whether retrying elsewhere is discouraged.
    pub fn reject(self, counts: &Counts, rejection: Rejection) {
        count(&counts.dismissed);
        self.conn.has_served.set(true);
        let pause = rejection.retry_after.as_millis().to_string();
        let terminal = rejection.retry_elsewhere == RetryElsewhere::Discouraged;
        let mut texts = vec![("pause", pause.as_str())];
        texts.extend(terminal.then_some(("terminal", "1")));
        let frame = thrift::backoff(self.seq, &texts);
        self.send_final(&frame);
    }

    /// Answers that there is no result; the request may have run.
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
