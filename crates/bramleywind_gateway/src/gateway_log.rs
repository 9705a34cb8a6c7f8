use bramleywind_types::InstanceId;
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Number of log lines queued for a slow reader; further lines are dropped, and their number is logged. This holds
/// about one second of the log of a loaded instance, in half a megabyte.
const LOG_QUEUE_LINES: usize = 1_024;

/// Creates a logger that writes one line of JSON for each event to standard output, and the guard that flushes the
/// queue when dropped.
pub fn new_logger(instance: &InstanceId, level: Level) -> (Logger, AsyncGuard) {
    let json = slog_json::Json::new(std::io::stdout()).add_default_keys().build().fuse();
    let (queue, guard) = Async::new(json)
        .chan_size(LOG_QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = LevelFilter::new(queue.fuse(), level).fuse();
    (Logger::root(drain, o!("instance" => instance.to_string())), guard)
}
