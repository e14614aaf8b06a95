"""What the fleet talks about: instances, data centres, targets and calls."""
