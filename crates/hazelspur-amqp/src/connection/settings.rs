//! What a client proposes to a broker.

use hazelspur::Duration;

/// User and password for SASL PLAIN.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// User name.
    pub user: String,
    /// Password.
    pub password: String,
}

/// Settings of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionSettings {
    /// Login with SASL PLAIN; `None` for EXTERNAL, where the transport authenticates the client.
    pub credentials: Option<Credentials>,
    /// Virtual host.
    pub virtual_host: String,
    /// Name of the connection that the broker shows.
    pub connection_name: String,
    /// Interval of heartbeats; zero for none. The smaller one of both sides applies.
    pub heartbeat: Duration,
    /// Maximum size of a frame. The smaller one of both sides applies.
    pub max_frame_bytes: u32,
    /// Maximum number of unsettled deliveries on a channel, whatever the broker sends.
    pub max_unsettled: usize,
    /// Highest channel number that will be opened.
    pub max_channel: u16,
}
