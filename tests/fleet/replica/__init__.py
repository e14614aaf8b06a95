"""Tests of the replica package of the fleet."""
