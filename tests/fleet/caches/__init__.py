"""Tests of the caches package of the fleet."""
