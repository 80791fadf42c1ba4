//! Path between one machine and one engine: passes connections on, and can be cut.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::wire::reset_on_close;

/// Which machine a connection to an engine comes from, by the address that the engine sees.
pub type Origins = Arc<Mutex<HashMap<SocketAddr, usize>>>;

pub struct Path {
    pub address: SocketAddr,
    engine: SocketAddr,
    machine: usize,
    origins: Origins,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Path {
    pub fn start(
        address: SocketAddr,
        engine: SocketAddr,
        machine: usize,
        origins: Origins,
    ) -> std::io::Result<Self> {
        let path = Self {
            address,
            engine,
            machine,
            origins,
            cut: Arc::default(),
            open: Arc::default(),
        };
        path.listen()?;
        Ok(path)
    }

    /// Accepts connections until they are refused.
    fn listen(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let (cut, open) = (self.cut.clone(), self.open.clone());
        let (engine, machine, origins) = (self.engine, self.machine, self.origins.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if cut.load(Ordering::SeqCst) {
                    // Ends the listener, so that connections are refused.
                    reset_on_close(&stream);
                    return;
                }
                let Ok(server) = TcpStream::connect(engine) else {
                    reset_on_close(&stream);
                    continue;
                };
                if let Ok(local) = server.local_addr() {
                    origins.lock().unwrap().insert(local, machine);
                }
                let mut open = open.lock().unwrap();
                open.extend(stream.try_clone());
                open.extend(server.try_clone());
                drop(open);
                let pairs = (stream.try_clone(), server.try_clone());
                if let (Ok(stream_copy), Ok(server_copy)) = pairs {
                    thread::spawn(move || pass(stream, server_copy));
                    thread::spawn(move || pass(server, stream_copy));
                }
            }
        });
        Ok(())
    }

    /// Refuses new connections.
    pub fn refuse(&self) {
        self.cut.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Cuts the path: open connections are reset, new ones are refused.
    pub fn cut(&self) {
        self.refuse();
        for stream in self.open.lock().unwrap().drain(..) {
            reset_on_close(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends a cut.
    pub fn heal(&self) -> Result<(), String> {
        self.cut.store(false, Ordering::SeqCst);
        self.listen().map_err(|error| error.to_string())
    }
}

/// Passes bytes on; an end is passed on as an end, and a reset as a reset.
fn pass(mut from: TcpStream, mut to: TcpStream) {
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 << 10];
    loop {
        match from.read(&mut buffer) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(length) => {
                if to.write_all(&buffer[..length]).is_err() {
                    reset_on_close(&from);
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Err(_) => {
                reset_on_close(&to);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
