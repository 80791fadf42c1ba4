//! Runs one instance and its stand-ins in this process and shows the life cycle of a program.
//!
//! `cargo run --release --example quickstart`; exits with an error if a step fails.

use std::{
    net::TcpListener,
    time::{
        Duration,
        Instant, //
    },
};

use anyhow::{
    bail,
    ensure,
    Context,
    Result, //
};
use futures_util::StreamExt as _;
use gypsumlever::{
    config::Config,
    ctl,
    daemon::Daemon, //
};
use serde_json::{
    json,
    Value, //
};
use standin::{
    engine,
    list,
    log,
    service, //
};

/// Maximum duration of the demonstration and of each request.
const TIMEOUT: Duration = Duration::from_secs(30);

const CONTRACT: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/examples/quickstart/contract.yaml"
);

#[actix_web::main]
async fn main() -> Result<()> {
    let demonstration = tokio::time::timeout(TIMEOUT, show());
    demonstration.await.context("the demonstration timed out")?
}

/// Runs all steps; returns the error of the first one that fails.
pub async fn show() -> Result<()> {
    let start = Instant::now();
    step("Start stand-ins for the platform's log and list, a model engine and a service.");
    let log = log::start(log::Config::default())?;
    let list = list::start(list::Config::default())?;
    let engine = engine::start(engine::Config {
        speed: 10.0,
        ..engine::Config::default()
    })?;
    let service = service::start(service::Config::default())?;
    let (engine_at, service_at) = (engine.address(), service.address());
    println!("engine {engine_at}, service {service_at}");

    step("Start one instance of gypsumleverd.");
    let peers = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let text = format!(
        "
cluster: quickstart
instance: entry
zone: cairo-a
zones: [cairo-a]
listen: {{ callers: \"127.0.0.1:0\", peers: \"{peers}\", workers: 1 }}
peers: {{ secret_env: GYPSUMLEVER_PEER_SECRET }}
log: {{ addresses: [\"{}\"] }}
list: {{ address: \"{}\" }}
pools:
  - name: saddle-advice
    kind: model
    prices: {{ prompt_micros_per_1000: 150, completion_micros_per_1000: 600 }}
    models: [{{ name: saddle-advice, version: \"1\" }}]
    upstreams: [{{ name: engine-1, address: \"{engine_at}\", zone: cairo-a }}]
  - name: workshop-orders
    kind: service
    prices: {{ call_micros: 10 }}
    operations:
      - {{ name: stitch-status, path: /stitch-status, idempotent: true }}
      - {{ name: cut-order, path: /cut-orders, idempotent: false }}
    upstreams: [{{ name: workshop-1, address: \"{service_at}\", zone: cairo-a }}]
timings: {{ balancer_lag: 100ms }}
",
        log.address(),
        list.address(),
    );
    let secret = |_: &str| Some("only for the quick start".to_owned());
    let config = Config::parse("quickstart.yaml", &text, secret)?;
    let daemon = Daemon::start(config).await?;
    let caller = Caller::new(daemon.address().to_string());
    while !daemon.ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    println!("ready at http://{}", caller.address);

    run_program(&caller).await?;

    step("Stop the instance; it completes the calls in flight first.");
    daemon.drain().await;
    let calls = service.state().calls("/cut-orders").len();
    ensure!(calls == 1, "the cut order ran {calls} times");
    println!("done in {:.1} s", start.elapsed().as_secs_f64());
    Ok(())
}

async fn run_program(caller: &Caller) -> Result<()> {
    step("Publish a contract: gypsumctl contract publish contract.yaml");
    caller.ctl(&["contract", "publish", CONTRACT]).await?;

    step("Start a program.");
    let body = json!({ "customer": "sirag", "class": "consultation" });
    let started = caller.post("/v1/programs", "start-1", &body).await?;
    let program = started["program"].as_str().context("no program")?;
    let calls = format!("/v1/programs/{program}/calls");

    step("Call the model.");
    let body = model("Which girth fits a saddle of 17 inches?");
    let answer = caller.post(&calls, "turn-0", &body).await?;
    ensure!(
        answer["durability"] == "committed",
        "the turn is not committed to the log"
    );

    step("Order a cut at the workshop. This call must not run twice, so it is claimed first.");
    let body = json!({
        "type": "tool", "pool": "workshop-orders", "operation": "cut-order",
        "body": { "saddle": 17, "girth": 55 },
    });
    let first = caller.post(&calls, "turn-1", &body).await?;
    println!("The caller retries the request, as if the answer had been lost.");
    let repeated = caller.post(&calls, "turn-1", &body).await?;
    ensure!(
        first["content"] == repeated["content"],
        "the answers differ"
    );

    step("Stream the next answer; its prompt contains the whole history.");
    caller
        .stream(&calls, &model("When will it be ready?"))
        .await?;

    step("End the program.");
    let end = format!("/v1/programs/{program}/end");
    caller.post(&end, "end", &json!({})).await?;

    step("A call after the end is refused; gypsumctl explains why.");
    let (status, refusal) = caller.send(&calls, "turn-3", &model("One more?")).await?;
    println!("{status} {refusal}");
    ensure!(
        refusal["reason"] == "program_ended",
        "the call was not refused with program_ended"
    );
    ensure!(refusal["ran"] == "no", "the refused call ran");
    let request = refusal["request"].as_str().context("no request")?;
    println!("gypsumctl why {request}");
    caller.ctl(&["why", request]).await?;
    step("Show the cost: gypsumctl contract list");
    caller.ctl(&["contract", "list"]).await
}

fn step(text: &str) {
    println!("\n# {text}");
}

fn model(text: &str) -> Value {
    json!({
        "type": "model",
        "pool": "saddle-advice",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": 24,
    })
}

/// HTTP client of the instance's callers' port.
struct Caller {
    http: awc::Client,
    address: String,
}

impl Caller {
    fn new(address: String) -> Self {
        let http = awc::Client::builder().timeout(TIMEOUT).finish();
        Self { http, address }
    }

    fn request(&self, path: &str, key: &str) -> awc::ClientRequest {
        self.http
            .post(format!("http://{}{path}", self.address))
            .insert_header(("Idempotency-Key", key))
    }

    async fn send(&self, path: &str, key: &str, body: &Value) -> Result<(u16, Value)> {
        let sent = self.request(path, key).send_json(body).await;
        let mut response = sent.map_err(|error| anyhow::anyhow!("POST {path}: {error}"))?;
        let answer = response.json().await?;
        Ok((response.status().as_u16(), answer))
    }

    async fn post(&self, path: &str, key: &str, body: &Value) -> Result<Value> {
        println!("POST {path} {body}");
        let (status, answer) = self.send(path, key, body).await?;
        println!("{status} {answer}");
        ensure!(status < 300, "POST {path} was refused");
        Ok(answer)
    }

    async fn stream(&self, path: &str, body: &Value) -> Result<()> {
        println!("POST {path} {body}\nAccept: text/event-stream");
        let request = self.request(path, "turn-2");
        let request = request.insert_header(("Accept", "text/event-stream"));
        let sent = request.send_json(body).await;
        let mut response = sent.map_err(|error| anyhow::anyhow!("POST {path}: {error}"))?;
        let mut text = String::new();
        while let Some(bytes) = response.next().await {
            let chunk = String::from_utf8_lossy(&bytes?).into_owned();
            print!("{chunk}");
            text.push_str(&chunk);
        }
        ensure!(text.contains("event: text\n"), "the stream has no text");
        ensure!(text.contains("event: answer\n"), "the answer is incomplete");
        Ok(())
    }

    /// Runs gypsumctl in this process.
    async fn ctl(&self, arguments: &[&str]) -> Result<()> {
        let arguments = arguments.iter().map(|text| text.into()).collect();
        let server = Some(self.address.clone());
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let code = ctl::run(arguments, server, &mut out, &mut err).await;
        print!("{}", String::from_utf8_lossy(&out));
        if code != 0 {
            bail!("gypsumctl failed: {}", String::from_utf8_lossy(&err));
        }
        Ok(())
    }
}
