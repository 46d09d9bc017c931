//! Several processes of the program on loopback, the faults between them, and the checkers that say afterwards whether
//! the rules held.
//!
//! | module | what it is | I/O |
//! | --- | --- | --- |
//! | [`history`] | what callers and agents saw, one JSON object a line | reads a stream |
//! | [`check`] | whether a history keeps the rules; knows nothing of the run | none |
//! | [`fault_schedule`] | a rig of a configuration and a seed to a schedule of faults | none |
//! | [`shrink`] | a smaller schedule that still fails | none |
//! | [`proxy`] | a link between two processes, with two directions that can be broken | sockets |
//! | [`process`] | child processes: started, stopped, killed | processes |
//! | [`peers`] | stand-in agent and caller, each a process of its own | sockets |
//! | [`simulation`] | members of a group on a virtual clock, with faulty disks and links; a seed replays to the byte | none |
//! | [`soak`] | processes used until their kill, with signals in series, crowds and publishes | all of it |
//! | [`ready`] | many processes restarted at once, and how long each takes until it is ready | all of it |
//! | [`scale`] | what the program costs by size, measured here and worked out at a size | processes, sockets |
//! | [`scenario`] | one run: all of it started, the schedule played, the history gathered | all of it |

pub mod check;
pub mod fault_schedule;
pub mod history;
pub mod peers;
pub mod play_identity;
pub mod process;
pub mod proxy;
pub mod ready;
pub mod scale;
pub mod scenario;
pub mod shrink;
pub mod simulation;
pub mod soak;
