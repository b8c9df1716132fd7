//! Lists all objects of a kind, page by page.
//!
//! Invariant: a list ends. Each page continues after a name that no page before has ended with; otherwise the list
//! has failed. Reading the same pages again would occupy the process and the store without end.

use platform_adapter::store::{
    Next,
    Object,
    Store,
    Unreadable, //
};
use stair_platform::Error;
use stair_types::StoreRevision;
use tokio::time::Instant;

use crate::context::Context;

/// A list that was read to its end.
pub(crate) struct Outcome {
    /// Revision of the first page. A watch from it returns the changes made between pages.
    pub(crate) revision: StoreRevision,
    /// The objects that do not decode.
    pub(crate) unreadable: Vec<Unreadable>,
}

/// Passes each object of a kind to `visit`. Without an error, all of them were passed.
///
/// # Errors
///
/// [`Error::Gone`] if the store came back from a copy between two pages, [`Error::Stalled`] if a page does not
/// lead to further ones although there are some, otherwise as any store call.
pub(crate) async fn each<F>(
    cx: &Context,
    store: &Store,
    kind: &str,
    mut visit: F,
) -> Result<Outcome, Error>
where
    F: FnMut(Object),
{
    let mut unreadable = Vec::new();
    let mut first: Option<StoreRevision> = None;
    // The names that pages continued after, sorted: the store's order of names need not be ours.
    let mut ends: Vec<Box<str>> = Vec::new();
    let mut after: Option<Box<str>> = None;
    loop {
        let begun = Instant::now();
        let page = store.list(kind, after.as_deref()).await;
        cx.page
            .time("store_call_ms", &[("call", "list")], begun.elapsed());
        let page = page?;
        let revision = *first.get_or_insert(page.revision);
        if page.revision.era != revision.era {
            // The pages before are of the state that was lost.
            return Err(Error::Gone);
        }
        page.objects.into_iter().for_each(&mut visit);
        unreadable.extend(page.unreadable);
        let next = match page.next {
            Next::End => {
                return Ok(Outcome {
                    revision,
                    unreadable,
                });
            }
            Next::Unknown => return Err(Error::Stalled(after.unwrap_or_default())),
            Next::After(name) => name,
        };
        match ends.binary_search(&next) {
            Ok(_) => return Err(Error::Stalled(next)),
            Err(at) => ends.insert(at, next.clone()),
        }
        after = Some(next);
    }
}
