//! Guards against an engine whose answers, cache, costs or faults differ from its statistics:
//! other tests check budgets, prefix locality and mixed-up histories against them.

mod common;

use common::{
    Caller,
    Outcome, //
};
use serde_json::{
    json,
    Value, //
};
use standin::{
    engine::{
        self,
        Answer,
        Config,
        Cost,
        End,
        Engine,
        Faults,
        Fencing,
        Foreign,
        Message,
        Stats, //
    },
    server::Server,
};

const CHAT: &str = "/v1/chat/completions";

/// Returns the settings of an engine that runs 20 times as fast as modelled.
fn config() -> Config {
    Config {
        speed: 20.0,
        load_lag_ms: 0,
        load_interval_ms: 1,
        events_lag_ms: 0,
        ..Default::default()
    }
}

fn start(config: Config) -> (Server<Engine>, Caller) {
    let server = engine::start(config).expect("start");
    let caller = Caller::new(server.address());
    (server, caller)
}

fn call(key: &str, messages: &[Message], tokens: u32) -> Value {
    json!({
        "model": "m",
        "messages": messages,
        "max_tokens": tokens,
        "prompt_cache_key": key,
    })
}

fn user(text: &str) -> Vec<Message> {
    vec![Message::new("user", text)]
}

fn streamed(mut body: Value) -> Value {
    body["stream"] = json!(true);
    body["stream_options"] = json!({"include_usage": true});
    body
}

/// Returns the text and the usage of a stream, and whether it is complete.
fn parse(body: &Value) -> (String, Value, bool) {
    let stream = body.as_str().expect("event stream");
    let (mut text, mut usage, mut complete) = (String::new(), Value::Null, false);
    for line in stream.lines().filter(|line| !line.is_empty()) {
        let data = line.strip_prefix("data: ").expect("data");
        if data == "[DONE]" {
            complete = true;
            continue;
        }
        let part: Value = serde_json::from_str(data).expect("JSON");
        assert_eq!(part["object"], "chat.completion.chunk");
        if let Some(token) = part["choices"][0]["delta"]["content"].as_str() {
            text.push_str(token);
        }
        if part["usage"].is_object() {
            usage = part["usage"].clone();
        }
    }
    (text, usage, complete)
}

async fn wait_until(server: &Server<Engine>, done: impl Fn(&Stats) -> bool) {
    common::wait_until(|| done(&server.stats())).await;
}

#[actix_web::test]
async fn completions_with_and_without_streaming() {
    let (server, caller) = start(config());
    let prompt = user("which saddle fits a wide back?");
    let expected = Answer::new(&prompt).text(9);
    let outcome = caller.post(CHAT, streamed(call("p/1", &prompt, 9))).await;
    let (text, usage, complete) = parse(&outcome.body());
    assert_eq!((text.as_str(), complete), (expected.as_str(), true));
    let details = json!({"cached_tokens": 0});
    assert_eq!(usage["prompt_tokens_details"], details);
    assert_eq!(usage["prompt_tokens"], 8);
    assert_eq!(usage["completion_tokens"], 9);

    let body = caller.post(CHAT, call("p/2", &prompt, 9)).await.body();
    let choice = &body["choices"][0];
    assert_eq!(choice["message"]["content"], expected);
    assert_eq!(choice["finish_reason"], "length");
    assert_eq!(body["usage"]["total_tokens"], 17);
    assert_eq!(server.stats().completed, 2);
    let other = Answer::new(&user("another")).text(9);
    assert_ne!(other, expected);

    let (_server, caller) = start(Config {
        answer_tokens: Some((5, 5)),
        ..config()
    });
    for (limit, tokens, reason) in [(4, 4, "length"), (9, 5, "stop")] {
        let body = caller.post(CHAT, call("p/2", &prompt, limit)).await.body();
        let choice = &body["choices"][0];
        assert_eq!(choice["message"]["content"], expected[..4 * tokens]);
        assert_eq!(choice["finish_reason"], reason);
    }
}

