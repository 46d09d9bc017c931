//! Dispatch of scheduled operations.

use super::*;

impl World {
    /// Carries out one scheduled operation.
    pub(super) fn step(&mut self, operation: Operation) {
        match operation {
            Operation::Commit => self.commit(),
            Operation::ApplyLog {
                publisher,
                incarnation,
                log_end,
            } => self.apply_log(publisher, incarnation, log_end),
            Operation::Tick(k, incarnation) => self.tick(k, incarnation),
            Operation::Connect(k, incarnation) if self.processes[k].incarnation == incarnation => {
                self.dial(k)
            }
            Operation::ConnectFailed(k, incarnation)
                if self.processes[k].incarnation == incarnation =>
            {
                self.processes[k].policy.on_disconnected(self.now);
                self.dial_when_due(k);
            }
            Operation::Connected {
                process,
                incarnation,
                server,
            } if self.processes[process].incarnation == incarnation => {
                self.connected(process, server);
            }
            Operation::ToSubscriber { link, frame, on } => {
                self.deliver_to_subscriber(link, frame, on)
            }
            Operation::ToPublisher { link, frame } => self.deliver_to_publisher(link, frame),
            Operation::LinkEnded(link) => self.end_link(link),
            Operation::CheckServer(k, incarnation)
                if self.processes[k].incarnation == incarnation =>
            {
                if self.processes[k].subscriber.is_server_lost(self.now) {
                    self.lose_server(k);
                }
                self.schedule(ms(1_000), Operation::CheckServer(k, incarnation));
            }
            Operation::Applied {
                process,
                incarnation,
                version,
            } if self.processes[process].incarnation == incarnation => {
                self.applied(process, version);
            }
            Operation::Written {
                process,
                incarnation,
                version,
            } if self.processes[process].incarnation == incarnation => {
                self.written(process, version);
            }
            Operation::CheckWrites(k, incarnation)
                if self.processes[k].incarnation == incarnation =>
            {
                self.processes[k].subscriber.on_tick(self.now);
                self.run_subscriber_effects(k);
                self.schedule(ms(500), Operation::CheckWrites(k, incarnation));
            }
            Operation::StopServer(k) => self.stop_server(k),
            Operation::StartServer(k) => self.start_server(k),
            Operation::RestartProcess(k) => self.restart(k),
            Operation::Disconnect(k) => {
                if let Some(link) = self.processes[k].link {
                    self.step(Operation::LinkEnded(link));
                }
            }
            Operation::Blackhole(k) => {
                if let Some(link) = self.processes[k].link {
                    self.links[link].silent = true;
                }
            }
            Operation::Partition => self.partition(),
            Operation::Heal => self.heal(),
            _ => {}
        }
    }
}
