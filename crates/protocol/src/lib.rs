//! The wire formats that programs of this workspace share: bytes in, values out, nothing kept, everything bounded.
//!
//! | module | format |
//! | --- | --- |
//! | [`thrift`] | frames, calls and answers of the `Front` service, both sides |
//! | [`http`] | replies of HTTP/1.1, as a client needs them |
//! | [`ring`] | the buffer of one direction of a connection |
//!
//! This is the edge at which the wire's own words are met. What they mean inside:
//!
//! | on the wire | in the programs |
//! | --- | --- |
//! | `process`, its `route` and `customer` | a request, its request class and tenant |
//! | `redo` | the mark of a retry |
//! | `Answer` | served: the result |
//! | `Backoff`, its `pause` and `terminal` | rejected: retry-after, and that no other server should be tried |
//! | `Lost` | failed: it may have run |
//! | `giveUp` | the caller cancels a request |
//! | `probe` | health check |
//! | `shutdown` | the server drains |

pub mod http;
pub mod ring;
pub mod thrift;
