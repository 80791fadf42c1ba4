//! Listeners for callers, and for readiness checks, metrics and views for operators.

use std::{
    cell::Cell,
    future::{
        poll_fn,
        Future, //
    },
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use actix_http::{
    header::{
        HeaderMap,
        HeaderValue, //
    },
    HttpService,
    Protocol,
    RequestHead,
    ResponseHead, //
};
use actix_service::{
    map_config,
    IntoServiceFactory,
    Service,
    ServiceFactory, //
};
use actix_web::{
    body::{
        BoxBody,
        MessageBody as _, //
    },
    dev::{
        AppConfig,
        ServiceRequest,
        ServiceResponse, //
    },
    http::{
        header,
        StatusCode,
        Version, //
    },
    middleware::{
        from_fn,
        Next, //
    },
    web::{
        self,
        Data, //
    },
    App,
    HttpRequest,
    HttpResponse,
    HttpResponseBuilder, //
};
use bytes::Bytes;
use futures_util::{
    stream::unfold,
    StreamExt as _, //
};
use socket2::SockRef;
use tokio::{
    net::TcpListener,
    time::timeout_at, //
};

use super::{
    cache,
    call::{
        Call,
        Prompt, //
    },
    callers::{
        self,
        body::{
            Buffer,
            Reply, //
        },
        Charge,
        Connection,
        Connections,
        Stream, //
    },
    dialect::Dialect,
    fingerprint::Fingerprint,
    forward::{
        is_hop_by_hop,
        Answer,
        Job,
        Refusal,
        HELD_REASON,
        MAX_ANSWER_BYTES,
        STOPPING_REASON, //
    },
    history,
    operate::{
        self,
        Refused, //
    },
    proof::Sends,
    relay::{
        Interruption,
        Relay,
        Started, //
    },
    route::{
        Kind,
        Route,
        Table, //
    },
    state::{
        Busy,
        Gateway, //
    },
    tenant::Tenant,
};
use crate::{
    clock::Time,
    log::Log,
    process::listen, //
};

/// Maximum keep-alive time of idle connections of callers; the limit of the configuration is shorter.
const KEEP_ALIVE: Duration = Duration::from_secs(300);

/// Maximum times that other tasks run before the next connection is accepted.
const MAX_YIELDS: usize = 64;

/// Time after which callers retry while the instance has no configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which callers retry while their requests take too much memory; other instances may have
/// more left.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time for which a caller waits if it states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// State that handlers share; they all run on one thread.
type Shared<D, L> = Data<Rc<Gateway<D, L>>>;

/// Opens a listener.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::from_std(listen::bind(address, listen::BACKLOG)?)
}

/// Serves callers; never returns unless the HTTP service can't be created.
pub async fn serve_callers<D: Dialect, L: Log + 'static>(
    gateway: Rc<Gateway<D, L>>,
    listener: TcpListener,
) -> anyhow::Result<()> {
    let state = Data::new(gateway.clone());
    let connections = gateway.callers.clone();
    let app = App::new()
        .app_data(state)
        .default_service(web::to(handle::<D, L>))
        .wrap(from_fn(account));
    accept(listener, connections, app, move || gateway.closed()).await
}

/// Serves readiness checks, metrics and views for operators; never returns unless the HTTP service can't be created.
pub async fn serve_operators<D: Dialect, L: Log + 'static>(
    gateway: Rc<Gateway<D, L>>,
    listener: TcpListener,
) -> anyhow::Result<()> {
    let connections = gateway.callers.clone();
    let state = Data::new(gateway);
    let app = App::new()
        .app_data(state)
        .route(D::READINESS, web::get().to(ready::<D, L>))
        .route("/metrics", web::get().to(metrics::<D, L>))
        .configure(operate::configure::<D, L>)
        .wrap(from_fn(account));
    accept(listener, connections, app, std::future::pending::<()>).await
}

