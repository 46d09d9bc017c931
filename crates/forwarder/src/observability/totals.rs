//! Metrics without labels, read from the context when the metrics are requested. External tools depend on their names
//! and help texts.

use crate::admin::ConfigSourceLine;
use crate::ForwarderContext;

/// A metric without labels.
pub(super) struct Total {
    pub(super) name: &'static str,
    pub(super) help: &'static str,
    pub(super) read: fn(&ForwarderContext) -> u64,
}

const fn total(
    name: &'static str,
    help: &'static str,
    read: fn(&ForwarderContext) -> u64,
) -> Total {
    Total { name, help, read }
}

/// All metrics without labels, in output order.
pub(super) const TOTALS: [Total; 20] = [
    total(
        "tickets_in_hand",
        "Tickets without an answer yet",
        |context| context.requests.len() as u64,
    ),
    total("connections", "Connections of dispatchers", |context| {
        context.clients.borrow().len() as u64
    }),
    total("links", "Connections to members", |context| {
        context.upstreams.connection_count() as u64
    }),
    total("accepted", "Connections taken since the start", |context| {
        context.counters.accepted_connections.get()
    }),
    total(
        "refused_connections",
        "Connections past the bound",
        |context| context.counters.refused_connections.get(),
    ),
    total(
        "exceptions",
        "Messages that were answered with an exception",
        |context| context.counters.exceptions.get(),
    ),
    total(
        "full",
        "Dismissed while leaving, or past the bound of tickets",
        |context| context.counters.overload_rejections.get(),
    ),
    total(
        "broken_links",
        "Connections to members that broke",
        |context| context.counters.broken_upstream_connections.get(),
    ),
    total(
        "late_answers",
        "Answers to tries that were over, dropped",
        |context| context.counters.late_answers.get(),
    ),
    total(
        "unreadable",
        "Words of members that are no answer",
        |context| context.counters.unreadable_replies.get(),
    ),
    total(
        "unsent",
        "Tries that had not left when their link broke",
        |context| context.counters.unsent_attempts.get(),
    ),
    total(
        "limit_buckets",
        "Counters of limits that are in use",
        |context| context.fleet.borrow().router().bucket_usage().in_use as u64,
    ),
    total(
        "no_bucket",
        "Dismissed since all counters of limits were in use",
        |context| context.fleet.borrow().router().counts().no_bucket,
    ),
    total(
        "version",
        "Number of the present configuration",
        |context| context.fleet.borrow().version(),
    ),
    total(
        "control_version",
        "The published version in force; 0: none",
        |context| read_config_source(context, |source| source.version),
    ),
    total(
        "control_age_ms",
        "Since the version in force was last known to be the newest",
        |context| read_config_source(context, |source| source.age_ms),
    ),
    total(
        "control_attached",
        "1 while a control machine tells the versions",
        |context| read_config_source(context, |source| u64::from(source.server.is_some())),
    ),
    total("control_lost", "Attachments that ended", |context| {
        read_config_source(context, |source| source.lost_attachments)
    }),
    total("control_refused", "Versions refused here", |context| {
        read_config_source(context, |source| source.rejected_versions)
    }),
    total(
        "control_write_failures",
        "Failed attempts to store a version",
        |context| read_config_source(context, |source| source.failed_writes),
    ),
];

/// A value of the subscription to the config servers; 0 if there is none.
fn read_config_source(context: &ForwarderContext, read: fn(&ConfigSourceLine) -> u64) -> u64 {
    context
        .config_source
        .borrow()
        .as_ref()
        .map_or(0, |source| read(&source()))
}
