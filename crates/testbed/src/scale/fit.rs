//! Linear fit through values measured at several sizes, which rejects nonlinear quantities. Pure.
//!
//! Extrapolating a line is meaningless if the quantity is nonlinear: it grows quadratically, it is the capacity of a
//! table that doubles, or a list is scanned for each request. So a fit reports its residual, and fails if the residual
//! or a quadratic term is large compared with the quantity's range.

use serde::Serialize;

/// Largest allowed deviation of a point from the line, as a fraction of the quantity's range.
pub const MAX_RESIDUAL: f64 = 0.12;
/// Largest allowed offset of a quadratic term in the middle of the line, as a fraction of the quantity's range.
pub const MAX_CURVATURE: f64 = 0.10;
/// A quantity whose range is less than this fraction of itself counts as constant; its residual is compared with that
/// fraction. First for counts, then for values measured on a shared machine.
pub const CONSTANT_WITHIN: [f64; 2] = [0.10, 0.30];
/// The cost of one request may at most double while the size grows fourfold (`GROWTH_SPAN`). Growth of that order comes
/// from caches that fill up; the cost of scanning a list grows as fast as the size.
const MAX_GROWTH: f64 = 2.0;
const GROWTH_SPAN: f64 = 4.0;
/// Minimum number of distinct sizes for a fit.
pub const MIN_SIZES: usize = 3;

/// How a quantity is expected to grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Growth {
    /// Linearly with the size.
    Linear,
    /// Independently of the size, such as the cost of one request.
    Constant,
}

/// Least-squares line `y = intercept + slope x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Increase per unit of size.
    pub slope: f64,
    /// Largest deviation of a point, as a fraction of the quantity's range.
    pub residual: f64,
    /// Offset of a quadratic term in the middle of the line, as a fraction of the quantity's range.
    pub curve: f64,
    /// Largest measured size.
    pub up_to: f64,
}

impl Line {
    /// Value at size `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Why no line was fitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FitError {
    /// Fewer than [`MIN_SIZES`] distinct sizes, or a value that is not finite.
    TooFew,
    /// A point deviates from the line by this fraction of the quantity's range.
    Residual(f64),
    /// A quadratic term offsets the middle by this fraction of the quantity's range.
    Curvature(f64),
    /// One request costs this many times as much at the largest size as at the smallest.
    Grows(f64),
}

impl std::fmt::Display for FitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FitError::TooFew => write!(f, "fewer than {MIN_SIZES} sizes were measured"),
            FitError::Residual(part) => {
                write!(f, "bends: a point is off the line by {:.0} %", part * 100.0)
            }
            FitError::Curvature(part) => {
                write!(f, "bends: a second power lifts it by {:.0} %", part * 100.0)
            }
            FitError::Grows(times) => {
                write!(
                    f,
                    "bends: one request costs {times:.1} times more at the largest size"
                )
            }
        }
    }
}

/// Intercept and slope of the least-squares line, regardless of the residual; none for fewer than two distinct sizes.
fn least_squares(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let (mean_x, mean_y) = (
        mean(points.iter().map(|p| p.0), count),
        mean(points.iter().map(|p| p.1), count),
    );
    let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    (sum_xx > 0.0).then(|| (mean_y - sum_xy / sum_xx * mean_x, sum_xy / sum_xx))
}

fn mean(values: impl Iterator<Item = f64>, count: f64) -> f64 {
    values.sum::<f64>() / count
}

/// Quadratic coefficient of the least-squares parabola.
fn quadratic_coefficient(points: &[(f64, f64)]) -> f64 {
    // Regression of the residual of y on the residual of x², each after its linear fit.
    let squares: Vec<(f64, f64)> = points.iter().map(|p| (p.0, p.0 * p.0)).collect();
    let (Some((a, b)), Some((c, d))) = (least_squares(&squares), least_squares(points)) else {
        return 0.0;
    };
    let (mut sum_xy, mut sum_xx) = (0.0, 0.0);
    for (x, y) in points {
        let residual = x * x - a - b * x;
        sum_xy += residual * (y - c - d * x);
        sum_xx += residual * residual;
    }
    if sum_xx > 0.0 {
        sum_xy / sum_xx
    } else {
        0.0
    }
}

/// Number of distinct sizes.
fn distinct_sizes(points: &[(f64, f64)]) -> usize {
    let mut sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
    sizes.sort_unstable_by(f64::total_cmp);
    sizes.dedup();
    sizes.len()
}

/// Fits a line through points of size and value; `counted` means that they are the same on every run.
///
/// # Errors
/// Why the fit failed, with the rejected line if there is one.
pub fn fit(
    points: &[(f64, f64)],
    growth: Growth,
    counted: bool,
) -> Result<Line, (FitError, Option<Line>)> {
    if distinct_sizes(points) < MIN_SIZES
        || points.iter().any(|p| !p.0.is_finite() || !p.1.is_finite())
    {
        return Err((FitError::TooFew, None));
    }
    let Some((intercept, slope)) = least_squares(points) else {
        return Err((FitError::TooFew, None));
    };
    let bounds = |pick: fn(&(f64, f64)) -> f64| {
        let values = || points.iter().map(pick);
        (
            values().fold(f64::INFINITY, f64::min),
            values().fold(f64::NEG_INFINITY, f64::max),
        )
    };
    let ((first, last), (low, high)) = (bounds(|p| p.0), bounds(|p| p.1));
    let constant_within = CONSTANT_WITHIN[usize::from(!counted)];
    let range = (high - low)
        .max(constant_within * high.abs().max(low.abs()))
        .max(f64::MIN_POSITIVE);
    let deviation = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).abs();
    let residual = points.iter().map(deviation).fold(0.0, f64::max) / range;
    let curve = quadratic_coefficient(points).abs() * ((last - first) / 2.0).powi(2) / range;
    let line = Line {
        intercept,
        slope,
        residual,
        curve,
        up_to: last,
    };
    if growth == Growth::Constant {
        // Linearity does not matter if the quantity should be constant.
        let growth_factor = line.at(last) / line.at(first).max(f64::MIN_POSITIVE);
        let max_factor = MAX_GROWTH.powf((last / first).ln() / GROWTH_SPAN.ln());
        return if growth_factor > max_factor {
            Err((FitError::Grows(growth_factor), Some(line)))
        } else {
            Ok(line)
        };
    }
    if curve > MAX_CURVATURE {
        return Err((FitError::Curvature(curve), Some(line)));
    }
    if residual > MAX_RESIDUAL {
        return Err((FitError::Residual(residual), Some(line)));
    }
    Ok(line)
}
