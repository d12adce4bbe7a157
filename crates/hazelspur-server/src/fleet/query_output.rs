//! The output of `hazelspur-server fleet FILE`, as a table or as JSON. Operators' scripts read the JSON, so
//! the `serde(rename)` attributes keep its field names; the words of the table are fixed as well.

use crate::config::command::OutputFormat;
use comfy_table::{Table, presets};
use hazelspur_fleet::datagram::{CoordinationState, MemberRow, ShareSummary, SiteSize};
use hazelspur_fleet::load_reports::AggregatedLoad;
use hazelspur_fleet::{FleetSize, Generation, LimitName, LocalStatus, MemberName, MemberUpdate, SiteName};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Headings of the table of members.
const MEMBER_HEADINGS: [&str; 8] =
    ["member", "site", "state", "for s", "last word s ago", "from", "heard s ago", "at"];

/// One server's view of the fleet.
#[derive(Serialize)]
pub struct FleetOutput {
    name: MemberName,
    site: SiteName,
    #[serde(rename = "at")]
    address: SocketAddr,
    generation: Generation,
    #[serde(rename = "condition")]
    status: LocalStatus,
    fleet: FleetSize,
    sites: BTreeMap<String, FleetSize>,
    members: Vec<MemberOutput>,
    #[serde(rename = "choices")]
    coordination: CoordinationOutput,
}

/// The server's coordination state: the allocator, its shares of the limits, the circuit breaker and the load
/// reports.
#[derive(Serialize, Default)]
struct CoordinationOutput {
    #[serde(rename = "divider")]
    allocator: Option<MemberName>,
    #[serde(rename = "given")]
    granted: Option<f32>,
    #[serde(rename = "holders")]
    lessees: Option<u32>,
    shares: Vec<ShareOutput>,
    #[serde(rename = "ledger")]
    dependency: &'static str,
    #[serde(rename = "trouble")]
    fault_scope: &'static str,
    #[serde(rename = "pace")]
    latency_ratio: f32,
    #[serde(rename = "refused")]
    rejected_fraction: f32,
    #[serde(rename = "common")]
    aggregated: Option<AggregatedLoad>,
}

#[derive(Serialize)]
struct ShareOutput {
    limit: LimitName,
    amount: f32,
    #[serde(rename = "floor")]
    guaranteed: f32,
    #[serde(rename = "ends_in_s")]
    expires_in_s: Option<f64>,
}

#[derive(Serialize)]
struct MemberOutput {
    name: MemberName,
    site: SiteName,
    #[serde(rename = "at")]
    address: SocketAddr,
    generation: Generation,
    #[serde(rename = "state")]
    status: &'static str,
    #[serde(rename = "since_s")]
    status_age_s: f64,
    #[serde(rename = "word_s")]
    update_age_s: f64,
    #[serde(rename = "by")]
    reported_by: MemberName,
    #[serde(rename = "heard_s")]
    heard_ago_s: Option<f64>,
}

impl From<CoordinationState> for CoordinationOutput {
    fn from(state: CoordinationState) -> Self {
        Self {
            allocator: state.allocator,
            granted: state.allocation.map(|allocation| allocation.granted),
            lessees: state.allocation.map(|allocation| allocation.lessees),
            shares: state.shares.into_iter().map(ShareOutput::from).collect(),
            dependency: if state.breaker_open { "out of reach" } else { "in reach" },
            fault_scope: state.fault_scope.name(),
            latency_ratio: state.load_report.latency_ratio,
            rejected_fraction: state.load_report.rejected_fraction,
            aggregated: state.aggregated,
        }
    }
}

impl From<ShareSummary> for ShareOutput {
    fn from(share: ShareSummary) -> Self {
        Self {
            limit: share.limit,
            amount: share.amount,
            guaranteed: share.guaranteed,
            expires_in_s: share.expires_in_ms.map(|ms| f64::from(ms) / 1000.0),
        }
    }
}

