"""The operators' command papayatackctl."""
