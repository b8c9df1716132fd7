//! The curve of idle accelerator hours against cold starts.

use std::error::Error;

use plotters::prelude::*;

/// The result of one rule of a series.
pub(crate) struct Point {
    pub(crate) series: usize,
    pub(crate) hours: f64,
    pub(crate) cold_seconds: f64,
}

/// The results of one catalogue.
pub(crate) struct Plot {
    pub(crate) title: &'static str,
    pub(crate) points: Vec<Point>,
}

const SERIES: [(&str, RGBColor); 3] = [
    ("fixed time", RGBColor(120, 120, 120)),
    ("ski rental", RGBColor(200, 120, 20)),
    ("histogram", RGBColor(20, 90, 180)),
];

pub(crate) fn draw(path: &str, plots: &[Plot]) -> Result<(), Box<dyn Error>> {
    let width = 420 * plots.len() as u32;
    let root = SVGBackend::new(path, (width, 380)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, plot) in root.split_evenly((1, plots.len())).iter().zip(plots) {
        draw_one(area, plot)?;
    }
    root.present()?;
    Ok(())
}

fn draw_one(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    plot: &Plot,
) -> Result<(), Box<dyn Error>> {
    let mut chart = ChartBuilder::on(area)
        .caption(plot.title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..650.0, 0.0..14.0)?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours in two days")
        .y_desc("cold seconds a request")
        .draw()?;
    for (n, (name, colour)) in SERIES.iter().enumerate() {
        let of_series = plot.points.iter().filter(|p| p.series == n);
        let points: Vec<_> = of_series.map(|p| (p.hours, p.cold_seconds)).collect();
        let colour = *colour;
        chart
            .draw_series(LineSeries::new(points.clone(), &colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
        let dots = points.iter().map(|p| Circle::new(*p, 3, colour.filled()));
        chart.draw_series(dots)?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}
