//! The size from a small file: what the design is to fit, what it may cost, and what is assumed where the
//! list of the size says nothing. An unknown key, a missing one and an absurd figure are refused by name.

use serde::Deserialize;
use thiserror::Error;

/// Why a size file is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SizeError {
    /// The text is no TOML, or has an unknown or a missing key.
    #[error("{0}")]
    Syntax(String),
    /// A figure is no number.
    #[error("{section}.{key}: not a number")]
    NotANumber {
        /// Section of the figure.
        section: String,
        /// Key of the figure.
        key: String,
    },
    /// A figure is negative or not finite.
    #[error("{section}.{key}: no number from 0 on")]
    OutOfRange {
        /// Section of the figure.
        section: String,
        /// Key of the figure.
        key: String,
    },
    /// A figure that counts or divides is 0.
    #[error("{section}.{key}: nothing fits a size of 0")]
    Zero {
        /// Section of the figure.
        section: String,
        /// Key of the figure.
        key: String,
    },
    /// No comment above a figure gives its reason.
    #[error("{section}.{key}: no comment above it gives a reason")]
    NoReason {
        /// Section of the figure.
        section: String,
        /// Key of the figure.
        key: String,
    },
}

/// The file, whole.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeFile {
    pub size: Target,
    pub budget: Budget,
    pub assumed: Assumptions,
}

/// Counts at the peak, and events a day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub servers: f64,
    pub callers: f64,
    pub services: f64,
    pub requests_per_s: f64,
    pub op_types: f64,
    pub tenants: f64,
    pub regions: f64,
    pub zones: f64,
    pub changes_per_day: f64,
    pub machines_failing_per_day: f64,
    pub restarts_per_day: f64,
    pub control_machines: f64,
}

/// The unit is in each name; shares are of one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub added_p99_ms: f64,
    pub in_force_s: f64,
    pub control_cpu_share: f64,
    pub control_memory_bytes: f64,
    pub settings_memory_bytes: f64,
    pub control_bytes_per_s: f64,
    pub lookup_ratio: f64,
}

/// The unit is in each name; the reasons are in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    pub mean_op_ms: f64,
    pub calls_per_op: f64,
    pub mean_call_ms: f64,
    pub dependency_calls_at_once: f64,
    pub dependency_connections: f64,
    pub tries_at_a_lost_dependency_per_s: f64,
    pub busiest_minute_over_mean: f64,
    pub tenants_met_in_a_minute: f64,
    pub op_types_met_in_a_minute: f64,
    pub tenants_near_their_quota: f64,
    pub servers_a_caller_keeps: f64,
    pub connections_per_caller_and_server: f64,
    pub most_over_mean_load: f64,
    pub most_over_servers: f64,
    pub servers_per_rack: f64,
    pub restarts_per_deploy: f64,
    pub deploy_min: f64,
    pub restart_out_s: f64,
    pub out_at_once_share: f64,
    pub changes_in_busiest_minute: f64,
    pub bytes_per_change: f64,
    pub changes_that_need_a_restart: f64,
    pub bytes_per_datagram: f64,
    pub bytes_per_report: f64,
    pub list_reports_per_s: f64,
    pub zone_link_bytes_per_s: f64,
    pub region_link_bytes_per_s: f64,
    pub region_lag_ms: f64,
    pub region_loss: f64,
    pub share_of_a_region_alone: f64,
}

/// One figure of the file, with the comment above it.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    pub section: String,
    pub key: String,
    pub value: f64,
    pub reason: String,
}

impl SizeFile {
    /// Errors name the key at fault.
    pub fn parse(text: &str) -> Result<Self, SizeError> {
        let size: Self =
            toml::from_str(text).map_err(|error| SizeError::Syntax(error.message().to_string()))?;
        for figure in figures(text)? {
            let Figure { section, key, value, reason } = figure;
            if !value.is_finite() || value < 0.0 {
                return Err(SizeError::OutOfRange { section, key });
            }
            // Parts may be nothing; what is counted or divided by may not.
            if value == 0.0 && (section != "assumed" || !FRACTIONS_ALLOWED_ZERO.contains(&key.as_str())) {
                return Err(SizeError::Zero { section, key });
            }
            if reason.is_empty() {
                return Err(SizeError::NoReason { section, key });
            }
        }
        Ok(size)
    }
}

/// Assumed fractions that may be 0.
const FRACTIONS_ALLOWED_ZERO: [&str; 2] = ["region_loss", "changes_that_need_a_restart"];

/// All figures in the order of the file.
///
/// # Errors
/// Where the text is no TOML, or a value no number.
pub fn figures(text: &str) -> Result<Vec<Figure>, SizeError> {
    let table: toml::Table =
        toml::from_str(text).map_err(|error| SizeError::Syntax(error.message().to_string()))?;
    let (mut section, mut reason, mut figures) = (String::new(), Vec::new(), Vec::new());
    for line in text.lines().map(str::trim) {
        if let Some(comment) = line.strip_prefix('#') {
            reason.push(comment.trim().to_string());
        } else if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            (section, reason) = (name.trim().to_string(), Vec::new());
        } else if let Some((key, _)) = line.split_once('=') {
            let key = key.trim().to_string();
            let value = table.get(&section).and_then(|section| section.get(&key));
            let value = value.and_then(|value| value.as_float().or(value.as_integer().map(|n| n as f64)));
            let value =
                value.ok_or_else(|| SizeError::NotANumber { section: section.clone(), key: key.clone() })?;
            figures.push(Figure {
                section: section.clone(),
                key,
                value,
                reason: std::mem::take(&mut reason).join(" "),
            });
        } else {
            reason.clear();
        }
    }
    Ok(figures)
}
