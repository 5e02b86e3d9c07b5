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
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time until a change appears in the list, in milliseconds.
    pub lag: u64,
    /// Initial VMs.
    pub vms: Vec<Vm>,
}

/// Change of one VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VmChange {
    /// Id of the VM.
    pub id: String,
    /// New state; `None` removes the VM from the list.
    pub state: Option<VmState>,
}

#[derive(Debug)]
struct ListState {
    vms: Vec<Vm>,
    pending: Vec<(BootInstant, VmChange)>,
}

impl ListState {
    /// Applies the pending changes whose time has come.
    fn apply_due(&mut self, now: BootInstant) {
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

/// Serves until `stop` is cancelled.
///
/// # Errors
/// The address could not be bound.
pub async fn run(config: VmListConfig, stop: CancellationToken) -> std::io::Result<()> {
    let listener = web::bind(config.listen).await?;
    let lag = Duration::from_millis(config.lag);
    let list = Arc::new(Mutex::new(ListState {
        vms: config.vms,
        pending: Vec::new(),
    }));
    let handler = Arc::new(move |request| {
        let list = Arc::clone(&list);
        Box::pin(async move { Ok(handle(&list, lag, &request)) }) as _
    });
    web::serve(listener, handler, stop).await;
    Ok(())
}

fn handle(list: &Mutex<ListState>, lag: Duration, request: &WebRequest) -> Response<WebBody> {
    let now = BootInstant::now();
    let mut list = lock(list);
    if request.method == Method::POST && request.path == "/fault" {
        return match serde_json::from_slice::<VmChange>(&request.body) {
            Ok(change) => {
                list.pending.push((now + lag, change));
                web::empty(StatusCode::OK)
            }
            Err(e) => web::text(StatusCode::BAD_REQUEST, "text/plain", e.to_string()),
        };
    }
    list.apply_due(now);
    web::json(
        StatusCode::OK,
        &VmList {
            vms: list.vms.clone(),
        },
    )
}
