//! Guards against malformed requests to engines and against misread answers.

use actix_web::{
    web,
    App,
    HttpRequest,
    HttpResponse,
    HttpServer, //
};
use gypsumlever::upstream::{
    chat::Client,
    command::{
        Authorization,
        Command,
        Controller as _,
        Role, //
    },
    Engine as _,
    Event,
    Failure,
    Limits,
    Message,
    Prompt,
    Slot,
    Stream as _,
    Usage, //
};
use serde_json::{
    json,
    Value, //
};
use std::time::Duration;

const LIMITS: Limits = Limits {
    first: Duration::from_secs(5),
    progress: Duration::from_secs(5),
    total: Duration::from_secs(10),
};

async fn complete(body: web::Json<Value>) -> HttpResponse {
    let correct = body["stream"] == json!(true)
        && body["stream_options"]["include_usage"] == json!(true)
        && body["prompt_cache_key"] == json!("gypsumlever/p1")
        && body["model"] == json!("m")
        && body["max_tokens"] == json!(7)
        && body["messages"] == json!([{ "role": "user", "content": "hi" }]);
    if !correct {
        return HttpResponse::BadRequest().body("wrong request");
    }
    let text = concat!(
        "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n",
        ": comment\n\n",
        "data: {\"choices\":[{\"delta\":{\"content\":\"Hel\"}}],\"usage\":null}\r\n\r\n",
        "data: {\"choices\":[{\"delta\":{\"content\":\"lo\"},\"finish_reason\":\"stop\"}]}\n\n",
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,",
        "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n",
        "data: [DONE]\n\n",
    );
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .body(text)
}

async fn erase(path: web::Path<u64>, query: web::Query<Value>) -> HttpResponse {
    if *path == 3 && query["action"] == json!("erase") {
        HttpResponse::Ok().json(json!({ "id_slot": 3 }))
    } else {
        HttpResponse::NotFound().finish()
    }
}

async fn load() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "running": 2, "waiting": 1, "cache_used": 0.5, "at": 7 }))
}

async fn slots() -> HttpResponse {
    HttpResponse::Ok()
        .json(json!([{ "id": 3, "cache_key": "gypsumlever/p1", "tokens": 11, "n_ctx": 9 }]))
}

/// Answers 200 only to a correct command.
async fn command(request: HttpRequest, body: web::Json<Value>) -> HttpResponse {
    let header = |name| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let expected = match request.path() {
        "/v1/models/load" => json!({ "model": "m", "version": "2" }),
        "/v1/role" => json!({ "role": "prefill" }),
        _ => json!({
            "lora_name": "a", "lora_path": "a/2", "base_model_name": "m", "version": "2",
        }),
    };
    if *body != expected || header("Sender") != Some("entry-1") {
        return HttpResponse::BadRequest().finish();
    }
    match header("Fencing-Number") {
        Some("7") => HttpResponse::Ok().finish(),
        _ => HttpResponse::Conflict().finish(),
    }
}

async fn models() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "object": "list", "data": [
        { "id": "m", "object": "model" }, { "id": "a", "version": "2", "parent": "m" },
    ] }))
}

async fn engine() -> String {
    let server = HttpServer::new(|| {
        App::new()
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/slots/{id}", web::post().to(erase))
            .route("/v1/models/load", web::post().to(command))
            .route("/v1/load_lora_adapter", web::post().to(command))
            .route("/v1/role", web::post().to(command))
            .route("/v1/models", web::get().to(models))
            .route("/load", web::get().to(load))
            .route("/slots", web::get().to(slots))
    })
    .workers(1)
    .bind("127.0.0.1:0")
    .expect("address is free");
    let address = server.addrs()[0].to_string();
    drop(actix::spawn(server.run()));
    address
}

#[actix_web::test]
async fn start_complete_answer() {
    let address = engine().await;
    let prompt = Prompt {
        model: "m".into(),
        messages: vec![Message {
            role: "user".into(),
            content: "hi".into(),
        }],
        max_tokens: 7,
        cache_key: "gypsumlever/p1".into(),
    };
    let client = Client::default();
    let mut stream = client
        .start(&address, &prompt, LIMITS)
        .await
        .expect("start");
    let mut events = Vec::new();
    while let Some(event) = stream.next().await.expect("event") {
        events.push(event);
    }
    let usage = Usage {
        prompt_tokens: 9,
        cached_tokens: 4,
        completion_tokens: 2,
    };
    let text = |text: &str| Event::Text(text.into());
    assert_eq!(events, [text("Hel"), text("lo"), Event::Done(usage)]);
    assert_eq!(stream.next().await, Ok(None));
}

#[actix_web::test]
async fn reports_and_slots() {
    let address = engine().await;
    let client = Client::default();
    let load = client.load(&address).await.expect("load");
    assert_eq!((load.running, load.waiting, load.at), (2, 1, 7));
    let slots = client.slots(&address).await.expect("slots");
    let slot = Slot {
        id: 3,
        cache_key: "gypsumlever/p1".into(),
        tokens: 11,
    };
    assert_eq!(slots, std::slice::from_ref(&slot));
    assert_eq!(client.release(&address, &slot).await, Ok(()));
}

#[actix_web::test]
async fn send_with_fence() {
    let address = engine().await;
    let client = Client::default();
    let (name, version, model) = ("a".to_owned(), "2".to_owned(), "m".to_owned());
    let commands = [
        Command::Model {
            name: model.clone(),
            version: version.clone(),
        },
        Command::Adapter {
            name,
            version,
            model,
        },
        Command::Role(Role::Prefill),
    ];
    for command in &commands {
        for fence in [6, 7] {
            let sender = Some("entry-1".into());
            let outcome = client
                .send(&address, command, &Authorization { fence, sender })
                .await;
            let stale = matches!(outcome, Err(Failure::Failed { status: 409, .. }));
            assert_eq!(outcome.is_ok(), fence == 7, "{command:?}");
            assert_eq!(stale, fence == 6, "{command:?}");
        }
    }
    let loaded = client.loaded(&address).await.expect("list");
    assert_eq!((loaded[0].name.as_str(), &loaded[0].version), ("m", &None));
    assert_eq!(loaded[1].version.as_deref(), Some("2"));
    assert_eq!(loaded[1].parent.as_deref(), Some("m"));
}
