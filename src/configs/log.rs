//! Log settings.

use crate::logging::{LogFormat, LogOutput};
use log::LevelFilter;

/// Settings of logs.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// Format of a line.
    pub format: LogFormat,
    /// Destination of lines.
    pub output: LogOutput,
    /// Least severe level that is logged.
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
