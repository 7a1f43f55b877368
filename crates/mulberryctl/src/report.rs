//! The report on service-level burn.
//!
//! A request counts as good when it was answered whole, once and in time. Refusals
//! for want of budget count neither way. The burn rate of a window is its part of bad
//! requests over the part that the objective allows: at one, the error budget lasts
//! exactly its period.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

use config::document::Objective;
use daemon::entry::metrics::SLOT_SECS;
use daemon::entry::metrics::SlotTallies;
use daemon::entry::metrics::Tally;
use eyre::Result;
use eyre::eyre;
use futures_lite::AsyncReadExt as _;
use http_types::Method;
use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea as _;
use plotters::prelude::LineSeries;
use plotters::prelude::SVGBackend;
use plotters::style::BLUE;
use plotters::style::RED;
use plotters::style::WHITE;
use serde::Serialize;

use crate::client;

/// Windows whose burn rates are told, in minutes.
const WINDOWS: [u64; 5] = [5, 30, 60, 360, 4_320];

/// A pair of windows and the burn rate at which both alert, in minutes.
const ALERTS: [(u64, u64, f64, &str); 3] = [
    (60, 5, 14.4, "page"),
    (360, 30, 6.0, "page"),
    (4_320, 360, 1.0, "ticket"),
];

/// Size of a plot, in pixels.
const PLOT: (u32, u32) = (760, 220);

/// The burn of one team or of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Burn {
    /// The team's name, or `fleet`.
    pub name: String,
    /// All requests of the longest window.
    pub tally: Tally,
    /// The part of good requests among those that count.
    pub good: f64,
    /// The part of the error budget that is left; below zero when overdrawn.
    pub left: f64,
    /// Burn rates by window in minutes.
    pub rates: BTreeMap<u64, f64>,
    /// Alerts that are due.
    pub alerts: Vec<String>,
}

/// A report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests of a thousand that the objective asks to be good.
    pub per_mille: u32,
    /// The fleet first, then each team.
    pub burns: Vec<Burn>,
    /// Good and counted requests of the fleet by minute.
    pub minutes: Vec<(u64, u64, u64)>,
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn part(count: u64, of: u64) -> f64 {
    if of == 0 {
        return 0.0;
    }
    count as f64 / of as f64
}

fn burn(name: &str, slots: &BTreeMap<u64, Tally>, now: u64, objective: &Objective) -> Burn {
    let allowed = f64::from(1_000 - objective.per_mille) / 1e3;
    let over = |minutes: u64| {
        let from = now.saturating_sub(minutes * 60 / SLOT_SECS);
        let mut sum = Tally::default();
        slots
            .range(from + 1..)
            .for_each(|(_, tally)| sum.add(tally));
        sum
    };
    let rate = |minutes: u64| {
        let sum = over(minutes);
        part(sum.late + sum.bad, sum.objective_total()) / allowed
    };
    let longest = WINDOWS[WINDOWS.len() - 1];
    let tally = over(longest);
    let alerts = ALERTS
        .iter()
        .filter(|(long, short, least, _)| rate(*long) >= *least && rate(*short) >= *least)
        .map(|(long, short, _, kind)| format!("{kind}: burning over {long} and {short} minutes"))
        .collect();
    Burn {
        name: name.to_owned(),
        tally,
        good: part(tally.good, tally.objective_total()),
        left: 1.0 - rate(longest),
        rates: WINDOWS
            .iter()
            .map(|&window| (window, rate(window)))
            .collect(),
        alerts,
    }
}

