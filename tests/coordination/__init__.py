"""Tests of the clients of the store and the cloud API."""
