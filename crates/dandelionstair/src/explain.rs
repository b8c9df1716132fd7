//! `dandelionstair explain`: one request's story out of the logs of several processes.

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

pub(crate) fn read_log(path: &Path) -> anyhow::Result<String> {
    let bytes = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    // A line that was cut by a kill need not be text; the others are.
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn format_step(first: &Step, step: &Step) -> String {
    let ms = (step.at - first.at) * 1000.0;
    let fields = step.fields.join(" ");
    format!(
        "{ms:>9.1} ms  {:<16} {:<12} {fields}",
        step.process, step.event
    )
}
