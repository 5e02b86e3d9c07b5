//! Limits the tokens of each customer's requests over all entries together.
//!
//! Each entry counts the tokens that all entries admit in one leaky bucket per customer, which drains at the quota's rate.
//! It learns of the others' requests late, so it spends what is left in proportion to what is asked of all entries before
//! they know of each other's answers.
//!
//! | load pattern | response |
//! |---|---|
//! | a customer asks for less than its quota, at any entries | there is room for all that is asked in a settling time, so every request is admitted |
//! | a customer asks for more than its quota | each entry admits the part of its requests for which there is room; the others are refused at once with the time until there is room |
//! | a burst begins at all entries at the same moment | each entry spends at most its share of what is left and two requests before it learns what the others spend; an excess counts and delays the next requests |
//! | all requests of a customer come at one entry | shares follow what is asked of each entry; half of what is left is shared evenly |
//! | the network between entries fails, or one of them freezes | an entry keeps the part of the quota that belongs to those that it hears |
//! | a process starts again | it admits nothing until an entry that knows what has been spent tells it; if none does, the quota counts as spent |
//! | a quota is lowered or raised | what was spent keeps its share of a lower quota, and its number of tokens under a higher one |
//! | a request names no token usage, or an absurd one | it costs the quota's fixed number of tokens; one that could never fit is refused |

pub use crate::decide::quota_account::{QuotaSettings, TokenUse};

use crate::{
    clock::BootInstant,
    decide::quota_account::{Account, MIN_WAIT, SMALL_PART, Share},
    edge::deployment::Quota,
    ident::pair_hash,
};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Largest number of customers whose use is kept until the configuration with their quotas is known.
const MAX_EARLY: usize = 10_000;

/// Part of a customer's quota that has been spent; 1 if there is no room.
#[derive(Clone, Debug, PartialEq)]
pub struct Fill {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Spent part.
    pub part: f64,
}

/// Number of entries, this one included.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Contact {
    /// Entries whose requests this entry learns of.
    pub heard: usize,
    /// Entries that may admit requests.
    pub known: usize,
}

impl Contact {
    /// Returns the part of every quota that belongs to the entries that are heard.
    fn part(self) -> f64 {
        let known = self.known.max(self.heard).max(1);
        self.heard.max(1) as f64 / known as f64
    }
}

/// Whether this entry knows what has been spent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    Settled,
    WarmingUp { until: BootInstant },
}

/// State of one customer's quota at this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaState {
    /// Tokens for which there is room; negative after an excess.
    pub left: f64,
    /// Tokens a second, of the entries that are heard.
    pub rate: f64,
    /// Part of the requests that are admitted at present.
    pub admitted_part: f64,
}

/// Quotas of all customers that have one.
#[derive(Debug)]
pub struct Quotas {
    accounts: HashMap<Arc<str>, Account>,
    share: Share,
    standing: Standing,
    /// What an entry that knows it said has been spent, until the configuration is known.
    early: Option<Vec<Fill>>,
}

impl Default for Quotas {
    fn default() -> Self {
        Self::new(QuotaSettings::default())
    }
}

