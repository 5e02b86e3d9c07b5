//! State shared by the tasks of a dispatcher, which holds leases on upstreams and sends them all orders and requests.

use crate::{
    assignment,
    authority::TakeoverKind,
    catalogue_watch::CatalogueState,
    clock,
    configs::dispatcher::DispatcherConfig,
    fleet::{DispatcherRecord, Fleet, GatewayRecord, Holder},
    holding::{Holding, Surroundings, UpstreamSpec, lock},
    http_client::{self, HttpClient},
    ident::{DispatcherId, Generation, ModelRef, UpstreamId},
    lease::HolderLease,
    link::Link,
    metrics,
    object_api::ObjectApi,
    permit_service::{self, Coordinator},
    permits::Allowance,
    quarantine::Quarantine,
    release_log::ReleaseLog,
    sync_client::Subscriptions,
    upstream_client::UpstreamClient,
    vm_list::{VmList, VmState},
};
use log::info;
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::Notify, task::JoinHandle};
use tokio_util::sync::CancellationToken;

/// A held upstream, its earlier holder and the task that monitors it.
#[derive(Debug)]
struct HeldUpstream {
    holding: Arc<Holding>,
    earlier: assignment::EarlierHolder,
    monitor_task: JoinHandle<()>,
    stable_changed_at: clock::BootInstant,
}

impl Drop for HeldUpstream {
    fn drop(&mut self) {
        self.monitor_task.abort();
    }
}

/// State shared by the dispatcher's tasks.
#[derive(Debug)]
pub struct Context {
    /// Settings.
    pub config: DispatcherConfig,
    /// Incarnation of this process, higher than that of every earlier one of the same name.
    pub incarnation: u64,
    /// Client of the platform's object API.
    pub api: ObjectApi,
    /// Catalogue in force.
    pub catalogue: Arc<CatalogueState>,
    /// Lease of this process.
    pub lease: Arc<Mutex<HolderLease>>,
    /// Fleet as last read.
    pub fleet: Mutex<Fleet>,
    /// VM list as last read.
    pub vms: Mutex<VmList>,
    /// Notified when subscribers should get an update at once.
    pub changed: Arc<Notify>,
    /// Notified when the record should be renewed at once.
    pub renew_now: Notify,
    /// Notified when the fleet should be polled at once.
    pub poll_now: Notify,
    /// Requests suspected of crashing upstreams.
    pub quarantine: Quarantine,
    /// Queue of load permits, in use while this process coordinates them.
    pub coordinator: Arc<Coordinator>,
    /// Subscriptions to the other dispatchers.
    pub peers: Mutex<Option<Subscriptions>>,
    pub(crate) client: HttpClient,
    gateway: Mutex<Option<(u64, GatewayRecord)>>,
    next_subscription_id: AtomicU64,
    pub(crate) stream_stop: CancellationToken,
    held: Mutex<BTreeMap<UpstreamId, HeldUpstream>>,
    seen_vms: Mutex<HashSet<String>>,
    releases: Mutex<ReleaseLog>,
    pub(crate) leaving: AtomicBool,
    registered: AtomicBool,
}

impl Context {
    pub(crate) fn new(config: DispatcherConfig) -> Arc<Self> {
        let allowance = Allowance {
            rate: 1.0,
            streams: 1,
        };
        let client = http_client::build_bound_to(Some(config.link.ip()));
        Arc::new(Self {
            api: ObjectApi::with_client(config.object_api, client.clone()),
            config,
            incarnation: clock::unix_ms() * 1_000 + rand::random_range(0..1_000),
            catalogue: Arc::default(),
            lease: Arc::default(),
            fleet: Mutex::default(),
            vms: Mutex::default(),
            changed: Arc::default(),
            renew_now: Notify::new(),
            poll_now: Notify::new(),
            quarantine: Quarantine::default(),
            coordinator: Arc::new(Coordinator::new(allowance)),
            peers: Mutex::default(),
            client,
            gateway: Mutex::default(),
            next_subscription_id: AtomicU64::new(0),
            stream_stop: CancellationToken::new(),
            held: Mutex::default(),
            seen_vms: Mutex::default(),
            releases: Mutex::default(),
            leaving: AtomicBool::new(false),
            registered: AtomicBool::new(false),
        })
    }

