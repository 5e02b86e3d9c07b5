//! Problems found in declarations and settings, collected with their place and reported together.

use std::fmt::{Display, Formatter};

/// One problem and where it stands.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// File as it was named by the user.
    pub file: String,
    /// Line, from 1; 0 where the whole file is meant.
    pub line: usize,
    /// Section of the file; empty before the first.
    pub section: String,
    /// Key within the section; empty where the section is meant.
    pub key: String,
    /// What is wrong.
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

/// Every problem of one check, in the order of their places.
#[derive(Clone, Debug, Default)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a problem.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// `value` if nothing was found, else all findings, sorted by place.
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
