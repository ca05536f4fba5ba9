//! Plays the conformance scripts and prints, or writes, their table.

use clap::Parser;
use mysql_conformance::{Came, Error, page, play};
use std::path::PathBuf;
use tokio::task::LocalSet;

/// Scripts of the MySQL protocol against hitchwinch's front and its stand-in engine.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Write the table there instead of printing it.
    #[arg(long, value_name = "FILE")]
    write: Option<PathBuf>,
}

fn main() -> Result<(), Error> {
    let args = Args::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let lines = LocalSet::new().block_on(&runtime, play())?;
    match args.write {
        Some(path) => std::fs::write(path, page(&lines))?,
        None => print!("{}", page(&lines)),
    }
    let wrong = lines.iter().flat_map(|l| std::iter::once(&l.1).chain(&l.2));
    match wrong.filter(|c| matches!(c, Came::Differs(_))).count() {
        0 => Ok(()),
        n => Err(format!("{n} not as wanted").into()),
    }
}
