//! Settings of logs.

use crate::logging::LogForm;
use log::LevelFilter;

/// What is logged, and in what form.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// Form of a line.
    pub form: LogForm,
    /// Least severe level shown.
    pub level: LevelFilter,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            form: LogForm::Text,
            level: LevelFilter::Info,
        }
    }
}
