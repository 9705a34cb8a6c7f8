use bramleywind_settings::{DaemonSettings, LogFormat, LogLevel};
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// How many log lines are queued for a slow reader before further ones are dropped and counted.
const LOG_QUEUE_LINES: usize = 4_096;

/// Creates the logger that the settings describe, which writes one line per event to standard error. Dropping the
/// returned guard flushes the queued lines.
pub fn new_logger(settings: &DaemonSettings) -> (Logger, AsyncGuard) {
    let level = match settings.log.level {
        LogLevel::Trace => Level::Trace,
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
        LogLevel::Critical => Level::Critical,
    };
    let (drain, guard) = match settings.log.format {
        LogFormat::Json => async_drain(slog_json::Json::default(std::io::stderr()).fuse()),
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            async_drain(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    let drain = LevelFilter::new(drain, level).fuse();
    let instance = settings.instance.to_string();
    (Logger::root(drain, o!("instance" => instance)), guard)
}

fn async_drain<D>(drain: D) -> (slog::Fuse<Async>, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let (drain, guard) = Async::new(drain)
        .chan_size(LOG_QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (drain.fuse(), guard)
}