#[actix_web::test]
async fn completions_reuse_the_prefix() {
    let (server, caller) = start(config());
    let mut history = user(&"a".repeat(400));
    caller.post(CHAT, call("p/1", &history, 10)).await.body();
    history.push(Message::new("assistant", &Answer::new(&history).text(10)));
    history.push(Message::new("user", &"b".repeat(40)));
    let cached = |body: Value| body["usage"]["prompt_tokens_details"]["cached_tokens"].clone();
    // Key, cached tokens.
    for (key, expected) in [("p/2", 0), ("p/1", 110)] {
        let body = caller.post(CHAT, call(key, &history, 1)).await.body();
        assert_eq!(cached(body), expected, "{key}");
    }
    history[0] = Message::new("user", "changed");
    let body = caller.post(CHAT, call("p/1", &history, 1)).await.body();
    assert_eq!(cached(body), 0, "a changed history shares no prefix");
    let cost = Cost {
        calls: 3,
        prompt_tokens: 100 + 120 + 22,
        cached_tokens: 110,
        completion_tokens: 12,
    };
    let stats = server.stats();
    assert_eq!(stats.keys["p/1"], cost);
    assert_eq!(stats.prefixes["p"], cost.plus(stats.keys["p/2"]));
    assert_eq!(stats.cost("p/"), stats.prefixes["p"]);
}

#[actix_web::test]
async fn cache_evicts_the_least_recently_used() {
    let (server, caller) = start(Config {
        cache_tokens: 300,
        ..config()
    });
    let prompt = user(&"a".repeat(396));
    for key in ["p/1", "p/2", "p/1", "p/3"] {
        caller.post(CHAT, call(key, &prompt, 1)).await.body();
    }
    let held = server.stats().held;
    assert_eq!(held.keys().collect::<Vec<_>>(), ["p/1", "p/2", "p/3"]);
    caller.post(CHAT, call("p/4", &prompt, 1)).await.body();
    let stats = server.stats();
    assert_eq!(stats.held.keys().collect::<Vec<_>>(), ["p/1", "p/3", "p/4"]);
    assert_eq!(stats.evicted["p/2"], 100);
    let events = caller.get("/cache_events?since=4").await.body();
    let kinds = events["events"].as_array().expect("events").iter();
    let kinds: Vec<_> = kinds.map(|event| event["kind"].clone()).collect();
    assert_eq!(kinds, ["evicted", "stored"]);
    assert_eq!(events["next"], 6);
}

#[actix_web::test]
async fn slots_erase_one() {
    let (server, caller) = start(config());
    let foreign = json!({"slots": [["old/1", 50]]});
    assert_eq!(caller.post("/control/foreign", foreign).await.status(), 204);
    caller
        .post(CHAT, call("p/1", &user("abcd"), 3))
        .await
        .body();
    let slots = caller.get("/slots").await.body();
    assert_eq!(slots[0]["cache_key"], "old/1");
    assert_eq!(slots[1]["cache_key"], "p/1");
    assert_eq!(slots[1]["tokens"], 4);
    let path = format!("/slots/{}?action=erase", slots[1]["id"]);
    assert_eq!(caller.post(&path, json!({})).await.body()["n_erased"], 4);
    assert_eq!(caller.post(&path, json!({})).await.status(), 404);
    let stats = server.stats();
    assert_eq!(stats.erased.len(), 1);
    assert_eq!(stats.erased[0].key, "p/1");
    assert_eq!(stats.held.keys().collect::<Vec<_>>(), ["old/1"]);
}

#[actix_web::test]
async fn batch_admits_in_order_of_arrival() {
    let (server, caller) = start(Config {
        max_batch: 3,
        ..config()
    });
    server.set_foreign(Foreign {
        running: 2,
        waiting: 4,
        ..Default::default()
    });
    let calls = (0..4).map(|number| {
        let (key, prompt) = (format!("p/{number}"), user("abcd"));
        let body = call(&key, &prompt, 20);
        let caller = &caller;
        async move { caller.post(CHAT, body).await.status() }
    });
    let calls = futures_util::future::join_all(calls);
    let watch = wait_until(&server, |_| {
        let load = server.load();
        load.running == 3 && load.waiting >= 4
    });
    let (statuses, ()) = futures_util::future::join(calls, watch).await;
    assert_eq!(statuses, [200; 4]);
    let stats = server.stats();
    assert_eq!(stats.largest_batch, 1);
    let admitted: Vec<_> = stats.calls.iter().map(|call| call.admitted).collect();
    assert!(admitted.is_sorted(), "{admitted:?}");
    let mut one_by_one = stats.calls.windows(2);
    assert!(one_by_one.all(|pair| pair[1].admitted >= pair[0].ended));
}

