//! Finds the build that must go on with a stream which a caller resumes.

use crate::{
    clock::BootInstant,
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
        let (source, build) = if let Some(build) = begun {
            ("entries", build)
        } else if let Some(build) = self.certain_build().await {
            ("only-build", build)
        } else {
            ("store", self.stored_build().await?)
        };
        info!(request = &*self.head.id, build:% = build, source = source; "routing: resumed stream bound to a build");
        let mut targets = self.route.targets.iter();
        if !targets.any(|t| t.service == build.service) {
            return Err(RefusalReason::NoSameBuild);
        }
        self.service = Arc::clone(&build.service);
        self.build = Some(build);
        Ok(())
    }

    /// Returns the build that began the stream, from the records in the store.
    async fn stored_build(&self) -> Result<Build, RefusalReason> {
        let stored = match &self.head.beginning {
            StreamBeginning::Earlier(id) => self.entry.find_stored(StreamId::of(id)).await,
            StreamBeginning::Here | StreamBeginning::Unnamed => None,
        };
        stored.ok_or(RefusalReason::UnknownBeginning)
    }

    /// Returns the only build that can have begun the stream, once the registered upstreams were read again: this entry may
    /// have stood still or been cut off while another build began streams.
    async fn certain_build(&self) -> Option<Build> {
        self.only_build()?;
        let asked = BootInstant::now();
        self.entry.read_builds().await;
        let build = self.only_build()?;
        lock(&self.entry.builds)
            .is_read_since(asked)
            .then_some(build)
    }

    /// Returns the only build that can have begun a stream of this route, as far as this entry knows.
    fn only_build(&self) -> Option<Build> {
        let targets = self.route.targets.iter();
        let services: Vec<&Arc<str>> = targets.map(|t| &t.service).collect();
        let history = lock(&self.entry.builds);
        history.only_build(&services, BootInstant::now()).cloned()
    }
}
