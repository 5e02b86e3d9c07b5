//! Stand-in for a plain service, some of whose calls may not be repeated.

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

/// Settings of one service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Name.
    pub name: String,
    /// Address.
    pub listen: SocketAddr,
    /// Time of a call, in milliseconds.
    pub work: u64,
}

/// Faults that can be switched on.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Calls to refuse before running.
    pub refuse: u32,
    /// Calls to run without giving their answer.
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

/// Serves until `stop`.
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
        if self.strike(|f| &mut f.refuse) {
            return Ok(web::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let id = request.header_text(REQUEST_HEADER);
        let body = format!("{:016x}", rapidhash_v3(&request.body));
        let (name, path) = (&self.config.name, &request.path);
        self.log
            .push_body(LogKind::Start, name, &id, path, &body, 0);
        let slow = lock(&self.faults).slow_ms;
        tokio::time::sleep(Duration::from_millis(self.config.work + slow)).await;
        self.log.push_body(LogKind::End, name, &id, path, &body, 0);
        if self.strike(|f| &mut f.lose) {
            return Err(ConnectionDropped);
        }
        let answer = json!({ "service": name, "path": path, "body": body });
        Ok(web::json(StatusCode::OK, &answer))
    }

    fn strike(&self, count: fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let count = count(&mut faults);
        let strikes = *count > 0;
        *count = count.saturating_sub(1);
        strikes
    }
}
