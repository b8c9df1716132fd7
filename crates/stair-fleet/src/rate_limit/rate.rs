//! A rate in requests per second, as targets write it.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Least rate that is granted, in requests per second. Only a response of the target tells that its
/// limit has ended, so a limit of 0 needs a request from time to time.
const MIN_RATE: f64 = 0.1;

/// Longest text of a rate, in bytes.
const MAX_LEN: usize = 32;

/// Requests per second: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

/// A text or number is not a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a decimal number of requests per second")]
pub struct ParseError;

impl Rate {
    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }

    /// The lowest rate among the values of a header, each of which may be a list; `None` if there is
    /// none.
    ///
    /// # Errors
    ///
    /// The value that is not a list of decimal numbers.
    pub fn lowest<'a, I>(values: I) -> Result<Option<Self>, Box<str>>
    where
        I: IntoIterator<Item = &'a [u8]>,
    {
        let mut lowest: Option<Self> = None;
        for value in values {
            let text = String::from_utf8_lossy(value);
            for item in text.split(',') {
                let rate = Self::try_from(item.trim()).map_err(|_| Box::from(&*text))?;
                if lowest.is_none_or(|l| rate < l) {
                    lowest = Some(rate);
                }
            }
        }
        Ok(lowest)
    }

    /// The rate that is granted for a limit of this rate.
    pub(super) fn granted(self) -> Self {
        Self(self.0.max(MIN_RATE))
    }

    pub(super) fn divided_by(self, n: u32) -> Self {
        Self(self.0 / f64::from(n.max(1)))
    }
}

impl TryFrom<f64> for Rate {
    type Error = ParseError;

    fn try_from(per_s: f64) -> Result<Self, ParseError> {
        match per_s.is_finite() && per_s >= 0.0 {
            true => Ok(Self(per_s)),
            false => Err(ParseError),
        }
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}

/// Digits with at most one decimal point; no sign and no exponent.
impl TryFrom<&str> for Rate {
    type Error = ParseError;

    fn try_from(text: &str) -> Result<Self, ParseError> {
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        if !is_decimal || text.len() > MAX_LEN {
            return Err(ParseError);
        }
        let per_s: f64 = text.parse().map_err(|_| ParseError)?;
        per_s.try_into()
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
