//! The gateway process: accepts callers' requests, routes them to dispatchers, and returns the responses.

use crate::{
    caller_routes,
    catalogue_watch::CatalogueState,
    claims::Claims,
    clock::BootInstant,
    configs::gateway::GatewayConfig,
    decide::outliers::Outliers,
    fleet::{FLEET_PREFIX, Fleet},
    holding::lock,
    http_client, http_server,
    link::Link,
    object_api::ObjectApi,
    operator_routes::{self, Probe},
    quarantine::Quarantine,
    retry_budget::RetryBudget,
    supervisor::{ChildError, supervise},
    sync_client::{Subscriptions, SyncEvent},
    upstream_view::{LocatedUpstream, UpstreamView},
    wire::SyncHello,
};
use log::{debug, info, warn};
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use tokio_graceful_shutdown::SubsystemHandle;
use tokio_util::sync::CancellationToken;

/// Interval between polls of the fleet's records.
const FLEET_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Capacity of the channel of dispatchers' updates.
const EVENT_BUFFER: usize = 4_096;

/// Time from leaving until no other gateway lists this one to callers.
const DISCOVERY_LAG: Duration = Duration::from_millis(2_500);

/// Interval between attempts to fetch the first catalogue.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks for open requests while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by the gateway's tasks.
#[derive(Debug)]
pub struct Context {
    /// Settings.
    pub config: GatewayConfig,
    /// The catalogue in force.
    pub catalogue: Arc<CatalogueState>,
    /// At-most-once records.
    pub claims: Claims,
    /// Fleet as last read from the object API.
    pub fleet: Mutex<Fleet>,
    /// Upstreams as reported by dispatchers.
    pub view: UpstreamView,
    /// Upstreams that refuse requests although they are reported as accepting.
    pub outliers: Mutex<Outliers>,
    /// Retry budget.
    pub budget: RetryBudget,
    /// Requests suspected of crashing upstreams.
    pub quarantine: Quarantine,
    api: ObjectApi,
    subscriptions: Mutex<Option<Subscriptions>>,
    hello: watch::Sender<SyncHello>,
    leaving: AtomicBool,
    open: AtomicUsize,
}

impl Context {
    fn new(config: GatewayConfig) -> Arc<Self> {
        let api = ObjectApi::with_client(
            config.object_api,
            http_client::build_bound_to(Some(config.callers.ip())),
        );
        let hello = SyncHello {
            node: config.id.clone(),
            gateway: Some(config.callers.to_string()),
            leaving: false,
        };
        Arc::new(Self {
            claims: Claims::new(api.clone(), config.claim_retention),
            config,
            catalogue: Arc::default(),
            fleet: Mutex::default(),
            view: UpstreamView::default(),
            outliers: Mutex::default(),
            budget: RetryBudget::default(),
            api,
            subscriptions: Mutex::default(),
            quarantine: Quarantine::default(),
            hello: watch::Sender::new(hello),
            leaving: AtomicBool::new(false),
            open: AtomicUsize::new(0),
        })
    }

    /// Returns the link to the dispatcher at `address`.
    pub fn link(&self, address: SocketAddr) -> Option<Arc<Link>> {
        lock(&self.subscriptions)
            .as_ref()
            .and_then(|s| s.link(address))
    }

    /// Returns the upstreams of `pools`, without ejected outliers unless no other upstream accepts.
    pub fn upstreams(&self, pools: &[String], now: BootInstant) -> Vec<LocatedUpstream> {
        let mut located = self.view.upstreams(pools, now);
        let outliers = lock(&self.outliers);
        let not_ejected = |l: &LocatedUpstream| !outliers.is_ejected(&l.status.id, now);
        if located.iter().any(|l| l.status.accepting && not_ejected(l)) {
            located.retain(not_ejected);
        }
        located
    }

    /// Returns whether this gateway is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.catalogue.revision() > 0 && self.view.dispatcher_count() > 0
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn open_request(self: &Arc<Self>) -> OpenRequestGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        OpenRequestGuard(Arc::clone(self))
    }

    fn subscribe_to_dispatchers(&self) {
        let mut addresses: Vec<SocketAddr> = lock(&self.fleet).live().map(|r| r.link).collect();
        addresses.push(self.config.dispatcher);
        addresses.extend(&self.config.peers.0);
        if let Some(subscriptions) = lock(&self.subscriptions).as_mut() {
            subscriptions.set_addresses(&addresses);
        }
    }

    fn status(&self) -> serde_json::Value {
        json!({
            "id": self.config.id,
            "revision": self.catalogue.revision(),
            "leaving": self.is_leaving(),
            "dispatchers": self.view.dispatcher_count(),
            "open": self.open.load(Ordering::SeqCst),
        })
    }
}

