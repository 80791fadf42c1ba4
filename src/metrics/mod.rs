//! OpenTelemetry instruments.
