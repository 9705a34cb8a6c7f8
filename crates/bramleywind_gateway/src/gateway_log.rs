use bramleywind_types::InstanceId;
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Log lines that wait for a slow reader; further ones are dropped, and their number is logged. About a second of the
/// lines of a loaded instance, and half a megabyte.
const LOG_QUEUE_LINES: usize = 1_024;

/// The log: one line of JSON an event on the standard output, and the guard that writes what is left when dropped.
pub fn new_logger(instance: &InstanceId, level: Level) -> (Logger, AsyncGuard) {
    let json = slog_json::Json::new(std::io::stdout()).add_default_keys().build().fuse();
    let (queue, guard) = Async::new(json)
        .chan_size(LOG_QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = LevelFilter::new(queue.fuse(), level).fuse();
    (Logger::root(drain, o!("instance" => instance.to_string())), guard)
}
