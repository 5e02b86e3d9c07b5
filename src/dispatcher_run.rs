//! Starts the listeners and tasks of a dispatcher, and shuts them down in order.

use crate::{
    assignment,
    catalogue_watch::CATALOGUE_PATH,
    configs::dispatcher::DispatcherConfig,
    dispatch_server::{self, DISPATCH_PATH},
    dispatcher::Context,
    holding::lock,
    http_server,
    link::{self, IncomingStream},
    operator_routes::{self, Probe},
    outage::{self, FLEET_PATH},
    peers,
    permit_service::{self, PERMIT_PATH},
    permits::Allowance,
    renewal::Renewer,
    supervisor::{ChildError, supervise},
    sync_server::{self, SYNC_PATH},
    vm_list,
    wire::CatalogueRequest,
};
use log::{info, warn};
use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::net::TcpListener;
use tokio_graceful_shutdown::{SubsystemBuilder, SubsystemHandle};
use tokio_util::sync::CancellationToken;

/// Interval between updates of the load allowance from the catalogue.
const ALLOWANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Runs a dispatcher until shutdown is requested.
///
/// # Errors
/// A listener could not be bound, or another process has this dispatcher's name.
pub async fn run(config: DispatcherConfig, tree: &mut SubsystemHandle) -> Result<(), ChildError> {
    let link = TcpListener::bind(config.link).await?;
    let operators = TcpListener::bind(config.operators).await?;
    let context = Context::new(config);
    let stop = CancellationToken::new();
    let renewal_stop = CancellationToken::new();
    spawn_tasks(&context, tree, &stop);
    let renewal = Renewer::new(Arc::clone(&context)).run(renewal_stop.clone());
    let context_on_failure = Arc::clone(&context);
    tree.start(SubsystemBuilder::new(
        "renewal",
        async move |_: &mut SubsystemHandle| -> Result<(), ChildError> {
            let ended = renewal.await;
            if ended.is_err() {
                context_on_failure.drop_all_holdings();
            }
            ended.map_err(Into::into)
        },
    ));
    let link_server = serve_link(Arc::clone(&context), link, stop.clone());
    let link_server = tokio::spawn(link_server);
    let probe = probe(&context);
    let operator_server = tokio::spawn(http_server::serve(
        operators,
        operator_routes::router(probe),
        stop.clone(),
    ));
    info!(id = context.config.id, link:% = context.config.link, incarnation = context.incarnation; "dispatcher started");
    tree.on_shutdown_requested().await;
    leave(&context).await;
    renewal_stop.cancel();
    context.stream_stop.cancel();
    stop.cancel();
    link_server.await??;
    operator_server.await??;
    info!(id = context.config.id; "dispatcher stopped");
    Ok(())
}

impl Context {
    /// Stops using every upstream at once, without releasing any.
    fn drop_all_holdings(&self) {
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

fn spawn_tasks(context: &Arc<Context>, tree: &SubsystemHandle, stop: &CancellationToken) {
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
        Box::pin(poll_vms(Arc::clone(&c), stop))
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

async fn poll_vms(context: Arc<Context>, stop: CancellationToken) -> Result<(), ChildError> {
    while !stop.is_cancelled() {
        match vm_list::read(&context.client, context.config.vm_list).await {
            Ok(list) => context.set_vms(list),
            Err(e) => warn!("cannot read the VM list: {e}"),
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
        // These streams stay open as long as both sides run, so shutdown must end them.
        SYNC_PATH => {
            let cancel = context.stream_stop.clone();
            let serve = sync_server::serve(context, incoming);
            cancel.run_until_cancelled(serve).await.unwrap_or_default();
        }
        PERMIT_PATH => {
            let cancel = context.stream_stop.clone();
            let serve = permit_service::serve(context, incoming);
            cancel.run_until_cancelled(serve).await.unwrap_or_default();
        }
        CATALOGUE_PATH => serve_catalogue(&context, incoming).await,
        FLEET_PATH => outage::serve(context, incoming).await,
        _ => incoming.refuse(),
    }
}

async fn serve_catalogue(context: &Context, incoming: IncomingStream) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(request)) = receiver.next::<CatalogueRequest>().await else {
        return;
    };
    if sender
        .send(&context.catalogue.response_to(request.have))
        .await
        .is_ok()
    {
        sender.finish();
    }
}

/// Stops new requests, waits for those in flight, and releases every upstream.
async fn leave(context: &Arc<Context>) {
    context.leaving.store(true, Ordering::SeqCst);
    context.renew_now.notify_one();
    context.changed.notify_waiters();
    info!(id = context.config.id; "dispatcher leaving");
    let mut handovers = HashMap::new();
    for holding in context.holdings() {
        let id = Arc::clone(&holding.spec.id);
        handovers.insert(
            id,
            tokio::spawn(assignment::hand_over(Arc::clone(context), holding)),
        );
    }
    for (id, handover) in handovers {
        if !handover.await.unwrap_or(false) {
            warn!(upstream = &*id; "left without a release");
        }
    }
    context.changed.notify_waiters();
}
