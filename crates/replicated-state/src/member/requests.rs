//! Requests to the leaders of shards.

use super::*;

impl GroupMember {
    /// A command for the leader of its key's shard; the question's number. It is told with that number, or its time
    /// is over. None if too many are open.
    pub fn request(&mut self, now: Duration, command: Command, until: Duration) -> Option<u64> {
        self.now = self.now.max(now);
        if self.questions.len() >= ASKS {
            self.rejected_requests += 1;
            return None;
        }
        let shard = match &command.operation {
            Some(idempotency::Operation::Set(_) | idempotency::Operation::Publish(_)) => 0,
            _ => shard_of(&command.key, self.options.shards),
        };
        self.next_question += 1;
        let id = self.next_question;
        let question = PendingRequest {
            shard,
            command,
            until,
            again: self.now,
            background: false,
            tries: 0,
        };
        self.questions.insert(id, question);
        self.put(id);
        self.due = self.due.min(until);
        self.settle();
        Some(id)
    }

    /// Nobody waits for it any more: a start is taken back.
    pub fn forget(&mut self, now: Duration, id: u64) {
        self.now = self.now.max(now);
        self.go_on_without(id);
        self.settle();
    }

    /// What goes on without anybody that waits: starts are taken back, the rest is told until it is noted.
    pub(super) fn go_on_without(&mut self, id: u64) {
        let now = self.now;
        let Some(question) = self
            .questions
            .get_mut(&id)
            .filter(|question| !question.background)
        else {
            return;
        };
        question.background = true;
        question.until = now + BACKGROUND;
        question.again = now;
        if matches!(
            question.command.operation,
            Some(idempotency::Operation::Start(_))
        ) {
            question.command.operation = Some(idempotency::Operation::Withdraw(true));
            self.put(id);
        }
    }

    pub(super) fn end_questions(&mut self) {
        let over: Vec<u64> = self
            .questions
            .iter()
            .filter(|(_, one)| one.until <= self.now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            let background = self
                .questions
                .get(&id)
                .is_none_or(|question| question.background);
            if background {
                self.questions.remove(&id);
            } else {
                self.effects.timed_out.push(id);
                self.go_on_without(id);
            }
        }
    }

    pub(super) fn put_again(&mut self) {
        let due: Vec<u64> = self
            .questions
            .iter()
            .filter(|(_, one)| one.again <= self.now)
            .map(|(id, _)| *id)
            .collect();
        due.into_iter().for_each(|id| self.put(id));
    }

    /// Puts a question to the leader, or to whoever may know it.
    pub(super) fn put(&mut self, id: u64) {
        let Some(question) = self.questions.get_mut(&id) else {
            return;
        };
        question.tries += 1;
        let (shard, command, tries) = (question.shard, question.command.clone(), question.tries);
        let here = self
            .shards
            .get(&shard)
            .is_some_and(|one| one.replica.is_leader());
        question.again = self.now + AGAIN[usize::from(!here)];
        self.due = self.due.min(question.again);
        if here {
            self.propose(shard, &command, Requester::Local(id));
            return;
        }
        let led_by = self.shards.get(&shard).and_then(|one| one.replica.leader());
        // Whoever did not answer may be out of reach: every second try goes round.
        let told = self.leaders.get(&shard).copied().filter(|_| tries % 2 == 1);
        let led_by = led_by.or(told);
        let name = led_by.and_then(|disk| self.name_of(disk)).or_else(|| {
            // Nobody is known to lead: the holders are asked in turn.
            let held = holders(&self.options.members, shard, self.options.copies);
            let others: Vec<usize> = held
                .into_iter()
                .filter(|k| self.options.members[*k].0 != self.options.name)
                .collect();
            let k = others.get(tries as usize % others.len().max(1))?;
            Some(self.options.members[*k].0.clone())
        });
        let Some(name) = name.filter(|name| self.peers.get(name).is_some_and(|peer| peer.here))
        else {
            self.leaders.remove(&shard);
            return;
        };
        if let Some(question) = self.questions.get_mut(&id) {
            question.again = self.now + AGAIN[0];
        }
        let ask = CommandRequest {
            id,
            shard: u32::from(shard),
            command,
        };
        self.effects
            .frames
            .push((name, Frame::of(FrameBody::Request(ask))));
    }

