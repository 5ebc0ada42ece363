"""Tests of the communication between entries."""
