//! Field tables. A table is validated as a whole when it is read; its fields are then decoded in place on
//! each access, without a copy.

use crate::error::DecodeError;
use crate::wire::{WireReader, put_long_string, put_short_string};

/// Maximum number of levels of tables and arrays, the outermost table included. A deeper one is rejected
/// before its contents are read, which bounds the recursion.
pub const MAX_DEPTH: usize = 8;
/// Maximum number of values in a table, those of nested tables and arrays included.
pub const MAX_FIELDS: usize = 512;
/// Bytes of a decimal value: scale (1) and integer (4).
const DECIMAL_BYTES: usize = 5;

/// A field of a table, borrowed from its encoded form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TableField<'a> {
    /// Field name.
    pub name: &'a str,
    /// Decoded value.
    pub value: FieldValue<'a>,
    /// Encoded name, type and value.
    pub encoded: &'a [u8],
}

/// A field table in its encoded form, without the length. It was validated by `read` or written by
/// `TableWriter`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FieldTable<'a>(&'a [u8]);

/// Value of a field or of an array item.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldValue<'a> {
    /// Boolean.
    Boolean(bool),
    /// Signed or unsigned integer of 8, 16 or 32 bits, or signed integer of 64 bits.
    Integer(i64),
    /// Floating-point number of 32 or 64 bits.
    Float(f64),
    /// Long string or byte array.
    Bytes(&'a [u8]),
    /// Nested table.
    Table(FieldTable<'a>),
    /// Timestamp in seconds since 1970-01-01 UTC.
    Timestamp(u64),
    /// Array, decimal or void: validated, but not decoded.
    Undecoded,
}

impl<'a> FieldValue<'a> {
    /// Returns the text of a long string or byte array; `None` for any other type and for invalid UTF-8.
    pub fn text(self) -> Option<&'a str> {
        match self {
            FieldValue::Bytes(bytes) => std::str::from_utf8(bytes).ok(),
            _ => None,
        }
    }

    /// Returns the value of a non-negative integer, a timestamp or a decimal number written as text; `None`
    /// otherwise.
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
    /// Reads the length of a table and the table, and validates all its fields.
    ///
    /// # Errors
    /// `NestedTooDeep` or `TooManyFields` if a bound is exceeded; `TooShort`, `InvalidUtf8` or
    /// `UnknownFieldType` if a field cannot be decoded.
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

    /// Returns the value of the first field called `name`.
    pub fn get(self, name: &str) -> Option<FieldValue<'a>> {
        self.fields().find(|field| field.name == name).map(|field| field.value)
    }

    /// Returns the fields of this level in the order of their encoding.
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

    /// Appends the length of the table and the table.
    pub fn put(self, out: &mut Vec<u8>) {
        put_long_string(out, self.0);
    }
}

/// Skips one value after checking it and all values nested in it. `depth` is the number of enclosing tables
/// and arrays besides the outermost table; `fields_left` is the number of values still allowed.
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

/// Reads the type octet and one value; the contents of tables and arrays are skipped without being checked.
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

/// Builder of a field table.
#[derive(Default)]
pub struct TableWriter(Vec<u8>);

impl TableWriter {
    /// Appends a field with a long string.
    pub fn text(mut self, name: &str, text: &str) -> Self {
        put_short_string(&mut self.0, name);
        self.0.push(b'S');
        put_long_string(&mut self.0, text.as_bytes());
        self
    }

    /// Appends a field with a boolean.
    pub fn boolean(mut self, name: &str, value: bool) -> Self {
        put_short_string(&mut self.0, name);
        self.0.extend([b't', u8::from(value)]);
        self
    }

    /// Appends a field with a signed integer of 64 bits.
    pub fn integer(mut self, name: &str, value: i64) -> Self {
        put_short_string(&mut self.0, name);
        self.0.push(b'l');
        self.0.extend_from_slice(&value.to_be_bytes());
        self
    }

    /// Appends a field with a nested table.
    pub fn table(mut self, name: &str, table: FieldTable<'_>) -> Self {
        put_short_string(&mut self.0, name);
        self.0.push(b'F');
        table.put(&mut self.0);
        self
    }

    /// Appends copies of the fields of `table` whose names are not in `names`.
    pub fn fields_except(mut self, table: FieldTable<'_>, names: &[&str]) -> Self {
        let kept = table.fields().filter(|field| !names.contains(&field.name));
        kept.for_each(|field| self.0.extend_from_slice(field.encoded));
        self
    }

    /// Returns the table with the fields appended so far.
    pub fn finish(&self) -> FieldTable<'_> {
        FieldTable(&self.0)
    }
}
