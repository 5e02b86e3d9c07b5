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

/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Longest wait of a watch.
const MAX_WATCH: Duration = Duration::from_secs(30);

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct ObjectApiConfig {
    /// Address.
    pub listen: SocketAddr,
    /// Reads a second, watches included.
    pub reads: f64,
    /// Writes a second.
    pub writes: f64,
    /// Time of each call, in milliseconds.
    pub delay: u64,
}

/// Faults that can be switched on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ObjectFaults {
    /// Every call is refused.
    pub outage: bool,
    /// Time added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Writes that will take effect without their answer.
    pub lose_writes: u32,
    /// Only writes to keys with this prefix are lost.
    pub lose_prefix: String,
    /// Addresses from which every call is cut.
    pub cut: Vec<IpAddr>,
}

/// Calls counted by kind.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls refused for their rate.
    pub limited: u64,
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    at: BootInstant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            at: BootInstant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = BootInstant::now();
        let gained = now.since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate);
        self.at = now;
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(taken));
        taken
    }
}

#[derive(Debug)]
struct Store {
    objects: BTreeMap<String, (u64, String)>,
    version: u64,
    faults: ObjectFaults,
    counts: CallCounts,
    reads: Bucket,
    writes: Bucket,
}

/// A running stand-in.
#[derive(Debug)]
pub struct ObjectApiStandin {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
    delay: Duration,
}

/// Serves until `stop`.
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
            reads: Bucket::new(config.reads),
            writes: Bucket::new(config.writes),
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
        let writes = matches!(request.method, Method::PUT | Method::DELETE);
        if !self.admit(writes) {
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
                // A waiting watch ends with the outage.
                self.changed.send_modify(|_| {});
                web::empty(StatusCode::OK)
            }
            Err(e) => web::text(StatusCode::BAD_REQUEST, "text/plain", e.to_string()),
        }
    }

    fn admit(&self, write: bool) -> bool {
        let mut store = lock(&self.store);
        let admitted = if write {
            store.writes.take()
        } else {
            store.reads.take()
        };
        if !admitted {
            store.counts.limited += 1;
        } else if write {
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
        let below = store.objects.range(prefix.to_owned()..);
        let items = below
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
        let wait = Duration::from_millis(request.number("wait_ms")).min(MAX_WATCH);
        let mut changes = self.changed.subscribe();
        let later = async {
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
        match tokio::time::timeout(wait, later).await {
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
        let absent = request.headers.contains_key(http::header::IF_NONE_MATCH);
        let at = request.header_number("if-match");
        if (absent && current.is_some()) || (at.is_some() && at != current) {
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
        let lost = store.faults.lose_writes > 0 && key.starts_with(&store.faults.lose_prefix);
        if lost {
            store.faults.lose_writes -= 1;
        }
        drop(store);
        self.changed.send_replace(version);
        if lost {
            Err(ConnectionDropped)
        } else {
            Ok(web::json(StatusCode::OK, &WriteResponse { version }))
        }
    }
}
