//! Logging with `fern`: one line per event, as text or JSON, with key-values.

use log::{
    LevelFilter, Record,
    kv::{Key, Value, VisitSource},
};
use serde_json::{Map, json};
use std::{fmt::Write, io};

use crate::{catalogue::impl_named_enum, clock, configs::log::LogConfig, log_queue::LogQueue};
use std::{
    fmt::{Display, Formatter},
    str::FromStr,
};

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// `time level target message key=value ...`.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

impl_named_enum!(LogFormat, "expected text or json", "text" => LogFormat::Text, "json" => LogFormat::Json);

/// Destination of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogOutput {
    /// Standard error, written by the thread that logs.
    #[default]
    Stderr,
    /// Standard output, written by a separate thread; lines beyond its queue are dropped and counted.
    Stdout,
}

impl_named_enum!(LogOutput, "expected stderr or stdout",
    "stderr" => LogOutput::Stderr, "stdout" => LogOutput::Stdout);

/// Visitor that collects key-values as text.
#[derive(Debug, Default)]
struct TextKeyValues(String);

impl<'kvs> VisitSource<'kvs> for TextKeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(Into::into)
    }
}

/// Visitor that collects key-values as JSON.
#[derive(Debug, Default)]
struct JsonKeyValues(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonKeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}

/// Starts logging; later calls have no effect.
pub fn start(config: LogConfig, process: &str) {
    let process = process.to_owned();
    let format = config.format;
    let output: Box<dyn io::Write + Send> = match config.output {
        LogOutput::Stderr => Box::new(io::stderr()),
        LogOutput::Stdout => Box::new(LogQueue::start()),
    };
    let result = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("carobfield", config.level)
        .level_for("carobfield_platform", config.level)
        .level_for("carobfield_standin", config.level)
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!("{}", text_line(&process, message, record))),
            LogFormat::Json => out.finish(format_args!("{}", json_line(&process, message, record))),
        })
        .chain(output)
        .apply();
    if let Err(e) = result {
        log::debug!("logging was already started: {e}");
    }
}

/// Waits a limited time for queued lines to be written.
pub fn finish() {
    LogQueue::drain();
}

fn text_line(process: &str, message: &std::fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut visitor = TextKeyValues::default();
    let visited = record.key_values().visit(&mut visitor);
    let suffix = if visited.is_ok() {
        visitor.0
    } else {
        String::new()
    };
    let (ms, level, target) = (clock::unix_ms(), record.level(), record.target());
    format!("{ms} {level} {process} {target} {message}{suffix}")
}

fn json_line(process: &str, message: &std::fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut visitor = JsonKeyValues::default();
    if record.key_values().visit(&mut visitor).is_err() {
        visitor.0.clear();
    }
    json!({
        "ms": clock::unix_ms(),
        "level": record.level().as_str(),
        "process": process,
        "target": record.target(),
        "message": message.to_string(),
        "fields": visitor.0,
    })
    .to_string()
}
