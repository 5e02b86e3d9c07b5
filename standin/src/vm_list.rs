//! Stand-in for the platform's VM list.

use crate::web::{self, WebBody, WebRequest};
use carobfield::{
    clock::BootInstant,
    holding::lock,
    vm_list::{Vm, VmList, VmState},
};
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct VmListConfig {
    /// Address.
    pub listen: SocketAddr,
    /// Time until a change shows, in milliseconds.
    pub lag: u64,
    /// VMs at the start.
    pub vms: Vec<Vm>,
}

/// A change of one VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VmChange {
    /// VM.
    pub id: String,
    /// New state; `None` takes it off the list.
    pub state: Option<VmState>,
}

#[derive(Debug)]
struct Listed {
    vms: Vec<Vm>,
    pending: Vec<(BootInstant, VmChange)>,
}

impl Listed {
    fn settle(&mut self, now: BootInstant) {
        let (due, pending) = self.pending.drain(..).partition(|(at, _)| *at <= now);
        self.pending = pending;
        let due: Vec<(BootInstant, VmChange)> = due;
        for (_, change) in due {
            match change.state {
                Some(state) => {
                    let vm = self.vms.iter_mut().find(|v| v.id == change.id);
                    if let Some(vm) = vm {
                        vm.state = state;
                    }
                }
                None => self.vms.retain(|v| v.id != change.id),
            }
        }
    }
}

/// Serves until `stop`.
///
/// # Errors
/// The address could not be bound.
pub async fn run(config: VmListConfig, stop: CancellationToken) -> std::io::Result<()> {
    let listener = web::bind(config.listen).await?;
    let lag = Duration::from_millis(config.lag);
    let listed = Arc::new(Mutex::new(Listed {
        vms: config.vms,
        pending: Vec::new(),
    }));
    let handler = Arc::new(move |request| {
        let listed = Arc::clone(&listed);
        Box::pin(async move { Ok(handle(&listed, lag, &request)) }) as _
    });
    web::serve(listener, handler, stop).await;
    Ok(())
}

fn handle(listed: &Mutex<Listed>, lag: Duration, request: &WebRequest) -> Response<WebBody> {
    let now = BootInstant::now();
    let mut listed = lock(listed);
    if request.method == Method::POST && request.path == "/fault" {
        return match serde_json::from_slice::<VmChange>(&request.body) {
            Ok(change) => {
                listed.pending.push((now + lag, change));
                web::empty(StatusCode::OK)
            }
            Err(e) => web::text(StatusCode::BAD_REQUEST, "text/plain", e.to_string()),
        };
    }
    listed.settle(now);
    web::json(
        StatusCode::OK,
        &VmList {
            vms: listed.vms.clone(),
        },
    )
}
