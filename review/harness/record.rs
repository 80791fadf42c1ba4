//! What was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self(Arc::new(Mutex::new(file)), Instant::now()))
    }

    pub fn note(&self, who: &str, what: &str) {
        let at = self.1.elapsed().as_secs_f64();
        let mut file = self.0.lock().unwrap();
        // A record that can't be written shows as a short file.
        let _ = writeln!(file, "{at:8.3} s  {who:<12} {what}");
    }
}
