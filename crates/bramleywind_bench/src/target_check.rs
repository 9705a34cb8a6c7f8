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
    /// Whether the result keeps the bound; nothing if there is none.
    pub is_met: Option<bool>,
}

impl TargetCheck {
    /// A figure that must be at most `bound`.
    pub fn at_most(figure: &str, bound: f64, result: f64, unit: &str) -> Self {
        Self {
            figure: figure.into(),
            target: format!("at most {bound} {unit}").into(),
            result: format!("{result:.3} {unit}").into(),
            is_met: Some(result <= bound),
        }
    }

    /// A figure that must be at least `bound`.
    pub fn at_least(figure: &str, bound: f64, result: f64, unit: &str) -> Self {
        Self {
            figure: figure.into(),
            target: format!("at least {bound} {unit}").into(),
            result: format!("{result:.3} {unit}").into(),
            is_met: Some(result >= bound),
        }
    }

    /// A figure for which there is no bound.
    pub fn without_bound(figure: &str, result: f64, unit: &str) -> Self {
        Self {
            figure: figure.into(),
            target: "-".into(),
            result: format!("{result:.3} {unit}").into(),
            is_met: None,
        }
    }

    /// The checks as a table.
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
