//! Structured logging as JSON lines.

use slog::{Drain, FnValue, Level, Logger, PushFnValue, o};

use crate::model::unix_time::UnixMillis;
use crate::process::settings::LogLevel;

/// Capacity of the output queue, in lines. Lines beyond it are dropped and counted, so that slow output never
/// blocks the daemon.
const MAX_QUEUED_LINES: usize = 4096;

/// Creates a logger that writes JSON lines to standard output. Dropping the returned guard writes the queued
/// lines.
pub fn start_logger(level: LogLevel) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::new(std::io::stdout())
        .set_flush(true)
        .add_key_value(o!(
            "time_ms" => FnValue(|_| UnixMillis::from(std::time::SystemTime::now()).get()),
            "level" => FnValue(|record| record.level().as_short_str()),
            "message" => PushFnValue(|record, serializer| serializer.emit(record.msg())),
        ))
        .build()
        .fuse();
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let filtered = json.filter_level(level).fuse();
    let (drain, guard) = slog_async::Async::new(filtered)
        .chan_size(MAX_QUEUED_LINES)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}

/// Creates a logger that discards everything.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
