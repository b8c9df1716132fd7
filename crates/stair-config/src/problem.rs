//! What is wrong with an operator's files, all of it at once.

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

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Where.
    pub place: Place,
    /// What was found there.
    pub found: Box<str>,
    /// What is allowed there.
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

/// Everything that is wrong, in the order of files and lines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Adds a problem.
    pub fn add(&mut self, place: Place, found: impl fmt::Display, allowed: impl fmt::Display) {
        self.0.push(Problem {
            place,
            found: found.to_string().into(),
            allowed: allowed.to_string().into(),
        });
    }

    /// Takes over the problems of another file.
    pub fn append(&mut self, mut other: Self) {
        self.0.append(&mut other.0);
    }

    /// Tells whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the problems.
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.0.iter()
    }

    /// Returns `value` if nothing is wrong.
    ///
    /// # Errors
    ///
    /// All problems, sorted by place.
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
