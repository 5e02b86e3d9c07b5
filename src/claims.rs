//! At-most-once records: a request that may not be repeated is claimed before any byte reaches an upstream.

use crate::{
    clock,
    digest::content_address,
    ident::RequestId,
    object_api::{Condition, ObjectApi, ObjectError, Version},
};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest answer kept in a record, in bytes.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// Tries to record an outcome.
const FINISH_TRIES: u32 = 20;

/// Wait between two of them.
const FINISH_DELAY: Duration = Duration::from_millis(500);

/// A finished answer, as kept for the same key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, for a plain service's answer.
    pub content: String,
    /// Model that produced the text, if one did.
    pub model: Option<String>,
    /// Why the text ended.
    pub finish: String,
    /// Tokens generated.
    pub tokens: u64,
    /// Length of the answer, in bytes.
    pub length: u64,
    /// SHA-256 of the answer.
    pub digest: String,
    /// The answer itself, where it is small enough and is text.
    pub text: Option<String>,
}

impl StoredResponse {
    /// Fills in length, digest and, if small, the answer.
    pub fn with_body(mut self, data: &[u8]) -> Self {
        self.length = data.len() as u64;
        self.digest = content_address(data);
        let text = std::str::from_utf8(data).ok();
        self.text = text
            .filter(|t| t.len() <= MAX_KEPT_BYTES)
            .map(ToOwned::to_owned);
        self
    }
}

/// What is recorded of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Claimed; it may be running, or its gateway has gone.
    Running,
    /// Certainly not run; the key may be claimed again.
    NotRun,
    /// Answered.
    Done(StoredResponse),
    /// It may have run.
    Unknown,
}

/// An at-most-once record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Claim {
    write: u64,
    request: String,
    fingerprint: u64,
    claimed_ms: u64,
    state: ClaimState,
}

/// A claim that this gateway made.
#[derive(Clone, Debug)]
pub struct OwnedClaim {
    key: String,
    claim: Claim,
    version: Version,
}

/// Why a request may not be run now.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimRefusal {
    /// The record could not be written; it was not run.
    Unavailable,
    /// The same key was used for another request.
    Mismatch,
    /// The same request runs elsewhere, or its outcome will never be known.
    Running,
    /// It was answered.
    Done(Box<StoredResponse>),
    /// It may have run.
    Unknown,
}

/// Makes and settles claims.
#[derive(Clone, Debug)]
pub struct Claims {
    api: ObjectApi,
    retention_ms: u64,
}

/// What a look at an existing record says.
enum Found {
    Refuse(ClaimRefusal),
    Reclaim(Version),
    Gone,
    Mine(Version),
}

impl Claims {
    /// Records are kept for `retention`, in seconds.
    pub fn new(api: ObjectApi, retention: u64) -> Self {
        Self {
            api,
            retention_ms: retention * 1_000,
        }
    }

    /// Claims `key` of `caller` for one run.
    ///
    /// # Errors
    /// See [`ClaimRefusal`].
    pub async fn acquire(
        &self,
        caller: &str,
        key: &str,
        id: RequestId,
        fingerprint: u64,
    ) -> Result<OwnedClaim, ClaimRefusal> {
        let name = content_address(format!("{caller}\0{key}").as_bytes());
        let key = format!("claims/{name}");
        let claim = Claim {
            write: rand::random(),
            request: id.to_string(),
            fingerprint,
            claimed_ms: clock::unix_ms(),
            state: ClaimState::Running,
        };
        let mut condition = Condition::Absent;
        for _ in 0..3 {
            match self.api.put(&key, &claim, condition).await {
                Ok(version) => {
                    return Ok(OwnedClaim {
                        key,
                        claim,
                        version,
                    });
                }
                Err(ObjectError::Refused | ObjectError::Malformed) => break,
                Err(ObjectError::Conflict | ObjectError::Unknown) => {}
            }
            match self.look(&key, &claim).await {
                Some(Found::Mine(version)) => {
                    return Ok(OwnedClaim {
                        key,
                        claim,
                        version,
                    });
                }
                Some(Found::Refuse(refusal)) => return Err(refusal),
                Some(Found::Reclaim(version)) => condition = Condition::At(version),
                Some(Found::Gone) => condition = Condition::Absent,
                None => {
                    // The write may have taken effect: let the key be used again.
                    self.free_later(key, claim);
                    return Err(ClaimRefusal::Unavailable);
                }
            }
        }
        Err(ClaimRefusal::Unavailable)
    }

    async fn look(&self, key: &str, claim: &Claim) -> Option<Found> {
        let stored = match self.api.get(key).await {
            Ok(Some(stored)) => stored,
            Ok(None) => return Some(Found::Gone),
            Err(e) => {
                warn!("reading an at-most-once record: {e}");
                return None;
            }
        };
        let found: Claim = stored.parse().ok()?;
        if found.write == claim.write {
            return Some(Found::Mine(stored.version));
        }
        let expired = found.claimed_ms + self.retention_ms < clock::unix_ms();
        if expired || found.state == ClaimState::NotRun {
            return Some(Found::Reclaim(stored.version));
        }
        if found.fingerprint != claim.fingerprint {
            return Some(Found::Refuse(ClaimRefusal::Mismatch));
        }
        Some(Found::Refuse(match found.state {
            ClaimState::Running | ClaimState::NotRun => ClaimRefusal::Running,
            ClaimState::Done(kept) => ClaimRefusal::Done(Box::new(kept)),
            ClaimState::Unknown => ClaimRefusal::Unknown,
        }))
    }

    /// Records the outcome of a claimed request; goes on in the background if the store is slow.
    pub async fn finish(&self, owned: OwnedClaim, state: ClaimState) {
        let recorded = tokio::spawn(record(self.api.clone(), owned, state));
        if tokio::time::timeout(FINISH_DELAY * 2, recorded)
            .await
            .is_err()
        {
            info!("an at-most-once outcome is being recorded in the background");
        }
    }

    /// Frees a key whose claim's fate is not known, once the store answers again.
    fn free_later(&self, key: String, claim: Claim) {
        let api = self.api.clone();
        tokio::spawn(async move {
            for _ in 0..FINISH_TRIES {
                tokio::time::sleep(FINISH_DELAY).await;
                match api.get(&key).await {
                    Ok(Some(stored)) => {
                        let found: Option<Claim> = stored.parse().ok();
                        if found.is_some_and(|f| f.write == claim.write) {
                            let owned = OwnedClaim {
                                key,
                                claim,
                                version: stored.version,
                            };
                            record(api, owned, ClaimState::NotRun).await;
                        }
                        return;
                    }
                    Ok(None) => return,
                    Err(_down) => {}
                }
            }
        });
    }
}

async fn record(api: ObjectApi, owned: OwnedClaim, state: ClaimState) {
    let claim = Claim {
        state,
        ..owned.claim
    };
    let mut version = owned.version;
    for _ in 0..FINISH_TRIES {
        match api.put(&owned.key, &claim, Condition::At(version)).await {
            Ok(_) => return,
            Err(ObjectError::Conflict | ObjectError::Unknown) => match api.get(&owned.key).await {
                Ok(Some(stored)) => {
                    let found: Option<Claim> = stored.parse().ok();
                    if found.is_none_or(|f| f.write != claim.write || f.state == claim.state) {
                        return;
                    }
                    version = stored.version;
                }
                Ok(None) => return,
                Err(e) => warn!("reading an at-most-once record: {e}"),
            },
            Err(e) => warn!("recording an at-most-once outcome: {e}"),
        }
        tokio::time::sleep(FINISH_DELAY).await;
    }
}
