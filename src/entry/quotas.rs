//! Quotas of customers: admits requests, and tells peers of the tokens that were spent.

use crate::{
    clock::BootInstant,
    decide::quota::{Contact, Fill, QuotaSettings, QuotaState, Quotas, TokenUse},
    edge::{codec::RequestHead, deployment::Deployment},
    entry::{
        context::Entry,
        messages::{CustomerUse, PeerUpdate, QuotaUpdate},
        peers::{Peer, Peers},
    },
    holding::lock,
    metrics,
};
use log::{info, warn};
use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

/// Number of records kept for the updates to peers; several seconds' worth in the largest deployment.
const CAPACITY: usize = 16_384;

/// Interval at which the entries that are heard are counted again.
const CONTACT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which an entry that is no longer heard keeps its part of the quotas: longer than entries are cut off from each
/// other or frozen.
const ENTRIES_MEMORY: Duration = Duration::from_mins(1);

/// Time whose rate must be left of every quota for peers to learn of their use only now and then.
const PLENTY: Duration = Duration::from_millis(750);

/// Time after a quota had less left for which peers learn of the use of quotas at once.
const SHORTAGE: Duration = Duration::from_secs(1);

/// Interval at which peers learn of the use of quotas while there is plenty; at most half of the settling time.
const CALM_INTERVAL: Duration = Duration::from_millis(200);

/// Tokens that an entry admitted or refused, or several that a peer reported together.
#[derive(Clone, Debug)]
struct UseRecord {
    /// Peer that reported it; `None` for this entry.
    source: Option<Arc<str>>,
    customer: Arc<str>,
    used: TokenUse,
}

/// Log of the use of quotas, in the order in which it became known.
#[derive(Debug, Default)]
pub struct UseLog {
    records: VecDeque<UseRecord>,
    /// Number of the first record that is kept.
    first: u64,
}

impl UseLog {
    fn add(&mut self, record: UseRecord) {
        if self.records.len() >= CAPACITY {
            self.records.pop_front();
            self.first += 1;
        }
        self.records.push_back(record);
    }

    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Returns the use by customer in the records from number `from` on.
    fn sums(&self, from: u64, is_included: impl Fn(&Option<Arc<str>>) -> bool) -> Vec<CustomerUse> {
        if from < self.first {
            warn!(records = self.first - from; "quotas: a peer was not told of some requests");
        }
        let skipped = from.saturating_sub(self.first) as usize;
        let new = self.records.iter().skip(skipped);
        let mut sums: HashMap<&Arc<str>, TokenUse> = HashMap::new();
        for record in new.filter(|r| is_included(&r.source)) {
            let sum = sums.entry(&record.customer).or_default();
            sum.admitted += record.used.admitted;
            sum.refused += record.used.refused;
            sum.returned += record.used.returned;
        }
        let uses = sums.into_iter().map(|(name, used)| CustomerUse {
            customer: Arc::clone(name),
            admitted: used.admitted as u64,
            refused: used.refused as u64,
            returned: used.returned as u64,
        });
        uses.collect()
    }
}

/// Quotas of this entry, and what its peers are to learn.
#[derive(Debug, Default)]
pub struct FleetQuotas {
    quotas: Quotas,
    log: UseLog,
    /// Other entries that may admit requests, and when each was last heard.
    known: HashMap<Arc<str>, BootInstant>,
    /// Entries that each peer hears.
    contacts: HashMap<Arc<str>, Contact>,
    /// Entries that this one hears.
    contact: Contact,
    /// When the entries were last counted.
    counted: BootInstant,
    /// When an update of a peer last came.
    heard: BootInstant,
    /// Until when a quota counts as short.
    short_until: BootInstant,
}

impl FleetQuotas {
    /// Returns quotas of a process; `has_peers` tells whether others may know what has been spent.
    pub fn new(seed: u64, has_peers: bool) -> Self {
        let settings = QuotaSettings {
            seed,
            ..QuotaSettings::default()
        };
        let quotas = if has_peers {
            Quotas::after_restart(settings, BootInstant::now())
        } else {
            Quotas::new(settings)
        };
        Self {
            quotas,
            ..Self::default()
        }
    }

    fn configure(&mut self, deployment: &Deployment, now: BootInstant) {
        let customers = deployment.customers.as_deref().unwrap_or_default();
        let limited = customers.iter().filter_map(|c| Some((&c.name, c.quota?)));
        self.quotas.configure(limited, now);
        if self.quotas.is_empty() {
            self.known = HashMap::new();
            self.log.first = self.log.next();
            self.log.records = VecDeque::new();
        }
    }

