//! Why a request is answered with an exception. The text goes to the caller.

use rainstand_protocol::thrift::ReasonCode;

/// Why a request could not be taken; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Its arguments are no Thrift in the strict binary protocol.
    #[error("{0}")]
    Unreadable(ReasonCode),
    /// A field that must be text is not UTF-8.
    #[error("a field is no text")]
    FieldNotText,
    /// It names no request class of the configuration.
    #[error("route: not known")]
    UnknownRequestClass,
    /// Its connection has as many open requests as the protocol allows.
    #[error("too many open tickets on this connection")]
    TooManyOpenRequests,
}
