"""Sending of requests to targets: attempts, their limits and retries."""
