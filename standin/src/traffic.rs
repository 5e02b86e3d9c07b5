//! Continuous traffic from callers that follow the caller interface: they request the list of entries, cache it until
//! it expires, and retry on another entry while a request was not run.

use crate::{
    client::{self, CompletionRequest, Reply, ReplyOutcome},
    harness::{Deployment, get_json},
};
use carobfield::{
    clock,
    holding::lock,
    http_client::{self, HttpClient},
};
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Limit of attempts of one request; an attempt that was certainly not run is retried.
const MAX_ATTEMPTS: u32 = 6;

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A request and its last reply.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Request.
    pub request: CompletionRequest,
    /// Last reply.
    pub reply: Reply,
    /// Time of the first attempt, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Number of attempts.
    pub attempts: u32,
    /// Earlier replies, all of which reported the request as not run.
    pub refusals: Vec<Reply>,
}

/// A caller's cached list of entries.
#[derive(Debug)]
pub struct EntryList {
    known: Vec<SocketAddr>,
    list: Vec<SocketAddr>,
    expires_at: Instant,
}

impl EntryList {
    /// Creates an empty list that is fetched from the addresses `known`.
    pub fn new(known: Vec<SocketAddr>) -> Self {
        Self {
            known,
            list: Vec::new(),
            expires_at: Instant::now(),
        }
    }

    /// Returns the entries in order of preference; fetches the list if it has expired.
    pub async fn current(&mut self, client: &HttpClient) -> Vec<SocketAddr> {
        if Instant::now() >= self.expires_at || self.list.is_empty() {
            self.refresh(client).await;
        }
        if self.list.is_empty() {
            self.known.clone()
        } else {
            self.list.clone()
        }
    }

    async fn refresh(&mut self, client: &HttpClient) {
        for address in &self.known {
            let Some(response) = get_json::<Value>(client, *address, "/v1/entries").await else {
                continue;
            };
            let entries = response["entries"].as_array().cloned().unwrap_or_default();
            let addresses = entries
                .iter()
                .filter_map(|e| e["address"].as_str()?.parse().ok());
            self.list = addresses.collect();
            let max_age = response["max_age"].as_u64().unwrap_or(1);
            self.expires_at = Instant::now() + Duration::from_secs(max_age);
            if !self.list.is_empty() {
                return;
            }
        }
    }
}

/// Sends a request through the entries and retries while it was certainly not run.
pub async fn send_with_retries(
    client: &HttpClient,
    entries: &mut EntryList,
    request: &CompletionRequest,
) -> Sample {
    let sent_ms = clock::unix_ms();
    let mut refusals = Vec::new();
    let mut attempts = 0;
    loop {
        let list = entries.current(client).await;
        let address = list[attempts as usize % list.len()];
        attempts += 1;
        let reply = client::complete(client, address, request).await;
        if reply.outcome != ReplyOutcome::NotRun || attempts >= MAX_ATTEMPTS {
            return Sample {
                request: request.clone(),
                reply,
                sent_ms,
                attempts,
                refusals,
            };
        }
        refusals.push(reply);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Callers that each send one request after the other until they are stopped.
#[derive(Debug)]
pub struct Traffic {
    stop: CancellationToken,
    callers: JoinSet<()>,
    samples: Arc<Mutex<Vec<Sample>>>,
}

impl Traffic {
    /// Starts `callers` callers; `make_request(c, n)` returns request `n` of caller `c`.
    pub fn start<F>(known: &[SocketAddr], callers: u64, make_request: F) -> Self
    where
        F: Clone + Fn(u64, u64) -> CompletionRequest + Send + 'static,
    {
        let stop = CancellationToken::new();
        let samples = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = JoinSet::new();
        for caller in 0..callers {
            let (stop, samples, make_request) =
                (stop.clone(), Arc::clone(&samples), make_request.clone());
            let mut known = known.to_vec();
            let first = caller as usize % known.len();
            known.rotate_left(first);
            tasks.spawn(async move {
                let client = http_client::build();
                let mut entries = EntryList::new(known);
                let mut n = 0;
                while !stop.is_cancelled() {
                    let request = make_request(caller, n);
                    let sample = send_with_retries(&client, &mut entries, &request).await;
                    lock(&samples).push(sample);
                    n += 1;
                }
            });
        }
        Self {
            stop,
            callers: tasks,
            samples,
        }
    }

    /// Returns the number of samples so far.
    pub fn len(&self) -> usize {
        lock(&self.samples).len()
    }

    /// Returns whether there is no sample yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits for `count` more samples.
    pub async fn wait_for_more(&self, deployment: &Deployment, count: usize) {
        let wanted = self.len() + count;
        let has_arrived = || async { self.len() >= wanted };
        deployment
            .wait_for(&format!("{count} more replies"), has_arrived)
            .await;
    }

    /// Returns a copy of the samples so far.
    pub fn samples(&self) -> Vec<Sample> {
        lock(&self.samples).clone()
    }

    /// Stops the callers after their present requests and returns every sample.
    pub async fn finish(mut self) -> Vec<Sample> {
        self.stop.cancel();
        while self.callers.join_next().await.is_some() {}
        let samples = lock(&self.samples);
        samples.clone()
    }
}
