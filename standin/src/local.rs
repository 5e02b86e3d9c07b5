//! Demo: runs the whole system and its stand-ins in one process, with 3 entry VMs, 4 engines and 1 plain service.

use crate::{
    engine::EngineConfig,
    object_api::ObjectApiConfig,
    platform::{self, PlatformConfig},
    service::ServiceConfig,
    vm_list::VmListConfig,
    weight_store::WeightStoreConfig,
};
use bytes::Bytes;
use carobfield::{
    catalogue::Declarations,
    catalogue_store::{ApplyError, CatalogueStore},
    configs::{dispatcher::DispatcherConfig, gateway::GatewayConfig},
    declarations, dispatcher_run,
    findings::Findings,
    gateway,
    http_client::{self, HttpClient},
    object_api::ObjectApi,
    sse::EventParser,
    supervisor::ChildError,
    vm_list::{ENTRY_POOL, Vm, VmState},
};
use http::Method;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use std::{
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};
use tokio_graceful_shutdown::{SubsystemBuilder, SubsystemHandle};
use tokio_util::sync::CancellationToken;

/// Number of entry VMs.
const ENTRIES: u8 = 3;

/// Number of engines; every second one ignores fencing numbers.
const ENGINES: u8 = 4;

/// Timeout for the first gateway to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between readiness polls.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Declarations of the demo.
pub const CATALOGUE: &str = include_str!("../../examples/local/catalogue/local.ini");

/// Model of the demo's requests.
const DEMO_MODEL: &str = "permit-summary@2";

/// Key shared by the demo's processes.
const KEY: &str = "local-demo-key";

/// Returns the address of a process of a VM; each VM has its own loopback address.
fn vm_address(vm: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 77, 0, vm)), port)
}

const PLATFORM_VM: u8 = 1;
const FIRST_ENTRY: u8 = 10;
const FIRST_ENGINE: u8 = 100;
const SERVICE_VM: u8 = 200;

fn vm(id: String, address: SocketAddr, pool: &str) -> Vm {
    let data_centre = String::from("local");
    Vm {
        id,
        address,
        data_centre,
        pool: pool.to_owned(),
        state: VmState::Live,
    }
}

fn platform_config() -> PlatformConfig {
    let mut vms = Vec::new();
    let mut engines = Vec::new();
    for n in 0..ENTRIES {
        vms.push(vm(
            format!("entry-{}", n + 1),
            vm_address(FIRST_ENTRY + n, 8080),
            ENTRY_POOL,
        ));
    }
    for n in 0..ENGINES {
        let fencing = n % 2 == 0;
        let pool = if fencing {
            "drafting-checked"
        } else {
            "drafting-open"
        };
        let (name, listen) = (
            format!("engine-{}", n + 1),
            vm_address(FIRST_ENGINE + n, 9000),
        );
        vms.push(vm(name.clone(), listen, pool));
        let weights = Some(vm_address(PLATFORM_VM, 7002));
        engines.push(EngineConfig {
            name,
            listen,
            fencing,
            weights,
            ..EngineConfig::default()
        });
    }
    let listen = vm_address(SERVICE_VM, 9100);
    vms.push(vm(String::from("status-1"), listen, "application"));
    PlatformConfig {
        objects: ObjectApiConfig {
            listen: vm_address(PLATFORM_VM, 7000),
            reads: 2_000.0,
            writes: 400.0,
            delay: 2,
        },
        vms: VmListConfig {
            listen: vm_address(PLATFORM_VM, 7001),
            lag: 500,
            vms,
        },
        weights: WeightStoreConfig {
            listen: vm_address(PLATFORM_VM, 7002),
            rate: 6.0,
            streams: 2,
        },
        engines,
        services: vec![ServiceConfig {
            name: String::from("status-1"),
            listen,
            work: 20,
        }],
        ..PlatformConfig::default()
    }
}

fn dispatcher_config(n: u8) -> DispatcherConfig {
    DispatcherConfig {
        id: format!("entry-{}", n + 1),
        key: KEY.to_owned(),
        link: vm_address(FIRST_ENTRY + n, 8090),
        object_api: vm_address(PLATFORM_VM, 7000),
        operators: vm_address(FIRST_ENTRY + n, 8091),
        vm_list: vm_address(PLATFORM_VM, 7001),
        ..DispatcherConfig::default()
    }
}

fn gateway_config(n: u8) -> GatewayConfig {
    GatewayConfig {
        callers: vm_address(FIRST_ENTRY + n, 8080),
        dispatcher: vm_address(FIRST_ENTRY + n, 8090),
        id: format!("entry-{}", n + 1),
        key: KEY.to_owned(),
        max_age: 1,
        object_api: vm_address(PLATFORM_VM, 7000),
        operators: vm_address(FIRST_ENTRY + n, 8081),
        ..GatewayConfig::default()
    }
}

