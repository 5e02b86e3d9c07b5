//! Starts the parts of an entry, and stops them in order.

use crate::{
    clock::BootInstant,
    configs::entry::EntryConfig,
    edge::{
        codec::Codec,
        orders::OrderClient,
        store::{ObjectKind, Store},
    },
    entry::{context::Entry, directory, follow, holder, peer_link, registrations, reload, renew},
    http_server::{self, ServeOptions},
    link,
    operator_routes::{self, Probe},
    path::front::ProxyHandler,
    supervisor::{ChildError, supervise},
};
use futures_util::future::BoxFuture;
use log::{info, warn};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tokio::net::TcpListener;
use tokio_graceful_shutdown::SubsystemHandle;
use tokio_util::sync::CancellationToken;

/// Time for which callers may keep using an entry that the directory names no more: three times
/// [`directory::MAX_AGE`], and the time until every directory has heard of it.
const ADVERTISED: Duration = Duration::from_millis(3_300);

/// Part of the grace that is left for the end of the process itself.
const LAST_MARGIN: Duration = Duration::from_millis(700);

/// Time to write that no orders follow; a call to the store takes some ten milliseconds.
const LAST_RECORD: Duration = Duration::from_millis(200);

/// Time for which an idle caller's connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest request head that is read, in bytes; the configuration's own limit is checked after it.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A part of an entry that needs nothing of the platform.
type Loop = fn(Arc<Entry>, CancellationToken) -> BoxFuture<'static, Result<(), ChildError>>;

/// What an entry meets.
pub trait Platform: Send + 'static {
    /// The object store.
    type Store: Store;
    /// Orders to engines.
    type Orders: OrderClient;

    /// The object store.
    fn store(&self) -> Self::Store;

    /// Orders to engines.
    fn orders(&self) -> Self::Orders;

    /// Reads and writes heads and objects.
    fn codec(&self) -> Arc<dyn Codec>;
}

/// Runs an entry until a shutdown is asked for.
///
/// # Errors
/// A listener could not be bound.
pub async fn run<P: Platform>(
    platform: P,
    config: EntryConfig,
    tree: &mut SubsystemHandle,
) -> Result<(), ChildError> {
    let callers = TcpListener::bind(config.callers).await?;
    let directory = TcpListener::bind(config.directory).await?;
    let ready = TcpListener::bind(config.ready).await?;
    let links = TcpListener::bind(config.link).await?;
    let operators = TcpListener::bind(config.operators).await?;
    let entry = Entry::new(config, platform.codec());
    let stop = CancellationToken::new();
    let ordering = CancellationToken::new();
    start_loops(&platform, &entry, tree, &stop, &ordering);

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
    let peers = Arc::clone(&entry);
    let open = stop.clone();
    let answer = move |incoming| {
        let (peers, open) = (Arc::clone(&peers), open.clone());
        async move {
            // Streams of updates have no end of their own.
            let _stopped = open
                .run_until_cancelled(peer_link::answer(peers, incoming))
                .await;
        }
    };
    tokio::spawn(link::serve(links, key, stop.clone(), answer));
    info!(
        id = entry.config.id, data_centre = entry.config.data_centre, callers:% = entry.config.callers,
        incarnation = entry.incarnation, version = env!("CARGO_PKG_VERSION");
        "entry started"
    );

    tree.on_shutdown_requested().await;
    let asked = BootInstant::now();
    info!(id = entry.config.id; "entry leaving");
    entry.leave();
    tokio::time::sleep(ADVERTISED).await;
    serving.cancel();
    let limit = entry.config.grace.saturating_sub(LAST_MARGIN);
    let left = limit.saturating_sub(BootInstant::now().since(asked));
    if tokio::time::timeout(left, front).await.is_err() {
        warn!(id = entry.config.id; "requests were still open at the end of the grace");
    }
    entry.stop_orders();
    ordering.cancel();
    tokio::time::sleep(LAST_RECORD).await;
    stop.cancel();
    info!(id = entry.config.id; "entry stopped");
    Ok(())
}

fn start_loops<P: Platform>(
    platform: &P,
    entry: &Arc<Entry>,
    tree: &SubsystemHandle,
    stop: &CancellationToken,
    ordering: &CancellationToken,
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
    supervise(tree, "lease", ordering.clone(), move |stop| {
        Box::pin(renew::renew(Arc::clone(&e), store.clone(), stop))
    });
    let (e, store, orders) = (Arc::clone(entry), platform.store(), platform.orders());
    supervise(tree, "engines", ordering.clone(), move |stop| {
        Box::pin(holder::hold(
            Arc::clone(&e),
            store.clone(),
            orders.clone(),
            stop,
        ))
    });
    let others: [(&'static str, Loop); 3] = [
        ("peers", |e, stop| {
            Box::pin(peer_link::connect_peers(e, stop))
        }),
        ("registrations", |e, stop| {
            Box::pin(registrations::follow_peers(e, stop))
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
