//! Use of one customer's quota, as one entry knows it.

use crate::{clock::BootInstant, edge::deployment::Quota};
use std::time::Duration;

/// Largest number of tokens by which a single request may exceed the burst; it then waits until nothing else counts.
pub(super) const OVERSIZE: f64 = 16_000.0;

/// Longest time that a refusal names.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Longest time that an excess delays later requests.
const MAX_DEBT: Duration = Duration::from_secs(4);

/// Part of the entries below which their use tells nothing about the others'.
pub(super) const SMALL_PART: f64 = 0.25;

/// Tokens that are spent before they have drained, relative to those that drain in a settling time: most requests come
/// when others have been refused, so that less than the part that is to be admitted is.
const DRAIN_AHEAD: f64 = 1.5;

/// Requests, of the largest size that came lately, that an entry may admit beyond its share within a settling time.
const SPARE_REQUESTS: f64 = 2.0;

/// Shortest time that a refusal names.
pub(super) const MIN_WAIT: Duration = Duration::from_millis(50);

/// Times over which a quota is shared.
#[derive(Clone, Copy, Debug)]
pub struct QuotaSettings {
    /// Time within which entries learn of each other's requests. The burst is at least what the rate gives in it.
    pub settling: Duration,
    /// Time over which requests at an entry count towards its share.
    pub demand: Duration,
    /// Time that a process which has started again waits for an entry that knows what has been spent.
    pub warm_up: Duration,
    /// Number that differs between processes, so that they don't admit the same parts of their requests at once.
    pub seed: u64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            settling: Duration::from_millis(400),
            demand: Duration::from_secs(2),
            warm_up: Duration::from_secs(2),
            seed: 0,
        }
    }
}

/// Tokens of one customer's requests at other entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenUse {
    /// Tokens that were admitted.
    pub admitted: f64,
    /// Tokens that were refused.
    pub refused: f64,
    /// Tokens that had been admitted and were not run.
    pub returned: f64,
}

/// What all accounts have in common.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) settings: QuotaSettings,
    /// Entries that are heard, this one included.
    pub(super) heard: usize,
    /// Part of every quota that belongs to them.
    pub(super) part: f64,
}

impl Share {
    /// Returns the share of all entries together.
    pub(super) fn whole(self) -> Self {
        Self { part: 1.0, ..self }
    }
}

/// Use of one customer's quota.
#[derive(Clone, Debug)]
pub(super) struct Account {
    quota: Quota,
    updated: BootInstant,
    /// Tokens of all entries that have not drained.
    level: f64,
    /// The same of the entries that are heard, which drain at their part of the rate; used while some are not heard.
    part_level: f64,
    /// When the level was last 0.
    pub(super) emptied: BootInstant,
    /// Tokens asked of all entries in the settling time.
    asked: f64,
    /// Tokens asked of all entries in the demand time.
    demand: f64,
    /// Tokens asked of this entry in the demand time.
    own_demand: f64,
    /// Tokens that this entry has admitted in the settling time.
    own_recent: f64,
    /// Tokens of the largest request at this entry in the demand time.
    largest: f64,
    /// Part of an admission that is due to the requests refused before.
    due: f64,
}

impl Account {
    pub(super) fn new(quota: Quota, due: f64, now: BootInstant) -> Self {
        Self {
            quota,
            updated: now,
            level: 0.0,
            part_level: 0.0,
            emptied: now,
            asked: 0.0,
            demand: 0.0,
            own_demand: 0.0,
            own_recent: 0.0,
            largest: 0.0,
            due,
        }
    }

    /// Returns the tokens that may be admitted at once, for a part of the quota.
    pub(super) fn capacity(&self, share: &Share) -> f64 {
        let least = self.quota.per_second * share.settings.settling.as_secs_f64();
        self.quota.burst.max(least) * share.part
    }

    /// Returns the tokens a second, for a part of the quota.
    pub(super) fn rate(&self, share: &Share) -> f64 {
        self.quota.per_second * share.part
    }

    /// Returns the level that limits the entries that are heard.
    pub(super) fn level(&self, share: &Share) -> f64 {
        if share.part < 1.0 {
            self.part_level
        } else {
            self.level
        }
    }

    pub(super) fn room(&self, share: &Share) -> f64 {
        self.capacity(share) - self.level(share)
    }

    /// Returns the tokens that drain in a settling time.
    fn drained(&self, share: &Share) -> f64 {
        self.rate(share) * share.settings.settling.as_secs_f64()
    }

    /// Returns the highest level that counts: an excess beyond it is forgotten.
    fn highest(&self, share: &Share) -> f64 {
        self.capacity(share) + self.rate(share) * MAX_DEBT.as_secs_f64()
    }

    pub(super) fn spend(&mut self, tokens: f64, share: &Share) {
        let whole = share.whole();
        self.level = (self.level + tokens).min(self.highest(&whole));
        self.part_level = (self.part_level + tokens).min(self.highest(share));
    }

    pub(super) fn take_back(&mut self, tokens: f64) {
        for level in [&mut self.level, &mut self.part_level] {
            *level = (*level - tokens).max(0.0);
        }
    }

