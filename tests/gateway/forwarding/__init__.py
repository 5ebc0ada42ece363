"""Tests of forwarding between gateways."""
