//! The types of columns and parameters, and the wire format of their values.

use bytes::{BufMut, BytesMut};
use rusqlite::types::Value;

use super::sql_error::SqlError;

/// A type that the stand-in supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SqlType {
    Bool,
    Int4,
    Int8,
    Float8,
    Text,
}

impl SqlType {
    /// Returns the type's OID in PostgreSQL's catalog.
    pub(crate) fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Int4 => 23,
            Self::Int8 => 20,
            Self::Float8 => 701,
            Self::Text => 25,
        }
    }

    /// Returns the type with an OID, or `None` for 0, which leaves the type unspecified.
    pub(crate) fn from_oid(oid: u32) -> Option<Self> {
        match oid {
            0 => None,
            16 => Some(Self::Bool),
            21 | 23 => Some(Self::Int4),
            20 => Some(Self::Int8),
            700 | 701 => Some(Self::Float8),
            _ => Some(Self::Text),
        }
    }

    /// Returns the type that a column declaration or a cast names.
    pub(crate) fn from_name(name: &str) -> Self {
        let name = name.to_ascii_lowercase();
        let name = name.split(['(', ' ']).next().unwrap_or_default();
        match name {
            "bool" | "boolean" => Self::Bool,
            "int" | "integer" | "int4" | "smallint" | "int2" => Self::Int4,
            "bigint" | "int8" | "bigserial" => Self::Int8,
            "real" | "float" | "float4" | "float8" | "double" | "numeric" => Self::Float8,
            _ => Self::Text,
        }
    }

    /// Decodes a parameter value.
    ///
    /// # Errors
    /// Fails if the bytes are not a value of this type.
    pub(crate) fn read(self, bytes: &[u8], is_binary: bool) -> Result<Value, SqlError> {
        let invalid = || SqlError::new("22P02", "a parameter does not match its type");
        if is_binary {
            return match (self, bytes) {
                (Self::Bool, [flag]) => Ok(Value::Integer(i64::from(*flag != 0))),
                (Self::Int4 | Self::Int8, _) => {
                    Ok(Value::Integer(read_integer(bytes).ok_or_else(invalid)?))
                }
                (Self::Float8, _) => {
                    let bytes = bytes.try_into().map_err(|_| invalid())?;
                    Ok(Value::Real(f64::from_be_bytes(bytes)))
                }
                (Self::Text, _) => text_value(bytes),
                (Self::Bool, _) => Err(invalid()),
            };
        }
        let text = std::str::from_utf8(bytes).map_err(|_| invalid())?;
        match self {
            Self::Bool => Ok(Value::Integer(i64::from(matches!(
                text,
                "t" | "true" | "1" | "on"
            )))),
            Self::Int4 | Self::Int8 => {
                Ok(Value::Integer(text.trim().parse().map_err(|_| invalid())?))
            }
            Self::Float8 => Ok(Value::Real(text.trim().parse().map_err(|_| invalid())?)),
            Self::Text => text_value(bytes),
        }
    }

    /// Writes a column's value with its length prefix, as in a data row.
    pub(crate) fn write(self, value: &Value, is_binary: bool, out: &mut BytesMut) {
        if matches!(value, Value::Null) {
            out.put_i32(-1);
            return;
        }
        if is_binary {
            self.write_binary(value, out);
        } else {
            write_length_prefixed(self.to_text(value).as_bytes(), out);
        }
    }

    fn write_binary(self, value: &Value, out: &mut BytesMut) {
        match self {
            Self::Bool => write_length_prefixed(&[u8::from(to_integer(value) != 0)], out),
            Self::Int4 => {
                let number = i32::try_from(to_integer(value)).unwrap_or(i32::MAX);
                write_length_prefixed(&number.to_be_bytes(), out);
            }
            Self::Int8 => write_length_prefixed(&to_integer(value).to_be_bytes(), out),
            Self::Float8 => {
                let number = match value {
                    Value::Real(number) => *number,
                    other => to_integer(other) as f64,
                };
                write_length_prefixed(&number.to_be_bytes(), out);
            }
            Self::Text => write_length_prefixed(self.to_text(value).as_bytes(), out),
        }
    }

    fn to_text(self, value: &Value) -> String {
        match (self, value) {
            (Self::Bool, Value::Integer(number)) => if *number == 0 { "f" } else { "t" }.to_owned(),
            (_, Value::Null) => String::new(),
            (_, Value::Integer(number)) => number.to_string(),
            (_, Value::Real(number)) => number.to_string(),
            (_, Value::Text(text)) => text.clone(),
            (_, Value::Blob(bytes)) => String::from_utf8_lossy(bytes).into_owned(),
        }
    }
}

fn read_integer(bytes: &[u8]) -> Option<i64> {
    match bytes.len() {
        2 => Some(i64::from(i16::from_be_bytes(bytes.try_into().ok()?))),
        4 => Some(i64::from(i32::from_be_bytes(bytes.try_into().ok()?))),
        8 => Some(i64::from_be_bytes(bytes.try_into().ok()?)),
        _ => None,
    }
}

fn to_integer(value: &Value) -> i64 {
    match value {
        Value::Integer(number) => *number,
        // The column's type is inferred, so the value can have another type.
        #[expect(
            clippy::cast_possible_truncation,
            reason = "an integer column drops the fraction"
        )]
        Value::Real(number) => *number as i64,
        Value::Text(text) => text.parse().unwrap_or(0),
        Value::Null | Value::Blob(_) => 0,
    }
}

fn text_value(bytes: &[u8]) -> Result<Value, SqlError> {
    let text = std::str::from_utf8(bytes)
        .map_err(|_| SqlError::new("22021", "a parameter is not UTF-8"))?;
    Ok(Value::Text(text.to_owned()))
}

fn write_length_prefixed(bytes: &[u8], out: &mut BytesMut) {
    out.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
    out.put_slice(bytes);
}