/// Accepts connections on the current thread.
///
/// An instance has half a core, so more worker threads would only add context switches.
async fn accept<F, S, C>(
    listener: TcpListener,
    connections: Rc<Connections>,
    app: F,
    closed: impl Fn() -> C + 'static,
) -> anyhow::Result<()>
where
    C: Future<Output = ()> + 'static,
    F: IntoServiceFactory<S, actix_http::Request> + 'static,
    S: ServiceFactory<
            actix_http::Request,
            Config = AppConfig,
            Response = ServiceResponse<Reply<BoxBody>>,
            Error = actix_web::Error,
            InitError = (),
        > + 'static,
    S::Future: 'static,
    S::Service: 'static,
{
    let service = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        // The limits of the configuration apply in its place.
        .client_request_timeout(Duration::ZERO)
        .on_connect_ext(|stream: &Stream, data| {
            data.insert(stream.connection().clone());
        })
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(closed)
        .finish(map_config(app, |()| AppConfig::default()))
        .new_service(())
        .await
        .map_err(|()| anyhow::anyhow!("the HTTP service can't be created"))?;
    let service = Rc::new(service);
    // Connections that are not accepted yet have it; the kernel's default holds without it.
    let window = connections.first_window(listen::BACKLOG.unsigned_abs() as usize);
    let _ = SockRef::from(&listener).set_recv_buffer_size(window);
    loop {
        // Connections that are closed in favour of new ones end as their tasks run.
        for _ in 0..MAX_YIELDS {
            if !connections.is_full() {
                break;
            }
            tokio::task::yield_now().await;
        }
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(
                    error:%;
                    "front: connection of a caller can't be accepted; retrying after a pause"
                );
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        // Without it a connection only is slower.
        let _ = socket.set_nodelay(true);
        let stream = Stream::new(socket, &connections);
        let connection = stream.connection().clone();
        let served = service.call((stream, Protocol::Http1, Some(peer)));
        actix_web::rt::spawn(async move {
            if let Err(error) = callers::serve(connection, served).await {
                log::debug!(error:%; "front: connection of a caller failed");
            }
        });
    }
}

/// Charges the connection of a request for it and its answer until the answer is written.
async fn account(
    request: ServiceRequest,
    next: Next<BoxBody>,
) -> Result<ServiceResponse<Reply<BoxBody>>, actix_web::Error> {
    let head_bytes = head_bytes(request.head());
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let open = connection(request.request()).begin(head_bytes, chunked);
    let response = next.call(request).await?;
    Ok(response.map_body(|_, body| Reply::new(body, open)))
}

/// Returns the connection on which a request arrived.
fn connection(request: &HttpRequest) -> Rc<Connection> {
    let connection = request.conn_data::<Rc<Connection>>();
    connection.expect("each connection has an account").clone()
}

async fn ready<D: Dialect, L: Log + 'static>(gateway: Shared<D, L>) -> HttpResponse {
    match gateway.ready() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn metrics<D: Dialect, L: Log + 'static>(gateway: Shared<D, L>) -> HttpResponse {
    match gateway.metrics.scrape() {
        Ok(text) => HttpResponse::Ok().content_type("text/plain").body(text),
        Err(error) => {
            log::error!(error:%; "metrics: metrics can't be encoded; the scrape fails");
            HttpResponse::InternalServerError().finish()
        }
    }
}

async fn handle<D: Dialect, L: Log + 'static>(
    gateway: Shared<D, L>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let gateway = gateway.get_ref().clone();
    let arrived = Instant::now();
    let sends = Sends::default();
    let connection = connection(&request);
    let answered = tokio::select! {
        biased;
        answered = answer(&gateway, &request, payload, &sends, &connection) => answered,
        closing = connection.wait_closing() => {
            Err(Refusal::after(&sends, closing.reason(), MEMORY_RETRY_AFTER))
        }
        () = gateway.grace.ended() => Err(Refusal::stopping(&sends)),
    };
    let answered = match answered {
        Ok(response) if request.version() < Version::HTTP_11 => tokio::select! {
            biased;
            completed = complete(response, &connection) => completed,
            closing = connection.wait_closing() => Err(Refusal::unknown(closing.reason())),
        },
        answered => answered,
    };
    answered.unwrap_or_else(|refusal| refuse(&gateway, &request, &refusal, arrived))
}

