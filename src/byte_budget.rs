//! Limit of the bytes that a process buffers, over all its connections.
//!
//! Each buffer is bounded by itself too, but a faulty upstream that sends bytes without end on hundreds of connections, or
//! hundreds of callers that upload at once, fill all of them at the same time.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that all buffers of upstreams' bytes together may have beyond their free parts; VMs have some 260 MB.
pub const TOTAL_BYTES: usize = 32 << 20;

/// Bytes of each buffer that are not counted: sound responses need no more, and are not affected by faulty ones.
pub const FREE_BYTES: usize = 16 << 10;

/// Budget shared by all buffers; clones share it.
#[derive(Clone, Debug)]
pub struct ByteBudget(Arc<AtomicUsize>);

impl Default for ByteBudget {
    fn default() -> Self {
        Self::new(TOTAL_BYTES)
    }
}

impl ByteBudget {
    /// Creates a budget of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(total)))
    }

    /// Returns an account for one buffer, which is empty.
    pub fn account(&self) -> ByteAccount {
        ByteAccount {
            budget: self.clone(),
            counted: 0,
        }
    }

    /// Returns the bytes that are left.
    pub fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Bytes of one buffer; returned to the budget when dropped.
#[derive(Debug)]
pub struct ByteAccount {
    budget: ByteBudget,
    counted: usize,
}

impl ByteAccount {
    /// Records that the buffer has at least `bytes`; returns false, and records nothing, if the budget does not allow that.
    pub fn grow(&mut self, bytes: usize) -> bool {
        bytes.saturating_sub(FREE_BYTES) <= self.counted || self.resize(bytes)
    }

    /// Records that the buffer has `bytes` now; returns false, and records nothing, if the budget does not allow that.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let wanted = bytes.saturating_sub(FREE_BYTES);
        let budget = &self.budget.0;
        if wanted > self.counted {
            let more = wanted - self.counted;
            let take = |left: usize| left.checked_sub(more);
            let taken = budget.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
            if taken.is_err() {
                return false;
            }
        } else {
            budget.fetch_add(self.counted - wanted, Ordering::Relaxed);
        }
        self.counted = wanted;
        true
    }
}

impl Drop for ByteAccount {
    fn drop(&mut self) {
        self.resize(0);
    }
}
