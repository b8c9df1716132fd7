//! Raises the fencing token in the store.
//!
//! An agent that was frozen and replaced could still send orders to the engine after its successor. The
//! engine refuses a token lower than the highest that it has seen, and the conditional update gives
//! each start of an agent a higher token than all earlier ones, also when two starts race.

use platform_adapter::store::Store;
use serde_json::json;
use stair_platform::Error;

/// The kind of the objects that hold the tokens, one for each VM.
const KIND: &str = "stair-fences";

/// Raises the token of a VM's agent once, and returns it.
///
/// # Errors
///
/// [`Error::Conflict`] when another agent raised the token meanwhile, otherwise as any store call. After
/// an unknown outcome the token is simply raised again.
pub async fn raise(store: &Store, vm: &str) -> Result<u64, Error> {
    match store.get(KIND, vm).await {
        Ok(object) => {
            let last = object.spec["token"].as_u64().unwrap_or(0);
            let token = last + 1;
            let spec = json!({ "token": token });
            store.replace(KIND, vm, object.revision, &spec).await?;
            Ok(token)
        }
        Err(Error::NotFound) => {
            store.create(KIND, vm, &json!({ "token": 1 })).await?;
            Ok(1)
        }
        Err(e) => Err(e),
    }
}
