//! Settings of a dispatcher.

use crate::{
    configs::log::LogConfig,
    findings::Findings,
    ini_doc::Section,
    settings::{Addresses, EvictionPolicy},
};
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// Data centre of the VM.
    pub data_centre: String,
    /// Policy by which adapters are chosen for eviction.
    pub eviction: EvictionPolicy,
    /// Name of the VM.
    pub id: String,
    /// Key shared by the system's own processes.
    pub key: String,
    /// Address for the system's own processes.
    pub link: SocketAddr,
    /// Log settings.
    pub log: LogConfig,
    /// Maximum timeout of a request, in milliseconds.
    pub max_timeout: u64,
    /// Address of the object API.
    pub object_api: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Link addresses of dispatchers to contact when the object API is down.
    pub peers: Addresses,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            data_centre: String::from("local"),
            eviction: EvictionPolicy::default(),
            id: String::from("entry-1"),
            key: String::new(),
            link: local(8090),
            log: LogConfig::default(),
            max_timeout: 120_000,
            object_api: local(7000),
            operators: local(8091),
            peers: Addresses::default(),
            vm_list: local(7001),
        }
    }
}

impl DispatcherConfig {
    /// Reads the section `dispatcher`.
    pub fn read_process(&mut self, section: &mut Section, findings: &mut Findings) {
        section.require("id", &mut self.id, findings);
        section.require("data-centre", &mut self.data_centre, findings);
        section.require("link", &mut self.link, findings);
        section.require("operators", &mut self.operators, findings);
        section.require("object-api", &mut self.object_api, findings);
        section.require("vm-list", &mut self.vm_list, findings);
        section.require("key", &mut self.key, findings);
        section.read("peers", &mut self.peers, findings);
        section.read("eviction", &mut self.eviction, findings);
        section.read("max-timeout-ms", &mut self.max_timeout, findings);
        if self.link == self.operators {
            findings.push(section.finding("operators", "the same address as `link`"));
        }
    }
}
