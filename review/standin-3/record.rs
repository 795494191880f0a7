//! The record of what a test sent, and what was answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begin: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("a record that can be written");
        Record { file: Arc::new(Mutex::new(file)), begin: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.begin.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}