/// Returns the address of the first gateway for callers.
pub fn first_gateway() -> SocketAddr {
    vm_address(FIRST_ENTRY, 8080)
}

/// Runs the system: with `ask`, until the completion of this prompt is printed, else until a shutdown is requested.
///
/// # Errors
/// Fails if a component could not be started, or the request failed.
pub async fn run(ask: Option<String>, tree: &mut SubsystemHandle) -> Result<(), ChildError> {
    let stop = CancellationToken::new();
    let platform = tokio::spawn(platform::run(platform_config(), stop.clone()));
    let declarations = demo_declarations()?;
    apply(&declarations).await?;
    for n in 0..ENTRIES {
        let config = dispatcher_config(n);
        tree.start(SubsystemBuilder::new(
            format!("dispatcher-{}", n + 1),
            async move |tree: &mut SubsystemHandle| dispatcher_run::run(config, tree).await,
        ));
        let config = gateway_config(n);
        tree.start(SubsystemBuilder::new(
            format!("gateway-{}", n + 1),
            async move |tree: &mut SubsystemHandle| gateway::run(config, tree).await,
        ));
    }
    let client = http_client::build();
    wait_ready(&client).await?;
    let result = if let Some(text) = ask {
        print_completion(&client, &text).await
    } else {
        print_addresses();
        tree.on_shutdown_requested().await;
        Ok(())
    };
    tree.request_shutdown();
    tree.wait_for_children().await;
    stop.cancel();
    platform.await??;
    result
}

fn demo_declarations() -> Result<Declarations, Findings> {
    let texts = [(String::from("local.ini"), CATALOGUE.to_owned())];
    declarations::read_texts(&texts, Findings::default())
}

async fn apply(declarations: &Declarations) -> Result<(), ApplyError> {
    let mut store = CatalogueStore::new(ObjectApi::new(vm_address(PLATFORM_VM, 7000)));
    store.apply(0, declarations).await.map(|_| ())
}

fn print_addresses() {
    for n in 0..ENTRIES {
        let (callers, operators) = (
            vm_address(FIRST_ENTRY + n, 8080),
            vm_address(FIRST_ENTRY + n, 8081),
        );
        println!(
            "entry-{}: callers http://{callers}, operators http://{operators}",
            n + 1
        );
    }
    let gateway = first_gateway();
    println!(
        "example: curl -N http://{gateway}/v1/completions -H 'content-type: application/json' \
         -d '{{\"model\":\"{DEMO_MODEL}\",\"prompt\":\"hello\",\"stream\":true}}'"
    );
}

/// Waits until the first gateway is ready to place completion requests.
async fn wait_ready(client: &HttpClient) -> Result<(), ChildError> {
    let uri = format!("http://{}/readyz", vm_address(FIRST_ENTRY, 8081));
    let ready = async {
        loop {
            let request = http_client::json_request(&Method::GET, &uri, Bytes::new());
            let response = http_client::call(client, request, READY_INTERVAL * 10).await;
            if response.is_ok_and(|r| r.status == 200) {
                return;
            }
            tokio::time::sleep(READY_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready)
        .await
        .map_err(Into::into)
}

async fn print_completion(client: &HttpClient, text: &str) -> Result<(), ChildError> {
    let uri = format!("http://{}/v1/completions", first_gateway());
    let body = json!({ "model": DEMO_MODEL, "prompt": text, "stream": true, "max_tokens": 24 });
    let request = http_client::json_request(&Method::POST, &uri, Bytes::from(body.to_string()));
    let response = http_client::send(client, request).await?;
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("none").to_owned()
    };
    let (model, upstream) = (header("carobfield-model"), header("carobfield-upstream"));
    let stall = header("carobfield-stall-ms");
    let status = response.status();
    let outcome = print_stream(response.into_body()).await?;
    println!(
        "\nstatus {status}, model {model}, upstream {upstream}, load stall {stall} ms, {outcome}"
    );
    if outcome == "complete" {
        Ok(())
    } else {
        Err(format!("the outcome of the request is `{outcome}`, not `complete`").into())
    }
}

async fn print_stream(mut body: hyper::body::Incoming) -> Result<String, ChildError> {
    let mut events = EventParser::default();
    let mut outcome = String::from("broken");
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if events.push(&data).is_err() {
            break;
        }
        while let Some(event) = events.next_event() {
            let value: Value = serde_json::from_str(&event).unwrap_or(Value::Null);
            print!("{}", value["choices"][0]["text"].as_str().unwrap_or(""));
            std::io::stdout().flush()?;
            if let Some(reported) = value["carobfield_outcome"].as_str() {
                reported.clone_into(&mut outcome);
            }
        }
    }
    Ok(outcome)
}
