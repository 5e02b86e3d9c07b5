//! Route lookup by host, then by the longest matching path prefix.

use crate::{
    decide::{customers::CustomerTable, standing::Standings},
    edge::deployment::{Deployment, Route},
};
use std::{collections::HashMap, sync::Arc};

/// Index of the routes of one host by path prefix.
type Prefixes = HashMap<Arc<str>, usize>;

/// Configuration with an index of its routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Configuration that is indexed.
    pub deployment: Deployment,
    /// Customers by their keys.
    pub customers: CustomerTable,
    /// Order of admission among the requests of each service.
    pub standings: Standings,
    hosts: HashMap<String, Prefixes>,
}

impl RouteTable {
    /// Builds the index of the routes of `deployment`.
    pub fn new(deployment: Deployment) -> Self {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for (index, route) in deployment.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(Arc::clone(&route.prefix), index);
        }
        let customers = CustomerTable::new(deployment.customers.as_deref());
        Self {
            standings: Standings::new(&deployment),
            deployment,
            customers,
            hosts,
        }
    }

    /// Returns the route for the `Host` header value `host` and `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or_default();
        let prefixes = self.hosts.get(&name.to_ascii_lowercase())?;
        let index = longest_prefix(prefixes, path)?;
        self.deployment.routes.get(index)
    }
}

/// Looks up each prefix of `path` that ends with a slash, longest first.
fn longest_prefix(prefixes: &Prefixes, path: &str) -> Option<usize> {
    let slash_ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
    let mut candidates = slash_ends.filter_map(|end| path.get(..end));
    candidates
        .find_map(|candidate| prefixes.get(candidate))
        .copied()
}

/// Picks the service for a request of `route` by weight; `draw` is a uniformly random number.
pub fn pick_service(route: &Route, draw: u64) -> Option<&Arc<str>> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    if total == 0 {
        return route.targets.first().map(|t| &t.service);
    }
    let mut remaining = draw % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if remaining < weight {
            return Some(&target.service);
        }
        remaining -= weight;
    }
    None
}