/// Waits for the whole body, so that the answer gets a length.
///
/// HTTP/1.0 has no chunks: a stream would end with its connection, which also ends if the stream breaks
/// off or the process is killed.
async fn complete(
    response: HttpResponse,
    connection: &Rc<Connection>,
) -> Result<HttpResponse, Refusal> {
    let (response, mut body) = response.into_parts();
    let mut whole = connection.charge(0).answer_buffer();
    while let Some(part) = poll_fn(|cx| Pin::new(&mut body).poll_next(cx)).await {
        let part = part.map_err(|_| Refusal::unknown("stream_cut"))?;
        if whole.len() + part.len() > MAX_ANSWER_BYTES {
            return Err(Refusal::unknown("stream_too_long"));
        }
        whole.push(part);
    }
    // The answer with a length is charged again, before anything else runs.
    let (whole, _) = whole.finish();
    Ok(response.set_body(BoxBody::new(whole)))
}

fn refuse<D: Dialect, L: Log + 'static>(
    gateway: &Gateway<D, L>,
    request: &HttpRequest,
    refusal: &Refusal,
    arrived: Instant,
) -> HttpResponse {
    gateway.metrics.refused(refusal.reason);
    let call = D::call(request.headers());
    let table = gateway.table();
    let key = call.as_ref().ok().map(|call| call.credential.as_ref());
    let key = key.and_then(Result::ok);
    let tenant = table.as_ref().zip(key);
    let tenant = tenant.and_then(|(table, key)| table.tenant_of_key(key));
    if let Some(tenant) = tenant {
        let outcome = refusal.reason;
        gateway.metrics.tenant_request(&tenant.name, outcome);
    }
    let id = call.as_ref().map_or("", |call| &*call.id);
    let program = call.as_ref().ok().and_then(|call| call.program.as_ref());
    let program = program.map_or("", |program| &*program.id);
    let (status, reason) = (refusal.status.as_u16(), refusal.reason);
    let version = table.as_ref().map_or(0, |table| table.version());
    let took = arrived.elapsed();
    gateway.refusals.record(Refused {
        time: Time::now(),
        request: id.into(),
        program: program.into(),
        status,
        reason,
        retry_after: refusal.retry_after,
        took,
        version,
    });
    if gateway.log_throttle.allow(Time::monotonic()) {
        let tenant = tenant.map_or("", |tenant| &*tenant.name);
        let took_ms = took.as_millis() as u64;
        let retry_after_ms = refusal
            .retry_after
            .map_or(0, |wait| wait.as_millis() as u64);
        log::info!(
            request = id, tenant, program, status, reason, version, took_ms, retry_after_ms;
            "front: request is refused"
        );
    }
    let mut response = HttpResponse::build(refusal.status);
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        response.insert_header((header::RETRY_AFTER, seconds));
    }
    close_unless_ready(gateway, &mut response);
    if connection(request).closing().is_some() {
        response.force_close();
    }
    response.body(refusal.reason)
}

/// Closes the connection after the answer if the balancer should send no more callers here.
fn close_unless_ready<D, L: Log + 'static>(
    gateway: &Gateway<D, L>,
    response: &mut HttpResponseBuilder,
) {
    if !gateway.ready() {
        response.force_close();
    }
}

