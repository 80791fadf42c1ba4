//! Set-up of logging.
