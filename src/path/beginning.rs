//! Finds the build that must go on with a stream which a caller resumes.

use crate::{
    clock::BootInstant,
    decide::stream_origin::{Origin, OriginSource, Question, find_origin},
    edge::{codec::StreamBeginning, registration::Build},
    holding::lock,
    ident::StreamId,
    path::{job::ProxyRequest, refusal::RefusalReason},
};
use log::info;
use std::sync::Arc;

impl ProxyRequest {
    /// Binds a request that resumes a stream to the build and the service that began it.
    ///
    /// # Errors
    /// The beginning is unknown and not certain, or the route no longer leads to its service.
    pub async fn find_build(&mut self) -> Result<(), RefusalReason> {
        if !self.route.kind.is_stream() {
            return Ok(());
        }
        let begun = match &self.head.beginning {
            StreamBeginning::Here => return Ok(()),
            StreamBeginning::Earlier(id) => self.entry.find_begun(StreamId::of(id)).await,
            StreamBeginning::Unnamed => None,
        };
        let source = OriginSource::Entries;
        let origin = match begun {
            Some(build) => Some(Origin { build, source }),
            None => self.find_unremembered().await,
        };
        let Origin { build, source } = origin.ok_or(RefusalReason::UnknownBeginning)?;
        info!(request = &*self.head.id, build:% = build, source = source.as_str(); "routing: resumed stream bound to a build");
        let mut targets = self.route.targets.iter();
        if !targets.any(|t| t.service == build.service) {
            return Err(RefusalReason::NoSameBuild);
        }
        self.service = Arc::clone(&build.service);
        self.build = Some(build);
        Ok(())
    }

    /// Returns the build that began a stream which no entry remembers.
    async fn find_unremembered(&self) -> Option<Origin> {
        let targets = self.route.targets.iter();
        let services: Vec<&Arc<str>> = targets.map(|t| &t.service).collect();
        let question = Question {
            services: &services,
            asked: BootInstant::now(),
        };
        let is_concludable = {
            let history = lock(&self.entry.builds);
            history.only_build(&services, question.asked).is_some()
        };
        let read = async {
            if is_concludable {
                self.entry.read_builds().await;
            }
        };
        let (stored, ()) = tokio::join!(self.find_stored(), read);
        let now = BootInstant::now();
        let (origin, report) = {
            let history = lock(&self.entry.builds);
            let origin = find_origin(question, stored, &history, now);
            (origin, history.report(now))
        };
        if origin.is_none() {
            info!(
                request = &*self.head.id, builds:? = report.builds, complete_ms = report.complete_ms, read = is_concludable;
                "routing: the build that began a stream is unknown"
            );
        }
        origin
    }

    /// Returns whether the event IDs of `build`, which continues the stream, are known to have gaps.
    pub async fn has_event_gaps(&self, build: &Build) -> bool {
        // This entry has seen the first events of a stream that began with this request.
        let may_be_stored = self.head.last_event.is_some();
        let found = self.entry.find_gaps(build, may_be_stored);
        let found = tokio::time::timeout(self.time_left(), found).await;
        found.unwrap_or(false)
    }

    /// Returns the build that began the stream, from the records in the store.
    async fn find_stored(&self) -> Option<Build> {
        match &self.head.beginning {
            StreamBeginning::Earlier(id) => self.entry.find_stored(StreamId::of(id)).await,
            StreamBeginning::Here | StreamBeginning::Unnamed => None,
        }
    }
}
