use crate::ResultTable;

/// A measured value and the target that the design or the users set for it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetCheck {
    /// The name of the measured value.
    pub figure: Box<str>,
    /// The target, as text.
    pub target: Box<str>,
    /// The measured value with its unit.
    pub result: Box<str>,
    /// Whether the value meets the target; `None` if there is no target.
    pub is_met: Option<bool>,
}

impl TargetCheck {
    /// Creates a check of a value that must be at most `bound`.
    pub fn at_most(figure: &str, bound: f64, result: f64, unit: &str) -> Self {
        Self {
            figure: figure.into(),
            target: format!("at most {bound} {unit}").into(),
            result: format!("{result:.3} {unit}").into(),
            is_met: Some(result <= bound),
        }
    }

    /// Creates a check of a value that must be at least `bound`.
    pub fn at_least(figure: &str, bound: f64, result: f64, unit: &str) -> Self {
        Self {
            figure: figure.into(),
            target: format!("at least {bound} {unit}").into(),
            result: format!("{result:.3} {unit}").into(),
            is_met: Some(result >= bound),
        }
    }

    /// Creates an entry for a value without a target.
    pub fn without_bound(figure: &str, result: f64, unit: &str) -> Self {
        Self {
            figure: figure.into(),
            target: "-".into(),
            result: format!("{result:.3} {unit}").into(),
            is_met: None,
        }
    }

    /// Returns the checks as a table.
    pub fn table(checks: &[Self]) -> ResultTable {
        let mut table = ResultTable::new(["figure", "target", "result", "verdict"]);
        for check in checks {
            let verdict = match check.is_met {
                Some(true) => "met",
                Some(false) => "missed",
                None => "-",
            };
            let cells = [&check.figure, &check.target, &check.result].map(|cell| cell.to_string());
            table.add(cells.into_iter().chain([verdict.to_owned()]));
        }
        table
    }
}
