"""The operators' text: its models and its checks."""
