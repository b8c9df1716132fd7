//! A time in seconds, as targets write it.

use std::time::Duration;

/// Longest text of a time, in bytes.
const MAX_LEN: usize = 32;

/// Longest time, for texts beyond it.
const MAX: Duration = Duration::from_secs(u32::MAX as u64);

/// The longest time among the values of a header, each of which may be a list; `None` if there is none.
/// Times are digits with at most one decimal point.
///
/// # Errors
///
/// The value that is not a list of times.
pub fn longest_seconds<'a, I>(values: I) -> Result<Option<Duration>, Box<str>>
where
    I: IntoIterator<Item = &'a [u8]>,
{
    let mut longest = None;
    for value in values {
        let text = String::from_utf8_lossy(value);
        for item in text.split(',') {
            let time = seconds(item.trim()).ok_or_else(|| Box::from(&*text))?;
            longest = longest.max(Some(time));
        }
    }
    Ok(longest)
}

fn seconds(text: &str) -> Option<Duration> {
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if !is_decimal || text.len() > MAX_LEN {
        return None;
    }
    let secs: f64 = text.parse().ok()?;
    Some(Duration::try_from_secs_f64(secs).map_or(MAX, |t| t.min(MAX)))
}
