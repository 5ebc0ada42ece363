"""Tests of the operators' text."""
