//! Reasons to answer a request with an exception. The text is sent to the caller.

use rainstand_protocol::thrift::ReasonCode;

/// Why a request was not accepted; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The arguments are not valid in Thrift's strict binary protocol.
    #[error("{0}")]
    Unreadable(ReasonCode),
    /// A field that must be text is not UTF-8.
    #[error("a field is no text")]
    FieldNotText,
    /// The request class is not in the configuration.
    #[error("route: not known")]
    UnknownRequestClass,
    /// The connection already has as many open requests as the protocol allows.
    #[error("too many open tickets on this connection")]
    TooManyOpenRequests,
}
