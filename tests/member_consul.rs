//! Guards against a list that is incomplete, malformed, slow or unavailable.

use std::time::{
    Duration,
    Instant, //
};

use gypsumlever::{
    member::{
        consul::{
            parse,
            Client, //
        },
        list::follow,
        List,
        Roster, //
    },
    name::{
        Instance,
        Zone, //
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
    time::sleep,
};

const VALID_ENTRY: &str = r#"{
    "Node": {"Node": "n1", "Address": "10.0.0.1", "Datacenter": "dc", "Meta": {"zone": "b"}},
    "Service": {"ID": "i1", "Service": "gypsumlever", "Address": "10.0.0.2", "Port": 7001,
        "Tags": ["x"], "Meta": {"zone": "a", "peer_port": "7002"}},
    "Checks": [{"CheckID": "c", "Status": "passing"}]}"#;

#[test]
fn parse_table_of_entries() {
    // Each entry is listed beside a valid one, which must not be skipped with it.
    let cases = [
        (
            r#"{"Service": {"ID": "i", "Address": "h", "Port": 1, "Meta": {"zone": "z"}}}"#,
            Some(("z", "h:1", false)),
        ),
        (
            r#"{"Node": {"Address": "h", "Datacenter": "z"}, "Service": {"ID": "i", "Port": 1, "Tags": null, "Meta": null}, "Checks": null}"#,
            Some(("z", "h:1", false)),
        ),
        (
            r#"{"Node": {"Address": "::1", "Datacenter": "z"}, "Service": {"ID": "i", "Port": 1}, "New": 1}"#,
            Some(("z", "[::1]:1", false)),
        ),
        (
            r#"{"Node": {"Address": "h", "Datacenter": "z"}, "Service": {"ID": "i", "Port": 1, "Tags": ["leaving"]}}"#,
            Some(("z", "h:1", true)),
        ),
        (
            r#"{"Node": {"Address": "h", "Datacenter": "z"}, "Service": {"ID": "i", "Port": 1, "Meta": {"state": "leaving"}}}"#,
            Some(("z", "h:1", true)),
        ),
        (
            r#"{"Node": {"Address": "h", "Datacenter": "z"}, "Service": {"ID": "i", "Port": 1},
                "Checks": [{"CheckID": "_service_maintenance:i", "Status": "critical"}]}"#,
            Some(("z", "h:1", true)),
        ),
        (
            r#"{"Node": {"Address": "h", "Datacenter": "z"}, "Service": {"ID": "i", "Port": 1},
                "Checks": [{"CheckID": "c", "Status": "critical"}]}"#,
            None,
        ),
        (
            r#"{"Service": {"ID": "i", "Address": "h", "Port": 1}}"#,
            None,
        ),
        (
            r#"{"Service": {"ID": "i", "Address": "h", "Meta": {"zone": "z"}}}"#,
            None,
        ),
        (
            r#"{"Service": {"ID": "i", "Port": 1, "Meta": {"zone": "z"}}}"#,
            None,
        ),
        (
            r#"{"Service": {"ID": "a b", "Address": "h", "Port": 1, "Meta": {"zone": "z"}}}"#,
            None,
        ),
        (
            r#"{"Service": {"ID": "i", "Address": "h", "Port": 1, "Meta": {"zone": "z", "peer_port": "x"}}}"#,
            None,
        ),
        (r#"{"Service": {"ID": "i", "Port": "1"}}"#, None),
        ("{}", None),
        ("7", None),
    ];
    for (entry, expected) in cases {
        let list = parse(format!("[{entry}, {VALID_ENTRY}]").as_bytes()).unwrap();
        let (full, others) = list.split_last().unwrap();
        assert_eq!(full.instance.as_str(), "i1", "{entry}");
        assert_eq!(
            (full.zone.as_str(), full.address.as_str()),
            ("a", "10.0.0.2:7002")
        );
        let found = others.first().map(|listed| {
            (
                listed.zone.as_str(),
                listed.address.as_str(),
                listed.leaving,
            )
        });
        assert_eq!(found, expected, "{entry}");
    }
    for body in ["", "{}", "null", "[", "oops"] {
        assert!(parse(body.as_bytes()).is_err(), "{body}");
    }
}

