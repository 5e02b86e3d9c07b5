//! Logs by `fern`: one line for each event, as text or JSON, with key-values.

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

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// `time level target message key=value ...`.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

impl_named_enum!(LogFormat, "expected text or json", "text" => LogFormat::Text, "json" => LogFormat::Json);

/// Where log lines go.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogOutput {
    /// Standard error, by the thread that logs.
    #[default]
    Stderr,
    /// Standard output, by a thread of its own; lines that it can't keep up with are dropped and counted.
    Stdout,
}

impl_named_enum!(LogOutput, "expected stderr or stdout",
    "stderr" => LogOutput::Stderr, "stdout" => LogOutput::Stdout);

/// Collects key-values as text.
#[derive(Debug, Default)]
struct TextPairs(String);

impl<'kvs> VisitSource<'kvs> for TextPairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(Into::into)
    }
}

/// Collects key-values as JSON.
#[derive(Debug, Default)]
struct JsonPairs(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonPairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}

/// Starts logging; a second call keeps the first's settings.
pub fn start(config: LogConfig, process: &str) {
    let process = process.to_owned();
    let form = config.format;
    let output: Box<dyn io::Write + Send> = match config.output {
        LogOutput::Stderr => Box::new(io::stderr()),
        LogOutput::Stdout => Box::new(LogQueue::start()),
    };
    let started = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("carobfield", config.level)
        .level_for("carobfield_platform", config.level)
        .level_for("carobfield_standin", config.level)
        .format(move |out, message, record| match form {
            LogFormat::Text => out.finish(format_args!("{}", text_line(&process, message, record))),
            LogFormat::Json => out.finish(format_args!("{}", json_line(&process, message, record))),
        })
        .chain(output)
        .apply();
    if let Err(e) = started {
        log::debug!("logging was started before: {e}");
    }
}

/// Waits a little for lines that are not written yet.
pub fn finish() {
    LogQueue::drain();
}

fn text_line(process: &str, message: &std::fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut pairs = TextPairs::default();
    let visited = record.key_values().visit(&mut pairs);
    let suffix = if visited.is_ok() {
        pairs.0
    } else {
        String::new()
    };
    let (ms, level, target) = (clock::unix_ms(), record.level(), record.target());
    format!("{ms} {level} {process} {target} {message}{suffix}")
}

fn json_line(process: &str, message: &std::fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut pairs = JsonPairs::default();
    if record.key_values().visit(&mut pairs).is_err() {
        pairs.0.clear();
    }
    json!({
        "ms": clock::unix_ms(),
        "level": record.level().as_str(),
        "process": process,
        "target": record.target(),
        "message": message.to_string(),
        "fields": pairs.0,
    })
    .to_string()
}