    pub(super) fn asked(&mut self, name: &str, ask: CommandRequest) {
        self.propose(
            ask.shard as u16,
            &ask.command,
            Requester::Remote(name.to_owned(), ask.id),
        );
    }

    pub(super) fn propose(&mut self, shard: u16, command: &Command, asker: Requester) {
        let now = self.now;
        let proposed = self.shards.get_mut(&shard).and_then(|one| {
            if one.waiting.len() >= WAITING {
                return None;
            }
            let index = one
                .replica
                .propose(now, command.encode_to_vec().into())
                .ok()?;
            one.waiting
                .insert(index, (one.replica.term(), asker.clone()));
            Some(index)
        });
        if proposed.is_none() {
            self.elsewhere(shard, &asker);
        }
    }

    /// This is no leader, or has no room: somebody else, or later.
    pub(super) fn elsewhere(&mut self, shard: u16, asker: &Requester) {
        let leader = self.shards.get(&shard).and_then(|one| one.replica.leader());
        let leader = leader.filter(|leader| *leader != self.disk);
        match asker {
            Requester::Local(id) => {
                if let Some(question) = self.questions.get_mut(id) {
                    question.again = self.now + AGAIN[1];
                    self.due = self.due.min(question.again);
                }
            }
            Requester::Remote(name, id) => {
                let answer = CommandResponse::redirect(*id, shard, leader);
                self.effects
                    .frames
                    .push((name.clone(), Frame::of(FrameBody::Response(answer))));
            }
        }
    }

    pub(super) fn answered(&mut self, answer: &CommandResponse) {
        let (id, now) = (answer.id, self.now);
        match answer.outcome() {
            Some(told) => self.tell(id, told),
            None => {
                let shard = answer.shard as u16;
                if answer.leader == 0 {
                    self.leaders.remove(&shard);
                } else {
                    self.leaders.insert(shard, answer.leader);
                }
                if let Some(question) = self.questions.get_mut(&id) {
                    question.again = question.again.min(now + AGAIN[1]);
                    self.due = self.due.min(question.again);
                }
            }
        }
    }

    /// What a question came to.
    pub(super) fn tell(&mut self, id: u64, told: ClaimOutcome) {
        let Some(question) = self.questions.get_mut(&id) else {
            return;
        };
        if question.background {
            // A start that is granted after its time is taken back, as is asked already.
            let taken_back = matches!(
                question.command.operation,
                Some(idempotency::Operation::Withdraw(_))
            );
            let final_ = !taken_back
                || matches!(
                    told,
                    ClaimOutcome::Recorded | ClaimOutcome::CapacityExceeded
                );
            if final_ {
                self.questions.remove(&id);
            }
            return;
        }
        if question.until <= self.now {
            // Its time is over, though nobody looked yet: the answer came too late to act on.
            return;
        }
        if told == ClaimOutcome::InProgress {
            question.again = self.now + AGAIN[0];
        } else {
            self.questions.remove(&id);
        }
        self.effects.outcomes.push((id, told));
    }

    pub(super) fn send(&mut self, asker: &Requester, shard: u16, told: ClaimOutcome) {
        match asker {
            Requester::Local(id) => self.tell(*id, told),
            Requester::Remote(name, id) => {
                let answer = CommandResponse::of(*id, shard, &told);
                self.effects
                    .frames
                    .push((name.clone(), Frame::of(FrameBody::Response(answer))));
            }
        }
    }

    /// Leadership went: whoever waits asks the next leader.
    pub(super) fn dismiss_waiting(&mut self, shard: u16) {
        let Some(one) = self.shards.get_mut(&shard) else {
            return;
        };
        let waiting = std::mem::take(&mut one.waiting);
        one.watchers.clear();
        for (_, asker) in waiting.into_values() {
            self.elsewhere(shard, &asker);
        }
    }
}
