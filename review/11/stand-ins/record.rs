//! Record of what was sent, answered and run.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

/// The record, with times in seconds since its start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} {}\n", text.as_ref());
        print!("{line}");
        // A record that can't be written shows nothing.
        self.file
            .lock()
            .unwrap()
            .write_all(line.as_bytes())
            .unwrap();
    }
}
