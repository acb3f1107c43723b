"""Adapter to the users' platform: its names, message formats and HTTP calls.

Dispatching decisions are made in :mod:`zincwell.dispatch`, not here.

This is a subpackage because a top-level package ``platform`` at the root of the repository would
shadow the standard library module of that name.
"""
