//! Raises the fencing token in the store.
//!
//! An agent that was frozen and replaced could still send orders to the engine after its successor. The
//! engine refuses a token lower than the highest that it has seen, and the conditional update gives
//! each start of an agent a higher token than all earlier ones, also when two starts race.
//!
//! The store may come back from a copy without the last tokens. Tokens therefore begin anew in each
//! era, above all of the eras before, in an object of that era: no write that belongs to an earlier era
//! reaches it, however late it is carried out. Nothing has to be written again.

use platform_adapter::store::Store;
use serde_json::json;
use stair_platform::Error;
use stair_types::Era;

/// The kind of the objects that hold the tokens, one for each VM and era.
const KIND: &str = "stair-fences";

/// The name of a VM's object. A store that states no era has one object.
fn name(vm: &str, era: Era) -> String {
    match era {
        Era(0) => vm.to_owned(),
        era => format!("{vm}.{era}"),
    }
}

/// Raises the token of a VM's agent once, and returns it; `None` when the store has stated another era
/// meanwhile, in which the token has to be raised again.
///
/// # Errors
///
/// [`Error::Conflict`] when another agent raised the token meanwhile, otherwise as any store call. After
/// an unknown outcome the token is simply raised again.
pub async fn raise(store: &Store, vm: &str) -> Result<Option<u64>, Error> {
    let era = store.era();
    let name = name(vm, era);
    let found = store.get(KIND, &name).await;
    if store.era() != era {
        return Ok(None);
    }
    let (token, written) = match found {
        Ok(object) => {
            let last = object.spec["token"].as_u64().unwrap_or(0);
            let token = last.max(era.first_number()) + 1;
            let spec = json!({ "token": token });
            let written = store.replace(KIND, &name, object.revision, &spec).await;
            (token, written)
        }
        Err(Error::NotFound) => {
            let token = era.first_number() + 1;
            let spec = json!({ "token": token });
            (token, store.create(KIND, &name, &spec).await)
        }
        Err(e) => return Err(e),
    };
    written?;
    // Written in a later era, the token may have been given out before in the lost part of this one.
    Ok((store.era() == era).then_some(token))
}
