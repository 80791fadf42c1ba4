//! Control routes, and the network faults that apply per request.

use std::sync::Arc;

use actix_web::{
    body::MessageBody,
    dev::{
        ServiceRequest,
        ServiceResponse, //
    },
    middleware::Next,
    rt::time,
    web,
    Error,
    HttpResponse, //
};
use serde::Deserialize;

use super::{
    Connection,
    Endpoint,
    Outage,
    Standin, //
};

/// Header that carries the zone of the client.
const ZONE_HEADER: &str = "X-Zone";

/// Action on all established connections.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
enum Action {
    Mute,
    Close,
}

/// Replaces all faults of a stand-in and of its network.
pub(super) fn apply_faults<S: Standin>(state: &S, endpoint: &Endpoint, faults: S::Faults) {
    let network = S::network(&faults).clone();
    state.set_faults(faults);
    endpoint.set_faults(network);
}

/// Adds the control routes common to all stand-ins.
pub(super) fn routes<S: Standin>(app: &mut web::ServiceConfig) {
    app.route("/control/books", web::get().to(stats::<S>))
        .route("/control/faults", web::get().to(faults::<S>))
        .route("/control/faults", web::post().to(set_faults::<S>))
        .route("/control/connections", web::post().to(connections));
}

async fn stats<S: Standin>(state: web::Data<S>) -> HttpResponse {
    HttpResponse::Ok().json(state.stats())
}

async fn faults<S: Standin>(state: web::Data<S>) -> HttpResponse {
    HttpResponse::Ok().json(state.faults())
}

async fn set_faults<S: Standin>(
    state: web::Data<S>,
    endpoint: web::Data<Endpoint>,
    faults: web::Json<S::Faults>,
) -> HttpResponse {
    apply_faults(&**state, &endpoint, faults.into_inner());
    endpoint.wait_applied().await;
    HttpResponse::NoContent().finish()
}

async fn connections(endpoint: web::Data<Endpoint>, action: web::Json<Action>) -> HttpResponse {
    match action.into_inner() {
        Action::Mute => endpoint.mute_all(),
        Action::Close => endpoint.close_all(),
    }
    HttpResponse::NoContent().finish()
}

/// Middleware that delays requests and isolates zones; control routes are exempt.
pub(super) async fn network(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    if request.path().starts_with("/control/") {
        return next.call(request).await;
    }
    let zone = request
        .headers()
        .get(ZONE_HEADER)
        .and_then(|zone| zone.to_str().ok());
    let (outage, latency) = match request.app_data::<web::Data<Endpoint>>() {
        Some(endpoint) => (
            endpoint.faults().outage_for(zone),
            endpoint.faults().latency(),
        ),
        None => Default::default(),
    };
    let connection: Arc<Connection> = Connection::of(request.request());
    match outage {
        Some(Outage::Refuse) => match connection.abort().await {},
        Some(Outage::Silent) => std::future::pending::<()>().await,
        None => {}
    }
    if !latency.is_zero() {
        time::sleep(latency).await;
    }
    next.call(request).await
}
