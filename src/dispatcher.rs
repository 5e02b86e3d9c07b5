//! The dispatcher process: holds leases on upstreams and sends them everything they get.

use crate::{
    assignment,
    authority::TakeoverKind,
    catalogue_watch::{CATALOGUE_PATH, CatalogueState},
    clock,
    configs::dispatcher::DispatcherConfig,
    dispatch_server,
    dispatch_server::DISPATCH_PATH,
    fleet::{DispatcherRecord, Fleet, GatewayRecord, Holder},
    holding::{Holding, Spec, Surroundings, lock},
    http_client::{self, HttpClient},
    http_server,
    ident::{DispatcherId, Generation, ModelRef, UpstreamId},
    lease::HolderLease,
    link::{self, IncomingStream, Link},
    metrics,
    object_api::ObjectApi,
    operator_routes::{self, Probe},
    outage::{self, FLEET_PATH},
    peers,
    permit_service::{self, Coordinator, PERMIT_PATH},
    permits::Allowance,
    poison::{Suspects, Verdict},
    release_log::ReleaseLog,
    renewal::Renewer,
    supervisor::{ChildError, supervise},
    sync_client::Subscriptions,
    sync_server::{self, SYNC_PATH},
    upstream_client::UpstreamClient,
    vm_list::{self, VmList, VmState},
    wire::{CatalogueRequest, Strike, StrikeEvent},
};
use log::{info, warn};
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
use tokio::{
    net::TcpListener,
    sync::{Notify, broadcast},
    task::JoinHandle,
};
use tokio_graceful_shutdown::{SubsystemBuilder, SubsystemHandle};
use tokio_util::sync::CancellationToken;

/// Strikes kept for subscribers that are behind.
const STRIKE_BUFFER: usize = 1_024;

/// Interval between looks at whether the allowance of loads changed.
const ALLOWANCE_INTERVAL: Duration = Duration::from_millis(500);

/// A holding, who held the upstream before, and the task that tends it.
#[derive(Debug)]
struct Held {
    holding: Arc<Holding>,
    earlier: assignment::PreviousHolder,
    tender: JoinHandle<()>,
    stable_at: clock::BootInstant,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.tender.abort();
    }
}

/// Everything that the dispatcher's parts share.
#[derive(Debug)]
pub struct Context {
    /// Settings.
    pub config: DispatcherConfig,
    /// This process, above every earlier one of the same name.
    pub incarnation: u64,
    /// The platform's object API.
    pub api: ObjectApi,
    /// The catalogue in force.
    pub catalogue: Arc<CatalogueState>,
    /// Lease of this process.
    pub lease: Arc<Mutex<HolderLease>>,
    /// The fleet as last read.
    pub fleet: Mutex<Fleet>,
    /// The VM list as last read.
    pub vms: Mutex<VmList>,
    /// Told when subscribers should hear of something at once.
    pub changed: Arc<Notify>,
    /// Told when the record should be renewed at once.
    pub renew_now: Notify,
    /// Told when the fleet should be looked at at once.
    pub poll_now: Notify,
    /// Strikes as they come.
    pub strikes: broadcast::Sender<Strike>,
    /// Queue of load permits, in use while this process coordinates them.
    pub coordinator: Arc<Coordinator>,
    /// Subscriptions to the other dispatchers.
    pub peers: Mutex<Option<Subscriptions>>,
    client: HttpClient,
    gateway: Mutex<Option<(u64, GatewayRecord)>>,
    tokens: AtomicU64,
    ending: CancellationToken,
    held: Mutex<BTreeMap<UpstreamId, Held>>,
    listed: Mutex<HashSet<String>>,
    released: Mutex<ReleaseLog>,
    suspects: Mutex<Suspects>,
    leaving: AtomicBool,
    registered: AtomicBool,
}

