//! Starts the listeners and tasks of an entry, and shuts them down in order.

use crate::{
    clock::BootInstant,
    configs::entry::EntryConfig,
    decide::shutdown::Shutdown,
    edge::{
        codec::Codec,
        orders::OrderClient,
        store::{ObjectKind, Store},
    },
    entry::{
        build_reads, contact, context::Entry, directory, follow, holder, peer_link, registrations,
        reload, renew, stored_streams,
    },
    http_server::{self, ServeOptions},
    link,
    operator_routes::{self, Probe},
    path::{front::ProxyHandler, transport},
    supervisor::{ChildError, supervise},
};
use futures_util::future::BoxFuture;
use log::{info, warn};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tokio::net::TcpListener;
use tokio_graceful_shutdown::SubsystemHandle;
use tokio_util::sync::CancellationToken;

/// Time for which callers may still use an entry that the directory no longer lists: three times
/// [`directory::MAX_AGE`], and the time until every directory has learned of it.
const DIRECTORY_LAG: Duration = Duration::from_millis(3_300);

/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// Time after which an idle connection of a caller is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest request head that is read, in bytes; the configuration's limit is checked afterwards.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Supervised task of an entry that uses neither the store nor orders.
type Task = fn(Arc<Entry>, CancellationToken) -> BoxFuture<'static, Result<(), ChildError>>;

/// Interfaces of an entry to its platform.
pub trait Platform: Send + 'static {
    /// Client of the object store.
    type Store: Store;
    /// Client for orders to engines.
    type Orders: OrderClient;

    /// Returns a client of the object store.
    fn store(&self) -> Self::Store;

    /// Returns a client for orders to engines.
    fn orders(&self) -> Self::Orders;

    /// Returns the codec of heads and objects.
    fn codec(&self) -> Arc<dyn Codec>;
}

/// Runs an entry until a shutdown is requested.
///
/// # Errors
/// A listener could not be bound.
pub async fn run<P: Platform>(
    platform: P,
    config: EntryConfig,
    tree: &mut SubsystemHandle,
) -> Result<(), ChildError> {
    let callers = http_server::listen(config.callers)?;
    let directory = TcpListener::bind(config.directory).await?;
    let ready = TcpListener::bind(config.ready).await?;
    let links = TcpListener::bind(config.link).await?;
    let operators = TcpListener::bind(config.operators).await?;
    let entry = Entry::new(config, platform.codec());
    let stop = CancellationToken::new();
    let orders_stop = CancellationToken::new();
    start_tasks(&platform, &entry, tree, &stop, &orders_stop);

    let serving = CancellationToken::new();
    let options = ServeOptions {
        max_head_bytes: MAX_HEAD_BYTES,
        head_timeout: IDLE_TIMEOUT,
    };
    let front = ProxyHandler(Arc::clone(&entry));
    let front = tokio::spawn(http_server::serve_with(
        callers,
        front,
        options,
        serving.clone(),
    ));
    for listener in [directory, ready] {
        let router = directory::router(&entry);
        tokio::spawn(http_server::serve(listener, router, stop.clone()));
    }
    let pages = operator_routes::router(probe(&entry));
    tokio::spawn(http_server::serve(operators, pages, stop.clone()));
    let key = Arc::from(entry.config.key.as_str());
    let streams_entry = Arc::clone(&entry);
    let streams_stop = stop.clone();
    let serve_stream = move |incoming| {
        let (streams_entry, streams_stop) = (Arc::clone(&streams_entry), streams_stop.clone());
        async move {
            // Streams of updates do not end by themselves.
            let _stopped = streams_stop
                .run_until_cancelled(peer_link::serve_stream(streams_entry, incoming))
                .await;
        }
    };
    tokio::spawn(link::serve(links, key, stop.clone(), serve_stream));
    info!(
        id = entry.config.id, data_centre = entry.config.data_centre, callers:% = entry.config.callers,
        incarnation = entry.incarnation, version = env!("CARGO_PKG_VERSION");
        "entry started"
    );

    tree.on_shutdown_requested().await;
    let requested = BootInstant::now();
    let shutdown = Shutdown {
        requested,
        cached: directory::MAX_AGE * directory::MAX_AGE_FACTOR,
        limit: requested + entry.config.grace.saturating_sub(EXIT_MARGIN),
    };
    info!(id = entry.config.id, in_flight = entry.requests.len(); "entry leaving");
    entry.leave(shutdown);
    let accepting = shutdown.time_left(BootInstant::now()).min(DIRECTORY_LAG);
    tokio::time::sleep(accepting).await;
    log_phase(&entry, shutdown, "listener closed");
    serving.cancel();
    let left = shutdown.time_left(BootInstant::now());
    entry.detours.close();
    let in_flight = async { tokio::join!(front, entry.detours.wait()) };
    if tokio::time::timeout(left, in_flight).await.is_err() {
        warn!(
            id = entry.config.id, in_flight = entry.requests.len(), detours = entry.detours.len();
            "requests were still in flight at the end of the grace period"
        );
    }
    log_phase(&entry, shutdown, "requests ended");
    entry.stop_orders();
    orders_stop.cancel();
    tokio::time::sleep(renew::FINAL_RENEWAL).await;
    stop.cancel();
    log_phase(&entry, shutdown, "entry stopped");
    Ok(())
}

