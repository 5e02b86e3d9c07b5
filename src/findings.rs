//! Problems found in declarations and settings, collected with their location and reported together.

use std::fmt::{Display, Formatter};

/// A problem and its location.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// File, as named by the user.
    pub file: String,
    /// Line, from 1; 0 for the file as a whole.
    pub line: usize,
    /// Section; empty before the first header.
    pub section: String,
    /// Key within the section; empty for the section as a whole.
    pub key: String,
    /// Description of the problem.
    pub problem: String,
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: [{}]", self.file, self.line, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.problem)
    }
}

/// All problems found by one check.
#[derive(Clone, Debug, Default)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a problem.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Returns `value` if there are no findings, else all findings, sorted by location.
    ///
    /// # Errors
    /// The findings, when there is at least one.
    pub fn or_ok<T>(mut self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort();
        Err(self)
    }
}

impl Display for Findings {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        write!(f, "{} finding(s)", self.0.len())
    }
}

impl std::error::Error for Findings {}
