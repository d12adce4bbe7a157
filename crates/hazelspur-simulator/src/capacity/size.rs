//! Reads the size file: the target size of the deployment, the budgets, and the assumptions for what the
//! target size leaves open. Unknown and missing keys, figures out of range and figures without a reason are
//! rejected with an error that names the key.

use serde::Deserialize;
use thiserror::Error;

/// Error in a size file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SizeError {
    /// The text is not valid TOML, has an unknown key or lacks one; holds the parser's message.
    #[error("{0}")]
    Syntax(String),
    /// The value is not a number.
    #[error("{section}.{key}: not a number")]
    NotANumber {
        /// Section of the figure.
        section: String,
        /// Key of the figure.
        key: String,
    },
    /// The value is negative or not finite.
    #[error("{section}.{key}: must be a finite number of at least 0")]
    OutOfRange {
        /// Section of the figure.
        section: String,
        /// Key of the figure.
        key: String,
    },
    /// The value is 0 where only a positive one has a meaning.
    #[error("{section}.{key}: must be greater than 0")]
    Zero {
        /// Section of the figure.
        section: String,
        /// Key of the figure.
        key: String,
    },
    /// No comment directly above the key gives the reason for its value.
    #[error("{section}.{key}: no comment above the key gives a reason")]
    NoReason {
        /// Section of the figure.
        section: String,
        /// Key of the figure.
        key: String,
    },
}

/// Contents of a size file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeFile {
    pub size: Target,
    pub budget: Budget,
    pub assumed: Assumptions,
}

/// Target size of the deployment: counts at the peak load, and events per day.
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

/// Budgets. The name of each figure gives its unit; shares are fractions of 1.
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

/// Assumptions. The name of each figure gives its unit; the comments in the file give the reasons.
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

/// One figure of the size file.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Table of the TOML file.
    pub section: String,
    pub key: String,
    pub value: f64,
    /// Comment above the key, joined to one line; empty if there is none.
    pub reason: String,
}

impl SizeFile {
    /// Parses a size file.
    ///
    /// # Errors
    /// Fails on the first key that is unknown, missing or out of range, or has no reason; the error names it.
    pub fn parse(text: &str) -> Result<Self, SizeError> {
        let size: Self =
            toml::from_str(text).map_err(|error| SizeError::Syntax(error.message().to_string()))?;
        for figure in figures(text)? {
            let Figure { section, key, value, reason } = figure;
            if !value.is_finite() || value < 0.0 {
                return Err(SizeError::OutOfRange { section, key });
            }
            // Some fractions may be 0; counts and divisors may not.
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

/// Keys of assumed fractions that may be 0.
const FRACTIONS_ALLOWED_ZERO: [&str; 2] = ["region_loss", "changes_that_need_a_restart"];

/// Returns all figures in the order of the file.
///
/// # Errors
/// Fails if the text is not valid TOML or a value is not a number.
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