    /// Counts the entries that are heard, and adapts the part of the quotas that is theirs. An entry that has a relay
    /// learns later than it which others are silent.
    fn refresh(&mut self, peers: &Peers, relay: Option<&Peer>, now: BootInstant) {
        self.counted = now;
        let (leaving, staying): (Vec<_>, Vec<_>) = peers.reported(now).partition(|i| i.leaving);
        for info in &leaving {
            self.known.remove(&info.name);
        }
        let heard: HashSet<&Arc<str>> = staying.into_iter().map(|info| &info.name).collect();
        for name in &heard {
            self.known.insert(Arc::clone(name), now);
        }
        self.known
            .retain(|_, last| now.since(*last) < ENTRIES_MEMORY);
        self.contacts
            .retain(|name, _| self.known.contains_key(name));
        let own = Contact {
            heard: heard.len() + 1,
            known: self.known.len() + 1,
        };
        let relay = relay.filter(|peer| heard.contains(&peer.info.name));
        let relayed = relay.and_then(|peer| self.contacts.get(&peer.info.name));
        let contact = relayed.map_or(own, |relayed| Contact {
            heard: relayed.heard.min(own.heard),
            known: relayed.known.max(own.known),
        });
        if self.quotas.set_contact(contact, now) {
            info!(heard = contact.heard, known = contact.known; "quotas: the entries that are not heard keep their part");
        }
        self.contact = contact;
    }

    /// Returns the state of a customer's quota, and notes if it is short.
    fn observe(&mut self, customer: &str, now: BootInstant) -> QuotaState {
        let state = self.quotas.state(customer, now).unwrap_or_default();
        if state.left < state.rate * PLENTY.as_secs_f64() {
            self.short_until = now + SHORTAGE;
        }
        state
    }

    /// Counts what this entry has decided, for its peers and its metrics.
    fn note(&mut self, customer: &Arc<str>, used: TokenUse, now: BootInstant) {
        for (outcome, tokens) in [
            ("admitted", used.admitted),
            ("refused", used.refused),
            ("returned", used.returned),
        ] {
            if tokens > 0.0 {
                metrics::quota_tokens(customer, outcome, tokens as u64);
            }
        }
        let state = self.observe(customer, now);
        metrics::quota_left(customer, state.left);
        metrics::quota_age(now.since(self.heard.max(BootInstant(1))).as_secs_f64());
        self.log.add(UseRecord {
            source: None,
            customer: Arc::clone(customer),
            used,
        });
    }
}

/// What one stream of updates has told.
#[derive(Debug, Default)]
pub struct UseFeed {
    /// Number of the next record to send; `None` before the first update.
    next: Option<u64>,
    /// Whether the peer was told what has been spent.
    has_fills: bool,
    contact: Option<Contact>,
    /// When use was last told.
    sent: BootInstant,
}

impl UseFeed {
    /// Returns what to tell a peer: once what has been spent, then the use since the last update by the entries for which
    /// `is_included` holds of the peer that reported it.
    pub fn take(
        &mut self,
        fleet: &mut FleetQuotas,
        is_included: impl Fn(&Option<Arc<str>>) -> bool,
        now: BootInstant,
    ) -> Option<QuotaUpdate> {
        if fleet.quotas.is_empty() {
            *self = Self::default();
            return None;
        }
        let fills = if self.has_fills {
            None
        } else {
            fleet.quotas.fills(now)
        };
        self.has_fills |= fills.is_some();
        let uses = match self.next {
            None => {
                self.next = Some(fleet.log.next());
                Vec::new()
            }
            Some(_) if now >= fleet.short_until && now < self.sent + CALM_INTERVAL => Vec::new(),
            Some(from) => {
                self.next = Some(fleet.log.next());
                self.sent = now;
                fleet.log.sums(from, is_included)
            }
        };
        let contact = Some(fleet.contact).filter(|contact| self.contact != Some(*contact));
        self.contact = Some(fleet.contact);
        if fills.is_none() && uses.is_empty() && contact.is_none() {
            return None;
        }
        Some(QuotaUpdate {
            fills: fills.map(|all| all.into_iter().map(|f| (f.customer, f.part)).collect()),
            uses,
            contact: contact.map(|c| (c.heard as u32, c.known as u32)),
        })
    }
}

impl From<&CustomerUse> for TokenUse {
    fn from(used: &CustomerUse) -> Self {
        Self {
            admitted: used.admitted as f64,
            refused: used.refused as f64,
            returned: used.returned as f64,
        }
    }
}

/// Tokens of an admitted request, which are given back when it is dropped without having been sent.
#[derive(Debug)]
pub struct QuotaHold {
    entry: Arc<Entry>,
    customer: Arc<str>,
    tokens: f64,
    admitted: BootInstant,
    /// Times that an upstream may have run the request.
    runs: AtomicU32,
}

