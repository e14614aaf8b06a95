"""Requests and parts of prompts that crash their targets."""
