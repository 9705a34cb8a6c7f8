use test_case::test_case;

use crate::{fleet_shape, linear_fit::LinearFit, process_sample::ProcessSample};

fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}

/// Guards against wrong coefficients. For points on a line, the prediction interval has no width anywhere.
#[test]
fn points_on_a_line_are_fitted_exactly() {
    let points: Vec<_> = [6.0, 12.0, 24.0, 48.0].map(|x| (x, 3.0 + 0.5 * x)).to_vec();
    let fit = LinearFit::from_points(&points).unwrap();
    assert!(is_close(fit.intercept, 3.0) && is_close(fit.slope, 0.5));
    assert!(is_close(fit.value_at(380.0), 193.0));
    assert!(is_close(fit.r_squared, 1.0));
    assert!(fit.interval_half_width_at(380.0) < 1e-6);
}

/// Guards against a prediction interval that is too narrow. The expected width is worked out by hand: the residuals of
/// these points are 1/6, -2/6 and 1/6, with one degree of freedom.
#[test]
fn prediction_interval_has_the_expected_width() {
    let fit = LinearFit::from_points(&[(0.0, 0.0), (1.0, 0.0), (2.0, 1.0)]).unwrap();
    assert!(is_close(fit.slope, 0.5) && is_close(fit.r_squared, 0.75));
    let residual = (1.0_f64 / 6.0).sqrt();
    let expected = 12.71 * residual * (1.0 + 1.0 / 3.0 + 9.0 / 2.0_f64).sqrt();
    assert!(is_close(fit.interval_half_width_at(4.0), expected));
}

/// Guards against a fit to points that determine no line or no interval.
#[test_case(&[(1.0, 1.0), (2.0, 2.0)]; "two points leave no residual")]
#[test_case(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]; "all points at one size")]
fn points_without_a_unique_fit_are_refused(points: &[(f64, f64)]) {
    assert!(LinearFit::from_points(points).is_none());
}

/// Guards against reading the wrong fields of `/proc`: the sample must show the time and memory that the test uses.
#[test]
fn sample_shows_work_and_memory() {
    let before = ProcessSample::read_own().unwrap();
    let mut block = vec![1_u8; 64 << 20];
    while ProcessSample::read_own().unwrap().processor_seconds < before.processor_seconds + 0.05 {
        block.iter_mut().for_each(|byte| *byte = byte.wrapping_mul(3));
    }
    let after = ProcessSample::read_own().unwrap();
    assert!(after.anonymous_bytes - before.anonymous_bytes > 60e6);
    assert!(after.peak_bytes >= after.resident_bytes);
    assert!(after.resident_bytes >= after.anonymous_bytes);
    assert_eq!(block.len(), 64 << 20);
}

/// Guards against measuring a configuration with fewer budgets or workspaces than the table states.
#[test]
fn document_has_the_stated_size() {
    let document = fleet_shape::config_document(None, 7, 100, 0).unwrap();
    assert_eq!((document.workspaces.len(), document.budgets.len()), (7, 100));
}