/// Logs a phase of the shutdown, and how long after the request to stop it was reached.
fn log_phase(entry: &Entry, shutdown: Shutdown, phase: &str) {
    let elapsed = shutdown.elapsed(BootInstant::now());
    info!(
        id = entry.config.id, elapsed_ms = elapsed.as_millis() as u64, in_flight = entry.requests.len();
        "{phase}"
    );
}

fn start_tasks<P: Platform>(
    platform: &P,
    entry: &Arc<Entry>,
    tree: &SubsystemHandle,
    stop: &CancellationToken,
    orders_stop: &CancellationToken,
) {
    for (name, kind) in [
        ("upstreams", ObjectKind::Upstreams),
        ("configuration", ObjectKind::Configuration),
        ("versions", ObjectKind::Versions),
    ] {
        let (entry, store) = (Arc::clone(entry), platform.store());
        supervise(tree, name, stop.clone(), move |stop| {
            Box::pin(follow::follow(
                Arc::clone(&entry),
                store.clone(),
                kind,
                stop,
            ))
        });
    }
    let (e, store) = (Arc::clone(entry), platform.store());
    supervise(tree, "contact", stop.clone(), move |stop| {
        Box::pin(contact::keep_contact(Arc::clone(&e), store.clone(), stop))
    });
    let (e, store) = (Arc::clone(entry), platform.store());
    supervise(tree, "lease", orders_stop.clone(), move |stop| {
        Box::pin(renew::renew(Arc::clone(&e), store.clone(), stop))
    });
    let (e, store) = (Arc::clone(entry), platform.store());
    supervise(tree, "stream-records", stop.clone(), move |stop| {
        Box::pin(stored_streams::write_records(
            Arc::clone(&e),
            store.clone(),
            stop,
        ))
    });
    let (e, store) = (Arc::clone(entry), platform.store());
    supervise(tree, "build-lookups", stop.clone(), move |stop| {
        Box::pin(build_reads::read_builds(
            Arc::clone(&e),
            store.clone(),
            stop,
        ))
    });
    let (e, store) = (Arc::clone(entry), platform.store());
    supervise(tree, "stream-lookups", stop.clone(), move |stop| {
        Box::pin(stored_streams::read_records(
            Arc::clone(&e),
            store.clone(),
            stop,
        ))
    });
    let (e, store, orders) = (Arc::clone(entry), platform.store(), platform.orders());
    supervise(tree, "engines", orders_stop.clone(), move |stop| {
        Box::pin(holder::hold_engines(
            Arc::clone(&e),
            store.clone(),
            orders.clone(),
            stop,
        ))
    });
    let others: [(&'static str, Task); 4] = [
        ("peers", |e, stop| {
            Box::pin(peer_link::connect_peers(e, stop))
        }),
        ("registrations", |e, stop| {
            Box::pin(registrations::follow_peers(e, stop))
        }),
        ("paths", |e, stop| {
            Box::pin(async move {
                let _stopped = stop
                    .run_until_cancelled(transport::probe_unreached(e))
                    .await;
                Ok(())
            })
        }),
        ("settings", |e, stop| Box::pin(reload::follow(e, stop))),
    ];
    for (name, run) in others {
        let e = Arc::clone(entry);
        supervise(tree, name, stop.clone(), move |stop| {
            run(Arc::clone(&e), stop)
        });
    }
}

fn probe(entry: &Arc<Entry>) -> Probe {
    let (ready, status) = (Arc::clone(entry), Arc::clone(entry));
    Probe {
        ready: Box::new(move || ready.is_ready()),
        status: Box::new(move || {
            json!({
                "id": status.config.id,
                "revision": status.revision(),
                "leaving": status.is_leaving(),
                "entries": status.entry_count(),
            })
        }),
    }
}
