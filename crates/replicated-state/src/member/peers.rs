//! Links to the other members, and what is known of their disks.

use super::*;

impl GroupMember {
    pub fn hello(&self) -> Frame {
        let marks = self.shards.iter().map(|(shard, one)| ShardProgress {
            shard: u32::from(*shard),
            term: one.replica.term(),
            index: one.replica.log().last(),
        });
        Frame::of(FrameBody::Hello(Hello {
            group: self.options.group.clone(),
            name: self.options.name.clone(),
            disk: self.disk,
            incarnation: self.boot,
            nonce: self.nonce,
            uninitialized: self.fresh(),
            shards: u32::from(self.options.shards),
            shard_progress: marks.collect(),
            generation: self.generation,
        }))
    }

    /// A link to a member is open: it hears who this is.
    pub fn on_connected(&mut self, now: Duration, name: &str) {
        self.now = self.now.max(now);
        let hello = self.hello();
        if let Some(peer) = self.peers.get_mut(name) {
            peer.here = true;
            self.effects.frames.push((name.to_owned(), hello));
        }
        if self.form.is_none() && !self.over {
            self.form_if_all_are_fresh();
        }
        self.settle();
    }

    /// Something of the greeting changed.
    pub(super) fn greet_again(&mut self) {
        let hello = self.hello();
        for (name, _) in self.peers.iter().filter(|(_, peer)| peer.here) {
            self.effects.frames.push((name.clone(), hello.clone()));
        }
    }

    /// The link to a member broke.
    pub fn on_disconnected(&mut self, now: Duration, name: &str) {
        self.now = self.now.max(now);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.here = false;
        }
        self.settle();
    }

    pub(super) fn hello_from(&mut self, name: &str, hello: Hello) {
        if hello.group != self.options.group
            || hello.name != name
            || hello.shards != u32::from(self.options.shards)
        {
            return;
        }
        let others = self.peers.iter().filter(|(other, _)| *other != name);
        let taken = others
            .filter_map(|(_, peer)| peer.start)
            .any(|start| start.0 == hello.disk);
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if taken || hello.disk == self.disk {
            let why = "another member has this disk".to_owned();
            let behind = StaleDiskNotice {
                disk: hello.disk,
                why: why.clone(),
            };
            self.effects
                .frames
                .push((name.to_owned(), Frame::of(FrameBody::StaleDisk(behind))));
            self.effects.events.push(GroupEvent::StalePeer {
                name: name.to_owned(),
                disk: hello.disk,
                why,
            });
            return;
        }
        for (shard, one) in &self.shards {
            // Whom this one voted for has written that term down before it asked.
            if one.replica.vote() == hello.disk {
                let mark = peer.marks.entry(*shard).or_default();
                mark.0 = mark.0.max(one.replica.term());
            }
        }
        if let Some(why) = old_copy(peer, &hello) {
            peer.refused = Some(hello.disk);
            peer.hello = None;
            let behind = StaleDiskNotice {
                disk: hello.disk,
                why: why.clone(),
            };
            self.effects
                .frames
                .push((name.to_owned(), Frame::of(FrameBody::StaleDisk(behind))));
            self.effects.events.push(GroupEvent::StalePeer {
                name: name.to_owned(),
                disk: hello.disk,
                why,
            });
            return;
        }
        if let Some((before, ..)) = peer.start.filter(|start| start.0 != hello.disk) {
            peer.marks.clear();
            peer.gone.push_back(before);
            if peer.gone.len() > GONE {
                peer.gone.pop_front();
            }
        }
        peer.start = Some((hello.disk, hello.incarnation, hello.nonce));
        peer.refused = None;
        let generation = hello.generation;
        let (fresh, disk, ahead) = (
            hello.uninitialized,
            hello.disk,
            generation > self.generation,
        );
        peer.hello = Some(hello);
        if ahead && self.fresh() {
            // A new disk of a group that was recovered: it learns there.
            self.generation = generation;
            let data = Bytes::copy_from_slice(&generation.to_le_bytes());
            self.writes.push(PersistentWrite::Metadata {
                number: METADATA_GENERATION,
                data,
            });
            self.greet_again();
        } else if ahead {
            let why = "the group was recovered without this disk".to_owned();
            self.set_aside(GroupEvent::StaleDisk { why });
            return;
        }
        match &self.form {
            Some(form) if fresh && form.members.iter().any(|one| one.disk == disk) => {
                self.effects.frames.push((
                    name.to_owned(),
                    Frame::of(FrameBody::Bootstrap(form.clone())),
                ));
            }
            None => self.form_if_all_are_fresh(),
            Some(_) => {}
        }
    }

    pub(super) fn write_witness(&mut self) {
        let seen = |(name, peer): (&String, &Peer)| {
            let (disk, boot, nonce) = peer.start?;
            let mark = |(shard, (term, index)): (&u16, &(u64, u64))| ShardProgress {
                shard: u32::from(*shard),
                term: *term,
                index: *index,
            };
            Some(PeerIncarnation {
                name: name.clone(),
                disk,
                incarnation: boot,
                nonce,
                replaced_disks: peer.gone.iter().copied().collect(),
                shard_progress: peer.marks.iter().map(mark).collect(),
            })
        };
        let witness = PeerIncarnations {
            seen: self.peers.iter().filter_map(seen).collect(),
        };
        if witness != self.witness {
            self.writes.push(PersistentWrite::Metadata {
                number: METADATA_PEER_INCARNATIONS,
                data: witness.encode_to_vec().into(),
            });
            self.witness = witness;
        }
    }

    pub(super) fn disk_of(&self, name: &str) -> Option<ReplicaId> {
        if name == self.options.name {
            return Some(self.disk);
        }
        let peer = self.peers.get(name)?;
        peer.hello
            .as_ref()
            .filter(|_| peer.here)
            .map(|hello| hello.disk)
    }

    pub(super) fn name_of(&self, disk: ReplicaId) -> Option<String> {
        let known =
            |peer: &Peer| peer.hello.as_ref().is_some_and(|hello| hello.disk == disk) && peer.here;
        self.peers
            .iter()
            .find(|(_, peer)| known(peer))
            .map(|(name, _)| name.clone())
    }
}

/// Why a disk that says hello is an old copy of itself, if it is one.
fn old_copy(peer: &Peer, hello: &Hello) -> Option<String> {
    if peer.refused == Some(hello.disk) {
        return Some("it was found to be an old copy before".into());
    }
    if peer.gone.contains(&hello.disk) {
        return Some("another disk took its place".into());
    }
    let (_, boot, nonce) = peer.start.filter(|start| start.0 == hello.disk)?;
    if (boot, nonce) == (hello.incarnation, hello.nonce) {
        return None;
    }
    if hello.incarnation <= boot {
        return Some(format!("start {} after start {boot}", hello.incarnation));
    }
    for (shard, (term, index)) in &peer.marks {
        let mark = hello
            .shard_progress
            .iter()
            .find(|mark| mark.shard == u32::from(*shard));
        let (t, i) = mark.map_or((0, 0), |mark| (mark.term, mark.index));
        if t < *term || i < *index {
            return Some(format!(
                "shard {shard}: term {t} index {i} after term {term} index {index}"
            ));
        }
    }
    None
}
