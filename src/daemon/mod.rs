//! Assembles, starts and drains an instance.

mod inbound;
mod maintenance;
mod upstreams;

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        OnceLock, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use actix::{
    Actor,
    Addr, //
};
use actix_web::{
    dev::{
        ServerHandle,
        Service as _, //
    },
    http::ConnectionType,
    web,
    App as WebApp,
    HttpServer, //
};
use anyhow::Context;
use tokio::time::timeout;

use crate::{
    api::{
        self,
        refusals::Refusals,
        App, //
    },
    clock::Time,
    config::{
        self,
        Config,
        Kind, //
    },
    dispatch::{
        broker::Broker,
        Dispatcher,
        Target, //
    },
    executor::{
        self,
        gateway::Gateway as GenericGateway,
        overlay::Overlay,
        Shared, //
    },
    hash,
    ledger::{
        self,
        allocator::Allocator,
        quota::Sizing,
        Ledger, //
    },
    log::kafka,
    member::Roster,
    metrics::Metrics,
    name::Instance,
    peer::{
        self,
        Mesh, //
    },
    policy::pool,
    process::{
        listen,
        End, //
    },
    upstream::{
        chat,
        http,
        rest, //
    },
};

/// Gateway for calls, with the upstream clients of the daemon.
pub(crate) type Gateway = GenericGateway<chat::Client, rest::Client>;

/// Executors per instance; instances are small, and one thread carries thousands of calls.
const EXECUTOR_COUNT: usize = 2;

/// HTTP server workers if the settings specify none.
const DEFAULT_HTTP_WORKERS: usize = 2;

/// Timeout of an operation on the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the records that one read of the log requests.
const MAX_READ_BYTES: u64 = 4 << 20;

/// Timeout for appending the remaining records, for which no caller waits, to the log before the
/// instance stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that a request waits for a starting instance to catch up with the log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between checks for running calls while the instance drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running instance.
pub struct Daemon {
    app: App,
    server: ServerHandle,
    address: SocketAddr,
}

/// Returns the author name of the records that this process writes.
///
/// The name is unique per process: a restarted instance does not know the claims and tranches of
/// its previous process.
fn author_name(instance: &Instance) -> anyhow::Result<Instance> {
    let suffix: u32 = rand::random();
    Ok(Instance::try_from(format!("{instance}.{suffix:08x}"))?)
}

fn dispatch_targets(
    config: &Config,
    pool: &config::Pool,
) -> std::collections::BTreeMap<crate::name::Upstream, Target> {
    let local = pool
        .upstreams
        .iter()
        .filter(|upstream| upstream.zone == config.zone);
    let limits = match pool.kind {
        // The baseline sends every call immediately; the engines serve in order of arrival.
        _ if cfg!(feature = "baseline") => pool::Limits {
            initial: u32::MAX,
            most: u32::MAX,
        },
        Kind::Model => pool::Limits::default(),
        // A service answers immediately, so priorities do not depend on a small window.
        Kind::Tool | Kind::Service => pool::Limits {
            initial: 128,
            most: 1_024,
        },
    };
    let target = |upstream: &config::Upstream| Target {
        address: upstream.address.clone(),
        limits,
    };
    local
        .map(|upstream| (upstream.name.clone(), target(upstream)))
        .collect()
}

/// Returns the log address for this instance; hashing spreads the instances over all addresses.
fn log_address(config: &Config) -> &str {
    let hash = hash::stable(config.instance.as_str().as_bytes()) as usize;
    &config.log.addresses[hash % config.log.addresses.len()]
}

fn start_ledger(config: &Config, author: Instance) -> Ledger {
    let client = kafka::Client::new(kafka::Settings {
        url: format!("http://{}", log_address(config)),
        topic: config.log.topic.clone(),
        instance: author.clone(),
        zone: config.zone.clone(),
        connect_timeout: config.timings.connect,
        operation_timeout: LOG_TIMEOUT,
        max_read_bytes: MAX_READ_BYTES,
    });
    let settings = ledger::Settings {
        partitions: config.log.partitions,
        retention: config.log.retention,
        cache_bytes: config.memory.history_bytes,
        max_queued_records: config.memory.log_records,
        ..ledger::Settings::new(author)
    };
    Ledger::start(client, settings)
}

