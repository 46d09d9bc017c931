//! An event queue ordered by time, then by insertion. Nothing else affects the order, so a run is the same on any
//! machine.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<E> {
    /// Nanoseconds since the start.
    at: u64,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A priority queue of events with a virtual clock.
pub struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    pushed: u64,
    now: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            pushed: 0,
            now: 0,
        }
    }
}

impl<E> Queue<E> {
    /// Time of the last event popped, ns.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Number of events pushed since the start.
    pub fn pushed(&self) -> u64 {
        self.pushed
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Pushes an event that is due `span` ns from now.
    pub fn push_after(&mut self, span: u64, event: E) {
        self.push_at(self.now.saturating_add(span), event);
    }

    /// Pushes an event that is due at a time in ns, or now if that time has passed.
    pub fn push_at(&mut self, at: u64, event: E) {
        self.pushed += 1;
        self.heap.push(Entry {
            at: at.max(self.now),
            sequence: self.pushed,
            event,
        });
    }

    /// Pops the next event if it is due before `end`, and advances the clock to it.
    pub fn pop_before(&mut self, end: u64) -> Option<E> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_are_popped_by_time_and_then_by_insertion() {
        let mut queue = Queue::default();
        for (at, name) in [(5, "c"), (1, "a"), (5, "d"), (3, "b")] {
            queue.push_at(at, name);
        }
        let mut popped = Vec::new();
        while let Some(name) = queue.pop_before(5) {
            popped.push((queue.now(), name));
        }
        assert_eq!(popped, [(1, "a"), (3, "b")]);
        // An event pushed for a past time is due now.
        queue.push_at(0, "late");
        assert_eq!(queue.pop_before(6), Some("late"));
        assert_eq!(
            (
                queue.pop_before(6),
                queue.pop_before(6),
                queue.pop_before(6)
            ),
            (Some("c"), Some("d"), None)
        );
    }
}