    /// Returns the name of this dispatcher.
    pub fn id(&self) -> DispatcherId {
        DispatcherId::from(self.config.id.as_str())
    }

    /// Returns this process as the holder of an upstream.
    pub fn as_holder(&self) -> Holder {
        Holder {
            id: self.id(),
            incarnation: self.incarnation,
            link: self.config.link,
        }
    }

    /// Returns whether this process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Marks this process's record as written.
    pub fn mark_registered(&self) {
        self.registered.store(true, Ordering::SeqCst);
    }

    /// Returns whether this process's record was ever written.
    pub fn is_registered(&self) -> bool {
        self.registered.load(Ordering::SeqCst)
    }

    /// Returns the gateway on this VM, while it is subscribed.
    pub fn gateway(&self) -> Option<GatewayRecord> {
        lock(&self.gateway)
            .as_ref()
            .map(|(_, record)| record.clone())
    }

    /// Returns a new identifier for a subscription.
    pub fn new_subscription_id(&self) -> u64 {
        self.next_subscription_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Sets the gateway on this VM, and renews the record at once if it changed.
    pub fn set_gateway(&self, subscription: u64, record: GatewayRecord) {
        let mut current = lock(&self.gateway);
        let changed = current.as_ref().is_none_or(|(_, r)| *r != record);
        *current = Some((subscription, record));
        if changed {
            self.renew_now.notify_one();
        }
    }

    /// Removes the gateway whose subscription has ended.
    pub fn clear_gateway(&self, subscription: u64) {
        let mut current = lock(&self.gateway);
        if current.as_ref().is_some_and(|(s, _)| *s == subscription) {
            *current = None;
            self.renew_now.notify_one();
        }
    }

    /// Returns all held upstreams.
    pub fn holdings(&self) -> Vec<Arc<Holding>> {
        lock(&self.held)
            .values()
            .map(|h| Arc::clone(&h.holding))
            .collect()
    }

    /// Returns a held upstream.
    pub fn holding(&self, id: &str) -> Option<Arc<Holding>> {
        lock(&self.held).get(id).map(|h| Arc::clone(&h.holding))
    }

    /// Returns the earlier holder of a held upstream.
    pub fn earlier_holder(&self, id: &str) -> assignment::EarlierHolder {
        lock(&self.held).get(id).and_then(|h| h.earlier.clone())
    }

    /// Starts using an upstream that was claimed or resumed.
    pub fn start_holding(
        self: &Arc<Self>,
        spec: UpstreamSpec,
        generation: Generation,
        takeover: TakeoverKind,
        stable: BTreeSet<ModelRef>,
        earlier: assignment::EarlierHolder,
    ) {
        let client = UpstreamClient::new(spec.address, self.client.clone());
        let id = Arc::clone(&spec.id);
        let holding = Holding::new(
            spec,
            generation,
            takeover,
            self.config.eviction,
            stable,
            client,
            self.surroundings(),
        );
        let monitored = Arc::clone(&holding);
        let monitor_task = tokio::spawn(async move {
            monitored.sync_engine().await;
            monitored.monitor().await;
        });
        let stable_changed_at = clock::BootInstant::now();
        lock(&self.held).insert(
            id,
            HeldUpstream {
                holding,
                earlier,
                monitor_task,
                stable_changed_at,
            },
        );
        metrics::upstreams_held(lock(&self.held).len());
        self.changed.notify_waiters();
    }

    fn surroundings(self: &Arc<Self>) -> Surroundings {
        let context = Arc::downgrade(self);
        Surroundings {
            lease: Arc::clone(&self.lease),
            permits: Arc::new(move |source| {
                let context = std::sync::Weak::clone(&context);
                Box::pin(async move {
                    match context.upgrade() {
                        Some(context) => permit_service::acquire(&context, source).await,
                        None => std::future::pending().await,
                    }
                })
            }),
            changed: Arc::clone(&self.changed),
            max_timeout: Duration::from_millis(self.config.max_timeout),
        }
    }

    /// Stops using an upstream; requests in flight finish.
    pub fn drop_holding(&self, holding: &Arc<Holding>) {
        let mut held = lock(&self.held);
        let id = &holding.spec.id;
        if held
            .get(id)
            .is_some_and(|h| h.holding.generation == holding.generation)
        {
            held.remove(id);
            lock(&self.releases).push((Arc::clone(id), holding.generation));
        }
        metrics::upstreams_held(held.len());
        drop(held);
        holding.schedule();
        self.changed.notify_waiters();
    }

    /// Returns the releases after the first `known` ones, and the total count.
    pub fn released_since(&self, known: usize) -> (Vec<(UpstreamId, Generation)>, usize) {
        lock(&self.releases).after(known)
    }

    /// Returns whether the stable set of an upstream is due for an update; if so, the next interval starts.
    pub fn stable_due(&self, id: &str, interval: Duration) -> bool {
        let now = clock::BootInstant::now();
        let mut held = lock(&self.held);
        let Some(entry) = held.get_mut(id) else {
            return false;
        };
        let due = now.since(entry.stable_changed_at) >= interval;
        if due {
            entry.stable_changed_at = now;
        }
        due
    }

    /// Returns the upstreams that are listed as live.
    pub fn live_specs(&self) -> Vec<UpstreamSpec> {
        let all = assignment::specs(self).into_iter();
        all.filter(|(_, state)| *state == VmState::Live)
            .map(|(spec, _)| spec)
            .collect()
    }

    /// Returns whether a VM was listed before and is no longer.
    pub fn was_delisted(&self, id: &str) -> bool {
        let now = lock(&self.vms).vms.iter().any(|v| v.id == id);
        !now && lock(&self.seen_vms).contains(id)
    }

    /// Returns the live dispatchers that may hold upstreams, including this one once it is registered.
    pub fn eligible(&self) -> Vec<DispatcherRecord> {
        lock(&self.fleet).eligible().cloned().collect()
    }

    /// Returns the link to another dispatcher.
    pub fn peer_link(&self, address: SocketAddr) -> Option<Arc<Link>> {
        lock(&self.peers).as_ref().and_then(|p| p.link(address))
    }

    /// Subscribes to the dispatchers that are live now and to the configured peers.
    pub fn subscribe_to_peers(&self) {
        let own = self.config.link;
        let mut addresses: Vec<SocketAddr> = lock(&self.fleet)
            .live()
            .map(|r| r.link)
            .filter(|a| *a != own)
            .collect();
        let configured = self.config.peers.0.iter().filter(|a| **a != own);
        addresses.extend(configured);
        if let Some(peers) = lock(&self.peers).as_mut() {
            peers.set_addresses(&addresses);
        }
    }

    pub(crate) fn set_vms(self: &Arc<Self>, list: VmList) {
        lock(&self.seen_vms).extend(list.vms.iter().map(|v| v.id.clone()));
        *lock(&self.vms) = list;
        for (spec, state) in assignment::specs(self) {
            let Some(holding) = self.holding(&spec.id) else {
                continue;
            };
            if state == VmState::Leaving && !holding.scheduler().is_leaving() {
                info!(upstream = &*spec.id; "placement: the upstream is leaving");
                tokio::spawn(assignment::hand_over(Arc::clone(self), holding));
            }
        }
        self.drop_delisted();
    }

    fn drop_delisted(&self) {
        for holding in self.holdings() {
            if self.was_delisted(&holding.spec.id) {
                holding.mark_lost("the VM is no longer listed");
                self.drop_holding(&holding);
            }
        }
    }

    pub(crate) fn status(&self) -> serde_json::Value {
        let holdings = self.holdings();
        let records = lock(&self.fleet).records().upstreams;
        let generations: HashMap<_, _> =
            records.into_iter().map(|r| (r.id, r.generation)).collect();
        json!({
            "id": self.config.id,
            "incarnation": self.incarnation,
            "revision": self.catalogue.revision(),
            "leaving": self.is_leaving(),
            "upstreams": holdings.iter().map(|h| h.status()).collect::<Vec<_>>(),
            "generations": generations,
            "permits_waiting": self.coordinator.waiting(),
        })
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.is_registered() && self.catalogue.revision() > 0 && !self.is_leaving()
    }
}
