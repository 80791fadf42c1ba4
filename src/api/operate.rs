//! Routes that show the state of the system to operators.

use std::collections::BTreeMap;

use actix_web::{
    web::{
        self,
        ServiceConfig, //
    },
    HttpResponse,
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    dispatch::Inspect,
    executor::{
        admit::refuse,
        request::Reason, //
    },
    name::{
        Customer,
        Program, //
    },
    policy::pool::Stats,
};

use super::App;

/// Maximum number of rows in a listing.
const MAX_ROWS: usize = 1_000;

/// Row of the listing of instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Instance {
    /// Name.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the peer port.
    pub address: String,
    /// Its status as seen by the answering instance.
    pub status: String,
    /// Whether it is the answering instance itself.
    pub own: bool,
}

/// Row of the listing of upstreams.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Upstream {
    /// Pool.
    pub pool: String,
    /// Name.
    pub upstream: String,
    /// Availability zone.
    pub zone: String,
    /// Address.
    pub address: String,
    /// Whether it is leaving and gets no new calls.
    pub leaving: bool,
    /// Calls in flight, if the answering instance dispatches for the pool.
    pub running: Option<u32>,
    /// Maximum number of concurrent calls, if the answering instance dispatches for the pool.
    pub window: Option<u32>,
    /// Load from other clients, if the answering instance dispatches for the pool.
    pub foreign: Option<u32>,
}

/// Row of the listing of programs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    /// Name.
    pub program: Program,
    /// Customer.
    pub customer: Customer,
    /// Kind of work.
    pub class: String,
    /// Committed turns.
    pub turns: u32,
    /// Tokens of history.
    pub tokens: u64,
    /// Money spent, in micro-units.
    pub spent_micros: u64,
    /// Instance that owns the program.
    pub home: Option<String>,
}

/// Adds the routes.
pub fn configure(services: &mut ServiceConfig) {
    services
        .route("/v1/instances", web::get().to(instances))
        .route("/v1/upstreams", web::get().to(upstreams))
        .route("/v1/queues", web::get().to(queues))
        .route("/v1/programs", web::get().to(programs))
        .route("/v1/refusals", web::get().to(refusals))
        .route("/v1/refusals/{request}", web::get().to(refusal));
}

async fn instances(app: web::Data<App>) -> HttpResponse {
    let snapshot = app.shared().roster.snapshot();
    let local = snapshot.local();
    let mut rows = vec![Instance {
        instance: local.instance.to_string(),
        zone: local.zone.to_string(),
        address: local.address.to_string(),
        status: format!("{:?}", local.state).to_lowercase(),
        own: true,
    }];
    rows.extend(snapshot.peers().map(|peer| Instance {
        instance: peer.entry.instance.to_string(),
        zone: peer.entry.zone.to_string(),
        address: peer.entry.address.to_string(),
        status: format!("{:?}", peer.status).to_lowercase(),
        own: false,
    }));
    HttpResponse::Ok().json(rows)
}

async fn stats(app: &App) -> BTreeMap<crate::name::Pool, Stats> {
    app.dispatcher.send(Inspect).await.unwrap_or_default()
}

async fn upstreams(app: web::Data<App>) -> HttpResponse {
    let stats = stats(&app).await;
    let snapshot = app.shared().roster.snapshot();
    let mut rows = Vec::new();
    for pool in &app.shared().config.pools {
        for upstream in &pool.upstreams {
            let found = stats
                .get(&pool.name)
                .and_then(|s| s.upstreams.get(&upstream.name));
            rows.push(Upstream {
                pool: pool.name.to_string(),
                upstream: upstream.name.to_string(),
                zone: upstream.zone.to_string(),
                address: upstream.address.clone(),
                leaving: snapshot.is_leaving(&pool.name, &upstream.name),
                running: found.map(|stats| stats.running),
                window: found.map(|stats| stats.window),
                foreign: found.map(|stats| stats.foreign),
            });
        }
    }
    HttpResponse::Ok().json(rows)
}

async fn queues(app: web::Data<App>) -> HttpResponse {
    HttpResponse::Ok().json(stats(&app).await)
}

/// Query parameters of the listing of programs.
#[derive(Debug)]
#[derive(Deserialize)]
struct Filter {
    customer: Option<String>,
}

async fn programs(app: web::Data<App>, filter: web::Query<Filter>) -> HttpResponse {
    let snapshot = app.shared().roster.snapshot();
    let state = app.shared().ledger.state();
    let is_selected = |customer: &Customer| {
        let name = filter.customer.as_deref();
        name.is_none_or(|name| name == customer.as_str())
    };
    let rows: Vec<_> = state
        .programs()
        .filter(|(_, program)| is_selected(program.customer()))
        .take(MAX_ROWS)
        .map(|(name, program)| Row {
            program: name.clone(),
            customer: program.customer().clone(),
            class: program.class().to_string(),
            turns: program.next(),
            tokens: program.tokens(),
            spent_micros: program.spent().0,
            home: snapshot.owner(name).map(|owner| owner.to_string()),
        })
        .collect();
    HttpResponse::Ok().json(rows)
}

async fn refusals(app: web::Data<App>) -> HttpResponse {
    HttpResponse::Ok().json(app.refusals.recent(MAX_ROWS))
}

async fn refusal(app: web::Data<App>, path: web::Path<String>) -> HttpResponse {
    match app.refusals.find(&path) {
        Some(problem) => HttpResponse::Ok().json(problem),
        None => {
            let detail = format!("this instance has no refusal of request {path}");
            let refusal = refuse(Reason::NotFound, detail, None);
            app.refuse(&app.request_id(), &refusal)
        }
    }
}
