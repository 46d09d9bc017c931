//! The wire formats that programs of this workspace share: pure over bytes, bounded, nothing kept.
//!
//! | module | format |
//! | --- | --- |
//! | [`thrift`] | frames, calls and answers of the `Front` service, both sides |
//! | [`http`] | replies of HTTP/1.1, as a client needs them |
//! | [`ring`] | the buffer of one direction of a connection |

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod http;
pub mod ring;
pub mod thrift;
