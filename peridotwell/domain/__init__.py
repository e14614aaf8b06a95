"""The data types that all packages share: targets, calls and configuration."""
