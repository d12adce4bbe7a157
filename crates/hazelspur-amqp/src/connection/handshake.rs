//! Methods of class `connection` that a broker sends: the handshake (start, secure, tune, open-ok), close,
//! close-ok, blocked and unblocked.

use super::{CONNECTION_CHANNEL, Connection, ConnectionHandler, ConnectionState, ProtocolResult};
use crate::error::{ConnectionEnd, ProtocolError, reply_code};
use crate::frame::{self, MIN_FRAME_MAX_BYTES};
use crate::method::Method;
use crate::table::{FieldTable, TableWriter};
use crate::wire::{WireReader, put_long_string, put_short_string};
use hazelspur::Duration;

/// Major version in `connection.start`.
const VERSION_MAJOR: u8 = 0;
/// Minor version in `connection.start`; the revision 1 of 0-9-1 is not sent.
const VERSION_MINOR: u8 = 9;
/// SASL mechanism that authenticates with user name and password.
const MECHANISM_PLAIN: &str = "PLAIN";
/// SASL mechanism for a client that the transport has authenticated.
const MECHANISM_EXTERNAL: &str = "EXTERNAL";
/// Locale of reply texts.
const LOCALE: &str = "en_US";
/// Value of the client property `product`.
const PRODUCT: &str = "hazelspur";
/// Client property with the name of the product, which the broker shows to its operators.
const PRODUCT_PROPERTY: &str = "product";
/// Client property with the connection name, which the broker shows to its operators.
const CONNECTION_NAME_PROPERTY: &str = "connection_name";
/// Client property with a table of the protocol extensions that the client supports.
const CAPABILITIES_PROPERTY: &str = "capabilities";
/// Protocol extensions that this client supports.
const CAPABILITIES: [&str; 4] =
    ["basic.nack", "connection.blocked", "consumer_cancel_notify", "publisher_confirms"];
/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;
/// Milliseconds in a second.
const MS_PER_S: u64 = 1000;

/// Returns the smaller of two proposed limits, where zero means no limit.
fn negotiated(a: u64, b: u64) -> u64 {
    if a == 0 || b == 0 { a.max(b) } else { a.min(b) }
}

impl Connection {
    pub(super) fn connection_method(
        &mut self,
        reader: &mut WireReader<'_>,
        handler: &mut impl ConnectionHandler,
    ) -> ProtocolResult {
        let method = Method::read(reader)?;
        match (self.state, method) {
            (ConnectionState::Starting, Method::CONNECTION_START) => self.on_start(reader),
            (ConnectionState::Tuning, Method::CONNECTION_SECURE) if !self.challenge_answered => {
                self.on_secure(reader)
            }
            (ConnectionState::Tuning, Method::CONNECTION_TUNE) => self.on_tune(reader),
            (ConnectionState::Opening, Method::CONNECTION_OPEN_OK) => self.on_open_ok(reader, handler),
            (_, Method::CONNECTION_CLOSE) => self.on_close(reader),
            (ConnectionState::Closing, Method::CONNECTION_CLOSE_OK) => {
                self.finish(ConnectionEnd::Closed);
                Ok(())
            }
            (ConnectionState::Closing, _) => Ok(()),
            (ConnectionState::Open, Method::CONNECTION_BLOCKED) => {
                handler.publishers_blocked(Some(reader.short_string()?));
                Ok(())
            }
            (ConnectionState::Open, Method::CONNECTION_UNBLOCKED) => {
                handler.publishers_blocked(None);
                Ok(())
            }
            _ => Err(ProtocolError::UnexpectedMethod),
        }
    }

    fn on_start(&mut self, reader: &mut WireReader<'_>) -> ProtocolResult {
        let (major, minor) = (reader.u8()?, reader.u8()?);
        if (major, minor) != (VERSION_MAJOR, VERSION_MINOR) {
            self.finish(ConnectionEnd::VersionMismatch);
            return Ok(());
        }
        let _server_properties = FieldTable::read(reader)?;
        let mechanisms = std::str::from_utf8(reader.long_string()?).unwrap_or_default();
        let _locales = reader.long_string()?;
        reader.expect_end()?;
        let mechanism = match self.settings.credentials {
            Some(_) => MECHANISM_PLAIN,
            None => MECHANISM_EXTERNAL,
        };
        if !mechanisms.split(' ').any(|offered| offered == mechanism) {
            self.refused = true;
            self.finish(ConnectionEnd::MechanismNotOffered(mechanism));
            return Ok(());
        }
        self.send_start_ok(mechanism);
        self.state = ConnectionState::Tuning;
        Ok(())
    }

