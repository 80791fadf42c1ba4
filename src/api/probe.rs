//! Health checks for the load balancer, and metrics.

use std::sync::atomic::Ordering;

use actix_web::{
    web::{
        self,
        ServiceConfig, //
    },
    HttpResponse,
};

use super::App;

/// Adds the routes.
pub fn configure(services: &mut ServiceConfig) {
    services
        .route("/livez", web::get().to(live))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(metrics));
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(app: web::Data<App>) -> HttpResponse {
    if app.ready.load(Ordering::Relaxed) {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

async fn metrics(app: web::Data<App>) -> HttpResponse {
    match app.shared().metrics.scrape() {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
