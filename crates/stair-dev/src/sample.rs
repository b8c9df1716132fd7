//! The sample catalogue and its callers' keys.

use stair_config::{
    Catalogue,
    declarations::Declarations,
    problem::Problems,
    yaml::Document, //
};

/// The key of a caller of the better tier.
pub const INTERACTIVE_KEY: &str = "sample-interactive-key";

/// The key of a caller of the lower tier.
pub const BATCH_KEY: &str = "sample-batch-key";

/// The plain service of the sample.
pub const SERVICE: &str = "lookup";

const FILE: &str = "sample.yaml";
const TEXT: &str = include_str!("../sample/sample.yaml");

/// Returns the sample catalogue.
///
/// # Errors
///
/// When the embedded text is not a valid declaration; a test keeps it valid.
pub fn catalogue() -> Result<Catalogue, Problems> {
    let document = Document::parse(FILE, TEXT)?;
    Catalogue::try_from(Declarations::new(vec![document]))
}
