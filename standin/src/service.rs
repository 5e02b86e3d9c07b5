//! Stand-in for a plain service; some of its calls must not be repeated.

use crate::{
    run_log::{LogKind, RunLog},
    web::{self, ConnectionDropped, WebRequest, WebResult},
};
use carobfield::{holding::lock, upstream_client::REQUEST_HEADER};
use http::StatusCode;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Name in the run log.
    pub name: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time that a call takes, in milliseconds.
    pub work: u64,
}

/// Faults that can be switched on; each counter decreases whenever its fault is injected.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Number of calls to refuse before running them.
    pub refuse: u32,
    /// Number of calls to run without sending a response.
    pub lose: u32,
    /// Time added to each call, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Debug)]
struct Service {
    config: ServiceConfig,
    log: RunLog,
    faults: Mutex<ServiceFaults>,
}

/// Serves until `stop` is cancelled.
///
/// # Errors
/// The address could not be bound.
pub async fn run(config: ServiceConfig, stop: CancellationToken) -> std::io::Result<()> {
    let listener = web::bind(config.listen).await?;
    let service = Arc::new(Service {
        config,
        log: RunLog::default(),
        faults: Mutex::default(),
    });
    let handler = Arc::new(move |request| {
        let service = Arc::clone(&service);
        Box::pin(async move { service.handle(request).await }) as _
    });
    web::serve(listener, handler, stop).await;
    Ok(())
}

impl Service {
    async fn handle(&self, request: WebRequest) -> WebResult {
        match request.path.as_str() {
            "/log" => return Ok(web::json(StatusCode::OK, &self.log.all())),
            "/fault" => {
                let faults = serde_json::from_slice(&request.body).unwrap_or_default();
                *lock(&self.faults) = faults;
                return Ok(web::empty(StatusCode::OK));
            }
            _ => {}
        }
        if self.take_fault(|f| &mut f.refuse) {
            return Ok(web::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let id = request.header_text(REQUEST_HEADER);
        let body = format!("{:016x}", rapidhash_v3(&request.body));
        let (name, path) = (&self.config.name, &request.path);
        self.log
            .push_with_body_hash(LogKind::Start, name, &id, path, &body, 0);
        let delay_ms = lock(&self.faults).slow_ms;
        tokio::time::sleep(Duration::from_millis(self.config.work + delay_ms)).await;
        self.log
            .push_with_body_hash(LogKind::End, name, &id, path, &body, 0);
        if self.take_fault(|f| &mut f.lose) {
            return Err(ConnectionDropped);
        }
        let response = json!({ "service": name, "path": path, "body": body });
        Ok(web::json(StatusCode::OK, &response))
    }

    /// Consumes one from a fault's counter; returns whether it was above zero.
    fn take_fault(&self, counter: fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let count = counter(&mut faults);
        let inject = *count > 0;
        *count = count.saturating_sub(1);
        inject
    }
}
