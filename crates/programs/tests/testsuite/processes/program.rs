//! Starts a program as a child process and reads the JSON lines that it writes.

use std::{
    io::{BufRead, BufReader, Read},
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;
use tokio::sync::mpsc;

/// Maximum number of lines that are buffered until the test reads them; further lines are dropped.
const LINE_CAPACITY: usize = 100_000;

/// A child process that is killed when the value is dropped.
pub struct RunningProgram {
    child: Child,
    lines: mpsc::Receiver<Value>,
}

impl RunningProgram {
    /// Starts a program with `arguments`. JSON lines are read from its stdout if `reads_stdout` is
    /// true, and from its stderr otherwise; the other stream is discarded.
    pub fn start(path: &str, arguments: &[String], reads_stdout: bool) -> RunningProgram {
        let mut command = Command::new(path);
        command.args(arguments).stdin(Stdio::null());
        if reads_stdout {
            command.stdout(Stdio::piped()).stderr(Stdio::null());
        } else {
            command.stdout(Stdio::null()).stderr(Stdio::piped());
        }
        let mut child = command.spawn().expect("failed to start the program");
        let stdout = child.stdout.take().map(|stdout| Box::new(stdout) as Box<dyn Read + Send>);
        let stderr = child.stderr.take().map(|stderr| Box::new(stderr) as Box<dyn Read + Send>);
        let stream = stdout.or(stderr).expect("one stream is piped");
        let (sender, lines) = mpsc::channel(LINE_CAPACITY);
        std::thread::spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                if let Ok(value) = serde_json::from_str(&line) {
                    // If the channel is full, the line is dropped: tests read far fewer lines.
                    sender.try_send(value).ok();
                }
            }
        });
        RunningProgram { child, lines }
    }

    /// Waits for the next line for which `matches` returns true. Panics if the program ends first.
    pub async fn wait_for_line(&mut self, matches: impl Fn(&Value) -> bool) -> Value {
        loop {
            let line = self
                .lines
                .recv()
                .await
                .expect("the program ended before it wrote the expected line");
            if matches(&line) {
                return line;
            }
        }
    }

    /// Waits for the next log line whose message is `text` and returns its attributes.
    pub async fn wait_for_message(&mut self, text: &str) -> Value {
        let line = self.wait_for_line(|line| line["message"] == text).await;
        line["attributes"].clone()
    }

    /// Sends a signal to the process.
    pub fn send_signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("failed to send the signal");
    }

    /// Waits until the process ends and returns its exit code, or `None` if a signal ended it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        self.child.wait().expect("failed to wait for the program").code()
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
