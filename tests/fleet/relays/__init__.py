"""Tests of the relays package of the fleet."""
