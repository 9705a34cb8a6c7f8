use std::io::{self, Write};

use crate::linear_fit::LinearFit;

/// A measured value. The values of one part and quantity form a curve over `size`.
#[derive(Debug)]
pub struct Measurement {
    pub part: &'static str,
    pub size: usize,
    pub quantity: &'static str,
    pub value: f64,
}

/// Prints measurements as they are added, and the lines fitted to them on request.
#[derive(Debug)]
pub struct MeasurementTable {
    rows: Vec<Measurement>,
    csv: bool,
}

impl MeasurementTable {
    pub fn new(csv: bool) -> Self {
        Self { rows: Vec::new(), csv }
    }

    /// Prints a measurement and keeps it for the fits.
    pub fn add(&mut self, part: &'static str, size: usize, quantity: &'static str, value: f64) {
        let cells = [part.into(), size.to_string(), quantity.into(), format!("{value:.4}")];
        // If standard output is closed, printing the fits reports the error.
        let _ = self.write_row(&cells);
        self.rows.push(Measurement { part, size, quantity, value });
    }

    /// Prints the line fitted to each quantity of a part, extrapolated to `target`.
    pub fn print_fits(&self, part: &'static str, target: usize) -> io::Result<()> {
        let mut quantities: Vec<&'static str> = Vec::new();
        for row in self.rows.iter().filter(|row| row.part == part) {
            if !quantities.contains(&row.quantity) {
                quantities.push(row.quantity);
            }
        }
        for quantity in quantities {
            let rows = self.rows.iter().filter(|row| row.part == part && row.quantity == quantity);
            let points: Vec<_> = rows.map(|row| (row.size as f64, row.value)).collect();
            let without_last = points.split_last().map_or(&points[..], |(_, others)| others);
            for (label, points) in [("fit", &points[..]), ("fit-short", without_last)] {
                self.print_fit(&format!("{part}-{label}"), quantity, points, target)?;
            }
        }
        Ok(())
    }

    /// Prints one fitted line. The `fit-short` line leaves out the last size, at which the machine itself may be the
    /// limit.
    fn print_fit(
        &self,
        part: &str,
        quantity: &str,
        points: &[(f64, f64)],
        target: usize,
    ) -> io::Result<()> {
        let Some(fit) = LinearFit::from_points(points) else { return Ok(()) };
        let x = target as f64;
        self.write_row(&[
            part.to_owned(),
            target.to_string(),
            quantity.to_owned(),
            format!("{:.4}", fit.value_at(x)),
            format!("{:.4}", fit.interval_half_width_at(x)),
            format!("{:.6}", fit.intercept),
            format!("{:.6}", fit.slope),
            format!("{:.4}", fit.r_squared),
        ])
    }

    /// Prints the names of the columns.
    pub fn print_header(&self) -> io::Result<()> {
        let header =
            ["part", "size", "quantity", "value", "doubt", "intercept", "slope", "r_squared"];
        self.write_row(&header.map(str::to_owned))
    }

    fn write_row(&self, cells: &[String]) -> io::Result<()> {
        let mut output = io::stdout().lock();
        if self.csv {
            return writeln!(output, "{}", cells.join(","));
        }
        let widths = [20, 8, 38, 16, 14, 16, 16, 10];
        for (cell, width) in cells.iter().zip(widths) {
            write!(output, "{cell:<width$}")?;
        }
        writeln!(output)
    }
}
