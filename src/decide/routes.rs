//! Finds the route of a request: by host, then by the longest prefix of its path.

use crate::edge::deployment::{Deployment, Route};
use std::{collections::HashMap, sync::Arc};

/// Routes of one host, by their prefix.
type Prefixes = HashMap<Arc<str>, usize>;

/// A configuration with its routes indexed.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// The configuration.
    pub deployment: Deployment,
    hosts: HashMap<String, Prefixes>,
}

impl RouteTable {
    /// Indexes the routes of `deployment`.
    pub fn new(deployment: Deployment) -> Self {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for (index, route) in deployment.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(Arc::clone(&route.prefix), index);
        }
        Self { deployment, hosts }
    }

    /// The route of a request to `host`, as its header names it, and `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or_default();
        let prefixes = self.hosts.get(&name.to_ascii_lowercase())?;
        let index = longest_prefix(prefixes, path)?;
        self.deployment.routes.get(index)
    }
}

/// Looks up each start of `path` that ends with a slash, the longest first.
fn longest_prefix(prefixes: &Prefixes, path: &str) -> Option<usize> {
    let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
    let mut starts = ends.filter_map(|end| path.get(..end));
    starts.find_map(|start| prefixes.get(start)).copied()
}

/// The service that takes a request of `route`; `draw` is uniform over all numbers.
pub fn pick_service(route: &Route, draw: u64) -> Option<&Arc<str>> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    if total == 0 {
        return route.targets.first().map(|t| &t.service);
    }
    let mut left = draw % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return Some(&target.service);
        }
        left -= weight;
    }
    None
}
