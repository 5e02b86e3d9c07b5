//! Settings of a gateway.

use crate::{
    configs::log::LogConfig,
    findings::Findings,
    ini_doc::Section,
    settings::{Addresses, PlacementPolicy},
};
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// How long at-most-once records are kept, in seconds.
    pub claim_retention: u64,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Link address of the dispatcher on the same VM.
    pub dispatcher: SocketAddr,
    /// Name of the VM.
    pub id: String,
    /// Key shared by the system's own processes.
    pub key: String,
    /// Log settings.
    pub log: LogConfig,
    /// How long callers may cache a response of `/v1/entries`, in seconds.
    pub max_age: u64,
    /// Maximum timeout that a caller may request, in milliseconds.
    pub max_timeout: u64,
    /// Address of the object API.
    pub object_api: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Link addresses of dispatchers to contact when the object API is down.
    pub peers: Addresses,
    /// Policy by which upstreams are chosen.
    pub placement: PlacementPolicy,
    /// Default timeout of requests, in milliseconds.
    pub timeout: u64,
}

impl Default for GatewayConfig {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            body_bytes: 1 << 20,
            callers: local(8080),
            claim_retention: 86_400,
            data_centre: String::from("local"),
            dispatcher: local(8090),
            id: String::from("entry-1"),
            key: String::new(),
            log: LogConfig::default(),
            max_age: 5,
            max_timeout: 120_000,
            object_api: local(7000),
            operators: local(8081),
            peers: Addresses::default(),
            placement: PlacementPolicy::default(),
            timeout: 30_000,
        }
    }
}

impl GatewayConfig {
    /// Reads the section `gateway`.
    pub fn read_process(&mut self, section: &mut Section, findings: &mut Findings) {
        section.require("id", &mut self.id, findings);
        section.require("data-centre", &mut self.data_centre, findings);
        section.require("callers", &mut self.callers, findings);
        section.require("operators", &mut self.operators, findings);
        section.require("dispatcher", &mut self.dispatcher, findings);
        section.require("object-api", &mut self.object_api, findings);
        section.require("key", &mut self.key, findings);
        section.read("peers", &mut self.peers, findings);
        section.read("placement", &mut self.placement, findings);
        if self.callers == self.operators {
            findings.push(section.finding("operators", "the same address as `callers`"));
        }
    }

    /// Reads the section `limits`.
    pub fn read_limits(&mut self, section: &mut Section, findings: &mut Findings) {
        section.read("body-bytes", &mut self.body_bytes, findings);
        section.read("claim-retention-s", &mut self.claim_retention, findings);
        section.read("max-age-s", &mut self.max_age, findings);
        section.read("max-timeout-ms", &mut self.max_timeout, findings);
        section.read("timeout-ms", &mut self.timeout, findings);
        if self.timeout == 0 || self.timeout > self.max_timeout {
            findings.push(section.finding("timeout-ms", "must be from 1 to `max-timeout-ms`"));
        }
    }
}
