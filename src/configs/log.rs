//! Settings of logs.

use crate::logging::{LogFormat, LogOutput};
use log::LevelFilter;

/// What is logged, and in what form.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// Form of a line.
    pub format: LogFormat,
    /// Where lines go.
    pub output: LogOutput,
    /// Least severe level shown.
    pub level: LevelFilter,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            output: LogOutput::Stderr,
            level: LevelFilter::Info,
        }
    }
}
