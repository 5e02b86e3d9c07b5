//! State shared by the tasks of an entry.

use crate::{
    byte_budget::ByteBudget,
    clock::{self, BootInstant},
    configs::entry::EntryConfig,
    decide::{
        begun_streams::BegunStreams,
        brittle::BrittleUpstreams,
        build_history::BuildHistory,
        contact::Contact,
        engine_speed::EngineSpeeds,
        hold_offs::HoldOffs,
        load_limit::LoadLimit,
        order_lease::OrderLease,
        outliers::Outliers,
        paths::{Path, Paths},
        prefill::PrefillSchedule,
        prompt_cache::PromptCaches,
        rate_limit::RateLimits,
        registry::Registry,
        retry_budget::ServiceRetryBudget,
        routes::RouteTable,
        run_time::RunTimes,
        shutdown::Shutdown,
        standing::StandingState,
        store_eras::StoreEras,
    },
    edge::{
        codec::Codec,
        deployment::{Deployment, Service},
        registration::{AdapterKey, Registration},
    },
    entry::{
        control::ControlView,
        controller_handle::{Command, ControllerHandle},
        currency::Currency,
        late_orders::LateOrders,
        links::Links,
        messages::{PeerInfo, Reach},
        peers::Peers,
        quotas::FleetQuotas,
        read_requests::ReadRequests,
        send_log::SendLog,
        speeds::SpeedLog,
        stored_streams::StoredStreams,
        usage::Usage,
    },
    holding::lock,
    ident::{Revision, UpstreamId, rendezvous},
    path::pool::Pool,
    quarantine::Quarantine,
    refused_subject::RefusedSubject,
    wire::{Strike, Subject},
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
use tokio_util::task::TaskTracker;

/// Version of an adapter for which no newer one was announced.
pub const FIRST_VERSION: u32 = 1;

/// Largest number of peers from which a configuration is fetched at the same time: one that falls silent must not delay
/// it, and it may be large.
const MAX_FETCHES: usize = 3;

/// Shared state of an entry.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub config: EntryConfig,
    /// Number of this process; grows with each start of the VM.
    pub incarnation: u64,
    /// Codec of request and response heads.
    pub codec: Arc<dyn Codec>,
    /// Routes of the configuration in force.
    pub routes: ArcSwap<RouteTable>,
    /// Registered upstreams.
    pub registry: Mutex<Registry>,
    /// Failing upstreams.
    pub outliers: Mutex<Outliers>,
    /// Budget of retries.
    pub retry_budget: Mutex<ServiceRetryBudget>,
    /// Requests and parts of prompts suspected of crashing upstreams.
    pub quarantine: Quarantine,
    /// Quotas of customers.
    pub quotas: Mutex<FleetQuotas>,
    /// Newest announced versions of adapters.
    pub versions: Mutex<HashMap<AdapterKey, u32>>,
    /// Prefill work at the engines, reserved by all entries.
    pub prefill: Mutex<PrefillSchedule>,
    /// Beginnings of prompts that engines are likely to hold.
    pub prompt_caches: Mutex<PromptCaches>,
    /// What the order of admission among priorities goes by.
    pub standing: Mutex<StandingState>,
    /// How fast the engines generate, as all entries have measured.
    pub speeds: Mutex<EngineSpeeds>,
    /// Recent measurements of that, to be passed on to peers.
    pub speed_log: Mutex<SpeedLog>,
    /// How long recent requests took on each route.
    pub run_times: Mutex<RunTimes>,
    /// This entry's requests in flight.
    pub usage: Usage,
    /// Other entries.
    pub peers: Mutex<Peers>,
    /// This entry's view of the control set.
    pub control: ArcSwap<ControlView>,
    /// Limits that upstreams have named.
    pub rate_limits: Mutex<RateLimits>,
    /// Upstreams that are brittle.
    pub brittle: Mutex<BrittleUpstreams>,
    /// Pauses that upstreams have asked for.
    pub hold_offs: Mutex<HoldOffs>,
    /// Recent requests, to be passed on to peers.
    pub send_log: Mutex<SendLog>,
    /// Orders of earlier holders that got no response.
    pub late_orders: Mutex<LateOrders>,
    /// Builds that began recent streams.
    pub begun: Mutex<BegunStreams>,
    /// Streams whose builds were found in the store.
    pub stored: StoredStreams,
    /// Builds that have served recently.
    pub builds: Mutex<BuildHistory>,
    /// Requests that wait for a read of these builds.
    pub build_reads: ReadRequests,
    /// How upstreams are reached.
    pub paths: Mutex<Paths>,
    /// Attempts that this entry passes on for others.
    pub detours: TaskTracker,
    /// Requests of callers in flight.
    pub requests: TaskTracker,
    /// Bytes that are buffered from upstreams.
    pub upstream_bytes: ByteBudget,
    /// Bytes of callers' request bodies.
    pub upload_bytes: ByteBudget,
    /// Connections to upstreams.
    pub pool: Arc<Pool>,
    /// Controllers of the engines that this entry holds.
    pub controllers: Mutex<HashMap<UpstreamId, ControllerHandle>>,
    /// Limit of the adapter loads under way at all engines.
    pub load_limit: Mutex<LoadLimit>,
    /// Contact with the store.
    pub contact: Mutex<Contact>,
    /// How current the configuration is.
    pub currency: Currency,
    /// Counter of the interruptions of that contact.
    pub contact_gaps: watch::Sender<u64>,
    /// Lease that allows this entry to send orders.
    pub order_lease: Mutex<OrderLease>,
    /// Eras of the store.
    pub store_eras: Mutex<StoreEras>,
    /// Counter of changes that peers must learn of at once; each increment triggers an update.
    pub update_trigger: watch::Sender<u64>,
    /// Notified when upstreams appear or go.
    pub registry_changed: Notify,
    /// Link addresses of seed peers, from the settings.
    pub seeds: Mutex<Vec<SocketAddr>>,
    /// Link addresses of entries that have a member record in the store.
    pub member_links: Mutex<Vec<SocketAddr>>,
    /// Links to the other entries.
    pub links: Links,
    /// Shutdown under way, if any.
    shutdown: watch::Sender<Option<Shutdown>>,
    /// Peers from which a configuration is being fetched.
    fetching: Mutex<HashSet<SocketAddr>>,
    /// Whether this entry has sent its last order.
    orders_stopped: AtomicBool,
}

