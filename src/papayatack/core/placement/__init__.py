"""The planner: which shard belongs on which node."""
