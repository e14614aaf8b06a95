"""Tests of the membership package of the fleet."""
