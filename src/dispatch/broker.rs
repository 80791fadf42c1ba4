//! Client of the dispatchers: requests an upstream from the local or a remote one.

use std::time::Duration;

use actix::Addr;
use tokio::{
    sync::oneshot,
    time::timeout, //
};

use crate::{
    clock::Time,
    executor::request::Reason,
    member::Roster,
    name::{
        Customer,
        Instance,
        Pool,
        Upstream,
        Zone, //
    },
    peer::{
        wire::Body,
        Mesh, //
    },
    policy::{
        call::{
            Call,
            Report, //
        },
        pool::Denial, //
    },
};

use super::{
    Acquire,
    Dispatcher,
    Done,
    Retry,
    Withdraw, //
};

/// Retry delay of a refusal when no dispatcher could decide.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handle that requests upstreams for the calls of this instance.
#[derive(Clone, Debug)]
pub struct Broker {
    instance: Instance,
    zone: Zone,
    roster: Roster,
    mesh: Mesh,
    local: Addr<Dispatcher>,
}

/// Dispatcher that issued a grant.
#[derive(Debug)]
enum Origin {
    Local(Addr<Dispatcher>),
    Remote(Mesh, Instance),
}

/// A call's slot on its dispatcher; withdrawn on drop.
#[derive(Debug)]
struct Slot {
    id: u64,
    origin: Option<Origin>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        match self.origin.take() {
            Some(Origin::Local(dispatcher)) => dispatcher.do_send(Withdraw { id: self.id }),
            Some(Origin::Remote(mesh, instance)) => {
                // An unreachable dispatcher has failed, or frees the slot when it finds this
                // instance gone or the lease expires.
                let _ = mesh.send(&instance, Body::Withdraw { grant: self.id });
            }
            None => {}
        }
    }
}

/// Permission to send one call; withdrawn if dropped without a report.
#[derive(Debug)]
pub struct Lease {
    /// The upstream.
    pub upstream: Upstream,
    /// Address of the upstream.
    pub address: String,
    slot: Slot,
}

impl Lease {
    /// Reports the result of the call.
    pub fn done(mut self, report: Report) {
        let id = self.slot.id;
        match self.slot.origin.take() {
            Some(Origin::Local(dispatcher)) => dispatcher.do_send(Done { id, report }),
            Some(Origin::Remote(mesh, instance)) => {
                let _ = mesh.send(&instance, Body::Done { grant: id, report });
            }
            None => {}
        }
    }
}

impl Broker {
    /// Creates a handle for calls of this instance.
    pub fn new(
        instance: Instance,
        zone: Zone,
        roster: Roster,
        mesh: Mesh,
        local: Addr<Dispatcher>,
    ) -> Self {
        Self {
            instance,
            zone,
            roster,
            mesh,
            local,
        }
    }

    /// Requests an upstream, in the local availability zone first, and waits for the decision.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the last availability zone that was tried.
    pub async fn acquire(&self, pool: &Pool, call: &Call) -> Result<Lease, Denial> {
        let snapshot = self.roster.snapshot();
        let mut verdict = self.acquire_in_zone(&self.zone, pool, call).await;
        for zone in snapshot.zones() {
            let no_upstream =
                matches!(&verdict, Err(denial) if denial.reason == Reason::NoUpstream);
            if !no_upstream {
                break;
            }
            if *zone != self.zone {
                verdict = self.acquire_in_zone(zone, pool, call).await;
            }
        }
        verdict
    }

    async fn acquire_in_zone(
        &self,
        zone: &Zone,
        pool: &Pool,
        call: &Call,
    ) -> Result<Lease, Denial> {
        let owner = self.roster.snapshot().dispatcher(zone, pool).cloned();
        match owner {
            Some(owner) if owner != self.instance => {
                let remote = self.acquire_remote(owner, pool, call).await;
                match remote {
                    Some(verdict) => verdict,
                    // A second queue for the pool costs efficiency, not correctness.
                    None if *zone == self.zone => self.acquire_local(pool, call).await,
                    None => Err(Denial {
                        reason: Reason::NoUpstream,
                        retry_after: RETRY_AFTER,
                    }),
                }
            }
            _ if *zone == self.zone => self.acquire_local(pool, call).await,
            _ => Err(Denial {
                reason: Reason::NoUpstream,
                retry_after: RETRY_AFTER,
            }),
        }
    }

    async fn acquire_local(&self, pool: &Pool, call: &Call) -> Result<Lease, Denial> {
        let (reply, verdict) = oneshot::channel();
        let request = Acquire {
            pool: pool.clone(),
            call: call.clone(),
            from: self.instance.clone(),
            reply,
        };
        let unavailable = Denial {
            reason: Reason::NotReady,
            retry_after: RETRY_AFTER,
        };
        let Ok(id) = self.local.send(request).await else {
            return Err(unavailable);
        };
        let slot = Slot {
            id,
            origin: Some(Origin::Local(self.local.clone())),
        };
        match verdict.await {
            Ok(Ok(grant)) => Ok(Lease {
                upstream: grant.upstream,
                address: grant.address,
                slot,
            }),
            Ok(Err(denial)) => Err(denial),
            Err(_) => Err(unavailable),
        }
    }

    /// Returns `None` if the dispatcher could not be reached.
    async fn acquire_remote(
        &self,
        owner: Instance,
        pool: &Pool,
        call: &Call,
    ) -> Option<Result<Lease, Denial>> {
        let body = Body::Ask {
            pool: pool.clone(),
            call: call.clone(),
        };
        let mut replies = self.mesh.open(&owner, body).ok()?;
        let remaining = call.deadline.since(Time::now());
        match timeout(remaining, replies.next()).await {
            Ok(Some(Ok(Body::Grant {
                grant,
                upstream,
                address,
            }))) => Some(Ok(Lease {
                upstream,
                address,
                slot: Slot {
                    id: grant,
                    origin: Some(Origin::Remote(self.mesh.clone(), owner)),
                },
            })),
            Ok(Some(Ok(Body::Deny {
                reason,
                retry_after_ms,
            }))) => Some(Err(Denial {
                reason,
                retry_after: retry_after_ms.map_or(RETRY_AFTER, Duration::from_millis),
            })),
            Ok(_) => None,
            Err(_) => Some(Err(Denial {
                reason: Reason::DeadlineUnreachable,
                retry_after: RETRY_AFTER,
            })),
        }
    }

    /// Takes a retry from the customer's budget on this instance; returns false if none is left.
    pub async fn retry(&self, pool: &Pool, customer: &Customer) -> bool {
        let retry = Retry {
            pool: pool.clone(),
            customer: customer.clone(),
        };
        self.local.send(retry).await.unwrap_or(false)
    }
}