#[actix_web::test]
async fn step_grows_with_batch_prompt_and_slowness() {
    // Prompt tokens, requests of the old system, factor `slow`, modelled time of all steps.
    let table = [
        (100, 0, 1.0, 5 * 1_100 + 100 * 10),
        (300, 0, 1.0, 5 * 1_100 + 300 * 10),
        (100, 9, 1.0, 5 * 2_000 + 100 * 10),
        (100, 0, 3.0, 3 * (5 * 1_100 + 100 * 10)),
    ];
    for (tokens, running, slow, expected) in table {
        let (server, caller) = start(Config {
            speed: 1.0,
            step_us: 1_000,
            step_per_request_us: 100,
            prefill_per_token_us: 10.0,
            ..Default::default()
        });
        server.set_foreign(Foreign {
            running,
            ..Default::default()
        });
        server.set_faults(Faults {
            slow,
            ..Default::default()
        });
        let prompt = user(&"a".repeat(4 * tokens));
        caller.post(CHAT, call("p/1", &prompt, 5)).await.body();
        let stats = server.stats();
        assert_eq!((stats.busy_us, stats.steps), (expected, 5));
        let call = &stats.calls[0];
        assert!(
            call.ended - call.received >= expected,
            "faster than modelled"
        );
    }
}

#[actix_web::test]
async fn completions_cancelled_by_disconnecting() {
    for stream in [false, true] {
        let (server, _) = start(Config {
            speed: 1.0,
            ..config()
        });
        let mut body = call("p/1", &user("abcd"), 10_000);
        body["stream"] = json!(stream);
        let caller = Caller::with_short_timeout(server.address());
        assert_eq!(caller.post(CHAT, body).await, Outcome::TimedOut);
        wait_until(&server, |stats| stats.cancelled == 1).await;
        let stats = server.stats();
        assert_eq!(stats.calls[0].end, End::Cancelled);
        assert!(stats.keys["p/1"].completion_tokens < 10_000);
        wait_until(&server, |_| server.load().running == 0).await;
    }
}

#[actix_web::test]
async fn completions_table_of_faults() {
    let fault = |faults: Value| serde_json::from_value::<Faults>(faults).expect("faults");
    let refused = json!({"refuse": true, "retry_after": 2, "times": 1});
    let (server, caller) = start(config());
    server.set_faults(fault(refused));
    assert_eq!(
        caller.post(CHAT, call("p/1", &user("a"), 5)).await.status(),
        503
    );
    assert_eq!(
        caller.post(CHAT, call("p/1", &user("a"), 5)).await.status(),
        200
    );
    assert_eq!(server.stats().refused, 1);

    // Faults, outcome for the client, generated tokens, end of the call.
    let table = [
        (json!({"break_after": 0}), Outcome::Closed, 0, End::Broken),
        (json!({"break_after": 3}), Outcome::Closed, 3, End::Broken),
        (
            json!({"silent_after": 3}),
            Outcome::TimedOut,
            3,
            End::Cancelled,
        ),
        (
            json!({"silent": true}),
            Outcome::TimedOut,
            0,
            End::Cancelled,
        ),
    ];
    for (faults, expected, tokens, end) in table {
        for stream in [false, true] {
            let (server, caller) = start(config());
            server.set_faults(fault(faults.clone()));
            let mut body = call("p/1", &user("abcd"), 8);
            body["stream"] = json!(stream);
            let client = Caller::for_outcome(server.address(), &expected);
            let outcome = client.post(CHAT, body.clone()).await;
            assert_eq!(outcome, expected, "{faults} {stream}");
            wait_until(&server, |stats| stats.calls[0].end == end).await;
            assert_eq!(server.stats().calls[0].completion_tokens, tokens);
            server.set_faults(Faults::default());
            assert_eq!(
                caller.post(CHAT, body).await.status(),
                200,
                "after {faults}"
            );
        }
    }
}

#[actix_web::test]
async fn completions_break_keeps_what_was_sent() {
    let (server, _) = start(config());
    server.set_faults(Faults {
        break_after: Some(3),
        ..Default::default()
    });
    let client = awc::Client::default();
    let url = format!("http://{}{CHAT}", server.address());
    let prompt = user("abcd");
    let body = streamed(call("p/1", &prompt, 8));
    let mut response = client.post(url).send_json(&body).await.expect("response");
    let text = response.body().await.expect("partial body").to_vec();
    let text = Value::String(String::from_utf8(text).expect("text"));
    let (text, _, complete) = parse(&text);
    assert_eq!((text, complete), (Answer::new(&prompt).text(3), false));
}

