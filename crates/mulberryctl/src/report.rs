//! Service-level report on burn rates, from the per-minute request counts of entries.
//!
//! A request is good if it was answered completely, once and in time. Refusals for
//! lack of budget aren't counted. The burn rate of a window is its fraction of bad
//! requests divided by the fraction that the objective allows; at a burn rate of 1 the
//! error budget lasts exactly its period.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

use config::document::Objective;
use daemon::entry::metrics::SLOT_SECS;
use daemon::entry::metrics::SlotTallies;
use daemon::entry::metrics::Tally;
use eyre::Result;
use eyre::eyre;
use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea as _;
use plotters::prelude::LineSeries;
use plotters::prelude::SVGBackend;
use plotters::style::BLUE;
use plotters::style::RED;
use plotters::style::WHITE;
use serde::Serialize;

use crate::client;

/// Windows whose burn rates are reported, in minutes.
const WINDOWS_MINUTES: [u64; 5] = [5, 30, 60, 360, 4_320];

/// Long and short window in minutes, burn rate threshold, and kind of alert.
///
/// An alert is due if the burn rates of both windows reach the threshold.
const ALERT_RULES: [(u64, u64, f64, &str); 3] = [
    (60, 5, 14.4, "page"),
    (360, 30, 6.0, "page"),
    (4_320, 360, 1.0, "ticket"),
];

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 220);

/// The burn rates and error budget of one team or of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct BurnSummary {
    /// The team's name, or `fleet`.
    pub name: String,
    /// Request counts of the longest window.
    pub tally: Tally,
    /// Fraction of good requests among the counted ones.
    #[serde(rename = "good")]
    pub good_ratio: f64,
    /// Fraction of the error budget that is left; negative when overspent.
    #[serde(rename = "left")]
    pub budget_left: f64,
    /// Burn rate of each window, by its length in minutes.
    #[serde(rename = "rates")]
    pub burn_rates: BTreeMap<u64, f64>,
    /// Alerts that are due.
    pub alerts: Vec<String>,
}

/// A service-level report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Good requests per 1,000 that the objective requires.
    pub per_mille: u32,
    /// The fleet first, then each team.
    #[serde(rename = "burns")]
    pub summaries: Vec<BurnSummary>,
    /// Slot number, good requests and counted requests of the fleet, by slot.
    pub minutes: Vec<(u64, u64, u64)>,
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn ratio(count: u64, total: u64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    count as f64 / total as f64
}

fn summarize(
    name: &str,
    slots: &BTreeMap<u64, Tally>,
    now: u64,
    objective: &Objective,
) -> BurnSummary {
    let allowed = f64::from(1_000 - objective.per_mille) / 1e3;
    let window_tally = |minutes: u64| {
        let start = now.saturating_sub(minutes * 60 / SLOT_SECS);
        let mut sum = Tally::default();
        slots
            .range(start + 1..)
            .for_each(|(_, tally)| sum.add(tally));
        sum
    };
    let burn_rate = |minutes: u64| {
        let sum = window_tally(minutes);
        ratio(sum.late + sum.bad, sum.objective_total()) / allowed
    };
    let longest = WINDOWS_MINUTES[WINDOWS_MINUTES.len() - 1];
    let tally = window_tally(longest);
    let alerts = ALERT_RULES
        .iter()
        .filter(|(long, short, threshold, _)| {
            burn_rate(*long) >= *threshold && burn_rate(*short) >= *threshold
        })
        .map(|(long, short, _, kind)| format!("{kind}: burning over {long} and {short} minutes"))
        .collect();
    BurnSummary {
        name: name.to_owned(),
        tally,
        good_ratio: ratio(tally.good, tally.objective_total()),
        budget_left: 1.0 - burn_rate(longest),
        burn_rates: WINDOWS_MINUTES
            .iter()
            .map(|&window| (window, burn_rate(window)))
            .collect(),
        alerts,
    }
}

/// Builds the report from `slots` as of slot number `now`.
#[must_use]
pub fn build_report(slots: &SlotTallies, now: u64, objective: &Objective) -> Report {
    let mut teams: BTreeMap<&str, BTreeMap<u64, Tally>> = BTreeMap::new();
    let mut fleet: BTreeMap<u64, Tally> = BTreeMap::new();
    for (&slot, tallies) in slots {
        for (team, tally) in tallies {
            let team_slots = teams.entry(team).or_default();
            team_slots.entry(slot).or_default().add(tally);
            fleet.entry(slot).or_default().add(tally);
        }
    }
    let mut summaries = vec![summarize("fleet", &fleet, now, objective)];
    summaries.extend(
        teams
            .iter()
            .map(|(name, team_slots)| summarize(name, team_slots, now, objective)),
    );
    let minutes = fleet
        .iter()
        .map(|(&slot, tally)| (slot, tally.good, tally.objective_total()))
        .collect();
    Report {
        per_mille: objective.per_mille,
        summaries,
        minutes,
    }
}

