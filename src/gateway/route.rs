//! Route table: the service that runs a request, and its limits.

use std::{
    cmp::Reverse,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use super::tenant::{
    key::{
        Fault,
        Key,
        UNKNOWN_REASON, //
    },
    Directory,
    Tenant, //
};
use crate::hash::Map;

/// Repeatability of the requests of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The answer is a stream of events.
    Streaming {
        /// Whether another run may resume after an event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request that may have run may be resent.
    pub fn repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Streaming { resumable } => resumable,
        }
    }
}

/// Share of a route's requests that goes to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Path prefix of the requests.
    pub prefix: Arc<str>,
    /// Repeatability of the requests.
    pub kind: Kind,
    /// Maximum time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target: Duration,
    /// Rank among the routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that run the requests; at least one.
    pub shares: Vec<Share>,
    /// Maximum upstreams that may run one request; at least 1.
    pub attempts: u32,
    /// Whether upstreams work faster on objects that they handled recently.
    pub sticky: bool,
    /// Whether requests need no key of a tenant.
    pub public: bool,
    /// Time for which the gateway keeps a turn after its answer, if callers send only the new input
    /// of a turn.
    pub retention: Option<Duration>,
}

impl Route {
    /// Picks a service by a number that is uniform over all `u64`.
    pub fn service(&self, key: u64) -> &Arc<str> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut rest = key as f64 / u64::MAX as f64 * total;
        for share in &self.shares {
            rest -= share.weight;
            if rest <= 0.0 && share.weight > 0.0 {
                return &share.service;
            }
        }
        &self.shares[0].service
    }

    /// Returns whether the request itself, and not only its route, selects the service.
    pub fn is_split(&self) -> bool {
        let selected = self.shares.iter().filter(|share| share.weight > 0.0);
        selected.count() > 1
    }
}

/// Model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Tokens per event of a stream; at least 1.
    pub tokens_per_event: u32,
    /// Tokens that the memory of one engine holds.
    pub cache_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Connections that one upstream accepts from all callers together.
    pub connections: Option<u32>,
    /// Parameters of its model engines, if it has any.
    pub engine: Option<Engine>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum length of a body, in bytes.
    pub body: usize,
    /// Maximum length of a head, in bytes.
    pub head: usize,
    /// Maximum time of a head from its first byte.
    pub head_time: Duration,
    /// Maximum time without a request.
    pub idle: Duration,
}

impl Default for Limits {
    /// Returns the limits without a configuration, or of one that states none.
    fn default() -> Self {
        Self {
            body: 4 << 20,
            // The HTTP library reads no longer heads.
            head: 128 << 10,
            head_time: Duration::from_secs(15),
            idle: Duration::from_secs(300),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Table {
    version: u64,
    /// Routes of each host, longest prefix first.
    hosts: Map<Arc<str>, Vec<Rc<Route>>>,
    services: Map<Arc<str>, Service>,
    limits: Limits,
    /// Tenants; `None` if requests need no key.
    tenants: Option<Directory>,
}

impl Table {
    /// Returns a table; routes of a host match the longest prefix first.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: impl IntoIterator<Item = Service>,
        limits: Limits,
    ) -> Self {
        let mut hosts: Map<Arc<str>, Vec<Rc<Route>>> = Map::default();
        for route in routes {
            let of_host = hosts.entry(route.host.clone()).or_default();
            of_host.push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        Self {
            version,
            hosts,
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), service))
                .collect(),
            limits,
            tenants: None,
        }
    }

    /// Requires a key of one of these tenants for routes that are not public.
    pub fn with_tenants(self, tenants: Directory) -> Self {
        Self {
            tenants: Some(tenants),
            ..self
        }
    }

    /// Returns whether a route keeps turns.
    pub fn retains_turns(&self) -> bool {
        let mut routes = self.hosts.values().flatten();
        routes.any(|route| route.retention.is_some())
    }

    /// Returns the tenants; `None` if requests need no key.
    pub fn tenants(&self) -> Option<&Directory> {
        self.tenants.as_ref()
    }

    /// Returns the tenant that holds a key.
    pub fn tenant_of_key(&self, key: &Key) -> Option<&Rc<Tenant>> {
        self.tenants.as_ref()?.tenant_of(key)
    }

    /// Returns the tenant of a request on a route; `None` if it needs no key. Fails with the reason
    /// code of the refusal.
    pub fn authenticate(
        &self,
        route: &Route,
        credential: &Result<Key, Fault>,
    ) -> Result<Option<&Rc<Tenant>>, &'static str> {
        let Some(tenants) = self.tenants.as_ref().filter(|_| !route.public) else {
            return Ok(None);
        };
        let key = credential.as_ref().map_err(|fault| fault.reason())?;
        tenants.tenant_of(key).map(Some).ok_or(UNKNOWN_REASON)
    }

    /// Returns the version; later ones are greater.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what a caller may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns whether requests for resumable streams lead to other services in another table.
    pub fn moves_streams(&self, other: &Self) -> bool {
        self.leads_elsewhere(other) || other.leads_elsewhere(self)
    }

    fn leads_elsewhere(&self, other: &Self) -> bool {
        let routes = self.hosts.values().flatten();
        let mut resumable =
            routes.filter(|route| route.kind == Kind::Streaming { resumable: true });
        resumable.any(|route| {
            let other = other.route(&route.host, &route.prefix);
            other.is_some_and(|other| other.shares != route.shares)
        })
    }

    /// Returns whether there is a route of this name.
    pub fn has_route(&self, name: &str) -> bool {
        let mut routes = self.hosts.values().flatten();
        routes.any(|route| *route.name == *name)
    }

    /// Returns the route of a request: the one of its host with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.hosts.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_ref()))
    }
}
