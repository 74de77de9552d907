//! Where commands write, as text or JSON.

use std::fmt;
use std::io::Write;

use serde::Serialize;

use crate::cli::operator_args::OutputFormat;
use crate::error::ErrorKind;
use crate::operator::outcome::{OperatorExit, OperatorFailure, OperatorResult};

/// Output of one command: results to `out`, failures, warnings and progress to `log`.
pub struct OperatorOutput<'a> {
    /// Format of the results.
    pub format: OutputFormat,
    out: &'a mut dyn Write,
    log: &'a mut dyn Write,
}

impl<'a> OperatorOutput<'a> {
    /// Creates an output.
    pub fn new(format: OutputFormat, out: &'a mut dyn Write, log: &'a mut dyn Write) -> Self {
        Self { format, out, log }
    }

    /// Shows a result: the value as one line of JSON, or its text.
    ///
    /// # Errors
    /// If the output is closed.
    pub fn show<T: Serialize>(&mut self, value: &T, text: impl FnOnce(&T) -> String) -> OperatorResult<()> {
        let shown = match self.format {
            OutputFormat::Json => serde_json::to_string(value).map_err(|e| closed(&e))?,
            OutputFormat::Text => text(value),
        };
        writeln!(self.out, "{}", shown.trim_end()).map_err(|e| closed(&e))
    }

    /// Writes text without a further line end, for completions.
    ///
    /// # Errors
    /// If the output is closed.
    pub fn write_raw(&mut self, bytes: &[u8]) -> OperatorResult<()> {
        self.out.write_all(bytes).map_err(|e| closed(&e))
    }

    /// Writes a line of progress or a warning.
    pub fn note(&mut self, line: &dyn fmt::Display) {
        // A closed log must not end a change that is under way.
        let _ = writeln!(self.log, "{line}");
    }

    /// Writes a failure: as one line of JSON to the results, or as text to the log.
    pub fn fail(&mut self, failure: &OperatorFailure, text: impl FnOnce(&OperatorFailure) -> String) {
        let _ = match self.format {
            OutputFormat::Json => {
                let body = serde_json::to_string(&failure.body()).unwrap_or_default();
                writeln!(self.out, "{body}")
            }
            OutputFormat::Text => writeln!(self.log, "{}", text(failure).trim_end()),
        };
    }
}

impl fmt::Debug for OperatorOutput<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorOutput")
            .field("format", &self.format)
            .finish_non_exhaustive()
    }
}

fn closed(error: &dyn fmt::Display) -> OperatorFailure {
    OperatorFailure::new(
        OperatorExit::Refused,
        ErrorKind::Internal,
        format!("output: {error}"),
    )
}
