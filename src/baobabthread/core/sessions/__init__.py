"""Sessions and the versions that they keep."""
