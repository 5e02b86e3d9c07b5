//! What tests ask a deployment of the test harness: conditions to wait for, holders, run logs and completions.

use crate::{
    client::{self, CompletionRequest, Reply},
    harness::{CALL_TIMEOUT, Deployment, POLL_INTERVAL, Role, get, get_json},
    run_log::LogEntry,
};
use bytes::Bytes;
use carobfield::http_client;
use http::Method;
use serde::Serialize;
use std::{net::SocketAddr, time::Duration};

impl Deployment {
    /// Waits until `condition` is true, for at most 40 seconds.
    ///
    /// # Panics
    /// Panics if it was not true in time.
    pub async fn wait_for<F, T>(&self, what: &str, mut condition: F)
    where
        F: FnMut() -> T,
        T: Future<Output = bool>,
    {
        let started = std::time::Instant::now();
        while !condition().await {
            assert!(
                started.elapsed() < Duration::from_secs(40),
                "timed out waiting for {what}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the log of a process has a line after byte `from` that contains all of `texts`.
    pub async fn wait_log(&self, role: Role, n: u8, from: usize, texts: &[&str]) {
        let has_line = || {
            let log = self.log(role, n);
            let tail = log.get(from..).unwrap_or("").to_owned();
            tail.lines()
                .any(|line| texts.iter().all(|t| line.contains(t)))
        };
        self.wait_for(&format!("{texts:?} in the log of {role:?} {n}"), || async {
            has_line()
        })
        .await;
    }

    pub(crate) async fn wait_ready(&self) {
        for n in 0..self.layout.entries {
            self.wait_gateway(n).await;
        }
        let (upstreams, entries) = (
            self.layout.engines + self.layout.services,
            self.layout.entries,
        );
        self.wait_for("every upstream to be held", || async {
            let mut held = 0;
            for n in 0..entries {
                held += self.held(n).await.len();
            }
            held == usize::from(upstreams)
        })
        .await;
    }

    /// Waits until a gateway is ready and knows every dispatcher.
    pub async fn wait_gateway(&self, n: u8) {
        let address = self.gateway_operators(n);
        let (client, wanted) = (&self.client, u64::from(self.layout.entries));
        self.wait_for("a gateway to be ready", || async {
            let ready = get(client, address, "/readyz")
                .await
                .is_some_and(|r| r.status == 200);
            let status: Option<serde_json::Value> = get_json(client, address, "/status").await;
            ready && status.is_some_and(|s| s["dispatchers"].as_u64().unwrap_or(0) >= wanted)
        })
        .await;
    }

    /// Returns the names of the upstreams that a dispatcher holds and that accept requests.
    pub async fn held(&self, n: u8) -> Vec<String> {
        let address = self.dispatcher_operators(n);
        let status: Option<serde_json::Value> = get_json(&self.client, address, "/status").await;
        let upstreams = status.map(|s| s["upstreams"].clone()).unwrap_or_default();
        let all = upstreams.as_array().cloned().unwrap_or_default();
        let held = all.iter().filter(|u| u["accepting"] == true);
        held.filter_map(|u| u["id"].as_str().map(ToOwned::to_owned))
            .collect()
    }

    /// Returns the generation of an upstream's latest holder that a dispatcher knows, or 0.
    pub async fn generation(&self, n: u8, upstream: &str) -> u64 {
        let address = self.dispatcher_operators(n);
        let status: Option<serde_json::Value> = get_json(&self.client, address, "/status").await;
        let known = status.map(|s| s["generations"][upstream].clone());
        known.and_then(|g| g.as_u64()).unwrap_or(0)
    }

    /// Returns the number of the dispatcher that holds an upstream.
    pub async fn holder(&self, upstream: &str) -> Option<u8> {
        for n in 0..self.layout.entries {
            if self.held(n).await.iter().any(|u| u == upstream) {
                return Some(n);
            }
        }
        None
    }

    /// Requests a completion from a gateway.
    pub async fn complete(&self, n: u8, request: &CompletionRequest) -> Reply {
        client::complete(&self.client, self.gateway(n), request).await
    }

    /// Posts JSON to a stand-in.
    ///
    /// # Panics
    /// Panics if the response is not 200; `/restart` closes the connection and is exempt.
    pub async fn post<T: Serialize + Sync>(&self, address: SocketAddr, path: &str, value: &T) {
        let body = serde_json::to_vec(value).expect("the value has a JSON form");
        let uri = format!("http://{address}{path}");
        let request = http_client::json_request(&Method::POST, &uri, Bytes::from(body));
        let response = http_client::call(&self.client, request, CALL_TIMEOUT).await;
        let status = response.as_ref().map_or(0, |r| r.status);
        assert!(
            status == 200 || path == "/restart",
            "POST {uri}: {response:?}"
        );
    }

    /// Returns the run log of an engine.
    ///
    /// # Panics
    /// Panics if the engine does not respond.
    pub async fn engine_log(&self, n: u8) -> Vec<LogEntry> {
        let address = self.engine(n);
        self.read_log(address).await
    }

    /// Returns the run log of a plain service.
    ///
    /// # Panics
    /// Panics if the service does not respond.
    pub async fn service_log(&self, n: u8) -> Vec<LogEntry> {
        let address = self.service(n);
        self.read_log(address).await
    }

    async fn read_log(&self, address: SocketAddr) -> Vec<LogEntry> {
        for _ in 0..100 {
            if let Some(log) = get_json(&self.client, address, "/log").await {
                return log;
            }
            tokio::time::sleep(POLL_INTERVAL * 5).await;
        }
        panic!("no run log from {address}");
    }

    /// Returns the run logs of every engine and service.
    pub async fn all_logs(&self) -> Vec<LogEntry> {
        let mut all = Vec::new();
        for n in 0..self.layout.engines {
            all.extend(self.engine_log(n).await);
        }
        for n in 0..self.layout.services {
            all.extend(self.service_log(n).await);
        }
        all
    }
}