impl Context {
    fn new(config: DispatcherConfig) -> Arc<Self> {
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
            strikes: broadcast::Sender::new(STRIKE_BUFFER),
            coordinator: Arc::new(Coordinator::new(allowance)),
            peers: Mutex::default(),
            client,
            gateway: Mutex::default(),
            tokens: AtomicU64::new(0),
            ending: CancellationToken::new(),
            held: Mutex::default(),
            listed: Mutex::default(),
            released: Mutex::default(),
            suspects: Mutex::default(),
            leaving: AtomicBool::new(false),
            registered: AtomicBool::new(false),
        })
    }

    /// Name of this dispatcher.
    pub fn id(&self) -> DispatcherId {
        DispatcherId::from(self.config.id.as_str())
    }

    /// This process as the holder of an upstream.
    pub fn as_holder(&self) -> Holder {
        Holder {
            id: self.id(),
            incarnation: self.incarnation,
            link: self.config.link,
        }
    }

    /// Whether this process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Notes that this process's record was written.
    pub fn registered(&self) {
        self.registered.store(true, Ordering::SeqCst);
    }

    /// Whether this process's record was ever written.
    pub fn is_registered(&self) -> bool {
        self.registered.load(Ordering::SeqCst)
    }

    /// The gateway on this VM, while connected.
    pub fn gateway(&self) -> Option<GatewayRecord> {
        lock(&self.gateway)
            .as_ref()
            .map(|(_, record)| record.clone())
    }

    /// A token that tells one subscription from another.
    pub fn new_token(&self) -> u64 {
        self.tokens.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes the gateway on this VM, and renews at once if it changed.
    pub fn set_gateway(&self, token: u64, record: GatewayRecord) {
        let mut slot = lock(&self.gateway);
        let changed = slot.as_ref().is_none_or(|(_, r)| *r != record);
        *slot = Some((token, record));
        if changed {
            self.renew_now.notify_one();
        }
    }

    /// Forgets the gateway of the subscription that has ended.
    pub fn clear_gateway(&self, token: u64) {
        let mut slot = lock(&self.gateway);
        if slot.as_ref().is_some_and(|(t, _)| *t == token) {
            *slot = None;
            self.renew_now.notify_one();
        }
    }

    /// Every held upstream.
    pub fn holdings(&self) -> Vec<Arc<Holding>> {
        lock(&self.held)
            .values()
            .map(|h| Arc::clone(&h.holding))
            .collect()
    }

    /// A held upstream.
    pub fn holding(&self, id: &str) -> Option<Arc<Holding>> {
        lock(&self.held).get(id).map(|h| Arc::clone(&h.holding))
    }

    /// Who held the upstream before this process.
    pub fn previous_holder(&self, id: &str) -> assignment::PreviousHolder {
        lock(&self.held).get(id).and_then(|h| h.earlier.clone())
    }

    /// Starts using an upstream that was claimed.
    pub fn take(
        self: &Arc<Self>,
        spec: Spec,
        generation: Generation,
        origin: TakeoverKind,
        stable: BTreeSet<ModelRef>,
        earlier: assignment::PreviousHolder,
    ) {
        let client = UpstreamClient::new(spec.address, self.client.clone());
        let id = Arc::clone(&spec.id);
        let holding = Holding::new(
            spec,
            generation,
            origin,
            self.config.eviction,
            stable,
            client,
            self.surroundings(),
        );
        let tended = Arc::clone(&holding);
        let tender = tokio::spawn(async move {
            tended.adopt().await;
            tended.tend().await;
        });
        let stable_at = clock::BootInstant::now();
        lock(&self.held).insert(
            id,
            Held {
                holding,
                earlier,
                tender,
                stable_at,
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
                        Some(context) => permit_service::obtain(&context, source).await,
                        None => std::future::pending().await,
                    }
                })
            }),
            changed: Arc::clone(&self.changed),
            max_timeout: Duration::from_millis(self.config.max_timeout),
        }
    }

    /// Stops using an upstream; its running requests finish.
    pub fn drop_holding(&self, holding: &Arc<Holding>) {
        let mut held = lock(&self.held);
        let id = &holding.spec.id;
        if held
            .get(id)
            .is_some_and(|h| h.holding.generation == holding.generation)
        {
            held.remove(id);
            lock(&self.released).push((Arc::clone(id), holding.generation));
        }
        metrics::upstreams_held(held.len());
        drop(held);
        holding.pump();
        self.changed.notify_waiters();
    }

    /// Releases after the `known` first ones, and how many there were in all.
    pub fn released_since(&self, known: usize) -> (Vec<(UpstreamId, Generation)>, usize) {
        lock(&self.released).after(known)
    }

    /// Whether the stable set of an upstream may be changed again.
    pub fn stable_due(&self, id: &str, interval: Duration) -> bool {
        let now = clock::BootInstant::now();
        let mut held = lock(&self.held);
        let Some(entry) = held.get_mut(id) else {
            return false;
        };
        let due = now.since(entry.stable_at) >= interval;
        if due {
            entry.stable_at = now;
        }
        due
    }

    /// Upstreams that may be held and take work.
    pub fn specs(&self) -> Vec<Spec> {
        let all = assignment::specs(self).into_iter();
        all.filter(|(_, state)| *state == VmState::Live)
            .map(|(spec, _)| spec)
            .collect()
    }

    /// Whether a VM was listed before and is no longer.
    pub fn was_delisted(&self, id: &str) -> bool {
        let now = lock(&self.vms).vms.iter().any(|v| v.id == id);
        !now && lock(&self.listed).contains(id)
    }

    /// Live dispatchers that may hold upstreams, this one included once it is registered.
    pub fn eligible(&self) -> Vec<DispatcherRecord> {
        lock(&self.fleet).eligible().cloned().collect()
    }

    /// The link to another dispatcher.
    pub fn peer_link(&self, address: SocketAddr) -> Option<Arc<Link>> {
        lock(&self.peers).as_ref().and_then(|p| p.link(address))
    }

    /// Subscribes to the dispatchers that are live now.
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

    /// How a request may be run.
    pub fn verdict(&self, fingerprint: u64) -> Verdict {
        lock(&self.suspects).verdict(fingerprint, clock::unix_ms())
    }

    /// Takes in a strike and passes it on if it is news.
    pub fn record_strike(&self, strike: Strike) {
        let news = lock(&self.suspects).record(&strike);
        if news {
            info!(fingerprint:% = format!("{:016x}", strike.fingerprint), event:? = strike.event; "routing: strike");
            let _subscribers = self.strikes.send(strike);
        }
    }

    /// Clears a suspected request that has completed.
    pub fn completed(&self, fingerprint: u64) {
        if self.verdict(fingerprint) != Verdict::Allow {
            let at_ms = clock::unix_ms();
            self.record_strike(Strike {
                fingerprint,
                event: StrikeEvent::Cleared,
                at_ms,
            });
        }
    }

    /// Strikes still remembered.
    pub fn known_strikes(&self) -> Vec<Strike> {
        lock(&self.suspects).all()
    }

    fn set_vms(self: &Arc<Self>, list: VmList) {
        lock(&self.listed).extend(list.vms.iter().map(|v| v.id.clone()));
        *lock(&self.vms) = list;
        for (spec, state) in assignment::specs(self) {
            let Some(holding) = self.holding(&spec.id) else {
                continue;
            };
            if state == VmState::Leaving && !holding.core().is_leaving() {
                info!(upstream = &*spec.id; "placement: the upstream is leaving");
                tokio::spawn(assignment::hand_over(Arc::clone(self), holding));
            }
        }
        self.drop_delisted();
    }

    fn drop_delisted(&self) {
        for holding in self.holdings() {
            if self.was_delisted(&holding.spec.id) {
                holding.mark_lost("the VM list no longer has it");
                self.drop_holding(&holding);
            }
        }
    }

    fn status(&self) -> serde_json::Value {
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

    fn is_ready(&self) -> bool {
        self.is_registered() && self.catalogue.revision() > 0 && !self.is_leaving()
    }
}

