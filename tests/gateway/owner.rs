//! Guards turns against partition owners that can't decide, and callers against isolated zones.

use std::{
    cell::Cell,
    future::Future,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::rt::System;
use bytes::Bytes;
use gypsumlever::{
    clock::Time,
    gateway::{
        owner::{
            Desk,
            Home, //
        },
        peers::Peers,
        replica::{
            identify,
            Answer,
            Keeper, //
        },
    },
    log::{
        memory::{
            Fault,
            Memory,
            Service, //
        },
        Batch,
        Bounds,
        Failure,
        Log, //
    },
    member::{
        Listed,
        Roster, //
    },
    name::{
        Instance,
        Zone, //
    },
    peer::{
        Mesh,
        Settings, //
    },
};
use tokio::{
    net::TcpListener,
    time::{
        sleep,
        timeout, //
    }, //
};

/// Partitions of the accounts.
const PARTITIONS: u32 = 4;

/// Timeout of a call of the log's client.
const PATIENCE: Duration = Duration::from_millis(300);

/// A log with configurable latency, whose unanswered calls end with the client's timeout.
#[derive(Clone)]
struct Remote {
    log: Memory,
    delay: Rc<Cell<Duration>>,
}

impl Remote {
    async fn call<T>(&self, call: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
        sleep(self.delay.get()).await;
        let result = call.await;
        if matches!(result, Err(Failure::Unknown(_))) {
            sleep(PATIENCE).await;
        }
        result
    }
}

impl Log for Remote {
    async fn append(&self, partition: u32, records: &[Bytes]) -> Result<u64, Failure> {
        self.call(self.log.append(partition, records)).await
    }

    async fn read(&self, partition: u32, from: u64, wait: Duration) -> Result<Batch, Failure> {
        self.call(self.log.read(partition, from, wait)).await
    }

    async fn bounds(&self, partition: u32) -> Result<Bounds, Failure> {
        self.call(self.log.bounds(partition)).await
    }
}

/// A gateway instance without listeners for callers.
struct Node {
    name: Instance,
    zone: &'static str,
    address: SocketAddr,
    log: Memory,
    /// Latency of a call to the log.
    delay: Rc<Cell<Duration>>,
    keeper: Rc<Keeper<Remote>>,
    home: Rc<Home<Remote>>,
    peers: Peers,
}

impl Node {
    async fn start(name: &str, zone: &'static str, log: &Memory) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let name = Instance::try_from(name).unwrap();
        let place = Zone::try_from(zone).unwrap();
        let log = log.share();
        let delay = Rc::<Cell<Duration>>::default();
        let remote = Remote {
            log: log.clone(),
            delay: delay.clone(),
        };
        let keeper = Rc::new(Keeper::new(remote, PARTITIONS));
        let home = Rc::new(Home::new(keeper.clone()));
        let roster = Roster::start(name.clone(), place.clone(), &address.to_string());
        let settings = Settings::new("test", name.clone(), place, address, "test");
        let mesh = Mesh::run(settings, listener, Desk(keeper.clone()), roster.clone());
        let peers = Peers { mesh, roster };
        keeper.path().connect(peers.clone());
        home.connect(peers.clone());
        actix_web::rt::spawn(keeper.clone().run());
        Self {
            name,
            zone,
            address,
            log,
            delay,
            keeper,
            home,
            peers,
        }
    }

    /// Adds the other instances to the membership view.
    async fn know(&self, known: &[Listed]) {
        self.peers
            .roster
            .update(|view| view.listed(Time::now(), known));
        self.home.join().await;
    }

    /// Gives up the ownership of its partitions and takes it again.
    fn readopt(&self) {
        for partition in 0..PARTITIONS as usize {
            let home = self.keeper.homes(partition);
            self.keeper.adopt(partition, false);
            self.keeper.adopt(partition, home);
        }
    }

    /// Requests a decision on whether a turn may run.
    async fn open(&self, program: &str, turn: u64) -> Answer {
        let request = self.home.open(program, turn, 100, 1_000);
        let answer = timeout(Duration::from_secs(5), request.answer).await;
        answer.expect("a turn is answered").unwrap()
    }
}

/// Returns an instance as the platform lists it.
fn listed(name: &str, zone: &str, address: SocketAddr) -> Listed {
    Listed {
        instance: Instance::try_from(name).unwrap(),
        zone: Zone::try_from(zone).unwrap(),
        address: address.to_string(),
        leaving: false,
    }
}

/// Starts instances that know each other.
async fn start(places: &[(&str, &'static str)]) -> Vec<Node> {
    let log = Memory::new(PARTITIONS);
    let mut nodes = Vec::new();
    for (name, zone) in places {
        nodes.push(Node::start(name, zone, &log).await);
    }
    let known: Vec<_> = nodes
        .iter()
        .map(|node| listed(node.name.as_str(), node.zone, node.address))
        .collect();
    for node in &nodes {
        node.know(&known).await;
    }
    for node in &nodes {
        for turn in 0..20 {
            let answer = node.open(&format!("warm-{turn}"), turn).await;
            assert_eq!(answer, Answer::Granted);
        }
    }
    nodes
}

async fn wait(node: &Node, cut: bool) {
    let start = Instant::now();
    while node.home.cut_off() != cut {
        assert!(start.elapsed() < Duration::from_secs(2));
        sleep(Duration::from_millis(10)).await;
    }
}

/// If an instance of an isolated zone considers itself healthy, its callers wait for nothing, and
/// turns that it sends to an upstream are wasted.
#[test]
fn cut_zone_is_known_at_once_until_it_is_back() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")]).await;
        let (zone, rest) = nodes.split_at(2);
        zone.iter()
            .for_each(|node| node.log.set_service(Service::Refusing));
        rest.iter().for_each(|node| node.peers.mesh.stop());
        zone[0].home.suspect();
        zone[1].home.suspect();
        for node in zone {
            wait(node, true).await;
            let request = node.home.open("p", 1, 100, 1_000);
            assert!(!request.likely);
            assert_eq!(request.answer.await, Ok(Answer::Unavailable));
            let back = node.home.elsewhere().unwrap();
            assert!(back > Duration::from_secs(1), "{back:?}");
        }
        sleep(Duration::from_secs(3)).await;
        for node in zone {
            assert!(node.home.cut_off());
            node.log.set_service(Service::Up);
        }
        for node in zone {
            wait(node, false).await;
            assert_eq!(node.home.elsewhere(), None);
        }
    });
}

