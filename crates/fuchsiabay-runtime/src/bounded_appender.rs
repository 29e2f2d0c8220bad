//! A log appender that never blocks the logging thread.

use std::{
    fmt,
    io::{self, Write},
    sync::Arc,
    thread,
    time::Duration,
};

use log::Record;
use log4rs::{
    append::Append,
    encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter},
};
use parking_lot::{Condvar, Mutex};

/// The size of the queue of encoded lines. Lines that do not fit are dropped and counted.
const QUEUE_CAPACITY_BYTES: usize = 256 * 1024;

/// How long the writer thread collects lines before each write.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// The longest time that `flush` waits for the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Queue {
    lines: Vec<u8>,
    dropped: u64,
    is_writing: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    not_empty: Condvar,
    written: Condvar,
}

/// Encodes records as JSON lines into a bounded buffer, which a dedicated thread writes to the output.
pub(crate) struct BoundedAppender {
    encoder: JsonEncoder,
    shared: Arc<Shared>,
}

impl BoundedAppender {
    /// Starts the thread that writes to `output`.
    pub(crate) fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writer_shared = shared.clone();
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&writer_shared, output))?;
        Ok(Self { encoder: JsonEncoder::new(), shared })
    }
}

impl fmt::Debug for BoundedAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BoundedAppender").finish_non_exhaustive()
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Vec::with_capacity(512);
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        let mut queue = self.shared.queue.lock();
        if queue.lines.len() + line.len() > QUEUE_CAPACITY_BYTES {
            queue.dropped += 1;
            return Ok(());
        }
        let was_empty = queue.lines.is_empty();
        queue.lines.extend_from_slice(&line);
        if was_empty {
            self.shared.not_empty.notify_one();
        }
        Ok(())
    }

    fn flush(&self) {
        let mut queue = self.shared.queue.lock();
        if !queue.lines.is_empty() || queue.is_writing {
            self.shared.written.wait_for(&mut queue, FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(shared: &Shared, mut output: impl Write) {
    loop {
        let mut queue = shared.queue.lock();
        while queue.lines.is_empty() {
            shared.not_empty.wait(&mut queue);
        }
        drop(queue);
        thread::sleep(BATCH_INTERVAL);
        let (mut lines, dropped) = {
            let mut queue = shared.queue.lock();
            queue.is_writing = true;
            (std::mem::take(&mut queue.lines), std::mem::take(&mut queue.dropped))
        };
        if dropped > 0 {
            metrics::counter!("fuchsiabay_log_lines_dropped_total").increment(dropped);
            lines.extend_from_slice(
                format!("{{\"level\":\"WARN\",\"message\":\"log: lines dropped\",\"lines\":{dropped}}}\n")
                    .as_bytes(),
            );
        }
        // A write error cannot be reported: this output is the log.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        shared.queue.lock().is_writing = false;
        shared.written.notify_all();
    }
}
