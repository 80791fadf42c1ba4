//! Gateway processes of a small deployment, started as the deploy file says.

use std::{
    fs, io,
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Command of the deploy file.
const PROGRAM: &str = "target/release/gypsumleverd";
const ROLE: &str = "gateway";

/// Template of the settings that the deploy file names.
const TEMPLATE: &str = "deploy/settings.yaml";

/// Ports of each machine, and its range of free ports.
const FRONT_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
const PORT_RANGE: (u16, u16) = (7_380, 7_395);

/// Time within which a process has to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Number of the signal on Linux.
const SIGTERM: i32 = 15;

/// A machine with one process.
pub struct Machine {
    /// Name.
    pub name: String,
    /// Address for clients.
    pub front: SocketAddr,
    ready: SocketAddr,
    ip: String,
    zone: String,
    child: Option<Child>,
}

/// A deployment.
pub struct Fleet {
    /// Its machines.
    pub machines: Vec<Machine>,
    store: SocketAddr,
    /// Folder for settings and logs.
    folder: PathBuf,
}

impl Fleet {
    /// Starts one process for each zone that is named.
    pub fn start(network: &str, store: SocketAddr, zones: &[&str]) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let machines = zones.iter().enumerate().map(|(index, zone)| {
            let number = zones[..=index]
                .iter()
                .filter(|other| *other == zone)
                .count();
            let ip = format!("{network}.{}", index + 10);
            let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
            Machine {
                name: format!("edge-{zone}-{number}"),
                front: address(FRONT_PORT),
                ready: address(READY_PORT),
                ip: ip.clone(),
                zone: (*zone).to_owned(),
                child: None,
            }
        });
        let mut fleet = Self {
            machines: machines.collect(),
            store,
            folder,
        };
        for index in 0..fleet.machines.len() {
            fleet.start_process(index, true)?;
        }
        Ok(fleet)
    }

    /// Starts the process of a machine.
    pub fn start_process(&mut self, index: usize, first_start: bool) -> io::Result<()> {
        let machine = &mut self.machines[index];
        let template = fs::read_to_string(TEMPLATE)?;
        let settings = render(&template, machine, self.store, first_start);
        let path = self.folder.join(format!("{}.yaml", machine.name));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = fs::File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(PROGRAM);
        command
            .arg(ROLE)
            .env_clear()
            .env("GYPSUMLEVER_SETTINGS", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        machine.child = Some(command.spawn()?);
        Ok(())
    }

    /// Waits until the readiness checks of all machines pass; returns whether they do.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + START_TIMEOUT;
        while !self.machines.iter().all(Machine::is_ready) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(CHECK_INTERVAL);
        }
        true
    }

    /// Sends SIGTERM to the process of a machine.
    pub fn terminate(&self, index: usize) {
        if let Some(child) = &self.machines[index].child {
            // The process is a child that was not waited for, so that the number is its own.
            let _ = unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    /// Kills the process of a machine and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.machines[index].child.take() {
            // The process may have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process of a machine has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.machines[index].child.as_mut();
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            // Best effort: the folder is temporary.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Machine {
    /// Returns whether the readiness check passes.
    pub fn is_ready(&self) -> bool {
        let check = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let text = format!("GET /v1/readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
            io::Write::write_all(&mut stream, text.as_bytes())?;
            Ok(http::read(&mut stream)?.status())
        };
        check().is_ok_and(|status| status == 200)
    }
}

/// Fills the template in, with the figures of the example in the platform's pages.
fn render(template: &str, machine: &Machine, store: SocketAddr, first_start: bool) -> String {
    let (first, last) = PORT_RANGE;
    let quoted = |text: &str| format!("\"{text}\"");
    let values = [
        ("nodeName|json", quoted(&machine.name)),
        ("zone|json", quoted(&machine.zone)),
        ("listen.front|json", quoted(&machine.front.to_string())),
        ("listen.ready|json", quoted(&machine.ready.to_string())),
        ("ip|json", quoted(&machine.ip)),
        ("ip", machine.ip.clone()),
        ("portRange.0", first.to_string()),
        ("portRange.1", last.to_string()),
        ("portRange|json", format!("[{first}, {last}]")),
        ("platform.address|json", quoted(&store.to_string())),
        ("platform.parts", "12".into()),
        ("platform.readMbS", "80.0".into()),
        ("limits.cpuShare", "0.5".into()),
        ("limits.memoryMb", "120".into()),
        ("limits.maxFds", "8200".into()),
        ("bounds.graceS", "8".into()),
    ];
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    let (before, rest) = text.split_once("{{#firstStart}}").unwrap_or((&text, ""));
    let (section, after) = rest.split_once("{{/firstStart}}").unwrap_or(("", rest));
    let section = if first_start { section } else { "" };
    let text = format!("{before}{section}{}", after.trim_start_matches('\n'));
    let text = text.replace("{{#platform.readMbS}}", "");
    text.replace("{{/platform.readMbS}}", "")
}
