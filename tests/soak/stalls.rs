//! Times at which the soak itself did not run. They excuse nothing; a finding says whether there were any.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(10);
/// Shortest stall that is recorded.
const MIN_STALL: Duration = Duration::from_millis(100);

/// A thread that watches for stalls until it is asked for them.
pub struct StallWatch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<String>>,
}

impl StallWatch {
    pub fn start() -> StallWatch {
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let started = Instant::now();
            let mut stalls = Vec::new();
            let mut last = started;
            while !is_stopped.load(Ordering::Relaxed) {
                std::thread::sleep(INTERVAL);
                let now = Instant::now();
                if now - last >= MIN_STALL {
                    let (from, span) = (last - started, now - last);
                    stalls.push(format!(
                        "NOTE: the soak stood still for {span:?} at {from:?}"
                    ));
                }
                last = now;
            }
            stalls
        });
        StallWatch { stop, thread }
    }

    /// A line for each stall.
    pub fn stalls(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the watch does not panic")
    }
}