/// A caller of an isolated instance can be served by other instances of its zone, without waiting
/// for the balancer.
#[test]
fn cut_instance_sends_callers_to_its_neighbours() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("a2", "a"), ("b1", "b")]).await;
        nodes[0].log.set_service(Service::Refusing);
        nodes[1..].iter().for_each(|node| node.peers.mesh.stop());
        nodes[0].home.suspect();
        wait(&nodes[0], true).await;
        let back = nodes[0].home.elsewhere().unwrap();
        assert!(back < Duration::from_millis(100), "{back:?}");
    });
}

/// Failures of the store alone must not take an instance out of service.
#[test]
fn instance_that_is_heard_is_not_cut_off() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        nodes[0].home.suspect();
        sleep(Duration::from_millis(900)).await;
        assert!(!nodes[0].home.cut_off());
    });
}

/// An owner that was isolated refuses turns for a while; an instance that reached the log all the
/// time can have the log decide.
#[test]
fn turn_is_decided_by_the_log_while_its_home_can_not() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        nodes[0].log.set_service(Service::Refusing);
        assert!(nodes[0].keeper.read_for(0, 0).await.is_none());
        nodes[0].log.set_service(Service::Up);
        nodes[0].readopt();
        for turn in 0..40 {
            let answer = nodes[1].open(&format!("program-{turn}"), turn).await;
            assert_eq!(answer, Answer::Granted);
        }
    });
}

/// Turns granted during an outage may not be in the log yet when an instance starts that did not
/// observe the outage.
#[test]
fn new_instance_waits_for_grants_of_an_outage_before_its_start() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        nodes[1].log.set_service(Service::Refusing);
        assert!(nodes[1].keeper.read_for(0, 0).await.is_none());
        nodes[1].log.set_service(Service::Up);
        let node = Node::start("b2", "b", &nodes[0].log).await;
        let known: Vec<_> = nodes
            .iter()
            .map(|node| listed(node.name.as_str(), node.zone, node.address))
            .collect();
        node.know(&known).await;
        let homed = (0..PARTITIONS as usize).filter(|index| node.keeper.homes(*index));
        assert!(homed.count() > 0);
        let mut refused = 0;
        for turn in 0..20 {
            let answer = node.open(&format!("p-{turn}"), turn).await;
            refused += u32::from(answer == Answer::Unavailable);
        }
        assert!(refused > 0);
        sleep(Duration::from_millis(2_600)).await;
        for turn in 20..40 {
            let answer = node.open(&format!("p-{turn}"), turn).await;
            assert_eq!(answer, Answer::Granted);
        }
    });
}

/// The store may drop the history of one topic, or close its waiting reads, while the accounts stay
/// available; an owner that treats this as an outage refuses turns for seconds.
#[test]
fn trouble_with_another_topic_delays_no_new_home() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a")]).await;
        nodes[0].home.suspect();
        nodes[0].readopt();
        assert_eq!(nodes[0].open("p", 1).await, Answer::Granted);
    });
}

