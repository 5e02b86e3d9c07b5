//! Finds the customer that holds a request's key.
//!
//! | load pattern | response |
//! |---|---|
//! | many requests, each with a key | one look-up in a hash map of digests; nothing is compared with a key, so the time that it takes says nothing about keys |
//! | two customers list the same key | the first one in the configuration keeps it |
//! | a request without a usable key | like one with an unknown key |

use crate::edge::{
    codec::RequestKey,
    deployment::{Customer, KeyDigest},
};
use std::{collections::HashMap, sync::Arc};

/// Who sent a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Sender {
    /// Requests need no key, as the configuration has no customers.
    Open,
    /// Nobody known, on a route that needs no key.
    Anonymous,
    /// A customer.
    Customer(Arc<Customer>),
    /// Nobody known, on a route that needs a key.
    Unknown,
}

/// Customers of one configuration by the digests of their keys.
#[derive(Debug, Default)]
pub struct CustomerTable {
    /// `None` if the configuration has no customers.
    by_key: Option<HashMap<KeyDigest, Arc<Customer>>>,
}

impl CustomerTable {
    /// Builds the table of `customers`; `None` if requests need no key.
    pub fn new(customers: Option<&[Customer]>) -> Self {
        let by_key = customers.map(|all| {
            let mut by_key = HashMap::new();
            for customer in all {
                let shared = Arc::new(customer.clone());
                for key in &customer.keys {
                    by_key.entry(*key).or_insert_with(|| Arc::clone(&shared));
                }
            }
            by_key
        });
        Self { by_key }
    }

    /// Returns whether requests need a key, except on public routes.
    pub fn needs_keys(&self) -> bool {
        self.by_key.is_some()
    }

    /// Returns who sent a request with `key` on a route that is public or not.
    pub fn sender(&self, key: RequestKey, is_public: bool) -> Sender {
        let Some(by_key) = &self.by_key else {
            return Sender::Open;
        };
        let found = match key {
            RequestKey::Digest(digest) => by_key.get(&digest),
            RequestKey::Missing | RequestKey::Invalid => None,
        };
        match found {
            Some(customer) => Sender::Customer(Arc::clone(customer)),
            None if is_public => Sender::Anonymous,
            None => Sender::Unknown,
        }
    }
}
