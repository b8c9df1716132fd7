//! The names of callers in metrics.

use super::{
    Ask,
    Caller,
    callers::truncated, //
};

/// Callers with names of their own in metrics.
pub const MAX_LABELS: usize = 32;

/// The names of callers in metrics. The first [`MAX_LABELS`] callers keep their names; the others
/// share one.
#[derive(Debug, Default)]
pub struct Labels {
    /// Sorted.
    names: Vec<Box<str>>,
}

impl Labels {
    /// The label of a prompt's caller.
    pub fn of(&mut self, ask: &Ask<'_>) -> &str {
        let name = match ask.caller {
            Some(caller) => truncated(&caller.name).into(),
            None => Caller::name_of_model(&ask.request.model),
        };
        match self.names.binary_search(&name) {
            Ok(i) => &self.names[i],
            Err(_) if self.names.len() >= MAX_LABELS => "others",
            Err(i) => {
                self.names.insert(i, name);
                &self.names[i]
            }
        }
    }
}