impl Entry {
    /// Creates an entry without a configuration, upstreams or peers.
    pub fn new(config: EntryConfig, codec: Arc<dyn Codec>) -> Arc<Self> {
        let budget = if config.first_start {
            ServiceRetryBudget::new(config.budget)
        } else {
            let seeds = config.peers.0.len();
            ServiceRetryBudget::after_restart(config.budget, seeds, BootInstant::now())
        };
        let builds = if config.first_start {
            BuildHistory::of_first_start(BootInstant::now())
        } else {
            BuildHistory::default()
        };
        let incarnation = clock::unix_ms();
        let has_peers = config.peers.0.iter().any(|peer| *peer != config.link);
        Arc::new(Self {
            incarnation,
            codec,
            routes: ArcSwap::from_pointee(RouteTable::default()),
            registry: Mutex::default(),
            outliers: Mutex::default(),
            retry_budget: Mutex::new(budget),
            quarantine: Quarantine::default(),
            quotas: Mutex::new(FleetQuotas::new(incarnation, has_peers)),
            versions: Mutex::default(),
            prefill: Mutex::default(),
            prompt_caches: Mutex::default(),
            standing: Mutex::default(),
            speeds: Mutex::default(),
            speed_log: Mutex::default(),
            run_times: Mutex::default(),
            usage: Usage::default(),
            peers: Mutex::default(),
            // Until it knows of peers, each entry must act as a control set of one.
            control: ArcSwap::from_pointee(ControlView {
                is_member: true,
                ..ControlView::default()
            }),
            rate_limits: Mutex::default(),
            brittle: Mutex::default(),
            hold_offs: Mutex::default(),
            send_log: Mutex::default(),
            late_orders: Mutex::default(),
            begun: Mutex::default(),
            stored: StoredStreams::default(),
            builds: Mutex::new(builds),
            build_reads: ReadRequests::default(),
            paths: Mutex::default(),
            detours: TaskTracker::new(),
            requests: TaskTracker::new(),
            upstream_bytes: ByteBudget::default(),
            upload_bytes: ByteBudget::new(config.upload_bytes()),
            pool: Arc::new(Pool::new(config.callers.ip())),
            controllers: Mutex::default(),
            load_limit: Mutex::default(),
            contact: Mutex::default(),
            currency: Currency::default(),
            contact_gaps: watch::Sender::new(0),
            order_lease: Mutex::default(),
            store_eras: Mutex::default(),
            update_trigger: watch::Sender::new(0),
            registry_changed: Notify::new(),
            seeds: Mutex::new(config.peers.0.clone()),
            member_links: Mutex::default(),
            links: Links::default(),
            shutdown: watch::Sender::new(None),
            fetching: Mutex::default(),
            orders_stopped: AtomicBool::new(false),
            config,
        })
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.revision() > 0 && !self.is_leaving()
    }