#[actix_web::test]
async fn load_is_shown_late() {
    let (server, caller) = start(Config {
        load_lag_ms: 400,
        load_interval_ms: 10,
        ..config()
    });
    server.set_foreign(Foreign {
        running: 7,
        ..Default::default()
    });
    server.set_faults(Faults {
        leaving: true,
        ..Default::default()
    });
    let changed = standin::now();
    let early = caller.get("/load").await.body();
    assert_eq!(
        (&early["running"], &early["leaving"]),
        (&json!(0), &json!(false))
    );
    wait_until(&server, |_| server.load().leaving).await;
    assert!(standin::now() - changed >= 400_000);
    let late = caller.get("/load").await.body();
    assert_eq!(late["running"], 7);
    assert!(late["at"].as_u64().expect("time") <= standin::now() - 400_000);
    caller.post(CHAT, call("p/1", &user("a"), 1)).await.body();
    let leaving = server.stats().leaving;
    assert_eq!(leaving.received, 1);
    assert!(leaving.last_us >= 400_000);
}

#[actix_web::test]
async fn commands_table_of_fences() {
    // Setting, fencing numbers in order, statuses, highest accepted number.
    let table = [
        (
            Fencing::Enforced,
            vec![Some(2), Some(1)],
            vec![200, 409],
            Some(2),
        ),
        (
            Fencing::Enforced,
            vec![Some(2), Some(2)],
            vec![200, 200],
            Some(2),
        ),
        (
            Fencing::Enforced,
            vec![None, Some(1)],
            vec![409, 200],
            Some(1),
        ),
        (
            Fencing::Ignored,
            vec![Some(2), Some(1)],
            vec![200, 200],
            Some(2),
        ),
        (Fencing::Ignored, vec![None], vec![200], None),
    ];
    for (fencing, fences, statuses, highest) in table {
        let (server, caller) = start(Config {
            fencing,
            model_load_us: 0,
            ..config()
        });
        let mut received = Vec::new();
        for fence in &fences {
            let text = fence.map(|fence: u64| fence.to_string());
            let header = text.as_deref().map(|text| ("Fencing-Number", text));
            let headers: Vec<_> = header.into_iter().collect();
            let body = br#"{"lora_name": "a"}"#.to_vec();
            let path = "/v1/load_lora_adapter";
            received.push(caller.send("POST", path, &headers, body).await.status());
        }
        assert_eq!(received, statuses, "{fencing:?} {fences:?}");
        let stats = server.stats();
        assert_eq!(stats.highest_fence, highest, "{fencing:?} {fences:?}");
        assert_eq!(stats.commands.len(), fences.len());
        assert_eq!(stats.adapters, ["a"]);
    }
}

#[actix_web::test]
async fn commands_load_models_and_roles() {
    let (server, caller) = start(Config {
        models: vec!["m".to_owned()],
        model_load_us: 200_000,
        fencing: Fencing::Ignored,
        ..config()
    });
    let mut body = call("p/1", &user("a"), 1);
    body["model"] = json!("n");
    assert_eq!(caller.post(CHAT, body.clone()).await.status(), 404);
    let load = json!({"model": "n"});
    assert_eq!(caller.post("/v1/models/load", load).await.status(), 200);
    assert_eq!(caller.post(CHAT, body).await.status(), 200);
    let role = json!({"role": "prefill"});
    assert_eq!(caller.post("/v1/role", role).await.status(), 200);
    assert_eq!(server.stats().role.as_deref(), Some("prefill"));
    let long = call("p/1", &user(&"a".repeat(3_000_000)), 1);
    assert_eq!(caller.post(CHAT, long).await.status(), 400);
}

#[actix_web::test]
async fn completions_over_the_queue_limit() {
    let (server, caller) = start(Config {
        max_waiting: Some(2),
        ..config()
    });
    server.set_foreign(Foreign {
        waiting: 2,
        ..Default::default()
    });
    let body = call("p/1", &user("a"), 1);
    assert_eq!(caller.post(CHAT, body.clone()).await.status(), 503);
    server.set_foreign(Foreign::default());
    assert_eq!(caller.post(CHAT, body).await.status(), 200);
    assert_eq!((server.stats().refused, server.stats().calls.len()), (1, 1));
}

#[actix_web::test]
async fn cache_events_have_gaps() {
    let (_server, caller) = start(Config {
        events_loss: 0.5,
        seed: 1,
        ..config()
    });
    for number in 0..20 {
        let key = format!("p/{number}");
        caller.post(CHAT, call(&key, &user("a"), 1)).await.body();
    }
    let body = caller.get("/cache_events").await.body();
    let count = body["events"].as_array().expect("events").len();
    assert!((1..20).contains(&count), "{count}");
}
