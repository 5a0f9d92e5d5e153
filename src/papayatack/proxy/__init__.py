"""The life of a request: classify, locate, admit, forward, answer."""