    /// Returns the SASL response: for PLAIN an empty authorization identity, the user name and the password,
    /// each of the latter two after a zero byte; for EXTERNAL nothing.
    fn sasl_response(&self) -> Vec<u8> {
        match &self.settings.credentials {
            Some(credentials) => format!("\0{}\0{}", credentials.user, credentials.password).into_bytes(),
            None => Vec::new(),
        }
    }

    fn send_start_ok(&mut self, mechanism: &str) {
        let capabilities =
            CAPABILITIES.iter().fold(TableWriter::default(), |table, name| table.boolean(name, true));
        let client_properties = TableWriter::default()
            .text(PRODUCT_PROPERTY, PRODUCT)
            .text(CONNECTION_NAME_PROPERTY, &self.settings.connection_name)
            .table(CAPABILITIES_PROPERTY, capabilities.finish());
        let response = self.sasl_response();
        frame::put_method(&mut self.output, CONNECTION_CHANNEL, Method::CONNECTION_START_OK, |out| {
            client_properties.finish().put(out);
            put_short_string(out, mechanism);
            put_long_string(out, &response);
            put_short_string(out, LOCALE);
        });
    }

    fn on_secure(&mut self, reader: &mut WireReader<'_>) -> ProtocolResult {
        self.challenge_answered = true;
        let _challenge = reader.long_string()?;
        reader.expect_end()?;
        let response = self.sasl_response();
        frame::put_method(&mut self.output, CONNECTION_CHANNEL, Method::CONNECTION_SECURE_OK, |out| {
            put_long_string(out, &response);
        });
        Ok(())
    }

    fn on_tune(&mut self, reader: &mut WireReader<'_>) -> ProtocolResult {
        let (max_channel, max_frame_bytes, heartbeat_s) = (reader.u16()?, reader.u32()?, reader.u16()?);
        reader.expect_end()?;
        if max_frame_bytes != 0 && max_frame_bytes < MIN_FRAME_MAX_BYTES {
            return Err(ProtocolError::FrameMaxTooSmall);
        }
        if max_channel != 0 && max_channel < self.settings.max_channel {
            return Err(ProtocolError::TooFewChannels);
        }
        let proposed_frame_bytes = u64::from(self.settings.max_frame_bytes);
        let max_frame_bytes = negotiated(u64::from(max_frame_bytes), proposed_frame_bytes) as u32;
        let proposed_heartbeat_s = self.settings.heartbeat.us().div_ceil(US_PER_S);
        let heartbeat_s = negotiated(u64::from(heartbeat_s), proposed_heartbeat_s) as u16;
        self.max_frame_bytes = max_frame_bytes as usize;
        self.heartbeat = Duration::from_ms(u64::from(heartbeat_s) * MS_PER_S);
        frame::put_method(&mut self.output, CONNECTION_CHANNEL, Method::CONNECTION_TUNE_OK, |out| {
            out.extend_from_slice(&max_channel.to_be_bytes());
            out.extend_from_slice(&max_frame_bytes.to_be_bytes());
            out.extend_from_slice(&heartbeat_s.to_be_bytes());
        });
        self.send_open();
        self.state = ConnectionState::Opening;
        Ok(())
    }

    fn send_open(&mut self) {
        frame::put_method(&mut self.output, CONNECTION_CHANNEL, Method::CONNECTION_OPEN, |out| {
            put_short_string(out, &self.settings.virtual_host);
            // Reserved arguments: an empty short string and a bit.
            out.extend([0, 0]);
        });
    }

    fn on_open_ok(
        &mut self,
        reader: &mut WireReader<'_>,
        handler: &mut impl ConnectionHandler,
    ) -> ProtocolResult {
        let _reserved = reader.short_string()?;
        self.state = ConnectionState::Open;
        handler.connection_open();
        Ok(())
    }

    fn on_close(&mut self, reader: &mut WireReader<'_>) -> ProtocolResult {
        let (reply_code, reply_text) = (reader.u16()?, reader.short_string()?);
        self.refused = matches!(reply_code, reply_code::ACCESS_REFUSED | reply_code::NOT_ALLOWED);
        frame::put_method(&mut self.output, CONNECTION_CHANNEL, Method::CONNECTION_CLOSE_OK, |_| {});
        self.finish(ConnectionEnd::ClosedByBroker { reply_code, reply_text: reply_text.into() });
        Ok(())
    }
}
