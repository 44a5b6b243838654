"""Messages, declarations and settings, generated from `schema/*.thrift`."""
