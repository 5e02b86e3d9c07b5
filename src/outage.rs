//! Resumes upstreams that an earlier process of this name held, during an outage of the object API.
//!
//! Only engines that check fencing numbers are resumed, as they reject stale orders themselves. A number between two
//! of the object API's generations is used, so that a holder by a record always has a higher one.

use crate::{
    authority::TakeoverKind,
    catalogue::{Fencing, PoolKind},
    dispatcher::Context,
    fleet::{Holder, UpstreamRecord, UpstreamRecords},
    holding::{UpstreamSpec, lock},
    ident::Generation,
    link::{IncomingStream, Link, LinkError},
    wire::{FleetRequest, FleetResponse, SyncUpdate},
};
use log::{debug, info, warn};
use std::{net::SocketAddr, sync::Arc};

/// Path of the streams on which dispatchers send each other the fleet as last read.
pub const FLEET_PATH: &str = "/fleet";

/// Distance between two generations that are recorded in the object API.
pub const GENERATION_STRIDE: Generation = 1_000;

/// Returns the generation of the next holder by a record.
pub fn next_generation(before: Generation) -> Generation {
    (before / GENERATION_STRIDE + 1) * GENERATION_STRIDE
}

/// Returns the generation under which a restarted process resumes without a record.
fn interim_generation(before: Generation) -> Generation {
    before + 1
}

/// Sends a peer the fleet as last read.
pub async fn serve(context: Arc<Context>, incoming: IncomingStream) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(FleetRequest)) = receiver.next::<FleetRequest>().await else {
        return;
    };
    let fleet = FleetResponse::from(&lock(&context.fleet).records());
    if sender.send(&fleet).await.is_ok() {
        sender.finish();
    }
}

/// Resumes what an earlier process of this name held, while this process can't write its record.
pub async fn resume(context: &Arc<Context>) {
    if context.is_registered() || context.is_leaving() {
        return;
    }
    let Some(records) = latest_records(context).await else {
        return;
    };
    let specs = context.live_specs();
    for record in records {
        let spec = specs.iter().find(|s| s.id == record.id);
        let Some(spec) = spec.filter(|_| context.holding(&record.id).is_none()) else {
            continue;
        };
        if let Some(holder) = record
            .holder
            .clone()
            .filter(|h| may_resume(context, spec, h))
        {
            let generation = interim_generation(record.generation);
            info!(upstream = &*spec.id, generation = generation; "placement: resume without a record");
            let stable = record.stable.into_iter().collect();
            let earlier_holder = Some((holder, record.generation));
            context.start_holding(
                spec.clone(),
                generation,
                TakeoverKind::Replaced,
                stable,
                earlier_holder,
            );
        }
    }
}

/// Returns whether `holder` is an earlier process of this name, which has ended, at an engine that checks fencing.
fn may_resume(context: &Context, spec: &UpstreamSpec, holder: &Holder) -> bool {
    let rejects_stale_orders = spec.kind == PoolKind::Engine && spec.fencing == Fencing::Checked;
    let own = context.as_holder();
    // This process listens at the same address, so the earlier one has ended.
    rejects_stale_orders
        && holder.id == own.id
        && holder.link == own.link
        && holder.incarnation < own.incarnation
}

/// Returns the merged records of the configured peers; `None` until one of them has read any.
async fn latest_records(context: &Context) -> Option<Vec<UpstreamRecord>> {
    let mut latest = UpstreamRecords::default();
    for address in &context.config.peers.0 {
        let Some(link) = context.peer_link(*address) else {
            continue;
        };
        match fetch_records(&link).await {
            Ok(records) => latest.merge(records),
            Err(e) => debug!("cannot get the fleet from {address}: {e}"),
        }
    }
    if latest.version == 0 {
        return None;
    }
    lock(&context.fleet).peer_records = Some(latest.clone());
    Some(latest.upstreams)
}

async fn fetch_records(link: &Link) -> Result<UpstreamRecords, LinkError> {
    let mut response = link.open(FLEET_PATH, &FleetRequest).await?;
    let fleet: FleetResponse = response.next().await?.ok_or(LinkError::Broken)?;
    let upstreams = serde_json::from_str(&fleet.upstreams).map_err(|e| {
        warn!("cannot parse the records of a peer: {e}");
        LinkError::Broken
    })?;
    Ok(UpstreamRecords {
        version: fleet.version,
        upstreams,
    })
}

/// Records the claims that a peer reports: if the object API becomes unavailable before they are read there, this
/// process can still report them to the next process of that peer.
pub fn record_peer_claims(context: &Context, address: SocketAddr, update: &SyncUpdate) {
    let specs = context.live_specs();
    for status in &update.changed {
        let Some(spec) = specs.iter().find(|s| s.id == status.id) else {
            continue;
        };
        let is_new = lock(&context.fleet).record_peer_claim(UpstreamRecord {
            id: Arc::clone(&status.id),
            holder: Some(Holder {
                id: Arc::clone(&update.from),
                incarnation: update.incarnation,
                link: address,
            }),
            generation: status.generation,
            fencing: spec.fencing,
            stable: Vec::new(),
            write: 0,
        });
        if is_new {
            info!(upstream = &*status.id, holder = &*update.from, generation = status.generation; "placement: a peer reported its claim");
        }
    }
}
