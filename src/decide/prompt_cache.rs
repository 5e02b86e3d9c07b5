//! Guesses which beginnings of prompts each engine still holds.
//!
//! An engine keeps the parts of the prompts that it has read, for the same model, adapter and version, until it needs their
//! memory for others; the least recently used go first. Nobody tells at once what was dropped. It is guessed from the tokens
//! that the engine was sent since a part was last used.
//!
//! | load pattern | response |
//! |---|---|
//! | requests that share the beginning of their prompts | the part that is kept, by how sure that is, counts as prefill saved at that engine |
//! | an engine that holds the beginning, but is busier | the saving is weighed against the wait, without any preference |
//! | more prompts than an engine's memory holds | a beginning counts less from half the memory on, and not at all beyond all of it |
//! | an engine restarts, or unloads the adapter, or has a new version of it | what it held is forgotten |
//! | reports of peers that are late, lost or out of order | one on an earlier process changes nothing; a wrong guess costs the prefill of one beginning |

use crate::{
    edge::registration::AdapterKey,
    ident::{UpstreamId, pair_hash},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc};

/// Parts remembered for an engine, 32 bytes each.
pub const MAX_HELD_PARTS: usize = 128;

/// Parts of one prompt that are looked at.
const MAX_PROMPT_PARTS: usize = 8;

/// Share of an engine's memory up to which newer tokens surely leave a part in place: running requests take the rest.
const SURE_SHARE: f64 = 0.5;

/// Share of an engine's memory after which peers are told again that a part was used.
const REPORT_SHARE: f64 = 0.25;

/// Part of a prompt, with all parts before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Hash of the model or adapter.
    pub owner: u64,
    /// Hash of the owner's version and of the parts up to this one.
    pub beginning: u64,
    /// Number of tokens of this part.
    pub tokens: u32,
}

/// Memory of one engine process.
#[derive(Clone, Copy, Debug)]
pub struct EngineMemory<'a> {
    /// Name.
    pub id: &'a UpstreamId,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Capacity, in tokens of prompts and outputs.
    pub tokens: u64,
}

/// Part that an engine has read.
#[derive(Clone, Copy, Debug)]
struct HeldPart {
    owner: u64,
    /// Count of the engine's tokens when it was last used.
    used: u64,
    /// The same when peers were last told.
    told: u64,
}

/// Parts that one engine process has read.
#[derive(Clone, Debug, Default)]
struct EngineCache {
    born: u64,
    /// Number of tokens that the engine has read and generated.
    count: u64,
    parts: HashMap<u64, HeldPart>,
}

/// Beginnings that the engines of all services are likely to hold.
#[derive(Debug, Default)]
pub struct PromptCaches {
    engines: HashMap<UpstreamId, EngineCache>,
}

/// Returns the hash of a model or adapter.
pub fn owner(model: &str, adapter: Option<&AdapterKey>) -> u64 {
    pair_hash(model, adapter.map_or("", |key| &key.adapter))
}

/// Returns the parts of a prompt that other prompts may share: all but the last, which is the request's own.
pub fn shared_parts(owner: u64, version: u32, parts: &[(u64, u32)]) -> Vec<PromptPart> {
    let shared = parts.split_last().map_or(&[][..], |(_own, shared)| shared);
    let mut beginning = hash_pair(owner, u64::from(version));
    let chain = shared.iter().take(MAX_PROMPT_PARTS).map(|(id, tokens)| {
        beginning = hash_pair(beginning, *id);
        PromptPart {
            owner,
            beginning,
            tokens: *tokens,
        }
    });
    chain.collect()
}

fn hash_pair(a: u64, b: u64) -> u64 {
    pair_hash(&a.to_string(), &b.to_string())
}

impl EngineCache {
    /// Returns how sure it is that a part is still held, from 0 to 1.
    fn confidence(&self, beginning: u64, memory: u64) -> f64 {
        let Some(part) = self.parts.get(&beginning) else {
            return 0.0;
        };
        let newer = self.count.saturating_sub(part.used) as f64 / memory.max(1) as f64;
        ((1.0 - newer) / (1.0 - SURE_SHARE)).clamp(0.0, 1.0)
    }

