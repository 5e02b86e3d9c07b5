//! Which entries follow the store and hold engines; the others learn from them.
//!
//! | load pattern | answer |
//! |---|---|
//! | each entry's watches, renewals and looks are paid for, and the store's rates grow more slowly than the fleet | a set of bounded size does these; it grows with a small part of the entries |
//! | VMs differ in what they can carry, and a member that is too slow to speak for others is left by all of them at once | large VMs are members first, and small ones only where there are too few large ones |
//! | a member is killed, frozen or cut off | the set is taken from the entries heard of, so the next one in the order joins it within seconds |

use crate::ident::pair_hash;
use std::sync::Arc;

/// Least size of the set, by default: as many entries as one of today's deployments has.
pub const MIN_MEMBERS: usize = 9;

/// One entry in this many is in the set of a large deployment, so that a member has at most some dozens of engines
/// at 380 entries and 1,400 engines.
const ENTRIES_PER_MEMBER: usize = 16;

/// Members up to which VMs with less than half of the largest share of a processor are taken as well: with fewer, the
/// loss of two would leave one to speak for all.
const FEWEST_MEMBERS: usize = 4;

/// Key under which entries of equal size are ranked; any fixed text gives all of them the same order.
const RANK_KEY: &str = "control";

/// An entry that is heard of and not leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name.
    pub name: Arc<str>,
    /// Share of a processor, in thousandths.
    pub processor: u32,
}

/// Names of the entries in the set; `least` is its least size.
pub fn members(mut all: Vec<Candidate>, least: usize) -> Vec<Arc<str>> {
    let size = least.max(all.len() / ENTRIES_PER_MEMBER);
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
