//! `dandelionstair plan`.

use std::process::ExitCode;

use clap::ArgMatches;
use stair_config::{
    Catalogue,
    diff::Diff, //
};
use stair_platform::{
    apply::INITIAL_VERSION,
    load, //
};

use crate::{
    check,
    operator,
    platform, //
};

/// Prints the difference between the catalogue in force and the declarations.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let declared = match check::catalogue(matches)? {
        Ok(declared) => declared,
        Err(code) => return Ok(code),
    };
    let store = platform::store(matches)?;
    let in_force = operator::runtime()?.block_on(load::load(&store))?;
    let (version, current) = match in_force {
        Some(found) => (found.version, found.catalogue),
        None => (INITIAL_VERSION, Catalogue::default()),
    };
    println!("{}", Diff::between(&current, &declared));
    println!("Version {version} is in force; apply with --from {version}.");
    Ok(ExitCode::SUCCESS)
}
