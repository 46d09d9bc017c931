//! One simulated node: translates its events to calls of its admission controller.

use crate::event::{NodeEvent, RequestEvent};
use crate::policy_host::PolicyHost;
use crate::MessageError;
use rainstand::{AdmissionController, Arrival, Gauges, Outcome, RetryOf};
use rainstand_settings::fields::{
    duration, flag, object, optional, seconds, text_of, unsigned, Fields,
};
use rainstand_settings::{Machine, SettingsError, Start};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// An admission controller with its host and the indices of classes and tenants by name.
pub(crate) struct Node {
    controller: AdmissionController,
    host: PolicyHost,
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
}

impl Node {
    /// Starts a node with the settings of a `born` message.
    pub(crate) fn start(
        name: String,
        now: Duration,
        fields: &Fields,
    ) -> Result<Self, MessageError> {
        let seed = unsigned(fields, "entropy")?;
        let settings = object(fields, "facts")?;
        let machine = Machine {
            started: now,
            ..Machine::default()
        };
        let start = Start::read(settings, seed, machine)?;
        let mut node = Self {
            controller: start.controller,
            host: PolicyHost::new(name, start.can_cancel_runs),
            classes: start.classes,
            tenants: start.tenants,
        };
        node.controller.begin(now, &mut node.host);
        Ok(node)
    }

    /// Moves the encoded orders given so far to the end of `reply`.
    pub(crate) fn take_orders(&mut self, reply: &mut Vec<u8>) {
        self.host.take_orders(reply);
    }

    /// Handles an event of this node.
    pub(crate) fn handle(
        &mut self,
        now: Duration,
        event: NodeEvent,
        fields: &Fields,
    ) -> Result<(), MessageError> {
        let (controller, host) = (&mut self.controller, &mut self.host);
        match event {
            NodeEvent::ShutdownNotice => {
                controller.on_shutdown_notice(now, host, duration(fields, "patienceLeftS")?);
            }
            NodeEvent::Tick => controller.on_tick(now, host, gauges(object(fields, "gauge")?)?),
            NodeEvent::Arrival => {
                let id = unsigned(fields, "req")?;
                let arrival = self.arrival(fields)?;
                let index = self.host.add_request(id);
                self.controller
                    .on_arrival(now, &mut self.host, index, &arrival);
            }
            NodeEvent::Request(event) => self.handle_request_event(now, event, fields)?,
        }
        Ok(())
    }

    /// Handles an event of a request; ignores it if the request is not in flight any more.
    fn handle_request_event(
        &mut self,
        now: Duration,
        event: RequestEvent,
        fields: &Fields,
    ) -> Result<(), MessageError> {
        let (controller, host) = (&mut self.controller, &mut self.host);
        let id = unsigned(fields, "req")?;
        let Some(index) = host.index_of(id) else {
            return Ok(());
        };
        match event {
            RequestEvent::RunFinished => {
                controller.on_run_finished(now, host, index, outcome(fields)?);
            }
            RequestEvent::CallFinished => {
                controller.on_call_finished(now, host, index, outcome(fields)?);
            }
            RequestEvent::DownstreamCall => controller.on_downstream_call(now, host, index),
            RequestEvent::CallerGone => controller.on_caller_gone(now, host, index),
        }
        Ok(())
    }

    fn arrival(&self, fields: &Fields) -> Result<Arrival, MessageError> {
        let class = text_of(fields, "type")?;
        let class_index = self.classes.get(class).copied();
        let retry_of = match fields.get("prior").and_then(Value::as_u64).unwrap_or(0) {
            0 => RetryOf::No,
            id => self
                .host
                .index_of(id)
                .map_or(RetryOf::Finished, RetryOf::Of),
        };
        let tenant = fields.get("billing").and_then(Value::as_str);
        Ok(Arrival {
            class: class_index.ok_or_else(|| MessageError::UnknownClass {
                class: class.to_owned(),
            })?,
            tenant: tenant.and_then(|name| self.tenants.get(name).copied()),
            waited: duration(fields, "layS")?,
            caller_timeout: positive_duration(fields, "patienceLeftS")?,
            retry_of,
            size_hint: positive_duration(fields, "sizeHintS")?,
            held_kb: optional(fields, "heldKb")?.unwrap_or(0.0),
            is_retry: flag(fields, "againByClient"),
        })
    }
}

fn gauges(fields: &Fields) -> Result<Gauges, SettingsError> {
    Ok(Gauges {
        cores_busy: optional(fields, "core_use")?,
        runnable: optional(fields, "on_cores")?,
        memory: optional(fields, "heap_share")?,
        connections: optional(fields, "links")?,
    })
}

/// An optional duration; `None` if the field is missing, zero or negative.
fn positive_duration(fields: &Fields, key: &str) -> Result<Option<Duration>, SettingsError> {
    let number = optional(fields, key)?.filter(|number| *number > 0.0);
    number.map(seconds).transpose()
}

fn outcome(fields: &Fields) -> Result<Outcome, MessageError> {
    Ok(match text_of(fields, "reason")? {
        "done" => Outcome::Succeeded,
        "err" => Outcome::Failed,
        "busy" => Outcome::Rejected,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::Unreachable,
        "econnreset" => Outcome::Disconnected,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::NeverStarted,
        other => {
            return Err(MessageError::UnknownReason {
                word: other.to_owned(),
            })
        }
    })
}