/// Runs a dispatcher until a shutdown is asked for.
///
/// # Errors
/// A listener could not be bound, or another process has this dispatcher's name.
pub async fn run(config: DispatcherConfig, tree: &mut SubsystemHandle) -> Result<(), ChildError> {
    let link = TcpListener::bind(config.link).await?;
    let operators = TcpListener::bind(config.operators).await?;
    let context = Context::new(config);
    let stop = CancellationToken::new();
    let last = CancellationToken::new();
    start_loops(&context, tree, &stop);
    let renewal = Renewer::new(Arc::clone(&context)).run(last.clone());
    let fated = Arc::clone(&context);
    tree.start(SubsystemBuilder::new(
        "renewal",
        async move |_: &mut SubsystemHandle| -> Result<(), ChildError> {
            let ended = renewal.await;
            if ended.is_err() {
                fated.lose_everything();
            }
            ended.map_err(Into::into)
        },
    ));
    let served = serve_link(Arc::clone(&context), link, stop.clone());
    let links = tokio::spawn(served);
    let probe = probe(&context);
    let pages = tokio::spawn(http_server::serve(
        operators,
        operator_routes::router(probe),
        stop.clone(),
    ));
    info!(id = context.config.id, link:% = context.config.link, incarnation = context.incarnation; "dispatcher started");
    tree.on_shutdown_requested().await;
    leave(&context).await;
    last.cancel();
    context.ending.cancel();
    stop.cancel();
    links.await??;
    pages.await??;
    info!(id = context.config.id; "dispatcher stopped");
    Ok(())
}

impl Context {
    /// Stops using every upstream at once, without releasing any.
    fn lose_everything(&self) {
        lock(&self.lease).revoke();
        for holding in self.holdings() {
            holding.mark_lost("another process has this name");
            self.drop_holding(&holding);
        }
    }
}