/// Guard that counts a request as open.
#[derive(Debug)]
pub struct OpenRequestGuard(Arc<Context>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Runs a gateway until shutdown is requested.
///
/// # Errors
/// A listener could not be bound.
pub async fn run(config: GatewayConfig, tree: &mut SubsystemHandle) -> Result<(), ChildError> {
    let callers = TcpListener::bind(config.callers).await?;
    let operators = TcpListener::bind(config.operators).await?;
    let context = Context::new(config);
    let stop = CancellationToken::new();
    spawn_tasks(&context, tree, &stop);
    let stop_callers = CancellationToken::new();
    let router = caller_routes::router(&context);
    let caller_server = tokio::spawn(http_server::serve(callers, router, stop_callers.clone()));
    let operator_router = operator_routes::router(probe(&context));
    let operator_server =
        tokio::spawn(http_server::serve(operators, operator_router, stop.clone()));
    info!(id = context.config.id, callers:% = context.config.callers; "gateway started");
    tree.on_shutdown_requested().await;
    drain(&context).await;
    stop_callers.cancel();
    caller_server.await??;
    stop.cancel();
    operator_server.await??;
    info!(id = context.config.id; "gateway stopped");
    Ok(())
}

/// Withdraws from discovery, serves callers that still use this gateway, and waits for open requests.
async fn drain(context: &Arc<Context>) {
    context.leaving.store(true, Ordering::SeqCst);
    context.hello.send_modify(|hello| hello.leaving = true);
    info!(id = context.config.id; "gateway leaving");
    tokio::time::sleep(DISCOVERY_LAG + Duration::from_secs(context.config.max_age)).await;
    let limit = Duration::from_millis(context.config.max_timeout);
    let started = BootInstant::now();
    while context.open.load(Ordering::SeqCst) > 0 && BootInstant::now().since(started) < limit {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

fn probe(context: &Arc<Context>) -> Probe {
    let (ready, status) = (Arc::clone(context), Arc::clone(context));
    Probe {
        ready: Box::new(move || ready.is_ready() && !ready.is_leaving()),
        status: Box::new(move || status.status()),
    }
}

fn spawn_tasks(context: &Arc<Context>, tree: &SubsystemHandle, stop: &CancellationToken) {
    let c = Arc::clone(context);
    supervise(tree, "fleet", stop.clone(), move |stop| {
        Box::pin(poll_fleet(Arc::clone(&c), stop))
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
    supervise(tree, "dispatchers", stop.clone(), move |stop| {
        Box::pin(process_updates(Arc::clone(&c), stop))
    });
}

async fn poll_fleet(context: Arc<Context>, stop: CancellationToken) -> Result<(), ChildError> {
    while !stop.is_cancelled() {
        let sent = BootInstant::now();
        match context.api.list(FLEET_PREFIX).await {
            Ok(listing) => {
                lock(&context.fleet).update(&listing, sent, BootInstant::now());
                context.subscribe_to_dispatchers();
            }
            Err(e) => warn!("cannot read the fleet: {e}"),
        }
        tokio::select! {
            () = stop.cancelled() => {}
            () = tokio::time::sleep(FLEET_POLL_INTERVAL) => {}
        }
    }
    Ok(())
}

async fn process_updates(context: Arc<Context>, stop: CancellationToken) -> Result<(), ChildError> {
    let (events, mut incoming) = mpsc::channel(EVENT_BUFFER);
    let key = Arc::from(context.config.key.as_str());
    let subscriptions = Subscriptions::new(
        context.config.callers.ip(),
        key,
        context.hello.subscribe(),
        events,
    );
    *lock(&context.subscriptions) = Some(subscriptions);
    context.subscribe_to_dispatchers();
    let bootstrap = tokio::spawn(bootstrap(Arc::clone(&context)));
    loop {
        let event = tokio::select! {
            () = stop.cancelled() => break,
            event = incoming.recv() => event,
        };
        match event {
            Some(SyncEvent::Update {
                address,
                update,
                at,
            }) => {
                for strike in &update.strikes {
                    context.quarantine.record(strike);
                }
                if update.revision > context.catalogue.revision() {
                    tokio::spawn(fetch_catalogue(Arc::clone(&context), address));
                }
                context.view.update(address, &update, at);
            }
            Some(SyncEvent::Lost { address }) => context.view.remove_dispatcher(address),
            None => break,
        }
    }
    bootstrap.abort();
    Ok(())
}

/// Requests the catalogue from configured dispatchers until one is in force.
async fn bootstrap(context: Arc<Context>) {
    while context.catalogue.revision() == 0 {
        let mut addresses = context.config.peers.0.clone();
        addresses.push(context.config.dispatcher);
        for address in addresses {
            fetch_catalogue(Arc::clone(&context), address).await;
        }
        tokio::time::sleep(BOOTSTRAP_INTERVAL).await;
    }
}

async fn fetch_catalogue(context: Arc<Context>, address: SocketAddr) {
    let Some(link) = context.link(address) else {
        return;
    };
    if let Err(e) = context.catalogue.fetch_from(&link).await {
        debug!("fetching the catalogue from {address} failed: {e}");
    }
}
