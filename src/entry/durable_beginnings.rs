//! Has the build that began a stream stored before the caller gets the first event, so that the stream can go on after all
//! entries have ended at that moment. Only while several builds serve: otherwise it is stored soon after.

use crate::{
    clock::BootInstant,
    decide::stream_origin::Recording,
    edge::registration::Build,
    entry::{
        context::Entry,
        messages::{BegunBatch, STORE_BEGUN_PATH},
        peer_link,
        stored_streams::WRITERS,
    },
    holding::lock,
    ident::StreamId,
    link::{LinkError, Receiver, Sender},
    metrics,
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use log::{info, warn};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep_until};

/// Longest time for which a first event is held back: callers count one as late that is 120 ms old.
const MAX_DELAY: Duration = Duration::from_millis(90);

/// Time without a response after which the next writer is asked too; a write takes some ten milliseconds.
const NEXT_WRITER_AFTER: Duration = Duration::from_millis(45);

/// Time for which a writer is not asked again after it has failed to write in time.
const WRITER_PAUSE: Duration = Duration::from_secs(1);

/// Writers that have failed, and until when they are not asked.
#[derive(Debug, Default)]
pub struct PausedWriters(HashMap<Arc<str>, BootInstant>);

impl PausedWriters {
    fn pause(&mut self, name: &Arc<str>, now: BootInstant) {
        self.0.retain(|_, until| now < *until);
        self.0.insert(Arc::clone(name), now + WRITER_PAUSE);
    }

    fn is_paused(&self, name: &str, now: BootInstant) -> bool {
        self.0.get(name).is_some_and(|until| now < *until)
    }
}

/// A member of the control set that writes records of begun streams.
struct Writer {
    name: Arc<str>,
    /// Its link address; `None` if it is this entry.
    link: Option<SocketAddr>,
}

impl Entry {
    /// Waits until the store has the build that begins the stream of `request`, or for [`MAX_DELAY`].
    pub async fn store_beginning(self: &Arc<Self>, request: &str, build: &Build) {
        if self.recording() < Recording::Durable {
            return;
        }
        let writers = self.stream_writers();
        if writers.is_empty() {
            metrics::dropped_streams(1);
            info!(request = request, build:% = build; "routing: no writer can store the build that began a stream");
            return;
        }
        let stored = self.ask_writers(&writers, StreamId::of(request), build);
        let stored_by = tokio::time::timeout(MAX_DELAY, stored)
            .await
            .unwrap_or(None);
        let failed = &writers[..stored_by.unwrap_or(writers.len())];
        let now = BootInstant::now();
        let mut paused = lock(&self.stored.paused_writers);
        for writer in failed {
            paused.pause(&writer.name, now);
        }
        drop(paused);
        if stored_by.is_none() {
            metrics::dropped_streams(1);
            warn!(request = request, build:% = build; "routing: the build that began a stream was not stored before its first event");
        }
    }

    /// Asks one writer after the other until one has written; returns the number of that one, if any could.
    async fn ask_writers(
        self: &Arc<Self>,
        all: &[Writer],
        stream: StreamId,
        build: &Build,
    ) -> Option<usize> {
        let started = Instant::now();
        let asked = all.iter().enumerate().map(|(n, writer)| async move {
            sleep_until(started + NEXT_WRITER_AFTER * n as u32).await;
            let is_stored = self.ask_writer(writer, stream, build).await;
            is_stored.then_some(n)
        });
        let mut asked: FuturesUnordered<_> = asked.collect();
        while let Some(stored_by) = asked.next().await {
            if stored_by.is_some() {
                return stored_by;
            }
        }
        None
    }

    async fn ask_writer(
        self: &Arc<Self>,
        writer: &Writer,
        stream: StreamId,
        build: &Build,
    ) -> bool {
        let Some(address) = writer.link else {
            return self.stored.write(stream, build).await;
        };
        let begun = BegunBatch {
            build: build.clone(),
            streams: vec![stream],
        };
        let stored: Option<StreamId> =
            peer_link::request(self, address, STORE_BEGUN_PATH, &begun, MAX_DELAY).await;
        stored == Some(stream)
    }

    /// Returns the writers that have not failed lately.
    fn stream_writers(&self) -> Vec<Writer> {
        let control = self.control.load();
        let now = BootInstant::now();
        let (peers, paused) = (lock(&self.peers), lock(&self.stored.paused_writers));
        let names = control.members.iter().take(WRITERS);
        let names = names.filter(|name| !paused.is_paused(name, now));
        let writers = names.filter_map(|name| {
            let link = if **name == *self.config.id {
                None
            } else {
                Some(peers.find_live(name, now)?.link)
            };
            let name = Arc::clone(name);
            Some(Writer { name, link })
        });
        writers.collect()
    }
}

/// Serves a peer's request to store which build began a stream; names the stream once it is stored.
///
/// # Errors
/// The stream of messages broke.
pub async fn serve(
    entry: &Entry,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), LinkError> {
    if let Some(begun) = receiver.next::<BegunBatch>().await? {
        for stream in &begun.streams {
            if entry.stored.write(*stream, &begun.build).await {
                sender.send(stream).await?;
            }
        }
    }
    sender.finish();
    Ok(())
}
