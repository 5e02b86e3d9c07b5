//! This entry's view of the control set, and the member that relays for this entry.

use crate::{
    clock::BootInstant,
    decide::control_set::{self, Candidate},
    entry::context::Entry,
    holding::lock,
    ident::pair_hash,
};
use log::info;
use std::{collections::HashSet, net::SocketAddr, sync::Arc};

/// View of the control set at the last refresh.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// Names of the members.
    pub members: Vec<Arc<str>>,
    /// Link addresses of the members, without this entry's.
    pub links: Vec<SocketAddr>,
    /// Whether this entry is a member, or still holds engines.
    pub is_member: bool,
    /// Link address of the member that relays for this entry, if this one is no member and a member sends it updates.
    pub relay: Option<SocketAddr>,
    /// Link addresses of all live peers.
    pub live: HashSet<SocketAddr>,
}

impl ControlView {
    /// Returns whether this entry sends updates to the one at `link`; `receives` returns whether the reverse holds.
    pub fn sends_updates_to(&self, link: SocketAddr, receives: impl Fn() -> bool) -> bool {
        if let Some(relay) = self.relay {
            return link == relay;
        }
        let is_unknown = !self.live.contains(&link);
        let is_member = self.links.contains(&link);
        is_unknown || is_member || (self.is_member && receives())
    }
}

impl Entry {
    /// Returns the link address of the peer that holds `upstream`.
    pub fn holder_link(&self, upstream: &str) -> Option<SocketAddr> {
        let peers = lock(&self.peers);
        let held = peers.held_engine(upstream, BootInstant::now())?;
        held.holder.map(|info| info.link)
    }

    /// Returns the link addresses of the control set, including this entry's if it is a member.
    pub fn control_links(&self) -> Vec<SocketAddr> {
        let view = self.control.load();
        let own = view.is_member.then_some(self.config.link);
        view.links.iter().copied().chain(own).collect()
    }
}

/// Recomputes the view of the control set.
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
    let direct = peers.direct(now).map(|p| &p.info);
    let relays = direct.filter(|info| members.contains(&info.name));
    let relay = relays.max_by_key(|info| {
        let is_local = *info.data_centre == *own.data_centre;
        (is_local, pair_hash(&own.name, &info.name))
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
