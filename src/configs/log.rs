//! Settings of logs.

use crate::logging::{LogForm, LogOutput};
use log::LevelFilter;

/// What is logged, and in what form.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// Form of a line.
    pub form: LogForm,
    /// Where lines go.
    pub output: LogOutput,
    /// Least severe level shown.
    pub level: LevelFilter,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            form: LogForm::Text,
            output: LogOutput::Stderr,
            level: LevelFilter::Info,
        }
    }
}
