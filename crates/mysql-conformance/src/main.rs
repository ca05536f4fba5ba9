//! Runs the conformance scripts and prints their table or writes it to a file.

use clap::Parser;
use mysql_conformance::{CaseOutcome, Error, render_page, run_cases};
use std::path::PathBuf;
use tokio::task::LocalSet;

/// Runs scripts of the MySQL protocol against hitchwinch's frontend and its fake engine.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Write the table to this file instead of printing it.
    #[arg(long, value_name = "FILE")]
    write: Option<PathBuf>,
}

fn main() -> Result<(), Error> {
    let args = Args::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let reports = LocalSet::new().block_on(&runtime, run_cases())?;
    match args.write {
        Some(path) => std::fs::write(path, render_page(&reports))?,
        None => print!("{}", render_page(&reports)),
    }
    let outcomes = reports
        .iter()
        .flat_map(|report| std::iter::once(&report.1).chain(&report.2));
    match outcomes
        .filter(|outcome| matches!(outcome, CaseOutcome::Unexpected(_)))
        .count()
    {
        0 => Ok(()),
        n => Err(format!("{n} cases had an unexpected answer").into()),
    }
}
