//! Stand-in for the platform's object API.

use crate::web::{self, ConnectionDropped, WebRequest, WebResult};
use carobfield::{
    clock::BootInstant,
    holding::lock,
    object_api::{Listing, StoredObject, WriteResponse},
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Largest value of an object, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Longest time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct ObjectApiConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Limit of reads per second, including watches.
    pub reads: f64,
    /// Limit of writes per second.
    pub writes: f64,
    /// Time that each call takes, in milliseconds.
    pub delay: u64,
}

/// Faults that can be switched on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ObjectFaults {
    /// Refuses every call.
    pub outage: bool,
    /// Time added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes to apply without sending a response.
    pub lose_writes: u32,
    /// Key prefix of the writes whose response is lost.
    pub lose_prefix: String,
    /// Callers whose connections are dropped.
    pub cut: Vec<IpAddr>,
}

/// Numbers of calls by kind.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CallCounts {
    /// Admitted reads, including watches.
    pub reads: u64,
    /// Admitted writes.
    pub writes: u64,
    /// Admitted watches, also counted as reads.
    pub watches: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
}

/// Token bucket that holds at most the tokens of one second.
#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    at: BootInstant,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            at: BootInstant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = BootInstant::now();
        let refill = now.since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(self.rate);
        self.at = now;
        let allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(allowed));
        allowed
    }
}

#[derive(Debug)]
struct Store {
    objects: BTreeMap<String, (u64, String)>,
    version: u64,
    faults: ObjectFaults,
    counts: CallCounts,
    reads: TokenBucket,
    writes: TokenBucket,
}

/// Running stand-in.
#[derive(Debug)]
pub struct ObjectApiStandin {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
    delay: Duration,
}

/// Serves until `stop` is cancelled.
///
/// # Errors
/// The address could not be bound.
pub async fn run(config: ObjectApiConfig, stop: CancellationToken) -> std::io::Result<()> {
    let listener = web::bind(config.listen).await?;
    let standin = Arc::new(ObjectApiStandin {
        store: Mutex::new(Store {
            objects: BTreeMap::new(),
            version: 0,
            faults: ObjectFaults::default(),
            counts: CallCounts::default(),
            reads: TokenBucket::new(config.reads),
            writes: TokenBucket::new(config.writes),
        }),
        changed: watch::Sender::new(0),
        delay: Duration::from_millis(config.delay),
    });
    let handler = Arc::new(move |request| {
        let standin = Arc::clone(&standin);
        Box::pin(async move { standin.handle(request).await }) as _
    });
    web::serve(listener, handler, stop).await;
    Ok(())
}