/// Fetches the service-level counts of the entries at `addresses` and adds them up.
///
/// # Errors
///
/// Returns an error if an entry's platform address doesn't answer or its response isn't
/// valid JSON.
pub async fn fetch_service_levels(addresses: &[SocketAddr]) -> Result<SlotTallies> {
    let mut sum = SlotTallies::new();
    for &address in addresses {
        let path = "/service-level";
        let result = client::send(address, "GET", path, &[], &[]).await;
        let response = result.map_err(|error| eyre!("{address}: {error}"))?;
        let mut body = response.into_body();
        let bytes = body.read_all(client::MAX_BODY_BYTES).await?;
        let slots: SlotTallies = serde_json::from_slice(&bytes)?;
        for (slot, tallies) in slots {
            let totals = sum.entry(slot).or_default();
            for (team, tally) in tallies {
                totals.entry(team).or_default().add(&tally);
            }
        }
    }
    Ok(sum)
}

/// Renders the report as a text table.
#[must_use]
pub fn render_text(report: &Report) -> String {
    let mut out = format!(
        "objective: {} of 1000 requests whole, once and in time\n\n\
         {:<20} {:>9} {:>9} {:>11} {:>8} {:>8} {:>8}\n",
        report.per_mille, "team", "requests", "good", "budget left", "5 min", "1 h", "3 d"
    );
    for summary in &report.summaries {
        let burn_rate = |window: u64| summary.burn_rates.get(&window).copied().unwrap_or(0.0);
        let line = format!(
            "{:<20} {:>9} {:>8.3}% {:>10.1}% {:>8.2} {:>8.2} {:>8.2}\n",
            summary.name,
            summary.tally.objective_total(),
            summary.good_ratio * 100.0,
            summary.budget_left * 100.0,
            burn_rate(5),
            burn_rate(60),
            burn_rate(4_320)
        );
        out.push_str(&line);
        for alert in &summary.alerts {
            out.push_str("    ");
            out.push_str(alert);
            out.push('\n');
        }
    }
    out
}

fn escape_html(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}

/// Renders the fraction of good requests by minute, and the objective, as SVG.
fn render_plot(report: &Report) -> Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| eyre!("{e}"))?;
        let first = report.minutes.first().map_or(0, |(slot, ..)| *slot);
        let last = report.minutes.last().map_or(0, |(slot, ..)| *slot);
        let span = last - first + 1;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0..span, 0.0..1.02)
            .map_err(|e| eyre!("{e}"))?;
        chart
            .configure_mesh()
            .x_desc("minutes since the first request")
            .y_desc("good")
            .draw()
            .map_err(|e| eyre!("{e}"))?;
        let minutes = report.minutes.iter();
        let points = minutes.map(|(slot, good, all)| (slot - first, ratio(*good, *all)));
        chart
            .draw_series(LineSeries::new(points, &BLUE))
            .map_err(|e| eyre!("{e}"))?;
        let target = f64::from(report.per_mille) / 1e3;
        chart
            .draw_series(LineSeries::new([(0, target), (span, target)], &RED))
            .map_err(|e| eyre!("{e}"))?;
        area.present().map_err(|e| eyre!("{e}"))?;
    }
    Ok(svg)
}

/// Renders the report as one self-contained HTML page.
///
/// # Errors
///
/// Returns an error if the plot can't be drawn.
pub fn render_html(report: &Report) -> Result<String> {
    let mut out = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Service-level burn</title><style>\
         body{font:16px sans-serif;margin:1.5rem;max-width:60rem}\
         td,th{padding:.2rem .8rem;text-align:right}td:first-child,th:first-child{text-align:left}\
         svg{max-width:100%;height:auto}.due{color:#b00020}</style>\
         <h1>Service-level burn</h1>",
    );
    writeln!(
        out,
        "<p>Objective: {} of 1000 requests answered whole, once and in time.</p>{}",
        report.per_mille,
        render_plot(report)?
    )?;
    out.push_str("<table><tr><th>team<th>requests<th>good<th>error budget left");
    for window in WINDOWS_MINUTES {
        write!(out, "<th>burn, {window} min")?;
    }
    for summary in &report.summaries {
        write!(
            out,
            "<tr><td>{}<td>{}<td>{:.3}%<td>{:.1}%",
            escape_html(&summary.name),
            summary.tally.objective_total(),
            summary.good_ratio * 100.0,
            summary.budget_left * 100.0
        )?;
        for burn_rate in summary.burn_rates.values() {
            write!(out, "<td>{burn_rate:.2}")?;
        }
        for alert in &summary.alerts {
            write!(out, "<td class=\"due\">{}", escape_html(alert))?;
        }
    }
    out.push_str("</table></html>\n");
    Ok(out)
}
