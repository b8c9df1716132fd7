//! `dandelionstair explain`: the events of one request from the logs of several processes.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

use anyhow::Context;
use clap::ArgMatches;
use stair_telemetry::explain::{
    Step,
    story, //
};

use crate::exit;

/// Prints the events of a request in order of time.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let (Some(id), Some(files)) = (
        matches.get_one::<String>("id"),
        matches.get_many::<PathBuf>("files"),
    ) else {
        return Ok(exit::USAGE.into());
    };
    let texts: Vec<String> = files.map(|f| read_log(f)).collect::<Result<_, _>>()?;
    let lines: Vec<&str> = texts.iter().flat_map(|t| t.lines()).collect();
    let steps = story(lines.iter().copied(), id);
    let Some(first) = steps.first() else {
        eprintln!("no line of these files is about {id}");
        return Ok(exit::FAILED.into());
    };
    for step in &steps {
        println!("{}", format_step(first, step));
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads a log file as text.
pub(crate) fn read_log(path: &Path) -> anyhow::Result<String> {
    let bytes = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    // Only a line truncated by a kill can be invalid UTF-8.
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

// Formats a step with its time since `first`.
fn format_step(first: &Step, step: &Step) -> String {
    let ms = (step.at - first.at) * 1000.0;
    let fields = step.fields.join(" ");
    format!(
        "{ms:>9.1} ms  {:<16} {:<12} {fields}",
        step.process, step.event
    )
}
