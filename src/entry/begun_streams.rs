//! Shares with the other entries which build began a stream, and which builds have served.

use crate::{
    clock::BootInstant,
    decide::{
        begun_streams::{AddResult, BegunStream, CAPACITY},
        event_ids::gaps_key,
        stream_origin::Recording,
    },
    edge::registration::Build,
    entry::{
        context::Entry,
        messages::{BEGUN_PATH, BegunBatch},
        peer_link,
    },
    holding::lock,
    ident::StreamId,
    link::{LinkError, Receiver, Sender},
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use log::{info, warn};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

/// Timeout of a request to the peers for the build that began a stream; a round trip between data centres takes a few
/// milliseconds.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Place of a peer in the exchange of updates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerPlace {
    /// In the control set, or not known yet.
    Member,
    /// Outside the control set: this entry is its relay.
    Relayed,
}

impl PeerPlace {
    /// Returns the place of a peer for which this entry relays, or doesn't.
    pub fn of(is_relayed: bool) -> Self {
        if is_relayed {
            Self::Relayed
        } else {
            Self::Member
        }
    }
}

impl Entry {
    /// Remembers that `build` sent the first event of the stream of `request`.
    pub fn record_begun(&self, request: &str, build: &Build) {
        self.add_begun(StreamId::of(request), build, None);
        if self.recording().is_for_all() {
            self.notify_peers();
        }
    }

    /// Remembers that the event IDs of `build` have gaps. That reaches whoever is told, or can ask, which build began a stream,
    /// and is forgotten with the streams of its time.
    pub fn record_gaps(&self, build: &Build) {
        if self.add_begun(gaps_key(build), build, None) == AddResult::Known {
            return;
        }
        info!(build:% = build; "routing: the event ids of a build have gaps");
        if self.recording().is_for_all() {
            self.notify_peers();
        }
    }

    /// Returns whether the event IDs of `build` are known to have gaps, to any entry or, if `may_be_stored`, by a record in the
    /// store.
    pub async fn find_gaps(self: &Arc<Self>, build: &Build, may_be_stored: bool) -> bool {
        let key = gaps_key(build);
        if self.find_begun(key).await.is_some() {
            return true;
        }
        may_be_stored && self.find_stored(key).await.is_some()
    }

    fn add_begun(&self, stream: StreamId, build: &Build, source: Option<Arc<str>>) -> AddResult {
        let added = lock(&self.begun).add(stream, build, source, BootInstant::now());
        if added == AddResult::Displaced {
            warn!(capacity = CAPACITY; "routing: too many streams begin to remember the build of each");
        }
        added
    }

    /// Adds the streams that a peer has reported.
    pub fn apply_begun(&self, peer: Option<&Arc<str>>, begun: &[BegunBatch]) {
        for batch in begun {
            for stream in &batch.streams {
                self.add_begun(*stream, &batch.build, peer.cloned());
            }
        }
    }

    /// Records the builds of the registered upstreams.
    pub fn observe_builds(&self) {
        let registered: Vec<Build> = lock(&self.registry).all().map(|r| r.build()).collect();
        lock(&self.builds).observe(registered.into_iter(), BootInstant::now());
    }

    /// Returns how it is recorded which build begins a stream.
    pub fn recording(&self) -> Recording {
        Recording::choose(&lock(&self.builds), BootInstant::now())
    }

    /// Returns all streams that are remembered, for a peer that has just connected.
    pub fn known_begun(&self, receiver: PeerPlace) -> Vec<BegunBatch> {
        if self.tells_beginnings_to(receiver) {
            batches(lock(&self.begun).since(0))
        } else {
            Vec::new()
        }
    }

    /// Returns whether `receiver` is told which build began a stream. Outside the control set an entry can ask its relay.
    pub fn tells_beginnings_to(&self, receiver: PeerPlace) -> bool {
        match receiver {
            PeerPlace::Member => true,
            PeerPlace::Relayed => self.recording().is_for_all(),
        }
    }

    /// Returns the build that began a stream, from this entry's memory or a peer's.
    pub async fn find_begun(self: &Arc<Self>, stream: StreamId) -> Option<Build> {
        if let Some(build) = self.begun_build(stream) {
            return Some(build);
        }
        let peers: Vec<SocketAddr> = {
            let peers = lock(&self.peers);
            let live = peers.direct(BootInstant::now());
            live.map(|p| p.info.link).collect()
        };
        let lookups = peers.into_iter().map(|address| async move {
            let found: Option<Option<Build>> =
                peer_link::request(self, address, BEGUN_PATH, &stream, LOOKUP_TIMEOUT).await;
            found.flatten()
        });
        let mut lookups: FuturesUnordered<_> = lookups.collect();
        while let Some(found) = lookups.next().await {
            if found.is_some() {
                return found;
            }
        }
        // An update may have come meanwhile.
        self.begun_build(stream)
    }

    fn begun_build(&self, stream: StreamId) -> Option<Build> {
        let begun = lock(&self.begun);
        begun.build_of(stream).map(|build| Build::clone(build))
    }
}

/// Groups streams by build.
pub fn batches<'a>(streams: impl Iterator<Item = &'a BegunStream>) -> Vec<BegunBatch> {
    let mut by_build: HashMap<&Build, Vec<StreamId>> = HashMap::new();
    for stream in streams {
        by_build.entry(&stream.build).or_default().push(stream.id);
    }
    let batches = by_build.into_iter().map(|(build, streams)| BegunBatch {
        build: build.clone(),
        streams,
    });
    batches.collect()
}

/// Serves a peer's request for the build that began a stream.
///
/// # Errors
/// The stream of messages broke.
pub async fn serve(
    entry: &Entry,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    if let Some(stream) = receiver.next::<StreamId>().await? {
        sender.send(&entry.begun_build(stream)).await?;
    }
    sender.finish();
    Ok(())
}
