"""The data types that all packages share: targets, requests, configuration."""
