"""Request processing: classification, routing, admission, forwarding and responses."""
