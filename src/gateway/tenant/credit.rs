//! Requests credits of the quotas of tenants, and issues those that this instance is responsible for.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::sleep;

use super::{
    quota::{
        Credits,
        Verdict, //
    },
    Quota,
    Tenant, //
};
use crate::{
    clock::Time,
    gateway::{
        metrics::Metrics,
        peers::Peers,
        route::Table,
        view::Report, //
    },
    hash::{
        rendezvous,
        Map, //
    },
    member::{
        Snapshot,
        State,
        View, //
    },
    name::Instance,
    peer::wire::Body,
};

/// Timeout of a request for a credit: several round trips between zones, and little beside the time in
/// which an engine begins to answer.
const ISSUE_TIMEOUT: Duration = Duration::from_millis(25);

/// Time after a request at which its reply is too old: this instance was paused, and the credit counts
/// in another window.
const MAX_REPLY_AGE: Duration = Duration::from_millis(200);

/// Time for which an issuer that did not answer is not asked.
const AVOID_TIME: Duration = Duration::from_millis(300);

/// Time for which further requests of a tenant are refused without a message, so that a surge of
/// requests is no surge of messages.
const DENIAL_TIME: Duration = Duration::from_millis(200);

/// Longest time after which a refused caller may retry.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Time after which a caller retries if its quota is unavailable.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time between two looks at the members and the clock.
const TICK: Duration = Duration::from_millis(250);

/// Message about a credit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Request {
    /// Requests a credit; a response follows.
    #[serde(rename = "t")]
    Take {
        /// Name of the tenant.
        #[serde(rename = "n")]
        tenant: Arc<str>,
        /// Whether the issuer has none, so that the share of the zone is requested.
        #[serde(rename = "z", default, skip_serializing_if = "std::ops::Not::not")]
        share: bool,
    },
    /// Gives back a credit that was not used; no response follows.
    #[serde(rename = "r")]
    Return {
        /// Name of the tenant.
        #[serde(rename = "n")]
        tenant: Arc<str>,
        /// Time since the credit was granted.
        #[serde(rename = "a")]
        age_ms: u64,
        /// Whether it is one of the share of the zone.
        #[serde(rename = "z", default, skip_serializing_if = "std::ops::Not::not")]
        share: bool,
    },
}

/// Response to a request for a credit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Response {
    /// The request may run.
    #[serde(rename = "g")]
    Granted,
    /// The tenant is over its quota.
    #[serde(rename = "d")]
    Denied {
        /// Time until there is a credit for the request.
        #[serde(rename = "w")]
        wait_us: u64,
    },
    /// There is no credit, and the tenant may be within its quota.
    #[serde(rename = "u")]
    Unavailable,
    /// The instance issues no credits of the tenant.
    #[serde(rename = "r")]
    Refused,
}

/// Reason why a request got no credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The tenant is over its quota; the time until there is a credit.
    OverQuota(Duration),
    /// Nobody who knows the credit of the tenant answers; the time after which to retry.
    Unavailable(Duration),
}

/// A credit that was granted.
#[derive(Debug)]
pub struct Credit {
    tenant: Arc<str>,
    /// Instance that granted it; `None` if it was this one.
    from: Option<Instance>,
    share: bool,
    /// Time at which it was granted, on the boot clock.
    granted: Time,
}

/// Refusals of a tenant that need no message.
#[derive(Clone, Copy, Debug)]
struct Denial {
    until: Time,
    /// Time of the credit that was promised last.
    promised: Time,
}

/// Instances that may issue: to all, and to the zone of this one.
type Members = (Vec<Instance>, Vec<Instance>);

/// Requests and issues credits.
pub struct Quotas {
    peers: RefCell<Option<Peers>>,
    table: RefCell<Option<Rc<Table>>>,
    credits: RefCell<Credits>,
    members: RefCell<Members>,
    denials: RefCell<Map<Arc<str>, Denial>>,
    /// Times until which instances are not asked.
    avoided: RefCell<Map<Instance, Time>>,
    /// Whether this instance is cut off from the others, or does not know them yet.
    cut_off: Cell<bool>,
    /// Revision of the membership view from which the members were determined.
    revision: Cell<Option<u64>>,
    /// Whether no other zone is in use by that view.
    alone: Cell<bool>,
    metrics: Metrics,
}