impl ObjectApiStandin {
    async fn handle(&self, request: WebRequest) -> WebResult {
        if request.path == "/fault" {
            return Ok(self.set_faults(&request));
        }
        if request.path == "/stats" {
            return Ok(web::json(StatusCode::OK, &lock(&self.store).counts));
        }
        let faults = lock(&self.store).faults.clone();
        let delay = self.delay + Duration::from_millis(faults.slow_ms);
        tokio::time::sleep(delay).await;
        if faults.outage {
            return Ok(web::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        if faults.cut.contains(&request.peer) {
            return Err(ConnectionDropped);
        }
        let is_write = matches!(request.method, Method::PUT | Method::DELETE);
        if !self.admit(is_write) {
            return Ok(web::empty(StatusCode::TOO_MANY_REQUESTS));
        }
        if let Some(key) = request.path.strip_prefix("/watch/") {
            return self.watch(key, &request).await;
        }
        if request.path == "/objects" {
            return Ok(self.list(&request));
        }
        let Some(key) = request.path.strip_prefix("/objects/") else {
            return Ok(web::empty(StatusCode::NOT_FOUND));
        };
        match request.method {
            Method::GET => Ok(self.get(key)),
            Method::PUT | Method::DELETE => self.write(key, &request),
            _ => Ok(web::empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    fn set_faults(&self, request: &WebRequest) -> http::Response<web::WebBody> {
        if request.method == Method::GET {
            return web::json(StatusCode::OK, &lock(&self.store).faults);
        }
        match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                lock(&self.store).faults = faults;
                // Wakes the waiting watches, so that an outage ends them.
                self.changed.send_modify(|_| {});
                web::empty(StatusCode::OK)
            }
            Err(e) => web::text(StatusCode::BAD_REQUEST, "text/plain", e.to_string()),
        }
    }

    fn admit(&self, is_write: bool) -> bool {
        let mut store = lock(&self.store);
        let admitted = if is_write {
            store.writes.take()
        } else {
            store.reads.take()
        };
        if !admitted {
            store.counts.limited += 1;
        } else if is_write {
            store.counts.writes += 1;
        } else {
            store.counts.reads += 1;
        }
        admitted
    }

    fn get(&self, key: &str) -> http::Response<web::WebBody> {
        match self.stored(key) {
            Some(stored) => web::json(StatusCode::OK, &stored),
            None => web::empty(StatusCode::NOT_FOUND),
        }
    }

    fn stored(&self, key: &str) -> Option<StoredObject> {
        let store = lock(&self.store);
        let (version, value) = store.objects.get(key)?;
        Some(StoredObject {
            key: key.to_owned(),
            version: *version,
            value: value.clone(),
        })
    }

    fn list(&self, request: &WebRequest) -> http::Response<web::WebBody> {
        let prefix = request.param("prefix").unwrap_or("");
        let store = lock(&self.store);
        let candidates = store.objects.range(prefix.to_owned()..);
        let items = candidates
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| StoredObject {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        web::json(
            StatusCode::OK,
            &Listing {
                version: store.version,
                items,
            },
        )
    }

    async fn watch(&self, key: &str, request: &WebRequest) -> WebResult {
        lock(&self.store).counts.watches += 1;
        let after = request.number("after");
        let wait = Duration::from_millis(request.number("wait_ms")).min(MAX_WATCH_WAIT);
        let mut changes = self.changed.subscribe();
        let change = async {
            loop {
                changes.borrow_and_update();
                let faults = lock(&self.store).faults.clone();
                if faults.outage || faults.cut.contains(&request.peer) {
                    return None;
                }
                if let Some(stored) = self.stored(key).filter(|s| s.version > after) {
                    return Some(stored);
                }
                if changes.changed().await.is_err() {
                    return None;
                }
            }
        };
        match tokio::time::timeout(wait, change).await {
            Ok(Some(stored)) => Ok(web::json(StatusCode::OK, &stored)),
            Ok(None) => Ok(web::empty(StatusCode::SERVICE_UNAVAILABLE)),
            Err(_elapsed) => Ok(web::empty(StatusCode::NO_CONTENT)),
        }
    }

    fn write(&self, key: &str, request: &WebRequest) -> WebResult {
        if request.body.len() > MAX_VALUE_BYTES {
            return Ok(web::empty(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let mut store = lock(&self.store);
        let current = store.objects.get(key).map(|(version, _)| *version);
        let must_be_absent = request.headers.contains_key(http::header::IF_NONE_MATCH);
        let expected = request.header_number("if-match");
        if (must_be_absent && current.is_some()) || (expected.is_some() && expected != current) {
            return Ok(web::json(
                StatusCode::PRECONDITION_FAILED,
                &json!({ "version": current }),
            ));
        }
        store.version += 1;
        let version = store.version;
        if request.method == Method::DELETE {
            store.objects.remove(key);
        } else {
            let value = String::from_utf8_lossy(&request.body).into_owned();
            store.objects.insert(key.to_owned(), (version, value));
        }
        let lose_response =
            store.faults.lose_writes > 0 && key.starts_with(&store.faults.lose_prefix);
        if lose_response {
            store.faults.lose_writes -= 1;
        }
        drop(store);
        self.changed.send_replace(version);
        if lose_response {
            Err(ConnectionDropped)
        } else {
            Ok(web::json(StatusCode::OK, &WriteResponse { version }))
        }
    }
}
