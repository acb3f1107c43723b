"""Tests of zincwell."""
