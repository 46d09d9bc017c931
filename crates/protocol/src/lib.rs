//! The wire formats shared by the programs of this workspace. Parsing is stateless, and all lengths are bounded.
//!
//! | module | format |
//! | --- | --- |
//! | [`thrift`] | frames, calls and answers of the `Front` service, for clients and servers |
//! | [`http`] | HTTP/1.1 replies, for clients |
//! | [`ring`] | the buffer of one direction of a connection |
//!
//! Names on the wire differ from the names used in the programs:
//!
//! | on the wire | in the programs |
//! | --- | --- |
//! | `process`, its `route` and `customer` | a request, its request class and tenant |
//! | `redo` | the mark of a retry |
//! | `Answer` | served: the result |
//! | `Backoff`, its `pause` and `terminal` | rejected: retry-after, and whether no other server should be tried |
//! | `Lost` | failed: it may have run |
//! | `giveUp` | the caller cancels a request |
//! | `probe` | health check |
//! | `shutdown` | the server drains |

pub mod http;
pub mod ring;
pub mod thrift;