    /// Returns the tokens of the beginning that are expected to be held.
    fn kept(&self, parts: &[PromptPart], memory: u64) -> u32 {
        let mut confidence = 1.0_f64;
        let tokens = parts.iter().map(|part| {
            confidence = confidence.min(self.confidence(part.beginning, memory));
            f64::from(part.tokens) * confidence
        });
        tokens.sum::<f64>() as u32
    }

    /// Records that a part was used.
    fn touch(&mut self, part: &PromptPart, told: u64) {
        if self.parts.len() >= MAX_HELD_PARTS && !self.parts.contains_key(&part.beginning) {
            let oldest = self.parts.iter().min_by_key(|(_, held)| held.used);
            if let Some(beginning) = oldest.map(|(beginning, _)| *beginning) {
                self.parts.remove(&beginning);
            }
        }
        let held = HeldPart {
            owner: part.owner,
            used: self.count,
            told,
        };
        self.parts.insert(part.beginning, held);
    }
}

impl PromptCaches {
    /// Returns the cache of an engine process, emptied if the engine has restarted; `None` if a later one is known.
    fn process(&mut self, id: &UpstreamId, born: u64) -> Option<&mut EngineCache> {
        let cache = self.engines.entry(Arc::clone(id)).or_default();
        if cache.born < born {
            *cache = EngineCache {
                born,
                ..EngineCache::default()
            };
        }
        (cache.born == born).then_some(cache)
    }

    /// Returns the tokens of the beginning `parts` that an engine is expected to hold.
    pub fn kept(&self, engine: EngineMemory<'_>, parts: &[PromptPart]) -> u32 {
        let cache = self.engines.get(engine.id);
        let cache = cache.filter(|c| c.born == engine.born);
        cache.map_or(0, |c| c.kept(parts, engine.tokens))
    }

    /// Records a request to an engine that begins with `parts` and has `tokens` in prompt and output. Returns the parts that
    /// peers don't know to be there.
    pub fn record(
        &mut self,
        engine: EngineMemory<'_>,
        parts: &[PromptPart],
        tokens: u32,
    ) -> Vec<PromptPart> {
        let Some(cache) = self.process(engine.id, engine.born) else {
            return Vec::new();
        };
        let kept = cache.kept(parts, engine.tokens);
        cache.count += u64::from(tokens.saturating_sub(kept));
        let interval = (engine.tokens as f64 * REPORT_SHARE) as u64;
        let mut news = Vec::new();
        for part in parts {
            let told = cache.parts.get(&part.beginning).map(|held| held.told);
            let known = told.filter(|told| cache.count.saturating_sub(*told) < interval);
            if known.is_none() {
                news.push(*part);
            }
            let count = cache.count;
            cache.touch(part, known.unwrap_or(count));
        }
        news
    }

    /// Learns from a peer that requests to an engine process began with `parts`.
    pub fn learn(&mut self, id: &UpstreamId, born: u64, parts: &[PromptPart]) {
        if let Some(cache) = self.process(id, born) {
            for part in parts {
                let count = cache.count;
                cache.touch(part, count);
            }
        }
    }

    /// Adds prompt tokens that other entries sent to an engine.
    pub fn add_tokens(&mut self, id: &UpstreamId, tokens: u32) {
        if let Some(cache) = self.engines.get_mut(id) {
            cache.count += u64::from(tokens);
        }
    }

    /// Forgets the parts of a model or adapter that an engine has unloaded.
    pub fn unload(&mut self, id: &str, owner: u64) {
        if let Some(cache) = self.engines.get_mut(id) {
            cache.parts.retain(|_, held| held.owner != owner);
        }
    }

    /// Forgets an engine.
    pub fn forget(&mut self, id: &str) {
        self.engines.remove(id);
    }

    /// Returns the number of parts remembered for an engine.
    pub fn part_count(&self, id: &str) -> usize {
        self.engines.get(id).map_or(0, |cache| cache.parts.len())
    }
}
