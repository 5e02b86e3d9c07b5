//! A set of bounded size that forgets the members that were not inserted again for the longest time.

use std::{collections::HashSet, hash::Hash};

/// Set of at least the last `capacity` members; it holds at most twice as many.
#[derive(Debug)]
pub struct RecentSet<T> {
    capacity: usize,
    newer: HashSet<T>,
    older: HashSet<T>,
}

impl<T: Eq + Hash> RecentSet<T> {
    /// Creates an empty set.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            newer: HashSet::new(),
            older: HashSet::new(),
        }
    }

    /// Inserts a member.
    pub fn insert(&mut self, member: T) {
        if self.newer.len() >= self.capacity {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(member);
    }

    /// Returns whether `member` was inserted recently.
    pub fn contains(&self, member: &T) -> bool {
        self.newer.contains(member) || self.older.contains(member)
    }
}