/// Returns the report on `slots` at the slot `now`.
#[must_use]
pub fn report(slots: &SlotTallies, now: u64, objective: &Objective) -> Report {
    let mut teams: BTreeMap<&str, BTreeMap<u64, Tally>> = BTreeMap::new();
    let mut fleet: BTreeMap<u64, Tally> = BTreeMap::new();
    for (&slot, tallies) in slots {
        for (team, tally) in tallies {
            let own = teams.entry(team).or_default();
            own.entry(slot).or_default().add(tally);
            fleet.entry(slot).or_default().add(tally);
        }
    }
    let mut burns = vec![burn("fleet", &fleet, now, objective)];
    burns.extend(
        teams
            .iter()
            .map(|(name, own)| burn(name, own, now, objective)),
    );
    let minutes = fleet
        .iter()
        .map(|(&slot, tally)| (slot, tally.good, tally.objective_total()))
        .collect();
    Report {
        per_mille: objective.per_mille,
        burns,
        minutes,
    }
}

/// Reads the service-level counts of entries and adds them up.
///
/// # Errors
///
/// Fails where an entry's platform address doesn't answer.
pub async fn collect(addresses: &[SocketAddr]) -> Result<SlotTallies> {
    let mut sum = SlotTallies::new();
    for &address in addresses {
        let path = "/service-level";
        let sent = client::send(address, Method::Get, path, &[], Vec::new()).await;
        let mut response = sent.map_err(|error| eyre!("{address}: {error}"))?;
        let mut text = String::new();
        response.take_body().read_to_string(&mut text).await?;
        let slots: SlotTallies = serde_json::from_str(&text)?;
        for (slot, tallies) in slots {
            let into = sum.entry(slot).or_default();
            for (team, tally) in tallies {
                into.entry(team).or_default().add(&tally);
            }
        }
    }
    Ok(sum)
}

/// Returns the report as text.
#[must_use]
pub fn text(report: &Report) -> String {
    let mut out = format!(
        "objective: {} of 1000 requests whole, once and in time\n\n\
         {:<20} {:>9} {:>9} {:>11} {:>8} {:>8} {:>8}\n",
        report.per_mille, "team", "requests", "good", "budget left", "5 min", "1 h", "3 d"
    );
    for burn in &report.burns {
        let rate = |window: u64| burn.rates.get(&window).copied().unwrap_or(0.0);
        let line = format!(
            "{:<20} {:>9} {:>8.3}% {:>10.1}% {:>8.2} {:>8.2} {:>8.2}\n",
            burn.name,
            burn.tally.objective_total(),
            burn.good * 100.0,
            burn.left * 100.0,
            rate(5),
            rate(60),
            rate(4_320)
        );
        out.push_str(&line);
        for alert in &burn.alerts {
            out.push_str("    ");
            out.push_str(alert);
            out.push('\n');
        }
    }
    out
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}

/// Draws the part of good requests by minute, with the objective.
fn plot(report: &Report) -> Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT).into_drawing_area();
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
        let good = report.minutes.iter();
        let points = good.map(|(slot, good, all)| (slot - first, part(*good, *all)));
        chart
            .draw_series(LineSeries::new(points, &BLUE))
            .map_err(|e| eyre!("{e}"))?;
        let aim = f64::from(report.per_mille) / 1e3;
        chart
            .draw_series(LineSeries::new([(0, aim), (span, aim)], &RED))
            .map_err(|e| eyre!("{e}"))?;
        area.present().map_err(|e| eyre!("{e}"))?;
    }
    Ok(svg)
}

/// Returns the report as one page that needs nothing else.
///
/// # Errors
///
/// Fails where the plot can't be drawn.
pub fn html(report: &Report) -> Result<String> {
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
        plot(report)?
    )?;
    out.push_str("<table><tr><th>team<th>requests<th>good<th>error budget left");
    for window in WINDOWS {
        write!(out, "<th>burn, {window} min")?;
    }
    for burn in &report.burns {
        write!(
            out,
            "<tr><td>{}<td>{}<td>{:.3}%<td>{:.1}%",
            escape(&burn.name),
            burn.tally.objective_total(),
            burn.good * 100.0,
            burn.left * 100.0
        )?;
        for rate in burn.rates.values() {
            write!(out, "<td>{rate:.2}")?;
        }
        for alert in &burn.alerts {
            write!(out, "<td class=\"due\">{}", escape(alert))?;
        }
    }
    out.push_str("</table></html>\n");
    Ok(out)
}
