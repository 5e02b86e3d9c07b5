//! What the parts of an entry share.

use crate::{
    clock::{self, BootInstant},
    configs::entry::EntryConfig,
    decide::{
        load_balancing::Candidate, order_lease::OrderLease, outliers::Outliers,
        prefill::PrefillSchedule, registry::Registry, retry_budget::ServiceRetryBudget,
        routes::RouteTable, takeover::LateOrder,
    },
    edge::{
        codec::{Codec, InferenceWork},
        deployment::{Deployment, Service},
        registration::{AdapterKey, Registration},
    },
    entry::{
        control::ControlView,
        controller::{Command, ControllerHandle},
        late_orders::LateOrders,
        messages::PeerInfo,
        peers::Peers,
        prompt_log::PromptLog,
        usage::Usage,
    },
    holding::lock,
    ident::{Revision, UpstreamId},
    link::Link,
    path::pool::Pool,
};
use arc_swap::ArcSwap;
use log::info;
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::sync::{Notify, watch};

/// Version of an adapter of which no other was announced.
pub const FIRST_VERSION: u32 = 1;

/// Shared state of an entry.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub config: EntryConfig,
    /// This process; grows with each start of the VM.
    pub incarnation: u64,
    /// Reads and writes heads.
    pub codec: Arc<dyn Codec>,
    /// The configuration in force.
    pub routes: ArcSwap<RouteTable>,
    /// Registered upstreams.
    pub registry: Mutex<Registry>,
    /// Upstreams that fail.
    pub outliers: Mutex<Outliers>,
    /// Repeats that may be made.
    pub retry_budget: Mutex<ServiceRetryBudget>,
    /// Newest versions of adapters, where announced.
    pub versions: Mutex<HashMap<AdapterKey, u32>>,
    /// Reading of prompts at the engines, of all entries.
    pub prefill: Mutex<PrefillSchedule>,
    /// Own requests.
    pub usage: Usage,
    /// Other entries.
    pub peers: Mutex<Peers>,
    /// The control set as this entry sees it.
    pub control: ArcSwap<ControlView>,
    /// Prompts that entries reserved lately.
    pub prompt_log: Mutex<PromptLog>,
    /// Unanswered orders of earlier holders.
    pub late_orders: Mutex<LateOrders>,
    /// Connections to upstreams.
    pub pool: Arc<Pool>,
    /// Engines that this entry gives orders to.
    pub controllers: Mutex<HashMap<UpstreamId, ControllerHandle>>,
    /// This entry's right to give orders.
    pub order_lease: Mutex<OrderLease>,
    /// Counts what other entries should hear of at once.
    pub update_trigger: watch::Sender<u64>,
    /// Told when upstreams started or went.
    pub registry_changed: Notify,
    /// Link addresses of entries that may be up, from the settings.
    pub seeds: Mutex<Vec<SocketAddr>>,
    /// Link addresses of entries that have a record in the store.
    pub listed_links: Mutex<Vec<SocketAddr>>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    leaving: AtomicBool,
    /// Whether a configuration is being fetched from another entry.
    fetching: AtomicBool,
    /// Whether it has given its last order.
    ordered: AtomicBool,
}

impl Entry {
    /// An entry that knows nothing yet.
    pub fn new(config: EntryConfig, codec: Arc<dyn Codec>) -> Arc<Self> {
        let budget = ServiceRetryBudget::new(config.budget);
        Arc::new(Self {
            incarnation: clock::unix_ms(),
            codec,
            routes: ArcSwap::from_pointee(RouteTable::default()),
            registry: Mutex::default(),
            outliers: Mutex::default(),
            retry_budget: Mutex::new(budget),
            versions: Mutex::default(),
            prefill: Mutex::default(),
            usage: Usage::default(),
            peers: Mutex::default(),
            // Until others are heard of, each entry must serve alone.
            control: ArcSwap::from_pointee(ControlView {
                is_member: true,
                ..ControlView::default()
            }),
            prompt_log: Mutex::default(),
            late_orders: Mutex::default(),
            pool: Arc::new(Pool::new(config.callers.ip())),
            controllers: Mutex::default(),
            order_lease: Mutex::default(),
            update_trigger: watch::Sender::new(0),
            registry_changed: Notify::new(),
            seeds: Mutex::new(config.peers.0.clone()),
            listed_links: Mutex::default(),
            links: Mutex::default(),
            leaving: AtomicBool::new(false),
            fetching: AtomicBool::new(false),
            ordered: AtomicBool::new(false),
            config,
        })
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.revision() > 0 && !self.is_leaving()
    }

