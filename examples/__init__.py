"""Examples: inventories as operators write them, and a mesh to try out."""
