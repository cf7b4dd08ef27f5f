//! Writing tables to Parquet files.

use std::fs::File;
use std::path::Path;
use std::sync::Arc;

use parquet::basic::{LogicalType, Repetition, Type as PhysicalType};
use parquet::data_type::{ByteArray, ByteArrayType, DoubleType};
use parquet::errors::ParquetError;
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::{SerializedColumnWriter, SerializedFileWriter};
use parquet::schema::types::{Type, TypePtr};

use crate::error::TableError;
use crate::table::{Column, Table, Values};

/// A key-value pair in the metadata of a Parquet file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetadataEntry<'a> {
    /// The key under which the metadata holds the value.
    pub key: &'a str,
    /// The text stored under the key.
    pub value: String,
}

impl Table {
    /// Writes the table to a Parquet file as one row group, with the given metadata.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn write_parquet(
        &self,
        file: &Path,
        metadata: &[MetadataEntry<'_>],
    ) -> Result<(), TableError> {
        let schema = self.schema()?;
        let metadata = metadata
            .iter()
            .map(|entry| KeyValue::new(entry.key.to_owned(), entry.value.clone()));
        let properties = WriterProperties::builder()
            .set_key_value_metadata(Some(metadata.collect()))
            .build();
        let output = File::create(file).map_err(TableError::file(file))?;
        let mut writer = SerializedFileWriter::new(output, schema, Arc::new(properties))?;
        let mut row_group = writer.next_row_group()?;
        for column in &self.columns {
            let Some(mut column_writer) = row_group.next_column()? else {
                break;
            };
            write_column(&mut column_writer, &column.values)?;
            column_writer.close()?;
        }
        row_group.close()?;
        writer.close()?;
        Ok(())
    }

    /// Returns the Parquet schema, which has an optional field for each column.
    fn schema(&self) -> Result<TypePtr, ParquetError> {
        let fields = self
            .columns
            .iter()
            .map(field)
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Arc::new(
            Type::group_type_builder("row")
                .with_fields(fields)
                .build()?,
        ))
    }
}

/// Returns the Parquet field of a column: a string or a double.
fn field(column: &Column) -> Result<TypePtr, ParquetError> {
    let builder = match column.values {
        Values::Text(_) => Type::primitive_type_builder(&column.name, PhysicalType::BYTE_ARRAY)
            .with_logical_type(Some(LogicalType::String)),
        Values::Number(_) => Type::primitive_type_builder(&column.name, PhysicalType::DOUBLE),
    };
    Ok(Arc::new(
        builder.with_repetition(Repetition::OPTIONAL).build()?,
    ))
}

/// Writes the values of a column; rows without a value become null.
fn write_column(
    writer: &mut SerializedColumnWriter<'_>,
    values: &Values,
) -> Result<(), ParquetError> {
    match values {
        Values::Text(values) => {
            let present: Vec<ByteArray> = values
                .iter()
                .flatten()
                .map(|text| text.as_str().into())
                .collect();
            writer.typed::<ByteArrayType>().write_batch(
                &present,
                Some(&definition_levels(values)),
                None,
            )?;
        }
        Values::Number(values) => {
            let present: Vec<f64> = values.iter().flatten().copied().collect();
            writer.typed::<DoubleType>().write_batch(
                &present,
                Some(&definition_levels(values)),
                None,
            )?;
        }
    }
    Ok(())
}

/// Returns the Parquet definition level of each row: 1 if it has a value, otherwise 0.
fn definition_levels<T>(values: &[Option<T>]) -> Vec<i16> {
    values
        .iter()
        .map(|value| i16::from(value.is_some()))
        .collect()
}
