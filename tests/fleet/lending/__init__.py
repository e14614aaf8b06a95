"""Tests of the lending package of the fleet."""