fn probe(context: &Arc<Context>) -> Probe {
    let (ready, status) = (Arc::clone(context), Arc::clone(context));
    Probe {
        ready: Box::new(move || ready.is_ready()),
        status: Box::new(move || status.status()),
    }
}

fn start_loops(context: &Arc<Context>, tree: &SubsystemHandle, stop: &CancellationToken) {
    let c = Arc::clone(context);
    supervise(tree, "assignment", stop.clone(), move |stop| {
        let context = Arc::clone(&c);
        Box::pin(async move {
            assignment::run(context, stop).await;
            Ok(())
        })
    });
    let c = Arc::clone(context);
    supervise(tree, "catalogue", stop.clone(), move |stop| {
        let context = Arc::clone(&c);
        Box::pin(async move {
            context.catalogue.watch(context.api.clone(), stop).await;
            Ok(())
        })
    });
    let c = Arc::clone(context);
    supervise(tree, "vm-list", stop.clone(), move |stop| {
        Box::pin(follow_vms(Arc::clone(&c), stop))
    });
    let c = Arc::clone(context);
    supervise(tree, "peers", stop.clone(), move |stop| {
        Box::pin(peers::run(Arc::clone(&c), stop))
    });
    let c = Arc::clone(context);
    supervise(tree, "permits", stop.clone(), move |stop| {
        Box::pin(run_permits(Arc::clone(&c), stop))
    });
}

async fn run_permits(context: Arc<Context>, stop: CancellationToken) -> Result<(), ChildError> {
    let allowances = async {
        loop {
            let deployment = context.catalogue.current().deployment.clone();
            let (rate, streams) = (deployment.load_rate, deployment.load_streams);
            context
                .coordinator
                .set_allowance(Allowance { rate, streams });
            tokio::time::sleep(ALLOWANCE_INTERVAL).await;
        }
    };
    tokio::select! {
        () = context.coordinator.run(stop) => {}
        () = allowances => {}
    }
    Ok(())
}

async fn follow_vms(context: Arc<Context>, stop: CancellationToken) -> Result<(), ChildError> {
    while !stop.is_cancelled() {
        match vm_list::read(&context.client, context.config.vm_list).await {
            Ok(list) => context.set_vms(list),
            Err(e) => warn!("reading the VM list: {e}"),
        }
        tokio::select! {
            () = stop.cancelled() => {}
            () = tokio::time::sleep(vm_list::POLL_INTERVAL) => {}
        }
    }
    Ok(())
}

async fn serve_link(
    context: Arc<Context>,
    listener: TcpListener,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let key = Arc::from(context.config.key.as_str());
    link::serve(listener, key, stop, move |incoming| {
        route(Arc::clone(&context), incoming)
    })
    .await
}

async fn route(context: Arc<Context>, incoming: IncomingStream) {
    match incoming.path.as_str() {
        DISPATCH_PATH => dispatch_server::serve(context, incoming).await,
        // These streams last as long as both sides do, so that a stop must end them.
        SYNC_PATH => {
            let ending = context.ending.clone();
            let serve = sync_server::serve(context, incoming);
            ending.run_until_cancelled(serve).await.unwrap_or_default();
        }
        PERMIT_PATH => {
            let ending = context.ending.clone();
            let serve = permit_service::serve(context, incoming);
            ending.run_until_cancelled(serve).await.unwrap_or_default();
        }
        CATALOGUE_PATH => give_catalogue(&context, incoming).await,
        FLEET_PATH => outage::serve(context, incoming).await,
        _ => incoming.refuse(),
    }
}

async fn give_catalogue(context: &Context, incoming: IncomingStream) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(ask)) = receiver.next::<CatalogueRequest>().await else {
        return;
    };
    if sender.send(&context.catalogue.give(ask.have)).await.is_ok() {
        sender.finish();
    }
}

/// Stops taking work, lets the rest finish, and releases every upstream.
async fn leave(context: &Arc<Context>) {
    context.leaving.store(true, Ordering::SeqCst);
    context.renew_now.notify_one();
    context.changed.notify_waiters();
    info!(id = context.config.id; "dispatcher leaving");
    let mut moves = HashMap::new();
    for holding in context.holdings() {
        let id = Arc::clone(&holding.spec.id);
        moves.insert(
            id,
            tokio::spawn(assignment::hand_over(Arc::clone(context), holding)),
        );
    }
    for (id, moved) in moves {
        if !moved.await.unwrap_or(false) {
            warn!(upstream = &*id; "left without a release");
        }
    }
    context.changed.notify_waiters();
}
