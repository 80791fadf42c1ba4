//! Guards the client of the store against answers that are cut off.

use std::{
    io::Write as _,
    net::TcpListener,
    rc::Rc,
    thread,
    time::Duration, //
};

use gypsumlever::{
    gateway::{
        metrics::Metrics,
        settings, //
    },
    log::Log as _,
    platform::store::{
        Store,
        Topic, //
    },
};

use crate::support::read;

/// A read that was cut off behind its header passed for one of a partition without records.
#[actix_web::test]
async fn read_that_is_cut_off_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            read(&mut stream);
            // The end of the partition and its first offset, of a body with records.
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n".as_bytes();
            let bounds = [5_u64.to_be_bytes(), 0_u64.to_be_bytes()].concat();
            stream.write_all(&[head, &bounds].concat()).unwrap();
        }
    });
    let settings = settings::Store {
        address,
        partitions: 1,
        read_mb_per_s: 80.0,
    };
    let store = Rc::new(Store::new(&settings, Metrics::new().unwrap()));
    let topic = Topic::new(store, "turns");
    let batch = topic.read(0, 0, Duration::ZERO).await;
    assert!(batch.is_err(), "{batch:?}");
}