    /// Returns whether this entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.shutdown().is_some()
    }

    /// Returns the shutdown under way, if any.
    pub fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.borrow()
    }

    /// Waits until a shutdown is under way.
    pub async fn wait_for_shutdown(&self) {
        let mut shutdown = self.shutdown.subscribe();
        // The sender lives as long as this entry.
        let _begun = shutdown.wait_for(Option::is_some).await;
    }

    /// Begins the shutdown and notifies peers.
    pub fn leave(&self, shutdown: Shutdown) {
        self.shutdown.send_replace(Some(shutdown));
        self.notify_peers();
    }

    /// Triggers an update to all peers.
    pub fn notify_peers(&self) {
        self.update_trigger.send_modify(|n| *n += 1);
    }

    /// Returns the revision of the configuration in force; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.routes.load().deployment.revision
    }

    /// Puts a configuration in force if its revision is newer; returns whether it is.
    pub fn apply_deployment(&self, deployment: Deployment, source: &str) -> bool {
        let (before, revision) = (self.revision(), deployment.revision);
        if revision <= before {
            return false;
        }
        let (routes, services) = (deployment.routes.len(), deployment.services.len());
        let customers = deployment.customers.as_ref().map(Vec::len);
        self.configure_quotas(&deployment);
        self.routes.store(Arc::new(RouteTable::new(deployment)));
        info!(revision = revision, before = before, routes = routes, services = services, customers:? = customers, source = source; "configuration in force");
        self.notify_peers();
        true
    }

    /// Marks the start of a configuration fetch from the peer at `address`; returns false if one from that peer or
    /// [`MAX_FETCHES`] are in progress.
    pub fn begin_fetch(&self, address: SocketAddr) -> bool {
        let mut fetching = lock(&self.fetching);
        fetching.len() < MAX_FETCHES && fetching.insert(address)
    }

    /// Marks the end of a configuration fetch from the peer at `address`.
    pub fn end_fetch(&self, address: SocketAddr) {
        lock(&self.fetching).remove(&address);
    }

    /// Returns the service named `name`.
    pub fn service(&self, name: &str) -> Option<Service> {
        self.routes.load().deployment.service(name).cloned()
    }

    /// Returns the newest version of an adapter.
    pub fn newest_version(&self, key: &AdapterKey) -> u32 {
        let versions = lock(&self.versions);
        versions.get(key).copied().unwrap_or(FIRST_VERSION)
    }

    /// Records a version of an adapter if it is newer; returns whether it is.
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

    /// Records a peer's strike, and passes it on if it is new.
    pub fn record_strike(&self, strike: &Strike) {
        if self.quarantine.record(strike) {
            self.notify_peers();
        }
    }

    /// Records the strikes of what an entry had refused when it last wrote its record in the store.
    pub fn restore_refused(&self, refused: &[RefusedSubject]) {
        let strikes = refused.iter().flat_map(RefusedSubject::strikes);
        strikes.for_each(|strike| self.record_strike(&strike));
    }

    /// Records that the process of `upstream` ended while it ran a request, and that any of `parts` of its prompt may
    /// have caused that.
    pub fn record_crash(&self, fingerprint: u64, parts: &[u64], upstream: &Registration) {
        let boot = upstream.born.unwrap_or_default();
        if self
            .quarantine
            .record_lost(fingerprint, parts, &upstream.id, boot)
        {
            self.notify_peers();
        }
    }

    /// Clears the suspicion against a request that has completed.
    pub fn clear_strikes(&self, fingerprint: u64) {
        if self.quarantine.clear(fingerprint) {
            self.notify_peers();
        }
    }

    /// Clears the suspicion against parts of a prompt to which an upstream has responded.
    pub fn clear_part_strikes(&self, parts: &[u64]) {
        if self.quarantine.clear_parts(parts) {
            self.notify_peers();
        }
    }

    /// Returns how many of the entries that take requests try a refused part before this one.
    pub fn trial_rank(&self, subject: Subject) -> usize {
        let peers = lock(&self.peers);
        let live = peers.live(BootInstant::now());
        let ready = live.into_iter().filter(|info| info.ready && !info.leaving);
        let own = self.config.id.as_str();
        let names: Vec<&str> = ready.map(|info| &*info.name).chain([own]).collect();
        let ranked = rendezvous(&subject.to_string(), &names, |name| name);
        ranked.iter().position(|name| **name == own).unwrap_or(0)
    }

    /// Returns this entry's description for its peers.
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
            follows: self.follows_store(),
            configuration: self.configuration_source(),
            reach: self.reach(),
        }
    }

    /// Returns how this entry reaches upstreams.
    pub fn reach(&self) -> Reach {
        if lock(&self.paths).is_cut_off(BootInstant::now()) {
            Reach::CutOff
        } else {
            Reach::Direct
        }
    }

    /// Returns whether this entry reaches `upstream` by its own connections.
    pub fn reaches(&self, upstream: &str) -> bool {
        lock(&self.paths).path(upstream, BootInstant::now()) == Path::Direct
    }

    /// Prevents any further order.
    pub fn stop_orders(&self) {
        self.orders_stopped.store(true, Ordering::SeqCst);
    }

    /// Returns whether orders may be sent now. They may while leaving too, as no other entry may send them yet.
    pub fn may_send_orders(&self) -> bool {
        !self.orders_stopped.load(Ordering::SeqCst)
            && lock(&self.order_lease).may_order(BootInstant::now())
    }

    /// Returns whether requests of any entry use `key` at `upstream`.
    pub fn is_adapter_in_use(&self, upstream: &UpstreamId, key: &AdapterKey) -> bool {
        self.usage.uses_adapter(upstream, key) || lock(&self.peers).uses_adapter(upstream, key)
    }

    /// Sends a command to the controller of `upstream`; returns false if this entry does not hold it.
    pub fn send_to_controller(&self, upstream: &str, command: Command) -> bool {
        let controllers = lock(&self.controllers);
        let controller = controllers.get(upstream);
        if let Some(controller) = controller {
            controller.send(command);
        }
        controller.is_some()
    }

    /// Records that the response to `request` announced the shutdown of its upstream.
    pub fn record_leaving(&self, upstream: &Registration, request: &str) {
        let is_new = lock(&self.registry).announce_leaving(upstream, BootInstant::now());
        if is_new {
            info!(upstream = &*upstream.id, request = request; "routing: upstream announced that it is leaving");
            self.registry_changed.notify_one();
        }
    }

    /// Drops the upstreams that did not register again in the grace period after the store's return.
    pub fn expire_registrations(&self) {
        let gone = lock(&self.registry).expire(BootInstant::now());
        for id in gone {
            self.forget_upstream(&id, "not registered again since the store's return");
        }
    }

    /// Drops all state of an upstream that is gone.
    pub fn forget_upstream(&self, id: &str, reason: &str) {
        info!(upstream = id, reason = reason; "upstream gone");
        lock(&self.outliers).forget(id);
        lock(&self.rate_limits).forget(id);
        lock(&self.brittle).forget(id);
        lock(&self.hold_offs).forget(id);
        lock(&self.paths).forget(id);
        self.usage.forget(id);
        lock(&self.prefill).forget(id);
        lock(&self.prompt_caches).forget(id);
        lock(&self.speeds).forget(id);
        self.pool.close_idle(id);
        self.registry_changed.notify_one();
    }

    /// Returns the number of live entries, including this one.
    pub fn entry_count(&self) -> usize {
        lock(&self.peers).live(BootInstant::now()).len() + 1
    }

    /// Returns whether this entry is in the control set or still holds engines: it follows the store and may hold
    /// engines.
    pub fn is_control_member(&self) -> bool {
        self.control.load().is_member
    }
}
