//! The node's implementation of the tasks that the request table starts.

use crate::context::NodeContext;
use crate::request_table::{CallOrder, NodeTasks};
use crate::{completion, downstream, idempotency};
use bytes::Bytes;
use rainstand_replicated_state::idempotency::ClaimOutcome;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

impl NodeTasks for NodeContext {
    fn make_call(self: Rc<Self>, order: CallOrder) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(async move {
            let reply = downstream::call(&self, &order).await;
            completion::on_call_ended(&self, order.index, order.serial, reply.outcome, reply.body);
        })
    }

    fn on_claim_outcome(&self, index: usize, serial: u64, outcome: Option<ClaimOutcome>) {
        self.drive_policy(|_, _, table| {
            idempotency::on_claim_outcome(table, index, serial, outcome);
        });
    }

    fn on_result_outcome(&self, number: u64, result: &Bytes, outcome: Option<ClaimOutcome>) {
        let table = &mut self.core.borrow_mut().table;
        idempotency::on_result_outcome(table, number, result, outcome);
    }
}
