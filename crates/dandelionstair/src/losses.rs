//! `dandelionstair losses`: counts requests that were not served in time, by route and reason.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use clap::ArgMatches;
use stair_telemetry::losses::{
    Row,
    count, //
};

use crate::{
    exit,
    explain::read_log, //
};

/// Prints the counts; with `--models`, a row for each model.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let Some(files) = matches.get_many::<PathBuf>("files") else {
        return Ok(exit::USAGE.into());
    };
    let texts: Vec<String> = files.map(|f| read_log(f)).collect::<Result<_, _>>()?;
    let mut rows = count(texts.iter().flat_map(|t| t.lines()));
    if rows.is_empty() {
        eprintln!("no line of these files is about a request");
        return Ok(exit::FAILED.into());
    }
    if !matches.get_flag("models") {
        rows = sum_models(rows);
    }
    println!("{:>7}  {:<16} {:<16} end", "count", "route", "model");
    for row in &rows {
        println!(
            "{:>7}  {:<16} {:<16} {}",
            row.count, row.route, row.model, row.end
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// Sums the counts of all models of a route, for each end.
fn sum_models(mut rows: Vec<Row>) -> Vec<Row> {
    rows.sort_by(|a, b| (&a.route, &a.end).cmp(&(&b.route, &b.end)));
    rows.chunk_by(|a, b| a.route == b.route && a.end == b.end)
        .map(|same| Row {
            model: "".into(),
            count: same.iter().map(|r| r.count).sum(),
            ..same[0].clone()
        })
        .collect()
}
