//! Scripted servers and callers for tests, benches and examples, all on loopback.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`script`] | the format of the scripts that describe a server's behaviour; no I/O |
//! | [`server`] | a server on its own thread that follows a script |
//! | [`caller`] | a caller: sends requests, reads replies, cancels |
//! | [`recorder`] | records runs, requests and answers for the invariant checker |
//! | [`size`] | configurations at the fleet size projected for two years ahead, or a fraction of it |
//!
//! Nothing here is used in production; `rainstand lab load` starts these servers to measure against them.

pub mod caller;
pub mod recorder;
pub mod script;
pub mod server;
pub mod size;
