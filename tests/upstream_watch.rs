//! Guards against missing that an upstream is leaving, and against delayed reports.

use std::{
    cell::RefCell,
    time::Duration, //
};

use actix_web::{
    web,
    App,
    HttpResponse,
    HttpServer, //
};
use gypsumlever::{
    name::Upstream,
    upstream::{
        chat::Client,
        sweep::Target,
        watch::{
            self,
            Event,
            Watch, //
        },
        Failure,
        Load, //
    },
};
use rand::{
    rngs::StdRng,
    SeedableRng as _, //
};
use tokio::{
    net::TcpListener,
    time::timeout, //
};

fn load(at: u64, leaving: bool) -> Load {
    Load {
        at,
        leaving,
        ..Load::default()
    }
}

#[test]
fn apply_table_of_polls() {
    let fail = || Err(Failure::Unknown("no answer".into()));
    let mut watch = Watch::default();
    let hour = 3_600_000_000;
    let polls = [
        (Ok(load(1, false)), vec![Event::Load(load(1, false))]),
        (
            Ok(load(3, true)),
            vec![Event::Leaving, Event::Load(load(3, true))],
        ),
        (Ok(load(4, true)), vec![Event::Load(load(4, true))]),
        // A delayed report must not mark the upstream as no longer leaving.
        (Ok(load(2, false)), vec![]),
        (fail(), vec![]),
        (fail(), vec![]),
        (fail(), vec![Event::Unresponsive]),
        (fail(), vec![]),
        (
            Ok(load(5, false)),
            vec![Event::Returned, Event::Load(load(5, false))],
        ),
        (fail(), vec![]),
        (Ok(load(5, false)), vec![Event::Load(load(5, false))]),
        (fail(), vec![]),
        (fail(), vec![]),
        (fail(), vec![Event::Unresponsive]),
        // A clock that was set back must not hide that the upstream is leaving.
        (Ok(load(hour, false)), vec![Event::Load(load(hour, false))]),
        (
            Ok(load(6, true)),
            vec![Event::Leaving, Event::Load(load(6, true))],
        ),
    ];
    for (number, (poll, events)) in polls.into_iter().enumerate() {
        assert_eq!(watch.apply(poll), events, "poll {number}");
    }
}

#[test]
fn jitter_bounds() {
    let mut rng = StdRng::seed_from_u64(7);
    let second = Duration::from_secs(1);
    let waits: Vec<_> = (0..100).map(|_| watch::jitter(second, &mut rng)).collect();
    let range = Duration::from_millis(800)..=Duration::from_millis(1_200);
    assert!(waits.iter().all(|wait| range.contains(wait)));
    assert!(waits.iter().any(|wait| *wait != waits[0]));
}

async fn leaving() -> HttpResponse {
    HttpResponse::Ok().json(load(1, true))
}

/// An upstream that accepts connections but never answers must not delay the reports of others.
#[actix_web::test]
async fn run_beside_unresponsive_upstream() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let server = HttpServer::new(|| App::new().route("/load", web::get().to(leaving)))
        .workers(1)
        .bind("127.0.0.1:0")
        .expect("bind");
    let good = server.addrs()[0];
    drop(actix::spawn(server.run()));
    let addresses = [unresponsive.local_addr().expect("address"), good];
    let targets = [("unresponsive", 0), ("good", 1)].map(|(name, at): (&str, usize)| Target {
        name: Upstream::try_from(name).expect("name"),
        address: addresses[at].to_string(),
    });
    let seen = RefCell::new(Vec::new());
    let (done, finished) = tokio::sync::oneshot::channel();
    let done = RefCell::new(Some(done));
    let client = Client::default();
    let run = watch::run(
        &client,
        &targets,
        Duration::from_millis(20),
        |name, event| {
            seen.borrow_mut().push((name.to_string(), event));
            if seen.borrow().len() == 10 {
                done.take().map(|done| done.send(()));
            }
        },
    );
    let both = async {
        tokio::select! {
            () = run => {}
            _ = finished => {}
        }
    };
    timeout(Duration::from_secs(10), both)
        .await
        .expect("reports");
    let seen = seen.into_inner();
    assert!(seen.iter().all(|(name, _)| name == "good"));
    assert_eq!(seen[0].1, Event::Leaving);
    assert_eq!(
        seen.iter()
            .filter(|(_, event)| *event == Event::Leaving)
            .count(),
        1
    );
}