async fn answer<D: Dialect, L: Log + 'static>(
    gateway: &Rc<Gateway<D, L>>,
    request: &HttpRequest,
    payload: web::Payload,
    sends: &Sends,
    connection: &Rc<Connection>,
) -> Result<HttpResponse, Refusal> {
    let arrived = Instant::now();
    let busy = Busy::new(gateway);
    let headers = request.headers();
    let Some(table) = gateway.table() else {
        return Err(Refusal::after(sends, "starting", STARTING_RETRY_AFTER));
    };
    if headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH)
    {
        return Err(Refusal::invalid(StatusCode::BAD_REQUEST, "two_lengths"));
    }
    let limits = table.limits();
    if head_bytes(request.head()) > limits.head {
        return Err(Refusal::invalid(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head_too_long",
        ));
    }
    let invalid = |_| Refusal::invalid(StatusCode::BAD_REQUEST, "invalid_header");
    let call = D::call(headers).map_err(invalid)?;
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let (table, route) = find_route(gateway, table, host.unwrap_or(""), request.path()).await?;
    authenticate(gateway, &table, &route, &call)?;
    let limit = limits.body;
    if announced_bytes(headers).is_some_and(|bytes| bytes > limit as u64) {
        return Err(body_too_long());
    }
    let timeout = call.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = arrived + timeout;
    let (body, memory) = read(payload, limit, connection, deadline).await?;
    connection.finish_body(sends);
    let complete = Instant::now();
    // The body may have taken long to arrive, and the key may have been revoked since.
    let latest = gateway.table().unwrap_or_else(|| table.clone());
    let tenant = authenticate(gateway, &latest, &route, &call)?;
    let (body, turn) = match route.retention {
        Some(retention) => {
            let tenant = tenant.as_ref().map(|tenant| &tenant.name);
            open_turn(gateway, &call, tenant, retention, body, limit).await?
        }
        None => (body, None),
    };
    let mut memory = memory.unwrap_or_else(|| connection.charge(0));
    memory.resize(body.len());
    let service = route.service(key(&call)).clone();
    let engine = table
        .service(&service)
        .and_then(|service| service.engine.as_ref());
    let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event);
    let cache_tokens = engine.map_or(cache::DEFAULT_CAPACITY, |engine| engine.cache_tokens);
    let job = Job {
        prefixes: call
            .prompt
            .as_ref()
            .map(Prompt::prefixes)
            .unwrap_or_default(),
        fingerprint: Fingerprint::new(request.method(), host.unwrap_or(""), request.uri(), &body),
        call,
        route,
        service,
        tenant,
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers: end_to_end(headers),
        body,
        turn,
        cache_tokens,
        arrived,
        complete,
        deadline,
        version: table.version(),
        inputs: Cell::default(),
        sends: sends.clone(),
        memory,
        busy,
    };
    gateway.reports.sync().await;
    if let Some(left) = gateway.reports.held(&job.fingerprint) {
        return Err(Refusal::held(sends, left));
    }
    if gateway.grace.is_late(&job.route, job.deadline) {
        return Err(Refusal::stopping(sends));
    }
    let Some(tenant) = job.tenant.clone() else {
        return forward(gateway, job, tokens_per_event).await;
    };
    let credit = gateway.quotas.take(&tenant).await;
    let credit = credit.map_err(|fault| Refusal::without_credit(sends, fault))?;
    let answered = forward(gateway, job, tokens_per_event).await;
    match (&answered, credit) {
        (Ok(_), _) => gateway.metrics.tenant_request(&tenant.name, "admitted"),
        (Err(refusal), Some(credit)) if refusal.promises_not_run() => {
            gateway.quotas.give_back(credit);
        }
        (Err(_), _) => {}
    }
    answered
}

