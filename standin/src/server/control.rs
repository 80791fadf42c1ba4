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
    Link,
    Outage,
    Standin,
    Wire, //
};

/// Header that carries the zone of the client.
const ZONE: &str = "X-Zone";

/// Action on all established connections.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
enum Action {
    Mute,
    Close,
}

/// Replaces all faults of a stand-in and of its network.
pub(super) fn apply<S: Standin>(state: &S, wire: &Wire, faults: S::Faults) {
    let network = S::network(&faults).clone();
    state.set_faults(faults);
    wire.set(network);
}

/// Adds the control routes common to all stand-ins.
pub(super) fn routes<S: Standin>(app: &mut web::ServiceConfig) {
    app.route("/control/books", web::get().to(books::<S>))
        .route("/control/faults", web::get().to(faults::<S>))
        .route("/control/faults", web::post().to(set_faults::<S>))
        .route("/control/connections", web::post().to(connections));
}

async fn books<S: Standin>(state: web::Data<S>) -> HttpResponse {
    HttpResponse::Ok().json(state.books())
}

async fn faults<S: Standin>(state: web::Data<S>) -> HttpResponse {
    HttpResponse::Ok().json(state.faults())
}

async fn set_faults<S: Standin>(
    state: web::Data<S>,
    wire: web::Data<Wire>,
    faults: web::Json<S::Faults>,
) -> HttpResponse {
    apply(&**state, &wire, faults.into_inner());
    wire.settled().await;
    HttpResponse::NoContent().finish()
}

async fn connections(wire: web::Data<Wire>, action: web::Json<Action>) -> HttpResponse {
    match action.into_inner() {
        Action::Mute => wire.mute_all(),
        Action::Close => wire.close_all(),
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
        .get(ZONE)
        .and_then(|zone| zone.to_str().ok());
    let (outage, latency) = match request.app_data::<web::Data<Wire>>() {
        Some(wire) => (wire.faults().outage_of(zone), wire.faults().latency()),
        None => Default::default(),
    };
    let link: Arc<Link> = Link::of(request.request());
    match outage {
        Some(Outage::Refuse) => match link.abort().await {},
        Some(Outage::Silent) => std::future::pending::<()>().await,
        None => {}
    }
    if !latency.is_zero() {
        time::sleep(latency).await;
    }
    next.call(request).await
}
