//! Markdown tables, least-squares fits and medians.

/// Prints rows as a Markdown table.
pub(crate) fn print(title: &str, head: &[&str], rows: &[Vec<String>]) {
    println!("\n{title}\n");
    println!("| {} |", head.join(" | "));
    println!("|{}", " --- |".repeat(head.len()));
    for row in rows {
        println!("| {} |", row.join(" | "));
    }
}

/// A line fitted to points by least squares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    /// Value of the line at 0.
    pub(crate) intercept: f64,
    pub(crate) slope: f64,
    /// Largest absolute residual, relative to the largest absolute value.
    pub(crate) residual: f64,
}

impl Fit {
    #[expect(clippy::cast_precision_loss, reason = "a handful of points")]
    /// Fits a line to points `(x, y)`.
    pub(crate) fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let (sum_x, sum_y): (f64, f64) =
            points.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x, b + y));
        let (mean_x, mean_y) = (sum_x / n, sum_y / n);
        let numerator: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let denominator: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = numerator / denominator;
        let intercept = mean_y - slope * mean_x;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let residuals = points.iter().map(|(x, y)| (y - intercept - slope * x).abs());
        Self { intercept, slope, residual: residuals.fold(0.0, f64::max) / largest }
    }

    /// Returns the value of the line at `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Returns the median of some values, the upper one of an even number, or 0 for none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
