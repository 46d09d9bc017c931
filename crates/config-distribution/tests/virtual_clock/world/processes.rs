//! Processes: connecting, applying versions, restarting.

use super::*;

impl World {
    pub(super) fn dial_when_due(&mut self, k: usize) {
        if let Some(due) = self.processes[k].policy.next_deadline() {
            let incarnation = self.processes[k].incarnation;
            self.schedule(
                due.saturating_sub(self.now),
                Operation::Connect(k, incarnation),
            );
        }
    }

    pub(super) fn dial(&mut self, k: usize) {
        let Some(server) = self.processes[k].policy.next_server(self.now) else {
            return;
        };
        self.close(k, false);
        let process = &mut self.processes[k];
        let incarnation = process.incarnation;
        if std::mem::replace(&mut process.dialled, true) {
            let now = self.now;
            let server = &mut self.servers[server];
            server
                .recent_dials
                .retain(|at| now.saturating_sub(*at) < DIAL_WINDOW);
            server.recent_dials.push_back(now);
            let most = self.processes.len() / 6 + 8;
            let came = server.recent_dials.len();
            assert!(
                came <= most,
                "{came} processes came to one server within {DIAL_WINDOW:?}; {most} may"
            );
            server.max_dials = server.max_dials.max(came);
        }
        if self.is_partitioned(k, server) {
            self.schedule(ms(1_000), Operation::ConnectFailed(k, incarnation));
        } else if self.servers[server].publisher.is_none() {
            self.schedule(ms(1), Operation::ConnectFailed(k, incarnation));
        } else {
            let wait = self.delay();
            self.schedule(
                wait,
                Operation::Connected {
                    process: k,
                    incarnation,
                    server,
                },
            );
        }
    }

    pub(super) fn connected(&mut self, k: usize, server: usize) {
        if self.servers[server].publisher.is_none() || self.is_partitioned(k, server) {
            self.processes[k].policy.on_disconnected(self.now);
            return self.dial_when_due(k);
        }
        let incarnation = self.servers[server].incarnation;
        let link = Link {
            process: k,
            server,
            incarnation,
            open: [true; 2],
            silent: false,
            last: [self.now; 2],
            down: 0,
        };
        self.links.push(link);
        self.processes[k].link = Some(self.links.len() - 1);
        self.processes[k].attached = false;
        self.processes[k].subscriber.on_connected(self.now);
        self.run_subscriber_effects(k);
    }

    /// The process closes its link. Frames in transit on it may still be scheduled.
    pub(super) fn close(&mut self, k: usize, quietly: bool) {
        let Some(link) = self.processes[k].link.take() else {
            return;
        };
        self.processes[k].subscriber.on_link_closed();
        self.processes[k].attached = false;
        self.links[link].open[0] = false;
        if !quietly && !self.links[link].silent {
            let wait = self.delay();
            self.schedule(wait, Operation::LinkEnded(link));
        }
    }

    pub(super) fn lose_server(&mut self, k: usize) {
        self.close(k, false);
        self.processes[k].policy.on_disconnected(self.now);
        self.dial_when_due(k);
    }

    pub(super) fn run_subscriber_effects(&mut self, k: usize) {
        for effect in self.processes[k]
            .subscriber
            .take_effects()
            .collect::<Vec<_>>()
        {
            match effect {
                Effect::Send(frame) => {
                    let holds = self.processes[k].subscriber.version();
                    if let Ok(ClientMessage::Ack(ack)) = ClientMessage::from_frame(frame.clone()) {
                        assert_eq!(ack.version, holds, "confirmed before it was in force");
                        let process = &self.processes[k];
                        assert!(
                            !process.has_disk || ack.version <= process.disk_version,
                            "confirmed before it was stored"
                        );
                    }
                    if let Some(link) = self.processes[k].link {
                        self.transmit(link, frame, false);
                    }
                }
                Effect::Store(version) => {
                    let slow = self.processes[k].slow && !self.faults_over;
                    let wait = ms(self.rng.generate_range(1..if slow { 8_000 } else { 40 }));
                    let incarnation = self.processes[k].incarnation;
                    self.schedule(
                        wait,
                        Operation::Written {
                            process: k,
                            incarnation,
                            version,
                        },
                    );
                }
                Effect::Apply(version) => {
                    let slow = self.processes[k].slow && !self.faults_over;
                    let wait = ms(self.rng.generate_range(1..if slow { 8_000 } else { 40 }));
                    let incarnation = self.processes[k].incarnation;
                    self.schedule(
                        wait,
                        Operation::Applied {
                            process: k,
                            incarnation,
                            version,
                        },
                    );
                }
                Effect::RetryAfter { after, target } => {
                    self.close(k, false);
                    self.processes[k]
                        .policy
                        .on_retry_after(self.now, after, target);
                    self.dial_when_due(k);
                }
                Effect::Close => self.lose_server(k),
                Effect::Event(event) => match event {
                    Event::Diverged { .. } => self.summary.divergences += 1,
                    Event::Gap { .. } => self.summary.gaps += 1,
                    Event::Rejected { .. } => self.summary.rejections += 1,
                    Event::Malformed => panic!("a frame that was sent could not be read"),
                    Event::StoreFailed { .. } => self.summary.failed_writes += 1,
                    Event::Applied { .. } | Event::Stored { .. } => {}
                },
            }
        }
    }

