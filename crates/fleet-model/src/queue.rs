//! Events in order of time; those of one instant in the order in which they were put. Nothing else settles the order,
//! so a run is the same on any machine.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<E> {
    /// Nanoseconds since the start.
    at: u64,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
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
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// See the module's head.
pub struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    made: u64,
    now: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            made: 0,
            now: 0,
        }
    }
}

impl<E> Queue<E> {
    /// Time as of the last event taken, ns.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Events put since the start.
    pub fn made(&self) -> u64 {
        self.made
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// An event this far from now.
    pub fn after(&mut self, span: u64, event: E) {
        self.at(self.now.saturating_add(span), event);
    }

    /// An event at a time; never before now.
    pub fn at(&mut self, at: u64, event: E) {
        self.made += 1;
        self.heap.push(Entry {
            at: at.max(self.now),
            number: self.made,
            event,
        });
    }

    /// The next event, if one lies before `end`; time goes on to it.
    pub fn next(&mut self, end: u64) -> Option<E> {
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
    fn by_time_and_then_by_their_making() {
        let mut queue = Queue::default();
        for (at, name) in [(5, "c"), (1, "a"), (5, "d"), (3, "b")] {
            queue.at(at, name);
        }
        let mut got = Vec::new();
        while let Some(name) = queue.next(5) {
            got.push((queue.now(), name));
        }
        assert_eq!(got, [(1, "a"), (3, "b")]);
        // What is put for a time that is over comes now.
        queue.at(0, "late");
        assert_eq!(queue.next(6), Some("late"));
        assert_eq!(
            (queue.next(6), queue.next(6), queue.next(6)),
            (Some("c"), Some("d"), None)
        );
    }
}
