//! HTTP routes of the weight store.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use actix_web::{
    http::{
        header,
        StatusCode, //
    },
    rt::time,
    web::{
        self,
        Bytes,
        Data, //
    },
    HttpRequest,
    HttpResponse,
    HttpResponseBuilder, //
};
use futures_util::stream;

use super::{
    content,
    range::Part,
    Store, //
};
use crate::server::Connection;

/// Bytes generated and sent at a time.
const CHUNK_BYTES: u64 = 256 << 10;

pub(super) fn configure(app: &mut web::ServiceConfig) {
    app.route("/{path:.*}", web::get().to(get))
        .route("/{path:.*}", web::head().to(head));
}

async fn head(store: Data<Store>, request: HttpRequest) -> HttpResponse {
    let size = store.inner().config.files.get(request.path()).copied();
    let Some(size) = size else {
        return HttpResponse::NotFound().finish();
    };
    HttpResponse::Ok()
        .insert_header((header::ACCEPT_RANGES, "bytes"))
        .no_chunking(size)
        .streaming(stream::empty::<Result<Bytes, Infallible>>())
}

async fn get(store: Data<Store>, request: HttpRequest) -> HttpResponse {
    let path = request.path().to_owned();
    let Some(size) = store.receive(&path) else {
        return HttpResponse::NotFound().finish();
    };
    let header = request.headers().get(header::RANGE);
    let part = Part::from_header(header.and_then(|text| text.to_str().ok()), size);
    let (status, first, end) = match part {
        Part::Full => (StatusCode::OK, 0, size),
        Part::Bytes(first, last) => (StatusCode::PARTIAL_CONTENT, first, last + 1),
        Part::Unsatisfiable => {
            return HttpResponse::RangeNotSatisfiable()
                .insert_header((header::CONTENT_RANGE, format!("bytes */{size}")))
                .finish();
        }
    };
    if let Err(wait) = store.admit(end - first) {
        return HttpResponse::ServiceUnavailable()
            .insert_header((
                header::RETRY_AFTER,
                wait.as_secs_f64().ceil().max(1.0) as u64,
            ))
            .finish();
    }
    let mut response = HttpResponse::build(status);
    response.insert_header((header::ACCEPT_RANGES, "bytes"));
    if status == StatusCode::PARTIAL_CONTENT {
        let range = format!("bytes {first}-{}/{size}", end - 1);
        response.insert_header((header::CONTENT_RANGE, range));
    }
    send(
        response,
        store.into_inner(),
        path,
        (first, end),
        Connection::of(&request),
    )
}

/// Streams the bytes from `first` to before `end`.
fn send(
    mut response: HttpResponseBuilder,
    store: Arc<Store>,
    path: String,
    (first, end): (u64, u64),
    connection: Arc<Connection>,
) -> HttpResponse {
    let stop = store.inner().faults.break_after.map(|after| first + after);
    let parts = stream::unfold(first, move |at| {
        let (store, path, connection) = (Arc::clone(&store), path.clone(), Arc::clone(&connection));
        async move {
            if at >= end {
                return None;
            }
            if stop.is_some_and(|stop| at >= stop) {
                // Gives written data time to be sent before the connection is closed.
                time::sleep(Duration::from_millis(5)).await;
                match connection.abort().await {}
            }
            let next = (at + CHUNK_BYTES).min(end).min(stop.unwrap_or(end));
            store.inner().stats.bytes += next - at;
            let chunk = content(&path, at, (next - at) as usize);
            Some((Ok::<_, Infallible>(Bytes::from(chunk)), next))
        }
    });
    response
        .content_type("application/octet-stream")
        .no_chunking(end - first)
        .streaming(parts)
}

impl Store {
    /// Counts a request and returns the size of the file.
    fn receive(&self, path: &str) -> Option<u64> {
        let mut inner = self.inner();
        *inner.stats.requests.entry(path.to_owned()).or_default() += 1;
        inner.config.files.get(path).copied()
    }

    /// Applies the rate limit to a request; the error is the time to wait before a retry.
    fn admit(&self, bytes: u64) -> Result<(), Duration> {
        let mut inner = self.inner();
        let refused = inner.faults.refuse_next > 0;
        inner.faults.refuse_next = inner.faults.refuse_next.saturating_sub(1);
        if refused || !inner.bucket.take(bytes as f64) {
            inner.stats.refused += 1;
            return Err(inner.bucket.retry_delay());
        }
        Ok(())
    }
}
