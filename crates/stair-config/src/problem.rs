//! Errors in an operator's files, collected so that one run reports all of them.

use std::fmt;

/// A place in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The file, as the operator named it.
    pub file: Box<str>,
    /// The line, from 1; 0 for the file as a whole.
    pub line: u64,
    /// The field, such as `models[2].replicas`; empty for the file as a whole.
    pub field: Box<str>,
}

/// One error in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The file, line and field of the error.
    pub place: Place,
    /// The value found there, or a description of it.
    pub found: Box<str>,
    /// The values allowed there.
    pub allowed: Box<str>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Place { file, line, field } = &self.place;
        f.write_str(file)?;
        if *line > 0 {
            write!(f, ":{line}")?;
        }
        if !field.is_empty() {
            write!(f, ": {field}")?;
        }
        write!(f, ": found {}; allowed: {}", self.found, self.allowed)
    }
}

/// The errors found in one or more files.
///
/// Functions of this crate return them in the order of files and lines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Adds a problem with the display texts of `found` and `allowed`.
    pub fn add(&mut self, place: Place, found: impl fmt::Display, allowed: impl fmt::Display) {
        self.0.push(Problem {
            place,
            found: found.to_string().into(),
            allowed: allowed.to_string().into(),
        });
    }

    /// Moves the problems of `other` to the end of this list.
    pub fn append(&mut self, mut other: Self) {
        self.0.append(&mut other.0);
    }

    /// Returns `true` if no problem was added.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the problems.
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.0.iter()
    }

    /// Returns `value` if it is present and no problem was added.
    ///
    /// # Errors
    ///
    /// All problems, sorted by file and line.
    pub(crate) fn into_result<T>(mut self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.is_empty() => Ok(value),
            _ => {
                self.0.sort_by(|a, b| {
                    let key = |p: &Problem| (p.place.file.clone(), p.place.line);
                    key(a).cmp(&key(b))
                });
                Err(self)
            }
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.0 {
            writeln!(f, "{problem}")?;
        }
        match self.0.len() {
            1 => f.write_str("1 problem"),
            n => write!(f, "{n} problems"),
        }
    }
}

impl std::error::Error for Problems {}
