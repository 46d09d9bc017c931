//! Runs several processes of the program on loopback, injects faults between them, and checks afterwards whether the
//! invariants held.
//!
//! | module | purpose | I/O |
//! | --- | --- | --- |
//! | [`history`] | observations of callers and agents, one JSON object per line | reads a stream |
//! | [`check`] | whether a history satisfies the invariants, independent of the run | none |
//! | [`fault_schedule`] | derives a schedule of faults from a testbed scenario (rig) and a seed | none |
//! | [`shrink`] | finds a smaller schedule that still fails | none |
//! | [`proxy`] | a link between two processes, with faults in each direction | sockets |
//! | [`process`] | child processes: started, stopped, killed | processes |
//! | [`peers`] | test agent and caller, each in a separate process | sockets |
//! | [`simulation`] | members of a group on a virtual clock, with faulty disks and links; deterministic by seed | none |
//! | [`soak`] | processes in use until their kill, with signals in series, crowds and publishes | all of it |
//! | [`ready`] | concurrent restart of many processes, and the time until each is ready | all of it |
//! | [`scale`] | resource cost of the program by size, measured on this machine and extrapolated | processes, sockets |
//! | [`scenario`] | one run: starts the processes, executes the schedule, collects the history | all of it |

pub mod check;
pub mod fault_schedule;
pub mod history;
pub mod peers;
pub mod process;
pub mod proxy;
pub mod ready;
pub mod run_identity;
pub mod scale;
pub mod scenario;
pub mod shrink;
pub mod simulation;
pub mod soak;