/// A lost answer to an append is no outage; other instances can't have granted turns without the
/// log.
#[test]
fn lost_append_delays_no_new_home() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a")]).await;
        nodes[0].log.fail([Fault::AnswerLost]);
        assert_eq!(nodes[0].open("p", 1).await, Answer::Unavailable);
        // The log is not called for a second after a failure.
        sleep(Duration::from_millis(1_100)).await;
        nodes[0].readopt();
        assert_eq!(nodes[0].open("p", 2).await, Answer::Granted);
    });
}

/// Two owners of a partition would grant a program twice its budget during an outage: a leaving
/// instance that serves its last callers, and its successor.
#[test]
fn leaving_instance_is_no_home() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        let homes = |node: &Node| {
            let partitions = 0..PARTITIONS as usize;
            partitions.filter(|index| node.keeper.homes(*index)).count()
        };
        assert!(homes(&nodes[0]) > 0);
        nodes[0].peers.roster.update(|view| view.leave(Time::now()));
        nodes[0].home.adopt();
        assert_eq!(homes(&nodes[0]), 0);
    });
}

/// Checks that turns of `asker` are granted, and that `home` charges those of partitions it owns.
async fn assert_told(home: &Node, asker: &Node) {
    for turn in 0..20 {
        let program = format!("program-{turn}");
        assert_eq!(asker.open(&program, turn).await, Answer::Granted);
        sleep(Duration::from_millis(20)).await;
        let index = home.keeper.partition_of(identify(&program));
        if home.keeper.homes(index) {
            assert_eq!(home.keeper.charged(identify(&program)), 100);
        }
    }
}

/// An owner that continues without the log must have been notified of the turns that the log
/// granted to other instances.
#[test]
fn home_is_told_of_turns_that_the_log_granted() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        nodes[0].log.set_service(Service::Refusing);
        assert!(nodes[0].keeper.read_for(0, 0).await.is_none());
        nodes[0].readopt();
        assert_told(&nodes[0], &nodes[1]).await;
    });
}

/// An owner that is avoided because it was slow must be notified as well.
#[test]
fn avoided_home_is_told_of_turns_that_the_log_granted() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        nodes[0].delay.set(Duration::from_secs(10));
        assert_told(&nodes[0], &nodes[1]).await;
    });
}

/// A turn that starts before the decision is wasted if it is refused; waiting for a slow store
/// would delay all turns.
#[test]
fn turn_starts_before_its_account_answers_only_while_answers_are_slow() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        let likely = || {
            let open = |turn: &u64| {
                let program = format!("p-{turn}");
                nodes[0].home.open(&program, *turn, 100, 1_000).likely
            };
            (0..40).filter(open).count()
        };
        assert_eq!(likely(), 0);
        nodes[1].delay.set(Duration::from_millis(100));
        likely();
        sleep(Duration::from_millis(700)).await;
        assert!(likely() > 0);
        sleep(Duration::from_millis(700)).await;
        nodes[1].delay.set(Duration::from_secs(10));
        likely();
        sleep(Duration::from_millis(600)).await;
        assert_eq!(likely(), 0);
    });
}

/// The first turn detects that the direct path to the log fails; each later turn that used it would
/// wait for the timeout as well.
#[test]
fn turns_do_not_try_a_broken_way() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")]).await;
        nodes[0].log.set_service(Service::Silent);
        for turn in 0..10 {
            nodes[0].open(&format!("first-{turn}"), turn).await;
        }
        let start = Instant::now();
        let mut slowest = Duration::ZERO;
        for turn in 0.. {
            let asked = Instant::now();
            let program = format!("p-{turn}");
            assert_eq!(nodes[0].open(&program, turn).await, Answer::Granted);
            slowest = slowest.max(asked.elapsed());
            sleep(Duration::from_millis(50)).await;
            if start.elapsed() > Duration::from_secs(3) {
                break;
            }
        }
        assert!(slowest < PATIENCE / 2, "{slowest:?}");
        nodes[0].log.set_service(Service::Up);
        sleep(Duration::from_millis(1_500)).await;
        assert!(nodes[0].keeper.reaches().await);
    });
}

/// If an isolated owner is not avoided, each turn waits for it as long as the first one.
#[test]
fn silent_home_delays_one_turn_only() {
    System::new().block_on(async {
        let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let node = Node::start("a1", "a", &Memory::new(PARTITIONS)).await;
        node.know(&[listed("b1", "b", silent.local_addr().unwrap())])
            .await;
        let mut slow = 0;
        for turn in 0..40 {
            let asked = Instant::now();
            let answer = node.open(&format!("p-{turn}"), turn).await;
            assert_eq!(answer, Answer::Granted);
            slow += u32::from(asked.elapsed() > Duration::from_millis(200));
        }
        assert!(slow <= 1, "{slow}");
    });
}
