//! Clients that send many short requests behind each other and don't read the answers.

use std::{
    io::Write as _,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{config, Deployment},
    http, record,
};

/// Memory of each machine in MB: `memoryMb` of the settings.
const MEMORY_MB: u64 = 120;
const CONNECTIONS: usize = 200;
const REQUESTS: usize = 400;
const CROWD_TIME: Duration = Duration::from_secs(9);

/// Sends a crowd to one instance; the platform kills its process if that exceeds the memory of the
/// machine. Returns whether it did.
fn crowd(deployment: &Deployment, index: usize) -> bool {
    let instance = &deployment.instances[index];
    let request = "GET /order/n HTTP/1.1\r\nHost: models.example\r\nRequest-Id: 0\r\n\r\n";
    let bytes = request.repeat(REQUESTS);
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let Ok(mut stream) = TcpStream::connect(instance.callers) else {
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(20)));
        let _ = stream.write_all(bytes.as_bytes());
        open.push(stream);
    }
    let begun = Instant::now();
    let mut most = 0;
    while begun.elapsed() < CROWD_TIME {
        most = most.max(deployment.memory_kb(instance) / 1_024);
        if most > MEMORY_MB {
            record::line(&format!(
                "{} takes {most} MB of {MEMORY_MB}; the platform kills it",
                instance.name
            ));
            deployment.kill(&[instance.clone()]);
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    record::line(&format!(
        "{} took {most} MB of {MEMORY_MB} at most",
        instance.name
    ));
    false
}

/// A crowd at two of three machines, three times each.
pub fn run(trouble: bool) -> Result<bool, String> {
    let deployment = Deployment::start(&["a", "b", "c"], 3, &config(4_000, false))?;
    let mut ended = [0; 2];
    for _ in 0..3 {
        for index in 0..2 {
            if trouble && crowd(&deployment, index) {
                ended[index] += 1;
                thread::sleep(Duration::from_millis(500));
                deployment.start_instance(&deployment.instances[index], false)?;
                deployment.wait_ready(&deployment.instances[index..=index])?;
            }
        }
    }
    let headers = [
        ("Host", "models.example".to_owned()),
        ("Request-Id", "1".to_owned()),
        ("Test-Bytes", "10".to_owned()),
    ];
    let answer = http::send(
        deployment.instances[2].callers,
        "POST",
        "/order/x",
        &headers,
        b"{}",
        Duration::from_secs(3),
    );
    record::line(&format!(
        "processes that exceeded their memory: {ended:?}; an ordinary request gets {}",
        answer.status
    ));
    Ok(ended.iter().any(|ends| *ends < 3))
}