fn peer_settings(config: &Config) -> peer::Settings {
    let mut settings = peer::Settings::new(
        &config.cluster,
        config.instance.clone(),
        config.zone.clone(),
        config.listen.peers,
        config.peers.secret.expose(),
    );
    settings.address = Some(config.listen.advertised().to_string());
    settings.ping = config.timings.ping;
    settings.silence = config.timings.silence;
    settings.gossip = config.timings.heartbeat;
    settings
}

fn start_dispatcher(config: &Config) -> Addr<Dispatcher> {
    let pools = config.pools.iter();
    let pools = pools.map(|pool| (pool.name.clone(), dispatch_targets(config, pool)));
    let settings = pool::Settings {
        length: config.memory.queue_calls,
        per_customer: config.memory.customer_calls,
        ..pool::Settings::default()
    };
    Dispatcher::new(pools, &settings, rand::random()).start()
}

/// Listeners of an instance.
struct Listeners {
    callers: TcpListener,
    metrics: Option<TcpListener>,
    peers: tokio::net::TcpListener,
}

impl Listeners {
    /// Opens the listeners. A process before this one may hold the addresses until it has drained.
    async fn open(config: &Config) -> Result<Self, End> {
        let timings = &config.timings;
        // A drain waits for the calls, and then for their connections.
        let limit = timings.balancer_lag + 2 * timings.drain + FLUSH_TIMEOUT;
        let bind = |address| listen::bind(address, listen::BACKLOG);
        let open = |purpose, address| listen::open(purpose, address, limit, bind);
        let metrics = async {
            match config.listen.metrics {
                Some(address) => open("metrics", address).await.map(Some),
                None => Ok(None),
            }
        };
        let peers = listen::open("peers", config.listen.peers, limit, peer::listen);
        let (metrics, peers) = tokio::try_join!(metrics, peers)?;
        // Last, so that callers are refused, and can go elsewhere, as long as nothing serves them.
        let callers = open("callers", config.listen.callers).await?;
        Ok(Self {
            callers,
            metrics,
            peers,
        })
    }
}

impl Daemon {
    /// Starts an instance on the current actix thread.
    ///
    /// It becomes ready later, once it has caught up with the log or with a peer. Fails if a port
    /// can't be opened before a process that was there before must have ended.
    pub async fn start(config: Config) -> Result<Self, End> {
        let config = Arc::new(config);
        let listeners = Listeners::open(&config).await?;
        let author = author_name(&config.instance)?;
        log::info!(
            "daemon: starting instance {} in zone {} as author {author}",
            config.instance,
            config.zone
        );
        let ledger = start_ledger(&config, author);
        let address = config.listen.advertised().to_string();
        let roster = Roster::start(config.instance.clone(), config.zone.clone(), &address);
        let dispatcher = start_dispatcher(&config);
        let overlay = Overlay::default();
        let inbound_gateway = Arc::new(OnceLock::new());
        let handler = inbound::Inbound::new(
            inbound_gateway.clone(),
            dispatcher.clone(),
            ledger.clone(),
            overlay.clone(),
        );
        let mesh = Mesh::run(
            peer_settings(&config),
            listeners.peers,
            handler,
            roster.clone(),
        );
        let broker = Broker::new(
            config.instance.clone(),
            config.zone.clone(),
            roster.clone(),
            mesh.clone(),
            dispatcher.clone(),
        );
        let shared = Shared {
            quotas: Allocator::new(ledger.clone(), Sizing::default()),
            config: config.clone(),
            ledger,
            broker,
            roster,
            mesh,
            overlay,
            metrics: Metrics::new()?,
            running: Arc::new(AtomicUsize::new(0)),
            // Other instances may hold turns of a log outage that began before this start.
            last_outage: Arc::new(AtomicU64::new(Time::now().0)),
            last_maintenance: Arc::new(AtomicU64::new(Time::now().0)),
        };
        let connections = http::Settings {
            connect: config.timings.connect,
            idle: config.timings.idle,
            ..http::Settings::default()
        };
        let clients = move || {
            (
                chat::Client::new(connections),
                rest::Client::new(connections),
            )
        };
        let pool = executor::Pool::start(&shared, EXECUTOR_COUNT, clients);
        let gateway = Gateway::new(shared, pool);
        // Can't fail: the cell is set only here.
        let _ = inbound_gateway.set(gateway.clone());
        let app = App {
            gateway,
            dispatcher,
            refusals: Arc::new(Refusals::default()),
            ready: Arc::new(AtomicBool::new(false)),
            next_request: Arc::new(AtomicU64::new(1)),
        };
        maintenance::start(&app);
        upstreams::start(&app);
        let (server, address) = serve(&app, listeners.callers)?;
        if let Some(listener) = listeners.metrics {
            serve_metrics(&app, listener)?;
        }
        Ok(Self {
            app,
            server,
            address,
        })
    }

