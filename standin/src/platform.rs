//! Settings of a process that runs all stand-ins of a deployment.

use crate::{
    engine::{self, EngineConfig},
    object_api::{self, ObjectApiConfig},
    service::{self, ServiceConfig},
    vm_list::{self, VmListConfig},
    weight_store::{self, WeightStoreConfig},
};
use carobfield::{
    configs::log::LogConfig,
    findings::Findings,
    ini_doc::{self, Section},
    supervisor::ChildError,
    vm_list::{ENTRY_POOL, Vm, VmState},
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
};
use tokio::task::JoinSet;
use tokio_graceful_shutdown::SubsystemHandle;
use tokio_util::sync::CancellationToken;

/// Settings of every stand-in of a deployment.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Object API.
    pub objects: ObjectApiConfig,
    /// VM list, with the VMs of the entries and of the upstreams.
    pub vms: VmListConfig,
    /// Weight store.
    pub weights: WeightStoreConfig,
    /// Engines.
    pub engines: Vec<EngineConfig>,
    /// Plain services.
    pub services: Vec<ServiceConfig>,
    /// Logging.
    pub log: LogConfig,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            objects: ObjectApiConfig {
                listen: local(7000),
                reads: 2_000.0,
                writes: 400.0,
                delay: 2,
            },
            vms: VmListConfig {
                listen: local(7001),
                lag: 500,
                vms: Vec::new(),
            },
            weights: WeightStoreConfig {
                listen: local(7002),
                rate: 6.0,
                streams: 2,
            },
            engines: Vec::new(),
            services: Vec::new(),
            log: LogConfig::default(),
        }
    }
}

/// Runs every stand-in until `stop` is cancelled.
///
/// # Errors
/// An address could not be bound.
pub async fn run(config: PlatformConfig, stop: CancellationToken) -> Result<(), ChildError> {
    let mut tasks = JoinSet::new();
    tasks.spawn(object_api::run(config.objects, stop.clone()));
    tasks.spawn(vm_list::run(config.vms, stop.clone()));
    tasks.spawn(weight_store::run(config.weights, stop.clone()));
    for engine in config.engines {
        tasks.spawn(engine::run(engine, stop.clone()));
    }
    for service in config.services {
        tasks.spawn(service::run(service, stop.clone()));
    }
    while let Some(result) = tasks.join_next().await {
        result??;
    }
    Ok(())
}

/// Runs every stand-in until a shutdown is requested.
///
/// # Errors
/// An address could not be bound.
pub async fn run_process(
    config: PlatformConfig,
    tree: &mut SubsystemHandle,
) -> Result<(), ChildError> {
    let stop = tree.create_cancellation_token();
    run(config, stop).await
}

/// Reads the settings from an INI file.
///
/// # Errors
/// All findings, sorted by location.
pub fn read(path: &Path) -> Result<PlatformConfig, Findings> {
    let mut findings = Findings::default();
    let name = path.display().to_string();
    let sections = match std::fs::read_to_string(path) {
        Ok(text) => ini_doc::parse(&name, &text, &mut findings),
        Err(e) => {
            findings.push(ini_doc::new_finding(&name, 0, "", "", &e.to_string()));
            Vec::new()
        }
    };
    let mut config = PlatformConfig::default();
    for mut section in sections {
        read_section(&mut config, &mut section, &mut findings);
        section.report_unknown_keys(&mut findings);
    }
    let weights = config.weights.listen;
    for engine in &mut config.engines {
        engine.weights = Some(weights);
    }
    findings.or_ok(config)
}

fn read_section(config: &mut PlatformConfig, section: &mut Section, findings: &mut Findings) {
    let header = section.name.clone();
    let (kind, name) = header.split_once(' ').unwrap_or((&header, ""));
    match kind {
        "object-api" => {
            section.read("listen", &mut config.objects.listen, findings);
            section.read("reads", &mut config.objects.reads, findings);
            section.read("writes", &mut config.objects.writes, findings);
            section.read("delay-ms", &mut config.objects.delay, findings);
        }
        "vm-list" => {
            section.read("listen", &mut config.vms.listen, findings);
            section.read("lag-ms", &mut config.vms.lag, findings);
        }
        "weight-store" => {
            section.read("listen", &mut config.weights.listen, findings);
            section.read("rate", &mut config.weights.rate, findings);
            section.read("streams", &mut config.weights.streams, findings);
        }
        "entry" => {
            let vm = read_vm(name, Some(ENTRY_POOL), section, findings);
            config.vms.vms.push(vm);
        }
        "engine" => {
            let vm = read_vm(name, None, section, findings);
            config.engines.push(read_engine(&vm, section, findings));
            config.vms.vms.push(vm);
        }
        "service" => {
            let vm = read_vm(name, None, section, findings);
            let mut service = ServiceConfig {
                name: name.to_owned(),
                listen: vm.address,
                work: 20,
            };
            section.read("work-ms", &mut service.work, findings);
            config.services.push(service);
            config.vms.vms.push(vm);
        }
        "log" => {
            section.read("level", &mut config.log.level, findings);
            section.read("form", &mut config.log.format, findings);
        }
        _ => findings.push(section.finding(
            "",
            "expected object-api, vm-list, weight-store, entry, engine, service or log",
        )),
    }
}

fn read_vm(name: &str, pool: Option<&str>, section: &mut Section, findings: &mut Findings) -> Vm {
    let mut vm = Vm {
        id: name.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        data_centre: String::from("local"),
        pool: pool.unwrap_or("").to_owned(),
        state: VmState::Live,
    };
    section.require("listen", &mut vm.address, findings);
    section.read("data-centre", &mut vm.data_centre, findings);
    if pool.is_none() {
        section.require("pool", &mut vm.pool, findings);
    }
    vm
}

fn read_engine(vm: &Vm, section: &mut Section, findings: &mut Findings) -> EngineConfig {
    let mut engine = EngineConfig {
        name: vm.id.clone(),
        listen: vm.address,
        ..EngineConfig::default()
    };
    section.read("base", &mut engine.base, findings);
    section.read("slots", &mut engine.slots, findings);
    section.read("batch", &mut engine.batch, findings);
    section.read("fencing", &mut engine.fencing, findings);
    section.read("step-us", &mut engine.step_us, findings);
    section.read("share-us", &mut engine.share_us, findings);
    section.read("prefill-us", &mut engine.prefill_us, findings);
    section.read("prefixes", &mut engine.prefixes, findings);
    section.read("report-lag-ms", &mut engine.report_lag, findings);
    section.read("grace-ms", &mut engine.grace, findings);
    section.read("down-ms", &mut engine.down, findings);
    engine
}
