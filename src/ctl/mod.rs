//! Commands of the command-line tool.
