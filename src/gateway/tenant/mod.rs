//! Tenants: the customers of the callers, their keys and their quotas.

pub mod credit;
pub mod key;
pub mod quota;

use std::{
    rc::Rc,
    sync::Arc, //
};

use self::key::Key;
use crate::hash::Map;

/// Requests that a tenant may send, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second; positive.
    pub rate: f64,
    /// Requests that may come at once after a pause; not negative.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique name.
    pub name: Arc<str>,
    /// Rank that goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Requests that the tenant may send; `None` if there is no limit.
    pub quota: Option<Quota>,
}

/// Tenants of one version of the configuration, by their keys.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    keys: Map<Key, Rc<Tenant>>,
    names: Map<Arc<str>, Rc<Tenant>>,
    tenants: Vec<Rc<Tenant>>,
}

impl Directory {
    /// Returns a directory of tenants with their keys.
    pub fn new(tenants: impl IntoIterator<Item = (Tenant, Vec<Key>)>) -> Self {
        let mut directory = Self::default();
        for (tenant, keys) in tenants {
            let tenant = Rc::new(tenant);
            let entries = keys.into_iter().map(|key| (key, tenant.clone()));
            directory.keys.extend(entries);
            directory.names.insert(tenant.name.clone(), tenant.clone());
            directory.names.insert(tenant.name.clone(), tenant.clone());
            directory.tenants.push(tenant);
        }
        directory
    }

    /// Returns the tenant that holds a key.
    pub fn tenant_of(&self, key: &Key) -> Option<&Rc<Tenant>> {
        self.keys.get(key)
    }

    /// Returns a tenant.
    pub fn get(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.names.get(name)
    }

    /// Returns all tenants.
    pub fn tenants(&self) -> &[Rc<Tenant>] {
        &self.tenants
    }
}