/// Serves the responses in order; later requests hang.
async fn server(answers: Vec<String>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    actix_web::rt::spawn(async move {
        let mut open = Vec::new();
        let mut answers = answers.into_iter();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let count = stream.read(&mut request).await.unwrap();
            let path = b"GET /v1/health/service/gypsumlever ";
            assert!(request[..count].starts_with(path));
            if let Some(answer) = answers.next() {
                stream.write_all(answer.as_bytes()).await.unwrap();
            } else {
                open.push(stream);
            }
        }
    });
    address
}

fn answer(status: u16, length: usize, body: &str) -> String {
    format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}

#[actix_web::test]
async fn list_table_of_faults() {
    let limit = Duration::from_millis(300);
    let list = format!("[{VALID_ENTRY}]");
    let cases = [
        (Some(answer(200, list.len(), &list)), Some(1)),
        (Some(answer(200, 2, "[]")), Some(0)),
        (Some(answer(500, 2, "[]")), None),
        (Some(answer(200, 4, "oops")), None),
        (Some(answer(200, 1_000, "[{")), None),
        (Some(answer(200, 9 << 20, "[{")), None),
        (Some("garbage\r\n\r\n".to_owned()), None),
        (Some(String::new()), None),
        (None, None),
    ];
    for (answer, expected) in cases {
        let case = format!("{answer:?}");
        let address = server(answer.into_iter().collect()).await;
        let client = Client::new(&address, "gypsumlever", limit);
        let started = Instant::now();
        let listed = client.list().await;
        assert_eq!(listed.ok().map(|list| list.len()), expected, "{case}");
        assert!(started.elapsed() < Duration::from_secs(5), "{case}");
    }
}

#[actix_web::test]
async fn follow_keeps_last_list() {
    let list = format!("[{VALID_ENTRY}]");
    let good = answer(200, list.len(), &list);
    let address = server(vec![good, answer(500, 0, "")]).await;
    let zone = Zone::try_from("a").unwrap();
    let local = Instance::try_from("own").unwrap();
    let roster = Roster::start(local, zone.clone(), "127.0.0.1:1");
    let client = Client::new(&address, "gypsumlever", Duration::from_millis(100));
    actix_web::rt::spawn(follow(client, roster.clone(), Duration::from_millis(10)));
    for _ in 0..500 {
        if roster.snapshot().live(&zone).len() == 2 {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    // The second response is an error, and later requests hang.
    sleep(Duration::from_millis(300)).await;
    assert_eq!(roster.snapshot().live(&zone).len(), 2);
}

/// Guards against reading the complete list at each query, and against waiting for an index that
/// a list restored from a backup never reaches.
#[actix_web::test]
async fn list_waits_for_changes() {
    let list = format!("[{VALID_ENTRY}]");
    let body = |index: u64| {
        let head = format!("HTTP/1.1 200 x\r\nX-Consul-Index: {index}\r\nconnection: close");
        format!("{head}\r\ncontent-length: {}\r\n\r\n{list}", list.len())
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let client = Client::new(&address, "gypsumlever", Duration::from_secs(2));
    let cases = [
        (7, ""),
        (9, "?index=7&wait=60s"),
        (3, "?index=9&wait=60s"),
        (4, ""),
    ];
    for (index, query) in cases {
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4096];
            let count = stream.read(&mut request).await.unwrap();
            let line = format!("GET /v1/health/service/gypsumlever{query} ");
            assert!(request[..count].starts_with(line.as_bytes()), "{query}");
            stream.write_all(body(index).as_bytes()).await.unwrap();
        };
        let (listed, ()) = tokio::join!(client.list(), serve);
        assert_eq!(listed.unwrap().len(), 1, "{index}");
    }
}
