//! Guards against lost, mixed or endless requests between instances.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use gypsumlever::{
    executor::request::Event,
    member::{
        Listed,
        Roster, //
    },
    name::{
        Instance,
        Zone, //
    },
    peer::{
        wire::Body,
        Error,
        Handler,
        Mesh,
        Responder,
        Settings,
        Unreachable, //
    },
};
use tokio::{
    net::TcpListener,
    time::sleep, //
};

const LIMIT: Duration = Duration::from_secs(5);

/// Replies to `Fetch` with `partition` chunks, and never to `Hold` or `Withdraw`.
#[derive(Clone, Default)]
struct Node {
    withdrawn: Rc<RefCell<Vec<u64>>>,
    kept: Rc<RefCell<Vec<Responder>>>,
    sent: Rc<RefCell<u64>>,
}

fn text(offset: u64) -> Body {
    Body::Event(Event::Text {
        offset,
        text: String::new(),
    })
}

impl Handler for Node {
    fn handle(&self, _from: Instance, body: Body, reply: Responder) {
        match body {
            Body::Fetch { partition, .. } => {
                let sent = self.sent.clone();
                actix_web::rt::spawn(async move {
                    for offset in 0..u64::from(partition) {
                        if reply.send(text(offset)).await.is_err() {
                            return;
                        }
                        *sent.borrow_mut() += 1;
                    }
                    let _ = reply.finish(Body::Held);
                });
            }
            Body::Withdraw { grant: 0 } => self.kept.borrow_mut().push(reply),
            Body::Withdraw { grant } => self.withdrawn.borrow_mut().push(grant),
            _ => {}
        }
    }
}

struct Party {
    mesh: Mesh,
    roster: Roster,
    node: Node,
    listed: Listed,
}

fn instance(name: &str) -> Instance {
    Instance::try_from(name).unwrap()
}

async fn party(name: &str, change: impl Fn(&mut Settings)) -> Party {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let zone = Zone::try_from("a").unwrap();
    let mut settings = Settings::new("test", instance(name), zone.clone(), address, "secret");
    change(&mut settings);
    let roster = Roster::start(instance(name), zone.clone(), &address.to_string());
    let node = Node::default();
    let mesh = Mesh::run(settings, listener, node.clone(), roster.clone());
    Party {
        mesh,
        roster,
        node,
        listed: Listed {
            instance: instance(name),
            zone,
            address: address.to_string(),
            leaving: false,
        },
    }
}

async fn parties(names: &[&str]) -> Vec<Party> {
    let mut parties = Vec::new();
    for name in names {
        parties.push(party(name, |_| {}).await);
    }
    meet(&parties);
    parties
}

fn meet(parties: &[Party]) {
    let list: Vec<_> = parties.iter().map(|party| party.listed.clone()).collect();
    for party in parties {
        party
            .roster
            .update(|view| view.listed(gypsumlever::clock::Time::now(), &list));
    }
}

async fn until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..500 {
        if done() {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("not within 5 s: {what}");
}

fn fetch(partition: u32) -> Body {
    Body::Fetch { partition, from: 0 }
}

#[actix_web::test]
async fn request_gets_first_reply() {
    let p = parties(&["one", "two"]).await;
    let reply = p[0].mesh.request(&instance("two"), fetch(0), LIMIT).await;
    assert_eq!(reply, Ok(Body::Held));
    let reply = p[1].mesh.request(&instance("one"), fetch(0), LIMIT).await;
    assert_eq!(reply, Ok(Body::Held));
}

#[actix_web::test]
async fn request_table_of_faults() {
    let p = parties(&["one", "two"]).await;
    let short = Duration::from_millis(50);
    let unsent = |reason| Err(Error::Unsent(reason));
    let cases = [
        ("one", fetch(0), unsent(Unreachable::Own)),
        ("three", fetch(0), unsent(Unreachable::Unknown)),
        ("two", Body::Held, Err(Error::Empty)),
        ("two", Body::Withdraw { grant: 0 }, Err(Error::Late(short))),
    ];
    for (to, body, expected) in cases {
        let reply = p[0].mesh.request(&instance(to), body, short).await;
        assert_eq!(reply, expected);
    }
}

#[actix_web::test]
async fn send_reaches_handler_in_order() {
    let p = parties(&["one", "two"]).await;
    for grant in 1..=100 {
        p[0].mesh
            .send(&instance("two"), Body::Withdraw { grant })
            .unwrap();
    }
    let withdrawn = p[1].node.withdrawn.clone();
    until("100 frames", || withdrawn.borrow().len() == 100).await;
    assert!(withdrawn.borrow().is_sorted());
}

#[actix_web::test]
async fn open_delivers_all_replies() {
    let p = parties(&["one", "two"]).await;
    let mut replies = p[0].mesh.open(&instance("two"), fetch(1_000)).unwrap();
    for offset in 0..1_000 {
        assert_eq!(replies.next().await, Some(Ok(text(offset))));
    }
    assert_eq!(replies.next().await, Some(Ok(Body::Held)));
    assert_eq!(replies.next().await, None);
}
