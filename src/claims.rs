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

/// Maximum size of a response stored in a record, in bytes.
const MAX_STORED_BYTES: usize = 64 << 10;

/// Maximum attempts to write an outcome.
const FINISH_ATTEMPTS: u32 = 20;

/// Delay between two attempts.
const FINISH_DELAY: Duration = Duration::from_millis(500);

/// A completed response, stored to be replayed for the same key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, for a plain service's response.
    pub content: String,
    /// Model that produced the text, if one did.
    pub model: Option<String>,
    /// Why the text ended.
    pub finish: String,
    /// Tokens generated.
    pub tokens: u64,
    /// Length of the response, in bytes.
    pub length: u64,
    /// SHA-256 of the response.
    pub digest: String,
    /// Response itself, if it is text and small enough.
    pub text: Option<String>,
}

impl StoredResponse {
    /// Sets length, digest and, if it is small text, the response itself.
    pub fn with_body(mut self, data: &[u8]) -> Self {
        self.length = data.len() as u64;
        self.digest = content_address(data);
        let text = std::str::from_utf8(data).ok();
        self.text = text
            .filter(|t| t.len() <= MAX_STORED_BYTES)
            .map(ToOwned::to_owned);
        self
    }
}

/// State of a request in its record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Claimed; it may be running, or its gateway may have ended.
    Running,
    /// Not run; the key may be claimed again.
    NotRun,
    /// Completed.
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

/// Reason why a request may not be run now.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimRefusal {
    /// The record could not be written; the request was not run.
    Unavailable,
    /// The same key was used for another request.
    Mismatch,
    /// The same request is running, or its gateway ended before it recorded the outcome.
    Running,
    /// The request was completed.
    Done(Box<StoredResponse>),
    /// It may have run.
    Unknown,
}

/// Acquires claims and records their outcome.
#[derive(Clone, Debug)]
pub struct Claims {
    api: ObjectApi,
    retention_ms: u64,
}

/// Result of reading an existing record.
enum ExistingClaim {
    Refuse(ClaimRefusal),
    Reclaim(Version),
    Missing,
    Own(Version),
}

impl Claims {
    /// Creates a client of the records, which are kept for `retention` seconds.
    pub fn new(api: ObjectApi, retention: u64) -> Self {
        Self {
            api,
            retention_ms: retention * 1_000,
        }
    }

    /// Claims `key` of `caller` for one request.
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
            match self.read_existing(&key, &claim).await {
                Some(ExistingClaim::Own(version)) => {
                    return Ok(OwnedClaim {
                        key,
                        claim,
                        version,
                    });
                }
                Some(ExistingClaim::Refuse(refusal)) => return Err(refusal),
                Some(ExistingClaim::Reclaim(version)) => condition = Condition::At(version),
                Some(ExistingClaim::Missing) => condition = Condition::Absent,
                None => {
                    // The write may have taken effect: release the key so that it can be used again.
                    self.release_in_background(key, claim);
                    return Err(ClaimRefusal::Unavailable);
                }
            }
        }
        Err(ClaimRefusal::Unavailable)
    }

    async fn read_existing(&self, key: &str, claim: &Claim) -> Option<ExistingClaim> {
        let stored = match self.api.get(key).await {
            Ok(Some(stored)) => stored,
            Ok(None) => return Some(ExistingClaim::Missing),
            Err(e) => {
                warn!("cannot read an at-most-once record: {e}");
                return None;
            }
        };
        let found: Claim = stored.parse().ok()?;
        if found.write == claim.write {
            return Some(ExistingClaim::Own(stored.version));
        }
        let expired = found.claimed_ms + self.retention_ms < clock::unix_ms();
        if expired || found.state == ClaimState::NotRun {
            return Some(ExistingClaim::Reclaim(stored.version));
        }
        if found.fingerprint != claim.fingerprint {
            return Some(ExistingClaim::Refuse(ClaimRefusal::Mismatch));
        }
        Some(ExistingClaim::Refuse(match found.state {
            ClaimState::Running | ClaimState::NotRun => ClaimRefusal::Running,
            ClaimState::Done(response) => ClaimRefusal::Done(Box::new(response)),
            ClaimState::Unknown => ClaimRefusal::Unknown,
        }))
    }

    /// Records the outcome of a claimed request; continues in the background if the store is slow.
    pub async fn finish(&self, owned: OwnedClaim, state: ClaimState) {
        let write = tokio::spawn(write_outcome(self.api.clone(), owned, state));
        if tokio::time::timeout(FINISH_DELAY * 2, write).await.is_err() {
            info!("recording an at-most-once outcome continues in the background");
        }
    }

    /// Releases a key whose claim may have been written, once the store responds again.
    fn release_in_background(&self, key: String, claim: Claim) {
        let api = self.api.clone();
        tokio::spawn(async move {
            for _ in 0..FINISH_ATTEMPTS {
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
                            write_outcome(api, owned, ClaimState::NotRun).await;
                        }
                        return;
                    }
                    Ok(None) => return,
                    Err(_unavailable) => {}
                }
            }
        });
    }
}

async fn write_outcome(api: ObjectApi, owned: OwnedClaim, state: ClaimState) {
    let claim = Claim {
        state,
        ..owned.claim
    };
    let mut version = owned.version;
    for _ in 0..FINISH_ATTEMPTS {
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
                Err(e) => warn!("cannot read an at-most-once record: {e}"),
            },
            Err(e) => warn!("cannot record an at-most-once outcome: {e}"),
        }
        tokio::time::sleep(FINISH_DELAY).await;
    }
}