impl Quotas {
    /// Returns the quotas of an entry that knows that nothing has been spent.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            accounts: HashMap::new(),
            share: Share {
                settings,
                heard: 1,
                part: 1.0,
            },
            standing: Standing::Settled,
            early: None,
        }
    }

    /// Returns the quotas of a process that does not know what has been spent before `now`.
    pub fn after_restart(settings: QuotaSettings, now: BootInstant) -> Self {
        let until = now + settings.warm_up;
        Self {
            standing: Standing::WarmingUp { until },
            ..Self::new(settings)
        }
    }

    /// Puts the quotas of a configuration in force. Customers without one are forgotten.
    pub fn configure<'a>(
        &mut self,
        quotas: impl Iterator<Item = (&'a Arc<str>, Quota)>,
        now: BootInstant,
    ) {
        let mut before = std::mem::take(&mut self.accounts);
        for (name, quota) in
            quotas.filter(|(_, quota)| quota.per_second > 0.0 && quota.per_second.is_finite())
        {
            let known = before.remove(name);
            let mut account = known.unwrap_or_else(|| {
                let due = pair_hash(&self.share.settings.seed.to_string(), name);
                Account::new(quota, due as f64 / u64::MAX as f64, now)
            });
            account.advance(&self.share, now);
            account.set_quota(quota, &self.share);
            self.accounts.insert(Arc::clone(name), account);
        }
        if !self.accounts.is_empty()
            && let Some(early) = self.early.take()
        {
            self.learn(&early, now);
        }
    }

    /// Returns whether any customer has a quota.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Sets which entries are heard; returns whether it changed.
    pub fn set_contact(&mut self, contact: Contact, now: BootInstant) -> bool {
        let part = contact.part();
        self.share.heard = contact.heard;
        if (part - self.share.part).abs() < f64::EPSILON {
            return false;
        }
        for account in self.accounts.values_mut() {
            // What has drained until now did so at the earlier rate.
            account.advance(&self.share, now);
            account.change_part(self.share.part, part, self.share.settings);
        }
        self.share.part = part;
        true
    }

    /// Ends a warm-up in which no entry said what has been spent: all of it counts as spent.
    fn settle(&mut self, now: BootInstant) {
        let is_over = matches!(self.standing, Standing::WarmingUp { until } if now >= until);
        if is_over && !self.accounts.is_empty() {
            self.standing = Standing::Settled;
            for account in self.accounts.values_mut() {
                account.advance(&self.share, now);
                account.raise(1.0, &self.share);
            }
        }
    }

    /// Admits a request of `customer` that costs `tokens`; one without a quota is always admitted.
    ///
    /// # Errors
    /// There is no room for it; the time until there is.
    pub fn admit(&mut self, customer: &str, tokens: f64, now: BootInstant) -> Result<(), Duration> {
        self.settle(now);
        let Some(account) = self.accounts.get_mut(customer) else {
            return Ok(());
        };
        account.advance(&self.share, now);
        account.ask(tokens, &self.share);
        match self.standing {
            Standing::Settled => account.admit(tokens, &self.share),
            Standing::WarmingUp { until } => Err(until.since(now).max(MIN_WAIT)),
        }
    }

    /// Takes back an admission at `admitted`, as the request was not run; returns whether it still counted.
    pub fn give_back(
        &mut self,
        customer: &str,
        tokens: f64,
        admitted: BootInstant,
        now: BootInstant,
    ) -> bool {
        let Some(account) = self.accounts.get_mut(customer) else {
            return false;
        };
        account.advance(&self.share, now);
        // If nothing counted in the meantime, it has drained already.
        let is_counted = admitted >= account.emptied && account.level(&self.share) > 0.0;
        if is_counted {
            account.take_back(tokens);
        }
        is_counted
    }

    /// Counts requests of `customer` at other entries.
    pub fn record(&mut self, customer: &str, used: TokenUse, now: BootInstant) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.advance(&self.share, now);
            account.count(used, &self.share);
        }
    }

    /// Returns what has been spent of each quota, for a peer; `None` if it is not known, or only for a small part.
    pub fn fills(&mut self, now: BootInstant) -> Option<Vec<Fill>> {
        self.settle(now);
        if self.standing != Standing::Settled || self.share.part < SMALL_PART {
            return None;
        }
        let share = self.share;
        let fills = self.accounts.iter_mut().map(|(name, account)| {
            account.advance(&share, now);
            Fill {
                customer: Arc::clone(name),
                part: account.level(&share) / account.capacity(&share),
            }
        });
        Some(fills.filter(|fill| fill.part > 0.0).collect())
    }

    /// Applies what a peer that knows it says has been spent. Where the views differ, the larger one holds.
    pub fn learn(&mut self, fills: &[Fill], now: BootInstant) {
        if self.accounts.is_empty() {
            if self.standing != Standing::Settled {
                self.early = Some(fills.iter().take(MAX_EARLY).cloned().collect());
            }
            return;
        }
        self.standing = Standing::Settled;
        for fill in fills.iter().filter(|fill| fill.part.is_finite()) {
            if let Some(account) = self.accounts.get_mut(&fill.customer) {
                account.advance(&self.share, now);
                account.raise(fill.part, &self.share);
            }
        }
    }

    /// Returns the state of a customer's quota, if it has one.
    pub fn state(&self, customer: &str, now: BootInstant) -> Option<QuotaState> {
        let mut account = self.accounts.get(customer)?.clone();
        account.advance(&self.share, now);
        Some(QuotaState {
            left: account.room(&self.share),
            rate: account.rate(&self.share),
            admitted_part: account.admitted_part(0.0, &self.share),
        })
    }

    /// Returns the names of the customers with a quota.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<str>> {
        self.accounts.keys()
    }

    /// Returns the tokens of a request that names this usage: the prompt, and the largest output.
    pub fn cost(&self, customer: &str, usage: Option<(u32, u32)>) -> Option<f64> {
        Some(self.accounts.get(customer)?.cost(usage))
    }
}
