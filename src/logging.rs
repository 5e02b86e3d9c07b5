//! Logs by `fern`: one line for each event, as text or JSON, with key-values.

use log::{
    LevelFilter, Record,
    kv::{Key, Value, VisitSource},
};
use serde_json::{Map, json};
use std::{fmt::Write, io};

use crate::{catalogue::named_set, clock};
use std::{
    fmt::{Display, Formatter},
    str::FromStr,
};

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogForm {
    /// `time level target message key=value ...`.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

named_set!(LogForm, "expected text or json", "text" => LogForm::Text, "json" => LogForm::Json);

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

/// Starts logging to standard error; a second call keeps the first's settings.
pub fn start(level: LevelFilter, form: LogForm, process: &str) {
    let process = process.to_owned();
    let started = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("carobfield", level)
        .level_for("carobfield_standin", level)
        .format(move |out, message, record| match form {
            LogForm::Text => out.finish(format_args!("{}", text_line(&process, message, record))),
            LogForm::Json => out.finish(format_args!("{}", json_line(&process, message, record))),
        })
        .chain(io::stderr())
        .apply();
    if let Err(e) = started {
        log::debug!("logging was started before: {e}");
    }
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
