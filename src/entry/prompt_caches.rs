//! Beginnings of prompts that engines are likely to hold: recorded for each request, and shared with peers.

use crate::{
    clock::BootInstant,
    decide::{
        prefill,
        prompt_cache::{self, EngineMemory, PromptPart},
    },
    edge::{
        codec::InferenceWork,
        registration::{AdapterKey, Registration},
    },
    entry::{
        context::Entry,
        messages::{PeerUpdate, PromptUpdate},
        send_log::SendRecord,
    },
    holding::lock,
    ident::UpstreamId,
};
use std::{sync::Arc, time::Duration};

/// Beginning of a request's prompt at the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct PromptBeginning {
    /// Parts that other requests may share.
    parts: Vec<PromptPart>,
    /// Tokens that an engine's memory holds; 0 if it keeps nothing.
    memory: u64,
    /// Tokens of the prompt.
    prompt_tokens: u32,
    /// Expected tokens of the output.
    output_tokens: u32,
}

impl PromptBeginning {
    fn memory_of<'a>(&self, upstream: &'a Registration) -> EngineMemory<'a> {
        EngineMemory {
            id: &upstream.id,
            born: upstream.born.unwrap_or_default(),
            tokens: self.memory,
        }
    }
}

impl Entry {
    /// Returns the beginning of a prompt for engines of `service`.
    pub fn prompt_beginning(&self, service: &str, work: &InferenceWork) -> PromptBeginning {
        let table = self.routes.load();
        let engine = table.deployment.service(service);
        let engine = engine.and_then(|s| s.engine.as_ref());
        let memory = engine.map_or(0, |spec| spec.cache_tokens);
        if memory == 0 {
            return PromptBeginning::default();
        }
        let key = work.adapter.as_ref();
        let version = key.map_or(0, |key| self.newest_version(key));
        let owner = prompt_cache::owner(&work.model, key);
        PromptBeginning {
            parts: prompt_cache::shared_parts(owner, version, &work.prompt_parts),
            memory,
            prompt_tokens: work.prompt_tokens,
            output_tokens: work.size(),
        }
    }

    /// Returns the prefill time that `upstream` is expected to save with the beginning of the prompt.
    pub fn saved_prefill(&self, upstream: &Registration, prompt: &PromptBeginning) -> Duration {
        if prompt.parts.is_empty() {
            return Duration::ZERO;
        }
        let kept = lock(&self.prompt_caches).kept(prompt.memory_of(upstream), &prompt.parts);
        let rest = prompt.prompt_tokens.saturating_sub(kept);
        prefill::prefill_time(prompt.prompt_tokens).saturating_sub(prefill::prefill_time(rest))
    }

    /// Records a request that is about to be sent to `upstream`; returns what peers must be told.
    pub fn record_prompt(
        &self,
        upstream: &Registration,
        prompt: &PromptBeginning,
    ) -> Vec<PromptUpdate> {
        if prompt.memory == 0 {
            return Vec::new();
        }
        let tokens = prompt.prompt_tokens.saturating_add(prompt.output_tokens);
        let memory = prompt.memory_of(upstream);
        let parts = lock(&self.prompt_caches).record(memory, &prompt.parts, tokens);
        if parts.is_empty() {
            return Vec::new();
        }
        vec![PromptUpdate {
            upstream: Arc::clone(&upstream.id),
            born: memory.born,
            parts,
        }]
    }

    /// Applies what a peer's update tells of prompts, and of adapters that engines no longer hold.
    pub fn apply_peer_prompts(&self, update: &PeerUpdate) {
        for beginning in &update.beginnings {
            let (id, born) = (&beginning.upstream, beginning.born);
            lock(&self.prompt_caches).learn(id, born, &beginning.parts);
        }
        if !update.beginnings.is_empty() {
            // One record for all, as the log is short and must not lose what counts towards limits.
            lock(&self.send_log).add(SendRecord {
                at: BootInstant::now(),
                source: Some(Arc::clone(&update.info.name)),
                beginnings: update.beginnings.clone(),
                ..SendRecord::default()
            });
        }
        for change in &update.held {
            for key in &change.went {
                self.forget_prompts(&change.upstream, key);
            }
        }
    }

    /// Forgets the beginnings of an adapter that `upstream` no longer holds.
    pub fn forget_prompts(&self, upstream: &UpstreamId, key: &AdapterKey) {
        let owner = prompt_cache::owner(&key.model, Some(key));
        lock(&self.prompt_caches).unload(upstream, owner);
    }
}
