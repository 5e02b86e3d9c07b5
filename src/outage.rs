//! Takes up again, during an outage of the object API, what an earlier process of this name held.
//!
//! Only engines that check fencing numbers are taken up: they arbitrate by themselves. A number between two
//! of the object API's generations is used, so that whoever holds the upstream by a record is above it.

use crate::{
    authority::TakeoverKind,
    catalogue::{Fencing, PoolKind},
    dispatcher::Context,
    fleet::{Holder, Records, UpstreamRecord},
    holding::{Spec, lock},
    ident::Generation,
    link::{IncomingStream, Link, LinkError},
    wire::{FleetRequest, FleetResponse, SyncUpdate},
};
use log::{debug, info, warn};
use std::{net::SocketAddr, sync::Arc};

/// Path of the streams by which dispatchers give each other the fleet as last read.
pub const FLEET_PATH: &str = "/fleet";

/// Distance between two generations of the object API.
pub const GENERATION_STRIDE: Generation = 1_000;

/// The generation of the next holder by a record.
pub fn next_generation(before: Generation) -> Generation {
    (before / GENERATION_STRIDE + 1) * GENERATION_STRIDE
}

/// The generation under which a restarted process goes on without a record.
fn interim_generation(before: Generation) -> Generation {
    before + 1
}

/// Gives a peer the fleet as last read.
pub async fn serve(context: Arc<Context>, incoming: IncomingStream) {
    let Ok((mut sender, mut receiver)) = incoming.accept() else {
        return;
    };
    let Ok(Some(FleetRequest)) = receiver.next::<FleetRequest>().await else {
        return;
    };
    let give = FleetResponse::from(&lock(&context.fleet).records());
    if sender.send(&give).await.is_ok() {
        sender.finish();
    }
}

/// Takes up what an earlier process of this name held, while this one can't write its record.
pub async fn resume(context: &Arc<Context>) {
    if context.is_registered() || context.is_leaving() {
        return;
    }
    let Some(records) = latest_records(context).await else {
        return;
    };
    let specs = context.specs();
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
            let earlier = Some((holder, record.generation));
            context.take(
                spec.clone(),
                generation,
                TakeoverKind::Replaced,
                stable,
                earlier,
            );
        }
    }
}

/// Whether `holder` is an earlier process of this name, which has ended, at an engine that arbitrates.
fn may_resume(context: &Context, spec: &Spec, holder: &Holder) -> bool {
    let arbitrates = spec.kind == PoolKind::Engine && spec.fencing == Fencing::Checked;
    let own = context.as_holder();
    // This process listens at the address, so the earlier one does not any more.
    arbitrates
        && holder.id == own.id
        && holder.link == own.link
        && holder.incarnation < own.incarnation
}

/// The records as peers know them; none until one of them has read any.
async fn latest_records(context: &Context) -> Option<Vec<UpstreamRecord>> {
    let mut latest = Records::default();
    for address in &context.config.peers.0 {
        let Some(link) = context.peer_link(*address) else {
            continue;
        };
        match ask(&link).await {
            Ok(records) => latest.merge(records),
            Err(e) => debug!("fleet from {address}: {e}"),
        }
    }
    if latest.version == 0 {
        return None;
    }
    lock(&context.fleet).heard = Some(latest.clone());
    Some(latest.upstreams)
}

async fn ask(link: &Link) -> Result<Records, LinkError> {
    let mut answer = link.open(FLEET_PATH, &FleetRequest).await?;
    let give: FleetResponse = answer.next().await?.ok_or(LinkError::Broken)?;
    let upstreams = serde_json::from_str(&give.upstreams).map_err(|e| {
        warn!("the records of a peer can't be read: {e}");
        LinkError::Broken
    })?;
    Ok(Records {
        version: give.version,
        upstreams,
    })
}

/// Notes the claims that another dispatcher tells of: if the object API goes away before they are read there, this
/// process can still tell the claimer's next process of them.
pub fn record_peer_claims(context: &Context, address: SocketAddr, update: &SyncUpdate) {
    let specs = context.specs();
    for status in &update.changed {
        let Some(spec) = specs.iter().find(|s| s.id == status.id) else {
            continue;
        };
        let is_news = lock(&context.fleet).told(UpstreamRecord {
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
        if is_news {
            info!(upstream = &*status.id, holder = &*update.from, generation = status.generation; "placement: a peer told of its claim");
        }
    }
}
