use std::path::Path;

use snafu::ResultExt;

use crate::{BenchError, bench_error::CsvSnafu};

/// A table of results that is printed and can be written as CSV.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultTable {
    columns: Vec<Box<str>>,
    rows: Vec<Vec<Box<str>>>,
}

impl ResultTable {
    /// Creates a table without rows.
    ///
    /// ```
    /// let mut table = bramleywind_bench::ResultTable::new(["policy", "p95 ms"]);
    /// table.add(["round_robin".to_owned(), "12".to_owned()]);
    /// assert!(table.to_string().contains("| round_robin | 12 "));
    /// ```
    pub fn new<'a>(columns: impl IntoIterator<Item = &'a str>) -> Self {
        Self { columns: columns.into_iter().map(Into::into).collect(), rows: Vec::new() }
    }

    /// Adds a row.
    pub fn add(&mut self, row: impl IntoIterator<Item = String>) {
        self.rows.push(row.into_iter().map(Into::into).collect());
    }

    /// Prints the table, and writes it to `csv` if that is given.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Csv`] if the file cannot be written.
    #[allow(clippy::print_stdout, reason = "the table is the program's output")]
    pub fn publish(&self, csv: Option<&Path>) -> Result<(), BenchError> {
        println!("{self}");
        let Some(path) = csv else { return Ok(()) };
        self.write_csv(path).context(CsvSnafu { path: path.display().to_string() })
    }

    fn write_csv(&self, path: &Path) -> Result<(), csv::Error> {
        let mut writer = csv::Writer::from_path(path)?;
        writer.write_record(self.columns.iter().map(|cell| cell.as_bytes()))?;
        for row in &self.rows {
            writer.write_record(row.iter().map(|cell| cell.as_bytes()))?;
        }
        writer.flush()?;
        Ok(())
    }
}

impl std::fmt::Display for ResultTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines = || std::iter::once(&self.columns).chain(&self.rows);
        let width = |column: usize| {
            lines().filter_map(|line| line.get(column)).map(|cell| cell.len()).max().unwrap_or(0)
        };
        for (number, line) in lines().enumerate() {
            for (column, cell) in line.iter().enumerate() {
                write!(f, "| {cell:<0$} ", width(column))?;
            }
            writeln!(f, "|")?;
            if number == 0 {
                writeln!(f, "|{}", "---|".repeat(self.columns.len()))?;
            }
        }
        Ok(())
    }
}
