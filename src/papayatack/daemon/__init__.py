"""The daemon papayatackd: settings, assembly, operators' endpoint."""
