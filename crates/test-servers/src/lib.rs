//! Scripted peers for tests, benches and examples, all on loopback.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`script`] | the small format that says how a server behaves, when and to whom; no I/O |
//! | [`server`] | a server on a thread of its own that behaves as its script says |
//! | [`caller`] | a caller: sends requests, reads replies, cancels |
//! | [`recorder`] | records all of it for the checker of the four rules |
//! | [`size`] | configurations at the operators' size in two years, or a part of it |
//!
//! Nothing here serves in a product; `rainstand lab load` starts servers to measure against.

pub mod caller;
pub mod recorder;
pub mod script;
pub mod server;
pub mod size;
