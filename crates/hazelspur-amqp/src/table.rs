//! Field tables: checked whole when they are read, then looked up in place.

use crate::wire::{Malformed, Wire, put_long_bytes, put_short_text};

/// Tables and arrays within each other; deeper ones are refused before they are entered.
pub const MAX_DEPTH: usize = 8;
/// Fields in one table with all that it holds.
pub const MAX_FIELDS: usize = 512;

/// A table that has been found well-formed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Table<'a>(&'a [u8]);

/// A field's value, as far as this project reads it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Field<'a> {
    Flag(bool),
    Whole(i64),
    Number(f64),
    Bytes(&'a [u8]),
    Table(Table<'a>),
    /// Seconds since 1970.
    Timestamp(u64),
    /// An array, a decimal or nothing.
    Other,
}

impl<'a> Field<'a> {
    pub fn text(self) -> Option<&'a str> {
        match self {
            Field::Bytes(bytes) => std::str::from_utf8(bytes).ok(),
            _ => None,
        }
    }

    /// A whole number from 0 up, also where it is written as text.
    pub fn count(self) -> Option<u64> {
        match self {
            Field::Whole(n) => u64::try_from(n).ok(),
            Field::Timestamp(n) => Some(n),
            Field::Bytes(_) => self.text()?.parse().ok(),
            _ => None,
        }
    }
}

impl<'a> Table<'a> {
    /// Reads a table's length and then the table.
    pub fn read(wire: &mut Wire<'a>) -> Result<Self, Malformed> {
        let table = Table(wire.long_bytes()?);
        table.check(0, &mut MAX_FIELDS.clone())?;
        Ok(table)
    }

    fn check(self, depth: usize, fields_left: &mut usize) -> Result<(), Malformed> {
        let mut wire = Wire(self.0);
        while !wire.0.is_empty() {
            wire.short_text()?;
            check_value(&mut wire, depth, fields_left)?;
        }
        Ok(())
    }

    pub fn get(self, name: &str) -> Option<Field<'a>> {
        self.fields().find(|(other, ..)| *other == name).map(|(_, field, _)| field)
    }

    /// Each field's name and value, and the bytes of both.
    pub fn fields(self) -> impl Iterator<Item = (&'a str, Field<'a>, &'a [u8])> {
        let mut wire = Wire(self.0);
        std::iter::from_fn(move || {
            let before = wire.0;
            let name = wire.short_text().ok()?;
            let field = value(&mut wire).ok()?;
            Some((name, field, &before[..before.len() - wire.0.len()]))
        })
    }

    pub fn is_empty(self) -> bool {
        self.0.is_empty()
    }

    pub fn put(self, out: &mut Vec<u8>) {
        put_long_bytes(out, self.0);
    }
}

fn check_value(wire: &mut Wire<'_>, depth: usize, fields_left: &mut usize) -> Result<(), Malformed> {
    *fields_left = fields_left.checked_sub(1).ok_or(Malformed("too many fields in a table"))?;
    match wire.0.first() {
        Some(b'F' | b'A') if depth + 1 >= MAX_DEPTH => Err(Malformed("a table is nested too deep")),
        Some(b'F') => {
            wire.u8()?;
            Table(wire.long_bytes()?).check(depth + 1, fields_left)
        }
        Some(b'A') => {
            wire.u8()?;
            let mut items = Wire(wire.long_bytes()?);
            while !items.0.is_empty() {
                check_value(&mut items, depth + 1, fields_left)?;
            }
            Ok(())
        }
        _ => value(wire).map(|_| ()),
    }
}

/// One value; what a table or an array holds is passed over.
fn value<'a>(wire: &mut Wire<'a>) -> Result<Field<'a>, Malformed> {
    Ok(match wire.u8()? {
        b't' => Field::Flag(wire.u8()? != 0),
        b'b' => Field::Whole(i64::from(wire.u8()? as i8)),
        b'B' => Field::Whole(i64::from(wire.u8()?)),
        b's' | b'U' => Field::Whole(i64::from(wire.u16()? as i16)),
        b'u' => Field::Whole(i64::from(wire.u16()?)),
        b'I' => Field::Whole(i64::from(wire.u32()? as i32)),
        b'i' => Field::Whole(i64::from(wire.u32()?)),
        b'l' | b'L' => Field::Whole(wire.u64()? as i64),
        b'f' => Field::Number(f64::from(f32::from_bits(wire.u32()?))),
        b'd' => Field::Number(f64::from_bits(wire.u64()?)),
        b'D' => {
            wire.bytes(5)?;
            Field::Other
        }
        b'S' | b'x' => Field::Bytes(wire.long_bytes()?),
        b'A' => {
            wire.long_bytes()?;
            Field::Other
        }
        b'T' => Field::Timestamp(wire.u64()?),
        b'F' => Field::Table(Table(wire.long_bytes()?)),
        b'V' => Field::Other,
        _ => return Err(Malformed("a field of an unknown type")),
    })
}

/// Writes a table's fields one by one.
#[derive(Default)]
pub struct TableWriter(Vec<u8>);

impl TableWriter {
    pub fn text(mut self, name: &str, text: &str) -> Self {
        put_short_text(&mut self.0, name);
        self.0.push(b'S');
        put_long_bytes(&mut self.0, text.as_bytes());
        self
    }

    pub fn flag(mut self, name: &str, flag: bool) -> Self {
        put_short_text(&mut self.0, name);
        self.0.extend([b't', u8::from(flag)]);
        self
    }

    pub fn whole(mut self, name: &str, n: i64) -> Self {
        put_short_text(&mut self.0, name);
        self.0.push(b'l');
        self.0.extend_from_slice(&n.to_be_bytes());
        self
    }

    pub fn table(mut self, name: &str, table: Table<'_>) -> Self {
        put_short_text(&mut self.0, name);
        self.0.push(b'F');
        table.put(&mut self.0);
        self
    }

    /// A field as `Table::fields` gave it.
    pub fn raw(mut self, field: &[u8]) -> Self {
        self.0.extend_from_slice(field);
        self
    }

    /// All fields of another table but those of this name.
    pub fn all_but(mut self, table: Table<'_>, name: &str) -> Self {
        table
            .fields()
            .filter(|(other, ..)| *other != name)
            .for_each(|(.., raw)| self.0.extend_from_slice(raw));
        self
    }

    pub fn done(&self) -> Table<'_> {
        Table(&self.0)
    }
}
