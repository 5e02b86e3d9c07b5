//! Callers that ask all the time, as the interface tells them to: they ask which entries to use, keep
//! the answer for a while, and try another entry when one refuses the connection.

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

/// Tries of one request, over entries that could not be connected to or said that it was not run.
const MAX_ATTEMPTS: u32 = 6;

/// Wait before another try.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// One request and its last answer.
#[derive(Clone, Debug)]
pub struct Sample {
    /// What was asked.
    pub request: CompletionRequest,
    /// The answer.
    pub reply: Reply,
    /// When it was asked, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Tries.
    pub attempts: u32,
    /// Earlier answers that said that it was not run.
    pub refusals: Vec<Reply>,
}

/// A caller's list of entries.
#[derive(Debug)]
pub struct Entries {
    known: Vec<SocketAddr>,
    list: Vec<SocketAddr>,
    until: Instant,
}

impl Entries {
    /// A caller that knows these addresses to ask for the list.
    pub fn new(known: Vec<SocketAddr>) -> Self {
        Self {
            known,
            list: Vec::new(),
            until: Instant::now(),
        }
    }

    /// The entries to use now, the first one first.
    pub async fn current(&mut self, client: &HttpClient) -> Vec<SocketAddr> {
        if Instant::now() >= self.until || self.list.is_empty() {
            self.refresh(client).await;
        }
        if self.list.is_empty() {
            self.known.clone()
        } else {
            self.list.clone()
        }
    }

    async fn refresh(&mut self, client: &HttpClient) {
        for at in &self.known {
            let Some(answer) = get_json::<Value>(client, *at, "/v1/entries").await else {
                continue;
            };
            let entries = answer["entries"].as_array().cloned().unwrap_or_default();
            let addresses = entries
                .iter()
                .filter_map(|e| e["address"].as_str()?.parse().ok());
            self.list = addresses.collect();
            let max_age = answer["max_age"].as_u64().unwrap_or(1);
            self.until = Instant::now() + Duration::from_secs(max_age);
            if !self.list.is_empty() {
                return;
            }
        }
    }
}

/// Asks through the entries, trying again where nothing can have been run.
pub async fn send_with_retries(
    client: &HttpClient,
    entries: &mut Entries,
    request: &CompletionRequest,
) -> Sample {
    let sent_ms = clock::unix_ms();
    let mut refusals = Vec::new();
    let mut attempts = 0;
    loop {
        let list = entries.current(client).await;
        let at = list[attempts as usize % list.len()];
        attempts += 1;
        let reply = client::complete(client, at, request).await;
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

/// Callers that ask one request after the other until they are stopped.
#[derive(Debug)]
pub struct Traffic {
    stop: CancellationToken,
    callers: JoinSet<()>,
    samples: Arc<Mutex<Vec<Sample>>>,
}

impl Traffic {
    /// Starts `callers` callers; `make` gives request `n` of caller `c`.
    pub fn start<F>(known: &[SocketAddr], callers: u64, make: F) -> Self
    where
        F: Clone + Fn(u64, u64) -> CompletionRequest + Send + 'static,
    {
        let stop = CancellationToken::new();
        let samples = Arc::new(Mutex::new(Vec::new()));
        let mut all = JoinSet::new();
        for caller in 0..callers {
            let (stop, samples, make) = (stop.clone(), Arc::clone(&samples), make.clone());
            let mut known = known.to_vec();
            let first = caller as usize % known.len();
            known.rotate_left(first);
            all.spawn(async move {
                let client = http_client::build();
                let mut entries = Entries::new(known);
                let mut n = 0;
                while !stop.is_cancelled() {
                    let request = make(caller, n);
                    let sample = send_with_retries(&client, &mut entries, &request).await;
                    lock(&samples).push(sample);
                    n += 1;
                }
            });
        }
        Self {
            stop,
            callers: all,
            samples,
        }
    }

    /// Samples so far.
    pub fn len(&self) -> usize {
        lock(&self.samples).len()
    }

    /// Whether there is no sample yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits for `count` more answers of the callers of `deployment`.
    pub async fn wait_for_more(&self, deployment: &Deployment, count: usize) {
        let wanted = self.len() + count;
        let come = || async { self.len() >= wanted };
        deployment
            .wait_for(&format!("{count} more answers"), come)
            .await;
    }

    /// Samples so far, copied.
    pub fn samples(&self) -> Vec<Sample> {
        lock(&self.samples).clone()
    }

    /// Lets the last requests finish and returns every sample.
    pub async fn finish(mut self) -> Vec<Sample> {
        self.stop.cancel();
        while self.callers.join_next().await.is_some() {}
        let samples = lock(&self.samples);
        samples.clone()
    }
}
