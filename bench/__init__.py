"""Measurements, the load tool and trace replay."""
