//! Handles the requests of other instances: about token accounts, placements of turns, permits,
//! origins of streams, crashes of upstreams, the configuration, tunnels to upstreams, and quotas of
//! tenants.

use std::rc::Rc;

use super::{
    configuration::Configurations,
    dispatcher::Dispatcher,
    history::client::Histories,
    origin::Origins,
    owner::{
        Request,
        Response, //
    },
    replica::Replica,
    reports::Reports,
    tenant::credit::Quotas,
    tunnel::Tunnels,
};
use crate::{
    clock::Time,
    log::Log,
    name::Instance,
    peer::{
        wire::Body,
        Handler,
        Responder, //
    },
};

/// Handles the requests of other instances.
pub struct Endpoint<L> {
    replica: Rc<Replica<L>>,
    dispatcher: Rc<Dispatcher>,
    origins: Rc<Origins>,
    reports: Rc<Reports>,
    tunnels: Rc<Tunnels>,
    quotas: Rc<Quotas>,
    configurations: Rc<Configurations>,
    histories: Option<Rc<Histories<L>>>,
}

impl<L> Endpoint<L> {
    /// Returns a handler of requests about accounts, placements, permits, origins of streams,
    /// crashes of upstreams, tunnels and quotas.
    pub fn new(
        replica: Rc<Replica<L>>,
        dispatcher: Rc<Dispatcher>,
        origins: Rc<Origins>,
        reports: Rc<Reports>,
        tunnels: Rc<Tunnels>,
        quotas: Rc<Quotas>,
    ) -> Self {
        Self {
            replica,
            dispatcher,
            origins,
            reports,
            tunnels,
            quotas,
            configurations: Rc::default(),
            histories: None,
        }
    }

    /// Answers requests for the configuration too.
    pub fn with_configurations(self, configurations: Rc<Configurations>) -> Self {
        Self {
            configurations,
            ..self
        }
    }

    /// Handles requests about kept turns too.
    pub fn with_histories(self, histories: Rc<Histories<L>>) -> Self {
        Self {
            histories: Some(histories),
            ..self
        }
    }
}

impl<L: Log + 'static> Handler for Endpoint<L> {
    fn handle(&self, from: Instance, body: Body, reply: Responder) {
        let request = match body {
            Body::Account(request) => request,
            Body::Dispatch(request) => {
                let dispatcher = self.dispatcher.clone();
                actix_web::rt::spawn(async move {
                    if let Some(placed) = dispatcher.handle(&from, request).await {
                        respond(reply, Body::Dispatched(placed));
                    }
                });
                return;
            }
            Body::Limits(messages) => return self.dispatcher.limiter().learn(messages),
            Body::ListLimits(service) => {
                let limits = self.dispatcher.limiter().list(&service);
                return respond(reply, Body::Limits(limits));
            }
            Body::Permit(request) => {
                let response = self.dispatcher.limiter().handle(request);
                return respond(reply, Body::Permitted(response));
            }
            Body::Reports(reports) => return self.reports.learn(reports),
            Body::FindConfiguration(version) => {
                let answer = match self.configurations.answer(Time::boot(), version) {
                    Some(newer) => Body::Configuration(newer),
                    None => Body::Empty,
                };
                return respond(reply, answer);
            }
            Body::OpenTunnel(upstream) => {
                let tunnels = self.tunnels.clone();
                actix_web::rt::spawn(async move {
                    let opened = tunnels.open(&upstream).await;
                    respond(reply, Body::Tunnel(opened));
                });
                return;
            }
            Body::Quota(request) => {
                if let Some(response) = self.quotas.handle(request) {
                    respond(reply, Body::Credited(response));
                }
                return;
            }
            Body::History(request) => {
                if let Some(histories) = self.histories.clone() {
                    actix_web::rt::spawn(async move {
                        let response = histories.handle(request).await;
                        respond(reply, Body::Histories(response));
                    });
                }
                return;
            }
            Body::ListReports => return respond(reply, Body::Reports(self.reports.list())),
            _ => return,
        };
        let histories = self.histories.clone();
        match request {
            Request::KeepOrigin(stream, beginning) => {
                self.origins.record(Time::monotonic(), stream, beginning);
            }
            Request::FindOrigin(stream) => {
                let answer = match self.origins.get(Time::monotonic(), stream) {
                    Some(beginning) => Response::Origin(beginning),
                    None => Response::Refused,
                };
                respond(reply, Body::Accounted(answer));
            }
            Request::AppendTurns { partition, records } => {
                actix_web::rt::spawn(async move {
                    let answer = match histories {
                        Some(histories) => histories.append_for_peer(partition, &records).await,
                        None => Response::Refused,
                    };
                    respond(reply, Body::Accounted(answer));
                });
            }
            Request::ReadTurns { partition, from } => {
                actix_web::rt::spawn(async move {
                    let answer = match histories {
                        Some(histories) => histories.read_for_peer(partition, from).await,
                        None => Response::Refused,
                    };
                    respond(reply, Body::Accounted(answer));
                });
            }
            request => {
                let replica = self.replica.clone();
                actix_web::rt::spawn(async move {
                    if let Some(answer) = replica.answer(&from, request).await {
                        respond(reply, Body::Accounted(answer));
                    }
                });
            }
        }
    }
}

fn respond(reply: Responder, answer: Body) {
    if reply.finish(answer).is_err() {
        log::debug!("peer: answer is dropped because the requester stopped waiting");
    }
}
