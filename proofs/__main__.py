"""Run ``python -m proofs`` like ``python -m proofs.red``."""

from proofs.red import main

main()