impl From<MemberRow> for MemberOutput {
    fn from(row: MemberRow) -> Self {
        let secs = |ms: u64| ms as f64 / 1000.0;
        Self {
            name: row.update.name,
            site: row.update.site,
            address: row.update.address,
            generation: row.update.generation,
            status: row.status.name(),
            status_age_s: secs(row.status_age_ms),
            update_age_s: secs(row.update_age_ms),
            reported_by: row.reported_by,
            heard_ago_s: row.heard_ago_ms.map(secs),
        }
    }
}

impl FleetOutput {
    /// Creates the output for a server, without members and coordination state.
    pub fn new(server: &MemberUpdate, status: LocalStatus, fleet: FleetSize, sites: &[SiteSize]) -> Self {
        Self {
            name: server.name,
            site: server.site,
            address: server.address,
            generation: server.generation,
            status,
            fleet,
            sites: sites.iter().map(|site| (site.site.to_string(), site.size)).collect(),
            members: Vec::new(),
            coordination: CoordinationOutput::default(),
        }
    }

    /// Adds a page of members.
    pub fn add_members(&mut self, members: Vec<MemberRow>) {
        self.members.extend(members.into_iter().map(MemberOutput::from));
    }

    /// Returns the number of members.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Sets the coordination state.
    pub fn set_coordination(&mut self, state: CoordinationState) {
        self.coordination = state.into();
    }

    /// Returns the text to print.
    pub fn render(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Json => serde_json::to_string_pretty(self).unwrap_or_default() + "\n",
            OutputFormat::Table => {
                let table = self.member_table().to_string();
                [self.summary(), self.coordination.summary(), table, "\n".into()].concat()
            }
        }
    }

    fn summary(&self) -> String {
        let (name, address, site) = (self.name, self.address, self.site);
        let (status, fleet) = (self.status.name(), bounds(&self.fleet));
        let mut text = format!("{name} at {address} ({site}), {status}; fleet {fleet}\n");
        for (site, size) in &self.sites {
            text += &format!("site {site}: {}\n", bounds(size));
        }
        text
    }

    fn member_table(&self) -> Table {
        let mut table = Table::new();
        table.load_style(presets::UTF8_BORDERS_ONLY);
        table.set_header(MEMBER_HEADINGS);
        for member in &self.members {
            table.add_row(member.cells());
        }
        table
    }
}

impl MemberOutput {
    fn cells(&self) -> [String; MEMBER_HEADINGS.len()] {
        [
            self.name.to_string(),
            self.site.to_string(),
            self.status.into(),
            format!("{:.1}", self.status_age_s),
            format!("{:.1}", self.update_age_s),
            self.reported_by.to_string(),
            self.heard_ago_s.map_or("never".into(), |secs| format!("{secs:.1}")),
            self.address.to_string(),
        ]
    }
}

impl CoordinationOutput {
    fn summary(&self) -> String {
        let mut text = format!("ledger {}, trouble: {}", self.dependency, self.fault_scope);
        if let Some(all) = &self.aggregated {
            let ratio = all.latency_ratio.unwrap_or(0.0);
            text += &format!(
                "; of {} servers in {} sites: pace {ratio:.1}, unreached {:.2}, refused {:.2}",
                all.reporters, all.sites, all.unreachable_fraction, all.rejected_fraction
            );
        }
        text += "\n";
        let allocator = self.allocator.map_or("nobody".into(), |name| name.to_string());
        for share in &self.shares {
            text += &share.summary(&allocator);
        }
        if let (Some(granted), Some(lessees)) = (self.granted, self.lessees) {
            text += &format!("gives {granted:.2} of the first limit's pool to {lessees}\n");
        }
        text
    }
}

impl ShareOutput {
    fn summary(&self, allocator: &str) -> String {
        let Self { limit, amount, guaranteed, .. } = self;
        let expiry = self.expires_in_s.map_or("floor only".into(), |secs| format!("ends in {secs:.1} s"));
        format!("share of {limit}: {amount:.2} (floor {guaranteed:.2}), {expiry}, divided by {allocator}\n")
    }
}

fn bounds(size: &FleetSize) -> String {
    format!("{} to {}", size.min, size.max)
}
