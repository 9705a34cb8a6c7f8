use crate::ResultTable;

/// A figure beside the bound that the design or the users set for it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetCheck {
    /// What is measured.
    pub figure: Box<str>,
    /// The bound, in words.
    pub target: Box<str>,
    /// The result, with its unit.
    pub result: Box<str>,
    /// Whether the result keeps the bound.
    pub is_met: bool,
}

impl TargetCheck {
    /// A figure that must be at most `bound`.
    pub fn at_most(figure: &str, bound: f64, result: f64, unit: &str) -> Self {
        Self {
            figure: figure.into(),
            target: format!("at most {bound} {unit}").into(),
            result: format!("{result:.3} {unit}").into(),
            is_met: result <= bound,
        }
    }

    /// A figure that must be at least `bound`.
    pub fn at_least(figure: &str, bound: f64, result: f64, unit: &str) -> Self {
        Self {
            figure: figure.into(),
            target: format!("at least {bound} {unit}").into(),
            result: format!("{result:.3} {unit}").into(),
            is_met: result >= bound,
        }
    }

    /// The checks as a table.
    pub fn table(checks: &[Self]) -> ResultTable {
        let mut table = ResultTable::new(["figure", "target", "result", "verdict"]);
        for check in checks {
            let verdict = if check.is_met { "met" } else { "missed" };
            let cells = [&check.figure, &check.target, &check.result].map(|cell| cell.to_string());
            table.add(cells.into_iter().chain([verdict.to_owned()]));
        }
        table
    }
}
