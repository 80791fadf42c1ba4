//! Guards exchanges with upstreams against truncated, extra, early and invalid answers.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::mpsc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use actix_http::{
    header::{
        HeaderName,
        HeaderValue, //
    },
    Method,
    RequestHead,
    ResponseHead, //
};
use actix_web::rt::System;
use bytes::Bytes;
use gypsumlever::gateway::{
    callers::body::Buffer,
    connection::{
        Connection,
        Fault, //
    },
    forward::body,
};

/// Serves one connection with a script.
fn upstream(script: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || script(listener.accept().unwrap().0));
    address
}

/// Reads the head of a request.
fn read_head(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) == 1 {
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap()
}

/// Answers each request on a connection with the next bytes, then closes it.
fn answers(list: Vec<&'static [u8]>) -> SocketAddr {
    upstream(move |mut stream| {
        for answer in list {
            if read_head(&mut stream).is_empty() {
                return;
            }
            stream.write_all(answer).unwrap();
        }
        thread::sleep(Duration::from_millis(20));
    })
}

fn head(id: &str) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = "/x".parse().unwrap();
    let name = HeaderName::from_static("request-id");
    head.headers
        .insert(name, HeaderValue::from_str(id).unwrap());
    head
}

fn matches_id(id: &'static str) -> impl Fn(&ResponseHead) -> bool {
    move |head| {
        let found = head.headers.get("request-id");
        found.is_none_or(|found| found == id)
    }
}

async fn exchange(connection: &mut Connection, id: &'static str) -> Result<Bytes, Fault> {
    connection
        .send(head(id), &Bytes::new(), matches_id(id))
        .await?;
    let (body, _) = body(connection, Buffer::default()).await?;
    Ok(body)
}

#[test]
fn body_is_an_error_unless_complete() {
    let cases: [(&[u8], Result<&str, &str>, bool); 7] = [
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            Ok("ok"),
            true,
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokX",
            Ok("ok"),
            false,
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
            Err("cut off"),
            false,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            Ok("ok"),
            true,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            Err("cut off"),
            false,
        ),
        (
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
            Ok("ok"),
            false,
        ),
        (b"\x00\x01garbage\r\n\r\n", Err("invalid"), false),
    ];
    System::new().block_on(async {
        for (bytes, expected, reusable) in cases {
            let mut connection = Connection::open(answers(vec![bytes])).await.unwrap();
            let text = String::from_utf8_lossy(bytes).into_owned();
            match (exchange(&mut connection, "1").await, expected) {
                (Ok(body), Ok(expected)) => assert_eq!(body, expected, "{text:?}"),
                (Err(fault), Err(part)) => {
                    assert!(fault.to_string().contains(part), "{text:?}: {fault}");
                }
                (result, _) => panic!("{text:?}: {result:?}"),
            }
            assert_eq!(connection.reusable(), reusable, "{text:?}");
        }
    });
}

/// A head that stops at any byte is no answer.
#[test]
fn send_fails_at_each_part_of_a_head() {
    const HEADS: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest-Id: 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Seal: s\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\nLink: </a>\n\nHTTP/1.0 200 OK\nRequest-Id: 1\n\n",
    ];
    System::new().block_on(async {
        for (head, length) in HEADS
            .iter()
            .flat_map(|head| (0..head.len()).map(move |length| (head, length)))
        {
            let part = &head[..length];
            let address = upstream(move |mut stream| {
                read_head(&mut stream);
                stream.write_all(part).unwrap();
            });
            let mut connection = Connection::open(address).await.unwrap();
            let result = exchange(&mut connection, "1").await;
            let text = String::from_utf8_lossy(part);
            assert!(
                matches!(result, Err(Fault::Truncated)),
                "{text:?}: {result:?}"
            );
        }
    });
}

/// Answers without a body left the connection waiting for one.
#[test]
fn answer_without_a_body_is_whole_at_the_end_of_its_head() {
    let cases = [
        (
            Method::GET,
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        ),
        (Method::HEAD, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"),
        (Method::HEAD, "HTTP/1.1 200 OK\r\n\r\n"),
    ];
    System::new().block_on(async {
        for (method, answer) in cases {
            let (end, ends) = mpsc::channel::<()>();
            let address = upstream(move |mut stream| {
                read_head(&mut stream);
                stream.write_all(answer.as_bytes()).unwrap();
                let _ = ends.recv();
            });
            let mut connection = Connection::open(address).await.unwrap();
            let mut request = head("1");
            request.method = method;
            let exchange = async {
                connection.send(request, &Bytes::new(), |_| true).await?;
                let (body, _) = body(&mut connection, Buffer::default()).await?;
                Ok::<_, Fault>(body)
            };
            let read = tokio::time::timeout(Duration::from_secs(2), exchange).await;
            assert_eq!(read.expect(answer).unwrap(), "", "{answer}");
            assert!(connection.reusable(), "{answer}");
            drop(end);
        }
    });
}

#[test]
fn send_skips_late_answer_to_another_request() {
    System::new().block_on(async {
        let address = upstream(|mut stream| {
            read_head(&mut stream);
            let first = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 1\r\n\r\na";
            stream.write_all(first).unwrap();
            read_head(&mut stream);
            stream.write_all(first).unwrap();
            let second = b"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 1\r\n\r\nb";
            stream.write_all(second).unwrap();
            thread::sleep(Duration::from_millis(50));
        });
        let mut connection = Connection::open(address).await.unwrap();
        assert_eq!(exchange(&mut connection, "1").await.unwrap(), "a");
        assert_eq!(exchange(&mut connection, "2").await.unwrap(), "b");
    });
}

#[test]
fn send_accepts_early_answer_without_reusing_the_connection() {
    System::new().block_on(async {
        let address = upstream(|mut stream| {
            read_head(&mut stream);
            let answer = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(answer).unwrap();
            // The rest of the body stays unread until after the end of the test.
            thread::sleep(Duration::from_secs(5));
        });
        let mut connection = Connection::open(address).await.unwrap();
        let body = Bytes::from(vec![b'x'; 16 << 20]);
        let sent = connection.send(head("1"), &body, matches_id("1"));
        let head = tokio::time::timeout(Duration::from_secs(3), sent).await;
        assert_eq!(head.unwrap().unwrap().status, 503);
        assert!(!connection.reusable());
    });
}

#[test]
fn open_reports_refused_connection_as_unsent() {
    System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let opened = Connection::open(address).await;
        assert!(matches!(opened.err(), Some(Fault::Connect(_))));
    });
}

#[test]
fn healthy_is_false_after_the_upstream_closed() {
    System::new().block_on(async {
        let (close, closes) = mpsc::channel::<()>();
        let address = upstream(move |mut stream| {
            read_head(&mut stream);
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            stream.write_all(answer).unwrap();
            // Closes the connection once the sender is gone.
            let _ = closes.recv();
        });
        let mut connection = Connection::open(address).await.unwrap();
        exchange(&mut connection, "1").await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(connection.healthy());
        drop(close);
        let until = Instant::now() + Duration::from_secs(2);
        while connection.healthy() {
            assert!(
                Instant::now() < until,
                "the end of the connection is not seen"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}