    /// Whether this entry is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Begins to stop.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.notify_peers();
    }

    /// Has other entries hear of a change at once.
    pub fn notify_peers(&self) {
        self.update_trigger.send_modify(|n| *n += 1);
    }

    /// Revision of the configuration in force; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.routes.load().deployment.revision
    }

    /// Puts a configuration in force unless it is older than the present one.
    pub fn apply_deployment(&self, deployment: Deployment, source: &str) -> bool {
        let (before, revision) = (self.revision(), deployment.revision);
        if revision <= before {
            return false;
        }
        let (routes, services) = (deployment.routes.len(), deployment.services.len());
        self.routes.store(Arc::new(RouteTable::new(deployment)));
        info!(revision = revision, before = before, routes = routes, services = services, source = source; "configuration in force");
        self.notify_peers();
        true
    }

    /// Begins to fetch a configuration from another entry; false if a fetch is under way.
    pub fn begin_fetch(&self) -> bool {
        !self.fetching.swap(true, Ordering::SeqCst)
    }

    /// The fetch has ended.
    pub fn end_fetch(&self) {
        self.fetching.store(false, Ordering::SeqCst);
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<Service> {
        self.routes.load().deployment.service(name).cloned()
    }

    /// Newest version of an adapter.
    pub fn newest_version(&self, key: &AdapterKey) -> u32 {
        let versions = lock(&self.versions);
        versions.get(key).copied().unwrap_or(FIRST_VERSION)
    }

    /// Takes in a newest version; whether it was news.
    pub fn update_version(&self, key: &AdapterKey, version: u32) -> bool {
        let mut versions = lock(&self.versions);
        let known = versions.get(key).copied().unwrap_or(FIRST_VERSION);
        if version <= known {
            return false;
        }
        versions.insert(key.clone(), version);
        drop(versions);
        info!(adapter:% = key, version = version, before = known; "newer version of an adapter");
        self.notify_peers();
        true
    }

    /// What this entry says of itself.
    pub fn peer_info(&self) -> PeerInfo {
        PeerInfo {
            name: Arc::from(self.config.id.as_str()),
            incarnation: self.incarnation,
            link: self.config.link,
            callers: self.config.callers,
            data_centre: Arc::from(self.config.data_centre.as_str()),
            ready: self.is_ready(),
            leaving: self.is_leaving(),
            processor: (self.config.processor * 1_000.0) as u32,
            revision: self.revision(),
            follows: lock(&self.registry).follows_store(),
        }
    }

    /// A link to the entry at `address`.
    pub fn link(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = lock(&self.links);
        let link = links.entry(address).or_insert_with(|| {
            let key = Arc::from(self.config.key.as_str());
            Arc::new(Link::new(address, self.config.link.ip(), key))
        });
        Arc::clone(link)
    }

    /// Gives no order from now on.
    pub fn stop_orders(&self) {
        self.ordered.store(true, Ordering::SeqCst);
    }

    /// Whether orders may be given now; also while leaving, as nobody else may give them yet.
    pub fn may_send_orders(&self) -> bool {
        !self.ordered.load(Ordering::SeqCst)
            && lock(&self.order_lease).may_order(BootInstant::now())
    }

    /// Whether requests use `key` at `upstream`, of any entry.
    pub fn is_adapter_in_use(&self, upstream: &UpstreamId, key: &AdapterKey) -> bool {
        self.usage.uses(upstream, key) || lock(&self.peers).uses(upstream, key)
    }

    /// Orders that may still be carried out, of this entry and of earlier holders of its engines.
    pub fn late_orders(&self) -> Vec<LateOrder> {
        let controllers = lock(&self.controllers);
        let own = controllers.values().flat_map(ControllerHandle::late);
        let mut all: HashSet<LateOrder> = own.collect();
        drop(controllers);
        let inherited = lock(&self.late_orders);
        all.extend(inherited.pending(BootInstant::now()).cloned());
        all.into_iter().collect()
    }

    /// Tells the controller of `upstream` something, if this entry holds it; whether it does.
    pub fn send_to_controller(&self, upstream: &str, command: Command) -> bool {
        let controllers = lock(&self.controllers);
        let controller = controllers.get(upstream);
        if let Some(controller) = controller {
            controller.tell(command);
        }
        controller.is_some()
    }

    /// Drops what is remembered of an upstream that is gone.
    pub fn forget_upstream(&self, id: &str, reason: &str) {
        info!(upstream = id, reason = reason; "upstream gone");
        lock(&self.outliers).forget(id);
        self.usage.forget(id);
        lock(&self.prefill).forget(id);
        self.pool.forget(id);
        self.registry_changed.notify_one();
    }

    /// Number of entries, this one included.
    pub fn entry_count(&self) -> usize {
        lock(&self.peers).live(BootInstant::now()).len() + 1
    }

    /// Whether this entry follows the store and may hold engines; also while it still holds some.
    pub fn is_control_member(&self) -> bool {
        self.control.load().is_member
    }

    /// Link address of the other entry that holds `upstream`.
    pub fn holder_link(&self, upstream: &str) -> Option<SocketAddr> {
        let peers = lock(&self.peers);
        let held = peers.held_engine(upstream, BootInstant::now())?;
        held.holder.map(|info| info.link)
    }

    /// Link addresses of the control set, this entry's included if it is a member.
    pub fn control_links(&self) -> Vec<SocketAddr> {
        let view = self.control.load();
        let own = view.is_member.then_some(self.config.link);
        view.links.iter().copied().chain(own).collect()
    }

    /// Whether another entry that is heard of learns every change from the store.
    pub fn has_peer_following_store(&self) -> bool {
        let peers = lock(&self.peers);
        let live = peers.live(BootInstant::now());
        live.iter().any(|info| info.follows)
    }

    /// Upstreams of `service` that may take new work, without those in `excluded`.
    pub fn serving_upstreams(
        &self,
        service: &str,
        excluded: &[UpstreamId],
    ) -> Vec<Arc<Registration>> {
        let now = BootInstant::now();
        let registry = lock(&self.registry);
        let outliers = lock(&self.outliers);
        let wanted = registry
            .serving(service)
            .filter(|r| !excluded.contains(&r.id));
        let mut all: Vec<Arc<Registration>> = wanted.cloned().collect();
        if all.iter().any(|r| !outliers.is_ejected(&r.id, now)) {
            all.retain(|r| !outliers.is_ejected(&r.id, now));
        }
        all
    }

    /// Whether the process that `upstream` describes still takes new work.
    pub fn is_still_serving(&self, upstream: &Registration) -> bool {
        let registry = lock(&self.registry);
        let now = registry.get(&upstream.id);
        now.is_some_and(|r| r.is_serving() && r.is_same_process(upstream))
    }

    /// Describes `upstream` for a request with `work` for an engine.
    pub fn candidate<'a>(
        &self,
        upstream: &'a Registration,
        work: Option<&InferenceWork>,
    ) -> Candidate<'a> {
        let key = work.and_then(|w| w.adapter.as_ref());
        let model = work.map(|w| &*w.model);
        let tokens = work.map_or(0, |w| w.prompt_tokens);
        let now = BootInstant::now();
        let peers = lock(&self.peers);
        let in_flight = self.usage.running(&upstream.id) + peers.in_flight(&upstream.id, now);
        let holds_model = model.is_none_or(|m| upstream.models.iter().any(|h| &*h.name == m));
        let (resident, loadable) = match key {
            None => (holds_model, false),
            Some(key) => {
                let (version, active) = self.held_version(upstream, key, &peers, now);
                let wanted = self.newest_version(key);
                let resident = version.is_some_and(|v| v >= wanted);
                (resident && holds_model, active && holds_model)
            }
        };
        Candidate {
            id: &upstream.id,
            slots: upstream.slots,
            in_flight,
            wait: lock(&self.prefill).wait(&upstream.id, tokens, now),
            resident,
            loadable,
        }
    }

    /// The version of `key` that `upstream` is known to hold, or else the newest one.
    pub fn usable_version(&self, upstream: &Registration, key: &AdapterKey) -> u32 {
        let wanted = self.newest_version(key);
        let peers = lock(&self.peers);
        let (held, _) = self.held_version(upstream, key, &peers, BootInstant::now());
        held.map_or(wanted, |v| v.max(wanted))
    }

    /// The version of `key` at `upstream`, and whether its holder may give orders; from the holder's word, or
    /// from the registration where there is no holder.
    fn held_version(
        &self,
        upstream: &Registration,
        key: &AdapterKey,
        peers: &Peers,
        now: BootInstant,
    ) -> (Option<u32>, bool) {
        if let Some(controller) = lock(&self.controllers).get(&upstream.id) {
            let (version, active) = controller.lookup(key);
            return (version, active && self.may_send_orders());
        }
        if let Some(held) = peers.held_engine(&upstream.id, now) {
            let active = held.engine.active && held.is_live;
            return (held.engine.adapters.get(key).copied(), active);
        }
        let listed = upstream.models.iter().flat_map(|m| &m.adapters);
        let mut same = listed.filter(|a| a.key == *key);
        (same.next().map(|a| a.version), false)
    }
}
