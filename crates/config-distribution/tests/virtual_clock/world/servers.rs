//! Config servers: the log that reaches them, and the frames that they send.

use super::*;

impl World {
    /// Starts a server from its disk; the rest of the log follows.
    pub(super) fn start_server(&mut self, k: usize) {
        if self.servers[k].publisher.is_some() {
            return;
        }
        let (limits, now, seed) = (self.limits, self.now, self.rng.generate());
        let server = &mut self.servers[k];
        server.incarnation += 1;
        let mut publisher = Publisher::new(now, limits, seed);
        if let Some(disk) = server.disk.clone() {
            publisher.restore(now, disk).expect("its own snapshot");
        }
        server.applied_entries = publisher.version() as usize;
        server.publisher = Some(publisher);
        let incarnation = server.incarnation;
        let log_end = self.log.len();
        if self.reaches_leader(k) {
            self.schedule(
                ms(300),
                Operation::ApplyLog {
                    publisher: k,
                    incarnation,
                    log_end,
                },
            );
        }
        self.schedule(ms(0), Operation::Tick(k, incarnation));
    }

    pub(super) fn stop_server(&mut self, k: usize) {
        if self.servers[k].publisher.take().is_none() {
            return;
        }
        for link in 0..self.links.len() {
            let of = &mut self.links[link];
            if of.server == k && of.open[0] && !of.silent {
                of.open[1] = false;
                let wait = self.delay();
                self.schedule(wait, Operation::LinkEnded(link));
            }
        }
    }

    pub(super) fn commit(&mut self) {
        let touched = (0..self.servers.len())
            .any(|k| self.servers[k].publisher.is_some() && self.reaches_leader(k));
        if !touched {
            return;
        }
        let to = self.log.len() as u64 + 1;
        if to > 1 {
            self.change();
        }
        let delta = self
            .state
            .delta_to(to - 1, to, &self.configuration)
            .expect("names are unique");
        self.state.apply(&delta).expect("made from it");
        assert!(self.state.verify_digest());
        self.digests.push(self.state.digest());
        self.log.push(delta);
        if self.occurs_one_in(12) && to > 1 {
            self.rejected_versions.insert(to);
        }
        for k in (0..self.servers.len())
            .filter(|k| self.reaches_leader(*k))
            .collect::<Vec<_>>()
        {
            let late = if self.occurs_one_in(8) { 2_000 } else { 30 };
            let (late, incarnation) = (
                ms(self.rng.generate_range(0..late)),
                self.servers[k].incarnation,
            );
            self.schedule(
                late,
                Operation::ApplyLog {
                    publisher: k,
                    incarnation,
                    log_end: to as usize,
                },
            );
        }
    }

    pub(super) fn run_publisher_effects(&mut self, k: usize) {
        let Some(publisher) = &mut self.servers[k].publisher else {
            return;
        };
        for effect in publisher.take_effects().collect::<Vec<_>>() {
            match effect {
                publisher::Effect::Send { link, frame } => {
                    if let Ok(ServerMessage::SnapshotChunk(chunk)) =
                        ServerMessage::from_frame(frame.clone())
                    {
                        self.summary.resumed_transfers += u64::from(chunk.offset > 0);
                    }
                    self.transmit(link as usize, frame, true);
                }
                publisher::Effect::Close(link) => {
                    let number = link as usize;
                    let link = &mut self.links[number];
                    if std::mem::replace(&mut link.open[1], false) && link.open[0] && !link.silent {
                        let wait = link.last[1].saturating_sub(self.now);
                        self.schedule(wait, Operation::LinkEnded(number));
                    }
                }
                publisher::Effect::Event(event) => match event {
                    publisher::Event::Attached { .. } => {
                        let now = self.now;
                        let server = &mut self.servers[k];
                        server
                            .recent_attachments
                            .retain(|at| now.saturating_sub(*at) < Duration::from_secs(1));
                        server.recent_attachments.push_back(now);
                        let most =
                            self.limits.attachments_per_second + self.limits.attachment_burst + 1;
                        assert!(
                            server.recent_attachments.len() <= most as usize,
                            "too many attachments in a second"
                        );
                    }
                    publisher::Event::Diverged { .. } => self.summary.divergences += 1,
                    publisher::Event::Malformed { .. } => {
                        panic!("a frame that was sent could not be read")
                    }
                    _ => {}
                },
            }
        }
    }

    /// The log up to `log_end` reaches a server, unless it restarted or lost touch.
    pub(super) fn apply_log(&mut self, k: usize, incarnation: u32, log_end: usize) {
        if self.servers[k].incarnation != incarnation || !self.reaches_leader(k) {
            return;
        }
        let stores_snapshot = self.rng.generate_range(0..6) == 0;
        let now = self.now;
        let server = &mut self.servers[k];
        let Some(publisher) = &mut server.publisher else {
            return;
        };
        for delta in self
            .log
            .get(server.applied_entries..log_end)
            .unwrap_or_default()
        {
            publisher
                .apply_committed(now, delta.clone())
                .expect("in order");
        }
        server.applied_entries = server.applied_entries.max(log_end);
        assert_eq!(
            publisher.state().digest(),
            self.digests[server.applied_entries]
        );
        publisher.mark_current(now);
        if stores_snapshot {
            server.disk = Some(publisher.compressed_snapshot().expect("small"));
        }
        self.run_publisher_effects(k);
    }

    /// Periodic work of a server.
    pub(super) fn tick(&mut self, k: usize, incarnation: u32) {
        let reaches_leader = self.reaches_leader(k);
        let server = &mut self.servers[k];
        let Some(publisher) = server
            .publisher
            .as_mut()
            .filter(|_| server.incarnation == incarnation)
        else {
            return;
        };
        if reaches_leader {
            publisher.mark_current(self.now);
        }
        publisher.tick(self.now);
        self.run_publisher_effects(k);
        self.schedule(ms(500), Operation::Tick(k, incarnation));
    }
}
