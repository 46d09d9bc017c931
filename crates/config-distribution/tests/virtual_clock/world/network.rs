//! Links: delivery of frames, their end, and partitions.

use super::*;

impl World {
    pub(super) fn transmit(&mut self, link: usize, frame: Bytes, down: bool) {
        let side = usize::from(down);
        let times = match () {
            () if self.links[link].silent || self.occurs_one_in(400) => 0,
            () if self.occurs_one_in(200) => 2,
            () => 1,
        };
        for _ in 0..times {
            let arrives = (self.now + self.delay()).max(self.links[link].last[side]);
            self.links[link].last[side] = arrives;
            let wait = arrives - self.now;
            if down {
                let frame = self.corrupted(frame.clone());
                self.links[link].down += frame.len();
                let most = self.limits.max_delta_bytes
                    + self.limits.window_chunks * (self.limits.chunk_bytes + 64)
                    + 256;
                let over = self.links[link].down.saturating_sub(most * times);
                self.summary.max_excess_bytes = self.summary.max_excess_bytes.max(over);
                self.schedule(
                    wait,
                    Operation::ToSubscriber {
                        link,
                        frame,
                        on: link,
                    },
                );
            } else {
                self.schedule(
                    wait,
                    Operation::ToPublisher {
                        link,
                        frame: frame.clone(),
                    },
                );
            }
        }
    }

    /// With some probability, in runs with corruption, a frame whose body decodes but has another content.
    pub(super) fn corrupted(&mut self, frame: Bytes) -> Bytes {
        if !self.corruption_enabled || !self.occurs_one_in(60) {
            return frame;
        }
        let Ok(ServerMessage::Delta(mut delta)) = ServerMessage::from_frame(frame.clone()) else {
            return frame;
        };
        for resource in &mut delta.upserts {
            if let Ok(mut tenant) =
                prost::Message::decode(resource.body.clone()).map(|t: schema::Tenant| t)
            {
                tenant.share ^= 1;
                resource.body = prost::Message::encode_to_vec(&tenant).into();
                break;
            }
        }
        ServerMessage::Delta(delta).into_frame()
    }

    /// A frame arrives at a process.
    pub(super) fn deliver_to_subscriber(&mut self, link: usize, frame: Bytes, on: usize) {
        if link == on {
            self.links[link].down -= frame.len();
        }
        let k = self.links[link].process;
        if self.processes[k].link == Some(link) {
            if matches!(
                ServerMessage::from_frame(frame.clone()),
                Ok(ServerMessage::Delta(_) | ServerMessage::SnapshotChunk(_))
            ) {
                self.processes[k].previous_update = Some(frame.clone());
            }
            self.processes[k].subscriber.on_frame(self.now, frame);
            if self.processes[k].subscriber.is_attached() && !self.processes[k].attached {
                self.processes[k].attached = true;
                self.processes[k].policy.on_attached(self.now);
                self.dial_when_due(k);
                if let Some(frame) = self.processes[k]
                    .previous_update
                    .take()
                    .filter(|_| self.occurs_one_in(3))
                {
                    // A frame of an earlier link, perhaps before a restart. Real links do not deliver these; they must
                    // have no effect.
                    self.schedule(
                        ms(0),
                        Operation::ToSubscriber {
                            link,
                            frame,
                            on: usize::MAX,
                        },
                    );
                }
            }
            self.run_subscriber_effects(k);
        }
    }

    /// A frame arrives at a server.
    pub(super) fn deliver_to_publisher(&mut self, link: usize, frame: Bytes) {
        let of = &self.links[link];
        let k = of.server;
        if of.open[1] && self.servers[k].incarnation == of.incarnation {
            let now = self.now;
            // Links do not duplicate frames, and an attachment may not be repeated: the duplicate is dropped.
            let again = matches!(
                ClientMessage::from_frame(frame.clone()),
                Ok(ClientMessage::Attach(_))
            );
            if let Some(publisher) = &mut self.servers[k].publisher {
                let known = publisher
                    .subscriber_statuses()
                    .iter()
                    .any(|status| status.link == link as u64);
                if known != again {
                    publisher.on_frame(now, link as u64, frame);
                }
            }
            self.run_publisher_effects(k);
        }
    }

    /// Both ends of a link notice its end.
    pub(super) fn end_link(&mut self, link: usize) {
        let (k, server, incarnation) = {
            let link = &self.links[link];
            (link.process, link.server, link.incarnation)
        };
        if std::mem::replace(&mut self.links[link].open[1], false)
            && self.servers[server].incarnation == incarnation
        {
            if let Some(publisher) = &mut self.servers[server].publisher {
                publisher.on_disconnected(link as u64);
            }
            self.run_publisher_effects(server);
        }
        if std::mem::replace(&mut self.links[link].open[0], false)
            && self.processes[k].link == Some(link)
        {
            self.close(k, true);
            self.processes[k].policy.on_disconnected(self.now);
            self.dial_when_due(k);
        }
    }

    /// The regions are partitioned: links between them go silent.
    pub(super) fn partition(&mut self) {
        self.partitioned = true;
        for link in 0..self.links.len() {
            let (process, server) = (self.links[link].process, self.links[link].server);
            self.links[link].silent |= self.is_partitioned(process, server);
        }
    }

    /// The partition ends, and all servers catch up with the log.
    pub(super) fn heal(&mut self) {
        self.partitioned = false;
        for k in 0..self.servers.len() {
            let (incarnation, log_end) = (self.servers[k].incarnation, self.log.len());
            self.schedule(
                ms(50),
                Operation::ApplyLog {
                    publisher: k,
                    incarnation,
                    log_end,
                },
            );
        }
    }
}