/// Sends a request to an upstream and starts the answer.
async fn forward<D: Dialect, L: Log + 'static>(
    gateway: &Rc<Gateway<D, L>>,
    job: Job<D, L>,
    tokens_per_event: u32,
) -> Result<HttpResponse, Refusal> {
    let (route, sends, deadline) = (job.route.clone(), job.sends.clone(), job.deadline);
    let held = gateway.reports.wait_held(job.fingerprint);
    let given_up = async {
        tokio::select! {
            () = held => Refusal::unknown(HELD_REASON),
            () = gateway.grace.late(&sends, &route, deadline) => Refusal::stopping(&sends),
        }
    };
    match route.kind {
        Kind::Streaming { .. } => {
            let start = Relay::start(gateway.clone(), job, tokens_per_event.into());
            stream(gateway, unless(given_up, start).await?)
        }
        Kind::Idempotent | Kind::Once => {
            let answer = unless(given_up, gateway.call(&job)).await?;
            if answer.head.status.is_success() {
                gateway.grace.record(&route, job.complete.elapsed());
            }
            gateway.metrics.record_total(job.arrived.elapsed());
            gateway.log_answer(&job, answer.head.status.as_u16(), &answer.server.id);
            Ok(pass_on::<D, L>(gateway, answer))
        }
    }
}

/// Returns the tenant of a request, or the refusal if it needs a key and has no valid one.
fn authenticate<D, L>(
    gateway: &Gateway<D, L>,
    table: &Table,
    route: &Route,
    call: &Call,
) -> Result<Option<Rc<Tenant>>, Refusal> {
    match table.authenticate(route, &call.credential) {
        Ok(tenant) => Ok(tenant.cloned()),
        Err(reason) => {
            gateway.metrics.refused_key(reason);
            Err(Refusal::invalid(StatusCode::UNAUTHORIZED, reason))
        }
    }
}

/// Returns the route of a request, and the configuration that has it. If the request needs a key, it
/// is the configuration that was read since the latest pause of the process.
async fn find_route<D, L>(
    gateway: &Gateway<D, L>,
    mut table: Rc<Table>,
    host: &str,
    path: &str,
) -> Result<(Rc<Table>, Rc<Route>), Refusal> {
    let no_route = || Refusal::invalid(StatusCode::NOT_FOUND, "no_route");
    let mut route = table.route(host, path).ok_or_else(no_route)?.clone();
    if table.tenants().is_some() && !route.public {
        table = gateway.fresh_table().await.unwrap_or(table);
        route = table.route(host, path).ok_or_else(no_route)?.clone();
    }
    Ok((table, route))
}

/// Returns the prompt of a turn on a route that keeps turns, and the turn.
async fn open_turn<D: Dialect, L: Log + 'static>(
    gateway: &Gateway<D, L>,
    call: &Call,
    tenant: Option<&Arc<str>>,
    retention: Duration,
    input: Bytes,
    limit: usize,
) -> Result<(Bytes, Option<history::client::Open>), Refusal> {
    let invalid = Refusal::invalid;
    let unavailable = || {
        let retry_after = history::client::RETRY_AFTER;
        Refusal::after(&Sends::default(), "turn_unavailable", retry_after)
    };
    let histories = gateway.histories.get().ok_or_else(unavailable)?;
    match histories.open(call, tenant, retention, input, limit).await {
        Ok((prompt, turn)) => Ok((prompt, Some(turn))),
        Err(history::client::Refused::Invalid) => {
            Err(invalid(StatusCode::BAD_REQUEST, "invalid_header"))
        }
        Err(history::client::Refused::Unknown) => {
            Err(invalid(StatusCode::NOT_FOUND, "unknown_turn"))
        }
        Err(history::client::Refused::TooLong) => {
            Err(invalid(StatusCode::PAYLOAD_TOO_LARGE, "chain_too_long"))
        }
        Err(history::client::Refused::Unavailable) => Err(unavailable()),
    }
}

/// Waits for the start of an answer, and gives it up if there is a reason to refuse the request.
async fn unless<T>(
    given_up: impl Future<Output = Refusal>,
    answer: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        answer = answer => answer,
        refusal = given_up => Err(refusal),
    }
}