    /// Raises the level to `part` of what may be admitted at once.
    pub(super) fn raise(&mut self, part: f64, share: &Share) {
        let whole = share.whole();
        let raised = |level: f64, share: &Share| {
            let most = (part * self.capacity(share)).min(self.highest(share));
            level.max(most)
        };
        let (level, part_level) = (raised(self.level, &whole), raised(self.part_level, share));
        self.level = level;
        self.part_level = part_level;
    }

    /// Adapts the levels to a change of the entries that are heard.
    pub(super) fn change_part(&mut self, before: f64, after: f64, settings: QuotaSettings) {
        let is_small = before < SMALL_PART;
        if after >= 1.0 {
            // The entries that were not heard have probably spent as much of their part.
            let spent = if is_small {
                0.0
            } else {
                self.part_level / before
            };
            self.level = self.level.max(spent);
        } else if before >= 1.0 || (is_small && after > before) {
            self.part_level = self.level * after;
        } else {
            self.part_level *= after / before;
        }
        if after < before && after >= SMALL_PART {
            // Until the silence was noticed, the heard entries spent the part of the others too.
            let rate = self.quota.per_second * (before - after);
            self.part_level += rate * settings.settling.as_secs_f64();
        }
    }

    pub(super) fn advance(&mut self, share: &Share, now: BootInstant) {
        let elapsed = now.since(self.updated);
        if elapsed.is_zero() {
            return;
        }
        self.updated = now;
        let seconds = elapsed.as_secs_f64();
        self.level = (self.level - self.quota.per_second * seconds).max(0.0);
        self.part_level = (self.part_level - self.rate(share) * seconds).max(0.0);
        if self.level(share) == 0.0 {
            self.emptied = now;
        }
        let kept = |time: Duration| (-elapsed.div_duration_f64(time)).exp();
        let (settling, demand) = (kept(share.settings.settling), kept(share.settings.demand));
        self.asked *= settling;
        self.own_recent *= settling;
        self.demand *= demand;
        self.own_demand *= demand;
        self.largest *= demand;
    }

    pub(super) fn count(&mut self, used: TokenUse, share: &Share) {
        let asked = used.admitted + used.refused;
        self.asked += asked;
        self.demand += asked;
        self.spend(used.admitted, share);
        self.take_back(used.returned);
    }

    /// Returns the share of this entry in what the heard entries have left.
    fn own_share(&self, share: &Share) -> f64 {
        let even = 1.0 / share.heard.max(1) as f64;
        let asked = self.own_demand / self.demand.max(1.0);
        f64::midpoint(even, asked)
    }

    /// Returns the part of the requests for which there is room before the entries know of each other's answers.
    pub(super) fn admitted_part(&self, cost: f64, share: &Share) -> f64 {
        let room = (self.room(share) + DRAIN_AHEAD * self.drained(share)).max(0.0);
        let part = room / self.asked.max(room).max(1.0);
        // Where only a part of the quota is left, several such parts may each hold less than one request.
        if share.part < 1.0 && cost > 0.0 {
            part * (self.capacity(share) / cost).min(1.0)
        } else {
            part
        }
    }

    /// Replaces the quota: what was spent keeps its share of a lower one, and its tokens under a higher one.
    pub(super) fn set_quota(&mut self, quota: Quota, share: &Share) {
        let before = self.capacity(share);
        self.quota = quota;
        let change = (self.capacity(share) / before).min(1.0);
        self.level *= change;
        self.part_level *= change;
    }

    /// Returns the tokens of a request that names this usage, prompt and largest output, or none.
    pub(super) fn cost(&self, usage: Option<(u32, u32)>) -> f64 {
        let named = usage.map(|(prompt, output)| f64::from(prompt) + f64::from(output));
        named.unwrap_or(self.quota.plain_tokens).max(0.0)
    }

    /// Counts a request that came at this entry.
    pub(super) fn ask(&mut self, cost: f64, share: &Share) {
        let asked = cost.min(self.capacity(share) + OVERSIZE);
        self.asked += asked;
        self.demand += asked;
        self.own_demand += asked;
        self.largest = self.largest.max(asked);
    }

    /// Admits a request that has been counted as asked, or returns the time until there is room for it and for what else
    /// is asked: earlier, others would take that room.
    pub(super) fn admit(&mut self, cost: f64, share: &Share) -> Result<(), Duration> {
        let capacity = self.capacity(share);
        let rate = self.rate(share);
        let burst = self.quota.burst.max(capacity);
        if cost > burst + OVERSIZE {
            return Err(MAX_WAIT);
        }
        let missing = cost.min(capacity) - self.room(share);
        if missing > 0.0 {
            let backlog = self.asked - self.room(share);
            return Err(wait(missing.max(backlog), rate));
        }
        let spendable = self.room(share) + self.own_recent + self.drained(share);
        let own_room = self.own_share(share) * spendable;
        if self.own_recent > own_room + SPARE_REQUESTS * self.largest.max(cost) {
            return Err(share.settings.settling);
        }
        self.due += self.admitted_part(cost, share);
        if self.due < 1.0 {
            return Err(wait(self.asked - self.room(share), rate));
        }
        self.due -= 1.0;
        self.spend(cost, share);
        self.own_recent += cost;
        Ok(())
    }
}

fn wait(tokens: f64, rate: f64) -> Duration {
    let seconds = Duration::try_from_secs_f64(tokens / rate).unwrap_or(MAX_WAIT);
    seconds.clamp(MIN_WAIT, MAX_WAIT)
}
