"""Take one mechanism out at a time and see that its tests fail."""
