//! Selects the control set: the entries that watch the store and hold engines. The others learn from them.
//!
//! | load pattern | response |
//! |---|---|
//! | each entry's watches, lease renewals and polls cost calls, and the store's rate limits grow more slowly than the fleet | only a set of bounded size makes them; it grows with a small fraction of the entries |
//! | VMs differ in size, and all entries abandon a member at once that is too slow to relay for them | large VMs are members first; small ones only if there are too few large ones |
//! | a member is killed, frozen or partitioned | the set is computed from the live entries, so the next one in the ranking joins within seconds |

use crate::ident::pair_hash;
use std::sync::Arc;

/// Default minimum size of the set: the number of entries in one of the present deployments.
pub const MIN_MEMBERS: usize = 9;

/// Entries per member in a large deployment; at 380 entries and 1,400 engines, a member holds at most some dozens of
/// engines.
const ENTRIES_PER_MEMBER: usize = 16;

/// Number of members up to which VMs with less than half of the largest CPU share are included: with fewer, the loss
/// of two would leave one member to relay for all entries.
const FEWEST_MEMBERS: usize = 4;

/// Hash key that ranks entries of equal size; any fixed text gives the same order on all entries.
const RANK_KEY: &str = "control";

/// A live entry that is not shutting down.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name.
    pub name: Arc<str>,
    /// CPU share, in thousandths of a processor.
    pub processor: u32,
}

/// Returns the names of the entries in the set, which has at least `min_members` members if there are enough.
pub fn members(mut all: Vec<Candidate>, min_members: usize) -> Vec<Arc<str>> {
    let size = min_members.max(all.len() / ENTRIES_PER_MEMBER);
    all.sort_by_cached_key(|c| {
        let rank = pair_hash(RANK_KEY, &c.name);
        (std::cmp::Reverse(c.processor), rank, Arc::clone(&c.name))
    });
    let largest = all.first().map_or(0, |c| c.processor);
    let large = all.iter().take_while(|c| c.processor * 2 >= largest);
    let enough = large.count().max(FEWEST_MEMBERS);
    all.truncate(size.min(enough));
    all.into_iter().map(|c| c.name).collect()
}
