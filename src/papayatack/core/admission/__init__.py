"""Fair queueing and limits before an upstream."""