impl QuotaHold {
    /// Notes that the request is about to be sent to an upstream; what runs again counts again.
    pub fn sending(&self) {
        if self.runs.fetch_add(1, Ordering::SeqCst) == 0 {
            return;
        }
        let used = TokenUse {
            admitted: self.tokens,
            ..TokenUse::default()
        };
        let now = BootInstant::now();
        let mut fleet = lock(&self.entry.quotas);
        fleet.quotas.record(&self.customer, used, now);
        fleet.note(&self.customer, used, now);
    }

    /// Notes that the upstream to which the request was last sent has not run it.
    pub fn not_run(&self) {
        if self.runs.fetch_sub(1, Ordering::SeqCst) > 1 {
            self.give_back();
        }
    }

    fn give_back(&self) {
        let now = BootInstant::now();
        let mut fleet = lock(&self.entry.quotas);
        if fleet
            .quotas
            .give_back(&self.customer, self.tokens, self.admitted, now)
        {
            let used = TokenUse {
                returned: self.tokens,
                ..TokenUse::default()
            };
            fleet.note(&self.customer, used, now);
        }
    }
}

impl Drop for QuotaHold {
    fn drop(&mut self) {
        if self.runs.load(Ordering::SeqCst) == 0 {
            self.give_back();
        }
    }
}

impl Entry {
    /// Puts the quotas of the configuration in force.
    pub fn configure_quotas(&self, deployment: &Deployment) {
        lock(&self.quotas).configure(deployment, BootInstant::now());
    }

    /// Admits a request of `customer`; returns `None` if that customer has no quota.
    ///
    /// # Errors
    /// The quota is spent; the time until there is room for the request.
    pub fn take_quota(
        self: &Arc<Self>,
        customer: &Arc<str>,
        head: &RequestHead,
    ) -> Result<Option<QuotaHold>, Duration> {
        let now = BootInstant::now();
        self.refresh_quotas(now);
        let mut fleet = lock(&self.quotas);
        let Some(tokens) = fleet.quotas.cost(customer, head.usage()) else {
            return Ok(None);
        };
        let tokens = tokens.round();
        let verdict = fleet.quotas.admit(customer, tokens, now);
        let mut used = TokenUse::default();
        match verdict {
            Ok(()) => used.admitted = tokens,
            Err(_) => used.refused = tokens,
        }
        fleet.note(customer, used, now);
        let state = fleet.observe(customer, now);
        let is_short = now < fleet.short_until;
        drop(fleet);
        if is_short {
            self.notify_peers();
        }
        if let Err(wait) = verdict {
            info!(
                request = &*head.id, customer = &**customer, tokens = tokens, wait_ms = wait.as_millis() as u64,
                left = state.left, rate = state.rate, part = state.admitted_part;
                "admission: the customer's quota is spent"
            );
            return Err(wait);
        }
        Ok(Some(QuotaHold {
            entry: Arc::clone(self),
            customer: Arc::clone(customer),
            tokens,
            admitted: now,
            runs: AtomicU32::new(0),
        }))
    }

    /// Counts the entries that are heard again if that is due.
    pub fn refresh_quotas(&self, now: BootInstant) {
        let is_due = {
            let fleet = lock(&self.quotas);
            !fleet.quotas.is_empty() && now.since(fleet.counted) >= CONTACT_INTERVAL
        };
        if is_due {
            self.count_entries(now);
        }
    }

    fn count_entries(&self, now: BootInstant) {
        let relay = self.control.load().relay;
        let peers = lock(&self.peers);
        let relay = relay.and_then(|address| peers.by_link(address));
        lock(&self.quotas).refresh(&peers, relay, now);
    }

    /// Applies the use of quotas in a peer's update.
    pub fn apply_peer_quotas(&self, update: &PeerUpdate) {
        let now = BootInstant::now();
        let source = &update.info.name;
        lock(&self.quotas).heard = now;
        let Some(quotas) = &update.quotas else {
            return;
        };
        if let Some((heard, known)) = quotas.contact {
            let contact = Contact {
                heard: heard as usize,
                known: known as usize,
            };
            let name = Arc::clone(source);
            lock(&self.quotas).contacts.insert(name, contact);
        }
        if quotas.fills.is_some() || quotas.contact.is_some() {
            self.count_entries(now);
        }
        let mut fleet = lock(&self.quotas);
        for used in &quotas.uses {
            fleet.quotas.record(&used.customer, used.into(), now);
            fleet.observe(&used.customer, now);
            fleet.log.add(UseRecord {
                source: Some(Arc::clone(source)),
                customer: Arc::clone(&used.customer),
                used: used.into(),
            });
        }
        if let Some(fills) = &quotas.fills {
            let fills = fills.iter().map(|(customer, part)| Fill {
                customer: Arc::clone(customer),
                part: *part,
            });
            let fills: Vec<Fill> = fills.collect();
            fleet.quotas.learn(&fills, now);
        }
    }
}