/// Returns the hash that selects the service of a split route; requests of one session go to the
/// same service.
fn key(call: &Call) -> u64 {
    let session = call
        .program
        .as_ref()
        .and_then(|program| program.session.as_ref());
    crate::hash::stable(session.unwrap_or(&call.id).as_bytes())
}

/// Reads a body until the time at which the request is no longer of use.
async fn read(
    mut payload: web::Payload,
    max_bytes: usize,
    connection: &Rc<Connection>,
    deadline: Instant,
) -> Result<(Bytes, Option<Charge>), Refusal> {
    let cut = |_| Refusal::invalid(StatusCode::BAD_REQUEST, "body_cut");
    let whole = async {
        let mut buffer = Buffer::new(connection.charge(0));
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(cut)?;
            if buffer.len() + chunk.len() > max_bytes {
                return Err(body_too_long());
            }
            connection.receive_chunk(chunk.len());
            buffer.push(chunk);
        }
        Ok(buffer.finish())
    };
    let late = |_| Refusal::invalid(StatusCode::REQUEST_TIMEOUT, "body_timeout");
    timeout_at(deadline.into(), whole).await.map_err(late)?
}

fn body_too_long() -> Refusal {
    Refusal::invalid(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long")
}

/// Returns the length of a body that a head states.
fn announced_bytes(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Returns the length of a head, without spaces that mean nothing.
fn head_bytes(head: &RequestHead) -> usize {
    let first = head.method.as_str().len()
        + head
            .uri
            .path_and_query()
            .map_or(1, |path| path.as_str().len())
        + " HTTP/1.1\r\n ".len();
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    first + headers.sum::<usize>() + "\r\n".len()
}

/// Returns the headers that don't apply to one connection only.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect::<Vec<_>>();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !named.iter().any(|other| other == name.as_str()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Starts an answer with the status and headers of an upstream's answer.
fn start_response<D: Dialect, L: Log + 'static>(
    gateway: &Gateway<D, L>,
    head: &ResponseHead,
) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(head.status);
    for (name, value) in &head.headers {
        if !is_hop_by_hop(name) && !D::internal(name) {
            response.append_header((name.clone(), value.clone()));
        }
    }
    close_unless_ready(gateway, &mut response);
    response
}

fn pass_on<D: Dialect, L: Log + 'static>(gateway: &Gateway<D, L>, answer: Answer) -> HttpResponse {
    gateway.metrics.answered("whole");
    start_response(gateway, &answer.head).body(answer.body)
}

fn stream<D: Dialect, L: Log + 'static>(
    gateway: &Rc<Gateway<D, L>>,
    started: Started<D, L>,
) -> Result<HttpResponse, Refusal> {
    let (head, relay) = match started {
        Started::Stream(head, relay) => (head, relay),
        Started::Answer(answer) => return Ok(pass_on::<D, L>(gateway, answer)),
    };
    gateway.metrics.answered("stream");
    let state = (relay, Box::pin(gateway.grace.ended()));
    let events = unfold(state, |(mut relay, mut ended)| async move {
        let next = tokio::select! {
            biased;
            next = relay.next() => next,
            () = &mut ended => Err(Interruption(STOPPING_REASON)),
        };
        match next {
            Ok(Some(event)) => Some((Ok(event), (relay, ended))),
            Ok(None) => None,
            Err(Interruption(reason)) => {
                let request = relay.request();
                log::warn!(
                    request, reason;
                    "front: stream can't be resumed; closing the caller's connection"
                );
                // The HTTP service writes what it has before it polls again, but not after an error.
                tokio::task::yield_now().await;
                Some((Err(std::io::Error::other(reason)), (relay, ended)))
            }
        }
    });
    let mut response = start_response(gateway, &head);
    if !head.headers.contains_key(header::CONTENT_TYPE) {
        response.insert_header((
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        ));
    }
    Ok(response.streaming(Box::pin(events)))
}