impl Quotas {
    /// Returns the quotas of an instance without links to others, which issues all credits itself.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            peers: RefCell::default(),
            table: RefCell::default(),
            credits: RefCell::new(Credits::new(Time::boot())),
            members: RefCell::default(),
            denials: RefCell::default(),
            avoided: RefCell::default(),
            cut_off: Cell::new(false),
            revision: Cell::new(None),
            alone: Cell::new(false),
            metrics,
        }
    }

    /// Adds the links to other instances, which are not known yet.
    pub fn connect(&self, peers: Peers) {
        self.peers.replace(Some(peers));
        self.cut_off.set(true);
    }

    /// Applies a new version of the configuration.
    pub fn configure(&self, table: &Rc<Table>) {
        self.table.replace(Some(table.clone()));
        let limited = |tenant: &str| matches!(self.quota(tenant), Some(Some(_)));
        self.credits.borrow_mut().retain(limited);
        self.denials.borrow_mut().retain(|name, _| limited(name));
    }

    /// Follows the members and notices pauses of the process; `cut_off` tells whether this instance is
    /// cut off from the others or does not know them yet. Never returns.
    pub async fn run(self: Rc<Self>, cut_off: impl Fn() -> bool) {
        loop {
            sleep(TICK).await;
            self.cut_off.set(cut_off());
            if self.limits() {
                self.update();
            }
        }
    }

    /// Returns whether any tenant has a quota.
    fn limits(&self) -> bool {
        let table = self.table.borrow();
        let tenants = table.as_ref().and_then(|table| table.tenants());
        tenants.is_some_and(|tenants| tenants.tenants().iter().any(|one| one.quota.is_some()))
    }

    /// Returns the quota of a tenant, `None` within if it has no limit; `None` if there is no such
    /// tenant.
    fn quota(&self, tenant: &str) -> Option<Option<Quota>> {
        let table = self.table.borrow();
        let tenant = table.as_ref()?.tenants()?.get(tenant)?;
        Some(tenant.quota)
    }

    fn snapshot(&self) -> Option<(Peers, Arc<Snapshot>)> {
        let peers = self.peers.borrow().clone()?;
        let snapshot = peers.roster.snapshot();
        Some((peers, snapshot))
    }

    /// Brings the credits up to date with the clock and the members.
    fn update(&self) {
        let now = Time::boot();
        let mut credits = self.credits.borrow_mut();
        credits.tick(now);
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let revision = Some(peers.roster.read(View::revision));
        if self.revision.replace(revision) == revision {
            credits.set_isolated(now, self.cut_off.get() || self.alone.get());
            return;
        }
        let snapshot = peers.roster.snapshot();
        self.alone.set(is_cut_off(&snapshot));
        credits.set_isolated(now, self.cut_off.get() || self.alone.get());
        let local = snapshot.local();
        let members = (snapshot.large(None), snapshot.large(Some(&local.zone)));
        let known = self.members.borrow();
        if members.0.iter().copied().eq(&known.0) && members.1.iter().copied().eq(&known.1) {
            return;
        }
        drop(known);
        let picks = |members: &[&Instance], tenant: &str| {
            let picked = rendezvous(tenant.as_bytes(), members.iter().copied());
            picked == Some(&local.instance)
        };
        credits.members_changed(
            now,
            |tenant| picks(&members.0, tenant),
            |tenant| picks(&members.1, tenant),
        );
        let owned = |names: Vec<&Instance>| names.into_iter().cloned().collect();
        self.members.replace((owned(members.0), owned(members.1)));
    }

    /// Returns the instance that issues the credits of a tenant, or those of the share of the zone;
    /// `None` if it is this one.
    fn issuer(&self, tenant: &str, share: bool) -> Option<(Peers, Instance)> {
        let (peers, snapshot) = self.snapshot()?;
        let members = self.members.borrow();
        let members = if share { &members.1 } else { &members.0 };
        // Without any live instance, this one is the last and is leaving.
        let picked = rendezvous(tenant.as_bytes(), members)?;
        (*picked != snapshot.local().instance).then(|| (peers, picked.clone()))
    }

    /// Takes a credit for one request of a tenant; `None` if the tenant has no quota.
    pub async fn take(&self, tenant: &Tenant) -> Result<Option<Credit>, Fault> {
        let Some(quota) = tenant.quota else {
            return Ok(None);
        };
        if let Some(wait) = self.known_denial(&tenant.name, quota) {
            return Err(Fault::OverQuota(wait));
        }
        self.update();
        let asked = match self.credits.borrow().isolated() {
            true => None,
            false => Some(false),
        };
        for share in asked.into_iter().chain([true]) {
            let issuer = self.issuer(&tenant.name, share);
            let (response, from) = match issuer {
                None => (self.issue(&tenant.name, share), None),
                Some((peers, name)) => {
                    let response = self.ask(&peers, &name, &tenant.name, share).await;
                    (response, Some(name))
                }
            };
            match response {
                Response::Granted => {
                    let by = match (&from, share) {
                        (None, _) => "local",
                        (Some(_), false) => "issuer",
                        (Some(_), true) => "zone",
                    };
                    self.metrics.granted_quota(by);
                    return Ok(Some(Credit {
                        tenant: tenant.name.clone(),
                        from,
                        share,
                        granted: Time::boot(),
                    }));
                }
                Response::Denied { wait_us } => {
                    let wait = Duration::from_micros(wait_us).min(MAX_WAIT);
                    let now = Time::boot();
                    let denial = Denial {
                        until: now + wait.min(DENIAL_TIME),
                        promised: now + wait,
                    };
                    self.denials
                        .borrow_mut()
                        .insert(tenant.name.clone(), denial);
                    return Err(Fault::OverQuota(wait));
                }
                Response::Unavailable | Response::Refused => {}
            }
        }
        Err(Fault::Unavailable(RETRY_AFTER))
    }

    /// Returns the time until a credit, if a request of the tenant was refused just now. Each caller
    /// gets the time of another credit.
    fn known_denial(&self, tenant: &str, quota: Quota) -> Option<Duration> {
        let now = Time::boot();
        let mut denials = self.denials.borrow_mut();
        let denial = denials
            .get_mut(tenant)
            .filter(|denial| now < denial.until)?;
        let interval = Duration::try_from_secs_f64(1.0 / quota.rate);
        let next = denial.promised + interval.unwrap_or(MAX_WAIT).min(MAX_WAIT);
        denial.promised = next.min(now + MAX_WAIT);
        Some(denial.promised.since(now))
    }

    async fn ask(
        &self,
        peers: &Peers,
        issuer: &Instance,
        tenant: &Arc<str>,
        share: bool,
    ) -> Response {
        let asked = Time::boot();
        let until = self.avoided.borrow().get(issuer).copied();
        if until.is_some_and(|until| asked < until) {
            return Response::Refused;
        }
        let request = Request::Take {
            tenant: tenant.clone(),
            share,
        };
        let answer = peers
            .mesh
            .request(issuer, Body::Quota(request), ISSUE_TIMEOUT);
        match answer.await {
            Ok(Body::Credited(response)) if Time::boot().since(asked) < MAX_REPLY_AGE => response,
            Ok(_) => Response::Refused,
            Err(error) => {
                let now = Time::boot();
                let mut avoided = self.avoided.borrow_mut();
                avoided.retain(|_, until| now < *until);
                avoided.insert(issuer.clone(), now + AVOID_TIME);
                log::debug!(
                    issuer = issuer.as_str(), tenant = &**tenant, share, error:%;
                    "quota: issuer did not answer in time; avoiding it for a while"
                );
                Response::Refused
            }
        }
    }

    /// Issues a credit by the configuration of this instance.
    fn issue(&self, tenant: &str, share: bool) -> Response {
        let table = self.table.borrow();
        let tenants = table.as_ref().and_then(|table| table.tenants());
        let Some(tenant) = tenants.and_then(|tenants| tenants.get(tenant)) else {
            return Response::Refused;
        };
        let Some(quota) = tenant.quota else {
            return Response::Granted;
        };
        let zones = self.snapshot();
        let zones = zones.map_or(1, |(_, snapshot)| snapshot.zones().count());
        let mut credits = self.credits.borrow_mut();
        let now = Time::boot();
        let verdict = match share {
            false => credits.take(now, &tenant.name, quota),
            true => credits.take_share(now, &tenant.name, quota, zones),
        };
        match verdict {
            Verdict::Granted => Response::Granted,
            Verdict::Denied(wait) => Response::Denied {
                wait_us: wait.as_micros() as u64,
            },
            Verdict::Unavailable => Response::Unavailable,
        }
    }

    /// Gives back a credit for a request that no upstream ran.
    pub fn give_back(&self, credit: Credit) {
        let Some(name) = credit.from else {
            let mut credits = self.credits.borrow_mut();
            return credits.give_back(Time::boot(), &credit.tenant, credit.granted, credit.share);
        };
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let request = Request::Return {
            tenant: credit.tenant,
            age_ms: Time::boot().since(credit.granted).as_millis() as u64,
            share: credit.share,
        };
        if let Err(error) = peers.mesh.send(&name, Body::Quota(request)) {
            log::debug!(
                issuer = name.as_str(), error:%;
                "quota: unused credit can't be given back; it stays used"
            );
        }
    }

    /// Handles a message of another instance; returns the response to a request.
    pub fn handle(&self, request: Request) -> Option<Response> {
        self.update();
        match request {
            Request::Take { tenant, share } => {
                let issues = self.issuer(&tenant, share).is_none();
                Some(match issues {
                    true => self.issue(&tenant, share),
                    false => Response::Refused,
                })
            }
            Request::Return {
                tenant,
                age_ms,
                share,
            } => {
                let now = Time::boot();
                let granted = now - Duration::from_millis(age_ms);
                let mut credits = self.credits.borrow_mut();
                credits.give_back(now, &tenant, granted, share);
                None
            }
        }
    }

    /// Returns the quotas of all tenants, and their credits as far as this instance issues them.
    pub fn report(&self) -> Report {
        let columns = [
            "tenant",
            "rate_per_s",
            "burst",
            "issuer",
            "credit",
            "denials",
        ];
        let mut report = Report::new(&columns);
        self.update();
        let table = self.table.borrow();
        let tenants = table.as_ref().and_then(|table| table.tenants());
        for tenant in tenants.map_or(&[][..], |tenants| tenants.tenants()) {
            let Some(quota) = tenant.quota else {
                let unlimited = ["-"; 5].map(str::to_owned);
                let row = [tenant.name.to_string()].into_iter().chain(unlimited);
                report.rows.push(row.collect());
                continue;
            };
            let issuer = self.issuer(&tenant.name, false);
            let issuer = match (issuer, self.snapshot()) {
                (Some((_, name)), _) => name.as_str().to_owned(),
                (None, Some((_, snapshot))) => snapshot.local().instance.as_str().to_owned(),
                (None, None) => "-".to_owned(),
            };
            let state = self.credits.borrow_mut().state(Time::boot(), &tenant.name);
            let text = |value: Option<String>| value.unwrap_or_else(|| "-".to_owned());
            report.rows.push(vec![
                tenant.name.to_string(),
                quota.rate.to_string(),
                quota.burst.to_string(),
                issuer,
                text(state.map(|state| format!("{:.1}", state.credit))),
                text(state.map(|state| state.denials.to_string())),
            ]);
        }
        report
    }
}

/// Returns whether no instance of another zone is in use although the platform lists some: they are all
/// dead, or this zone is cut off from them.
fn is_cut_off(snapshot: &Snapshot) -> bool {
    let zone = &snapshot.local().zone;
    let mut others = snapshot.peers().filter(|peer| peer.entry.zone != *zone);
    let in_use = |zone| !snapshot.live(zone).is_empty();
    let alone = !snapshot.zones().any(|other| other != zone && in_use(other));
    alone && others.any(|peer| peer.listed && peer.entry.state != State::Leaving)
}
