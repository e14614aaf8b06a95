"""Tests of the transport package of the fleet."""
