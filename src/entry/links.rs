//! Links to the other entries.

use crate::{entry::context::Entry, holding::lock, link::Link};
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
};

/// Links by the addresses that they lead to.
#[derive(Debug, Default)]
pub struct Links {
    /// For the entries' own messages.
    peers: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    /// For upstreams' responses, which callers may read slowly.
    relays: Mutex<HashMap<SocketAddr, Arc<Link>>>,
}

impl Entry {
    /// Returns the link to the entry at `address`, and creates it if needed.
    pub fn link(&self, address: SocketAddr) -> Arc<Link> {
        self.find_link(&self.links.peers, address, Link::new)
    }

    /// Returns the link for upstreams' responses from the entry at `address`, and creates it if needed.
    pub fn relay_link(&self, address: SocketAddr) -> Arc<Link> {
        self.find_link(&self.links.relays, address, Link::for_relays)
    }

    fn find_link(
        &self,
        links: &Mutex<HashMap<SocketAddr, Arc<Link>>>,
        address: SocketAddr,
        create: impl FnOnce(SocketAddr, IpAddr, Arc<str>) -> Link,
    ) -> Arc<Link> {
        let mut links = lock(links);
        let link = links.entry(address).or_insert_with(|| {
            let key = Arc::from(self.config.key.as_str());
            Arc::new(create(address, self.config.link.ip(), key))
        });
        Arc::clone(link)
    }
}
