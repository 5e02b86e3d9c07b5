//! Which entries are in the control set as this one sees it, and who speaks for this one.

use crate::{
    clock::BootInstant,
    decide::control_set::{self, Candidate},
    entry::context::Entry,
    holding::lock,
    ident::pair_hash,
};
use log::info;
use std::{collections::HashSet, net::SocketAddr, sync::Arc};

/// The control set, as last looked at.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// Names of its members.
    pub members: Vec<Arc<str>>,
    /// Their link addresses, without this entry's.
    pub links: Vec<SocketAddr>,
    /// Whether this entry is one, or still holds engines.
    pub is_member: bool,
    /// Link address of the member that speaks for this entry, if it is none itself and one has been heard.
    pub relay: Option<SocketAddr>,
    /// Link addresses of all entries that are up.
    pub live: HashSet<SocketAddr>,
}

impl ControlView {
    /// Whether this entry tells the entry at `link` of itself; `speaks` says whether that one tells this one of itself.
    pub fn tells(&self, link: SocketAddr, speaks: impl Fn() -> bool) -> bool {
        if let Some(relay) = self.relay {
            return link == relay;
        }
        let is_unknown = !self.live.contains(&link);
        let is_member = self.links.contains(&link);
        is_unknown || is_member || (self.is_member && speaks())
    }
}

/// Looks at the control set again.
pub fn refresh(entry: &Entry) {
    let now = BootInstant::now();
    let own = entry.peer_info();
    let holds_engines = !lock(&entry.controllers).is_empty();
    let mut peers = lock(&entry.peers);
    peers.prune(now);
    let live = peers.live(now);
    let staying = live.iter().copied().chain([&own]).filter(|i| !i.leaving);
    let candidates = staying.map(|info| Candidate {
        name: Arc::clone(&info.name),
        processor: info.processor,
    });
    let members = control_set::members(candidates.collect(), entry.config.control_entries);
    let is_member = members.contains(&own.name) || holds_engines;
    let infos = live.iter().filter(|info| members.contains(&info.name));
    let links = infos.map(|info| info.link).collect();
    let all = live.iter().map(|info| info.link).collect();
    let speaking = peers.speaking(now).map(|p| &p.info);
    let relays = speaking.filter(|info| members.contains(&info.name));
    let relay = relays.max_by_key(|info| {
        let is_near = *info.data_centre == *own.data_centre;
        (is_near, pair_hash(&own.name, &info.name))
    });
    let relay = relay.filter(|_| !is_member).map(|info| info.link);
    drop(peers);
    let before = entry.control.load();
    if before.is_member != is_member || before.relay != relay {
        let relay = relay.map_or_else(String::new, |link| link.to_string());
        info!(member = is_member, relay = relay, members = members.len(); "control set");
    }
    entry.control.store(Arc::new(ControlView {
        members,
        links,
        is_member,
        relay,
        live: all,
    }));
}