    /// The driver wrote a version to the disk, or could not.
    pub(super) fn written(&mut self, k: usize, version: u64) {
        let fails = self.occurs_one_in(20);
        let now = self.now;
        let process = &mut self.processes[k];
        let state = match process.subscriber.pending() {
            Some(PendingUpdate::Snapshot { state, .. }) => state.clone(),
            Some(PendingUpdate::Delta(delta)) => {
                let mut state = process.subscriber.state().clone();
                state.apply(delta).expect("validated");
                state
            }
            None => panic!("nothing was to be written"),
        };
        if fails {
            process.subscriber.on_store_failed(now, version, "no space");
        } else {
            process.previous_disk = process.disk.take();
            process.disk = Some(snapshot::encode(version, &state).expect("small"));
            process.disk_version = version;
            process.subscriber.on_stored(version);
        }
        self.run_subscriber_effects(k);
    }

    /// The driver applied a version, or rejects it.
    pub(super) fn applied(&mut self, k: usize, version: u64) {
        let process = &mut self.processes[k];
        if process.subscriber.pending().map(PendingUpdate::version) != Some(version) {
            return;
        }
        let version_before = process.subscriber.version();
        if self.rejected_versions.contains(&version) && k.is_multiple_of(3) {
            process.subscriber.on_rejected(version, "not here");
            assert_eq!(process.subscriber.version(), version_before);
            // A restart cannot apply it either, and begins with the version before.
            process.disk = process.previous_disk.take();
            process.disk_version = version_before;
        } else {
            process.subscriber.on_applied(version);
            let (version_after, state) = (process.subscriber.version(), process.subscriber.state());
            assert!(version_after >= version_before, "a version went back");
            self.summary.applied += 1;
            assert_eq!(
                state.digest(),
                self.digests[version_after as usize],
                "in force in part: version {version}"
            );
            if self.rng.generate_range(0..4) == 0 {
                assert!(state.verify_digest(), "in force in part: version {version}");
            }
        }
        self.run_subscriber_effects(k);
    }

    pub(super) fn restart(&mut self, k: usize) {
        self.close(k, false);
        let now = self.now;
        let corrupt = self.corruption_enabled && self.rng.generate_range(0..3) == 0;
        let seed = self.rng.generate();
        let process = &mut self.processes[k];
        process.incarnation += 1;
        process.dialled = false;
        process.policy = AttachmentPolicy::new(now, &process.identity, &self.names, seed);
        let in_force = match &process.disk {
            Some(disk) => {
                let DecodedSnapshot { version, state } = snapshot::decode(disk).expect("its own");
                let state = if corrupt {
                    corrupted_state(&state)
                } else {
                    state
                };
                DecodedSnapshot { version, state }
            }
            None => DecodedSnapshot::default(),
        };
        assert!(
            !process.has_disk || in_force.version >= process.subscriber.version(),
            "a version that was in force is lost at a restart"
        );
        process.subscriber = new_subscriber(now, &process.identity, in_force, process.has_disk);
        let incarnation = process.incarnation;
        self.schedule(ms(0), Operation::CheckServer(k, incarnation));
        self.schedule(ms(0), Operation::CheckWrites(k, incarnation));
        self.dial_when_due(k);
    }
}

/// The state with one resource changed and a matching digest, as from a corrupted disk.
fn corrupted_state(state: &ConfigState) -> ConfigState {
    let mut configuration = state
        .configuration()
        .expect("an applied state can be decoded");
    if let Some(tenant) = configuration.tenants.first_mut() {
        tenant.share ^= 1;
    }
    ConfigState::from_configuration(&configuration).expect("names are unique")
}