    /// Returns the address of the HTTP server for callers and operators.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the instance accepts new work.
    pub fn ready(&self) -> bool {
        self.app.ready.load(Ordering::Relaxed)
    }

    /// Returns the state shared by the HTTP handlers.
    pub fn app(&self) -> &App {
        &self.app
    }

    /// Stops the instance gracefully.
    ///
    /// Waits up to the configured drain time for calls in flight, then appends the remaining
    /// records to the log.
    pub async fn drain(self) {
        let shared = self.app.shared().clone();
        let config = shared.config.clone();
        log::info!("daemon: draining instance {}", config.instance);
        self.app.ready.store(false, Ordering::Relaxed);
        shared.roster.update(|view| view.leave(Time::now()));
        // The load balancer sends new requests until it has seen the readiness check fail.
        tokio::time::sleep(config.timings.balancer_lag).await;
        let deadline = Instant::now() + config.timings.drain;
        while shared.running.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.server.stop(true).await;
        shared.quotas.close();
        if !shared.ledger.flush(FLUSH_TIMEOUT).await {
            log::warn!("daemon: flush to the log timed out; stopping with unwritten records");
        }
        shared.mesh.stop();
        log::info!("daemon: stopped instance {}", config.instance);
    }
}

fn serve(app: &App, listener: TcpListener) -> anyhow::Result<(ServerHandle, SocketAddr)> {
    let config = app.shared().config.clone();
    let data = web::Data::new(app.clone());
    let server = HttpServer::new(move || {
        let (ready, ledger) = (data.ready.clone(), data.shared().ledger.clone());
        WebApp::new()
            .app_data(data.clone())
            .wrap_fn(move |request, service| {
                let ready = ready.load(Ordering::Relaxed);
                let ledger = ledger.clone();
                let is_probe = matches!(request.path(), "/livez" | "/readyz" | "/metrics");
                let response = service.call(request);
                async move {
                    if !is_probe && !ready && !ledger.caught_up() {
                        // A replica that has not caught up reports existing programs as unknown.
                        let _ = timeout(CATCH_UP_TIMEOUT, ledger.wait_caught_up()).await;
                    }
                    let mut response = response.await?;
                    if !ready {
                        // Callers must not reuse a connection that the shutdown is about to close.
                        let head = response.response_mut().head_mut();
                        head.set_connection_type(ConnectionType::Close);
                    }
                    Ok(response)
                }
            })
            .configure(api::configure)
    })
    // The head and the first event of a stream are two small writes; with Nagle's algorithm the
    // second waits up to 40 ms for the delayed acknowledgement of the first.
    .tcp_nodelay(true)
    .workers(config.listen.workers.unwrap_or(DEFAULT_HTTP_WORKERS))
    .disable_signals()
    .shutdown_timeout(config.timings.drain.as_secs())
    .listen(listener)
    .context("cannot serve callers")?;
    let address = server
        .addrs()
        .first()
        .copied()
        .unwrap_or(config.listen.callers);
    let server = server.run();
    let handle = server.handle();
    actix_web::rt::spawn(server);
    log::info!(
        "daemon: serving callers at {address} on {:?}",
        thread::current().id()
    );
    Ok((handle, address))
}

/// Serves the health checks and the metrics at a separate listener.
fn serve_metrics(app: &App, listener: TcpListener) -> anyhow::Result<()> {
    let data = web::Data::new(app.clone());
    let server = HttpServer::new(move || {
        WebApp::new()
            .app_data(data.clone())
            .configure(api::probe::configure)
    })
    .workers(1)
    .disable_signals()
    .listen(listener)
    .context("cannot serve metrics")?;
    actix_web::rt::spawn(server.run());
    Ok(())
}
