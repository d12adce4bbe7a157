//! Field tables: validated as a whole when they are read, then looked up in place.

use crate::error::DecodeError;
use crate::wire::{WireReader, put_long_string, put_short_string};

/// Maximum nesting of tables and arrays; deeper ones are refused before they are entered.
pub const MAX_DEPTH: usize = 8;
/// Maximum number of fields in a table, nested ones included.
pub const MAX_FIELDS: usize = 512;
/// Bytes of a decimal value: scale and number.
const DECIMAL_BYTES: usize = 5;

/// A field of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TableField<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its value.
    pub value: FieldValue<'a>,
    /// Name and value as encoded.
    pub encoded: &'a [u8],
}

/// A table that has been validated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FieldTable<'a>(&'a [u8]);

/// Value of a field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldValue<'a> {
    /// A boolean.
    Boolean(bool),
    /// An integer of any size.
    Integer(i64),
    /// A floating-point number of any size.
    Float(f64),
    /// A long string or a byte array.
    Bytes(&'a [u8]),
    /// A nested table.
    Table(FieldTable<'a>),
    /// Seconds since 1970.
    Timestamp(u64),
    /// A value that is not decoded: an array, a decimal or void.
    Undecoded,
}

impl<'a> FieldValue<'a> {
    /// The value as text, where it is a string of UTF-8.
    pub fn text(self) -> Option<&'a str> {
        match self {
            FieldValue::Bytes(bytes) => std::str::from_utf8(bytes).ok(),
            _ => None,
        }
    }

    /// The value as an integer from 0 up, also where it is written as text.
    pub fn unsigned(self) -> Option<u64> {
        match self {
            FieldValue::Integer(n) => u64::try_from(n).ok(),
            FieldValue::Timestamp(n) => Some(n),
            FieldValue::Bytes(_) => self.text()?.parse().ok(),
            _ => None,
        }
    }
}

impl<'a> FieldTable<'a> {
    /// Reads a table's length and the table, and validates it.
    ///
    /// # Errors
    /// Returns what cannot be decoded, or `NestedTooDeep` or `TooManyFields`.
    pub fn read(reader: &mut WireReader<'a>) -> Result<Self, DecodeError> {
        let table = FieldTable(reader.long_string()?);
        let mut fields_left = MAX_FIELDS;
        table.validate(0, &mut fields_left)?;
        Ok(table)
    }

    fn validate(self, depth: usize, fields_left: &mut usize) -> Result<(), DecodeError> {
        let mut reader = WireReader::new(self.0);
        while !reader.remaining().is_empty() {
            reader.short_string()?;
            validate_value(&mut reader, depth, fields_left)?;
        }
        Ok(())
    }

    /// The value of the first field of this name.
    pub fn get(self, name: &str) -> Option<FieldValue<'a>> {
        self.fields().find(|field| field.name == name).map(|field| field.value)
    }

    /// The fields in order.
    pub fn fields(self) -> impl Iterator<Item = TableField<'a>> {
        let mut reader = WireReader::new(self.0);
        std::iter::from_fn(move || {
            let before = reader.remaining();
            let name = reader.short_string().ok()?;
            let value = read_value(&mut reader).ok()?;
            let encoded = &before[..before.len() - reader.remaining().len()];
            Some(TableField { name, value, encoded })
        })
    }

    /// Appends the table with its length.
    pub fn put(self, out: &mut Vec<u8>) {
        put_long_string(out, self.0);
    }
}

fn validate_value(
    reader: &mut WireReader<'_>,
    depth: usize,
    fields_left: &mut usize,
) -> Result<(), DecodeError> {
    *fields_left = fields_left.checked_sub(1).ok_or(DecodeError::TooManyFields)?;
    match reader.remaining().first() {
        Some(b'F' | b'A') if depth + 1 >= MAX_DEPTH => Err(DecodeError::NestedTooDeep),
        Some(b'F') => {
            reader.u8()?;
            FieldTable(reader.long_string()?).validate(depth + 1, fields_left)
        }
        Some(b'A') => {
            reader.u8()?;
            let mut items = WireReader::new(reader.long_string()?);
            while !items.remaining().is_empty() {
                validate_value(&mut items, depth + 1, fields_left)?;
            }
            Ok(())
        }
        _ => read_value(reader).map(|_| ()),
    }
}

/// Reads one value; the contents of tables and arrays are skipped.
fn read_value<'a>(reader: &mut WireReader<'a>) -> Result<FieldValue<'a>, DecodeError> {
    Ok(match reader.u8()? {
        b't' => FieldValue::Boolean(reader.u8()? != 0),
        b'b' => FieldValue::Integer(i64::from(reader.u8()? as i8)),
        b'B' => FieldValue::Integer(i64::from(reader.u8()?)),
        b's' | b'U' => FieldValue::Integer(i64::from(reader.u16()? as i16)),
        b'u' => FieldValue::Integer(i64::from(reader.u16()?)),
        b'I' => FieldValue::Integer(i64::from(reader.u32()? as i32)),
        b'i' => FieldValue::Integer(i64::from(reader.u32()?)),
        b'l' | b'L' => FieldValue::Integer(reader.u64()? as i64),
        b'f' => FieldValue::Float(f64::from(f32::from_bits(reader.u32()?))),
        b'd' => FieldValue::Float(f64::from_bits(reader.u64()?)),
        b'D' => {
            reader.bytes(DECIMAL_BYTES)?;
            FieldValue::Undecoded
        }
        b'S' | b'x' => FieldValue::Bytes(reader.long_string()?),
        b'A' => {
            reader.long_string()?;
            FieldValue::Undecoded
        }
        b'T' => FieldValue::Timestamp(reader.u64()?),
        b'F' => FieldValue::Table(FieldTable(reader.long_string()?)),
        b'V' => FieldValue::Undecoded,
        _ => return Err(DecodeError::UnknownFieldType),
    })
}

/// Writes a table field by field.
#[derive(Default)]
pub struct TableWriter(Vec<u8>);

impl TableWriter {
    /// Appends a long string.
    pub fn text(mut self, name: &str, text: &str) -> Self {
        put_short_string(&mut self.0, name);
        self.0.push(b'S');
        put_long_string(&mut self.0, text.as_bytes());
        self
    }

    /// Appends a boolean.
    pub fn boolean(mut self, name: &str, value: bool) -> Self {
        put_short_string(&mut self.0, name);
        self.0.extend([b't', u8::from(value)]);
        self
    }

    /// Appends an integer of 64 bits.
    pub fn integer(mut self, name: &str, value: i64) -> Self {
        put_short_string(&mut self.0, name);
        self.0.push(b'l');
        self.0.extend_from_slice(&value.to_be_bytes());
        self
    }

    /// Appends a nested table.
    pub fn table(mut self, name: &str, table: FieldTable<'_>) -> Self {
        put_short_string(&mut self.0, name);
        self.0.push(b'F');
        table.put(&mut self.0);
        self
    }

    /// Appends all fields of another table but those of these names.
    pub fn fields_except(mut self, table: FieldTable<'_>, names: &[&str]) -> Self {
        let kept = table.fields().filter(|field| !names.contains(&field.name));
        kept.for_each(|field| self.0.extend_from_slice(field.encoded));
        self
    }

    /// The table as written so far.
    pub fn finish(&self) -> FieldTable<'_> {
        FieldTable(&self.0)
    }
}
