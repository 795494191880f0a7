//! JSON log lines on standard output that never block the code that logs them.
//!
//! Lines go through a bounded queue to one thread. When the queue is full, lines are dropped and
//! counted.

use std::{
    io::Write,
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
};

use eyre::WrapErr;
use log4rs::{
    append::Append,
    config::{Appender, Config, Logger, Root},
    encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter},
};

/// Lines that can wait for the writing thread.
const QUEUE_LINES: usize = 4_096;
/// Maximum number of lines written with one system call.
const BATCH_LINES: usize = 64;

#[derive(Debug)]
struct QueueAppender {
    encoder: JsonEncoder,
    lines: SyncSender<Vec<u8>>,
}

impl Append for QueueAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(512));
        self.encoder.encode(&mut line, record)?;
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line.0) {
            metrics::counter!("carobvane_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Installs the logger of this process.
///
/// # Errors
///
/// Fails if a logger is already set, or if the writing thread cannot be started.
pub fn start_logging(level: log::LevelFilter) -> eyre::Result<()> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    thread::Builder::new()
        .name("log".to_string())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&queue))
        .wrap_err("failed to start the log thread")?;
    let appender = QueueAppender { encoder: JsonEncoder::new(), lines };
    let config = Config::builder()
        .appender(Appender::builder().build("queue", Box::new(appender)))
        .logger(Logger::builder().build("hyper", log::LevelFilter::Warn))
        .build(Root::builder().appender("queue").build(level))
        .wrap_err("failed to build the log configuration")?;
    log4rs::init_config(config).wrap_err("failed to start logging")?;
    Ok(())
}

fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    while let Ok(mut batch) = queue.recv() {
        for _ in 1..BATCH_LINES {
            match queue.try_recv() {
                Ok(line) => batch.extend_from_slice(&line),
                Err(_) => break,
            }
        }
        // There is nowhere else to report that standard output is closed.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            metrics::counter!("carobvane_log_batches_lost_total").increment(1);
        }
    }
}
