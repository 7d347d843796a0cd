//! Tables and fits.

/// Prints rows as a Markdown table.
pub(crate) fn print(title: &str, head: &[&str], rows: &[Vec<String>]) {
    println!("\n{title}\n");
    println!("| {} |", head.join(" | "));
    println!("|{}", " --- |".repeat(head.len()));
    for row in rows {
        println!("| {} |", row.join(" | "));
    }
}

/// A least-squares line through points, and the largest residual relative to the largest value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    pub(crate) base: f64,
    pub(crate) slope: f64,
    pub(crate) residual: f64,
}

impl Fit {
    #[expect(clippy::cast_precision_loss, reason = "a handful of points")]
    pub(crate) fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let (sum_x, sum_y): (f64, f64) =
            points.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x, b + y));
        let (mean_x, mean_y) = (sum_x / n, sum_y / n);
        let above: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let below: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = above / below;
        let base = mean_y - slope * mean_x;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let miss = points.iter().map(|(x, y)| (y - base - slope * x).abs());
        Self { base, slope, residual: miss.fold(0.0, f64::max) / largest }
    }

    pub(crate) fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// The middle of several values.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
