"""Metering: instances count requests, the leader reports them."""
