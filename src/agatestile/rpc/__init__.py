"""Thrift calls between the daemons."""
